"""The server for clients: accepts a limited number of connections and passes on the submitted messages."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable
from functools import partial
from http import HTTPStatus

from forwarder.clients.client_connection import CLIENT_TIMEOUT_US, ClientConnection
from forwarder.clients.departures import connections_left
from forwarder.clients.eviction_order import EvictionOrder
from forwarder.clients.listener import Listener, descriptor, descriptors_with_input
from forwarder.clients.request_memory import RequestMemory
from forwarder.clients.submission import BadRequestError, ClientRequest, Submission, parse_submission
from forwarder.clients.turn_queue import TurnQueue
from forwarder.decisions.settings import Settings
from forwarder.runtime.descriptor_reserve import DescriptorReserve
from forwarder.runtime.handover_format import ClientRecord
from forwarder.runtime.reason_counts import ReasonCounts, Subject
from forwarder.runtime.retrying_socket import RetryingSocket
from forwarder.runtime.supervisor import Supervisor

READ_BUFFER_BYTES = 16 * 1024  # maximum size of one read
MIN_READ_BYTES = 1024  # size of one read when clients hold all the memory that they may
UNREAD_ANSWERS_US = 100_000  # a client that leaves answers unread for longer makes room for others
UNREAD_ANSWERS = "its answers stay unread"
NO_MEMORY = "no memory for its request"
STALL_TIMEOUT_US = 2_000_000  # longest time without a request or with a partial one; an error or a close is due in 3 s
MAX_OVERSHOOT = 16  # connections above the limit: a new one is accepted before another is closed for it
MAX_EVICTION_PROPOSALS = 32  # connections checked to find one that may be closed to make room
NEW_CONNECTION_US = 500_000  # how long a new connection may take to send its first request
SWEEP_INTERVAL_S = 0.25
FLUSH_TIMEOUT_S = 0.2  # time for answers to be sent before the process exits
FLUSH_POLL_INTERVAL_S = 0.01
BACKLOG = 512
HEALTH_PATH = "/up"

SubmissionHandler = Callable[[Submission, ClientConnection], None]


class ClientServer:
    """Serves all clients.

    Args:
        settings: the settings against which messages are validated.
        clock: the forwarder's clock, in microseconds.
        max_connections: the limit on connections.
        on_submission: takes each valid message with its connection, and answers it immediately or later.
        reasons: counts why connections were closed and requests rejected.
        supervisor: runs the periodic sweep.

    Attributes:
        connections: all connections that hold a descriptor.
        closing: the connections that this side has closed and whose descriptors are not free yet.
        eviction_order: the other connections, ordered by how soon they are closed to make room.
        draining: whether client connections are being drained.
        closed: whether the server has been closed because the process exits.
        refused: the connections that have their answer to a malformed request, and are read to their end for a while.
        request_memory: the memory that unanswered input of clients takes.
        turns: connections with input that waits for its turn.
        descriptor_reserve: frees a descriptor for an operation that needs one while the process has none left.
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
        self.refused: dict[ClientConnection, None] = {}
        self.turns: TurnQueue[ClientConnection] = TurnQueue()
        self.request_memory: RequestMemory[ClientConnection] = RequestMemory()
        self._is_refusing = False
        self._read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))  # shared: data is copied right after each read
        self.draining = False
        self.closed = False
        self.listener: Listener | None = None
        self.descriptor_reserve = DescriptorReserve(self.evict_for_descriptor)

    def listen(self, sock: socket.socket, handed_over: bool = False) -> None:
        """Starts to accept connections on a bound socket, which may have listened in another process."""
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
        """Continues a client's connection that the previous process has handed over.

        Args:
            sock: the socket of the connection.
            handed_over: that process's record of it; None if it had accepted the connection without serving it.

        Raises:
            OSError: the connection cannot be used.
        """
        retrying_sock = RetryingSocket.of(sock)
        retrying_sock.setblocking(False)
        delay_us = CLIENT_TIMEOUT_US if handed_over is None else 0
        make = partial(ClientConnection, self, retrying_sock, handed_over, delay_us)
        await asyncio.get_running_loop().connect_accepted_socket(make, retrying_sock)

    # Requests

    def handle(self, connection: ClientConnection, request: ClientRequest) -> None:
        """Answers a request, or passes on the message that it submits."""
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

    # The memory of requests

    def buffer_for_read(self) -> memoryview:
        """Returns the buffer for one read, small if clients hold nearly all the memory that they may."""
        free_bytes = self.request_memory.free_bytes()
        if free_bytes >= READ_BUFFER_BYTES:
            return self._read_buffer
        return self._read_buffer[: max(MIN_READ_BYTES, free_bytes)]

    def note_held(self, connection: ClientConnection) -> None:
        """Notes what a connection holds; refuses requests that have come in part if all hold too much together."""
        if connection in self.connections:
            self.request_memory.note(connection, connection.reader.held_bytes)
        if self._is_refusing:  # called for a connection that is being refused
            return
        self._is_refusing = True
        try:
            while (refused := self.request_memory.next_to_refuse()) is not None:
                self._refuse_partial(refused)
        finally:
            self._is_refusing = False

    def limit_partial_requests(self, max_bytes: int) -> None:
        """Refuses the largest requests that have come in part, until all input takes no more than this."""
        while self.request_memory.used_bytes > max_bytes:
            largest = self.request_memory.largest_partial()
            if largest is None:
                return
            self._refuse_partial(largest)

    def _refuse_partial(self, connection: ClientConnection) -> None:
        self.reasons.note(Subject.REFUSAL, NO_MEMORY, f"{connection.reader.held_bytes} bytes held")
        connection.answer_unread(HTTPStatus.SERVICE_UNAVAILABLE, NO_MEMORY, connection.last_used_us)
        self.request_memory.note(connection, 0)

    # The limit on connections

    def free_slots(self) -> int:
        """Returns how many connections may be accepted now.

        All connections that hold a descriptor count, closing ones included: a closed connection frees its descriptor
        only in the next iteration of the event loop, and a burst of new connections could run out of descriptors first.
        """
        while self._is_over_limit() and self._evict("too many clients"):
            pass
        attaching = 0 if self.listener is None else len(self.listener.attaching)
        return self.max_connections + MAX_OVERSHOOT - len(self.connections) - attaching

    def connection_opened(self, connection: ClientConnection) -> None:
        """Adds a connection. Above the limit, closes another one, or the new one if no other can be closed.

        A new connection with an unread request stays open; nothing more is accepted until other connections end.
        """
        self.connections.add(connection)
        if self._is_over_limit() and not self._evict("too many clients") and not self._with_unread_input([connection]):
            connection.evict("too many clients")
        else:
            self.eviction_order.note_use(connection)

    def connection_used(self, connection: ClientConnection) -> None:
        """Notes that data was read from a connection or written to it."""
        if connection not in self.closing and connection not in self.refused:
            self.eviction_order.note_use(connection)

    def connection_refused(self, connection: ClientConnection) -> None:
        """Notes that a connection has its answer to a malformed request: it makes room before all others."""
        self.refused[connection] = None
        self.eviction_order.discard(connection)

    def connection_closing(self, connection: ClientConnection) -> None:
        """Notes that this side closes a connection."""
        self.closing.add(connection)
        self.refused.pop(connection, None)
        self.eviction_order.discard(connection)

    def connection_ended(self, connection: ClientConnection) -> None:
        """Removes a connection whose descriptor is free."""
        self.connections.discard(connection)
        self.closing.discard(connection)
        self.refused.pop(connection, None)
        self.turns.discard(connection)
        self.request_memory.note(connection, 0)
        self.eviction_order.discard(connection)

    def evict_for_descriptor(self) -> bool:
        """Closes one idle connection because the process has no descriptor left; returns whether there was one."""
        return self._evict("short of descriptors")

    def _note_accept_failure(self, error: OSError) -> None:
        self.reasons.note(Subject.REFUSAL, f"cannot accept: {error.strerror}")

    def _is_over_limit(self) -> bool:
        return len(self.connections) - len(self.closing) > self.max_connections

    def _evict(self, reason: str) -> bool:
        """Closes one connection to make room; returns False if none of those checked may be closed.

        Never closes a connection that waits for an answer or that has an unread request in the kernel. Those that have
        been refused come first, then those whose clients have sent several requests at once, with a rejection of each.
        """
        refused = next(iter(self.refused), None)
        if refused is not None:
            del self.refused[refused]
            refused.close(reason)
            return True
        waiting = self.turns.next_taker()
        if waiting is not None:
            self.turns.discard(waiting)
            waiting.evict(reason)
            return True
        now_us = self.clock()
        for connection in self.eviction_order.propose(now_us - NEW_CONNECTION_US, MAX_EVICTION_PROPOSALS):
            if connection.leaves_answers_unread(now_us - UNREAD_ANSWERS_US):
                connection.abort(UNREAD_ANSWERS)
                return True
            if _is_evictable(connection) and not self._with_unread_input([connection]):
                connection.evict(reason)
                return True
        return False

    @staticmethod
    def _with_unread_input(connections: Iterable[ClientConnection]) -> set[ClientConnection]:
        """Returns the connections with data or an end waiting in the kernel; closing one could lose a request."""
        by_descriptor = {descriptor(each.transport): each for each in connections if not each.is_closed()}
        return {
            by_descriptor[number]
            for number in descriptors_with_input(each.transport for each in by_descriptor.values())
        }

    # Closing

    def sweep(self) -> None:
        """Closes connections whose clients have left, send no complete request, or do not read their answers."""
        for connection in connections_left(each for each in self.connections if each.has_paused_reading()):
            connection.client_left()
        stalled_before_us = self.clock() - STALL_TIMEOUT_US
        silent = [each for each in self.connections if _is_silent(each, stalled_before_us)]
        unread_connections = self._with_unread_input(silent)
        swept = [each for each in self.connections if each not in unread_connections or each.writing_paused]
        for connection in swept:
            _close_if_stalled(connection, stalled_before_us)

    def close_idle_connections(self) -> None:
        """Closes connections between requests, except new ones, whose first request may still be in transit."""
        new_since_us = self.clock() - NEW_CONNECTION_US
        idle = [
            each
            for each in self.connections
            if each.is_idle() and (each.has_sent_request or each.opened_us < new_since_us)
        ]
        unread_connections = self._with_unread_input(idle)
        for connection in idle:
            if connection not in unread_connections:
                connection.close("sent away between requests")

    async def flush(self) -> None:
        """Answers the requests that were read and briefly waits for the answers to be sent, before an exit."""
        for connection in list(self.connections):
            connection.answer_waiting()
        loop = asyncio.get_running_loop()
        timeout_at_s = loop.time() + FLUSH_TIMEOUT_S
        while any(each.has_unsent_answers() for each in self.connections) and loop.time() < timeout_at_s:
            await asyncio.sleep(FLUSH_POLL_INTERVAL_S)

    def close(self) -> None:
        """Closes all connections because the process exits."""
        self.closed = True
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.close("the process ends")
        self.descriptor_reserve.close()


def _is_evictable(connection: ClientConnection) -> bool:
    """Returns whether a connection waits for no answer and is not already closed."""
    in_first_request = connection.current_request is None and not connection.has_sent_request
    return (
        connection.transport is not None
        and (connection.is_idle() or in_first_request)
        and not connection.is_closed()
        and not connection.has_unsent_answers()
    )


def _is_silent(connection: ClientConnection, since_us: int) -> bool:
    """Returns whether a connection was opened before a given time and has not sent a complete request."""
    return not connection.has_sent_request and connection.opened_us < since_us


def _close_if_stalled(connection: ClientConnection, since_us: int) -> None:
    """Closes a connection whose client has made no progress since a given time."""
    partial = connection.reader.partial
    if (connection.writing_paused or connection.is_closed()) and connection.last_used_us < since_us:
        connection.abort(UNREAD_ANSWERS)  # an orderly close would wait forever for the client to read them
    elif connection.current_request is not None or connection.reader.is_broken:
        return
    elif partial is not None and partial.arrived_us < since_us:
        connection.answer_unread(HTTPStatus.REQUEST_TIMEOUT, "the request did not come to its end", since_us)
    elif connection.is_idle() and _is_silent(connection, since_us):
        connection.close("no request came")
