"""Tests of forwarder.decisions.call_learning, driven through a dispatcher."""

from __future__ import annotations

import pytest

from forwarder.decisions.actions import (
    EjectionChanged,
    FailMessage,
    LogLine,
)
from forwarder.decisions.events import (
    EndpointEntry,
    LoadReport,
    TimerFired,
)
from forwarder.decisions.outcomes import Outcome
from tests.decisions.fleets import ONE_ENDPOINT, fleet
from tests.scripts import MS, S, ask, end, sends, started


def test_timeout_of_a_message_with_little_time_left_is_not_learned_from() -> None:
    """Such a timeout would make a healthy endpoint look hung."""
    dispatcher = started(ONE_ENDPOINT)
    for n in range(6):
        out = sends(dispatcher.handle(n * S, [ask(f"m{n}", due=n * S + 300 * MS)]))
        actions = dispatcher.handle(n * S + 300 * MS, [end(out[0], Outcome.TIMED_OUT, took=300 * MS)])
        assert not [a for a in actions if isinstance(a, LogLine)]


def test_unreadable_answer_does_not_eject_but_the_message_may_have_run() -> None:
    dispatcher = started((EndpointEntry(1, 10, "north", "plain"),))
    for n in range(4):
        out = sends(dispatcher.handle(n * S, [ask(f"m{n}", cls="once", due=(n + 8) * S)]))[0]
        actions = dispatcher.handle(n * S + MS, [end(out, Outcome.UNREADABLE)])
        assert [a for a in actions if isinstance(a, FailMessage)]
        assert not [a for a in actions if isinstance(a, EjectionChanged)]


@pytest.mark.parametrize(
    ("number", "left", "wait_us", "shut"),
    [(40, 0.9, 0, True), (40, 0.1, 0, False), (40, 0.9, 50 * MS, False), (2, 0.1, 0, True), (2, 0.9, 50 * MS, True)],
)
def test_rejections_that_a_limit_explains_do_not_eject_in_a_large_fleet(
    number: int, left: float, wait_us: int, shut: bool
) -> None:
    """In a small fleet a limit is met so often that five rejections running tell of more than that."""
    dispatcher = fleet(number)[0]
    actions = dispatcher.handle(0, [ask("a", due=200 * S)])
    now = 0
    load_report = LoadReport(left, 30.0)
    refused = 0
    notes: list[str] = []
    while refused < 8:
        for a in sends(actions):
            actions = dispatcher.handle(
                now + 80 * MS, [end(a, Outcome.REJECTED, refused, 80 * MS, report=load_report, retry_after_us=wait_us)]
            )
            refused += 1
        notes += [a.text for a in actions if isinstance(a, LogLine)]
        now += 100 * MS
        actions = dispatcher.handle(now, [TimerFired("look")])
    assert any("in outage" in text for text in notes) is shut
