"""Heads, framing and what passes of them.

Streams over loopback sockets, through the real program.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.streaming.harness import BIG, ROUNDS_S, Stage, chunked, echo, play
from tests.streaming.peers import CHUNKED, Exchange


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
        await endpoint.wait_for_exchanges(1)
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
