"""What an optional extension adds to the dispatcher's decisions."""

from __future__ import annotations

from typing import Protocol

from forwarder.decisions.events import ExtensionEvent
from forwarder.decisions.outcomes import Outcome


class DecisionExtension(Protocol):
    """What a part that is turned on decides with, joined to the Dispatcher by its `parts`."""

    def apply_event(self, event: ExtensionEvent) -> None:
        """Take in an event; those of other parts are passed over."""

    def on_outcome(self, target: int, outcome: Outcome) -> None:
        """One message or stream has its outcome at a target."""

    def before_release(self) -> None:
        """Decide once a round what the messages' release has to heed."""

    def after_release(self) -> None:
        """Decide once a round, after the messages."""
