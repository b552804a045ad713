"""The hold reasons of a whole fleet: seconds held and messages refused, by reason and destination.

The lab sends `WHY json` to each forwarder regularly, and samples meanwhile which destinations have capacity. Seconds
held are needless if the destination had capacity in every sample of that time: then the reason delayed the message, and
not the destination. Safe decisions cost some needless seconds.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from lab.plan import PRIORITY_WEIGHT

FILE = "gates.json"
OK_PREFIX = "ok "
US_PER_S = 1e6
MIN_SHOWN_S = 0.05
"""Rows with a smaller total are left out of the table."""


class HoldEntry(msgspec.Struct, frozen=True, array_like=True):
    """One line of an answer to `WHY json`."""

    destination: int
    message_class: str
    reason: str
    amount: int
    """Microseconds held, or messages refused."""


class WhyAnswer(msgspec.Struct, frozen=True):
    """An answer to `WHY json`, with totals since the forwarder's start."""

    held: list[HoldEntry]
    refused: list[HoldEntry]


class HoldReport(msgspec.Struct, frozen=True):
    """A forwarder's answer and its time."""

    at_s: float
    node: str
    start: int
    """The number of the start that the totals count from."""
    held: list[HoldEntry]
    refused: list[HoldEntry]


class CapacitySample(msgspec.Struct, frozen=True):
    """The destinations that could take a call immediately."""

    at_s: float
    destinations: list[int]


class HoldReports(msgspec.Struct, rename={"reports": "looks", "capacity": "rooms"}):
    """All hold reports and capacity samples of one run."""

    reports: list[HoldReport] = []
    capacity: list[CapacitySample] = []


@dataclass(frozen=True, slots=True)
class HoldKey:
    """The destination, the message class and the hold reason that amounts are counted by."""

    destination: int
    message_class: str
    reason: str


@dataclass(frozen=True, slots=True)
class HoldRow:
    """The effect of one hold reason between two reports of a forwarder."""

    at_s: float
    """Time of the second report."""
    key: HoldKey
    held_s: float
    needless_s: float
    refused: int

    @property
    def refused_weight(self) -> float:
        """Upper bound of the weight of the refused messages; clients may have submitted some of them again."""
        return self.refused * PRIORITY_WEIGHT.get(self.key.message_class, 1.0)


def parse_report(at_s: float, node: str, start: int, answer: str) -> HoldReport | None:
    """Parse an answer to `WHY json`; None if the answer is an error."""
    if not answer.startswith(OK_PREFIX + "{"):
        return None
    parsed = msgspec.json.decode(answer.removeprefix(OK_PREFIX), type=WhyAnswer)
    return HoldReport(at_s, node, start, parsed.held, parsed.refused)


def load(folder: Path) -> HoldReports:
    """Read the reports of a run.

    Raises:
        OSError: The run has no hold reports.
    """
    return msgspec.json.decode((folder / FILE).read_bytes(), type=HoldReports)


def hold_rows(hold_reports: HoldReports) -> list[HoldRow]:
    """Return the differences between successive reports of each forwarder; totals begin at zero with each start."""
    rows: list[HoldRow] = []
    last_reports: dict[str, HoldReport] = {}
    capacity_times_s = [sample.at_s for sample in hold_reports.capacity]
    for report in sorted(hold_reports.reports, key=lambda report: report.at_s):
        last = last_reports.get(report.node)
        if last is not None and last.start != report.start:
            last = None  # a restart resets the totals
        begin_s = report.at_s if last is None else last.at_s
        inside = slice(bisect_left(capacity_times_s, begin_s), bisect_right(capacity_times_s, report.at_s))
        rows += _differences(report, last, _always_free(hold_reports.capacity[inside]))
        last_reports[report.node] = report
    return rows


def _differences(report: HoldReport, last: HoldReport | None, free: set[int]) -> list[HoldRow]:
    held, refused = _by_key(report.held), _by_key(report.refused)
    if last is not None:
        held.subtract(_by_key(last.held))
        refused.subtract(_by_key(last.refused))
    rows = []
    for key in held.keys() | refused.keys():
        held_s = max(0, held[key]) / US_PER_S
        needless_s = held_s if key.destination in free else 0.0
        if held_s or refused[key] > 0:
            rows.append(HoldRow(report.at_s, key, held_s, needless_s, max(0, refused[key])))
    return rows


def _by_key(entries: Iterable[HoldEntry]) -> Counter[HoldKey]:
    return Counter({HoldKey(entry.destination, entry.message_class, entry.reason): entry.amount for entry in entries})


def _always_free(samples: Sequence[CapacitySample]) -> set[int]:
    """Return the destinations that had capacity in every sample."""
    return set.intersection(*(set(sample.destinations) for sample in samples)) if samples else set()


@dataclass(frozen=True, slots=True)
class Grouping:
    """A way to sum rows by name."""

    title: str
    name: Callable[[HoldRow], str]
    """Returns the name that a row is counted under."""
    seconds: Callable[[HoldRow], float]
    """Returns the seconds of a row that are added."""


BY_REASON = Grouping("seconds held by", lambda row: row.key.reason, lambda row: row.held_s)
NEEDLESS_BY_REASON = Grouping("of them needless", lambda row: row.key.reason, lambda row: row.needless_s)
BY_DESTINATION = Grouping("by destination", lambda row: str(row.key.destination), lambda row: row.held_s)
BY_CLASS = Grouping("by class", lambda row: row.key.message_class, lambda row: row.held_s)


@dataclass(frozen=True, slots=True)
class IntervalSums:
    """The seconds of all rows with one name, by interval."""

    name: str
    seconds: dict[int, float]

    @property
    def total_s(self) -> float:
        """The sum over all intervals."""
        return sum(self.seconds.values())


def sum_by_interval(rows: Iterable[HoldRow], grouping: Grouping, step_s: float) -> list[IntervalSums]:
    """Sum the seconds by name and interval, largest total first."""
    sums: dict[str, defaultdict[int, float]] = {}
    for row in rows:
        by_interval = sums.setdefault(grouping.name(row), defaultdict(float))
        by_interval[int(row.at_s // step_s)] += grouping.seconds(row)
    return sorted((IntervalSums(*each) for each in sums.items()), key=lambda each: -each.total_s)


def format_table(rows: list[HoldRow], step_s: float, fault_times_s: Sequence[float] = ()) -> list[str]:
    """Return a readable table of the seconds held by reason, destination and class, and of the refused messages."""
    if not rows:
        return ["nothing was held"]
    times_s = [row.at_s for row in rows]
    intervals = range(int(min(times_s) // step_s), int(max(times_s) // step_s) + 1)
    faulty = {int(at_s // step_s) for at_s in fault_times_s}
    heads = "".join(f"{n * step_s:>8.0f}{'*' if n in faulty else ' '}" for n in intervals)
    lines = []
    for grouping in (BY_REASON, NEEDLESS_BY_REASON, BY_DESTINATION, BY_CLASS):
        lines.append(f"{grouping.title:<34}{heads}      all")
        for sums in sum_by_interval(rows, grouping, step_s):
            if sums.total_s >= MIN_SHOWN_S:
                cells = "".join(f"{sums.seconds.get(n, 0.0):>9.1f}" for n in intervals)
                lines.append(f"{sums.name:<34}{cells}{sums.total_s:>9.1f}")
    return lines + _format_refused(rows)


def _format_refused(rows: list[HoldRow]) -> list[str]:
    refused = Counter[str]()
    weight: defaultdict[str, float] = defaultdict(float)
    for row in rows:
        refused[row.key.reason] += row.refused
        weight[row.key.reason] += row.refused_weight
    lines = ["messages refused, and their worth at most"]
    return lines + [f"{reason:<34}{n:>9}{weight[reason]:>9.1f}" for reason, n in refused.most_common() if n]
