"""When an endpoint takes one more call, and what holds messages until then."""

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
"""Nothing is sent for so long after an attempt that this machine could not make: the next would fail alike."""


class EndpointAvailability:
    """The check that every attempt passes.

    The parts that are the same for all messages are answered with a time: when the endpoint takes a call, which is
    NEVER_US where only an event can tell, and the hold reason until then, which is None if it takes one now.
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
        """A current endpoint list is awaited; by the saved one nothing is sent until then."""
        self.peers_queried_until_us = context.now_us
        """Other forwarders were asked for what they have observed; nothing is sent until then."""
        self.local_backoff_until_us = context.now_us

    def local_attempt_failed(self) -> None:
        """Backs off from all endpoints after an attempt that this machine could not make."""
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
        """Returns whether a message that must run at most once should wait, in its first half, for the endpoint."""
        return (
            endpoint.error_rate > UNSAFE_RETRY_ERROR_RATE
            and message.message_class.effect is Effect.ONCE
            and message.due_us - self.context.now_us >= message.message_class.deadline_us / 2
        )

    def destination_availability(self, destination: int) -> tuple[int, HoldReason | None]:
        """Returns when the first endpoint of a destination takes a call, and what holds messages until then."""
        opens_at_us = NEVER_US
        reason: HoldReason | None = None
        for endpoint in self.endpoint_table.by_destination.get(destination, []):
            endpoint_opens_at_us, endpoint_reason = self.endpoint_availability(endpoint)
            if endpoint_opens_at_us < opens_at_us or (opens_at_us == NEVER_US and reason is None):
                opens_at_us, reason = endpoint_opens_at_us, endpoint_reason
        if reason is None and opens_at_us == NEVER_US:
            reason = self.endpoint_table.missing_reason(destination)
        return opens_at_us, reason

    def endpoint_availability(self, endpoint: Endpoint) -> tuple[int, HoldReason | None]:
        """Returns when an endpoint takes a message, in a new call or in one that is forming, and why not before."""
        now_us = self.context.now_us
        unknown_until_us = max(self.peers_queried_until_us, self.list_awaited_until_us)
        if now_us < unknown_until_us:
            return unknown_until_us, HoldReason.STARTING
        if now_us < self.local_backoff_until_us:
            return self.local_backoff_until_us, HoldReason.LOCAL_FAILURE
        call = self.calls.forming.get(endpoint.id)
        if call is None or call.batch_size >= endpoint.max_batch:
            capacity_reason = self.limits.hold_reason(endpoint)
            if capacity_reason is not None:
                return NEVER_US, capacity_reason
        elif endpoint.recovering_since_us >= 0 or not self.slow_start.is_active(endpoint):
            return now_us, None
        return self.pacing_availability(endpoint)

    def pacing_availability(self, endpoint: Endpoint) -> tuple[int, HoldReason | None]:
        """Returns when Retry-After, backoff, quota and slow start allow a call, and the last of them to do so."""
        scope = endpoint.limit_scope
        opens_at_us = scope.retry_after_until_us
        reason = HoldReason.RETRY_AFTER
        if scope.backoff_until_us > opens_at_us:
            opens_at_us = scope.backoff_until_us
            reason = HoldReason.BACKOFF
        if scope.next_call_at_us > opens_at_us:
            opens_at_us = scope.next_call_at_us
            reason = HoldReason.QUOTA_PACE
        if self.slow_start.is_active(endpoint):
            slot_us = self.slow_start.next_slot_us(endpoint)
            if slot_us > opens_at_us:
                opens_at_us = slot_us
                reason = HoldReason.EJECTED if endpoint.recovering_since_us < 0 else HoldReason.SLOW_START
        return opens_at_us, reason if opens_at_us > self.context.now_us else None
