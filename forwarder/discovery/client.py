"""Makes requests to discovery, one at a time on a persistent connection."""

from __future__ import annotations

import asyncio
import socket

from forwarder.clients.listener import descriptors_with_input
from forwarder.config.config import Address
from forwarder.endpoints.local_errors import LOCAL_ERRORS
from forwarder.protocol.http1 import MAX_BODY_BYTES, BadResponseError, ResponseReader, render_request
from forwarder.runtime.retrying_socket import RetryingSocket, SpareSocket, connect

RECONNECT_PAUSES_S = (0.0, 0.02, 0.05)  # short: until an answer has been read, calls use an older endpoint list
REUSE_DELAY_S = 0.01
"""How long the connection rests after an answer: bytes that follow the answer then arrive before the next request."""


class DiscoveryChannel(asyncio.Protocol):
    """One connection to discovery, with at most one request on it.

    Bytes that arrive while no answer is awaited belong to no request; the connection is closed then.

    Args:
        max_answer_bytes: the longest answer.
    """

    def __init__(self, max_answer_bytes: int = MAX_BODY_BYTES) -> None:
        self.reader = ResponseReader(max_answer_bytes)
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[None] | None = None
        """Done when the answer to the request is complete; None if no request is under way."""
        self.ended = asyncio.Event()
        """Set when the connection has ended."""
        self._rests_until_s = 0.0
        """Time of the loop's clock until which no request is made."""

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the new connection; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Feeds received bytes to the reader; called by the event loop."""
        if self.answer is None or self.answer.done():
            self.close()
            return
        try:
            self.reader.feed(data)
        except BadResponseError as error:
            self._end_request(error)
            self.close()
            return
        if self.reader.complete:
            self.rest()
            self._end_request(None)

    def eof_received(self) -> bool:
        """Handles the end of the stream, which may complete an answer; called by the event loop."""
        self.reader.end()
        if self.reader.complete:
            self._end_request(None)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the request that is still unanswered; called by the event loop."""
        self.transport = None
        self.ended.set()
        self._end_request(ConnectionResetError("the connection ended"))
        self.reader.release()

    # Requests

    async def request(self, data: bytes, deadline_s: float) -> ResponseReader:
        """Writes a request and waits for the answer.

        After a cancellation or a time-out, the connection may be in the middle of an answer and must be closed. An
        answer that is complete when the wait ends counts even if the deadline has passed: the process may have been
        stalled.

        Args:
            data: the request.
            deadline_s: the time, by the loop's clock, until which the answer is waited for.

        Returns:
            The reader that holds the answer, until the next request.

        Raises:
            TimeoutError: no complete answer has arrived in time.
            ConnectionError: the connection ended before the answer was complete.
            BadResponseError: the answer is malformed or too large.
        """
        loop = asyncio.get_running_loop()
        await asyncio.sleep(min(self._rests_until_s, deadline_s) - loop.time())
        if self.transport is None or self._has_input():
            self.close()
            raise ConnectionResetError("the connection ended, or brought bytes that nobody asked for")
        self.reader.reset()
        self.answer = answer = loop.create_future()
        self.transport.write(data)
        try:
            await asyncio.wait([answer], timeout=max(0.0, deadline_s - loop.time()))
        finally:
            self.answer = None
        if not answer.done():
            raise TimeoutError
        answer.result()
        if not self.reader.keep_alive:
            self.close()
        return self.reader

    def rest(self) -> None:
        """Delays the next request, so that bytes that follow the last answer arrive before it."""
        self._rests_until_s = asyncio.get_running_loop().time() + REUSE_DELAY_S

    def is_usable(self) -> bool:
        """Returns whether a request may be made on this connection."""
        return self.transport is not None and not self.transport.is_closing()

    def has_unread_answer(self) -> bool:
        """Returns whether part of an answer has arrived that the requester has not processed yet."""
        if self.answer is None:
            return False
        return self.answer.done() or self._has_input()

    def _has_input(self) -> bool:
        """Returns whether bytes or an end of the connection wait in the kernel."""
        return self.is_usable() and bool(descriptors_with_input([self.transport]))

    def close(self) -> None:
        """Closes the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def _end_request(self, error: Exception | None) -> None:
        if self.answer is None or self.answer.done():
            return
        if error is None:
            self.answer.set_result(None)
        else:
            self.answer.set_exception(error)


class DiscoveryClient:
    """Makes requests to discovery.

    A request whose connection ends without an answer is retried a few times with short pauses: all requests to
    discovery are idempotent, and anything that discovery had already written counts as known to the forwarder
    (PROTOCOL).

    Args:
        address: the address of discovery.
        spare: a reserve for when no new socket can be created; None for no reserve.
        max_answer_bytes: the longest answer; a longer one counts as malformed.
    """

    def __init__(
        self, address: Address, spare: SpareSocket | None = None, max_answer_bytes: int = MAX_BODY_BYTES
    ) -> None:
        self.address = address
        self.spare = spare
        self.max_answer_bytes = max_answer_bytes
        self.channel = DiscoveryChannel(max_answer_bytes)
        self._connecting = asyncio.Lock()

    def close(self) -> None:
        """Closes the connection; the next request opens a new one."""
        self.channel.close()

    async def request(self, method: str, path: str, timeout_s: float, body: bytes = b"") -> ResponseReader:
        """Makes a request and waits for the answer; closes the connection on cancellation or failure.

        Returns:
            The reader that holds the answer, until the next request.

        Raises:
            TimeoutError: no complete answer has arrived in time.
            OSError: discovery cannot be reached, or the connection ended on every attempt.
            BadResponseError: the answer is malformed or too large.
        """
        data = render_request(method, path, f"{self.address.host}:{self.address.port}", (), body)
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        try:
            return await self._request_with_retries(data, deadline_s)
        except BaseException:
            self.channel.close()
            raise

    async def _request_with_retries(self, data: bytes, deadline_s: float) -> ResponseReader:
        for pause_s in RECONNECT_PAUSES_S:
            if await self._try_connect(deadline_s):
                try:
                    return await self.channel.request(data, deadline_s)
                except ConnectionError:
                    pass
            await asyncio.sleep(pause_s)
        async with asyncio.timeout_at(deadline_s):
            await self._connect()
        return await self.channel.request(data, deadline_s)

    async def adopt(self, sock: socket.socket) -> None:
        """Continues with a connection of the previous process, on which no request is under way.

        Raises:
            OSError: the connection cannot be used.
        """
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        _, self.channel = await loop.create_connection(DiscoveryChannel, sock=RetryingSocket.of(sock))
        self.channel.rest()  # the previous process may have read an answer just now

    async def connect(self, timeout_s: float) -> None:
        """Opens the connection if it is not open, so that the next request need not open it.

        Raises:
            TimeoutError: the connection has not been established in time.
            OSError: discovery cannot be reached.
        """
        async with asyncio.timeout(timeout_s):
            await self._connect()

    async def _connect(self) -> None:
        async with self._connecting:
            if not self.channel.is_usable():
                self.channel = await connect(
                    lambda _: DiscoveryChannel(self.max_answer_bytes), self.address, spare=self.spare
                )

    async def _try_connect(self, deadline_s: float) -> bool:
        """Connects if necessary; returns False after a local failure, which may pass.

        Raises:
            TimeoutError: the connection has not been established in time.
            OSError: discovery cannot be reached.
        """
        try:
            async with asyncio.timeout_at(deadline_s):
                await self._connect()
        except OSError as error:
            if error.errno not in LOCAL_ERRORS:
                raise
            return False
        return True
