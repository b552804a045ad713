"""When what is read now may have arrived.

A request's time counts from its last byte, which lies in the kernel until it is read: while the loop is busy, while the
process stands still, while accepting rests. The earliest moment at which it may have come is known: the loop's poll
before did not report it. Times are nanoseconds of the monotonic clock.
"""

from __future__ import annotations

import asyncio
import errno
import selectors
import socket
import time
from typing import Any

from forwarder.runtime.descriptor_watch import PatientEpoll

BLOCKED_NS = 200_000
"""A poll that took longer had nothing to report as it began: what it reports came as it returned."""
PASSING = frozenset({errno.ENOBUFS, errno.ENOMEM})
"""Errors of send and recv that say nothing of the connection."""
OVERSLEPT_NS = 20_000_000
"""A poll that returns so long after its time-out did not wait for that: the process stood still in it."""


class TimedSelector(selectors.EpollSelector):
    """An epoll that knows since when what it has just reported may have been there."""

    _selector_cls = PatientEpoll
    _selector: PatientEpoll

    def __init__(self) -> None:
        super().__init__()
        self.returned_ns = self.earliest_ns = time.monotonic_ns()

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """As the base class."""
        began_ns, before_ns = time.monotonic_ns(), self.returned_ns
        blind_since_ns = self._selector.blind_since_ns
        ready = super().select(timeout)
        self.returned_ns = time.monotonic_ns()
        self.earliest_ns = earliest_ns(began_ns, before_ns, self.returned_ns, timeout)
        if blind_since_ns is not None:
            self.earliest_ns = min(self.earliest_ns, blind_since_ns)
        return ready


def earliest_ns(began_ns: int, before_ns: int, returned_ns: int, timeout_s: float | None) -> int:
    """The earliest arrival of what a poll reports, by when it began and returned, and when the one before returned."""
    waited_ns = returned_ns - began_ns
    if waited_ns < BLOCKED_NS:
        return before_ns
    if timeout_s is not None and waited_ns > max(0.0, timeout_s) * 1e9 + OVERSLEPT_NS:
        return began_ns
    return returned_ns


def event_loop() -> asyncio.SelectorEventLoop:
    """The loop that a forwarder runs on."""
    return asyncio.SelectorEventLoop(TimedSelector())


def waited_us() -> int:
    """How long what is read now may have waited in the kernel; 0 on a loop that does not tell."""
    selector = getattr(asyncio.get_running_loop(), "_selector", None)
    if not isinstance(selector, TimedSelector):
        return 0
    return max(0, time.monotonic_ns() - selector.earliest_ns) // 1000


def patient(error: OSError) -> OSError:
    """A passing shortage, as the loop knows it: to be tried again."""
    return BlockingIOError(errno.EAGAIN, str(error)) if error.errno in PASSING else error


class PatientSocket(socket.socket):
    """A connection on which a call that fails for want of memory or buffers is made again when the loop next finds it
    ready (send(2) and recv(2): ENOBUFS, ENOMEM): to end the connection would leave its request unanswered.
    """

    @classmethod
    def of(cls, sock: socket.socket) -> PatientSocket:
        """In the place of a plain one, which has no descriptor any more then."""
        return cls(sock.family, sock.type, sock.proto, sock.detach())

    def recv_into(self, *arguments: Any) -> int:
        """As the base class."""
        try:
            return super().recv_into(*arguments)
        except OSError as error:
            raise patient(error) from None

    def send(self, *arguments: Any) -> int:
        """As the base class."""
        try:
            return super().send(*arguments)
        except OSError as error:
            raise patient(error) from None
