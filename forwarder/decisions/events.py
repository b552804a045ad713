"""Events that the dispatcher takes in. Times are integer microseconds of the caller's clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from forwarder.decisions.learned_state import LearnedState
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.settings import MessageClass, Settings


class EndpointListKind(Enum):
    CHANGES = "changes"
    WHOLE = "whole"
    SAVED = "saved"
    FAILED = "failed"


class EndpointState(Enum):
    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    endpoint: int
    destination: int
    zone: str = ""
    kind: str = ""
    state: EndpointState = EndpointState.SERVING
    weight: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointListReceived:
    """The list of targets, or what changed in it, or that asking for it failed."""

    kind: EndpointListKind
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class EndpointListAwaited:
    """Discovery was asked at a start, and what it holds counts as told already: until it has answered, but no longer
    than until this time, nothing may be sent by the list that was saved.
    """

    until_us: int


@dataclass(frozen=True, slots=True)
class MessageArrived:
    message_id: str
    destination: int
    class_name: str
    due_us: int
    key: str | None = None
    tenant: str | None = None
    resent: bool = False


@dataclass(frozen=True, slots=True)
class MessageRecovered:
    """A message that was taken on before a restart, with what is known of its attempts until then."""

    message_id: str
    destination: int
    message_class: MessageClass
    """The class that it was taken on with, whatever the settings say now."""
    due_us: int
    key: str | None = None
    tenant: str | None = None
    attempts: int = 0
    maybe_ran_at_us: int = -1
    """When its first attempt that may have run was sent, by the same clock; -1 while none may have."""
    maybe_ran_on: int = -1
    """That attempt's target."""
    interrupted: bool = False
    """An attempt was out when the process ended: it may still run."""
    local_failures: int = 0
    """Those of its attempts that the machine could not make: they do not count as tries."""


@dataclass(frozen=True, slots=True)
class EjectionRecovered:
    """What the dispatcher told by Outage before a restart."""

    endpoint: int
    ejected_at_us: int
    recovering_since_us: int = -1


@dataclass(frozen=True, slots=True)
class HandoverReceived:
    """The memory of the process before, which is still true. It comes after the list and the messages."""

    learned_state: LearnedState


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings hold from now on; the list follows. Messages under way keep their class."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class EndpointDisabled:
    """Operators leave a target out: it gets nothing new, whatever the list says."""

    endpoint: int
    since_us: int


@dataclass(frozen=True, slots=True)
class EndpointEnabled:
    """Operators use a target again; it may have been restarted meanwhile."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    limit_left: float
    """Share of the allowance that is left."""
    limit_per_s: float
    """Calls a second that the limit allows; 0 where there is none."""


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """One attempt has its outcome; attempts of a message count from 0 in the order of their sends."""

    message_id: str
    attempt: int
    endpoint: int
    outcome: Outcome
    duration_us: int
    is_final: bool = False
    retry_after_us: int = 0
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    message_id: str


@dataclass(frozen=True, slots=True)
class NoticeAcknowledged:
    """The end that the dispatcher gave a message with a key has been heard."""

    message_id: str
    key: str


@dataclass(frozen=True, slots=True)
class PendingNoticeRecovered:
    """An end that was given before a restart and is not confirmed yet; only messages with a key have one."""

    message_id: str
    key: str


@dataclass(frozen=True, slots=True)
class KeyBackoffRecovered:
    """What the dispatcher told by KeyRest before a restart."""

    key: str
    until_us: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: str


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    endpoint: int
    outcome: Outcome
    duration_us: int
    report: LoadReport | None = None


class ExtensionEvent:
    """Base of the events of parts that a site may turn on; only the part knows what they say."""

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
