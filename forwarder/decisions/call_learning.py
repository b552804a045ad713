"""Updates the learned state of an endpoint and its limit scope from the outcome of a call."""

from __future__ import annotations

from forwarder.decisions.backoff import Backoff
from forwarder.decisions.concurrency_window import ConcurrencyLimits
from forwarder.decisions.context import RoundContext
from forwarder.decisions.events import AttemptEnded
from forwarder.decisions.expected_call import LEARNING_HALF_LIFE_US, expected_call_us, initial_call_us, observe_call
from forwarder.decisions.idle_connections import IdleConnections
from forwarder.decisions.outcomes import OVERLOAD_OUTCOMES, Outcome
from forwarder.decisions.quota_pacing import AMPLE_LIMIT_LEFT, QuotaPacing
from forwarder.decisions.records import Call, Endpoint, LimitScope, Message
from forwarder.decisions.slow_start import SlowStart

MIN_CALL_WEIGHT = 0.35
"""Smallest weight of the latest call in an endpoint's error rate."""

MAX_CALL_WEIGHT = 0.55
"""Weight of the latest call after a long time without calls. Such a call ejects the endpoint if it fails."""

REJECTION_WEIGHT = 0.15
"""Weight of a rejection that no limit explains. Five in a row eject an endpoint."""


class CallLearning:
    """Adapts window, quota, backoff, expected call duration and error rate to the outcomes of calls."""

    def __init__(
        self,
        context: RoundContext,
        limits: ConcurrencyLimits,
        pacing: QuotaPacing,
        backoff: Backoff,
        slow_start: SlowStart,
        idle_connections: IdleConnections,
    ) -> None:
        self.context = context
        self.limits = limits
        self.pacing = pacing
        self.backoff = backoff
        self.slow_start = slow_start
        self.idle_connections = idle_connections

    def learn_from_message_call(self, call: Call, message: Message, event: AttemptEnded) -> None:
        """Learns from the duration and the outcome of a call that carried messages.

        Ignores timeouts of attempts that had little time, and lost idle connections: neither reflects the state of
        the endpoint.
        """
        scope = call.endpoint.limit_scope
        message_class = message.message_class
        if event.outcome is Outcome.TIMED_OUT and event.duration_us < message_class.latency_objective_us:
            return
        if self.idle_connections.was_lost(call, event.outcome):
            return
        scope.expected_call_us = expected_call_us(scope, message_class, self.context.now_us)
        scope.learned_at_us = self.context.now_us
        scope.initial_call_us = initial_call_us(message_class)
        if event.outcome in (Outcome.DELIVERED, Outcome.TIMED_OUT):
            observe_call(scope, event.duration_us)
        self.learn_from_call(call, event.outcome, event.retry_after_us)

    def learn_from_call(self, call: Call, outcome: Outcome, retry_after_us: int) -> None:
        """Updates window, quota, backoff and error rate, and ejects the endpoint or starts its recovery."""
        endpoint = call.endpoint
        scope = endpoint.limit_scope
        is_overload = call.sent_at_us > scope.window_cut_at_us and outcome in OVERLOAD_OUTCOMES
        if outcome is Outcome.DELIVERED:
            self._learn_from_success(endpoint)
        if is_overload:
            self.limits.halve(scope)
        if outcome is Outcome.REJECTED:
            self._learn_from_rejection(scope, is_overload, retry_after_us)
            if self.context.is_large_fleet and self._is_limit_exhausted(scope, retry_after_us):
                return  # in a large fleet, some forwarders hit an exhausted limit five times in a row
        self._update_error_rate(endpoint, outcome, call.since_previous_us)
        self.slow_start.update(endpoint, outcome)

    def _learn_from_success(self, endpoint: Endpoint) -> None:
        scope = endpoint.limit_scope
        self.idle_connections.call_succeeded(endpoint)
        self.limits.grow(scope)
        self.backoff.reset(scope)
        self.pacing.increase_share(scope)

    def _learn_from_rejection(self, scope: LimitScope, is_overload: bool, retry_after_us: int) -> None:
        if is_overload:
            self.pacing.decrease_share(scope)
            self.backoff.lengthen(scope)
        if not retry_after_us:
            self.backoff.start(scope)

    def _is_limit_exhausted(self, scope: LimitScope, retry_after_us: int) -> bool:
        return retry_after_us > 0 or (scope.limit_per_s > 0 and scope.limit_left <= AMPLE_LIMIT_LEFT)

    def _update_error_rate(self, endpoint: Endpoint, outcome: Outcome, since_previous_us: int) -> None:
        if outcome is Outcome.NO_CONNECTION:
            endpoint.connect_failures += 1
        else:
            endpoint.connect_failures = 0
        if outcome is Outcome.REJECTED:
            weight = REJECTION_WEIGHT
        else:
            weight = max(MIN_CALL_WEIGHT, min(MAX_CALL_WEIGHT, 1 - 0.5 ** (since_previous_us / LEARNING_HALF_LIFE_US)))
        endpoint.error_rate += weight * ((outcome is not Outcome.DELIVERED) - endpoint.error_rate)
