"""Sends each held message to the best endpoint that accepts a message now."""

from __future__ import annotations

from forwarder.decisions.actions import SendAttempt
from forwarder.decisions.availability import EndpointAvailability
from forwarder.decisions.call_tracker import CallTracker
from forwarder.decisions.concurrency_window import ConcurrencyLimits
from forwarder.decisions.context import RoundContext
from forwarder.decisions.expected_call import CallEstimates, expected_call_us
from forwarder.decisions.hold_reason import HoldReason
from forwarder.decisions.key_queues import KeyQueues
from forwarder.decisions.message_table import MessageTable
from forwarder.decisions.records import Call, Endpoint, Message
from forwarder.decisions.release_order import ReleaseOrder
from forwarder.decisions.retry_policy import RetryPolicy
from forwarder.decisions.settings import Effect
from forwarder.decisions.timer_queue import MIN_RECHECK_US, TimerQueue

MIN_TIMEOUT_CALLS = 6
"""Minimum timeout of an attempt, in expected call durations."""

MAX_TIMEOUT_CALLS = 10
"""Maximum timeout of an attempt, in expected call durations, however long its latency objective is."""

ONCE_TIMEOUT_OBJECTIVES = 2
"""Timeout of an attempt that must run at most once, in latency objectives: its timeout loses the message."""


class MessageRelease:
    """Releases held messages once per round."""

    def __init__(
        self,
        context: RoundContext,
        messages: MessageTable,
        key_queues: KeyQueues,
        timers: TimerQueue,
        retry_policy: RetryPolicy,
        estimates: CallEstimates,
        limits: ConcurrencyLimits,
        calls: CallTracker,
        availability: EndpointAvailability,
    ) -> None:
        self.context = context
        self.messages = messages
        self.key_queues = key_queues
        self.timers = timers
        self.retry_policy = retry_policy
        self.estimates = estimates
        self.limits = limits
        self.calls = calls
        self.availability = availability
        self.order = ReleaseOrder(context, messages, limits, calls, estimates)
        self.slots_exhausted = False
        """All slots were in use at the end of the last round: the next free slot may go to any destination."""

    def release_messages(self) -> None:
        """Sends all messages that may be sent, and updates the hold reasons and timers of the due destinations."""
        if self.limits.has_free_slot():
            self._send_messages()
        self.slots_exhausted = not self.limits.has_free_slot()
        for destination in sorted(self._due_destinations()):
            self._schedule(destination)

    def _due_destinations(self) -> set[int]:
        return self.context.due_destinations & self.messages.held.by_destination.keys()

    def _send_messages(self) -> None:
        destinations = self.messages.held.by_destination if self.slots_exhausted else self._due_destinations()
        exhausted: set[int] = set()  # destinations without capacity gain none during a round
        for message in self.order.iterate(destinations):
            if message.destination in exhausted:
                continue
            endpoints = [
                endpoint
                for endpoint in self.retry_policy.eligible_endpoints(message)
                if self.availability.hold_reason(message, endpoint) is None
            ]
            if endpoints:
                self._send_attempt(message, min(endpoints, key=lambda endpoint: self._preference(message, endpoint)))
            elif self.availability.destination_availability(message.destination)[1] is not None:
                exhausted.add(message.destination)

    def _preference(self, message: Message, endpoint: Endpoint) -> tuple[float, ...]:
        """Returns the sort key of an endpoint; the smallest key is the best.

        Preferred, in this order: not ejected, not the endpoint of the last failed attempt, with an unfilled call, with
        a low zone fee, with a low error rate, with few calls in flight.
        """
        zone_fee = self.context.settings.zone_fees.get(endpoint.zone, 0.0) if endpoint.separate_route else 0.0
        return (
            endpoint.ejected_at_us >= 0 and endpoint.recovering_since_us < 0,
            endpoint.id == message.avoid_endpoint,
            endpoint.id not in self.calls.unfilled_calls,
            zone_fee,
            endpoint.error_rate,
            endpoint.in_flight,
            self.context.random.random(),
        )

    def _send_attempt(self, message: Message, endpoint: Endpoint) -> None:
        call = self.calls.unfilled_calls.get(endpoint.id)
        if call is None or call.batch_size >= endpoint.max_batch:
            call = self.calls.unfilled_calls[endpoint.id] = self._start_call(message, endpoint)
        self.key_queues.start_attempt(message)
        self.calls.add_attempt(message, call, message.attempts)
        self.messages.stop_holding(message)
        self.context.actions.append(
            SendAttempt(
                message.id,
                endpoint.id,
                self._attempt_timeout_us(message, endpoint),
                self.retry_policy.send_before_us(message),
            )
        )

    def _start_call(self, message: Message, endpoint: Endpoint) -> Call:
        scope = endpoint.limit_scope
        message_class = message.message_class
        self.limits.reset_if_unused(scope, scope.learned_at_us)
        scope.expected_call_us = expected_call_us(scope, message_class, self.context.now_us)
        if self.context.is_large_fleet:
            return self.calls.start(endpoint, message_class.deadline_us / 2)
        return self.calls.start(endpoint, message_class.latency_objective_us)

    def _attempt_timeout_us(self, message: Message, endpoint: Endpoint) -> int:
        """Returns the timeout of an attempt: several expected call durations, but no later than the deadline."""
        message_class = message.message_class
        now_us = self.context.now_us
        objectives = ONCE_TIMEOUT_OBJECTIVES if message_class.effect is Effect.ONCE else 1
        objective_us = message_class.latency_objective_us * objectives
        expected_us = expected_call_us(endpoint.limit_scope, message_class, now_us)
        timeout_us = max(min(objective_us, MAX_TIMEOUT_CALLS * expected_us), MIN_TIMEOUT_CALLS * expected_us)
        return min(message.due_us - now_us, int(timeout_us))

    def _schedule(self, destination: int) -> None:
        """Sets when a destination is reconsidered, and what holds its messages until then."""
        available_at_us, reason = self.availability.destination_availability(destination)
        held = self.messages.held.by_destination[destination].values()
        for message in held:
            self.messages.hold_times.set_reason(message, self._hold_reason(message, reason), self.context.now_us)
        first_give_up_at_us = min(self.estimates.give_up_at_us(message) for message in held)
        self.timers.add(
            max(self.context.now_us + MIN_RECHECK_US, min(first_give_up_at_us, available_at_us)), destination
        )

    def _hold_reason(self, message: Message, destination_reason: HoldReason | None) -> HoldReason:
        """Returns what holds a message: its key, its destination, or the first of its endpoints that has a reason."""
        reason = self.key_queues.hold_reason(message) or destination_reason
        if reason is not None:
            return reason
        for endpoint in self.retry_policy.eligible_endpoints(message):
            endpoint_reason = self.availability.hold_reason(message, endpoint)
            if endpoint_reason is not None:
                return endpoint_reason
        return HoldReason.SLOTS
