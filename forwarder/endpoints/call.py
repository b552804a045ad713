"""The records of a call to an endpoint: its messages, its state while it is in flight, and how it ended."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from forwarder.decisions.outcomes import Outcome
from forwarder.units import NEVER_US

if TYPE_CHECKING:
    from forwarder.endpoints.connection import EndpointConnection


class AttemptKey(NamedTuple):
    """Names one attempt of one message."""

    message_id: str
    attempt: int


class LimitScopeKey(NamedTuple):
    """Names what shares a rate limit: a whole destination, or one endpoint of it."""

    destination: int
    endpoint: int
    """The endpoint's number; `ALL_ENDPOINTS` where the whole destination shares the limit."""


ALL_ENDPOINTS = -1


@dataclass(slots=True)
class CallItem:
    """One message of a call. Times are microseconds of the forwarder's clock."""

    id: str
    attempt: int
    key: str | None
    body: bytes
    timeout_at_us: int
    """When its attempt times out, if it is alone in its call."""
    due_us: int
    """Its deadline: by then the message must have its end."""
    idempotency_key: str | None = None
    send_before_us: int = NEVER_US
    """It may not be sent at this time or later."""

    @property
    def batch_key(self) -> str | None:
        """Its key in a call with several messages: endpoints recognize repeats by it."""
        return self.idempotency_key or self.key

    @property
    def attempt_key(self) -> AttemptKey:
        """The name of its attempt."""
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
    """Whether the last byte of the request was handed to the socket: from then on the call may have run."""
    batched: bool = False
    """Whether the request was written in the form for several messages."""
    open_items: dict[str, CallItem] = field(default_factory=dict)
    """The messages whose attempts have not ended, by id."""

    def cancel_timers(self) -> None:
        """Stops waiting for the time-out, and for an answer that has stalled."""
        for timer in (self.timeout_timer, self.stall_timer):
            if timer is not None:
                timer.cancel()
        self.timeout_timer = None
        self.stall_timer = None


@dataclass(frozen=True, slots=True)
class CallResult:
    """How an attempt of one message ended."""

    outcome: Outcome
    is_final: bool = False
    """Whether the endpoint has said that the message is over, and may not be sent again."""
    retry_after_us: int = 0
    """How long the endpoint asked to be left alone; 0 where it did not."""
