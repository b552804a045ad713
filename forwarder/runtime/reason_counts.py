"""Counts why connections were closed, calls retried and submissions rejected, and logs it at most once a second.

Under load, a line for each event would cost more than the event itself. One line per reason and second, with the number
of events and the last request or peer concerned, still shows what happened, to whom and when.
"""

from __future__ import annotations

import enum
import logging
from dataclasses import dataclass

log = logging.getLogger("forwarder.reasons")
MAX_REASONS = 200
"""Maximum number of reasons that are counted separately; further ones are counted under OTHER_REASON."""
OTHER_REASON = "other"


class Subject(enum.Enum):
    """The kind of event that a reason is given for. The values are logged."""

    CLIENT_CLOSED = "client closed"
    ENDPOINT_CLOSED = "endpoint closed"
    RETRY = "retry"
    REFUSAL = "refusal"
    HELD_BACK = "held back"
    READ_LATE = "read late"
    VIOLATION = "violation"


@dataclass(slots=True)
class ReasonCount:
    """How often a reason was given, since the start and since it was last logged."""

    total: int = 0
    unlogged: int = 0
    last: str = ""
    """The request, peer or endpoint of the latest event."""


class ReasonCounts:
    """The counts of one process."""

    def __init__(self) -> None:
        self.counts: dict[tuple[Subject, str], ReasonCount] = {}

    def note(self, subject: Subject, reason: str, affected: str = "") -> None:
        """Counts one event. A violation of an invariant is logged at once as an error.

        Args:
            subject: the kind of event.
            reason: one of a small set of texts, without details that differ from event to event.
            affected: the request, peer or endpoint concerned.
        """
        key = (subject, reason)
        if key not in self.counts and len(self.counts) >= MAX_REASONS:
            key = (subject, OTHER_REASON)
        count = self.counts.setdefault(key, ReasonCount())
        count.total += 1
        count.last = affected
        if subject is Subject.VIOLATION:
            log.error("violation: reason=%s whom=%s total=%d", reason, affected, count.total)
        else:
            count.unlogged += 1

    def report(self) -> None:
        """Logs the counts since the last report, one line per reason."""
        for (subject, reason), count in self.counts.items():
            if count.unlogged:
                log.info("%s: reason=%s count=%d last=%s", subject.value, reason, count.unlogged, count.last)
                count.unlogged = 0

    def total(self, subject: Subject) -> int:
        """Returns the number of events of one subject since the start."""
        return sum(count.total for (counted_subject, _), count in self.counts.items() if counted_subject is subject)

    def summary(self, subject: Subject) -> str:
        """Returns the reasons of one subject with their totals, the most frequent first."""
        totals = [
            (count.total, reason)
            for (counted_subject, reason), count in self.counts.items()
            if counted_subject is subject
        ]
        return ", ".join(f"{reason} {total}" for total, reason in sorted(totals, reverse=True)) or "none"
