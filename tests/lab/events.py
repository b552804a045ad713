"""Builders of events as the fake parties see them."""

from __future__ import annotations

from typing import Any

from lab.event_log import Event, EventKind
from lab.plan import REFUND_CLASS


def event(at_s: float, kind: EventKind, message_id: str = "", node: str = "n0", **fields: Any) -> Event:
    return Event(at_s, kind, message_id, node, **fields)


def submitted(
    at_s: float,
    message_id: str,
    message_class: str = REFUND_CLASS,
    key: str | None = "k",
    number: int = 0,
    **fields: Any,
) -> list[Event]:
    due = {"due_s": at_s + 5.0} | fields
    return [
        event(at_s, EventKind.SUBMITTED, message_id, state=message_class, key=key, number=number, destination=7, **due),
        event(at_s + 0.01, EventKind.SUBMIT_ANSWERED, message_id, status=202, number=number),
    ]


def called(
    at_s: float, message_id: str, call: int, status: int | None = 200, party: str = "s-1", **fields: Any
) -> list[Event]:
    events = [
        event(
            at_s,
            EventKind.CALL_RECEIVED,
            message_id,
            party=party,
            call=call,
            first_s=fields.pop("first_s", at_s),
            destination=7,
        )
    ]
    if status in (200, 500, None):
        events.append(event(at_s, EventKind.CALL_STARTED, message_id, party=party, call=call))
    if status is not None:
        events.append(
            event(
                at_s + 0.1,
                EventKind.CALL_ANSWERED,
                message_id,
                party=party,
                call=call,
                status=status,
                destination=7,
                **fields,
            )
        )
    return events


def delivered(message_id: str = "a", at_s: float = 0.0, call: int = 1, **fields: Any) -> list[Event]:
    return [*submitted(at_s, message_id, **fields), *called(at_s + 0.1, message_id, call)]
