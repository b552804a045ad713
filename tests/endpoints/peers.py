"""Endpoints, transports and calls for the tests of the connection pool."""

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
    """A socket for a fake transport. It accepts no bytes, so that all data is written to the transport."""

    is_short_of_buffers = False
    is_unreadable = False

    def send(self, data: bytes) -> int:
        raise BlockingIOError


class HalfWrittenTransport(asyncio.Transport):
    """A transport whose peer accepts no more data."""

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
    """A transport that its peer has reset while it was idle, which the next write detects."""

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
    """An endpoint of plain sockets: the data that it sends is in the forwarder's kernel when `send` returns."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)

    @property
    def address(self) -> Address:
        return Address(*self.listener.getsockname())

    def pool(self, ends: list[AttemptEnded]) -> ConnectionPool:
        """Returns a pool whose endpoint 1 is this one."""
        pool = ConnectionPool(Skewed(), ends.append, (), 60 * SECOND_US, SECOND_US, 10)
        pool.update_addresses({1: self.address})
        return pool

    async def start_call(self, pool: ConnectionPool, name: str) -> socket.socket:
        """Starts a call, which must arrive on a new connection, and returns the endpoint's socket of it."""
        deadline_us = pool.clock() + TIME_LEFT_US
        pool.start(
            EndpointCall(
                1, LimitScopeKey(7, -1), pool.clock(), [CallItem(name, 0, None, b"x", deadline_us, deadline_us)]
            )
        )
        sock, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        sock.setblocking(False)
        assert b"X-Correlation-Id: " + name.encode() in await self.request(sock)
        return sock

    @staticmethod
    async def request(sock: socket.socket) -> bytes:
        received = b""
        while not is_whole_request(received):
            data = await asyncio.get_running_loop().sock_recv(sock, 1 << 16)
            assert data, received
            received += data
        return received

    @staticmethod
    def reset(sock: socket.socket) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()


OK_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
