"""Tests of forwarder.decisions.call_tracker."""

from __future__ import annotations

from forwarder.decisions.call_tracker import CallTracker
from forwarder.decisions.concurrency_window import ConcurrencyLimits
from forwarder.decisions.context import RoundContext
from forwarder.decisions.held_messages import HeldMessages
from forwarder.decisions.idle_connections import IdleConnections
from forwarder.decisions.quota_pacing import QuotaPacing
from forwarder.decisions.slow_start import SlowStart
from tests.decisions.builders import DESTINATION, make_context, make_endpoint, make_endpoint_table, make_message
from tests.scripts import MS, S


def make_call_tracker(context: RoundContext) -> CallTracker:
    table = make_endpoint_table(context)
    slow_start = SlowStart(context, table)
    limits = ConcurrencyLimits(context, table, slow_start)
    return CallTracker(context, limits, QuotaPacing(context, HeldMessages()), slow_start, IdleConnections(context))


def test_a_call_is_counted_until_its_last_message_has_an_outcome() -> None:
    context = make_context(now_us=S)
    calls = make_call_tracker(context)
    endpoint = make_endpoint()

    call = calls.start(endpoint, max_interval_us=0.0)
    calls.add_attempt(make_message("a"), call, 0)
    calls.add_attempt(make_message("b"), call, 0)
    calls.end_message(call)
    assert (endpoint.in_flight, endpoint.limit_scope.in_flight, calls.limits.calls_in_flight) == (1, 1, 1)

    calls.end_message(call)

    assert (endpoint.in_flight, endpoint.limit_scope.in_flight, calls.limits.calls_in_flight) == (0, 0, 0)
    assert calls.ended == [call]
    assert endpoint.idle_since_us == S
    assert context.due_destinations == {DESTINATION}


def test_a_call_records_how_long_its_connection_was_idle() -> None:
    context = make_context(now_us=3 * S)
    endpoint = make_endpoint()
    endpoint.idle_since_us = S
    endpoint.last_call_at_us = 500 * MS

    call = make_call_tracker(context).start(endpoint, max_interval_us=0.0)

    assert call.connection_idle_us == 2 * S
    assert call.since_previous_us == 2500 * MS
    assert endpoint.last_call_at_us == 3 * S


def test_an_attempt_is_recorded_under_its_number() -> None:
    calls = make_call_tracker(make_context())
    message = make_message("a")
    message.attempts = 2

    calls.add_attempt(message, calls.start(make_endpoint(), max_interval_us=0.0), 2)

    assert set(calls.attempts) == {("a", 2)}
    assert (message.attempts, message.in_flight) == (3, 1)
