"""Records until when the Retry-After of each limit scope is in force."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from forwarder.endpoints.call import LimitScopeKey

MAX_SCOPES = 1000  # number of recorded scopes above which expired ones are dropped


class RetryAfterTable:
    """The end of the Retry-After that endpoints have sent, by limit scope.

    Args:
        clock: the forwarder's clock, in microseconds.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        self._clock = clock
        self._until_us: dict[LimitScopeKey, int] = {}

    def note(self, scope: LimitScopeKey, retry_after_us: int) -> None:
        """Records a Retry-After of a scope, which from now on also applies to calls that are not yet written.

        An earlier Retry-After that ends later stays in force.
        """
        now_us = self._clock()
        if len(self._until_us) > MAX_SCOPES:
            self._until_us = {key: end_us for key, end_us in self._until_us.items() if end_us > now_us}
        self._until_us[scope] = max(now_us + retry_after_us, self.until_us(scope))

    def until_us(self, scope: LimitScopeKey) -> int:
        """Returns the end of a scope's Retry-After; 0 if it has sent none."""
        return self._until_us.get(scope, 0)

    def entries(self) -> tuple[tuple[LimitScopeKey, int], ...]:
        """Returns each scope with the end of its Retry-After."""
        return tuple(self._until_us.items())

    def restore(self, entries: Iterable[tuple[tuple[int, int], int]]) -> None:
        """Replaces all entries by those that `entries` returned in the previous process."""
        self._until_us = {LimitScopeKey(*scope): until_us for scope, until_us in entries}
