"""Tests of the identity of a state folder: its owner and its start count."""

from __future__ import annotations

from pathlib import Path

import pytest

from forwarder.storage import identity
from forwarder.storage.errors import ForeignStateError
from forwarder.storage.schema import Identity


def test_a_folder_records_its_owner_and_its_start_count(tmp_path: Path) -> None:
    found, start = identity.claim_folder(tmp_path, "n1")
    assert found is None
    assert start is identity.StartKind.FIRST
    first = identity.count_start(found, "n1", 99)
    identity.record_start(first, tmp_path)
    again, start = identity.claim_folder(tmp_path, "n1")
    assert again == first
    assert start is identity.StartKind.RESTART
    second = identity.count_start(again, "n1", 99)
    identity.record_start(second, tmp_path)
    assert second.start_count == 2
    assert identity.read_identity(tmp_path) == second
    with pytest.raises(ForeignStateError, match="folder of n1, not of n2"):
        identity.claim_folder(tmp_path, "n2")
    data = bytearray((tmp_path / "identity").read_bytes())
    for offset in range(len(data)):
        corrupted = bytearray(data)
        corrupted[offset] ^= 4
        (tmp_path / "identity").write_bytes(corrupted)
        found = identity.read_identity(tmp_path)
        assert found is None or found == Identity("n1", first.folder_id, 2, 99)
    (tmp_path / "identity").write_bytes(b"")
    assert identity.claim_folder(tmp_path, "n1") == (None, identity.StartKind.UNKNOWN)
