"""Carries the schedule of faults out."""

from __future__ import annotations

import asyncio

from lab.event_log import EventKind
from lab.party_faults import PartyFaults
from lab.plan import ScheduledFault
from lab.process_faults import ProcessFaults
from lab.testbed import Testbed


class FaultInjector:
    """Injects every fault of the plan at its moment."""

    def __init__(self, testbed: Testbed) -> None:
        self.event_log = testbed.event_log
        self.schedule = testbed.plan.schedule
        self.process_faults = ProcessFaults(testbed)
        self.handlers = {**self.process_faults.handlers, **PartyFaults(testbed).handlers}
        self.injecting: list[asyncio.Task[None]] = []
        self.copying: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin with the schedule."""
        loop = asyncio.get_running_loop()
        self.injecting = [loop.create_task(self._inject(step)) for step in self.schedule]
        self.copying = [
            loop.create_task(self.process_faults.copy_folders(step))
            for step in self.schedule
            if step.fault.folder == "old"
        ]

    async def wait_for_copies(self) -> None:
        """Wait until every folder is kept that a fault will set back to."""
        await asyncio.gather(*self.copying)

    def is_done(self) -> bool:
        """Whether all faults were injected and healed."""
        return all(task.done() for task in self.injecting)

    def finish(self) -> None:
        """End what is under way. Raises what went wrong in a fault: that is the lab's failure, and no result."""
        for task in self.injecting:
            if task.done():
                task.result()
            else:
                task.cancel()

    async def _inject(self, step: ScheduledFault) -> None:
        await asyncio.sleep(max(0.0, step.at_s - self.event_log.clock()))
        fault = step.fault
        self.event_log.note(EventKind.FAULT_INJECTED, state=fault.kind, names=step.targets, share=fault.share or 0.0)
        await self.handlers[fault.kind](step)
