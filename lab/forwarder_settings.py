"""The forwarders' configuration, in the pages' names."""

from __future__ import annotations

from typing import Any

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
from lab.scenario import Fleet

US_PER_S = 1_000_000
MAX_RETRY_AFTER_US = 3 * US_PER_S


def forwarder_settings(plan: Plan) -> dict[str, Any]:
    """Return the settings of the forwarders, as the simulator's first message has them."""
    scenario = plan.scenario
    reports_limits = scenario.endpoints.tells_limits
    return {
        "balancers": len(plan.nodes),
        "discovery": "pushed",
        "host_types": list(ENDPOINT_KINDS),
        "weight_source": "rough" if reports_limits else "silent",
        "allowed": _allowed(scenario.fleet),
        "contract": _contract(plan),
        "family_info": {
            "slots": scenario.fleet.slots,
            "kind_batch": [scenario.endpoints.batch, 1, 1],
            "routes_apart": [False, False, False],
            "turned_away_price": 0.03,
        },
        "services": [_message_class(name) for name in (STATUS_CLASS, REFUND_CLASS)],
        "telemetry": (
            {"fields": ["x0", "x1"], "how": "piggyback"} if reports_limits else {"fields": [], "how": "silent"}
        ),
    }


def _allowed(fleet: Fleet) -> dict[str, Any]:
    return {
        "conn_idle_us": 5 * US_PER_S,
        "dial_timeout_us": US_PER_S,
        "max_attempts": 8,
        "max_open": fleet.max_open,
        "max_retry_after_us": MAX_RETRY_AFTER_US,
        "retry_after": True,
        "may_cancel": True,
        "may_tell": True,
        "probes": False,
    }


def _contract(plan: Plan) -> dict[str, Any]:
    endpoints = plan.scenario.endpoints
    return {
        "grace_to_answer_us": 50_000,
        "drain_grace_us": 250_000,
        "ask_within_us": 6 * US_PER_S,
        "overload_factor": endpoints.fall_times,
        "fall_us": int(endpoints.fall_s * 1e6),
        "cold_from": endpoints.cold_from,
        "warm_after_us": int(endpoints.warm_s * 1e6),
        "key_rest_us": int(endpoints.key_rest_s * 1e6),
    }


def _message_class(name: str) -> dict[str, Any]:
    is_refund = name == REFUND_CLASS
    return {
        "name": name,
        "aim_us": int(LATENCY_OBJECTIVE_S[name] * 1e6),
        "deadline_us": int(DEADLINE_S[name] * 1e6),
        "effect": "once" if is_refund else "repeatable",
        "gain": PRIORITY_WEIGHT[name],
        "late_worth": LATE_WEIGHT_SHARE[name],
        **({"by_arrival": True} if is_refund else {}),
    }
