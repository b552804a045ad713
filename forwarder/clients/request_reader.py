"""Turns the bytes of one client's connection into requests, one at a time; performs no I/O itself.

Bytes behind the request that is read stay as they came. A parsed request takes some hundred times the memory of a
short request's bytes, so a client that sends many at once must not have them all parsed at once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from forwarder.clients.request_parser import REQUEST_OBJECT_BYTES, RequestParser
from forwarder.clients.submission import ClientRequest

END_OF_HEADER = b"\r\n\r\n"
LINE_BREAKS = b"\r\n"
CHUNKED_PIECE_BYTES = 2048
MAX_BLANK_BYTES = 1024
"""Line breaks before a request; more of them are no proper request."""
MALFORMED_INPUT = b"\x00"
"""Passed to the parser in place of blank lines without an end, so that they are answered as any malformed request."""


class RequestReader:
    """Reads one request after the other.

    Args:
        on_expect_continue: called if a client waits for `100 Continue` before it sends the body of a request.
    """

    def __init__(self, on_expect_continue: Callable[[], None]) -> None:
        self.parser = RequestParser(on_expect_continue)
        self._unparsed = b""
        self._parsed_bytes = 0
        """Length of the part of `_unparsed` that is parsed already."""
        self._blank_bytes = 0
        """Number of bytes of line breaks since the last request."""
        self._arrived_us = 0
        """Earliest time at which the unparsed bytes may have arrived."""
        self._complete: deque[ClientRequest] = deque()

    @property
    def partial(self) -> ClientRequest | None:
        """The request whose end has not arrived yet; None between requests."""
        return self.parser.partial

    @property
    def is_broken(self) -> bool:
        """Whether malformed data has arrived; nothing after it is read."""
        return self.parser.is_broken

    @property
    def held_bytes(self) -> int:
        """The approximate memory that all unanswered input takes, without the request that is being answered."""
        if not (self._unparsed or self._complete or self.partial is not None):
            return 0
        complete_bytes = sum(REQUEST_OBJECT_BYTES + len(request.body) for request in self._complete)
        return len(self._unparsed) + complete_bytes + self.parser.held_bytes

    def receive(self, data: bytes, arrived_us: int) -> None:
        """Takes the next bytes of the connection.

        Args:
            data: the bytes.
            arrived_us: earliest time at which they may have arrived.
        """
        if self.is_broken:
            return
        if self._unparsed:  # the time of the earliest bytes stays
            self._unparsed = self._unparsed[self._parsed_bytes :] + data
        else:
            self._unparsed = data
            self._arrived_us = arrived_us
        self._parsed_bytes = 0

    def has_input(self) -> bool:
        """Returns whether there are bytes or requests that `next_request` has not looked at yet."""
        return bool(self._unparsed or self._complete)

    def has_request(self) -> bool:
        """Returns whether `next_request` would return a request; parses no more than needed to know."""
        while not self._complete and (piece := self._take_piece()):
            self._complete.extend(self.parser.feed(piece, self._arrived_us))
        if self.is_broken:
            self._forget_unparsed()
        return bool(self._complete)

    def peek_request(self) -> ClientRequest | None:
        """Returns what `next_request` would return, without taking it."""
        return self._complete[0] if self.has_request() else None

    def next_request(self) -> ClientRequest | None:
        """Returns the next request that is complete or malformed; None if its end has not arrived yet."""
        return self._complete.popleft() if self.has_request() else None

    def abandon(self) -> None:
        """Reads nothing more from this connection, and drops all that has arrived."""
        self.parser.abandon()
        self._complete.clear()
        self._forget_unparsed()

    def release(self) -> None:
        """Drops references back to the owner, so that both are freed without the cyclic collector."""
        self.parser.release()

    # Hand-over to another process

    def can_be_handed_over(self) -> bool:
        """Returns whether `wire_bytes` holds all that another process needs to go on."""
        return not self.is_broken and not self._complete and self.parser.has_wire_bytes()

    def arrived_us(self) -> int:
        """Returns the earliest time at which the first byte of `wire_bytes` may have arrived; 0 if there is none."""
        if self.partial is not None:
            return self.partial.arrived_us
        return self._arrived_us if self._unparsed else 0

    def wire_bytes(self) -> bytes:
        """Returns the bytes that belong to no complete request yet, as they came."""
        return self.parser.wire_bytes() + self._unparsed[self._parsed_bytes :]

    # Internal steps

    def _take_piece(self) -> bytes:
        """Returns the next bytes for the parser, which end no more than one request with CRLF line ends.

        Returns an empty piece if all bytes are parsed.
        """
        parser = self.parser
        if parser.partial is None:
            self._skip_blank_lines()
            if not self._unparsed:
                return MALFORMED_INPUT if self._blank_bytes > MAX_BLANK_BYTES and not self.is_broken else b""
        unparsed, start = self._unparsed, self._parsed_bytes
        if parser.body_bytes_left > 0:
            end = start + parser.body_bytes_left
        elif parser.is_in_chunked_body:
            end = start + CHUNKED_PIECE_BYTES
        else:
            end_of_header = unparsed.find(END_OF_HEADER, start)
            end = len(unparsed) if end_of_header < 0 else end_of_header + len(END_OF_HEADER)
        if end < len(unparsed):
            self._parsed_bytes = end
            return unparsed[start:end]
        self._forget_unparsed()
        return unparsed[start:]

    def _skip_blank_lines(self) -> None:
        """Skips line breaks before a request, which the parser would ignore too."""
        start = self._parsed_bytes
        if start == len(self._unparsed):
            return
        if self._unparsed[start] not in LINE_BREAKS:
            self._blank_bytes = 0
            return
        rest = self._unparsed[start:].lstrip(LINE_BREAKS)
        self._blank_bytes += len(self._unparsed) - start - len(rest)
        self._unparsed = rest
        self._parsed_bytes = 0

    def _forget_unparsed(self) -> None:
        self._unparsed = b""
        self._parsed_bytes = 0
