"""The settings as the decisions know them. Times are integers in microseconds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What a second run of a message of this class would do."""

    REPEATABLE = "repeatable"
    KEYED = "keyed"
    ONCE = "once"


class Scope(Enum):
    """Which endpoints of a destination know the idempotency key of a message that one of them got."""

    ALL = "all"
    ZONE = "zone"
    TARGET = "target"


@dataclass(frozen=True, slots=True)
class MessageClass:
    """What all messages of a class have in common."""

    name: str
    latency_objective_us: int
    """A delivery within this time has the full priority weight."""
    deadline_us: int
    """How long after its submission a message has to be over."""
    effect: Effect = Effect.REPEATABLE
    key_scope: Scope = Scope.ALL
    retry_window_us: int = 0
    """For so long after the first attempt an idempotency key is known."""
    in_order: bool = False
    """Messages with the same ordering key are delivered in the order of acceptance."""
    priority_weight: float = 1.0
    """What a delivery is worth."""
    late_weight: float = 0.0
    """Share of that which is left at the deadline."""


@dataclass(frozen=True, slots=True)
class DestinationKind:
    """What all destinations of a kind have in common."""

    name: str
    max_batch: int = 1
    """Messages in one call at most."""
    separate_routes: bool = False
    """Each endpoint has a limit scope of its own."""


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer whose messages share a quota."""

    name: str
    quota_per_s: float
    """Messages a second, summed over all forwarders; 0 is no quota."""


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings.

    Raises:
        ValueError: A setting has no meaning; the text names it as the configuration does.
    """

    slots: int
    """Calls in flight at most."""
    classes: tuple[MessageClass, ...]
    kinds: tuple[DestinationKind, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    zone_fees: Mapping[str, float] = field(default_factory=dict)
    """What a call on a separate route costs, by the endpoint's zone."""
    forwarders: int = 1
    """The size of the fleet."""
    max_open_messages: int = 1_000_000
    """Messages that are not over at most."""
    max_attempts: int = 1_000_000
    """Attempts of one message at most."""
    hedging_allowed: bool = False
    """A message may have several attempts in flight."""
    cancel_allowed: bool = False
    health_checks_allowed: bool = False
    retry_after_allowed: bool = False
    max_retry_after_us: int = 0
    poll_endpoint_list: bool = False
    """The endpoint list has to be asked for."""
    weights_reported: bool = False
    """Weights of endpoints are capacities."""
    rejection_cost: float = 0.0
    """What a call costs that is rejected above a limit."""
    over_quota_weight: float = 1.0
    """What a delivery over the tenant's quota is worth, as a factor."""
    notices_acknowledged: bool = False
    """A rejected or failed message blocks its key until its notice is acknowledged."""
    late_weight_halves: bool = False
    """After the latency objective the weight halves with each further one; else it falls linearly to the deadline."""
    answer_grace_us: int = 0
    """A message has to be over by so long after its deadline."""
    drain_grace_us: int = 0
    """Nothing may be sent to an endpoint from so long after it began to drain."""
    list_poll_within_us: int = 0
    """A forwarder that has not polled for so long counts as informed of what was listed before."""
    overload_factor: float = 0.0
    """An endpoint in slow start fails again if it is sent this many times its capacity."""
    overload_window_us: int = 0
    """For so long it has to be sent that much."""
    slow_start_from: float = 1.0
    """Share of its capacity that an endpoint has at least as it recovers."""
    slow_start_us: int = 0
    """The recovery ramp: after this an endpoint has its whole capacity."""
    key_backoff_us: int = 0
    """The next message of a key waits for so long after an attempt that may still run."""
    connect_timeout_us: int = 0
    idle_timeout_us: int = 0
    """Endpoints close idle connections after this; 0 where none are kept or it is not known."""

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
