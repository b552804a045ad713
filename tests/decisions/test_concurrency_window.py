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


def test_the_window_starts_at_one_and_grows_with_each_success() -> None:
    dispatcher = started(ONE_ENDPOINT)
    batch = [ask(f"m{n}") for n in range(9)]
    in_flight = sends(dispatcher.handle(0, batch))
    assert len(in_flight) == 1
    in_flight = sends(dispatcher.handle(100 * MS, [end(in_flight[0], Outcome.DELIVERED)]))
    assert len(in_flight) == 2


def test_a_rejection_halves_the_window_and_a_destination_never_uses_all_slots() -> None:
    dispatcher = started(ONE_ENDPOINT)
    in_flight = sends(dispatcher.handle(0, [ask(f"m{n}") for n in range(60)]))
    max_in_flight = 0
    now_us = 0
    while len(in_flight) < 6 and now_us < 3 * S:
        now_us += 100 * MS
        in_flight = in_flight[1:] + sends(dispatcher.handle(now_us, [end(in_flight[0], Outcome.DELIVERED)]))
        max_in_flight = max(max_in_flight, len(in_flight))
    assert max_in_flight == 6  # three quarters of eight
    dispatcher.handle(now_us + MS, [end(in_flight[0], Outcome.REJECTED)])
    sent_after_rejection = sends(dispatcher.handle(now_us + 2 * S, [end(o, Outcome.DELIVERED) for o in in_flight[1:]]))
    assert len(sent_after_rejection) <= 6


def test_separate_routes_together_leave_a_quarter_of_the_slots() -> None:
    """Each route has its own window, but together they must leave slots to other destinations."""
    dispatcher = Dispatcher(settings(), 1, 0)
    dispatcher.handle(
        0,
        [EndpointListReceived(EndpointListKind.SAVED, tuple(EndpointEntry(n, 12, "north", "ways") for n in range(4)))],
    )
    in_flight = sends(dispatcher.handle(0, [ask(f"m{n}", 12, due=60 * S) for n in range(90)]))
    max_in_flight = now_us = 0
    while now_us < 2 * S:
        now_us += 100 * MS
        in_flight = in_flight[1:] + sends(dispatcher.handle(now_us, [end(in_flight[0], Outcome.DELIVERED)]))
        max_in_flight = max(max_in_flight, len(in_flight))
    assert max_in_flight == 6  # three quarters of eight


def make_limits(context: RoundContext) -> ConcurrencyLimits:
    table = make_endpoint_table(context)
    return ConcurrencyLimits(context, table, SlowStart(context, table))


def test_the_hold_reason_names_the_limit_that_is_reached() -> None:
    limits = make_limits(make_context(slots=8))
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


def test_streams_that_fill_the_window_do_not_block_messages() -> None:
    limits = make_limits(make_context(slots=8))
    endpoint = limits.endpoint_table.endpoints[1]
    endpoint.limit_scope.in_flight = 3
    endpoint.limit_scope.streams_in_flight = 3

    assert limits.hold_reason(endpoint) is None


def test_the_window_is_halved_to_one_and_grows_to_its_cap() -> None:
    limits = make_limits(make_context(slots=8))
    scope = limits.endpoint_table.endpoints[1].limit_scope
    for _ in range(10):
        limits.grow(scope)
    assert scope.concurrency_window == 6.0

    for _ in range(5):
        limits.halve(scope)
    assert scope.concurrency_window == 1.0


def test_a_window_is_reset_after_a_long_time_without_calls() -> None:
    limits = make_limits(make_context(now_us=FORGET_WINDOW_US + 1))
    scope = limits.endpoint_table.endpoints[1].limit_scope
    scope.concurrency_window = 4.0

    limits.reset_if_unused(scope, used_at_us=1)
    assert scope.concurrency_window == 4.0
    limits.reset_if_unused(scope, used_at_us=0)
    assert scope.concurrency_window == 1.0
