"""Tests of a run's metrics."""

from __future__ import annotations

import pytest

from lab import metrics
from lab.event_log import Event, EventKind
from lab.plan import REFUND_CLASS, STATUS_CLASS
from tests.lab.events import event


def events_with_service(shares: list[float]) -> list[Event]:
    """Return events of ten messages per half second, of which the given share is delivered within 0.1 s."""
    events = []
    for half_second, share in enumerate(shares):
        for index in range(10):
            number = half_second * 10 + index
            at_s = half_second * 0.5 + index * 0.05
            events += [
                event(at_s, EventKind.MESSAGE_ARRIVED, number=number, state=STATUS_CLASS),
                event(at_s, EventKind.SUBMITTED, f"m{number}", number=number, state=STATUS_CLASS, destination=7),
            ]
            if index < share * 10:
                events.append(event(at_s + 0.1, EventKind.CALL_ANSWERED, f"m{number}", status=200))
    return events


@pytest.mark.parametrize(
    ("after", "full_s"),
    [
        ([1.0] * 24, 0.0),
        ([0.0] * 8 + [1.0] * 16, 4.0),
        ([0.0] * 4 + [1.0] * 4 + [0.0] * 4 + [1.0] * 12, 6.0),  # a second dip within the stable time
        ([0.5] * 24, None),
    ],
)
def test_time_to_full_service(after: list[float], full_s: float | None) -> None:
    service = metrics.ServiceLevel(events_with_service([1.0] * 10 + after))
    measured_s = service.time_to_full_service(5.0, 0.0, 17.0)
    assert measured_s == (None if full_s is None else pytest.approx(full_s, rel=0.0, abs=0.25))


EARNED_SHARES = [
    (STATUS_CLASS, 0.9, 1.0),
    (STATUS_CLASS, 3.0, 0.5),
    (STATUS_CLASS, 5.1, 0.0),
    (REFUND_CLASS, 2.0, 1.0),
    (REFUND_CLASS, 28.0, 0.4),
    (REFUND_CLASS, 29.0, 0.0),
]


def test_late_deliveries_earn_less_and_deliveries_past_the_deadline_nothing() -> None:
    events = []
    for number, (message_class, latency_s, _) in enumerate(EARNED_SHARES):
        events += [
            event(float(number), EventKind.MESSAGE_ARRIVED, number=number, state=message_class),
            event(float(number), EventKind.SUBMITTED, f"m{number}", number=number, state=message_class),
            event(number + latency_s, EventKind.CALL_ANSWERED, f"m{number}", status=200),
        ]
    service = metrics.ServiceLevel(sorted(events, key=lambda event: event.at_s))
    for number, (_, _, earned_share) in enumerate(EARNED_SHARES):
        assert service.share(number, number + 0.5, metrics.Weight.EARNED) == pytest.approx(earned_share)


def test_worst_second_is_divided_by_the_mean_of_the_steady_phase() -> None:
    events = [event(n / 2, EventKind.LIST_REQUESTED) for n in range(20)] + [event(10.5, EventKind.LIST_REQUESTED)] * 9
    counts = metrics.per_second(sorted(events, key=lambda event: event.at_s), EventKind.LIST_REQUESTED, 12.0)
    assert metrics.worst_over_steady(counts, 2.0, 10.0) == pytest.approx(4.5)
    assert metrics.worst_over_steady([0] * 12, 2.0, 10.0) is None


def test_each_step_of_a_restart_is_measured() -> None:
    events = [
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
    durations = metrics.restart_steps(events, 2.0)
    assert {name: value and round(value, 6) for name, value in durations.items()} == {
        "backlog_s": 1.2,
        "notice_s": 1.0,
        "notice_longest_s": 1.0,
        "start_s": 1.2,
        "start_longest_s": 1.2,
        "list_s": 1.2,
        "list_longest_s": 1.2,
    }
    assert set(metrics.restart_steps(events[:1], 2.0).values()) == {None}
