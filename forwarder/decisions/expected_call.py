"""Estimates the duration of calls, and the latest time at which a message can still be sent."""

from __future__ import annotations

from forwarder.decisions.context import RoundContext
from forwarder.decisions.records import LimitScope, Message
from forwarder.decisions.retry_policy import RetryPolicy
from forwarder.decisions.settings import MessageClass
from forwarder.decisions.timer_queue import MIN_RECHECK_US
from forwarder.units import SECOND_US

OBJECTIVE_PER_INITIAL_CALL = 10
"""Until a call is observed, the expected duration is the latency objective of the class divided by this."""

CALL_DURATION_WEIGHT = 0.2
"""Weight of the latest call in the moving average, which thus covers about the last ten calls."""

LEARNING_HALF_LIFE_US = 2 * SECOND_US
"""Half-life of the learned state of a limit scope or an endpoint that receives no calls."""


def initial_call_us(message_class: MessageClass) -> float:
    """Returns the expected duration in microseconds before any call is observed."""
    return message_class.latency_objective_us / OBJECTIVE_PER_INITIAL_CALL


def expected_call_us(scope: LimitScope, message_class: MessageClass, now_us: int) -> float:
    """Returns the expected duration of a call in microseconds.

    This is a moving average that decays towards the initial value while no call is in flight.
    """
    if scope.learned_at_us >= 0 and scope.in_flight:
        return scope.expected_call_us
    initial_us = message_class.latency_objective_us / OBJECTIVE_PER_INITIAL_CALL
    if scope.learned_at_us < 0:
        return initial_us
    decay: float = 0.5 ** ((now_us - scope.learned_at_us) / LEARNING_HALF_LIFE_US)
    return initial_us + (scope.expected_call_us - initial_us) * decay


def observe_call(scope: LimitScope, duration_us: int) -> None:
    """Adds the duration of a call to the moving average of a scope."""
    scope.expected_call_us += CALL_DURATION_WEIGHT * (duration_us - scope.expected_call_us)


class CallEstimates:
    """Estimates the shortest call of each message, once per round for all messages with the same estimate."""

    def __init__(self, context: RoundContext, retry_policy: RetryPolicy) -> None:
        self.context = context
        self.retry_policy = retry_policy
        self.shortest_us: dict[tuple[int, str, int], float] = {}

    def begin_round(self) -> None:
        """Discards the estimates of the previous round."""
        self.shortest_us = {}

    def shortest_call_us(self, message: Message) -> float:
        """Returns the shortest expected call over the eligible endpoints, in microseconds; 0 if there are none."""
        cache_key = (message.destination, message.message_class.name, message.maybe_ran_on)
        shortest_us = self.shortest_us.get(cache_key)
        if shortest_us is None:
            now_us = self.context.now_us
            shortest_us = min(
                (
                    expected_call_us(endpoint.limit_scope, message.message_class, now_us)
                    for endpoint in self.retry_policy.eligible_endpoints(message)
                ),
                default=0.0,
            )
            self.shortest_us[cache_key] = shortest_us
        return shortest_us

    def give_up_at_us(self, message: Message) -> int:
        """Returns when the time left until the deadline becomes shorter than the shortest expected call."""
        return message.due_us - max(int(self.shortest_call_us(message)), MIN_RECHECK_US)
