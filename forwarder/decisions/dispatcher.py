"""Decides for one forwarder: events (forwarder/decisions/events.py) in, actions out.

The ordinary path: held messages leave by groups of near deadlines, shortest expected call first in each;
what cannot finish in time is refused unsent; a window that grows with success bounds each destination.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_right
from collections.abc import Callable, Iterable, Iterator
from functools import partial

from forwarder.decisions.actions import (
    Action,
    CloseIdleConnections,
    EjectionChanged,
    FailMessage,
    KeyBackoffStarted,
    LogLine,
    RejectMessage,
    RequestEndpointList,
    SendAttempt,
    SetTimer,
)
from forwarder.decisions.events import (
    AttemptEnded,
    EjectionRecovered,
    EndpointDisabled,
    EndpointEnabled,
    EndpointListAwaited,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    ExtensionEvent,
    HandoverReceived,
    KeyBackoffRecovered,
    LoadReport,
    MessageArrived,
    MessageRecovered,
    MessageWithdrawn,
    NoticeAcknowledged,
    PendingNoticeRecovered,
    SettingsChanged,
)
from forwarder.decisions.extension import DecisionExtension
from forwarder.decisions.hold_reason import HoldReason
from forwarder.decisions.learned_state import CallInFlight, LearnedState
from forwarder.decisions.outcomes import MAY_STILL_RUN, NEVER_RAN, TELLS_NOTHING, TOO_MUCH, Outcome
from forwarder.decisions.records import (
    ENDPOINT_LEARNED,
    LIMIT_SCOPE_LEARNED,
    Attempt,
    Call,
    Endpoint,
    HeldMessages,
    HoldTimes,
    KeyQueue,
    LimitScope,
    Message,
    TimerQueue,
    learned_fields,
    restore_fields,
)
from forwarder.decisions.settings import DestinationKind, Effect, MessageClass, Scope, Settings
from forwarder.units import NEVER_US

SECOND = 1_000_000  # us
GROUP_RANGE = 0.4  # Gr, share of the least time left: the paper's value; larger was no better
AIM_PER_CALL = 10  # D_multiplier of the paper: a class's aim is taken for this many usual calls (the seed)
MEAN_STEP = 0.2  # weight of the newest call in the expected call: about the last ten calls count
EASE_US = 2 * SECOND  # half-life by which an expected call eases back to its seed while nothing is out
HEALTHY_CAP = 0.75  # share of the slots that one destination may hold: the design's three quarters
SICK_CAP = 0.5  # and while it fails or is slow: the design's half
SLOW_TIMES = 4  # times its seed: an expected call above this counts as slow
TIMEOUT_CALLS = 6  # expected calls that an attempt may take, and its class's aim at least
MOST_CALLS = 10  # and no more expected calls than these, whatever the aim: by then nothing comes any more
ONCE_AIMS = 2  # aims that a once-only attempt may take: longer, its slot is lost to other destinations
FAIL_STEP = 0.35  # weight of the newest call in a target's failing share
NEWS_TOP = 0.55  # its most, after a gap of some EASE_US: where we call seldom one failure is sign enough
FAIL_MARK = 0.5  # failing share above which a target is in an outage: two failures running, or most calls
SURE_MARK = 0.56  # failing share above which once-only messages hold off: more than one failure tells
FULL_STEP = 0.15  # weight of a refusal that no limit explains: five running look like a shut target
BUDGET_PART = 0.8  # part of our share of the cold budget that is used; the rest is slack for chance
SLACK_CALLS = 4.0  # calls in fall_us from all forwarders together that the budget's slack for chance covers
TURN_TIMES = 8.0  # times the age of an outage that our turns are apart, where our part is under one call
SPREAD = (0.5, 1.5)  # how many turns after the last the next call goes: they are one apart in the mean
REST_US = 150_000  # first rest after a refusal without a wait
REST_TIMES = 4  # each further refusal makes the rest so much longer: many come back thinly, and once each
REST_TOP_US = 1_500_000  # longest rest with few forwarders: an outage must not outlive itself by more
SHARE_CUT = 0.85  # by a refusal above the limit, our assumed share of it shrinks to this
SHARE_LEAST = 0.4  # times an even share: it does not shrink further
SHARE_GROW = 0.03  # with few forwarders, by a success with much of the limit left, it grows by this
MUCH_LEFT = 0.4  # share of a limit that counts as much
CROWD_LEFT = 0.5  # what the shares of many together aim to leave: the mean where a limit is just used up
SHARE_RATE = 2.0  # the logarithm of a share of many changes by this in a second, times what is left over it
SPARE_RATE = 2.0  # times what is left over it: the logarithm by which many call faster at once
BURST_US = 700_000  # the pace lets through at once what it earns in this time
IDLE_LEAST_US = 200_000  # a connection without use for longer counts as idle; so long all are trusted
IDLE_GROW = 64  # a call that goes well lengthens by this part how long idle connections are trusted
FEW = 8  # forwarders; where more share the targets, what all do at once adds up: connections, returns
FORGET_US = 30 * SECOND  # idle destinations are forgotten after this
LOOK_US = 40_000  # least time between two looks at a destination where nothing happened
HELD_BACK_US = 50_000  # after a failure of this machine nothing is sent for so long: it would fail alike
NEVER = NEVER_US  # a gate that only an event can open
THE_LIST = -1  # stands among the destinations' appointments for asking for the list
LEAST_AWAY_US = SECOND  # a refused client always hears when to come back, and not at once
MOST_TARGETS = 2000  # known at most, those long gone among them
BUFFER_MARK = 0.85  # share of the buffer above which the largest pile is cut
ASK_AGAIN_US = 500_000  # first pause before asking for the list again; up to four times this: news counts after 6 s
PURSE_US = 2 * SECOND  # a tenant may run ahead of its share by this much
PURSE_LEAST = 4.0  # messages, and by these at least: our part of a share may be far under one


class Dispatcher:
    """Decides for one forwarder. Feed it every event; carry out, in order, the actions it returns."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.now_us, self.random = now, random.Random(seed)
        self.endpoints: dict[int, Endpoint] = {}
        self.endpoints_by_destination: dict[int, list[Endpoint]] = {}  # those that messages may go to
        self.disabled_since_us: dict[int, int] = {}  # targets that operators leave out, since when
        self.limit_scopes: dict[tuple[int, int], LimitScope] = {}
        self.messages: dict[str, Message] = {}
        self.held, self.timers, self.slots_exhausted = HeldMessages(), TimerQueue(), False
        self.hold_times, self.lists_received = HoldTimes(), 0
        self.apply_settings(settings)
        self.trusted_idle_us = self.max_idle_us
        self.poll_backoff_us, self.keys_cleared_at_us, self.shed_logged_at_us = ASK_AGAIN_US, now, now - FORGET_US
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.key_queues: dict[str, KeyQueue] = {}
        self.tenant_buckets: dict[str, int] = {}
        self.calls_in_flight, self.accepted_count, self.timer_at_us, self.peers_queried_until_us = 0, 0, -1, now
        self.list_awaited_until_us = self.local_backoff_until_us = now
        self.forming_calls: dict[int, Call] = {}
        self.shortest_call_us: dict[tuple[int, str, int], float] = {}
        self.actions: list[Action] = []
        self.errors: list[Exception] = []  # of the round
        self.extensions: list[DecisionExtension] = []
        if settings.poll_endpoint_list:
            self.timers.add(now, THE_LIST)

    def apply_settings(self, settings: Settings) -> None:
        """Take on settings, the first or new ones. Held messages keep the class that they came with."""
        self.settings = settings
        self.message_classes = {c.name: c for c in settings.classes}
        self.destination_kinds = {k.name: k for k in settings.kinds}
        self.tenants = {t.name: t for t in settings.tenants}
        self.is_large_fleet, self.fleet_size = settings.forwarders > FEW, float(settings.forwarders)
        self.max_idle_us = min(settings.idle_timeout_us, FORGET_US)

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Absorb the events of one round, then decide once. An error in one step is kept in `faults` and costs that
        step alone: the other events still count, and whatever was to be looked at is looked at again.
        """
        self.now_us, self.actions, self.forming_calls, self.shortest_call_us = now, [], {}, {}
        self.errors = []
        self.due_destinations = self.timers.pop_due(now)
        self.ended_calls: list[Call] = []
        for event in events:
            self.run_guarded(partial(self.apply_event, event))
        for part in self.extensions:
            self.run_guarded(part.before_release)
        if THE_LIST in self.due_destinations:
            self.actions.append(RequestEndpointList())
        self.run_guarded(self.end_hopeless_messages)
        self.run_guarded(self.release_messages)
        for part in self.extensions:
            self.run_guarded(part.after_release)
        for call in self.ended_calls:
            if call.since_previous_us > self.trusted_idle_us > 0 and not call.endpoint.in_flight:
                self.actions.append(CloseIdleConnections(call.endpoint.id))
        if self.errors:
            for destination in self.due_destinations & self.held.by_destination.keys():
                self.timers.add(now + LOOK_US, destination)
        if self.timers.entries and not now < self.timer_at_us <= self.timers.entries[0][0]:
            self.timer_at_us = self.timers.entries[0][0]
            self.actions.append(SetTimer(max(1, self.timer_at_us - now), "look"))
        return self.actions

    def run_guarded(self, step: Callable[[], None]) -> None:
        """Take one step; an error in it goes no further."""
        try:
            step()
        except Exception as error:
            self.errors.append(error)

    def apply_event(self, event: Event) -> None:
        """Take in one event; what it changes is decided on once all are in."""
        match event:
            case MessageArrived():
                self.accept_message(event)
            case MessageRecovered():
                self.recover_message(event)
            case EjectionRecovered(target, since, back) if target in self.endpoints:
                t = self.endpoints[target]
                t.ejected_at_us, t.recovering_since_us, t.error_rate, t.last_call_at_us = (
                    since,
                    back,
                    SURE_MARK,
                    self.now_us,
                )
                t.slow_start_jitter = self.residual_jitter()
            case EndpointDisabled(target, since):
                self.disabled_since_us.setdefault(target, since)
                self.index_endpoints()
            case EndpointEnabled(target) if target in self.disabled_since_us:
                self.enable_endpoint(target)
            case HandoverReceived(memory):
                self.restore_learned_state(memory)
            case EndpointListAwaited(until):
                self.list_awaited_until_us = until
            case SettingsChanged(new):
                self.apply_settings(new)
                self.trusted_idle_us = min(self.trusted_idle_us, self.max_idle_us)
                self.due_destinations.update(self.held.by_destination)
            case PendingNoticeRecovered():
                self.key_queues.setdefault(event.key, KeyQueue()).unacknowledged_ends[event.message_id] = 0
            case KeyBackoffRecovered(key, until):
                line = self.key_queues.setdefault(key, KeyQueue())
                line.backoff_until_us = max(line.backoff_until_us, until)
            case NoticeAcknowledged() if event.key in self.key_queues:
                self.key_queues[event.key].unacknowledged_ends.pop(event.message_id, None)
                self.schedule_next_of_key(self.key_queues[event.key])
            case AttemptEnded():
                self.end_attempt(event)
            case EndpointListReceived():
                self.apply_endpoint_list(event)
            case MessageWithdrawn() if event.message_id in self.messages:
                self.remove_message(self.messages[event.message_id])
            case ExtensionEvent():
                for part in self.extensions:
                    part.apply_event(event)

    def hold_times_of(self, name: str) -> list[tuple[HoldReason, int]]:
        """What has held a message that is not over, in microseconds, with what holds it now first."""
        m = self.messages[name]
        waited = dict(m.hold_times_us)
        if m.hold_reason is not None:
            waited[m.hold_reason] = waited.get(m.hold_reason, 0) + self.now_us - m.held_since_us
        return sorted(waited.items(), key=lambda row: (row[0] is not m.hold_reason, -row[1]))

    def learned_state(self) -> LearnedState:
        """What was learned and is out, for the process that takes over."""
        calls: dict[int, list[tuple[str, int]]] = {}
        of = {id(a.call): a.call for a in self.attempts.values()}
        for attempt, a in self.attempts.items():
            calls.setdefault(id(a.call), []).append(attempt)
        return LearnedState(
            tuple((*whose, learned_fields(place, LIMIT_SCOPE_LEARNED)) for whose, place in self.limit_scopes.items()),
            tuple((t.id, learned_fields(t, ENDPOINT_LEARNED)) for t in self.endpoints.values()),
            {
                key: line.backoff_until_us
                for key, line in self.key_queues.items()
                if line.backoff_until_us > self.now_us
            },
            dict(self.tenant_buckets),
            self.trusted_idle_us,
            tuple(
                CallInFlight(
                    c.endpoint.id, c.sent_at_us, c.connection_idle_us, c.since_previous_us, c.counted, tuple(calls[n])
                )
                for n, c in of.items()
            ),
        )

    def restore_learned_state(self, memory: LearnedState) -> None:
        """Go on with the memory of the process before: its calls still hold their slots and their keys."""
        for destination, which, row in memory.limit_scopes:
            if (destination, which) in self.limit_scopes:
                restore_fields(self.limit_scopes[(destination, which)], LIMIT_SCOPE_LEARNED, row)
        for number, row in memory.endpoints:
            if number in self.endpoints:
                restore_fields(self.endpoints[number], ENDPOINT_LEARNED, row)
        for key, until in memory.key_backoffs.items():
            line = self.key_queues.setdefault(key, KeyQueue())
            line.backoff_until_us = max(line.backoff_until_us, until)
        self.tenant_buckets, self.trusted_idle_us = (
            dict(memory.tenant_buckets),
            min(memory.trusted_idle_us, self.max_idle_us),
        )
        for out in memory.calls:
            attempts = [(name, number) for name, number in out.attempts if name in self.messages]
            if not attempts:
                continue
            t = self.endpoints.get(out.endpoint) or self.unlisted_endpoint(
                out.endpoint, self.messages[attempts[0][0]].destination
            )
            call = Call(
                t, out.sent_us, out.connection_idle_us, out.since_previous_us, len(attempts), len(attempts), out.counted
            )
            self.calls_in_flight, t.in_flight, t.limit_scope.in_flight = (
                self.calls_in_flight + 1,
                t.in_flight + 1,
                t.limit_scope.in_flight + 1,
            )
            for name, number in attempts:
                m = self.messages[name]
                self.attempts[(name, number)] = Attempt(m, call)
                m.attempts, m.in_flight = max(m.attempts, number + 1), m.in_flight + 1
                self.held.remove(m)
                self.hold_times.set_reason(m, None, self.now_us)
                if m.key is not None:
                    self.key_queues[m.key].in_flight += 1

    def unlisted_endpoint(self, number: int, destination: int) -> Endpoint:
        """A target that has left the list while a call to it is out: for that call alone."""
        place = self.limit_scopes.setdefault(
            (destination, -1), LimitScope(destination, 1.0, quota_share=1.0 / self.fleet_size)
        )
        return Endpoint(number, destination, "", 0.0, place, serving=False)

    def apply_endpoint_list(self, event: EndpointListReceived) -> None:
        """Follow the list. A drained or gone target gets nothing new from this round on."""
        if event.kind is EndpointListKind.FAILED:
            self.timers.add(self.now_us + self.poll_backoff_us + self.random.randrange(self.poll_backoff_us), THE_LIST)
            self.poll_backoff_us = min(2 * self.poll_backoff_us, 4 * ASK_AGAIN_US)
            return
        self.poll_backoff_us, self.lists_received = ASK_AGAIN_US, self.lists_received + 1
        if event.kind is not EndpointListKind.SAVED:
            self.list_awaited_until_us = self.now_us
        if event.kind is not EndpointListKind.CHANGES:
            for target in self.endpoints.values():
                target.serving = False
        for e in event.entries:
            known = self.endpoints.get(e.endpoint)
            if known is None or known.destination != e.destination:
                kind = self.destination_kinds.get(e.kind, DestinationKind(e.kind))
                whose = (e.destination, e.endpoint if kind.separate_routes else -1)
                place = self.limit_scopes.setdefault(
                    whose, LimitScope(e.destination, 1.0, quota_share=1.0 / self.fleet_size)
                )
                known = self.endpoints[e.endpoint] = Endpoint(
                    e.endpoint, e.destination, e.zone, e.weight, place, kind.max_batch, kind.separate_routes
                )
            if e.kind in self.destination_kinds:
                known.max_batch = self.destination_kinds[e.kind].max_batch
            known.zone, known.weight, known.serving = e.zone, e.weight, e.state is EndpointState.SERVING
        if len(self.endpoints) > MOST_TARGETS:  # replaced targets must not pile up over months
            gone = [t.id for t in self.endpoints.values() if not t.serving and not t.in_flight]
            for number in gone[: len(self.endpoints) - MOST_TARGETS]:
                del self.endpoints[number]
        self.index_endpoints()

    def index_endpoints(self) -> None:
        """Which targets a message may go to has changed."""
        self.endpoints_by_destination = {}
        for target in self.endpoints.values():
            if target.serving and not target.excluded and target.id not in self.disabled_since_us:
                self.endpoints_by_destination.setdefault(target.destination, []).append(target)
        self.due_destinations.update(self.held.by_destination)

    def enable_endpoint(self, number: int) -> None:
        """A target that was left out comes back cold: it may have been restarted meanwhile."""
        since, t = self.disabled_since_us.pop(number), self.endpoints.get(number)
        if t is not None:
            t.ejected_at_us, t.recovering_since_us = (
                (t.ejected_at_us if self.is_slow_starting(t) else since),
                self.now_us,
            )
            self.actions.append(EjectionChanged(t.id, t.ejected_at_us, t.recovering_since_us))
        self.index_endpoints()

    def exclude_endpoint(self, t: Endpoint) -> None:
        """A part has found a target sick: it gets nothing, and counts as in an outage."""
        t.excluded, t.ejected_at_us, t.recovering_since_us = (
            True,
            t.ejected_at_us if self.is_slow_starting(t) else self.now_us,
            -1,
        )
        self.actions.append(EjectionChanged(t.id, t.ejected_at_us))
        self.index_endpoints()

    def readmit_endpoint(self, t: Endpoint) -> None:
        """An ejected target is used again, and is as cold as after any outage."""
        t.excluded, t.recovering_since_us = False, self.now_us
        self.actions.append(EjectionChanged(t.id, t.ejected_at_us, t.recovering_since_us))
        self.index_endpoints()

    def set_fleet_size(self, size: float) -> None:
        """From now on this forwarder's part of what all share is one of so many; it was the settings' number."""
        if size != self.fleet_size:
            for place in self.limit_scopes.values():
                place.quota_share = min(1.0, place.quota_share * self.fleet_size / size)
            self.fleet_size = size

    def notify_extensions(self, t: Endpoint, outcome: Outcome) -> None:
        for part in self.extensions:
            part.on_outcome(t.id, outcome)

    def accept_message(self, event: MessageArrived) -> None:
        """Take a message. One of an unknown class is failed: its effect is not known."""
        cls = self.message_classes.get(event.class_name)
        if cls is None:
            self.actions.append(FailMessage(event.message_id))
        else:
            self.hold_message(event, cls)

    def hold_message(self, event: MessageArrived | MessageRecovered, cls: MessageClass) -> Message:
        """Hold a message, in its key's line if its class has one."""
        self.accepted_count += 1
        key = event.key if cls.in_order else None
        m = Message(
            event.message_id,
            event.destination,
            cls,
            event.due_us,
            self.now_us,
            self.accepted_count,
            key,
            self.is_over_quota(event.tenant),
            held_since_us=self.now_us,
        )
        self.messages[m.id] = m
        self.held.add(m)
        self.due_destinations.add(m.destination)
        if key is not None:
            self.key_queues.setdefault(key, KeyQueue()).messages.append(m)
        return m

    def recover_message(self, event: MessageRecovered) -> None:
        """Go on with a message of before a restart: what it may do depends on what it did till then."""
        m = self.hold_message(event, event.message_class)
        m.attempts, m.local_failures = event.attempts, event.local_failures
        m.maybe_ran_at_us, m.maybe_ran_on = event.maybe_ran_at_us, event.maybe_ran_on
        if m.key is not None and event.interrupted:
            self.back_off_key(m.key)

    def is_over_quota(self, name: str | None) -> bool:
        """Whether a tenant has spent our part of its share; what goes beyond is worth little."""
        tenant = self.tenants.get(name or "")
        if tenant is None or not tenant.quota_per_s or self.settings.over_quota_weight >= 1:
            return False
        each = SECOND * self.fleet_size / tenant.quota_per_s
        spent_until = self.tenant_buckets.get(tenant.name, -NEVER)
        if spent_until <= self.now_us:
            self.tenant_buckets[tenant.name] = self.spend_token(spent_until, each, max(PURSE_US, PURSE_LEAST * each))
        return spent_until > self.now_us

    def spend_token(self, spent_until: int, each: float, ahead: float) -> int:
        """When the next one may go, where each takes its time and what was saved counts some time back."""
        return int(max(spent_until, self.now_us - max(0.0, ahead - each)) + each)

    def remove_message(self, m: Message) -> None:
        """A message has ended: nothing more goes out for it, and its key turns to the next."""
        self.hold_times.set_reason(m, None, self.now_us)
        del self.messages[m.id]
        self.held.remove(m)
        if m.key is not None:
            self.key_queues[m.key].messages.remove(m)
            self.schedule_next_of_key(self.key_queues[m.key])

    def schedule_next_of_key(self, line: KeyQueue) -> None:
        """The key's turn may have come to its next message, perhaps for another destination."""
        if line.messages and not line.in_flight:
            self.due_destinations.add(line.messages[0].destination)
            self.timers.add(max(self.now_us, line.backoff_until_us), line.messages[0].destination)

    def back_off_key(self, key: str) -> None:
        """A call of this key may still run: the next message waits, over a restart too."""
        line, until = self.key_queues[key], self.now_us + self.settings.key_backoff_us
        if until > max(self.now_us, line.backoff_until_us):
            line.backoff_until_us = until
            self.actions.append(KeyBackoffStarted(key, until))

    def end_message(self, m: Message) -> None:
        """The only place that gives final answers. Refuse where a new try does no harm, else fail."""
        safe = (
            m.message_class.effect is Effect.REPEATABLE
            or (m.maybe_ran_at_us < 0 and not m.in_flight)
            or (m.message_class.effect is Effect.KEYED and m.message_class.key_scope is Scope.ALL)
        )
        self.actions.append(RejectMessage(m.id, self.retry_after_us(m), m.hold_reason) if safe else FailMessage(m.id))
        if m.key is not None and self.settings.notices_acknowledged:  # rule 6: not over for its key until it is heard
            self.key_queues[m.key].unacknowledged_ends[m.id] = m.sequence_number
        self.remove_message(m)

    def retry_after_us(self, m: Message) -> int:
        """How long the client should stay away: until the destination's wait or rest is over."""
        ends = [
            max(t.limit_scope.retry_after_until_us, t.limit_scope.backoff_until_us) for t in self.eligible_endpoints(m)
        ]
        wait = max(LEAST_AWAY_US, min(ends, default=self.now_us + SECOND) - self.now_us)
        return min(wait, self.settings.max_retry_after_us) if self.settings.retry_after_allowed else 0

    def end_hopeless_messages(self) -> None:
        """The unsent drop: a held message whose time left is below its expected call is answered now."""
        if self.now_us - self.keys_cleared_at_us >= SECOND:
            self.keys_cleared_at_us = self.now_us
            self.key_queues = {
                k: n for k, n in self.key_queues.items() if n.is_in_use() or n.backoff_until_us > self.now_us
            }
        for destination in sorted(self.due_destinations):
            for m in list(self.held.by_destination.get(destination, {}).values()):
                if self.now_us >= self.give_up_at_us(m) or not self.may_attempt(m) or self.retry_after_outlasts(m):
                    self.end_message(m)
        if len(self.messages) > BUFFER_MARK * self.settings.max_open_messages and self.held.by_destination:
            self.shed_load()

    def give_up_at_us(self, m: Message) -> int:
        """When the message's time left falls below its shortest expected call."""
        return m.due_us - max(int(self.shortest_expected_call_us(m)), LOOK_US)

    def retry_after_outlasts(self, m: Message) -> bool:
        """Whether every target that the message may go to has told a wait that is not over in its time."""
        ends = [t.limit_scope.retry_after_until_us for t in self.eligible_endpoints(m)]
        return bool(ends) and min(ends) > self.give_up_at_us(m)

    def shed_load(self) -> None:
        """One jammed destination must not fill the buffer: the largest pile gives up its last in order."""
        worst = max(self.held.by_destination, key=lambda d: (len(self.held.by_destination[d]), d))
        pile = list(self.held.by_destination[worst].values())
        pile.sort(key=lambda m: (m.maybe_ran_at_us < 0, m.over_quota, m.due_us, m.sequence_number))
        if self.now_us - self.shed_logged_at_us >= FORGET_US:
            self.shed_logged_at_us = self.now_us
            self.actions.append(LogLine(f"buffer nearly full: destination {worst} gives up its last"))
        for m in pile[1:][-max(1, int(len(self.messages) - BUFFER_MARK * self.settings.max_open_messages)) :]:
            self.end_message(m)

    def shortest_expected_call_us(self, m: Message) -> float:
        """The shortest expected call among the message's targets, worked out once a round for all alike."""
        alike = (m.destination, m.message_class.name, m.maybe_ran_on)
        if alike not in self.shortest_call_us:
            self.shortest_call_us[alike] = min(
                (self.expected_call_us(t.limit_scope, m.message_class) for t in self.eligible_endpoints(m)), default=0.0
            )
        return self.shortest_call_us[alike]

    def may_attempt(self, m: Message) -> bool:
        """Rule 2: whether a further attempt is allowed at all."""
        return m.attempts - m.local_failures < self.settings.max_attempts and self.now_us < self.send_before_us(m)

    def send_before_us(self, m: Message) -> int:
        """By when a further attempt has to leave: of one that may have run, within its window if it has one."""
        free = m.maybe_ran_at_us < 0 or m.message_class.effect is Effect.REPEATABLE
        return (
            NEVER
            if free
            else m.maybe_ran_at_us + m.message_class.retry_window_us
            if m.message_class.effect is Effect.KEYED
            else 0
        )

    def eligible_endpoints(self, m: Message) -> list[Endpoint]:
        """Serving targets of the message's destination within its key's scope."""
        targets = self.endpoints_by_destination.get(m.destination, [])
        if (
            m.maybe_ran_at_us < 0
            or m.message_class.effect is not Effect.KEYED
            or m.message_class.key_scope is Scope.ALL
        ):
            return targets
        first = self.endpoints.get(m.maybe_ran_on)  # of before a restart, it may be gone
        return [
            t
            for t in targets
            if t is first or (first and m.message_class.key_scope is Scope.ZONE and t.zone == first.zone)
        ]

    def end_attempt(self, event: AttemptEnded) -> None:
        """Book an outcome: the slot, the message, its key, and once for each call its target and place."""
        attempt = self.attempts.pop((event.message_id, event.attempt), None)
        if attempt is None:
            return
        m, call, target = attempt.message, attempt.call, attempt.call.endpoint
        call.open_messages -= 1
        if call.open_messages:
            self.due_destinations.add(target.destination)
        else:
            target.idle_since_us = self.now_us
            self.end_call(call)
        m.in_flight -= 1
        if m.key is not None:
            line = self.key_queues[m.key]
            line.in_flight -= 1
            if event.outcome in MAY_STILL_RUN:
                self.back_off_key(m.key)
            self.schedule_next_of_key(line)
        if event.outcome not in NEVER_RAN and m.maybe_ran_at_us < 0:
            m.maybe_ran_at_us, m.maybe_ran_on = call.sent_at_us, target.id
        self.run_guarded(partial(self.learn_outcome, m, call, event))
        if m.id in self.messages and event.is_final:
            self.remove_message(m)
        elif m.id in self.messages:
            m.avoid_endpoint = target.id
            self.held.add(m)

    def learn_outcome(self, m: Message, call: Call, event: AttemptEnded) -> None:
        """What an outcome tells of its target, its destination and this machine."""
        target = call.endpoint
        if event.report is not None:
            self.apply_load_report(target.limit_scope, event.report)
        if event.outcome is Outcome.LOCAL_FAILURE:
            m.local_failures += 1
            self.local_backoff_until_us = self.now_us + HELD_BACK_US
        else:
            self.notify_extensions(target, event.outcome)
        if not call.counted and event.outcome not in TELLS_NOTHING:
            call.counted = True
            self.learn_from_message_call(call, m, event)
        self.apply_retry_after(target.limit_scope, event.retry_after_us)

    def end_call(self, call: Call) -> None:
        """A call has come back, whatever it carried: its slot is free."""
        target = call.endpoint
        self.calls_in_flight -= 1
        target.in_flight, target.limit_scope.in_flight = target.in_flight - 1, target.limit_scope.in_flight - 1
        self.ended_calls.append(call)
        self.due_destinations.add(target.destination)

    def apply_retry_after(self, place: LimitScope, wait_us: int) -> None:
        place.retry_after_until_us = max(place.retry_after_until_us, self.now_us + wait_us)
        if (
            wait_us and self.is_large_fleet
        ):  # a wait ends for all at once, and where no limit is told only rests thin them out
            spread = max(wait_us, 0 if place.limit_per_s else place.backoff_us)
            place.backoff_until_us = place.retry_after_until_us + int(self.random.random() * spread)

    def apply_load_report(self, place: LimitScope, report: LoadReport) -> None:
        """Of many forwarders each follows what the limit has left: all use it up together, and each is told
        what is left to all. By time, so that many that call seldom move as fast as fewer that call often; up
        only while some are held, since a share that is not used up need not grow.
        """
        place.limit_per_s, place.limit_left = report.limit_per_s, report.limit_left
        passed = min(1.0, (self.now_us - place.reported_at_us) / SECOND)
        place.reported_at_us = self.now_us
        if not self.is_large_fleet:
            return
        if place.limit_left < CROWD_LEFT or place.destination in self.held.by_destination:
            place.quota_share *= math.exp(SHARE_RATE * passed * (place.limit_left - CROWD_LEFT))
            place.quota_share = max(SHARE_LEAST / self.fleet_size, min(1.0, place.quota_share))
        place.next_call_at_us = min(place.next_call_at_us, self.now_us + int(self.call_interval_us(place)))

    def call_interval_us(self, place: LimitScope) -> float:
        """The time between our calls at our share of the limit; 0 where there is none. Of many forwarders
        most hold nothing for it at most times: while much is left, the few that do go faster at once.
        """
        spare = max(0.0, place.limit_left - CROWD_LEFT) if self.is_large_fleet else 0.0
        rate = place.quota_share * place.limit_per_s * math.exp(SPARE_RATE * spare)
        return SECOND / max(rate, 1e-9) if place.limit_per_s else 0.0

    def lost_idle_connection(self, call: Call, outcome: Outcome) -> bool:
        """Whether a call failed on an idle connection: it tells of that and not of its target."""
        lost = IDLE_LEAST_US < call.connection_idle_us <= self.trusted_idle_us and outcome in (
            Outcome.RESET,
            Outcome.TIMED_OUT,
        )
        if lost:
            self.trusted_idle_us = call.connection_idle_us // 2
        return lost

    def update_trusted_idle(self, target: Endpoint) -> None:
        """After a success: how long to trust idle connections. Those of many forwarders fill what a target
        accepts, so where one that refused a connection once goes on all the same, it was short of them; one
        that refused several running was down.
        """
        if target.connect_failures == 1 and self.is_large_fleet:
            self.trusted_idle_us = max(min(IDLE_LEAST_US, self.max_idle_us), self.trusted_idle_us // 2)
        else:
            self.trusted_idle_us = min(self.max_idle_us, self.trusted_idle_us + self.trusted_idle_us // IDLE_GROW)

    def learn_from_message_call(self, call: Call, m: Message, event: AttemptEnded) -> None:
        """Learn from one call of messages: their expected call, and what any call tells of its target."""
        place, outcome = call.endpoint.limit_scope, event.outcome
        if (
            outcome is Outcome.TIMED_OUT and event.duration_us < m.message_class.latency_objective_us
        ) or self.lost_idle_connection(call, outcome):
            return  # neither late messages nor dead connections must make a sound target look hung
        place.expected_call_us, place.learned_at_us = self.expected_call_us(place, m.message_class), self.now_us
        place.initial_call_us = m.message_class.latency_objective_us / AIM_PER_CALL
        if outcome in (Outcome.DELIVERED, Outcome.TIMED_OUT):
            place.expected_call_us += MEAN_STEP * (event.duration_us - place.expected_call_us)
        self.learn_from_call(call, outcome, event.retry_after_us)

    def learn_from_call(self, call: Call, outcome: Outcome, wait_us: int) -> None:
        """Learn from any call: window, pace, and whether the target is in an outage."""
        target, place = call.endpoint, call.endpoint.limit_scope
        cut = call.sent_at_us > place.window_cut_at_us and outcome in TOO_MUCH
        news = min(NEWS_TOP, 1 - 0.5 ** (call.since_previous_us / EASE_US))
        if outcome is Outcome.DELIVERED:
            self.update_trusted_idle(target)
            place.concurrency_window, place.backoff_us = min(place.concurrency_window + 1, self.window_cap(place)), 0
            if not self.is_large_fleet and place.limit_left > MUCH_LEFT:
                place.quota_share = min(1.0, place.quota_share + SHARE_GROW)
        if cut:
            place.concurrency_window, place.window_cut_at_us = max(1.0, place.concurrency_window / 2), self.now_us
        if cut and outcome is Outcome.REJECTED:
            place.quota_share = max(SHARE_LEAST / self.fleet_size, place.quota_share * SHARE_CUT)
            crowd = max(1, self.settings.forwarders // FEW)  # each retry meets all others'
            place.backoff_us = min(crowd * REST_TOP_US, max(crowd * REST_US, REST_TIMES * place.backoff_us))
        if outcome is Outcome.REJECTED and not wait_us:
            rest = int(place.backoff_us * self.random.uniform(0.5, 1.5))
            place.backoff_until_us = max(place.backoff_until_us, self.now_us + rest)
        used_up = wait_us > 0 or (place.limit_per_s > 0 and place.limit_left <= MUCH_LEFT)
        if outcome is Outcome.REJECTED and self.is_large_fleet and used_up:
            return  # and so it is not shut: of many some meet that five times
        target.connect_failures = target.connect_failures + 1 if outcome is Outcome.NO_CONNECTION else 0
        step = FULL_STEP if outcome is Outcome.REJECTED else max(FAIL_STEP, news)
        target.error_rate += step * ((outcome is not Outcome.DELIVERED) - target.error_rate)
        self.update_ejection(target, outcome)

    def update_ejection(self, target: Endpoint, outcome: Outcome) -> None:
        """Rule 4: from the signs of an outage until warm again, calls to the target take turns."""
        if outcome is Outcome.DELIVERED:
            if self.is_slow_starting(target) and target.recovering_since_us < 0 and target.error_rate <= FAIL_MARK:
                target.recovering_since_us = self.now_us
                self.actions.append(EjectionChanged(target.id, target.ejected_at_us, target.recovering_since_us))
                self.actions.append(LogLine(f"target {target.id} answers again: warming"))
        elif target.error_rate > FAIL_MARK:
            if not self.is_slow_starting(target):
                self.actions.append(LogLine(f"target {target.id} in outage: {outcome.value}"))
                target.ejected_at_us = self.now_us
            if target.recovering_since_us >= 0 or target.ejected_at_us == self.now_us:
                self.actions.append(EjectionChanged(target.id, target.ejected_at_us))
            target.recovering_since_us = -1

    def is_slow_starting(self, t: Endpoint) -> bool:
        """Whether the target is in an outage, or back from one and not yet warm."""
        return t.ejected_at_us >= 0 and (
            t.recovering_since_us < 0 or self.now_us - t.recovering_since_us < self.settings.slow_start_us
        )

    def expected_call_us(self, place: LimitScope, cls: MessageClass) -> float:
        """The expected call: decayed mean, seeded from the class aim, easing back while nothing is out."""
        seed = cls.latency_objective_us / AIM_PER_CALL
        if place.learned_at_us < 0:
            return seed
        if place.in_flight:
            return place.expected_call_us
        return float(seed + (place.expected_call_us - seed) * 0.5 ** ((self.now_us - place.learned_at_us) / EASE_US))

    def window_cap(self, place: LimitScope) -> float:
        """The window's top: three quarters of the slots, half while failing or slow, never under one."""
        sick = place.expected_call_us > SLOW_TIMES * place.initial_call_us > 0 or any(
            self.is_slow_starting(t) and t.limit_scope is place
            for t in self.endpoints_by_destination.get(place.destination, [])
        )
        return max(1.0, (SICK_CAP if sick else HEALTHY_CAP) * self.settings.slots)

    def release_order(self) -> Iterator[Message]:
        """The group rule: the least time left and all within Gr of it first; in a group the shortest call."""
        looks = sorted(
            self.held.by_destination
            if self.slots_exhausted
            else self.due_destinations & self.held.by_destination.keys()
        )
        held = sorted(
            (m.over_quota, m.due_us, m.sequence_number, m.destination)
            for destination in looks
            for m in self.held.by_destination[destination].values()
        )
        first = 0
        while first < len(held) and (
            self.calls_in_flight < self.settings.slots
            or any(call.batch_size < call.endpoint.max_batch for call in self.forming_calls.values())
        ):
            over, due, *_ = held[first]
            range_us = GROUP_RANGE * max(0, due - self.now_us)  # one past its time is a group all the same
            end = bisect_right(held, (over, due + range_us, self.accepted_count, 0), first)
            group = [self.held.by_destination[d][number] for _, _, number, d in held[first:end]]
            yield from sorted(group, key=lambda m: (self.shortest_expected_call_us(m), m.due_us, m.sequence_number))
            first = end

    def release_messages(self) -> None:
        """Release once: in the group rule's order, each to the best target whose gate is open."""
        if self.calls_in_flight < self.settings.slots:
            shut: set[int] = set()  # what has no room keeps none for the rest of a round
            for m in self.release_order():
                gates = (
                    []
                    if m.destination in shut
                    else [t for t in self.eligible_endpoints(m) if self.hold_reason(m, t) is None]
                )
                if gates:
                    self.send_attempt(m, min(gates, key=lambda t: self.endpoint_preference(m, t)))
                elif m.destination not in shut and self.destination_opening(m.destination)[1] is not None:
                    shut.add(m.destination)
        self.slots_exhausted = self.calls_in_flight >= self.settings.slots
        for destination in sorted(self.due_destinations & self.held.by_destination.keys()):
            opens, gate = self.destination_opening(destination)
            self.record_hold_reason(destination, gate)
            first_drop = min(self.give_up_at_us(m) for m in self.held.by_destination[destination].values())
            self.timers.add(max(self.now_us + LOOK_US, min(first_drop, opens)), destination)

    def endpoint_preference(self, m: Message, t: Endpoint) -> tuple[float, ...]:
        """Which open target is best: a sound one, a call already forming, a cheap one, a quiet one."""
        fee = self.settings.zone_fees.get(t.zone, 0.0) if t.separate_route else 0.0
        return (
            t.ejected_at_us >= 0 and t.recovering_since_us < 0,
            t.id == m.avoid_endpoint,
            t.id not in self.forming_calls,
            fee,
            t.error_rate,
            t.in_flight,
            self.random.random(),
        )

    def record_hold_reason(self, destination: int, shut: HoldReason | None) -> None:
        """Book what holds each message of a destination now. Of several gates the one that opens last."""
        for m in self.held.by_destination[destination].values():
            held = self.key_hold_reason(m) or shut
            if held is None:  # its destination has room, but not for it
                held = next((g for t in self.eligible_endpoints(m) if (g := self.hold_reason(m, t))), HoldReason.SLOTS)
            self.hold_times.set_reason(m, held, self.now_us)

    def destination_opening(self, destination: int) -> tuple[int, HoldReason | None]:
        """When a destination opens, by the target that opens first, and what shuts all of it until then; None if
        it is open.
        """
        at, gate = min(
            (self.endpoint_opening(t) for t in self.endpoints_by_destination.get(destination, [])),
            key=lambda room: room[0],
            default=(NEVER, None),
        )
        return at, self.no_endpoint_reason(destination) if gate is None and at == NEVER else gate

    def no_endpoint_reason(self, destination: int) -> HoldReason:
        """Why a destination has no target that messages may go to."""
        known = [t for t in self.endpoints.values() if t.destination == destination]
        if any(t.serving for t in known):
            return HoldReason.DISABLED
        return HoldReason.DRAINING if known else HoldReason.UNLISTED if self.lists_received > 1 else HoldReason.STARTING

    def hold_reason(self, m: Message, t: Endpoint) -> HoldReason | None:
        """The one gate that every send passes; what holds the message, None to let it go. Each line keeps a
        rule or a bound.
        """
        held = self.key_hold_reason(m)
        if held is not None or not self.may_attempt(m):
            return held or HoldReason.UNSAFE_RETRY
        if (
            t.error_rate > SURE_MARK
            and m.message_class.effect is Effect.ONCE
            and m.due_us - self.now_us >= m.message_class.deadline_us / 2
        ):
            return HoldReason.UNSAFE_RETRY
        return self.endpoint_opening(t)[1]

    def key_hold_reason(self, m: Message) -> HoldReason | None:
        """Rule 6: one message of a key at a time, in their order."""
        if m.key is None:
            return None
        line = self.key_queues[m.key]
        if (
            line.messages[0] is not m
            or line.in_flight
            or any(n < m.sequence_number for n in line.unacknowledged_ends.values())
        ):
            return HoldReason.KEY_ORDER
        return HoldReason.KEY_BACKOFF if self.now_us < line.backoff_until_us and not m.attempts else None

    def endpoint_opening(self, t: Endpoint) -> tuple[int, HoldReason | None]:
        """The gate's part that is the same for every message: slots, window, pace, rest, turn. When it opens,
        and what shuts it until then; NEVER where only an event can open it.
        """
        unknown_until = max(self.peers_queried_until_us, self.list_awaited_until_us)
        if self.now_us < unknown_until:  # what discovery, or others, know of targets is not known here yet
            return unknown_until, HoldReason.STARTING
        if self.now_us < self.local_backoff_until_us:
            return self.local_backoff_until_us, HoldReason.LOCAL_FAILURE
        call = self.forming_calls.get(t.id)
        joins = call is not None and call.batch_size < t.max_batch
        if joins and (not self.is_slow_starting(t) or t.recovering_since_us >= 0):
            return self.now_us, None
        full = None if joins else self.capacity_hold_reason(t)
        return (NEVER, full) if full is not None else self.pacing_opening(t)

    def capacity_hold_reason(self, t: Endpoint) -> HoldReason | None:
        """What has no room for one more call, of slots and window. The window never shuts messages out for as
        long as streams fill it: one call of messages has room beside them.
        """
        here = sum(other.in_flight for other in self.endpoints_by_destination[t.destination])
        if self.calls_in_flight >= self.settings.slots or here >= max(1, int(HEALTHY_CAP * self.settings.slots)):
            return HoldReason.SLOTS
        window, cap = (
            max(t.limit_scope.concurrency_window, t.limit_scope.streams_in_flight + 1),
            self.window_cap(t.limit_scope),
        )
        if t.limit_scope.in_flight < int(min(window, cap)):
            return None
        return HoldReason.DEGRADED_CAP if cap < window else HoldReason.CONCURRENCY_WINDOW

    def pacing_opening(self, t: Endpoint) -> tuple[int, HoldReason | None]:
        """When waits, rests, our pace and our turn let a call go, and the last of them to do so."""
        place, gate = t.limit_scope, HoldReason.RETRY_AFTER
        at = place.retry_after_until_us
        if place.backoff_until_us > at:
            at, gate = place.backoff_until_us, HoldReason.BACKOFF
        if place.next_call_at_us > at:
            at, gate = place.next_call_at_us, HoldReason.QUOTA_PACE
        if self.is_slow_starting(t):
            turn = t.last_call_at_us + int(t.slow_start_jitter * self.slow_start_interval_us(t))
            if turn > at:
                at, gate = turn, HoldReason.EJECTED if t.recovering_since_us < 0 else HoldReason.SLOW_START
        return at, gate if at > self.now_us else None

    def slow_start_interval_us(self, t: Endpoint) -> float:
        """Rule 4: the time between our calls to a cold target. Where it is long, few others hold a message
        for it, and a multiple of the outage's age suffices.
        """
        warm = (
            (self.now_us - t.recovering_since_us) / max(1, self.settings.slow_start_us)
            if t.recovering_since_us >= 0
            else 0.0
        )
        cold = self.settings.slow_start_from + (1 - self.settings.slow_start_from) * warm
        capacity = t.limit_scope.limit_per_s or (t.weight if self.settings.weights_reported else 0.0)
        size = t.slow_start_divisor or self.fleet_size
        sharing = size * (1 if t.separate_route else len(self.endpoints_by_destination[t.destination]))
        rate = BUDGET_PART * self.settings.overload_factor * cold * capacity / sharing / SECOND
        grown = 1.0 if capacity else cold / max(self.settings.slow_start_from, 0.01)  # where nothing is told of it
        least = SLACK_CALLS * grown / max(1, self.settings.overload_window_us) / size
        age = (t.last_call_at_us if t.recovering_since_us < 0 else t.recovering_since_us) - t.ejected_at_us
        return min(1 / max(rate, least), max(self.settings.overload_window_us, TURN_TIMES * age))

    def residual_jitter(self) -> float:
        """What is left of a turn that began before the restart: of the turn that a random moment falls into (a
        long one more likely), a random part. So many that start at once call as in any other second.
        """
        return self.random.random() * math.sqrt(SPREAD[0] ** 2 + 2 * self.random.random())

    def send_attempt(self, m: Message, t: Endpoint) -> None:
        """Send, and book what it takes."""
        place, call = t.limit_scope, self.forming_calls.get(t.id)
        if call is None or call.batch_size >= t.max_batch:
            if self.now_us - place.learned_at_us > FORGET_US:
                place.concurrency_window = 1.0
            place.expected_call_us = self.expected_call_us(place, m.message_class)
            call = self.forming_calls[t.id] = self.start_call(
                t, m.message_class.deadline_us / 2 if self.is_large_fleet else m.message_class.latency_objective_us
            )
        t.last_call_at_us = self.now_us
        call.batch_size, call.open_messages = call.batch_size + 1, call.open_messages + 1
        if m.key is not None:
            self.key_queues[m.key].in_flight += 1
        self.attempts[(m.id, m.attempts)] = Attempt(m, call)
        m.attempts, m.in_flight = m.attempts + 1, m.in_flight + 1
        self.held.remove(m)
        self.hold_times.set_reason(m, None, self.now_us)
        self.actions.append(SendAttempt(m.id, t.id, self.attempt_timeout_us(m, place), self.send_before_us(m)))

    def start_call(self, t: Endpoint, longest: float) -> Call:
        """Book a new call, whatever it carries; the next at our pace goes no later than the longest time."""
        place = t.limit_scope
        idle = 0 if t.in_flight or t.idle_since_us < 0 else self.now_us - t.idle_since_us
        if idle > self.trusted_idle_us > 0:
            self.actions.append(CloseIdleConnections(t.id))
        call = Call(t, self.now_us, idle, self.now_us - t.last_call_at_us)
        t.slow_start_jitter = self.random.uniform(*SPREAD)
        self.calls_in_flight += 1
        t.in_flight, place.in_flight = t.in_flight + 1, place.in_flight + 1
        place.next_call_at_us = self.spend_token(
            place.next_call_at_us, min(longest, self.call_interval_us(place)), BURST_US
        )
        t.last_call_at_us = self.now_us
        return call

    def attempt_timeout_us(self, m: Message, place: LimitScope) -> int:
        """How long an attempt may take. To give up one that must not run twice is to lose it: it has more."""
        patience = m.message_class.latency_objective_us * (ONCE_AIMS if m.message_class.effect is Effect.ONCE else 1)
        usual = self.expected_call_us(place, m.message_class)
        return min(m.due_us - self.now_us, int(max(min(patience, MOST_CALLS * usual), TIMEOUT_CALLS * usual)))
