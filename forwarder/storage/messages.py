"""The state that is stored for each message until it ends, and then until its end is acknowledged."""

from __future__ import annotations

from dataclasses import dataclass, field
from json.encoder import encode_basestring_ascii
from typing import NamedTuple, Protocol

from forwarder.decisions.settings import Effect, MessageClass

RECORD_OVERHEAD_BYTES = 600
"""Bound on the size of an accepted message's record apart from its body and strings, with its attempts."""


class StorableMessage(Protocol):
    """The fields of a message that determine its size on disk."""

    @property
    def id(self) -> str:
        """The message's id."""

    @property
    def message_class(self) -> MessageClass:
        """Its class, all of which is stored."""

    @property
    def key(self) -> str | None:
        """Its key, in classes that keep their order."""

    @property
    def tenant(self) -> str | None:
        """The account that it belongs to."""

    @property
    def idempotency_key(self) -> str | None:
        """Its client's key against repetitions."""

    @property
    def body(self) -> bytes:
        """Its body."""


def json_string_bytes(text: str | None) -> int:
    """Returns the size of a string in JSON, with its quotes and escapes."""
    return len(encode_basestring_ascii(text)) if text else 0


def stored_message_bytes(message: StorableMessage) -> int:
    """Returns a bound on the disk space of a message: of its record, or of its end's records once it has ended.

    The id counts twice: a message that ends with a notice has it in the notice and among the ended ids.
    """
    return (
        RECORD_OVERHEAD_BYTES
        + len(message.body)
        + 2 * json_string_bytes(message.id)
        + json_string_bytes(message.message_class.name)
        + json_string_bytes(message.key)
        + json_string_bytes(message.tenant)
        + json_string_bytes(message.idempotency_key)
    )


class AttemptInFlight(NamedTuple):
    """A started attempt without a recorded outcome."""

    started_us: int
    endpoint: str


class PendingNotice(NamedTuple):
    """The end of a message that the platform has not acknowledged; the next message of its key waits for that."""

    state: str
    retry_after_ms: int
    key: str | None


class Ejection(NamedTuple):
    """The times when an endpoint was ejected and when its recovery started; the latter is -1 while it is ejected."""

    ejected_at_us: int
    recovering_since_us: int


@dataclass(slots=True)
class AcceptedMessage:
    """An accepted message that has not ended, with everything needed to deliver it after a restart."""

    id: str
    message_class: MessageClass
    destination: int
    due_us: int
    key: str | None
    tenant: str | None
    body: bytes
    attempts: int = 0
    """The number of started attempts, including those that failed locally."""
    local_failures: set[int] = field(default_factory=set)
    """Numbers of the attempts that failed on this machine; they do not count as attempts at an endpoint."""
    maybe_ran_at_us: int = -1
    """The start time of the first attempt that may have taken effect; -1 if there is none."""
    maybe_ran_on: str = ""
    """The endpoint of that attempt."""
    in_flight: dict[int, AttemptInFlight] = field(default_factory=dict)
    """Attempts without a recorded outcome, by number."""
    idempotency_key: str | None = None
    is_doubtful: bool = False
    """Whether records were lost after the message was accepted, so that it may have taken effect or ended."""

    @property
    def local_failure_count(self) -> int:
        """The number of attempts that failed on this machine."""
        return len(self.local_failures)

    @property
    def has_surely_not_run(self) -> bool:
        """Whether no attempt may have taken effect, or may still."""
        return not self.in_flight and self.maybe_ran_at_us < 0 and not self.is_doubtful

    @property
    def stored_bytes(self) -> int:
        """An upper bound on the size of the message in a snapshot."""
        return stored_message_bytes(self)

    def start_attempt(self, number: int, started_us: int, endpoint: str) -> None:
        """Adds an attempt in flight."""
        self.in_flight[number] = AttemptInFlight(started_us, endpoint)
        self.attempts = max(self.attempts, number + 1)

    def end_attempt(self, number: int, may_have_run: bool) -> None:
        """Removes an attempt in flight, and records the earliest one that may have taken effect."""
        attempt = self.in_flight.pop(number, None)
        if attempt is None or not may_have_run:
            return
        if self.maybe_ran_at_us < 0 or attempt.started_us < self.maybe_ran_at_us:
            self.maybe_ran_at_us = attempt.started_us
            self.maybe_ran_on = attempt.endpoint

    def fail_attempt_locally(self, number: int) -> None:
        """Removes an attempt in flight that failed on this machine."""
        self.in_flight.pop(number, None)
        self.local_failures.add(number)


def may_resend_after_loss(message_class: MessageClass) -> bool:
    """Returns whether a message may be sent again although it may have taken effect or ended."""
    return message_class.effect is Effect.REPEATABLE
