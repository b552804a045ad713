"""Watches descriptors in spite of transient kernel errors (ENOMEM of epoll_ctl(2) and poll(2), ENOSPC of epoll_ctl(2)).

A registration that fails is repeated before each wait, so that events of the descriptor are reported late and not
lost. A descriptor that cannot be polled now is distinguished from one with nothing to read. A descriptor whose system
call has just failed although it was ready is paused for a short time; otherwise the event loop would repeat the call
in a busy loop.
"""

from __future__ import annotations

import asyncio
import errno
import select
import time
from contextlib import suppress

RETRY_INTERVAL_S = 0.01
"""Maximum duration of a wait while the kernel does not watch every wanted descriptor, and duration of a pause."""
TRANSIENT_ERRORS = frozenset({errno.ENOMEM, errno.ENOSPC})
"""Errors of epoll_ctl(2) that do not concern the descriptor itself."""


class RetryingEpoll:
    """Replaces `select.epoll` in the selector of an event loop, and repeats registrations that failed transiently."""

    def __init__(self) -> None:
        self.unwatched_since_ns: int | None = None
        """Monotonic time since which a failed registration may hide events; None while no registration is pending."""
        self._epoll = select.epoll()
        self._watched: dict[int, int] = {}
        """Descriptors that the kernel watches, with the events that it watches for."""
        self._wanted: dict[int, int] = {}
        """Descriptors that the kernel does not yet watch for the wanted events, with these events."""
        self._paused_until_s: dict[int, float] = {}
        """Paused descriptors, all of them in `_wanted`, with the monotonic time at which the pause ends."""

    def register(self, descriptor: int, events: int) -> None:
        """Starts to watch a descriptor.

        Raises:
            OSError: the descriptor cannot be watched at all.
        """
        self._watched.pop(descriptor, None)  # the kernel drops a descriptor that is closed without being unregistered
        self._paused_until_s.pop(descriptor, None)
        self._watch(descriptor, events)

    def modify(self, descriptor: int, events: int) -> None:
        """Changes the events for which a descriptor is watched.

        Raises:
            OSError: the descriptor cannot be watched at all.
        """
        if descriptor in self._paused_until_s:
            self._wanted[descriptor] = events
        else:
            self._watch(descriptor, events)

    def unregister(self, descriptor: int) -> None:
        """Stops watching a descriptor."""
        self._wanted.pop(descriptor, None)
        self._paused_until_s.pop(descriptor, None)
        if descriptor in self._watched:
            del self._watched[descriptor]
            self._epoll.unregister(descriptor)

    def pause(self, descriptor: int) -> None:
        """Reports no events of a descriptor for `RETRY_INTERVAL_S`."""
        if descriptor in self._watched:
            self._wanted[descriptor] = self._watched.pop(descriptor)
            self._paused_until_s[descriptor] = time.monotonic() + RETRY_INTERVAL_S
            with suppress(OSError):
                self._epoll.unregister(descriptor)

    def poll(self, timeout_s: float | None = None, max_events: int = -1) -> list[tuple[int, int]]:
        """Waits for events, only briefly while some may go unreported. Returns descriptors and their events."""
        if self._wanted:
            self._watch_wanted()
        if len(self._wanted) == len(self._paused_until_s):
            self.unwatched_since_ns = None
        if self._wanted and (timeout_s is None or not 0 <= timeout_s <= RETRY_INTERVAL_S):
            timeout_s = RETRY_INTERVAL_S
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
            if self._paused_until_s.get(descriptor, now_s) <= now_s:
                self._paused_until_s.pop(descriptor, None)
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


def pause(descriptor: int) -> None:
    """Pauses a descriptor in the running event loop; does nothing if the loop does not use `RetryingEpoll`."""
    selector = getattr(asyncio.get_running_loop(), "_selector", None)  # asyncio has no public access to the selector
    epoll = getattr(selector, "_selector", None)
    if isinstance(epoll, RetryingEpoll):
        epoll.pause(descriptor)


def ready_now(poller: select.poll) -> list[tuple[int, int]] | None:
    """Returns the registered descriptors that are ready now, with their events; None if the poll fails."""
    try:
        return poller.poll(0)
    except OSError:
        return None
