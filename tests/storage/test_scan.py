"""Tests that damage to a journal is detected, and that reading continues after it."""

from __future__ import annotations

import os
import random
from pathlib import Path

import pytest

from forwarder.storage.record_format import (
    HEADER_BYTES,
    encode_record_frame,
)
from forwarder.storage.scan import scan_journal
from forwarder.storage.store import MessageStore
from tests.storage.folders import (
    MAX_BYTES,
    SAFE,
    SNAPSHOT,
    accepted_message,
    assert_recovered_state_is_valid,
    fill_folder,
    reopen_with,
)


@pytest.mark.parametrize(
    ("name", "kinds"),
    [
        ("journal", {"list", "names", "taken", "attempt", "outcome", "over", "owed", "outage", "ban"}),
        (SNAPSHOT, {"list", "ended", "taken", "sealed"}),
    ],
)
def test_a_changed_byte_loses_at_most_the_record_that_contains_it(tmp_path: Path, name: str, kinds: set[str]) -> None:
    original = fill_folder(tmp_path)
    data = (tmp_path / name).read_bytes()
    assert {r.line[0] for r in scan_journal(data).records} == kinds
    rng = random.Random(1)
    for offset in range(len(data)):
        corrupted = bytearray(data)
        corrupted[offset] ^= 1 << rng.randrange(8)
        reopened = reopen_with(tmp_path, bytes(corrupted), name)
        assert_recovered_state_is_valid(reopened, original)
        lost = reopened.recovered.missing_records + reopened.recovered.scans[name].is_tail_lost
        assert lost <= 1, offset
        assert reopened.recovered.is_damaged, offset
        assert len(reopened.messages) >= len(original.messages) - 1, offset
        assert lost or offset < HEADER_BYTES or name == SNAPSHOT


def test_a_truncated_journal_loses_only_the_truncated_records(tmp_path: Path) -> None:
    original = fill_folder(tmp_path)
    data = (tmp_path / "journal").read_bytes()
    numbers = [r.number for r in scan_journal(data).records]
    for size in range(len(data)):
        scan = scan_journal(data[:size], 1234)
        assert not scan.is_damaged or size < HEADER_BYTES, size
        assert [r.number for r in scan.records] == numbers[: len(scan.records)]
        reopened = reopen_with(tmp_path, data[:size]).take_ownership()
        assert reopened.recovered.torn_bytes <= size
        assert not [*reopened.recovered.records()], "records are still in memory after the replay"
        assert MessageStore(tmp_path, MAX_BYTES, salt=1234).messages.keys() == reopened.messages.keys()
        os.close(reopened.fd)
    assert original.messages


BLOCK_DAMAGE = {
    "zeroed": lambda data, offset, size, other: data[:offset] + bytes(size) + data[offset + size :],
    "missing": lambda data, offset, size, other: data[:offset] + data[offset + size :],
    "doubled": lambda data, offset, size, other: (
        data[: offset + size] + data[offset : offset + size] + data[offset + size :]
    ),
    "swapped": lambda data, offset, size, other: (
        data[:offset]
        + data[other : other + size]
        + data[offset + size : other]
        + data[offset : offset + size]
        + data[other + size :]
        if other >= offset + size
        else data
    ),
    "lost and written over": lambda data, offset, size, other: (
        data[:offset] + os.urandom(0) + b"\xe7\x4a" * (size // 2) + data[offset + size :]
    ),
}


@pytest.mark.parametrize("damage_kind", BLOCK_DAMAGE)
@pytest.mark.parametrize("size", [16, 512])
def test_damaged_blocks_are_detected_and_reading_continues_after_them(
    tmp_path: Path, damage_kind: str, size: int
) -> None:
    original = fill_folder(tmp_path)
    data, snapshot = (tmp_path / "journal").read_bytes(), (tmp_path / SNAPSHOT).read_bytes()
    for offset in range(0, len(data) - size, 37):
        corrupted = BLOCK_DAMAGE[damage_kind](data, offset, size, len(data) - size)
        if corrupted == data:
            continue
        for path in tmp_path.iterdir():
            path.unlink()
        (tmp_path / SNAPSHOT).write_bytes(snapshot)
        reopened = reopen_with(tmp_path, corrupted)
        assert_recovered_state_is_valid(reopened, original)
        assert reopened.recovered.is_damaged or reopened.recovered.torn_bytes
        for _ in range(2):  # the rewritten files are undamaged
            reopened = MessageStore(tmp_path, MAX_BYTES, salt=1234).take_ownership()
            os.close(reopened.fd)
        assert not reopened.recovered.is_damaged


def test_a_changed_bit_loses_at_most_one_of_a_thousand_messages(tmp_path: Path) -> None:
    """Reading used to stop at the first damaged record, which lost the nine hundred messages after it."""
    store = MessageStore(tmp_path, MAX_BYTES).take_ownership()
    for n in range(1000):
        store.accept(accepted_message(f"m{n}", SAFE, b"x" * 50))
    store.close()
    data = bytearray((tmp_path / "journal").read_bytes())
    data[len(data) // 10] ^= 1
    (tmp_path / "journal").write_bytes(data)
    assert len(MessageStore(tmp_path, MAX_BYTES).messages) >= 999


def test_a_body_that_contains_forged_records_is_not_parsed_as_records(tmp_path: Path) -> None:
    forged = [
        encode_record_frame(salt, number, ("ban", "s9", 1)) for salt in (0, 1, 1234) for number in (1, 2, 3, 4, 99)
    ]
    store = MessageStore(tmp_path, MAX_BYTES, salt=4321).take_ownership()
    store.accept(accepted_message("a", SAFE, b"".join(forged)))
    store.accept(accepted_message("b", SAFE))
    store.close()
    data = bytearray((tmp_path / "journal").read_bytes())
    data[data.find(b'"taken","a"')] ^= 1
    reopened = reopen_with(tmp_path, bytes(data))
    assert not reopened.disabled_endpoints
    assert list(reopened.messages) == ["b"]
    assert reopened.recovered.missing_records == 1
