"""Requests and responses are relayed in both directions at once, at the pace of the readers.

The streams pass over loopback sockets through the real program.
"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import pytest

from tests.sockets import OK, Peer, always
from tests.streaming.harness import LARGE_BODY, StreamingHarness, echo, encode_chunked, run_scenario, split_parts
from tests.streaming.peers import CHUNKED_FIELD, ReceivedRequest


def test_upload_and_response_pass_unchanged_beside_messages(tmp_path: Path) -> None:
    async def scenario(harness: StreamingHarness) -> None:
        messages = await Peer(always(OK)).start()
        harness.platform.add_endpoint("m1", messages.port, block=8)
        endpoint = await harness.start(echo)
        client = await harness.connect_and_send(
            "POST", "/big/file?a=b&c=%2F", f"X-Own: é\r\nContent-Length: {len(LARGE_BODY)}\r\n", LARGE_BODY
        )
        assert await client.read_response() == (200, LARGE_BODY)
        assert client.header("Content-Type") == "text/x-echo"
        assert client.header("Via") == "1.1 lemonshunt"
        request = endpoint.requests[0]
        assert request.request_line == "POST /big/file?a=b&c=%2F HTTP/1.1"
        assert request.fields == [
            ("Host", "origin.svc"),
            ("X-Addressing", "dest=7"),
            ("X-Own", "é"),
            ("Via", "1.1 lemonshunt"),
            ("Content-Length", str(len(LARGE_BODY))),
        ]
        assert (await harness.nodes[0].submit("m", dest=8))[0] == 202
        assert (await messages.wait_for_requests(1))[0].path == "/hook"
        assert not harness.platform.notices

    run_scenario(scenario, tmp_path)


# Both directions at the pace of the readers


@pytest.mark.parametrize("framing", ["sized", "chunked"])
def test_reading_pauses_while_the_other_side_does_not_read(tmp_path: Path, framing: str) -> None:
    """Both directions carry more than the sockets buffer: the forwarder reads no more than it may hold."""
    body = random.Random(2).randbytes(12_000_000)
    may_read = asyncio.Event()

    async def respond_before_reading(request: ReceivedRequest) -> None:
        request.writer.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + encode_chunked(*split_parts(body))
        )
        await may_read.wait()
        await request.read_body()
        await request.writer.drain()

    async def scenario(harness: StreamingHarness) -> None:
        endpoint = await harness.start(respond_before_reading)
        client = await harness.connect(limit=1 << 16)
        if framing == "sized":
            client.send_request("POST", headers=f"Content-Length: {len(body)}\r\n", body=body)
        else:
            client.send_request("POST", headers=CHUNKED_FIELD, body=encode_chunked(*split_parts(body)))
        await endpoint.wait_for_requests(1)
        assert await client.read_status() == 200
        held = await harness.wait_until_settled()
        assert 0 < held <= 2 * (16_384 + 4096 + 64)
        may_read.set()
        assert await client.read_body() == body
        await endpoint.wait_until(lambda: endpoint.requests[0].complete)
        assert endpoint.requests[0].body == body
        assert (await harness.wait_until_no_streams())["most"] <= 2 * (16_384 + 4096 + 64)

    run_scenario(scenario, tmp_path)


def test_a_chunk_of_an_event_stream_arrives_before_the_next_is_sent(tmp_path: Path) -> None:
    events_received = [asyncio.Event() for _ in range(5)]

    async def send_events(request: ReceivedRequest) -> None:
        await request.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + CHUNKED_FIELD + "\r\n")
        for n, event in enumerate(events_received):
            await request.send(f"8\r\ndata: {n}\n\r\n")
            await event.wait()
        await request.send("0\r\n\r\n")

    async def scenario(harness: StreamingHarness) -> None:
        await harness.start(send_events)
        client = await harness.connect_and_send()
        assert await client.read_status() == 200
        for n, event in enumerate(events_received):
            assert await client.read_chunk() == b"data: %d\n" % n
            event.set()
        assert await client.read_chunk() == b""

    run_scenario(scenario, tmp_path)
