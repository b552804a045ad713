"""Tests of forwarder.decisions.release, driven through a dispatcher."""

from __future__ import annotations

import pytest

from forwarder.decisions.actions import (
    FailMessage,
)
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.settings import Effect, MessageClass
from tests.decisions.fleets import ONE_ENDPOINT
from tests.scripts import MS, S, ask, end, finals, sends, started


def test_at_most_once_attempt_on_a_silent_endpoint_times_out_long_before_its_deadline() -> None:
    """A silent endpoint must not occupy a slot for much longer than a usual call."""
    long = MessageClass("long", 2 * S, 60 * S, Effect.ONCE)
    dispatcher = started(classes=(long,))
    send = sends(dispatcher.handle(0, [ask("a", cls="long", due=60 * S)]))[0]
    assert S <= send.timeout_us <= 4 * S
    assert finals(dispatcher.handle(send.timeout_us, [end(send, Outcome.TIMED_OUT, took=send.timeout_us)])) == [
        FailMessage("a")
    ]
    late = sends(dispatcher.handle(50 * S, [ask("b", cls="long", due=51 * S)]))[0]
    assert late.timeout_us == S


@pytest.mark.parametrize("cls", ["safe", "once"])
def test_attempt_timeout_is_a_few_expected_calls(cls: str) -> None:
    """An endpoint that has not answered by then is silent, and other messages need the slot."""
    dispatcher = started(ONE_ENDPOINT)
    now_us = 0
    for n in range(30):
        send = sends(dispatcher.handle(now_us, [ask(f"m{n}", cls=cls, due=now_us + 8 * S)]))[0]
        now_us += 50 * MS
        dispatcher.handle(now_us, [end(send, Outcome.DELIVERED, took=50 * MS)])
    last = sends(dispatcher.handle(now_us, [ask("last", cls=cls, due=now_us + 8 * S)]))[0]
    assert 300 * MS <= last.timeout_us <= 600 * MS
