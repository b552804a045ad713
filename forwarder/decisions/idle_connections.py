"""Learns how long an idle connection can be trusted."""

from __future__ import annotations

from forwarder.decisions.actions import CloseIdleConnections
from forwarder.decisions.context import RoundContext
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.records import Call, Endpoint
from forwarder.decisions.settings import Settings
from forwarder.units import SECOND_US

MIN_TRUSTED_IDLE_US = 200_000
"""Connections with a shorter idle time are always trusted."""

MAX_TRUSTED_IDLE_US = 30 * SECOND_US
"""Connections with a longer idle time are never trusted."""

TRUSTED_IDLE_GROWTH_DIVISOR = 64
"""A success lengthens the trusted idle time by one part in this many."""

LOST_CONNECTION_OUTCOMES = (Outcome.RESET, Outcome.TIMED_OUT)
"""Outcomes of a call on a connection that the endpoint has closed or lost."""


class IdleConnections:
    """Adapts the idle time after which connections are closed instead of reused."""

    def __init__(self, context: RoundContext) -> None:
        self.context = context
        self.max_idle_us = 0
        self.trusted_us = 0
        """Longest idle time at which a connection is reused; 0 if no idle connections are kept."""

    def apply_settings(self, settings: Settings) -> None:
        """Applies the idle timeout of new settings as the upper bound."""
        self.max_idle_us = min(settings.idle_timeout_us, MAX_TRUSTED_IDLE_US)
        self.trusted_us = min(self.trusted_us, self.max_idle_us)

    def trust_longest(self) -> None:
        """Sets the trusted idle time to the upper bound."""
        self.trusted_us = self.max_idle_us

    def restore(self, trusted_us: int) -> None:
        """Restores the trusted idle time that the previous process learned."""
        self.trusted_us = min(trusted_us, self.max_idle_us)

    def was_lost(self, call: Call, outcome: Outcome) -> bool:
        """Returns whether a call failed because its idle connection was lost; if so, shortens the trusted idle time."""
        is_lost = (
            MIN_TRUSTED_IDLE_US < call.connection_idle_us <= self.trusted_us and outcome in LOST_CONNECTION_OUTCOMES
        )
        if is_lost:
            self.trusted_us = call.connection_idle_us // 2
        return is_lost

    def call_succeeded(self, endpoint: Endpoint) -> None:
        """Lengthens the trusted idle time after a success.

        The idle connections of a large fleet can reach the connection limit of an endpoint. An endpoint that refused a
        single connection and then serves a call had too many connections, so the trusted idle time is halved. An
        endpoint that refused several was down.
        """
        if endpoint.connect_failures == 1 and self.context.is_large_fleet:
            self.trusted_us = max(min(MIN_TRUSTED_IDLE_US, self.max_idle_us), self.trusted_us // 2)
        else:
            self.trusted_us = min(self.max_idle_us, self.trusted_us + self.trusted_us // TRUSTED_IDLE_GROWTH_DIVISOR)

    def close_untrusted(self, endpoint: Endpoint, idle_us: int) -> None:
        """Closes the connections to an endpoint if their idle time exceeds the trusted one."""
        if idle_us > self.trusted_us > 0:
            self.context.actions.append(CloseIdleConnections(endpoint.id))
