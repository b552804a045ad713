"""Which endpoint a stream goes to, or that it is rejected. Pure; joins the dispatcher.

A stream is one HTTP exchange that passes through while it arrives. It counts as a call in all that the dispatcher
keeps: slots, concurrency windows, Retry-After, backoff, quotas, slow start, disabled and draining endpoints.

Messages go first: streams hold their share of the slots at most, begin only where no message is held for the
destination, and leave at each destination a slot to messages. They are not held: one that cannot go now is rejected
with a Retry-After.
"""

from __future__ import annotations

from dataclasses import dataclass

from forwarder.decisions.actions import ExtensionAction
from forwarder.decisions.concurrency_window import MAX_DESTINATION_SLOT_SHARE
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import ExtensionEvent, LoadReport
from forwarder.decisions.load_shedding import MIN_RETRY_AFTER_US
from forwarder.decisions.outcomes import UNINFORMATIVE_OUTCOMES, Outcome
from forwarder.decisions.records import Call, Endpoint
from forwarder.units import NEVER_US, SECOND_US

MAX_PACE_US = SECOND_US
"""One stream puts off the next call under this forwarder's quota by no more."""
RETRY_AFTER_JITTER = (1.0, 1.5)
"""Factors of a Retry-After: many streams may be rejected at once."""


# Events


@dataclass(frozen=True, slots=True)
class StreamRequested(ExtensionEvent):
    """A client asks for a stream, or one has failed at an endpoint and may go to another."""

    stream: int
    destination: int
    avoid_endpoint: int = -1
    """The endpoint that it was sent to before."""


@dataclass(frozen=True, slots=True)
class StreamAttemptEnded(ExtensionEvent):
    """What a stream's endpoint has shown: by the head of its answer, or by failing."""

    stream: int
    outcome: Outcome
    retry_after_us: int = 0
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class StreamEnded(ExtensionEvent):
    """A stream holds its slot no longer."""

    stream: int


# Actions


@dataclass(frozen=True, slots=True)
class RouteStream(ExtensionAction):
    """A stream goes to an endpoint."""

    stream: int
    endpoint: int


@dataclass(frozen=True, slots=True)
class RejectStream(ExtensionAction):
    """A stream is rejected: no endpoint has capacity for it."""

    stream: int
    retry_after_us: int


def max_streams(slots: int, share: float) -> int:
    """Returns how many streams hold slots at once; 0 where the slots do not suffice for messages and streams."""
    return int(share * slots) if int(MAX_DESTINATION_SLOT_SHARE * slots) > 1 else 0


class StreamRouter:
    """Decides for streams, after the messages of a round."""

    def __init__(self, dispatcher: Dispatcher, share: float) -> None:
        """`share`: the part of the slots that streams may hold."""
        self.dispatcher = dispatcher
        self.share = share
        self.requested: dict[int, StreamRequested] = {}
        """Requests that are decided on at the end of the round, by stream."""
        self.calls: dict[int, Call] = {}
        """Streams in progress, each as a call of the dispatcher's."""
        self.last_used_us: dict[int, int] = {}
        """When a destination last had a stream."""

    def apply_event(self, event: ExtensionEvent) -> None:
        """Takes in what has become of streams."""
        match event:
            case StreamRequested(stream):
                self.end_stream(stream)
                self.requested[stream] = event
            case StreamAttemptEnded(stream) if stream in self.calls:
                self.learn_from_stream(self.calls[stream], event)
            case StreamEnded(stream):
                self.requested.pop(stream, None)
                self.end_stream(stream)

    def on_outcome(self, endpoint_id: int, outcome: Outcome) -> None:
        """Nothing: what streams depend on, the dispatcher has learned."""

    def before_release(self) -> None:
        """Nothing: streams come after the messages."""

    def end_stream(self, stream: int) -> None:
        """Frees the slot of a stream, if it has one."""
        call = self.calls.pop(stream, None)
        if call is not None:
            self.last_used_us[call.endpoint.destination] = self.dispatcher.now_us
            call.endpoint.limit_scope.streams_in_flight -= 1
            self.dispatcher.calls.end(call)

    def learn_from_stream(self, call: Call, ended: StreamAttemptEnded) -> None:
        """Learns as from a call of messages, but for its duration: a stream's length tells nothing of the next."""
        dispatcher, scope = self.dispatcher, call.endpoint.limit_scope
        if ended.report is not None:
            dispatcher.pacing.apply_load_report(scope, ended.report)
        dispatcher.outcomes.notify_extensions(call.endpoint, ended.outcome)
        if ended.outcome not in UNINFORMATIVE_OUTCOMES:
            dispatcher.learning.learn_from_call(call, ended.outcome, ended.retry_after_us)
        dispatcher.backoff.apply_retry_after(scope, ended.retry_after_us)

    def after_release(self) -> None:
        """Routes or rejects each stream that was requested in the round."""
        requested, self.requested = self.requested, {}
        for request in requested.values():
            self._decide(request)
        destinations = self.dispatcher.endpoints_by_destination
        if len(self.last_used_us) > len(destinations):  # some have left the list
            self.last_used_us = {
                destination: at_us for destination, at_us in self.last_used_us.items() if destination in destinations
            }

    def _decide(self, request: StreamRequested) -> None:
        dispatcher = self.dispatcher
        endpoints = dispatcher.endpoints_by_destination.get(request.destination, [])
        openings_us = {endpoint.id: self.endpoint_opening(endpoint) for endpoint in endpoints}
        free = [endpoint for endpoint in endpoints if openings_us[endpoint.id] <= dispatcher.now_us]
        if free:
            self.start_stream(request, min(free, key=lambda endpoint: self.preference(request, endpoint)))
        else:
            dispatcher.actions.append(RejectStream(request.stream, self.retry_after_us(openings_us)))

    def endpoint_opening(self, endpoint: Endpoint) -> int:
        """Returns when one more stream may go to an endpoint, in microseconds.

        NEVER_US while only an event can let it.
        """
        dispatcher, scope = self.dispatcher, endpoint.limit_scope
        slots = dispatcher.settings.slots
        siblings = dispatcher.endpoints_by_destination[endpoint.destination]
        in_flight = sum(sibling.in_flight for sibling in siblings)
        if (
            len(self.calls) >= max_streams(slots, self.share)
            or endpoint.destination in dispatcher.held.by_destination
            or in_flight >= int(MAX_DESTINATION_SLOT_SHARE * slots) - 1
            or scope.in_flight >= int(min(scope.concurrency_window, dispatcher.limits.cap(scope) - 1))
            or dispatcher.limits.hold_reason(endpoint) is not None
        ):
            return NEVER_US
        opening_us, _ = dispatcher.availability.pacing_availability(endpoint)
        return opening_us

    def preference(self, request: StreamRequested, endpoint: Endpoint) -> tuple[float, ...]:
        """Returns the rank of an endpoint that is free; the least is chosen.

        A healthy one goes first, then another than before, a cheap one, one with few errors, an idle one.
        """
        settings = self.dispatcher.settings
        zone_fee = settings.zone_fees.get(endpoint.zone, 0.0) if endpoint.separate_route else 0.0
        return (
            endpoint.ejected_at_us >= 0 and endpoint.recovering_since_us < 0,
            endpoint.id == request.avoid_endpoint,
            zone_fee,
            endpoint.error_rate,
            endpoint.in_flight,
            self.dispatcher.random.random(),
        )

    def start_stream(self, request: StreamRequested, endpoint: Endpoint) -> None:
        """Routes a stream to an endpoint, and takes a slot for it."""
        dispatcher, scope = self.dispatcher, endpoint.limit_scope
        if not scope.streams_in_flight:
            last_used_us = self.last_used_us.get(endpoint.destination, -1)
            dispatcher.limits.reset_if_unused(scope, max(scope.learned_at_us, last_used_us))
        self.calls[request.stream] = dispatcher.calls.start(endpoint, MAX_PACE_US)
        self.last_used_us[endpoint.destination] = dispatcher.now_us
        scope.streams_in_flight += 1
        dispatcher.actions.append(RouteStream(request.stream, endpoint.id))

    def retry_after_us(self, openings_us: dict[int, int]) -> int:
        """Returns when a rejected client may come back: as soon as an endpoint opens, where that is known."""
        dispatcher = self.dispatcher
        known_us = [opening_us for opening_us in openings_us.values() if opening_us < NEVER_US]
        soonest_us = min(known_us, default=dispatcher.now_us) - dispatcher.now_us
        wait_us = max(MIN_RETRY_AFTER_US, soonest_us) * dispatcher.random.uniform(*RETRY_AFTER_JITTER)
        return int(min(wait_us, dispatcher.settings.max_retry_after_us or wait_us))
