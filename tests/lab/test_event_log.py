"""Tests of a message's history in the event log."""

from __future__ import annotations

from lab.event_log import message_history
from tests.lab.events import delivered


def test_message_history_has_all_ids_of_the_arrival() -> None:
    events = [*delivered("a", number=3), *delivered("b", 2.0, 2, number=3), *delivered("c", 3.0, 3, number=4)]
    assert {e.id for e in message_history(events, "b")} == {"a", "b"}
    assert message_history(events, "x") == []
