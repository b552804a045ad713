"""Hosts dispatchers on the simulator's wire: JSON lines in, JSON lines out. Translates; decides nothing."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from forwarder.decisions.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    EjectionChanged,
    FailMessage,
    KeyBackoffStarted,
    LogLine,
    RejectMessage,
    RequestEndpointList,
    SendAttempt,
    SetTimer,
)
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    HealthCheckEnded,
    LoadReport,
    MessageArrived,
    MessageWithdrawn,
    TimerFired,
)
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.settings import DestinationKind, Effect, MessageClass, Scope, Settings, Tenant

OUTCOMES = {
    "Ok": Outcome.DELIVERED,
    "Failed": Outcome.FAILED,
    "QueueFull": Outcome.REJECTED,
    "TimedOut": Outcome.TIMED_OUT,
    "ConnectError": Outcome.NO_CONNECTION,
    "ResetByPeer": Outcome.RESET,
    "Canceled": Outcome.CANCELED,
    "Ignored": Outcome.NOT_SENT,
}
STATES = {
    "SERVING": EndpointState.SERVING,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}
LISTS = {
    "INCREMENTAL": EndpointListKind.CHANGES,
    "FULL": EndpointListKind.WHOLE,
    "SAVED": EndpointListKind.SAVED,
    "FAILED": EndpointListKind.FAILED,
}
EFFECTS = {"repeatable": Effect.REPEATABLE, "by_key": Effect.KEYED, "once": Effect.ONCE}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.ALL}


class MalformedInputError(Exception):
    """The input is not what the wire promises."""


def require_field(obj: Any, key: str, kind: type) -> Any:
    """The field, or Malformed where it is missing or of another type."""
    if not isinstance(obj, dict) or key not in obj:
        raise MalformedInputError(f"no field {key!r} in {_brief(obj)}")
    value = obj[key]
    if kind is int and isinstance(value, float) and value.is_integer():
        value = int(value)
    if kind is float and isinstance(value, int):
        value = float(value)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise MalformedInputError(f"field {key!r} is not of type {kind.__name__} in {_brief(obj)}")
    return value


def require_word(table: dict[str, Any], obj: Any, key: str) -> Any:
    """The field, translated by a table of words."""
    value = require_field(obj, key, str)
    if value not in table:
        raise MalformedInputError(f"field {key!r} has the unknown word {value!r}")
    return table[value]


def _brief(obj: Any) -> str:
    return repr(obj)[:80]


def parse_settings(facts: dict[str, Any]) -> Settings:
    """The settings as the module knows them; keys it does not know are passed over."""
    allowed, contract = facts.get("allowed", {}), facts.get("contract", {})
    family = facts.get("family_info", {})
    batches, apart = family.get("kind_batch", []), family.get("routes_apart", [])
    names = facts.get("host_types", [])
    classes = tuple(
        MessageClass(
            name=require_field(c, "name", str),
            latency_objective_us=require_field(c, "aim_us", int),
            deadline_us=require_field(c, "deadline_us", int),
            effect=require_word(EFFECTS, c, "effect"),
            key_scope=SCOPES.get(c.get("key_scope", "all"), Scope.TARGET),
            retry_window_us=int(c.get("window_us", 0)),
            in_order=bool(c.get("by_arrival", False)),
            priority_weight=float(c.get("gain", 1.0)),
            late_weight=float(c.get("late_worth", 0.0)),
        )
        for c in require_field(facts, "services", list)
    )
    kinds = tuple(
        DestinationKind(
            name=name,
            max_batch=int(batches[n]) if n < len(batches) else 1,
            separate_routes=bool(apart[n]) if n < len(apart) else False,
        )
        for n, name in enumerate(names)
    )
    tenants = tuple(
        Tenant(require_field(t, "name", str), float(t.get("allowance_per_s", 0.0))) for t in facts.get("orgs") or []
    )
    return Settings(
        slots=require_field(family, "slots", int),
        classes=classes,
        kinds=kinds,
        tenants=tenants,
        zone_fees=dict(zip(facts.get("zones", []), family.get("carriage") or [], strict=False)),
        forwarders=int(facts.get("balancers", 1)),
        max_open_messages=int(allowed.get("max_open", 1_000_000)),
        max_attempts=int(allowed.get("max_attempts", 1_000_000)),
        hedging_allowed=bool(allowed.get("parallel_tries", False)),
        cancel_allowed=bool(allowed.get("may_cancel", False)),
        health_checks_allowed=bool(allowed.get("probes", False)),
        retry_after_allowed=bool(allowed.get("retry_after", False)),
        max_retry_after_us=int(allowed.get("max_retry_after_us", 0)),
        poll_endpoint_list=facts.get("discovery") == "on_request",
        weights_reported=facts.get("weight_source") in ("nominal", "rough"),
        rejection_cost=float(family.get("turned_away_price", 0.0)),
        over_quota_weight=float(facts.get("over_share_worth", 1.0)),
        late_weight_halves=family.get("loses_worth") == "halves",
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


def parse_endpoint_entry(e: Any) -> EndpointEntry:
    """One line of a list of targets."""
    return EndpointEntry(
        endpoint=require_field(e, "target", int),
        destination=require_field(e, "belongs_to", int),
        zone=e.get("hall") or "",
        kind=e.get("kind") or "",
        state=require_word(STATES, e, "readiness"),
        weight=float(e.get("power_hint") or 0.0),
    )


def parse_load_report(fields: list[str], e: dict[str, Any]) -> LoadReport | None:
    """What the destination told of its limit, if it did."""
    row = e.get("telemetry")
    if not row:
        return None
    told = dict(zip(fields, row, strict=False))
    if "x0" not in told or "x1" not in told:
        return None
    return LoadReport(float(told["x0"] or 0.0), float(told["x1"] or 0.0))


class ForwarderInstance:
    """One forwarder: its dispatcher, and what is needed to read its events."""

    def __init__(self, up: dict[str, Any], now: int) -> None:
        facts = require_field(up, "facts", dict)
        self.fields: list[str] = list((facts.get("telemetry") or {}).get("fields") or [])
        self.dispatcher = Dispatcher(parse_settings(facts), require_field(up, "entropy", int), now)
        self.inbox: list[Event] = []


def _arrived(inst: ForwarderInstance, e: Any) -> Event:
    account = e.get("account")
    return MessageArrived(
        message_id=require_field(e, "msg_id", str),
        destination=require_field(e, "dest", int),
        class_name=require_field(e, "class", str),
        due_us=require_field(e, "due_us", int),
        key=e.get("route_key"),
        tenant=account if isinstance(account, str) else None,
        resent=bool(e.get("resent", False)),
    )


def _ended(inst: ForwarderInstance, e: Any) -> Event:
    outcome = require_word(OUTCOMES, e, "result")
    wait_ms = e.get("wait_ms") or 0
    return AttemptEnded(
        message_id=require_field(e, "msg_id", str),
        attempt=require_field(e, "try", int),
        endpoint=require_field(e, "target", int),
        outcome=outcome,
        duration_us=require_field(e, "lag_us", int),
        is_final=bool(e.get("closed", False)),
        retry_after_us=-int(-wait_ms * 1000 // 1) if outcome is Outcome.REJECTED else 0,
        report=parse_load_report(inst.fields, e),
    )


def _probed(inst: ForwarderInstance, e: Any) -> Event:
    return HealthCheckEnded(
        require_field(e, "target", int),
        require_word(OUTCOMES, e, "result"),
        require_field(e, "lag_us", int),
        parse_load_report(inst.fields, e),
    )


READERS: dict[str, Callable[[ForwarderInstance, Any], Event]] = {
    "ASK": _arrived,
    "CLOSED_ATTEMPT": _ended,
    "CHECK_RESULT": _probed,
    "CLIENT_LEFT": lambda inst, e: MessageWithdrawn(require_field(e, "msg_id", str)),
    "DEADLINE_HIT": lambda inst, e: TimerFired(require_field(e, "token", str)),
}


def render_action(name: str, a: Action) -> dict[str, Any]:
    """One action in the words of the wire."""
    if isinstance(a, SendAttempt):
        return {
            "type": "ISSUE",
            "forwarder_id": name,
            "msg_id": a.message_id,
            "target": a.endpoint,
            "try_for_us": a.timeout_us,
        }
    if isinstance(a, SetTimer):
        return {"type": "ARM", "forwarder_id": name, "offset_us": a.delay_us, "token": a.token}
    if isinstance(a, RejectMessage):
        return {"type": "TURN_AWAY", "forwarder_id": name, "msg_id": a.message_id, "wait_us": a.retry_after_us}
    if isinstance(a, FailMessage):
        return {"type": "END_FAILED", "forwarder_id": name, "msg_id": a.message_id}
    if isinstance(a, CancelAttempt):
        return {"type": "ABANDON", "forwarder_id": name, "msg_id": a.message_id, "try": a.attempt}
    if isinstance(a, CheckHealth):
        return {"type": "POLL", "forwarder_id": name, "target": a.endpoint}
    if isinstance(a, CloseIdleConnections):
        return {"type": "RELEASE", "forwarder_id": name, "target": a.endpoint}
    if isinstance(a, RequestEndpointList):
        return {"type": "STREAM_CHANGES", "forwarder_id": name, "on": True}
    assert isinstance(a, LogLine)
    return {"type": "PRINT", "forwarder_id": name, "reason_text": a.text}


class SimulatorHost:
    """Many instances on one wire. They share nothing but the numbered tables of the wire itself."""

    def __init__(self) -> None:
        self.instances: dict[str, ForwarderInstance] = {}
        self.tables: dict[int, tuple[EndpointEntry, ...]] = {}

    def batch(self, line: str) -> str:
        try:
            told = json.loads(line)
        except ValueError as error:
            raise MalformedInputError(f"not JSON: {error}") from None
        now = require_field(told, "clock_us", int)
        done: list[dict[str, Any]] = []
        touched: dict[str, ForwarderInstance] = {}
        for event in require_field(told, "inbox", list):
            self.event(now, event, touched, done)
        for name, inst in touched.items():
            if self.instances.get(name) is not inst:
                continue
            inbox, inst.inbox = inst.inbox, []
            try:
                actions = inst.dispatcher.handle(now, inbox)
                if inst.dispatcher.errors:
                    raise inst.dispatcher.errors[0]
                # An instance of the simulator comes up empty: there is nothing to remember an outage or a rest in.
                done.extend(
                    render_action(name, a) for a in actions if not isinstance(a, EjectionChanged | KeyBackoffStarted)
                )
            except Exception as error:  # any failure of the decisions is reported on the wire, in one line
                done.append(render_error(name, error))
        return json.dumps({"do": done}, separators=(",", ":"))

    def event(self, now: int, event: Any, touched: dict[str, ForwarderInstance], done: list[dict[str, Any]]) -> None:
        kind = require_field(event, "type", str)
        if kind == "TABLE":
            self.tables[require_field(event, "buffer", int)] = tuple(
                parse_endpoint_entry(e) for e in require_field(event, "elements", list)
            )
            return
        if kind not in ("UP", "DOWN", "MEMBERS") and kind not in READERS:
            return
        name = require_field(event, "forwarder_id", str)
        if kind == "DOWN":
            self.instances.pop(name, None)
            touched.pop(name, None)
            return
        if kind == "UP":
            try:
                self.instances[name] = touched[name] = ForwarderInstance(event, now)
            except ValueError as error:
                done.append(render_error(name, error))
            return
        if name not in self.instances:
            return
        inst = touched[name] = self.instances[name]
        if kind == "MEMBERS":
            how = require_word(LISTS, event, "how")
            entries: tuple[EndpointEntry, ...] = ()
            if how is not EndpointListKind.FAILED:
                number = require_field(event, "buffer", int)
                if number not in self.tables:
                    raise MalformedInputError(f"no table {number} was given")
                entries = self.tables[number]
            inst.inbox.append(EndpointListReceived(how, entries))
        else:
            inst.inbox.append(READERS[kind](inst, event))


def render_error(name: str, error: Exception) -> dict[str, Any]:
    text = " ".join(f"{type(error).__name__}: {error}".split())
    return {"type": "INTERNAL_ERROR", "forwarder_id": name, "reason_text": text}


def serve(source: TextIO, sink: TextIO) -> int:
    """Answer each line until the input ends."""
    host = SimulatorHost()
    for line in source:
        try:
            reply = host.batch(line)
        except MalformedInputError as error:
            print(f"forwarder: bad input: {error}", file=sys.stderr)
            return 2
        sink.write(reply + "\n")
        sink.flush()
    return 0
