"""Tests of forwarder.decisions.concurrency_window, driven through a dispatcher."""

from __future__ import annotations

from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import (
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
)
from forwarder.decisions.outcomes import Outcome
from tests.decisions.fleets import ONE_ENDPOINT
from tests.scripts import MS, S, ask, end, sends, settings, started


def test_window_starts_at_one_and_grows_by_each_success() -> None:
    dispatcher = started(ONE_ENDPOINT)
    batch = [ask(f"m{n}") for n in range(9)]
    out = sends(dispatcher.handle(0, batch))
    assert len(out) == 1
    out = sends(dispatcher.handle(100 * MS, [end(out[0], Outcome.DELIVERED)]))
    assert len(out) == 2


def test_window_is_halved_by_a_rejection_and_a_destination_never_takes_all_slots() -> None:
    dispatcher = started(ONE_ENDPOINT)
    out, most, now = sends(dispatcher.handle(0, [ask(f"m{n}") for n in range(60)])), 0, 0
    while len(out) < 6 and now < 3 * S:
        now += 100 * MS
        out = out[1:] + sends(dispatcher.handle(now, [end(out[0], Outcome.DELIVERED)]))
        most = max(most, len(out))
    assert most == 6  # three quarters of eight
    dispatcher.handle(now + MS, [end(out[0], Outcome.REJECTED)])
    kept = sends(dispatcher.handle(now + 2 * S, [end(o, Outcome.DELIVERED) for o in out[1:]]))
    assert len(kept) <= 6


def test_separate_routes_together_leave_a_quarter_of_the_slots() -> None:
    """Each route has a window of its own: together they must not take every slot from other destinations."""
    dispatcher = Dispatcher(settings(), 1, 0)
    dispatcher.handle(
        0,
        [EndpointListReceived(EndpointListKind.SAVED, tuple(EndpointEntry(n, 12, "north", "ways") for n in range(4)))],
    )
    out = sends(dispatcher.handle(0, [ask(f"m{n}", 12, due=60 * S) for n in range(90)]))
    most = now = 0
    while now < 2 * S:
        now += 100 * MS
        out = out[1:] + sends(dispatcher.handle(now, [end(out[0], Outcome.DELIVERED)]))
        most = max(most, len(out))
    assert most == 6  # three quarters of eight
