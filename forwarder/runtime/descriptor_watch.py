"""Watches descriptors though the kernel fails to for a moment (epoll_ctl(2) and poll(2): ENOMEM, ENOSPC).

A descriptor that cannot be watched now is asked for again with each wait, so that a connection is heard late and not
never. One that cannot be looked at now is told apart from one with nothing to read. One whose call has just failed,
though it is ready, is left alone for a moment, or the event loop would make the call again and again.
"""

from __future__ import annotations

import asyncio
import errno
import select
import time
from contextlib import suppress

RETRY_S = 0.01
"""A wait lasts no longer while a descriptor is not watched that should be."""
TRANSIENT_ERRORS = frozenset({errno.ENOMEM, errno.ENOSPC})
"""Errors of epoll_ctl that say nothing of the descriptor."""


class RetryingEpoll:
    """As `select.epoll`, for the selector of an event loop; registrations that fail for a moment are made again."""

    def __init__(self) -> None:
        self.unwatched_since_ns: int | None = None
        """Since when, by the monotonic clock, some events may go unreported; None while none do."""
        self._epoll = select.epoll()
        self._watched: dict[int, int] = {}
        """Events of the descriptors that the kernel watches."""
        self._wanted: dict[int, int] = {}
        """Events of the descriptors that the kernel does not watch for just these yet."""
        self._resting_until_s: dict[int, float] = {}
        """Those of them that are left alone, by the monotonic clock."""

    def register(self, descriptor: int, events: int) -> None:
        """Watches a descriptor.

        Raises:
            OSError: it cannot be watched at all.
        """
        self._watched.pop(descriptor, None)  # the kernel has dropped one that was closed without being unregistered
        self._resting_until_s.pop(descriptor, None)
        self._watch(descriptor, events)

    def modify(self, descriptor: int, events: int) -> None:
        """Watches a descriptor for other events.

        Raises:
            OSError: it cannot be watched at all.
        """
        if descriptor in self._resting_until_s:
            self._wanted[descriptor] = events
        else:
            self._watch(descriptor, events)

    def unregister(self, descriptor: int) -> None:
        """Watches a descriptor no more."""
        self._wanted.pop(descriptor, None)
        self._resting_until_s.pop(descriptor, None)
        if descriptor in self._watched:
            del self._watched[descriptor]
            self._epoll.unregister(descriptor)

    def rest(self, descriptor: int) -> None:
        """Reports nothing of a descriptor for a moment."""
        if descriptor in self._watched:
            self._wanted[descriptor] = self._watched.pop(descriptor)
            self._resting_until_s[descriptor] = time.monotonic() + RETRY_S
            with suppress(OSError):
                self._epoll.unregister(descriptor)

    def poll(self, timeout_s: float | None = None, max_events: int = -1) -> list[tuple[int, int]]:
        """Waits for events, a short time only while some may go unreported. Returns descriptors and their events."""
        if self._wanted:
            self._watch_wanted()
        if len(self._wanted) == len(self._resting_until_s):
            self.unwatched_since_ns = None
        if self._wanted and (timeout_s is None or not 0 <= timeout_s <= RETRY_S):
            timeout_s = RETRY_S
        return self._epoll.poll(timeout_s, max_events)

    def close(self) -> None:
        """Closes the epoll object."""
        self._epoll.close()

    def fileno(self) -> int:
        """Returns the descriptor of the epoll object."""
        return self._epoll.fileno()

    def _watch_wanted(self) -> None:
        now_s = time.monotonic()
        for descriptor, events in list(self._wanted.items()):
            if self._resting_until_s.get(descriptor, now_s) <= now_s:
                self._resting_until_s.pop(descriptor, None)
                with suppress(OSError):
                    self._watch(descriptor, events)

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
            if self.unwatched_since_ns is None:
                self.unwatched_since_ns = time.monotonic_ns()
        else:
            self._watched[descriptor] = events
            self._wanted.pop(descriptor, None)


def rest(descriptor: int) -> None:
    """Lets the running event loop leave a descriptor alone for a moment; does nothing on one that cannot."""
    selector = getattr(asyncio.get_running_loop(), "_selector", None)  # asyncio has no public way to it
    epoll = getattr(selector, "_selector", None)
    if isinstance(epoll, RetryingEpoll):
        epoll.rest(descriptor)


def ready_now(poller: select.poll) -> list[tuple[int, int]] | None:
    """Returns what of the registered descriptors is ready, without a wait; None where the kernel cannot tell."""
    try:
        return poller.poll(0)
    except OSError:
        return None
