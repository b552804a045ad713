"""Watches descriptors though the kernel fails to for a moment (epoll_ctl(2) and poll(2): ENOMEM, ENOSPC).

A descriptor that cannot be watched now is asked for again with each wait, so that a connection is heard late and not
never. One that cannot be looked at now is told apart from one with nothing to read.
"""

from __future__ import annotations

import errno
import select
import time
from contextlib import suppress

RETRY_S = 0.01
"""A wait lasts no longer while a descriptor is not watched that should be."""
TRANSIENT_ERRORS = frozenset({errno.ENOMEM, errno.ENOSPC})
"""Errors of epoll_ctl that say nothing of the descriptor."""


class PatientEpoll:
    """As `select.epoll`, for the selector of an event loop; registrations that fail for a moment are made again."""

    def __init__(self) -> None:
        self.blind_since_ns: int | None = None
        """Since when, by the monotonic clock, some events may go unreported; None while none do."""
        self._epoll = select.epoll()
        self._watched: set[int] = set()
        self._wanted: dict[int, int] = {}
        """Events of the descriptors that the kernel does not watch for just these yet."""

    def register(self, descriptor: int, events: int) -> None:
        """Watches a descriptor.

        Raises:
            OSError: it cannot be watched at all.
        """
        self._watched.discard(descriptor)  # the kernel has dropped one that was closed without being unregistered
        self._watch(descriptor, events)

    def modify(self, descriptor: int, events: int) -> None:
        """Watches a descriptor for other events.

        Raises:
            OSError: it cannot be watched at all.
        """
        self._watch(descriptor, events)

    def unregister(self, descriptor: int) -> None:
        """Watches a descriptor no more."""
        self._wanted.pop(descriptor, None)
        if descriptor in self._watched:
            self._watched.discard(descriptor)
            self._epoll.unregister(descriptor)

    def poll(self, timeout_s: float | None = None, max_events: int = -1) -> list[tuple[int, int]]:
        """Waits for events, a short time only while some may go unreported. Returns descriptors and their events."""
        for descriptor, events in list(self._wanted.items()):
            with suppress(OSError):
                self._watch(descriptor, events)
        if not self._wanted:
            self.blind_since_ns = None
        elif timeout_s is None or not 0 <= timeout_s <= RETRY_S:
            timeout_s = RETRY_S
        return self._epoll.poll(timeout_s, max_events)

    def close(self) -> None:
        """Closes the epoll object."""
        self._epoll.close()

    def fileno(self) -> int:
        """Returns the descriptor of the epoll object."""
        return self._epoll.fileno()

    def _watch(self, descriptor: int, events: int) -> None:
        try:
            if descriptor in self._watched:
                self._epoll.modify(descriptor, events)
            else:
                self._epoll.register(descriptor, events)
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                self._wanted.pop(descriptor, None)
                raise
            self._wanted[descriptor] = events
            if self.blind_since_ns is None:
                self.blind_since_ns = time.monotonic_ns()
        else:
            self._watched.add(descriptor)
            self._wanted.pop(descriptor, None)


def ready_now(poller: select.poll) -> list[tuple[int, int]] | None:
    """Returns what of the registered descriptors is ready, without a wait; None where the kernel cannot tell."""
    try:
        return poller.poll(0)
    except OSError:
        return None
