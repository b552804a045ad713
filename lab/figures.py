"""What a run is measured by, from the stand-ins' record alone: worth in time, time to full service, stampedes. Pure."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Sequence
from itertools import accumulate
from typing import Any

from hdrh.histogram import HdrHistogram

from lab.plan import AIM_S, DEADLINE_S, LATE_WORTH, WORTH
from lab.record import Event

WINDOW_S = 2.0
FULL = 0.95
FALL = 0.9
STAYS_S = 5.0
STEP_S = 0.25
MOST_US = 60_000_000


class Served:
    """Worth by the moment at which it was asked for."""

    def __init__(self, events: Iterable[Event]) -> None:
        asked: dict[int, Event] = {}
        of: dict[str, int] = {}
        done: dict[int, float] = {}
        for e in events:
            if e.kind == "asked":
                asked[e.number] = e
            elif e.kind == "handed":
                of[e.id] = e.number
            elif e.kind == "answered" and e.status == 200 and of.get(e.id, -1) in asked:
                done.setdefault(of[e.id], e.at_s)
        self.done = done
        self.asked = sorted(asked.values(), key=lambda e: e.at_s)
        self.at = [e.at_s for e in self.asked]
        worth = [WORTH[e.state] for e in self.asked]
        prompt = [
            w if done.get(e.number, 1e9) - e.at_s <= AIM_S[e.state] else 0.0
            for e, w in zip(self.asked, worth, strict=True)
        ]
        earned = [w * self.value(e) for e, w in zip(self.asked, worth, strict=True)]
        self.sums = [[0.0, *accumulate(row)] for row in (worth, prompt, earned)]

    def value(self, e: Event) -> float:
        """Full worth within the aim; then less and less down to the late worth at the deadline; then none."""
        took = self.done.get(e.number, 1e9) - e.at_s
        aim, deadline, least = AIM_S[e.state], DEADLINE_S[e.state], LATE_WORTH[e.state]
        if took > deadline:
            return 0.0
        return 1.0 if took <= aim else 1.0 - (1.0 - least) * (took - aim) / (deadline - aim)

    def share(self, begin_s: float, end_s: float, row: int = 1) -> float | None:
        """Worth delivered in time (row 2: with what is left of it late) over the worth asked for; None for none."""
        first, last = bisect_left(self.at, begin_s), bisect_left(self.at, end_s)
        asked = self.sums[0][last] - self.sums[0][first]
        return (self.sums[row][last] - self.sums[row][first]) / asked if asked else None

    def full_after(self, fault_s: float, before_s: float, end_s: float, from_s: float | None = None) -> float | None:
        """Time to full service: from a fault (or a later moment) to the start of the first window whose worth in
        time is 95% of what it was before the fault, and which is not followed by a fall under 90% for some
        seconds. None if it never comes.
        """
        usual = self.share(before_s, fault_s)
        if not usual:
            return None
        from_s = fault_s if from_s is None else from_s
        steps = int((end_s - from_s - WINDOW_S) / STEP_S) + 1
        shares = [self.share(from_s + n * STEP_S, from_s + n * STEP_S + WINDOW_S) for n in range(max(0, steps))]
        stays = int(STAYS_S / STEP_S)
        for n, share in enumerate(shares):
            if (
                share is not None
                and share >= FULL * usual
                and all(later is None or later >= FALL * usual for later in shares[n : n + stays + 1])
            ):
                return n * STEP_S
        return None


def per_second(events: Iterable[Event], kind: str, end_s: float) -> list[int]:
    """How often something happened in each second from the start on."""
    counts = Counter(int(e.at_s) for e in events if e.kind == kind and e.at_s >= 0)
    return [counts[n] for n in range(int(end_s) + 1)]


def worst_over_steady(row: Sequence[int], warm_s: float, fault_s: float) -> float | None:
    """The worst second from the fault on, over the mean one between the warm-up and the fault."""
    steady = row[int(warm_s) : int(fault_s)]
    if not steady or not sum(steady):
        return None
    return max(row[int(fault_s) :], default=0) / (sum(steady) / len(steady))


def all_up(events: Iterable[Event], fault_s: float) -> float | None:
    """From a fault until the last forwarder that it (or a later one) took down has said yes again."""
    down: dict[str, bool] = {}
    last = None
    for e in events:
        if e.at_s < fault_s:
            continue
        if e.kind in ("killed", "termed"):
            down[e.node] = True
        elif e.kind == "up" and down.get(e.node):
            down[e.node], last = False, e.at_s
    return None if last is None or any(down.values()) else last - fault_s


STEPS = {"notice": ("struck", "noticed"), "start": ("started", "up"), "list": ("started", "listed")}


def steps_of_return(events: Iterable[Event], fault_s: float) -> dict[str, float | None]:
    """What a return's time is made of, in seconds: of all that were struck, by their last strike, the median and the
    longest from the strike until the front noticed, and from the process's start to its first yes and to its first
    list from discovery; and from the last yes until the last message of before the first strike had its end.
    """
    lives: dict[str, dict[str, float]] = {}
    before: set[str] = set()
    ended, up = fault_s, None
    for e in events:
        if e.kind == "handed" and not lives:
            before.add(e.id)
        elif e.id in before and (e.kind == "notice" or (e.kind == "answered" and e.status == 200)):
            ended = e.at_s
        if e.kind in ("killed", "termed") and e.at_s >= fault_s:
            lives[e.node] = {"struck": e.at_s}
        elif e.kind in ("noticed", "started", "up") or (e.kind == "listed" and e.status == 200):
            life = lives.get(e.node, {})
            if e.kind in ("noticed", "started") or "started" in life:  # a process that ends may still ask
                life.setdefault(e.kind, e.at_s)
                up = e.at_s if e.kind == "up" and e.node in lives else up
    found: dict[str, float | None] = {"backlog_s": None if up is None else max(0.0, ended - up)}
    for name, (begin, end) in STEPS.items():
        row = sorted(life[end] - life[begin] for life in lives.values() if begin in life and end in life)
        found[f"{name}_s"], found[f"{name}_longest_s"] = (row[len(row) // 2], row[-1]) if row else (None, None)
    return found


def latencies(events: Iterable[Event], begin: str, ends: tuple[str, ...]) -> dict[str, float]:
    """Milliseconds from one kind of event to another with the same id: median, 99th percentile, most."""
    histogram = HdrHistogram(1, MOST_US, 3)
    began: dict[str, float] = {}
    for e in events:
        if e.kind == begin:
            began[e.id] = e.at_s
        elif e.kind in ends and e.id in began:
            histogram.record_value(min(MOST_US, max(1, int((e.at_s - began.pop(e.id)) * 1e6))))
    if not histogram.get_total_count():
        return {}
    return {
        "count": histogram.get_total_count(),
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
        "most_ms": histogram.get_max_value() / 1000,
    }


def measure(events: Sequence[Event], warm_s: float, load_s: float, worst_cold: float) -> dict[str, Any]:
    """All figures of one run. Shares are of the worth asked for; ratios are worst over steady second."""
    served = Served(events)
    faults = [e.at_s for e in events if e.kind == "fault"]
    first = faults[0] if faults else load_s
    last = last_blow(events, first)
    calls = Counter(e.kind for e in events)
    answers = Counter(e.status for e in events if e.kind == "answer")
    refused = Counter(e.status for e in events if e.kind == "answered")
    full = served.full_after(first, warm_s, load_s) if faults else None
    up = all_up(events, first) if faults else None
    rows = {
        name: per_second(events, kind, load_s)
        for name, kind in (("discovery", "listed"), ("dials", "dialled"), ("calls", "call"))
    }
    return {
        "served": served.share(warm_s, load_s, 2),
        "in_time": served.share(warm_s, load_s),
        "in_time_before": served.share(warm_s, first),
        "in_time_after": served.share(first, load_s),
        "full_s": full,
        "all_up_s": up,
        "full_after_up_s": None if full is None or up is None else max(0.0, full - up),
        "full_after_blow_s": served.full_after(first, warm_s, load_s, last) if faults else None,
        **{f"{name}_ratio": worst_over_steady(row, warm_s, first) for name, row in rows.items()},
        **(steps_of_return(events, first) if faults else {}),
        "cold_ratio": worst_cold,
        **{f"{name}_worst": max(row[int(first) :], default=0) for name, row in rows.items()},
        "asked": calls["asked"],
        "delivered": len(served.done),
        "handed": calls["handed"],
        "taken": answers[202] + answers[200],
        "turned_away": answers[429] + answers[503],
        "answered_failed": answers[500],
        "given_up": calls["given_up"],
        "unreached": calls["unreached"],
        "returned": sum(e.kind == "notice" and e.state == "returned" for e in events),
        "failed": sum(e.kind == "notice" and e.state == "failed" for e in events),
        "calls": calls["call"],
        "calls_refused": refused[429] + refused[503],
        "dials": calls["dialled"],
        "lists": calls["listed"],
        "lists_refused": sum(e.kind == "listed" and e.status == 503 for e in events),
        **{f"to_202_{name}": value for name, value in latencies(events, "handed", ("answer",)).items()},
    }


def last_blow(events: Iterable[Event], first_s: float) -> float:
    """When the last thing was struck, or healed: what comes after it is the return alone."""
    return max((e.at_s for e in events if e.kind in ("fault", "killed", "termed", "healed", "back")), default=first_s)
