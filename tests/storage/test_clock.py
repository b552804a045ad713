"""Tests that the clock continues across restarts and reboots, whatever the wall clock shows."""

from __future__ import annotations

import pytest

from forwarder.storage.clock import clock_offset_ns
from forwarder.storage.schema import ClockAnchor

SECOND_NS = 1_000_000_000


def anchor_at(boot_id: str, monotonic_s: int, clock_s: int) -> ClockAnchor:
    return ClockAnchor(boot_id, monotonic_s * SECOND_NS, clock_s * SECOND_NS)


STARTS = {  # anchor, current boot id, monotonic and wall clock time in seconds, expected clock time in seconds
    "no anchor": (None, "boot-1", 5, 1000, 1000),
    "same boot, wall an hour ahead": (anchor_at("boot-1", 5, 1000), "boot-1", 8, 4603, 1003),
    "same boot, wall an hour behind": (anchor_at("boot-1", 5, 1000), "boot-1", 8, -2597, 1003),
    "another boot": (anchor_at("boot-1", 500, 1000), "boot-2", 20, 1100, 1100),
    "another boot, wall set back": (anchor_at("boot-1", 500, 1000), "boot-2", 20, 700, 1020),
    "boot not readable now": (anchor_at("boot-1", 5, 1000), "", 8, 4603, 1003),
    "boots unknown, monotonic set back": (anchor_at("", 500, 1000), "", 20, 1100, 1100),
}


@pytest.mark.parametrize(("anchor", "boot_id", "monotonic_s", "wall_s", "clock_s"), STARTS.values(), ids=STARTS)
def test_the_clock_continues_across_restarts(
    anchor: ClockAnchor | None, boot_id: str, monotonic_s: int, wall_s: int, clock_s: int
) -> None:
    offset_ns = clock_offset_ns(anchor, boot_id, monotonic_s * SECOND_NS, wall_s * SECOND_NS)
    assert offset_ns + monotonic_s * SECOND_NS == clock_s * SECOND_NS
