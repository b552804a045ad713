"""Ends messages without a delivery: those that cannot be delivered in time, and some when too many are open."""

from __future__ import annotations

from forwarder.decisions.actions import FailMessage, LogLine, RejectMessage
from forwarder.decisions.context import RoundContext
from forwarder.decisions.expected_call import CallEstimates
from forwarder.decisions.key_queues import KeyQueues
from forwarder.decisions.message_table import MessageTable
from forwarder.decisions.records import Message
from forwarder.decisions.retry_policy import RetryPolicy
from forwarder.units import SECOND_US

SHEDDING_SHARE = 0.85
"""Share of the allowed open messages above which load is shed."""

SHEDDING_LOG_INTERVAL_US = 30 * SECOND_US
"""Time between two log lines on load shedding."""

MIN_RETRY_AFTER_US = SECOND_US
"""A client of a rejected message is asked to stay away for this long at least."""

DEFAULT_RETRY_AFTER_US = SECOND_US
"""The Retry-After where the message has no endpoint."""


class LoadShedder:
    """Rejects or fails held messages."""

    def __init__(
        self,
        context: RoundContext,
        messages: MessageTable,
        key_queues: KeyQueues,
        retry_policy: RetryPolicy,
        estimates: CallEstimates,
    ) -> None:
        self.context = context
        self.messages = messages
        self.key_queues = key_queues
        self.retry_policy = retry_policy
        self.estimates = estimates
        self.logged_at_us = context.now_us - SHEDDING_LOG_INTERVAL_US

    def end_hopeless_messages(self) -> None:
        """Ends messages of the due destinations that will not be delivered in time or may not be attempted again."""
        by_destination = self.messages.held.by_destination
        for destination in sorted(self.context.due_destinations):
            for message in list(by_destination.get(destination, {}).values()):
                if self._is_hopeless(message):
                    self._end_message(message)

    def _is_hopeless(self, message: Message) -> bool:
        return (
            self.context.now_us >= self.estimates.give_up_at_us(message)
            or not self.retry_policy.may_attempt(message)
            or self._retry_after_outlasts(message)
        )

    def _retry_after_outlasts(self, message: Message) -> bool:
        """Returns whether every endpoint of the message has a Retry-After that ends too late for it."""
        ends_us = [
            endpoint.limit_scope.retry_after_until_us for endpoint in self.retry_policy.eligible_endpoints(message)
        ]
        return bool(ends_us) and min(ends_us) > self.estimates.give_up_at_us(message)

    def shed_load(self) -> None:
        """Ends messages of the destination with the most held ones, if too many messages are open.

        So a single destination that does not keep up leaves capacity to the others. Of its messages those leave that
        would be sent last; ones that may have run stay as long as others can leave, and one always stays.
        """
        by_destination = self.messages.held.by_destination
        surplus = len(self.messages.by_id) - SHEDDING_SHARE * self.context.settings.max_open_messages
        if surplus <= 0 or not by_destination:
            return
        largest = max(by_destination, key=lambda destination: (len(by_destination[destination]), destination))
        candidates = sorted(
            by_destination[largest].values(),
            key=lambda message: (
                message.maybe_ran_at_us < 0,
                message.over_quota,
                message.due_us,
                message.sequence_number,
            ),
        )
        if self.context.now_us - self.logged_at_us >= SHEDDING_LOG_INTERVAL_US:
            self.logged_at_us = self.context.now_us
            self.context.actions.append(LogLine(f"buffer nearly full: destination {largest} gives up its last"))
        for message in candidates[1:][-max(1, int(surplus)) :]:
            self._end_message(message)

    def _end_message(self, message: Message) -> None:
        """Gives a message its final answer: a rejection where submitting it again does no harm, else a failure."""
        if self.retry_policy.is_safe_to_resubmit(message):
            self.context.actions.append(RejectMessage(message.id, self._retry_after_us(message), message.hold_reason))
        else:
            self.context.actions.append(FailMessage(message.id))
        if self.context.settings.notices_acknowledged:
            self.key_queues.await_notice(message)
        self.messages.remove(message)

    def _retry_after_us(self, message: Message) -> int:
        """Returns how long the client should stay away: until an endpoint's Retry-After and backoff are over."""
        settings = self.context.settings
        if not settings.retry_after_allowed:
            return 0
        now_us = self.context.now_us
        opens_at_us = min(
            (
                max(endpoint.limit_scope.retry_after_until_us, endpoint.limit_scope.backoff_until_us)
                for endpoint in self.retry_policy.eligible_endpoints(message)
            ),
            default=now_us + DEFAULT_RETRY_AFTER_US,
        )
        return min(max(MIN_RETRY_AFTER_US, opens_at_us - now_us), settings.max_retry_after_us)
