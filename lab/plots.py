"""Plots of one run, with the faults marked. Needs matplotlib (requirements-lab.txt)."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from pathlib import Path

import matplotlib
import msgspec
from matplotlib import pyplot
from matplotlib.axes import Axes

from lab import event_log, hold_reasons
from lab.event_log import Event, EventKind
from lab.forwarder_process import ProcessSample
from lab.hold_reasons import BY_REASON, NEEDLESS_BY_REASON, HoldRow
from lab.metrics import ServiceLevel, Weight, per_second
from lab.run import EVENTS_FILE, SAMPLES_FILE

DPI = 90
SHARE_STEP_S = 0.5
SHARE_WINDOW_S = 1.0
HOLD_STEP_S = 1.0
MARK_COLORS = {EventKind.FAULT_INJECTED: "red", EventKind.FAULT_HEALED: "green"}
PAGE_FILE = "plots.png"
HOLD_REASONS_FILE = "gates.png"

matplotlib.use("Agg")


def draw_page(folder: Path) -> Path:
    """Draw the plots of a run from the files in its folder.

    Returns:
        The path of the image.

    Raises:
        OSError: A file is missing in the folder.
    """
    events = event_log.read(folder / EVENTS_FILE)
    samples = msgspec.json.decode((folder / SAMPLES_FILE).read_bytes(), type=list[ProcessSample])
    end_s = max(event.at_s for event in events if event.kind == EventKind.MESSAGE_ARRIVED)
    drawing, axes = pyplot.subplots(5, 1, figsize=(11, 15), sharex=True, layout="constrained")
    _draw_service(axes[0], events, end_s)
    _draw_calls(axes[1], events, end_s)
    _draw_discovery(axes[2], events, end_s)
    _draw_refusals(axes[3], events, end_s)
    _draw_memory(axes[4], samples)
    for axis in axes:
        _mark_faults(axis, events)
        axis.legend(loc="lower right", fontsize="small")
    axes[0].set_title(f"{folder.name}: faults red, healed green")
    target = folder / PAGE_FILE
    drawing.savefig(target, dpi=DPI)
    pyplot.close(drawing)
    return target


def _draw_service(axis: Axes, events: Sequence[Event], end_s: float) -> None:
    service = ServiceLevel(events)
    times_s = [step * SHARE_STEP_S for step in range(int(end_s / SHARE_STEP_S) - 2)]
    for weight, label in ((Weight.IN_TIME, "in time"), (Weight.EARNED, "including late")):
        shares = [service.share(at_s, at_s + SHARE_WINDOW_S, weight) for at_s in times_s]
        axis.plot(times_s, shares, label=label)  # type: ignore[arg-type]
    axis.set_ylabel("share of arrived weight")
    axis.set_ylim(0, 1.05)


def _draw_steps(axis: Axes, events: Iterable[Event], kind: EventKind, end_s: float, label: str) -> None:
    axis.plot(per_second(events, kind, end_s), drawstyle="steps-post", label=label)


def _draw_calls(axis: Axes, events: Sequence[Event], end_s: float) -> None:
    for kind in (EventKind.CALL_RECEIVED, EventKind.CONNECTION_OPENED):
        _draw_steps(axis, events, kind, end_s, kind.value)
    axis.set_ylabel("calls, new connections / s")


def _draw_discovery(axis: Axes, events: Sequence[Event], end_s: float) -> None:
    _draw_steps(axis, events, EventKind.LIST_REQUESTED, end_s, "requests")
    refused = [event for event in events if event.status != 200]
    _draw_steps(axis, refused, EventKind.LIST_REQUESTED, end_s, "refused or unanswered")
    axis.set_ylabel("discovery / s")


def _draw_refusals(axis: Axes, events: Sequence[Event], end_s: float) -> None:
    for status, label in ((429, "429 with Retry-After"), (503, "503 without Retry-After")):
        refused = [event for event in events if event.status == status]
        _draw_steps(axis, refused, EventKind.CALL_ANSWERED, end_s, label)
    axis.set_ylabel("refused calls / s")


def _draw_memory(axis: Axes, samples: Iterable[ProcessSample]) -> None:
    by_second: defaultdict[int, list[float]] = defaultdict(list)
    for sample in samples:
        by_second[int(sample.at_s)].append(sample.memory_bytes / 1e6)
    seconds = list(by_second)
    axis.plot(seconds, [max(memory_mb) for memory_mb in by_second.values()], label="largest")
    medians_mb = [sorted(memory_mb)[len(memory_mb) // 2] for memory_mb in by_second.values()]
    axis.plot(seconds, medians_mb, label="median")
    axis.set_ylabel("memory, MB")
    axis.set_xlabel("seconds of load")


def _mark_faults(axis: Axes, events: Iterable[Event]) -> None:
    for event in events:
        if event.kind in MARK_COLORS:
            axis.axvline(event.at_s, color=MARK_COLORS[event.kind], linewidth=0.8, linestyle=":")


def draw_hold_reasons(rows: list[HoldRow], events: Sequence[Event], target: Path) -> None:
    """Draw the seconds held by reason, and the needless seconds among them."""
    drawing, axes = pyplot.subplots(2, 1, figsize=(11, 8), sharex=True, layout="constrained")
    steps = range(int(max(row.at_s for row in rows) // HOLD_STEP_S) + 1)
    groupings = ((BY_REASON, "seconds held / s"), (NEEDLESS_BY_REASON, "of them needless"))
    for axis, (grouping, title) in zip(axes, groupings, strict=True):
        sums = hold_reasons.sum_by_interval(rows, grouping, HOLD_STEP_S)
        axis.stackplot(
            [step * HOLD_STEP_S for step in steps],
            *[[each.seconds.get(step, 0.0) for step in steps] for each in sums],
            labels=[each.name for each in sums],
        )
        axis.set_ylabel(title)
        _mark_faults(axis, events)
    axes[0].legend(loc="upper left", fontsize="small")
    axes[0].set_title("faults red, healed green")
    axes[1].set_xlabel("seconds of load")
    drawing.savefig(target, dpi=DPI)
    pyplot.close(drawing)
