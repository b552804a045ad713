"""Tests of the syncer (group commit, failed syncs), and of a process at each durability level."""

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
from tests.storage.power_cut_disk import PowerCutDisk, replace_os


class SlowSync:
    """A sync that waits until the test lets it succeed or fail."""

    def __init__(self) -> None:
        self.started = threading.Semaphore(0)
        self.may_end = threading.Semaphore(0)
        self.should_fail = False

    def __call__(self, fd: int) -> None:
        os.fstat(fd)
        self.started.release()
        assert self.may_end.acquire(timeout=PATIENCE)
        if self.should_fail:
            raise OSError(errno.EIO, "simulated I/O error")


def run_with_syncer(tmp_path: Path, scenario: Callable[[MessageStore, Syncer, SlowSync], Any]) -> None:
    async def run() -> None:
        store = MessageStore(tmp_path, MAX_BYTES).take_ownership()
        store.durable = True
        slow_sync = SlowSync()
        async with asyncio.timeout(PATIENCE):
            await scenario(store, Syncer(store, slow_sync), slow_sync)
        store.close()

    asyncio.run(run())


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.005)


def test_one_sync_covers_all_callbacks_added_during_the_previous_one_in_order(tmp_path: Path) -> None:
    async def scenario(store: MessageStore, syncer: Syncer, slow_sync: SlowSync) -> None:
        called: list[int] = []
        syncer.call_when_synced(lambda: called.append(0))
        await asyncio.to_thread(slow_sync.started.acquire)
        for n in range(1, 50):
            syncer.call_when_synced(lambda n=n: called.append(n))  # type: ignore[misc]
        assert called == []
        slow_sync.may_end.release()
        await wait_until(lambda: called == [0])
        slow_sync.may_end.release()
        await wait_until(lambda: called == [*range(50)])
        assert syncer.sync_count == 2
        assert syncer.max_waiting >= 49

    run_with_syncer(tmp_path, scenario)


def test_a_failed_sync_is_not_retried_on_the_same_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("forwarder.storage.durability.REWRITE_RETRY_S", 0.01)

    async def scenario(store: MessageStore, syncer: Syncer, slow_sync: SlowSync) -> None:
        called: list[str] = []
        store.accept(accepted_message("a"))
        store.flush()
        slow_sync.should_fail, inode = True, os.fstat(store.fd).st_ino
        slow_sync.may_end.release()
        syncer.call_when_synced(lambda: called.append("a"))
        real_compact = store.compact
        monkeypatch.setattr(store, "compact", lambda: False)  # rewriting the journal fails too
        await wait_until(lambda: syncer.failure_count >= 3)
        assert called == []
        assert syncer.sync_failed
        assert not syncer.sync_now()
        monkeypatch.setattr(store, "compact", real_compact)
        await wait_until(lambda: called == ["a"])
        assert os.fstat(store.fd).st_ino != inode
        assert not syncer.sync_failed
        assert MessageStore(tmp_path, MAX_BYTES).knows("a")
        assert syncer.sync_count == 1

    run_with_syncer(tmp_path, scenario)


@pytest.mark.parametrize("failing_call", ["write", "fdatasync"])
def test_a_later_sync_does_not_release_records_that_the_store_failed_to_write_or_sync(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, failing_call: str
) -> None:
    """The write of a round's records fails on a full disk, or the sync of a journal that is being closed fails."""
    monkeypatch.setattr("forwarder.storage.durability.REWRITE_RETRY_S", 0.01)

    async def scenario(store: MessageStore, syncer: Syncer, slow_sync: SlowSync) -> None:
        called: list[str] = []
        disk = PowerCutDisk(tmp_path, random.Random(1))
        replace_os(monkeypatch, disk)
        disk.failures_left = {failing_call: 1, "open": 10**6}  # rewriting the journal fails too
        store.accept(accepted_message("a"))
        store.begin_snapshot() if failing_call == "fdatasync" else store.flush()
        assert store.write_failed
        for _ in range(3):
            slow_sync.may_end.release()
        syncer.call_when_synced(lambda: called.append("a"))
        await wait_until(lambda: syncer.failure_count >= 3)
        assert called == []
        assert not syncer.sync_now()
        assert "nothing is let go" in extension_using(syncer).describe_state()
        disk.failures_left = {}
        await wait_until(lambda: called == ["a"])
        replace_os(monkeypatch, os)
        assert MessageStore(tmp_path, MAX_BYTES).knows("a")
        assert not store.write_failed

    run_with_syncer(tmp_path, scenario)


def extension_using(syncer: Syncer) -> DurabilityExtension:
    extension = DurabilityExtension.__new__(DurabilityExtension)
    extension.settings = DurabilityExtensionFactory(Durability.DATA, 1.0)
    extension.syncer = syncer
    return extension


def test_sync_now_releases_all_waiting_callbacks_and_none_are_released_after_close(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(store: MessageStore, syncer: Syncer, slow_sync: SlowSync) -> None:
        called: list[int] = []
        syncer.call_when_synced(lambda: called.append(1))
        await asyncio.to_thread(slow_sync.started.acquire)
        for _ in range(3):
            slow_sync.may_end.release()
        assert syncer.sync_now()
        assert called == [1]
        await wait_until(lambda: not syncer.is_syncing)
        assert called == [1], "the callback was called again"
        monkeypatch.setattr(store, "compact", lambda: pytest.fail("the journal is another process's by then"))
        slow_sync.should_fail = True
        slow_sync.may_end.release()
        syncer.close()
        syncer.call_when_synced(lambda: called.append(2))
        await asyncio.sleep(0.02)
        assert called == [1]

    run_with_syncer(tmp_path, scenario)


@pytest.mark.parametrize("level", ["data", "interval"])
def test_a_process_serves_and_continues_after_a_kill_and_a_hand_over_at_each_level(tmp_path: Path, level: str) -> None:
    async def run() -> None:
        platform = Platform()
        await platform.start()
        endpoint = await Peer(always(OK)).start()
        platform.add_endpoint("s1", endpoint.port)
        (tmp_path / "parts.toml").write_text(f'[journal]\ndurability = "{level}"\ninterval_s = 0.05\n')
        node = Node(tmp_path, platform)
        node.arguments = ["--parts", str(tmp_path / "parts.toml")]
        await node.start()
        for n in range(5):
            assert (await node.submit(f"a{n}"))[0] == 202
        await endpoint.wait_for_requests(5)
        assert (await node.call(b"OFFLINE s1\n")).startswith("ok")
        assert (await node.submit("held"))[0] == 202
        await node.end()
        await node.start()
        assert (await node.call(b"ONLINE s1\n")).startswith("ok")
        await endpoint.wait_for_requests(6)
        successor = node.successor()
        await successor.start()
        async with asyncio.timeout(PATIENCE):
            assert await node.process.wait() == 0, "exit status after the hand-over"
        assert (await successor.submit("after"))[0] == 202
        await endpoint.wait_for_requests(7)
        assert await successor.end(15) == 0

    asyncio.run(run())
