"""The times at which destinations have to be reconsidered."""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush

POLL_TIMER = -1
"""Replaces the destination in the entry for the next poll of the endpoint list."""

MIN_RECHECK_US = 40_000
"""Minimum time between two decisions on a destination for which no event arrives."""


@dataclass(slots=True)
class TimerQueue:
    """A priority queue of destinations by time, with the earliest time of each."""

    entries: list[tuple[int, int]] = field(default_factory=list)
    """A heap of pairs: a time in microseconds and a destination."""
    earliest: dict[int, int] = field(default_factory=dict)
    """The earliest time of each destination, in microseconds."""

    def add(self, at_us: int, destination: int) -> None:
        """Schedules a destination, unless it is already scheduled for the same or an earlier time."""
        if destination not in self.earliest or at_us < self.earliest[destination]:
            self.earliest[destination] = at_us
            heappush(self.entries, (at_us, destination))

    def pop_due(self, now_us: int) -> set[int]:
        """Removes and returns the destinations whose time is not after `now_us`."""
        due: set[int] = set()
        while self.entries and self.entries[0][0] <= now_us:
            _, destination = heappop(self.entries)
            self.earliest.pop(destination, None)
            due.add(destination)
        return due
