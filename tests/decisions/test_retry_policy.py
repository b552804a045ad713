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
    now = sends(dispatcher.handle(50 * MS, [end(send, outcome)]))
    assert now or [a for _, a in run_timers(dispatcher, 60 * MS, 4 * S) if isinstance(a, SendAttempt)]


def test_retry_by_idempotency_key_stays_within_the_key_scope() -> None:
    dispatcher = started()
    send = sends(dispatcher.handle(0, [ask("a", cls="zoned", due=10 * S)]))[0]
    dispatcher.handle(
        5,
        [EndpointListReceived(EndpointListKind.CHANGES, (EndpointEntry(send.endpoint, 10, state=EndpointState.GONE),))],
    )
    dispatcher.handle(50 * MS, [end(send, Outcome.FAILED)])
    later = [a for _, a in run_timers(dispatcher, 60 * MS, 4 * S)]
    assert not [a for a in later if isinstance(a, SendAttempt)]
    assert [a for a in later if isinstance(a, FailMessage)]


def test_fewer_allowed_attempts_apply_to_held_messages() -> None:
    dispatcher = started(ONE_ENDPOINT, max_attempts=6)
    send = sends(dispatcher.handle(0, [ask("m")]))[0]
    dispatcher.handle(
        MS, [SettingsChanged(settings(max_attempts=1)), EndpointListReceived(EndpointListKind.WHOLE, ONE_ENDPOINT)]
    )
    actions = dispatcher.handle(2 * MS, [end(send, Outcome.FAILED)])
    assert [a.message_id for a in finals(actions)] == ["m"]
    assert not sends(actions)
