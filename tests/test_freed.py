"""Guards against reference cycles in closed connections.

Memory would grow with each connection until the cyclic collector runs.
"""

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
HALF_MESSAGE = message("half")[:-3]


@pytest.fixture
def collector_disabled() -> Iterator[None]:
    gc.collect()
    gc.disable()
    logging.disable()  # log records that pytest keeps would hold the frames of errors
    yield
    logging.disable(logging.NOTSET)
    gc.enable()


@pytest.fixture
def created(monkeypatch: pytest.MonkeyPatch) -> list[weakref.ref[Any]]:
    """References to each new client connection, and to the reader of each new connection to endpoints and discovery."""
    refs: list[weakref.ref[Any]] = []
    for cls in (ClientConnection, ResponseReader):

        def recording_init(self: Any, *args: Any, init: Callable[..., None] = cls.__init__, **named: Any) -> None:
            init(self, *args, **named)
            refs.append(weakref.ref(self))

        monkeypatch.setattr(cls, "__init__", recording_init)
    return refs


async def wait_until_freed(created: list[weakref.ref[Any]], count: int) -> None:
    """Waits until all objects are freed. Handles of the event loop may hold one for a few iterations."""
    assert len(created) == count
    async with asyncio.timeout(PATIENCE / 4):
        while any(ref() is not None for ref in created):
            await asyncio.sleep(0.01)


async def send_and_close(address: Address, data: bytes, reset: bool) -> None:
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(data)
    if data != HALF_MESSAGE:
        await reader.readline()
    writer.transport.abort() if reset else writer.close()


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize(
    "data",
    [b"GET /up HTTP/1.1\r\n\r\n", message("bad", dest="none"), b"no request\r\n\r\n", HALF_MESSAGE],
    ids=["up", "refused", "unreadable", "half"],
)
def test_a_closed_client_connection_is_freed_without_the_collector(
    collector_disabled: None, created: list[weakref.ref[Any]], data: bytes, reset: bool
) -> None:
    async def scene() -> None:
        server = ClientServer(parse_settings(SETTINGS), Clock(), 100, lambda handed, door: None)
        server.listen(await bind(Address("127.0.0.1", 0)))
        assert server.listener is not None
        for _ in range(COUNT):
            await send_and_close(server.listener.address(), data, reset)
        await wait_until_freed(created, COUNT)
        server.close()

    asyncio.run(scene())


@pytest.mark.parametrize(
    "answer",
    [OK, None, b"HTTP/1.1 200 OK\r\nContent-Len", b"garbage\r\n\r\n"],
    ids=["whole", "none", "cut", "garbled"],
)
def test_a_closed_connection_to_an_endpoint_is_freed_without_the_collector(
    collector_disabled: None, created: list[weakref.ref[Any]], answer: Answer | bytes | None
) -> None:
    async def scene() -> None:
        async def answer_request(request: Request) -> Answer | bytes | None:
            if isinstance(answer, bytes):
                request.writer.write(answer)
                return None
            return answer

        peer, ends = await Peer(answer_request).start(), []
        pool = make_pool(ends)
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        for number in range(COUNT):
            pool.start(make_call(Clock(), f"m{number}"))
            async with asyncio.timeout(PATIENCE):
                while len(ends) <= number:
                    await asyncio.sleep(0.005)
            pool.close_idle(1)
        ends.clear()
        await wait_until_freed(created, COUNT)
        pool.close()

    asyncio.run(scene())


def test_a_closed_channel_to_discovery_is_freed_without_the_collector(
    collector_disabled: None, created: list[weakref.ref[Any]]
) -> None:
    async def scene() -> None:
        peer = await Peer(always(OK)).start()
        client, unused = DiscoveryClient(Address("127.0.0.1", peer.port)), DiscoveryChannel()
        created.clear()  # the client's first channel, the only one that never connects, does not count
        for _ in range(COUNT):
            assert (await client.request("GET", "/", PATIENCE)).status == 200
            client.close()
            client.channel = unused
        await wait_until_freed(created, COUNT)

    asyncio.run(scene())
