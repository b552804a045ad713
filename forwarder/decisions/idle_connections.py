"""How long an idle connection can be relied on."""

from __future__ import annotations

from forwarder.decisions.actions import CloseIdleConnections
from forwarder.decisions.context import RoundContext
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.records import Call, Endpoint
from forwarder.decisions.settings import Settings
from forwarder.units import SECOND_US

MIN_TRUSTED_IDLE_US = 200_000
"""Connections that are idle for less are always trusted."""

MAX_TRUSTED_IDLE_US = 30 * SECOND_US
"""Connections that are idle for longer are never trusted."""

TRUSTED_IDLE_GROWTH_DIVISOR = 64
"""Each success lengthens the trusted time by this part of it."""

LOST_CONNECTION_OUTCOMES = (Outcome.RESET, Outcome.TIMED_OUT)
"""How a call on a connection ends that the other side has closed or lost."""


class IdleConnections:
    """Adapts the time after which idle connections are closed rather than used."""

    def __init__(self, context: RoundContext) -> None:
        self.context = context
        self.max_idle_us = 0
        self.trusted_us = 0
        """Idle connections are used for so long; 0 where none are kept."""

    def apply_settings(self, settings: Settings) -> None:
        """Uses the idle timeout of new settings as the upper bound."""
        self.max_idle_us = min(settings.idle_timeout_us, MAX_TRUSTED_IDLE_US)
        self.trusted_us = min(self.trusted_us, self.max_idle_us)

    def trust_longest(self) -> None:
        """Trusts connections for as long as the settings allow."""
        self.trusted_us = self.max_idle_us

    def restore(self, trusted_us: int) -> None:
        """Goes on with the time that was learned by the process before."""
        self.trusted_us = min(trusted_us, self.max_idle_us)

    def was_lost(self, call: Call, outcome: Outcome) -> bool:
        """Returns whether a call failed since its idle connection was lost; then trusts such connections for less."""
        is_lost = (
            MIN_TRUSTED_IDLE_US < call.connection_idle_us <= self.trusted_us and outcome in LOST_CONNECTION_OUTCOMES
        )
        if is_lost:
            self.trusted_us = call.connection_idle_us // 2
        return is_lost

    def call_succeeded(self, endpoint: Endpoint) -> None:
        """Trusts connections for longer after a success.

        The idle connections of a large fleet fill what an endpoint accepts: one that refused a single connection and
        goes on all the same had too many of them. One that refused several was down.
        """
        if endpoint.connect_failures == 1 and self.context.is_large_fleet:
            self.trusted_us = max(min(MIN_TRUSTED_IDLE_US, self.max_idle_us), self.trusted_us // 2)
        else:
            self.trusted_us = min(self.max_idle_us, self.trusted_us + self.trusted_us // TRUSTED_IDLE_GROWTH_DIVISOR)

    def close_untrusted(self, endpoint: Endpoint, idle_us: int) -> None:
        """Closes the idle connections to an endpoint if they were not used for too long."""
        if idle_us > self.trusted_us > 0:
            self.context.actions.append(CloseIdleConnections(endpoint.id))
