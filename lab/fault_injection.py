"""Injects the faults of a run's schedule."""

from __future__ import annotations

import asyncio

from lab.event_log import EventKind
from lab.party_faults import PartyFaults
from lab.plan import ScheduledFault
from lab.process_faults import ProcessFaults
from lab.testbed import Testbed


class FaultInjector:
    """Injects every fault of the plan at its scheduled time."""

    def __init__(self, testbed: Testbed) -> None:
        self.event_log = testbed.event_log
        self.schedule = testbed.plan.schedule
        self.process_faults = ProcessFaults(testbed)
        self.handlers = {**self.process_faults.handlers, **PartyFaults(testbed).handlers}
        self.fault_tasks: list[asyncio.Task[None]] = []
        self.copy_tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start to inject the scheduled faults."""
        loop = asyncio.get_running_loop()
        self.fault_tasks = [loop.create_task(self._inject(step)) for step in self.schedule]
        self.copy_tasks = [
            loop.create_task(self.process_faults.copy_folders(step))
            for step in self.schedule
            if step.fault.folder == "old"
        ]

    async def wait_for_copies(self) -> None:
        """Wait until every state folder that a fault will restore has been copied."""
        await asyncio.gather(*self.copy_tasks)

    def is_done(self) -> bool:
        """Whether all faults have been injected and healed."""
        return all(task.done() for task in self.fault_tasks)

    def finish(self) -> None:
        """Cancel faults that have not ended, and raise any error of a fault: that is a failure of the lab itself."""
        for task in self.fault_tasks:
            if task.done():
                task.result()
            else:
                task.cancel()

    async def _inject(self, step: ScheduledFault) -> None:
        await asyncio.sleep(max(0.0, step.at_s - self.event_log.clock()))
        fault = step.fault
        self.event_log.note(EventKind.FAULT_INJECTED, state=fault.kind, names=step.targets, share=fault.share or 0.0)
        await self.handlers[fault.kind](step)
