"""Fleets of dispatchers, and scripts that drive them."""

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
CLASSES = {c.name: c for c in settings().classes}
SLOW_START_CALLS = 6.0
"""10 calls a second x 0.2 from the start x factor 2 x 1.5 s: what endpoint 1 takes in the overload window."""


def run_timers(dispatcher: Dispatcher, start: int, stop: int, step: int = 20 * MS) -> list[tuple[int, Action]]:
    """Nothing but timers for a while."""
    return [(t, a) for t in range(start, stop, step) for a in dispatcher.handle(t, [TimerFired("look")])]


def fleet(number: int, **changes: object) -> list[Dispatcher]:
    known = settings(forwarders=number, weights_reported=True, slots=3, max_attempts=10**6, **changes)
    made = [Dispatcher(known, seed, 0) for seed in range(number)]
    for dispatcher in made:
        dispatcher.handle(0, [EndpointListReceived(EndpointListKind.SAVED, ONE_WEIGHTED_ENDPOINT)])
    return made


def call_times_of_a_failing_fleet(number: int, outcome: Outcome, until: int, **more: object) -> list[int]:
    """When each call goes out while every call ends the same way at once, a message held all the time."""
    times: list[int] = []
    for n, dispatcher in enumerate(fleet(number)):
        start = n * 7 * MS % (2 * S)
        actions = dispatcher.handle(start, [ask(f"m{k}", due=60 * S) for k in range(3)])
        tries: dict[str, int] = {}
        now = start
        while now < until:
            events: list[Event] = []
            wake = until
            for a in actions:
                if isinstance(a, SendAttempt):
                    times.append(now)
                    k = tries.get(a.message_id, 0)
                    tries[a.message_id] = k + 1
                    events.append(end(a, outcome, k, 5 * MS, **more))
                elif isinstance(a, SetTimer):
                    wake = now + a.delay_us
            now = now + 5 * MS if events else max(now + 5 * MS, wake)
            actions = dispatcher.handle(now, [*events, TimerFired("look")])
    return sorted(times)


def max_calls_within(times: list[int], start: int, length: int) -> int:
    late = [t for t in times if t >= start]
    return max((sum(t <= u < t + length for u in late) for t in late), default=0)
