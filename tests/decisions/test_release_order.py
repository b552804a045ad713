"""Tests of forwarder.decisions.release_order, driven through a dispatcher."""

from __future__ import annotations

from forwarder.decisions.outcomes import Outcome
from tests.scripts import MS, S, ask, end, sends, started


def test_messages_are_sent_by_deadline_group_and_then_by_shortest_expected_call() -> None:
    dispatcher = started(slots=1)
    first = sends(dispatcher.handle(0, [ask("warm", 11)]))[0]
    dispatcher.handle(900 * MS, [end(first, Outcome.DELIVERED, took=900 * MS)])  # destination 11 is slow
    first = sends(dispatcher.handle(901 * MS, [ask("busy")]))[0]
    dispatcher.handle(902 * MS, [ask("long", 11, due=6 * S), ask("short", 12, due=7 * S), ask("far", 12, due=30 * S)])
    order = []
    for n in range(3):
        send = sends(dispatcher.handle(903 * MS + n, [end(first, Outcome.DELIVERED, took=MS)]))[0]
        order.append(send.message_id)
        first = send
    assert order == ["short", "long", "far"]
