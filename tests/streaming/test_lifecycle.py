"""Drains, restarts, upgrades and capacity.

Streams over loopback sockets, through the real program.
"""

from __future__ import annotations

import asyncio
import os
import resource
import signal
from pathlib import Path

import pytest

from tests.sockets import OK, PATIENCE, Peer, always
from tests.streaming.harness import Stage, play
from tests.streaming.peers import CHUNKED, Exchange, Handler


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
