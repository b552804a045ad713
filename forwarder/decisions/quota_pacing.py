"""This forwarder's part of the rate limits that all forwarders share, and the pace of its calls."""

from __future__ import annotations

import math

from forwarder.decisions.context import RoundContext
from forwarder.decisions.events import LoadReport
from forwarder.decisions.held_messages import HeldMessages
from forwarder.decisions.records import LimitScope
from forwarder.decisions.token_bucket import take_token
from forwarder.units import SECOND_US

QUOTA_DECREASE_FACTOR = 0.85
"""Applied to our share of a limit by a rejection above it."""

MIN_QUOTA_OF_EVEN_SHARE = 0.4
"""Least share of a limit, in even shares."""

QUOTA_INCREASE = 0.03
"""Added to our share in a small fleet by a success with much of the limit left."""

AMPLE_LIMIT_LEFT = 0.4
"""Share of a limit left that counts as much."""

TARGET_LIMIT_LEFT = 0.5
"""Share of a limit that the forwarders of a large fleet aim to leave: the mean where the limit is just used up."""

QUOTA_GROWTH_PER_S = 2.0
"""Growth of the logarithm of our share in a second, for each unit of the limit left above the target."""

SPARE_LIMIT_SPEEDUP = 2.0
"""Logarithm of the factor by which a large fleet calls faster, for each unit of the limit left above the target."""

MAX_BURST_US = 700_000
"""Time in which unused calls add up."""

MIN_RATE_PER_S = 1e-9
"""Avoids a division by zero."""


class QuotaPacing:
    """Adapts the share of each limit by load reports, successes and rejections, and paces the calls by it."""

    def __init__(self, context: RoundContext, held: HeldMessages) -> None:
        self.context = context
        self.held = held

    def apply_load_report(self, scope: LimitScope, report: LoadReport) -> None:
        """Follows a report of a limit.

        In a large fleet the share follows what the limit has left: all forwarders use it up together, and all are
        told the same. It changes with time, not with the number of reports, so that many forwarders with few calls
        adapt as fast as few with many. It grows only while messages are held, since else it is not used up.
        """
        context = self.context
        scope.limit_per_s = report.limit_per_s
        scope.limit_left = report.limit_left
        elapsed_s = min(1.0, (context.now_us - scope.reported_at_us) / SECOND_US)
        scope.reported_at_us = context.now_us
        if not context.is_large_fleet:
            return
        if scope.limit_left < TARGET_LIMIT_LEFT or scope.destination in self.held.by_destination:
            scope.quota_share *= math.exp(QUOTA_GROWTH_PER_S * elapsed_s * (scope.limit_left - TARGET_LIMIT_LEFT))
            scope.quota_share = max(MIN_QUOTA_OF_EVEN_SHARE / context.fleet_size, min(1.0, scope.quota_share))
        scope.next_call_at_us = min(scope.next_call_at_us, context.now_us + int(self.call_interval_us(scope)))

    def call_interval_us(self, scope: LimitScope) -> float:
        """Returns the time in microseconds between our calls at our share of the limit; 0 without a limit.

        Of a large fleet most forwarders hold nothing for a scope at most times: while much of the limit is left, those
        that do call faster.
        """
        if not scope.limit_per_s:
            return 0.0
        spare = max(0.0, scope.limit_left - TARGET_LIMIT_LEFT) if self.context.is_large_fleet else 0.0
        rate_per_s = scope.quota_share * scope.limit_per_s * math.exp(SPARE_LIMIT_SPEEDUP * spare)
        return SECOND_US / max(rate_per_s, MIN_RATE_PER_S)

    def reserve_call(self, scope: LimitScope, max_interval_us: float) -> None:
        """Takes a call out of our share; puts the next one off by the maximum at most."""
        interval_us = min(max_interval_us, self.call_interval_us(scope))
        scope.next_call_at_us = take_token(self.context.now_us, scope.next_call_at_us, interval_us, MAX_BURST_US)

    def increase_share(self, scope: LimitScope) -> None:
        """Increases our share after a success, in a small fleet and while much of the limit is left."""
        if not self.context.is_large_fleet and scope.limit_left > AMPLE_LIMIT_LEFT:
            scope.quota_share = min(1.0, scope.quota_share + QUOTA_INCREASE)

    def decrease_share(self, scope: LimitScope) -> None:
        """Decreases our share after a rejection."""
        least = MIN_QUOTA_OF_EVEN_SHARE / self.context.fleet_size
        scope.quota_share = max(least, scope.quota_share * QUOTA_DECREASE_FACTOR)
