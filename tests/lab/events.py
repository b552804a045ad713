"""Events as the fake parties see them, for tests."""

from __future__ import annotations

from typing import Any

from lab.event_log import Event
from lab.plan import REFUND_CLASS


def ev(at_s: float, kind: str, ident: str = "", node: str = "n0", **more: Any) -> Event:
    return Event(at_s, kind, ident, node, **more)


def handed(
    at_s: float, ident: str, cls: str = REFUND_CLASS, key: str | None = "k", number: int = 0, **more: Any
) -> list[Event]:
    due = {"due_s": at_s + 5.0} | more
    return [
        ev(at_s, "handed", ident, state=cls, key=key, number=number, destination=7, **due),
        ev(at_s + 0.01, "answer", ident, status=202, number=number),
    ]


def called(
    at_s: float, ident: str, call: int, status: int | None = 200, party: str = "s-1", **more: Any
) -> list[Event]:
    events = [ev(at_s, "call", ident, party=party, call=call, first_s=more.pop("first_s", at_s), destination=7)]
    if status in (200, 500, None):
        events.append(ev(at_s, "ran", ident, party=party, call=call))
    if status is not None:
        events.append(ev(at_s + 0.1, "answered", ident, party=party, call=call, status=status, destination=7, **more))
    return events


def fine(ident: str = "a", at_s: float = 0.0, call: int = 1, **more: Any) -> list[Event]:
    return [*handed(at_s, ident, **more), *called(at_s + 0.1, ident, call)]
