"""Retry-After, and the exponential backoff after rejections that come without it."""

from __future__ import annotations

from forwarder.decisions.context import MAX_SMALL_FLEET, RoundContext
from forwarder.decisions.records import LimitScope

MIN_BACKOFF_US = 150_000
"""First backoff, for each MAX_SMALL_FLEET forwarders."""

MAX_BACKOFF_US = 1_500_000
"""Longest backoff, for each MAX_SMALL_FLEET forwarders: an outage should not last much longer because of it."""

BACKOFF_FACTOR = 4
"""By which each further rejection lengthens the backoff."""

BACKOFF_JITTER_RANGE = (0.5, 1.5)
"""Factors by which a backoff is varied."""


class Backoff:
    """Keeps calls away from scopes that rejected one."""

    def __init__(self, context: RoundContext) -> None:
        self.context = context

    def apply_retry_after(self, scope: LimitScope, retry_after_us: int) -> None:
        """Follows a Retry-After; 0 is none.

        It ends for all forwarders at once, so in a large fleet each adds a random backoff. Where no limit is reported,
        only the backoff spreads their calls.
        """
        context = self.context
        ends_at_us = context.now_us + retry_after_us
        scope.retry_after_until_us = max(scope.retry_after_until_us, ends_at_us)
        if retry_after_us and context.is_large_fleet:
            spread_us = max(retry_after_us, 0 if scope.limit_per_s else scope.backoff_us)
            scope.backoff_until_us = scope.retry_after_until_us + int(context.random.random() * spread_us)

    def reset(self, scope: LimitScope) -> None:
        """Begins with the shortest backoff again, after a success."""
        scope.backoff_us = 0

    def lengthen(self, scope: LimitScope) -> None:
        """Lengthens the backoff after a rejection, in proportion to the fleet: each retry meets all others' retries."""
        fleet_factor = max(1, self.context.settings.forwarders // MAX_SMALL_FLEET)
        scope.backoff_us = min(
            fleet_factor * MAX_BACKOFF_US, max(fleet_factor * MIN_BACKOFF_US, BACKOFF_FACTOR * scope.backoff_us)
        )

    def start(self, scope: LimitScope) -> None:
        """Starts a backoff with jitter."""
        duration_us = int(scope.backoff_us * self.context.random.uniform(*BACKOFF_JITTER_RANGE))
        scope.backoff_until_us = max(scope.backoff_until_us, self.context.now_us + duration_us)
