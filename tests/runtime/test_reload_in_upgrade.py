"""A new configuration during an upgrade reaches the process that serves from then on, whichever one is signalled."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from contextlib import suppress
from pathlib import Path

import pytest

from forwarder.runtime.previous_process import PreviousProcess
from tests.nodes import SETTINGS, Node
from tests.platforms import Platform
from tests.runtime.test_handover import upgrade
from tests.runtime.test_ownership import request_takeover
from tests.scenes import end_with_scene, play, start_endpoint, start_node
from tests.sockets import PATIENCE, Answer, always

UPGRADES = 8
STRICT = {"name": "strict", "aim_us": 2_000_000, "deadline_us": 60_000_000, "effect": "once"}


CLOSES_ITS_CONNECTION = """
import socket, sys, time
listener = socket.socket(socket.AF_UNIX)
listener.bind(sys.argv[1])
listener.listen()
print(flush=True)
listener.accept()[0].close()
time.sleep(60)
"""
"""A program that listens on the address in its first argument, closes its first connection and lives on."""


async def move(node: Node, platform: Platform) -> Platform:
    """Replaces the file: discovery is at a new address, and the old one takes no connection any more."""
    moved = await Platform().start()
    moved.version, moved.endpoints = platform.version, platform.endpoints
    node.configure(discovery=f"127.0.0.1:{moved.port}")
    platform.server.close()
    return moved


async def begin_upgrade(node: Node) -> Node:
    """Starts the new process. Returns once it has read its configuration, and listens for operators."""
    new = node.successor()
    end_with_scene(new)
    await new.start(ready=False)
    async with asyncio.timeout(PATIENCE):
        while True:
            try:
                _, writer = await asyncio.open_connection(new.host, new.control)
            except ConnectionError:
                await asyncio.sleep(0.001)
                continue
            writer.close()
            return new


def signal_running(process_id: int) -> bool:
    """Sends SIGHUP. Returns whether the process was still running after that."""
    with suppress(ProcessLookupError):
        os.kill(process_id, signal.SIGHUP)
    try:
        stat = Path(f"/proc/{process_id}/stat").read_text()
    except OSError:
        return False
    return stat.rpartition(")")[2].split()[0] not in "ZX"


async def wait_for_log(node: Node, text: str, count: int = 1) -> None:
    async with asyncio.timeout(PATIENCE):
        while sum(text in line for line in node.log) < count:
            await asyncio.sleep(0.01)


async def assert_ends_at(platform: Platform, node: Node, name: str, destination: int = 7) -> None:
    assert (await node.submit(name, "pay", dest=destination))[0] == 202
    assert (await platform.wait_for_notice(name))["state"] == "failed"


def test_a_signal_at_any_moment_of_an_upgrade_moves_the_notices_of_the_new_process(tmp_path: Path) -> None:
    """review/6: the old process dropped the signal or its effect, and the new one kept the file of its start."""

    async def scene(platform: Platform, folder: Path) -> None:
        for attempt in range(UPGRADES):  # one each, as calls to an endpoint that fails again and again are paced
            await start_endpoint(platform, always(Answer(500)), f"s{attempt}", block=attempt)
        serving = await start_node(folder, platform)
        for attempt in range(UPGRADES):
            new = await begin_upgrade(serving)
            await asyncio.sleep(0.002 * attempt)
            moved = await move(new, platform)
            if not signal_running(serving.process.pid):  # it has ended by itself: the new one is signalled
                await new.until_ready()
                new.process.send_signal(signal.SIGHUP)
            await new.until_ready()
            async with asyncio.timeout(PATIENCE):
                assert await serving.process.wait() == 0
            await platform.end_connections()
            await assert_ends_at(moved, new, f"m{attempt}", destination=attempt)
            platform, serving = moved, new

    play(scene, tmp_path)


@pytest.mark.parametrize("moves", [1, 2])
def test_signals_that_wait_while_the_old_process_hands_over_count_for_the_new_one(tmp_path: Path, moves: int) -> None:
    """The old process is stopped while the signals and the request to take over reach it."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(Answer(500)))
        node = await start_node(folder, platform)
        node.process.send_signal(signal.SIGSTOP)
        new = await begin_upgrade(node)
        for _ in range(moves):
            platform = await move(new, platform)
            node.process.send_signal(signal.SIGHUP)
        node.configure(settings={**SETTINGS, "services": [STRICT, *SETTINGS["services"]]})
        node.process.send_signal(signal.SIGHUP)
        node.process.send_signal(signal.SIGCONT)
        await new.until_ready()
        await assert_ends_at(platform, new, "m")
        assert (await new.submit("n", "strict"))[0] == 202

    play(scene, tmp_path)


def test_a_process_that_starts_alone_after_the_signalled_one_was_killed_goes_by_the_new_file(tmp_path: Path) -> None:
    """The hand-over is given up: the new process gets the lock by the death of the old one."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(Answer(500)))
        node = await start_node(folder, platform)
        node.process.send_signal(signal.SIGSTOP)
        new = await begin_upgrade(node)
        moved = await move(new, platform)
        node.process.send_signal(signal.SIGHUP)
        assert await node.end() == -signal.SIGKILL
        await new.until_ready()
        await assert_ends_at(moved, new, "m")

    play(scene, tmp_path)


def test_a_signal_during_a_hand_over_that_fails_is_carried_out_by_the_old_process(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(Answer(500)))
        node = await start_node(folder, platform)
        link = request_takeover(folder)
        await asyncio.sleep(0.1)  # it waits for the other end, with its event loop blocked
        moved = await move(node, platform)
        node.process.send_signal(signal.SIGHUP)
        await wait_for_log(node, "the hand-over failed")
        link.close()
        await wait_for_log(node, "the configuration was read again")
        await assert_ends_at(moved, node, "m")

    play(scene, tmp_path)


def test_a_file_that_was_accepted_counts_after_an_upgrade_though_the_newest_was_refused(tmp_path: Path) -> None:
    """From a broken file nothing is taken (LATER): the new process went by it, as it knew of no file before."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(Answer(500)))
        node = await start_node(folder, platform)
        moved = await move(node, platform)
        node.process.send_signal(signal.SIGHUP)
        await wait_for_log(node, "the configuration was read again")
        path = folder / "config.json"
        broken = json.loads(path.read_text()) | {"discovery": "127.0.0.1:9"}
        del broken["seed"]
        path.write_text(json.dumps(broken))
        node.process.send_signal(signal.SIGHUP)
        await wait_for_log(node, "left as it was")
        for upgrades in range(2):
            node = await upgrade(node)
            await wait_for_log(node, "left as it was")
            await assert_ends_at(moved, node, f"m{upgrades}")

    play(scene, tmp_path)


def test_the_environment_counts_after_an_upgrade_without_a_signal(tmp_path: Path) -> None:
    """Guards against a catch-up that takes the file's address of discovery where nothing has changed."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(Answer(500)))
        node = await start_node(folder, platform)
        new = node.successor()
        new.environment = {"LB_DISCOVERY": f"127.0.0.1:{platform.port}"}
        node.configure(discovery="127.0.0.1:9")
        end_with_scene(new)
        await new.start()
        await assert_ends_at(platform, new, "m")

    play(scene, tmp_path)


def test_the_previous_process_counts_as_ended_when_it_has_ended_and_not_when_its_connection_closes(
    tmp_path: Path,
) -> None:
    """Guards against a signal that is lost between the two: nobody looked at the file after it."""

    async def scene() -> None:
        path = str(tmp_path / "socket")
        link = socket.socket(socket.AF_UNIX)
        child = await asyncio.create_subprocess_exec(
            sys.executable, "-c", CLOSES_ITS_CONNECTION, path, stdout=asyncio.subprocess.PIPE
        )
        assert child.stdout is not None
        await child.stdout.readline()
        link.connect(path)
        ended = asyncio.Event()
        previous = PreviousProcess(link)
        previous.call_at_end(ended.set)
        assert await asyncio.to_thread(link.recv, 1) == b""
        await asyncio.sleep(0.1)
        assert not ended.is_set()
        child.kill()
        async with asyncio.timeout(PATIENCE):
            await ended.wait()
            await child.wait()
        assert link.fileno() < 0

    asyncio.run(scene())
