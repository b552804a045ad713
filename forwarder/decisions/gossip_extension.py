"""Heeds what other forwarders have observed of endpoints, and tells them what this one has. Pure.

Gossip makes a forwarder more careful; bolder only where an endpoint is said to be recovering, and then within the same
budget. Nobody's word alone ejects an endpoint, and what this forwarder has observed itself, later than that, goes
before it.
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
"""Others that must have observed a failure before an endpoint is ejected here; of one it is only suspected."""
MAX_SUSPECTED_SHARE = 0.25
"""Part of the destinations that one forwarder's word alone may put under suspicion."""
HOLDING_GRACE_US = 2 * SECOND_US
"""A forwarder that held messages so lately still counts as holding some."""
UNPROVEN_FACTOR = 2.0
"""A forwarder that has not proved to be alive has the even half of a budget only."""
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
        """Endpoints that are ejected here, or recovering, by the word of others."""
        self.last_success_at_us: dict[int, int] = {}
        self.touched: set[int] = set()
        """Endpoints with an outcome in this round."""
        self.held_at_us: dict[int, int] = {}
        """When a message was last held for an endpoint in slow start."""

    # Events

    def apply_event(self, event: ExtensionEvent) -> None:
        """Takes in a view, or what others tell."""
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
        """Another's Retry-After puts off the next call, by one interval of this forwarder's own pace at most."""
        dispatcher = self.dispatcher
        for key, until_us in gossip.retry_afters:
            scope = dispatcher.limit_scopes.get(key)
            if scope is not None:
                latest_us = dispatcher.now_us + int(dispatcher.pacing.call_interval_us(scope))
                scope.next_call_at_us = max(scope.next_call_at_us, min(until_us, latest_us))

    def on_outcome(self, endpoint_id: int, outcome: Outcome) -> None:
        """What this forwarder observes itself goes before what others tell."""
        if outcome not in UNINFORMATIVE_OUTCOMES:
            self.touched.add(endpoint_id)
            self.ejected_by_gossip.discard(endpoint_id)
        if outcome is Outcome.DELIVERED:
            self.last_success_at_us[endpoint_id] = self.dispatcher.now_us

    def _apply_observations(self, gossip: GossipReceived) -> None:
        endpoints = self.dispatcher.endpoints
        suspected: dict[str, set[int]] = {}
        for number, observations in gossip.observations.items():
            if number in endpoints:
                self._apply_observations_of(endpoints[number], observations, suspected)
        for number in self.ejected_by_gossip - gossip.observations.keys():
            if number not in endpoints:
                continue
            self.ejected_by_gossip.discard(number)
            if endpoints[number].recovering_since_us < 0:  # the records are too old now, and nothing was seen here
                self._set_ejection(endpoints[number], NEVER_EJECTED, NOT_RECOVERING)

    def _apply_observations_of(
        self, endpoint: Endpoint, observations: tuple[Observation, ...], suspected: dict[str, set[int]]
    ) -> None:
        """Applies what others have observed of one endpoint.

        Args:
            endpoint: the endpoint.
            observations: one of each other forwarder that tells something of it.
            suspected: destinations that are under suspicion by one forwarder's word alone, by its name; added to.
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
        by_one = suspected.setdefault(failures[0].observer, set())
        max_suspected = max(1, int(MAX_SUSPECTED_SHARE * len(dispatcher.endpoints_by_destination)))
        if len(failures) >= MIN_OBSERVERS:
            self._set_ejection(endpoint, ejected_at_us, recovering_since_us)
        elif endpoint.destination in by_one or len(by_one) < max_suspected:
            by_one.add(endpoint.destination)
            endpoint.error_rate = max(endpoint.error_rate, EJECTION_ERROR_RATE)

    def _set_ejection(self, endpoint: Endpoint, ejected_at_us: int, recovering_since_us: int) -> None:
        """By the word of others an endpoint is ejected, or recovering; or it never was (NEVER_EJECTED)."""
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
        """Divides the budgets of endpoints in slow start, and announces for which of them messages are held."""
        super().before_release()
        dispatcher, now_us = self.dispatcher, self.dispatcher.now_us
        slots = self.slow_start_slots
        starting = [e for e in dispatcher.endpoints.values() if dispatcher.slow_start.is_active(e)]
        for endpoint in starting:
            if endpoint.in_flight or endpoint.destination in dispatcher.held.by_destination:
                self.held_at_us[endpoint.id] = now_us
        holding = {
            endpoint.id
            for endpoint in starting
            if now_us - self.held_at_us.get(endpoint.id, -HOLDING_GRACE_US) < HOLDING_GRACE_US
        }
        announced = slots.holding_since_us.keys()
        slots.update(now_us, holding, self.gossip)
        if announced != slots.holding_since_us.keys():
            dispatcher.actions.append(AnnounceHolding(frozenset(slots.holding_since_us)))
        size = self.quota.max_members
        is_proven = self.quota.is_proven(now_us)
        for endpoint in starting:
            if is_proven:
                endpoint.slow_start_divisor = 1 / slots.share(now_us, endpoint.id, size, self.gossip)
            else:
                endpoint.slow_start_divisor = UNPROVEN_FACTOR * size

    def after_release(self) -> None:
        """Announces what this forwarder has observed itself."""
        endpoints = self.dispatcher.endpoints
        for number in self.touched:
            if number in endpoints:
                self._announce(endpoints[number])
        self.touched.clear()

    def _announce(self, endpoint: Endpoint) -> None:
        dispatcher, now_us = self.dispatcher, self.dispatcher.now_us
        if dispatcher.slow_start.is_active(endpoint) and endpoint.id not in self.ejected_by_gossip:
            dispatcher.actions.append(
                AnnounceEjection(endpoint.id, endpoint.ejected_at_us, endpoint.recovering_since_us)
            )
        elif self.last_success_at_us.get(endpoint.id) == now_us and self._is_ejected_for_others(endpoint):
            dispatcher.actions.append(AnnounceEjection(endpoint.id, NEVER_EJECTED, now_us))
        scope = endpoint.limit_scope
        if scope.retry_after_until_us > now_us:
            route = endpoint.id if endpoint.separate_route else ALL_ROUTES
            dispatcher.actions.append(AnnounceRetryAfter((scope.destination, route), scope.retry_after_until_us))

    def _is_ejected_for_others(self, endpoint: Endpoint) -> bool:
        observations = self.gossip.observations.get(endpoint.id, ())
        return any(observation.recovering_since_us < 0 for observation in observations)
