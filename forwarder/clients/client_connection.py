"""One client's connection: reads its requests, and answers them one at a time in the order in which they came."""

from __future__ import annotations

import asyncio
import select
from collections import deque
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Protocol

from forwarder.clients.arrival_time import ArrivalEstimate
from forwarder.clients.listener import fileno
from forwarder.clients.request_parser import RequestParser
from forwarder.clients.submission import ClientRequest
from forwarder.clients.unsent_answers import UnsentAnswers
from forwarder.runtime.descriptor_watch import ready_now
from forwarder.runtime.handover_format import ClientRecord
from forwarder.runtime.reason_counts import ReasonCounts, Subject
from forwarder.runtime.retrying_socket import RetryingSocket

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_PIPELINED_REQUESTS = 8  # requests that wait on one connection before no more is read from it
CLIENT_TIMEOUT_US = 400_000  # a client that has no answer by then closes its connection (PROTOCOL)
READ_LATE_US = 100_000  # a request that may have lain in the kernel for so long is counted as read late
LINGER_S = 1.0  # a connection that sent what cannot be read is closed so long after its answer


class ConnectionOwner(Protocol):
    """The server, as its connections see it."""

    reasons: ReasonCounts
    clock: Callable[[], int]
    read_buffer: memoryview
    draining: bool
    closed: bool

    def connection_opened(self, connection: ClientConnection) -> None:
        """A connection begins."""

    def connection_used(self, connection: ClientConnection) -> None:
        """Something was read from a connection, or written to it."""

    def connection_closing(self, connection: ClientConnection) -> None:
        """A connection is closed here, and its descriptor is not free yet."""

    def connection_ended(self, connection: ClientConnection) -> None:
        """A connection's descriptor is free."""

    def handle(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Answers a request, now or later."""


class ClientConnection(asyncio.BufferedProtocol):
    """A client's connection.

    Args:
        server: the server that it belongs to.
        sock: its socket; None where answers that cannot leave are not to be undone.
        handed_over: what the process before described of it by `describe`; None for a new one.
        accept_delay_us: how long it may have waited to be accepted, and its first request with it.
    """

    def __init__(
        self,
        server: ConnectionOwner,
        sock: RetryingSocket | None = None,
        handed_over: ClientRecord | None = None,
        accept_delay_us: int = 0,
    ) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = RequestParser(self._continue)
        self.waiting: deque[ClientRequest] = deque()
        """Complete requests that are not being answered yet."""
        self.current_request: ClientRequest | None = None
        self.on_withdrawn: Callable[[], None] | None = None
        """Is called if the client gives up the current request."""
        now_us = server.clock()
        self.opened_us = now_us
        self.last_used_us = now_us
        self.has_sent_request = False
        self._last_id = ""
        """Of the message that was submitted on it last."""
        self.writing_paused = False
        """Whether the client does not read its answers."""
        self._unsent = UnsentAnswers(sock)
        self._handed_over = handed_over
        self.peer_ended = False
        # No client waits for longer than its time-out, so what is open now is no older than that.
        self._arrivals = ArrivalEstimate(now_us - min(accept_delay_us, CLIENT_TIMEOUT_US))

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins to serve the client; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.connection_opened(self)
        if self._handed_over is not None:
            self._restore(self._handed_over)
        self._arrivals.reading_begins(self._is_reading)

    def connection_lost(self, error: Exception | None) -> None:
        """Withdraws the current request; called by the event loop."""
        self.server.connection_ended(self)
        self.waiting.clear()
        self._withdraw()
        self._unsent.undo()
        self.parser.release()

    def eof_received(self) -> bool:
        """Withdraws the current request: a client that ends its side does not wait; called by the event loop.

        What it may still read is a rejection. An answer of which nothing has left is undone, and does not leave.
        """
        self.peer_ended = True
        if self._unsent.undo():
            self.abort("its answer could not leave before its client did")
            return False
        if self.current_request is None:
            return False
        self._withdraw()
        self.answer(HTTPStatus.SERVICE_UNAVAILABLE, "withdrawn")
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where to put what is read; called by the event loop."""
        self._arrivals.readable(self.server.clock())
        return self.server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Reads from the buffer; called by the event loop."""
        self.data_received(bytes(self.server.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Reads requests, and begins to answer them."""
        self.last_used_us = self.server.clock()
        arrived_us = self._arrivals.take(self.last_used_us)
        if self.parser.is_broken:
            return
        requests = self.parser.feed(data, arrived_us)
        self.waiting.extend(requests)
        if any(request.method for request in requests):  # one that cannot be read has none
            self.has_sent_request = True
        if requests and self.last_used_us - arrived_us > READ_LATE_US:
            self.server.reasons.note(Subject.READ_LATE, "it lay in the kernel", requests[-1].message_id)
        self.server.connection_used(self)
        self._answer_next()

    def pause_writing(self) -> None:
        """Stops reading from a client that does not read its answers, so that they do not pile up."""
        self.writing_paused = True

    def resume_writing(self) -> None:
        """Goes on with a client that has read its answers; called by the event loop."""
        self.writing_paused = False
        self.last_used_us = self.server.clock()
        self.server.connection_used(self)
        self._answer_next()

    # State

    def is_idle(self) -> bool:
        """Returns whether it is between requests."""
        return self.current_request is None and self.parser.partial is None and not self.waiting

    def is_closed(self) -> bool:
        """Returns whether it is closed, or about to be."""
        return self.transport is None or self.transport.is_closing()

    def has_unsent_answers(self) -> bool:
        """Returns whether the client has not taken all of its answers yet."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def awaits_buffers(self) -> bool:
        """Returns whether an answer on which a message depends could not begin to leave, for want of buffers here."""
        return not self.is_closed() and self._unsent.await_buffers()

    # Answering

    def answer(
        self, status: HTTPStatus, text: str = "", on_unsent: Callable[[], None] | None = None, **headers: str
    ) -> None:
        """Answers the current request, and goes on with the next in the event loop's next turn.

        Args:
            status: the status.
            text: the body, one line.
            on_unsent: is called if the client goes before the first byte of the answer has left.
            headers: further headers; an underscore in a name stands for a hyphen.
        """
        request = self.current_request
        self.current_request = None
        self.on_withdrawn = None
        if request is None or self.transport is None or self.transport.is_closing():
            return
        keep_alive = request.keep_alive and not self.server.draining and not self.peer_ended
        answer = _render_answer(request, status, text, headers, keep_alive)
        self.transport.write(answer)
        self._unsent.note(len(answer), on_unsent)
        self.last_used_us = self.server.clock()
        self.server.connection_used(self)
        loop = asyncio.get_running_loop()
        if self.parser.is_broken and not self.waiting:
            # The client may still be sending: closed now, it would be reset before it has read its answer.
            if self.transport.can_write_eof():
                self.transport.write_eof()
            loop.call_later(LINGER_S, self.close, "an unreadable request was answered")
        elif not keep_alive and not self.waiting:
            self.close("answered, and not kept alive")
        elif not self.peer_ended:
            loop.call_soon(self._answer_next)

    def answer_waiting(self) -> None:
        """Goes on with what was read already, without waiting for the event loop's next turn."""
        while self.current_request is None and self.waiting and not self.writing_paused:
            self._answer_next()

    def answer_unread(self, status: HTTPStatus, text: str, arrived_us: int) -> None:
        """Answers a request that is partly read; nothing more is read from the connection."""
        self.parser.abandon()
        self.current_request = ClientRequest(arrived_us, keep_alive=False)
        self.answer(status, text)

    # Closing

    def close(self, reason: str = "on demand") -> None:
        """Closes it once its answers have been sent. `reason` is counted and logged."""
        if self.is_closed():
            return
        if self.current_request is not None and not self.server.closed:
            self.server.reasons.note(
                Subject.VIOLATION, f"closed with a request unanswered: {reason}", self.current_request.message_id
            )
        self._note_closing(reason)
        assert self.transport is not None
        if self.server.closed and self._unsent.undo():
            self.transport.abort()
        self.transport.close()

    def abort(self, reason: str = "on demand") -> None:
        """Closes it at once; answers that are not sent yet are lost."""
        if self.transport is not None:
            self._note_closing(reason)
            self.transport.abort()

    def evict(self, reason: str) -> None:
        """Closes it to make room; a request that is partly read is rejected."""
        if self.parser.partial is not None:
            self.answer_unread(HTTPStatus.SERVICE_UNAVAILABLE, reason, self.last_used_us)
        self.close(reason)

    # Hand-over to another process

    def _restore(self, handed_over: ClientRecord) -> None:
        self.opened_us = handed_over.connected_at_us
        self.has_sent_request = handed_over.has_sent_request
        if handed_over.received:
            self.data_received(handed_over.received)
        if self.parser.partial is not None:
            self.parser.partial.arrived_us = handed_over.request_began_us
        self.last_used_us = handed_over.last_used_us
        if handed_over.handed_over_at_us is not None:
            self._arrivals.reading_paused(handed_over.handed_over_at_us)
        self.server.connection_used(self)

    # Internal steps

    def _is_reading(self) -> bool:
        return self.transport is not None and not self.transport.is_closing() and self.transport.is_reading()

    def _answer_next(self) -> None:
        while self.current_request is None and self.waiting and self.transport is not None and not self.writing_paused:
            self.current_request = self.waiting.popleft()
            self._last_id = self.current_request.message_id
            self.server.handle(self, self.current_request)
        if self.transport is not None and not self.transport.is_closing():
            self._limit_reading(self.transport)

    def _limit_reading(self, transport: asyncio.Transport) -> None:
        """Reads no further while too many requests wait, or their answers are not read."""
        if self.writing_paused or len(self.waiting) >= MAX_PIPELINED_REQUESTS:
            if transport.is_reading():
                self._arrivals.reading_paused(self.server.clock())
            transport.pause_reading()
        elif not transport.is_reading():
            transport.resume_reading()
            self._arrivals.reading_begins(self._is_reading)

    def _continue(self) -> None:
        if self.transport is not None and self.current_request is None:
            self.transport.write(CONTINUE)
            self._unsent.note(len(CONTINUE), None)

    def _withdraw(self) -> None:
        on_withdrawn = self.on_withdrawn
        self.on_withdrawn = None
        if on_withdrawn is not None:
            on_withdrawn()

    def _note_closing(self, reason: str) -> None:
        assert self.transport is not None
        self.server.connection_closing(self)
        peer = self.transport.get_extra_info("peername")
        self.server.reasons.note(Subject.CLIENT_CLOSED, reason, f"{peer} after id={self._last_id or '-'}")


def _render_answer(
    request: ClientRequest, status: HTTPStatus, text: str, headers: Mapping[str, str], keep_alive: bool
) -> bytes:
    body = f"{text}\n".encode() if text else b""
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        f"Content-Length: {len(body)}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
    ]
    if body:
        lines.append("Content-Type: text/plain; charset=utf-8")
    if not keep_alive:
        lines.append("Connection: close")
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    return head if request.method == "HEAD" else head + body


def describe(connection: ClientConnection) -> ClientRecord | None:
    """Returns what another process needs to go on with a connection; None where it cannot."""
    parser, transport = connection.parser, connection.transport
    assert transport is not None
    partial = parser.partial
    if (
        connection.current_request is not None
        or connection.waiting
        or parser.is_broken
        or connection.peer_ended
        or (partial is not None and not parser.partial_bytes)
        or transport.is_closing()
        or transport.get_write_buffer_size()
    ):
        return None
    return ClientRecord(
        connected_at_us=connection.opened_us,
        last_used_us=connection.last_used_us,
        has_sent_request=connection.has_sent_request,
        handed_over_at_us=connection.server.clock(),
        request_began_us=0 if partial is None else partial.arrived_us,
        received=bytes(parser.partial_bytes),
    )


def disconnected(waiting: Mapping[str, ClientConnection]) -> list[str]:
    """Returns the ids of those messages that wait for an answer whose client has ended its side or the connection.

    The end may lie in the kernel unread: after an event loop that stood still, a request and its client's end are both
    there. One system call for all; where it fails, a message is accepted that its client may have given up, which does
    no harm.

    Args:
        waiting: the connections of the messages, by id.
    """
    ends = select.poll()
    ids = {}
    for message_id, connection in waiting.items():
        if not connection.is_closed():
            descriptor = fileno(connection.transport)
            ids[descriptor] = message_id
            ends.register(descriptor, select.POLLRDHUP)
    unread = [ids[descriptor] for descriptor, _ in ready_now(ends) or ()] if ids else []
    return [message_id for message_id, connection in waiting.items() if connection.is_closed()] + unread
