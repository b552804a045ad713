"""Keeps what has to run as long as the process running: background tasks, and timers that arm themselves again.

An exception in one of them costs one step. It is logged with its traceback and counted. A task is started again after a
backoff that doubles up to a bound; a timer goes on at its interval. Only the end of the process, or whoever started it,
ends it. This is the one module that catches any exception.
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
    """Calls it. Returns what it returns, or the exception that it raised, for the caller to deal with."""
    try:
        return step()
    except Exception as error:
        return error


async def attempt_async(step: Awaitable[Result]) -> Result | Exception:
    """Awaits it. Returns its result, or the exception that it raised; a cancellation goes on to the caller."""
    try:
        return await step
    except Exception as error:
        return error


class RepeatingTimer:
    """Calls a function again and again, each time so long after the last call ended."""

    def __init__(self, supervisor: Supervisor, name: str, interval_s: float, step: Callable[[], object]) -> None:
        self.supervisor = supervisor
        self.name = name
        self.interval_s = interval_s
        self.step = step
        self._timer: asyncio.TimerHandle | None = None
        self.arm(interval_s)

    def arm(self, delay_s: float) -> None:
        """Makes the next call after this time; the calls after it keep the interval."""
        self.cancel()
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._fire)

    def cancel(self) -> None:
        """Makes no call any more, unless it is armed anew."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _fire(self) -> None:
        fired = self._timer
        try:
            self.supervisor.guard(self.name, self.step)
        finally:
            if self._timer is fired:  # it was neither cancelled nor armed anew by its own step
                self.arm(self.interval_s)


class Supervisor:
    """Counts failures by name; what it keeps running is ended by the process's end alone."""

    def __init__(self) -> None:
        self.failures: dict[str, int] = {}

    def record_failure(self, name: str, error: BaseException) -> None:
        """Logs and counts a failure of what goes by this name."""
        self.failures[name] = self.failures.get(name, 0) + 1
        log.error("%s failed, %d times so far: %r", name, self.failures[name], error, exc_info=error)

    def guard(self, name: str, step: Callable[[], object]) -> bool:
        """Calls it; an exception is logged and counted, and goes no further. Returns whether it succeeded."""
        outcome = result_or_error(step)
        if isinstance(outcome, Exception):
            self.record_failure(name, outcome)
            return False
        return True

    async def guarded(self, name: str, step: Awaitable[object]) -> bool:
        """Awaits it, as `guard` calls. Returns whether it succeeded; a cancellation goes on to the caller."""
        outcome = await attempt_async(step)
        if isinstance(outcome, Exception):
            self.record_failure(name, outcome)
            return False
        return True

    def repeat(self, name: str, interval_s: float, step: Callable[[], object]) -> RepeatingTimer:
        """Calls it at an interval, guarded, until what is returned is cancelled. The first call is an interval away."""
        return RepeatingTimer(self, name, interval_s, step)

    def keep_running(self, name: str, run: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
        """Runs it in a task, and again whenever it fails, until it returns or the task is cancelled."""
        return asyncio.get_running_loop().create_task(self._keep_running(name, run))

    async def _keep_running(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        loop = asyncio.get_running_loop()
        backoff_s = FIRST_BACKOFF_S
        while True:
            began_s = loop.time()
            if await self.guarded(name, _call(run)):
                return
            if loop.time() - began_s > MAX_BACKOFF_S:
                backoff_s = FIRST_BACKOFF_S
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def summary(self) -> str:
        """Returns the names of what has failed with their counts, for operators."""
        return ", ".join(f"{name} {count}" for name, count in sorted(self.failures.items())) or "none"


async def _call(run: Callable[[], Awaitable[None]]) -> None:
    """Makes an exception of the call itself one of the awaitable."""
    await run()
