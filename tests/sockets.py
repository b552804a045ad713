"""HTTP peers on loopback, free ports and a clock, all of them controlled by the tests."""

from __future__ import annotations

import asyncio
import itertools
import os
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Self

from forwarder.storage.clock import Clock

ROOT = Path(__file__).resolve().parent.parent


PATIENCE = 20.0  # timeout in seconds for each event that a test waits for; no test asserts on speed


@dataclass
class Request:
    """A request that a peer has received, and the connection on which to answer it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    peer: Peer
    writer: asyncio.StreamWriter


@dataclass
class Answer:
    """An answer of a peer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    def to_bytes(self) -> bytes:
        """Returns the bytes of the HTTP response."""
        lines = [
            f"HTTP/1.1 {self.status} X",
            f"Content-Length: {len(self.body)}",
            *(f"{name}: {value}" for name, value in self.headers.items()),
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + self.body


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Reads an HTTP message, and returns its first line, headers and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
    return head[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))


Handler = Callable[[Request], Awaitable[Answer | bytes | None]]


class Watched:
    """An object whose changes a test can wait for."""

    def __init__(self) -> None:
        self.changed = asyncio.Condition()

    async def notify_all(self) -> None:
        """Wakes the tasks that wait for a change."""
        async with self.changed:
            self.changed.notify_all()

    async def wait_until(self, test: Callable[[], bool]) -> None:
        """Waits until a condition holds; it is checked after each change."""
        async with asyncio.timeout(PATIENCE), self.changed:
            await self.changed.wait_for(test)


class Peer(Watched):
    """An HTTP server.

    Attributes:
        handler: returns an answer, raw bytes to send, or None to close the connection without an answer.
        requests: the requests that were received.
        closed: the number of connections that have ended.
        writers: the open connections.
        port: the port on which it listens; 0 before the first start.
    """

    def __init__(self, handler: Handler) -> None:
        super().__init__()
        self.handler = handler
        self.requests: list[Request] = []
        self.closed = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> Self:
        """Starts to serve; a restart uses the same port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def end_connections(self) -> None:
        """Resets all connections, as a network failure or a crash does."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def wait_for_requests(self, count: int) -> list[Request]:
        """Waits until at least `count` requests have come, and returns all of them."""
        await self.wait_until(lambda: len(self.requests) >= count)
        return self.requests

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                request = Request(method, path, headers, body, self, writer)
                self.requests.append(request)
                await self.notify_all()
                answer = await self.handler(request)
                if answer is None:
                    break
                writer.write(answer.to_bytes() if isinstance(answer, Answer) else answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed += 1
            self.writers.discard(writer)
            writer.close()
            await self.notify_all()


def always(*answers: Answer | bytes | None) -> Handler:
    """Returns a handler that gives these answers in turn, and repeats the last one."""
    remaining = list(answers)

    async def handler(request: Request) -> Answer | bytes | None:
        return remaining.pop(0) if len(remaining) > 1 else remaining[0]

    return handler


def answer_after(event: asyncio.Event) -> Handler:
    """Returns a handler that answers as soon as an event is set."""

    async def handler(request: Request) -> Answer:
        await event.wait()
        return OK

    return handler


async def hang(request: Request) -> None:
    """Never answers."""
    await asyncio.sleep(3600)


OK = Answer(200)


class Skewed(Clock):
    """A clock that a test can set."""

    skew = 0
    """The difference to the real clock, in microseconds."""

    def __call__(self) -> int:
        return super().__call__() + self.skew

    def set_time(self, at_us: int) -> None:
        """Sets the clock to a time in microseconds."""
        self.skew += at_us - self()


def free_port(host: str = "127.0.0.1") -> int:
    """Returns a port that is free at the moment."""
    return free_ports(1, host)[0]


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Returns distinct ports that are free at the moment; separate calls of `free_port` may return the same port."""
    listeners = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [int(listener.getsockname()[1]) for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


def own_host() -> str:
    """Returns a loopback address for this caller alone, so that a port that is free there now stays free."""
    pid = os.getpid()
    return f"127.{1 + pid // 250 % 250}.{pid % 250}.{next(_host_numbers)}"


_host_numbers = itertools.cycle(range(1, 255))
