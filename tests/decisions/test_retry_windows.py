"""Until when what has failed may be sent again."""

from __future__ import annotations

import pytest

from forwarder.decisions.actions import FailMessage
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import EndpointListKind, EndpointListReceived, MessageRecovered
from forwarder.decisions.outcomes import Outcome
from forwarder.units import NEVER_US
from tests.scripts import ENTRIES, MS, S, ask, end, finals, sends, settings


@pytest.mark.parametrize(
    ("cls", "outcome", "window"),
    [
        ("keyed", Outcome.RESET, 3 * S),
        ("zoned", Outcome.TIMED_OUT, 3 * S),
        ("keyed", Outcome.REJECTED, None),
        ("safe", Outcome.RESET, None),
    ],
)
def test_a_retry_says_by_when_it_has_to_be_sent(cls: str, outcome: Outcome, window: int | None) -> None:
    d = Dispatcher(settings(), 1, 0)
    (first,) = sends(d.handle(0, [EndpointListReceived(EndpointListKind.SAVED, ENTRIES[:1]), ask("m", cls=cls)]))
    assert first.send_before_us == NEVER_US
    again, now = sends(d.handle(50 * MS, [end(first, outcome)])), 50 * MS
    while not again:
        now += 10 * MS
        again = sends(d.handle(now, []))
    assert again[0].send_before_us == (NEVER_US if window is None else window)
    assert now < 2 * S


def test_a_clock_that_was_set_back_lets_nothing_run_twice() -> None:
    """Its first attempt was sent at a time that is still to come: what must not run twice has no time to go again."""
    d = Dispatcher(settings(), 1, 0)
    actions = d.handle(
        0,
        [
            EndpointListReceived(EndpointListKind.SAVED, ENTRIES[:1]),
            MessageRecovered(
                "m", 10, d.message_table.classes["once"], 6 * S, None, None, 1, 3600 * S, ENTRIES[0].endpoint, False
            ),
        ],
    )
    assert not sends(actions)
    assert [type(a) for a in finals(actions)] == [FailMessage]
