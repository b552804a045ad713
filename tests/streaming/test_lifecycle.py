"""Drains, restarts, upgrades and capacity.

The streams pass over loopback sockets through the real program.
"""

from __future__ import annotations

import asyncio
import os
import resource
import signal
from pathlib import Path

import pytest

from tests.sockets import OK, PATIENCE, Peer, always
from tests.streaming.harness import StreamingHarness, run_scenario
from tests.streaming.peers import CHUNKED_FIELD, Handler, ReceivedRequest


def respond_in_two_parts(may_finish: asyncio.Event) -> Handler:
    async def handler(request: ReceivedRequest) -> None:
        await request.send("HTTP/1.1 200 OK\r\n" + CHUNKED_FIELD + "\r\n1\r\na\r\n")
        await may_finish.wait()
        await request.send("1\r\nb\r\n0\r\n\r\n")

    return handler


def test_leave_rejects_new_streams_and_lets_those_in_progress_end(tmp_path: Path) -> None:
    may_finish = asyncio.Event()

    async def scenario(harness: StreamingHarness) -> None:
        await harness.start(respond_in_two_parts(may_finish))
        client = await harness.connect_and_send()
        assert await client.read_status() == 200
        assert (await harness.nodes[0].call(b"LEAVE\n")).startswith("ok")
        rejected = await harness.connect_and_send()
        assert (await rejected.read_response())[0] == 503
        assert rejected.header("Retry-After") == "1"
        assert await rejected.read_until_close() == b""
        may_finish.set()
        assert await client.read_body() == b"ab"
        assert await client.read_until_close() == b""  # connections are not kept alive during a drain
        assert (await harness.nodes[0].call(b"JOIN\n")).startswith("ok")
        next_client = await harness.connect_and_send()
        assert await next_client.read_response() == (200, b"ab")

    run_scenario(scenario, tmp_path)


def test_offline_and_a_reload_do_not_end_streams_in_progress(tmp_path: Path) -> None:
    may_finish = asyncio.Event()

    async def scenario(harness: StreamingHarness) -> None:
        await harness.start(respond_in_two_parts(may_finish))
        node = harness.nodes[0]
        client = await harness.connect_and_send()
        assert await client.read_status() == 200
        assert (await node.call(b"OFFLINE s1\n")).startswith("ok")
        rejected = await harness.connect_and_send()
        assert (await rejected.read_response())[0] == 503
        assert int(rejected.header("Retry-After") or 0) >= 1
        node.process.send_signal(signal.SIGHUP)
        await harness.wait_for_log("the configuration was read again")
        may_finish.set()
        assert await client.read_body() == b"ab"
        assert (await node.call(b"ONLINE s1\n")).startswith("ok")
        await harness.wait_until_no_streams()

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("ends", [True, False])
def test_sigterm_waits_for_streams_and_then_resets_them(tmp_path: Path, ends: bool) -> None:
    may_finish = asyncio.Event()

    async def scenario(harness: StreamingHarness) -> None:
        await harness.start(respond_in_two_parts(may_finish))
        node = harness.nodes[0]
        client = await harness.connect_and_send()
        assert await client.read_status() == 200
        node.process.send_signal(signal.SIGTERM)
        await harness.wait_for_log("stopping")
        rejected = await harness.connect_and_send()
        assert (await rejected.read_response())[0] == 503
        if ends:
            may_finish.set()
            assert await client.read_body() == b"ab"
        else:
            assert await client.read_chunk() == b"a"
            with pytest.raises(ConnectionResetError):
                await client.read_chunk()
        async with asyncio.timeout(PATIENCE):
            assert await node.process.wait() == 0
        await node.log_reader
        assert any("streams were cut" in line for line in node.log) == (not ends)

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_an_upgrade_resets_streams_and_serves_new_ones_at_the_same_address(tmp_path: Path, version: str) -> None:
    """This includes responses that are ended by the end of the connection."""
    may_finish = asyncio.Event()

    async def scenario(harness: StreamingHarness) -> None:
        await harness.start(respond_in_two_parts(may_finish))
        client = await harness.connect_and_send(version=version)
        assert await client.read_status() == 200
        successor = harness.nodes[0].successor()
        harness.nodes.append(successor)
        await successor.start()
        with pytest.raises(ConnectionResetError):
            await client.read_until_close()
        may_finish.set()
        next_client = await harness.connect_and_send()
        assert await next_client.read_response() == (200, b"ab")

    run_scenario(scenario, tmp_path)


def test_a_killed_process_resets_a_response_that_ends_with_its_connection(tmp_path: Path) -> None:
    async def scenario(harness: StreamingHarness) -> None:
        await harness.start(respond_in_two_parts(asyncio.Event()))
        client = await harness.connect_and_send(version="1.0")
        assert await client.read_status() == 200
        harness.nodes[0].process.kill()
        with pytest.raises(ConnectionResetError):
            await client.read_until_close()

    run_scenario(scenario, tmp_path)


def test_without_capacity_new_streams_are_rejected_and_the_others_continue(tmp_path: Path) -> None:
    """Memory for two streams: the third is rejected. Messages are still accepted and delivered."""
    may_finish = asyncio.Event()

    async def scenario(harness: StreamingHarness) -> None:
        messages = await Peer(always(OK)).start()
        harness.platform.add_endpoint("m1", messages.port, block=8)
        await harness.add_endpoint(respond_in_two_parts(may_finish), "s1")
        await harness.start_node({"memory_bytes": 2 * 2 * (16_384 + 4096 + 64)})
        first = await harness.connect_and_send()
        assert await first.read_status() == 200
        second = await harness.connect_and_send()
        assert await second.read_status() == 200
        for _ in range(3):
            third = await harness.connect_and_send()
            assert (await third.read_response())[0] == 503
            assert third.header("Retry-After") == "1"
        assert (await harness.nodes[0].submit("m", dest=8))[0] == 202
        await messages.wait_for_requests(1)
        may_finish.set()
        assert await first.read_body() == await second.read_body() == b"ab"
        await harness.wait_until_no_streams()
        third = await harness.connect_and_send()  # an idle client is closed to make room
        assert await third.read_response() == (200, b"ab")

    run_scenario(scenario, tmp_path)


def test_streams_beyond_their_share_of_the_slots_are_rejected(tmp_path: Path) -> None:
    may_finish = asyncio.Event()

    async def scenario(harness: StreamingHarness) -> None:
        for n in range(8):
            await harness.add_endpoint(respond_in_two_parts(may_finish), f"s{n}", block=10 + n)
        await harness.start_node({"slots_share": 0.25})
        in_progress = [await harness.connect_and_send(dest=10 + n) for n in range(2)]
        assert [await client.read_status() for client in in_progress] == [200, 200]
        rejected = await harness.connect_and_send(dest=12)
        assert (await rejected.read_response())[0] == 503
        assert int(rejected.header("Retry-After") or 0) >= 1
        may_finish.set()
        assert [await client.read_body() for client in in_progress] == [b"ab", b"ab"]
        await harness.wait_until_no_streams()
        rejected.send_request(dest=12)
        assert await rejected.read_response() == (200, b"ab")

    run_scenario(scenario, tmp_path)


def test_the_peak_of_held_bytes_stays_within_the_limit_with_all_streams_blocked(tmp_path: Path) -> None:
    """There are as many streams as the memory allows, all blocked in both directions."""
    per_stream_bytes = 2 * (16_384 + 4096 + 64)

    async def respond_without_reading(request: ReceivedRequest) -> None:
        request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n" + bytes(9_000_000))
        await asyncio.sleep(3600)

    async def scenario(harness: StreamingHarness) -> None:
        for n in range(4):
            await harness.add_endpoint(respond_without_reading, f"s{n}", block=10 + n)
        await harness.start_node({"memory_bytes": 4 * per_stream_bytes})
        for n in range(4):
            client = await harness.connect(limit=1 << 16)
            client.send_request("POST", headers="Content-Length: 9000000\r\n", body=bytes(9_000_000), dest=10 + n)
            assert await client.read_status() == 200
        assert (await harness.stream_state())["streams"] == 4
        assert 0 < await harness.wait_until_settled() <= 4 * per_stream_bytes
        for client in harness.clients:
            client.writer.transport.abort()
        assert (await harness.wait_until_no_streams())["most"] <= 4 * per_stream_bytes

    run_scenario(scenario, tmp_path)


def test_a_flood_of_connections_leaves_descriptors_for_messages(tmp_path: Path) -> None:
    """The descriptor limit covers the share of streams and a few for messages, while 60 clients connect at once."""

    async def scenario(harness: StreamingHarness) -> None:
        messages = await Peer(always(OK)).start()
        harness.platform.add_endpoint("m1", messages.port, block=8)
        await harness.start(respond_in_two_parts(asyncio.Event()))
        node = harness.nodes[0]
        running = await harness.connect_and_send()
        assert await running.read_status() == 200
        open_descriptors = len(os.listdir(f"/proc/{node.process.pid}/fd"))
        max_descriptors = open_descriptors + 2 * 17 + 8 + 6
        resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors))
        for n in range(5):
            await asyncio.gather(*(harness.connect_and_send() for _ in range(60)), return_exceptions=True)
            assert (await node.submit(f"m{n}", dest=8))[0] == 202
        await messages.wait_for_requests(5)
        assert await running.read_chunk() == b"a"
        assert not [line for line in node.log if "cannot accept" in line]

    run_scenario(scenario, tmp_path)
