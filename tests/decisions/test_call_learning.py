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


def test_a_timeout_of_a_message_with_little_time_left_is_ignored() -> None:
    """Such timeouts would eject a healthy endpoint."""
    dispatcher = started(ONE_ENDPOINT)
    for n in range(6):
        sent = sends(dispatcher.handle(n * S, [ask(f"m{n}", due=n * S + 300 * MS)]))
        actions = dispatcher.handle(n * S + 300 * MS, [end(sent[0], Outcome.TIMED_OUT, took=300 * MS)])
        assert not [a for a in actions if isinstance(a, LogLine)]


def test_an_unreadable_answer_does_not_eject_the_endpoint_but_fails_an_at_most_once_message() -> None:
    dispatcher = started((EndpointEntry(1, 10, "north", "plain"),))
    for n in range(4):
        sent = sends(dispatcher.handle(n * S, [ask(f"m{n}", cls="once", due=(n + 8) * S)]))[0]
        actions = dispatcher.handle(n * S + MS, [end(sent, Outcome.UNREADABLE)])
        assert [a for a in actions if isinstance(a, FailMessage)]
        assert not [a for a in actions if isinstance(a, EjectionChanged)]


@pytest.mark.parametrize(
    ("forwarders", "limit_left", "retry_after_us", "is_ejected"),
    [(40, 0.9, 0, True), (40, 0.1, 0, False), (40, 0.9, 50 * MS, False), (2, 0.1, 0, True), (2, 0.9, 50 * MS, True)],
)
def test_rejections_that_a_limit_explains_do_not_eject_in_a_large_fleet(
    forwarders: int, limit_left: float, retry_after_us: int, is_ejected: bool
) -> None:
    """In a small fleet, a limit alone does not explain five rejections in a row, so they eject the endpoint."""
    dispatcher = fleet(forwarders)[0]
    actions = dispatcher.handle(0, [ask("a", due=200 * S)])
    now_us = 0
    load_report = LoadReport(limit_left, 30.0)
    rejections = 0
    log_texts: list[str] = []
    while rejections < 8:
        for a in sends(actions):
            actions = dispatcher.handle(
                now_us + 80 * MS,
                [end(a, Outcome.REJECTED, rejections, 80 * MS, report=load_report, retry_after_us=retry_after_us)],
            )
            rejections += 1
        log_texts += [a.text for a in actions if isinstance(a, LogLine)]
        now_us += 100 * MS
        actions = dispatcher.handle(now_us, [TimerFired("look")])
    assert any("in outage" in text for text in log_texts) is is_ejected
