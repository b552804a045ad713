"""Tests of forwarder.decisions.context."""

from __future__ import annotations

import pytest

from tests.decisions.builders import make_context


def test_an_error_of_a_step_is_kept_and_stops_no_other() -> None:
    context = make_context()
    done: list[str] = []

    def fail() -> None:
        raise ValueError("for the test")

    context.run_step(fail)
    context.run_step(lambda: done.append("second"))

    assert [str(error) for error in context.errors] == ["for the test"]
    assert done == ["second"]


@pytest.mark.parametrize(("forwarders", "is_large"), [(1, False), (8, False), (9, True)])
def test_a_fleet_is_large_above_eight_forwarders(forwarders: int, is_large: bool) -> None:
    assert make_context(forwarders=forwarders).is_large_fleet is is_large
