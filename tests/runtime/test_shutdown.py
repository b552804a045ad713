"""Shutdown by SIGTERM."""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path

from tests.platforms import Platform
from tests.scenes import play, start_endpoint, start_node
from tests.sockets import OK, PATIENCE, always, answer_after, hang


def test_after_sigterm_submissions_are_answered_and_the_journal_stays_intact(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, hang)
        node = await start_node(folder, platform)
        old = await node.client()
        assert (await old.submit("a", "status"))[0] == 202
        await peer.wait_for_requests(1)
        node.process.send_signal(signal.SIGTERM)
        status, _headers = await old.submit("b", "status")
        assert status == 202
        while not any("stopping" in line for line in node.log):
            await asyncio.sleep(0.01)
        assert (await node.submit("c", "status"))[0] == 202  # a new connection is still served
        assert await node.end(signal.SIGTERM) == 0
        peer.handler = always(OK)
        await node.start()
        await peer.wait_until(lambda: {"a", "b", "c"} <= {r.headers["x-correlation-id"] for r in peer.requests[1:]})

    play(scene, tmp_path)


def test_a_second_sigterm_has_no_effect(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        free = asyncio.Event()
        peer = await start_endpoint(platform, answer_after(free))
        node = await start_node(folder, platform)
        assert (await node.submit("out", "pay"))[0] == 202
        await peer.wait_for_requests(1)
        for _ in range(2):
            node.process.send_signal(signal.SIGTERM)
        free.set()
        assert await node.end(signal.SIGTERM) == 0
        assert sum("stopping: " in line for line in node.log) == 1
        await node.start()
        assert (await node.submit("out", "pay"))[0] == 202  # known: delivered, and not sent again
        assert (await node.submit("more", "pay"))[0] == 202
        await peer.wait_for_requests(2)
        assert [r.headers["x-correlation-id"] for r in peer.requests] == ["out", "more"]

    play(scene, tmp_path)


def test_sigterm_before_the_process_is_ready_loses_nothing(tmp_path: Path) -> None:
    """The process is waiting for its address, which another socket uses."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, hang)
        node = await start_node(folder, platform)
        assert (await node.submit("held", "status"))[0] == 202
        await peer.wait_for_requests(1)
        await node.end()
        node.log.clear()
        with socket.create_server((node.host, node.port)):
            await node.start(ready=False)
            node.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(PATIENCE):
                await node.process.wait()
                await node.log_reader
        assert not any("engine: ready" in line for line in node.log)
        peer.handler = always(OK)
        await node.start()
        again = (await peer.wait_for_requests(2))[1]
        assert again.headers["x-correlation-id"] == "held"

    play(scene, tmp_path)
