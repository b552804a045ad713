"""Endpoints, connections and calls for the tests of the pool."""

from __future__ import annotations

import asyncio
import socket
import struct

from forwarder.config.config import Address
from forwarder.decisions.events import (
    AttemptEnded,
)
from forwarder.endpoints.call import CallItem, EndpointCall, LimitScopeKey
from forwarder.endpoints.pool import ConnectionPool
from forwarder.storage.clock import Clock
from tests.engine_scene import SECOND_US, TIME_LEFT_US
from tests.sockets import Skewed


def make_pool(ends: list[AttemptEnded], idle_us: int = 5_000_000) -> ConnectionPool:
    return ConnectionPool(Clock(), ends.append, ("x0", "x1"), idle_us, 1_000_000, 10)


def make_call(clock: Clock, name: str, left_us: int = 5_000_000) -> EndpointCall:
    return EndpointCall(
        1, LimitScopeKey(7, -1), clock(), [CallItem(name, 0, None, b"x", clock() + left_us, clock() + left_us)]
    )


class FullSocket:
    """The socket of a stand-in for a transport: it takes nothing at once, so that the transport is written to."""

    is_short_of_buffers = False
    is_unreadable = False

    def send(self, data: bytes) -> int:
        raise BlockingIOError


class HalfWrittenTransport(asyncio.Transport):
    """A transport whose peer takes no more."""

    def write(self, data: object) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 1

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def is_closing(self) -> bool:
        return False

    def abort(self) -> None:
        pass


class DeadTransport(HalfWrittenTransport):
    """A transport whose peer reset it while it was idle: the write finds that out."""

    dead = False

    def write(self, data: object) -> None:
        self.dead = True

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.dead


def is_whole_request(request: bytes) -> bool:
    head, _, body = request.partition(b"\r\n\r\n")
    return b"Content-Length: %d\r\n" % len(body) in head + b"\r\n"


class SocketEndpoint:
    """A target of plain sockets: what it sends is in the forwarder's kernel when `send` returns."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)

    @property
    def address(self) -> Address:
        return Address(*self.listener.getsockname())

    def pool(self, ends: list[AttemptEnded]) -> ConnectionPool:
        """A pool whose target 1 this is."""
        pool = ConnectionPool(Skewed(), ends.append, (), 60 * SECOND_US, SECOND_US, 10)
        pool.update_addresses({1: self.address})
        return pool

    async def carry(self, pool: ConnectionPool, name: str) -> socket.socket:
        """Start a call, which must come on a new connection, and return that."""
        far = pool.clock() + TIME_LEFT_US
        pool.start(EndpointCall(1, LimitScopeKey(7, -1), pool.clock(), [CallItem(name, 0, None, b"x", far, far)]))
        sock, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        sock.setblocking(False)
        assert b"X-Correlation-Id: " + name.encode() in await self.request(sock)
        return sock

    @staticmethod
    async def request(sock: socket.socket) -> bytes:
        got = b""
        while not is_whole_request(got):
            more = await asyncio.get_running_loop().sock_recv(sock, 1 << 16)
            assert more, got
            got += more
        return got

    @staticmethod
    def reset(sock: socket.socket) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()


OK_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
