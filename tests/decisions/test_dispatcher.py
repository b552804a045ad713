"""Tests of forwarder.decisions.dispatcher."""

from __future__ import annotations

import pytest

from forwarder.decisions.actions import (
    FailMessage,
    RejectMessage,
)
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import (
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    MessageWithdrawn,
    TimerFired,
)
from forwarder.decisions.expected_call import CallEstimates
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.records import Message
from tests.decisions.fleets import run_timers
from tests.scripts import MS, S, ask, end, finals, sends, settings, started


def test_unusual_but_valid_events_are_handled() -> None:
    dispatcher = started()
    assert finals(dispatcher.handle(0, [ask("due", due=-5)])) == [RejectMessage("due", S)]
    assert finals(dispatcher.handle(0, [ask("stranger", cls="no such class")])) == [FailMessage("stranger")]
    assert not sends(dispatcher.handle(0, [ask("nowhere", 99, due=300 * MS)]))
    assert [action for _, action in run_timers(dispatcher, MS, 400 * MS) if isinstance(action, RejectMessage)]
    send = sends(dispatcher.handle(S, [ask("a")]))[0]
    dispatcher.handle(S, [MessageWithdrawn("a"), MessageWithdrawn("a"), TimerFired("unheard of")])
    assert not finals(dispatcher.handle(S, [end(send, Outcome.TIMED_OUT, closed=True)]))
    dispatcher.handle(S, [end(send, Outcome.DELIVERED)])
    assert dispatcher.handle(2 * S, []) == []


def test_an_event_examines_only_the_held_messages_of_its_destination(monkeypatch: pytest.MonkeyPatch) -> None:
    """Messages that are held for other destinations are neither scanned nor sorted."""
    entries = tuple(EndpointEntry(n, n, "north", "plain") for n in range(2000))
    dispatcher = Dispatcher(settings(slots=4000), 1, 0)
    dispatcher.handle(0, [EndpointListReceived(EndpointListKind.SAVED, entries)])
    dispatcher.handle(0, [ask(f"m{n}-{k}", n, due=60 * S) for n in range(2000) for k in range(3)])
    examined: list[int] = []
    original = CallEstimates.give_up_at_us

    def recording_give_up_at_us(self: CallEstimates, message: Message) -> int:
        examined.append(message.destination)
        return original(self, message)

    monkeypatch.setattr(CallEstimates, "give_up_at_us", recording_give_up_at_us)
    dispatcher.handle(MS, [ask("new", 7, due=60 * S)])
    assert set(examined) == {7}
    assert len(examined) < 10
