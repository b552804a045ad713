"""The collaborators of a running forwarder, as its own modules and the admin interface see them."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Protocol

from forwarder.admin.server import AdminServer
from forwarder.clients.drain import ClientDrain
from forwarder.clients.server import ClientServer
from forwarder.config.config import EndpointList
from forwarder.decisions.memory_plan import MemoryPlan
from forwarder.discovery.endpoint_list_watch import EndpointListWatch
from forwarder.discovery.notifier import Notifier
from forwarder.runtime.decision_loop import DecisionLoop
from forwarder.runtime.effects import Effects
from forwarder.runtime.extension import Extension, ExtensionHost
from forwarder.runtime.intake import SubmissionIntake
from forwarder.runtime.invariants import Invariants
from forwarder.runtime.ownership import HandoverState, Ownership
from forwarder.runtime.reason_counts import ReasonCounts

if TYPE_CHECKING:
    from forwarder.runtime.reload import ConfigReloader


class Runtime(ExtensionHost, Protocol):
    """The forwarder's collaborators. `Engine` builds them, and is the one implementation."""

    ownership: Ownership
    client_socket: socket.socket
    """The socket that clients connect to."""
    handover: HandoverState | None
    """The state that the previous process handed over; None if this process started without a hand-over."""
    memory_plan: MemoryPlan
    reasons: ReasonCounts
    invariants: Invariants
    effects: Effects
    intake: SubmissionIntake
    loop: DecisionLoop
    server: ClientServer
    drain: ClientDrain
    admin: AdminServer
    watch: EndpointListWatch
    notices: Notifier
    reloader: ConfigReloader
    extensions: list[Extension]

    def apply_endpoint_list(self, endpoint_list: EndpointList) -> None:
        """Applies an endpoint list, complete or partial."""

    def publish_serving_endpoints(self) -> None:
        """Tells the pool and the extensions which endpoints may be called: the last check before a call is written."""

    def plan_memory(self) -> None:
        """Divides the memory anew by what the process takes now."""

    def start_draining(self) -> None:
        """Drains the clients; accepted messages are still delivered."""
