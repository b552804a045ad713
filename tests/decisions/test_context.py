"""Tests of forwarder.decisions.context."""

from __future__ import annotations

import pytest

from tests.decisions.builders import make_context


def test_an_error_in_a_step_is_recorded_and_does_not_stop_other_steps() -> None:
    context = make_context()
    completed: list[str] = []

    def fail() -> None:
        raise ValueError("for the test")

    context.run_step(fail)
    context.run_step(lambda: completed.append("second"))

    assert [str(error) for error in context.errors] == ["for the test"]
    assert completed == ["second"]


@pytest.mark.parametrize(("forwarders", "is_large"), [(1, False), (8, False), (9, True)])
def test_a_fleet_is_large_above_eight_forwarders(forwarders: int, is_large: bool) -> None:
    assert make_context(forwarders=forwarders).is_large_fleet is is_large
