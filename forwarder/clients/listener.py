"""Listening sockets that can be handed over: every connection taken out of their queue is known at any moment."""

from __future__ import annotations

import asyncio
import errno
import logging
import select
import socket
import struct
import time
from collections.abc import Callable, Iterable
from typing import Protocol

from forwarder.clients.arrival_time import waited_us
from forwarder.config.config import Address
from forwarder.runtime.descriptor_reserve import DescriptorReserve
from forwarder.runtime.descriptor_watch import ready_now
from forwarder.runtime.failure_span import FailureSpan
from forwarder.runtime.retrying_socket import RetryingSocket
from forwarder.units import SECOND_US

BIND_TIMEOUT_S = 5.0
BIND_RETRY_INTERVAL_S = 0.05
MAX_ACCEPTS = 64  # connections accepted in one turn of the event loop
FIRST_FAILURE_PAUSE_S = 0.005  # how long nothing is accepted after a failure; doubled while it goes on failing
MAX_FAILURE_PAUSE_S = 0.04  # short of what a client waits for its answer (PROTOCOL: 0.4 s)
TRIES_IN_A_TURN = 3  # of accept, before a pause
FULL_PAUSE_S = 0.002  # and while no connection is free: a closed one is gone in the event loop's next turn
ERRORS_OF_ONE_CONNECTION = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENONET,
        errno.EOPNOTSUPP,
        errno.ETIMEDOUT,
        errno.ECONNRESET,
        errno.EPERM,
        errno.EINTR,
    }
)
"""Errors of accept(2) that are about the connection that was waiting, and not about this process."""
UNKNOWN_TIME_S = 0.0
"""By the loop's clock, before anything that counts."""
LINGER_RESET = struct.pack("ii", 1, 0)
LINGER_DEFAULT = struct.pack("ii", 0, 0)
log = logging.getLogger("forwarder.listen")


class SocketOptions(Protocol):
    """A socket, or what asyncio gives in the place of one."""

    def setsockopt(self, level: int, option: int, value: bytes, /) -> object:
        """Sets an option of the socket."""


async def bind(
    address: Address, timeout_s: float = BIND_TIMEOUT_S, in_use_timeout_s: float | None = None
) -> socket.socket:
    """Returns a socket that is bound to an address, and does not listen yet.

    Failures are retried for some time: the process before may still have the address, or no socket may be had.

    Args:
        address: where to listen.
        timeout_s: how long failures are retried.
        in_use_timeout_s: how long an address is waited for that another process has; None for as long.

    Raises:
        OSError: the address cannot be had in time.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    began_s = time.monotonic()
    while True:
        sock = None
        try:
            sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)  # else asyncio sets no TCP_NODELAY
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((address.host.strip("[]"), address.port))
            return sock
        except OSError as error:
            if sock is not None:
                sock.close()
            is_in_use = error.errno == errno.EADDRINUSE
            patience_s = in_use_timeout_s if is_in_use and in_use_timeout_s is not None else timeout_s
            if time.monotonic() - began_s > patience_s:
                raise
        await asyncio.sleep(BIND_RETRY_INTERVAL_S)


def fileno(transport: asyncio.BaseTransport | None) -> int:
    """Returns the descriptor of a connection that is open."""
    assert transport is not None
    return int(transport.get_extra_info("socket").fileno())


def descriptor(transport: asyncio.BaseTransport | None) -> int:
    """Returns the descriptor of a connection; -1 where it has none, or none any more."""
    sock = None if transport is None else transport.get_extra_info("socket")
    return -1 if sock is None else int(sock.fileno())


def reset_on_close(sock: SocketOptions, reset: bool) -> None:
    """Chooses whether closing a connection resets it, also as this process dies.

    A reset drops what is in the send buffer. Without it the kernel goes on to send that after the close.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET if reset else LINGER_DEFAULT)


def unread(transports: Iterable[asyncio.BaseTransport | None]) -> set[int]:
    """Returns the descriptors of those connections on which bytes or an end wait in the kernel.

    One system call for all; where the kernel cannot tell, all count as such.
    """
    poll = select.poll()
    descriptors = {number for number in map(descriptor, transports) if number >= 0}
    for number in descriptors:
        poll.register(number, select.POLLIN)
    ready = ready_now(poll)
    return descriptors if ready is None else {number for number, _ in ready}


def unlimited_slots() -> int:
    """Returns as many free slots as one turn of the event loop can use."""
    return MAX_ACCEPTS


class Listener:
    """Accepts connections.

    Args:
        sock: a bound socket.
        backlog: how many connections may wait to be accepted.
        make_protocol: makes what serves a connection, from its socket and how long it may have waited until then, in
            microseconds.
        free_slots: returns how many more connections there may be now.
        on_failure: is told each error of accept that is not about the connection that was waiting.
        reserve: helps where the process has no descriptor left; None for no help.
        handed_over: whether the socket has listened in another process, so that connections may have waited for long.

    Attributes:
        attaching: the connections that are accepted and have no protocol yet.
    """

    def __init__(
        self,
        sock: socket.socket,
        backlog: int,
        make_protocol: Callable[[RetryingSocket, int], asyncio.BaseProtocol],
        free_slots: Callable[[], int] = unlimited_slots,
        on_failure: Callable[[OSError], None] | None = None,
        reserve: DescriptorReserve | None = None,
        handed_over: bool = False,
    ) -> None:
        self.sock = sock
        self.make_protocol = make_protocol
        self.free_slots = free_slots
        self.on_failure = on_failure
        self.reserve = reserve
        self.attaching: dict[RetryingSocket, asyncio.Task[None]] = {}
        self.accepting = FailureSpan(log, "accept")
        self._failure_pause_s = FIRST_FAILURE_PAUSE_S
        self._queued_since_s: float | None = UNKNOWN_TIME_S if handed_over else None
        """Since when connections may lie in the kernel's queue; None once it was found empty."""
        self._queue_poll = select.poll()
        self._queue_poll.register(self.sock, select.POLLIN)
        self.sock.setblocking(False)
        self.sock.listen(backlog)
        self._resume()

    def address(self) -> Address:
        """Returns the address on which it listens."""
        return Address(*self.sock.getsockname()[:2])

    def close(self) -> None:
        """Stops listening."""
        if self.sock.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self.sock)
            self.sock.close()

    async def attach(self, sock: RetryingSocket, queued_since_s: float) -> None:
        """Serves a connection that was accepted.

        Args:
            sock: the connection.
            queued_since_s: since when, by the loop's clock, it may have waited.
        """
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: self.make_protocol(sock, _passed_us(queued_since_s)), sock)
        except OSError as error:
            log.info("connection lost before it was served: reason=%s", error)
            sock.close()
        finally:
            del self.attaching[sock]

    def _resume(self) -> None:
        if self.sock.fileno() >= 0:
            asyncio.get_running_loop().add_reader(self.sock, self._accept)

    def _pause(self, pause_s: float) -> None:
        """Accepts nothing for some time; connections wait in the kernel."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.sock)
        loop.call_later(pause_s, self._resume)

    def _accept(self) -> None:
        if self._queued_since_s is None:
            self._queued_since_s = asyncio.get_running_loop().time() - waited_us() / SECOND_US
        free_slots = self.free_slots()
        if free_slots <= 0:
            self._pause(FULL_PAUSE_S)
            return
        failures = 0
        for _ in range(min(MAX_ACCEPTS, free_slots)):
            try:
                accepted = self._accept_one()
            except BlockingIOError:
                self._queued_since_s = None
                return
            except OSError as error:
                if error.errno in ERRORS_OF_ONE_CONNECTION:
                    continue
                self._note_failure(error)
                failures += 1
                if failures < TRIES_IN_A_TURN and not self._is_short_of_descriptors():
                    continue
                self._pause(self._failure_pause_s)
                self._failure_pause_s = min(2 * self._failure_pause_s, MAX_FAILURE_PAUSE_S)
                return
            self._attach_accepted(accepted, self._queued_since_s)
            if self._is_short_of_descriptors():
                return  # what was closed instead is free in the event loop's next turn
        if ready_now(self._queue_poll) == []:
            self._queued_since_s = None

    def _accept_one(self) -> socket.socket:
        """Takes a connection out of the queue.

        Raises:
            BlockingIOError: none waits.
            OSError: none can be accepted just now, or the one that waited has failed.
        """
        accepted, _ = self.sock.accept() if self.reserve is None else self.reserve.allocate(self.sock.accept)
        self.accepting.worked()
        self._failure_pause_s = FIRST_FAILURE_PAUSE_S
        return accepted

    def _is_short_of_descriptors(self) -> bool:
        return self.reserve is not None and not self.reserve.is_held

    def _attach_accepted(self, accepted: socket.socket, queued_since_s: float) -> None:
        sock = RetryingSocket.of(accepted)
        sock.setblocking(False)
        self.attaching[sock] = asyncio.get_running_loop().create_task(self.attach(sock, queued_since_s))

    def _note_failure(self, error: OSError) -> None:
        """What is short is the whole machine's, or the reserve has helped already: the next try may well work."""
        self.accepting.failed(error)
        if self.on_failure is not None:
            self.on_failure(error)


def _passed_us(since_s: float) -> int:
    """Returns the microseconds that have passed since a time of the loop's clock."""
    return int((asyncio.get_running_loop().time() - since_s) * SECOND_US)
