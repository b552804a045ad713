"""One client's connection: reads requests and answers them one at a time, in the order of their arrival."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from http import HTTPStatus
from typing import Protocol

from forwarder.clients.answer_rendering import render_answer
from forwarder.clients.arrival_time import ArrivalEstimate
from forwarder.clients.departures import connections_left
from forwarder.clients.request_reader import RequestReader
from forwarder.clients.submission import MAX_ID_LENGTH, ClientRequest
from forwarder.clients.turn_queue import TurnQueue
from forwarder.clients.unsent_answers import UnsentAnswers
from forwarder.runtime.handover_format import ClientRecord
from forwarder.runtime.reason_counts import ReasonCounts, Subject
from forwarder.runtime.retrying_socket import RetryingSocket

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_REQUESTS_PER_TURN = 4  # requests of one connection that are handled without a break
MAX_REJECTIONS = 32  # requests that are rejected when a connection is closed to make room
CLIENT_TIMEOUT_US = 400_000  # a client without an answer after this time closes its connection (PROTOCOL)
READ_LATE_THRESHOLD_US = 100_000  # a request that may have waited longer in the kernel is counted as read late
MALFORMED_REQUEST_LINGER_S = 1.0  # delay between the answer to a malformed request and the close of its connection


class ConnectionOwner(Protocol):
    """The part of the server that its connections use."""

    reasons: ReasonCounts
    clock: Callable[[], int]
    turns: TurnQueue[ClientConnection]
    draining: bool
    closed: bool

    def connection_opened(self, connection: ClientConnection) -> None:
        """Adds a connection that was opened."""

    def connection_used(self, connection: ClientConnection) -> None:
        """Notes that data was read from a connection or written to it."""

    def connection_refused(self, connection: ClientConnection) -> None:
        """Notes that a connection has its answer to a malformed request, and stays open only to be read to its end."""

    def connection_closing(self, connection: ClientConnection) -> None:
        """Notes that this side closes a connection whose descriptor is not free yet."""

    def connection_ended(self, connection: ClientConnection) -> None:
        """Removes a connection whose descriptor is free."""

    def handle(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Answers a request, immediately or later."""

    def buffer_for_read(self) -> memoryview:
        """Returns the buffer for one read; it is shared, and its size depends on the memory that is left."""

    def note_held(self, connection: ClientConnection) -> None:
        """Notes how much memory the unanswered input of a connection takes now."""


class ClientConnection(asyncio.BufferedProtocol):
    """A client's connection.

    Args:
        server: the server to which the connection belongs.
        sock: the socket; None if answers that cannot be sent need no undoing.
        handed_over: the record that the previous process made of the connection with `describe`; None for a new one.
        accept_delay_us: longest time that the connection, and its first request, may have waited for the accept.
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
        self.reader = RequestReader(self._send_continue)
        self.current_request: ClientRequest | None = None
        self.on_withdrawn: Callable[[], None] | None = None
        """Called if the client gives up the current request."""
        now_us = server.clock()
        self.opened_us = now_us
        self.last_used_us = now_us
        self.has_sent_request = False
        self._last_message_id = ""
        """Id of the message that was submitted last on this connection."""
        self.writing_paused = False
        """Whether writing is paused because the client does not read its answers."""
        self._read_buffer = memoryview(b"")
        self._lingering: asyncio.TimerHandle | None = None
        """The timer that closes the connection after the answer to a malformed request."""
        self._unsent = UnsentAnswers(sock)
        self._handed_over = handed_over
        self.peer_ended = False
        # No client waits longer than its time-out, so a connection that is still open has waited no longer than that.
        self._arrivals = ArrivalEstimate(now_us - min(accept_delay_us, CLIENT_TIMEOUT_US))

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to serve the client; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(0)  # no request is taken while an answer is unsent
        self.transport = transport
        self.server.connection_opened(self)
        if self._handed_over is not None:
            self._restore(self._handed_over)
            self._handed_over = None
        self._arrivals.note_reading_started(self._is_reading)

    def connection_lost(self, error: Exception | None) -> None:
        """Withdraws the current request; called by the event loop."""
        self.server.connection_ended(self)
        if self._lingering is not None:
            self._lingering.cancel()
        self.reader.abandon()
        self._withdraw()
        self._unsent.undo()
        self.reader.release()

    def eof_received(self) -> bool:
        """Withdraws the current request, since a client that closes its sending side no longer waits for the answer.

        The client may still read a rejection. An answer of which no byte has been sent is undone and never sent. Called
        by the event loop.
        """
        self.peer_ended = True
        self.reader.abandon()
        self.server.note_held(self)
        if self._unsent.undo():
            self.abort("its answer could not leave before its client did")
            return False
        if self.current_request is None:
            return False
        self._withdraw()
        self.answer(HTTPStatus.SERVICE_UNAVAILABLE, "withdrawn")
        return False

    def client_left(self) -> None:
        """Closes the connection of a client that has left, and drops what it has sent and was not answered.

        For a client whose end waits in the kernel, behind input that has not been read.
        """
        self.eof_received()
        self.close("its client has left")

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read; called by the event loop."""
        self._arrivals.note_readable(self.server.clock())
        self._read_buffer = self.server.buffer_for_read()
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Processes the data in the read buffer; called by the event loop."""
        self.data_received(bytes(self._read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parses requests and starts to answer them."""
        self.last_used_us = self.server.clock()
        arrived_us = self._arrivals.take_arrival_us(self.last_used_us)
        if self.reader.is_broken:
            return
        self.reader.receive(data, arrived_us)
        is_late = self.last_used_us - arrived_us > READ_LATE_THRESHOLD_US
        if is_late and (request := self.reader.peek_request()) is not None:
            self.server.reasons.note(Subject.READ_LATE, "it lay in the kernel", request.message_id[:MAX_ID_LENGTH])
        self._serve()
        self.server.connection_used(self)

    def take_turn(self) -> None:
        """Goes on with requests that a client has sent behind others; called by the queue of turns."""
        if self.is_closed():
            return
        if connections_left([self]):
            self.client_left()
        else:
            self._serve()

    def pause_writing(self) -> None:
        """Takes no more requests from a client while an answer is unsent, so that answers do not accumulate in memory.

        Called by the event loop.
        """
        self.writing_paused = True

    def resume_writing(self) -> None:
        """Continues with a client that has read its answers; called by the event loop."""
        self.writing_paused = False
        self.last_used_us = self.server.clock()
        self.server.connection_used(self)
        self._continue()

    # State

    def has_partial_request(self) -> bool:
        """Returns whether the next request to be answered has come in part only, so that it may be refused."""
        return self.current_request is None and self.reader.partial is not None and not self.is_closed()

    def has_paused_reading(self) -> bool:
        """Returns whether an end of the connection would not be read now."""
        return not self.is_closed() and not self._is_reading()

    def is_idle(self) -> bool:
        """Returns whether the connection is between requests."""
        return self.current_request is None and self.reader.partial is None and not self.reader.has_input()

    def is_closed(self) -> bool:
        """Returns whether the connection is closed or closing."""
        return self.transport is None or self.transport.is_closing()

    def has_unsent_answers(self) -> bool:
        """Returns whether some bytes of answers are not yet handed to the kernel."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def leaves_answers_unread(self, since_us: int) -> bool:
        """Returns whether the client has left answers unread since a given time, so that they fill its buffers."""
        is_stuck = self.writing_paused and not self._unsent.is_short_of_buffers()
        return is_stuck and not self.is_closed() and self.last_used_us < since_us

    def awaits_buffers(self) -> bool:
        """Returns whether a lack of kernel buffers on this machine delays an answer on which a message depends."""
        return not self.is_closed() and self._unsent.await_buffers()

    # Answering

    def answer(
        self, status: HTTPStatus, text: str = "", on_unsent: Callable[[], None] | None = None, **headers: str
    ) -> None:
        """Answers the current request and continues with the next one in the next iteration of the event loop.

        Args:
            status: the HTTP status.
            text: the body, one line.
            on_unsent: called if the client disconnects before the first byte of the answer was sent.
            headers: additional headers; an underscore in a name stands for a hyphen.
        """
        request = self.current_request
        self.current_request = None
        self.on_withdrawn = None
        if request is None or self.transport is None or self.transport.is_closing():
            return
        keep_alive = request.keep_alive and not self.server.draining and not self.peer_ended
        answer = render_answer(request, status, text, headers, keep_alive)
        self.transport.write(answer)
        self._unsent.note(len(answer), on_unsent)
        self.last_used_us = self.server.clock()
        self.server.connection_used(self)
        loop = asyncio.get_running_loop()
        if self.reader.is_broken and not self.reader.has_input():
            # The client may still be sending: an immediate close would reset the connection before it reads the answer.
            if (
                self.transport.can_write_eof() and not self.has_unsent_answers()
            ):  # the event loop could not handle a failure of a later end
                with suppress(OSError):  # the client has reset the connection
                    self.transport.write_eof()
            self.server.connection_refused(self)
            self._lingering = loop.call_later(
                MALFORMED_REQUEST_LINGER_S, self.close, "an unreadable request was answered"
            )
        elif not keep_alive and not self.reader.has_request():
            self.close("answered, and not kept alive")
        elif not self.peer_ended:
            self._continue()

    def answer_waiting(self) -> None:
        """Processes the requests that were already read, without waiting for the next iteration of the event loop."""
        while self._may_take_request() and self.reader.has_request():
            self._serve()

    def answer_unread(self, status: HTTPStatus, text: str, arrived_us: int) -> None:
        """Answers a request that was read in part; nothing more is read from the connection."""
        self.reader.abandon()
        self.server.note_held(self)
        self.current_request = ClientRequest(arrived_us, keep_alive=False)
        self.answer(status, text)

    # Closing

    def close(self, reason: str = "on demand") -> None:
        """Closes the connection once its answers have been sent. `reason` is counted and logged."""
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
        """Closes the connection immediately; answers that are not yet sent are lost."""
        if self.transport is not None:
            self._note_closing(reason)
            self.transport.abort()

    def evict(self, reason: str) -> None:
        """Closes the connection to make room; requests that were read, wholly or in part, are rejected."""
        for _ in range(MAX_REJECTIONS):
            request = self.reader.next_request() if self._may_take_request() else None
            if request is None:
                break
            self.current_request = request
            self.answer(HTTPStatus.SERVICE_UNAVAILABLE, reason)
        if self.reader.partial is not None:
            self.answer_unread(HTTPStatus.SERVICE_UNAVAILABLE, reason, self.last_used_us)
        self.close(reason)

    # Hand-over to another process

    def _restore(self, handed_over: ClientRecord) -> None:
        self.opened_us = handed_over.connected_at_us
        self.has_sent_request = handed_over.has_sent_request
        if handed_over.received:
            self.reader.receive(handed_over.received, handed_over.request_arrived_us or self.server.clock())
            self._serve()
        self.last_used_us = handed_over.last_used_us
        if handed_over.handed_over_at_us is not None:
            self._arrivals.note_reading_paused(handed_over.handed_over_at_us)
        self.server.connection_used(self)

    # Internal steps

    def _is_reading(self) -> bool:
        return self.transport is not None and not self.transport.is_closing() and self.transport.is_reading()

    def _may_take_request(self) -> bool:
        """Returns whether the next request may be handled: its answer would not have to wait behind others."""
        return self.current_request is None and not self.writing_paused and not self.is_closed()

    def _serve(self) -> None:
        """Handles the next requests, a limited number of them; the rest waits for a turn."""
        for _ in range(MAX_REQUESTS_PER_TURN):
            request = self.reader.next_request() if self._may_take_request() else None
            if request is None:
                break
            if request.method:  # a malformed request has no method
                self.has_sent_request = True
            self.current_request = request
            self._last_message_id = request.message_id[:MAX_ID_LENGTH]
            self.server.handle(self, request)
        self._continue()
        self.server.note_held(self)

    def _continue(self) -> None:
        """Waits for a turn if there is input left and it can be handled; otherwise reads on, or pauses reading."""
        if self.is_closed():
            return
        assert self.transport is not None
        if self._may_take_request() and self.reader.has_input():
            self.server.turns.add(self)
        self._limit_reading(self.transport)

    def _limit_reading(self, transport: asyncio.Transport) -> None:
        """Pauses reading while there is input that waits, for its turn or until the client reads its answers."""
        if self.reader.has_input():
            if transport.is_reading():
                self._arrivals.note_reading_paused(self.server.clock())
            transport.pause_reading()
        elif not transport.is_reading():
            transport.resume_reading()
            self._arrivals.note_reading_started(self._is_reading)

    def _send_continue(self) -> None:
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
        self.server.reasons.note(Subject.CLIENT_CLOSED, reason, f"{peer} after id={self._last_message_id or '-'}")
