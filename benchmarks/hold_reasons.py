"""Adds up the hold reasons of a whole fleet from the logs of its forwarders.

    python -m benchmarks.hold_reasons LOGS [--plot FILE]

Prints two sums. One is the seconds that messages were held for each reason between two state lines; a state line has
only the three largest reasons of its forwarder. The other is the number of refused messages for each destination and
reason. LOGS is a folder of `*.log` files, or of folders that have a file `log` each.
"""

from __future__ import annotations

import argparse
import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

STATE_LINE = re.compile(r"held by: (.*)$")
REASON = re.compile(r"([a-z' ]+?) ([\d.]+) s(?:; |$)")
REFUSAL_LINE = re.compile(r"refused: \S+ for destination (\d+), held by: ([^;]+); (\d+) refused")
INTERVAL_S = 5.0
"""The time between two state lines of a forwarder."""
MAX_REFUSAL_ROWS = 20


@dataclass(frozen=True, slots=True)
class Refusal:
    """The destination and the hold reason of refused messages."""

    destination: int
    reason: str


@dataclass(frozen=True, slots=True)
class FleetSums:
    """The sums over all logs in a folder."""

    held_s: list[Counter[str]] = field(default_factory=list)
    """Seconds by hold reason, for each interval."""
    refused: Counter[Refusal] = field(default_factory=Counter)
    """Numbers of refused messages."""


def parse_state_line(line: str) -> dict[str, float] | None:
    """Return the seconds by hold reason in a state line; None for any other line."""
    match = STATE_LINE.search(line) if "state:" in line else None
    if match is None:
        return None
    return {name.strip(): float(seconds) for name, seconds in REASON.findall(match.group(1))}


def held_by_interval(lines: Iterable[str]) -> list[Counter[str]]:
    """Return the seconds by hold reason between each two state lines of a forwarder; a restart resets the sums to 0."""
    intervals: list[Counter[str]] = []
    before: dict[str, float] = {}
    for line in lines:
        now = parse_state_line(line)
        if now is None:
            continue
        if sum(now.values()) < sum(before.values()):
            before = {}
        intervals.append(Counter({name: max(0.0, held_s - before.get(name, 0.0)) for name, held_s in now.items()}))
        before = now
    return intervals


def count_refusals(lines: Iterable[str]) -> Counter[Refusal]:
    """Return the number of refused messages in the log of one forwarder."""
    refused: Counter[Refusal] = Counter()
    for line in lines:
        match = REFUSAL_LINE.search(line)
        if match is not None:
            refused[Refusal(int(match.group(1)), match.group(2))] += int(match.group(3))
    return refused


def find_logs(folder: Path) -> list[Path]:
    """Return the log files of the forwarders in a folder, sorted by path."""
    return sorted([*folder.glob("*.log"), *folder.glob("*/log"), *folder.glob("nodes/*/log")])


def sum_logs(folder: Path) -> FleetSums:
    """Return the sums over all logs in a folder."""
    sums = FleetSums()
    for path in find_logs(folder):
        lines = path.read_text(errors="replace").splitlines()
        sums.refused.update(count_refusals(lines))
        for index, held_s in enumerate(held_by_interval(lines)):
            if index == len(sums.held_s):
                sums.held_s.append(Counter())
            sums.held_s[index].update(held_s)
    return sums


def _reasons(held_s: list[Counter[str]]) -> list[str]:
    """Return all hold reasons, the one with the most seconds first."""
    return [name for name, _ in sum(held_s, Counter[str]()).most_common()]


def format_table(held_s: list[Counter[str]]) -> list[str]:
    """Return the lines of a table with a row for each hold reason and a column for each interval."""
    head = f"{'seconds held by':<36}" + "".join(f"{index * INTERVAL_S:>8.0f} s" for index in range(len(held_s)))
    rows = [f"{name:<36}" + "".join(f"{interval[name]:>10.0f}" for interval in held_s) for name in _reasons(held_s)]
    return [head, *rows]


def plot(held_s: list[Counter[str]], target: Path) -> None:
    """Plot the seconds by hold reason. Needs matplotlib (requirements-lab.txt)."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    reasons = _reasons(held_s)
    figure, axis = pyplot.subplots(figsize=(10, 5), layout="constrained")
    axis.stackplot(
        [index * INTERVAL_S for index in range(len(held_s))],
        *[[interval[name] for interval in held_s] for name in reasons],
        labels=reasons,
    )
    axis.set_xlabel("seconds")
    axis.set_ylabel("seconds held in the whole fleet")
    axis.legend(loc="upper left", fontsize="small")
    figure.savefig(target, dpi=90)
    pyplot.close(figure)


def main() -> None:
    """Print the sums, and plot them with `--plot`."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.hold_reasons", description=__doc__.splitlines()[0])
    parser.add_argument("logs", type=Path)
    parser.add_argument("--plot", type=Path)
    arguments = parser.parse_args()
    sums = sum_logs(arguments.logs)
    if not sums.held_s:
        parser.error(f"no state lines in {arguments.logs}")
    print("\n".join(format_table(sums.held_s)))
    for refusal, count in sums.refused.most_common(MAX_REFUSAL_ROWS):
        print(f"refused {count:>6}  destination {refusal.destination}: {refusal.reason}")
    if arguments.plot is not None:
        plot(sums.held_s, arguments.plot)


if __name__ == "__main__":
    main()
