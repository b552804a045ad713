"""Ejection of endpoints that fail, and slow start: the few calls that an ejected or recovering endpoint gets."""

from __future__ import annotations

import math

from forwarder.decisions.actions import EjectionChanged, LogLine
from forwarder.decisions.context import RoundContext
from forwarder.decisions.endpoint_table import EndpointTable
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.records import Endpoint
from forwarder.units import SECOND_US

EJECTION_ERROR_RATE = 0.5
"""Error rate above which an endpoint is ejected: after two failures running, or when most calls fail."""

UNSAFE_RETRY_ERROR_RATE = 0.56
"""Error rate above which messages that must run at most once are held: one failure alone does not reach it."""

USED_BUDGET_SHARE = 0.8
"""Part of this forwarder's share of the budget that is used; the slots are random, the rest is their margin."""

MARGIN_CALLS = 4.0
"""Calls of all forwarders together within the overload window that the margin covers."""

MAX_INTERVAL_PER_OUTAGE_AGE = 8.0
"""The interval between calls is at most this many times the age of the outage."""

SLOT_JITTER_RANGE = (0.5, 1.5)
"""Intervals between two calls of one forwarder, as factors; 1 in the mean."""


class SlowStart:
    """Ejects endpoints, follows their recovery ramp, and divides the budget of calls they get meanwhile."""

    def __init__(self, context: RoundContext, endpoint_table: EndpointTable) -> None:
        self.context = context
        self.endpoint_table = endpoint_table

    def is_active(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint is ejected, or recovering with its ramp not over."""
        if endpoint.ejected_at_us < 0:
            return False
        recovering_since_us = endpoint.recovering_since_us
        context = self.context
        return recovering_since_us < 0 or context.now_us - recovering_since_us < context.settings.slow_start_us

    def update(self, endpoint: Endpoint, outcome: Outcome) -> None:
        """Ejects an endpoint, or begins its recovery, by a call's outcome and the error rate after it."""
        now_us = self.context.now_us
        actions = self.context.actions
        if outcome is Outcome.DELIVERED:
            is_ejected = self.is_active(endpoint) and endpoint.recovering_since_us < 0
            if is_ejected and endpoint.error_rate <= EJECTION_ERROR_RATE:
                endpoint.recovering_since_us = now_us
                self._report(endpoint)
                actions.append(LogLine(f"target {endpoint.id} answers again: warming"))
        elif endpoint.error_rate > EJECTION_ERROR_RATE:
            if not self.is_active(endpoint):
                actions.append(LogLine(f"target {endpoint.id} in outage: {outcome.value}"))
                endpoint.ejected_at_us = now_us
            is_new = endpoint.recovering_since_us >= 0 or endpoint.ejected_at_us == now_us
            endpoint.recovering_since_us = -1
            if is_new:
                self._report(endpoint)

    def _report(self, endpoint: Endpoint) -> None:
        self.context.actions.append(EjectionChanged(endpoint.id, endpoint.ejected_at_us, endpoint.recovering_since_us))

    def restore(self, endpoint_id: int, ejected_at_us: int, recovering_since_us: int) -> None:
        """Goes on with an ejection of before a restart, if the endpoint is still listed."""
        endpoint = self.endpoint_table.endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.ejected_at_us = ejected_at_us
            endpoint.recovering_since_us = recovering_since_us
            endpoint.error_rate = UNSAFE_RETRY_ERROR_RATE
            endpoint.last_call_at_us = self.context.now_us
            endpoint.slow_start_jitter = self.residual_jitter()

    def exclude(self, endpoint: Endpoint) -> None:
        """Ejects an endpoint that an extension considers an outlier; it gets no calls until it is readmitted."""
        endpoint.excluded = True
        if not self.is_active(endpoint):
            endpoint.ejected_at_us = self.context.now_us
        endpoint.recovering_since_us = -1
        self._report(endpoint)
        self.endpoint_table.rebuild_index()

    def readmit(self, endpoint: Endpoint) -> None:
        """Ends an extension's ejection; the recovery ramp begins."""
        endpoint.excluded = False
        endpoint.recovering_since_us = self.context.now_us
        self._report(endpoint)
        self.endpoint_table.rebuild_index()

    def enable(self, endpoint_id: int) -> None:
        """Calls an endpoint again that operators had disabled, if it was.

        It may have been restarted meanwhile, so its recovery ramp begins.
        """
        since_us = self.endpoint_table.disabled_since_us.pop(endpoint_id, None)
        if since_us is None:
            return
        endpoint = self.endpoint_table.endpoints.get(endpoint_id)
        if endpoint is not None:
            if not self.is_active(endpoint):
                endpoint.ejected_at_us = since_us
            endpoint.recovering_since_us = self.context.now_us
            self._report(endpoint)
        self.endpoint_table.rebuild_index()

    def next_slot_us(self, endpoint: Endpoint) -> int:
        """Returns when the next call to an ejected or recovering endpoint may be sent."""
        return endpoint.last_call_at_us + int(endpoint.slow_start_jitter * self.interval_us(endpoint))

    def interval_us(self, endpoint: Endpoint) -> float:
        """Returns the mean time in microseconds between this forwarder's calls to an endpoint in slow start.

        The budget is a part of the endpoint's capacity, divided among all forwarders. It is bounded by a multiple of
        the outage's age: where the interval is long, few other forwarders hold a message for the endpoint.
        """
        settings = self.context.settings
        now_us = self.context.now_us
        is_ejected = endpoint.recovering_since_us < 0
        ramp = 0.0 if is_ejected else (now_us - endpoint.recovering_since_us) / max(1, settings.slow_start_us)
        factor = settings.slow_start_from + (1 - settings.slow_start_from) * ramp
        capacity_per_s = endpoint.limit_scope.limit_per_s or (endpoint.weight if settings.weights_reported else 0.0)
        fleet_size = endpoint.slow_start_divisor or self.context.fleet_size
        endpoints_sharing = (
            1 if endpoint.separate_route else len(self.endpoint_table.by_destination[endpoint.destination])
        )
        sharing = fleet_size * endpoints_sharing
        rate = USED_BUDGET_SHARE * settings.overload_factor * factor * capacity_per_s / sharing / SECOND_US
        # Without a known capacity, the margin alone is the budget and has to follow the ramp.
        margin_growth = 1.0 if capacity_per_s else factor / max(settings.slow_start_from, 0.01)
        margin_rate = MARGIN_CALLS * margin_growth / max(1, settings.overload_window_us) / fleet_size
        outage_end_us = endpoint.last_call_at_us if is_ejected else endpoint.recovering_since_us
        outage_age_us = outage_end_us - endpoint.ejected_at_us
        longest_us = max(settings.overload_window_us, MAX_INTERVAL_PER_OUTAGE_AGE * outage_age_us)
        return min(1 / max(rate, margin_rate), longest_us)

    def new_jitter(self) -> float:
        """Returns the factor of the next interval."""
        return self.context.random.uniform(*SLOT_JITTER_RANGE)

    def residual_jitter(self) -> float:
        """Returns what is left of an interval that began before a restart, as a factor.

        A random moment falls into a long interval with a higher probability, and into a uniformly random part of it.
        With this, many forwarders that start at once call no more often than in any other second.
        """
        random = self.context.random
        return random.random() * math.sqrt(SLOT_JITTER_RANGE[0] ** 2 + 2 * random.random())
