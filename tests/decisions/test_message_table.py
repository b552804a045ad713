"""Tests of forwarder.decisions.message_table, driven through a dispatcher."""

from __future__ import annotations

from forwarder.decisions.actions import (
    FailMessage,
)
from forwarder.decisions.events import (
    EndpointListKind,
    EndpointListReceived,
    MessageRecovered,
    SettingsChanged,
)
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.settings import Effect, MessageClass
from tests.decisions.fleets import CLASSES, ONE_ENDPOINT
from tests.scripts import MS, S, ask, end, finals, sends, settings, started


def test_recovered_message_keeps_its_attempt_history() -> None:
    dispatcher = started(ONE_ENDPOINT)
    actions = dispatcher.handle(
        MS, [MessageRecovered("once", 10, CLASSES["once"], 8 * S, attempts=1, maybe_ran_at_us=0, maybe_ran_on=1)]
    )
    assert not sends(actions)
    assert finals(actions) == [FailMessage("once")]
    actions = dispatcher.handle(
        S, [MessageRecovered("k", 10, CLASSES["keyed"], 8 * S, attempts=2, maybe_ran_at_us=0, maybe_ran_on=1)]
    )
    send = sends(actions)[0]
    # The retry window of 3 s starts with the first attempt.
    actions = dispatcher.handle(3 * S, [end(send, Outcome.FAILED, attempt=2)])
    assert not sends(actions)
    assert [action.message_id for action in finals(actions)] == ["k"]
    cls = CLASSES["zoned"]
    actions = dispatcher.handle(
        8 * S, [MessageRecovered("z", 10, cls, 9 * S, attempts=1, maybe_ran_at_us=7 * S, maybe_ran_on=99)]
    )
    # The endpoint of the first attempt has left the list, and only endpoints in its zone recognize the key.
    assert not sends(actions)


def test_message_keeps_its_class_when_the_settings_change() -> None:
    dispatcher = started(ONE_ENDPOINT, max_attempts=6)
    send = sends(dispatcher.handle(0, [ask("old", cls="once", due=8 * S)]))[0]
    new_settings = settings(
        max_attempts=2,
        classes=(MessageClass("once", 2 * S, 8 * S), MessageClass("new", 2 * S, 8 * S, Effect.ONCE)),
    )
    actions = dispatcher.handle(
        MS,
        [
            SettingsChanged(new_settings),
            EndpointListReceived(EndpointListKind.WHOLE, ONE_ENDPOINT),
            ask("gone", cls="safe"),
            ask("new", cls="new", due=8 * S),
            end(send, Outcome.UNREADABLE),
        ],
    )
    assert sorted(action.message_id for action in finals(actions)) == ["gone", "old"]
    assert all(isinstance(action, FailMessage) for action in finals(actions))
    send = sends(actions)[0]
    assert send.message_id == "new"
    assert finals(dispatcher.handle(2 * MS, [end(send, Outcome.UNREADABLE)])) == [FailMessage("new")]
