"""One connection of a stream: bounded reads, writes that count until the socket has taken them.

Sockets are used without transports: a transport reads up to 256 KiB at once, past any mark, and one that
fails to write throws away an answer that has come already.
"""

from __future__ import annotations

import asyncio
import socket
import time

from forwarder.clients.listener import reset_on_close

PACE_S = 5.0  # time that a peer has kept us waiting, after which its pace is judged


class StalledError(Exception):
    """A peer took longer than it may."""


class Ledger:
    """What all streams together have read and not yet written, in bytes."""

    def __init__(self) -> None:
        self.held = self.peak = 0

    def take(self, size: int) -> None:
        self.held += size
        self.peak = max(self.peak, self.held)

    def give(self, size: int) -> None:
        self.held -= size


class Pace:
    """Whether a peer that we wait for moves enough. Only the time that it kept us waiting counts."""

    def __init__(self, least_bytes_per_s: int) -> None:
        self.least = least_bytes_per_s
        self.waited_s, self.moved = 0.0, 0

    def step(self, waited_s: float, moved: int) -> None:
        self.waited_s, self.moved = self.waited_s + waited_s, self.moved + moved
        if self.waited_s >= PACE_S:
            if self.moved < self.least * self.waited_s:
                raise StalledError(f"{self.moved} bytes in {self.waited_s:.1f} s")
            self.waited_s, self.moved = 0.0, 0


class Link:
    def __init__(self, sock: socket.socket, ledger: Ledger, least_bytes_per_s: int) -> None:
        self.sock, self.ledger = sock, ledger
        self.rest = b""  # read, but not used yet
        self.reads, self.writes = Pace(least_bytes_per_s), Pace(least_bytes_per_s)
        self.idle_s = 0.0  # since when it is kept without use
        self.closed = False

    def put_back(self, data: bytes) -> None:
        """Bytes that belong to what comes next."""
        self.ledger.give(len(self.rest))
        self.rest = data
        self.ledger.take(len(data))

    def take_rest(self) -> bytes:
        data = self.rest
        self.put_back(b"")
        return data

    async def receive(self, most: int, within_s: float) -> bytes:
        """Bytes as they come from the socket, nothing at the end."""
        try:
            async with asyncio.timeout(within_s):
                return await asyncio.get_running_loop().sock_recv(self.sock, most)
        except TimeoutError:
            raise StalledError(f"nothing came for {within_s:g} s") from None

    async def more(self, most: int, within_s: float) -> bool:
        """Read on behind what was put back. False where the peer has ended its side."""
        data = await self.receive(most, within_s)
        self.put_back(self.rest + data)
        return data != b""

    async def read(self, most: int, within_s: float) -> bytes:
        """What was put back, else bytes as they come, at a pace that is judged; nothing at the end."""
        if self.rest:
            return self.take_rest()
        begun = time.monotonic()
        data = await self.receive(most, within_s)
        if data:
            self.reads.step(time.monotonic() - begun, len(data))
        return data

    async def write(self, data: bytes, within_s: float) -> None:
        """All of it. For no longer than the time may the peer take no byte."""
        view, done, waited_s = memoryview(data), 0, 0.0
        self.ledger.take(len(data))
        try:
            while done < len(data):
                try:
                    took = self.sock.send(view[done:])
                except BlockingIOError:
                    begun = time.monotonic()
                    async with asyncio.timeout(within_s):
                        await self.writable()
                    waited_s = time.monotonic() - begun
                    continue
                done += took
                self.ledger.give(took)
                self.writes.step(waited_s, took)
                waited_s = 0.0
        except TimeoutError:
            raise StalledError(f"it took no bytes for {within_s:g} s") from None
        finally:
            self.ledger.give(len(data) - done)

    async def writable(self) -> None:
        loop = asyncio.get_running_loop()
        ready = asyncio.Event()
        loop.add_writer(self.sock, ready.set)
        try:
            await ready.wait()
        finally:
            loop.remove_writer(self.sock)

    async def watch(self) -> bool:
        """Wait until something can be read, and leave it there. False where it is the end."""
        if self.rest:
            return True
        loop = asyncio.get_running_loop()
        ready = asyncio.Event()
        loop.add_reader(self.sock, ready.set)
        try:
            await ready.wait()
        finally:
            loop.remove_reader(self.sock)
        return self.sock.recv(1, socket.MSG_PEEK) != b""

    def quiet(self) -> bool:
        """Whether a kept connection is as it was left: nothing has come, not even its end."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def guard(self, on: bool) -> None:
        """Whether the connection ends by a reset, also by the death of this process: as long as its end would
        be taken for the end of an answer that is not whole.
        """
        if not self.closed:
            reset_on_close(self.sock, on)

    def shut(self) -> None:
        """End our side in order, so that the peer reads all that was written."""
        self.sock.shutdown(socket.SHUT_WR)

    def close(self, abort: bool = False) -> None:
        """Close. An abort resets the connection: what was cut must not look as if it had ended."""
        if abort:
            self.guard(True)
        if not self.closed:
            self.closed = True
            self.put_back(b"")
            self.sock.close()
