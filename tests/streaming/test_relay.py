"""Requests and responses pass both ways at once, slower or faster.

Streams over loopback sockets, through the real program.
"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import pytest

from tests.sockets import OK, Peer, always
from tests.streaming.harness import BIG, Stage, chunked, echo, parts, play
from tests.streaming.peers import CHUNKED, Exchange


def test_upload_and_answer_pass_unchanged_beside_messages(tmp_path: Path) -> None:
    async def scene(stage: Stage) -> None:
        messages = await Peer(always(OK)).start()
        stage.platform.add_endpoint("m1", messages.port, block=8)
        endpoint = await stage.open(echo)
        visitor = await stage.ask("POST", "/big/file?a=b&c=%2F", f"X-Own: é\r\nContent-Length: {len(BIG)}\r\n", BIG)
        assert await visitor.whole() == (200, BIG)
        assert visitor.header("Content-Type") == "text/x-echo"
        assert visitor.header("Via") == "1.1 lemonshunt"
        exchange = endpoint.exchanges[0]
        assert exchange.first == "POST /big/file?a=b&c=%2F HTTP/1.1"
        assert exchange.fields == [
            ("Host", "origin.svc"),
            ("X-Addressing", "dest=7"),
            ("X-Own", "é"),
            ("Via", "1.1 lemonshunt"),
            ("Content-Length", str(len(BIG))),
        ]
        assert (await stage.nodes[0].submit("m", dest=8))[0] == 202
        assert (await messages.wait_for_requests(1))[0].path == "/hook"
        assert not stage.platform.notices

    play(scene, tmp_path)


# Both ways, slower or faster


@pytest.mark.parametrize("framed", ["sized", "chunked"])
def test_reading_stops_while_the_other_side_does_not_read(tmp_path: Path, framed: str) -> None:
    """Both ways at once, more than the sockets take: nothing more is read than may be held."""
    much = random.Random(2).randbytes(12_000_000)
    go = asyncio.Event()

    async def slow(exchange: Exchange) -> None:
        exchange.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(*parts(much)))
        await go.wait()
        await exchange.read()
        await exchange.writer.drain()

    async def scene(stage: Stage) -> None:
        endpoint = await stage.open(slow)
        visitor = await stage.come(limit=1 << 16)
        if framed == "sized":
            visitor.ask("POST", headers=f"Content-Length: {len(much)}\r\n", body=much)
        else:
            visitor.ask("POST", headers=CHUNKED, body=chunked(*parts(much)))
        await endpoint.wait_for_exchanges(1)
        assert await visitor.answered() == 200
        held = await stage.settled()
        assert 0 < held <= 2 * (16_384 + 4096 + 64)
        go.set()
        assert await visitor.body() == much
        await endpoint.wait_until(lambda: endpoint.exchanges[0].whole)
        assert endpoint.exchanges[0].body == much
        assert (await stage.until_none())["most"] <= 2 * (16_384 + 4096 + 64)

    play(scene, tmp_path)


def test_a_chunk_of_an_event_stream_comes_before_the_next_is_sent(tmp_path: Path) -> None:
    heard = [asyncio.Event() for _ in range(5)]

    async def events(exchange: Exchange) -> None:
        await exchange.say("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + CHUNKED + "\r\n")
        for n, event in enumerate(heard):
            await exchange.say(f"8\r\ndata: {n}\n\r\n")
            await event.wait()
        await exchange.say("0\r\n\r\n")

    async def scene(stage: Stage) -> None:
        await stage.open(events)
        visitor = await stage.ask()
        assert await visitor.answered() == 200
        for n, event in enumerate(heard):
            assert await visitor.chunk() == b"data: %d\n" % n
            event.set()
        assert await visitor.chunk() == b""

    play(scene, tmp_path)
