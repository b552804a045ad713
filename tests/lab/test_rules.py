"""The rules find each kind of violation in events that break just that one, and nothing in clean ones."""

from __future__ import annotations

from typing import Any

import pytest

from lab.event_log import Event, EventKind
from lab.plan import REFUND_CLASS, STATUS_CLASS
from lab.rules import check
from tests.lab.events import called, delivered, event, submitted

KEY_BACKOFF_S = 1.0


LATE = [event(20.0, EventKind.FORWARDER_READY, node="n9")]


KILLED = [event(0.5, EventKind.PROCESS_KILLED), event(0.5, EventKind.PROCESS_ENDED, status=-9)]


def unheard(at_s: float, message_id: str, **more: Any) -> list[Event]:
    """A message whose forwarder is killed before its answer, and is ready again one second after it came."""
    return [
        *submitted(at_s, message_id, **more)[:1],
        event(at_s + 0.05, EventKind.PROCESS_KILLED),
        event(at_s + 0.05, EventKind.PROCESS_ENDED, status=-9),
        event(at_s + 0.06, EventKind.SUBMIT_UNANSWERED, message_id),
        event(at_s + 1.0, EventKind.FORWARDER_READY),
    ]


CLEAN: dict[str, list[Event]] = {
    "delivered": delivered(),
    "refused by the endpoint and sent again": [*submitted(0, "a"), *called(0.1, "a", 1, 503), *called(1, "a", 2)],
    "sent again as its connection was cut": [
        *submitted(0, "a", STATUS_CLASS, None),
        *called(0.1, "a", 1, None),
        *called(0.2, "a", 2, party="s-2"),
        event(0.201, EventKind.CALL_ABORTED, "a", party="s-1", call=1),
    ],
    "the next of a key after its backoff": [
        *submitted(0, "a"),
        *called(0.1, "a", 1, None),
        event(0.2, EventKind.CALL_ABORTED, "a", party="s-1", call=1),
        event(0.3, EventKind.NOTICE, "a", state="failed"),
        *delivered("b", 2.0, 2, number=1),
    ],
    "takes effect late under an id that its client gave up": [
        event(0, EventKind.SUBMITTED, "a", state=REFUND_CLASS, number=0, destination=7, due_s=5),
        event(0.4, EventKind.SUBMIT_TIMED_OUT, "a", number=0),
        *delivered("b", 0.5, 1, number=0),
        *called(2, "a", 2),
    ],
    "its connection was cut by the schedule": [
        event(0, EventKind.SUBMITTED, "a", state=REFUND_CLASS, number=0, destination=7, due_s=5),
        event(0.1, EventKind.SUBMIT_CUT_OFF, "a", number=0),
        *delivered("b", 0.5, 1, number=0),
    ],
    "returned unsent": [*submitted(0, "a"), event(5.2, EventKind.NOTICE, "a", state="returned"), *LATE],
    "failed after it ran": [
        *submitted(0, "a"),
        *called(0.1, "a", 1, 500),
        event(1, EventKind.NOTICE, "a", state="failed"),
        *LATE,
    ],
    "a repeatable one runs twice": [
        *submitted(0, "a", STATUS_CLASS, None),
        *called(0.1, "a", 1, 500),
        *called(1, "a", 2),
    ],
    "overdue, but the forwarder was down": [
        *submitted(0, "a"),
        *KILLED,
        event(6, EventKind.FORWARDER_READY),
        event(7.4, EventKind.NOTICE, "a", state="failed"),
        *LATE,
    ],
    "the next of a key after the first": [*delivered("a"), *delivered("b", 1.0, 2, number=1)],
    "a Retry-After that a restart ended": [
        *submitted(0, "a"),
        *called(0.1, "a", 1, 429, wait_s=3.0),
        *KILLED,
        event(1, EventKind.FORWARDER_READY),
        *called(1.1, "a", 2),
    ],
    "a call just after a Retry-After": [
        *submitted(0, "a"),
        *submitted(0, "b", number=1, key="z"),
        *called(0.1, "a", 1, 429, wait_s=1.0),
        *called(0.25, "b", 2),
        *called(2, "a", 3),
    ],
    "in the grace of a drain": [event(0, EventKind.HEALTH_SENT, party="s-1", state="draining"), *delivered()],
    "listed again after a drain": [
        event(0, EventKind.HEALTH_SENT, party="s-1", state="draining"),
        event(1, EventKind.HEALTH_SENT, party="s-1", state="up"),
        *delivered("a", 2.0),
    ],
    "called again after it was enabled": [
        event(0, EventKind.ENDPOINT_DISABLED, party="s-1"),
        event(1, EventKind.ENDPOINT_ENABLED, party="s-1"),
        *delivered("a", 2.0),
    ],
    "lost with its folder": [
        *submitted(0, "a"),
        *KILLED,
        event(0.6, EventKind.STATE_FOLDER_CHANGED, state="lost"),
        event(1, EventKind.FORWARDER_READY),
        *LATE,
    ],
    "no answer, but it was being killed": [
        event(0, EventKind.SUBMITTED, "a", due_s=5, state=REFUND_CLASS, destination=7),
        *KILLED,
        event(0.6, EventKind.SUBMIT_UNANSWERED, "a"),
    ],
    "given up by its client, so it counts for nothing": [
        event(0, EventKind.SUBMITTED, "a", due_s=5, state=REFUND_CLASS, key="k", destination=7, number=0),
        event(0.4, EventKind.SUBMIT_TIMED_OUT, "a"),
        *called(0.3, "a", 1, 500),
        *delivered("b", 1.0, 2),
    ],
    "given up, and sent before what was taken on since": [
        event(0, EventKind.SUBMITTED, "a", due_s=5, state=REFUND_CLASS, key="k", destination=7, number=0),
        event(0.4, EventKind.SUBMIT_TIMED_OUT, "a"),
        *submitted(0.5, "b", number=0),
        *called(0.6, "a", 1, 503),
        *called(1.0, "b", 2),
    ],
    "on record as its process was killed before the 202, and sent before what was handed in later": [
        *unheard(0, "a", number=0),
        *submitted(1.1, "b", number=0),
        *submitted(1.2, "c", number=1),
        *called(1.3, "a", 1),
        *called(1.5, "b", 2),
        *called(1.7, "c", 3),
    ],
    "stopped, and as late as that": [
        *submitted(0, "a"),
        event(1, EventKind.PROCESS_PAUSED),
        event(9, EventKind.PROCESS_RESUMED),
        event(10, EventKind.NOTICE, "a", state="failed"),
        *LATE,
    ],
}


BROKEN: dict[str, tuple[str, list[Event]]] = {
    "no end at all": ("lost", [*submitted(0, "a"), *LATE]),
    "an end too late": ("lost", [*submitted(0, "a"), event(5.6, EventKind.NOTICE, "a", state="failed"), *LATE]),
    "late though long ready again": ("lost", [*submitted(0, "a"), *KILLED, event(1, EventKind.FORWARDER_READY), *LATE]),
    "the connection ended unanswered": (
        "lost",
        [event(0, EventKind.SUBMITTED, "a", due_s=5, state=REFUND_CLASS), event(0.1, EventKind.SUBMIT_UNANSWERED, "a")],
    ),
    "sent again after an error": ("duplicate", [*submitted(0, "a"), *called(0.1, "a", 1, 500), *called(1, "a", 2)]),
    "sent again after a cut": (
        "duplicate",
        [
            *submitted(0, "a"),
            *called(0.1, "a", 1, None),
            event(0.5, EventKind.CALL_ABORTED, "a", party="s-1", call=1),
            *called(1, "a", 2),
        ],
    ),
    "effect under another id": ("duplicate", [*delivered("a"), *delivered("b", 2.0, 2)]),
    "returned though it ran": (
        "duplicate",
        [*submitted(0, "a"), *called(0.1, "a", 1, 500), event(1, EventKind.NOTICE, "a", state="returned")],
    ),
    "two out at once": (
        "second copy",
        [*submitted(0, "a", STATUS_CLASS, None), *called(0.1, "a", 1, None), *called(0.2, "a", 2, party="s-2")],
    ),
    "a cut that was seen too late for chance": (
        "second copy",
        [
            *submitted(0, "a", STATUS_CLASS, None),
            *called(0.1, "a", 1, None),
            *called(0.2, "a", 2, party="s-2"),
            event(0.4, EventKind.CALL_ABORTED, "a", party="s-1", call=1),
        ],
    ),
    "a cut seen just after, of what may not run twice": (
        "duplicate",
        [
            *submitted(0, "a"),
            *called(0.1, "a", 1, None),
            *called(0.2, "a", 2, party="s-2"),
            event(0.201, EventKind.CALL_ABORTED, "a", party="s-1", call=1),
        ],
    ),
    "past one of its key": (
        "order",
        [*submitted(0, "a"), *submitted(0.1, "b", number=1), *called(0.2, "b", 1), *called(1, "a", 2)],
    ),
    "on record as its process was killed before the 202, and sent past one handed in before it": (
        "order",
        [*submitted(0, "a"), *unheard(0.1, "b", number=1), *called(1.1, "b", 1), *called(2, "a", 2)],
    ),
    "before the backoff of its key is over": (
        "order",
        [
            *submitted(0, "a"),
            *called(0.1, "a", 1, None),
            event(0.2, EventKind.CALL_ABORTED, "a", party="s-1", call=1),
            event(0.3, EventKind.NOTICE, "a", state="failed"),
            *submitted(0.4, "b", number=1),
            *called(0.5, "b", 2),
        ],
    ),
    "after it was refused": (
        "lost",
        [
            event(0, EventKind.SUBMITTED, "a", due_s=5, state=STATUS_CLASS, destination=7),
            event(0.1, EventKind.SUBMIT_ANSWERED, "a", status=503),
            *called(1, "a", 1),
        ],
    ),
    "after its notice": (
        "lost",
        [*submitted(0, "a", STATUS_CLASS, None), event(1, EventKind.NOTICE, "a", state="returned"), *called(2, "a", 1)],
    ),
    "within a Retry-After": ("wait", [*submitted(0, "a"), *called(0.1, "a", 1, 429, wait_s=3.0), *called(1, "a", 2)]),
    "another message within a Retry-After": (
        "wait",
        [
            *submitted(0, "a"),
            *submitted(0, "b", number=1, key="z"),
            *called(0.1, "a", 1, 429, wait_s=3.0),
            *called(1, "b", 2),
            *called(4, "a", 3),
        ],
    ),
    "after a drain": ("drain", [event(0, EventKind.HEALTH_SENT, party="s-1", state="draining"), *delivered("a", 1.0)]),
    "after its removal": (
        "drain",
        [event(0, EventKind.HEALTH_SENT, party="s-1", state="removed"), *delivered("a", 1.0)],
    ),
    "after it was disabled": ("ban", [event(0, EventKind.ENDPOINT_DISABLED, party="s-1"), *delivered("a", 1.0)]),
    "a message that no client submitted": ("unknown", [event(0, EventKind.UNKNOWN_MESSAGE, "a", party="s-1")]),
    "overloaded while warming up": (
        "cold",
        [event(0, EventKind.ENDPOINT_OVERLOADED, party="s-1", share=0.8, state="pushed")],
    ),
    "a crash": ("crash", [event(0, EventKind.PROCESS_ENDED, status=1, state="crashed")]),
}


@pytest.mark.parametrize("events", CLEAN.values(), ids=CLEAN)
def test_nothing_is_found_in_clean_events(events: list[Event]) -> None:
    assert check(sorted(events, key=lambda e: e.at_s), key_backoff_s=KEY_BACKOFF_S).findings == []


@pytest.mark.parametrize(("rule", "events"), BROKEN.values(), ids=BROKEN)
def test_each_kind_of_broken_rule_is_found(rule: str, events: list[Event]) -> None:
    found = check(sorted(events, key=lambda e: e.at_s), key_backoff_s=KEY_BACKOFF_S).findings
    assert {f.rule for f in found} == {rule}
    assert all(f.id in f.text or f.id for f in found if rule not in ("cold", "crash"))
