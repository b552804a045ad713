"""Ejects failing endpoints, and limits the calls to ejected or recovering endpoints (slow start)."""

from __future__ import annotations

import math

from forwarder.decisions.actions import EjectionChanged, LogLine
from forwarder.decisions.context import RoundContext
from forwarder.decisions.endpoint_table import EndpointTable
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.records import Endpoint
from forwarder.units import SECOND_US

EJECTION_ERROR_RATE = 0.5
"""Error rate above which an endpoint is ejected: after two failures in a row, or when most calls fail."""

UNSAFE_RETRY_ERROR_RATE = 0.56
"""Error rate above which messages that must run at most once are held. A single failure does not reach it."""

USED_BUDGET_SHARE = 0.8
"""Fraction of this forwarder's share of the budget that it uses. Slots are random, so the rest is a margin."""

MARGIN_CALLS = 4.0
"""Calls of all forwarders within the overload window that the margin covers."""

MAX_INTERVAL_PER_OUTAGE_AGE = 8.0
"""Longest interval between calls, as a multiple of the age of the outage."""

SLOT_JITTER_RANGE = (0.5, 1.5)
"""Range of the random factor applied to the interval between two calls of one forwarder; its mean is 1."""


class SlowStart:
    """Ejects endpoints, tracks their recovery ramp, and divides their call budget during slow start."""

    def __init__(self, context: RoundContext, endpoint_table: EndpointTable) -> None:
        self.context = context
        self.endpoint_table = endpoint_table

    def is_active(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint is ejected, or still in its recovery ramp."""
        if endpoint.ejected_at_us < 0:
            return False
        recovering_since_us = endpoint.recovering_since_us
        context = self.context
        return recovering_since_us < 0 or context.now_us - recovering_since_us < context.settings.slow_start_us

    def update(self, endpoint: Endpoint, outcome: Outcome) -> None:
        """Ejects an endpoint or starts its recovery, by the outcome of a call and the resulting error rate."""
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
            has_changed = endpoint.recovering_since_us >= 0 or endpoint.ejected_at_us == now_us
            endpoint.recovering_since_us = -1
            if has_changed:
                self._report(endpoint)

    def _report(self, endpoint: Endpoint) -> None:
        self.context.actions.append(EjectionChanged(endpoint.id, endpoint.ejected_at_us, endpoint.recovering_since_us))

    def restore(self, endpoint_id: int, ejected_at_us: int, recovering_since_us: int) -> None:
        """Restores an ejection from before a restart, if the endpoint is still listed."""
        endpoint = self.endpoint_table.endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.ejected_at_us = ejected_at_us
            endpoint.recovering_since_us = recovering_since_us
            endpoint.error_rate = UNSAFE_RETRY_ERROR_RATE
            endpoint.last_call_at_us = self.context.now_us
            endpoint.slow_start_jitter = self.residual_jitter()

    def exclude(self, endpoint: Endpoint) -> None:
        """Ejects an endpoint that an extension considers an outlier; it receives no calls until it is readmitted."""
        endpoint.excluded = True
        if not self.is_active(endpoint):
            endpoint.ejected_at_us = self.context.now_us
        endpoint.recovering_since_us = -1
        self._report(endpoint)
        self.endpoint_table.rebuild_index()

    def readmit(self, endpoint: Endpoint) -> None:
        """Ends the ejection by an extension and starts the recovery ramp."""
        endpoint.excluded = False
        endpoint.recovering_since_us = self.context.now_us
        self._report(endpoint)
        self.endpoint_table.rebuild_index()

    def enable(self, endpoint_id: int) -> None:
        """Enables an endpoint that operators have disabled; does nothing if it is not disabled.

        The endpoint may have been restarted in the meantime, so its recovery ramp starts.
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

        The budget is a fraction of the endpoint's capacity, divided among all forwarders. The interval is at most a
        multiple of the age of the outage: by the time it is long, few other forwarders hold a message for the endpoint.
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
        sharing_count = fleet_size * endpoints_sharing
        rate_per_us = USED_BUDGET_SHARE * settings.overload_factor * factor * capacity_per_s / sharing_count / SECOND_US
        # If the capacity is unknown, the margin alone is the budget and must follow the ramp.
        margin_growth = 1.0 if capacity_per_s else factor / max(settings.slow_start_from, 0.01)
        margin_rate_per_us = MARGIN_CALLS * margin_growth / max(1, settings.overload_window_us) / fleet_size
        outage_end_us = endpoint.last_call_at_us if is_ejected else endpoint.recovering_since_us
        outage_age_us = outage_end_us - endpoint.ejected_at_us
        max_interval_us = max(settings.overload_window_us, MAX_INTERVAL_PER_OUTAGE_AGE * outage_age_us)
        return min(1 / max(rate_per_us, margin_rate_per_us), max_interval_us)

    def new_jitter(self) -> float:
        """Returns the random factor of the next interval."""
        return self.context.random.uniform(*SLOT_JITTER_RANGE)

    def residual_jitter(self) -> float:
        """Returns the rest of an interval that began before a restart, as a factor of the mean interval.

        A random moment is more likely to fall into a long interval, and falls at a uniformly random point of it.
        Forwarders that start at the same time therefore call no more often than in any other second.
        """
        random = self.context.random
        return random.random() * math.sqrt(SLOT_JITTER_RANGE[0] ** 2 + 2 * random.random())
