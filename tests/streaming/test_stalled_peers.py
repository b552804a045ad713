"""Peers that stall are given up; silent ones that live have time.

Streams over loopback sockets, through the real program.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.streaming.harness import Stage, echo, play
from tests.streaming.peers import CHUNKED, Exchange


def test_stalled_peers_are_given_up(tmp_path: Path) -> None:
    async def scene(stage: Stage) -> None:
        async def still(exchange: Exchange) -> None:
            await asyncio.sleep(3600)

        endpoint = await stage.endpoint(echo)
        silent = await stage.endpoint(still, "s2", block=8)
        await stage.node({"idle_s": 0.5, "silent_s": 1.0, "head_s": 0.5, "tries": 1})
        half = await stage.ask("POST", headers="Content-Length: 10\r\n", body=b"half")
        assert (await half.whole())[0] == 408
        await endpoint.wait_until(lambda: len(endpoint.ended) == 1)
        assert endpoint.ended[0].cut
        head = await stage.come()
        head.writer.write(b"GET /big HTTP/1.1\r\nHo")
        assert (await head.whole())[0] == 408
        nothing = await stage.come()
        assert await nothing.gone() == b""
        waits = await stage.ask(dest=8)
        assert (await waits.whole())[0] == 504
        assert len(silent.exchanges) == 1
        await stage.until_none()

    play(scene, tmp_path)


def test_an_endpoint_that_takes_no_bytes_is_given_up(tmp_path: Path) -> None:
    async def scene(stage: Stage) -> None:
        await stage.endpoint(lambda e: asyncio.sleep(3600))
        await stage.node({"idle_s": 0.5, "silent_s": 30.0})
        visitor = await stage.ask("POST", headers="Content-Length: 90000000\r\n", body=bytes(20_000_000))
        assert (await visitor.whole())[0] == 504
        await stage.until_none()

    play(scene, tmp_path)


def test_a_client_that_reads_nothing_is_given_up(tmp_path: Path) -> None:
    async def scene(stage: Stage) -> None:
        async def much(exchange: Exchange) -> None:
            await exchange.answer(bytes(20_000_000))

        await stage.endpoint(much)
        await stage.node({"idle_s": 0.5})
        visitor = await stage.come(limit=1 << 16)
        visitor.ask()
        assert await visitor.answered() == 200
        await stage.until_none()

    play(scene, tmp_path)


def test_a_silent_but_live_answer_has_time_of_its_own(tmp_path: Path) -> None:
    """Three times as long as anybody else may stand still."""

    async def slow(exchange: Exchange) -> None:
        await asyncio.sleep(0.6)
        await exchange.say("HTTP/1.1 200 OK\r\n" + CHUNKED + "\r\n1\r\na\r\n")
        await asyncio.sleep(0.6)
        await exchange.say("1\r\nb\r\n0\r\n\r\n")

    async def scene(stage: Stage) -> None:
        await stage.endpoint(slow)
        await stage.node({"idle_s": 0.2, "silent_s": 30.0})
        visitor = await stage.ask()
        assert await visitor.whole() == (200, b"ab")

    play(scene, tmp_path)
