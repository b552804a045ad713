"""Tests of writing the journal: snapshots in steps, compaction within the size limit, failed writes."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import Any

import pytest

from forwarder.storage import journal_writer
from forwarder.storage.file_io import block_bytes
from forwarder.storage.store import MessageStore
from tests.storage.folders import (
    MAX_BYTES,
    SAFE,
    accepted_message,
    file_names,
    has_same_state,
)


def test_a_snapshot_is_written_in_steps_while_records_are_appended(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, 60 * MAX_BYTES).take_ownership()
    for n in range(1500):
        store.accept(accepted_message(f"m{n}", SAFE, b"x" * 3000))
    store.flush()
    store.begin_snapshot()
    steps = 0
    while store.files.snapshot_writer is not None:
        before = store.files.snapshot_writer.size_bytes
        store.accept(accepted_message(f"n{steps}", SAFE))
        store.end_message(f"m{7 * steps}")
        store.flush()
        steps += 1
        if store.files.snapshot_writer is not None:
            assert store.files.snapshot_writer.size_bytes - before <= 2 * journal_writer.SNAPSHOT_STEP_BYTES
        elif steps < 1500 // 7:
            assert has_same_state(MessageStore(tmp_path, 60 * MAX_BYTES), store)
    assert steps > 100
    assert store.compactions == 1


def test_the_files_stay_within_the_limit_while_generations_are_removed_and_compacted(tmp_path: Path) -> None:
    max_bytes, seen_names = 900_000, set[str]()
    store = MessageStore(tmp_path, max_bytes).take_ownership()
    for n in range(4000):
        if store.has_capacity_for(600):
            store.accept(accepted_message(f"m{n}", SAFE, b"x" * 200))
        if len(store.messages) > (20 if n < 1500 else 400):
            store.end_message(next(iter(store.messages)))
        store.flush()
        seen_names |= file_names(tmp_path)
        assert sum(block_bytes(path.stat().st_size) for path in tmp_path.iterdir()) <= max_bytes, n
    assert not store.write_failed
    assert store.compactions > 3
    assert len(store.messages) > 200
    assert has_same_state(MessageStore(tmp_path, max_bytes), store)
    assert any(name.startswith("journal-") for name in seen_names)


@pytest.mark.parametrize("call", ["open", "write", "replace", "unlink"])
def test_a_failed_call_while_files_are_replaced_loses_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    """Fails one call at a time in snapshots, journal switches and a compaction, as on a full disk."""
    for failing_call_number in range(1, 12):
        folder = tmp_path / str(failing_call_number)
        store, calls_left = MessageStore(folder, MAX_BYTES, salt=9).take_ownership(), [failing_call_number]
        real = getattr(os, call)

        def fail_once(*args: Any, real: Any = real, calls_left: list[int] = calls_left, **kwargs: Any) -> Any:
            calls_left[0] -= 1
            if calls_left[0] == 0:
                raise OSError(28, "no space left on device")
            return real(*args, **kwargs)

        store.accept(accepted_message("a"))
        store.flush()
        monkeypatch.setattr(os, call, fail_once)
        for n in range(6):
            store.accept(accepted_message(f"b{n}"))
            if n in (1, 3):
                store.begin_snapshot()
            if n == 5:
                store.compact()
            store.flush()
        monkeypatch.setattr(os, call, real)
        store.accept(accepted_message("c"))
        store.flush()
        reopened = MessageStore(folder, MAX_BYTES)
        assert reopened.messages.keys() == store.messages.keys(), failing_call_number
        assert not store.write_failed, failing_call_number
        assert not any(m.is_doubtful for m in reopened.messages.values())
        store.close()


def test_a_folder_that_becomes_read_only_loses_nothing_and_is_rewritten_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = MessageStore(tmp_path, MAX_BYTES).take_ownership()
    for n in range(200):
        store.accept(accepted_message(f"m{n}", SAFE, b"x" * 500))
    store.flush()
    store.begin_snapshot()

    def fail_read_only(*args: Any, **kwargs: Any) -> None:
        raise OSError(30, "Read-only file system")

    for call in ("write", "ftruncate", "unlink", "replace", "open"):
        monkeypatch.setattr(os, call, fail_read_only)
    for name in ("a", "b"):
        store.accept(accepted_message(name, SAFE))
        store.flush()
    assert store.write_failed
    assert not store.has_capacity_for(10)
    assert store.files.snapshot_writer is None
    monkeypatch.undo()
    deadline_s = time.monotonic() + 20
    while not store.retry() and time.monotonic() < deadline_s:  # without new records, once the retry pause is over
        time.sleep(0.01)
    store.end_message("m0")
    assert store.flush()
    assert not store.write_failed
    assert has_same_state(MessageStore(tmp_path, MAX_BYTES), store)
    assert {"a", "b"} <= store.messages.keys()
