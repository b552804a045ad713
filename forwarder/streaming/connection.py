"""A connection that carries streams: bounded reads, and writes that are accounted until the socket accepts them.

Plain sockets are used in place of asyncio transports. A transport reads up to 256 KiB at once, whatever the limit, and
discards a response that has already arrived when a write fails.
"""

from __future__ import annotations

import asyncio
import socket
import time

from forwarder.clients.listener import reset_on_close

THROUGHPUT_WINDOW_S = 5.0
"""Time spent waiting for a peer after which its throughput is checked."""


class StalledError(Exception):
    """A peer exceeded a timeout, or transferred bytes too slowly."""


class BufferAccount:
    """Counts the bytes that all streams together have read and not yet written."""

    def __init__(self) -> None:
        self.held_bytes = 0
        self.peak_bytes = 0

    def add(self, size: int) -> None:
        """Adds bytes that were read."""
        self.held_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def release(self, size: int) -> None:
        """Subtracts bytes that were written or discarded."""
        self.held_bytes -= size


class ThroughputMonitor:
    """Checks the throughput of a peer. Only the time that the forwarder waits for the peer counts."""

    def __init__(self, min_bytes_per_s: int) -> None:
        self.min_bytes_per_s = min_bytes_per_s
        self._waited_s = 0.0
        self._moved_bytes = 0

    def record(self, waited_s: float, moved_bytes: int) -> None:
        """Records one read or write.

        Raises:
            StalledError: The throughput over the window is below the minimum.
        """
        self._waited_s += waited_s
        self._moved_bytes += moved_bytes
        if self._waited_s < THROUGHPUT_WINDOW_S:
            return
        if self._moved_bytes < self.min_bytes_per_s * self._waited_s:
            raise StalledError(f"{self._moved_bytes} bytes in {self._waited_s:.1f} s")
        self._waited_s = 0.0
        self._moved_bytes = 0


class StreamConnection:
    """A connection to a client or an endpoint.

    Attributes:
        account: The byte count that all connections of streams share.
        unread: Bytes that were read from the socket but not consumed yet.
        idle_since_s: Time since which the connection is idle, on the monotonic clock.
        closed: Whether the socket is closed.
    """

    def __init__(self, sock: socket.socket, account: BufferAccount, min_bytes_per_s: int) -> None:
        self._sock = sock
        self.account = account
        self.unread = b""
        self._read_throughput = ThroughputMonitor(min_bytes_per_s)
        self._write_throughput = ThroughputMonitor(min_bytes_per_s)
        self.idle_since_s = 0.0
        self.closed = False

    # Reading

    def put_back(self, data: bytes) -> None:
        """Replaces the unread bytes with bytes that belong to the next message."""
        self.account.release(len(self.unread))
        self.unread = data
        self.account.add(len(data))

    def take_unread(self) -> bytes:
        """Returns the unread bytes and removes them from the account; the caller accounts for them."""
        data = self.unread
        self.put_back(b"")
        return data

    async def _receive(self, max_bytes: int, timeout_s: float) -> bytes:
        """Receives bytes from the socket. Returns no bytes at the end of the stream."""
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.get_running_loop().sock_recv(self._sock, max_bytes)
        except TimeoutError:
            raise StalledError(f"nothing came for {timeout_s:g} s") from None

    async def read_more(self, max_bytes: int, timeout_s: float) -> bool:
        """Appends received bytes to the unread bytes. Returns False if the peer has shut down its side.

        Raises:
            StalledError: Nothing was received within the timeout.
            OSError: The connection is broken.
        """
        data = await self._receive(max_bytes, timeout_s)
        self.put_back(self.unread + data)
        return data != b""

    async def read(self, max_bytes: int, timeout_s: float) -> bytes:
        """Returns the unread bytes, or else the next received bytes. Returns no bytes at the end of the stream.

        Raises:
            StalledError: Nothing was received within the timeout, or the peer is too slow.
            OSError: The connection is broken.
        """
        if self.unread:
            return self.take_unread()
        began_s = time.monotonic()
        data = await self._receive(max_bytes, timeout_s)
        if data:
            self._read_throughput.record(time.monotonic() - began_s, len(data))
        return data

    async def wait_readable(self) -> bool:
        """Waits until the socket is readable, without consuming data. Returns False at the end of the stream.

        Raises:
            OSError: The connection is broken.
        """
        if self.unread:
            return True
        loop = asyncio.get_running_loop()
        ready = asyncio.Event()
        loop.add_reader(self._sock, ready.set)
        try:
            await ready.wait()
        finally:
            loop.remove_reader(self._sock)
        return self._sock.recv(1, socket.MSG_PEEK) != b""

    def is_reusable(self) -> bool:
        """Returns whether an idle connection can be reused: neither data nor the end of the stream has arrived."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    # Writing

    async def write(self, data: bytes, timeout_s: float) -> None:
        """Writes all of the data. The timeout applies to each wait for the peer to accept more bytes.

        Raises:
            StalledError: The peer accepted nothing within the timeout, or is too slow.
            OSError: The connection is broken.
        """
        view = memoryview(data)
        written = 0
        waited_s = 0.0
        self.account.add(len(data))
        try:
            while written < len(data):
                try:
                    size = self._sock.send(view[written:])
                except BlockingIOError:
                    waited_s = await self._wait_writable(timeout_s)
                    continue
                written += size
                self.account.release(size)
                self._write_throughput.record(waited_s, size)
                waited_s = 0.0
        except TimeoutError:  # also raised by the socket itself, for ETIMEDOUT
            raise StalledError(f"it took no bytes for {timeout_s:g} s") from None
        finally:
            self.account.release(len(data) - written)

    async def _wait_writable(self, timeout_s: float) -> float:
        """Waits until the socket is writable. Returns the waiting time in seconds; raises TimeoutError."""
        loop = asyncio.get_running_loop()
        ready = asyncio.Event()
        began_s = time.monotonic()
        loop.add_writer(self._sock, ready.set)
        try:
            async with asyncio.timeout(timeout_s):
                await ready.wait()
        finally:
            loop.remove_writer(self._sock)
        return time.monotonic() - began_s

    # Closing

    def set_reset_on_close(self, enabled: bool) -> None:
        """Sets whether closing the socket resets the connection, also when this process dies.

        A reset is needed while the peer would take an orderly close for the end of a response that is incomplete.
        """
        if not self.closed:
            reset_on_close(self._sock, enabled)

    def shutdown_write(self) -> None:
        """Shuts down the write side in order, so that the peer can read everything that was written."""
        self._sock.shutdown(socket.SHUT_WR)

    def close(self, abort: bool = False) -> None:
        """Closes the socket. An abort resets the connection, so that a truncated message does not look complete."""
        if abort:
            self.set_reset_on_close(True)
        if not self.closed:
            self.closed = True
            self.put_back(b"")
            self._sock.close()
