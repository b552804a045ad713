"""Actions that the dispatcher returns; the caller carries them out in order. Times are integers in microseconds."""

from __future__ import annotations

from dataclasses import dataclass

from forwarder.decisions.hold_reason import HoldReason
from forwarder.units import NEVER_US


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a message to an endpoint. The attempts of a message are numbered from 0 in the order of these actions."""

    message_id: str
    endpoint: int
    timeout_us: int
    """Duration after which the attempt ends as timed out."""
    send_before_us: int = NEVER_US
    """Time from which nothing may be sent: the retry window of a message that may have run ends then."""


@dataclass(frozen=True, slots=True)
class RejectMessage:
    """Return a message to its client, which may submit it again."""

    message_id: str
    retry_after_us: int
    """How long the client is asked to wait; 0 if the answer has no Retry-After."""
    hold_reason: HoldReason | None = None
    """What held the message last; None if nothing did."""


@dataclass(frozen=True, slots=True)
class FailMessage:
    """End a message as failed: it may have run and must not be submitted again."""

    message_id: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """End an attempt in flight as canceled."""

    message_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Send a health check to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a TimerFired event, and thus a round, after a delay. Timers that were set earlier remain."""

    delay_us: int
    token: str


@dataclass(frozen=True, slots=True)
class RequestEndpointList:
    """Request the endpoint list; an EndpointListReceived event is the answer."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class EjectionChanged:
    """Store an endpoint's ejection, or the start of its recovery, for use after a restart."""

    endpoint: int
    ejected_at_us: int
    """-1 if the endpoint was not ejected after all."""
    recovering_since_us: int = -1
    """-1 while it is ejected."""


@dataclass(frozen=True, slots=True)
class KeyBackoffStarted:
    """Store the end of a key's backoff for use after a restart: an earlier attempt may still run."""

    key: str
    until_us: int


class ExtensionAction:
    """Base class of the actions of optional extensions; only the extension carries them out."""

    __slots__ = ()


Action = (
    SendAttempt
    | RejectMessage
    | FailMessage
    | CancelAttempt
    | CheckHealth
    | CloseIdleConnections
    | SetTimer
    | RequestEndpointList
    | EjectionChanged
    | KeyBackoffStarted
    | LogLine
    | ExtensionAction
)
"""Every action that `Dispatcher.handle` returns."""
