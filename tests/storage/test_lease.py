"""The lease of the quota share: it counts for this boot alone, and its file is written over in place."""

from __future__ import annotations

from pathlib import Path

import pytest

from forwarder.storage.lease import RENEW_INTERVAL_US, Lease
from tests.scripts import S


def test_a_lease_is_kept_in_its_file_for_this_boot_alone(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    now = [100 * S]

    def kept() -> int:
        return Lease(tmp_path, lambda: now[0]).read_end_us(20 * S)

    lease, boot = Lease(tmp_path, lambda: now[0]), [50 * S]
    monkeypatch.setattr("forwarder.storage.lease.time_since_boot_us", lambda: boot[0])
    assert kept() == 0
    lease.renew(110 * S)
    assert kept() == 110 * S
    lease.renew(110 * S + RENEW_INTERVAL_US - 1)
    assert kept() == 110 * S, "not written for so little"
    boot[0], now[0] = 57 * S, 4000 * S  # the wall clock has jumped: three seconds are left all the same
    assert kept() == 4003 * S
    boot[0] = 60 * S
    assert kept() == 0
    boot[0] = 30 * S
    assert kept() == 0, "longer than any lease: of another machine's clock"
    boot[0] = 57 * S
    data = (tmp_path / "lease").read_bytes()
    for at in range(len(data) - 1):
        (tmp_path / "lease").write_bytes(data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :])
        assert kept() == 0, at
    (tmp_path / "lease").write_bytes(data)
    monkeypatch.setattr("forwarder.storage.lease.read_boot_id", lambda: "another")
    assert kept() == 0
    monkeypatch.setattr("forwarder.storage.lease.read_boot_id", lambda: "")
    assert kept() == 0
    (tmp_path / "lease").unlink()
    (tmp_path / "lease").mkdir()
    monkeypatch.undo()
    broken = Lease(tmp_path, lambda: now[0])
    broken.renew(5000 * S)
    assert broken.write_failed is bool(broken.boot_id)


def test_a_lease_is_written_over_in_place(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Cut and written anew each second, it made the loop wait for the disk."""
    (tmp_path / "lease").write_bytes(b"x" * 200)  # of something else
    lease = Lease(tmp_path, lambda: 0)
    lease.renew(10 * S)
    seen = (tmp_path / "lease").stat()

    def refused(*args: object) -> None:
        raise AssertionError("opened or cut again")

    for call in ("open", "ftruncate", "truncate", "replace"):
        monkeypatch.setattr(f"os.{call}", refused)
    for n in range(5):
        lease.renew((11 + 1000 * n) * S)
    monkeypatch.undo()
    after = (tmp_path / "lease").stat()
    assert (after.st_ino, after.st_size) == (seen.st_ino, seen.st_size)
    assert len((tmp_path / "lease").read_bytes()) < 100
    assert Lease(tmp_path, lambda: 0).read_end_us(10**12) > 4000 * S
    lease.close()
