"""The simulator's wire format: maps its events and commands to the events and actions of the decisions."""

from __future__ import annotations

from collections.abc import Callable, Sequence

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
from forwarder.decisions.events import (
    AttemptEnded,
    EndpointListKind,
    Event,
    HealthCheckEnded,
    LoadReport,
    MessageArrived,
    MessageWithdrawn,
    TimerFired,
)
from forwarder.decisions.outcomes import Outcome
from forwarder.protocol.checked_fields import JsonObject, require_field, require_word

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
LIST_KINDS = {
    "INCREMENTAL": EndpointListKind.CHANGES,
    "FULL": EndpointListKind.WHOLE,
    "SAVED": EndpointListKind.SAVED,
    "FAILED": EndpointListKind.FAILED,
}

LIMIT_LEFT_FIELD = "x0"
LIMIT_PER_S_FIELD = "x1"
"""The names of the two numbers in a load report."""

US_PER_MS = 1000

ReportFields = Sequence[str]
"""The names of the numbers in an instance's load reports, in order."""


def parse_report_fields(raw_settings: JsonObject) -> ReportFields:
    """Returns the names of the numbers in load reports, from an instance's settings."""
    return list((raw_settings.get("telemetry") or {}).get("fields") or [])


def parse_load_report(report_fields: ReportFields, event: JsonObject) -> LoadReport | None:
    """Returns the load report in an event, or None if it has none."""
    numbers = event.get("telemetry")
    if not numbers:
        return None
    report = dict(zip(report_fields, numbers, strict=False))
    if LIMIT_LEFT_FIELD not in report or LIMIT_PER_S_FIELD not in report:
        return None
    return LoadReport(float(report[LIMIT_LEFT_FIELD] or 0.0), float(report[LIMIT_PER_S_FIELD] or 0.0))


def parse_message_arrived(event: JsonObject, report_fields: ReportFields) -> MessageArrived:
    """Returns the event of an ASK."""
    account = event.get("account")
    return MessageArrived(
        message_id=require_field(event, "msg_id", str),
        destination=require_field(event, "dest", int),
        class_name=require_field(event, "class", str),
        due_us=require_field(event, "due_us", int),
        key=event.get("route_key"),
        tenant=account if isinstance(account, str) else None,
        resent=bool(event.get("resent", False)),
    )


def parse_attempt_ended(event: JsonObject, report_fields: ReportFields) -> AttemptEnded:
    """Returns the event of a CLOSED_ATTEMPT; Retry-After, in milliseconds, is rounded up."""
    outcome = require_word(OUTCOMES, event, "result")
    wait_ms = event.get("wait_ms") or 0
    return AttemptEnded(
        message_id=require_field(event, "msg_id", str),
        attempt=require_field(event, "try", int),
        endpoint=require_field(event, "target", int),
        outcome=outcome,
        duration_us=require_field(event, "lag_us", int),
        is_final=bool(event.get("closed", False)),
        retry_after_us=-int(-wait_ms * US_PER_MS // 1) if outcome is Outcome.REJECTED else 0,
        report=parse_load_report(report_fields, event),
    )


def parse_health_check_ended(event: JsonObject, report_fields: ReportFields) -> HealthCheckEnded:
    """Returns the event of a CHECK_RESULT."""
    return HealthCheckEnded(
        endpoint=require_field(event, "target", int),
        outcome=require_word(OUTCOMES, event, "result"),
        duration_us=require_field(event, "lag_us", int),
        report=parse_load_report(report_fields, event),
    )


def parse_message_withdrawn(event: JsonObject, report_fields: ReportFields) -> MessageWithdrawn:
    """Returns the event of a CLIENT_LEFT."""
    return MessageWithdrawn(require_field(event, "msg_id", str))


def parse_timer_fired(event: JsonObject, report_fields: ReportFields) -> TimerFired:
    """Returns the event of a DEADLINE_HIT."""
    return TimerFired(require_field(event, "token", str))


EVENT_PARSERS: dict[str, Callable[[JsonObject, ReportFields], Event]] = {
    "ASK": parse_message_arrived,
    "CLOSED_ATTEMPT": parse_attempt_ended,
    "CHECK_RESULT": parse_health_check_ended,
    "CLIENT_LEFT": parse_message_withdrawn,
    "DEADLINE_HIT": parse_timer_fired,
}
"""Parsers by type of wire event, for events addressed to a single instance. All raise MalformedInputError."""


def render_actions(instance: str, actions: Sequence[Action]) -> list[JsonObject]:
    """Returns the commands of one instance.

    A simulated instance always starts empty, so actions that store state for a restart have no command.
    """
    return [
        render_action(instance, action)
        for action in actions
        if not isinstance(action, EjectionChanged | KeyBackoffStarted)
    ]


def render_action(instance: str, action: Action) -> JsonObject:
    """Returns the command of one action.

    Raises:
        TypeError: The wire has no command for the action.
    """
    match action:
        case SendAttempt():
            sent = {"msg_id": action.message_id, "target": action.endpoint, "try_for_us": action.timeout_us}
            return _command("ISSUE", instance, sent)
        case SetTimer():
            return _command("ARM", instance, {"offset_us": action.delay_us, "token": action.token})
        case RejectMessage():
            return _command("TURN_AWAY", instance, {"msg_id": action.message_id, "wait_us": action.retry_after_us})
        case FailMessage():
            return _command("END_FAILED", instance, {"msg_id": action.message_id})
        case CancelAttempt():
            return _command("ABANDON", instance, {"msg_id": action.message_id, "try": action.attempt})
        case CheckHealth():
            return _command("POLL", instance, {"target": action.endpoint})
        case CloseIdleConnections():
            return _command("RELEASE", instance, {"target": action.endpoint})
        case RequestEndpointList():
            return _command("STREAM_CHANGES", instance, {"on": True})
        case LogLine():
            return _command("PRINT", instance, {"reason_text": action.text})
        case _:
            raise TypeError(f"no command for {action}")


def render_error(instance: str, error: Exception) -> JsonObject:
    """Returns the command that reports an error of an instance, in one line."""
    text = " ".join(f"{type(error).__name__}: {error}".split())
    return _command("INTERNAL_ERROR", instance, {"reason_text": text})


def _command(name: str, instance: str, fields: JsonObject) -> JsonObject:
    return {"type": name, "forwarder_id": instance, **fields}
