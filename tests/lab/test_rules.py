"""The rules find each kind of violation in events that break just that one, and nothing in clean ones."""

from __future__ import annotations

import pytest

from lab.event_log import Event
from lab.plan import REFUND_CLASS, STATUS_CLASS
from lab.rules import check
from tests.lab.events import called, ev, fine, handed

KEY_BACKOFF_S = 1.0


LATE = [ev(20.0, "up", node="n9")]


KILLED = [ev(0.5, "killed"), ev(0.5, "ended", status=-9)]


CLEAN: dict[str, list[Event]] = {
    "delivered": fine(),
    "refused by the endpoint and sent again": [*handed(0, "a"), *called(0.1, "a", 1, 503), *called(1, "a", 2)],
    "sent again as its connection was cut": [
        *handed(0, "a", STATUS_CLASS, None),
        *called(0.1, "a", 1, None),
        *called(0.2, "a", 2, party="s-2"),
        ev(0.201, "cut", "a", party="s-1", call=1),
    ],
    "the next of a key after its rest": [
        *handed(0, "a"),
        *called(0.1, "a", 1, None),
        ev(0.2, "cut", "a", party="s-1", call=1),
        ev(0.3, "notice", "a", state="failed"),
        *fine("b", 2.0, 2, number=1),
    ],
    "returned unsent": [*handed(0, "a"), ev(5.2, "notice", "a", state="returned"), *LATE],
    "failed after it ran": [*handed(0, "a"), *called(0.1, "a", 1, 500), ev(1, "notice", "a", state="failed"), *LATE],
    "a repeatable one runs twice": [*handed(0, "a", STATUS_CLASS, None), *called(0.1, "a", 1, 500), *called(1, "a", 2)],
    "overdue, but the forwarder was away": [
        *handed(0, "a"),
        *KILLED,
        ev(6, "up"),
        ev(7.4, "notice", "a", state="failed"),
        *LATE,
    ],
    "the next of a key after the first": [*fine("a"), *fine("b", 1.0, 2, number=1)],
    "a wait that a restart ended": [
        *handed(0, "a"),
        *called(0.1, "a", 1, 429, wait_s=3.0),
        *KILLED,
        ev(1, "up"),
        *called(1.1, "a", 2),
    ],
    "a call just after a wait was told": [
        *handed(0, "a"),
        *handed(0, "b", number=1, key="z"),
        *called(0.1, "a", 1, 429, wait_s=1.0),
        *called(0.25, "b", 2),
        *called(2, "a", 3),
    ],
    "in the grace of a drain": [ev(0, "told", party="s-1", state="draining"), *fine()],
    "listed again after a drain": [
        ev(0, "told", party="s-1", state="draining"),
        ev(1, "told", party="s-1", state="up"),
        *fine("a", 2.0),
    ],
    "used again after a ban": [ev(0, "banned", party="s-1"), ev(1, "unbanned", party="s-1"), *fine("a", 2.0)],
    "gone with a lost folder": [*handed(0, "a"), *KILLED, ev(0.6, "folder", state="lost"), ev(1, "up"), *LATE],
    "no answer, but it was being killed": [
        ev(0, "handed", "a", due_s=5, state=REFUND_CLASS, destination=7),
        *KILLED,
        ev(0.6, "unanswered", "a"),
    ],
    "given up by its client, so it counts for nothing": [
        ev(0, "handed", "a", due_s=5, state=REFUND_CLASS, key="k", destination=7, number=0),
        ev(0.4, "given_up", "a"),
        *called(0.3, "a", 1, 500),
        *fine("b", 1.0, 2),
    ],
    "given up, and sent before what was taken on since": [
        ev(0, "handed", "a", due_s=5, state=REFUND_CLASS, key="k", destination=7, number=0),
        ev(0.4, "given_up", "a"),
        *handed(0.5, "b", number=0),
        *called(0.6, "a", 1, 503),
        *called(1.0, "b", 2),
    ],
    "stopped, and as late as that": [
        *handed(0, "a"),
        ev(1, "paused"),
        ev(9, "resumed"),
        ev(10, "notice", "a", state="failed"),
        *LATE,
    ],
}


BROKEN: dict[str, tuple[str, list[Event]]] = {
    "no end at all": ("lost", [*handed(0, "a"), *LATE]),
    "an end too late": ("lost", [*handed(0, "a"), ev(5.6, "notice", "a", state="failed"), *LATE]),
    "late though long ready again": ("lost", [*handed(0, "a"), *KILLED, ev(1, "up"), *LATE]),
    "the connection ended unanswered": (
        "lost",
        [ev(0, "handed", "a", due_s=5, state=REFUND_CLASS), ev(0.1, "unanswered", "a")],
    ),
    "sent again after an error": ("duplicate", [*handed(0, "a"), *called(0.1, "a", 1, 500), *called(1, "a", 2)]),
    "sent again after a cut": (
        "duplicate",
        [*handed(0, "a"), *called(0.1, "a", 1, None), ev(0.5, "cut", "a", party="s-1", call=1), *called(1, "a", 2)],
    ),
    "effect under another id": ("duplicate", [*fine("a"), *fine("b", 2.0, 2)]),
    "returned though it ran": (
        "duplicate",
        [*handed(0, "a"), *called(0.1, "a", 1, 500), ev(1, "notice", "a", state="returned")],
    ),
    "two out at once": (
        "second copy",
        [*handed(0, "a", STATUS_CLASS, None), *called(0.1, "a", 1, None), *called(0.2, "a", 2, party="s-2")],
    ),
    "a cut that was seen too late for chance": (
        "second copy",
        [
            *handed(0, "a", STATUS_CLASS, None),
            *called(0.1, "a", 1, None),
            *called(0.2, "a", 2, party="s-2"),
            ev(0.4, "cut", "a", party="s-1", call=1),
        ],
    ),
    "a cut seen just after, of what may not run twice": (
        "duplicate",
        [
            *handed(0, "a"),
            *called(0.1, "a", 1, None),
            *called(0.2, "a", 2, party="s-2"),
            ev(0.201, "cut", "a", party="s-1", call=1),
        ],
    ),
    "past one of its key": (
        "order",
        [*handed(0, "a"), *handed(0.1, "b", number=1), *called(0.2, "b", 1), *called(1, "a", 2)],
    ),
    "before the rest of its key is over": (
        "order",
        [
            *handed(0, "a"),
            *called(0.1, "a", 1, None),
            ev(0.2, "cut", "a", party="s-1", call=1),
            ev(0.3, "notice", "a", state="failed"),
            *handed(0.4, "b", number=1),
            *called(0.5, "b", 2),
        ],
    ),
    "after it was refused": (
        "lost",
        [
            ev(0, "handed", "a", due_s=5, state=STATUS_CLASS, destination=7),
            ev(0.1, "answer", "a", status=503),
            *called(1, "a", 1),
        ],
    ),
    "after its notice": (
        "lost",
        [*handed(0, "a", STATUS_CLASS, None), ev(1, "notice", "a", state="returned"), *called(2, "a", 1)],
    ),
    "within a wait": ("wait", [*handed(0, "a"), *called(0.1, "a", 1, 429, wait_s=3.0), *called(1, "a", 2)]),
    "another message within a wait": (
        "wait",
        [
            *handed(0, "a"),
            *handed(0, "b", number=1, key="z"),
            *called(0.1, "a", 1, 429, wait_s=3.0),
            *called(1, "b", 2),
            *called(4, "a", 3),
        ],
    ),
    "after a drain": ("drain", [ev(0, "told", party="s-1", state="draining"), *fine("a", 1.0)]),
    "after its removal": ("drain", [ev(0, "told", party="s-1", state="removed"), *fine("a", 1.0)]),
    "after a ban": ("ban", [ev(0, "banned", party="s-1"), *fine("a", 1.0)]),
    "to a stranger": ("unknown", [ev(0, "stranger", "a", party="s-1")]),
    "pushed over when cold": ("cold", [ev(0, "fell", party="s-1", share=0.8, state="pushed")]),
    "a crash": ("crash", [ev(0, "ended", status=1, state="crashed")]),
}


@pytest.mark.parametrize("events", CLEAN.values(), ids=CLEAN)
def test_nothing_is_found_in_clean_events(events: list[Event]) -> None:
    assert check(sorted(events, key=lambda e: e.at_s), key_backoff_s=KEY_BACKOFF_S).findings == []


@pytest.mark.parametrize(("rule", "events"), BROKEN.values(), ids=BROKEN)
def test_each_kind_of_broken_rule_is_found(rule: str, events: list[Event]) -> None:
    found = check(sorted(events, key=lambda e: e.at_s), key_backoff_s=KEY_BACKOFF_S).findings
    assert {f.rule for f in found} == {rule}
    assert all(f.id in f.text or f.id for f in found if rule not in ("cold", "crash"))
