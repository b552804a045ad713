"""A damaged journal: what is lost of it is noticed, and reading goes on behind it."""

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
    assert_nothing_wrong_is_believed,
    fill_folder,
    reread,
)


@pytest.mark.parametrize(
    ("name", "kinds"),
    [
        ("journal", {"list", "names", "taken", "attempt", "outcome", "over", "owed", "outage", "ban"}),
        (SNAPSHOT, {"list", "ended", "taken", "sealed"}),
    ],
)
def test_every_byte_changed_costs_no_more_than_the_record_it_is_in(tmp_path: Path, name: str, kinds: set[str]) -> None:
    whole = fill_folder(tmp_path)
    data = (tmp_path / name).read_bytes()
    assert {r.line[0] for r in scan_journal(data).records} == kinds
    chance = random.Random(1)
    for at in range(len(data)):
        spoilt = bytearray(data)
        spoilt[at] ^= 1 << chance.randrange(8)
        back = reread(tmp_path, bytes(spoilt), name)
        assert_nothing_wrong_is_believed(back, whole)
        lost = back.recovered.missing_records + back.recovered.scans[name].is_tail_lost
        assert lost <= 1, at
        assert back.recovered.is_damaged, at
        assert len(back.messages) >= len(whole.messages) - 1, at
        assert lost or at < HEADER_BYTES or name == SNAPSHOT


def test_every_cut_costs_no_more_than_what_was_cut(tmp_path: Path) -> None:
    whole = fill_folder(tmp_path)
    data = (tmp_path / "journal").read_bytes()
    numbers = [r.number for r in scan_journal(data).records]
    for size in range(len(data)):
        found = scan_journal(data[:size], 1234)
        assert not found.is_damaged or size < HEADER_BYTES, size
        assert [r.number for r in found.records] == numbers[: len(found.records)]
        back = reread(tmp_path, data[:size]).take_ownership()
        assert back.recovered.torn_bytes <= size
        assert not [*back.recovered.records()], "bodies are kept without a need"
        assert MessageStore(tmp_path, MAX_BYTES, salt=1234).messages.keys() == back.messages.keys()
        os.close(back.fd)
    assert whole.messages


BLOCKS = {
    "zeroed": lambda data, at, size, other: data[:at] + bytes(size) + data[at + size :],
    "missing": lambda data, at, size, other: data[:at] + data[at + size :],
    "doubled": lambda data, at, size, other: data[: at + size] + data[at : at + size] + data[at + size :],
    "swapped": lambda data, at, size, other: (
        data[:at] + data[other : other + size] + data[at + size : other] + data[at : at + size] + data[other + size :]
        if other >= at + size
        else data
    ),
    "lost and written over": lambda data, at, size, other: (
        data[:at] + os.urandom(0) + b"\xe7\x4a" * (size // 2) + data[at + size :]
    ),
}


@pytest.mark.parametrize("how", BLOCKS)
@pytest.mark.parametrize("size", [16, 512])
def test_blocks_that_are_changed_are_noticed_and_reading_goes_on(tmp_path: Path, how: str, size: int) -> None:
    whole = fill_folder(tmp_path)
    data, snapshot = (tmp_path / "journal").read_bytes(), (tmp_path / SNAPSHOT).read_bytes()
    for at in range(0, len(data) - size, 37):
        spoilt = BLOCKS[how](data, at, size, len(data) - size)
        if spoilt == data:
            continue
        for path in tmp_path.iterdir():
            path.unlink()
        (tmp_path / SNAPSHOT).write_bytes(snapshot)
        back = reread(tmp_path, spoilt)
        assert_nothing_wrong_is_believed(back, whole)
        assert back.recovered.is_damaged or back.recovered.torn_bytes
        for _ in range(2):  # what is written anew is sound, and says the same
            back = MessageStore(tmp_path, MAX_BYTES, salt=1234).take_ownership()
            os.close(back.fd)
        assert not back.recovered.is_damaged


def test_one_changed_bit_costs_no_more_than_one_message_of_a_thousand(tmp_path: Path) -> None:
    """Nine hundred of them went with it."""
    store = MessageStore(tmp_path, MAX_BYTES).take_ownership()
    for n in range(1000):
        store.accept(accepted_message(f"m{n}", SAFE, b"x" * 50))
    store.close()
    data = bytearray((tmp_path / "journal").read_bytes())
    data[len(data) // 10] ^= 1
    (tmp_path / "journal").write_bytes(data)
    assert len(MessageStore(tmp_path, MAX_BYTES).messages) >= 999


def test_a_body_in_the_form_of_a_record_is_not_read_as_one(tmp_path: Path) -> None:
    forged = [
        encode_record_frame(salt, number, ("ban", "s9", 1)) for salt in (0, 1, 1234) for number in (1, 2, 3, 4, 99)
    ]
    store = MessageStore(tmp_path, MAX_BYTES, salt=4321).take_ownership()
    store.accept(accepted_message("a", SAFE, b"".join(forged)))
    store.accept(accepted_message("b", SAFE))
    store.close()
    data = bytearray((tmp_path / "journal").read_bytes())
    data[data.find(b'"taken","a"')] ^= 1
    back = reread(tmp_path, bytes(data))
    assert not back.disabled_endpoints
    assert list(back.messages) == ["b"]
    assert back.recovered.missing_records == 1
