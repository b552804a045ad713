"""The state that is kept of each message: until it ends, and until its end is acknowledged."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from forwarder.decisions.settings import Effect, MessageClass

RECORD_OVERHEAD_BYTES = 400
"""What the records of an accepted message may take in a snapshot beside its body and ids."""


class AttemptInFlight(NamedTuple):
    """An attempt that was started and whose outcome is not recorded."""

    started_us: int
    endpoint: str


class PendingNotice(NamedTuple):
    """A message's end that the platform has not acknowledged; the next message of its key waits for that."""

    state: str
    retry_after_ms: int
    key: str | None


class Ejection(NamedTuple):
    """When an endpoint was ejected, and since when it recovers; -1 while it is still ejected."""

    ejected_at_us: int
    recovering_since_us: int


@dataclass(slots=True)
class AcceptedMessage:
    """A message that was accepted and has not ended, with all that is needed to deliver it after a restart."""

    id: str
    message_class: MessageClass
    destination: int
    due_us: int
    key: str | None
    tenant: str | None
    body: bytes
    attempts: int = 0
    """Attempts that were started, those that failed locally among them."""
    local_failures: set[int] = field(default_factory=set)
    """Numbers of the attempts that this machine could not make: they do not count as attempts at an endpoint."""
    maybe_ran_at_us: int = -1
    """When the first attempt that may have taken effect was started; -1 if none may have."""
    maybe_ran_on: str = ""
    """The endpoint of that attempt."""
    in_flight: dict[int, AttemptInFlight] = field(default_factory=dict)
    """Attempts without a recorded outcome, by number."""
    idempotency_key: str | None = None
    is_doubtful: bool = False
    """Records were lost after it was accepted: it may have taken effect, and it may have ended."""

    @property
    def local_failure_count(self) -> int:
        """How many attempts this machine could not make."""
        return len(self.local_failures)

    @property
    def stored_bytes(self) -> int:
        """An upper estimate of what the message takes in a snapshot."""
        return len(self.body) + len(self.id) + len(self.idempotency_key or "") + RECORD_OVERHEAD_BYTES

    def start_attempt(self, number: int, started_us: int, endpoint: str) -> None:
        """Adds an attempt in flight."""
        self.in_flight[number] = AttemptInFlight(started_us, endpoint)
        self.attempts = max(self.attempts, number + 1)

    def end_attempt(self, number: int, may_have_run: bool) -> None:
        """Removes an attempt in flight, and remembers the earliest one that may have taken effect."""
        attempt = self.in_flight.pop(number, None)
        if attempt is None or not may_have_run:
            return
        if self.maybe_ran_at_us < 0 or attempt.started_us < self.maybe_ran_at_us:
            self.maybe_ran_at_us = attempt.started_us
            self.maybe_ran_on = attempt.endpoint

    def fail_attempt_locally(self, number: int) -> None:
        """Removes an attempt in flight that this machine could not make."""
        self.in_flight.pop(number, None)
        self.local_failures.add(number)


def may_resend_after_loss(message_class: MessageClass) -> bool:
    """Returns whether a message that may have taken effect, and may have ended, may be sent again all the same."""
    return message_class.effect is Effect.REPEATABLE
