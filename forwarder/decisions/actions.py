"""Actions that the dispatcher returns, to be carried out in order. Times are integers in microseconds."""

from __future__ import annotations

from dataclasses import dataclass

from forwarder.decisions.hold_reason import HoldReason
from forwarder.units import NEVER_US


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a message to an endpoint. A message's attempts count from 0 in the order of these actions."""

    message_id: str
    endpoint: int
    timeout_us: int
    """After this the attempt ends as timed out."""
    send_before_us: int = NEVER_US
    """Nothing may be sent from this time on: the retry window of a message that may have run is over."""


@dataclass(frozen=True, slots=True)
class RejectMessage:
    """Give a message back to its client, who may submit it again."""

    message_id: str
    retry_after_us: int
    """The client is asked to wait for so long; 0 where nothing is said."""
    hold_reason: HoldReason | None = None
    """What held it last; None where nothing did."""


@dataclass(frozen=True, slots=True)
class FailMessage:
    """End a message as failed: it may have run, and must not be submitted again."""

    message_id: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """End an attempt in flight, as canceled."""

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
    """Have a TimerFired event, and so a round, after some time. Timers set before stay."""

    delay_us: int
    token: str


@dataclass(frozen=True, slots=True)
class RequestEndpointList:
    """Ask for the endpoint list; an EndpointListReceived answers."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class EjectionChanged:
    """Store an endpoint's ejection, or the beginning of its recovery, for the time after a restart."""

    endpoint: int
    ejected_at_us: int
    """-1 where the endpoint was not ejected after all."""
    recovering_since_us: int = -1
    """-1 while it is ejected."""


@dataclass(frozen=True, slots=True)
class KeyBackoffStarted:
    """Store until when the next message of a key waits, for the time after a restart: an attempt may still run."""

    key: str
    until_us: int


class ExtensionAction:
    """Base of the actions of optional extensions; only the extension carries them out."""

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
"""Everything that `Dispatcher.handle` returns."""
