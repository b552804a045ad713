"""Hold reasons are summed over a fleet."""

from __future__ import annotations

import pytest

from lab import hold_reasons


@pytest.mark.parametrize(("capacity", "needless"), [((True, True, True), 3.0), ((True, False, True), 0.0), ((), 0.0)])
def test_seconds_are_needless_only_if_there_was_capacity_all_the_time(
    capacity: tuple[bool, ...], needless: float
) -> None:
    answer = 'ok {"held":[[7,"refusjon","window",%d]],"refused":[[7,"refusjon","window",%d]]}'
    reports = [
        hold_reasons.parse_report(at, "n0", start, answer % (us, n))
        for at, start, us, n in ((1.0, 1, 1_000_000, 2), (2.0, 1, 4_000_000, 5), (3.0, 2, 500_000, 1))
    ]
    rows = hold_reasons.hold_rows(
        hold_reasons.HoldReports(
            [report for report in reports if report is not None],
            [hold_reasons.CapacitySample(1.0 + n / 2, [7] if free else [8]) for n, free in enumerate(capacity)],
        )
    )
    assert [(row.held_s, row.refused) for row in rows] == [(1.0, 2), (3.0, 3), (0.5, 1)], "a restart resets the totals"
    assert rows[1].needless_s == needless
    assert rows[1].refused_weight == 6.0
    assert hold_reasons.parse_report(1.0, "n0", 1, "fail not open") is None
    assert hold_reasons.format_table([], 1.0) == ["nothing was held"]
