"""Idle connections to endpoints, kept for later calls and closed before the endpoints reset them."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from forwarder.endpoints.connection import EndpointConnection
from forwarder.runtime.supervisor import RepeatingTimer, Supervisor
from forwarder.units import SECOND_US

SWEEP_INTERVAL_S = 0.2
REUSE_DELAY_US = 10_000
"""How long a connection rests after an answer: bytes that follow the answer then arrive before the next call."""
REUSE_MARGIN_S = 0.001  # the event loop's timers may fire slightly early
MAX_IDLE_PER_ENDPOINT = 4  # some endpoints accept few connections, including idle ones


class IdleConnections:
    """The connections that carry no call, by endpoint.

    Args:
        clock: the forwarder's clock, in microseconds.
        supervisor: runs the periodic sweep that closes connections after the idle time-out.

    Attributes:
        timeout_us: how long an idle connection is kept; 0 to keep none.
    """

    def __init__(self, clock: Callable[[], int], supervisor: Supervisor) -> None:
        self.clock = clock
        self.supervisor = supervisor
        self.timeout_us = 0
        self.by_endpoint: dict[int, list[EndpointConnection]] = {}
        self.sweep_timer: RepeatingTimer | None = None
        self._waiting: Counter[int] = Counter()
        """Number of calls that wait for a resting connection, by endpoint."""

    def add(self, connection: EndpointConnection, endpoint: int) -> None:
        """Keeps a connection, or closes it if the endpoint already has enough idle ones."""
        idle = self.by_endpoint.setdefault(endpoint, [])
        if self.timeout_us <= 0 or len(idle) >= MAX_IDLE_PER_ENDPOINT:
            connection.close("enough idle ones are kept")
            return
        connection.idle_since_us = self.clock()
        idle.append(connection)
        if self.sweep_timer is None:
            self.sweep_timer = self.supervisor.repeat("sweep of idle connections", SWEEP_INTERVAL_S, self._sweep)

    def put_back(self, connection: EndpointConnection, endpoint: int) -> None:
        """Returns an unused connection to the pool; its idle time continues."""
        self.by_endpoint.setdefault(endpoint, []).append(connection)

    def pop(self, endpoint: int) -> EndpointConnection | None:
        """Removes and returns the most recently used connection to an endpoint that does not rest; None without one."""
        idle = self.by_endpoint.get(endpoint, [])
        rested = [index for index, connection in enumerate(idle) if not self._is_resting(connection)]
        return idle.pop(rested[-1]) if rested else None

    def _is_resting(self, connection: EndpointConnection) -> bool:
        return connection.has_carried_call and self.clock() - connection.idle_since_us < REUSE_DELAY_US

    def has_resting(self, endpoint: int) -> bool:
        """Returns whether there are more resting connections to an endpoint than calls that wait for one."""
        resting = [each for each in self.by_endpoint.get(endpoint, ()) if self._is_resting(each)]
        return len(resting) > self._waiting[endpoint]

    async def rest(self, endpoint: int) -> None:
        """Waits until the connections to an endpoint that are resting now may be used."""
        self._waiting[endpoint] += 1
        try:
            await asyncio.sleep(REUSE_DELAY_US / SECOND_US + REUSE_MARGIN_S)
        finally:
            self._waiting[endpoint] -= 1
            self._waiting += Counter()  # drops the endpoints without waiting calls

    def remove(self, connection: EndpointConnection) -> None:
        """Removes a connection if it is present."""
        for idle in self.by_endpoint.values():
            if connection in idle:
                idle.remove(connection)

    def close_all_to(self, endpoint: int, reason: str) -> None:
        """Closes all connections to an endpoint."""
        for connection in self.by_endpoint.pop(endpoint, []):
            connection.close(reason)

    def close_longest_idle(self) -> bool:
        """Closes the connection with the longest idle time; returns whether there was one."""
        idle = [
            (connection.idle_since_us, index, endpoint)
            for endpoint, connections in self.by_endpoint.items()
            for index, connection in enumerate(connections)
        ]
        if not idle:
            return False
        _, index, endpoint = min(idle)
        self.by_endpoint[endpoint].pop(index).close("too many connections")
        return True

    def _sweep(self) -> None:
        """Closes connections after the idle time-out; ends the periodic sweep when no connection is left."""
        idle_since_limit_us = self.clock() - self.timeout_us
        for endpoint, idle in list(self.by_endpoint.items()):
            for connection in idle:
                if connection.idle_since_us < idle_since_limit_us:
                    connection.close("idle too long")
            kept = [each for each in idle if each.idle_since_us >= idle_since_limit_us and not each.is_closing()]
            if kept:
                self.by_endpoint[endpoint] = kept
            else:
                del self.by_endpoint[endpoint]
        if not self.by_endpoint and self.sweep_timer is not None:
            self.sweep_timer.cancel()
            self.sweep_timer = None
