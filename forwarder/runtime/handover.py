"""Hands the state of this process over to a new one, and adopts the state of the previous process.

Messages, pending notices and the endpoint list are in the journal, which the new process reads unchanged. This module
describes the rest: calls in progress and their connections, client and admin connections with the bytes already read
of their requests, and learned state.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from dataclasses import astuple

from forwarder.clients.connection_handover import describe as describe_client
from forwarder.clients.listener import fileno
from forwarder.decisions.outcomes import Outcome
from forwarder.endpoints.call import CallItem, CallResult, EndpointCall, LimitScopeKey
from forwarder.runtime.context import Runtime
from forwarder.runtime.handover_format import (
    CallRecord,
    HandedAdminConnection,
    HandedClient,
    HandoverDescription,
)
from forwarder.runtime.ownership import HandoverState

RESERVED_DESCRIPTORS = 40
"""Descriptors that the two processes together need for other things than connections."""
OLD_ADMIN_ADDRESS_S = 10.0
"""Commands are answered at the admin address of the previous process for this long."""


log = logging.getLogger("forwarder.engine")


class HandoverSender:
    """Hands the state of this process over to another one."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime = runtime

    def hand_over(self, link: socket.socket) -> None:
        """Hands over to the process at the other end of a connection, and ends this process if that succeeds.

        The event loop is blocked during the call, so everything that arrives waits in the kernel for the new owner.

        Raises:
            OSError: the other process has closed the connection or does not answer.
        """
        runtime = self.runtime
        if runtime.run_state.is_stopping or runtime.run_state.is_closed:
            return
        self.settle()
        runtime.server.limit_partial_requests(runtime.memory_plan.handover_bytes)
        if not runtime.loop.sync_barrier():
            return  # calls and responses that wait for the sync cannot be handed over
        runtime.store.retry()
        if any(client.awaits_buffers() for client in runtime.server.connections):
            return  # an unsent answer would be lost with this process; the other one retries
        if runtime.invariants.may_hand_over() is not None:
            return  # the journal, from which the other process starts, lacks records; it retries
        description, descriptors = describe(runtime)
        if not runtime.ownership.transfer(link, description, descriptors):
            log.warning("the new process did not take over; this one keeps serving")
            return
        for extension in runtime.extensions:
            extension.abort()
        log.info("handed over: held=%d calls=%d", len(runtime.store.messages), runtime.pool.calls_in_flight)
        os._exit(0)  # another callback would read data that is meant for the other process

    def settle(self) -> None:
        """Processes everything that has arrived so far, so that nothing is pending between two rounds."""
        runtime = self.runtime
        runtime.pool.settle()
        runtime.loop.run_round()
        for client in runtime.server.connections:
            client.answer_waiting()
        if runtime.loop.has_work():
            runtime.loop.run_round()  # processes the events that the first round caused


class DescriptorTable:
    """The descriptors to hand over. The description refers to them by their index."""

    def __init__(self) -> None:
        self.descriptors: list[int] = []

    def add(self, descriptor: int) -> int:
        """Adds a descriptor. Returns its index."""
        self.descriptors.append(descriptor)
        return len(self.descriptors) - 1


def describe(runtime: Runtime) -> tuple[HandoverDescription, list[int]]:
    """Returns the state of a process that is not in its journal, and the descriptors that belong to it."""
    table = DescriptorTable()
    pool, connections = runtime.pool.hand_over()
    listener = runtime.server.listener
    assert listener is not None
    client_listener = table.add(listener.sock.fileno())
    endpoint_connections = [table.add(fileno(connection.transport)) for connection in connections]
    admin_listeners, admin_connections = _describe_admin(runtime, table)
    notice_connection = runtime.notices.idle_connection()
    description = HandoverDescription(
        clock_base_ns=runtime.clock.offset_ns,
        endpoint_numbers=runtime.endpoint_table.numbers,
        destinations=[*runtime.endpoint_table.destinations],
        learned_state=runtime.dispatcher.learned_state(),
        is_draining=runtime.drain.is_draining,
        client_listener=client_listener,
        endpoint_connections=endpoint_connections,
        pool=pool,
        admin_listeners=admin_listeners,
        admin_connections=admin_connections,
        clients=_describe_clients(runtime, table),
        notice_connection=None if notice_connection is None else table.add(fileno(notice_connection)),
        accepted_config=runtime.reloader.accepted,
    )
    return description, table.descriptors


def _describe_admin(runtime: Runtime, table: DescriptorTable) -> tuple[list[int], list[HandedAdminConnection]]:
    """Returns the admin interface's listeners at its own address, and the connections that have no answer yet."""
    listeners = [listener for address, listener in runtime.admin.listeners.items() if address == runtime.config.admin]
    connections = runtime.admin.connections
    known = {fileno(connection.transport) for connection in connections}
    accepted = [conn.fileno() for listener in listeners for conn in listener.attaching if conn.fileno() not in known]
    waiting = [
        HandedAdminConnection(table.add(fileno(connection.transport)), connection.line)
        for connection in connections
        if not connection.is_answered
    ]
    handed_listeners = [table.add(listener.sock.fileno()) for listener in listeners]
    return handed_listeners, waiting + [HandedAdminConnection(table.add(descriptor), b"") for descriptor in accepted]


def _describe_clients(runtime: Runtime, table: DescriptorTable) -> list[HandedClient]:
    """Returns the client connections, those in the middle of a request first.

    A connection counts twice while both processes have it open. Those beyond the socket limit, first of all the idle
    ones that were used least recently, are not handed over and close when this process ends.
    """
    server = runtime.server
    assert server.listener is not None
    records = [(client, record) for client in server.connections if (record := describe_client(client)) is not None]
    records.sort(key=lambda entry: (not entry[0].is_idle(), entry[0].last_used_us), reverse=True)
    free_sockets = (
        runtime.config.max_sockets - len(server.connections) - len(runtime.pool.connections) - RESERVED_DESCRIPTORS
    )
    known = {fileno(client.transport) for client in server.connections}
    accepted = [conn.fileno() for conn in server.listener.attaching if conn.fileno() not in known]
    handed = [
        HandedClient(table.add(fileno(client.transport)), record) for client, record in records[: max(0, free_sockets)]
    ]
    return handed + [HandedClient(table.add(descriptor), None) for descriptor in accepted]


async def adopt_calls(runtime: Runtime, handover: HandoverState) -> None:
    """Adopts the calls and endpoint connections of the previous process."""
    description = handover.description
    runtime.pool.retry_after.restore(description.pool.retry_after_until_us)
    for call in description.pool.calls:
        await _adopt_call(runtime, handover, call)
    for idle in description.pool.idle:
        sock = handover.socket(description.endpoint_connections[idle.connection])
        adoption = runtime.pool.adopt_idle(idle.endpoint, sock, idle.idle_since_us)
        await runtime.supervisor.guarded("hand-over of a connection", adoption)


async def _adopt_call(runtime: Runtime, handover: HandoverState, record: CallRecord) -> None:
    items = [
        CallItem(attempt.message_id, attempt.number, message.key, message.body, attempt.timeout_at_us, message.due_us)
        for attempt in record.attempts
        if (message := runtime.store.messages.get(attempt.message_id)) is not None
    ]
    if not items:
        return  # its connection is closed with the other descriptors that are not taken out
    sock = None
    if record.connection >= 0:
        sock = handover.socket(handover.description.endpoint_connections[record.connection])
    call = EndpointCall(
        record.endpoint, LimitScopeKey(*record.limit_scope), record.sent_us, items, batched=record.batched
    )
    try:
        await runtime.pool.adopt(call, sock, record.received)
    except OSError as error:  # the request was sent, but its outcome can no longer be read
        runtime.supervisor.record_failure("hand-over of a call", error)
        runtime.pool.finish(call, CallResult(Outcome.RESET))


async def adopt_notice_connection(runtime: Runtime, handover: HandoverState) -> None:
    """Adopts the connection for notices if it leads to the configured discovery address."""
    if handover.description.notice_connection is None:
        return
    sock = handover.socket(handover.description.notice_connection)
    try:
        is_current = sock.getpeername()[:2] == astuple(runtime.config.discovery)
    except OSError:
        is_current = False
    if is_current:
        await runtime.supervisor.guarded("hand-over of a connection", runtime.notices.client.adopt(sock))
    else:
        sock.close()


async def adopt_clients(runtime: Runtime, handover: HandoverState) -> None:
    """Adopts the client and admin connections of the previous process, and closes the other descriptors."""
    description = handover.description
    if description.is_draining:
        runtime.start_draining()
    for client in description.clients:
        sock = handover.socket(client.descriptor)
        await runtime.supervisor.guarded("hand-over of a client", runtime.server.adopt(sock, client.state))
    runtime.server.eviction_order.sort()
    for index in description.admin_listeners:
        listener = runtime.admin.listen(handover.socket(index))
        if listener.address() != runtime.config.admin:
            asyncio.get_running_loop().call_later(OLD_ADMIN_ADDRESS_S, listener.close)
    for connection in description.admin_connections:
        sock = handover.socket(connection.descriptor)
        adoption = runtime.admin.adopt(sock, connection.line)
        await runtime.supervisor.guarded("hand-over of an operator", adoption)
    handover.close_descriptors()
