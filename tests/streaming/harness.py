"""The test harness of the streaming extension: a platform, a forwarder with streaming, endpoints and clients."""

from __future__ import annotations

import asyncio
import random
import re
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from tests.nodes import Node
from tests.platforms import Platform
from tests.sockets import PATIENCE
from tests.streaming.peers import Endpoint, Handler, ReceivedRequest, StreamClient, start_streaming_node

Scenario = Callable[["StreamingHarness"], Awaitable[None]]
LARGE_BODY = random.Random(1).randbytes(300_000)
DECISION_ROUNDS_S = 0.05  # time for several rounds of the dispatcher


class StreamingHarness:
    """A platform and, once they are started, nodes with streaming, endpoints (destination 7 by default) and clients."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.platform = folder, Platform()
        self.nodes: list[Node] = []
        self.clients: list[StreamClient] = []

    async def start(self, handler: Handler, settings: dict[str, Any] | None = None, **node_options: Any) -> Endpoint:
        endpoint = await self.add_endpoint(handler)
        await self.start_node(settings, **node_options)
        return endpoint

    async def add_endpoint(self, handler: Handler, name: str = "s1", **entry_fields: Any) -> Endpoint:
        endpoint = await Endpoint(handler).start()
        self.platform.add_endpoint(name, endpoint.port, **entry_fields)
        return endpoint

    async def start_node(self, settings: dict[str, Any] | None = None, **node_options: Any) -> None:
        node, self.port = await start_streaming_node(self.folder, self.platform, settings, **node_options)
        self.nodes.append(node)

    async def connect(self, **reader_options: Any) -> StreamClient:
        client = await StreamClient.connect(self.nodes[-1], self.port, **reader_options)
        self.clients.append(client)
        return client

    async def connect_and_send(self, *args: Any, **request_options: Any) -> StreamClient:
        client = await self.connect()
        client.send_request(*args, **request_options)
        return client

    async def stream_state(self) -> dict[str, int]:
        """Returns the figures that the admin command STREAMS reports."""
        answer = await self.nodes[-1].call(b"STREAMS\n")
        match = re.match(r"ok (\d+) streams and (\d+) of \d+ clients; (\d+) bytes held, (\d+) at most", answer)
        assert match is not None, answer
        return dict(zip(("streams", "clients", "held", "most"), map(int, match.groups()), strict=True))

    async def wait_until_no_streams(self) -> dict[str, int]:
        """Waits until no stream is in progress, and checks that no bytes are held then."""
        async with asyncio.timeout(PATIENCE):
            while (state := await self.stream_state())["streams"]:
                await asyncio.sleep(0.02)
        assert state["held"] == 0
        return state

    async def wait_until_settled(self) -> int:
        """Waits until the number of held bytes is stable and not zero. Returns it."""
        held, unchanged = -1, 0
        async with asyncio.timeout(PATIENCE):
            while unchanged < 5:
                now = (await self.stream_state())["held"]
                unchanged = unchanged + 1 if now == held and now else 0
                held = now
                await asyncio.sleep(0.05)
        return held

    async def wait_for_log(self, text: str) -> None:
        async with asyncio.timeout(PATIENCE):
            while not any(text in line for line in self.nodes[-1].log):
                await asyncio.sleep(0.01)


def run_scenario(scenario: Scenario, folder: Path) -> None:
    async def run() -> None:
        harness = StreamingHarness(folder)
        await harness.platform.start()
        try:
            await scenario(harness)
        finally:
            for client in harness.clients:
                client.close()
            for node in harness.nodes:
                await node.end()

    asyncio.run(run())


async def echo(request: ReceivedRequest) -> None:
    await request.respond(await request.read_body(), headers="Content-Type: text/x-echo\r\n")


def split_parts(data: bytes, size: int = 50_000) -> list[bytes]:
    return [data[at : at + size] for at in range(0, len(data), size)]


def encode_chunked(*pieces: bytes, trailers: bytes = b"") -> bytes:
    return b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in pieces) + b"0\r\n" + trailers + b"\r\n"
