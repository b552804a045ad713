"""The metrics of a run, from the event log alone: weight delivered in time, time to full service. Pure."""

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
"""None: it was not reached, or there is nothing to measure."""
Metrics = dict[str, Metric]
"""By the names that a result has them under (docs/lab.md)."""
WINDOW_S = 2.0
"""Service is full or not over such a time."""
FULL_SERVICE_SHARE = 0.95
"""Of the service before the fault."""
RELAPSE_SHARE = 0.9
STABLE_S = 5.0
"""Full service is reached only if no relapse follows within this."""
STEP_S = 0.25
MAX_LATENCY_US = 60_000_000
HISTOGRAM_DIGITS = 3
NEVER_S = 1e9
"""Stands for the latency of what was never delivered."""
DISTURBANCES = frozenset(
    {
        EventKind.FAULT_INJECTED,
        EventKind.PROCESS_KILLED,
        EventKind.PROCESS_TERMINATED,
        EventKind.FAULT_HEALED,
        EventKind.OUTAGE_ENDED,
    }
)
STRIKES = frozenset({EventKind.PROCESS_KILLED, EventKind.PROCESS_TERMINATED})


class Weight(IntEnum):
    """Which sum of weights is meant."""

    ASKED = 0
    IN_TIME = 1
    """Delivered within the latency objective."""
    EARNED = 2
    """Delivered, with what is left of the weight late."""


def earned_share(message_class: str, latency_s: float) -> float:
    """Return what a delivery earns of its weight.

    All of it within the latency objective, then less and less down to the class's share at the deadline, then nothing.
    """
    objective_s, deadline_s = LATENCY_OBJECTIVE_S[message_class], DEADLINE_S[message_class]
    if latency_s > deadline_s:
        return 0.0
    if latency_s <= objective_s:
        return 1.0
    lost_share = 1.0 - LATE_WEIGHT_SHARE[message_class]
    return 1.0 - lost_share * (latency_s - objective_s) / (deadline_s - objective_s)


class ServiceLevel:
    """Weight by the moment at which its message arrived."""

    def __init__(self, events: Iterable[Event]) -> None:
        arrivals: dict[int, Event] = {}
        arrival_of: dict[str, int] = {}
        self.delivered_at_s: dict[int, float] = {}
        """By arrival."""
        for event in events:
            if event.kind == EventKind.MESSAGE_ARRIVED:
                arrivals[event.number] = event
            elif event.kind == EventKind.SUBMITTED:
                arrival_of[event.id] = event.number
            elif _is_delivery(event) and arrival_of.get(event.id, -1) in arrivals:
                self.delivered_at_s.setdefault(arrival_of[event.id], event.at_s)
        self.arrivals = sorted(arrivals.values(), key=lambda event: event.at_s)
        self.arrival_times_s = [event.at_s for event in self.arrivals]
        asked = [PRIORITY_WEIGHT[event.state] for event in self.arrivals]
        in_time = [
            weight if self._latency_s(event) <= LATENCY_OBJECTIVE_S[event.state] else 0.0
            for event, weight in zip(self.arrivals, asked, strict=True)
        ]
        earned = [
            weight * earned_share(event.state, self._latency_s(event))
            for event, weight in zip(self.arrivals, asked, strict=True)
        ]
        self.sums = {
            Weight.ASKED: [0.0, *accumulate(asked)],
            Weight.IN_TIME: [0.0, *accumulate(in_time)],
            Weight.EARNED: [0.0, *accumulate(earned)],
        }
        """Running sums over the arrivals."""

    def _latency_s(self, arrival: Event) -> float:
        return self.delivered_at_s.get(arrival.number, NEVER_S) - arrival.at_s

    def share(self, begin_s: float, end_s: float, weight: Weight = Weight.IN_TIME) -> float | None:
        """Return a sum of weights over the weight asked for in a time; None where nothing was asked for."""
        first = bisect_left(self.arrival_times_s, begin_s)
        last = bisect_left(self.arrival_times_s, end_s)
        asked = self.sums[Weight.ASKED][last] - self.sums[Weight.ASKED][first]
        return (self.sums[weight][last] - self.sums[weight][first]) / asked if asked else None

    def time_to_full_service(
        self, fault_s: float, before_s: float, end_s: float, from_s: float | None = None
    ) -> float | None:
        """Return the time to full service.

        It is reached at the start of the first window whose weight in time is 95% of what it was before the fault, and
        which is not followed by a fall under 90% for some seconds.

        Args:
            fault_s: The moment of the fault.
            before_s: Service before the fault counts from here.
            end_s: The end of the load.
            from_s: A moment after the fault from which the time counts; the fault's own, if absent.

        Returns:
            Seconds, or None if it never comes.
        """
        usual = self.share(before_s, fault_s)
        if not usual:
            return None
        from_s = fault_s if from_s is None else from_s
        steps = int((end_s - from_s - WINDOW_S) / STEP_S) + 1
        shares = [self.share(from_s + n * STEP_S, from_s + n * STEP_S + WINDOW_S) for n in range(max(0, steps))]
        stable_steps = int(STABLE_S / STEP_S)
        for n, share in enumerate(shares):
            if share is None or share < FULL_SERVICE_SHARE * usual:
                continue
            following = shares[n : n + stable_steps + 1]
            if all(later is None or later >= RELAPSE_SHARE * usual for later in following):
                return n * STEP_S
        return None


def _is_delivery(event: Event) -> bool:
    return event.kind == EventKind.CALL_ANSWERED and event.status == HTTPStatus.OK


def per_second(events: Iterable[Event], kind: EventKind, end_s: float) -> list[int]:
    """Return how often something happened in each second from the start on."""
    counts = Counter(int(event.at_s) for event in events if event.kind == kind and event.at_s >= 0)
    return [counts[second] for second in range(int(end_s) + 1)]


def worst_over_steady(counts: Sequence[int], warm_s: float, fault_s: float) -> float | None:
    """Return the worst second from the fault on, over the mean one between the warm-up and the fault."""
    steady = counts[int(warm_s) : int(fault_s)]
    if not steady or not sum(steady):
        return None
    return max(counts[int(fault_s) :], default=0) / (sum(steady) / len(steady))


def time_until_all_up(events: Iterable[Event], fault_s: float) -> float | None:
    """Return the time from a fault until the last forwarder that it (or a later one) took down was ready again."""
    is_down: dict[str, bool] = {}
    last_ready_s = None
    for event in events:
        if event.at_s < fault_s:
            continue
        if event.kind in STRIKES:
            is_down[event.node] = True
        elif event.kind == EventKind.FORWARDER_READY and is_down.get(event.node):
            is_down[event.node] = False
            last_ready_s = event.at_s
    return None if last_ready_s is None or any(is_down.values()) else last_ready_s - fault_s


RESTART_STEPS = {
    "notice": ("struck", EventKind.DEATH_NOTICED),
    "start": (EventKind.PROCESS_STARTED, EventKind.FORWARDER_READY),
    "list": (EventKind.PROCESS_STARTED, EventKind.LIST_REQUESTED),
}
"""Steps of a restart, each with the marks of a forwarder that it lies between."""


class RestartTimes:
    """Reads when the forwarders that were struck got through the steps of their last restart."""

    def __init__(self, fault_s: float) -> None:
        self.fault_s = fault_s
        self.marks: dict[str, dict[str, float]] = {}
        """By forwarder, when it was struck, and each further mark for the first time since."""
        self.submitted_before: set[str] = set()
        """Messages from before the first strike."""
        self.last_end_s = fault_s
        """When the last of these had its end."""
        self.last_ready_s: float | None = None

    def add(self, event: Event) -> None:
        """Take the next event."""
        if event.kind == EventKind.SUBMITTED and not self.marks:
            self.submitted_before.add(event.id)
        elif event.id in self.submitted_before and (event.kind == EventKind.NOTICE or _is_delivery(event)):
            self.last_end_s = event.at_s
        if event.kind in STRIKES and event.at_s >= self.fault_s:
            self.marks[event.node] = {"struck": event.at_s}
        elif event.node in self.marks:
            self._mark(event, self.marks[event.node])

    def _mark(self, event: Event, marks: dict[str, float]) -> None:
        if event.kind in (EventKind.DEATH_NOTICED, EventKind.PROCESS_STARTED):
            marks.setdefault(event.kind, event.at_s)
        elif EventKind.PROCESS_STARTED not in marks:
            return  # a process that ends may still ask
        elif event.kind == EventKind.FORWARDER_READY:
            marks.setdefault(event.kind, event.at_s)
            self.last_ready_s = event.at_s
        elif event.kind == EventKind.LIST_REQUESTED and event.status == HTTPStatus.OK:
            marks.setdefault(event.kind, event.at_s)


def restart_steps(events: Iterable[Event], fault_s: float) -> Metrics:
    """Return what a restart's time is made of, in seconds.

    Of all that were struck, by their last strike: the median and the longest from the strike until the front noticed,
    and from the process's start until it was ready and until its first list from discovery; and from the last that was
    ready until the last message of before the first strike had its end.
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
    """Return milliseconds from one kind of event to another with the same id: median, 99th percentile, most."""
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
    """Return when the last thing was struck or healed: what comes after it is the recovery alone."""
    return max((event.at_s for event in events if event.kind in DISTURBANCES), default=first_s)


@dataclass(frozen=True, slots=True)
class Phases:
    """When a run's phases begin."""

    warm_s: float
    """Before this nothing counts."""
    fault_s: float
    """The first fault; the end of the load where there is none."""
    end_s: float
    has_faults: bool


def measure(events: Sequence[Event], warm_s: float, load_s: float, worst_cold: float) -> Metrics:
    """Return all metrics of one run.

    Args:
        events: Its event log.
        warm_s: When the warm-up is over.
        load_s: When the load is over.
        worst_cold: The most calls to a warming-up endpoint, over its budget.
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
