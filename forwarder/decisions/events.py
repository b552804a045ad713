"""Events that the dispatcher handles. Times are integers in microseconds on the caller's clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from forwarder.decisions.learned_state import LearnedState
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.settings import MessageClass, Settings


class EndpointListKind(Enum):
    """What an endpoint list contains."""

    CHANGES = "changes"
    """Only entries that have changed."""
    WHOLE = "whole"
    """All entries; endpoints without an entry have left the list."""
    SAVED = "saved"
    """All entries as saved before a restart; the current list may differ."""
    FAILED = "failed"
    """The list could not be fetched."""


class EndpointState(Enum):
    """The state of an endpoint according to the list."""

    SERVING = "serving"
    DRAINING = "draining"
    """The endpoint finishes its calls and accepts no new ones."""
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One endpoint of an endpoint list."""

    endpoint: int
    destination: int
    zone: str = ""
    kind: str = ""
    """The name of a DestinationKind."""
    state: EndpointState = EndpointState.SERVING
    weight: float = 0.0
    """Its capacity in calls per second, if weights are reported."""


@dataclass(frozen=True, slots=True)
class EndpointListReceived:
    """The endpoint list, its changes, or the failure of a poll."""

    kind: EndpointListKind
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class EndpointListAwaited:
    """The list was requested from discovery at startup; the saved list must not be used until discovery answers."""

    until_us: int
    """Time from which the saved list is used if there is no answer."""


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A message that a client submitted was accepted."""

    message_id: str
    destination: int
    class_name: str
    due_us: int
    key: str | None = None
    tenant: str | None = None
    resent: bool = False
    """The client states that it has submitted the message before."""


@dataclass(frozen=True, slots=True)
class MessageRecovered:
    """A message that was accepted before a restart, with the known history of its attempts."""

    message_id: str
    destination: int
    message_class: MessageClass
    """The class with which it was accepted, even if the settings have changed since."""
    due_us: int
    key: str | None = None
    tenant: str | None = None
    attempts: int = 0
    maybe_ran_at_us: int = -1
    """When its first attempt that may have run was sent; -1 if no attempt may have run."""
    maybe_ran_on: int = -1
    """The endpoint of that attempt; -1 if there is none."""
    interrupted: bool = False
    """An attempt was in flight when the process ended, and may still run."""
    local_failures: int = 0
    """Attempts that this machine could not send; they do not count towards the maximum."""


@dataclass(frozen=True, slots=True)
class EjectionRecovered:
    """An ejection that was stored by EjectionChanged before a restart."""

    endpoint: int
    ejected_at_us: int
    recovering_since_us: int = -1


@dataclass(frozen=True, slots=True)
class HandoverReceived:
    """The learned state of the previous process at a hand-over. It follows the endpoint list and the messages."""

    learned_state: LearnedState


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings apply from now on; an endpoint list follows. Accepted messages keep their class."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class EndpointDisabled:
    """Operators disabled an endpoint: it receives no new calls, whatever the list says."""

    endpoint: int
    since_us: int


@dataclass(frozen=True, slots=True)
class EndpointEnabled:
    """Operators enabled an endpoint again; it may have been restarted in the meantime."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The state of an endpoint's rate limit, as the endpoint reported it."""

    limit_left: float
    """Share of the limit that is left."""
    limit_per_s: float
    """Calls per second that the limit allows to all forwarders together; 0 if there is no limit."""


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended."""

    message_id: str
    attempt: int
    """Its number among the attempts of the message, from 0 in the order of their SendAttempt actions."""
    endpoint: int
    outcome: Outcome
    duration_us: int
    is_final: bool = False
    """The message ends with this attempt."""
    retry_after_us: int = 0
    """The Retry-After of a rejection; 0 if there is none."""
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """The client of a message no longer waits for it."""

    message_id: str


@dataclass(frozen=True, slots=True)
class NoticeAcknowledged:
    """The notice for a message with a key that the dispatcher ended was acknowledged."""

    message_id: str
    key: str


@dataclass(frozen=True, slots=True)
class PendingNoticeRecovered:
    """The notice for a message with a key that was ended before a restart is not acknowledged yet."""

    message_id: str
    key: str


@dataclass(frozen=True, slots=True)
class KeyBackoffRecovered:
    """The backoff of a key that was stored by KeyBackoffStarted before a restart."""

    key: str
    until_us: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was set by SetTimer has expired."""

    token: str


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """A health check has ended."""

    endpoint: int
    outcome: Outcome
    duration_us: int
    report: LoadReport | None = None


class ExtensionEvent:
    """Base class of the events of optional extensions; only the extension interprets them."""

    __slots__ = ()


Event = (
    EndpointListReceived
    | EndpointListAwaited
    | MessageArrived
    | MessageRecovered
    | EjectionRecovered
    | EndpointDisabled
    | EndpointEnabled
    | PendingNoticeRecovered
    | KeyBackoffRecovered
    | HandoverReceived
    | SettingsChanged
    | AttemptEnded
    | NoticeAcknowledged
    | MessageWithdrawn
    | TimerFired
    | HealthCheckEnded
    | ExtensionEvent
)
"""Every event that `Dispatcher.handle` accepts."""
