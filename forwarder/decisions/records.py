"""Records of the messages, endpoints, limit scopes and calls of one dispatcher. They make no decisions."""

from __future__ import annotations

from dataclasses import dataclass, field

from forwarder.decisions.hold_reason import HoldReason
from forwarder.decisions.settings import MessageClass

SHARED_SCOPE = -1
"""Replaces the endpoint in the key of a limit scope that all endpoints of a destination share."""

LIMIT_SCOPE_LEARNED = (
    "concurrency_window",
    "expected_call_us",
    "initial_call_us",
    "learned_at_us",
    "retry_after_until_us",
    "backoff_until_us",
    "backoff_us",
    "window_cut_at_us",
    "limit_per_s",
    "limit_left",
    "quota_share",
    "reported_at_us",
    "next_call_at_us",
)
"""Fields of a limit scope that are passed on at a hand-over."""

ENDPOINT_LEARNED = (
    "error_rate",
    "last_call_at_us",
    "idle_since_us",
    "ejected_at_us",
    "recovering_since_us",
    "slow_start_jitter",
)
"""Fields of an endpoint that are passed on at a hand-over."""


@dataclass(slots=True)
class Message:
    """An open message, which is accepted and has not ended."""

    id: str
    destination: int
    message_class: MessageClass
    due_us: int
    """Its deadline."""
    arrived_us: int
    sequence_number: int
    """Its position in the order of acceptance."""
    key: str | None
    """Its ordering key; None if its class is not delivered in order."""
    over_quota: bool
    """It was accepted above its tenant's quota."""
    attempts: int = 0
    local_failures: int = 0
    """Attempts that this machine could not send; they do not count towards the maximum."""
    in_flight: int = 0
    """Attempts in flight."""
    maybe_ran_at_us: int = -1
    """When its first attempt that may have run was sent; -1 if no attempt may have run."""
    maybe_ran_on: int = -1
    """The endpoint of that attempt; -1 if there is none."""
    avoid_endpoint: int = -1
    """The endpoint of the last failed attempt; -1 if there is none."""
    hold_reason: HoldReason | None = None
    """What holds it now; None while an attempt is in flight."""
    held_since_us: int = 0
    """When the current hold reason began to apply."""
    hold_times_us: dict[HoldReason, int] = field(default_factory=dict)
    """How long each reason has held it, without the time since `held_since_us`."""


@dataclass(slots=True)
class Endpoint:
    """A server of a destination."""

    id: int
    destination: int
    zone: str
    weight: float
    """Its capacity in calls per second, if weights are reported."""
    limit_scope: LimitScope
    max_batch: int = 1
    """Maximum number of messages in one call."""
    separate_route: bool = False
    """It has its own limit scope."""
    serving: bool = True
    """It is in the list and does not drain."""
    excluded: bool = False
    """An extension has ejected it as an outlier."""
    in_flight: int = 0
    """Calls in flight."""
    error_rate: float = 0.0
    """Moving average of the share of its calls that fail."""
    last_call_at_us: int = -(1 << 40)
    """When the newest call to it was sent; far in the past before the first call."""
    idle_since_us: int = -1
    """When a call to it last ended and left an idle connection; -1 before the first call."""
    ejected_at_us: int = -1
    """When it was ejected; -1 if it was not."""
    recovering_since_us: int = -1
    """When its recovery ramp began; -1 while it is ejected, and if it was not ejected."""
    connect_failures: int = 0
    """Number of consecutive calls, up to the newest, that got no connection."""
    slow_start_jitter: float = 1.0
    """Factor on the mean interval that gives the interval until its next call in slow start."""
    slow_start_divisor: float = 0.0
    """Divisor of its slow-start budget, set by an extension; with 0 the divisor is the size of the fleet."""


@dataclass(slots=True)
class LimitScope:
    """A destination, or one of its separate routes, with its own rate limit, Retry-After and concurrency window."""

    destination: int
    concurrency_window: float
    """Number of calls that may be in flight."""
    expected_call_us: float = 0.0
    """Moving average of the duration of calls, in microseconds."""
    initial_call_us: float = 0.0
    """The initial value of that average."""
    learned_at_us: int = -1
    """When the duration of a call was last observed; -1 before the first call."""
    in_flight: int = 0
    """Calls in flight, including streams."""
    streams_in_flight: int = 0
    """Streams among the calls in flight."""
    retry_after_until_us: int = 0
    """End of the Retry-After."""
    backoff_until_us: int = 0
    """End of the backoff."""
    backoff_us: int = 0
    """Length of the backoff before jitter; 0 after a success."""
    window_cut_at_us: int = -1
    """When the window was last halved; calls that were sent before then do not halve it again."""
    limit_per_s: float = 0.0
    """Calls per second that the limit allows to all forwarders together; 0 if no limit is reported."""
    limit_left: float = 1.0
    """Share of the limit that is left, according to the newest load report."""
    quota_share: float = 1.0
    """This forwarder's share of the limit."""
    reported_at_us: int = 0
    """When the newest load report arrived."""
    next_call_at_us: int = 0
    """When this forwarder's share of the limit allows the next call."""


@dataclass(slots=True)
class Call:
    """One call in flight: messages released to one endpoint in one round, or a stream."""

    endpoint: Endpoint
    sent_at_us: int
    connection_idle_us: int = 0
    """How long the connection that it may use had been idle, in microseconds."""
    since_previous_us: int = 0
    """Time since the previous call to the same endpoint, in microseconds."""
    open_messages: int = 0
    """Messages of this call without an outcome."""
    batch_size: int = 0
    """Messages that this call carries."""
    counted: bool = False
    """An outcome of this call was already learned from."""


@dataclass(slots=True)
class Attempt:
    """One message's share of a call."""

    message: Message
    call: Call
