"""One connection to an endpoint, which carries one call at a time.

A call may have run only if its last byte was handed to the socket. For this reason, this module writes every byte
itself and uses no library that would buffer bytes or send them again.
"""

from __future__ import annotations

import asyncio
import enum
import logging
import select
import socket
from contextlib import suppress
from typing import Protocol

from forwarder.clients.listener import fileno, reset_on_close
from forwarder.decisions.outcomes import Outcome
from forwarder.endpoints.call import EndpointCall
from forwarder.protocol.http1 import MAX_BODY_BYTES, BadResponseError, ResponseReader
from forwarder.runtime.descriptor_watch import ready_now
from forwarder.runtime.reason_counts import ReasonCounts, Subject
from forwarder.runtime.retrying_socket import TRANSIENT_ERRORS, RetryingSocket

GIVE_UP_GRACE_S = 0.1  # wait for an answer in transit to a call that is given up; ends may be 0.3 s late (PROTOCOL)
PENDING_READ_TRIES = 3  # tries of the last read of a connection while kernel buffers are short
UNREQUESTED_DATA = "bytes or an end that nothing asked for"
log = logging.getLogger("forwarder.client")


class SendResult(enum.Enum):
    """Result of writing a request to a connection."""

    WRITTEN = enum.auto()
    """The request was handed to the socket or waits for space in its buffer."""
    CONNECTION_DEAD = enum.auto()
    """No byte was sent: the connection had ended or had received data that answers no request."""
    NOT_SENT = enum.auto()
    """No byte was sent: this machine could not poll the connection or send on it. The connection is unchanged."""


class CallObserver(Protocol):
    """Receives the events of the call on a connection."""

    def answer_progressed(self, call: EndpointCall) -> None:
        """Handles the arrival of a part of the answer."""

    def answer_ended(self, call: EndpointCall, reader: ResponseReader, broken: bool = False) -> None:
        """Handles the end of the answer; it is complete, or incomplete for good if `broken`."""

    def connection_broke(self, call: EndpointCall, reader: ResponseReader, given_up: Outcome | None) -> None:
        """Handles the end of the connection before a complete answer. `given_up`: outcome if the forwarder gave up."""


class ConnectionOwner(Protocol):
    """Keeps idle connections."""

    reasons: ReasonCounts

    @property
    def in_flight(self) -> CallObserver:
        """The observer of calls."""

    def keep_idle(self, connection: EndpointConnection, endpoint: int) -> None:
        """Keeps a connection whose call was answered, for the next call."""

    def connection_ended(self, connection: EndpointConnection) -> None:
        """Removes a connection that is closed."""


class EndpointConnection(asyncio.Protocol):
    """A connection to an endpoint, with at most one call on it.

    Closing the connection while a call is in flight resets it, so that data in the send buffer does not arrive after
    the call has ended in the forwarder.

    Args:
        owner: the pool to which the connection belongs.
        sock: the socket.
        call: the call that the previous process has written on the connection, if any.
        received: the part of the answer to that call that the previous process has read.
    """

    def __init__(
        self, owner: ConnectionOwner, sock: RetryingSocket, call: EndpointCall | None = None, received: bytes = b""
    ) -> None:
        self.owner = owner
        self.sock = sock
        self.idle_since_us = 0
        self.has_carried_call = False
        """Whether an answer was read from it, which more bytes may follow."""
        self.current_call = call
        self.given_up: Outcome | None = None
        self.received = bytearray(received)
        """The received part of the answer that is being read."""
        self.transport: asyncio.Transport | None = None
        self.reader = ResponseReader()
        self._answered = call is None
        """Whether no call is in flight, so that the end of the connection concerns none."""
        self._unread_poll = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to use the connection; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(0)  # resume_writing then means that the last byte was handed over
        self.transport = transport
        self._reset_on_close(True)
        if transport.get_extra_info("socket") is not None:
            self._unread_poll.register(fileno(transport), select.POLLIN)
        if self.current_call is not None:
            self.current_call.connection = self
            if self.received:
                self._read(bytes(self.received))

    def resume_writing(self) -> None:
        """Notes that the last byte of a call was handed to the socket; called by the event loop."""
        if self.current_call is not None:
            self.current_call.written = True

    def data_received(self, data: bytes) -> None:
        """Processes a part of an answer; called by the event loop."""
        self.received += data
        self._read(data)

    def eof_received(self) -> bool:
        """Processes the end of the endpoint's stream, which may complete an answer; called by the event loop."""
        if self.current_call is not None:
            self.reader.end()
            if self.reader.complete:
                self._answer_completed(self.current_call)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the call in flight, if there is one; called by the event loop."""
        self.owner.connection_ended(self)
        self.settle()
        self.reader.release()

    def is_closing(self) -> bool:
        """Returns whether the connection is closed or closing."""
        return self.transport is None or self.transport.is_closing()

    def is_ending(self) -> bool:
        """Returns whether the event loop will end the connection in its next iteration in any case."""
        return self.transport is None or (self.transport.is_closing() and not self.transport.get_write_buffer_size())

    def send(self, call: EndpointCall, request: bytes) -> SendResult:
        """Writes the request of a call unless data or an end of stream waits in the kernel.

        If it were read after the request was written, such data would be taken for the answer, and such an end for the
        loss of a call that may have run, although the call never reached the endpoint.
        """
        assert self.transport is not None
        unread = ready_now(self._unread_poll)
        if unread is None:
            return SendResult.NOT_SENT
        if unread:
            self.close(UNREQUESTED_DATA)
            return SendResult.CONNECTION_DEAD
        try:
            sent = self.sock.send(request)
        except BlockingIOError:
            if self.sock.is_short_of_buffers:
                return SendResult.NOT_SENT
            sent = 0
        except OSError as error:
            self.close(f"cannot send: {error.strerror}")
            return SendResult.CONNECTION_DEAD
        self.reader.reset()
        self.received.clear()
        self._answered = False
        self.transport.write(memoryview(request)[sent:])
        if self.transport.is_closing():
            return SendResult.CONNECTION_DEAD
        self.current_call = call
        call.connection = self
        call.written = self.transport.get_write_buffer_size() == 0
        return SendResult.WRITTEN

    def give_up(self, outcome: Outcome) -> None:
        """Stops waiting for the answer to the call in flight.

        Closes the sending side of the connection now and the connection shortly later. The call ends only with the
        connection: the endpoint may already have written an answer, whose Retry-After must be respected.
        """
        if self.given_up is not None:
            return
        self.given_up = outcome
        call = self.current_call
        reason = f"call given up: {outcome.value}"
        if call is None or not call.written or self.transport is None or not self.transport.can_write_eof():
            self.close(reason)
            return
        with suppress(OSError):  # the endpoint has reset the connection
            self.transport.write_eof()
        call.timeout_timer = asyncio.get_running_loop().call_later(GIVE_UP_GRACE_S, self.close, reason)

    def settle(self) -> None:
        """Ends the call of a connection that is closed or closing, after processing all received data, read or not."""
        if self.current_call is not None and (data := read_pending(self.transport)):
            self._read(data)
        call = self.current_call
        self.current_call = None
        if call is not None:
            call.connection = None
            is_local = not call.written and self.sock.is_short_of_buffers
            self.owner.in_flight.connection_broke(
                call, self.reader, Outcome.LOCAL_FAILURE if is_local else self.given_up
            )

    def close(self, reason: str = "on demand") -> None:
        """Closes the connection immediately, with a reset if a call is in flight. `reason` is counted and logged."""
        if self.transport is None:
            return
        peer = str(self.transport.get_extra_info("peername"))
        self.owner.reasons.note(Subject.ENDPOINT_CLOSED, reason, peer)
        if self._answered:
            self._reset_on_close(False)
        self.transport.abort()

    def _read(self, data: bytes) -> None:
        call = self.current_call
        if call is None:
            self.close(UNREQUESTED_DATA)
            return
        try:
            self.reader.feed(data)
        except BadResponseError as error:
            log.warning("malformed answer: endpoint=%d reason=%s", call.endpoint, error)
            self.current_call = None
            self.owner.in_flight.answer_ended(call, self.reader, broken=True)
            self.close("bad answer")
            return
        if self.reader.complete:
            self._answer_completed(call)
        else:
            self.owner.in_flight.answer_progressed(call)

    def _answer_completed(self, call: EndpointCall) -> None:
        self.current_call = None
        call.connection = None
        self._answered = True
        self.has_carried_call = True
        self.owner.in_flight.answer_ended(call, self.reader)
        if self.reader.keep_alive and self.given_up is None and not self.is_closing():
            self.owner.keep_idle(self, call.endpoint)
        else:
            self.close(UNREQUESTED_DATA if self.reader.has_surplus else "not kept alive by the endpoint")
        self.received = bytearray()
        self.reader.forget_answer()

    def _reset_on_close(self, reset: bool) -> None:
        sock = None if self.transport is None else self.transport.get_extra_info("socket")
        if sock is not None:
            with suppress(OSError):  # the socket is already closed
                reset_on_close(sock, reset)


def read_pending(transport: asyncio.Transport | None) -> bytes:
    """Returns the data of a connection that waits in the kernel; empty if it can no longer be read."""
    sock = None if transport is None else transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return b""
    borrowed_sock = socket.socket(sock.family, sock.type, sock.proto, fileno=sock.fileno())
    try:
        for _ in range(PENDING_READ_TRIES):
            try:
                return borrowed_sock.recv(2 * MAX_BODY_BYTES)
            except OSError as error:
                if error.errno not in TRANSIENT_ERRORS:
                    break
        return b""
    finally:
        borrowed_sock.detach()
