"""The exit status of a run; too much event loop lag of the lab makes a run invalid."""

from __future__ import annotations

import pytest

from lab.result import Result


@pytest.mark.parametrize(
    ("late_ms", "broken_limits", "exit_status"), [(9.0, 0, 0), (9.0, 1, 1), (300.0, 0, 2), (300.0, 1, 2)]
)
def test_a_run_with_too_much_event_loop_lag_is_invalid(late_ms: float, broken_limits: int, exit_status: int) -> None:
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
