"""Sends clients away without rejecting one: for an operator's drain, and before the process ends."""

from __future__ import annotations

from forwarder.clients.server import ClientServer
from forwarder.runtime.supervisor import RepeatingTimer, Supervisor

DRAIN_DELAY_S = 1.0  # new connections go on to come until the load balancer in front has seen the failed health check
CLOSE_INTERVAL_S = 0.05


class ClientDrain:
    """Drains the clients of a server.

    Args:
        server: the server.
        supervisor: runs the step that closes idle connections.
    """

    def __init__(self, server: ClientServer, supervisor: Supervisor) -> None:
        self.server = server
        self.supervisor = supervisor
        self._closing: RepeatingTimer | None = None

    @property
    def is_draining(self) -> bool:
        """Whether clients are sent away."""
        return self.server.draining

    def start(self) -> None:
        """Fails the health check and closes each connection after its next answer; idle ones after a delay."""
        if self._closing is None:
            self.server.draining = True
            self._closing = self.supervisor.repeat("drain", CLOSE_INTERVAL_S, self.server.close_idle_connections)
            self._closing.arm(DRAIN_DELAY_S)

    def stop(self) -> None:
        """Serves clients again."""
        self.server.draining = False
        if self._closing is not None:
            self._closing.cancel()
            self._closing = None
