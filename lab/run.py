"""One run: sets up the testbed, applies the load and the fault schedule, and checks and measures the events."""

from __future__ import annotations

import asyncio
import contextlib
import shutil
import signal
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from lab import event_log, hold_reasons, metrics, rules
from lab.fault_injection import FaultInjector
from lab.plan import Plan
from lab.result import Result, broken_limits, sum_costs
from lab.sampling import LatenessSummary, Sampler, summarize
from lab.scenario import Scenario
from lab.testbed import Testbed, ignore_progress

DRAIN_POLL_S = 0.1
RESULT_FILE = "result.json"
EVENTS_FILE = "events.jsonl"
SAMPLES_FILE = "samples.json"


def print_progress(text: str) -> None:
    """Print a line about a run's progress to the error stream."""
    print(text, file=sys.stderr)


class Run:
    """One run of a plan."""

    def __init__(
        self,
        plan: Plan,
        out: Path,
        program: Path,
        extensions: str | None = None,
        report_progress: Callable[[str], None] = ignore_progress,
        asks_hold_reasons: bool = False,
    ) -> None:
        """Create a run.

        Args:
            plan: The plan to run.
            out: The folder for logs and state folders.
            program: The checkout that the forwarders run from.
            extensions: The text of the extensions file of all forwarders.
            report_progress: Called with a line of text from time to time.
            asks_hold_reasons: Whether to ask every forwarder for its hold reasons once a second.
        """
        self.plan = plan
        self.testbed = Testbed(plan, out, program, extensions, report_progress)
        self.sampler = Sampler(self.testbed, asks_hold_reasons)

    async def open(self) -> None:
        """Set up the testbed.

        Raises:
            LabError: The testbed could not be set up.
        """
        await self.testbed.open()

    async def execute(self) -> None:
        """Apply the load and the fault schedule, and wait until the messages and faults in progress end.

        The wait ends at the latest `drain_s` after the load.
        """
        testbed = self.testbed
        testbed.begin_load()
        self.sampler.start()
        injector = FaultInjector(testbed)
        injector.start()
        await testbed.clients.submit_arrivals()
        await injector.wait_for_copies()
        time = self.plan.scenario.time
        while testbed.event_log.clock() < time.load_s + time.drain_s:
            if injector.is_done() and not testbed.clients.are_busy():
                break
            await asyncio.sleep(DRAIN_POLL_S)
        injector.finish()

    async def close(self) -> None:
        """End every process and every connection."""
        self.sampler.stop()
        await self.testbed.close()

    def result(self) -> Result:
        """Check the events against the rules, and compute the metrics."""
        scenario = self.plan.scenario
        testbed = self.testbed
        events = testbed.event_log.events
        lateness = summarize(self.sampler.lateness)
        lateness_s = min(lateness.max_ms, scenario.limits.late_ms) / 1000
        checked = rules.check(events, lateness_s, scenario.endpoints.key_rest_s)
        worst_cold = max((each.model.worst_budget_ratio for each in testbed.endpoints.values()), default=0.0)
        measured = metrics.measure(events, scenario.time.warm_s, scenario.time.load_s, worst_cold)
        return Result(
            scenario=scenario.name,
            seed=scenario.seed,
            forwarders=len(testbed.forwarders),
            findings=checked.findings,
            forgotten_messages=len(checked.forgotten),
            metrics=measured,
            lateness_ms={"p50": lateness.median_ms, "p99": lateness.p99_ms, "most": lateness.max_ms},
            costs=sum_costs(
                list(testbed.forwarders.values()), self.sampler.samples, testbed.exchange, testbed.memory.peak_mb()
            ),
            link_events=dict(sorted(testbed.network.counts.items())),
            broken_limits=broken_limits(scenario.limits, checked.findings, measured),
            is_valid=lateness.max_ms <= scenario.limits.late_ms,
            notes=_notes(scenario, lateness),
        )

    def write(self, result: Result, out: Path) -> None:
        """Write the result, the event log, the samples and the hold reports to a folder."""
        (out / RESULT_FILE).write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1))
        event_log.write(self.testbed.event_log.events, out / EVENTS_FILE)
        (out / SAMPLES_FILE).write_bytes(msgspec.json.encode(self.sampler.samples))
        if self.sampler.hold_reports is not None:
            (out / hold_reasons.FILE).write_bytes(msgspec.json.encode(self.sampler.hold_reports))


def _notes(scenario: Scenario, lateness: LatenessSummary) -> list[str]:
    notes = []
    if lateness.max_ms > scenario.limits.late_ms:
        notes.append(
            f"the lab was {lateness.max_ms:.0f} ms late, {scenario.limits.late_ms:.0f} allowed: "
            "this result does not count"
        )
    if scenario.fleet.skew_s or any(fault.clock_s for fault in scenario.faults):
        notes.append("wall clocks are skewed by a launcher: the program is not started just as deployed")
    return notes


@contextlib.contextmanager
def _cancelled_by_signals(task: asyncio.Task[object]) -> Iterator[None]:
    """Cancel a task if the lab process receives SIGINT or SIGTERM."""
    loop = asyncio.get_running_loop()
    signals = (signal.SIGINT, signal.SIGTERM)
    for signal_number in signals:
        loop.add_signal_handler(signal_number, task.cancel)
    try:
        yield
    finally:
        for signal_number in signals:
            loop.remove_signal_handler(signal_number)


async def run(
    plan: Plan,
    out: Path,
    program: Path,
    extensions: str | None = None,
    report_progress: Callable[[str], None] = ignore_progress,
    asks_hold_reasons: bool = False,
) -> tuple[Result, Run]:
    """Run one plan, and write its files. Every process that the run started is ended, also after an error.

    Args:
        plan: The plan to run.
        out: The folder for the result, the event log, logs and state folders.
        program: The checkout that the forwarders run from.
        extensions: The text of the extensions file of all forwarders.
        report_progress: Called with a line of text from time to time.
        asks_hold_reasons: Whether to ask every forwarder for its hold reasons once a second.

    Raises:
        LabError: The testbed could not be set up.
    """
    if (out / "nodes").exists():
        shutil.rmtree(out / "nodes")
    (out / "nodes").mkdir(parents=True)
    lab_run = Run(plan, out, program, extensions, report_progress, asks_hold_reasons)
    task = asyncio.current_task()
    assert task is not None
    with _cancelled_by_signals(task):
        try:
            report_progress(f"starting {len(plan.nodes)} forwarders")
            await lab_run.open()
            report_progress(f"all are up; {len(plan.arrivals)} messages and {len(plan.schedule)} faults are scheduled")
            await lab_run.execute()
        finally:
            await lab_run.close()
    result = lab_run.result()
    lab_run.write(result, out)
    return result, lab_run


def run_blocking(
    plan: Plan,
    out: Path,
    program: Path,
    extensions: str | None = None,
    report_progress: Callable[[str], None] = print_progress,
    asks_hold_reasons: bool = False,
) -> Result:
    """Run one plan as `run` does, in a new event loop."""
    return asyncio.run(run(plan, out, program, extensions, report_progress, asks_hold_reasons))[0]
