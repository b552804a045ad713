"""Tests of forwarder.decisions.retry_policy, driven through a dispatcher."""

from __future__ import annotations

import pytest

from forwarder.decisions.actions import (
    FailMessage,
    SendAttempt,
)
from forwarder.decisions.events import (
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    SettingsChanged,
)
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.retry_policy import RetryPolicy
from forwarder.units import NEVER_US
from tests.decisions.builders import DESTINATION, make_context, make_endpoint_table, make_message
from tests.decisions.fleets import ONE_ENDPOINT, run_timers
from tests.scripts import MS, S, ask, end, finals, sends, settings, started


@pytest.mark.parametrize("outcome", [Outcome.FAILED, Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELED])
def test_at_most_once_message_fails_when_it_may_have_run(outcome: Outcome) -> None:
    dispatcher = started(ONE_ENDPOINT)
    send = sends(dispatcher.handle(0, [ask("a", cls="once", due=8 * S)]))[0]
    assert finals(dispatcher.handle(50 * MS, [end(send, outcome)])) == [FailMessage("a")]


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.NO_CONNECTION, Outcome.NOT_SENT])
def test_at_most_once_message_is_retried_when_it_never_ran(outcome: Outcome) -> None:
    dispatcher = started(ONE_ENDPOINT)
    send = sends(dispatcher.handle(0, [ask("a", cls="once", due=8 * S)]))[0]
    retries = sends(dispatcher.handle(50 * MS, [end(send, outcome)]))
    assert retries or [
        action for _, action in run_timers(dispatcher, 60 * MS, 4 * S) if isinstance(action, SendAttempt)
    ]


def test_retry_by_idempotency_key_stays_within_the_key_scope() -> None:
    dispatcher = started()
    send = sends(dispatcher.handle(0, [ask("a", cls="zoned", due=10 * S)]))[0]
    dispatcher.handle(
        5,
        [
            EndpointListReceived(
                EndpointListKind.CHANGES, (EndpointEntry(send.endpoint, 10, state=EndpointState.REMOVED),)
            )
        ],
    )
    dispatcher.handle(50 * MS, [end(send, Outcome.FAILED)])
    later = [action for _, action in run_timers(dispatcher, 60 * MS, 4 * S)]
    assert not [action for action in later if isinstance(action, SendAttempt)]
    assert [action for action in later if isinstance(action, FailMessage)]


def test_a_lower_maximum_of_attempts_applies_to_held_messages() -> None:
    dispatcher = started(ONE_ENDPOINT, max_attempts=6)
    send = sends(dispatcher.handle(0, [ask("m")]))[0]
    dispatcher.handle(
        MS, [SettingsChanged(settings(max_attempts=1)), EndpointListReceived(EndpointListKind.WHOLE, ONE_ENDPOINT)]
    )
    actions = dispatcher.handle(2 * MS, [end(send, Outcome.FAILED)])
    assert [action.message_id for action in finals(actions)] == ["m"]
    assert not sends(actions)


@pytest.mark.parametrize(
    ("class_name", "send_before_us"), [("safe", NEVER_US), ("keyed", 4 * S), ("zoned", 4 * S), ("once", 0)]
)
def test_a_message_that_may_have_run_is_retried_within_its_window(class_name: str, send_before_us: int) -> None:
    context = make_context()
    retry_policy = RetryPolicy(context, make_endpoint_table(context))
    message = make_message(class_name=class_name)
    assert retry_policy.send_before_us(message) == NEVER_US

    message.maybe_ran_at_us = S

    assert retry_policy.send_before_us(message) == send_before_us


@pytest.mark.parametrize(("class_name", "eligible"), [("safe", [1, 2, 3]), ("keyed", [1, 2, 3]), ("zoned", [1, 3])])
def test_a_message_that_may_have_run_is_sent_only_where_its_key_is_recognized(
    class_name: str, eligible: list[int]
) -> None:
    context = make_context()
    zones = ("north", "south", "north")
    entries = [EndpointEntry(number, DESTINATION, zone, "plain") for number, zone in enumerate(zones, 1)]
    retry_policy = RetryPolicy(context, make_endpoint_table(context, *entries))
    message = make_message(class_name=class_name)
    message.maybe_ran_at_us = 0
    message.maybe_ran_on = 1

    assert [endpoint.id for endpoint in retry_policy.eligible_endpoints(message)] == eligible


@pytest.mark.parametrize(
    ("class_name", "may_have_run", "is_safe"),
    [("safe", True, True), ("keyed", True, True), ("zoned", True, False), ("once", True, False), ("once", False, True)],
)
def test_only_messages_without_a_second_effect_are_safe_to_resubmit(
    class_name: str, may_have_run: bool, is_safe: bool
) -> None:
    context = make_context()
    retry_policy = RetryPolicy(context, make_endpoint_table(context))
    message = make_message(class_name=class_name)
    message.maybe_ran_at_us = 0 if may_have_run else -1

    assert retry_policy.is_safe_to_resubmit(message) is is_safe


def test_attempts_that_this_machine_could_not_send_do_not_count() -> None:
    context = make_context(max_attempts=2)
    retry_policy = RetryPolicy(context, make_endpoint_table(context))
    message = make_message()
    message.attempts = 3
    message.local_failures = 2
    assert retry_policy.may_attempt(message)

    message.local_failures = 1

    assert not retry_policy.may_attempt(message)
