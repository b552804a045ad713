"""The client side of HTTP/1.1: parses answers incrementally, renders requests, and reads the platform's headers."""

from __future__ import annotations

import re
from collections.abc import Iterable

import httptools

from forwarder.decisions.events import LoadReport
from forwarder.errors import ForwarderError

MAX_BODY_BYTES = 64 * 1024
MAX_ENDPOINT_LIST_BYTES = 8 * 1024 * 1024
MAX_FIRST_LINE_BYTES = 256
MAX_FRAMING_FACTOR = 2
"""An answer may have this many times the bytes of its headers and body, for the rest of its lines and chunks."""
FIRST_LINE_OK = re.compile(rb"HTTP/1\.[01] 200( [^\r\n]*)?\r?\n")
KEPT_HEADERS = frozenset(
    {"content-length", "transfer-encoding", "x-ratelimit-wait-ms", "x-over-slots", "x-backend-load"}
)
"""The headers of answers that are read. Others are dropped: many short ones cost far more memory than wire bytes."""
MAX_LIMIT_LEFT = 16.0
"""A load report with a larger share of a limit is ignored. A share is at most 1, but reports are noisy."""
MAX_LIMIT_PER_S = 1e9
MAX_RETRY_AFTER_US = 86_400_000_000
"""One day; a longer Retry-After is reduced to it."""
MAX_DESTINATION_DIGITS = 10
Headers = dict[str, str]
"""Header values by lower-case header name."""


class BadResponseError(ForwarderError):
    """An answer is not valid HTTP, is too large, or does not fit the request."""


class ResponseReader:
    """Parses successive answers from the bytes of a connection.

    Args:
        max_bytes: the maximum size of an answer's headers and body together, without the framing around them.

    Attributes:
        status: the status code; 0 until the headers are complete.
        headers: the headers received so far, of those that are read.
        begun: whether any byte of the answer has been received.
        complete: whether the whole answer has been received. It does not change any more then.
        keep_alive: whether the connection may carry another request; known when the answer is complete.
        has_surplus: whether bytes were received that follow the complete answer and belong to no request.
    """

    def __init__(self, max_bytes: int = MAX_BODY_BYTES) -> None:
        self.max_bytes = max_bytes
        self.reset()

    def reset(self) -> None:
        """Prepares for the next answer."""
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.headers: Headers = {}
        self.begun = False
        self.complete = False
        self.keep_alive = False
        self.has_surplus = False
        self._first_bytes = b""
        self._size = 0
        self._received_bytes = 0
        self._body = bytearray()

    def release(self) -> None:
        """Drops the parser, which refers back to this reader, so that both are freed without a garbage collection."""
        del self.parser

    @property
    def body(self) -> bytes:
        """The part of the body received so far."""
        return bytes(self._body)

    def forget_answer(self) -> None:
        """Frees the memory of an answer that has been used; the connection may rest for long."""
        self.headers = {}
        self._first_bytes = b""
        self._body = bytearray()

    def feed(self, data: bytes) -> None:
        """Parses the next bytes of the connection.

        Raises:
            BadResponseError: the bytes are not valid HTTP, or the answer is too large.
        """
        if self.complete:
            self._note_surplus()
            return
        self.begun = True
        self._received_bytes += len(data)
        if len(self._first_bytes) < MAX_FIRST_LINE_BYTES:
            self._first_bytes += data[:MAX_FIRST_LINE_BYTES]
        # The parser does not tell where an answer ends. If it ends before the last byte, that byte is surplus.
        self._parse(memoryview(data)[:-1])
        if self.complete:
            self._note_surplus()
        else:
            self._parse(data[-1:])
        is_too_long = not self.complete and self._received_bytes > MAX_FRAMING_FACTOR * self.max_bytes
        if self._size > self.max_bytes or is_too_long:
            raise BadResponseError("the answer is too large")

    def _parse(self, data: bytes | memoryview) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                raise BadResponseError(str(error)) from None
            self.keep_alive = False

    def _note_surplus(self) -> None:
        self.has_surplus = True
        self.keep_alive = False

    def end(self) -> None:
        """Handles an orderly end of the connection, which completes an answer of unstated length."""
        if self.status and not {"content-length", "transfer-encoding"} & self.headers.keys():
            self.complete = True
            self.keep_alive = False

    def has_ok_status(self) -> bool:
        """Returns whether the status line is complete and has status 200, even if the rest is malformed."""
        return self.status == 200 or FIRST_LINE_OK.match(self._first_bytes) is not None

    # Called by the parser, also for what follows a complete answer

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; called by the parser."""
        if self.complete:
            return
        self._size += len(name) + len(value)
        lower_name = name.decode("latin-1").lower()
        if lower_name in KEPT_HEADERS:
            self.headers[lower_name] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Stores the status; called by the parser."""
        if not self.complete:
            self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body; called by the parser."""
        if self.complete:
            return
        self._size += len(body)
        if self._size <= self.max_bytes:
            self._body += body

    def on_message_complete(self) -> None:
        """Marks the answer as complete, unless it is an interim one; called by the parser."""
        if self.complete:
            return
        if 100 <= self.status < 200:
            self.status = 0
            self.headers = {}
            return
        self.keep_alive = self.parser.should_keep_alive()
        self.complete = True


def parse_destination(addressing: str) -> int | None:
    """Returns the destination number in the `dest` field of an X-Addressing header, or None if there is none."""
    parts = addressing.replace(",", ";").split(";")
    dest = dict(part.strip().partition("=")[::2] for part in parts).get("dest", "")
    is_number = dest.isascii() and dest.isdigit() and len(dest) <= MAX_DESTINATION_DIGITS
    return int(dest) if is_number else None


def parse_retry_after_us(headers: Headers) -> int | None:
    """Returns the Retry-After of an answer in microseconds, 0 if there is none, or None if it is malformed."""
    try:
        retry_after_us = -int(-float(headers.get("x-ratelimit-wait-ms", "0")) * 1000 // 1)
    except (ValueError, OverflowError):
        return None
    return min(retry_after_us, MAX_RETRY_AFTER_US) if retry_after_us >= 0 else None


def parse_load_report(headers: Headers, fields: tuple[str, ...]) -> LoadReport | None:
    """Returns the load report of an answer, or None if there is none or it is malformed.

    Args:
        headers: the headers of the answer.
        fields: the names of the fields in a report, from the settings.
    """
    text = headers.get("x-backend-load")
    if not text or "x0" not in fields or "x1" not in fields:
        return None
    try:
        values = {name.strip(): float(value) for name, _, value in (part.partition("=") for part in text.split(","))}
        report = LoadReport(values["x0"], values["x1"])
    except (ValueError, KeyError):
        return None
    is_plausible = 0.0 <= report.limit_left <= MAX_LIMIT_LEFT and 0.0 <= report.limit_per_s <= MAX_LIMIT_PER_S
    return report if is_plausible else None


def render_request(method: str, path: str, host: str, headers: Iterable[tuple[str, str]], body: bytes = b"") -> bytes:
    """Returns the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *(f"{name}: {value}" for name, value in headers)]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
