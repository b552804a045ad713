"""The settings that the decisions use. Times are integers in microseconds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """The effect of running a message of a class a second time."""

    REPEATABLE = "repeatable"
    KEYED = "keyed"
    ONCE = "once"


class Scope(Enum):
    """Which endpoints of a destination recognize the idempotency key of a message that one of them received."""

    ALL = "all"
    ZONE = "zone"
    TARGET = "target"


@dataclass(frozen=True, slots=True)
class MessageClass:
    """The properties that all messages of a class share."""

    name: str
    latency_objective_us: int
    """A delivery within this time has the full priority weight."""
    deadline_us: int
    """Time after its submission by which a message has to end."""
    effect: Effect = Effect.REPEATABLE
    key_scope: Scope = Scope.ALL
    retry_window_us: int = 0
    """Time after the first attempt during which an idempotency key is recognized."""
    in_order: bool = False
    """Messages with the same ordering key are delivered in the order of acceptance."""
    priority_weight: float = 1.0
    """The value of a delivery."""
    late_weight: float = 0.0
    """Share of the priority weight that a delivery at the deadline has."""


@dataclass(frozen=True, slots=True)
class DestinationKind:
    """The properties that all destinations of a kind share."""

    name: str
    max_batch: int = 1
    """Maximum number of messages in one call."""
    separate_routes: bool = False
    """Each endpoint has its own limit scope."""


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer whose messages share a quota."""

    name: str
    quota_per_s: float
    """Messages per second, summed over all forwarders; 0 means no quota."""


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings.

    Raises:
        ValueError: A setting is invalid; the text names it as the configuration does.
    """

    slots: int
    """Maximum number of calls in flight."""
    classes: tuple[MessageClass, ...]
    kinds: tuple[DestinationKind, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    zone_fees: Mapping[str, float] = field(default_factory=dict)
    """The cost of a call on a separate route, by the zone of the endpoint."""
    forwarders: int = 1
    """Number of forwarders in the fleet."""
    max_open_messages: int = 1_000_000
    """Maximum number of open messages, which are accepted and have not ended."""
    max_attempts: int = 1_000_000
    """Maximum number of attempts for one message."""
    hedging_allowed: bool = False
    """A message may have several attempts in flight."""
    cancel_allowed: bool = False
    health_checks_allowed: bool = False
    retry_after_allowed: bool = False
    max_retry_after_us: int = 0
    poll_endpoint_list: bool = False
    """The endpoint list has to be polled."""
    weights_reported: bool = False
    """The weights of endpoints are their capacities."""
    rejection_cost: float = 0.0
    """The cost of a call that is rejected above a limit."""
    over_quota_weight: float = 1.0
    """Factor on the value of a delivery over the tenant's quota."""
    notices_acknowledged: bool = False
    """A rejected or failed message blocks its key until its notice is acknowledged."""
    late_weight_halves: bool = False
    """The weight halves with each latency objective after the first; otherwise it falls linearly to the deadline."""
    answer_grace_us: int = 0
    """Time after its deadline by which a message has to have its answer."""
    drain_grace_us: int = 0
    """Time after the start of an endpoint's drain from which nothing may be sent to it."""
    list_poll_within_us: int = 0
    """Time after which a forwarder counts as informed of a listed endpoint, even if it has not polled the list."""
    overload_factor: float = 0.0
    """An endpoint in slow start fails again if it receives this many times its capacity."""
    overload_window_us: int = 0
    """Duration of such an overload that makes it fail."""
    slow_start_from: float = 1.0
    """Minimum share of its capacity that an endpoint has during recovery."""
    slow_start_us: int = 0
    """Duration of the recovery ramp, after which an endpoint has its full capacity."""
    key_backoff_us: int = 0
    """How long the next message of a key waits after an attempt that may still run."""
    connect_timeout_us: int = 0
    idle_timeout_us: int = 0
    """Endpoints close idle connections after this time; 0 if they keep none or the time is unknown."""

    def __post_init__(self) -> None:
        _check(self.slots >= 1, "slots")
        _check(self.forwarders >= 1, "balancers")
        _check(self.max_open_messages >= 1, "max_open")
        _check(self.max_attempts >= 1, "max_attempts")
        _check(self.overload_window_us >= 0, "fall_us")
        _check(self.slow_start_us >= 0, "warm_us")
        _check(self.key_backoff_us >= 0, "key_rest_us")
        _check(0.0 <= self.slow_start_from <= 1.0, "cold_from")
        names = {message_class.name for message_class in self.classes}
        _check(len(names) == len(self.classes), "classes: a name twice")
        for message_class in self.classes:
            _check(message_class.latency_objective_us > 0, f"classes {message_class.name}: aim_us")
            _check(message_class.deadline_us > 0, f"classes {message_class.name}: deadline_us")
            _check(isinstance(message_class.effect, Effect), f"classes {message_class.name}: effect")
            _check(isinstance(message_class.key_scope, Scope), f"classes {message_class.name}: scope")
            _check(
                message_class.effect is not Effect.KEYED or message_class.retry_window_us >= 0,
                f"classes {message_class.name}: window_us",
            )
        for kind in self.kinds:
            _check(kind.max_batch >= 1, f"kinds {kind.name}: batch")
        for tenant in self.tenants:
            _check(tenant.quota_per_s >= 0, f"tenants {tenant.name}: allowance_per_s")


def _check(is_valid: bool, name: str) -> None:
    if not is_valid:
        raise ValueError(f"setting cannot hold: {name}")
