"""A run in which the lab was late is no result."""

from __future__ import annotations

import pytest

from lab.result import Result


@pytest.mark.parametrize(
    ("late_ms", "findings", "exit_status"), [(9.0, 0, 0), (9.0, 1, 1), (300.0, 0, 2), (300.0, 1, 2)]
)
def test_a_run_in_which_the_lab_was_late_is_no_result(late_ms: float, findings: int, exit_status: int) -> None:
    result = Result("x", 1, 1, [], 0, {}, {"most": late_ms}, {}, {}, ["a limit"] * findings, late_ms < 250.0)
    assert result.exit_status() == exit_status
