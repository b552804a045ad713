"""The interface of optional extensions of the dispatcher."""

from __future__ import annotations

from typing import Protocol

from forwarder.decisions.events import ExtensionEvent
from forwarder.decisions.outcomes import Outcome


class DecisionExtension(Protocol):
    """The decisions of an optional extension, called by the dispatcher in whose `extensions` it is."""

    def apply_event(self, event: ExtensionEvent) -> None:
        """Takes in an event; ignores those of other extensions."""

    def on_outcome(self, endpoint_id: int, outcome: Outcome) -> None:
        """Takes in the outcome of a message or a stream at an endpoint."""

    def before_release(self) -> None:
        """Decides, once a round, what the release of messages depends on."""

    def after_release(self) -> None:
        """Decides, once a round, after the release of messages."""
