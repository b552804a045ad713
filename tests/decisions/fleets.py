"""Fleets of dispatchers, and helpers that drive them."""

from __future__ import annotations

from forwarder.decisions.actions import (
    Action,
    SendAttempt,
    SetTimer,
)
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import (
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    Event,
    TimerFired,
)
from forwarder.decisions.outcomes import Outcome
from tests.scripts import MS, S, ask, end, settings

ONE_ENDPOINT = (EndpointEntry(1, 10, "north", "plain"),)
ONE_WEIGHTED_ENDPOINT = (EndpointEntry(1, 10, "north", "plain", weight=10.0),)
CLASSES = {message_class.name: message_class for message_class in settings().classes}
SLOW_START_CALLS = 6.0
"""Calls that endpoint 1 can take per overload window: 10/s x slow_start_from 0.2 x overload_factor 2 x 1.5 s."""


def run_timers(dispatcher: Dispatcher, start_us: int, stop_us: int, step_us: int = 20 * MS) -> list[tuple[int, Action]]:
    """Drives a dispatcher with timers only, and returns its actions with their times in microseconds."""
    return [
        (now_us, action)
        for now_us in range(start_us, stop_us, step_us)
        for action in dispatcher.handle(now_us, [TimerFired("look")])
    ]


def fleet(number: int, **changes: object) -> list[Dispatcher]:
    """Returns a fleet of `number` dispatchers with one endpoint whose weight is reported."""
    fleet_settings = settings(forwarders=number, weights_reported=True, slots=3, max_attempts=10**6, **changes)
    dispatchers = [Dispatcher(fleet_settings, seed, 0) for seed in range(number)]
    for dispatcher in dispatchers:
        dispatcher.handle(0, [EndpointListReceived(EndpointListKind.SAVED, ONE_WEIGHTED_ENDPOINT)])
    return dispatchers


def call_times_of_a_failing_fleet(number: int, outcome: Outcome, until_us: int, **event_fields: object) -> list[int]:
    """Returns the times of all calls of a fleet in which every call ends with the same outcome within 5 ms.

    Each dispatcher has held messages throughout.
    """
    call_times_us: list[int] = []
    for n, dispatcher in enumerate(fleet(number)):
        start_us = n * 7 * MS % (2 * S)
        actions = dispatcher.handle(start_us, [ask(f"m{k}", due=60 * S) for k in range(3)])
        attempt_counts: dict[str, int] = {}
        now_us = start_us
        while now_us < until_us:
            events: list[Event] = []
            timer_at_us = until_us
            for action in actions:
                if isinstance(action, SendAttempt):
                    call_times_us.append(now_us)
                    attempt = attempt_counts.get(action.message_id, 0)
                    attempt_counts[action.message_id] = attempt + 1
                    events.append(end(action, outcome, attempt, 5 * MS, **event_fields))
                elif isinstance(action, SetTimer):
                    timer_at_us = now_us + action.delay_us
            now_us = now_us + 5 * MS if events else max(now_us + 5 * MS, timer_at_us)
            actions = dispatcher.handle(now_us, [*events, TimerFired("look")])
    return sorted(call_times_us)


def max_calls_within(call_times_us: list[int], start_us: int, length_us: int) -> int:
    """Returns the largest number of calls in any interval of the given length from `start_us` on."""
    times_us = [time_us for time_us in call_times_us if time_us >= start_us]
    return max((sum(first <= time_us < first + length_us for time_us in times_us) for first in times_us), default=0)
