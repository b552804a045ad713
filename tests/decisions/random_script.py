"""Random but valid event scripts, and a check of every action against the rules.

The check uses only the events and actions, and no internal state of the dispatcher.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from random import Random

from forwarder.decisions.actions import Action, FailMessage, RejectMessage, SendAttempt, SetTimer
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    LoadReport,
    MessageArrived,
    MessageWithdrawn,
    TimerFired,
)
from forwarder.decisions.outcomes import NEVER_RAN, Outcome
from forwarder.decisions.settings import Effect, MessageClass, Scope, Settings
from tests.scripts import ENTRIES, MS

ROUND_US = 5 * MS
LAST_US = 10**9
"""Time in microseconds by which a script has to end."""
MAX_TOKEN_LENGTH = 64
USUAL_OUTCOMES = (Outcome.DELIVERED, Outcome.REJECTED, Outcome.FAILED, Outcome.NO_CONNECTION, Outcome.RESET)
"""The most frequent outcome besides a random delivery, for 200 rounds each."""
ARRIVAL_PROBABILITIES = (0.1, 0.5, 0.02)
"""The probability of another arrival in a round, for 300 rounds each."""


@dataclass(slots=True)
class SentAttempt:
    """One attempt, according to the actions and events."""

    message_id: str
    number: int
    endpoint: int
    sent_at_us: int
    timeout_at_us: int
    outcome: Outcome | None = None


class Script:
    """Drives a dispatcher with random valid events, and asserts that every action follows the rules."""

    def __init__(self, dispatcher: Dispatcher, settings: Settings, seed: int) -> None:
        self.dispatcher = dispatcher
        self.settings = settings
        self.random = Random(seed)
        self.classes = {message_class.name: message_class for message_class in settings.classes}
        self.kinds = {kind.name: kind for kind in settings.kinds}
        self.now_us = 0
        self.submitted: dict[str, MessageArrived] = {}
        self.open: dict[str, MessageArrived] = {}
        self.ended_at_us: dict[str, int] = {}
        self.attempts: dict[str, list[SentAttempt]] = defaultdict(list)
        self.in_flight: list[SentAttempt] = []
        self.timers: list[tuple[int, str]] = []
        self.entries = {entry.endpoint: entry for entry in ENTRIES}
        self.left_at_us: dict[int, int] = {}
        """When each endpoint that is not serving began to drain or left the list."""
        self.retry_after_until_us: dict[tuple[int, int], int] = defaultdict(int)
        self.key_order: dict[str, list[str]] = defaultdict(list)
        self.key_backoff_until_us: dict[str, int] = defaultdict(int)
        self.log: list[tuple[int, tuple[Action, ...]]] = []
        self.rejected_count = 0
        self.failed_count = 0
        self.sent_count = 0
        self.delivered_count = 0
        self.step([EndpointListReceived(EndpointListKind.SAVED, ENTRIES)])

    def run(self, rounds: int) -> None:
        """Plays some rounds with arrivals, and then continues until every message has ended."""
        for number in range(rounds):
            usual_outcome = USUAL_OUTCOMES[number // 200 % len(USUAL_OUTCOMES)]
            self.play_round(ARRIVAL_PROBABILITIES[number // 300 % len(ARRIVAL_PROBABILITIES)], usual_outcome)
        while self.open or self.in_flight:
            self.play_round(0.0, Outcome.FAILED)
            assert self.now_us < LAST_US

    def play_round(self, arrival_probability: float, usual_outcome: Outcome) -> None:
        """Creates the events of one round, and passes them to the dispatcher if there are any."""
        self.now_us += ROUND_US
        events: list[Event] = []
        while self.random.random() < arrival_probability:
            events.append(self.submit())
        events.extend(self.end_attempts(usual_outcome))
        events.extend(self.change_list())
        events.extend(self.withdraw())
        events.extend(self.fire_timers())
        if events:
            self.step(events)
        for message_id, message in self.open.items():
            latest_us = max(message.due_us, 0) + self.settings.answer_grace_us
            assert self.now_us <= latest_us, f"{message_id} not answered in time"

    def submit(self) -> MessageArrived:
        """Submits a message of a random class to a random destination, with a random time left."""
        message_class = self.random.choice(self.settings.classes)
        message_id = f"m{len(self.submitted)}"
        key = f"k{self.random.randrange(4)}" if message_class.in_order else None
        deadline_us = message_class.deadline_us
        time_left_us = self.random.choice([deadline_us, self.random.randrange(-5 * MS, deadline_us)])
        tenant = self.random.choice(["big", "small", "stranger", None])
        destination = self.random.choice([10, 11, 12, 99])
        event = MessageArrived(message_id, destination, message_class.name, self.now_us + time_left_us, key, tenant)
        self.submitted[message_id] = self.open[message_id] = event
        if key:
            self.key_order[key].append(message_id)
        return event

    def end_attempts(self, usual_outcome: Outcome) -> list[Event]:
        """Ends attempts whose timeout has expired, and some random others."""
        events: list[Event] = []
        for attempt in list(self.in_flight):
            if self.now_us >= attempt.timeout_at_us:
                events.append(self.end_attempt(attempt, Outcome.TIMED_OUT))
            elif self.random.random() < 0.03:
                draw = self.random.random()
                outcome = Outcome.DELIVERED if draw < 0.5 else usual_outcome
                if draw > 0.9:
                    outcome = self.random.choice([other for other in Outcome if other is not Outcome.CANCELED])
                events.append(self.end_attempt(attempt, outcome))
        return events

    def end_attempt(self, attempt: SentAttempt, outcome: Outcome) -> AttemptEnded:
        """Ends one attempt, sometimes with a Retry-After or a load report."""
        self.in_flight.remove(attempt)
        attempt.outcome = outcome
        message = self.submitted[attempt.message_id]
        retry_after_us = self.random.choice([0, 0, 200 * MS, 900 * MS]) if outcome is Outcome.REJECTED else 0
        if retry_after_us:
            scope = self.scope_of(attempt.endpoint)
            self.retry_after_until_us[scope] = max(self.retry_after_until_us[scope], self.now_us + retry_after_us)
        if message.key and outcome in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELED):
            until_us = self.now_us + self.settings.key_backoff_us
            self.key_backoff_until_us[message.key] = max(self.key_backoff_until_us[message.key], until_us)
        if outcome is Outcome.DELIVERED and message.message_id in self.open:
            self.close(message.message_id)
            self.delivered_count += 1
        limit_per_s = self.random.choice([0.0, 3.0, 20.0])
        report = LoadReport(self.random.random(), limit_per_s) if self.random.random() < 0.5 else None
        return AttemptEnded(
            message.message_id,
            attempt.number,
            attempt.endpoint,
            outcome,
            self.now_us - attempt.sent_at_us,
            is_final=message.message_id in self.ended_at_us,
            retry_after_us=retry_after_us,
            report=report,
        )

    def change_list(self) -> list[Event]:
        """Sometimes changes the state of one endpoint, or removes all endpoints from the list."""
        events: list[Event] = []
        if self.random.random() < 0.01:
            number = self.random.choice(list(self.entries))
            state = self.random.choice([EndpointState.SERVING, EndpointState.DRAINING, EndpointState.REMOVED])
            old_entry = self.entries[number]
            entry = EndpointEntry(number, old_entry.destination, old_entry.zone, old_entry.kind, state)
            events.append(EndpointListReceived(EndpointListKind.CHANGES, (entry,)))
            if state is EndpointState.SERVING:
                self.left_at_us.pop(number, None)
            else:
                self.left_at_us.setdefault(number, self.now_us)
        if self.random.random() < 0.002:
            events.append(EndpointListReceived(EndpointListKind.WHOLE, ()))
            for number in self.entries:
                self.left_at_us.setdefault(number, self.now_us)
        return events

    def withdraw(self) -> list[Event]:
        """Sometimes withdraws a message, possibly with two events."""
        if not self.open or self.random.random() >= 0.005:
            return []
        message_id = self.random.choice(list(self.open))
        self.close(message_id)
        withdrawn = MessageWithdrawn(message_id)
        return [withdrawn, withdrawn] if self.random.random() < 0.3 else [withdrawn]

    def fire_timers(self) -> list[Event]:
        """Fires the timers that are due."""
        due = [timer for timer in self.timers if timer[0] <= self.now_us]
        self.timers = [timer for timer in self.timers if timer[0] > self.now_us]
        return [TimerFired(token) for _, token in due]

    def step(self, events: list[Event]) -> None:
        """Passes events to the dispatcher and checks its actions."""
        actions = self.dispatcher.handle(self.now_us, events)
        self.log.append((self.now_us, tuple(actions)))
        for action in actions:
            if isinstance(action, SendAttempt):
                self.check_send(action)
            elif isinstance(action, RejectMessage):
                self.check_rejection(action)
                self.close(action.message_id)
                self.rejected_count += 1
            elif isinstance(action, FailMessage):
                self.close(action.message_id)
                self.failed_count += 1
            elif isinstance(action, SetTimer):
                assert action.delay_us > 0
                assert 1 <= len(action.token) <= MAX_TOKEN_LENGTH
                self.timers.append((self.now_us + action.delay_us, action.token))

    def close(self, message_id: str) -> None:
        """Records that a message has ended."""
        assert message_id in self.open, f"{message_id} ended twice"
        del self.open[message_id]
        self.ended_at_us[message_id] = self.now_us

    def scope_of(self, endpoint: int) -> tuple[int, int]:
        """Returns the limit scope of an endpoint."""
        entry = self.entries[endpoint]
        has_own_scope = entry.kind in self.kinds and self.kinds[entry.kind].separate_routes
        return (entry.destination, endpoint if has_own_scope else -1)

    def maybe_ran(self, message_id: str) -> list[SentAttempt]:
        """Returns the attempts of a message that may have run."""
        return [attempt for attempt in self.attempts[message_id] if attempt.outcome not in NEVER_RAN]

    def check_rejection(self, action: RejectMessage) -> None:
        """Asserts that a rejected message can be submitted again without a second effect."""
        message_class = self.classes[self.submitted[action.message_id].class_name]
        if message_class.effect is Effect.ONCE:
            assert not self.maybe_ran(action.message_id), "rejected although it may have run"
        if message_class.effect is Effect.KEYED and message_class.key_scope is not Scope.ALL:
            assert not self.maybe_ran(action.message_id), (
                "rejected although a retry elsewhere would have a second effect"
            )

    def check_send(self, action: SendAttempt) -> None:
        """Asserts that an attempt follows every rule."""
        assert action.message_id in self.open, "sent after the message had ended"
        message = self.submitted[action.message_id]
        earlier = self.attempts[action.message_id]
        if not self.settings.hedging_allowed:
            assert all(attempt.outcome is not None for attempt in earlier), "two attempts in flight"
        self.check_endpoint(message, action.endpoint)
        self.check_retry(message, action.endpoint)
        self.check_key(message)
        assert action.timeout_us > 0
        assert self.now_us + action.timeout_us <= message.due_us
        self.record_attempt(action)

    def check_endpoint(self, message: MessageArrived, endpoint: int) -> None:
        """Asserts that the endpoint belongs to the destination, neither drains nor has left, and has no Retry-After."""
        assert self.entries[endpoint].destination == message.destination
        left_at_us = self.left_at_us.get(endpoint)
        if left_at_us is not None:
            assert self.now_us <= left_at_us + self.settings.drain_grace_us, "sent to a draining endpoint"
        assert self.now_us >= self.retry_after_until_us[self.scope_of(endpoint)], "sent during a Retry-After"

    def check_retry(self, message: MessageArrived, endpoint: int) -> None:
        """Asserts that a message that may have run is sent again only if a second run has no second effect."""
        message_class: MessageClass = self.classes[message.class_name]
        maybe_ran = self.maybe_ran(message.message_id)
        if not maybe_ran:
            return
        assert message_class.effect is not Effect.ONCE, "at-most-once message sent again"
        if message_class.effect is Effect.KEYED:
            first = maybe_ran[0]
            assert self.now_us <= first.sent_at_us + message_class.retry_window_us, "sent after its retry window"
            if message_class.key_scope is Scope.ZONE:
                assert self.entries[endpoint].zone == self.entries[first.endpoint].zone, "sent outside its key scope"

    def check_key(self, message: MessageArrived) -> None:
        """Asserts that the messages of a key are sent one at a time, in order, and after the backoff of the key."""
        if not message.key:
            return
        order = self.key_order[message.key]
        earlier = order[: order.index(message.message_id)]
        for message_id in earlier:
            assert message_id in self.ended_at_us, "out of order"
            assert all(attempt.outcome is not None for attempt in self.attempts[message_id]), (
                "an earlier attempt is in flight"
            )
        if any(self.attempts[message_id] for message_id in earlier) and not self.attempts[message.message_id]:
            assert self.now_us >= self.key_backoff_until_us[message.key], "sent during the backoff of its key"

    def record_attempt(self, action: SendAttempt) -> None:
        """Records an attempt, and asserts that neither attempts nor calls exceed their maximum."""
        attempts = self.attempts[action.message_id]
        attempt = SentAttempt(
            action.message_id, len(attempts), action.endpoint, self.now_us, self.now_us + action.timeout_us
        )
        attempts.append(attempt)
        self.in_flight.append(attempt)
        counted = [attempt for attempt in attempts if attempt.outcome is not Outcome.LOCAL_FAILURE]
        assert len(counted) <= self.settings.max_attempts
        calls = {(other.endpoint, other.sent_at_us) for other in self.in_flight}
        assert len(calls) <= self.settings.slots, "more calls than slots"
        self.sent_count += 1
