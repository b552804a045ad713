"""Tests of forwarder.decisions.quota_pacing, driven through a dispatcher."""

from __future__ import annotations

import pytest

from forwarder.decisions.events import (
    AttemptEnded,
    Event,
    LoadReport,
    TimerFired,
)
from forwarder.decisions.held_messages import HeldMessages
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.quota_pacing import MIN_QUOTA_OF_EVEN_SHARE, QuotaPacing
from forwarder.decisions.records import LimitScope
from tests.decisions.builders import DESTINATION, make_context, make_message
from tests.decisions.fleets import ONE_ENDPOINT, fleet
from tests.scripts import MS, S, ask, end, finals, sends, started


def test_calls_are_paced_at_this_forwarders_share_of_the_limit() -> None:
    dispatcher = started(ONE_ENDPOINT)
    out = sends(dispatcher.handle(0, [ask("a")]))
    dispatcher.handle(100 * MS, [end(out[0], Outcome.DELIVERED, report=LoadReport(0.1, 2.0))])
    count = 0
    for n in range(1, 200):
        out = sends(dispatcher.handle(100 * MS + n * 20 * MS, [ask(f"m{n}", due=60 * S)]))
        count += len(out)
        for o in out:
            dispatcher.handle(100 * MS + n * 20 * MS + MS, [end(o, Outcome.DELIVERED, report=LoadReport(0.1, 2.0))])
    assert 3 <= count <= 8  # our half of two a second, for four seconds


def calls_at_a_limit(number: int, limit: int, until: int) -> tuple[int, int]:
    """Calls delivered and rejected from 5 s on, where all forwarders hold messages all the time.

    The endpoint counts calls in windows of a second, rejected ones too, and reports what was left when a call came.
    """
    dispatchers = fleet(number)
    actions = [dispatcher.handle(0, [ask(f"m{k}", due=200 * S) for k in range(3)]) for dispatcher in dispatchers]
    tries: dict[tuple[int, str], int] = {}
    ends: dict[int, list[tuple[int, Event]]] = {}
    delivered = refused = used = 0
    named = 3
    for now in range(0, until, 5 * MS):
        used = 0 if now % S == 0 else used
        for n, dispatcher in enumerate(dispatchers):
            for a in sends(actions[n]):
                k = tries[n, a.message_id] = tries.get((n, a.message_id), -1) + 1
                used += 1
                ok = used <= limit
                delivered = delivered + (ok and now > 5 * S)
                refused = refused + (not ok and now > 5 * S)
                load_report = LoadReport(max(0.0, 1 - used / limit), float(limit))
                event = end(a, Outcome.DELIVERED if ok else Outcome.REJECTED, k, 80 * MS, report=load_report)
                ends.setdefault(n, []).append((now + 80 * MS, event))
            due = [e for at, e in ends.get(n, []) if at <= now]
            ends[n] = [(at, e) for at, e in ends.get(n, []) if at > now]
            done = sum(e.outcome is Outcome.DELIVERED for e in due if isinstance(e, AttemptEnded))
            new = [ask(f"m{named + j}", due=now + 200 * S) for j in range(done)]
            named += done
            actions[n] = dispatcher.handle(now, [*due, *new, TimerFired("look")])
    return delivered, refused


@pytest.mark.parametrize(("number", "limit"), [(2, 30), (40, 30), (40, 90)])
def test_quota_shares_add_up_to_little_more_than_the_limit(number: int, limit: int) -> None:
    """Rejected calls use up the limit, too."""
    delivered, refused = calls_at_a_limit(number, limit, 20 * S)
    assert delivered > 0.6 * limit * 15
    assert refused < 0.2 * delivered


@pytest.mark.parametrize("number", [1, 3, 60, 300])
def test_a_small_share_of_a_limit_lets_a_message_go_in_time(number: int) -> None:
    """An even share of a limit may be one call a minute; the message must not miss its deadline for it."""
    dispatcher = fleet(number)[0]
    load_report = LoadReport(0.9, 10.0)
    out = sends(dispatcher.handle(0, [ask("a")]))[0]
    dispatcher.handle(100 * MS, [end(out, Outcome.DELIVERED, report=load_report)])
    out = sends(dispatcher.handle(200 * MS, [ask("b")]))[0]
    dispatcher.handle(300 * MS, [end(out, Outcome.DELIVERED, report=load_report)])
    actions = dispatcher.handle(400 * MS, [ask("c", due=6 * S)])
    now = 400 * MS
    while not sends(actions) and now < 5 * S:
        now += 20 * MS
        actions = dispatcher.handle(now, [TimerFired("look")])
    assert sends(actions)


def time_to_deliver_us(left: float) -> int:
    """How long one of 40 forwarders takes for six messages, by what is left of the limit."""
    dispatcher = fleet(40)[0]
    now = 0
    done = 0
    actions = dispatcher.handle(0, [ask(f"m{n}", due=60 * S) for n in range(6)])
    while done < 6:
        out = sends(actions)
        now += 80 * MS if out else 10 * MS
        events = [end(a, Outcome.DELIVERED, took=80 * MS, report=LoadReport(left, 40.0)) for a in out]
        actions = dispatcher.handle(now, [*events, TimerFired("look")])
        done = done + len(out)
    return now


def test_spare_limit_is_used_at_once_by_the_few_that_hold_messages() -> None:
    """After an outage most forwarders hold nothing, and some hold a backlog."""
    assert time_to_deliver_us(0.95) < 2 * S
    assert time_to_deliver_us(0.5) > 4 * S


@pytest.mark.parametrize("limit", [0.0, 1e-9, 1e12])
def test_absurd_reported_limits_hold_nothing_back_for_ever(limit: float) -> None:
    dispatcher = fleet(3)[0]
    out = sends(dispatcher.handle(0, [ask("a")]))[0]
    dispatcher.handle(100 * MS, [end(out, Outcome.DELIVERED, report=LoadReport(0.0, limit))])
    out = sends(dispatcher.handle(200 * MS, [ask("b")]))[0]
    dispatcher.handle(300 * MS, [end(out, Outcome.DELIVERED, report=LoadReport(0.0, 0.0))])
    actions = dispatcher.handle(400 * MS, [ask("c", due=6 * S)])
    now = 400 * MS
    while not sends(actions) and not finals(actions) and now < 7 * S:
        now += 20 * MS
        actions = dispatcher.handle(now, [TimerFired("look")])
    assert sends(actions)


def test_calls_are_an_interval_apart_at_our_share_of_the_limit() -> None:
    pacing = QuotaPacing(make_context(forwarders=2), HeldMessages())
    scope = LimitScope(DESTINATION, 1.0, limit_per_s=4.0, quota_share=0.5)

    assert pacing.call_interval_us(scope) == pytest.approx(S / 2)
    scope.limit_per_s = 0.0
    assert pacing.call_interval_us(scope) == 0.0


def test_a_call_puts_the_next_one_off_by_the_maximum_at_most() -> None:
    context = make_context(now_us=5 * S, forwarders=2)
    pacing = QuotaPacing(context, HeldMessages())
    scope = LimitScope(DESTINATION, 1.0, limit_per_s=0.001, next_call_at_us=5 * S)

    pacing.reserve_call(scope, max_interval_us=2.0 * S)

    assert scope.next_call_at_us == 7 * S


@pytest.mark.parametrize(("limit_left", "is_held", "sign"), [(0.9, True, 1), (0.9, False, 0), (0.1, False, -1)])
def test_in_a_large_fleet_the_share_follows_what_is_left(limit_left: float, is_held: bool, sign: int) -> None:
    held = HeldMessages()
    if is_held:
        held.add(make_message())
    pacing = QuotaPacing(make_context(now_us=S, forwarders=40), held)
    scope = LimitScope(DESTINATION, 1.0, quota_share=1 / 40)

    pacing.apply_load_report(scope, LoadReport(limit_left, 100.0))

    change = scope.quota_share - 1 / 40
    assert (change > 0) - (change < 0) == sign


def test_rejections_decrease_the_share_to_a_part_of_an_even_one() -> None:
    pacing = QuotaPacing(make_context(forwarders=4), HeldMessages())
    scope = LimitScope(DESTINATION, 1.0, quota_share=1.0)
    for _ in range(100):
        pacing.decrease_share(scope)

    assert scope.quota_share == pytest.approx(MIN_QUOTA_OF_EVEN_SHARE / 4)
