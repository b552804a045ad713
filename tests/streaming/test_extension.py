"""Streams over loopback sockets, through the real program."""

from __future__ import annotations

import asyncio
import os
import random
import re
import resource
import signal
import socket
import struct
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from tests.nodes import Node
from tests.platforms import Platform
from tests.sockets import OK, PATIENCE, Peer, always, free_port
from tests.streaming.peers import CHUNKED, Endpoint, Exchange, Handler, Visitor, streaming

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
        node, self.port = await streaming(self.folder, self.platform, table, **more)
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
        await endpoint.got(1)
        assert await visitor.answered() == 200
        held = await stage.settled()
        assert 0 < held <= 2 * (16_384 + 4096 + 64)
        go.set()
        assert await visitor.body() == much
        await endpoint.wait_until(lambda: endpoint.exchanges[0].whole)
        assert endpoint.exchanges[0].body == much
        assert (await stage.until_none())["most"] <= 2 * (16_384 + 4096 + 64)

    play(scene, tmp_path)


def parts(data: bytes, size: int = 50_000) -> list[bytes]:
    return [data[at : at + size] for at in range(0, len(data), size)]


def chunked(*pieces: bytes, trailers: bytes = b"") -> bytes:
    return b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in pieces) + b"0\r\n" + trailers + b"\r\n"


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


# Ends that come early


@pytest.mark.parametrize("status", ["413 Too Large", "200 OK"])
def test_an_answer_before_the_end_of_the_upload_reaches_the_client(tmp_path: Path, status: str) -> None:
    """The endpoint answers and closes over unread bytes, which resets its connection."""

    async def early(exchange: Exchange) -> None:
        await exchange.answer(b"enough", status)
        await exchange.read(1000)
        exchange.writer.close()

    async def scene(stage: Stage) -> None:
        endpoint = await stage.open(early)
        visitor = await stage.come()
        visitor.ask("POST", headers="Content-Length: 500000\r\n", body=BIG[:1000])
        assert await visitor.whole() == (int(status[:3]), b"enough")
        assert visitor.header("Connection") == "close"
        assert await visitor.gone() == b""
        assert not endpoint.exchanges[0].whole
        await stage.until_none()

    play(scene, tmp_path)


@pytest.mark.parametrize(
    ("headers", "body"),
    [("Content-Length: 300000\r\n", BIG[:100_000]), (CHUNKED, b"c350\r\n" + BIG[:50_000] + b"\r\n")],
)
def test_a_client_that_goes_in_its_upload_leaves_a_cut_request(tmp_path: Path, headers: str, body: bytes) -> None:
    async def scene(stage: Stage) -> None:
        endpoint = await stage.open(echo)
        visitor = await stage.ask("POST", headers=headers, body=body)
        await endpoint.got(1)
        visitor.writer.transport.abort()
        await endpoint.wait_until(lambda: len(endpoint.ended) == 1)
        assert endpoint.ended[0].cut
        assert not endpoint.ended[0].whole
        await stage.until_none()

    play(scene, tmp_path)


def test_a_client_that_ends_its_side_in_its_upload_is_told(tmp_path: Path) -> None:
    async def scene(stage: Stage) -> None:
        endpoint = await stage.open(echo)
        visitor = await stage.ask("POST", headers="Content-Length: 300000\r\n", body=BIG[:1000])
        await endpoint.got(1)
        visitor.writer.write_eof()
        assert (await visitor.whole())[0] == 400
        await endpoint.wait_until(lambda: len(endpoint.ended) == 1)
        assert endpoint.ended[0].cut

    play(scene, tmp_path)


def test_a_client_that_goes_in_its_answer_frees_the_endpoint(tmp_path: Path) -> None:
    async def endless(exchange: Exchange) -> None:
        await exchange.say("HTTP/1.1 200 OK\r\n" + CHUNKED + "\r\n")
        while True:
            await exchange.say(b"2710\r\n" + bytes(10_000) + b"\r\n")

    async def scene(stage: Stage) -> None:
        endpoint = await stage.open(endless)
        visitor = await stage.ask()
        assert await visitor.answered() == 200
        visitor.writer.transport.abort()
        await endpoint.wait_until(lambda: len(endpoint.ended) == 1)
        await stage.until_none()

    play(scene, tmp_path)


def test_a_client_that_is_reset_while_the_endpoint_is_silent_frees_it(tmp_path: Path) -> None:
    async def scene(stage: Stage) -> None:
        endpoint = await stage.open(lambda e: asyncio.sleep(3600))
        visitor = await stage.ask()
        await endpoint.got(1)
        reset = visitor.writer.get_extra_info("socket")
        reset.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        visitor.writer.transport.abort()
        await stage.until_none()

    play(scene, tmp_path)


def test_a_client_that_ends_its_side_still_reads_its_answer(tmp_path: Path) -> None:
    go = asyncio.Event()

    async def later(exchange: Exchange) -> None:
        await exchange.read()
        await go.wait()
        await exchange.answer(BIG)

    async def scene(stage: Stage) -> None:
        endpoint = await stage.open(later)
        visitor = await stage.ask("POST", headers="Content-Length: 5\r\n", body=b"hello")
        visitor.writer.write_eof()
        await endpoint.wait_until(lambda: bool(endpoint.exchanges) and endpoint.exchanges[0].whole)
        go.set()
        assert await visitor.whole() == (200, BIG)
        assert await visitor.gone() == b""

    play(scene, tmp_path)


CUTS = {
    "sized": "Content-Length: 5000\r\n\r\n" + 4000 * "x",
    "chunked": CHUNKED + "\r\n7d0\r\n" + 2000 * "x" + "\r\n",
    "chunk": CHUNKED + "\r\n7d0\r\n" + 200 * "x",
}


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("kind", [*CUTS, "to its end"])
def test_an_answer_that_is_cut_never_looks_complete(tmp_path: Path, kind: str, version: str) -> None:
    heard = asyncio.Event()

    async def dying(exchange: Exchange) -> None:
        await exchange.say("HTTP/1.1 200 OK\r\n" + CUTS.get(kind, "\r\n" + 500 * "x"))
        await heard.wait()
        if kind in CUTS:
            exchange.writer.close()
        else:
            exchange.reset()

    async def scene(stage: Stage) -> None:
        await stage.open(dying)
        visitor = await stage.ask(version=version)
        assert await visitor.answered() == 200
        heard.set()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
            await visitor.body()
        await stage.until_none()

    play(scene, tmp_path)


def test_failures_before_the_answer_have_their_status(tmp_path: Path) -> None:
    async def dies(exchange: Exchange) -> None:
        await exchange.read()
        exchange.writer.close()

    said = [
        text.replace("|", "\r\n")
        for text in (
            "HTTP/1.1 200 OK|Content-Length: 3|Content-Length: 4||abcd",
            "HTTP/1.1 200 OK|Transfer-Encoding: x||",
            "HTTP/1.1 200 OK|Content-Length: 3|Transfer-Encoding: chunked||",
            "HTTP/1.1 200 OK|Bad Header: x||",
            "HTTP/1.1 2000 OK||",
            "HTTP/1.1 101 Up||",
            "SMTP||",
            "HTTP/1.1 200 OK|X: " + 20_000 * "x" + "||",
            "HTTP/1.1 200 OK\n\n",
            20 * "HTTP/1.1 103 Hint||",
        )
    ]

    async def garbles(exchange: Exchange) -> None:
        await exchange.read()
        await exchange.say(said[int(exchange.headers["x-say"])])
        await asyncio.sleep(3600)

    async def scene(stage: Stage) -> None:
        await stage.endpoint(dies, block=7)
        endpoint = await stage.endpoint(garbles, "s2", block=8)
        stage.platform.add_endpoint("s3", free_port(), block=9)
        await stage.node({"tries": 1})
        visitor = await stage.come()
        visitor.ask("POST", headers="Content-Length: 3\r\n", body=b"abc")
        assert (await visitor.whole())[0] == 502
        visitor.ask(dest=9)  # the connection to the client went on
        assert (await visitor.whole())[0] == 502
        for n, text in enumerate(said):
            visitor.ask("POST", headers=f"X-Say: {n}\r\nContent-Length: 0\r\n", dest=8)
            while (status := await visitor.answered()) < 200:
                pass
            assert status == 502, text
            await visitor.body()
        assert len(endpoint.exchanges) == len(said)

    play(scene, tmp_path)


# Framing


def test_heads_that_can_be_read_in_two_ways_are_refused_and_nothing_is_sent_on(tmp_path: Path) -> None:
    good = "POST /big HTTP/1.1\r\nHost: x\r\nX-Addressing: dest=7\r\n"
    cases: list[tuple[str, int]] = [
        (good + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", 400),
        (good + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
        (good + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400),
        (good + "Content-Length: 3, 3\r\n\r\nabc", 400),
        (good + "Content-Length: -3\r\n\r\nabc", 400),
        (good + "Content-Length: +3\r\n\r\nabc", 400),
        (good + "Content-Length: 0x3\r\n\r\nabc", 400),
        (good + "Content-Length: " + 30 * "9" + "\r\n\r\nabc", 400),
        (good + "Transfer-Encoding: gzip\r\n\r\nabc", 400),
        (good + "Transfer-Encoding: gzip, chunked\r\n\r\nabc", 501),
        (good + "Transfer-Encoding: chunked, chunked\r\n\r\nabc", 400),
        (good + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", 400),
        (good + "Transfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n", 400),
        (good + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n", 400),
        (good + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n", 400),
        (good + "Transfer-Encoding: chunked\r\n\r\n" + 20 * "f" + "\r\nabc\r\n", 400),
        (good.replace("HTTP/1.1", "HTTP/1.0") + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (good + "X: a\nContent-Length: 3\r\n\r\nabc", 400),
        (good + "X: a\rContent-Length: 3\r\n\r\nabc", 400),
        (good + "X: a\x00b\r\n\r\n", 400),
        (good + "X: a\x08b\r\n\r\n", 400),
        (good + "X : a\r\n\r\n", 400),
        (good + " folded\r\n\r\n", 400),
        (good + ": a\r\n\r\n", 400),
        (good + "no colon\r\n\r\n", 400),
        (good + "Host: y\r\n\r\n", 400),
        (good.replace("Host: x\r\n", "") + "\r\n", 400),
        (good + "X-Addressing: dest=8\r\n\r\n", 400),
        (good.replace("dest=7", "dest=x") + "\r\n", 400),
        (good.replace("X-Addressing: dest=7\r\n", "") + "\r\n", 400),
        (good.replace("/big", "/big#x") + "\r\n", 400),
        (good.replace("/big", "ftp://x/big") + "\r\n", 400),
        (good.replace("/big", "/b\u00e9g") + "\r\n", 400),
        (good.replace("/big", "/b g") + "\r\n", 400),
        (good.replace("HTTP/1.1", "HTTP/2.0") + "\r\n", 505),
        (good.replace("HTTP/1.1", "HTTP/1.2") + "\r\n", 505),
        ("GET /big\r\n\r\n", 400),
        ("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400),
        (good + "X: " + 20_000 * "x" + "\r\n\r\n", 431),
        (good + "X: " + 20_000 * "x", 431),
        (good.replace("POST", "TRACE") + "\r\n", 501),
        (good.replace("POST", "OPTIONS") + "Max-Forwards: 0\r\n\r\n", 200),
        ("CONNECT host:1 HTTP/1.1\r\nHost: x\r\nX-Addressing: dest=7\r\n\r\n", 501),
        (good + "Connection: upgrade\r\nUpgrade: websocket\r\n\r\n", 501),
        (good + "Upgrade: h2c\r\n\r\n", 501),
        (good.replace("dest=7", "dest=99") + "\r\n", 503),
    ]

    async def scene(stage: Stage) -> None:
        endpoint = await stage.open(echo)
        for said, status in cases:
            visitor = await stage.come()
            visitor.writer.write(said.encode("latin-1"))
            assert (await visitor.answered(), said) == (status, said)
            assert status == 503 or visitor.header("Connection") == "close"
            await visitor.body()
            if status != 503:
                assert await visitor.gone() == b""
            visitor.close()
        assert not endpoint.exchanges
        assert not endpoint.connections
        await stage.until_none()
        visitor = await stage.ask("OPTIONS", headers="Max-Forwards: 5\r\n")
        assert (await visitor.whole())[0] == 200
        assert visitor.header("Date")
        assert endpoint.exchanges[0].headers["max-forwards"] == "4"
        lines = [line for line in stage.nodes[0].log if "refused with" in line]
        assert len(lines) == 1  # one line of its kind in ten seconds

    play(scene, tmp_path)


def test_a_body_that_goes_bad_half_way_is_cut_at_the_endpoint(tmp_path: Path) -> None:
    async def scene(stage: Stage) -> None:
        endpoint = await stage.open(echo)
        visitor = await stage.ask("POST", headers=CHUNKED, body=b"3\r\nabc\r\n")
        await endpoint.got(1)
        visitor.writer.write(b"nonsense\r\n")
        assert (await visitor.whole())[0] == 400
        await endpoint.wait_until(lambda: len(endpoint.ended) == 1)
        assert endpoint.ended[0].cut
        assert not endpoint.ended[0].whole

    play(scene, tmp_path)


def test_paths_of_messages_are_out_of_reach(tmp_path: Path) -> None:
    async def scene(stage: Stage) -> None:
        endpoint = await stage.open(echo)
        for path in (
            "/hook",
            "/hook/batch",
            "/x/../hook",
            "/%68ook",
            "/order",
            "/Status/1",
            "/up",
            "/notice",
            "http://x/hook",
        ):
            visitor = await stage.ask(
                "POST", path, "X-Correlation-Id: a\r\nX-Time-Left: 5\r\nContent-Length: 2\r\n", b"hi"
            )
            assert (await visitor.whole())[0] == 403, path
            visitor.close()
        assert not endpoint.connections

    play(scene, tmp_path)


def test_hop_by_hop_headers_are_dropped_both_ways(tmp_path: Path) -> None:
    async def answering(exchange: Exchange) -> None:
        await exchange.answer(
            b"x",
            headers="Connection: X-Mine, keep-alive, Via\r\nX-Mine: 1\r\nX-Yours: 2\r\n"
            "Keep-Alive: timeout=5\r\nProxy-Connection: y\r\nVia: 1.0 other\r\n",
        )

    async def scene(stage: Stage) -> None:
        endpoint = await stage.open(answering)
        visitor = await stage.ask(
            headers="Connection: x-secret, Host,, keep-alive\r\nX-Secret: 1\r\nTE: trailers\r\n"
            "Keep-Alive: 1\r\nX-Kept: 3\r\nVia: 1.0 before\r\nProxy-Connection: x\r\nTrailer: X\r\n"
        )
        assert await visitor.whole() == (200, b"x")
        assert [k for k, _ in endpoint.exchanges[0].fields] == [
            "Host",
            "X-Addressing",
            "X-Kept",
            "Via",
            "Trailer",
            "Via",
        ]
        assert "X-Yours: 2" in visitor.head
        assert visitor.head.count("Via: ") == 2
        for name in ("X-Mine", "Keep-Alive", "Proxy-Connection", "Connection"):
            assert visitor.header(name) is None

    play(scene, tmp_path)


def test_interim_answers_and_expectations_pass(tmp_path: Path) -> None:
    async def careful(exchange: Exchange) -> None:
        if exchange.first.startswith("PUT"):
            await exchange.answer(b"no", "417 Expectation Failed")
            return
        await exchange.say("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
        if "expect" in exchange.headers:
            await exchange.say("HTTP/1.1 100 Continue\r\n\r\n")
        await exchange.answer(await exchange.read())

    async def scene(stage: Stage) -> None:
        endpoint = await stage.open(careful)
        visitor = await stage.ask("POST", headers="Expect: 100-continue\r\nContent-Length: 5\r\n")
        assert await visitor.answered() == 103
        assert visitor.header("Link") == "</a>"
        assert await visitor.answered() == 100
        assert endpoint.exchanges[0].body == b""
        visitor.writer.write(b"hello")
        assert await visitor.whole() == (200, b"hello")
        assert visitor.header("Connection") is None
        visitor.ask("PUT", headers="Expect: 100-continue\r\nContent-Length: 5\r\n")
        assert await visitor.whole() == (417, b"no")
        assert visitor.header("Connection") == "close"
        old = await stage.ask(version="1.0")
        assert await old.whole() == (200, b"")
        assert old.header("Connection") == "close"

    play(scene, tmp_path)


def test_answers_without_a_body_end_with_their_head(tmp_path: Path) -> None:
    async def short(exchange: Exchange) -> None:
        status = exchange.first.split("/")[1].split(" ")[0]
        await exchange.say(
            f"HTTP/1.1 {status} X\r\n" + ("" if status == "204" else "Content-Length: 1000\r\n") + "\r\n"
        )

    async def scene(stage: Stage) -> None:
        endpoint = await stage.open(short)
        visitor = await stage.come()
        visitor.ask("HEAD", "/200")
        assert await visitor.answered() == 200
        await endpoint.wait_until(lambda: endpoint.open == 0)  # after a first call it is not known when the next comes
        for method, status, length in (
            ("HEAD", 200, "1000"),
            ("GET", 304, "1000"),
            ("GET", 204, None),
            ("HEAD", 404, "1000"),
        ):
            visitor.ask(method, f"/{status}")
            assert await visitor.answered() == status
            assert visitor.header("Content-Length") == length
            assert visitor.header("Transfer-Encoding") is None
            await asyncio.sleep(ROUNDS_S)  # the decisions have seen the end of the call
        assert endpoint.connections == 2
        assert endpoint.open == 1

    play(scene, tmp_path)


def test_trailers_pass_both_ways_but_for_those_that_frame_or_route(tmp_path: Path) -> None:
    async def trailing(exchange: Exchange) -> None:
        body = await exchange.read()
        await exchange.say(
            ("HTTP/1.1 200 OK\r\n" + CHUNKED + "\r\n").encode()
            + chunked(body, trailers=b"X-Sum: 9\r\nSet-Cookie: a=b\r\nHost: y\r\n")
        )

    async def scene(stage: Stage) -> None:
        endpoint = await stage.open(trailing)
        visitor = await stage.ask(
            "POST",
            headers=CHUNKED,
            body=chunked(b"hello", b"you", trailers=b"Digest: x\r\nX-Addressing: dest=8\r\nAuthorization: y\r\n"),
        )
        assert await visitor.answered() == 200
        assert await visitor.body() == b"helloyou"
        assert endpoint.exchanges[0].trailers == b"Digest: x\r\n"
        assert visitor.trailers == b"X-Sum: 9\r\n"
        assert visitor.header("Connection") is None
        for framing in (b"Content-Length: 3\r\n", b"Transfer-Encoding: x\r\n"):
            visitor = await stage.ask("POST", headers=CHUNKED, body=chunked(b"x", trailers=framing))
            assert (await visitor.whole())[0] == 400

    play(scene, tmp_path)


def test_an_answer_that_ends_with_its_connection_ends_in_order(tmp_path: Path) -> None:
    async def until_closed(exchange: Exchange) -> None:
        await exchange.say(b"HTTP/1.1 200 OK\r\n\r\n" + BIG)
        exchange.writer.close()

    async def in_chunks(exchange: Exchange) -> None:
        await exchange.say(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(BIG, b"x"))

    async def scene(stage: Stage) -> None:
        await stage.endpoint(in_chunks, "s2", block=8)
        await stage.open(until_closed)
        new = await stage.ask()
        assert await new.whole() == (200, BIG)
        assert new.header("Transfer-Encoding") == "chunked"
        new.ask(dest=8)
        assert await new.whole() == (200, BIG + b"x")
        for dest, body in ((7, BIG), (8, BIG + b"x")):
            old = await stage.ask(version="1.0", dest=dest)
            assert await old.whole() == (200, body)
            assert old.header("Transfer-Encoding") is None
            assert old.header("Connection") == "close"

    play(scene, tmp_path)


def test_requests_sent_at_once_are_answered_in_turn(tmp_path: Path) -> None:
    async def scene(stage: Stage) -> None:
        endpoint = await stage.open(echo)
        visitor = await stage.come()
        for n in range(5):
            visitor.ask("POST", headers="Content-Length: 2\r\n", body=b"%02d" % n)
        for n in range(5):
            assert await visitor.whole() == (200, b"%02d" % n)
        # Behind a last chunk the next request cannot be told apart: its client sends it again.
        behind = b"GET /never HTTP/1.1\r\nHost: x\r\n\r\n"
        visitor.ask("POST", headers=CHUNKED, body=chunked(b"last") + behind)
        assert await visitor.whole() == (200, b"last")
        assert visitor.header("Connection") == "close"
        assert await visitor.gone() == b""
        assert len(endpoint.exchanges) == 6

    play(scene, tmp_path)


# Stalled peers


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


# Retries and kept connections


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


# Drains, restarts and room


def lasting(go: asyncio.Event) -> Handler:
    async def handler(exchange: Exchange) -> None:
        await exchange.say("HTTP/1.1 200 OK\r\n" + CHUNKED + "\r\n1\r\na\r\n")
        await go.wait()
        await exchange.say("1\r\nb\r\n0\r\n\r\n")

    return handler


def test_leave_turns_new_streams_away_and_lets_those_that_are_out_end(tmp_path: Path) -> None:
    go = asyncio.Event()

    async def scene(stage: Stage) -> None:
        await stage.open(lasting(go))
        visitor = await stage.ask()
        assert await visitor.answered() == 200
        assert (await stage.nodes[0].call(b"LEAVE\n")).startswith("ok")
        late = await stage.ask()
        assert (await late.whole())[0] == 503
        assert late.header("Retry-After") == "1"
        assert await late.gone() == b""
        go.set()
        assert await visitor.body() == b"ab"
        assert await visitor.gone() == b""  # not kept during a drain
        assert (await stage.nodes[0].call(b"JOIN\n")).startswith("ok")
        again = await stage.ask()
        assert await again.whole() == (200, b"ab")

    play(scene, tmp_path)


def test_offline_and_the_list_take_no_stream_away(tmp_path: Path) -> None:
    go = asyncio.Event()

    async def scene(stage: Stage) -> None:
        await stage.open(lasting(go))
        node = stage.nodes[0]
        visitor = await stage.ask()
        assert await visitor.answered() == 200
        assert (await node.call(b"OFFLINE s1\n")).startswith("ok")
        late = await stage.ask()
        assert (await late.whole())[0] == 503
        assert int(late.header("Retry-After") or 0) >= 1
        node.process.send_signal(signal.SIGHUP)
        await stage.logged("the configuration was read again")
        go.set()
        assert await visitor.body() == b"ab"
        assert (await node.call(b"ONLINE s1\n")).startswith("ok")
        await stage.until_none()

    play(scene, tmp_path)


@pytest.mark.parametrize("ends", [True, False])
def test_sigterm_waits_for_streams_and_then_cuts_them(tmp_path: Path, ends: bool) -> None:
    go = asyncio.Event()

    async def scene(stage: Stage) -> None:
        await stage.open(lasting(go))
        node = stage.nodes[0]
        visitor = await stage.ask()
        assert await visitor.answered() == 200
        node.process.send_signal(signal.SIGTERM)
        await stage.logged("stopping")
        late = await stage.ask()
        assert (await late.whole())[0] == 503
        if ends:
            go.set()
            assert await visitor.body() == b"ab"
        else:
            assert await visitor.chunk() == b"a"
            with pytest.raises(ConnectionResetError):
                await visitor.chunk()
        async with asyncio.timeout(PATIENCE):
            assert await node.process.wait() == 0
        await node.drain
        assert any("streams were cut" in line for line in node.log) == (not ends)

    play(scene, tmp_path)


@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_an_upgrade_cuts_streams_and_serves_new_ones_at_their_address(tmp_path: Path, version: str) -> None:
    """Also where the end of the connection would be the end of the answer."""
    go = asyncio.Event()

    async def scene(stage: Stage) -> None:
        await stage.open(lasting(go))
        visitor = await stage.ask(version=version)
        assert await visitor.answered() == 200
        other = stage.nodes[0].successor()
        stage.nodes.append(other)
        await other.start()
        with pytest.raises(ConnectionResetError):
            await visitor.gone()
        go.set()
        again = await stage.ask()
        assert await again.whole() == (200, b"ab")

    play(scene, tmp_path)


def test_a_killed_process_does_not_end_an_answer_that_ends_with_its_connection(tmp_path: Path) -> None:
    async def scene(stage: Stage) -> None:
        await stage.open(lasting(asyncio.Event()))
        visitor = await stage.ask(version="1.0")
        assert await visitor.answered() == 200
        stage.nodes[0].process.kill()
        with pytest.raises(ConnectionResetError):
            await visitor.gone()

    play(scene, tmp_path)


def test_without_room_new_streams_hear_so_and_the_others_go_on(tmp_path: Path) -> None:
    """Memory for two: the third is told; messages are taken on and delivered meanwhile."""
    go = asyncio.Event()

    async def scene(stage: Stage) -> None:
        messages = await Peer(always(OK)).start()
        stage.platform.add_endpoint("m1", messages.port, block=8)
        await stage.endpoint(lasting(go), "s1")
        await stage.node({"memory_bytes": 2 * 2 * (16_384 + 4096 + 64)})
        first = await stage.ask()
        assert await first.answered() == 200
        second = await stage.ask()
        assert await second.answered() == 200
        for _ in range(3):
            third = await stage.ask()
            assert (await third.whole())[0] == 503
            assert third.header("Retry-After") == "1"
        assert (await stage.nodes[0].submit("m", dest=8))[0] == 202
        await messages.wait_for_requests(1)
        go.set()
        assert await first.body() == await second.body() == b"ab"
        await stage.until_none()
        third = await stage.ask()  # a client that has nothing out makes room
        assert await third.whole() == (200, b"ab")

    play(scene, tmp_path)


def test_streams_over_their_share_of_the_slots_are_turned_away(tmp_path: Path) -> None:
    go = asyncio.Event()

    async def scene(stage: Stage) -> None:
        for n in range(8):
            await stage.endpoint(lasting(go), f"s{n}", block=10 + n)
        await stage.node({"slots_share": 0.25})
        held = [await stage.ask(dest=10 + n) for n in range(2)]
        assert [await v.answered() for v in held] == [200, 200]
        late = await stage.ask(dest=12)
        assert (await late.whole())[0] == 503
        assert int(late.header("Retry-After") or 0) >= 1
        go.set()
        assert [await v.body() for v in held] == [b"ab", b"ab"]
        await stage.until_none()
        late.ask(dest=12)
        assert await late.whole() == (200, b"ab")

    play(scene, tmp_path)


def test_the_counted_peak_keeps_the_limit_with_all_streams_at_their_worst(tmp_path: Path) -> None:
    """As many streams as the memory holds, all blocked both ways."""
    each = 2 * (16_384 + 4096 + 64)

    async def worst(exchange: Exchange) -> None:
        exchange.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n" + bytes(9_000_000))
        await asyncio.sleep(3600)

    async def scene(stage: Stage) -> None:
        for n in range(4):
            await stage.endpoint(worst, f"s{n}", block=10 + n)
        await stage.node({"memory_bytes": 4 * each})
        for n in range(4):
            visitor = await stage.come(limit=1 << 16)
            visitor.ask("POST", headers="Content-Length: 9000000\r\n", body=bytes(9_000_000), dest=10 + n)
            assert await visitor.answered() == 200
        assert (await stage.standing())["streams"] == 4
        assert 0 < await stage.settled() <= 4 * each
        for visitor in stage.visitors:
            visitor.writer.transport.abort()
        assert (await stage.until_none())["most"] <= 4 * each

    play(scene, tmp_path)


def test_a_flood_of_connections_takes_no_descriptors_from_messages(tmp_path: Path) -> None:
    """The process may hold what streams were promised and a few for messages; 60 clients come at once."""

    async def scene(stage: Stage) -> None:
        messages = await Peer(always(OK)).start()
        stage.platform.add_endpoint("m1", messages.port, block=8)
        await stage.open(lasting(asyncio.Event()))
        node = stage.nodes[0]
        running = await stage.ask()
        assert await running.answered() == 200
        held = len(os.listdir(f"/proc/{node.process.pid}/fd"))
        most = held + 2 * 17 + 8 + 6
        resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (most, most))
        for n in range(5):
            await asyncio.gather(*(stage.ask() for _ in range(60)), return_exceptions=True)
            assert (await node.submit(f"m{n}", dest=8))[0] == 202
        await messages.wait_for_requests(5)
        assert await running.chunk() == b"a"
        assert not [line for line in node.log if "cannot accept" in line]

    play(scene, tmp_path)
