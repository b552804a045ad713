"""Actions that the dispatcher returns, to be carried out in order. Times are integer microseconds."""

from __future__ import annotations

from dataclasses import dataclass

from forwarder.decisions.hold_reason import HoldReason
from forwarder.units import NEVER_US


@dataclass(frozen=True, slots=True)
class SendAttempt:
    message_id: str
    endpoint: int
    timeout_us: int
    send_before_us: int = NEVER_US
    """Its bytes may not leave at this time or later: the window in which it may be repeated is over then."""


@dataclass(frozen=True, slots=True)
class RejectMessage:
    message_id: str
    retry_after_us: int
    hold_reason: HoldReason | None = None
    """What held it last; None where nothing ever did."""


@dataclass(frozen=True, slots=True)
class FailMessage:
    message_id: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    message_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    endpoint: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close our idle connections to a target."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay_us: int
    token: str


@dataclass(frozen=True, slots=True)
class RequestEndpointList:
    pass


@dataclass(frozen=True, slots=True)
class LogLine:
    text: str


@dataclass(frozen=True, slots=True)
class EjectionChanged:
    """To be remembered across a restart: since when a target is in an outage, and back from it (-1: not)."""

    endpoint: int
    ejected_at_us: int
    recovering_since_us: int = -1


@dataclass(frozen=True, slots=True)
class KeyBackoffStarted:
    """To be remembered across a restart: the next message of a key waits until then, since a call may still run."""

    key: str
    until_us: int


class ExtensionAction:
    """Base of the actions of parts that a site may turn on."""

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
