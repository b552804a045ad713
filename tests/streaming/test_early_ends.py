"""Early ends: of clients, of endpoints, and of responses.

The streams pass over loopback sockets through the real program.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from pathlib import Path

import pytest

from tests.sockets import free_port
from tests.streaming.harness import LARGE_BODY, StreamingHarness, echo, run_scenario
from tests.streaming.peers import CHUNKED_FIELD, ReceivedRequest


@pytest.mark.parametrize("status", ["413 Too Large", "200 OK"])
def test_a_response_before_the_end_of_the_upload_reaches_the_client(tmp_path: Path, status: str) -> None:
    """The endpoint responds and closes a socket with unread bytes, which resets the connection."""

    async def respond_early(request: ReceivedRequest) -> None:
        await request.respond(b"enough", status)
        await request.read_body(1000)
        request.writer.close()

    async def scenario(harness: StreamingHarness) -> None:
        endpoint = await harness.start(respond_early)
        client = await harness.connect()
        client.send_request("POST", headers="Content-Length: 500000\r\n", body=LARGE_BODY[:1000])
        assert await client.read_response() == (int(status[:3]), b"enough")
        assert client.header("Connection") == "close"
        assert await client.read_until_close() == b""
        assert not endpoint.requests[0].complete
        await harness.wait_until_no_streams()

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize(
    ("headers", "body"),
    [
        ("Content-Length: 300000\r\n", LARGE_BODY[:100_000]),
        (CHUNKED_FIELD, b"c350\r\n" + LARGE_BODY[:50_000] + b"\r\n"),
    ],
)
def test_the_endpoint_sees_a_truncated_request_if_the_client_disconnects_during_the_upload(
    tmp_path: Path, headers: str, body: bytes
) -> None:
    async def scenario(harness: StreamingHarness) -> None:
        endpoint = await harness.start(echo)
        client = await harness.connect_and_send("POST", headers=headers, body=body)
        await endpoint.wait_for_requests(1)
        client.writer.transport.abort()
        await endpoint.wait_until(lambda: len(endpoint.finished_requests) == 1)
        assert endpoint.finished_requests[0].truncated
        assert not endpoint.finished_requests[0].complete
        await harness.wait_until_no_streams()

    run_scenario(scenario, tmp_path)


def test_a_client_that_shuts_down_its_side_during_the_upload_receives_an_error_response(tmp_path: Path) -> None:
    async def scenario(harness: StreamingHarness) -> None:
        endpoint = await harness.start(echo)
        client = await harness.connect_and_send("POST", headers="Content-Length: 300000\r\n", body=LARGE_BODY[:1000])
        await endpoint.wait_for_requests(1)
        client.writer.write_eof()
        assert (await client.read_response())[0] == 400
        await endpoint.wait_until(lambda: len(endpoint.finished_requests) == 1)
        assert endpoint.finished_requests[0].truncated

    run_scenario(scenario, tmp_path)


def test_a_client_that_disconnects_during_the_response_frees_the_endpoint(tmp_path: Path) -> None:
    async def respond_endlessly(request: ReceivedRequest) -> None:
        await request.send("HTTP/1.1 200 OK\r\n" + CHUNKED_FIELD + "\r\n")
        while True:
            await request.send(b"2710\r\n" + bytes(10_000) + b"\r\n")

    async def scenario(harness: StreamingHarness) -> None:
        endpoint = await harness.start(respond_endlessly)
        client = await harness.connect_and_send()
        assert await client.read_status() == 200
        client.writer.transport.abort()
        await endpoint.wait_until(lambda: len(endpoint.finished_requests) == 1)
        await harness.wait_until_no_streams()

    run_scenario(scenario, tmp_path)


def test_a_client_that_resets_its_connection_while_the_endpoint_is_silent_frees_the_endpoint(tmp_path: Path) -> None:
    async def scenario(harness: StreamingHarness) -> None:
        endpoint = await harness.start(lambda request: asyncio.sleep(3600))
        client = await harness.connect_and_send()
        await endpoint.wait_for_requests(1)
        sock = client.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.writer.transport.abort()
        await harness.wait_until_no_streams()

    run_scenario(scenario, tmp_path)


def test_a_client_that_shuts_down_its_side_still_receives_the_response(tmp_path: Path) -> None:
    may_respond = asyncio.Event()

    async def respond_later(request: ReceivedRequest) -> None:
        await request.read_body()
        await may_respond.wait()
        await request.respond(LARGE_BODY)

    async def scenario(harness: StreamingHarness) -> None:
        endpoint = await harness.start(respond_later)
        client = await harness.connect_and_send("POST", headers="Content-Length: 5\r\n", body=b"hello")
        client.writer.write_eof()
        await endpoint.wait_until(lambda: bool(endpoint.requests) and endpoint.requests[0].complete)
        may_respond.set()
        assert await client.read_response() == (200, LARGE_BODY)
        assert await client.read_until_close() == b""

    run_scenario(scenario, tmp_path)


TRUNCATED_RESPONSES = {
    "sized": "Content-Length: 5000\r\n\r\n" + 4000 * "x",
    "chunked": CHUNKED_FIELD + "\r\n7d0\r\n" + 2000 * "x" + "\r\n",
    "chunk": CHUNKED_FIELD + "\r\n7d0\r\n" + 200 * "x",
}


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("kind", [*TRUNCATED_RESPONSES, "to its end"])
def test_a_truncated_response_never_looks_complete(tmp_path: Path, kind: str, version: str) -> None:
    head_received = asyncio.Event()

    async def truncate_response(request: ReceivedRequest) -> None:
        await request.send("HTTP/1.1 200 OK\r\n" + TRUNCATED_RESPONSES.get(kind, "\r\n" + 500 * "x"))
        await head_received.wait()
        if kind in TRUNCATED_RESPONSES:
            request.writer.close()
        else:
            request.reset()

    async def scenario(harness: StreamingHarness) -> None:
        await harness.start(truncate_response)
        client = await harness.connect_and_send(version=version)
        assert await client.read_status() == 200
        head_received.set()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
            await client.read_body()
        await harness.wait_until_no_streams()

    run_scenario(scenario, tmp_path)


def test_a_failure_of_the_endpoint_before_its_response_gives_status_502(tmp_path: Path) -> None:
    async def close_without_response(request: ReceivedRequest) -> None:
        await request.read_body()
        request.writer.close()

    invalid_responses = [
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

    async def send_invalid_response(request: ReceivedRequest) -> None:
        await request.read_body()
        await request.send(invalid_responses[int(request.headers["x-say"])])
        await asyncio.sleep(3600)

    async def scenario(harness: StreamingHarness) -> None:
        await harness.add_endpoint(close_without_response, block=7)
        endpoint = await harness.add_endpoint(send_invalid_response, "s2", block=8)
        harness.platform.add_endpoint("s3", free_port(), block=9)
        await harness.start_node({"tries": 1})
        client = await harness.connect()
        client.send_request("POST", headers="Content-Length: 3\r\n", body=b"abc")
        assert (await client.read_response())[0] == 502
        client.send_request(dest=9)  # the client's connection is still open
        assert (await client.read_response())[0] == 502
        for n, text in enumerate(invalid_responses):
            client.send_request("POST", headers=f"X-Say: {n}\r\nContent-Length: 0\r\n", dest=8)
            while (status := await client.read_status()) < 200:
                pass
            assert status == 502, text
            await client.read_body()
        assert len(endpoint.requests) == len(invalid_responses)

    run_scenario(scenario, tmp_path)
