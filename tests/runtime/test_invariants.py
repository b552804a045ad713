"""Which effects may leave the process, by the route, the message's times and the recorded state."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from forwarder.decisions.settings import Effect, MessageClass
from forwarder.runtime.invariants import AttemptFacts, Denial, Invariants, RouteFacts, route_denial
from forwarder.runtime.reason_counts import ReasonCounts, Subject
from forwarder.storage.messages import AcceptedMessage
from forwarder.storage.store import MessageStore

NOW_US = 1_000_000
ATTEMPT = AttemptFacts("m", 1, send_before_us=NOW_US + 1, due_us=NOW_US + 1)
ROUTE = RouteFacts(is_listed=True, retry_after_until_us=NOW_US)


@pytest.mark.parametrize(
    ("attempt", "route", "denial"),
    [
        (ATTEMPT, ROUTE, None),
        (ATTEMPT, replace(ROUTE, is_listed=False), Denial.NOT_LISTED),
        (ATTEMPT, replace(ROUTE, retry_after_until_us=NOW_US + 1), Denial.RETRY_AFTER),
        (ATTEMPT, replace(ROUTE, has_unread_answer=True), Denial.UNREAD_ANSWER),
        (replace(ATTEMPT, send_before_us=NOW_US), ROUTE, Denial.RESEND_WINDOW_OVER),
        (replace(ATTEMPT, due_us=NOW_US), ROUTE, Denial.DEADLINE_OVER),
    ],
)
def test_a_call_is_denied_by_its_route_or_its_times(
    attempt: AttemptFacts, route: RouteFacts, denial: Denial | None
) -> None:
    assert route_denial(attempt, route, NOW_US) is denial


def message(effect: Effect) -> AcceptedMessage:
    message_class = MessageClass("class", NOW_US, NOW_US, effect)
    return AcceptedMessage("m", message_class, 7, 2 * NOW_US, None, None, b"body")


@pytest.mark.parametrize(
    ("effect", "ran_at_us", "others", "denial", "subject"),
    [
        (Effect.ONCE, -1, (), None, None),
        (Effect.ONCE, NOW_US, (), Denial.MAY_HAVE_RUN, Subject.VIOLATION),
        (Effect.REPEATABLE, NOW_US, (), None, None),
        (Effect.REPEATABLE, -1, ("m",), Denial.STILL_IN_PROGRESS, Subject.VIOLATION),
    ],
)
def test_a_message_that_may_run_once_is_not_sent_again_and_none_is_in_two_calls(
    tmp_path: Path, effect: Effect, ran_at_us: int, others: tuple[str, ...], denial: Denial | None, subject: Subject
) -> None:
    store, reasons = MessageStore(tmp_path, 1_000_000), ReasonCounts()
    accepted = message(effect)
    accepted.maybe_ran_at_us = ran_at_us
    store.messages["m"] = accepted

    assert Invariants(store, reasons).may_send(ATTEMPT, ROUTE, NOW_US, others) is denial
    assert {noted for noted, _ in reasons.counts} == ({subject} if subject else set())


def test_a_call_with_a_message_that_was_never_accepted_is_a_violation(tmp_path: Path) -> None:
    reasons = ReasonCounts()
    invariants = Invariants(MessageStore(tmp_path, 1_000_000), reasons)

    assert invariants.may_send(ATTEMPT, ROUTE, NOW_US) is Denial.NEVER_ACCEPTED
    assert invariants.may_accept("m", is_recorded=True) is Denial.NEVER_ACCEPTED
    assert reasons.total(Subject.VIOLATION) == 2
