"""Tests of forwarder.decisions.key_queues, driven through a dispatcher."""

from __future__ import annotations

from forwarder.decisions.actions import (
    SendAttempt,
)
from forwarder.decisions.events import (
    MessageRecovered,
    MessageWithdrawn,
)
from forwarder.decisions.outcomes import Outcome
from tests.decisions.fleets import CLASSES, ONE_ENDPOINT, run_timers
from tests.scripts import MS, S, ask, end, finals, sends, started


def test_messages_of_a_key_go_one_at_a_time_in_order_with_a_backoff_after_a_timeout() -> None:
    dispatcher = started()
    one = ask("a", 10, "turns", 9 * S, key="k")
    two = ask("b", 11, "turns", 9 * S, key="k")
    out = sends(dispatcher.handle(0, [one, two]))
    assert [s.message_id for s in out] == ["a"]
    dispatcher.handle(2 * S, [end(out[0], Outcome.TIMED_OUT, took=2 * S), MessageWithdrawn("a")])
    got = [t for t, a in run_timers(dispatcher, 2 * S + MS, 3 * S) if isinstance(a, SendAttempt)]
    assert got
    assert got[0] >= 2 * S + 300 * MS


def test_key_backs_off_after_a_restart_interrupted_its_attempt() -> None:
    dispatcher = started(ONE_ENDPOINT)
    actions = dispatcher.handle(
        0,
        [
            MessageRecovered("a", 10, CLASSES["turns"], 8 * S, "k", None, 6, 0, 1, True),
            ask("b", cls="turns", due=8 * S, key="k"),
        ],
    )
    assert [a.message_id for a in finals(actions)] == ["a"]
    assert not sends(actions)
    got = [t for t, a in run_timers(dispatcher, 20 * MS, 2 * S) if isinstance(a, SendAttempt)]
    assert got
    assert got[0] >= 300 * MS
