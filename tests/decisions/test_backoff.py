"""Tests of forwarder.decisions.backoff, driven through a dispatcher."""

from __future__ import annotations

import pytest

from forwarder.decisions.actions import (
    SendAttempt,
)
from forwarder.decisions.events import (
    TimerFired,
)
from forwarder.decisions.outcomes import Outcome
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
    """Shut targets refused without a wait; hundreds came back every second or two. ccb835b9: the same with
    actions waits, where no limit is actions. The larger the fleet, the longer each stays away.
    """
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
