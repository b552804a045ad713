"""The server for clients: accepts their connections within a bound, and hands on what they submit."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable
from functools import partial
from http import HTTPStatus

from forwarder.clients.client_connection import CLIENT_TIMEOUT_US, ClientConnection
from forwarder.clients.eviction_order import EvictionOrder
from forwarder.clients.listener import Listener, descriptor, unread
from forwarder.clients.submission import BadRequestError, ClientRequest, Submission, parse_submission
from forwarder.decisions.settings import Settings
from forwarder.runtime.descriptor_reserve import DescriptorReserve
from forwarder.runtime.handover_format import ClientRecord
from forwarder.runtime.reason_counts import ReasonCounts, Subject
from forwarder.runtime.retrying_socket import RetryingSocket
from forwarder.runtime.supervisor import Supervisor

READ_BUFFER_BYTES = 16 * 1024  # read at once from one client, so that a flood of requests does not hold up the others
STALL_TIMEOUT_US = 2_000_000  # how long a peer may send no request, or only a part of one (PROTOCOL: 3 s)
MAX_OVERSHOOT = 16  # connections over the bound: a new one is accepted before another is closed for it
MAX_EVICTION_LOOKS = 32  # connections looked at for one that may be closed to make room
NEW_CONNECTION_US = 500_000  # how long the first request of a new connection is waited for
SWEEP_INTERVAL_S = 0.25
FLUSH_TIMEOUT_S = 0.2  # how long answers have to leave as the process ends
FLUSH_POLL_INTERVAL_S = 0.01
BACKLOG = 512
HEALTH_PATH = "/up"

SubmissionHandler = Callable[[Submission, ClientConnection], None]


class ClientServer:
    """Serves all clients.

    Args:
        settings: what messages are checked against.
        clock: the forwarder's clock, in microseconds.
        max_connections: the bound on connections.
        on_submission: takes each well-formed message with its connection, and answers it now or later.
        reasons: counts why connections were closed and requests rejected.
        supervisor: runs the sweep.

    Attributes:
        connections: all connections that hold a descriptor.
        closing: those of them that are closed here, and whose descriptors are not free yet.
        eviction_order: the others, by how soon they are closed to make room.
        draining: whether clients are sent away.
        closed: whether the process ends.
        descriptor_reserve: helps whoever needs a descriptor where the process has none left.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], int],
        max_connections: int,
        on_submission: SubmissionHandler,
        reasons: ReasonCounts | None = None,
        supervisor: Supervisor | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.max_connections = max_connections
        self.on_submission = on_submission
        self.reasons = reasons or ReasonCounts()
        self.supervisor = supervisor or Supervisor()
        self.connections: set[ClientConnection] = set()
        self.closing: set[ClientConnection] = set()
        self.eviction_order: EvictionOrder[ClientConnection] = EvictionOrder()
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))  # shared: what is read is copied at once
        self.draining = False
        self.closed = False
        self.listener: Listener | None = None
        self.descriptor_reserve = DescriptorReserve(self.evict_for_descriptor)

    def listen(self, sock: socket.socket, handed_over: bool = False) -> None:
        """Begins to accept connections on a bound socket, which may have listened in another process."""
        self.listener = Listener(
            sock,
            BACKLOG,
            lambda accepted, accept_delay_us: ClientConnection(self, accepted, accept_delay_us=accept_delay_us),
            self.free_slots,
            self._note_accept_failure,
            self.descriptor_reserve,
            handed_over,
        )
        self.supervisor.repeat("sweep of clients", SWEEP_INTERVAL_S, self.sweep)

    async def adopt(self, sock: socket.socket, handed_over: ClientRecord | None) -> None:
        """Goes on with a client's connection of the process before.

        Args:
            sock: the connection.
            handed_over: what that process knew of it; None where it had only accepted it, some time ago.

        Raises:
            OSError: the connection cannot be used.
        """
        patient = RetryingSocket.of(sock)
        patient.setblocking(False)
        delay_us = CLIENT_TIMEOUT_US if handed_over is None else 0
        make = partial(ClientConnection, self, patient, handed_over, delay_us)
        await asyncio.get_running_loop().connect_accepted_socket(make, patient)

    # Requests

    def handle(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Answers a request, or hands on the message that it submits."""
        if request.error is not None:
            connection.answer(request.error.status, request.error.text)
        elif request.route == HEALTH_PATH:
            self._answer_health(connection, request)
        else:
            self._submit(connection, request)

    def _answer_health(self, connection: ClientConnection, request: ClientRequest) -> None:
        if request.method not in ("GET", "HEAD"):
            connection.answer(HTTPStatus.METHOD_NOT_ALLOWED, "GET only", Allow="GET, HEAD")
        elif self.draining:
            connection.answer(HTTPStatus.SERVICE_UNAVAILABLE, "stopping")
        else:
            connection.answer(HTTPStatus.OK, "up")

    def _submit(self, connection: ClientConnection, request: ClientRequest) -> None:
        try:
            submission = parse_submission(request, self.settings)
        except BadRequestError as error:
            if error.status is HTTPStatus.METHOD_NOT_ALLOWED:
                connection.answer(error.status, error.text, Allow="POST")
            else:
                connection.answer(error.status, error.text)
            return
        self.on_submission(submission, connection)

    # The bound on connections

    def free_slots(self) -> int:
        """Returns how many connections may be accepted now.

        All that hold a descriptor count, those that are closing too: what is closed gives its descriptor back in the
        event loop's next turn, and until then a burst would find none.
        """
        while self._is_over_bound() and self._evict("too many clients"):
            pass
        attaching = 0 if self.listener is None else len(self.listener.attaching)
        return self.max_connections + MAX_OVERSHOOT - len(self.connections) - attaching

    def connection_opened(self, connection: ClientConnection) -> None:
        """Adds a connection. One beyond the bound costs another, or itself where none can be closed.

        One whose request waits unread stays: nothing more is accepted until others have gone.
        """
        self.connections.add(connection)
        if self._is_over_bound() and not self._evict("too many clients") and not self._unread([connection]):
            connection.evict("too many clients")
        else:
            self.eviction_order.note_use(connection)

    def connection_used(self, connection: ClientConnection) -> None:
        """Notes that something was read from a connection, or written to it."""
        if connection not in self.closing:
            self.eviction_order.note_use(connection)

    def connection_closing(self, connection: ClientConnection) -> None:
        """Notes that a connection is closed here."""
        self.closing.add(connection)
        self.eviction_order.discard(connection)

    def connection_ended(self, connection: ClientConnection) -> None:
        """Forgets a connection whose descriptor is free."""
        self.connections.discard(connection)
        self.closing.discard(connection)
        self.eviction_order.discard(connection)

    def evict_for_descriptor(self) -> bool:
        """Closes one idle connection where the process has no descriptor left; returns whether there was one."""
        return self._evict("short of descriptors")

    def _note_accept_failure(self, error: OSError) -> None:
        self.reasons.note(Subject.REFUSAL, f"cannot accept: {error.strerror}")

    def _is_over_bound(self) -> bool:
        return len(self.connections) - len(self.closing) > self.max_connections

    def _evict(self, reason: str) -> bool:
        """Closes one connection to make room; returns False where none of those that were looked at may be closed.

        None is closed that waits for an answer, and none with a request that lies unread in the kernel.
        """
        new_since_us = self.clock() - NEW_CONNECTION_US
        for connection in self.eviction_order.propose(new_since_us, MAX_EVICTION_LOOKS):
            if _is_evictable(connection) and not self._unread([connection]):
                connection.evict(reason)
                return True
        return False

    @staticmethod
    def _unread(connections: Iterable[ClientConnection]) -> set[ClientConnection]:
        """Returns those with bytes, or an end, that wait in the kernel: closed now, a request might be lost."""
        by_descriptor = {descriptor(each.transport): each for each in connections if not each.is_closed()}
        return {by_descriptor[number] for number in unread(each.transport for each in by_descriptor.values())}

    # Closing

    def sweep(self) -> None:
        """Closes connections of peers that send nothing, or a part of a request, or do not read their answers."""
        stalled_before_us = self.clock() - STALL_TIMEOUT_US
        silent = [each for each in self.connections if _is_silent(each, stalled_before_us)]
        unread_connections = self._unread(silent)
        swept = [each for each in self.connections if each not in unread_connections or each.writing_paused]
        for connection in swept:
            _close_if_stalled(connection, stalled_before_us)

    def close_idle_connections(self) -> None:
        """Closes connections between requests; one that is new may have its first request on the way."""
        new_since_us = self.clock() - NEW_CONNECTION_US
        idle = [
            each
            for each in self.connections
            if each.is_idle() and (each.has_sent_request or each.opened_us < new_since_us)
        ]
        unread_connections = self._unread(idle)
        for connection in idle:
            if connection not in unread_connections:
                connection.close("sent away between requests")

    async def flush(self) -> None:
        """Answers the requests that were read, and gives the answers a moment to leave, before the process ends."""
        for connection in list(self.connections):
            connection.answer_waiting()
        loop = asyncio.get_running_loop()
        timeout_at_s = loop.time() + FLUSH_TIMEOUT_S
        while any(each.has_unsent_answers() for each in self.connections) and loop.time() < timeout_at_s:
            await asyncio.sleep(FLUSH_POLL_INTERVAL_S)

    def close(self) -> None:
        """Closes all connections, as the process ends."""
        self.closed = True
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.close("the process ends")
        self.descriptor_reserve.close()


def _is_evictable(connection: ClientConnection) -> bool:
    """Returns whether it waits for no answer, and is not closed already."""
    in_first_request = connection.current_request is None and not connection.has_sent_request
    return (
        connection.transport is not None
        and (connection.is_idle() or in_first_request)
        and not connection.is_closed()
        and not connection.has_unsent_answers()
    )


def _is_silent(connection: ClientConnection, since_us: int) -> bool:
    """Returns whether it was opened before a time, and has sent no complete request yet."""
    return not connection.has_sent_request and connection.opened_us < since_us


def _close_if_stalled(connection: ClientConnection, since_us: int) -> None:
    """Closes a connection whose client has not gone on since a time with what it has begun."""
    partial = connection.parser.partial
    if (connection.writing_paused or connection.is_closed()) and connection.last_used_us < since_us:
        connection.abort("its answers stay unread")  # an orderly close would wait for ever for them to be read
    elif connection.current_request is not None or connection.parser.is_broken:
        return
    elif partial is not None and partial.arrived_us < since_us:
        connection.answer_unread(HTTPStatus.REQUEST_TIMEOUT, "the request did not come to its end", since_us)
    elif connection.is_idle() and _is_silent(connection, since_us):
        connection.close("no request came")
