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
    sent = sends(dispatcher.handle(0, [ask("a")]))
    dispatcher.handle(100 * MS, [end(sent[0], Outcome.DELIVERED, report=LoadReport(0.1, 2.0))])
    send_count = 0
    for n in range(1, 200):
        sent = sends(dispatcher.handle(100 * MS + n * 20 * MS, [ask(f"m{n}", due=60 * S)]))
        send_count += len(sent)
        for send in sent:
            dispatcher.handle(100 * MS + n * 20 * MS + MS, [end(send, Outcome.DELIVERED, report=LoadReport(0.1, 2.0))])
    assert 3 <= send_count <= 8  # half of two calls per second, for four seconds


def calls_at_a_limit(forwarders: int, limit: int, until_us: int) -> tuple[int, int]:
    """Returns the calls delivered and rejected after 5 s, while all forwarders hold messages all the time.

    The endpoint counts calls, including rejected ones, in windows of one second. It reports what is left at each call.
    """
    dispatchers = fleet(forwarders)
    actions = [
        dispatcher.handle(0, [ask(f"m{number}", due=200 * S) for number in range(3)]) for dispatcher in dispatchers
    ]
    attempt_numbers: dict[tuple[int, str], int] = {}
    outcomes: dict[int, list[tuple[int, Event]]] = {}
    delivered = rejected = used = 0
    message_count = 3
    for now_us in range(0, until_us, 5 * MS):
        used = 0 if now_us % S == 0 else used
        for n, dispatcher in enumerate(dispatchers):
            for send in sends(actions[n]):
                attempt = attempt_numbers[n, send.message_id] = attempt_numbers.get((n, send.message_id), -1) + 1
                used += 1
                is_delivered = used <= limit
                delivered = delivered + (is_delivered and now_us > 5 * S)
                rejected = rejected + (not is_delivered and now_us > 5 * S)
                load_report = LoadReport(max(0.0, 1 - used / limit), float(limit))
                event = end(
                    send, Outcome.DELIVERED if is_delivered else Outcome.REJECTED, attempt, 80 * MS, report=load_report
                )
                outcomes.setdefault(n, []).append((now_us + 80 * MS, event))
            due = [event for at_us, event in outcomes.get(n, []) if at_us <= now_us]
            outcomes[n] = [(at_us, event) for at_us, event in outcomes.get(n, []) if at_us > now_us]
            delivered_count = sum(
                event.outcome is Outcome.DELIVERED for event in due if isinstance(event, AttemptEnded)
            )
            new = [ask(f"m{message_count + j}", due=now_us + 200 * S) for j in range(delivered_count)]
            message_count += delivered_count
            actions[n] = dispatcher.handle(now_us, [*due, *new, TimerFired("look")])
    return delivered, rejected


@pytest.mark.parametrize(("forwarders", "limit"), [(2, 30), (40, 30), (40, 90)])
def test_quota_shares_add_up_to_little_more_than_the_limit(forwarders: int, limit: int) -> None:
    """Rejected calls count towards the limit, too."""
    delivered, rejected = calls_at_a_limit(forwarders, limit, 20 * S)
    assert delivered > 0.6 * limit * 15
    assert rejected < 0.2 * delivered


@pytest.mark.parametrize("forwarders", [1, 3, 60, 300])
def test_a_message_is_sent_before_its_deadline_at_a_small_share_of_the_limit(forwarders: int) -> None:
    """An even share of a limit may be one call per minute; the message must not miss its deadline because of it."""
    dispatcher = fleet(forwarders)[0]
    load_report = LoadReport(0.9, 10.0)
    send = sends(dispatcher.handle(0, [ask("a")]))[0]
    dispatcher.handle(100 * MS, [end(send, Outcome.DELIVERED, report=load_report)])
    send = sends(dispatcher.handle(200 * MS, [ask("b")]))[0]
    dispatcher.handle(300 * MS, [end(send, Outcome.DELIVERED, report=load_report)])
    actions = dispatcher.handle(400 * MS, [ask("c", due=6 * S)])
    now_us = 400 * MS
    while not sends(actions) and now_us < 5 * S:
        now_us += 20 * MS
        actions = dispatcher.handle(now_us, [TimerFired("look")])
    assert sends(actions)


def time_to_deliver_us(limit_left: float) -> int:
    """Returns how long one of 40 forwarders takes for six messages, by the fraction of the limit that is left."""
    dispatcher = fleet(40)[0]
    now_us = 0
    delivered_count = 0
    actions = dispatcher.handle(0, [ask(f"m{n}", due=60 * S) for n in range(6)])
    while delivered_count < 6:
        sent = sends(actions)
        now_us += 80 * MS if sent else 10 * MS
        events = [end(send, Outcome.DELIVERED, took=80 * MS, report=LoadReport(limit_left, 40.0)) for send in sent]
        actions = dispatcher.handle(now_us, [*events, TimerFired("look")])
        delivered_count = delivered_count + len(sent)
    return now_us


def test_the_few_forwarders_with_held_messages_use_a_spare_limit_at_once() -> None:
    """After an outage, most forwarders hold no messages and some hold a backlog."""
    assert time_to_deliver_us(0.95) < 2 * S
    assert time_to_deliver_us(0.5) > 4 * S


@pytest.mark.parametrize("limit", [0.0, 1e-9, 1e12])
def test_extreme_reported_limits_do_not_block_messages_forever(limit: float) -> None:
    dispatcher = fleet(3)[0]
    send = sends(dispatcher.handle(0, [ask("a")]))[0]
    dispatcher.handle(100 * MS, [end(send, Outcome.DELIVERED, report=LoadReport(0.0, limit))])
    send = sends(dispatcher.handle(200 * MS, [ask("b")]))[0]
    dispatcher.handle(300 * MS, [end(send, Outcome.DELIVERED, report=LoadReport(0.0, 0.0))])
    actions = dispatcher.handle(400 * MS, [ask("c", due=6 * S)])
    now_us = 400 * MS
    while not sends(actions) and not finals(actions) and now_us < 7 * S:
        now_us += 20 * MS
        actions = dispatcher.handle(now_us, [TimerFired("look")])
    assert sends(actions)


def test_the_call_interval_follows_from_our_share_of_the_limit() -> None:
    pacing = QuotaPacing(make_context(forwarders=2), HeldMessages())
    scope = LimitScope(DESTINATION, 1.0, limit_per_s=4.0, quota_share=0.5)

    assert pacing.call_interval_us(scope) == pytest.approx(S / 2)
    scope.limit_per_s = 0.0
    assert pacing.call_interval_us(scope) == 0.0


def test_a_call_delays_the_next_one_by_the_maximum_at_most() -> None:
    context = make_context(now_us=5 * S, forwarders=2)
    pacing = QuotaPacing(context, HeldMessages())
    scope = LimitScope(DESTINATION, 1.0, limit_per_s=0.001, next_call_at_us=5 * S)

    pacing.reserve_call(scope, max_interval_us=2.0 * S)

    assert scope.next_call_at_us == 7 * S


@pytest.mark.parametrize(("limit_left", "is_held", "sign"), [(0.9, True, 1), (0.9, False, 0), (0.1, False, -1)])
def test_in_a_large_fleet_the_share_follows_the_remaining_limit(limit_left: float, is_held: bool, sign: int) -> None:
    held = HeldMessages()
    if is_held:
        held.add(make_message())
    pacing = QuotaPacing(make_context(now_us=S, forwarders=40), held)
    scope = LimitScope(DESTINATION, 1.0, quota_share=1 / 40)

    pacing.apply_load_report(scope, LoadReport(limit_left, 100.0))

    change = scope.quota_share - 1 / 40
    assert (change > 0) - (change < 0) == sign


def test_rejections_decrease_the_share_to_a_fraction_of_an_even_share() -> None:
    pacing = QuotaPacing(make_context(forwarders=4), HeldMessages())
    scope = LimitScope(DESTINATION, 1.0, quota_share=1.0)
    for _ in range(100):
        pacing.decrease_share(scope)

    assert scope.quota_share == pytest.approx(MIN_QUOTA_OF_EVEN_SHARE / 4)
