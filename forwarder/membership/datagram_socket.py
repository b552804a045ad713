"""The UDP socket between forwarders. Datagrams that cannot be accepted or sent are dropped and counted."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter
from typing import Protocol, cast

from forwarder.config.config import Address
from forwarder.membership.codec import Codec, Datagram, DatagramRejectedError, FormerIncarnationError
from forwarder.membership.rate_limiter import DatagramRateLimiter
from forwarder.membership.view import SocketAddress

DROP_LOG_INTERVAL_S = 10.0
BIND_TIMEOUT_S = 3.0
BIND_RETRY_S = 0.05
DROP_PREFIX = "dropped: "
"""Prefix of the counters for datagrams that were not accepted or not sent."""
log = logging.getLogger("forwarder.membership")


class DatagramHandler(Protocol):
    """Handles datagrams that the socket receives."""

    @property
    def is_open(self) -> bool:
        """Whether datagrams are handled yet."""

    def receive(self, source: SocketAddress, datagram: Datagram) -> None:
        """Handles a valid datagram."""

    def reject_former(self, source: SocketAddress, error: FormerIncarnationError) -> None:
        """Handles a datagram of a member's former incarnation."""

    def flush(self) -> None:
        """Sends the datagrams that are due; called after each datagram received."""


class DatagramSocket(asyncio.DatagramProtocol):
    """One bound UDP socket."""

    def __init__(self, codec: Codec, handler: DatagramHandler) -> None:
        self.codec = codec
        self.counts: Counter[str] = Counter()
        self.drops_logged = 0
        self._handler = handler
        self._rate_limiter = DatagramRateLimiter()
        self._transport: asyncio.DatagramTransport | None = None
        self._is_paused = False
        self._drops_logged_at_s = time.monotonic()

    @property
    def is_bound(self) -> bool:
        """Whether datagrams can be sent."""
        return self._transport is not None

    async def bind(self, address: Address) -> None:
        """Binds the socket, with retries: until an upgrade ends, the old process still holds the address.

        Raises:
            OSError: the address is still in use after BIND_TIMEOUT_S.
        """
        loop = asyncio.get_running_loop()
        deadline_s = time.monotonic() + BIND_TIMEOUT_S
        while True:
            try:
                await loop.create_datagram_endpoint(lambda: self, local_addr=(address.host, address.port))
            except OSError:
                if time.monotonic() > deadline_s:
                    raise
            else:
                return
            await asyncio.sleep(BIND_RETRY_S)

    def close(self) -> None:
        """Closes the socket; datagrams already sent are not affected."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, address: SocketAddress, datagram: Datagram) -> None:
        """Seals and sends one datagram, or drops it if the socket's buffer is full."""
        if self._transport is None:
            return
        if self._is_paused:
            self.counts[f"{DROP_PREFIX}no room to send"] += 1
            return
        data = self.codec.seal(datagram)
        self.counts["sent"] += 1
        self.counts["bytes sent"] += len(data)
        self._transport.sendto(data, address)

    # Callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport of the bound socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def pause_writing(self) -> None:
        """Begins to drop datagrams, because the socket's buffer is full."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Stops dropping datagrams, because the socket's buffer has room again."""
        self._is_paused = False

    def datagram_received(self, data: bytes, source: SocketAddress) -> None:
        """Handles one datagram if its sender is within its rate limit and it is valid."""
        if not self._handler.is_open:
            return
        self.counts["received"] += 1
        if not self._rate_limiter.admits(source[0], time.monotonic()):
            self.counts[f"{DROP_PREFIX}too much from one address"] += 1
            return
        try:
            datagram = self.codec.open(data)
        except FormerIncarnationError as former:
            self.counts[f"{DROP_PREFIX}{former}"] += 1
            self._handler.reject_former(source, former)
        except DatagramRejectedError as rejected:
            self.counts[f"{DROP_PREFIX}{rejected}"] += 1
        else:
            self._handler.receive(source, datagram)
        self._handler.flush()

    def error_received(self, error: Exception) -> None:
        """Counts errors of the socket. The protocol makes up for lost datagrams."""
        self.counts[f"socket: {type(error).__name__}"] += 1

    # Logging

    def log_drops(self) -> None:
        """Logs the counts of dropped datagrams, at most once every DROP_LOG_INTERVAL_S."""
        drops = {name: count for name, count in sorted(self.counts.items()) if name.startswith(DROP_PREFIX)}
        total = sum(drops.values())
        if total == self.drops_logged or time.monotonic() - self._drops_logged_at_s <= DROP_LOG_INTERVAL_S:
            return
        reasons = ", ".join(f"{count} {name.removeprefix(DROP_PREFIX)}" for name, count in drops.items())
        log.warning("datagrams dropped: %s", reasons)
        self._drops_logged_at_s = time.monotonic()
        self.drops_logged = total
