"""The client side of a connection to a forwarder."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import httptools

from lab.network import Direction, LinkConnection, Network

PARTY = "front"
RESET_WAIT_S = 0.05
"""How long to wait for the reset that follows an end of stream if the forwarder closed without reading the request."""
INBOUND_POLL_S = 0.01


class ClientConnection(LinkConnection):
    """One client connection to a forwarder, with one request at a time."""

    def __init__(self, network: Network, node: str) -> None:
        super().__init__(network, (node, PARTY))
        self.parser = httptools.HttpResponseParser(self)
        self.answer: asyncio.Future[int] | None = None
        self.status = 0
        self.retry_after_s = 0.0
        self.keeps_alive = True
        self.on_request_sent: Callable[[], None] | None = None
        self.request_count = 0
        self.was_reset = False
        self.ended_by_link = False
        """An injected fault ended the connection, or it ended while its link was silent or held bytes back."""

    def request(self, data: bytes, on_sent: Callable[[], None] | None = None) -> asyncio.Future[int]:
        """Send a request.

        Args:
            data: The whole request.
            on_sent: Called once its last byte is written.

        Returns:
            A future with the answer's status; it raises ConnectionResetError if the connection ends without an answer.
        """
        self.answer = asyncio.get_running_loop().create_future()
        self.on_request_sent = on_sent
        self.request_count += 1
        self.retry_after_s = 0.0
        self.send(data)
        return self.answer

    def on_sent(self, data: bytes) -> None:
        """Call the request's `on_sent` callback."""
        if self.on_request_sent is not None:
            self.on_request_sent()

    def receive(self, data: bytes) -> None:
        """Parse bytes from the forwarder."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    # Called by the parser

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read Retry-After from the answer's headers."""
        if name.lower() == b"retry-after":
            self.retry_after_s = float(value)

    def on_headers_complete(self) -> None:
        """Read the answer's status."""
        self.status = self.parser.get_status_code()

    def on_message_complete(self) -> None:
        """Resolve the request's future with the answer's status."""
        self.keeps_alive = self.parser.should_keep_alive()
        if (waiter := self._waiter()) is not None:
            waiter.set_result(self.status)

    # Called by the event loop

    def eof_received(self) -> bool:
        """Handle the forwarder's end of stream.

        If a request is unanswered, keep the connection open for a moment: a reset that follows shows that the request
        reached a closed socket and was never read.

        Returns:
            Whether the connection stays open.
        """
        if self._waiter() is None:
            return False
        asyncio.get_running_loop().call_later(RESET_WAIT_S, self._look_for_reset)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Record how the connection ended."""
        self.was_reset = self.was_reset or error is not None
        self.ended_by_link = self.was_cut or bool(self.held_inbound) or self._is_link_silent()
        super().connection_lost(error)

    def on_closed(self) -> None:
        """Fail an unanswered request, once all delayed bytes that the forwarder sent before the end have arrived."""
        if (waiter := self._waiter()) is None:
            return
        if self._is_late(Direction.TO_PARTY):
            asyncio.get_running_loop().call_later(INBOUND_POLL_S, self.on_closed)
        else:
            waiter.set_exception(ConnectionResetError("the connection ended"))

    def _arrive(self, deliver: Callable[[bytes], None], data: bytes) -> None:
        """Deliver delayed bytes, even if the forwarder has closed the connection since."""
        if self.transport is not None or deliver == self.receive:
            deliver(data)

    def _is_link_silent(self) -> bool:
        fault = self.network.fault_on(self.link)
        return fault.silent_in or fault.silent_out

    def _waiter(self) -> asyncio.Future[int] | None:
        """Return the request's future while it is unresolved."""
        return None if self.answer is None or self.answer.done() else self.answer

    def _look_for_reset(self) -> None:
        if self.transport is None:
            return
        if self.has_inbound_under_way():
            asyncio.get_running_loop().call_later(RESET_WAIT_S, self._look_for_reset)
            return
        sock = self.transport.get_extra_info("socket")
        self.was_reset = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
        self.transport.abort()
