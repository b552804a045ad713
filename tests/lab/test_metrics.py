"""The metrics of a run."""

from __future__ import annotations

import pytest

from lab import metrics
from lab.event_log import Event, EventKind
from lab.plan import REFUND_CLASS, STATUS_CLASS
from tests.lab.events import event


def events_with_service(shares: list[float]) -> list[Event]:
    """Ten messages in each half second; a share of them is delivered at once."""
    events = []
    for n, share in enumerate(shares):
        for k in range(10):
            number, at = n * 10 + k, n * 0.5 + k * 0.05
            events += [
                event(at, EventKind.MESSAGE_ARRIVED, number=number, state=STATUS_CLASS),
                event(at, EventKind.SUBMITTED, f"m{number}", number=number, state=STATUS_CLASS, destination=7),
            ]
            if k < share * 10:
                events.append(event(at + 0.1, EventKind.CALL_ANSWERED, f"m{number}", status=200))
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
    got = metrics.ServiceLevel(events_with_service([1.0] * 10 + after)).time_to_full_service(5.0, 0.0, 17.0)
    assert got == full_s if full_s is None else got is not None and abs(got - full_s) <= 0.25


EARNED = [
    (STATUS_CLASS, 0.9, 1.0),
    (STATUS_CLASS, 3.0, 0.5),
    (STATUS_CLASS, 5.1, 0.0),
    (REFUND_CLASS, 2.0, 1.0),
    (REFUND_CLASS, 28.0, 0.4),
    (REFUND_CLASS, 29.0, 0.0),
]


def test_late_deliveries_earn_less_and_those_past_the_deadline_nothing() -> None:
    events = []
    for n, (cls, took, _) in enumerate(EARNED):
        events += [
            event(float(n), EventKind.MESSAGE_ARRIVED, number=n, state=cls),
            event(float(n), EventKind.SUBMITTED, f"m{n}", number=n, state=cls),
            event(n + took, EventKind.CALL_ANSWERED, f"m{n}", status=200),
        ]
    s = metrics.ServiceLevel(sorted(events, key=lambda e: e.at_s))
    for n, (_, _, worth) in enumerate(EARNED):
        assert s.share(n, n + 0.5, metrics.Weight.EARNED) == pytest.approx(worth)


def test_the_worst_second_is_divided_by_the_steady_one() -> None:
    events = [event(n / 2, EventKind.LIST_REQUESTED) for n in range(20)] + [event(10.5, EventKind.LIST_REQUESTED)] * 9
    row = metrics.per_second(sorted(events, key=lambda e: e.at_s), EventKind.LIST_REQUESTED, 12.0)
    assert metrics.worst_over_steady(row, 2.0, 10.0) == pytest.approx(4.5)
    assert metrics.worst_over_steady([0] * 12, 2.0, 10.0) is None


def test_the_steps_of_a_restart_are_measured_apart() -> None:
    seen = [
        event(1.0, EventKind.SUBMITTED, "m"),
        event(2.0, EventKind.PROCESS_KILLED, node="n0"),
        event(2.0, EventKind.PROCESS_KILLED, node="n1"),
        event(2.5, EventKind.PROCESS_STARTED, node="n0"),
        event(2.6, EventKind.PROCESS_STARTED, node="n1"),
        event(2.9, EventKind.FORWARDER_READY, node="n0"),
        event(3.0, EventKind.DEATH_NOTICED, node="n1"),
        event(3.1, EventKind.LIST_REQUESTED, node="n0", status=503),
        event(3.5, EventKind.LIST_REQUESTED, node="n2", status=200),
        event(3.7, EventKind.LIST_REQUESTED, node="n0", status=200),
        event(3.8, EventKind.FORWARDER_READY, node="n1"),
        event(4.0, EventKind.SUBMITTED, "late", node="n1"),
        event(5.0, EventKind.CALL_ANSWERED, "m", status=200),
        event(6.0, EventKind.CALL_ANSWERED, "late", status=200),
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
