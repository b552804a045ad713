"""Keeps what has to run as long as the process running: background tasks and timers that arm themselves again.

An exception in one of them costs one step. It is logged with its traceback and counted, and the task is started again
after a pause that doubles up to a bound; a timer goes on at its interval. Only the end of the process, or whoever
started it, ends it.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

FIRST_PAUSE_S = 0.05
MOST_PAUSE_S = 1.0
Result = TypeVar("Result")
log = logging.getLogger("forwarder.supervise")


def attempt(step: Callable[[], Result]) -> Result | Exception:
    """Calls it. Returns what it returns, or the exception that it raised, for the caller to deal with."""
    try:
        return step()
    except Exception as error:
        return error


class Repeating:
    """Calls a function again and again, each time so long after the last call ended."""

    def __init__(self, supervisor: Supervisor, name: str, interval_s: float, step: Callable[[], object]) -> None:
        self.supervisor, self.name, self.interval_s, self.step = supervisor, name, interval_s, step
        self.timer: asyncio.TimerHandle | None = None
        self.arm(interval_s)

    def arm(self, delay_s: float) -> None:
        """Make the next call after this time; the calls after it keep the interval."""
        self.cancel()
        self.timer = asyncio.get_running_loop().call_later(delay_s, self._fire)

    def cancel(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _fire(self) -> None:
        fired = self.timer
        try:
            self.supervisor.guard(self.name, self.step)
        finally:
            if self.timer is fired:  # it was neither cancelled nor armed anew by its own step
                self.arm(self.interval_s)


class Supervisor:
    """Counts failures by name; what it keeps running is ended by the process's end alone."""

    def __init__(self) -> None:
        self.failures: dict[str, int] = {}

    def failed(self, name: str, error: BaseException) -> None:
        self.failures[name] = self.failures.get(name, 0) + 1
        log.error("%s failed, %d times so far: %r", name, self.failures[name], error, exc_info=error)

    def guard(self, name: str, step: Callable[[], object]) -> bool:
        """Call it; a failure is logged and counted, and goes no further. Whether it succeeded."""
        outcome = attempt(step)
        if isinstance(outcome, Exception):
            self.failed(name, outcome)
            return False
        return True

    async def guarded(self, name: str, step: Awaitable[object]) -> bool:
        """As `guard`, of a step that waits."""
        try:
            await step
        except Exception as error:
            self.failed(name, error)
            return False
        return True

    def repeat(self, name: str, interval_s: float, step: Callable[[], object]) -> Repeating:
        return Repeating(self, name, interval_s, step)

    def keep(self, name: str, run: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
        """Run it in a task, and again whenever it fails, until it returns or is cancelled."""
        return asyncio.get_running_loop().create_task(self._keep(name, run))

    async def _keep(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        pause_s = FIRST_PAUSE_S
        while True:
            began_s = asyncio.get_running_loop().time()
            try:
                await run()
                return
            except Exception as error:
                self.failed(name, error)
            if asyncio.get_running_loop().time() - began_s > MOST_PAUSE_S:
                pause_s = FIRST_PAUSE_S
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MOST_PAUSE_S)

    def summary(self) -> str:
        return ", ".join(f"{name} {count}" for name, count in sorted(self.failures.items())) or "none"
