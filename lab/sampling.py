"""Samples a run in progress: the processes, the lag of the lab's event loop, and the hold reasons of messages."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable
from dataclasses import dataclass

from lab import hold_reasons
from lab.forwarder_process import ForwarderProcess, ProcessSample
from lab.hold_reasons import CapacitySample, HoldReports
from lab.testbed import Testbed

LATENESS_INTERVAL_S = 0.01
SAMPLE_INTERVAL_S = 1.0
CAPACITY_INTERVAL_S = 0.1
PROGRESS_INTERVAL_S = 5.0
FREE_BURST_SHARE = 0.5
"""A destination counts as free while at least this share of its rate limit's burst is left."""


@dataclass(frozen=True, slots=True)
class Lateness:
    """Lag of the lab's event loop at one moment."""

    at_s: float
    late_ms: float


@dataclass(frozen=True, slots=True)
class LatenessSummary:
    """Lag of the lab's event loop over a run, in milliseconds."""

    median_ms: float
    p99_ms: float
    max_ms: float


def summarize(lateness: Iterable[Lateness]) -> LatenessSummary:
    """Summarize the lag of the lab's event loop since the start of the load."""
    late_ms = sorted(each.late_ms for each in lateness if each.at_s > 0) or [0.0]
    return LatenessSummary(
        median_ms=late_ms[len(late_ms) // 2],
        p99_ms=late_ms[len(late_ms) * 99 // 100],
        max_ms=late_ms[-1],
    )


class Sampler:
    """Samples a testbed in the background."""

    def __init__(self, testbed: Testbed, asks_hold_reasons: bool = False) -> None:
        """Create a sampler; `start` starts it.

        Args:
            testbed: The testbed to sample.
            asks_hold_reasons: Whether to ask every forwarder for its hold reasons once a second.
        """
        self.testbed = testbed
        self.clock = testbed.event_log.clock
        self.samples: list[ProcessSample] = []
        self.lateness: list[Lateness] = []
        self.hold_reports = HoldReports() if asks_hold_reasons else None
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start sampling in background tasks."""
        loops = [self._measure_lateness(), self._sample_processes(), self._report_progress()]
        if self.hold_reports is not None:
            loops.append(self._ask_hold_reasons(self.hold_reports))
        self.tasks = [asyncio.get_running_loop().create_task(each) for each in loops]

    def stop(self) -> None:
        """Stop sampling."""
        for task in self.tasks:
            task.cancel()

    async def _measure_lateness(self) -> None:
        """Measure the lag of the lab's event loop, which bounds the precision of all its timestamps."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + LATENESS_INTERVAL_S
            await asyncio.sleep(LATENESS_INTERVAL_S)
            self.lateness.append(Lateness(self.clock(), (loop.time() - due_s) * 1000))

    async def _sample_processes(self) -> None:
        """Sample each process once per interval, spread evenly over the interval."""
        forwarders = self.testbed.forwarders
        while True:
            for forwarder in list(forwarders.values()):
                sample = forwarder.sample()
                if sample is not None:
                    self.samples.append(sample)
                await asyncio.sleep(SAMPLE_INTERVAL_S / len(forwarders))

    async def _report_progress(self) -> None:
        testbed = self.testbed
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL_S)
            now_s = self.clock()
            up = sum(forwarder.is_up for forwarder in testbed.front.forwarders.values())
            recent = [each.late_ms for each in self.lateness if each.at_s > now_s - PROGRESS_INTERVAL_S]
            testbed.report_progress(
                f"{now_s:5.0f} s: {up} of {len(testbed.forwarders)} up, "
                f"{len(testbed.clients.delivered_arrivals)} delivered "
                f"of {testbed.clients.count} submitted; event loop lag of the lab at most "
                f"{max(recent, default=0.0):.0f} ms"
            )

    async def _ask_hold_reasons(self, reports: HoldReports) -> None:
        """Ask each forwarder once a second, one after the other; sample the endpoints' capacity ten times as often."""
        asked_at_s = 0.0
        while True:
            await asyncio.sleep(CAPACITY_INTERVAL_S)
            reports.capacity.append(CapacitySample(self.clock(), self._destinations_with_capacity()))
            if self.clock() - asked_at_s < SAMPLE_INTERVAL_S:
                continue
            asked_at_s = self.clock()
            for forwarder in [each for each in self.testbed.forwarders.values() if each.process is not None]:
                await self._ask_forwarder(forwarder, reports)

    async def _ask_forwarder(self, forwarder: ForwarderProcess, reports: HoldReports) -> None:
        with contextlib.suppress(OSError):  # an injected fault has stopped it
            start = forwarder.starts
            answer = await forwarder.admin_call("WHY json")
            report = hold_reasons.parse_report(self.clock(), forwarder.name, start, answer)
            if report is not None:
                reports.reports.append(report)

    def _destinations_with_capacity(self) -> list[int]:
        """Return the destinations within their rate limit with at least one endpoint that is up, warm and not full."""
        now_s = self.clock()
        free = set()
        for endpoint in self.testbed.endpoints.values():
            model = endpoint.model
            if not model.is_down and not model.is_warming_up(now_s) and model.has_free_slot():
                free.add(model.spec.destination)
        return sorted(number for number in free if self._is_within_limit(number, now_s))

    def _is_within_limit(self, destination: int, now_s: float) -> bool:
        bucket = self.testbed.destinations[destination].bucket
        return bucket is None or bucket.available(now_s) >= bucket.burst * FREE_BURST_SHARE
