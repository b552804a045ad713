"""The endpoints that a dispatcher knows, their limit scopes, and which endpoints may be called."""

from __future__ import annotations

from forwarder.decisions.context import RoundContext
from forwarder.decisions.events import EndpointEntry, EndpointListKind, EndpointListReceived, EndpointState
from forwarder.decisions.held_messages import HeldMessages
from forwarder.decisions.hold_reason import HoldReason
from forwarder.decisions.records import SHARED_SCOPE, Endpoint, LimitScope
from forwarder.decisions.settings import DestinationKind, Settings

MAX_ENDPOINTS = 2000
"""Number of endpoints above which unused endpoints that drain or have left the list are removed."""


class EndpointTable:
    """Tracks the endpoint list, and which endpoints operators have disabled."""

    def __init__(self, context: RoundContext, held: HeldMessages) -> None:
        self.context = context
        self.held = held
        self.endpoints: dict[int, Endpoint] = {}
        self.by_destination: dict[int, list[Endpoint]] = {}
        """The endpoints that may be called."""
        self.disabled_since_us: dict[int, int] = {}
        """When operators disabled an endpoint, by endpoint."""
        self.limit_scopes: dict[tuple[int, int], LimitScope] = {}
        """By destination and, for separate routes, endpoint; otherwise SHARED_SCOPE."""
        self.lists_received = 0
        self.destination_kinds: dict[str, DestinationKind] = {}

    def apply_settings(self, settings: Settings) -> None:
        """Uses the destination kinds of new settings. The endpoint list that follows applies them."""
        self.destination_kinds = {kind.name: kind for kind in settings.kinds}

    def apply_list(self, event: EndpointListReceived) -> None:
        """Applies a list or its changes. Endpoints that drain or have left receive nothing from this round on."""
        self.lists_received += 1
        if event.kind is not EndpointListKind.CHANGES:
            for endpoint in self.endpoints.values():
                endpoint.serving = False
        for entry in event.entries:
            self._apply_entry(entry)
        self._remove_unused_endpoints()
        self.rebuild_index()

    def _apply_entry(self, entry: EndpointEntry) -> None:
        endpoint = self.endpoints.get(entry.endpoint)
        if endpoint is None or endpoint.destination != entry.destination:
            kind = self.destination_kinds.get(entry.kind, DestinationKind(entry.kind))
            scope = self._scope(entry.destination, entry.endpoint if kind.separate_routes else SHARED_SCOPE)
            endpoint = self.endpoints[entry.endpoint] = Endpoint(
                entry.endpoint, entry.destination, entry.zone, entry.weight, scope, kind.max_batch, kind.separate_routes
            )
        if entry.kind in self.destination_kinds:
            endpoint.max_batch = self.destination_kinds[entry.kind].max_batch
        endpoint.zone = entry.zone
        endpoint.weight = entry.weight
        endpoint.serving = entry.state is EndpointState.SERVING

    def _scope(self, destination: int, route: int) -> LimitScope:
        new_scope = LimitScope(destination, 1.0, quota_share=1.0 / self.context.fleet_size)
        return self.limit_scopes.setdefault((destination, route), new_scope)

    def _remove_unused_endpoints(self) -> None:
        """Removes endpoints that drain or have left the list, so that replaced ones do not accumulate over months."""
        surplus = len(self.endpoints) - MAX_ENDPOINTS
        if surplus > 0:
            unused = [
                endpoint.id for endpoint in self.endpoints.values() if not endpoint.serving and not endpoint.in_flight
            ]
            for endpoint_id in unused[:surplus]:
                del self.endpoints[endpoint_id]

    def rebuild_index(self) -> None:
        """Rebuilds the index of endpoints that may be called; all held messages are reconsidered in this round."""
        self.by_destination.clear()
        for endpoint in self.endpoints.values():
            if endpoint.serving and not endpoint.excluded and endpoint.id not in self.disabled_since_us:
                self.by_destination.setdefault(endpoint.destination, []).append(endpoint)
        self.context.due_destinations.update(self.held.by_destination)

    def disable(self, endpoint_id: int, since_us: int) -> None:
        """Stops calls to an endpoint, whatever the list says. If it is disabled already, the earlier time stays."""
        self.disabled_since_us.setdefault(endpoint_id, since_us)
        self.rebuild_index()

    def unlisted_endpoint(self, endpoint_id: int, destination: int) -> Endpoint:
        """Returns a record of an endpoint that has left the list, for use only by a call that is still in flight."""
        return Endpoint(endpoint_id, destination, "", 0.0, self._scope(destination, SHARED_SCOPE), serving=False)

    def unavailable_reason(self, destination: int) -> HoldReason:
        """Returns why no endpoint of a destination may be called."""
        known = [endpoint for endpoint in self.endpoints.values() if endpoint.destination == destination]
        if any(endpoint.serving for endpoint in known):
            return HoldReason.DISABLED
        if known:
            return HoldReason.DRAINING
        return HoldReason.UNLISTED if self.lists_received > 1 else HoldReason.STARTING
