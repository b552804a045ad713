"""Adapts this forwarder's share of the rate limits common to all forwarders, and paces its calls by it."""

from __future__ import annotations

import math

from forwarder.decisions.context import RoundContext
from forwarder.decisions.events import LoadReport
from forwarder.decisions.held_messages import HeldMessages
from forwarder.decisions.records import LimitScope
from forwarder.decisions.token_bucket import take_token
from forwarder.units import SECOND_US

QUOTA_DECREASE_FACTOR = 0.85
"""Multiplies our share of a limit on a rejection."""

MIN_QUOTA_OF_EVEN_SHARE = 0.4
"""Smallest share of a limit, as a fraction of an even share."""

QUOTA_INCREASE = 0.03
"""Added to our share on a success in a small fleet while more than AMPLE_LIMIT_LEFT is left."""

AMPLE_LIMIT_LEFT = 0.4
"""Remaining fraction of a limit above which it counts as not exhausted."""

TARGET_LIMIT_LEFT = 0.5
"""Remaining fraction of a limit that a large fleet aims for: the mean while the limit is just used up."""

QUOTA_GROWTH_PER_S = 2.0
"""Growth per second of the logarithm of our share, per unit of the remaining fraction above the target."""

SPARE_LIMIT_SPEEDUP = 2.0
"""Logarithm of the speedup of calls in a large fleet, per unit of the remaining fraction above the target."""

MAX_BURST_US = 700_000
"""Time over which unused calls accumulate."""

MIN_RATE_PER_S = 1e-9
"""Lower bound of the call rate, which avoids a division by zero."""


class QuotaPacing:
    """Adapts our share of each limit to load reports, successes and rejections, and paces calls by it."""

    def __init__(self, context: RoundContext, held: HeldMessages) -> None:
        self.context = context
        self.held = held

    def apply_load_report(self, scope: LimitScope, report: LoadReport) -> None:
        """Applies a reported limit.

        In a large fleet the share follows the remaining fraction of the limit, because all forwarders use the limit
        together and receive the same reports. The share changes with time and not with the number of reports, so that
        many forwarders with few calls adapt as fast as few forwarders with many calls. It grows only while messages
        are held, because otherwise it is not used up.
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

        In a large fleet, most forwarders hold no message for a given scope at any time. While much of the limit is
        left, those that hold messages call faster.
        """
        if not scope.limit_per_s:
            return 0.0
        spare_limit = max(0.0, scope.limit_left - TARGET_LIMIT_LEFT) if self.context.is_large_fleet else 0.0
        rate_per_s = scope.quota_share * scope.limit_per_s * math.exp(SPARE_LIMIT_SPEEDUP * spare_limit)
        return SECOND_US / max(rate_per_s, MIN_RATE_PER_S)

    def reserve_call(self, scope: LimitScope, max_interval_us: float) -> None:
        """Takes a call from our share, and delays the next one by at most `max_interval_us`."""
        interval_us = min(max_interval_us, self.call_interval_us(scope))
        scope.next_call_at_us = take_token(self.context.now_us, scope.next_call_at_us, interval_us, MAX_BURST_US)

    def increase_share(self, scope: LimitScope) -> None:
        """Increases our share after a success, if the fleet is small and much of the limit is left."""
        if not self.context.is_large_fleet and scope.limit_left > AMPLE_LIMIT_LEFT:
            scope.quota_share = min(1.0, scope.quota_share + QUOTA_INCREASE)

    def decrease_share(self, scope: LimitScope) -> None:
        """Decreases our share after a rejection."""
        min_share = MIN_QUOTA_OF_EVEN_SHARE / self.context.fleet_size
        scope.quota_share = max(min_share, scope.quota_share * QUOTA_DECREASE_FACTOR)
