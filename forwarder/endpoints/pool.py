"""The pool of connections to endpoints: opens connections, keeps idle ones for later calls, and hands them over."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from forwarder.config.config import Address
from forwarder.decisions.outcomes import Outcome
from forwarder.endpoints.call import CallResult, EndpointCall
from forwarder.endpoints.call_checks import CallChecks
from forwarder.endpoints.connect_outcome import outcome_of_connect_error
from forwarder.endpoints.connection import EndpointConnection, SendResult
from forwarder.endpoints.idle_connections import IdleConnections
from forwarder.endpoints.in_flight_calls import AttemptSink, InFlightCalls
from forwarder.endpoints.request_rendering import render_call
from forwarder.endpoints.retry_after import RetryAfterTable
from forwarder.runtime.descriptor_reserve import DescriptorReserve
from forwarder.runtime.handover_format import (
    NO_CONNECTION,
    AttemptRecord,
    CallRecord,
    IdleConnectionRecord,
    PoolRecord,
)
from forwarder.runtime.invariants import Invariants
from forwarder.runtime.reason_counts import ReasonCounts, Subject
from forwarder.runtime.retrying_socket import RetryingSocket, connect
from forwarder.runtime.supervisor import Supervisor
from forwarder.units import SECOND_US

IDLE_MARGIN_US = 700_000  # time by which an idle connection is closed before its endpoint would reset it
DEFAULT_IDLE_TIMEOUT_US = 60 * SECOND_US
DEFAULT_CONNECT_TIMEOUT_US = SECOND_US
MIN_CONNECT_TIMEOUT_S = 0.001


class ConnectionPool:
    """All connections to endpoints and the calls in flight on them.

    Args:
        clock: the forwarder's clock, in microseconds.
        sink: receives the end of each attempt.
        report_fields: names of the fields in load reports.
        idle_timeout_us: how long endpoints keep an idle connection; 0 for the default.
        connect_timeout_us: time-out of a connect; 0 for the default.
        max_connections: maximum number of connections, including those being established.
        reasons: counts why connections were closed and calls held back.
        invariants: decides whether a message may be sent; None to check only the route.
        supervisor: runs the periodic sweep and counts unexpected errors.

    Attributes:
        descriptor_reserve: frees a descriptor if the process has none left; None for no reserve.
    """

    def __init__(
        self,
        clock: Callable[[], int],
        sink: AttemptSink,
        report_fields: tuple[str, ...],
        idle_timeout_us: int,
        connect_timeout_us: int,
        max_connections: int,
        reasons: ReasonCounts | None = None,
        invariants: Invariants | None = None,
        supervisor: Supervisor | None = None,
    ) -> None:
        self.clock = clock
        self.max_connections = max_connections
        self.reasons = reasons or ReasonCounts()
        self.supervisor = supervisor or Supervisor()
        self.retry_after = RetryAfterTable(clock)
        self.in_flight = InFlightCalls(clock, sink, self.retry_after)
        self.checks = CallChecks(clock, self.in_flight, invariants)
        self.addresses: dict[int, Address] = {}
        """Addresses of the endpoints that may be called, by number."""
        self.connections: set[EndpointConnection] = set()
        self.descriptor_reserve: DescriptorReserve | None = None
        self.idle = IdleConnections(clock, self.supervisor)
        self._connecting: set[asyncio.Task[None]] = set()
        """The tasks that open a connection for a call."""
        self._waiting: set[asyncio.Task[None]] = set()
        """The tasks of calls that wait for a resting connection."""
        self.apply_settings(report_fields, idle_timeout_us, connect_timeout_us)

    @property
    def calls_in_flight(self) -> int:
        """Number of calls that have not ended."""
        return self.in_flight.count

    @property
    def report_fields(self) -> tuple[str, ...]:
        """Names of the fields in load reports."""
        return self.in_flight.report_fields

    @property
    def idle_timeout_us(self) -> int:
        """How long an idle connection is kept; 0 to keep none."""
        return self.idle.timeout_us

    def apply_settings(self, report_fields: tuple[str, ...], idle_timeout_us: int, connect_timeout_us: int) -> None:
        """Applies new settings."""
        self.in_flight.report_fields = report_fields
        self.idle.timeout_us = max(0, (idle_timeout_us or DEFAULT_IDLE_TIMEOUT_US) - IDLE_MARGIN_US)
        self.connect_timeout_us = connect_timeout_us or DEFAULT_CONNECT_TIMEOUT_US

    def update_addresses(self, addresses: dict[int, Address]) -> None:
        """Applies a new set of addresses. A removed endpoint gets no new call, and its idle connections are closed."""
        for endpoint, old_address in self.addresses.items():
            if addresses.get(endpoint) != old_address:
                self.close_idle(endpoint, "not listed any more")
        self.addresses = addresses

    # Calls

    def start(self, call: EndpointCall) -> None:
        """Sends a call on an idle connection or on a new one."""
        self.in_flight.add(call)
        self.in_flight.start_timeout(call)
        address = self.addresses.get(call.endpoint)
        if address is None:
            self.finish(call, CallResult(Outcome.NO_CONNECTION))
            return
        self._end_denied(call, address)
        if not call.open_items or self._send_on_idle(call):
            return
        if self.idle.has_resting(call.endpoint):
            self._run(self._waiting, call, "wait for a connection", self._wait_and_send(call, address))
        else:
            self._open_connection(call, address)

    def _open_connection(self, call: EndpointCall, address: Address) -> None:
        """Sends a call on a new connection, or holds it back if there are too many."""
        if len(self.connections) + len(self._connecting) >= self.max_connections and not self.idle.close_longest_idle():
            self.reasons.note(Subject.HELD_BACK, "call: too many connections to endpoints", call.items[0].id)
            self.finish(call, CallResult(Outcome.LOCAL_FAILURE))
            return
        self._run(self._connecting, call, "connect", self._connect_and_send(call, address))

    def _run(
        self, tasks: set[asyncio.Task[None]], call: EndpointCall, name: str, step: Coroutine[Any, Any, None]
    ) -> None:
        """Runs a step that finds a connection for a call, as one of the given tasks until it is done."""
        task = asyncio.get_running_loop().create_task(self._run_guarded(call, name, step))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    def cancel(self, message_id: str, attempt: int) -> None:
        """Gives up an attempt, if it has not ended."""
        self.in_flight.cancel(message_id, attempt)

    def finish(self, call: EndpointCall, result: CallResult) -> None:
        """Ends a call with the same result for all its open messages."""
        self.in_flight.finish(call, result)

    def _send_on_idle(self, call: EndpointCall) -> bool:
        """Sends a call on an idle connection. Returns False if there is no usable one."""
        while (connection := self.idle.pop(call.endpoint)) is not None:
            if connection.is_closing():
                continue
            result = connection.send(call, self._render(call))
            if result is SendResult.NOT_SENT:
                self.idle.put_back(connection, call.endpoint)
                self._hold_back_unsent(call)
            if result is not SendResult.CONNECTION_DEAD:
                return True
        return False

    def _hold_back_unsent(self, call: EndpointCall) -> None:
        """Ends a call that this machine could not send, as a local failure that does not count against the endpoint."""
        self.reasons.note(Subject.HELD_BACK, "call: this machine could not send it", call.items[0].id)
        self.finish(call, CallResult(Outcome.LOCAL_FAILURE))

    async def _run_guarded(self, call: EndpointCall, name: str, step: Coroutine[Any, Any, None]) -> None:
        """Runs a step of a call; an unexpected error ends the call, so that its slot becomes free."""
        if not await self.supervisor.guarded(name, step):
            self.finish(call, CallResult(Outcome.LOCAL_FAILURE if call.connection is None else Outcome.RESET))

    async def _wait_and_send(self, call: EndpointCall, address: Address) -> None:
        """Sends a call on a connection that rests now, or on a new one if that connection is lost by then."""
        await self.idle.rest(call.endpoint)
        call.sent_us = self.clock()  # the wait is no part of the endpoint's latency
        self._end_denied(call, address)  # the list or a Retry-After may have changed, or a deadline passed
        if call.open_items and not self._send_on_idle(call):
            self._open_connection(call, address)

    async def _connect_and_send(self, call: EndpointCall, address: Address) -> None:
        started_us = self.clock()
        timeout_us = min(self.connect_timeout_us, call.timeout_at_us - started_us)
        try:
            async with asyncio.timeout(max(MIN_CONNECT_TIMEOUT_S, timeout_us / SECOND_US)):
                connection = await connect(partial(EndpointConnection, self), address, self.descriptor_reserve)
        except OSError as error:
            outcome = outcome_of_connect_error(error, self.clock() - started_us, timeout_us)
            if outcome is Outcome.LOCAL_FAILURE:
                self.reasons.note(Subject.HELD_BACK, f"call: {error.strerror or 'stood still'}", call.items[0].id)
            self.finish(call, CallResult(outcome))
            return
        self.connections.add(connection)
        self._end_denied(call, address)  # the list or a Retry-After may have changed, or a deadline passed
        if connection.is_closing():
            self.finish(call, CallResult(Outcome.NO_CONNECTION))
        elif self.addresses.get(call.endpoint) != address:
            connection.close("not listed any more")
        elif not call.open_items:
            self.keep_idle(connection, call.endpoint)
        else:
            self._send_on_new(connection, call)

    def _send_on_new(self, connection: EndpointConnection, call: EndpointCall) -> None:
        result = connection.send(call, self._render(call))
        if result is SendResult.CONNECTION_DEAD:
            self.finish(call, CallResult(Outcome.NO_CONNECTION))
        elif result is SendResult.NOT_SENT:
            self._hold_back_unsent(call)
            self.keep_idle(connection, call.endpoint)

    def _end_denied(self, call: EndpointCall, address: Address) -> None:
        """Ends the attempts of the messages of a call to this address that may not be sent now."""
        self.checks.end_denied(call, is_listed=self.addresses.get(call.endpoint) == address)

    def _render(self, call: EndpointCall) -> bytes:
        call.batched = len(call.open_items) > 1
        return render_call(call, self.addresses[call.endpoint], self.clock())

    # Connections

    def keep_idle(self, connection: EndpointConnection, endpoint: int) -> None:
        """Keeps a connection for the next call to its endpoint; closes it if enough are idle or it is unlisted."""
        if endpoint in self.addresses:
            self.idle.add(connection, endpoint)
        else:
            connection.close("enough idle ones are kept")

    def close_idle(self, endpoint: int, reason: str = "on demand") -> None:
        """Closes all idle connections to an endpoint."""
        self.idle.close_all_to(endpoint, reason)

    def connection_ended(self, connection: EndpointConnection) -> None:
        """Removes a connection that is closed."""
        self.connections.discard(connection)
        self.idle.remove(connection)

    def close(self) -> None:
        """Closes all connections because the process exits."""
        for connection in list(self.connections):
            connection.close("the process ends")

    # Hand-over to another process

    def settle(self) -> None:
        """Ends the calls whose connections are given up or closing, without waiting for the event loop.

        After a hand-over, the event loop of this process has no next iteration.
        """
        ending = [each for each in self.connections if each.is_closing() or each.given_up is not None]
        for connection in ending:
            connection.close("given up, and handed over")
            connection.settle()

    def hand_over(self) -> tuple[PoolRecord, list[EndpointConnection]]:
        """Returns the records of calls in flight and idle connections, and the connections to hand over.

        A call whose last byte is not yet written is handed over without its connection, since it will never run.
        """
        connections: list[EndpointConnection] = []
        calls = [_describe_call(call, connections) for call in self.in_flight.calls()]
        idle = [
            _describe_idle(connection, endpoint, connections)
            for endpoint, idle_connections in self.idle.by_endpoint.items()
            for connection in idle_connections
            if not connection.is_closing()
        ]
        return PoolRecord(tuple(calls), tuple(idle), self.retry_after.entries()), connections

    async def adopt(self, call: EndpointCall, sock: socket.socket | None, received: bytes) -> None:
        """Continues to wait for the answer to a call of the previous process.

        Args:
            call: the call.
            sock: the connection; None if the call was not written, so that it never ran.
            received: the part of the answer that was read.

        Raises:
            OSError: the connection cannot be used.
        """
        self.in_flight.add(call)
        if sock is None:
            self.finish(call, CallResult(Outcome.NOT_SENT))
            return
        call.written = True
        await self._attach(sock, call, received)
        self.in_flight.start_timeout(call)

    async def adopt_idle(self, endpoint: int, sock: socket.socket, idle_since_us: int) -> None:
        """Keeps an idle connection of the previous process.

        Raises:
            OSError: the connection cannot be used.
        """
        connection = await self._attach(sock)
        connection.has_carried_call = True
        if not connection.is_closing():
            self.keep_idle(connection, endpoint)
            connection.idle_since_us = idle_since_us

    async def _attach(
        self, sock: socket.socket, call: EndpointCall | None = None, received: bytes = b""
    ) -> EndpointConnection:
        retrying_sock = RetryingSocket.of(sock)
        retrying_sock.setblocking(False)
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: EndpointConnection(self, retrying_sock, call, received), sock=retrying_sock
        )
        if not connection.is_closing():
            self.connections.add(connection)
        return connection


def _describe_call(call: EndpointCall, connections: list[EndpointConnection]) -> CallRecord:
    """Returns the record of a call for another process; the call's connection is added to `connections`."""
    index = NO_CONNECTION
    if call.connection is not None and call.written and not call.connection.is_closing():
        index = len(connections)
        connections.append(call.connection)
    return CallRecord(
        connection=index,
        endpoint=call.endpoint,
        limit_scope=call.limit_scope,
        sent_us=call.sent_us,
        batched=call.batched,
        attempts=tuple(AttemptRecord(item.id, item.attempt, item.timeout_at_us) for item in call.open_items.values()),
        received=bytes(call.connection.received) if call.connection else b"",
    )


def _describe_idle(
    connection: EndpointConnection, endpoint: int, connections: list[EndpointConnection]
) -> IdleConnectionRecord:
    """Returns the record of an idle connection for another process; the connection is added to `connections`."""
    connections.append(connection)
    return IdleConnectionRecord(len(connections) - 1, endpoint, connection.idle_since_us)
