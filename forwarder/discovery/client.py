"""Requests to discovery, one after the other on one connection that is kept open."""

from __future__ import annotations

import asyncio
import socket

from forwarder.clients.listener import descriptors_with_input
from forwarder.config.config import Address
from forwarder.endpoints.local_errors import LOCAL_ERRORS
from forwarder.protocol.http1 import MAX_ENDPOINT_LIST_BYTES, BadResponseError, ResponseReader, render_request
from forwarder.runtime.retrying_socket import RetryingSocket, SpareSocket, connect

RECONNECT_PAUSES_S = (0.0, 0.02, 0.05)  # short: until an answer has been read, calls go by an older endpoint list


class DiscoveryChannel(asyncio.Protocol):
    """One connection to discovery, with at most one request on it."""

    def __init__(self) -> None:
        self.reader = ResponseReader(MAX_ENDPOINT_LIST_BYTES)
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[None] | None = None
        """Is done when the answer to the request is complete; None without a request."""
        self.ended = asyncio.Event()
        """The connection has ended."""

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins to use the connection; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Reads a part of an answer; called by the event loop."""
        try:
            self.reader.feed(data)
        except BadResponseError as error:
            self._end_request(error)
            self.close()
            return
        if self.reader.complete:
            self._end_request(None)

    def eof_received(self) -> bool:
        """Reads discovery's end of the connection, which may complete an answer; called by the event loop."""
        self.reader.end()
        if self.reader.complete:
            self._end_request(None)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the request that has no answer; called by the event loop."""
        self.transport = None
        self.ended.set()
        self._end_request(ConnectionResetError("the connection ended"))
        self.reader.release()

    # Requests

    async def request(self, data: bytes, give_up_s: float) -> ResponseReader:
        """Writes a request and waits for the answer.

        Cancelled or timed out, it leaves the connection in the middle of an answer: it must be closed then. What has
        come by the time it looks counts, though the time is over: the process may have stood still.

        Args:
            data: the request.
            give_up_s: until when the answer is waited for, by the loop's clock.

        Returns:
            The reader that holds the answer, until the next request.

        Raises:
            TimeoutError: no complete answer has come in time.
            ConnectionError: the connection ended before the answer was complete.
            BadResponseError: the answer is malformed or too large.
        """
        if self.transport is None:
            raise ConnectionResetError("the connection ended")
        self.reader.renew()
        loop = asyncio.get_running_loop()
        self.answer = answer = loop.create_future()
        self.transport.write(data)
        try:
            await asyncio.wait([answer], timeout=max(0.0, give_up_s - loop.time()))
        finally:
            self.answer = None
        if not answer.done():
            raise TimeoutError
        answer.result()
        if not self.reader.keep_alive:
            self.close()
        return self.reader

    def is_usable(self) -> bool:
        """Returns whether a request may be made on it."""
        return self.transport is not None and not self.transport.is_closing()

    def has_unread_answer(self) -> bool:
        """Returns whether a part of an answer has come that whoever made the request has not seen yet."""
        if self.answer is None:
            return False
        return self.answer.done() or (self.is_usable() and bool(descriptors_with_input([self.transport])))

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

    One whose connection ends without an answer is made again at once, a few times: all requests to discovery are
    idempotent, and what it had written counts as known to the forwarder (PROTOCOL).

    Args:
        address: where discovery is.
        spare: helps where no socket can be had; None for no help.
    """

    def __init__(self, address: Address, spare: SpareSocket | None = None) -> None:
        self.address = address
        self.spare = spare
        self.channel = DiscoveryChannel()
        self._connecting = asyncio.Lock()

    def close(self) -> None:
        """Closes the connection; the next request opens another."""
        self.channel.close()

    async def request(self, method: str, path: str, timeout_s: float, body: bytes = b"") -> ResponseReader:
        """Makes a request and waits for the answer; cancelled or failed, it closes the connection.

        Returns:
            The reader that holds the answer, until the next request.

        Raises:
            TimeoutError: no complete answer has come in time.
            OSError: discovery cannot be reached, or the connection ended every time.
            BadResponseError: the answer is malformed or too large.
        """
        data = render_request(method, path, f"{self.address.host}:{self.address.port}", (), body)
        give_up_s = asyncio.get_running_loop().time() + timeout_s
        try:
            return await self._request_with_retries(data, give_up_s)
        except BaseException:
            self.channel.close()
            raise

    async def _request_with_retries(self, data: bytes, give_up_s: float) -> ResponseReader:
        for pause_s in RECONNECT_PAUSES_S:
            if await self._try_connect(give_up_s):
                try:
                    return await self.channel.request(data, give_up_s)
                except ConnectionError:
                    pass
            await asyncio.sleep(pause_s)
        async with asyncio.timeout_at(give_up_s):
            await self._connect()
        return await self.channel.request(data, give_up_s)

    async def adopt(self, sock: socket.socket) -> None:
        """Goes on with a connection of the process before, on which no request is under way.

        Raises:
            OSError: the connection cannot be used.
        """
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        _, self.channel = await loop.create_connection(DiscoveryChannel, sock=RetryingSocket.of(sock))

    async def connect(self, timeout_s: float) -> None:
        """Opens the connection, if it is not open, so that the next request need not.

        Raises:
            TimeoutError: it has not come up in time.
            OSError: discovery cannot be reached.
        """
        async with asyncio.timeout(timeout_s):
            await self._connect()

    async def _connect(self) -> None:
        async with self._connecting:
            if not self.channel.is_usable():
                self.channel = await connect(lambda _: DiscoveryChannel(), self.address, spare=self.spare)

    async def _try_connect(self, give_up_s: float) -> bool:
        """Connects, if that is not done; returns False where this machine could not, for a moment.

        Raises:
            TimeoutError: it has not come up in time.
            OSError: discovery cannot be reached.
        """
        try:
            async with asyncio.timeout_at(give_up_s):
                await self._connect()
        except OSError as error:
            if error.errno not in LOCAL_ERRORS:
                raise
            return False
        return True
