"""Syncs: one serves many, a failed one is made up for; and a process at each level of durability."""

from __future__ import annotations

import asyncio
import errno
import os
import random
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from forwarder.storage.durability import Durability, DurabilityExtension, DurabilityExtensionFactory, Syncer
from forwarder.storage.store import MessageStore
from tests.nodes import Node
from tests.platforms import Platform
from tests.sockets import OK, PATIENCE, Peer, always
from tests.storage.folders import MAX_BYTES, accepted_message
from tests.storage.power_cut_disk import Disk, use_os


class SlowSync:
    """A sync that ends when the test lets it, well or badly."""

    def __init__(self) -> None:
        self.begun = threading.Semaphore(0)
        self.go = threading.Semaphore(0)
        self.fails = False

    def __call__(self, fd: int) -> None:
        os.fstat(fd)
        self.begun.release()
        assert self.go.acquire(timeout=PATIENCE)
        if self.fails:
            raise OSError(errno.EIO, "no such block")


def syncing(tmp_path: Path, scene: Callable[[MessageStore, Syncer, SlowSync], Any]) -> None:
    async def played() -> None:
        store = MessageStore(tmp_path, MAX_BYTES).take_ownership()
        store.durable = True
        slow = SlowSync()
        async with asyncio.timeout(PATIENCE):
            await scene(store, Syncer(store, slow), slow)
        store.close()

    asyncio.run(played())


async def until(test: Callable[[], bool]) -> None:
    while not test():
        await asyncio.sleep(0.005)


def test_one_sync_serves_all_that_came_while_another_ran_and_in_order(tmp_path: Path) -> None:
    async def scene(store: MessageStore, syncer: Syncer, slow: SlowSync) -> None:
        done: list[int] = []
        syncer.call_when_synced(lambda: done.append(0))
        await asyncio.to_thread(slow.begun.acquire)
        for n in range(1, 50):
            syncer.call_when_synced(lambda n=n: done.append(n))  # type: ignore[misc]
        assert done == []
        slow.go.release()
        await until(lambda: done == [0])
        slow.go.release()
        await until(lambda: done == [*range(50)])
        assert syncer.sync_count == 2
        assert syncer.max_waiting >= 49

    syncing(tmp_path, scene)


def test_a_failed_sync_is_not_tried_again_on_the_same_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("forwarder.storage.durability.REWRITE_RETRY_S", 0.01)

    async def scene(store: MessageStore, syncer: Syncer, slow: SlowSync) -> None:
        done: list[str] = []
        store.accept(accepted_message("a"))
        store.flush()
        slow.fails, inode = True, os.fstat(store.fd).st_ino
        slow.go.release()
        syncer.call_when_synced(lambda: done.append("a"))
        compacted = store.compact
        monkeypatch.setattr(store, "compact", lambda: False)  # the new file cannot be had either
        await until(lambda: syncer.failure_count >= 3)
        assert done == []
        assert syncer.sync_failed
        assert not syncer.sync_now()
        monkeypatch.setattr(store, "compact", compacted)
        await until(lambda: done == ["a"])
        assert os.fstat(store.fd).st_ino != inode
        assert not syncer.sync_failed
        assert MessageStore(tmp_path, MAX_BYTES).knows("a")
        assert syncer.sync_count == 1

    syncing(tmp_path, scene)


@pytest.mark.parametrize("what", ["write", "fdatasync"])
def test_what_the_store_failed_to_write_or_sync_is_not_released_by_a_later_sync(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, what: str
) -> None:
    """The disk is full at a round's records; or the sync of a journal that is being closed fails."""
    monkeypatch.setattr("forwarder.storage.durability.REWRITE_RETRY_S", 0.01)

    async def scene(store: MessageStore, syncer: Syncer, slow: SlowSync) -> None:
        done: list[str] = []
        disk = Disk(tmp_path, random.Random(1))
        use_os(monkeypatch, disk)
        disk.fails = {what: 1, "open": 10**6}  # nor can it be written anew
        store.accept(accepted_message("a"))
        store.begin_snapshot() if what == "fdatasync" else store.flush()
        assert store.write_failed
        for _ in range(3):
            slow.go.release()
        syncer.call_when_synced(lambda: done.append("a"))
        await until(lambda: syncer.failure_count >= 3)
        assert done == []
        assert not syncer.sync_now()
        assert "nothing is let go" in extension_with(syncer).describe_state()
        disk.fails = {}
        await until(lambda: done == ["a"])
        use_os(monkeypatch, os)
        assert MessageStore(tmp_path, MAX_BYTES).knows("a")
        assert not store.write_failed

    syncing(tmp_path, scene)


def extension_with(syncer: Syncer) -> DurabilityExtension:
    extension = DurabilityExtension.__new__(DurabilityExtension)
    extension.settings = DurabilityExtensionFactory(Durability.DATA, 1.0)
    extension.syncer = syncer
    return extension


def test_sync_now_releases_all_that_waits_and_after_the_end_nothing_is_released(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene(store: MessageStore, syncer: Syncer, slow: SlowSync) -> None:
        done: list[int] = []
        syncer.call_when_synced(lambda: done.append(1))
        await asyncio.to_thread(slow.begun.acquire)
        for _ in range(3):
            slow.go.release()
        assert syncer.sync_now()
        assert done == [1]
        await until(lambda: not syncer.is_syncing)
        assert done == [1], "once"
        monkeypatch.setattr(store, "compact", lambda: pytest.fail("the journal is another process's by then"))
        slow.fails = True
        slow.go.release()
        syncer.close()
        syncer.call_when_synced(lambda: done.append(2))
        await asyncio.sleep(0.02)
        assert done == [1]

    syncing(tmp_path, scene)


@pytest.mark.parametrize("level", ["data", "interval"])
def test_a_process_serves_dies_and_goes_on_at_each_level(tmp_path: Path, level: str) -> None:
    async def played() -> None:
        platform = Platform()
        await platform.start()
        peer = await Peer(always(OK)).start()
        platform.add_endpoint("s1", peer.port)
        (tmp_path / "parts.toml").write_text(f'[journal]\ndurability = "{level}"\ninterval_s = 0.05\n')
        node = Node(tmp_path, platform)
        node.arguments = ["--parts", str(tmp_path / "parts.toml")]
        await node.start()
        for n in range(5):
            assert (await node.submit(f"a{n}"))[0] == 202
        await peer.wait_for_requests(5)
        assert (await node.call(b"OFFLINE s1\n")).startswith("ok")
        assert (await node.submit("held"))[0] == 202
        await node.end()
        await node.start()
        assert (await node.call(b"ONLINE s1\n")).startswith("ok")
        await peer.wait_for_requests(6)
        other = node.successor()
        await other.start()
        async with asyncio.timeout(PATIENCE):
            assert await node.process.wait() == 0, "it handed over"
        assert (await other.submit("after"))[0] == 202
        await peer.wait_for_requests(7)
        assert await other.end(15) == 0

    asyncio.run(played())
