"""Connections to endpoints for streams: made, and kept for the next stream."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Collection, Container
from http import HTTPStatus

from forwarder.config.config import Address
from forwarder.decisions.outcomes import Outcome
from forwarder.runtime.extension import ExtensionHost
from forwarder.streaming.connection import BufferAccount, StreamConnection
from forwarder.streaming.errors import EndpointFailedError
from forwarder.streaming.settings import StreamSettings
from forwarder.units import SECOND_US


class EndpointConnections:
    """Makes connections, within the bound that clients and endpoints share, and keeps those without a stream."""

    def __init__(
        self, host: ExtensionHost, settings: StreamSettings, account: BufferAccount, sessions: Collection[object]
    ) -> None:
        """`sessions` are the clients' connections."""
        self._host = host
        self._settings = settings
        self._account = account
        self._sessions = sessions
        self._idle: dict[int, list[StreamConnection]] = {}
        """By endpoint, the one that is kept longest first."""

    async def connect(self, endpoint: int, reuse: bool) -> StreamConnection:
        """Returns a connection to an endpoint.

        A kept one may be dead by the time that it is used: it serves only requests that may be repeated.

        Raises:
            EndpointFailedError: none can be had.
        """
        kept = self._take_idle(endpoint) if reuse else None
        if kept is not None:
            return kept
        address = self._host.pool.addresses.get(endpoint)
        if address is None:
            raise _no_endpoint()
        if sum(map(len, self._idle.values())) >= self._settings.max_connections - len(self._sessions):
            self._close_oldest()
        sock = socket.socket(socket.AF_INET6 if ":" in address.host else socket.AF_INET, socket.SOCK_STREAM)
        try:
            await self._dial(sock, endpoint, address)
        except (OSError, TimeoutError):
            sock.close()
            raise EndpointFailedError(Outcome.NO_CONNECTION, "no connection to an endpoint") from None
        except BaseException:
            sock.close()
            raise
        return StreamConnection(sock, self._account, self._settings.min_bytes_per_s)

    def _take_idle(self, endpoint: int) -> StreamConnection | None:
        while self._idle.get(endpoint):
            connection = self._idle[endpoint].pop()
            if connection.is_quiet():
                return connection
            connection.close()
        return None

    async def _dial(self, sock: socket.socket, endpoint: int, address: Address) -> None:
        """Connects; what may not be called any more when the connection is up is not."""
        pool = self._host.pool
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with asyncio.timeout(pool.connect_timeout_us / SECOND_US):
            await asyncio.get_running_loop().sock_connect(sock, (address.host.strip("[]"), address.port))
        if pool.addresses.get(endpoint) != address or self._has_retry_after(endpoint):
            raise _no_endpoint()

    def _has_retry_after(self, endpoint: int) -> bool:
        """Whether a Retry-After was told meanwhile."""
        table = self._host.endpoint_table
        scope = table.limit_scope(table.endpoints[table.names[endpoint]])
        return self._host.clock() < self._host.pool.retry_after.until_us(scope)

    def keep(self, endpoint: int, connection: StreamConnection) -> None:
        """Keeps a connection, as long as its endpoint would."""
        pool = self._host.pool
        if endpoint not in pool.addresses or pool.idle_timeout_us <= 0:
            connection.close()
            return
        connection.idle_since_s = time.monotonic()
        self._idle.setdefault(endpoint, []).append(connection)
        delay_s = pool.idle_timeout_us / SECOND_US
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._expire, endpoint, connection, connection.idle_since_s)

    def _expire(self, endpoint: int, connection: StreamConnection, since_s: float) -> None:
        """Closes a connection, if it was not used meanwhile."""
        kept = self._idle.get(endpoint, [])
        if connection in kept and connection.idle_since_s == since_s:
            kept.remove(connection)
            connection.close()

    def close_idle(self, endpoint: int) -> None:
        """Closes what is kept to an endpoint."""
        for connection in self._idle.pop(endpoint, []):
            connection.close()

    def close_unlisted(self, listed: Container[int]) -> None:
        """Closes what is kept to endpoints that may not be called any more."""
        for endpoint in [endpoint for endpoint in self._idle if endpoint not in listed]:
            self.close_idle(endpoint)

    def close_all(self) -> None:
        """Closes all that is kept."""
        for endpoint in list(self._idle):
            self.close_idle(endpoint)

    def _close_oldest(self) -> None:
        kept = [
            (connection.idle_since_s, endpoint)
            for endpoint, connections in self._idle.items()
            for connection in connections
        ]
        if kept:
            _, endpoint = min(kept)
            self._idle[endpoint].pop(0).close()


def _no_endpoint() -> EndpointFailedError:
    return EndpointFailedError(Outcome.NOT_SENT, "no endpoint", HTTPStatus.SERVICE_UNAVAILABLE)
