"""Tracks the calls and attempts in flight."""

from __future__ import annotations

from forwarder.decisions.concurrency_window import ConcurrencyLimits
from forwarder.decisions.context import RoundContext
from forwarder.decisions.idle_connections import IdleConnections
from forwarder.decisions.quota_pacing import QuotaPacing
from forwarder.decisions.records import Attempt, Call, Endpoint, Message
from forwarder.decisions.slow_start import SlowStart


class CallTracker:
    """Starts and ends calls, and counts them for their endpoint, their limit scope and the slots."""

    def __init__(
        self,
        context: RoundContext,
        limits: ConcurrencyLimits,
        pacing: QuotaPacing,
        slow_start: SlowStart,
        idle_connections: IdleConnections,
    ) -> None:
        self.context = context
        self.limits = limits
        self.pacing = pacing
        self.slow_start = slow_start
        self.idle_connections = idle_connections
        self.attempts: dict[tuple[str, int], Attempt] = {}
        """The attempts in flight, by message id and attempt number."""
        self.unfilled_calls: dict[int, Call] = {}
        """The newest call of this round, by endpoint; messages may join it up to the endpoint's maximum batch."""
        self.ended: list[Call] = []
        """The calls that ended in this round."""

    def begin_round(self) -> None:
        """Clears the unfilled and ended calls of the previous round."""
        self.unfilled_calls = {}
        self.ended = []

    def has_unfilled_call(self) -> bool:
        """Returns whether a call of this round has capacity for another message."""
        return any(call.batch_size < call.endpoint.max_batch for call in self.unfilled_calls.values())

    def start(self, endpoint: Endpoint, max_interval_us: float) -> Call:
        """Starts a call for messages or a stream.

        Args:
            endpoint: The endpoint that is called.
            max_interval_us: Maximum time by which quota pacing delays the next call to the limit scope.
        """
        now_us = self.context.now_us
        idle_us = 0 if endpoint.in_flight or endpoint.idle_since_us < 0 else now_us - endpoint.idle_since_us
        self.idle_connections.close_untrusted(endpoint, idle_us)
        call = Call(endpoint, now_us, idle_us, now_us - endpoint.last_call_at_us)
        endpoint.slow_start_jitter = self.slow_start.new_jitter()
        self._count(endpoint, 1)
        self.pacing.reserve_call(endpoint.limit_scope, max_interval_us)
        endpoint.last_call_at_us = now_us
        return call

    def add_attempt(self, message: Message, call: Call, number: int) -> None:
        """Records an attempt that a call carries, under its number among the attempts of the message."""
        call.batch_size += 1
        call.open_messages += 1
        self.attempts[(message.id, number)] = Attempt(message, call)
        message.attempts = max(message.attempts, number + 1)
        message.in_flight += 1

    def end_message(self, call: Call) -> None:
        """Records that one message of a call has its outcome; the last one ends the call."""
        call.open_messages -= 1
        if call.open_messages:
            self.context.due_destinations.add(call.endpoint.destination)
        else:
            call.endpoint.idle_since_us = self.context.now_us
            self.end(call)

    def end(self, call: Call) -> None:
        """Ends a call of messages or a stream, and frees its slot."""
        self._count(call.endpoint, -1)
        self.ended.append(call)
        self.context.due_destinations.add(call.endpoint.destination)

    def resume(self, call: Call) -> None:
        """Counts a call that the previous process started."""
        self._count(call.endpoint, 1)

    def close_idle_connections(self) -> None:
        """Closes the connections that calls of this round left idle, if their endpoints are called too rarely."""
        for call in self.ended:
            if not call.endpoint.in_flight:
                self.idle_connections.close_untrusted(call.endpoint, call.since_previous_us)

    def _count(self, endpoint: Endpoint, change: int) -> None:
        self.limits.calls_in_flight += change
        endpoint.in_flight += change
        endpoint.limit_scope.in_flight += change
