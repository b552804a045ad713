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
    """A single long call must not put an endpoint into slow start."""
    dispatcher = started(ONE_ENDPOINT)
    sent = sends(dispatcher.handle(0, [ask("a")]))
    dispatcher.handle(100 * MS, [end(sent[0], Outcome.DELIVERED)])
    sent = sends(dispatcher.handle(200 * MS, [ask("b")]))
    actions = dispatcher.handle(2200 * MS, [end(sent[0], Outcome.TIMED_OUT, took=2 * S)])
    assert not [action for action in actions if isinstance(action, LogLine)]


def test_an_ejection_is_reported_and_applies_again_after_a_restart() -> None:
    dispatcher = started(ONE_ENDPOINT, weights_reported=True)
    now_us = 0
    ejection_changes = []
    sent = sends(dispatcher.handle(0, [ask(f"m{n}", due=60 * S) for n in range(3)]))
    for _ in range(40):
        now_us += 100 * MS
        actions = dispatcher.handle(
            now_us, [end(send, Outcome.FAILED, attempt=0) for send in sent] + [TimerFired("look")]
        )
        ejection_changes += [action for action in actions if isinstance(action, EjectionChanged)]
        sent = [send for send in sends(actions) if send.message_id not in {previous.message_id for previous in sent}]
    assert ejection_changes
    assert ejection_changes[0].endpoint == 1
    assert ejection_changes[0].recovering_since_us == -1
    dispatcher = started(ONE_ENDPOINT)
    dispatcher.handle(S, [EjectionRecovered(1, 0)])
    assert dispatcher.slow_start.is_active(dispatcher.endpoints[1])
    send_count = len(sends(dispatcher.handle(S, [ask(f"n{n}") for n in range(5)])))
    assert (
        send_count
        + sum(isinstance(action, SendAttempt) for _, action in run_timers(dispatcher, S + 20 * MS, S + 400 * MS))
        <= 1
    )


@pytest.mark.parametrize("forwarders", [1, 3, 60, 300])
@pytest.mark.parametrize("outcome", [Outcome.FAILED, Outcome.NO_CONNECTION, Outcome.RESET])
def test_slow_start_budget_holds_for_all_forwarders_together(forwarders: int, outcome: Outcome) -> None:
    """An endpoint that comes back at any time after 12 s must get at most about its budget of calls."""
    call_times = call_times_of_a_failing_fleet(forwarders, outcome, 20 * S)
    assert call_times, "no calls at all"
    # Every forwarder holds three messages, far more than the usual traffic of an endpoint.
    bound_when_all_hold = forwarders * 3 / 12
    assert max_calls_within(call_times, 12 * S, 1500 * MS) <= max(2 * SLOW_START_CALLS, bound_when_all_hold)


def first_call_times(forwarders: int, seed: int) -> list[int]:
    """Returns when each forwarder first calls an endpoint that was ejected before all of them started."""
    call_times = []
    for n in range(forwarders):
        dispatcher = Dispatcher(
            settings(forwarders=forwarders, weights_reported=True, slots=3), seed * 10_000 + n, 100 * S
        )
        actions = dispatcher.handle(
            100 * S,
            [
                EndpointListReceived(EndpointListKind.SAVED, ONE_WEIGHTED_ENDPOINT),
                EjectionRecovered(1, 80 * S),
                ask("m", due=900 * S),
            ],
        )
        while not sends(actions):
            [timer] = [action for action in actions if isinstance(action, SetTimer)]
            actions = dispatcher.handle(dispatcher.now_us + timer.delay_us, [TimerFired("look")])
        call_times.append(dispatcher.now_us - 100 * S)
    return sorted(call_times)


@pytest.mark.parametrize("forwarders", [2, 8, 40, 200, 1000])
def test_forwarders_that_start_together_do_not_call_an_ejected_endpoint_together(forwarders: int) -> None:
    """Their calls must be spread as in any other second."""
    peaks = [max_calls_within(first_call_times(forwarders, seed), 0, 1500 * MS) for seed in range(3)]
    # Every forwarder holds one message, far more than the usual traffic of an endpoint.
    bound_when_all_hold = forwarders / 45
    assert sum(peaks) / len(peaks) <= max(1.5 * SLOW_START_CALLS + 2, bound_when_all_hold)
    assert len(set(first_call_times(forwarders, 9))) > forwarders / 2


def make_slow_start(context: RoundContext) -> SlowStart:
    return SlowStart(context, make_endpoint_table(context))


def test_the_error_rate_ejects_an_endpoint_and_a_success_starts_its_recovery() -> None:
    context = make_context(now_us=S, slow_start_us=10 * S)
    slow_start = make_slow_start(context)
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
    slow_start = make_slow_start(context)
    endpoint = slow_start.endpoint_table.endpoints[1]
    endpoint.ejected_at_us = 0
    endpoint.recovering_since_us = 0
    intervals_us: list[float] = []
    for now_us in (0, 5 * S, 10 * S):
        context.now_us = now_us
        intervals_us.append(slow_start.interval_us(endpoint))

    assert intervals_us == sorted(intervals_us, reverse=True)
    assert intervals_us[0] == pytest.approx(5 * intervals_us[2])  # slow_start_from is 0.2


def test_an_excluded_endpoint_is_not_in_the_index_until_it_is_readmitted() -> None:
    context = make_context(now_us=S)
    slow_start = make_slow_start(context)
    table = slow_start.endpoint_table
    endpoint = table.endpoints[1]

    slow_start.exclude(endpoint)
    assert table.by_destination == {}

    slow_start.readmit(endpoint)
    assert table.by_destination == {DESTINATION: [endpoint]}
    assert context.actions == [EjectionChanged(1, S), EjectionChanged(1, S, S)]


def test_enabling_an_endpoint_starts_its_recovery_ramp() -> None:
    context = make_context(now_us=S)
    slow_start = make_slow_start(context)
    slow_start.endpoint_table.disable(1, 0)

    slow_start.enable(1)
    slow_start.enable(1)

    assert context.actions == [EjectionChanged(1, 0, S)]


def test_the_mean_jitter_is_one_and_the_residual_does_not_exceed_the_longest_interval() -> None:
    slow_start = make_slow_start(make_context())

    factors = [slow_start.new_jitter() for _ in range(2000)]
    residuals = [slow_start.residual_jitter() for _ in range(2000)]

    assert SLOT_JITTER_RANGE[0] <= min(factors) <= max(factors) <= SLOT_JITTER_RANGE[1]
    assert sum(factors) / len(factors) == pytest.approx(1.0, abs=0.05)
    assert 0.0 <= min(residuals) <= max(residuals) <= SLOT_JITTER_RANGE[1]
