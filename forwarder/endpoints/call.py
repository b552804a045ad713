"""Data types for a call to an endpoint: its messages, its state while in flight and its result."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from forwarder.decisions.outcomes import Outcome
from forwarder.units import NEVER_US

if TYPE_CHECKING:
    from forwarder.endpoints.connection import EndpointConnection


class AttemptKey(NamedTuple):
    """Identifies one attempt of one message."""

    message_id: str
    attempt: int


class LimitScopeKey(NamedTuple):
    """Identifies the scope of a rate limit: a whole destination or one of its endpoints."""

    destination: int
    endpoint: int
    """Number of the endpoint; `ALL_ENDPOINTS` if the whole destination shares the limit."""


ALL_ENDPOINTS = -1


@dataclass(slots=True)
class CallItem:
    """One message of a call. Times are microseconds of the forwarder's clock."""

    id: str
    attempt: int
    key: str | None
    body: bytes
    timeout_at_us: int
    """Time at which the attempt times out if the call carries no other message."""
    due_us: int
    """The deadline, by which the message must have ended."""
    idempotency_key: str | None = None
    send_before_us: int = NEVER_US
    """Time from which the message may no longer be sent."""

    @property
    def batch_key(self) -> str | None:
        """The key in a call with several messages, by which endpoints recognize repeated messages."""
        return self.idempotency_key or self.key

    @property
    def attempt_key(self) -> AttemptKey:
        """The key of the attempt."""
        return AttemptKey(self.id, self.attempt)


@dataclass(slots=True)
class EndpointCall:
    """One HTTP request to an endpoint, which carries one message or several."""

    endpoint: int
    limit_scope: LimitScopeKey
    sent_us: int
    items: list[CallItem]
    timeout_at_us: int = 0
    connection: EndpointConnection | None = None
    timeout_timer: asyncio.TimerHandle | None = None
    stall_timer: asyncio.TimerHandle | None = None
    written: bool = False
    """Whether the last byte of the request was handed to the socket, after which the call may have run."""
    batched: bool = False
    """Whether the request was written in the form for several messages."""
    open_items: dict[str, CallItem] = field(default_factory=dict)
    """The messages whose attempts have not ended, by id."""

    def cancel_timers(self) -> None:
        """Cancels the time-out timer and the timer for a stalled answer."""
        for timer in (self.timeout_timer, self.stall_timer):
            if timer is not None:
                timer.cancel()
        self.timeout_timer = None
        self.stall_timer = None


@dataclass(frozen=True, slots=True)
class CallResult:
    """The result of one attempt of a message."""

    outcome: Outcome
    is_final: bool = False
    """Whether the endpoint has reported that the message has ended and may not be sent again."""
    retry_after_us: int = 0
    """Duration of the Retry-After in the answer; 0 if there was none."""
