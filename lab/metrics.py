"""The metrics of a run, computed from the event log alone: weight delivered in time, time to full service. No I/O."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from http import HTTPStatus
from itertools import accumulate

from hdrh.histogram import HdrHistogram

from lab.event_log import Event, EventKind
from lab.plan import DEADLINE_S, LATE_WEIGHT_SHARE, LATENCY_OBJECTIVE_S, PRIORITY_WEIGHT

Metric = float | int | None
"""None if the state was not reached or there is nothing to measure."""
Metrics = dict[str, Metric]
"""By their names in a result (docs/lab.md)."""
WINDOW_S = 2.0
"""Length of the window over which service is judged as full."""
FULL_SERVICE_SHARE = 0.95
"""Service of at least this share of the service before the fault is full."""
RELAPSE_SHARE = 0.9
"""Service below this share of the service before the fault is a relapse."""
STABLE_S = 5.0
"""Full service counts as reached only if no relapse follows within this time."""
STEP_S = 0.25
MAX_LATENCY_US = 60_000_000
HISTOGRAM_DIGITS = 3
UNDELIVERED_LATENCY_S = 1e9
"""Latency of a message that was never delivered."""
DISTURBANCES = frozenset(
    {
        EventKind.FAULT_INJECTED,
        EventKind.PROCESS_KILLED,
        EventKind.PROCESS_TERMINATED,
        EventKind.FAULT_HEALED,
        EventKind.OUTAGE_ENDED,
    }
)
KILL_EVENTS = frozenset({EventKind.PROCESS_KILLED, EventKind.PROCESS_TERMINATED})
"""The events of SIGKILL and SIGTERM; "killed" means either of them in this module."""


class Weight(IntEnum):
    """The kinds of weight sums."""

    ARRIVED = 0
    """All messages that arrived."""
    IN_TIME = 1
    """Messages delivered within the latency objective."""
    EARNED = 2
    """Delivered messages, with the reduced weight of late ones."""


def earned_share(message_class: str, latency_s: float) -> float:
    """Return the share of its weight that a delivery earns.

    The share is 1 within the latency objective, falls linearly to the class's share at the deadline, and is 0 after it.
    """
    objective_s, deadline_s = LATENCY_OBJECTIVE_S[message_class], DEADLINE_S[message_class]
    if latency_s > deadline_s:
        return 0.0
    if latency_s <= objective_s:
        return 1.0
    lost_share = 1.0 - LATE_WEIGHT_SHARE[message_class]
    return 1.0 - lost_share * (latency_s - objective_s) / (deadline_s - objective_s)


class ServiceLevel:
    """The weights of a run's messages by arrival time."""

    def __init__(self, events: Iterable[Event]) -> None:
        arrivals: dict[int, Event] = {}
        arrival_of: dict[str, int] = {}
        self.delivered_at_s: dict[int, float] = {}
        """By arrival number."""
        for event in events:
            if event.kind == EventKind.MESSAGE_ARRIVED:
                arrivals[event.number] = event
            elif event.kind == EventKind.SUBMITTED:
                arrival_of[event.id] = event.number
            elif _is_delivery(event) and arrival_of.get(event.id, -1) in arrivals:
                self.delivered_at_s.setdefault(arrival_of[event.id], event.at_s)
        self.arrivals = sorted(arrivals.values(), key=lambda event: event.at_s)
        self.arrival_times_s = [event.at_s for event in self.arrivals]
        arrived = [PRIORITY_WEIGHT[event.state] for event in self.arrivals]
        in_time = [
            weight if self._latency_s(event) <= LATENCY_OBJECTIVE_S[event.state] else 0.0
            for event, weight in zip(self.arrivals, arrived, strict=True)
        ]
        earned = [
            weight * earned_share(event.state, self._latency_s(event))
            for event, weight in zip(self.arrivals, arrived, strict=True)
        ]
        self.sums = {
            Weight.ARRIVED: [0.0, *accumulate(arrived)],
            Weight.IN_TIME: [0.0, *accumulate(in_time)],
            Weight.EARNED: [0.0, *accumulate(earned)],
        }
        """Cumulative sums over the arrivals."""

    def _latency_s(self, arrival: Event) -> float:
        return self.delivered_at_s.get(arrival.number, UNDELIVERED_LATENCY_S) - arrival.at_s

    def share(self, begin_s: float, end_s: float, weight: Weight = Weight.IN_TIME) -> float | None:
        """Return a sum of weights as a share of all weight that arrived in a period; None if nothing arrived."""
        first = bisect_left(self.arrival_times_s, begin_s)
        last = bisect_left(self.arrival_times_s, end_s)
        arrived = self.sums[Weight.ARRIVED][last] - self.sums[Weight.ARRIVED][first]
        return (self.sums[weight][last] - self.sums[weight][first]) / arrived if arrived else None

    def time_to_full_service(
        self, fault_s: float, before_s: float, end_s: float, from_s: float | None = None
    ) -> float | None:
        """Return the time to full service.

        Full service is reached at the start of the first window in which the share of weight delivered in time is at
        least 95% of the share before the fault, and after which it stays at 90% or more for `STABLE_S`.

        Args:
            fault_s: The time of the fault.
            before_s: Start of the period before the fault that full service is compared with.
            end_s: The end of the load.
            from_s: The time from which to measure, after the fault; the fault's time if absent.

        Returns:
            Seconds, or None if full service is never reached.
        """
        baseline = self.share(before_s, fault_s)
        if not baseline:
            return None
        from_s = fault_s if from_s is None else from_s
        steps = int((end_s - from_s - WINDOW_S) / STEP_S) + 1
        shares = [self.share(from_s + n * STEP_S, from_s + n * STEP_S + WINDOW_S) for n in range(max(0, steps))]
        stable_steps = int(STABLE_S / STEP_S)
        for n, share in enumerate(shares):
            if share is None or share < FULL_SERVICE_SHARE * baseline:
                continue
            following = shares[n : n + stable_steps + 1]
            if all(later is None or later >= RELAPSE_SHARE * baseline for later in following):
                return n * STEP_S
        return None


def _is_delivery(event: Event) -> bool:
    return event.kind == EventKind.CALL_ANSWERED and event.status == HTTPStatus.OK


def per_second(events: Iterable[Event], kind: EventKind, end_s: float) -> list[int]:
    """Return the number of events of a kind in each second since the start of the load."""
    counts = Counter(int(event.at_s) for event in events if event.kind == kind and event.at_s >= 0)
    return [counts[second] for second in range(int(end_s) + 1)]


def worst_over_steady(counts: Sequence[int], warm_s: float, fault_s: float) -> float | None:
    """Return the maximum count per second since the fault, divided by the mean between the warm-up and the fault."""
    steady = counts[int(warm_s) : int(fault_s)]
    if not steady or not sum(steady):
        return None
    return max(counts[int(fault_s) :], default=0) / (sum(steady) / len(steady))


def time_until_all_up(events: Iterable[Event], fault_s: float) -> float | None:
    """Return the time from a fault until all forwarders killed since then were ready again.

    Returns:
        Seconds, or None if no forwarder was killed or one stays down.
    """
    is_down: dict[str, bool] = {}
    last_ready_s = None
    for event in events:
        if event.at_s < fault_s:
            continue
        if event.kind in KILL_EVENTS:
            is_down[event.node] = True
        elif event.kind == EventKind.FORWARDER_READY and is_down.get(event.node):
            is_down[event.node] = False
            last_ready_s = event.at_s
    return None if last_ready_s is None or any(is_down.values()) else last_ready_s - fault_s


RESTART_STEPS = {
    "notice": ("signaled", EventKind.DEATH_NOTICED),
    "start": (EventKind.PROCESS_STARTED, EventKind.FORWARDER_READY),
    "list": (EventKind.PROCESS_STARTED, EventKind.LIST_REQUESTED),
}
"""The steps of a restart, each with the marks at its start and its end."""


class RestartTimes:
    """Records when the killed forwarders passed the steps of their last restart."""

    def __init__(self, fault_s: float) -> None:
        self.fault_s = fault_s
        self.marks: dict[str, dict[str, float]] = {}
        """By forwarder, when it was last killed, and when each further mark first occurred since."""
        self.submitted_before: set[str] = set()
        """Messages submitted before the first kill."""
        self.last_end_s = fault_s
        """When the last of these messages ended."""
        self.last_ready_s: float | None = None

    def add(self, event: Event) -> None:
        """Process the next event."""
        if event.kind == EventKind.SUBMITTED and not self.marks:
            self.submitted_before.add(event.id)
        elif event.id in self.submitted_before and (event.kind == EventKind.NOTICE or _is_delivery(event)):
            self.last_end_s = event.at_s
        if event.kind in KILL_EVENTS and event.at_s >= self.fault_s:
            self.marks[event.node] = {"signaled": event.at_s}
        elif event.node in self.marks:
            self._mark(event, self.marks[event.node])

    def _mark(self, event: Event, marks: dict[str, float]) -> None:
        if event.kind in (EventKind.DEATH_NOTICED, EventKind.PROCESS_STARTED):
            marks.setdefault(event.kind, event.at_s)
        elif EventKind.PROCESS_STARTED not in marks:
            return  # the terminating process may still request the list
        elif event.kind == EventKind.FORWARDER_READY:
            marks.setdefault(event.kind, event.at_s)
            self.last_ready_s = event.at_s
        elif event.kind == EventKind.LIST_REQUESTED and event.status == HTTPStatus.OK:
            marks.setdefault(event.kind, event.at_s)


def restart_steps(events: Iterable[Event], fault_s: float) -> Metrics:
    """Return the durations of the steps of the restarts, in seconds.

    For the last restart of every killed forwarder, the median and the maximum of: the time from the kill until the
    front noticed, from the process's start until it was ready, and from the process's start until its first list from
    discovery. `backlog_s` is the time from when the last forwarder was ready until the last message submitted before
    the first kill had ended.
    """
    times = RestartTimes(fault_s)
    for event in events:
        times.add(event)
    ready_s = times.last_ready_s
    found: Metrics = {"backlog_s": None if ready_s is None else max(0.0, times.last_end_s - ready_s)}
    for name, (begin, end) in RESTART_STEPS.items():
        took_s = sorted(marks[end] - marks[begin] for marks in times.marks.values() if begin in marks and end in marks)
        found[f"{name}_s"] = took_s[len(took_s) // 2] if took_s else None
        found[f"{name}_longest_s"] = took_s[-1] if took_s else None
    return found


def latencies(events: Iterable[Event], begin: EventKind, end: EventKind) -> Metrics:
    """Return the count, median, 99th percentile and maximum of the times between two kinds of events with the same id.

    The times are in milliseconds. The result is empty if there are none.
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, HISTOGRAM_DIGITS)
    began_s: dict[str, float] = {}
    for event in events:
        if event.kind == begin:
            began_s[event.id] = event.at_s
        elif event.kind == end and event.id in began_s:
            latency_us = int((event.at_s - began_s.pop(event.id)) * 1e6)
            histogram.record_value(min(MAX_LATENCY_US, max(1, latency_us)))
    if not histogram.get_total_count():
        return {}
    return {
        "count": histogram.get_total_count(),
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
        "most_ms": histogram.get_max_value() / 1000,
    }


def last_disturbance(events: Iterable[Event], first_s: float) -> float:
    """Return the time of the last injected or healed fault, from which on the system only recovers."""
    return max((event.at_s for event in events if event.kind in DISTURBANCES), default=first_s)


@dataclass(frozen=True, slots=True)
class Phases:
    """The start times of a run's phases."""

    warm_s: float
    """The end of the warm-up, which the metrics leave out."""
    fault_s: float
    """The first fault; the end of the load if there is none."""
    end_s: float
    """The end of the load."""
    has_faults: bool


def measure(events: Sequence[Event], warm_s: float, load_s: float, worst_cold: float) -> Metrics:
    """Return all metrics of one run.

    Args:
        events: The run's event log.
        warm_s: The end of the warm-up.
        load_s: The end of the load.
        worst_cold: Maximum ratio of the calls to a warming-up endpoint to its budget.
    """
    faults_s = [event.at_s for event in events if event.kind == EventKind.FAULT_INJECTED]
    phases = Phases(warm_s, faults_s[0] if faults_s else load_s, load_s, bool(faults_s))
    per_second_counts = {
        "discovery": per_second(events, EventKind.LIST_REQUESTED, load_s),
        "dials": per_second(events, EventKind.CONNECTION_OPENED, load_s),
        "calls": per_second(events, EventKind.CALL_RECEIVED, load_s),
    }
    service = ServiceLevel(events)
    metrics = _service_metrics(events, service, phases)
    for name, counts in per_second_counts.items():
        metrics[f"{name}_ratio"] = worst_over_steady(counts, warm_s, phases.fault_s)
    if phases.has_faults:
        metrics |= restart_steps(events, phases.fault_s)
    metrics["cold_ratio"] = worst_cold
    for name, counts in per_second_counts.items():
        metrics[f"{name}_worst"] = max(counts[int(phases.fault_s) :], default=0)
    metrics |= _count_metrics(events, len(service.delivered_at_s))
    to_answer = latencies(events, EventKind.SUBMITTED, EventKind.SUBMIT_ANSWERED)
    return metrics | {f"to_202_{name}": value for name, value in to_answer.items()}


def _service_metrics(events: Sequence[Event], service: ServiceLevel, phases: Phases) -> Metrics:
    warm_s, fault_s = phases.warm_s, phases.fault_s
    end_s = phases.end_s
    full_s = all_up_s = full_after_disturbance_s = full_after_up_s = None
    if phases.has_faults:
        full_s = service.time_to_full_service(fault_s, warm_s, end_s)
        all_up_s = time_until_all_up(events, fault_s)
        last_s = last_disturbance(events, fault_s)
        full_after_disturbance_s = service.time_to_full_service(fault_s, warm_s, end_s, last_s)
    if full_s is not None and all_up_s is not None:
        full_after_up_s = max(0.0, full_s - all_up_s)
    return {
        "served": service.share(warm_s, end_s, Weight.EARNED),
        "in_time": service.share(warm_s, end_s),
        "in_time_before": service.share(warm_s, fault_s),
        "in_time_after": service.share(fault_s, end_s),
        "full_s": full_s,
        "all_up_s": all_up_s,
        "full_after_up_s": full_after_up_s,
        "full_after_blow_s": full_after_disturbance_s,
    }


def _count_metrics(events: Sequence[Event], delivered: int) -> Metrics:
    kinds = Counter(event.kind for event in events)
    statuses: defaultdict[EventKind, Counter[int]] = defaultdict(Counter)
    notices: Counter[str] = Counter()
    for event in events:
        statuses[event.kind][event.status] += 1
        if event.kind == EventKind.NOTICE:
            notices[event.state] += 1
    answers = statuses[EventKind.SUBMIT_ANSWERED]
    calls = statuses[EventKind.CALL_ANSWERED]
    return {
        "asked": kinds[EventKind.MESSAGE_ARRIVED],
        "delivered": delivered,
        "handed": kinds[EventKind.SUBMITTED],
        "taken": answers[HTTPStatus.ACCEPTED] + answers[HTTPStatus.OK],
        "turned_away": answers[HTTPStatus.TOO_MANY_REQUESTS] + answers[HTTPStatus.SERVICE_UNAVAILABLE],
        "answered_failed": answers[HTTPStatus.INTERNAL_SERVER_ERROR],
        "given_up": kinds[EventKind.SUBMIT_TIMED_OUT],
        "unreached": kinds[EventKind.FORWARDER_UNREACHABLE],
        "returned": notices["returned"],
        "failed": notices["failed"],
        "calls": kinds[EventKind.CALL_RECEIVED],
        "calls_refused": calls[HTTPStatus.TOO_MANY_REQUESTS] + calls[HTTPStatus.SERVICE_UNAVAILABLE],
        "dials": kinds[EventKind.CONNECTION_OPENED],
        "lists": kinds[EventKind.LIST_REQUESTED],
        "lists_refused": statuses[EventKind.LIST_REQUESTED][HTTPStatus.SERVICE_UNAVAILABLE],
    }
