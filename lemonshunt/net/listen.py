"""Listening sockets that can change hands: every connection taken out of the queue is known at any moment."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Callable

from lemonshunt.net.config import Address

BIND_S = 5.0
BURST = 64  # connections taken at once
PAUSE_S = 0.1  # after a failure, which most likely is a want of descriptors
log = logging.getLogger("lemonshunt.listen")


async def bind(where: Address, patience_s: float = BIND_S) -> socket.socket:
    """A socket at an address, not listening yet."""
    family = socket.AF_INET6 if ":" in where.host else socket.AF_INET
    patience = time.monotonic() + patience_s
    while True:
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((where.host.strip("[]"), where.port))
            return sock
        except OSError:  # the process before may still be going
            sock.close()
            if time.monotonic() > patience:
                raise
        await asyncio.sleep(0.05)


def fileno(transport: asyncio.BaseTransport | None) -> int:
    """The descriptor of a connection that is handed over."""
    assert transport is not None
    return int(transport.get_extra_info("socket").fileno())


class Listener:
    def __init__(self, sock: socket.socket, backlog: int, protocol: Callable[[], asyncio.BaseProtocol],
                 burst: int = BURST) -> None:
        self.sock, self.protocol, self.burst = sock, protocol, burst
        self.coming: dict[socket.socket, asyncio.Task[None]] = {}  # taken, with no protocol yet
        self.sock.setblocking(False)
        self.sock.listen(backlog)
        self.resume()

    def resume(self) -> None:
        if self.sock.fileno() >= 0:
            asyncio.get_running_loop().add_reader(self.sock, self.accept)

    def accept(self) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(self.burst):
            try:
                conn, _ = self.sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                log.error("cannot accept: %s", error)
                loop.remove_reader(self.sock)
                loop.call_later(PAUSE_S, self.resume)
                return
            conn.setblocking(False)
            self.coming[conn] = loop.create_task(self.attach(conn))

    async def attach(self, conn: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(self.protocol, conn)
        finally:
            del self.coming[conn]

    def where(self) -> Address:
        return Address(*self.sock.getsockname()[:2])

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self.sock)
            self.sock.close()
