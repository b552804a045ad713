"""Ends messages that cannot be delivered in time, and sheds load when too many messages are open."""

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
"""Share of the maximum number of open messages above which load is shed."""

SHEDDING_LOG_INTERVAL_US = 30 * SECOND_US
"""Minimum time between two log lines about load shedding."""

MIN_RETRY_AFTER_US = SECOND_US
"""Minimum Retry-After for the client of a rejected message."""

DEFAULT_RETRY_AFTER_US = SECOND_US
"""Retry-After for the client of a message without an endpoint."""


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

    def end_undeliverable_messages(self) -> None:
        """Ends messages of the due destinations that cannot be delivered in time or must not be attempted again."""
        by_destination = self.messages.held.by_destination
        for destination in sorted(self.context.due_destinations):
            for message in list(by_destination.get(destination, {}).values()):
                if self._is_undeliverable(message):
                    self._end_message(message)

    def _is_undeliverable(self, message: Message) -> bool:
        return (
            self.context.now_us >= self.estimates.give_up_at_us(message)
            or not self.retry_policy.may_attempt(message)
            or self._retry_after_outlasts(message)
        )

    def _retry_after_outlasts(self, message: Message) -> bool:
        """Returns whether every eligible endpoint has a Retry-After that ends too late for the message."""
        ends_us = [
            endpoint.limit_scope.retry_after_until_us for endpoint in self.retry_policy.eligible_endpoints(message)
        ]
        return bool(ends_us) and min(ends_us) > self.estimates.give_up_at_us(message)

    def shed_load(self) -> None:
        """Ends messages of the destination with the most held messages, if too many messages are open.

        This keeps capacity for the others if a single destination does not keep up. The messages that would be sent
        last are ended first. Messages that may have run are ended only after all others, and one message always stays.
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
        """Ends a message: rejects it if submitting it again cannot cause a second effect, otherwise fails it."""
        if self.retry_policy.is_safe_to_resubmit(message):
            self.context.actions.append(RejectMessage(message.id, self._retry_after_us(message), message.hold_reason))
        else:
            self.context.actions.append(FailMessage(message.id))
        if self.context.settings.notices_acknowledged:
            self.key_queues.await_notice(message)
        self.messages.remove(message)

    def _retry_after_us(self, message: Message) -> int:
        """Returns how long the client should wait: until the Retry-After and the backoff of an endpoint have ended."""
        settings = self.context.settings
        if not settings.retry_after_allowed:
            return 0
        now_us = self.context.now_us
        available_at_us = min(
            (
                max(endpoint.limit_scope.retry_after_until_us, endpoint.limit_scope.backoff_until_us)
                for endpoint in self.retry_policy.eligible_endpoints(message)
            ),
            default=now_us + DEFAULT_RETRY_AFTER_US,
        )
        return min(max(MIN_RETRY_AFTER_US, available_at_us - now_us), settings.max_retry_after_us)
