"""Events that the dispatcher takes in. Times are integers in microseconds, by the caller's clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from forwarder.decisions.learned_state import LearnedState
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.settings import MessageClass, Settings


class EndpointListKind(Enum):
    """What an endpoint list says."""

    CHANGES = "changes"
    """Only entries that have changed."""
    WHOLE = "whole"
    """All entries; endpoints that are not among them have left."""
    SAVED = "saved"
    """All entries, as they were saved before a restart; a current list may differ."""
    FAILED = "failed"
    """The list could not be had."""


class EndpointState(Enum):
    """The state of an endpoint by the list."""

    SERVING = "serving"
    DRAINING = "draining"
    """It finishes its calls and takes no new ones."""
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
    """Its capacity in calls a second, where weights are reported."""


@dataclass(frozen=True, slots=True)
class EndpointListReceived:
    """The endpoint list, what changed in it, or that a poll of it failed."""

    kind: EndpointListKind
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class EndpointListAwaited:
    """At a start, discovery was asked for the list, and nothing may be sent by the saved one until it answers."""

    until_us: int
    """Without an answer, the saved list is used from this time on."""


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A client submitted a message, and it was accepted."""

    message_id: str
    destination: int
    class_name: str
    due_us: int
    key: str | None = None
    tenant: str | None = None
    resent: bool = False
    """The client says that it submitted it before."""


@dataclass(frozen=True, slots=True)
class MessageRecovered:
    """A message that was accepted before a restart, with what is known of its attempts until then."""

    message_id: str
    destination: int
    message_class: MessageClass
    """The class that it was accepted with, whatever the settings say now."""
    due_us: int
    key: str | None = None
    tenant: str | None = None
    attempts: int = 0
    maybe_ran_at_us: int = -1
    """When its first attempt that may have run was sent; -1 while none may have."""
    maybe_ran_on: int = -1
    """That attempt's endpoint; -1 where there is none."""
    interrupted: bool = False
    """An attempt was in flight when the process ended: it may still run."""
    local_failures: int = 0
    """Attempts that this machine could not make; they do not count against the allowed number."""


@dataclass(frozen=True, slots=True)
class EjectionRecovered:
    """An ejection that was stored by EjectionChanged before a restart."""

    endpoint: int
    ejected_at_us: int
    recovering_since_us: int = -1


@dataclass(frozen=True, slots=True)
class HandoverReceived:
    """The state of the process before, at a hand-over. It comes after the list and the messages."""

    learned_state: LearnedState


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings are in use from now on; an endpoint list follows. Accepted messages keep their class."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class EndpointDisabled:
    """Operators disabled an endpoint: it gets nothing new, whatever the list says."""

    endpoint: int
    since_us: int


@dataclass(frozen=True, slots=True)
class EndpointEnabled:
    """Operators enabled an endpoint again; it may have been restarted meanwhile."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an endpoint reported of its rate limit."""

    limit_left: float
    """Share of the limit that is left."""
    limit_per_s: float
    """Calls a second that the limit allows to all forwarders; 0 where there is none."""


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has its outcome."""

    message_id: str
    attempt: int
    """Its number among the message's attempts, from 0 in the order of their SendAttempt actions."""
    endpoint: int
    outcome: Outcome
    duration_us: int
    is_final: bool = False
    """The message is over with it."""
    retry_after_us: int = 0
    """The Retry-After of a rejection; 0 is none."""
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """The client of a message does not wait for it any more."""

    message_id: str


@dataclass(frozen=True, slots=True)
class NoticeAcknowledged:
    """The notice of a message with a key, which the dispatcher ended, was acknowledged."""

    message_id: str
    key: str


@dataclass(frozen=True, slots=True)
class PendingNoticeRecovered:
    """The notice of a message with a key, which was ended before a restart, is not acknowledged yet."""

    message_id: str
    key: str


@dataclass(frozen=True, slots=True)
class KeyBackoffRecovered:
    """A backoff that was stored by KeyBackoffStarted before a restart."""

    key: str
    until_us: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer of SetTimer has run out."""

    token: str


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """A health check has its outcome."""

    endpoint: int
    outcome: Outcome
    duration_us: int
    report: LoadReport | None = None


class ExtensionEvent:
    """Base of the events of optional extensions; only the extension knows them."""

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
"""Everything that `Dispatcher.handle` takes in."""
