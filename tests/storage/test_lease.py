"""Tests of the lease of the quota share: it is valid for one boot only, and its file is overwritten in place."""

from __future__ import annotations

from pathlib import Path

import pytest

from forwarder.storage.lease import RENEW_INTERVAL_US, Lease
from tests.scripts import S


def test_a_stored_lease_is_valid_only_during_the_same_boot(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    now_us = [100 * S]

    def stored_end_us() -> int:
        return Lease(tmp_path, lambda: now_us[0]).read_end_us(20 * S)

    lease, since_boot_us = Lease(tmp_path, lambda: now_us[0]), [50 * S]
    monkeypatch.setattr("forwarder.storage.lease.time_since_boot_us", lambda: since_boot_us[0])
    assert stored_end_us() == 0
    lease.renew(110 * S)
    assert stored_end_us() == 110 * S
    lease.renew(110 * S + RENEW_INTERVAL_US - 1)
    assert stored_end_us() == 110 * S, "an end that is only slightly later is not written"
    since_boot_us[0], now_us[0] = 57 * S, 4000 * S  # the wall clock has jumped; three seconds still remain
    assert stored_end_us() == 4003 * S
    since_boot_us[0] = 60 * S
    assert stored_end_us() == 0
    since_boot_us[0] = 30 * S
    assert stored_end_us() == 0, "a lease with too much remaining time is invalid"
    since_boot_us[0] = 57 * S
    data = (tmp_path / "lease").read_bytes()
    for offset in range(len(data) - 1):
        (tmp_path / "lease").write_bytes(data[:offset] + bytes([data[offset] ^ 1]) + data[offset + 1 :])
        assert stored_end_us() == 0, offset
    (tmp_path / "lease").write_bytes(data)
    monkeypatch.setattr("forwarder.storage.lease.read_boot_id", lambda: "another")
    assert stored_end_us() == 0
    monkeypatch.setattr("forwarder.storage.lease.read_boot_id", lambda: "")
    assert stored_end_us() == 0
    (tmp_path / "lease").unlink()
    (tmp_path / "lease").mkdir()
    monkeypatch.undo()
    unwritable = Lease(tmp_path, lambda: now_us[0])
    unwritable.renew(5000 * S)
    assert unwritable.write_failed is bool(unwritable.boot_id)


def test_a_lease_is_overwritten_in_place(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Truncating and rewriting the file every second would make the event loop wait for the disk."""
    (tmp_path / "lease").write_bytes(b"x" * 200)  # unrelated content
    lease = Lease(tmp_path, lambda: 0)
    lease.renew(10 * S)
    before = (tmp_path / "lease").stat()

    def fail(*args: object) -> None:
        raise AssertionError("the file was opened or truncated again")

    for call in ("open", "ftruncate", "truncate", "replace"):
        monkeypatch.setattr(f"os.{call}", fail)
    for n in range(5):
        lease.renew((11 + 1000 * n) * S)
    monkeypatch.undo()
    after = (tmp_path / "lease").stat()
    assert (after.st_ino, after.st_size) == (before.st_ino, before.st_size)
    assert len((tmp_path / "lease").read_bytes()) < 100
    assert Lease(tmp_path, lambda: 0).read_end_us(10**12) > 4000 * S
    lease.close()
