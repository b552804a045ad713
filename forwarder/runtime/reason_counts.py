"""Why connections were closed, calls retried and requests refused: counted, and logged once a second at most.

A line an event would cost more than the event under load; a line a reason and second, with the number of events and the
last request or peer concerned, still says what happened to whom, and when.
"""

from __future__ import annotations

import enum
import logging
from dataclasses import dataclass

log = logging.getLogger("forwarder.reasons")
MOST_REASONS = 200
"""Different reasons that are kept apart; further ones are counted under OTHER_REASON."""
OTHER_REASON = "other"


class Subject(enum.Enum):
    """What a reason is given for."""

    CLIENT_CLOSED = "client closed"
    ENDPOINT_CLOSED = "endpoint closed"
    RETRY = "retry"
    REFUSAL = "refusal"
    HELD_BACK = "held back"
    VIOLATION = "violation"


@dataclass(slots=True)
class Count:
    """How often a reason was given: since the start, and since it was last logged."""

    total: int = 0
    unlogged: int = 0
    last: str = ""
    """The request, peer or endpoint that it was given for last."""


class ReasonCounts:
    """Counts reasons of one process."""

    def __init__(self) -> None:
        self.counts: dict[tuple[Subject, str], Count] = {}

    def note(self, subject: Subject, reason: str, whom: str = "") -> None:
        """One event. A violation of a rule is logged at once, and as an error."""
        key = (subject, reason)
        if key not in self.counts and len(self.counts) >= MOST_REASONS:
            key = (subject, OTHER_REASON)
        count = self.counts.setdefault(key, Count())
        count.total += 1
        count.last = whom
        if subject is Subject.VIOLATION:
            log.error("violation: reason=%s whom=%s total=%d", reason, whom, count.total)
        else:
            count.unlogged += 1

    def report(self) -> None:
        """Log what was noted since the last report: one line a reason."""
        for (subject, reason), count in self.counts.items():
            if count.unlogged:
                log.info("%s: reason=%s count=%d last=%s", subject.value, reason, count.unlogged, count.last)
                count.unlogged = 0

    def total(self, subject: Subject) -> int:
        """All events of one kind since the start."""
        return sum(count.total for (about, _), count in self.counts.items() if about is subject)

    def summary(self, subject: Subject) -> str:
        """The reasons of one kind with their totals, the most frequent first."""
        rows = sorted(
            ((count.total, reason) for (about, reason), count in self.counts.items() if about is subject), reverse=True
        )
        return ", ".join(f"{reason} {total}" for total, reason in rows) or "none"
