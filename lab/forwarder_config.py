"""The forwarders' configuration file. Only this module maps its field names to the lab's names."""

from __future__ import annotations

import msgspec

from lab.discovery import EndpointList
from lab.plan import (
    DEADLINE_S,
    ENDPOINT_KINDS,
    LATE_WEIGHT_SHARE,
    LATENCY_OBJECTIVE_S,
    PRIORITY_WEIGHT,
    REFUND_CLASS,
    STATUS_CLASS,
    Plan,
)
from lab.scenario import Endpoints, Fleet

US_PER_S = 1_000_000
MAX_RETRY_AFTER_US = 3 * US_PER_S


class Allowances(msgspec.Struct, rename={"connection_idle_us": "conn_idle_us", "may_notify": "may_tell"}):
    """Features that a forwarder may use, and their limits."""

    connection_idle_us: int
    dial_timeout_us: int
    max_attempts: int
    max_open: int
    """Maximum number of messages that have not ended."""
    max_retry_after_us: int
    retry_after: bool
    may_cancel: bool
    may_notify: bool
    probes: bool


class Contract(
    msgspec.Struct,
    frozen=True,
    rename={
        "answer_grace_us": "grace_to_answer_us",
        "list_poll_us": "ask_within_us",
        "overload_window_us": "fall_us",
        "initial_capacity_share": "cold_from",
        "slow_start_us": "warm_after_us",
        "key_backoff_us": "key_rest_us",
    },
):
    """The limits and times of the protocol's rules."""

    answer_grace_us: int
    drain_grace_us: int
    list_poll_us: int
    overload_factor: float
    overload_window_us: int
    initial_capacity_share: float
    slow_start_us: int
    key_backoff_us: int


class FleetInfo(
    msgspec.Struct, frozen=True, rename={"batch_sizes": "kind_batch", "rejection_price": "turned_away_price"}
):
    """Properties of the endpoints. Lists have one entry per endpoint kind."""

    slots: int
    batch_sizes: list[int]
    """Maximum number of messages in one call."""
    routes_apart: list[bool]
    rejection_price: float


class MessageClass(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename={
        "latency_objective_us": "aim_us",
        "priority_weight": "gain",
        "late_weight_share": "late_worth",
        "in_order": "by_arrival",
    },
):
    """A message class."""

    name: str
    latency_objective_us: int
    deadline_us: int
    effect: str
    priority_weight: float
    late_weight_share: float
    in_order: bool = False


class LoadReports(msgspec.Struct, frozen=True):
    """How endpoints report their load."""

    fields: list[str]
    how: str


class ForwarderSettings(
    msgspec.Struct,
    frozen=True,
    rename={
        "forwarders": "balancers",
        "endpoint_kinds": "host_types",
        "fleet_info": "family_info",
        "message_classes": "services",
        "load_reports": "telemetry",
    },
):
    """The settings, in the form of the simulator's first message."""

    forwarders: int
    discovery: str
    endpoint_kinds: list[str]
    weight_source: str
    allowed: Allowances
    contract: Contract
    fleet_info: FleetInfo
    message_classes: list[MessageClass]
    load_reports: LoadReports


class ResourceLimits(msgspec.Struct, frozen=True):
    """Resource limits of a forwarder process."""

    cores: float
    memory_mb: int
    sockets: int
    disk_mb: float


class ForwarderConfig(msgspec.Struct, rename={"admin": "control"}):
    """The content of a configuration file. Addresses have the form host:port."""

    name: str
    listen: str
    admin: str
    discovery: str
    seed: str
    limits: ResourceLimits
    known: EndpointList
    settings: ForwarderSettings


def make_settings(plan: Plan) -> ForwarderSettings:
    """Return the settings of a plan's forwarders, which differ only in the fleet size that each of them assumes."""
    scenario = plan.scenario
    reports_limits = scenario.endpoints.tells_limits
    return ForwarderSettings(
        forwarders=len(plan.nodes),
        discovery="pushed",
        endpoint_kinds=list(ENDPOINT_KINDS),
        weight_source="rough" if reports_limits else "silent",
        allowed=_allowances(scenario.fleet),
        contract=_contract(scenario.endpoints),
        fleet_info=FleetInfo(
            slots=scenario.fleet.slots,
            batch_sizes=[scenario.endpoints.batch, 1, 1],
            routes_apart=[False, False, False],
            rejection_price=0.03,
        ),
        message_classes=[_message_class(name) for name in (STATUS_CLASS, REFUND_CLASS)],
        load_reports=LoadReports(["x0", "x1"], "piggyback") if reports_limits else LoadReports([], "silent"),
    )


def _allowances(fleet: Fleet) -> Allowances:
    return Allowances(
        connection_idle_us=5 * US_PER_S,
        dial_timeout_us=US_PER_S,
        max_attempts=8,
        max_open=fleet.max_open,
        max_retry_after_us=MAX_RETRY_AFTER_US,
        retry_after=True,
        may_cancel=True,
        may_notify=True,
        probes=False,
    )


def _contract(endpoints: Endpoints) -> Contract:
    return Contract(
        answer_grace_us=50_000,
        drain_grace_us=250_000,
        list_poll_us=6 * US_PER_S,
        overload_factor=endpoints.fall_times,
        overload_window_us=int(endpoints.fall_s * US_PER_S),
        initial_capacity_share=endpoints.cold_from,
        slow_start_us=int(endpoints.warm_s * US_PER_S),
        key_backoff_us=int(endpoints.key_rest_s * US_PER_S),
    )


def _message_class(name: str) -> MessageClass:
    is_refund = name == REFUND_CLASS
    return MessageClass(
        name=name,
        latency_objective_us=int(LATENCY_OBJECTIVE_S[name] * US_PER_S),
        deadline_us=int(DEADLINE_S[name] * US_PER_S),
        effect="once" if is_refund else "repeatable",
        priority_weight=PRIORITY_WEIGHT[name],
        late_weight_share=LATE_WEIGHT_SHARE[name],
        in_order=is_refund,
    )
