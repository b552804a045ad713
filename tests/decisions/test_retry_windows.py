"""Tests of the time until which a failed message may be sent again."""

from __future__ import annotations

import pytest

from forwarder.decisions.actions import FailMessage
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import EndpointListKind, EndpointListReceived, MessageRecovered
from forwarder.decisions.outcomes import Outcome
from forwarder.units import NEVER_US
from tests.scripts import ENTRIES, MS, S, ask, end, finals, sends, settings


@pytest.mark.parametrize(
    ("cls", "outcome", "window_us"),
    [
        ("keyed", Outcome.RESET, 3 * S),
        ("zoned", Outcome.TIMED_OUT, 3 * S),
        ("keyed", Outcome.REJECTED, None),
        ("safe", Outcome.RESET, None),
    ],
)
def test_a_retry_states_the_time_before_which_it_has_to_be_sent(
    cls: str, outcome: Outcome, window_us: int | None
) -> None:
    dispatcher = Dispatcher(settings(), 1, 0)
    (first,) = sends(
        dispatcher.handle(0, [EndpointListReceived(EndpointListKind.SAVED, ENTRIES[:1]), ask("m", cls=cls)])
    )
    assert first.send_before_us == NEVER_US
    retries, now_us = sends(dispatcher.handle(50 * MS, [end(first, outcome)])), 50 * MS
    while not retries:
        now_us += 10 * MS
        retries = sends(dispatcher.handle(now_us, []))
    assert retries[0].send_before_us == (NEVER_US if window_us is None else window_us)
    assert now_us < 2 * S


def test_a_clock_that_was_set_back_does_not_cause_a_second_run() -> None:
    """An at-most-once message must not be sent again, even if its first attempt has a time in the future."""
    dispatcher = Dispatcher(settings(), 1, 0)
    actions = dispatcher.handle(
        0,
        [
            EndpointListReceived(EndpointListKind.SAVED, ENTRIES[:1]),
            MessageRecovered(
                "m",
                10,
                dispatcher.message_table.classes["once"],
                6 * S,
                None,
                None,
                1,
                3600 * S,
                ENTRIES[0].endpoint,
                False,
            ),
        ],
    )
    assert not sends(actions)
    assert [type(action) for action in finals(actions)] == [FailMessage]
