"""Watching descriptors though the kernel fails to for a moment (epoll_ctl(2) and poll(2): ENOMEM, ENOSPC).

A descriptor that cannot be watched now is asked for again with each wait, so that a connection is heard late and not
never. One that cannot be looked at now is told apart from one with nothing to read.
"""

from __future__ import annotations

import errno
import select
import time
from contextlib import suppress

AGAIN_S = 0.01
"""A wait lasts no longer while a descriptor is not watched that should be."""
PASSING = frozenset({errno.ENOMEM, errno.ENOSPC})
"""Errors of epoll_ctl that say nothing of the descriptor."""


class PatientEpoll:
    """As `select.epoll`, for the selector of an event loop; registrations that fail for a moment are made again."""

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._watched: set[int] = set()
        self._wanted: dict[int, int] = {}
        """Events of the descriptors that the kernel does not watch for just these yet."""
        self.blind_since_ns: int | None = None
        """Since when, by the monotonic clock, some events may go unreported; None while none do."""

    def register(self, fd: int, events: int) -> None:
        """Watch a descriptor. Raises OSError where it cannot be watched at all."""
        self._watched.discard(fd)  # one that was closed unsaid: the kernel has dropped it
        self._watch(fd, events)

    def modify(self, fd: int, events: int) -> None:
        """Watch a descriptor for something else. Raises OSError where it cannot be watched at all."""
        self._watch(fd, events)

    def unregister(self, fd: int) -> None:
        """Watch a descriptor no more."""
        self._wanted.pop(fd, None)
        if fd in self._watched:
            self._watched.discard(fd)
            self._epoll.unregister(fd)

    def poll(self, timeout_s: float | None = None, most: int = -1) -> list[tuple[int, int]]:
        """Wait for events, a short time only while some may go unreported."""
        for fd, events in list(self._wanted.items()):
            with suppress(OSError):
                self._watch(fd, events)
        if not self._wanted:
            self.blind_since_ns = None
        elif timeout_s is None or not 0 <= timeout_s <= AGAIN_S:
            timeout_s = AGAIN_S
        return self._epoll.poll(timeout_s, most)

    def close(self) -> None:
        """As of the real one."""
        self._epoll.close()

    def fileno(self) -> int:
        """As of the real one."""
        return self._epoll.fileno()

    def _watch(self, fd: int, events: int) -> None:
        try:
            if fd in self._watched:
                self._epoll.modify(fd, events)
            else:
                self._epoll.register(fd, events)
        except OSError as error:
            if error.errno not in PASSING:
                self._wanted.pop(fd, None)
                raise
            self._wanted[fd] = events
            if self.blind_since_ns is None:
                self.blind_since_ns = time.monotonic_ns()
        else:
            self._watched.add(fd)
            self._wanted.pop(fd, None)


def ready_now(poller: select.poll) -> list[tuple[int, int]] | None:
    """What of the registered descriptors is ready, without a wait; None where the kernel cannot tell."""
    try:
        return poller.poll(0)
    except OSError:
        return None
