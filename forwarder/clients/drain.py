"""Sends clients away without refusing one: for an operator's drain, and before the process ends."""

from __future__ import annotations

from forwarder.clients.server import ClientServer
from forwarder.runtime.supervisor import Repeating, Supervisor

LATE_S = 1.0  # new connections come for a while, until the front has asked and heeded the no
STEP_S = 0.05


class ClientDrain:
    def __init__(self, server: ClientServer, supervisor: Supervisor) -> None:
        self.server, self.supervisor = server, supervisor
        self.timer: Repeating | None = None

    @property
    def is_draining(self) -> bool:
        return self.server.draining

    def start(self) -> None:
        """`/up` says no and every answer closes its connection from now on; idle ones are closed after a
        while.
        """
        if self.timer is None:
            self.server.draining = True
            self.timer = self.supervisor.repeat("drain", STEP_S, self.server.close_idle_connections)
            self.timer.arm(LATE_S)

    def stop(self) -> None:
        """Back to work, in one step."""
        self.server.draining = False
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
