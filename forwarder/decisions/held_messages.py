"""The messages that wait for an attempt, by destination."""

from __future__ import annotations

from dataclasses import dataclass, field

from forwarder.decisions.records import Message


@dataclass(slots=True)
class HeldMessages:
    """Messages without an attempt in flight, by destination and sequence number."""

    by_destination: dict[int, dict[int, Message]] = field(default_factory=dict)
    """Only destinations with at least one held message."""

    def add(self, message: Message) -> None:
        """Adds a message."""
        self.by_destination.setdefault(message.destination, {})[message.sequence_number] = message

    def remove(self, message: Message) -> None:
        """Removes a message; does nothing if it is not held."""
        messages = self.by_destination.get(message.destination, {})
        messages.pop(message.sequence_number, None)
        if not messages:
            self.by_destination.pop(message.destination, None)
