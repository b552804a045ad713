"""Applies Retry-After, and an exponential backoff to rejections without one."""

from __future__ import annotations

from forwarder.decisions.context import MAX_SMALL_FLEET, RoundContext
from forwarder.decisions.records import LimitScope

MIN_BACKOFF_US = 150_000
"""Shortest backoff before jitter, multiplied by the size of the fleet in whole multiples of MAX_SMALL_FLEET."""

MAX_BACKOFF_US = 1_500_000
"""Longest backoff, multiplied in the same way. Limited so that it does not prolong an outage by much."""

BACKOFF_FACTOR = 4
"""Multiplies the backoff on each further rejection."""

BACKOFF_JITTER_RANGE = (0.5, 1.5)
"""Range of the random factor applied to a backoff."""


class Backoff:
    """Delays calls to limit scopes that rejected a call."""

    def __init__(self, context: RoundContext) -> None:
        self.context = context

    def apply_retry_after(self, scope: LimitScope, retry_after_us: int) -> None:
        """Applies a Retry-After; 0 means that none was given.

        A Retry-After ends for all forwarders at the same time, so in a large fleet each forwarder adds a random
        backoff. If the endpoint reports no limit, only this backoff spreads their calls.
        """
        context = self.context
        ends_at_us = context.now_us + retry_after_us
        scope.retry_after_until_us = max(scope.retry_after_until_us, ends_at_us)
        if retry_after_us and context.is_large_fleet:
            spread_us = max(retry_after_us, 0 if scope.limit_per_s else scope.backoff_us)
            scope.backoff_until_us = scope.retry_after_until_us + int(context.random.random() * spread_us)

    def reset(self, scope: LimitScope) -> None:
        """Resets the backoff after a success, so that the next one is the shortest."""
        scope.backoff_us = 0

    def lengthen(self, scope: LimitScope) -> None:
        """Lengthens the backoff after a rejection.

        The bounds grow with the fleet, because each retry competes with those of all other forwarders.
        """
        fleet_factor = max(1, self.context.settings.forwarders // MAX_SMALL_FLEET)
        scope.backoff_us = min(
            fleet_factor * MAX_BACKOFF_US, max(fleet_factor * MIN_BACKOFF_US, BACKOFF_FACTOR * scope.backoff_us)
        )

    def start(self, scope: LimitScope) -> None:
        """Starts a backoff with jitter."""
        duration_us = int(scope.backoff_us * self.context.random.uniform(*BACKOFF_JITTER_RANGE))
        scope.backoff_until_us = max(scope.backoff_until_us, self.context.now_us + duration_us)
