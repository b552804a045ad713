"""Listening sockets that can be handed over, since every connection accepted from them is known at any time."""

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

from forwarder.clients.arrival_time import max_kernel_wait_us
from forwarder.config.config import Address
from forwarder.runtime.descriptor_reserve import DescriptorReserve
from forwarder.runtime.descriptor_watch import ready_now
from forwarder.runtime.failure_span import FailureSpan
from forwarder.runtime.retrying_socket import RetryingSocket
from forwarder.units import SECOND_US

BIND_TIMEOUT_S = 5.0
BIND_RETRY_INTERVAL_S = 0.05
MAX_ACCEPTS_PER_ITERATION = 64  # connections accepted in one iteration of the event loop
FIRST_FAILURE_PAUSE_S = 0.005  # duration of the pause after a failed accept; doubled with each further failure
MAX_FAILURE_PAUSE_S = 0.04  # well below the 0.4 s that a client waits for its answer (PROTOCOL)
MAX_FAILURES_PER_ITERATION = 3  # failed accepts in one iteration of the event loop before a pause
NO_SLOT_PAUSE_S = 0.002  # duration of the pause without a free slot; a close takes one event loop iteration to free one
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
"""Errors of accept(2) that concern the waiting connection and not this process."""
UNKNOWN_TIME_S = 0.0
"""Time of the loop's clock that precedes every relevant event."""
LINGER_RESET = struct.pack("ii", 1, 0)
LINGER_DEFAULT = struct.pack("ii", 0, 0)
log = logging.getLogger("forwarder.listen")


class SocketOptions(Protocol):
    """A socket, or the object that asyncio provides in its place."""

    def setsockopt(self, level: int, option: int, value: bytes, /) -> object:
        """Sets an option of the socket."""


async def bind(
    address: Address, timeout_s: float = BIND_TIMEOUT_S, in_use_timeout_s: float | None = None
) -> socket.socket:
    """Returns a socket that is bound to an address and does not listen yet.

    Failures are retried for a limited time: the previous process may still hold the address, or the system may be
    unable to create a socket.

    Args:
        address: the address to bind.
        timeout_s: how long to retry after failures.
        in_use_timeout_s: how long to retry while another process uses the address; None for `timeout_s`.

    Raises:
        OSError: the address could not be bound in time.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    started_s = time.monotonic()
    while True:
        sock = None
        try:
            # Without the explicit protocol number, asyncio would not set TCP_NODELAY.
            sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((address.host.strip("[]"), address.port))
            return sock
        except OSError as error:
            if sock is not None:
                sock.close()
            is_in_use = error.errno == errno.EADDRINUSE
            retry_timeout_s = in_use_timeout_s if is_in_use and in_use_timeout_s is not None else timeout_s
            if time.monotonic() - started_s > retry_timeout_s:
                raise
        await asyncio.sleep(BIND_RETRY_INTERVAL_S)


def fileno(transport: asyncio.BaseTransport | None) -> int:
    """Returns the descriptor of an open connection."""
    assert transport is not None
    return int(transport.get_extra_info("socket").fileno())


def descriptor(transport: asyncio.BaseTransport | None) -> int:
    """Returns the descriptor of a connection; -1 if it has none or was closed."""
    sock = None if transport is None else transport.get_extra_info("socket")
    return -1 if sock is None else int(sock.fileno())


def reset_on_close(sock: SocketOptions, reset: bool) -> None:
    """Sets whether closing a connection resets it, including the close at the death of this process.

    A reset discards the send buffer. Without a reset, the kernel continues to send the buffer after the close.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET if reset else LINGER_DEFAULT)


def descriptors_with_input(transports: Iterable[asyncio.BaseTransport | None]) -> set[int]:
    """Returns the descriptors of the connections on which data or an end of stream waits in the kernel.

    One system call checks all connections. If it fails, all descriptors are returned.
    """
    poll = select.poll()
    descriptors = {number for number in map(descriptor, transports) if number >= 0}
    for number in descriptors:
        poll.register(number, select.POLLIN)
    ready = ready_now(poll)
    return descriptors if ready is None else {number for number, _ in ready}


def unlimited_slots() -> int:
    """Returns as many free slots as one iteration of the event loop can use."""
    return MAX_ACCEPTS_PER_ITERATION


class Listener:
    """Accepts connections on a listening socket.

    Args:
        sock: a bound socket.
        backlog: maximum number of connections that wait for their accept.
        make_protocol: creates the protocol of a connection from its socket and from the longest time that it may have
            waited so far, in microseconds.
        free_slots: returns how many more connections may be accepted now.
        on_failure: called with each error of accept that does not concern the waiting connection alone.
        reserve: frees a descriptor if the process has none left; None for no reserve.
        handed_over: whether the socket has listened in another process, so that connections may have waited for longer.

    Attributes:
        attaching: the accepted connections that have no protocol yet, with the tasks that attach one.
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
        """Time since which connections may wait in the kernel's queue; None once the queue was found empty."""
        self._queue_poll = select.poll()
        self._queue_poll.register(self.sock, select.POLLIN)
        self.sock.setblocking(False)
        self.sock.listen(backlog)
        self._resume()

    def address(self) -> Address:
        """Returns the address on which the socket listens."""
        return Address(*self.sock.getsockname()[:2])

    def close(self) -> None:
        """Stops listening."""
        if self.sock.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self.sock)
            self.sock.close()

    async def attach(self, sock: RetryingSocket, queued_since_s: float) -> None:
        """Attaches a protocol to an accepted connection.

        Args:
            sock: the socket of the connection.
            queued_since_s: time of the loop's clock since which the connection may have waited.
        """
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: self.make_protocol(sock, _elapsed_us(queued_since_s)), sock)
        except OSError as error:
            log.info("connection lost before it was served: reason=%s", error)
            sock.close()
        finally:
            del self.attaching[sock]

    def _resume(self) -> None:
        if self.sock.fileno() >= 0:
            asyncio.get_running_loop().add_reader(self.sock, self._accept)

    def _pause(self, pause_s: float) -> None:
        """Stops accepting for some time; connections wait in the kernel meanwhile."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.sock)
        loop.call_later(pause_s, self._resume)

    def _accept(self) -> None:
        if self._queued_since_s is None:
            self._queued_since_s = asyncio.get_running_loop().time() - max_kernel_wait_us() / SECOND_US
        free_slots = self.free_slots()
        if free_slots <= 0:
            self._pause(NO_SLOT_PAUSE_S)
            return
        failures = 0
        for _ in range(min(MAX_ACCEPTS_PER_ITERATION, free_slots)):
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
                if failures < MAX_FAILURES_PER_ITERATION and not self._is_short_of_descriptors():
                    continue
                self._pause(self._failure_pause_s)
                self._failure_pause_s = min(2 * self._failure_pause_s, MAX_FAILURE_PAUSE_S)
                return
            self._attach_accepted(accepted, self._queued_since_s)
            if self._is_short_of_descriptors():
                return  # the connection closed in exchange frees its descriptor in the next iteration of the event loop
        if ready_now(self._queue_poll) == []:
            self._queued_since_s = None

    def _accept_one(self) -> socket.socket:
        """Accepts one connection from the kernel's queue.

        Raises:
            BlockingIOError: the queue is empty.
            OSError: no connection can be accepted now, or the waiting connection has failed.
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
        """Reports a failed accept. A retry may succeed: either the whole machine is short or the reserve has helped."""
        self.accepting.failed(error)
        if self.on_failure is not None:
            self.on_failure(error)


def _elapsed_us(since_s: float) -> int:
    """Returns the microseconds elapsed since a time of the loop's clock."""
    return int((asyncio.get_running_loop().time() - since_s) * SECOND_US)
