"""Tests that each rule finds its violation in events that break only that rule, and nothing in valid events."""

from __future__ import annotations

from typing import Any

import pytest

from lab.event_log import Event, EventKind
from lab.plan import REFUND_CLASS, STATUS_CLASS
from lab.rules import check
from tests.lab.events import called, delivered, event, submitted

KEY_BACKOFF_S = 1.0


END_OF_RUN = [event(20.0, EventKind.FORWARDER_READY, node="n9")]


KILLED = [event(0.5, EventKind.PROCESS_KILLED), event(0.5, EventKind.PROCESS_ENDED, status=-9)]


def killed_before_answer(at_s: float, message_id: str, **fields: Any) -> list[Event]:
    """Return events of a message whose forwarder is killed before the answer and ready again 1 s after the message."""
    return [
        *submitted(at_s, message_id, **fields)[:1],
        event(at_s + 0.05, EventKind.PROCESS_KILLED),
        event(at_s + 0.05, EventKind.PROCESS_ENDED, status=-9),
        event(at_s + 0.06, EventKind.SUBMIT_UNANSWERED, message_id),
        event(at_s + 1.0, EventKind.FORWARDER_READY),
    ]


VALID: dict[str, list[Event]] = {
    "delivered": delivered(),
    "refused by the endpoint and sent again": [*submitted(0, "a"), *called(0.1, "a", 1, 503), *called(1, "a", 2)],
    "sent again after its connection was cut": [
        *submitted(0, "a", STATUS_CLASS, None),
        *called(0.1, "a", 1, None),
        *called(0.2, "a", 2, party="s-2"),
        event(0.201, EventKind.CALL_ABORTED, "a", party="s-1", call=1),
    ],
    "the next message of a key after the key's backoff": [
        *submitted(0, "a"),
        *called(0.1, "a", 1, None),
        event(0.2, EventKind.CALL_ABORTED, "a", party="s-1", call=1),
        event(0.3, EventKind.NOTICE, "a", state="failed"),
        *delivered("b", 2.0, 2, number=1),
    ],
    "takes effect late under an id that its client has given up": [
        event(0, EventKind.SUBMITTED, "a", state=REFUND_CLASS, number=0, destination=7, due_s=5),
        event(0.4, EventKind.SUBMIT_TIMED_OUT, "a", number=0),
        *delivered("b", 0.5, 1, number=0),
        *called(2, "a", 2),
    ],
    "its connection was cut by an injected fault": [
        event(0, EventKind.SUBMITTED, "a", state=REFUND_CLASS, number=0, destination=7, due_s=5),
        event(0.1, EventKind.SUBMIT_CUT_OFF, "a", number=0),
        *delivered("b", 0.5, 1, number=0),
    ],
    "returned unsent": [*submitted(0, "a"), event(5.2, EventKind.NOTICE, "a", state="returned"), *END_OF_RUN],
    "failed after it ran": [
        *submitted(0, "a"),
        *called(0.1, "a", 1, 500),
        event(1, EventKind.NOTICE, "a", state="failed"),
        *END_OF_RUN,
    ],
    "a repeatable message runs twice": [
        *submitted(0, "a", STATUS_CLASS, None),
        *called(0.1, "a", 1, 500),
        *called(1, "a", 2),
    ],
    "overdue, but the forwarder was down": [
        *submitted(0, "a"),
        *KILLED,
        event(6, EventKind.FORWARDER_READY),
        event(7.4, EventKind.NOTICE, "a", state="failed"),
        *END_OF_RUN,
    ],
    "the next message of a key after the first was delivered": [*delivered("a"), *delivered("b", 1.0, 2, number=1)],
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
    "within the grace period of a drain": [
        event(0, EventKind.HEALTH_SENT, party="s-1", state="draining"),
        *delivered(),
    ],
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
    "lost with its state folder": [
        *submitted(0, "a"),
        *KILLED,
        event(0.6, EventKind.STATE_FOLDER_CHANGED, state="lost"),
        event(1, EventKind.FORWARDER_READY),
        *END_OF_RUN,
    ],
    "no answer, but its forwarder was being killed": [
        event(0, EventKind.SUBMITTED, "a", due_s=5, state=REFUND_CLASS, destination=7),
        *KILLED,
        event(0.6, EventKind.SUBMIT_UNANSWERED, "a"),
    ],
    "given up by its client, so its outcome is ignored": [
        event(0, EventKind.SUBMITTED, "a", due_s=5, state=REFUND_CLASS, key="k", destination=7, number=0),
        event(0.4, EventKind.SUBMIT_TIMED_OUT, "a"),
        *called(0.3, "a", 1, 500),
        *delivered("b", 1.0, 2),
    ],
    "given up, and sent before a message accepted since": [
        event(0, EventKind.SUBMITTED, "a", due_s=5, state=REFUND_CLASS, key="k", destination=7, number=0),
        event(0.4, EventKind.SUBMIT_TIMED_OUT, "a"),
        *submitted(0.5, "b", number=0),
        *called(0.6, "a", 1, 503),
        *called(1.0, "b", 2),
    ],
    "recorded before its process was killed before the 202, and sent before later submissions": [
        *killed_before_answer(0, "a", number=0),
        *submitted(1.1, "b", number=0),
        *submitted(1.2, "c", number=1),
        *called(1.3, "a", 1),
        *called(1.5, "b", 2),
        *called(1.7, "c", 3),
    ],
    "overdue, but the forwarder was paused": [
        *submitted(0, "a"),
        event(1, EventKind.PROCESS_PAUSED),
        event(9, EventKind.PROCESS_RESUMED),
        event(10, EventKind.NOTICE, "a", state="failed"),
        *END_OF_RUN,
    ],
}


BROKEN: dict[str, tuple[str, list[Event]]] = {
    "never ended": ("lost", [*submitted(0, "a"), *END_OF_RUN]),
    "ended too late": ("lost", [*submitted(0, "a"), event(5.6, EventKind.NOTICE, "a", state="failed"), *END_OF_RUN]),
    "overdue long after the forwarder was ready again": (
        "lost",
        [*submitted(0, "a"), *KILLED, event(1, EventKind.FORWARDER_READY), *END_OF_RUN],
    ),
    "its connection ended without an answer": (
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
    "takes effect under another id": ("duplicate", [*delivered("a"), *delivered("b", 2.0, 2)]),
    "returned though it ran": (
        "duplicate",
        [*submitted(0, "a"), *called(0.1, "a", 1, 500), event(1, EventKind.NOTICE, "a", state="returned")],
    ),
    "two calls in flight at once": (
        "second copy",
        [*submitted(0, "a", STATUS_CLASS, None), *called(0.1, "a", 1, None), *called(0.2, "a", 2, party="s-2")],
    ),
    "a cut seen too late to be a coincidence": (
        "second copy",
        [
            *submitted(0, "a", STATUS_CLASS, None),
            *called(0.1, "a", 1, None),
            *called(0.2, "a", 2, party="s-2"),
            event(0.4, EventKind.CALL_ABORTED, "a", party="s-1", call=1),
        ],
    ),
    "a cut seen just after the second call, of a message that may not run twice": (
        "duplicate",
        [
            *submitted(0, "a"),
            *called(0.1, "a", 1, None),
            *called(0.2, "a", 2, party="s-2"),
            event(0.201, EventKind.CALL_ABORTED, "a", party="s-1", call=1),
        ],
    ),
    "sent before an earlier message of its key": (
        "order",
        [*submitted(0, "a"), *submitted(0.1, "b", number=1), *called(0.2, "b", 1), *called(1, "a", 2)],
    ),
    "recorded before its process was killed before the 202, and sent before an earlier submission": (
        "order",
        [*submitted(0, "a"), *killed_before_answer(0.1, "b", number=1), *called(1.1, "b", 1), *called(2, "a", 2)],
    ),
    "sent before the end of its key's backoff": (
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
    "sent after it was refused": (
        "lost",
        [
            event(0, EventKind.SUBMITTED, "a", due_s=5, state=STATUS_CLASS, destination=7),
            event(0.1, EventKind.SUBMIT_ANSWERED, "a", status=503),
            *called(1, "a", 1),
        ],
    ),
    "sent after its notice": (
        "lost",
        [*submitted(0, "a", STATUS_CLASS, None), event(1, EventKind.NOTICE, "a", state="returned"), *called(2, "a", 1)],
    ),
    "sent within its Retry-After": (
        "wait",
        [*submitted(0, "a"), *called(0.1, "a", 1, 429, wait_s=3.0), *called(1, "a", 2)],
    ),
    "another message sent within a Retry-After": (
        "wait",
        [
            *submitted(0, "a"),
            *submitted(0, "b", number=1, key="z"),
            *called(0.1, "a", 1, 429, wait_s=3.0),
            *called(1, "b", 2),
            *called(4, "a", 3),
        ],
    ),
    "sent to a draining endpoint": (
        "drain",
        [event(0, EventKind.HEALTH_SENT, party="s-1", state="draining"), *delivered("a", 1.0)],
    ),
    "sent to a removed endpoint": (
        "drain",
        [event(0, EventKind.HEALTH_SENT, party="s-1", state="removed"), *delivered("a", 1.0)],
    ),
    "sent to a disabled endpoint": ("ban", [event(0, EventKind.ENDPOINT_DISABLED, party="s-1"), *delivered("a", 1.0)]),
    "a message that no client submitted": ("unknown", [event(0, EventKind.UNKNOWN_MESSAGE, "a", party="s-1")]),
    "overloaded while warming up": (
        "cold",
        [event(0, EventKind.ENDPOINT_OVERLOADED, party="s-1", share=0.8, state="pushed")],
    ),
    "a crash": ("crash", [event(0, EventKind.PROCESS_ENDED, status=1, state="crashed")]),
}


@pytest.mark.parametrize("events", VALID.values(), ids=VALID)
def test_valid_events_have_no_findings(events: list[Event]) -> None:
    assert check(sorted(events, key=lambda e: e.at_s), key_backoff_s=KEY_BACKOFF_S).findings == []


@pytest.mark.parametrize(("rule", "events"), BROKEN.values(), ids=BROKEN)
def test_each_kind_of_violation_is_found(rule: str, events: list[Event]) -> None:
    findings = check(sorted(events, key=lambda e: e.at_s), key_backoff_s=KEY_BACKOFF_S).findings
    assert {f.rule for f in findings} == {rule}
    assert all(f.id in f.text or f.id for f in findings if rule not in ("cold", "crash"))
