"""Tests of the admin commands for health, disabled endpoints and drains."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from forwarder.decisions.actions import EjectionChanged
from forwarder.decisions.events import EndpointDisabled, EndpointEnabled, EndpointListKind, EndpointListReceived
from forwarder.decisions.outcomes import Outcome
from tests.nodes import Client, Node, message
from tests.platforms import Platform
from tests.scenes import play, start_endpoint, start_node
from tests.scripts import ENTRIES, MS, S, ask, end, sends, started
from tests.sockets import OK, PATIENCE, Peer, always, hang


def test_every_connection_is_answered_and_none_blocks_another(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(OK))
        node = await start_node(folder, platform)
        silent = [await asyncio.open_connection(node.host, node.control) for _ in range(100)]
        for _, writer in silent[::2]:
            writer.write(b"HEAL")
        assert (await node.call(b"HEALTH\n")).startswith("ok")
        assert (await node.call(b" HEALTH \r\n")).startswith("ok")
        for line in (b"\n", b"WELL\n", b"health\n", b"HEALTH now\n", b"\xff\xfe\n", b"H" * 100_000):
            assert (await node.call(line)).startswith("fail"), line[:20]
        for reader, writer in silent:
            async with asyncio.timeout(PATIENCE):
                assert (await reader.read()).startswith(b"fail")
            writer.close()
        assert (await node.call(b"HEALTH\n")).startswith("ok")

    play(scene, tmp_path)


def test_a_line_without_a_line_feed_is_rejected(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(OK))
        node = await start_node(folder, platform)
        reader, writer = await asyncio.open_connection(node.host, node.control)
        writer.write(b"HEALTH")
        writer.write_eof()
        async with asyncio.timeout(PATIENCE):
            assert (await reader.read()).startswith(b"fail")
        writer.close()

    play(scene, tmp_path)


def test_health_fails_once_a_shutdown_has_begun(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(OK))
        node = await start_node(folder, platform)
        client = await node.client()
        client.writer.write(message("m")[:40])  # a request under way keeps the process running
        node.process.send_signal(signal.SIGTERM)
        while not any("stopping" in line for line in node.log):
            await asyncio.sleep(0.01)
        assert (await node.call(b"HEALTH\n")).startswith("fail")

    play(scene, tmp_path)


async def up_status(node: Node) -> int:
    client = await node.client()
    client.writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
    try:
        return (await client.answer())[0]
    finally:
        client.writer.close()


async def assert_closed(client: Client) -> None:
    async with asyncio.timeout(PATIENCE):
        assert await client.reader.read() == b""


def test_a_drain_closes_connections_between_requests_and_loses_no_message(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, hang)
        node = await start_node(folder, platform)
        idle, kept, half = [await node.client() for _ in range(3)]
        for n, client in enumerate((idle, kept)):
            assert (await client.submit(f"before{n}", "status"))[0] == 202
        half.writer.write(message("half", "status")[:60])
        for _ in range(2):
            assert (await node.call(b"LEAVE\n")).startswith("ok")
        assert await up_status(node) == 503
        status, headers = await kept.submit("during", "status")
        assert status == 202
        assert headers["connection"] == "close"
        late = await node.client()
        assert (await late.submit("late", "status"))[0] == 202
        half.writer.write(message("half", "status")[60:])
        assert (await half.answer())[0] == 202
        for client in (idle, kept, half, late):
            await assert_closed(client)
        assert (await node.call(b"HEALTH\n")).startswith("ok")
        assert node.process.returncode is None
        assert (await node.call(b"JOIN\n")).startswith("ok")
        assert await up_status(node) == 200
        client_after = await node.client()
        for n in range(2):
            status, headers = await client_after.submit(f"after{n}", "status")
            assert status == 202
            assert "connection" not in headers
        peer.handler = always(OK)
        await node.restart()
        expected_ids = {"before0", "before1", "during", "late", "half", "after0", "after1"}
        await peer.wait_until(lambda: {r.headers["x-correlation-id"] for r in peer.requests} == expected_ids)

    play(scene, tmp_path)


def message_ids(peer: Peer) -> set[str]:
    return {r.headers["x-correlation-id"] for r in peer.requests}


@pytest.mark.parametrize("stop_signal", [signal.SIGKILL, signal.SIGTERM])
def test_a_disabled_endpoint_gets_nothing_new_until_it_is_enabled(tmp_path: Path, stop_signal: int) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        one, two = await start_endpoint(platform, always(OK)), await start_endpoint(platform, always(OK), "s2")
        node = await start_node(folder, platform)
        for _ in range(2):
            assert (await node.call(b"OFFLINE s1\n")).startswith("ok")
        before = len(one.requests)
        for n in range(8):
            assert (await node.submit(f"banned{n}", "status"))[0] == 202
        await two.wait_for_requests(8)
        for health in ("draining", "up"):
            await platform.change("s1", health)
            await platform.wait_until(lambda: any(f"from={platform.version}" in r.path for r in platform.requests))
        await node.restart(stop_signal)
        for n in range(8, 16):
            assert (await node.submit(f"banned{n}", "status"))[0] == 202
        await two.wait_for_requests(16)
        assert len(one.requests) == before
        await node.call(b"OFFLINE s2\n")
        assert (await node.submit("waits", "status"))[0] == 202
        assert (await node.call(b"ONLINE s1\n")).startswith("ok")
        await one.wait_for_requests(before + 1)
        assert message_ids(one) == {"waits"}
        assert len(two.requests) == 16

    play(scene, tmp_path)


def test_only_an_id_that_was_once_listed_can_be_disabled(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(OK))
        await start_endpoint(platform, always(OK), "s2")
        node = await start_node(folder, platform)
        await platform.wait_for_requests(1)
        await platform.change("s2", "removed")
        await platform.wait_until(lambda: any("from=2" in r.path for r in platform.requests))
        del platform.endpoints["s2"]
        node.configure(known=platform.listing())
        await node.restart()
        for line in (b"OFFLINE s3\n", b"ONLINE s3\n", b"OFFLINE\n", b"OFFLINE s1 s2\n", b"OFFLINE s\n"):
            assert (await node.call(line)).startswith("fail"), line
        for line in (b"OFFLINE s2\n", b"ONLINE s2\n", b"ONLINE s2\n", b"ONLINE s1\n"):
            assert (await node.call(line)).startswith("ok"), line

    play(scene, tmp_path)


def test_an_endpoint_that_is_enabled_again_goes_through_slow_start() -> None:
    d = started()
    d.handle(0, [EndpointDisabled(1, 0), EndpointDisabled(2, 0)])
    assert not sends(d.handle(S, [ask("a"), ask("b"), ask("c")]))
    d.handle(2 * S, [EndpointListReceived(EndpointListKind.WHOLE, ENTRIES)])
    first = d.handle(3 * S, [EndpointEnabled(1), EndpointEnabled(1)])
    assert [s.endpoint for s in sends(first)] == [1], (
        "one call at a time, and none to the endpoint that is still disabled"
    )
    assert EjectionChanged(1, 0, 3 * S) in first
    again = d.handle(3 * S + 5 * MS, [end(sends(first)[0], Outcome.DELIVERED, took=5 * MS)])
    assert not sends(again), "an endpoint in slow start waits for its next slow-start slot"
