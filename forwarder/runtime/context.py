"""What one running forwarder is made of, as its own jobs and the admin interface see it."""

from __future__ import annotations

import socket
from typing import Protocol

from forwarder.admin.server import AdminServer
from forwarder.clients.drain import ClientDrain
from forwarder.clients.server import ClientServer
from forwarder.config.config import EndpointList
from forwarder.discovery.endpoint_list_watch import EndpointListWatch
from forwarder.discovery.notifier import Notifier
from forwarder.runtime.decision_loop import DecisionLoop
from forwarder.runtime.effects import Effects
from forwarder.runtime.extension import Extension, ExtensionHost
from forwarder.runtime.intake import SubmissionIntake
from forwarder.runtime.invariants import Invariants
from forwarder.runtime.ownership import HandoverState, Ownership
from forwarder.runtime.reason_counts import ReasonCounts


class Runtime(ExtensionHost, Protocol):
    """The forwarder's collaborators. `Engine` builds them, and is the one implementation."""

    ownership: Ownership
    client_socket: socket.socket
    """The socket that clients connect to."""
    handover: HandoverState | None
    """What the process before handed over; None where this one started alone."""
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
    extensions: list[Extension]

    def apply_endpoint_list(self, endpoint_list: EndpointList) -> None:
        """Follows an endpoint list, whole or in part."""

    def publish_serving_endpoints(self) -> None:
        """Tells the pool and the extensions which endpoints may be called: the last check before the wire."""

    def start_draining(self) -> None:
        """Sends clients away; what was accepted goes on."""
