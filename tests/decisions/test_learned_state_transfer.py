"""Tests of forwarder.decisions.learned_state_transfer."""

from __future__ import annotations

from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import EndpointListKind, EndpointListReceived, HandoverReceived, MessageRecovered
from forwarder.decisions.outcomes import Outcome
from tests.decisions.fleets import CLASSES, ONE_ENDPOINT
from tests.scripts import MS, S, ask, end, sends, settings, started


def test_a_restored_state_equals_the_captured_one() -> None:
    before = started(ONE_ENDPOINT)
    [send] = sends(before.handle(0, [ask("a", cls="turns", due=9 * S, key="k", tenant="big")]))
    before.handle(100 * MS, [end(send, Outcome.TIMED_OUT, took=100 * MS)])
    state = before.learned_state()

    after = Dispatcher(settings(), 8, 100 * MS)
    recovered = MessageRecovered("a", 10, CLASSES["turns"], 9 * S, "k", attempts=1, maybe_ran_at_us=0, maybe_ran_on=1)
    listed = EndpointListReceived(EndpointListKind.SAVED, ONE_ENDPOINT)
    after.handle(100 * MS, [listed, recovered, HandoverReceived(state)])

    assert after.learned_state() == state
    assert after.calls_in_flight == 1


def test_a_call_is_not_restored_if_its_messages_are_unknown() -> None:
    before = started(ONE_ENDPOINT)
    sends(before.handle(0, [ask("a")]))

    after = started(ONE_ENDPOINT)
    after.handle(MS, [HandoverReceived(before.learned_state())])

    assert after.calls_in_flight == 0
