"""The interface of optional extensions of the dispatcher."""

from __future__ import annotations

from typing import Protocol

from forwarder.decisions.events import ExtensionEvent
from forwarder.decisions.outcomes import Outcome


class DecisionExtension(Protocol):
    """The decisions of an optional extension. A dispatcher calls each entry of its `extensions`."""

    def apply_event(self, event: ExtensionEvent) -> None:
        """Applies an event; ignores events of other extensions."""

    def on_outcome(self, endpoint_id: int, outcome: Outcome) -> None:
        """Handles the outcome of a message or a stream at an endpoint."""

    def before_release(self) -> None:
        """Runs once per round, and decides what the release of messages depends on."""

    def after_release(self) -> None:
        """Runs once per round, after the release of messages."""
