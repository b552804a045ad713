"""Opens connections to endpoints for streams, and keeps idle ones for reuse."""

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
    """Opens connections to endpoints and keeps idle ones, within the limit that clients and endpoints share."""

    def __init__(
        self, host: ExtensionHost, settings: StreamSettings, account: BufferAccount, sessions: Collection[object]
    ) -> None:
        """Uses the number of `sessions`, the clients that are connected, to limit the idle connections."""
        self._host = host
        self._settings = settings
        self._account = account
        self._sessions = sessions
        self._idle: dict[int, list[StreamConnection]] = {}
        """Idle connections by endpoint, the one that is idle longest first."""

    async def connect(self, endpoint: int, reuse: bool) -> StreamConnection:
        """Returns a connection to an endpoint.

        An idle connection may turn out to be closed when it is used, so only idempotent requests may reuse one.

        Raises:
            EndpointFailedError: The endpoint is not available, or the connection attempt failed.
        """
        idle = self._take_idle(endpoint) if reuse else None
        if idle is not None:
            return idle
        address = self._host.pool.addresses.get(endpoint)
        if address is None:
            raise _no_endpoint_error()
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
            if connection.is_reusable():
                return connection
            connection.close()
        return None

    async def _dial(self, sock: socket.socket, endpoint: int, address: Address) -> None:
        """Connects the socket. Fails if the endpoint is no longer available once the connection is established."""
        pool = self._host.pool
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with asyncio.timeout(pool.connect_timeout_us / SECOND_US):
            await asyncio.get_running_loop().sock_connect(sock, (address.host.strip("[]"), address.port))
        if pool.addresses.get(endpoint) != address or self._has_retry_after(endpoint):
            raise _no_endpoint_error()

    def _has_retry_after(self, endpoint: int) -> bool:
        """Returns whether a Retry-After applies to the endpoint."""
        table = self._host.endpoint_table
        scope = table.limit_scope(table.endpoints[table.names[endpoint]])
        return self._host.clock() < self._host.pool.retry_after.until_us(scope)

    def keep(self, endpoint: int, connection: StreamConnection) -> None:
        """Keeps an idle connection, for no longer than its endpoint does."""
        pool = self._host.pool
        if endpoint not in pool.addresses or pool.idle_timeout_us <= 0:
            connection.close()
            return
        connection.idle_since_s = time.monotonic()
        self._idle.setdefault(endpoint, []).append(connection)
        delay_s = pool.idle_timeout_us / SECOND_US
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._expire, endpoint, connection, connection.idle_since_s)

    def _expire(self, endpoint: int, connection: StreamConnection, idle_since_s: float) -> None:
        """Closes a connection that has been idle since the given time, and not used in between."""
        idle = self._idle.get(endpoint, [])
        if connection in idle and connection.idle_since_s == idle_since_s:
            idle.remove(connection)
            connection.close()

    def close_idle(self, endpoint: int) -> None:
        """Closes the idle connections to an endpoint."""
        for connection in self._idle.pop(endpoint, []):
            connection.close()

    def close_unlisted(self, listed: Container[int]) -> None:
        """Closes the idle connections to endpoints that are not in the given collection."""
        for endpoint in [endpoint for endpoint in self._idle if endpoint not in listed]:
            self.close_idle(endpoint)

    def close_all(self) -> None:
        """Closes all idle connections."""
        for endpoint in list(self._idle):
            self.close_idle(endpoint)

    def _close_oldest(self) -> None:
        idle = [
            (connection.idle_since_s, endpoint)
            for endpoint, connections in self._idle.items()
            for connection in connections
        ]
        if idle:
            _, endpoint = min(idle)
            self._idle[endpoint].pop(0).close()


def _no_endpoint_error() -> EndpointFailedError:
    return EndpointFailedError(Outcome.NOT_SENT, "no endpoint", HTTPStatus.SERVICE_UNAVAILABLE)
