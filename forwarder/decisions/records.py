"""Records of the messages, endpoints, limit scopes and calls that one dispatcher knows. They decide nothing."""

from __future__ import annotations

from dataclasses import dataclass, field

from forwarder.decisions.hold_reason import HoldReason
from forwarder.decisions.settings import MessageClass

SHARED_SCOPE = -1
"""Stands in place of an endpoint in the key of a limit scope that all endpoints of a destination share."""

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
"""Fields of a limit scope that the process which takes over goes on with."""

ENDPOINT_LEARNED = (
    "error_rate",
    "last_call_at_us",
    "idle_since_us",
    "ejected_at_us",
    "recovering_since_us",
    "slow_start_jitter",
)
"""Fields of an endpoint that the process which takes over goes on with."""


@dataclass(slots=True)
class Message:
    """A message that was accepted and is not over."""

    id: str
    destination: int
    message_class: MessageClass
    due_us: int
    """Its deadline."""
    arrived_us: int
    sequence_number: int
    """Its place in the order of acceptance."""
    key: str | None
    """Its ordering key; None where its class has no order."""
    over_quota: bool
    """It was accepted beyond its tenant's quota."""
    attempts: int = 0
    local_failures: int = 0
    """Attempts that this machine could not make; they do not count against the allowed number."""
    in_flight: int = 0
    """Attempts in flight."""
    maybe_ran_at_us: int = -1
    """When the first attempt that may have run was sent; -1 while none may have."""
    maybe_ran_on: int = -1
    """The endpoint of that attempt; -1 while there is none."""
    avoid_endpoint: int = -1
    """The endpoint of the last attempt that failed; -1 while there is none."""
    hold_reason: HoldReason | None = None
    """What holds it now; None while an attempt is in flight."""
    held_since_us: int = 0
    """Since when the hold reason is the present one."""
    hold_times_us: dict[HoldReason, int] = field(default_factory=dict)
    """How long it was held for each reason, without the present one."""


@dataclass(slots=True)
class Endpoint:
    """A server of a destination."""

    id: int
    destination: int
    zone: str
    weight: float
    """Its capacity in calls a second, where weights are reported."""
    limit_scope: LimitScope
    max_batch: int = 1
    """Messages in one call at most."""
    separate_route: bool = False
    """It has a limit scope of its own."""
    serving: bool = True
    """The list has it, and it does not drain."""
    excluded: bool = False
    """An extension has ejected it as an outlier."""
    in_flight: int = 0
    """Calls in flight."""
    error_rate: float = 0.0
    """Moving average of the share of its calls that failed."""
    last_call_at_us: int = -(1 << 40)
    """When the newest call to it was sent; long ago before the first."""
    idle_since_us: int = -1
    """When a call to it last ended and left an idle connection; -1 before the first."""
    ejected_at_us: int = -1
    """When it was ejected; -1 where it was not."""
    recovering_since_us: int = -1
    """When its recovery ramp began; -1 while it is ejected, and where it was not."""
    connect_failures: int = 0
    """Calls running, up to the newest, that got no connection."""
    slow_start_jitter: float = 1.0
    """The interval until its next call in slow start, as a factor of the mean interval."""
    slow_start_divisor: float = 0.0
    """By how many its slow-start budget is divided, where an extension knows; 0: by the size of the fleet."""


@dataclass(slots=True)
class LimitScope:
    """What shares a rate limit, a Retry-After and a window: a destination, or one of its separate routes."""

    destination: int
    concurrency_window: float
    """Calls that may be in flight."""
    expected_call_us: float = 0.0
    """Moving average of the duration of calls."""
    initial_call_us: float = 0.0
    """What the average began with."""
    learned_at_us: int = -1
    """When a call was last observed; -1 before the first."""
    in_flight: int = 0
    """Calls in flight, with streams."""
    streams_in_flight: int = 0
    """Streams among them."""
    retry_after_until_us: int = 0
    """End of the Retry-After."""
    backoff_until_us: int = 0
    """End of the backoff."""
    backoff_us: int = 0
    """Length of the backoff before jitter; 0 after a success."""
    window_cut_at_us: int = -1
    """When the window was last halved: calls that were sent before do not halve it again."""
    limit_per_s: float = 0.0
    """Calls a second that the limit allows to all forwarders; 0 where no limit is reported."""
    limit_left: float = 1.0
    """Share of the limit that is left, by the newest load report."""
    quota_share: float = 1.0
    """Our share of the limit."""
    reported_at_us: int = 0
    """When the newest load report came."""
    next_call_at_us: int = 0
    """When our share of the limit allows the next call."""


@dataclass(slots=True)
class Call:
    """One call in flight: messages that were released in one round to one endpoint, or a stream."""

    endpoint: Endpoint
    sent_at_us: int
    connection_idle_us: int = 0
    """How long the connection that it may use had been idle."""
    since_previous_us: int = 0
    """Time since the call before it to the same endpoint."""
    open_messages: int = 0
    """Messages without an outcome."""
    batch_size: int = 0
    """Messages that it carries."""
    counted: bool = False
    """Its outcome was learned from."""


@dataclass(slots=True)
class Attempt:
    """One message's part of a call."""

    message: Message
    call: Call
