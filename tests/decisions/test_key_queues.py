"""Tests of forwarder.decisions.key_queues, driven through a dispatcher."""

from __future__ import annotations

from forwarder.decisions.actions import (
    KeyBackoffStarted,
    SendAttempt,
)
from forwarder.decisions.context import RoundContext
from forwarder.decisions.events import (
    MessageRecovered,
    MessageWithdrawn,
)
from forwarder.decisions.hold_reason import HoldReason
from forwarder.decisions.key_queues import DISCARD_INTERVAL_US, KeyQueues
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.timer_queue import TimerQueue
from tests.decisions.builders import DESTINATION, make_context, make_message
from tests.decisions.fleets import CLASSES, ONE_ENDPOINT, run_timers
from tests.scripts import MS, S, ask, end, finals, sends, started


def test_messages_of_a_key_are_sent_one_at_a_time_in_order_with_a_backoff_after_a_timeout() -> None:
    dispatcher = started()
    first = ask("a", 10, "turns", 9 * S, key="k")
    second = ask("b", 11, "turns", 9 * S, key="k")
    attempts = sends(dispatcher.handle(0, [first, second]))
    assert [send.message_id for send in attempts] == ["a"]
    dispatcher.handle(2 * S, [end(attempts[0], Outcome.TIMED_OUT, took=2 * S), MessageWithdrawn("a")])
    later_us = [
        now_us for now_us, action in run_timers(dispatcher, 2 * S + MS, 3 * S) if isinstance(action, SendAttempt)
    ]
    assert later_us
    assert later_us[0] >= 2 * S + 300 * MS


def test_a_key_backs_off_after_a_restart_interrupted_its_attempt() -> None:
    dispatcher = started(ONE_ENDPOINT)
    actions = dispatcher.handle(
        0,
        [
            MessageRecovered("a", 10, CLASSES["turns"], 8 * S, "k", None, 6, 0, 1, True),
            ask("b", cls="turns", due=8 * S, key="k"),
        ],
    )
    assert [action.message_id for action in finals(actions)] == ["a"]
    assert not sends(actions)
    later_us = [now_us for now_us, action in run_timers(dispatcher, 20 * MS, 2 * S) if isinstance(action, SendAttempt)]
    assert later_us
    assert later_us[0] >= 300 * MS


def make_key_queues(context: RoundContext, *message_ids: str) -> KeyQueues:
    key_queues = KeyQueues(context, TimerQueue())
    for number, message_id in enumerate(message_ids, 1):
        key_queues.queue("k").messages.append(make_message(message_id, "turns", number, "k"))
    return key_queues


def test_only_the_first_message_of_a_key_may_be_sent() -> None:
    key_queues = make_key_queues(make_context(), "first", "second")
    first, second = key_queues.by_key["k"].messages

    assert key_queues.hold_reason(first) is None
    assert key_queues.hold_reason(second) is HoldReason.KEY_ORDER


def test_a_pending_notice_of_an_earlier_message_blocks_its_key() -> None:
    context = make_context()
    key_queues = make_key_queues(context, "first", "second")
    first, second = key_queues.by_key["k"].messages
    key_queues.await_notice(first)
    key_queues.remove(first)
    assert key_queues.hold_reason(second) is HoldReason.KEY_ORDER

    context.due_destinations.clear()
    key_queues.acknowledge_notice("k", "first")

    assert key_queues.hold_reason(second) is None
    assert context.due_destinations == {DESTINATION}


def test_a_backoff_is_reported_once_and_holds_first_attempts_only() -> None:
    context = make_context(key_backoff_us=300 * MS)
    key_queues = make_key_queues(context, "first")
    [message] = key_queues.by_key["k"].messages
    key_queues.back_off("k")
    key_queues.back_off("k")

    assert context.actions == [KeyBackoffStarted("k", 300 * MS)]
    assert key_queues.hold_reason(message) is HoldReason.KEY_BACKOFF
    message.attempts = 1
    assert key_queues.hold_reason(message) is None


def test_unused_queues_are_discarded_once_their_backoff_is_over() -> None:
    context = make_context()
    key_queues = make_key_queues(context, "first")
    key_queues.restore_backoff("short", DISCARD_INTERVAL_US)
    key_queues.restore_backoff("long", 2 * DISCARD_INTERVAL_US)

    context.now_us = DISCARD_INTERVAL_US
    key_queues.discard_unused()

    assert set(key_queues.by_key) == {"k", "long"}
