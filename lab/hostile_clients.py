"""Clients that misbehave: they write slowly, flood a forwarder with requests, or leave without reading.

Runs in a process of its own, so that it takes no processor time from the lab:

    python -m lab.hostile_clients HOST:PORT BEHAVIOUR --connections 480 --seconds 4

It ends by itself after that time. Submissions have ids that begin with `ID_PREFIX`.
"""

from __future__ import annotations

import argparse
import asyncio
import enum
import itertools
import os
import random
import resource
import socket
import struct
import sys
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass

ID_PREFIX = "hostile-"
BODY_BYTES = 65_000
UNSENT_BYTES = 5_000
"""The part of a large body that never comes."""
SHORT_FIELDS = 5_000
LONG_FIELD_BYTES = 120_000
SLOW_PART_BYTES = 2_000
SLOW_PAUSE_S = 0.05
REQUESTS_PER_WRITE = 200
DISCARD_BYTES = 1 << 16
CONNECT_STEP = 40
"""Number of connections that are opened at once."""
CONNECT_PAUSE_S = 0.005
RECONNECT_PAUSE_S = 0.02
LONGEST_STAY_S = 0.3
"""A client that leaves stays for up to this time first."""
LARGEST_BATCH = 600
"""Most requests that a client that leaves has written."""
LINGER_RESET = struct.pack("ii", 1, 0)
MAX_SECONDS = 120.0
SPARE_DESCRIPTORS = 64


class Behaviour(enum.StrEnum):
    """What a client does."""

    HALF_BODY = "half-body"
    SHORT_FIELDS = "short-fields"
    LONG_FIELD = "long-field"
    SLOW_BODY = "slow-body"
    UNREAD_ANSWERS = "unread-answers"
    FLOOD_STATUS = "flood-status"
    FLOOD_UNKNOWN = "flood-unknown"
    FLOOD_MALFORMED = "flood-malformed"
    FLOOD_NEW_NAMES = "flood-new-names"
    FLOOD_EMPTY_LINES = "flood-empty-lines"
    LEAVE = "leave"


SLOW_WRITERS = (Behaviour.HALF_BODY, Behaviour.SHORT_FIELDS, Behaviour.LONG_FIELD, Behaviour.SLOW_BODY)
"""Clients that connect by the hundred and do not end their request."""
FLOODS = (
    Behaviour.FLOOD_STATUS,
    Behaviour.FLOOD_UNKNOWN,
    Behaviour.FLOOD_MALFORMED,
    Behaviour.FLOOD_NEW_NAMES,
    Behaviour.FLOOD_EMPTY_LINES,
)


@dataclass(frozen=True, slots=True)
class Target:
    """Where the clients connect, and what a submission needs to be taken for a valid one there."""

    host: str
    port: int
    path: str
    destination: int
    tenant: str
    seconds: float
    seed: int


def submission(target: Target, message_id: str, body: bytes = b"hello", time_left: str = "5.0") -> bytes:
    """Returns the request that submits a message."""
    lines = [
        f"POST /{target.path} HTTP/1.1",
        "Host: origin.svc",
        f"X-Correlation-Id: {message_id}",
        f"X-Time-Left: {time_left}",
        f"X-Session-Key: {message_id}",
        f"X-Addressing: dest={target.destination}",
        *([f"X-Account: {target.tenant}"] if target.tenant else []),
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Client:
    """One client, which acts until its time is over and connects again when its connection ends."""

    def __init__(self, target: Target, behaviour: Behaviour, number: int) -> None:
        self.target = target
        self.behaviour = behaviour
        self.name = f"{ID_PREFIX}{target.seed}-{number}"
        self.rng = random.Random(f"{target.seed}/{number}")
        self.numbers: Iterator[int] = itertools.count()

    async def run(self) -> None:
        """Acts until it is cancelled."""
        while True:
            try:
                await self._visit()
            except* OSError:  # the forwarder closed or refused the connection
                pass
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _visit(self) -> None:
        reader, writer = await asyncio.open_connection(self.target.host, self.target.port)
        try:
            if self.behaviour in SLOW_WRITERS:
                await self._write_slowly(reader, writer)
            elif self.behaviour in FLOODS:
                async with asyncio.TaskGroup() as group:
                    group.create_task(_discard(reader))
                    group.create_task(self._flood(writer))
            elif self.behaviour is Behaviour.UNREAD_ANSWERS:
                await self._pipeline_unread(writer)
            else:
                await self._leave(writer)
        finally:
            writer.transport.abort()

    async def _write_slowly(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = submission(self.target, self._next_id(), b"x" * BODY_BYTES)
        if self.behaviour is Behaviour.HALF_BODY:
            writer.write(request[:-UNSENT_BYTES])
        elif self.behaviour is Behaviour.SHORT_FIELDS:
            fields = b"".join(b"%x:\r\n" % number for number in range(SHORT_FIELDS))
            writer.write(b"POST /" + self.target.path.encode() + b" HTTP/1.1\r\n" + fields)
        elif self.behaviour is Behaviour.LONG_FIELD:
            writer.write(b"POST /" + self.target.path.encode() + b" HTTP/1.1\r\na: " + b"x" * LONG_FIELD_BYTES)
        else:
            await _write_in_parts(writer, request[:-UNSENT_BYTES])
        await _discard(reader)

    async def _pipeline_unread(self, writer: asyncio.StreamWriter) -> None:
        """Writes requests for as long as the forwarder reads them, and reads none of the answers."""
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        while True:
            writer.write(submission(self.target, self._next_id()))
            writer.write(b"GET / HTTP/1.1\r\n\r\n" * REQUESTS_PER_WRITE)
            await writer.drain()

    async def _flood(self, writer: asyncio.StreamWriter) -> None:
        make = self._flood_request()
        while not writer.is_closing():
            writer.write(b"".join(make() for _ in range(REQUESTS_PER_WRITE)))
            await writer.drain()
            await asyncio.sleep(0)  # `drain` lets nothing else run while there is room

    def _flood_request(self) -> Callable[[], bytes]:
        match self.behaviour:
            case Behaviour.FLOOD_STATUS:
                return lambda: b"GET /up HTTP/1.1\r\n\r\n"
            case Behaviour.FLOOD_UNKNOWN:
                return lambda: b"GET /%d HTTP/1.1\r\n\r\n" % next(self.numbers)
            case Behaviour.FLOOD_MALFORMED:
                return lambda: submission(self.target, self._next_id(), time_left="soon")
            case Behaviour.FLOOD_EMPTY_LINES:
                return lambda: b"\r\n\r\n"
        return lambda: submission(self.target, self._next_id(), time_left="0.0")

    async def _leave(self, writer: asyncio.StreamWriter) -> None:
        """Writes many submissions, reads no answer, and closes or resets the connection after a while."""
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        for _ in range(self.rng.randint(1, LARGEST_BATCH)):
            writer.write(submission(self.target, self._next_id()))
        await asyncio.sleep(self.rng.uniform(0.0, LONGEST_STAY_S))
        if self.rng.random() < 0.5:
            sock: socket.socket = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)

    def _next_id(self) -> str:
        return f"{self.name}-{next(self.numbers)}"


async def _write_in_parts(writer: asyncio.StreamWriter, data: bytes) -> None:
    for first in range(0, len(data), SLOW_PART_BYTES):
        writer.write(data[first : first + SLOW_PART_BYTES])
        await asyncio.sleep(SLOW_PAUSE_S)


async def _discard(reader: asyncio.StreamReader) -> None:
    while await reader.read(DISCARD_BYTES):
        pass
    raise ConnectionResetError("the forwarder closed the connection")


async def run(target: Target, behaviour: Behaviour, connections: int) -> None:
    """Runs the clients until the process ends."""
    clients = [Client(target, behaviour, number) for number in range(connections)]
    async with asyncio.TaskGroup() as group:
        for number, client in enumerate(clients):
            group.create_task(client.run())
            if number % CONNECT_STEP == CONNECT_STEP - 1:
                await asyncio.sleep(CONNECT_PAUSE_S)


def command(target: Target, behaviour: Behaviour, connections: int) -> list[str]:
    """Returns the command line that runs the clients."""
    return [
        *(sys.executable, "-m", "lab.hostile_clients", f"{target.host}:{target.port}", behaviour.value),
        *("--connections", str(connections), "--seconds", str(target.seconds), "--seed", str(target.seed)),
        *("--path", target.path, "--destination", str(target.destination), "--tenant", target.tenant),
    ]


def main() -> None:
    """Runs the clients that the command line describes."""
    parser = argparse.ArgumentParser(description="Clients that misbehave.")
    parser.add_argument("address", help="HOST:PORT of the forwarder, on loopback")
    parser.add_argument("behaviour", type=Behaviour, choices=list(Behaviour))
    parser.add_argument("--connections", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--path", default="status")
    parser.add_argument("--destination", type=int, default=7)
    parser.add_argument("--tenant", default="")
    arguments = parser.parse_args()
    host, _, port = arguments.address.rpartition(":")
    if not host.startswith("127."):
        parser.error("the address is not on loopback")
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = arguments.connections + SPARE_DESCRIPTORS
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(needed, hard_limit), hard_limit))
    seconds = min(arguments.seconds, MAX_SECONDS)
    end = threading.Timer(seconds, os._exit, (0,))  # whatever the event loop does, the process ends in time
    end.daemon = True
    end.start()
    target = Target(host, int(port), arguments.path, arguments.destination, arguments.tenant, seconds, arguments.seed)
    asyncio.run(run(target, arguments.behaviour, arguments.connections))


if __name__ == "__main__":
    main()
