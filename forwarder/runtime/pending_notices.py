"""The notices that the platform has not acknowledged yet, as the notifier sees them."""

from __future__ import annotations

from collections.abc import Callable

from forwarder.decisions.events import Event, NoticeAcknowledged
from forwarder.runtime.invariants import Invariants
from forwarder.storage.clock import AnchoredClock
from forwarder.storage.messages import PendingNotice
from forwarder.storage.store import MessageStore


class PendingNotices:
    """Stands between the store and the notifier: only what may be told now is told."""

    def __init__(
        self, store: MessageStore, invariants: Invariants, clock: AnchoredClock, post: Callable[[Event], None]
    ) -> None:
        self.store = store
        self.invariants = invariants
        self.clock = clock
        self.post = post

    def pending_notices(self) -> dict[str, PendingNotice]:
        """Returns the notices that may be sent now, by message id."""
        now_us = self.clock()
        return {
            name: end
            for name, end in self.store.pending_notices.items()
            if self.invariants.may_notify(name, now_us) is None
        }

    def acknowledge_notices(self, names: list[str]) -> None:
        """Records that the platform has acknowledged the notices of these messages."""
        for name in names:
            end = self.store.pending_notices.get(name)
            if end is not None and end.key is not None:
                self.post(NoticeAcknowledged(name, end.key))
            self.store.acknowledge_notice(name)
        self.store.flush()
