"""A page of plots of one run, with the faults marked."""

from __future__ import annotations

from pathlib import Path

import matplotlib
import msgspec

from lab import figures, record
from lab.nodes import Sample

matplotlib.use("Agg")
from matplotlib import pyplot


def page(folder: Path) -> Path:
    """Draw what `run` has written to a folder. Raises OSError where something is missing."""
    events = record.read(folder / "events.jsonl")
    samples = msgspec.json.decode((folder / "samples.json").read_bytes(), type=list[Sample])
    end = max(e.at_s for e in events if e.kind == "asked")
    served = figures.Served(events)
    times = [n * 0.5 for n in range(int(end * 2) - 2)]
    drawing, axes = pyplot.subplots(5, 1, figsize=(11, 15), sharex=True, layout="constrained")
    axes[0].plot(times, [served.share(t, t + 1) for t in times], label="in time")
    axes[0].plot(times, [served.share(t, t + 1, 2) for t in times], label="with what comes late")
    axes[0].set_ylabel("share of worth asked for")
    axes[0].set_ylim(0, 1.05)
    for kind in ("call", "dialled"):
        axes[1].plot(figures.per_second(events, kind, end), drawstyle="steps-post", label=kind)
    axes[1].set_ylabel("calls, new connections / s")
    axes[2].plot(figures.per_second(events, "listed", end), drawstyle="steps-post", label="questions")
    refused = [e for e in events if e.kind == "listed" and e.status != 200]
    axes[2].plot(figures.per_second(refused, "listed", end), drawstyle="steps-post", label="of them not answered")
    axes[2].set_ylabel("discovery / s")
    for status, name in ((429, "told to wait"), (503, "turned away")):
        some = [e for e in events if e.kind == "answered" and e.status == status]
        axes[3].plot(figures.per_second(some, "answered", end), drawstyle="steps-post", label=name)
    axes[3].set_ylabel("refused calls / s")
    by_time: dict[int, list[int]] = {}
    for x in samples:
        by_time.setdefault(int(x.at_s), []).append(x.memory)
    axes[4].plot(list(by_time), [max(v) / 1e6 for v in by_time.values()], label="largest")
    axes[4].plot(list(by_time), [sorted(v)[len(v) // 2] / 1e6 for v in by_time.values()], label="median")
    axes[4].set_ylabel("memory, MB")
    axes[4].set_xlabel("seconds of load")
    for axis in axes:
        for e in events:
            if e.kind in ("fault", "healed"):
                axis.axvline(e.at_s, color="red" if e.kind == "fault" else "green", linewidth=0.8, linestyle=":")
        axis.legend(loc="lower right", fontsize="small")
    axes[0].set_title(f"{folder.name}: faults red, healed green")
    to = folder / "plots.png"
    drawing.savefig(to, dpi=90)
    pyplot.close(drawing)
    return to
