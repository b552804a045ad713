"""Tests of forwarder.decisions.backoff, driven through a dispatcher."""

from __future__ import annotations

import pytest

from forwarder.decisions.actions import (
    SendAttempt,
)
from forwarder.decisions.backoff import BACKOFF_FACTOR, MAX_BACKOFF_US, MIN_BACKOFF_US, Backoff
from forwarder.decisions.events import (
    TimerFired,
)
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.records import LimitScope
from tests.decisions.builders import DESTINATION, make_context
from tests.decisions.fleets import ONE_ENDPOINT, call_times_of_a_failing_fleet, fleet, max_calls_within, run_timers
from tests.scripts import MS, S, ask, end, sends, started


def test_no_attempt_is_sent_before_the_retry_after_ends() -> None:
    dispatcher = started(ONE_ENDPOINT)
    send = sends(dispatcher.handle(0, [ask("a")]))[0]
    dispatcher.handle(10 * MS, [end(send, Outcome.REJECTED, retry_after_us=900 * MS)])
    send_times = [
        now_us for now_us, action in run_timers(dispatcher, 20 * MS, 2 * S) if isinstance(action, SendAttempt)
    ]
    assert send_times
    assert send_times[0] >= 910 * MS


def test_retry_after_of_a_separate_route_does_not_block_the_other_route() -> None:
    dispatcher = started()
    send = sends(dispatcher.handle(0, [ask("a", 12)]))[0]
    retries = sends(dispatcher.handle(10 * MS, [end(send, Outcome.REJECTED, retry_after_us=2 * S)]))
    assert retries
    assert retries[0].endpoint != send.endpoint


@pytest.mark.parametrize("retry_after_us", [0, S])
@pytest.mark.parametrize("forwarders", [100, 300])
def test_rejected_forwarders_together_retry_at_a_low_rate(forwarders: int, retry_after_us: int) -> None:
    """Guards the limit on retries in a large fleet: the larger the fleet, the longer each forwarder backs off."""
    times = call_times_of_a_failing_fleet(forwarders, Outcome.REJECTED, 40 * S, retry_after_us=retry_after_us)
    assert max_calls_within(times, 20 * S, 1500 * MS) <= 45


def test_retry_after_does_not_end_for_all_forwarders_at_once() -> None:
    return_times = []
    for dispatcher in fleet(60):
        send = sends(dispatcher.handle(0, [ask("a", due=60 * S)]))[0]
        actions = dispatcher.handle(5 * MS, [end(send, Outcome.REJECTED, retry_after_us=4 * S)])
        now_us = 5 * MS
        while not sends(actions):
            now_us += 20 * MS
            actions = dispatcher.handle(now_us, [TimerFired("look")])
        return_times.append(now_us)
    assert min(return_times) >= 4005 * MS
    assert max_calls_within(return_times, 0, S) < 30


def test_a_shorter_retry_after_does_not_end_a_longer_one() -> None:
    backoff = Backoff(make_context())
    scope = LimitScope(DESTINATION, 1.0)

    backoff.apply_retry_after(scope, 2 * S)
    backoff.apply_retry_after(scope, S)

    assert scope.retry_after_until_us == 2 * S


@pytest.mark.parametrize(("forwarders", "factor"), [(1, 1), (8, 1), (40, 5)])
def test_the_bounds_of_the_backoff_grow_with_the_fleet(forwarders: int, factor: int) -> None:
    backoff = Backoff(make_context(forwarders=forwarders))
    scope = LimitScope(DESTINATION, 1.0)
    durations_us: list[int] = []
    for _ in range(6):
        backoff.lengthen(scope)
        durations_us.append(scope.backoff_us)

    assert durations_us[0] == factor * MIN_BACKOFF_US
    assert durations_us[1] == BACKOFF_FACTOR * durations_us[0]
    assert durations_us[-1] == factor * MAX_BACKOFF_US


def test_a_backoff_has_jitter_and_is_not_shortened() -> None:
    backoff = Backoff(make_context())
    scope = LimitScope(DESTINATION, 1.0, backoff_us=S)
    ends: set[int] = set()
    for _ in range(20):
        backoff.start(scope)
        ends.add(scope.backoff_until_us)

    assert all(S / 2 <= end <= 1.5 * S for end in ends)
    assert scope.backoff_until_us == max(ends)
    assert len(ends) > 1
