"""The lock cannot be opened for a while around a start, played on the real program: it is had as soon as it can be."""

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
BACK_S = 1.0
"""Service is back so soon after the end of a failure."""


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
    """Starts a node whose folder cannot be opened; returns once it serves all the same."""
    node = Node(folder, platform)
    end_with_scene(node)
    await node.fail(Failure("open", "EIO"))
    return await node.start()


def test_the_lock_is_had_soon_after_it_can_be_opened_and_an_upgrade_passes(tmp_path: Path) -> None:
    """Guards against a process that went on without lock and socket for its whole life, and upgrades that ended."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_without_lock(platform, folder)
        assert "the lock is missing" in await node.call(b"JOURNAL\n")
        assert (await node.submit("without", "status"))[0] == 503
        await asyncio.sleep(FAILING_S)
        assert not [file.name for file in (folder / "state").iterdir() if file.name != "lock"], "nothing was written"
        await node.fail()
        await asyncio.sleep(BACK_S)
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
    """Guards against `cannot serve: address already in use`: the new process had the lock, and the old one served."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_without_lock(platform, folder)
        new = node.successor()
        new.shim = None
        end_with_scene(new)
        starting = asyncio.create_task(new.start())
        await asyncio.sleep(failing_s)
        await node.fail()
        async with asyncio.timeout(PATIENCE):
            await starting
        assert (await new.submit("upgraded", "status"))[0] == 202
        await peer.wait_for_requests(1)
        assert await node.end() == 0, "it has handed over"

    play(scene, tmp_path)
