"""What was promised outlasts a power cut, or the process's death, at any call to the operating system."""

from __future__ import annotations

import os
import random
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

from forwarder.storage.store import MessageStore
from tests.storage.folders import MAX_BYTES, accepted_message
from tests.storage.power_cut_disk import Disk, PowerCutError, use_os


class Promise(NamedTuple):
    """What a sync has promised to outlast a power cut."""

    known_ids: set[str]
    attempts: dict[str, set[int]]
    """Numbers of the attempts in flight, by message id."""


def promise_of(store: MessageStore) -> Promise:
    attempts = {message.id: {*message.in_flight} for message in store.messages.values()}
    return Promise({*store.messages, *store.ended_ids}, attempts)


def assert_keeps_promise(back: MessageStore, promise: Promise, run: str) -> None:
    assert all(back.knows(name) or name in back.pending_notices for name in promise.known_ids), run
    for name, numbers in promise.attempts.items():
        message = back.messages.get(name)
        if message is None or message.is_doubtful or message.maybe_ran_at_us >= 0:
            continue
        assert numbers <= {*message.in_flight}, (run, name)


def use_store(store: MessageStore, promised: Callable[[], None], chance: random.Random) -> Iterator[None]:
    """Accepts, calls and ends messages; after most rounds it syncs, and notes what that promises."""
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
        sure: list[Promise] = []

        def promised(disk: Disk = disk, store: MessageStore = store, sure: list[Promise] = sure) -> None:
            disk.fdatasync(store.fd)
            sure.append(promise_of(store))

        disk.dies_at = chance.randrange(5, 400)
        try:
            store.take_ownership()
            disk.fdatasync(store.fd)
            for _ in use_store(store, promised, chance):
                pass
        except PowerCutError:
            pass
        use_os(monkeypatch, os)
        disk.after_the_cut(tmp_path / f"disk{n}")
        back = MessageStore(tmp_path / f"disk{n}", MAX_BYTES, salt=7)
        if sure:
            assert_keeps_promise(back, sure[-1], f"seed {seed}, run {n}")
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
            for _ in use_store(store.take_ownership(), lambda: None, disk.chance):
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
        for _ in use_store(store, lambda: None, disk.chance):
            pass
        use_os(monkeypatch, os)
        disk.after_the_cut(tmp_path / f"disk{n}")
        lost += len({*store.messages} - {*MessageStore(tmp_path / f"disk{n}", MAX_BYTES, salt=7).messages})
    assert lost > 50
