"""Routes streams to endpoints or rejects them. Extends the dispatcher, and does no I/O.

A stream is an HTTP exchange that is passed on while it arrives. The dispatcher treats it as a call in every respect:
slots, concurrency windows, Retry-After, backoff, quotas, slow start, disabled and draining endpoints.

Messages take precedence: streams use at most their share of the slots, start only if no message is held for the
destination, and leave one slot of each destination to messages. Streams are not held: a stream that cannot start now is
rejected with a Retry-After.
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

MAX_PACING_DELAY_US = SECOND_US
"""Longest time by which a stream delays the next call under this forwarder's quota."""
RETRY_AFTER_JITTER = (1.0, 1.5)
"""Range of the random factor applied to a Retry-After, because many streams may be rejected at once."""


# Events


@dataclass(frozen=True, slots=True)
class StreamRequested(ExtensionEvent):
    """A client requests a stream, or a stream has failed at one endpoint and may go to another."""

    stream: int
    destination: int
    avoid_endpoint: int = -1
    """Endpoint of the previous attempt; -1 if there is none."""


@dataclass(frozen=True, slots=True)
class StreamAttemptEnded(ExtensionEvent):
    """The attempt of a stream has an outcome: the endpoint sent the head of its response, or failed."""

    stream: int
    outcome: Outcome
    retry_after_us: int = 0
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class StreamEnded(ExtensionEvent):
    """A stream has ended and releases its slot."""

    stream: int


# Actions


@dataclass(frozen=True, slots=True)
class RouteStream(ExtensionAction):
    """Sends a stream to an endpoint."""

    stream: int
    endpoint: int


@dataclass(frozen=True, slots=True)
class RejectStream(ExtensionAction):
    """Rejects a stream for which no endpoint has capacity."""

    stream: int
    retry_after_us: int


def max_streams(slots: int, share: float) -> int:
    """Returns how many streams may use slots; 0 if there are too few slots for both messages and streams."""
    return int(share * slots) if int(MAX_DESTINATION_SLOT_SHARE * slots) > 1 else 0


class StreamRouter:
    """Routes or rejects streams, after the messages of a round are released."""

    def __init__(self, dispatcher: Dispatcher, share: float) -> None:
        """`share` is the fraction of the slots that streams may use."""
        self.dispatcher = dispatcher
        self.share = share
        self.requested: dict[int, StreamRequested] = {}
        """Requests to decide at the end of the round, by stream."""
        self.calls: dict[int, Call] = {}
        """Calls of the streams in progress, by stream."""
        self.last_used_us: dict[int, int] = {}
        """When a stream of a destination last started or ended, by destination."""

    def apply_event(self, event: ExtensionEvent) -> None:
        """Applies an event of a stream."""
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
        """Does nothing: the dispatcher has learned all that streams depend on."""

    def before_release(self) -> None:
        """Does nothing: streams are routed after the release of messages."""

    def end_stream(self, stream: int) -> None:
        """Releases the slot of a stream, if it has one."""
        call = self.calls.pop(stream, None)
        if call is not None:
            self.last_used_us[call.endpoint.destination] = self.dispatcher.now_us
            call.endpoint.limit_scope.streams_in_flight -= 1
            self.dispatcher.calls.end(call)

    def learn_from_stream(self, call: Call, ended: StreamAttemptEnded) -> None:
        """Learns from a stream as from a call with messages, except from its duration.

        The duration of a stream says nothing about that of the next call.
        """
        dispatcher, scope = self.dispatcher, call.endpoint.limit_scope
        if ended.report is not None:
            dispatcher.pacing.apply_load_report(scope, ended.report)
        dispatcher.outcomes.notify_extensions(call.endpoint, ended.outcome)
        if ended.outcome not in UNINFORMATIVE_OUTCOMES:
            dispatcher.learning.learn_from_call(call, ended.outcome, ended.retry_after_us)
        dispatcher.backoff.apply_retry_after(scope, ended.retry_after_us)

    def after_release(self) -> None:
        """Routes or rejects each stream requested in the round."""
        requested, self.requested = self.requested, {}
        for request in requested.values():
            self._route_or_reject(request)
        destinations = self.dispatcher.endpoints_by_destination
        if len(self.last_used_us) > len(destinations):  # some are no longer listed
            self.last_used_us = {
                destination: at_us for destination, at_us in self.last_used_us.items() if destination in destinations
            }

    def _route_or_reject(self, request: StreamRequested) -> None:
        dispatcher = self.dispatcher
        endpoints = dispatcher.endpoints_by_destination.get(request.destination, [])
        available_at_us_by_endpoint = {endpoint.id: self.endpoint_available_at_us(endpoint) for endpoint in endpoints}
        available = [
            endpoint for endpoint in endpoints if available_at_us_by_endpoint[endpoint.id] <= dispatcher.now_us
        ]
        if available:
            self.start_stream(request, min(available, key=lambda endpoint: self.preference(request, endpoint)))
        else:
            dispatcher.actions.append(RejectStream(request.stream, self.retry_after_us(available_at_us_by_endpoint)))

    def endpoint_available_at_us(self, endpoint: Endpoint) -> int:
        """Returns when an endpoint takes one more stream, in microseconds; NEVER_US if this depends on an event."""
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
        available_at_us, _ = dispatcher.availability.pacing_availability(endpoint)
        return available_at_us

    def preference(self, request: StreamRequested, endpoint: Endpoint) -> tuple[float, ...]:
        """Returns the sort key of an available endpoint; the smallest is chosen.

        In order of precedence: not ejected, not the previous endpoint, low zone fee, low error rate, few calls in
        flight.
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
        """Routes a stream to an endpoint and takes a slot for it."""
        dispatcher, scope = self.dispatcher, endpoint.limit_scope
        if not scope.streams_in_flight:
            last_used_us = self.last_used_us.get(endpoint.destination, -1)
            dispatcher.limits.reset_if_unused(scope, max(scope.learned_at_us, last_used_us))
        self.calls[request.stream] = dispatcher.calls.start(endpoint, MAX_PACING_DELAY_US)
        self.last_used_us[endpoint.destination] = dispatcher.now_us
        scope.streams_in_flight += 1
        dispatcher.actions.append(RouteStream(request.stream, endpoint.id))

    def retry_after_us(self, available_at_us_by_endpoint: dict[int, int]) -> int:
        """Returns the Retry-After of a rejected stream: the time until an endpoint takes one, if that is known.

        Args:
            available_at_us_by_endpoint: when each endpoint takes one more stream, in microseconds.
        """
        dispatcher = self.dispatcher
        known_us = [at_us for at_us in available_at_us_by_endpoint.values() if at_us < NEVER_US]
        earliest_us = min(known_us, default=dispatcher.now_us) - dispatcher.now_us
        wait_us = max(MIN_RETRY_AFTER_US, earliest_us) * dispatcher.random.uniform(*RETRY_AFTER_JITTER)
        return int(min(wait_us, dispatcher.settings.max_retry_after_us or wait_us))
