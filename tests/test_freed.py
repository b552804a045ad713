"""What a connection leaves behind: nothing may wait for the cyclic collector, or memory grows with them."""

from __future__ import annotations

import asyncio
import gc
import logging
import weakref
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from forwarder.clients.client_connection import ClientConnection
from forwarder.clients.listener import bind
from forwarder.clients.server import ClientServer
from forwarder.config.config import Address
from forwarder.discovery.client import DiscoveryChannel, DiscoveryClient
from forwarder.protocol.http1 import ResponseReader
from forwarder.protocol.settings_format import parse_settings
from forwarder.storage.clock import Clock
from tests.endpoints.peers import make_call, make_pool
from tests.nodes import SETTINGS, message
from tests.sockets import OK, PATIENCE, Answer, Peer, Request, always

COUNT = 20
HALF = message("half")[:-3]


@pytest.fixture
def uncollected() -> Iterator[None]:
    gc.collect()
    gc.disable()
    logging.disable()  # records that the test run keeps would hold an error's frames
    yield
    logging.disable(logging.NOTSET)
    gc.enable()


@pytest.fixture
def made(monkeypatch: pytest.MonkeyPatch) -> list[weakref.ref[Any]]:
    """Each client connection, and the reader of each connection to endpoints and discovery, as it is made."""
    refs: list[weakref.ref[Any]] = []
    for cls in (ClientConnection, ResponseReader):

        def first(self: Any, *args: Any, begin: Callable[..., None] = cls.__init__, **named: Any) -> None:
            begin(self, *args, **named)
            refs.append(weakref.ref(self))

        monkeypatch.setattr(cls, "__init__", first)
    return refs


async def freed(made: list[weakref.ref[Any]], count: int) -> None:
    """Wait until none is left. Handles of the loop may hold one for some turns."""
    assert len(made) == count
    async with asyncio.timeout(PATIENCE / 4):
        while any(ref() is not None for ref in made):
            await asyncio.sleep(0.01)


async def ask_and_close(where: Address, data: bytes, reset: bool) -> None:
    reader, writer = await asyncio.open_connection(where.host, where.port)
    writer.write(data)
    if data != HALF:
        await reader.readline()
    writer.transport.abort() if reset else writer.close()


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize(
    "data",
    [b"GET /up HTTP/1.1\r\n\r\n", message("bad", dest="none"), b"no request\r\n\r\n", HALF],
    ids=["up", "refused", "unreadable", "half"],
)
def test_a_closed_client_connection_is_freed_without_the_collector(
    uncollected: None, made: list[weakref.ref[Any]], data: bytes, reset: bool
) -> None:
    async def scene() -> None:
        server = ClientServer(parse_settings(SETTINGS), Clock(), 100, lambda handed, door: None)
        server.listen(await bind(Address("127.0.0.1", 0)))
        assert server.listener is not None
        for _ in range(COUNT):
            await ask_and_close(server.listener.address(), data, reset)
        await freed(made, COUNT)
        server.close()

    asyncio.run(scene())


@pytest.mark.parametrize(
    "answer", [OK, None, b"HTTP/1.1 200 OK\r\nContent-Len", b"garbage\r\n\r\n"], ids=["whole", "none", "cut", "garbled"]
)
def test_a_closed_connection_to_an_endpoint_is_freed_without_the_collector(
    uncollected: None, made: list[weakref.ref[Any]], answer: Answer | bytes | None
) -> None:
    async def scene() -> None:
        async def once(request: Request) -> Answer | bytes | None:
            if isinstance(answer, bytes):
                request.writer.write(answer)
                return None
            return answer

        peer, ends = await Peer(once).start(), []
        pool = make_pool(ends)
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        for n in range(COUNT):
            pool.start(make_call(Clock(), f"m{n}"))
            async with asyncio.timeout(PATIENCE):
                while len(ends) <= n:
                    await asyncio.sleep(0.005)
            pool.close_idle(1)
        ends.clear()
        await freed(made, COUNT)
        pool.close()

    asyncio.run(scene())


def test_a_closed_channel_to_discovery_is_freed_without_the_collector(
    uncollected: None, made: list[weakref.ref[Any]]
) -> None:
    async def scene() -> None:
        peer = await Peer(always(OK)).start()
        client, unused = DiscoveryClient(Address("127.0.0.1", peer.port)), DiscoveryChannel()
        made.clear()  # its first channel is never connected, and the only one such
        for _ in range(COUNT):
            assert (await client.request("GET", "/", PATIENCE)).status == 200
            client.close()
            client.channel = unused
        await freed(made, COUNT)

    asyncio.run(scene())
