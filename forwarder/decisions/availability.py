"""When an endpoint accepts another call, and what holds messages until then."""

from __future__ import annotations

from forwarder.decisions.call_tracker import CallTracker
from forwarder.decisions.concurrency_window import ConcurrencyLimits
from forwarder.decisions.context import RoundContext
from forwarder.decisions.endpoint_table import EndpointTable
from forwarder.decisions.hold_reason import HoldReason
from forwarder.decisions.key_queues import KeyQueues
from forwarder.decisions.records import Endpoint, Message
from forwarder.decisions.retry_policy import RetryPolicy
from forwarder.decisions.settings import Effect
from forwarder.decisions.slow_start import UNSAFE_RETRY_ERROR_RATE, SlowStart
from forwarder.units import NEVER_US

LOCAL_FAILURE_BACKOFF_US = 50_000
"""How long nothing is sent after an attempt that this machine could not send: the next one would fail too."""


class EndpointAvailability:
    """The check that every attempt has to pass.

    The parts of the check that do not depend on the message return a pair: the time from which a call is accepted, or
    NEVER_US if it depends on a future event, and the hold reason until then, or None if a call is accepted now.
    """

    def __init__(
        self,
        context: RoundContext,
        endpoint_table: EndpointTable,
        limits: ConcurrencyLimits,
        slow_start: SlowStart,
        calls: CallTracker,
        key_queues: KeyQueues,
        retry_policy: RetryPolicy,
    ) -> None:
        self.context = context
        self.endpoint_table = endpoint_table
        self.limits = limits
        self.slow_start = slow_start
        self.calls = calls
        self.key_queues = key_queues
        self.retry_policy = retry_policy
        self.list_awaited_until_us = context.now_us
        """End of the wait for a current endpoint list; the saved list is not used for sending before it."""
        self.peers_queried_until_us = context.now_us
        """End of the wait for the observations of other forwarders; nothing is sent before it."""
        self.local_backoff_until_us = context.now_us

    def start_local_backoff(self) -> None:
        """Backs off from all endpoints after an attempt that this machine could not send."""
        self.local_backoff_until_us = self.context.now_us + LOCAL_FAILURE_BACKOFF_US

    def hold_reason(self, message: Message, endpoint: Endpoint) -> HoldReason | None:
        """Returns what holds a message back from an endpoint; None if an attempt may be sent now."""
        key_reason = self.key_queues.hold_reason(message)
        if key_reason is not None:
            return key_reason
        if not self.retry_policy.may_attempt(message) or self._is_unsafe(message, endpoint):
            return HoldReason.UNSAFE_RETRY
        return self.endpoint_availability(endpoint)[1]

    def _is_unsafe(self, message: Message, endpoint: Endpoint) -> bool:
        """Returns whether an at-most-once message should avoid a failing endpoint, in the first half of its time."""
        return (
            endpoint.error_rate > UNSAFE_RETRY_ERROR_RATE
            and message.message_class.effect is Effect.ONCE
            and message.due_us - self.context.now_us >= message.message_class.deadline_us / 2
        )

    def destination_availability(self, destination: int) -> tuple[int, HoldReason | None]:
        """Returns when the first endpoint of a destination accepts a message, and what holds messages until then."""
        available_at_us = NEVER_US
        reason: HoldReason | None = None
        for endpoint in self.endpoint_table.by_destination.get(destination, []):
            endpoint_available_at_us, endpoint_reason = self.endpoint_availability(endpoint)
            if endpoint_available_at_us < available_at_us or (available_at_us == NEVER_US and reason is None):
                available_at_us, reason = endpoint_available_at_us, endpoint_reason
        if reason is None and available_at_us == NEVER_US:
            reason = self.endpoint_table.unavailable_reason(destination)
        return available_at_us, reason

    def endpoint_availability(self, endpoint: Endpoint) -> tuple[int, HoldReason | None]:
        """Returns when an endpoint accepts a message, in a new or an unfilled call, and what holds it until then."""
        now_us = self.context.now_us
        startup_wait_until_us = max(self.peers_queried_until_us, self.list_awaited_until_us)
        if now_us < startup_wait_until_us:
            return startup_wait_until_us, HoldReason.STARTING
        if now_us < self.local_backoff_until_us:
            return self.local_backoff_until_us, HoldReason.LOCAL_FAILURE
        call = self.calls.unfilled_calls.get(endpoint.id)
        if call is None or call.batch_size >= endpoint.max_batch:
            capacity_reason = self.limits.hold_reason(endpoint)
            if capacity_reason is not None:
                return NEVER_US, capacity_reason
        elif endpoint.recovering_since_us >= 0 or not self.slow_start.is_active(endpoint):
            return now_us, None
        return self.pacing_availability(endpoint)

    def pacing_availability(self, endpoint: Endpoint) -> tuple[int, HoldReason | None]:
        """Returns when Retry-After, backoff, quota and slow start allow a call, and which of them ends last."""
        scope = endpoint.limit_scope
        available_at_us = scope.retry_after_until_us
        reason = HoldReason.RETRY_AFTER
        if scope.backoff_until_us > available_at_us:
            available_at_us = scope.backoff_until_us
            reason = HoldReason.BACKOFF
        if scope.next_call_at_us > available_at_us:
            available_at_us = scope.next_call_at_us
            reason = HoldReason.QUOTA_PACE
        if self.slow_start.is_active(endpoint):
            next_slot_at_us = self.slow_start.next_slot_us(endpoint)
            if next_slot_at_us > available_at_us:
                available_at_us = next_slot_at_us
                reason = HoldReason.EJECTED if endpoint.recovering_since_us < 0 else HoldReason.SLOW_START
        return available_at_us, reason if available_at_us > self.context.now_us else None
