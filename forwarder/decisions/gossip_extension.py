"""Applies what other forwarders have observed about endpoints, and announces own observations. Does no I/O.

Gossip makes a forwarder more cautious. It makes it less cautious only if an endpoint is reported to be recovering, and
then within the same budget. The report of a single forwarder does not eject an endpoint, and later observations of this
forwarder take precedence over reports.
"""

from __future__ import annotations

from forwarder.decisions.actions import EjectionChanged
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import ExtensionEvent
from forwarder.decisions.fleet_messages import (
    AnnounceEjection,
    AnnounceHolding,
    AnnounceRetryAfter,
    GossipReceived,
    Observation,
    PeersQueried,
)
from forwarder.decisions.fleet_quota import FleetQuota, FleetQuotaExtension
from forwarder.decisions.outcomes import UNINFORMATIVE_OUTCOMES, Outcome
from forwarder.decisions.records import Endpoint
from forwarder.decisions.slow_start import EJECTION_ERROR_RATE, UNSAFE_RETRY_ERROR_RATE
from forwarder.decisions.slow_start_slots import SlowStartSlots
from forwarder.units import SECOND_US

MIN_OBSERVERS = 2
"""Other forwarders that must report a failure before an endpoint is ejected here; fewer make it suspect."""
MAX_SUSPECTED_SHARE = 0.25
"""Fraction of the destinations whose endpoints the reports of a single forwarder may make suspect."""
HOLDING_GRACE_US = 2 * SECOND_US
"""Time after a message was last held or in flight for which this forwarder still counts as a holder."""
UNPROVEN_FACTOR = 2.0
"""Multiplies the divisor of a forwarder that is not proven to be alive: only half of a budget is divided evenly among
all forwarders, and it gets no part of the other half."""
NEVER_EJECTED = -1
NOT_RECOVERING = -1
ALL_ROUTES = -1


class GossipExtension(FleetQuotaExtension):
    """Applies gossip to the dispatcher's endpoints, and announces what this forwarder observes."""

    def __init__(self, dispatcher: Dispatcher, quota: FleetQuota, slow_start_slots: SlowStartSlots) -> None:
        super().__init__(dispatcher, quota)
        self.slow_start_slots = slow_start_slots
        self.gossip = GossipReceived()
        self.ejected_by_gossip: set[int] = set()
        """Endpoints that are ejected or recovering here because of gossip."""
        self.last_success_at_us: dict[int, int] = {}
        self.endpoints_with_outcomes: set[int] = set()
        """Endpoints whose calls had an outcome in this round."""
        self.held_at_us: dict[int, int] = {}
        """When a message was last held or in flight for an endpoint in slow start."""

    # Events

    def apply_event(self, event: ExtensionEvent) -> None:
        """Applies a fleet view, gossip, or the end of the startup query."""
        super().apply_event(event)
        dispatcher = self.dispatcher
        if isinstance(event, PeersQueried):
            dispatcher.peers_queried_until_us = dispatcher.now_us
            dispatcher.due_destinations.update(dispatcher.held.by_destination)
        elif isinstance(event, GossipReceived):
            self.gossip = event
            self._apply_retry_afters(event)
            self._apply_observations(event)

    def _apply_retry_afters(self, gossip: GossipReceived) -> None:
        """Delays the next call by the Retry-After of another forwarder, at most by one call interval of this one."""
        dispatcher = self.dispatcher
        for key, until_us in gossip.retry_afters:
            scope = dispatcher.limit_scopes.get(key)
            if scope is not None:
                latest_us = dispatcher.now_us + int(dispatcher.pacing.call_interval_us(scope))
                scope.next_call_at_us = max(scope.next_call_at_us, min(until_us, latest_us))

    def on_outcome(self, endpoint_id: int, outcome: Outcome) -> None:
        """Records an outcome that this forwarder observed, which takes precedence over gossip."""
        if outcome not in UNINFORMATIVE_OUTCOMES:
            self.endpoints_with_outcomes.add(endpoint_id)
            self.ejected_by_gossip.discard(endpoint_id)
        if outcome is Outcome.DELIVERED:
            self.last_success_at_us[endpoint_id] = self.dispatcher.now_us

    def _apply_observations(self, gossip: GossipReceived) -> None:
        endpoints = self.dispatcher.endpoints
        suspected: dict[str, set[int]] = {}
        for endpoint_id, observations in gossip.observations.items():
            if endpoint_id in endpoints:
                self._apply_endpoint_observations(endpoints[endpoint_id], observations, suspected)
        for endpoint_id in self.ejected_by_gossip - gossip.observations.keys():
            if endpoint_id not in endpoints:
                continue
            self.ejected_by_gossip.discard(endpoint_id)
            # The reports have expired, and this forwarder has observed nothing itself.
            if endpoints[endpoint_id].recovering_since_us < 0:
                self._set_ejection(endpoints[endpoint_id], NEVER_EJECTED, NOT_RECOVERING)

    def _apply_endpoint_observations(
        self, endpoint: Endpoint, observations: tuple[Observation, ...], suspected: dict[str, set[int]]
    ) -> None:
        """Applies the observations of other forwarders about one endpoint.

        Args:
            endpoint: the endpoint.
            observations: one of each other forwarder that reports on the endpoint.
            suspected: destinations that are suspect by the reports of a single forwarder, by its name. Updated here.
        """
        dispatcher = self.dispatcher
        failures = [observation for observation in observations if observation.ejected_at_us >= 0]
        ejected_at_us = min((failure.ejected_at_us for failure in failures), default=NEVER_EJECTED)
        recovering_since_us = max(observation.recovering_since_us for observation in observations)
        if dispatcher.slow_start.is_active(endpoint):
            if endpoint.recovering_since_us < 0 and recovering_since_us > endpoint.last_call_at_us:
                self._set_ejection(endpoint, endpoint.ejected_at_us, recovering_since_us)
            return
        if self.last_success_at_us.get(endpoint.id, -1) >= ejected_at_us:
            return
        ramp_us = dispatcher.settings.slow_start_us
        if recovering_since_us >= 0 and dispatcher.now_us - recovering_since_us >= ramp_us:
            return
        suspected_by_observer = suspected.setdefault(failures[0].observer, set())
        max_suspected = max(1, int(MAX_SUSPECTED_SHARE * len(dispatcher.endpoints_by_destination)))
        if len(failures) >= MIN_OBSERVERS:
            self._set_ejection(endpoint, ejected_at_us, recovering_since_us)
        elif endpoint.destination in suspected_by_observer or len(suspected_by_observer) < max_suspected:
            suspected_by_observer.add(endpoint.destination)
            endpoint.error_rate = max(endpoint.error_rate, EJECTION_ERROR_RATE)

    def _set_ejection(self, endpoint: Endpoint, ejected_at_us: int, recovering_since_us: int) -> None:
        """Sets from gossip whether an endpoint is ejected or recovering, or clears its ejection (NEVER_EJECTED)."""
        dispatcher = self.dispatcher
        if ejected_at_us >= 0 > recovering_since_us:
            endpoint.error_rate = max(endpoint.error_rate, UNSAFE_RETRY_ERROR_RATE)
        else:
            endpoint.error_rate = min(endpoint.error_rate, EJECTION_ERROR_RATE)
        if ejected_at_us >= 0:
            self.ejected_by_gossip.add(endpoint.id)
            endpoint.last_call_at_us = max(endpoint.last_call_at_us, dispatcher.now_us)
            endpoint.slow_start_jitter = dispatcher.slow_start.residual_jitter()
        endpoint.ejected_at_us = ejected_at_us
        endpoint.recovering_since_us = recovering_since_us
        dispatcher.actions.append(EjectionChanged(endpoint.id, ejected_at_us, recovering_since_us))
        dispatcher.due_destinations.add(endpoint.destination)

    # Rounds

    def before_release(self) -> None:
        """Divides the budgets of endpoints in slow start, and announces those for which messages are held."""
        super().before_release()
        dispatcher, now_us = self.dispatcher, self.dispatcher.now_us
        slow_start_slots = self.slow_start_slots
        in_slow_start = [
            endpoint for endpoint in dispatcher.endpoints.values() if dispatcher.slow_start.is_active(endpoint)
        ]
        for endpoint in in_slow_start:
            if endpoint.in_flight or endpoint.destination in dispatcher.held.by_destination:
                self.held_at_us[endpoint.id] = now_us
        holding = {
            endpoint.id
            for endpoint in in_slow_start
            if now_us - self.held_at_us.get(endpoint.id, -HOLDING_GRACE_US) < HOLDING_GRACE_US
        }
        announced = slow_start_slots.holding_since_us.keys()
        slow_start_slots.update(now_us, holding, self.gossip)
        if announced != slow_start_slots.holding_since_us.keys():
            dispatcher.actions.append(AnnounceHolding(frozenset(slow_start_slots.holding_since_us)))
        max_members = self.quota.max_members
        is_proven_alive = self.quota.is_proven_alive(now_us)
        for endpoint in in_slow_start:
            if is_proven_alive:
                endpoint.slow_start_divisor = 1 / slow_start_slots.share(now_us, endpoint.id, max_members, self.gossip)
            else:
                endpoint.slow_start_divisor = UNPROVEN_FACTOR * max_members

    def after_release(self) -> None:
        """Announces what this forwarder observed in the round."""
        endpoints = self.dispatcher.endpoints
        for endpoint_id in self.endpoints_with_outcomes:
            if endpoint_id in endpoints:
                self._announce(endpoints[endpoint_id])
        self.endpoints_with_outcomes.clear()

    def _announce(self, endpoint: Endpoint) -> None:
        dispatcher, now_us = self.dispatcher, self.dispatcher.now_us
        if dispatcher.slow_start.is_active(endpoint) and endpoint.id not in self.ejected_by_gossip:
            dispatcher.actions.append(
                AnnounceEjection(endpoint.id, endpoint.ejected_at_us, endpoint.recovering_since_us)
            )
        elif self.last_success_at_us.get(endpoint.id) == now_us and self._is_ejected_by_others(endpoint):
            dispatcher.actions.append(AnnounceEjection(endpoint.id, NEVER_EJECTED, now_us))
        scope = endpoint.limit_scope
        if scope.retry_after_until_us > now_us:
            route = endpoint.id if endpoint.separate_route else ALL_ROUTES
            dispatcher.actions.append(AnnounceRetryAfter((scope.destination, route), scope.retry_after_until_us))

    def _is_ejected_by_others(self, endpoint: Endpoint) -> bool:
        observations = self.gossip.observations.get(endpoint.id, ())
        return any(observation.recovering_since_us < 0 for observation in observations)
