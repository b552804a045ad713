"""Parses the requests of one client's connection from bytes; performs no I/O itself."""

from __future__ import annotations

import sys
from collections.abc import Callable
from http import HTTPStatus

import httptools

from forwarder.clients.submission import BadRequestError, ClientRequest
from forwarder.protocol.http1 import MAX_BODY_BYTES

MAX_HEADER_BYTES = 16 * 1024
MAX_HEADER_FIELDS = 128
MAX_REQUEST_BYTES = MAX_HEADER_BYTES + 2 * MAX_BODY_BYTES
"""The most bytes of one request, with the framing of its header and of a chunked body."""
UNREPEATABLE_HEADERS = frozenset(
    {"x-correlation-id", "x-time-left", "x-addressing", "x-session-key", "idempotency-key"}
)
KEPT_HEADERS = UNREPEATABLE_HEADERS | {"content-length", "expect", "x-account", "x-repeat"}
"""The headers that the forwarder reads. Others are dropped: many short ones cost far more memory than wire bytes."""
CHUNKED_HEADER = "transfer-encoding"
REQUEST_OBJECT_BYTES = 1_000
"""Approximate memory of a request beside its body, its header values and its bytes."""


class RequestParser:
    """Parses one request after the other.

    Args:
        on_expect_continue: called if a client waits for `100 Continue` before it sends the body of a request.

    Attributes:
        partial: the request whose end has not arrived yet, or None.
        is_broken: whether malformed data has arrived, after which the start of the next request is unknown.
    """

    def __init__(self, on_expect_continue: Callable[[], None]) -> None:
        self.partial: ClientRequest | None = None
        self.is_broken = False
        self._on_expect_continue = on_expect_continue
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._wire_bytes = bytearray()
        """The bytes of the partial request, without those that follow its header and are a body of stated length."""
        self._has_wire_bytes = False
        """Whether all bytes of the partial request are known: no other request shared its first piece."""
        self._body_wire_bytes = 0
        """Number of bytes of the body that are in `_wire_bytes` too."""
        self._header_bytes = 0
        self._header_fields = 0
        self._is_header_complete = False
        self._is_chunked = False
        self._body_bytes_left = 0
        self._partial_size = 0
        """Number of bytes since the piece in which the partial request began."""
        self._arrived_us = 0
        self._complete: list[ClientRequest] = []

    def release(self) -> None:
        """Drops references back to this parser and its owner, so that both are freed without the cyclic collector."""
        self._parser = None
        del self._on_expect_continue

    def feed(self, data: bytes, arrived_us: int) -> list[ClientRequest]:
        """Parses the next bytes of the connection.

        Args:
            data: the bytes.
            arrived_us: earliest time at which they may have arrived.

        Returns:
            The requests that are now complete. A malformed request comes last and holds its error; nothing after it is
            parsed.
        """
        if self._parser is None:
            return []
        was_between_requests = self.partial is None
        was_in_body = self._is_in_body_of_stated_length()
        self._arrived_us = arrived_us
        try:
            self._parser.feed_data(data)
            self._count_partial(len(data))
        except httptools.HttpParserUpgrade:
            pass
        except (httptools.HttpParserError, BadRequestError) as error:
            self.abandon()
            bad_request = _to_bad_request(error).with_traceback(None)  # its frames refer back to this parser
            self._complete.append(ClientRequest(arrived_us, keep_alive=False, error=bad_request))
        complete = self._complete
        self._complete = []
        if self.partial is None or complete:
            self._forget_wire_bytes()
        elif was_between_requests:
            self._has_wire_bytes = True
        if self._has_wire_bytes and not was_in_body:
            self._wire_bytes += data
            if self.partial is not None:
                self._body_wire_bytes = len(self.partial.body)
        return complete

    @property
    def held_bytes(self) -> int:
        """The approximate memory that the partial request takes."""
        if self.partial is None:
            return 0
        unfinished_line_bytes = 0 if self._is_header_complete else len(self._wire_bytes)
        return (
            REQUEST_OBJECT_BYTES
            + sys.getsizeof(self.partial.body)
            + sys.getsizeof(self._wire_bytes)
            + self._header_bytes
            + unfinished_line_bytes
        )

    @property
    def body_bytes_left(self) -> int:
        """The number of bytes that the body of the partial request lacks, if its header states its length; else 0."""
        return 0 if self.partial is None else self._body_bytes_left

    @property
    def is_in_chunked_body(self) -> bool:
        """Whether the header of the partial request is complete, and its body comes in chunks."""
        return self.partial is not None and self._is_header_complete and self._is_chunked

    def has_wire_bytes(self) -> bool:
        """Returns whether `wire_bytes` returns the whole partial request as it came."""
        return self.partial is None or self._has_wire_bytes

    def wire_bytes(self) -> bytes:
        """Returns the bytes of the partial request; empty if another request shared a piece with its start."""
        if self.partial is None or not self._has_wire_bytes:
            return b""
        body_rest = b"" if self._is_chunked else self.partial.body[self._body_wire_bytes :]
        return bytes(self._wire_bytes) + body_rest

    def _is_in_body_of_stated_length(self) -> bool:
        return self.partial is not None and self._is_header_complete and not self._is_chunked

    def _forget_wire_bytes(self) -> None:
        if self._wire_bytes:
            self._wire_bytes = bytearray()
        self._body_wire_bytes = 0
        self._has_wire_bytes = False

    def _count_partial(self, size: int) -> None:
        """Counts the bytes of an incomplete request, as the parser reports none within a line that has not ended.

        Raises:
            BadRequestError: the request is too long.
        """
        is_continued = self.partial is not None and not self._complete
        self._partial_size = self._partial_size + size if is_continued else 0
        if self._partial_size > MAX_HEADER_BYTES and not self._is_header_complete:
            raise BadRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the header is too large")
        if self._partial_size > MAX_REQUEST_BYTES:
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the request is too large")

    def abandon(self) -> None:
        """Stops parsing this connection; the request that was read in part will not be completed."""
        self.is_broken = True
        self.partial = None
        self._forget_wire_bytes()
        self._parser = None  # it holds the line that has not ended

    # Called by httptools

    def on_message_begin(self) -> None:
        """Starts a request; called by the parser."""
        self.partial = ClientRequest(self._arrived_us)
        self._header_bytes = 0
        self._header_fields = 0
        self._is_header_complete = False
        self._is_chunked = False
        self._body_bytes_left = 0

    def on_url(self, url: bytes) -> None:
        """Appends a part of the path; called by the parser."""
        self._count_header_bytes(len(url))
        if self.partial is not None:
            self.partial.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header that the forwarder reads; called by the parser."""
        self._header_fields += 1
        if self._header_fields > MAX_HEADER_FIELDS:
            raise BadRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the header has too many fields")
        self._count_header_bytes(len(name) + len(value))
        if self.partial is None:
            return
        headers = self.partial.headers
        lower_name = name.decode("latin-1").lower()
        if lower_name == CHUNKED_HEADER:
            self._is_chunked = True
        if lower_name not in KEPT_HEADERS:
            return
        if lower_name in headers and lower_name in UNREPEATABLE_HEADERS:
            self.partial.error = BadRequestError(HTTPStatus.BAD_REQUEST, f"{lower_name} stands twice")
        headers[lower_name] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        """Checks the declared length of the body; called by the parser."""
        self._is_header_complete = True
        if self.partial is None:
            return
        length = self.partial.headers.get("content-length", "0")
        if length.isdigit() and int(length) > MAX_BODY_BYTES:
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
        if length.isdigit() and not self._is_chunked:
            self._body_bytes_left = int(length)
        if self.partial.headers.get("expect", "").lower() == "100-continue":
            self._on_expect_continue()

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body; called by the parser."""
        if self.partial is None:
            return
        if len(self.partial.body) + len(body) > MAX_BODY_BYTES:
            raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
        self.partial.body += body
        self._body_bytes_left -= len(body)

    def on_message_complete(self) -> None:
        """Completes a request; called by the parser."""
        if self.partial is None or self._parser is None:
            return
        self.partial.method = self._parser.get_method().decode("latin-1")
        self.partial.keep_alive = self._parser.should_keep_alive()
        self._complete.append(self.partial)
        self.partial = None

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > MAX_HEADER_BYTES:
            raise BadRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the header is too large")


def _to_bad_request(error: httptools.HttpParserError | BadRequestError) -> BadRequestError:
    """Returns the error to report to the client; the parser raises its own error with that of a callback as context."""
    cause = error.__context__ if isinstance(error.__context__, BadRequestError) else error
    if isinstance(cause, BadRequestError):
        return cause
    return BadRequestError(HTTPStatus.BAD_REQUEST, "not a readable request")
