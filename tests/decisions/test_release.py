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
    """A silent endpoint must not keep a slot for much longer than a usual call."""
    long = MessageClass("long", 2 * S, 60 * S, Effect.ONCE)
    dispatcher = started(classes=(long,))
    out = sends(dispatcher.handle(0, [ask("a", cls="long", due=60 * S)]))[0]
    assert S <= out.timeout_us <= 4 * S
    assert finals(dispatcher.handle(out.timeout_us, [end(out, Outcome.TIMED_OUT, took=out.timeout_us)])) == [
        FailMessage("a")
    ]
    late = sends(dispatcher.handle(50 * S, [ask("b", cls="long", due=51 * S)]))[0]
    assert late.timeout_us == S


@pytest.mark.parametrize("cls", ["safe", "once"])
def test_attempt_timeout_is_a_few_expected_calls(cls: str) -> None:
    """An endpoint that has not answered by then is silent, and the slot is needed for others."""
    dispatcher = started(ONE_ENDPOINT)
    now = 0
    for n in range(30):
        send = sends(dispatcher.handle(now, [ask(f"m{n}", cls=cls, due=now + 8 * S)]))[0]
        now += 50 * MS
        dispatcher.handle(now, [end(send, Outcome.DELIVERED, took=50 * MS)])
    last = sends(dispatcher.handle(now, [ask("last", cls=cls, due=now + 8 * S)]))[0]
    assert 300 * MS <= last.timeout_us <= 600 * MS
