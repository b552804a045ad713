"""When what is read now may have arrived.

The time of a request counts from its last byte, which lies in the kernel until it is read: while the event loop is
busy, the process stands still, or nothing is accepted. The earliest moment at which it may have come is known: the
loop's poll before did not report it. Times are nanoseconds of the monotonic clock.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Callable

from forwarder.runtime.descriptor_watch import RetryingEpoll

NO_WAIT_S = 0.0
OVERSLEPT_NS = 20_000_000
"""A poll that returns so long after its time-out did not wait for that: the process stood still in it."""


class TimedSelector(selectors.EpollSelector):
    """An epoll that knows since when what it has just reported may have been there.

    Attributes:
        returned_ns: when the last poll returned.
        earliest_ns: the earliest time at which what it reported may have come.
    """

    _selector_cls = RetryingEpoll
    _selector: RetryingEpoll

    def __init__(self) -> None:
        super().__init__()
        self.returned_ns = time.monotonic_ns()
        self.earliest_ns = self.returned_ns

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns what is ready, as the base class does.

        What lies there already is asked for first, without a wait. How long a poll took does not tell whether it
        waited: a process that loses the processor in one takes long too.
        """
        previous_ns = self.returned_ns
        unwatched_since_ns = self._selector.unwatched_since_ns
        ready = super().select(NO_WAIT_S)
        self.returned_ns = time.monotonic_ns()
        self.earliest_ns = previous_ns
        if not ready and (timeout is None or timeout > NO_WAIT_S):
            began_ns = self.returned_ns
            ready = super().select(timeout)
            self.returned_ns = time.monotonic_ns()
            self.earliest_ns = earliest_ns(began_ns, self.returned_ns, timeout)
        if unwatched_since_ns is not None:
            self.earliest_ns = min(self.earliest_ns, unwatched_since_ns)
        return ready


def earliest_ns(began_ns: int, returned_ns: int, timeout_s: float | None) -> int:
    """Returns the earliest arrival of what a poll reports that has found nothing as it began.

    Args:
        began_ns: when the poll began.
        returned_ns: when the poll returned.
        timeout_s: the poll's time-out; None for none.
    """
    waited_ns = returned_ns - began_ns
    if timeout_s is not None and waited_ns > max(0.0, timeout_s) * 1e9 + OVERSLEPT_NS:
        return began_ns
    return returned_ns


def event_loop() -> asyncio.SelectorEventLoop:
    """Returns the event loop that a forwarder runs on."""
    return asyncio.SelectorEventLoop(TimedSelector())


def waited_us() -> int:
    """Returns how long what is read now may have waited in the kernel, in microseconds.

    It is 0 on an event loop that cannot tell.
    """
    selector = getattr(asyncio.get_running_loop(), "_selector", None)  # asyncio has no public way to it
    if not isinstance(selector, TimedSelector):
        return 0
    return max(0, time.monotonic_ns() - selector.earliest_ns) // 1000


class ArrivalEstimate:
    """Since when what is read now from one connection may have been there.

    Args:
        unread_since_us: since when something may lie unread of which the event loop could not tell.
    """

    def __init__(self, unread_since_us: int) -> None:
        self.unread_since_us: int | None = unread_since_us
        """None while the event loop could tell of all that came."""

    def readable(self, now_us: int) -> None:
        """Something is about to be read. Should that fail, it lies there until the next time."""
        if self.unread_since_us is None:
            self.unread_since_us = now_us - waited_us()

    def take(self, now_us: int) -> int:
        """Returns the earliest arrival of what is read now. What is read next has come after this."""
        arrived_us = now_us - waited_us()
        if self.unread_since_us is not None:
            arrived_us = min(arrived_us, self.unread_since_us)
            self.unread_since_us = None
        return arrived_us

    def reading_paused(self, now_us: int) -> None:
        """The event loop does not watch the connection from now on."""
        self.unread_since_us = now_us

    def reading_begins(self, is_reading: Callable[[], bool]) -> None:
        """The event loop watches the connection from its next poll on.

        The next turn begins with that poll, and what it reports is read in that turn. What a later one reports has come
        since.

        Args:
            is_reading: returns whether the connection is watched still.
        """
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, self._polled, is_reading)

    def _polled(self, is_reading: Callable[[], bool]) -> None:
        if is_reading():
            self.unread_since_us = None
