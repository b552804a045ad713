"""Tests of forwarder.decisions.endpoint_list_poll, driven through a dispatcher."""

from __future__ import annotations

import pytest

from forwarder.decisions.actions import (
    RequestEndpointList,
)
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.endpoint_list_poll import MAX_POLL_BACKOFF_US, MIN_POLL_BACKOFF_US, EndpointListPoll
from forwarder.decisions.events import (
    EndpointListKind,
    EndpointListReceived,
    TimerFired,
)
from forwarder.decisions.timer_queue import POLL_TIMER, TimerQueue
from tests.decisions.builders import make_context
from tests.decisions.fleets import ONE_ENDPOINT, fleet, max_calls_within
from tests.scripts import MS, S, settings


def test_list_is_polled_at_the_start_and_after_failures_with_a_backoff() -> None:
    dispatcher = Dispatcher(settings(poll_endpoint_list=True), 1, 0)
    assert RequestEndpointList() in dispatcher.handle(0, [EndpointListReceived(EndpointListKind.SAVED, ONE_ENDPOINT)])
    delays_us = []
    now_us = 0
    for _ in range(3):
        dispatcher.handle(now_us, [EndpointListReceived(EndpointListKind.FAILED)])
        failed_at_us = now_us
        while not any(
            isinstance(action, RequestEndpointList) for action in dispatcher.handle(now_us, [TimerFired("look")])
        ):
            now_us += 50 * MS
            assert now_us < 60 * S
        delays_us.append(now_us - failed_at_us)
    assert delays_us[0] >= 500 * MS
    assert delays_us[2] >= 2 * S


def test_forwarders_whose_polls_failed_together_poll_again_at_different_times() -> None:
    """Simultaneous retries could keep discovery overloaded, so each forwarder waits for a backoff with jitter."""
    polls_us: list[list[int]] = []
    for dispatcher in fleet(48, poll_endpoint_list=True):
        times_us: list[int] = []
        dispatcher.handle(0, [EndpointListReceived(EndpointListKind.FAILED)])
        for now_us in range(10 * MS, 8 * S, 10 * MS):
            has_failed = now_us - 10 * MS in times_us
            actions = dispatcher.handle(
                now_us, [EndpointListReceived(EndpointListKind.FAILED) if has_failed else TimerFired("look")]
            )
            times_us += [now_us for action in actions if isinstance(action, RequestEndpointList)]
        polls_us.append(times_us)
    assert all(times_us[0] >= 500 * MS and 2 <= len(times_us) <= 4 for times_us in polls_us)
    assert all(times_us[1] - times_us[0] >= S for times_us in polls_us), "the second backoff is longer"
    first_polls_us = sorted(times_us[0] for times_us in polls_us)
    assert max_calls_within(first_polls_us, 0, 50 * MS) <= 12


def test_the_backoff_doubles_to_its_maximum_and_a_success_resets_it() -> None:
    poll = EndpointListPoll(make_context(), TimerQueue())
    backoffs_us: list[int] = []
    for _ in range(4):
        backoffs_us.append(poll.backoff_us)
        poll.poll_failed()
    poll.poll_succeeded()

    assert backoffs_us == [MIN_POLL_BACKOFF_US, 2 * MIN_POLL_BACKOFF_US, MAX_POLL_BACKOFF_US, MAX_POLL_BACKOFF_US]
    assert poll.backoff_us == MIN_POLL_BACKOFF_US


@pytest.mark.parametrize("is_polled", [True, False])
def test_the_list_is_polled_at_the_start_only_if_the_settings_require_it(is_polled: bool) -> None:
    timers = TimerQueue()
    context = make_context(poll_endpoint_list=is_polled)
    poll = EndpointListPoll(context, timers)

    context.due_destinations = timers.pop_due(0)

    assert poll.is_due() is is_polled
    assert (POLL_TIMER in context.due_destinations) is is_polled
