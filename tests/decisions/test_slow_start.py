"""Tests of forwarder.decisions.slow_start, driven through a dispatcher."""

from __future__ import annotations

import pytest

from forwarder.decisions.actions import (
    EjectionChanged,
    LogLine,
    SendAttempt,
    SetTimer,
)
from forwarder.decisions.context import RoundContext
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import (
    EjectionRecovered,
    EndpointListKind,
    EndpointListReceived,
    TimerFired,
)
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.slow_start import EJECTION_ERROR_RATE, SLOT_JITTER_RANGE, SlowStart
from tests.decisions.builders import DESTINATION, make_context, make_endpoint_table
from tests.decisions.fleets import (
    ONE_ENDPOINT,
    ONE_WEIGHTED_ENDPOINT,
    SLOW_START_CALLS,
    call_times_of_a_failing_fleet,
    max_calls_within,
    run_timers,
)
from tests.scripts import MS, S, ask, end, sends, settings, started


def test_a_single_timeout_does_not_eject() -> None:
    """One long call must not put an endpoint into slow start."""
    dispatcher = started(ONE_ENDPOINT)
    out = sends(dispatcher.handle(0, [ask("a")]))
    dispatcher.handle(100 * MS, [end(out[0], Outcome.DELIVERED)])
    out = sends(dispatcher.handle(200 * MS, [ask("b")]))
    notes = dispatcher.handle(2200 * MS, [end(out[0], Outcome.TIMED_OUT, took=2 * S)])
    assert not [a for a in notes if isinstance(a, LogLine)]


def test_ejection_is_stored_and_applies_again_when_recovered() -> None:
    dispatcher = started(ONE_ENDPOINT, weights_reported=True)
    now = 0
    changes = []
    out = sends(dispatcher.handle(0, [ask(f"m{n}", due=60 * S) for n in range(3)]))
    for _ in range(40):
        now += 100 * MS
        actions = dispatcher.handle(now, [end(o, Outcome.FAILED, attempt=0) for o in out] + [TimerFired("look")])
        changes += [a for a in actions if isinstance(a, EjectionChanged)]
        out = [o for o in sends(actions) if o.message_id not in {x.message_id for x in out}]
    assert changes
    assert changes[0].endpoint == 1
    assert changes[0].recovering_since_us == -1
    dispatcher = started(ONE_ENDPOINT)
    dispatcher.handle(S, [EjectionRecovered(1, 0)])
    assert dispatcher.slow_start.is_active(dispatcher.endpoints[1])
    count = len(sends(dispatcher.handle(S, [ask(f"n{n}") for n in range(5)])))
    assert count + sum(isinstance(a, SendAttempt) for _, a in run_timers(dispatcher, S + 20 * MS, S + 400 * MS)) <= 1


@pytest.mark.parametrize("number", [1, 3, 60, 300])
@pytest.mark.parametrize("outcome", [Outcome.FAILED, Outcome.NO_CONNECTION, Outcome.RESET])
def test_slow_start_budget_holds_for_all_forwarders_together(number: int, outcome: Outcome) -> None:
    """Rule 4: whenever after 12 s the endpoint returns, it gets about its budget of calls."""
    times = call_times_of_a_failing_fleet(number, outcome, 20 * S)
    assert times, "none tried at all"
    holders = number * 3 / 12  # where every forwarder holds three messages: far more than an endpoint's traffic
    assert max_calls_within(times, 12 * S, 1500 * MS) <= max(2 * SLOW_START_CALLS, holders)


def first_call_times(number: int, seed: int) -> list[int]:
    """When each forwarder first calls an endpoint that was ejected before all of them started."""
    times = []
    for n in range(number):
        dispatcher = Dispatcher(settings(forwarders=number, weights_reported=True, slots=3), seed * 10_000 + n, 100 * S)
        actions = dispatcher.handle(
            100 * S,
            [
                EndpointListReceived(EndpointListKind.SAVED, ONE_WEIGHTED_ENDPOINT),
                EjectionRecovered(1, 80 * S),
                ask("m", due=900 * S),
            ],
        )
        while not sends(actions):
            [timer] = [a for a in actions if isinstance(a, SetTimer)]
            actions = dispatcher.handle(dispatcher.now_us + timer.delay_us, [TimerFired("look")])
        times.append(dispatcher.now_us - 100 * S)
    return sorted(times)


@pytest.mark.parametrize("number", [2, 8, 40, 200, 1000])
def test_forwarders_that_start_at_once_call_an_ejected_endpoint_as_in_any_other_second(number: int) -> None:
    """They must not all call at the same moment."""
    counts = [max_calls_within(first_call_times(number, seed), 0, 1500 * MS) for seed in range(3)]
    holders = number / 45  # where every forwarder holds one: far more than an endpoint's traffic
    assert sum(counts) / len(counts) <= max(1.5 * SLOW_START_CALLS + 2, holders)
    assert len(set(first_call_times(number, 9))) > number / 2


def slow_start_of(context: RoundContext) -> SlowStart:
    return SlowStart(context, make_endpoint_table(context))


def test_an_endpoint_is_ejected_by_its_error_rate_and_recovers_by_a_success() -> None:
    context = make_context(now_us=S, slow_start_us=10 * S)
    slow_start = slow_start_of(context)
    endpoint = slow_start.endpoint_table.endpoints[1]

    endpoint.error_rate = EJECTION_ERROR_RATE + 0.01
    slow_start.update(endpoint, Outcome.FAILED)
    assert context.actions == [LogLine("target 1 in outage: failed"), EjectionChanged(1, S)]
    assert slow_start.is_active(endpoint)

    context.now_us = 2 * S
    endpoint.error_rate = 0.0
    slow_start.update(endpoint, Outcome.DELIVERED)
    assert context.actions[2:] == [EjectionChanged(1, S, 2 * S), LogLine("target 1 answers again: warming")]
    assert slow_start.is_active(endpoint)

    context.now_us = 12 * S
    assert not slow_start.is_active(endpoint)


def test_the_interval_shortens_along_the_recovery_ramp() -> None:
    context = make_context(weights_reported=True, slow_start_us=10 * S, overload_window_us=60 * S)
    slow_start = slow_start_of(context)
    endpoint = slow_start.endpoint_table.endpoints[1]
    endpoint.ejected_at_us = 0
    endpoint.recovering_since_us = 0
    intervals_us: list[float] = []
    for now_us in (0, 5 * S, 10 * S):
        context.now_us = now_us
        intervals_us.append(slow_start.interval_us(endpoint))

    assert intervals_us == sorted(intervals_us, reverse=True)
    assert intervals_us[0] == pytest.approx(5 * intervals_us[2])  # slow_start_from is 0.2


def test_an_excluded_endpoint_is_out_of_the_index_until_it_is_readmitted() -> None:
    context = make_context(now_us=S)
    slow_start = slow_start_of(context)
    table = slow_start.endpoint_table
    endpoint = table.endpoints[1]

    slow_start.exclude(endpoint)
    assert table.by_destination == {}

    slow_start.readmit(endpoint)
    assert table.by_destination == {DESTINATION: [endpoint]}
    assert context.actions == [EjectionChanged(1, S), EjectionChanged(1, S, S)]


def test_an_enabled_endpoint_begins_its_recovery_ramp() -> None:
    context = make_context(now_us=S)
    slow_start = slow_start_of(context)
    slow_start.endpoint_table.disable(1, 0)

    slow_start.enable(1)
    slow_start.enable(1)

    assert context.actions == [EjectionChanged(1, 0, S)]


def test_jitter_is_one_in_the_mean_and_its_residual_a_part_of_it() -> None:
    slow_start = slow_start_of(make_context())

    factors = [slow_start.new_jitter() for _ in range(2000)]
    residuals = [slow_start.residual_jitter() for _ in range(2000)]

    assert SLOT_JITTER_RANGE[0] <= min(factors) <= max(factors) <= SLOT_JITTER_RANGE[1]
    assert sum(factors) / len(factors) == pytest.approx(1.0, abs=0.05)
    assert 0.0 <= min(residuals) <= max(residuals) <= SLOT_JITTER_RANGE[1]
