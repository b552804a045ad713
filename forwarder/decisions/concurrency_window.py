"""Limits the calls in flight by the slots of all destinations and the window of each limit scope."""

from __future__ import annotations

from forwarder.decisions.context import RoundContext
from forwarder.decisions.endpoint_table import EndpointTable
from forwarder.decisions.hold_reason import HoldReason
from forwarder.decisions.records import Endpoint, LimitScope
from forwarder.decisions.slow_start import SlowStart
from forwarder.units import SECOND_US

MAX_DESTINATION_SLOT_SHARE = 0.75
"""Share of the slots that one destination may use."""

MAX_DEGRADED_SLOT_SHARE = 0.5
"""Share of the slots that a destination may use while it is failing or slow."""

SLOW_CALL_FACTOR = 4
"""An expected call above this many times its initial value counts as slow."""

FORGET_WINDOW_US = 30 * SECOND_US
"""Time without calls after which a window is reset."""


class ConcurrencyLimits:
    """Limits all calls to the slots, and the calls of each limit scope to a window.

    A success increases the window by one, and overload halves it.
    """

    def __init__(self, context: RoundContext, endpoint_table: EndpointTable, slow_start: SlowStart) -> None:
        self.context = context
        self.endpoint_table = endpoint_table
        self.slow_start = slow_start
        self.calls_in_flight = 0

    def has_free_slot(self) -> bool:
        """Returns whether the slots of all destinations allow one more call."""
        return self.calls_in_flight < self.context.settings.slots

    def hold_reason(self, endpoint: Endpoint) -> HoldReason | None:
        """Returns which limit on calls in flight an endpoint has reached; None if there is capacity for one more.

        Streams that fill the window do not block messages: one call with messages is allowed in addition to them.
        """
        slots = self.context.settings.slots
        in_flight = 0
        for other in self.endpoint_table.by_destination[endpoint.destination]:
            in_flight += other.in_flight
        if self.calls_in_flight >= slots or in_flight >= max(1, int(MAX_DESTINATION_SLOT_SHARE * slots)):
            return HoldReason.SLOTS
        scope = endpoint.limit_scope
        window = max(scope.concurrency_window, scope.streams_in_flight + 1)
        cap = self.cap(scope)
        if scope.in_flight < int(min(window, cap)):
            return None
        return HoldReason.DEGRADED_CAP if cap < window else HoldReason.CONCURRENCY_WINDOW

    def cap(self, scope: LimitScope) -> float:
        """Returns the largest window of a scope, at least 1."""
        is_degraded = scope.expected_call_us > SLOW_CALL_FACTOR * scope.initial_call_us > 0 or any(
            endpoint.limit_scope is scope and self.slow_start.is_active(endpoint)
            for endpoint in self.endpoint_table.by_destination.get(scope.destination, [])
        )
        share = MAX_DEGRADED_SLOT_SHARE if is_degraded else MAX_DESTINATION_SLOT_SHARE
        return max(1.0, share * self.context.settings.slots)

    def grow(self, scope: LimitScope) -> None:
        """Increases the window after a success."""
        scope.concurrency_window = min(scope.concurrency_window + 1, self.cap(scope))

    def halve(self, scope: LimitScope) -> None:
        """Halves the window after a sign of overload."""
        scope.concurrency_window = max(1.0, scope.concurrency_window / 2)
        scope.window_cut_at_us = self.context.now_us

    def reset_if_unused(self, scope: LimitScope, used_at_us: int) -> None:
        """Resets the window if the scope has not been used for FORGET_WINDOW_US."""
        if self.context.now_us - used_at_us > FORGET_WINDOW_US:
            scope.concurrency_window = 1.0
