"""Heads and framing: what is refused, what is relayed, and what is removed.

The streams pass over loopback sockets through the real program.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.streaming.harness import DECISION_ROUNDS_S, LARGE_BODY, StreamingHarness, echo, encode_chunked, run_scenario
from tests.streaming.peers import CHUNKED_FIELD, ReceivedRequest


def test_ambiguous_or_unsupported_requests_are_refused_and_not_relayed(tmp_path: Path) -> None:
    valid_head = "POST /big HTTP/1.1\r\nHost: x\r\nX-Addressing: dest=7\r\n"
    cases: list[tuple[str, int]] = [
        (valid_head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", 400),
        (valid_head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
        (valid_head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400),
        (valid_head + "Content-Length: 3, 3\r\n\r\nabc", 400),
        (valid_head + "Content-Length: -3\r\n\r\nabc", 400),
        (valid_head + "Content-Length: +3\r\n\r\nabc", 400),
        (valid_head + "Content-Length: 0x3\r\n\r\nabc", 400),
        (valid_head + "Content-Length: " + 30 * "9" + "\r\n\r\nabc", 400),
        (valid_head + "Transfer-Encoding: gzip\r\n\r\nabc", 400),
        (valid_head + "Transfer-Encoding: gzip, chunked\r\n\r\nabc", 501),
        (valid_head + "Transfer-Encoding: chunked, chunked\r\n\r\nabc", 400),
        (valid_head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", 400),
        (valid_head + "Transfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n", 400),
        (valid_head + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n", 400),
        (valid_head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n", 400),
        (valid_head + "Transfer-Encoding: chunked\r\n\r\n" + 20 * "f" + "\r\nabc\r\n", 400),
        (valid_head.replace("HTTP/1.1", "HTTP/1.0") + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (valid_head + "X: a\nContent-Length: 3\r\n\r\nabc", 400),
        (valid_head + "X: a\rContent-Length: 3\r\n\r\nabc", 400),
        (valid_head + "X: a\x00b\r\n\r\n", 400),
        (valid_head + "X: a\x08b\r\n\r\n", 400),
        (valid_head + "X : a\r\n\r\n", 400),
        (valid_head + " folded\r\n\r\n", 400),
        (valid_head + ": a\r\n\r\n", 400),
        (valid_head + "no colon\r\n\r\n", 400),
        (valid_head + "Host: y\r\n\r\n", 400),
        (valid_head.replace("Host: x\r\n", "") + "\r\n", 400),
        (valid_head + "X-Addressing: dest=8\r\n\r\n", 400),
        (valid_head.replace("dest=7", "dest=x") + "\r\n", 400),
        (valid_head.replace("X-Addressing: dest=7\r\n", "") + "\r\n", 400),
        (valid_head.replace("/big", "/big#x") + "\r\n", 400),
        (valid_head.replace("/big", "ftp://x/big") + "\r\n", 400),
        (valid_head.replace("/big", "/b\u00e9g") + "\r\n", 400),
        (valid_head.replace("/big", "/b g") + "\r\n", 400),
        (valid_head.replace("HTTP/1.1", "HTTP/2.0") + "\r\n", 505),
        (valid_head.replace("HTTP/1.1", "HTTP/1.2") + "\r\n", 505),
        ("GET /big\r\n\r\n", 400),
        ("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400),
        (valid_head + "X: " + 20_000 * "x" + "\r\n\r\n", 431),
        (valid_head + "X: " + 20_000 * "x", 431),
        (valid_head.replace("POST", "TRACE") + "\r\n", 501),
        (valid_head.replace("POST", "OPTIONS") + "Max-Forwards: 0\r\n\r\n", 200),
        ("CONNECT host:1 HTTP/1.1\r\nHost: x\r\nX-Addressing: dest=7\r\n\r\n", 501),
        (valid_head + "Connection: upgrade\r\nUpgrade: websocket\r\n\r\n", 501),
        (valid_head + "Upgrade: h2c\r\n\r\n", 501),
        (valid_head.replace("dest=7", "dest=99") + "\r\n", 503),
    ]

    async def scenario(harness: StreamingHarness) -> None:
        endpoint = await harness.start(echo)
        for request_text, status in cases:
            client = await harness.connect()
            client.writer.write(request_text.encode("latin-1"))
            assert (await client.read_status(), request_text) == (status, request_text)
            assert status == 503 or client.header("Connection") == "close"
            await client.read_body()
            if status != 503:
                assert await client.read_until_close() == b""
            client.close()
        assert not endpoint.requests
        assert not endpoint.connection_count
        await harness.wait_until_no_streams()
        client = await harness.connect_and_send("OPTIONS", headers="Max-Forwards: 5\r\n")
        assert (await client.read_response())[0] == 200
        assert client.header("Date")
        assert endpoint.requests[0].headers["max-forwards"] == "4"
        lines = [line for line in harness.nodes[0].log if "refused with" in line]
        assert len(lines) == 1  # at most one line for each event in ten seconds

    run_scenario(scenario, tmp_path)


def test_the_endpoint_sees_a_truncated_request_if_the_body_becomes_invalid(tmp_path: Path) -> None:
    async def scenario(harness: StreamingHarness) -> None:
        endpoint = await harness.start(echo)
        client = await harness.connect_and_send("POST", headers=CHUNKED_FIELD, body=b"3\r\nabc\r\n")
        await endpoint.wait_for_requests(1)
        client.writer.write(b"nonsense\r\n")
        assert (await client.read_response())[0] == 400
        await endpoint.wait_until(lambda: len(endpoint.finished_requests) == 1)
        assert endpoint.finished_requests[0].truncated
        assert not endpoint.finished_requests[0].complete

    run_scenario(scenario, tmp_path)


def test_reserved_paths_are_refused(tmp_path: Path) -> None:
    async def scenario(harness: StreamingHarness) -> None:
        endpoint = await harness.start(echo)
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
            client = await harness.connect_and_send(
                "POST", path, "X-Correlation-Id: a\r\nX-Time-Left: 5\r\nContent-Length: 2\r\n", b"hi"
            )
            assert (await client.read_response())[0] == 403, path
            client.close()
        assert not endpoint.connection_count

    run_scenario(scenario, tmp_path)


def test_hop_by_hop_headers_are_removed_in_both_directions(tmp_path: Path) -> None:
    async def respond(request: ReceivedRequest) -> None:
        await request.respond(
            b"x",
            headers="Connection: X-Mine, keep-alive, Via\r\nX-Mine: 1\r\nX-Yours: 2\r\n"
            "Keep-Alive: timeout=5\r\nProxy-Connection: y\r\nVia: 1.0 other\r\n",
        )

    async def scenario(harness: StreamingHarness) -> None:
        endpoint = await harness.start(respond)
        client = await harness.connect_and_send(
            headers="Connection: x-secret, Host,, keep-alive\r\nX-Secret: 1\r\nTE: trailers\r\n"
            "Keep-Alive: 1\r\nX-Kept: 3\r\nVia: 1.0 before\r\nProxy-Connection: x\r\nTrailer: X\r\n"
        )
        assert await client.read_response() == (200, b"x")
        assert [k for k, _ in endpoint.requests[0].fields] == [
            "Host",
            "X-Addressing",
            "X-Kept",
            "Via",
            "Trailer",
            "Via",
        ]
        assert "X-Yours: 2" in client.head
        assert client.head.count("Via: ") == 2
        for name in ("X-Mine", "Keep-Alive", "Proxy-Connection", "Connection"):
            assert client.header(name) is None

    run_scenario(scenario, tmp_path)


def test_interim_responses_and_expectations_are_relayed(tmp_path: Path) -> None:
    async def respond_with_interim(request: ReceivedRequest) -> None:
        if request.request_line.startswith("PUT"):
            await request.respond(b"no", "417 Expectation Failed")
            return
        await request.send("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
        if "expect" in request.headers:
            await request.send("HTTP/1.1 100 Continue\r\n\r\n")
        await request.respond(await request.read_body())

    async def scenario(harness: StreamingHarness) -> None:
        endpoint = await harness.start(respond_with_interim)
        client = await harness.connect_and_send("POST", headers="Expect: 100-continue\r\nContent-Length: 5\r\n")
        assert await client.read_status() == 103
        assert client.header("Link") == "</a>"
        assert await client.read_status() == 100
        assert endpoint.requests[0].body == b""
        client.writer.write(b"hello")
        assert await client.read_response() == (200, b"hello")
        assert client.header("Connection") is None
        client.send_request("PUT", headers="Expect: 100-continue\r\nContent-Length: 5\r\n")
        assert await client.read_response() == (417, b"no")
        assert client.header("Connection") == "close"
        http10_client = await harness.connect_and_send(version="1.0")
        assert await http10_client.read_response() == (200, b"")
        assert http10_client.header("Connection") == "close"

    run_scenario(scenario, tmp_path)


def test_responses_without_a_body_end_with_their_head(tmp_path: Path) -> None:
    async def respond_without_body(request: ReceivedRequest) -> None:
        status = request.request_line.split("/")[1].split(" ")[0]
        await request.send(
            f"HTTP/1.1 {status} X\r\n" + ("" if status == "204" else "Content-Length: 1000\r\n") + "\r\n"
        )

    async def scenario(harness: StreamingHarness) -> None:
        endpoint = await harness.start(respond_without_body)
        client = await harness.connect()
        client.send_request("HEAD", "/200")
        assert await client.read_status() == 200
        # After a first call the time of the next one is unknown.
        await endpoint.wait_until(lambda: endpoint.open_connections == 0)
        for method, status, length in (
            ("HEAD", 200, "1000"),
            ("GET", 304, "1000"),
            ("GET", 204, None),
            ("HEAD", 404, "1000"),
        ):
            client.send_request(method, f"/{status}")
            assert await client.read_status() == status
            assert client.header("Content-Length") == length
            assert client.header("Transfer-Encoding") is None
            await asyncio.sleep(DECISION_ROUNDS_S)  # until the dispatcher has seen the end of the call
        assert endpoint.connection_count == 2
        assert endpoint.open_connections == 1

    run_scenario(scenario, tmp_path)


def test_trailers_pass_in_both_directions_except_those_for_framing_or_routing(tmp_path: Path) -> None:
    async def respond_with_trailers(request: ReceivedRequest) -> None:
        body = await request.read_body()
        await request.send(
            ("HTTP/1.1 200 OK\r\n" + CHUNKED_FIELD + "\r\n").encode()
            + encode_chunked(body, trailers=b"X-Sum: 9\r\nSet-Cookie: a=b\r\nHost: y\r\n")
        )

    async def scenario(harness: StreamingHarness) -> None:
        endpoint = await harness.start(respond_with_trailers)
        client = await harness.connect_and_send(
            "POST",
            headers=CHUNKED_FIELD,
            body=encode_chunked(
                b"hello", b"you", trailers=b"Digest: x\r\nX-Addressing: dest=8\r\nAuthorization: y\r\n"
            ),
        )
        assert await client.read_status() == 200
        assert await client.read_body() == b"helloyou"
        assert endpoint.requests[0].trailers == b"Digest: x\r\n"
        assert client.trailers == b"X-Sum: 9\r\n"
        assert client.header("Connection") is None
        for framing in (b"Content-Length: 3\r\n", b"Transfer-Encoding: x\r\n"):
            client = await harness.connect_and_send(
                "POST", headers=CHUNKED_FIELD, body=encode_chunked(b"x", trailers=framing)
            )
            assert (await client.read_response())[0] == 400

    run_scenario(scenario, tmp_path)


def test_a_response_that_ends_with_its_connection_is_relayed_to_its_end(tmp_path: Path) -> None:
    async def respond_until_close(request: ReceivedRequest) -> None:
        await request.send(b"HTTP/1.1 200 OK\r\n\r\n" + LARGE_BODY)
        request.writer.close()

    async def respond_in_chunks(request: ReceivedRequest) -> None:
        await request.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + encode_chunked(LARGE_BODY, b"x"))

    async def scenario(harness: StreamingHarness) -> None:
        await harness.add_endpoint(respond_in_chunks, "s2", block=8)
        await harness.start(respond_until_close)
        http11_client = await harness.connect_and_send()
        assert await http11_client.read_response() == (200, LARGE_BODY)
        assert http11_client.header("Transfer-Encoding") == "chunked"
        http11_client.send_request(dest=8)
        assert await http11_client.read_response() == (200, LARGE_BODY + b"x")
        for dest, body in ((7, LARGE_BODY), (8, LARGE_BODY + b"x")):
            http10_client = await harness.connect_and_send(version="1.0", dest=dest)
            assert await http10_client.read_response() == (200, body)
            assert http10_client.header("Transfer-Encoding") is None
            assert http10_client.header("Connection") == "close"

    run_scenario(scenario, tmp_path)


def test_pipelined_requests_are_answered_in_order(tmp_path: Path) -> None:
    async def scenario(harness: StreamingHarness) -> None:
        endpoint = await harness.start(echo)
        client = await harness.connect()
        for n in range(5):
            client.send_request("POST", headers="Content-Length: 2\r\n", body=b"%02d" % n)
        for n in range(5):
            assert await client.read_response() == (200, b"%02d" % n)
        # Bytes after a last chunk cannot be separated from it: the client has to send this request again.
        pipelined = b"GET /never HTTP/1.1\r\nHost: x\r\n\r\n"
        client.send_request("POST", headers=CHUNKED_FIELD, body=encode_chunked(b"last") + pipelined)
        assert await client.read_response() == (200, b"last")
        assert client.header("Connection") == "close"
        assert await client.read_until_close() == b""
        assert len(endpoint.requests) == 6

    run_scenario(scenario, tmp_path)
