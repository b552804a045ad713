"""What operators do with a running forwarder: calls, maintenance, drain, new settings."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from tests.sockets import OK, PATIENCE, Platform, always, message
from tests.test_node import node_on, play, target


def test_every_caller_is_answered_and_none_holds_up_another(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await target(platform, always(OK))
        node = await node_on(folder, platform)
        silent = [await asyncio.open_connection("127.0.0.1", node.control) for _ in range(100)]
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


def test_a_line_without_its_end_does_nothing(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await target(platform, always(OK))
        node = await node_on(folder, platform)
        reader, writer = await asyncio.open_connection("127.0.0.1", node.control)
        writer.write(b"HEALTH")
        writer.write_eof()
        async with asyncio.timeout(PATIENCE):
            assert (await reader.read()).startswith(b"fail")
        writer.close()
    play(scene, tmp_path)


def test_a_forwarder_that_stops_is_not_well(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await target(platform, always(OK))
        node = await node_on(folder, platform)
        client = await node.client()
        client.writer.write(message("m")[:40])  # a request under way: the process stays until its end
        node.process.send_signal(signal.SIGTERM)
        while not any("stopping" in line for line in node.log):
            await asyncio.sleep(0.01)
        assert (await node.call(b"HEALTH\n")).startswith("fail")
    play(scene, tmp_path)
