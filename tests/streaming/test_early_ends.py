"""Ends that come early: of clients, of endpoints, of responses.

Streams over loopback sockets, through the real program.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from pathlib import Path

import pytest

from tests.sockets import free_port
from tests.streaming.harness import BIG, Stage, echo, play
from tests.streaming.peers import CHUNKED, Exchange


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
        await endpoint.wait_for_exchanges(1)
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
        await endpoint.wait_for_exchanges(1)
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
        await endpoint.wait_for_exchanges(1)
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
