"""Tests of forwarder.decisions.held_messages."""

from __future__ import annotations

from forwarder.decisions.held_messages import HeldMessages
from tests.decisions.builders import DESTINATION, make_message


def test_a_destination_is_kept_only_while_a_message_is_held_for_it() -> None:
    held = HeldMessages()
    message = make_message()

    held.add(message)
    assert held.by_destination == {DESTINATION: {message.sequence_number: message}}

    held.remove(message)
    held.remove(message)
    assert held.by_destination == {}
