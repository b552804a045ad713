"""Listening sockets that can change hands: every connection taken out of the queue is known at any moment."""

from __future__ import annotations

import asyncio
import errno
import logging
import select
import socket
import struct
import time
from collections.abc import Callable, Iterable
from typing import Any

from forwarder.clients.arrival_time import PatientSocket, waited_us
from forwarder.config.config import Address
from forwarder.runtime.descriptor_watch import ready_now

BIND_S = 5.0
BURST = 64  # connections taken at once
PAUSE_S = 0.1  # accepting rests for so long after a failure
FULL_PAUSE_S = 0.002  # and for so long while there is no room: what was closed for it is gone in the loop's next turn
OF_ONE_CONNECTION = frozenset(
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
"""Errors of accept that tell of the connection that was waiting, and not of this process (accept(2))."""
RESET, NO_RESET = struct.pack("ii", 1, 0), struct.pack("ii", 0, 0)
log = logging.getLogger("forwarder.listen")


async def bind(where: Address, patience_s: float = BIND_S) -> socket.socket:
    """A socket at an address, not listening yet."""
    family = socket.AF_INET6 if ":" in where.host else socket.AF_INET
    patience = time.monotonic() + patience_s
    while True:
        sock = None
        try:
            sock = socket.socket(family, socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((where.host.strip("[]"), where.port))
            return sock
        except OSError:  # the process before may still be going, or no socket is to be had for a moment
            if sock is not None:
                sock.close()
            if time.monotonic() > patience:
                raise
        await asyncio.sleep(0.05)


def fileno(transport: asyncio.BaseTransport | None) -> int:
    """The descriptor of a connection that is handed over."""
    assert transport is not None
    return int(transport.get_extra_info("socket").fileno())


def descriptor(transport: asyncio.BaseTransport | None) -> int:
    """The descriptor of a connection; -1 where it has none, or none any more."""
    sock = None if transport is None else transport.get_extra_info("socket")
    return -1 if sock is None else int(sock.fileno())


def reset_on_close(sock: Any, on: bool) -> None:
    """Whether the connection ends by a reset, also as this process dies: what it was given and has not sent yet is
    dropped then. Else the kernel goes on sending that after the close.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET if on else NO_RESET)


def unread(transports: Iterable[asyncio.BaseTransport | None]) -> set[int]:
    """The descriptors of those connections on which bytes or an end wait in the kernel; of all, where it cannot tell.
    One system call for all.
    """
    waiting = select.poll()
    numbers = {number for number in map(descriptor, transports) if number >= 0}
    for number in numbers:
        waiting.register(number, select.POLLIN)
    ready = ready_now(waiting)
    return numbers if ready is None else {number for number, _ in ready}


def no_limit() -> int:
    return BURST


class Listener:
    """Accepts connections. `protocol` makes what serves one, and is told how long it may have waited before it was
    accepted, in microseconds. `room` says how many more there may be now; `short` hears that descriptors or memory for
    another are not to be had, so that its owner can give some back.
    """

    def __init__(
        self,
        sock: socket.socket,
        backlog: int,
        protocol: Callable[[int], asyncio.BaseProtocol],
        room: Callable[[], int] = no_limit,
        short: Callable[[OSError], None] | None = None,
    ) -> None:
        self.sock, self.protocol, self.room, self.short = sock, protocol, room, short
        self.attaching: dict[PatientSocket, asyncio.Task[None]] = {}  # taken, with no protocol yet
        self.paused_s: float | None = None  # since when accepting rests
        self.sock.setblocking(False)
        self.sock.listen(backlog)
        self.resume()

    def resume(self) -> None:
        if self.sock.fileno() >= 0:
            asyncio.get_running_loop().add_reader(self.sock, self.accept)

    def pause(self, pause_s: float) -> None:
        """Connections wait in the kernel meanwhile."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.sock)
        if self.paused_s is None:
            self.paused_s = loop.time()
        loop.call_later(pause_s, self.resume)

    def waited_us(self) -> int:
        """How long the connections that are accepted now may have waited."""
        resting_s = 0.0 if self.paused_s is None else asyncio.get_running_loop().time() - self.paused_s
        return max(waited_us(), int(resting_s * 1_000_000))

    def accept(self) -> None:
        room = self.room()
        if room <= 0:
            self.pause(FULL_PAUSE_S)
            return
        for _ in range(min(BURST, room)):
            try:
                accepted, _ = self.sock.accept()
            except BlockingIOError:
                self.paused_s = None
                return
            except OSError as error:
                if error.errno in OF_ONE_CONNECTION:
                    continue
                self.failed(error)
                return
            conn = PatientSocket.of(accepted)
            conn.setblocking(False)
            self.attaching[conn] = asyncio.get_running_loop().create_task(self.attach(conn, self.waited_us()))

    def failed(self, error: OSError) -> None:
        """No connection can be accepted, most likely for want of descriptors."""
        if self.short is not None:
            self.short(error)
        else:
            log.error("cannot accept: %s", error)
        self.pause(PAUSE_S)

    async def attach(self, conn: PatientSocket, waited_us: int) -> None:
        """Serve a connection that has been accepted."""
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: self.protocol(waited_us), conn)
        except OSError as error:  # it has gone already
            log.info("a connection was lost as it was taken on: %s", error)
            conn.close()
        finally:
            del self.attaching[conn]

    def address(self) -> Address:
        return Address(*self.sock.getsockname()[:2])

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self.sock)
            self.sock.close()
