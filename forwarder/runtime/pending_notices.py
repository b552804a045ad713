"""The notices that the platform has not acknowledged yet, as the notifier sees them."""

from __future__ import annotations

from collections.abc import Callable

from forwarder.decisions.events import Event, NoticeAcknowledged
from forwarder.runtime.invariants import Invariants
from forwarder.storage.clock import AnchoredClock
from forwarder.storage.messages import PendingNotice
from forwarder.storage.store import MessageStore


class PendingNotices:
    """Gives the notifier the stored notices that may be sent now, and records their acknowledgement."""

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
            message_id: notice
            for message_id, notice in self.store.pending_notices.items()
            if self.invariants.may_notify(message_id, now_us) is None
        }

    def acknowledge_notices(self, message_ids: list[str]) -> None:
        """Records that the platform has acknowledged the notices of these messages."""
        for message_id in message_ids:
            notice = self.store.pending_notices.get(message_id)
            if notice is not None and notice.key is not None:
                self.post(NoticeAcknowledged(message_id, notice.key))
            self.store.acknowledge_notice(message_id)
        self.store.flush()
