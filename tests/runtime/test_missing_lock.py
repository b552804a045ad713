"""Runs the real program while the lock file cannot be opened around a start: it takes the lock once it can."""

from __future__ import annotations

import asyncio
import fcntl
import os
from pathlib import Path

import pytest

from lab.shim import Failure
from tests.nodes import Node
from tests.platforms import Platform
from tests.runtime.test_handover import upgrade
from tests.scenes import end_with_scene, play, received_ids, start_endpoint
from tests.sockets import OK, PATIENCE, always

FAILING_S = 4.5
RECOVERY_S = 1.0
"""Maximum time from the end of the failure until the process holds the lock."""


def is_locked(folder: Path) -> bool:
    """Returns whether a process holds the folder's lock."""
    descriptor = os.open(folder / "state" / "lock", os.O_RDWR | os.O_CREAT)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return True
    finally:
        os.close(descriptor)
    return False


async def start_without_lock(platform: Platform, folder: Path) -> Node:
    """Starts a node whose folder cannot be opened. Returns once it serves in spite of that."""
    node = Node(folder, platform)
    end_with_scene(node)
    await node.set_failures(Failure("open", "EIO"))
    return await node.start()


def test_the_lock_is_taken_soon_after_it_can_be_opened_and_an_upgrade_succeeds(tmp_path: Path) -> None:
    """Guards against a process that never got the lock and the upgrade socket, and against upgrades that failed."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_without_lock(platform, folder)
        assert "the lock is missing" in await node.call(b"JOURNAL\n")
        assert (await node.submit("without", "status"))[0] == 503
        await asyncio.sleep(FAILING_S)
        assert not [file.name for file in (folder / "state").iterdir() if file.name != "lock"], (
            "nothing may be written without the lock"
        )
        await node.set_failures()
        await asyncio.sleep(RECOVERY_S)
        assert is_locked(folder)
        assert (await node.submit("with", "status"))[0] == 202
        assert "the lock is missing" not in await node.call(b"JOURNAL\n")
        new = await upgrade(node)
        assert (await new.submit("upgraded", "status"))[0] == 202
        await peer.wait_for_requests(2)
        assert received_ids(peer) == ["with", "upgraded"]

    play(scene, tmp_path)


@pytest.mark.parametrize("failing_s", [0.0, 2.0])
def test_an_upgrade_waits_for_a_process_that_has_no_lock_yet(tmp_path: Path, failing_s: float) -> None:
    """Guards against `cannot serve: address already in use`: the new process has the lock while the old one serves.

    The old process could not open the lock file when it started.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_without_lock(platform, folder)
        new = node.successor()
        new.shim = None
        end_with_scene(new)
        starting = asyncio.create_task(new.start())
        await asyncio.sleep(failing_s)
        await node.set_failures()
        async with asyncio.timeout(PATIENCE):
            await starting
        assert (await new.submit("upgraded", "status"))[0] == 202
        await peer.wait_for_requests(1)
        assert await node.end() == 0, "the old process has to end by a hand-over"

    play(scene, tmp_path)


def test_a_process_that_could_not_read_its_journal_does_not_end_because_another_serves_by_then(tmp_path: Path) -> None:
    """Soak, seed 6215: both had bound the address; the one that listened second ended with status 1, a crash."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = Node(folder, platform)
        end_with_scene(node)
        await node.set_failures()
        await node.start()
        assert (await node.submit("first", "status"))[0] == 202
        await node.end()
        await node.set_failures(Failure("open", "ENOSPC"))
        await node.start(ready=False)
        async with asyncio.timeout(PATIENCE):
            while "cannot read the journal" not in "".join(node.log):
                await asyncio.sleep(0.05)
        other = node.successor()
        other.shim = None
        end_with_scene(other)
        await other.start()
        await node.set_failures()
        async with asyncio.timeout(PATIENCE):  # it takes over from the other one
            assert await other.process.wait() == 0
        await node.until_ready()
        assert (await node.submit("second", "status"))[0] == 202
        await peer.wait_for_requests(2)
        assert received_ids(peer) == ["first", "second"]

    play(scene, tmp_path)
