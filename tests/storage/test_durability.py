"""Durability: a file layer that loses what was not synced, in any order; syncs that fail; and a process that waits."""

from __future__ import annotations

import asyncio
import errno
import os
import random
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from forwarder.storage import damaged_files, file_io, journal_file, journal_files
from forwarder.storage.durability import Durability, DurabilityExtension, DurabilityExtensionFactory, Syncer
from forwarder.storage.store import MessageStore
from tests.sockets import OK, PATIENCE, Node, Peer, Platform, always
from tests.storage.folders import MAX_BYTES, accepted_message


class PowerCutError(Exception):
    """The power was cut."""


class Disk:
    """Stands in for `os` in the store. Knows what of each file is surely on the disk, and which names of the folder
    are. At a given call, counted from the start, the power is cut, or the call fails.
    """

    def __init__(self, folder: Path, chance: random.Random) -> None:
        self.folder, self.chance = folder, chance
        self.calls, self.dies_at = 0, -1
        self.fails: dict[str, int] = {}
        self.names: dict[int, Path] = {}
        self.contents: dict[str, bytes] = {}
        """Of each file, by its inode, what is synced."""
        self.entries: dict[str, str] = {}
        """Names that are synced, and the inodes behind them."""
        self.pending: list[tuple[str, str]] = []
        """Names that were given since the folder was last synced, in their order."""

    def __getattr__(self, name: str) -> Any:
        real = getattr(os, name)
        play = {
            "open": self._open,
            "write": self._write,
            "replace": self._replace,
            "fdatasync": self._fdatasync,
            "fsync": self._fsync,
            "unlink": self._unlink,
            "ftruncate": os.ftruncate,
            "close": os.close,
        }.get(name)
        if play is None:
            return real

        def counted(*args: Any) -> Any:
            self.calls += 1
            if self.calls == self.dies_at:
                raise PowerCutError(name)
            if self.fails.get(name, 0) > 0:
                self.fails[name] -= 1
                raise OSError(errno.EIO, f"{name} failed")
            return play(*args)

        return counted

    @staticmethod
    def inode(fd: int) -> str:
        return str(os.fstat(fd).st_ino)

    def _open(self, path: Any, flags: int, mode: int = 0o777) -> int:
        new = not Path(path).exists()
        fd = os.open(path, flags, mode)
        if new:
            self.contents[self.inode(fd)] = b""
            self.pending.append((Path(path).name, self.inode(fd)))
        return fd

    def _write(self, fd: int, data: Any) -> int:
        return os.write(fd, bytes(data)[: self.chance.randrange(1, len(data) + 1)])  # short writes are allowed

    def _replace(self, old: Any, new: Any) -> None:
        self.pending += [(Path(new).name, str(Path(old).stat().st_ino)), (Path(old).name, "")]
        os.replace(old, new)

    def _unlink(self, path: Any) -> None:
        os.unlink(path)
        self.pending.append((Path(path).name, ""))

    def _fdatasync(self, fd: int) -> None:
        with open(f"/proc/self/fd/{fd}", "rb") as file:
            self.contents[self.inode(fd)] = file.read()

    def _fsync(self, fd: int) -> None:
        """Of the folder."""
        self.entries.update(self.pending)
        self.pending.clear()

    def after_the_cut(self, to: Path) -> None:
        """What a disk may hold: names up to any point, and of each file what was synced and any part of the rest."""
        now = {str(p.stat().st_ino): p.read_bytes() for p in self.folder.iterdir() if p.is_file()}
        entries = dict(self.entries)
        entries.update(self.pending[: self.chance.randrange(len(self.pending) + 1)])
        to.mkdir()
        for name, inode in entries.items():
            if not inode:
                continue  # it was given away, or removed
            synced = self.contents.get(inode, b"")
            rest = now.get(inode, synced)
            if rest[: len(synced)] != synced:
                rest = synced
            data = bytearray(rest[: self.chance.randrange(len(synced), len(rest) + 1)])
            for at in range(len(synced), len(data), 64):  # blocks may come in any order: some are not there yet
                if self.chance.random() < 0.3:
                    data[at : at + 64] = bytes(len(data[at : at + 64]))
            (to / name).write_bytes(data)


def use_os(monkeypatch: pytest.MonkeyPatch, disk: Any) -> None:
    """Lets the modules that write the journal use this in place of `os`, or `os` again."""
    for module in (damaged_files, file_io, journal_file, journal_files):
        monkeypatch.setattr(module, "os", disk)


def life(store: MessageStore, promised: Callable[[], None], chance: random.Random) -> Iterator[None]:
    """Messages taken on, called and ended; after each round a sync, and what it promises."""
    for n in range(60):
        store.accept(accepted_message(f"m{n}"))
        if n % 3:
            store.record_attempt(store.messages[f"m{n}"], 0, 50, "s1")
        if n % 5 == 4:
            store.end_message(f"m{n - 2}")
        if n % 20 == 13:
            store.compact()
        if n % 20 in (3, 8) and store.files.snapshot_writer is None:
            store.begin_snapshot()
        store.flush()
        if chance.random() < 0.7:
            promised()
        yield


@pytest.mark.parametrize("seed", range(12))
def test_what_was_promised_is_there_after_a_power_cut_at_any_call(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    chance = random.Random(seed)
    for n in range(14):
        folder = tmp_path / f"life{n}"
        folder.mkdir()
        disk = Disk(folder, chance)
        use_os(monkeypatch, disk)
        store = MessageStore(folder, MAX_BYTES, salt=7)
        store.durable = True
        sure: list[tuple[set[str], dict[str, set[int]]]] = []

        def promised(disk: Disk = disk, store: MessageStore = store, sure: Any = sure) -> None:
            disk.fdatasync(store.fd)
            sure.append(({*store.messages, *store.ended_ids}, {m.id: {*m.in_flight} for m in store.messages.values()}))

        disk.dies_at = chance.randrange(5, 400)
        try:
            store.take_ownership()
            disk.fdatasync(store.fd)
            for _ in life(store, promised, chance):
                pass
        except PowerCutError:
            pass
        use_os(monkeypatch, os)
        disk.after_the_cut(tmp_path / f"disk{n}")
        back = MessageStore(tmp_path / f"disk{n}", MAX_BYTES, salt=7)
        if sure:
            names, attempts = sure[-1]
            assert all(back.knows(name) or name in back.pending_notices for name in names), (seed, n)
            for name, numbers in attempts.items():
                m = back.messages.get(name)
                assert m is None or m.is_doubtful or numbers <= {*m.in_flight} or m.maybe_ran_at_us >= 0, (
                    seed,
                    n,
                    name,
                )
        back.take_ownership()
        back.accept(accepted_message("afterwards"))
        back.flush()
        assert MessageStore(tmp_path / f"disk{n}", MAX_BYTES, salt=7).knows("afterwards")


@pytest.mark.parametrize("first", range(5, 13))
def test_a_process_that_dies_at_any_call_finds_all_it_wrote_and_no_damage(
    tmp_path: Path, first: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without the power going: what was written is there. Every eighth call from the first on."""
    for dies_at in range(first, 400, 8):
        folder = tmp_path / str(dies_at)
        folder.mkdir()
        disk = Disk(folder, random.Random(dies_at))
        use_os(monkeypatch, disk)
        store, written = MessageStore(folder, MAX_BYTES, salt=7), set[str]()
        disk.dies_at = dies_at
        try:
            for _ in life(store.take_ownership(), lambda: None, disk.chance):
                written = {*store.messages, *store.ended_ids}
        except PowerCutError:
            pass
        use_os(monkeypatch, os)
        for again in ("afterwards", "and again"):
            back = MessageStore(folder, MAX_BYTES, salt=7)
            assert not back.recovered.is_damaged, dies_at
            assert all(back.knows(name) for name in written), dies_at
            assert not any(m.is_doubtful for m in back.messages.values())
            back.take_ownership().accept(accepted_message(again))
            back.close()
            written.add(again)


def test_without_the_sync_what_was_promised_may_be_gone(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The disk does lose: it would find out a store that promises too much."""
    lost = 0
    for n in range(10):
        folder = tmp_path / f"life{n}"
        folder.mkdir()
        disk = Disk(folder, random.Random(n))
        use_os(monkeypatch, disk)
        store = MessageStore(folder, MAX_BYTES, salt=7).take_ownership()
        for _ in life(store, lambda: None, disk.chance):
            pass
        use_os(monkeypatch, os)
        disk.after_the_cut(tmp_path / f"disk{n}")
        lost += len({*store.messages} - {*MessageStore(tmp_path / f"disk{n}", MAX_BYTES, salt=7).messages})
    assert lost > 50


# The thread


class Slow:
    """A sync that ends when it is told to, well or badly."""

    def __init__(self) -> None:
        self.begun, self.go, self.fails = threading.Semaphore(0), threading.Semaphore(0), False

    def __call__(self, fd: int) -> None:
        os.fstat(fd)
        self.begun.release()
        assert self.go.acquire(timeout=PATIENCE)
        if self.fails:
            raise OSError(errno.EIO, "no such block")


def syncing(tmp_path: Path, scene: Callable[[MessageStore, Syncer, Slow], Any]) -> None:
    async def played() -> None:
        store = MessageStore(tmp_path, MAX_BYTES).take_ownership()
        store.durable = True
        slow = Slow()
        async with asyncio.timeout(PATIENCE):
            await scene(store, Syncer(store, slow), slow)
        store.close()

    asyncio.run(played())


async def until(test: Callable[[], bool]) -> None:
    while not test():
        await asyncio.sleep(0.005)


def test_one_sync_serves_all_that_came_while_another_ran_and_in_order(tmp_path: Path) -> None:
    async def scene(store: MessageStore, syncer: Syncer, slow: Slow) -> None:
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

    async def scene(store: MessageStore, syncer: Syncer, slow: Slow) -> None:
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
def test_what_the_store_failed_to_write_or_sync_is_not_let_go_by_a_later_sync(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, what: str
) -> None:
    """The disk is full at a round's records; or the sync of a journal that is being closed fails."""
    monkeypatch.setattr("forwarder.storage.durability.REWRITE_RETRY_S", 0.01)

    async def scene(store: MessageStore, syncer: Syncer, slow: Slow) -> None:
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
        assert "nothing is let go" in part_of(syncer).describe_state()
        disk.fails = {}
        await until(lambda: done == ["a"])
        use_os(monkeypatch, os)
        assert MessageStore(tmp_path, MAX_BYTES).knows("a")
        assert not store.write_failed

    syncing(tmp_path, scene)


def part_of(syncer: Syncer) -> DurabilityExtension:
    part = DurabilityExtension.__new__(DurabilityExtension)
    part.settings, part.syncer = DurabilityExtensionFactory(Durability.DATA, 1.0), syncer
    return part


def test_a_barrier_lets_go_all_that_waits_and_after_the_end_nothing_goes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene(store: MessageStore, syncer: Syncer, slow: Slow) -> None:
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


# The process


@pytest.mark.parametrize("level", ["data", "interval"])
def test_a_process_serves_dies_and_goes_on_at_each_level(tmp_path: Path, level: str) -> None:
    async def played() -> None:
        platform = Platform()
        await platform.start()
        peer = await Peer(always(OK)).start()
        platform.host("s1", peer.port)
        (tmp_path / "parts.toml").write_text(f'[journal]\ndurability = "{level}"\ninterval_s = 0.05\n')
        node = Node(tmp_path, platform)
        node.arguments = ["--parts", str(tmp_path / "parts.toml")]
        await node.start()
        for n in range(5):
            assert (await node.hand_in(f"a{n}"))[0] == 202
        await peer.got(5)
        assert (await node.call(b"OFFLINE s1\n")).startswith("ok")
        assert (await node.hand_in("held"))[0] == 202
        await node.end()
        await node.start()
        assert (await node.call(b"ONLINE s1\n")).startswith("ok")
        await peer.got(6)
        other = node.beside()
        await other.start()
        async with asyncio.timeout(PATIENCE):
            assert await node.process.wait() == 0, "it handed over"
        assert (await other.hand_in("after"))[0] == 202
        await peer.got(7)
        assert await other.end(15) == 0

    asyncio.run(played())
