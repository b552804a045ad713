"""Tests of forwarder.decisions.concurrency_window, driven through a dispatcher."""

from __future__ import annotations

from forwarder.decisions.concurrency_window import FORGET_WINDOW_US, ConcurrencyLimits
from forwarder.decisions.context import RoundContext
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import (
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
)
from forwarder.decisions.hold_reason import HoldReason
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.slow_start import SlowStart
from tests.decisions.builders import make_context, make_endpoint_table
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
    out = sends(dispatcher.handle(0, [ask(f"m{n}") for n in range(60)]))
    most = 0
    now = 0
    while len(out) < 6 and now < 3 * S:
        now += 100 * MS
        out = out[1:] + sends(dispatcher.handle(now, [end(out[0], Outcome.DELIVERED)]))
        most = max(most, len(out))
    assert most == 6  # three quarters of eight
    dispatcher.handle(now + MS, [end(out[0], Outcome.REJECTED)])
    kept = sends(dispatcher.handle(now + 2 * S, [end(o, Outcome.DELIVERED) for o in out[1:]]))
    assert len(kept) <= 6


def test_separate_routes_together_leave_a_quarter_of_the_slots() -> None:
    """Each route has a window of its own; together they must leave slots to other destinations."""
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


def limits_of(context: RoundContext) -> ConcurrencyLimits:
    table = make_endpoint_table(context)
    return ConcurrencyLimits(context, table, SlowStart(context, table))


def test_the_limit_that_is_reached_is_named() -> None:
    limits = limits_of(make_context(slots=8))
    endpoint = limits.endpoint_table.endpoints[1]
    scope = endpoint.limit_scope

    assert limits.hold_reason(endpoint) is None
    scope.in_flight = 1
    assert limits.hold_reason(endpoint) is HoldReason.CONCURRENCY_WINDOW
    scope.concurrency_window = 6.0
    assert limits.hold_reason(endpoint) is None
    endpoint.ejected_at_us = 0
    scope.in_flight = 4
    assert limits.hold_reason(endpoint) is HoldReason.DEGRADED_CAP
    limits.calls_in_flight = 8
    assert limits.hold_reason(endpoint) is HoldReason.SLOTS


def test_streams_never_hold_messages_back() -> None:
    limits = limits_of(make_context(slots=8))
    endpoint = limits.endpoint_table.endpoints[1]
    endpoint.limit_scope.in_flight = 3
    endpoint.limit_scope.streams_in_flight = 3

    assert limits.hold_reason(endpoint) is None


def test_the_window_is_halved_to_one_and_grows_to_its_cap() -> None:
    limits = limits_of(make_context(slots=8))
    scope = limits.endpoint_table.endpoints[1].limit_scope
    for _ in range(10):
        limits.grow(scope)
    assert scope.concurrency_window == 6.0

    for _ in range(5):
        limits.halve(scope)
    assert scope.concurrency_window == 1.0


def test_a_window_that_was_not_used_for_long_is_opened_anew() -> None:
    limits = limits_of(make_context(now_us=FORGET_WINDOW_US + 1))
    scope = limits.endpoint_table.endpoints[1].limit_scope
    scope.concurrency_window = 4.0

    limits.reset_if_unused(scope, used_at_us=1)
    assert scope.concurrency_window == 4.0
    limits.reset_if_unused(scope, used_at_us=0)
    assert scope.concurrency_window == 1.0
