"""Retries, and connections to endpoints that are kept.

Streams over loopback sockets, through the real program.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from tests.sockets import free_port
from tests.streaming.harness import BIG, Stage, echo, play
from tests.streaming.peers import Exchange


def test_only_what_does_no_harm_is_sent_again(tmp_path: Path) -> None:
    """Of two endpoints one dies under each request; the other answers."""

    async def dies(exchange: Exchange) -> None:
        await exchange.read()
        exchange.reset()

    async def scene(stage: Stage) -> None:
        bad = await stage.endpoint(dies, "s1")
        good = await stage.endpoint(echo, "s2")
        await stage.node({"tries": 3})
        while not bad.exchanges:
            visitor = await stage.ask("GET")
            assert await visitor.whole() == (200, b"")
        before = len(good.exchanges)
        statuses = set()
        for _ in range(12):
            visitor = await stage.ask("POST", headers="Content-Length: 3\r\n", body=b"abc")
            statuses.add(await visitor.answered())
        assert statuses <= {200, 502, 503}
        sent = [e for e in [*bad.exchanges, *good.exchanges[before:]] if e.first.startswith("POST")]
        assert len(sent) <= 12  # none of them twice

    play(scene, tmp_path)


def test_a_refused_connection_is_tried_elsewhere_with_the_body_whole(tmp_path: Path) -> None:
    async def scene(stage: Stage) -> None:
        stage.platform.add_endpoint("s0", free_port())
        endpoint = await stage.endpoint(echo, "s1")
        await stage.node()
        for _ in range(6):
            visitor = await stage.ask("POST", headers=f"Content-Length: {len(BIG)}\r\n", body=BIG)
            assert await visitor.whole() == (200, BIG)
        assert all(e.body == BIG for e in endpoint.exchanges)
        assert endpoint.exchanges

    play(scene, tmp_path)


def test_connections_to_endpoints_are_kept_only_after_clean_ends(tmp_path: Path) -> None:
    closes = asyncio.Event()

    async def answering(exchange: Exchange) -> None:
        await exchange.read()
        if "once" in exchange.first:
            await exchange.answer(b"x", headers="Connection: close\r\n")
        elif "more" in exchange.first:
            await exchange.say(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n\r\n")
        else:
            await exchange.answer(b"x")
        if "then" in exchange.first:
            exchange.writer.close()
            closes.set()

    async def scene(stage: Stage) -> None:
        endpoint = await stage.open(answering)
        visitor = await stage.come()

        async def asked(method: str = "GET", path: str = "/a", **more: Any) -> int:
            visitor.ask(method, path, **more)
            assert await visitor.whole() == (200, b"x")
            return endpoint.connections

        assert [await asked(), await asked()] == [1, 1]
        assert await asked("POST", headers="Content-Length: 1\r\n", body=b"x") == 2  # what may not go twice
        assert await asked() == 2
        assert await asked(path="/once") == 2
        await endpoint.wait_until(lambda: endpoint.open < 2)
        count = await asked(path="/then")
        await closes.wait()
        await endpoint.wait_until(lambda: endpoint.open == 0 or count == 2)
        assert await asked() >= count  # a stale one is passed over
        count = await asked(path="/more")
        assert await asked() == count + 1

    play(scene, tmp_path)
