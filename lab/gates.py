"""What held messages back over a whole fleet: seconds held and messages refused, by gate, destination, class and time.

Each forwarder is asked `WHY json` now and then, and the stand-ins say meanwhile which destinations had room. Seconds
that a gate held messages for a destination that had room whenever it was looked are needless: the gate kept them, and
not the destination. A few of them are the price of safety; many are a gate to look at.
"""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec

from lab.plan import WORTH

FILE = "gates.json"


class Look(msgspec.Struct, frozen=True):
    """One forwarder's answer, counted from its start."""

    at_s: float
    node: str
    start: int
    held: list[tuple[int, str, str, int]]
    """Destination, class, gate, microseconds."""
    refused: list[tuple[int, str, str, int]]
    """Destination, class, gate, messages."""


class Room(msgspec.Struct, frozen=True):
    """The destinations that could take a call at once."""

    at_s: float
    destinations: list[int]


class Looks(msgspec.Struct):
    """All of one run."""

    looks: list[Look] = []
    rooms: list[Room] = []


class Row(msgspec.Struct, frozen=True):
    """What one gate did in one stretch, the whole fleet together."""

    at_s: float
    """The stretch's end."""
    destination: int
    cls: str
    gate: str
    held_s: float
    needless_s: float
    refused: int

    @property
    def worth(self) -> float:
        """What the refused messages were worth at most; a client may have brought them again."""
        return self.refused * WORTH.get(self.cls, 1.0)


def look(at_s: float, node: str, start: int, said: str) -> Look | None:
    """Read an answer to `WHY json`; None where it is none."""
    if not said.startswith("ok {"):
        return None
    told = json.loads(said[3:])
    return Look(at_s, node, start, [tuple(row) for row in told["held"]], [tuple(row) for row in told["refused"]])


def rows(found: Looks) -> list[Row]:
    """The differences between each two looks at one forwarder, and between its start and the first."""
    made: list[Row] = []
    before: dict[str, Look] = {}
    at = [room.at_s for room in found.rooms]
    for now in sorted(found.looks, key=lambda x: x.at_s):
        last = before.get(now.node)
        anew = last is None or last.start != now.start
        held, refused = _counted(now.held), _counted(now.refused)
        if last is not None and not anew:
            held.subtract(_counted(last.held))
            refused.subtract(_counted(last.refused))
        begin = last.at_s if last is not None and not anew else now.at_s
        free = _free(found.rooms, at, begin, now.at_s)
        for key in held.keys() | refused.keys():
            seconds, (destination, cls, gate) = max(0, held[key]) / 1e6, key
            if seconds or refused[key] > 0:
                made.append(
                    Row(
                        now.at_s,
                        destination,
                        cls,
                        gate,
                        seconds,
                        seconds if destination in free else 0.0,
                        max(0, refused[key]),
                    )
                )
        before[now.node] = now
    return made


def _counted(rows: list[tuple[int, str, str, int]]) -> Counter[tuple[int, str, str]]:
    return Counter({(destination, cls, gate): n for destination, cls, gate, n in rows})


def _free(rooms: Sequence[Room], at: Sequence[float], begin_s: float, end_s: float) -> set[int]:
    """Destinations that had room whenever it was looked from one moment to another."""
    inside = [set(room.destinations) for room in rooms if begin_s <= room.at_s <= end_s]
    return set.intersection(*inside) if inside else set()


def stretches(found: Iterable[Row], by: str, step_s: float) -> list[tuple[str, dict[int, float]]]:
    """Seconds held by stretch, for each value of a field, the most first; `needless`: needless seconds by gate."""
    sums: dict[str, dict[int, float]] = {}
    for row in found:
        name = row.gate if by == "needless" else str(getattr(row, by))
        book, n = sums.setdefault(name, defaultdict(float)), int(row.at_s // step_s)
        book[n] += row.needless_s if by == "needless" else row.held_s
    return sorted(sums.items(), key=lambda item: -sum(item[1].values()))


def table(found: list[Row], step_s: float, marks: Sequence[float] = ()) -> list[str]:
    """For people: by gate, needless seconds by gate, by destination and by class; then what was refused."""
    if not found:
        return ["nothing was held"]
    first, last = (int(f(row.at_s for row in found) // step_s) for f in (min, max))
    steps, lines = range(first, last + 1), []
    struck = {int(mark // step_s) for mark in marks}
    for by, title in (
        ("gate", "seconds held by"),
        ("needless", "of them needless"),
        ("destination", "by destination"),
        ("cls", "by class"),
    ):
        lines.append(
            f"{title:<34}" + "".join(f"{n * step_s:>8.0f}{'*' if n in struck else ' '}" for n in steps) + "      all"
        )
        lines += [
            f"{name:<34}" + "".join(f"{row.get(n, 0.0):>9.1f}" for n in steps) + f"{sum(row.values()):>9.1f}"
            for name, row in stretches(found, by, step_s)
            if sum(row.values()) >= 0.05
        ]
    lost = Counter[str]()
    worth: dict[str, float] = defaultdict(float)
    for row in found:
        lost[row.gate] += row.refused
        worth[row.gate] += row.worth
    lines.append("messages refused, and their worth at most")
    return lines + [f"{gate:<34}{n:>9}{worth[gate]:>9.1f}" for gate, n in lost.most_common() if n]


def load(folder: Path) -> Looks:
    """Raises OSError where the run was not asked for gates."""
    return msgspec.json.decode((folder / FILE).read_bytes(), type=Looks)


def plot(found: list[Row], marks: Sequence[tuple[float, str]], to: Path, step_s: float = 1.0) -> None:
    """Seconds held by gate, and the needless among them, with the faults marked."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    drawing, axes = pyplot.subplots(2, 1, figsize=(11, 8), sharex=True, layout="constrained")
    for axis, by, title in zip(axes, ("gate", "needless"), ("seconds held / s", "of them needless"), strict=True):
        sums, steps = stretches(found, by, step_s), range(int(max(row.at_s for row in found) // step_s) + 1)
        axis.stackplot(
            [n * step_s for n in steps],
            *[[row.get(n, 0.0) for n in steps] for _, row in sums],
            labels=[name for name, _ in sums],
        )
        axis.set_ylabel(title)
        for at, kind in marks:
            axis.axvline(at, color="red" if kind == "fault" else "green", linewidth=0.8, linestyle=":")
    axes[0].legend(loc="upper left", fontsize="small")
    axes[0].set_title("faults red, healed green")
    axes[1].set_xlabel("seconds of load")
    drawing.savefig(to, dpi=90)
    pyplot.close(drawing)
