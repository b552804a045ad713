"""Tests which client connections are closed to make room, and how many are checked for that."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

import pytest

from forwarder.clients.eviction_order import EvictionOrder
from forwarder.clients.listener import bind
from forwarder.clients.server import MAX_EVICTION_PROPOSALS, ClientServer
from forwarder.config.config import Address
from forwarder.protocol.settings_format import parse_settings
from forwarder.storage.clock import Clock
from tests.clients.peers import reject_all
from tests.nodes import SETTINGS
from tests.sockets import PATIENCE

NEW_CONNECTIONS = 100
NEW_SINCE_US = 100


@dataclass(eq=False)
class FakeConnection:
    name: str
    opened_us: int
    last_used_us: int = 0
    has_sent_request: bool = False


def proposed_names(order: EvictionOrder[FakeConnection], max_proposals: int = 100) -> str:
    return "".join(each.name for each in order.propose(NEW_SINCE_US, max_proposals))


def test_connections_without_a_request_go_first_then_the_least_recently_used_then_new_ones() -> None:
    order: EvictionOrder[FakeConnection] = EvictionOrder()
    used = [FakeConnection(name, 0, has_sent_request=True) for name in "abc"]
    without_request = [FakeConnection("s", 10), FakeConnection("t", 20)]
    new = FakeConnection("n", NEW_SINCE_US)
    for each in (*used, *without_request, new):
        order.note_use(each)
    order.note_use(used[0])
    order.note_use(without_request[0])
    assert proposed_names(order) == "stbcanst"


def test_a_connection_that_could_not_be_closed_is_proposed_again_after_all_others() -> None:
    order: EvictionOrder[FakeConnection] = EvictionOrder()
    for name in "abcd":
        order.note_use(FakeConnection(name, 0, has_sent_request=True))
    assert proposed_names(order, 2) == "ab"
    assert proposed_names(order, 2) == "cd"
    assert order.proposed_count == 4


def test_handed_over_connections_are_sorted_by_their_last_use() -> None:
    order: EvictionOrder[FakeConnection] = EvictionOrder()
    for name, last_used_us in (("c", 3), ("a", 1), ("b", 2)):
        order.note_use(FakeConnection(name, 0, last_used_us, has_sent_request=True))
    order.sort()
    assert proposed_names(order) == "abc"


async def proposals_for_new_connections(max_connections: int) -> int:
    """Returns the number of connections proposed while new connections replace others."""
    server = ClientServer(parse_settings(SETTINGS), Clock(), max_connections, reject_all)
    sock = await bind(Address("127.0.0.1", 0))
    server.listen(sock)
    clients = []
    async with asyncio.timeout(PATIENCE):
        for count in (max_connections, NEW_CONNECTIONS):
            for _ in range(count):
                clients.append(socket.create_connection(sock.getsockname()))
                clients[-1].send(b"GET /up HTTP/1.1\r\n\r\n")
                assert await asyncio.get_running_loop().run_in_executor(None, clients[-1].recv, 1000)
    assert len(server.connections) <= max_connections
    for client in clients:
        client.close()
    server.close()
    return server.eviction_order.proposed_count


def test_an_eviction_checks_no_more_connections_if_more_are_open() -> None:
    """Guards against `lost` with many connections: each eviction sorted all of them and delayed requests."""
    proposals = [asyncio.run(proposals_for_new_connections(max_connections)) for max_connections in (50, 500)]
    assert proposals[0] >= NEW_CONNECTIONS
    assert proposals[1] <= proposals[0]


@pytest.mark.parametrize("max_connections", [50, 500])
def test_an_eviction_checks_few_connections_if_all_have_unread_requests(max_connections: int) -> None:
    """Guards against the same delay while no connection may be closed."""

    async def scene() -> None:
        server = ClientServer(parse_settings(SETTINGS), Clock(), max_connections, reject_all)
        sock = await bind(Address("127.0.0.1", 0))
        server.listen(sock)
        clients = [socket.create_connection(sock.getsockname()) for _ in range(max_connections)]
        async with asyncio.timeout(PATIENCE):
            while len(server.connections) < max_connections:
                await asyncio.sleep(0.01)
        for client in clients:
            client.send(b"GET /up HTTP/1.1\r\n\r\n")
        proposals = server.eviction_order.proposed_count
        server.evict_for_descriptor()
        assert server.eviction_order.proposed_count - proposals <= MAX_EVICTION_PROPOSALS
        assert not server.closing
        for client in clients:
            client.close()
        server.close()

    asyncio.run(scene())
