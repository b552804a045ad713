"""Tests that synced state survives a power cut, and written state the process's death, at any system call."""

from __future__ import annotations

import os
import random
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

from forwarder.storage.store import MessageStore
from tests.storage.folders import MAX_BYTES, accepted_message
from tests.storage.power_cut_disk import PowerCutDisk, PowerCutError, replace_os


class SyncedState(NamedTuple):
    """The state at a sync, which must survive a power cut."""

    known_ids: set[str]
    attempts: dict[str, set[int]]
    """Numbers of the attempts in flight, by message id."""


def synced_state_of(store: MessageStore) -> SyncedState:
    attempts = {message.id: {*message.in_flight} for message in store.messages.values()}
    return SyncedState({*store.messages, *store.ended_ids}, attempts)


def assert_contains_synced_state(reopened: MessageStore, synced: SyncedState, run: str) -> None:
    assert all(reopened.knows(name) or name in reopened.pending_notices for name in synced.known_ids), run
    for name, numbers in synced.attempts.items():
        message = reopened.messages.get(name)
        if message is None or message.is_doubtful or message.maybe_ran_at_us >= 0:
            continue
        assert numbers <= {*message.in_flight}, (run, name)


def run_workload(store: MessageStore, sync: Callable[[], None], rng: random.Random) -> Iterator[None]:
    """Accepts and ends messages and starts attempts, and calls `sync` after most rounds."""
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
        if rng.random() < 0.7:
            sync()
        yield


@pytest.mark.parametrize("seed", range(12))
def test_synced_state_survives_a_power_cut_at_any_call(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    rng = random.Random(seed)
    for n in range(14):
        folder = tmp_path / f"life{n}"
        folder.mkdir()
        disk = PowerCutDisk(folder, rng)
        replace_os(monkeypatch, disk)
        store = MessageStore(folder, MAX_BYTES, salt=7)
        store.durable = True
        synced_states: list[SyncedState] = []

        def sync(
            disk: PowerCutDisk = disk,
            store: MessageStore = store,
            synced_states: list[SyncedState] = synced_states,
        ) -> None:
            disk.fdatasync(store.fd)
            synced_states.append(synced_state_of(store))

        disk.power_cut_at_call = rng.randrange(5, 400)
        try:
            store.take_ownership()
            disk.fdatasync(store.fd)
            for _ in run_workload(store, sync, rng):
                pass
        except PowerCutError:
            pass
        replace_os(monkeypatch, os)
        disk.write_state_after_power_cut(tmp_path / f"disk{n}")
        reopened = MessageStore(tmp_path / f"disk{n}", MAX_BYTES, salt=7)
        if synced_states:
            assert_contains_synced_state(reopened, synced_states[-1], f"seed {seed}, run {n}")
        reopened.take_ownership()
        reopened.accept(accepted_message("afterwards"))
        reopened.flush()
        assert MessageStore(tmp_path / f"disk{n}", MAX_BYTES, salt=7).knows("afterwards")


@pytest.mark.parametrize("first", range(5, 13))
def test_after_a_kill_at_any_call_all_written_state_is_found_undamaged(
    tmp_path: Path, first: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without a power cut, written state is not lost. Each parameter covers every eighth call from `first` on."""
    for killed_at_call in range(first, 400, 8):
        folder = tmp_path / str(killed_at_call)
        folder.mkdir()
        disk = PowerCutDisk(folder, random.Random(killed_at_call))
        replace_os(monkeypatch, disk)
        store, written = MessageStore(folder, MAX_BYTES, salt=7), set[str]()
        disk.power_cut_at_call = killed_at_call
        try:
            for _ in run_workload(store.take_ownership(), lambda: None, disk.rng):
                written = {*store.messages, *store.ended_ids}
        except PowerCutError:
            pass
        replace_os(monkeypatch, os)
        for new_id in ("afterwards", "and again"):
            reopened = MessageStore(folder, MAX_BYTES, salt=7)
            assert not reopened.recovered.is_damaged, killed_at_call
            assert all(reopened.knows(name) for name in written), killed_at_call
            assert not any(m.is_doubtful for m in reopened.messages.values())
            reopened.take_ownership().accept(accepted_message(new_id))
            reopened.close()
            written.add(new_id)


def test_without_a_sync_the_simulated_power_cut_loses_messages(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Checks the simulation itself: it must lose unsynced data, or the tests above would prove nothing."""
    lost = 0
    for n in range(10):
        folder = tmp_path / f"life{n}"
        folder.mkdir()
        disk = PowerCutDisk(folder, random.Random(n))
        replace_os(monkeypatch, disk)
        store = MessageStore(folder, MAX_BYTES, salt=7).take_ownership()
        for _ in run_workload(store, lambda: None, disk.rng):
            pass
        replace_os(monkeypatch, os)
        disk.write_state_after_power_cut(tmp_path / f"disk{n}")
        lost += len({*store.messages} - {*MessageStore(tmp_path / f"disk{n}", MAX_BYTES, salt=7).messages})
    assert lost > 50
