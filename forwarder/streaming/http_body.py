"""Bodies of HTTP messages: cut out of what arrives, and framed anew for the next hop."""

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
"""Bytes that framing a read anew may add to it."""
FORBIDDEN_TRAILERS = (
    HOP_BY_HOP | PROTECTED_FIELDS | {b"trailer", b"range", b"set-cookie", b"max-forwards", b"x-addressing"}
)


class _Parser(Protocol):
    """What is used of httptools' parsers."""

    def feed_data(self, data: bytes) -> None:
        """Parses on."""


class Body:
    """One message's body, out of the bytes that follow its head. httptools finds its end.

    Attributes:
        framing: in which the body comes.
        trailers: fields behind the last chunk.
        complete: the body has come to its end.
        has_extra_bytes: something came behind its end that cannot be told apart from it.
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
                cause = error.__context__  # what a callback of this class has raised
                if isinstance(cause, MalformedMessageError):
                    raise cause from None
                raise MalformedMessageError(f"not HTTP: {error}") from None
            self.has_extra_bytes = True

    def feed(self, data: bytes) -> tuple[list[bytes], bytes]:
        """Takes in what has come.

        Returns:
            The pieces of the body in it, and what does not belong to the body. Behind the last chunk the rest cannot
            be told apart: `has_extra_bytes` says that there was some.

        Raises:
            MalformedMessageError: it is not HTTP, or the trailers are too large.
        """
        if self.complete:
            return [], data
        own, rest = data, b""
        if self._bytes_left is not None:
            own, rest = data[: self._bytes_left], data[self._bytes_left :]
            self._bytes_left -= len(own)
        self._parse(own)
        pieces = self._pieces
        self._pieces = []
        return pieces, rest

    def end(self) -> bool:
        """The connection has ended in order. Returns whether that completes the body."""
        if self.framing == UNTIL_CLOSE:
            self.complete = True
        return self.complete

    # Called by the parser

    def on_message_begin(self) -> None:
        """A message begins; a second one does not belong to this body."""
        self.has_extra_bytes = self.complete

    def on_headers_complete(self) -> None:
        """The head has ended: what fields come now are trailers."""
        self._has_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps trailers."""
        if self._has_head and not self.has_extra_bytes:
            self.trailers.append((name, value))
            if sum(len(known) + len(text) for known, text in self.trailers) > MAX_HEAD_BYTES:
                raise MalformedMessageError("the trailers are too large", HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_body(self, data: bytes) -> None:
        """Keeps a piece of the body."""
        if not self.has_extra_bytes:
            self._pieces.append(data)

    def on_message_complete(self) -> None:
        """The body has ended."""
        self.complete = True


def frame_pieces(framing: Framing, pieces: list[bytes], last: bool, trailers: Fields) -> bytes:
    """Returns pieces of a body in the framing that it goes on with; at its end with the last chunk and trailers."""
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
