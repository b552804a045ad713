"""The final check of a call, immediately before it is written."""

from __future__ import annotations

from collections.abc import Callable

from forwarder.decisions.outcomes import Outcome
from forwarder.endpoints.call import CallItem, CallResult, EndpointCall
from forwarder.endpoints.in_flight_calls import InFlightCalls
from forwarder.runtime.invariants import AttemptFacts, Denial, Invariants, RouteFacts, route_denial


class CallChecks:
    """Removes from a call the messages that may not be sent now.

    Args:
        clock: the forwarder's clock, in microseconds.
        in_flight: the calls that have not ended.
        invariants: decides whether a message may be sent; None to check only the route.
    """

    def __init__(self, clock: Callable[[], int], in_flight: InFlightCalls, invariants: Invariants | None) -> None:
        self.clock = clock
        self.in_flight = in_flight
        self.invariants = invariants

    def end_denied(self, call: EndpointCall, is_listed: bool) -> None:
        """Ends the attempts of the messages of a call that may not be sent now.

        Args:
            call: the call.
            is_listed: whether the endpoint may be called at the address to which the call is sent.
        """
        now_us = self.clock()
        retry_after_until_us = self.in_flight.retry_after.until_us(call.limit_scope)
        route = RouteFacts(is_listed, retry_after_until_us, self.in_flight.has_unread_answer(call.limit_scope))
        other_message_ids = {key.message_id for key, other in self.in_flight.by_attempt.items() if other is not call}
        for item in list(call.open_items.values()):
            denial = self._denial(item, route, now_us, other_message_ids)
            if denial is not None:
                is_local = denial is Denial.UNREAD_ANSWER
                self.in_flight.end_item(call, item, CallResult(Outcome.LOCAL_FAILURE if is_local else Outcome.NOT_SENT))
        if not call.open_items:
            call.cancel_timers()

    def _denial(self, item: CallItem, route: RouteFacts, now_us: int, other_message_ids: set[str]) -> Denial | None:
        attempt = AttemptFacts(item.id, item.attempt, item.send_before_us, item.due_us)
        if self.invariants is None:
            return route_denial(attempt, route, now_us)
        return self.invariants.may_send(attempt, route, now_us, other_message_ids)
