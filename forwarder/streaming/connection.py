"""One connection of a stream: bounded reads, and writes that count until the socket has taken them.

Sockets are used without transports: a transport reads up to 256 KiB at once, past any limit, and one that fails to
write throws away an answer that has come already.
"""

from __future__ import annotations

import asyncio
import socket
import time

from forwarder.clients.listener import reset_on_close

THROUGHPUT_WINDOW_S = 5.0
"""Time that a peer has kept this forwarder waiting, after which its throughput is judged."""


class StalledError(Exception):
    """A peer took longer than it may."""


class BufferAccount:
    """What all streams together have read and not yet written, in bytes."""

    def __init__(self) -> None:
        self.held_bytes = 0
        self.peak_bytes = 0

    def add(self, size: int) -> None:
        """Counts bytes that were read."""
        self.held_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def release(self, size: int) -> None:
        """Counts bytes that were written, or are not needed any more."""
        self.held_bytes -= size


class ThroughputMonitor:
    """Judges whether a peer moves enough bytes. Only the time counts that it kept this forwarder waiting."""

    def __init__(self, min_bytes_per_s: int) -> None:
        self.min_bytes_per_s = min_bytes_per_s
        self._waited_s = 0.0
        self._moved_bytes = 0

    def record(self, waited_s: float, moved_bytes: int) -> None:
        """Counts one read or write.

        Raises:
            StalledError: the peer was too slow over the window.
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
    """A client's or an endpoint's connection.

    Attributes:
        unread: bytes that were read from the socket, but not used yet.
        idle_since_s: since when it is kept without use, by the monotonic clock.
        closed: the socket is closed.
    """

    def __init__(self, sock: socket.socket, account: BufferAccount, min_bytes_per_s: int) -> None:
        self._sock = sock
        self.account = account
        self.unread = b""
        self._reads = ThroughputMonitor(min_bytes_per_s)
        self._writes = ThroughputMonitor(min_bytes_per_s)
        self.idle_since_s = 0.0
        self.closed = False

    # Reading

    def put_back(self, data: bytes) -> None:
        """Keeps bytes that belong to what comes next, in place of those that were kept."""
        self.account.release(len(self.unread))
        self.unread = data
        self.account.add(len(data))

    def take_unread(self) -> bytes:
        """Returns the bytes that were kept, which are the caller's to count now."""
        data = self.unread
        self.put_back(b"")
        return data

    async def _receive(self, max_bytes: int, timeout_s: float) -> bytes:
        """Returns bytes as they come from the socket, none at the end."""
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.get_running_loop().sock_recv(self._sock, max_bytes)
        except TimeoutError:
            raise StalledError(f"nothing came for {timeout_s:g} s") from None

    async def read_more(self, max_bytes: int, timeout_s: float) -> bool:
        """Reads on behind what is kept. Returns False where the peer has ended its side.

        Raises:
            StalledError: nothing came in time.
            OSError: the connection is broken.
        """
        data = await self._receive(max_bytes, timeout_s)
        self.put_back(self.unread + data)
        return data != b""

    async def read(self, max_bytes: int, timeout_s: float) -> bytes:
        """Returns what was kept, else bytes as they come; none at the end.

        Raises:
            StalledError: nothing came in time, or the peer is too slow.
            OSError: the connection is broken.
        """
        if self.unread:
            return self.take_unread()
        began_s = time.monotonic()
        data = await self._receive(max_bytes, timeout_s)
        if data:
            self._reads.record(time.monotonic() - began_s, len(data))
        return data

    async def wait_readable(self) -> bool:
        """Waits until something can be read, and leaves it there. Returns False where it is the end.

        Raises:
            OSError: the connection is broken.
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

    def is_quiet(self) -> bool:
        """Whether a kept connection is as it was left: nothing has come, not even its end."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    # Writing

    async def write(self, data: bytes, timeout_s: float) -> None:
        """Writes all of it. For no longer than the timeout may the peer take no byte.

        Raises:
            StalledError: the peer took nothing in time, or is too slow.
            OSError: the connection is broken.
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
                self._writes.record(waited_s, size)
                waited_s = 0.0
        except TimeoutError:  # also the socket's own, ETIMEDOUT
            raise StalledError(f"it took no bytes for {timeout_s:g} s") from None
        finally:
            self.account.release(len(data) - written)

    async def _wait_writable(self, timeout_s: float) -> float:
        """Returns how long that took, in seconds. Raises TimeoutError."""
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

    # Ending

    def reset_on_end(self, enabled: bool) -> None:
        """Sets whether the connection ends by a reset, also by the death of this process.

        It has to as long as its end would be taken for the end of an answer that is not complete.
        """
        if not self.closed:
            reset_on_close(self._sock, enabled)

    def end_sending(self) -> None:
        """Ends this side in order, so that the peer reads all that was written."""
        self._sock.shutdown(socket.SHUT_WR)

    def close(self, abort: bool = False) -> None:
        """Closes the socket. An abort resets the connection: what was cut must not look as if it had ended."""
        if abort:
            self.reset_on_end(True)
        if not self.closed:
            self.closed = True
            self.put_back(b"")
            self._sock.close()
