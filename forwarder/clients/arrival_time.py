"""Estimates when data that is read now arrived in the kernel.

The remaining time of a request counts from the earliest time at which its first byte may have arrived. That byte waits
in the kernel while the event loop is busy, the process is stalled or the connection has not been accepted. The time of
the last poll that did not report the data is a lower bound for its arrival. Names that end in `_ns` are nanoseconds of
the monotonic clock, and names that end in `_us` are microseconds of the forwarder's clock.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Callable

from forwarder.runtime.descriptor_watch import RetryingEpoll

NO_WAIT_S = 0.0
MAX_OVERSLEEP_NS = 20_000_000
"""A poll that returns later than this after its time-out was delayed because the process was stalled."""


class TimedSelector(selectors.EpollSelector):
    """An epoll selector that records the earliest possible arrival of the events it has just reported.

    Attributes:
        returned_ns: time at which the last poll returned.
        earliest_ns: earliest time at which the events that it reported may have arrived.
    """

    _selector_cls = RetryingEpoll
    _selector: RetryingEpoll

    def __init__(self) -> None:
        super().__init__()
        self.returned_ns = time.monotonic_ns()
        self.earliest_ns = self.returned_ns

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns the descriptors that are ready, as the base class does.

        Polls first without waiting, to find events that are already pending. The duration of a poll alone does not show
        whether it waited: it is also long if the process loses the processor during the poll.
        """
        previous_ns = self.returned_ns
        unwatched_since_ns = self._selector.unwatched_since_ns
        ready = super().select(NO_WAIT_S)
        self.returned_ns = time.monotonic_ns()
        self.earliest_ns = previous_ns
        if not ready and (timeout is None or timeout > NO_WAIT_S):
            started_ns = self.returned_ns
            ready = super().select(timeout)
            self.returned_ns = time.monotonic_ns()
            self.earliest_ns = earliest_poll_arrival_ns(started_ns, self.returned_ns, timeout)
        if unwatched_since_ns is not None:
            self.earliest_ns = min(self.earliest_ns, unwatched_since_ns)
        return ready


def earliest_poll_arrival_ns(started_ns: int, returned_ns: int, timeout_s: float | None) -> int:
    """Returns the earliest possible arrival of events reported by a poll that had found no event when it started.

    Args:
        started_ns: time at which the poll started.
        returned_ns: time at which the poll returned.
        timeout_s: time-out of the poll; None if it had none.
    """
    waited_ns = returned_ns - started_ns
    if timeout_s is not None and waited_ns > max(0.0, timeout_s) * 1e9 + MAX_OVERSLEEP_NS:
        return started_ns
    return returned_ns


def event_loop() -> asyncio.SelectorEventLoop:
    """Creates the event loop on which a forwarder runs."""
    return asyncio.SelectorEventLoop(TimedSelector())


def max_kernel_wait_us() -> int:
    """Returns the longest time, in microseconds, that data read now may have waited in the kernel.

    Returns 0 on an event loop that does not record arrival times.
    """
    selector = getattr(asyncio.get_running_loop(), "_selector", None)  # asyncio has no public access to the selector
    if not isinstance(selector, TimedSelector):
        return 0
    return max(0, time.monotonic_ns() - selector.earliest_ns) // 1000


class ArrivalEstimate:
    """Estimates the earliest arrival of the data that is read from one connection.

    Args:
        unread_since_us: time since which data may have waited unread while the event loop did not watch the connection.
    """

    def __init__(self, unread_since_us: int) -> None:
        self.unread_since_us: int | None = unread_since_us
        """None while the event loop has reported all data that arrived."""

    def note_readable(self, now_us: int) -> None:
        """Notes that data is about to be read. If the read fails, the data stays in the kernel until the next read."""
        if self.unread_since_us is None:
            self.unread_since_us = now_us - max_kernel_wait_us()

    def take_arrival_us(self, now_us: int) -> int:
        """Returns the earliest arrival of the data read now. Data of the next read counts as having arrived later."""
        arrived_us = now_us - max_kernel_wait_us()
        if self.unread_since_us is not None:
            arrived_us = min(arrived_us, self.unread_since_us)
            self.unread_since_us = None
        return arrived_us

    def note_reading_paused(self, now_us: int) -> None:
        """Notes that the event loop stops watching the connection now."""
        self.unread_since_us = now_us

    def note_reading_started(self, is_reading: Callable[[], bool]) -> None:
        """Notes that the event loop watches the connection from its next poll on.

        The next loop iteration begins with that poll and reads the data that it reports. Data reported by a later poll
        has arrived after it.

        Args:
            is_reading: returns whether the connection is still watched.
        """
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, self._note_first_poll, is_reading)

    def _note_first_poll(self, is_reading: Callable[[], bool]) -> None:
        if is_reading():
            self.unread_since_us = None
