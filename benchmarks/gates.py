"""Adds up what held messages back over a whole fleet, from the forwarders' logs.

    python -m benchmarks.gates LOGS [--plot FILE]

Prints seconds held by gate in stretches between two state lines (the three largest of each forwarder are told there),
and messages refused by destination and gate. LOGS is a folder of `*.log` files, or of folders with a `log` each.
"""

from __future__ import annotations

import argparse
import re
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

STATE = re.compile(r"held by: (.*)$")
GATE = re.compile(r"([a-z' ]+?) ([\d.]+) s(?:; |$)")
REFUSED = re.compile(r"refused: \S+ for destination (\d+), held by: ([^;]+); (\d+) refused")
STRETCH_S = 5.0
"""Between two state lines of a forwarder (engine.STATE_LOG_S)."""


def gates(line: str) -> dict[str, float]:
    """Seconds by gate, as one state line tells them; empty for any other line."""
    found = STATE.search(line) if "state:" in line else None
    return {name.strip(): float(seconds) for name, seconds in GATE.findall(found.group(1))} if found else {}


def stretches(lines: Iterable[str]) -> list[Counter[str]]:
    """What one forwarder's log adds between each two of its state lines. A restart begins anew from nothing."""
    rows: list[Counter[str]] = []
    before: dict[str, float] = {}
    for line in lines:
        if not ("state:" in line and "held by:" in line):
            continue
        now = gates(line)
        if sum(now.values()) < sum(before.values()):
            before = {}
        rows.append(Counter({name: max(0.0, s - before.get(name, 0.0)) for name, s in now.items()}))
        before = now
    return rows


def refusals(lines: Iterable[str]) -> Counter[tuple[int, str]]:
    found = (REFUSED.search(line) for line in lines)
    rows: Counter[tuple[int, str]] = Counter()
    for match in found:
        if match is not None:
            rows[int(match.group(1)), match.group(2)] += int(match.group(3))
    return rows


def logs(folder: Path) -> list[Path]:
    return sorted([*folder.glob("*.log"), *folder.glob("*/log"), *folder.glob("nodes/*/log")])


def added(folder: Path) -> tuple[list[Counter[str]], Counter[tuple[int, str]]]:
    """Both, over all logs of a folder."""
    total: list[Counter[str]] = []
    refused: Counter[tuple[int, str]] = Counter()
    for path in logs(folder):
        lines = path.read_text(errors="replace").splitlines()
        refused += refusals(lines)
        for n, row in enumerate(stretches(lines)):
            if n == len(total):
                total.append(Counter())
            total[n] += row
    return total, refused


def table(rows: list[Counter[str]]) -> list[str]:
    names = [name for name, _ in sum(rows, Counter[str]()).most_common()]
    head = f"{'seconds held by':<36}" + "".join(f"{n * STRETCH_S:>8.0f} s" for n in range(len(rows)))
    return [head, *(f"{name:<36}" + "".join(f"{row[name]:>10.0f}" for row in rows) for name in names)]


def plot(rows: list[Counter[str]], to: Path) -> None:
    """Needs matplotlib (requirements-lab.txt)."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = [name for name, _ in sum(rows, Counter[str]()).most_common()]
    drawing, axis = pyplot.subplots(figsize=(10, 5), layout="constrained")
    axis.stackplot(
        [n * STRETCH_S for n in range(len(rows))], *[[row[name] for row in rows] for name in names], labels=names
    )
    axis.set_xlabel("seconds")
    axis.set_ylabel("seconds held, the whole fleet")
    axis.legend(loc="upper left", fontsize="small")
    drawing.savefig(to, dpi=90)
    pyplot.close(drawing)


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.gates", description=__doc__.splitlines()[0])
    parser.add_argument("logs", type=Path)
    parser.add_argument("--plot", type=Path)
    asked = parser.parse_args()
    rows, refused = added(asked.logs)
    if not rows:
        parser.error(f"no state lines in {asked.logs}")
    print("\n".join(table(rows)))
    for (destination, gate), count in refused.most_common(20):
        print(f"refused {count:>6}  destination {destination}: {gate}")
    if asked.plot is not None:
        plot(rows, asked.plot)


if __name__ == "__main__":
    main()
