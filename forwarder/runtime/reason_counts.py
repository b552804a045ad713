"""Counts why connections were closed, calls retried and submissions rejected, and logs that once a second at most.

Under load, a line for each event would cost more than the event. A line for each reason and second, with the number of
events and the last request or peer concerned, still says what happened to whom, and when.
"""

from __future__ import annotations

import enum
import logging
from dataclasses import dataclass

log = logging.getLogger("forwarder.reasons")
MAX_REASONS = 200
"""Reasons that are counted apart; further ones are counted under OTHER_REASON."""
OTHER_REASON = "other"


class Subject(enum.Enum):
    """What a reason is given for. The values are what the log says."""

    CLIENT_CLOSED = "client closed"
    ENDPOINT_CLOSED = "endpoint closed"
    RETRY = "retry"
    REFUSAL = "refusal"
    HELD_BACK = "held back"
    READ_LATE = "read late"
    VIOLATION = "violation"


@dataclass(slots=True)
class ReasonCount:
    """How often a reason was given: since the start, and since it was last logged."""

    total: int = 0
    unlogged: int = 0
    last: str = ""
    """The request, peer or endpoint that it was given for last."""


class ReasonCounts:
    """The counts of one process."""

    def __init__(self) -> None:
        self.counts: dict[tuple[Subject, str], ReasonCount] = {}

    def note(self, subject: Subject, reason: str, whom: str = "") -> None:
        """Counts one event. A violation of an invariant is logged at once, and as an error.

        Args:
            subject: what the reason is given for.
            reason: one of few texts, without what differs from event to event.
            whom: the request, peer or endpoint concerned.
        """
        key = (subject, reason)
        if key not in self.counts and len(self.counts) >= MAX_REASONS:
            key = (subject, OTHER_REASON)
        count = self.counts.setdefault(key, ReasonCount())
        count.total += 1
        count.last = whom
        if subject is Subject.VIOLATION:
            log.error("violation: reason=%s whom=%s total=%d", reason, whom, count.total)
        else:
            count.unlogged += 1

    def report(self) -> None:
        """Logs what was counted since the last report: one line for each reason."""
        for (subject, reason), count in self.counts.items():
            if count.unlogged:
                log.info("%s: reason=%s count=%d last=%s", subject.value, reason, count.unlogged, count.last)
                count.unlogged = 0

    def total(self, subject: Subject) -> int:
        """Returns the number of events of one subject since the start."""
        return sum(count.total for (about, _), count in self.counts.items() if about is subject)

    def summary(self, subject: Subject) -> str:
        """Returns the reasons of one subject with their totals, the most frequent first."""
        totals = [(count.total, reason) for (about, reason), count in self.counts.items() if about is subject]
        return ", ".join(f"{reason} {total}" for total, reason in sorted(totals, reverse=True)) or "none"
