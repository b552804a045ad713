"""Timeouts for stalled peers, and the longer one for an endpoint that is silent.

The streams pass over loopback sockets through the real program.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.streaming.harness import StreamingHarness, echo, run_scenario
from tests.streaming.peers import CHUNKED_FIELD, ReceivedRequest


def test_stalled_peers_time_out(tmp_path: Path) -> None:
    async def scenario(harness: StreamingHarness) -> None:
        async def never_respond(request: ReceivedRequest) -> None:
            await asyncio.sleep(3600)

        endpoint = await harness.add_endpoint(echo)
        silent = await harness.add_endpoint(never_respond, "s2", block=8)
        await harness.start_node({"idle_s": 0.5, "silent_s": 1.0, "head_s": 0.5, "tries": 1})
        incomplete_body = await harness.connect_and_send("POST", headers="Content-Length: 10\r\n", body=b"half")
        assert (await incomplete_body.read_response())[0] == 408
        await endpoint.wait_until(lambda: len(endpoint.finished_requests) == 1)
        assert endpoint.finished_requests[0].truncated
        incomplete_head = await harness.connect()
        incomplete_head.writer.write(b"GET /big HTTP/1.1\r\nHo")
        assert (await incomplete_head.read_response())[0] == 408
        idle = await harness.connect()
        assert await idle.read_until_close() == b""
        waiting = await harness.connect_and_send(dest=8)
        assert (await waiting.read_response())[0] == 504
        assert len(silent.requests) == 1
        await harness.wait_until_no_streams()

    run_scenario(scenario, tmp_path)


def test_an_endpoint_that_reads_nothing_times_out(tmp_path: Path) -> None:
    async def scenario(harness: StreamingHarness) -> None:
        await harness.add_endpoint(lambda request: asyncio.sleep(3600))
        await harness.start_node({"idle_s": 0.5, "silent_s": 30.0})
        client = await harness.connect_and_send("POST", headers="Content-Length: 90000000\r\n", body=bytes(20_000_000))
        assert (await client.read_response())[0] == 504
        await harness.wait_until_no_streams()

    run_scenario(scenario, tmp_path)


def test_a_client_that_reads_nothing_times_out(tmp_path: Path) -> None:
    async def scenario(harness: StreamingHarness) -> None:
        async def send_large_response(request: ReceivedRequest) -> None:
            await request.respond(bytes(20_000_000))

        await harness.add_endpoint(send_large_response)
        await harness.start_node({"idle_s": 0.5})
        client = await harness.connect(limit=1 << 16)
        client.send_request()
        assert await client.read_status() == 200
        await harness.wait_until_no_streams()

    run_scenario(scenario, tmp_path)


def test_a_silent_endpoint_has_a_longer_timeout_of_its_own(tmp_path: Path) -> None:
    """The endpoint is silent for three times the idle timeout of other peers."""

    async def respond_slowly(request: ReceivedRequest) -> None:
        await asyncio.sleep(0.6)
        await request.send("HTTP/1.1 200 OK\r\n" + CHUNKED_FIELD + "\r\n1\r\na\r\n")
        await asyncio.sleep(0.6)
        await request.send("1\r\nb\r\n0\r\n\r\n")

    async def scenario(harness: StreamingHarness) -> None:
        await harness.add_endpoint(respond_slowly)
        await harness.start_node({"idle_s": 0.2, "silent_s": 30.0})
        client = await harness.connect_and_send()
        assert await client.read_response() == (200, b"ab")

    run_scenario(scenario, tmp_path)
