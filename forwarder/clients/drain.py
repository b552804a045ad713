"""Drains client connections without rejecting a request: on an operator's command and before the process exits."""

from __future__ import annotations

from forwarder.clients.server import ClientServer
from forwarder.runtime.supervisor import RepeatingTimer, Supervisor

DRAIN_DELAY_S = 1.0  # new connections continue to arrive until the load balancer has seen the failed health check
CLOSE_INTERVAL_S = 0.05


class ClientDrain:
    """Drains the clients of a server.

    Args:
        server: the server to drain.
        supervisor: runs the periodic task that closes idle connections.
    """

    def __init__(self, server: ClientServer, supervisor: Supervisor) -> None:
        self.server = server
        self.supervisor = supervisor
        self._close_timer: RepeatingTimer | None = None

    @property
    def is_draining(self) -> bool:
        """Whether client connections are being drained."""
        return self.server.draining

    def start(self) -> None:
        """Fails the health check and closes each connection after its next answer; closes idle ones after a delay."""
        if self._close_timer is None:
            self.server.draining = True
            self._close_timer = self.supervisor.repeat("drain", CLOSE_INTERVAL_S, self.server.close_idle_connections)
            self._close_timer.arm(DRAIN_DELAY_S)

    def stop(self) -> None:
        """Ends the drain and serves clients again."""
        self.server.draining = False
        if self._close_timer is not None:
            self._close_timer.cancel()
            self._close_timer = None
