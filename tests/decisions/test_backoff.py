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


def test_retry_after_is_kept_to_its_end() -> None:
    dispatcher = started(ONE_ENDPOINT)
    first = sends(dispatcher.handle(0, [ask("a")]))[0]
    dispatcher.handle(10 * MS, [end(first, Outcome.REJECTED, retry_after_us=900 * MS)])
    got = [t for t, a in run_timers(dispatcher, 20 * MS, 2 * S) if isinstance(a, SendAttempt)]
    assert got
    assert got[0] >= 910 * MS


def test_retry_after_of_a_separate_route_leaves_the_other_route_open() -> None:
    dispatcher = started()
    first = sends(dispatcher.handle(0, [ask("a", 12)]))[0]
    again = sends(dispatcher.handle(10 * MS, [end(first, Outcome.REJECTED, retry_after_us=2 * S)]))
    assert again
    assert again[0].endpoint != first.endpoint


@pytest.mark.parametrize("wait_us", [0, S])
@pytest.mark.parametrize("number", [100, 300])
def test_rejected_forwarders_together_retry_at_a_low_rate(number: int, wait_us: int) -> None:
    """The larger the fleet, the longer each forwarder backs off, with and without a Retry-After."""
    times = call_times_of_a_failing_fleet(number, Outcome.REJECTED, 40 * S, retry_after_us=wait_us)
    assert max_calls_within(times, 20 * S, 1500 * MS) <= 45


def test_retry_after_does_not_end_for_all_forwarders_at_once() -> None:
    back = []
    for dispatcher in fleet(60):
        out = sends(dispatcher.handle(0, [ask("a", due=60 * S)]))[0]
        actions = dispatcher.handle(5 * MS, [end(out, Outcome.REJECTED, retry_after_us=4 * S)])
        now = 5 * MS
        while not sends(actions):
            now += 20 * MS
            actions = dispatcher.handle(now, [TimerFired("look")])
        back.append(now)
    assert min(back) >= 4005 * MS
    assert max_calls_within(back, 0, S) < 30


def test_a_shorter_retry_after_does_not_end_a_longer_one() -> None:
    backoff = Backoff(make_context())
    scope = LimitScope(DESTINATION, 1.0)

    backoff.apply_retry_after(scope, 2 * S)
    backoff.apply_retry_after(scope, S)

    assert scope.retry_after_until_us == 2 * S


@pytest.mark.parametrize(("forwarders", "factor"), [(1, 1), (8, 1), (40, 5)])
def test_the_backoff_grows_from_its_least_to_its_most_with_the_fleet(forwarders: int, factor: int) -> None:
    backoff = Backoff(make_context(forwarders=forwarders))
    scope = LimitScope(DESTINATION, 1.0)
    lengths: list[int] = []
    for _ in range(6):
        backoff.lengthen(scope)
        lengths.append(scope.backoff_us)

    assert lengths[0] == factor * MIN_BACKOFF_US
    assert lengths[1] == BACKOFF_FACTOR * lengths[0]
    assert lengths[-1] == factor * MAX_BACKOFF_US


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
