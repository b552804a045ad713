"""A run in which the lab was late is no result."""

from __future__ import annotations

import pytest

from lab.result import Result


@pytest.mark.parametrize(
    ("late_ms", "broken_limits", "exit_status"), [(9.0, 0, 0), (9.0, 1, 1), (300.0, 0, 2), (300.0, 1, 2)]
)
def test_a_run_in_which_the_lab_was_late_is_no_result(late_ms: float, broken_limits: int, exit_status: int) -> None:
    result = Result(
        scenario="x",
        seed=1,
        forwarders=1,
        findings=[],
        forgotten_messages=0,
        metrics={},
        lateness_ms={"most": late_ms},
        costs={},
        link_events={},
        broken_limits=["a limit"] * broken_limits,
        is_valid=late_ms < 250.0,
    )
    assert result.exit_status() == exit_status
