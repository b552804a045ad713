"""Which endpoint a stream goes to, or that it is turned away. Pure, as the dispatcher, which it joins.

A stream is one HTTP exchange that passes through while it arrives. It counts as a call in all that the
Dispatcher keeps: slots, windows, told waits, rests, pace, turns of cold targets, bans and drains. Messages go
first: streams hold their share of the slots at most, begin only where no message is held for the destination,
and leave at each destination a slot to messages. They are not held: one that cannot go now is turned away
with a time to come back.
"""

from __future__ import annotations

from dataclasses import dataclass

from forwarder.decisions.actions import ExtensionAction
from forwarder.decisions.concurrency_window import MAX_DESTINATION_SLOT_SHARE
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import ExtensionEvent, LoadReport
from forwarder.decisions.load_shedding import MIN_RETRY_AFTER_US
from forwarder.decisions.outcomes import TELLS_NOTHING, Outcome
from forwarder.decisions.records import Call, Endpoint
from forwarder.units import NEVER_US, SECOND_US

LONGEST_PACE_US = SECOND_US  # by one stream, the next at our share of a limit is put off no longer


# Events


@dataclass(frozen=True, slots=True)
class StreamRequested(ExtensionEvent):
    """A client asks for a stream, or one found no connection and may go elsewhere."""

    stream: int
    destination: int
    avoid: int = -1
    """The target that it was sent to before."""


@dataclass(frozen=True, slots=True)
class StreamAttemptEnded(ExtensionEvent):
    """What a stream's target has shown: by the head of its answer, or by failing."""

    stream: int
    outcome: Outcome
    wait_us: int = 0
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class StreamEnded(ExtensionEvent):
    """A stream holds its slot no longer."""

    stream: int


# Actions


@dataclass(frozen=True, slots=True)
class RouteStream(ExtensionAction):
    stream: int
    target: int


@dataclass(frozen=True, slots=True)
class RejectStream(ExtensionAction):
    stream: int
    wait_us: int
    """The client may come back after this."""


def most_streams(slots: int, share: float) -> int:
    """How many streams hold slots at once; 0 where the slots do not suffice for messages and streams."""
    return int(share * slots) if int(MAX_DESTINATION_SLOT_SHARE * slots) > 1 else 0


class StreamRouter:
    """Joined to a Dispatcher by its `parts`."""

    def __init__(self, dispatcher: Dispatcher, share: float) -> None:
        self.dispatcher, self.share = dispatcher, share
        self.asked: dict[int, StreamRequested] = {}
        self.out: dict[int, Call] = {}
        self.used_at: dict[int, int] = {}
        """When a destination last had a stream."""

    def apply_event(self, event: ExtensionEvent) -> None:
        match event:
            case StreamRequested(stream):
                self.over(stream)
                self.asked[stream] = event
            case StreamAttemptEnded(stream) if stream in self.out:
                self.learn(self.out[stream], event)
            case StreamEnded(stream):
                self.asked.pop(stream, None)
                self.over(stream)

    def on_outcome(self, endpoint_id: int, outcome: Outcome) -> None:
        """What it learns, the Dispatcher has learned."""

    def before_release(self) -> None:
        """Streams come after the messages."""

    def over(self, stream: int) -> None:
        call = self.out.pop(stream, None)
        if call is not None:
            self.used_at[call.endpoint.destination] = self.dispatcher.now_us
            call.endpoint.limit_scope.streams_in_flight -= 1
            self.dispatcher.calls.end(call)

    def learn(self, call: Call, told: StreamAttemptEnded) -> None:
        """As of a call of messages, but for the expected call, of which a stream's length tells nothing."""
        d, place = self.dispatcher, call.endpoint.limit_scope
        if told.report is not None:
            d.pacing.apply_load_report(place, told.report)
        d.outcomes.notify_extensions(call.endpoint, told.outcome)
        if told.outcome not in TELLS_NOTHING:
            d.learning.learn_from_call(call, told.outcome, told.wait_us)
        d.backoff.apply_retry_after(place, told.wait_us)

    def after_release(self) -> None:
        asked, self.asked = self.asked, {}
        for a in asked.values():
            targets = self.dispatcher.endpoints_by_destination.get(a.destination, [])
            opens = {t.id: self.opens_at(t) for t in targets}
            free = [t for t in targets if opens[t.id] <= self.dispatcher.now_us]
            if free:
                self.begin(a, min(free, key=lambda t: self.preference(a, t)))
            else:
                self.dispatcher.actions.append(RejectStream(a.stream, self.wait_us(opens)))
        if len(self.used_at) > len(self.dispatcher.endpoints_by_destination):  # those that left the list
            self.used_at = {d: at for d, at in self.used_at.items() if d in self.dispatcher.endpoints_by_destination}

    def opens_at(self, t: Endpoint) -> int:
        """When one more stream may go to the target; NEVER_US while only an event can let it."""
        d, place = self.dispatcher, t.limit_scope
        here = sum(other.in_flight for other in d.endpoints_by_destination[t.destination])
        if (
            len(self.out) >= most_streams(d.settings.slots, self.share)
            or t.destination in d.held.by_destination
            or here >= int(MAX_DESTINATION_SLOT_SHARE * d.settings.slots) - 1
            or place.in_flight >= int(min(place.concurrency_window, d.limits.cap(place) - 1))
            or d.limits.hold_reason(t) is not None
        ):
            return NEVER_US
        return d.availability.pacing_opening(t)[0]

    def preference(self, a: StreamRequested, t: Endpoint) -> tuple[float, ...]:
        """Which of the open targets: a sound one, another than before, a cheap one, a quiet one."""
        d = self.dispatcher
        fee = d.settings.zone_fees.get(t.zone, 0.0) if t.separate_route else 0.0
        return (
            t.ejected_at_us >= 0 and t.recovering_since_us < 0,
            t.id == a.avoid,
            fee,
            t.error_rate,
            t.in_flight,
            d.random.random(),
        )

    def begin(self, a: StreamRequested, t: Endpoint) -> None:
        d, place = self.dispatcher, t.limit_scope
        if not place.streams_in_flight:
            d.limits.reset_if_unused(place, max(place.learned_at_us, self.used_at.get(t.destination, -1)))
        self.out[a.stream] = d.calls.start(t, LONGEST_PACE_US)
        self.used_at[t.destination] = d.now_us
        place.streams_in_flight += 1
        d.actions.append(RouteStream(a.stream, t.id))

    def wait_us(self, opens: dict[int, int]) -> int:
        """When to come back: as soon as a target's gate opens, where that is known. Spread, since many may be
        turned away at once.
        """
        d = self.dispatcher
        soonest = min((at for at in opens.values() if at < NEVER_US), default=d.now_us) - d.now_us
        wait = max(MIN_RETRY_AFTER_US, soonest) * d.random.uniform(1.0, 1.5)
        return int(min(wait, d.settings.max_retry_after_us or wait))
