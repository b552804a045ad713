"""Until when rate-limit scopes have asked to be left alone."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from forwarder.endpoints.call import LimitScopeKey

MAX_SCOPES = 1000  # remembered before those whose time has passed are dropped


class RetryAfterTable:
    """The ends of all Retry-After times that endpoints have asked for, by rate-limit scope.

    Args:
        clock: the forwarder's clock, in microseconds.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        self._clock = clock
        self._until_us: dict[LimitScopeKey, int] = {}

    def note(self, scope: LimitScopeKey, retry_after_us: int) -> None:
        """Records that a scope is to be left alone from now on, also by calls that are not written yet.

        An earlier request to wait for longer stays in force.
        """
        now_us = self._clock()
        if len(self._until_us) > MAX_SCOPES:
            self._until_us = {known: end_us for known, end_us in self._until_us.items() if end_us > now_us}
        self._until_us[scope] = max(now_us + retry_after_us, self.until_us(scope))

    def until_us(self, scope: LimitScopeKey) -> int:
        """Returns until when a scope is to be left alone; 0 where it never asked for that."""
        return self._until_us.get(scope, 0)

    def entries(self) -> tuple[tuple[LimitScopeKey, int], ...]:
        """Returns each scope with the time until which it is to be left alone."""
        return tuple(self._until_us.items())

    def restore(self, entries: Iterable[tuple[tuple[int, int], int]]) -> None:
        """Replaces all entries by those of the process before, as `entries` returned them."""
        self._until_us = {LimitScopeKey(*scope): until_us for scope, until_us in entries}
