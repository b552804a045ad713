"""Runs background tasks and repeating timers, and keeps them running despite exceptions.

An exception ends only the current step. It is logged with its traceback and counted. A task is restarted after a
backoff that doubles up to a bound; a timer goes on at its interval. Only the end of the process, or the code that
started them, stops them. This is the only module that catches every exception.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
Result = TypeVar("Result")
log = logging.getLogger("forwarder.supervise")


def result_or_error(step: Callable[[], Result]) -> Result | Exception:
    """Calls the step. Returns its result, or the exception that it raised, for the caller to handle."""
    try:
        return step()
    except Exception as error:
        return error


async def await_result_or_error(step: Awaitable[Result]) -> Result | Exception:
    """Awaits the step. Returns its result, or the exception that it raised; a cancellation reaches the caller."""
    try:
        return await step
    except Exception as error:
        return error


class RepeatingTimer:
    """Calls a function repeatedly, each time one interval after the previous call ended."""

    def __init__(self, supervisor: Supervisor, name: str, interval_s: float, step: Callable[[], object]) -> None:
        self.supervisor = supervisor
        self.name = name
        self.interval_s = interval_s
        self.step = step
        self._timer: asyncio.TimerHandle | None = None
        self.arm(interval_s)

    def arm(self, delay_s: float) -> None:
        """Schedules the next call after this delay; the calls after it follow at the interval."""
        self.cancel()
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._fire)

    def cancel(self) -> None:
        """Stops the calls, until the timer is armed again."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _fire(self) -> None:
        fired = self._timer
        try:
            self.supervisor.guard(self.name, self.step)
        finally:
            if self._timer is fired:  # the step neither cancelled the timer nor armed it again
                self.arm(self.interval_s)


class Supervisor:
    """Runs tasks, timers and single steps so that their failures are logged and counted by name."""

    def __init__(self) -> None:
        self.failures: dict[str, int] = {}

    def record_failure(self, name: str, error: BaseException) -> None:
        """Logs a failure, and counts it under this name."""
        self.failures[name] = self.failures.get(name, 0) + 1
        log.error("%s failed, %d times so far: %r", name, self.failures[name], error, exc_info=error)

    def guard(self, name: str, step: Callable[[], object]) -> bool:
        """Calls the step; an exception is logged and counted, but not raised. Returns whether the step succeeded."""
        outcome = result_or_error(step)
        if isinstance(outcome, Exception):
            self.record_failure(name, outcome)
            return False
        return True

    async def guarded(self, name: str, step: Awaitable[object]) -> bool:
        """Awaits the step as `guard` calls one. Returns whether it succeeded; a cancellation reaches the caller."""
        outcome = await await_result_or_error(step)
        if isinstance(outcome, Exception):
            self.record_failure(name, outcome)
            return False
        return True

    def repeat(self, name: str, interval_s: float, step: Callable[[], object]) -> RepeatingTimer:
        """Calls the step, guarded, at an interval until the timer is cancelled. The first call is one interval away."""
        return RepeatingTimer(self, name, interval_s, step)

    def keep_running(self, name: str, run: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
        """Runs the function in a task, and again whenever it fails, until it returns or the task is cancelled."""
        return asyncio.get_running_loop().create_task(self._keep_running(name, run))

    async def _keep_running(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        loop = asyncio.get_running_loop()
        backoff_s = FIRST_BACKOFF_S
        while True:
            started_s = loop.time()
            if await self.guarded(name, _call(run)):
                return
            if loop.time() - started_s > MAX_BACKOFF_S:
                backoff_s = FIRST_BACKOFF_S
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def summary(self) -> str:
        """Returns the names under which failures were counted, with the counts, for operators."""
        return ", ".join(f"{name} {count}" for name, count in sorted(self.failures.items())) or "none"


async def _call(run: Callable[[], Awaitable[None]]) -> None:
    """Turns an exception that the call itself raises into one of the awaitable."""
    await run()
