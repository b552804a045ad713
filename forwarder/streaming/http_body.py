"""Bodies of HTTP messages: extracted from the bytes received, and framed for the next hop."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

import httptools

from forwarder.streaming.http_head import (
    FIELD,
    HOP_BY_HOP,
    MAX_HEAD_BYTES,
    PROTECTED_FIELDS,
    UNTIL_CLOSE,
    Fields,
    Framing,
    MalformedMessageError,
    Request,
    Response,
)

CHUNK_OVERHEAD_BYTES = 64
"""Maximum number of bytes that chunked framing adds to the bytes of one read."""
FORBIDDEN_TRAILERS = (
    HOP_BY_HOP | PROTECTED_FIELDS | {b"trailer", b"range", b"set-cookie", b"max-forwards", b"x-addressing"}
)


class _Parser(Protocol):
    """The method of the httptools parsers that is used here."""

    def feed_data(self, data: bytes) -> None:
        """Parses the next bytes."""


class Body:
    """Extracts the body of one message from the bytes that follow its head. httptools finds the end of the body.

    Attributes:
        framing: The framing in which the body is received.
        trailers: Fields after the last chunk.
        complete: Whether the end of the body has been received.
        has_extra_bytes: Whether bytes were received after the body that cannot be separated from it.
    """

    def __init__(self, head: Request | Response) -> None:
        self.framing = head.framing
        self.trailers: Fields = []
        self.complete = False
        self.has_extra_bytes = False
        self._pieces: list[bytes] = []
        self._has_head = False
        self._bytes_left = head.framing.length
        self._parser: _Parser
        if isinstance(head, Request):
            self._parser = httptools.HttpRequestParser(self)
        else:
            self._parser = httptools.HttpResponseParser(self)
        self._parse(head.raw)

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                cause = error.__context__  # the error raised by a callback of this class
                if isinstance(cause, MalformedMessageError):
                    raise cause from None
                raise MalformedMessageError(f"not HTTP: {error}") from None
            self.has_extra_bytes = True

    def feed(self, data: bytes) -> tuple[list[bytes], bytes]:
        """Processes received bytes.

        Returns:
            The pieces of the body, and the bytes that follow the body. Bytes after the last chunk cannot be separated
            from the body: they are discarded, and `has_extra_bytes` is set.

        Raises:
            MalformedMessageError: The data is not valid HTTP, or the trailers are too large.
        """
        if self.complete:
            return [], data
        body_data, rest = data, b""
        if self._bytes_left is not None:
            body_data, rest = data[: self._bytes_left], data[self._bytes_left :]
            self._bytes_left -= len(body_data)
        self._parse(body_data)
        pieces = self._pieces
        self._pieces = []
        return pieces, rest

    def end(self) -> bool:
        """Handles an orderly end of the connection. Returns whether the body is complete."""
        if self.framing == UNTIL_CLOSE:
            self.complete = True
        return self.complete

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Notes extra bytes if a second message begins after this body."""
        self.has_extra_bytes = self.complete

    def on_headers_complete(self) -> None:
        """Notes that further fields are trailers."""
        self._has_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a trailer; ignores the fields of the head."""
        if self._has_head and not self.has_extra_bytes:
            self.trailers.append((name, value))
            if sum(len(field) + len(content) for field, content in self.trailers) > MAX_HEAD_BYTES:
                raise MalformedMessageError("the trailers are too large", HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_body(self, data: bytes) -> None:
        """Keeps a piece of the body."""
        if not self.has_extra_bytes:
            self._pieces.append(data)

    def on_message_complete(self) -> None:
        """Notes that the body is complete."""
        self.complete = True


def frame_pieces(framing: Framing, pieces: list[bytes], last: bool, trailers: Fields) -> bytes:
    """Returns pieces of a body in the given framing. `last` adds the last chunk and the trailers to a chunked body."""
    data = b"".join(pieces)
    if not framing.chunked:
        return data
    parts = [b"%x\r\n" % len(data), data, b"\r\n"] if data else []
    if last:
        parts.append(b"0\r\n")
        parts += [b"%s: %s\r\n" % (name, value) for name, value in trailers if _may_be_trailer(name, value)]
        parts.append(b"\r\n")
    return b"".join(parts)


def _may_be_trailer(name: bytes, value: bytes) -> bool:
    return name.lower() not in FORBIDDEN_TRAILERS and FIELD.fullmatch(b"%s: %s" % (name, value)) is not None
