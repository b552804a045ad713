"""The format of settings and endpoint entries in the configuration and on the simulator's wire."""

from __future__ import annotations

from forwarder.decisions.events import EndpointEntry, EndpointState
from forwarder.decisions.settings import DestinationKind, Effect, MessageClass, Scope, Settings, Tenant
from forwarder.protocol.checked_fields import JsonObject, require_field, require_word

EFFECTS = {"repeatable": Effect.REPEATABLE, "by_key": Effect.KEYED, "once": Effect.ONCE}
KEY_SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.ALL}
"""Key scopes by word; any other word means a single endpoint."""
ENDPOINT_STATES = {
    "SERVING": EndpointState.SERVING,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}
REPORTED_WEIGHT_SOURCES = ("nominal", "rough")
"""The weight sources whose weights are capacities."""


def parse_settings(raw_settings: JsonObject) -> Settings:
    """Returns the settings of a site; unknown fields are ignored.

    Raises:
        MalformedInputError: A field is missing or of another type.
        ValueError: A setting has an invalid value.
    """
    allowed = raw_settings.get("allowed", {})
    contract = raw_settings.get("contract", {})
    family_info = raw_settings.get("family_info", {})
    return Settings(
        classes=_parse_classes(raw_settings),
        kinds=_parse_kinds(raw_settings, family_info),
        tenants=_parse_tenants(raw_settings),
        slots=require_field(family_info, "slots", int),
        zone_fees=dict(zip(raw_settings.get("zones", []), family_info.get("carriage") or [], strict=False)),
        forwarders=int(raw_settings.get("balancers", 1)),
        max_open_messages=int(allowed.get("max_open", 1_000_000)),
        max_attempts=int(allowed.get("max_attempts", 1_000_000)),
        hedging_allowed=bool(allowed.get("parallel_tries", False)),
        cancel_allowed=bool(allowed.get("may_cancel", False)),
        health_checks_allowed=bool(allowed.get("probes", False)),
        retry_after_allowed=bool(allowed.get("retry_after", False)),
        max_retry_after_us=int(allowed.get("max_retry_after_us", 0)),
        poll_endpoint_list=raw_settings.get("discovery") == "on_request",
        weights_reported=raw_settings.get("weight_source") in REPORTED_WEIGHT_SOURCES,
        rejection_cost=float(family_info.get("turned_away_price", 0.0)),
        over_quota_weight=float(raw_settings.get("over_share_worth", 1.0)),
        late_weight_halves=family_info.get("loses_worth") == "halves",
        answer_grace_us=int(contract.get("grace_to_answer_us", 0)),
        drain_grace_us=int(contract.get("drain_grace_us", 0)),
        list_poll_within_us=int(contract.get("ask_within_us", 0)),
        overload_factor=float(contract.get("overload_factor", 0.0)),
        overload_window_us=int(contract.get("fall_us", 0)),
        slow_start_from=float(contract.get("cold_from", 1.0)),
        slow_start_us=int(contract.get("warm_after_us", 0)),
        key_backoff_us=int(contract.get("key_rest_us", 0)),
        connect_timeout_us=int(allowed.get("dial_timeout_us", 0)),
        idle_timeout_us=int(allowed.get("conn_idle_us", 0)),
    )


def _parse_classes(raw_settings: JsonObject) -> tuple[MessageClass, ...]:
    return tuple(
        MessageClass(
            name=require_field(service, "name", str),
            latency_objective_us=require_field(service, "aim_us", int),
            deadline_us=require_field(service, "deadline_us", int),
            effect=require_word(EFFECTS, service, "effect"),
            key_scope=KEY_SCOPES.get(service.get("key_scope", "all"), Scope.TARGET),
            retry_window_us=int(service.get("window_us", 0)),
            in_order=bool(service.get("by_arrival", False)),
            priority_weight=float(service.get("gain", 1.0)),
            late_weight=float(service.get("late_worth", 0.0)),
        )
        for service in require_field(raw_settings, "services", list)
    )


def _parse_kinds(raw_settings: JsonObject, family_info: JsonObject) -> tuple[DestinationKind, ...]:
    batches = family_info.get("kind_batch", [])
    separate_routes = family_info.get("routes_apart", [])
    return tuple(
        DestinationKind(
            name=name,
            max_batch=int(batches[number]) if number < len(batches) else 1,
            separate_routes=bool(separate_routes[number]) if number < len(separate_routes) else False,
        )
        for number, name in enumerate(raw_settings.get("host_types", []))
    )


def _parse_tenants(raw_settings: JsonObject) -> tuple[Tenant, ...]:
    return tuple(
        Tenant(require_field(tenant, "name", str), float(tenant.get("allowance_per_s", 0.0)))
        for tenant in raw_settings.get("orgs") or []
    )


def parse_endpoint_entry(entry: JsonObject) -> EndpointEntry:
    """Returns one entry of an endpoint list.

    Raises:
        MalformedInputError: A field is missing or of another type.
    """
    return EndpointEntry(
        endpoint=require_field(entry, "target", int),
        destination=require_field(entry, "belongs_to", int),
        zone=entry.get("hall") or "",
        kind=entry.get("kind") or "",
        state=require_word(ENDPOINT_STATES, entry, "readiness"),
        weight=float(entry.get("power_hint") or 0.0),
    )
