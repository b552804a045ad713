"""HTTP/1.1 answers as they arrive: httptools parses, this collects. One answer at a time on a connection."""

from __future__ import annotations

import re
from collections.abc import Iterable

import httptools

from forwarder.decisions.events import LoadReport

MOST_BODY = 64 * 1024
MOST_FIRST = 256
FIRST_OK = re.compile(rb"HTTP/1\.[01] 200( [^\r\n]*)?\r?\n")
MOST_LIST = 8 * 1024 * 1024
MOST_LEFT = 16.0
"""Shares of an allowance above this are garbage: reports are noisy, but a share is one at most."""
MOST_RATE = 1e9
MOST_WAIT_US = 86_400_000_000
"""No told wait is heeded for longer than a day."""
Headers = dict[str, str]


class BadResponseError(Exception):
    """What came back is not the HTTP that was promised."""


class ResponseReader:
    """Collects one answer after the other; `status` is known as soon as the headers are whole."""

    def __init__(self, most: int = MOST_BODY) -> None:
        self.most = most
        self.renew()

    def renew(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.status, self.begun, self.complete, self.keep_alive = 0, False, False, False
        self.headers: Headers = {}
        self.first = b""  # the start of what came, for its first line
        self.size = 0
        self.parts: list[bytes] = []

    def release(self) -> None:
        """The connection is gone: without its parser, which holds it, a reader is freed at once."""
        del self.parser

    @property
    def body(self) -> bytes:
        return b"".join(self.parts)

    def feed(self, data: bytes) -> None:
        self.begun = True
        if len(self.first) < MOST_FIRST:
            self.first += data[:MOST_FIRST]
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                raise BadResponseError(str(error)) from None
            self.keep_alive = False
        if self.size > self.most:
            raise BadResponseError("the answer is too large")

    def end(self) -> None:
        """The connection has ended in order: an answer that tells no length of its body is whole by that."""
        if self.status and not {"content-length", "transfer-encoding"} & self.headers.keys():
            self.complete, self.keep_alive = True, False

    def says_ok(self) -> bool:
        """Whether the first line is whole and says 200, whatever is wrong with the rest."""
        return self.status == 200 or FIRST_OK.match(self.first) is not None

    # Called by the parser

    def on_header(self, name: bytes, value: bytes) -> None:
        self.size += len(name) + len(value)
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.size <= self.most:
            self.parts.append(body)

    def on_message_complete(self) -> None:
        if 100 <= self.status < 200:
            self.status, self.headers = 0, {}
            return
        self.keep_alive = self.parser.should_keep_alive() and not self.complete
        self.complete = True


def parse_destination(addressing: str) -> int | None:
    """The number that the `dest` of an X-Addressing header names, or None where it names none."""
    extras = addressing.replace(",", ";").split(";")
    dest = dict(part.strip().partition("=")[::2] for part in extras).get("dest", "")
    return int(dest) if dest.isascii() and dest.isdigit() and len(dest) <= 10 else None


def parse_retry_after_us(headers: Headers) -> int | None:
    """The wait that an answer tells, 0 without one; None where it cannot be read."""
    try:
        wait = -int(-float(headers.get("x-ratelimit-wait-ms", "0")) * 1000 // 1)
    except (ValueError, OverflowError):
        return None
    return min(wait, MOST_WAIT_US) if wait >= 0 else None


def parse_load_report(headers: Headers, fields: tuple[str, ...]) -> LoadReport | None:
    """What a target told of its limit; garbage counts as nothing told."""
    text = headers.get("x-backend-load")
    if not text or "x0" not in fields or "x1" not in fields:
        return None
    try:
        told = {k.strip(): float(v) for k, _, v in (part.partition("=") for part in text.split(","))}
        report = LoadReport(told["x0"], told["x1"])
    except (ValueError, KeyError):
        return None
    sound = 0.0 <= report.limit_left <= MOST_LEFT and 0.0 <= report.limit_per_s <= MOST_RATE
    return report if sound else None


def render_request(method: str, path: str, host: str, headers: Iterable[tuple[str, str]], body: bytes = b"") -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *(f"{k}: {v}" for k, v in headers)]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
