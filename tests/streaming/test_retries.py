"""Retries, and the reuse of connections to endpoints.

The streams pass over loopback sockets through the real program.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from tests.sockets import free_port
from tests.streaming.harness import LARGE_BODY, StreamingHarness, echo, run_scenario
from tests.streaming.peers import ReceivedRequest


def test_only_idempotent_requests_are_retried(tmp_path: Path) -> None:
    """Of two endpoints one resets the connection of each request, and the other responds."""

    async def reset_connection(request: ReceivedRequest) -> None:
        await request.read_body()
        request.reset()

    async def scenario(harness: StreamingHarness) -> None:
        failing = await harness.add_endpoint(reset_connection, "s1")
        healthy = await harness.add_endpoint(echo, "s2")
        await harness.start_node({"tries": 3})
        while not failing.requests:
            client = await harness.connect_and_send("GET")
            assert await client.read_response() == (200, b"")
        count_before = len(healthy.requests)
        statuses = set()
        for _ in range(12):
            client = await harness.connect_and_send("POST", headers="Content-Length: 3\r\n", body=b"abc")
            statuses.add(await client.read_status())
        assert statuses <= {200, 502, 503}
        sent = [e for e in [*failing.requests, *healthy.requests[count_before:]] if e.request_line.startswith("POST")]
        assert len(sent) <= 12  # none of them twice

    run_scenario(scenario, tmp_path)


def test_after_a_refused_connection_the_complete_body_goes_to_another_endpoint(tmp_path: Path) -> None:
    async def scenario(harness: StreamingHarness) -> None:
        harness.platform.add_endpoint("s0", free_port())
        endpoint = await harness.add_endpoint(echo, "s1")
        await harness.start_node()
        for _ in range(6):
            client = await harness.connect_and_send(
                "POST", headers=f"Content-Length: {len(LARGE_BODY)}\r\n", body=LARGE_BODY
            )
            assert await client.read_response() == (200, LARGE_BODY)
        assert all(e.body == LARGE_BODY for e in endpoint.requests)
        assert endpoint.requests

    run_scenario(scenario, tmp_path)


def test_connections_to_endpoints_are_reused_only_after_a_complete_exchange(tmp_path: Path) -> None:
    closing = asyncio.Event()

    async def respond(request: ReceivedRequest) -> None:
        await request.read_body()
        if "once" in request.request_line:
            await request.respond(b"x", headers="Connection: close\r\n")
        elif "more" in request.request_line:
            await request.send(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n\r\n")
        else:
            await request.respond(b"x")
        if "then" in request.request_line:
            request.writer.close()
            closing.set()

    async def scenario(harness: StreamingHarness) -> None:
        endpoint = await harness.start(respond)
        client = await harness.connect()

        async def connections_after_request(method: str = "GET", path: str = "/a", **request_options: Any) -> int:
            client.send_request(method, path, **request_options)
            assert await client.read_response() == (200, b"x")
            return endpoint.connection_count

        assert [await connections_after_request(), await connections_after_request()] == [1, 1]
        # A request that is not idempotent does not reuse a connection.
        assert await connections_after_request("POST", headers="Content-Length: 1\r\n", body=b"x") == 2
        assert await connections_after_request() == 2
        assert await connections_after_request(path="/once") == 2
        await endpoint.wait_until(lambda: endpoint.open_connections < 2)
        count = await connections_after_request(path="/then")
        await closing.wait()
        await endpoint.wait_until(lambda: endpoint.open_connections == 0 or count == 2)
        assert await connections_after_request() >= count  # a closed idle connection is not used
        count = await connections_after_request(path="/more")
        assert await connections_after_request() == count + 1

    run_scenario(scenario, tmp_path)
