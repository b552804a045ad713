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
    times = []
    now = 0
    for _ in range(3):
        dispatcher.handle(now, [EndpointListReceived(EndpointListKind.FAILED)])
        asked = now
        while not any(isinstance(a, RequestEndpointList) for a in dispatcher.handle(now, [TimerFired("look")])):
            now += 50 * MS
            assert now < 60 * S
        times.append(now - asked)
    assert times[0] >= 500 * MS
    assert times[2] >= 2 * S


def test_forwarders_whose_polls_failed_at_once_poll_again_apart() -> None:
    """Discovery may be overloaded: each forwarder polls again later, and at a random time."""
    asked: list[list[int]] = []
    for dispatcher in fleet(48, poll_endpoint_list=True):
        at: list[int] = []
        dispatcher.handle(0, [EndpointListReceived(EndpointListKind.FAILED)])
        for now in range(10 * MS, 8 * S, 10 * MS):
            failed = now - 10 * MS in at
            actions = dispatcher.handle(
                now, [EndpointListReceived(EndpointListKind.FAILED) if failed else TimerFired("look")]
            )
            at += [now for a in actions if isinstance(a, RequestEndpointList)]
        asked.append(at)
    assert all(times[0] >= 500 * MS and 2 <= len(times) <= 4 for times in asked)
    assert all(times[1] - times[0] >= S for times in asked), "each pause is longer"
    firsts = sorted(times[0] for times in asked)
    assert max_calls_within(firsts, 0, 50 * MS) <= 12


def test_the_backoff_doubles_to_its_maximum_and_a_success_resets_it() -> None:
    poll = EndpointListPoll(make_context(), TimerQueue())
    lengths: list[int] = []
    for _ in range(4):
        lengths.append(poll.backoff_us)
        poll.poll_failed()
    poll.poll_succeeded()

    assert lengths == [MIN_POLL_BACKOFF_US, 2 * MIN_POLL_BACKOFF_US, MAX_POLL_BACKOFF_US, MAX_POLL_BACKOFF_US]
    assert poll.backoff_us == MIN_POLL_BACKOFF_US


@pytest.mark.parametrize("is_polled", [True, False])
def test_the_list_is_polled_at_the_start_only_where_it_has_to_be(is_polled: bool) -> None:
    timers = TimerQueue()
    context = make_context(poll_endpoint_list=is_polled)
    poll = EndpointListPoll(context, timers)

    context.due_destinations = timers.pop_due(0)

    assert poll.is_due() is is_polled
    assert (POLL_TIMER in context.due_destinations) is is_polled
