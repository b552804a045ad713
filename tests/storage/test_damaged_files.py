"""Tests that damaged files are set aside, and that only a limited number of them is kept."""

from __future__ import annotations

from pathlib import Path

from forwarder.storage.store import MessageStore
from tests.storage.folders import (
    MAX_BYTES,
    SAFE,
    accepted_message,
    fill_folder,
)


def test_a_damaged_file_is_set_aside_and_their_number_is_bounded(tmp_path: Path) -> None:
    for n in range(5):
        if n == 0:
            fill_folder(tmp_path).close()
        data = bytearray((tmp_path / "journal").read_bytes())
        data[len(data) // 2] ^= 1
        (tmp_path / "journal").write_bytes(data)
        store = MessageStore(tmp_path, MAX_BYTES).take_ownership()
        assert store.recovered.is_damaged
        assert store.set_aside_bytes >= 512
        kept = [path.read_bytes() for path in tmp_path.glob("*.bad-*")]
        assert bytes(data) in kept
        assert len(kept) <= 2
        store.accept(accepted_message(f"n{n}", SAFE))
        store.close()
    assert not MessageStore(tmp_path, MAX_BYTES).recovered.is_damaged
