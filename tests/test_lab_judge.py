"""The judge finds each kind of broken rule in a record that breaks just that one, and nothing in a clean one."""

from __future__ import annotations

from typing import Any

import pytest

from lab import metrics
from lab.event_log import Event, message_history
from lab.plan import REFUND_CLASS, STATUS_CLASS
from lab.rules import check


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
def test_nothing_is_found_in_a_clean_record(events: list[Event]) -> None:
    assert check(sorted(events, key=lambda e: e.at_s), key_backoff_s=KEY_BACKOFF_S).findings == []


@pytest.mark.parametrize(("rule", "events"), BROKEN.values(), ids=BROKEN)
def test_each_kind_of_broken_rule_is_found(rule: str, events: list[Event]) -> None:
    found = check(sorted(events, key=lambda e: e.at_s), key_backoff_s=KEY_BACKOFF_S).findings
    assert {f.rule for f in found} == {rule}
    assert all(f.id in f.text or f.id for f in found if rule not in ("cold", "crash"))


def test_the_way_of_a_message_goes_over_all_its_ids() -> None:
    events = [*fine("a", number=3), *fine("b", 2.0, 2, number=3), *fine("c", 3.0, 3, number=4)]
    assert {e.id for e in message_history(events, "b")} == {"a", "b"}
    assert message_history(events, "x") == []


def served(shares: list[float]) -> list[Event]:
    """Ten messages in each half second; a share of them is delivered at once."""
    events = []
    for n, share in enumerate(shares):
        for k in range(10):
            number, at = n * 10 + k, n * 0.5 + k * 0.05
            events += [
                ev(at, "asked", number=number, state=STATUS_CLASS),
                ev(at, "handed", f"m{number}", number=number, state=STATUS_CLASS, destination=7),
            ]
            if k < share * 10:
                events.append(ev(at + 0.1, "answered", f"m{number}", status=200))
    return events


@pytest.mark.parametrize(
    ("after", "full_s"),
    [
        ([1.0] * 24, 0.0),
        ([0.0] * 8 + [1.0] * 16, 4.0),
        ([0.0] * 4 + [1.0] * 4 + [0.0] * 4 + [1.0] * 12, 6.0),  # a second dip: not yet full
        ([0.5] * 24, None),
    ],
)
def test_time_to_full_service(after: list[float], full_s: float | None) -> None:
    got = metrics.ServiceLevel(served([1.0] * 10 + after)).time_to_full_service(5.0, 0.0, 17.0)
    assert got == full_s if full_s is None else got is not None and abs(got - full_s) <= 0.25


def test_late_deliveries_earn_less_and_those_past_the_deadline_nothing() -> None:
    events = []
    for n, (cls, took, _) in enumerate(WORTHS):
        events += [
            ev(float(n), "asked", number=n, state=cls),
            ev(float(n), "handed", f"m{n}", number=n, state=cls),
            ev(n + took, "answered", f"m{n}", status=200),
        ]
    s = metrics.ServiceLevel(sorted(events, key=lambda e: e.at_s))
    for n, (_, _, worth) in enumerate(WORTHS):
        assert s.share(n, n + 0.5, metrics.Weight.EARNED) == pytest.approx(worth)


WORTHS = [
    (STATUS_CLASS, 0.9, 1.0),
    (STATUS_CLASS, 3.0, 0.5),
    (STATUS_CLASS, 5.1, 0.0),
    (REFUND_CLASS, 2.0, 1.0),
    (REFUND_CLASS, 28.0, 0.4),
    (REFUND_CLASS, 29.0, 0.0),
]


def test_the_worst_second_is_told_over_the_steady_one() -> None:
    events = [ev(n / 2, "listed") for n in range(20)] + [ev(10.5, "listed")] * 9
    row = metrics.per_second(sorted(events, key=lambda e: e.at_s), "listed", 12.0)
    assert metrics.worst_over_steady(row, 2.0, 10.0) == pytest.approx(4.5)
    assert metrics.worst_over_steady([0] * 12, 2.0, 10.0) is None


def test_the_steps_of_a_return_are_told_apart() -> None:
    seen = [
        ev(1.0, "handed", "m"),
        ev(2.0, "killed", node="n0"),
        ev(2.0, "killed", node="n1"),
        ev(2.5, "started", node="n0"),
        ev(2.6, "started", node="n1"),
        ev(2.9, "up", node="n0"),
        ev(3.0, "noticed", node="n1"),
        ev(3.1, "listed", node="n0", status=503),
        ev(3.5, "listed", node="n2", status=200),
        ev(3.7, "listed", node="n0", status=200),
        ev(3.8, "up", node="n1"),
        ev(4.0, "handed", "late", node="n1"),
        ev(5.0, "answered", "m", status=200),
        ev(6.0, "answered", "late", status=200),
    ]
    got = metrics.restart_steps(seen, 2.0)
    assert {name: value and round(value, 6) for name, value in got.items()} == {
        "backlog_s": 1.2,
        "notice_s": 1.0,
        "notice_longest_s": 1.0,
        "start_s": 1.2,
        "start_longest_s": 1.2,
        "list_s": 1.2,
        "list_longest_s": 1.2,
    }
    assert set(metrics.restart_steps(seen[:1], 2.0).values()) == {None}
