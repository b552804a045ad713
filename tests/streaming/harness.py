"""A platform, a forwarder with streaming, and endpoints: what the tests of the streaming extension are played on."""

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
from tests.streaming.peers import Endpoint, Exchange, Handler, Visitor, start_streaming_node

Scene = Callable[["Stage"], Awaitable[None]]
BIG = random.Random(1).randbytes(300_000)
ROUNDS_S = 0.05  # some rounds of decisions


class Stage:
    """A platform, a node with streaming, and one endpoint for destination 7."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.platform = folder, Platform()
        self.nodes: list[Node] = []
        self.visitors: list[Visitor] = []

    async def open(self, handler: Handler, table: dict[str, Any] | None = None, **more: Any) -> Endpoint:
        endpoint = await self.endpoint(handler)
        await self.node(table, **more)
        return endpoint

    async def endpoint(self, handler: Handler, name: str = "s1", **more: Any) -> Endpoint:
        endpoint = await Endpoint(handler).start()
        self.platform.add_endpoint(name, endpoint.port, **more)
        return endpoint

    async def node(self, table: dict[str, Any] | None = None, **more: Any) -> None:
        node, self.port = await start_streaming_node(self.folder, self.platform, table, **more)
        self.nodes.append(node)

    async def come(self, **more: Any) -> Visitor:
        visitor = await Visitor.come(self.nodes[-1], self.port, **more)
        self.visitors.append(visitor)
        return visitor

    async def ask(self, *args: Any, **more: Any) -> Visitor:
        visitor = await self.come()
        visitor.ask(*args, **more)
        return visitor

    async def standing(self) -> dict[str, int]:
        """What operators are told of streams."""
        told = await self.nodes[-1].call(b"STREAMS\n")
        found = re.match(r"ok (\d+) streams and (\d+) of \d+ clients; (\d+) bytes held, (\d+) at most", told)
        assert found is not None, told
        return dict(zip(("streams", "clients", "held", "most"), map(int, found.groups()), strict=True))

    async def until_none(self) -> dict[str, int]:
        """Until no stream is out. No byte is held then."""
        async with asyncio.timeout(PATIENCE):
            while (now := await self.standing())["streams"]:
                await asyncio.sleep(0.02)
        assert now["held"] == 0
        return now

    async def settled(self) -> int:
        """The bytes that are held, once nothing moves any more."""
        held, same = -1, 0
        async with asyncio.timeout(PATIENCE):
            while same < 5:
                now = (await self.standing())["held"]
                same = same + 1 if now == held and now else 0
                held = now
                await asyncio.sleep(0.05)
        return held

    async def logged(self, text: str) -> None:
        async with asyncio.timeout(PATIENCE):
            while not any(text in line for line in self.nodes[-1].log):
                await asyncio.sleep(0.01)


def play(scene: Scene, folder: Path) -> None:
    async def run() -> None:
        stage = Stage(folder)
        await stage.platform.start()
        try:
            await scene(stage)
        finally:
            for visitor in stage.visitors:
                visitor.close()
            for node in stage.nodes:
                await node.end()

    asyncio.run(run())


async def echo(exchange: Exchange) -> None:
    await exchange.answer(await exchange.read(), headers="Content-Type: text/x-echo\r\n")


def parts(data: bytes, size: int = 50_000) -> list[bytes]:
    return [data[at : at + size] for at in range(0, len(data), size)]


def chunked(*pieces: bytes, trailers: bytes = b"") -> bytes:
    return b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in pieces) + b"0\r\n" + trailers + b"\r\n"
