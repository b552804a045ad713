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
        self.now, self.random = now, random.Random(seed)
        self.targets: dict[int, Endpoint] = {}
        self.by_destination: dict[int, list[Endpoint]] = {}  # those that messages may go to
        self.banned: dict[int, int] = {}  # targets that operators leave out, since when
        self.places: dict[tuple[int, int], LimitScope] = {}
        self.messages: dict[str, Message] = {}
        self.held, self.timers, self.jammed = HeldMessages(), TimerQueue(), False
        self.books, self.lists = HoldTimes(), 0
        self.tune(settings)
        self.idle_us = self.idle_top
        self.ask_pause, self.cleared_at, self.shed_at = ASK_AGAIN_US, now, now - FORGET_US
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.lines: dict[str, KeyQueue] = {}
        self.purses: dict[str, int] = {}
        self.calls_out, self.taken, self.armed, self.asking_until = 0, 0, -1, now
        self.list_awaited_until = self.machine_rests_until = now
        self.round_calls: dict[int, Call] = {}
        self.shortest: dict[tuple[int, str, int], float] = {}
        self.actions: list[Action] = []
        self.faults: list[Exception] = []  # of the round
        self.parts: list[DecisionExtension] = []
        if settings.subscribe:
            self.timers.add(now, THE_LIST)

    def tune(self, settings: Settings) -> None:
        """Take on settings, the first or new ones. Held messages keep the class that they came with."""
        self.s = settings
        self.classes = {c.name: c for c in settings.classes}
        self.kinds = {k.name: k for k in settings.kinds}
        self.tenants = {t.name: t for t in settings.tenants}
        self.many, self.size = settings.balancers > FEW, float(settings.balancers)
        self.idle_top = min(settings.conn_idle_us, FORGET_US)

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Absorb the events of one round, then decide once. An error in one step is kept in `faults` and costs that
        step alone: the other events still count, and whatever was to be looked at is looked at again.
        """
        self.now, self.actions, self.round_calls, self.shortest = now, [], {}, {}
        self.faults = []
        self.looks = self.timers.due(now)
        self.came_back: list[Call] = []
        for event in events:
            self.guard(partial(self.absorb, event))
        for part in self.parts:
            self.guard(part.prepare)
        if THE_LIST in self.looks:
            self.actions.append(RequestEndpointList())
        self.guard(self.drop)
        self.guard(self.release)
        for part in self.parts:
            self.guard(part.decide)
        for call in self.came_back:
            if call.gap > self.idle_us > 0 and not call.target.out:
                self.actions.append(CloseIdleConnections(call.target.id))
        if self.faults:
            for destination in self.looks & self.held.piles.keys():
                self.timers.add(now + LOOK_US, destination)
        if self.timers.entries and not now < self.armed <= self.timers.entries[0][0]:
            self.armed = self.timers.entries[0][0]
            self.actions.append(SetTimer(max(1, self.armed - now), "look"))
        return self.actions

    def guard(self, step: Callable[[], None]) -> None:
        """Take one step; an error in it goes no further."""
        try:
            step()
        except Exception as error:
            self.faults.append(error)

    def absorb(self, event: Event) -> None:
        """Take in one event; what it changes is decided on once all are in."""
        match event:
            case MessageArrived():
                self.arrived(event)
            case MessageRecovered():
                self.recalled(event)
            case EjectionRecovered(target, since, back) if target in self.targets:
                t = self.targets[target]
                t.outage_at, t.back_at, t.failing, t.tried_at = since, back, SURE_MARK, self.now
                t.spread = self.rest_of_turn()
            case EndpointDisabled(target, since):
                self.banned.setdefault(target, since)
                self.index()
            case EndpointEnabled(target) if target in self.banned:
                self.unbanned(target)
            case HandoverReceived(memory):
                self.inherit(memory)
            case EndpointListAwaited(until):
                self.list_awaited_until = until
            case SettingsChanged(new):
                self.tune(new)
                self.idle_us = min(self.idle_us, self.idle_top)
                self.looks.update(self.held.piles)
            case PendingNoticeRecovered():
                self.lines.setdefault(event.key, KeyQueue()).ending[event.message] = 0
            case KeyBackoffRecovered(key, until):
                line = self.lines.setdefault(key, KeyQueue())
                line.rest_until = max(line.rest_until, until)
            case NoticeAcknowledged() if event.key in self.lines:
                self.lines[event.key].ending.pop(event.message, None)
                self.next_in(self.lines[event.key])
            case AttemptEnded():
                self.ended(event)
            case EndpointListReceived():
                self.listed(event)
            case MessageWithdrawn() if event.message in self.messages:
                self.over(self.messages[event.message])
            case ExtensionEvent():
                for part in self.parts:
                    part.absorb(event)

    def why(self, name: str) -> list[tuple[HoldReason, int]]:
        """What has held a message that is not over, in microseconds, with what holds it now first."""
        m = self.messages[name]
        waited = dict(m.waited)
        if m.gate is not None:
            waited[m.gate] = waited.get(m.gate, 0) + self.now - m.gate_at
        return sorted(waited.items(), key=lambda row: (row[0] is not m.gate, -row[1]))

    def memory(self) -> LearnedState:
        """What was learned and is out, for the process that takes over."""
        calls: dict[int, list[tuple[str, int]]] = {}
        of = {id(a.call): a.call for a in self.attempts.values()}
        for attempt, a in self.attempts.items():
            calls.setdefault(id(a.call), []).append(attempt)
        return LearnedState(
            tuple((*whose, learned_fields(place, LIMIT_SCOPE_LEARNED)) for whose, place in self.places.items()),
            tuple((t.id, learned_fields(t, ENDPOINT_LEARNED)) for t in self.targets.values()),
            {key: line.rest_until for key, line in self.lines.items() if line.rest_until > self.now},
            dict(self.purses),
            self.idle_us,
            tuple(
                CallInFlight(c.target.id, c.sent_at, c.idle, c.gap, c.judged, tuple(calls[n])) for n, c in of.items()
            ),
        )

    def inherit(self, memory: LearnedState) -> None:
        """Go on with the memory of the process before: its calls still hold their slots and their keys."""
        for destination, which, row in memory.places:
            if (destination, which) in self.places:
                restore_fields(self.places[(destination, which)], LIMIT_SCOPE_LEARNED, row)
        for number, row in memory.targets:
            if number in self.targets:
                restore_fields(self.targets[number], ENDPOINT_LEARNED, row)
        for key, until in memory.rests.items():
            line = self.lines.setdefault(key, KeyQueue())
            line.rest_until = max(line.rest_until, until)
        self.purses, self.idle_us = dict(memory.purses), min(memory.idle_us, self.idle_top)
        for out in memory.calls:
            attempts = [(name, number) for name, number in out.attempts if name in self.messages]
            if not attempts:
                continue
            t = self.targets.get(out.target) or self.departed(out.target, self.messages[attempts[0][0]].destination)
            call = Call(t, out.sent_us, out.idle_us, out.gap_us, len(attempts), len(attempts), out.judged)
            self.calls_out, t.out, t.place.out = self.calls_out + 1, t.out + 1, t.place.out + 1
            for name, number in attempts:
                m = self.messages[name]
                self.attempts[(name, number)] = Attempt(m, call)
                m.attempts, m.out = max(m.attempts, number + 1), m.out + 1
                self.held.remove(m)
                self.books.turn(m, None, self.now)
                if m.key is not None:
                    self.lines[m.key].out += 1

    def departed(self, number: int, destination: int) -> Endpoint:
        """A target that has left the list while a call to it is out: for that call alone."""
        place = self.places.setdefault((destination, -1), LimitScope(destination, 1.0, share=1.0 / self.size))
        return Endpoint(number, destination, "", 0.0, place, serving=False)

    def listed(self, event: EndpointListReceived) -> None:
        """Follow the list. A drained or gone target gets nothing new from this round on."""
        if event.kind is EndpointListKind.FAILED:
            self.timers.add(self.now + self.ask_pause + self.random.randrange(self.ask_pause), THE_LIST)
            self.ask_pause = min(2 * self.ask_pause, 4 * ASK_AGAIN_US)
            return
        self.ask_pause, self.lists = ASK_AGAIN_US, self.lists + 1
        if event.kind is not EndpointListKind.SAVED:
            self.list_awaited_until = self.now
        if event.kind is not EndpointListKind.CHANGES:
            for target in self.targets.values():
                target.serving = False
        for e in event.entries:
            known = self.targets.get(e.target)
            if known is None or known.destination != e.destination:
                kind = self.kinds.get(e.kind, DestinationKind(e.kind))
                whose = (e.destination, e.target if kind.routes_apart else -1)
                place = self.places.setdefault(whose, LimitScope(e.destination, 1.0, share=1.0 / self.size))
                known = self.targets[e.target] = Endpoint(
                    e.target, e.destination, e.zone, e.weight, place, kind.batch, kind.routes_apart
                )
            if e.kind in self.kinds:
                known.batch = self.kinds[e.kind].batch
            known.zone, known.weight, known.serving = e.zone, e.weight, e.state is EndpointState.SERVING
        if len(self.targets) > MOST_TARGETS:  # replaced targets must not pile up over months
            gone = [t.id for t in self.targets.values() if not t.serving and not t.out]
            for number in gone[: len(self.targets) - MOST_TARGETS]:
                del self.targets[number]
        self.index()

    def index(self) -> None:
        """Which targets a message may go to has changed."""
        self.by_destination = {}
        for target in self.targets.values():
            if target.serving and not target.ejected and target.id not in self.banned:
                self.by_destination.setdefault(target.destination, []).append(target)
        self.looks.update(self.held.piles)

    def unbanned(self, number: int) -> None:
        """A target that was left out comes back cold: it may have been restarted meanwhile."""
        since, t = self.banned.pop(number), self.targets.get(number)
        if t is not None:
            t.outage_at, t.back_at = (t.outage_at if self.cold(t) else since), self.now
            self.actions.append(EjectionChanged(t.id, t.outage_at, t.back_at))
        self.index()

    def eject(self, t: Endpoint) -> None:
        """A part has found a target sick: it gets nothing, and counts as in an outage."""
        t.ejected, t.outage_at, t.back_at = True, t.outage_at if self.cold(t) else self.now, -1
        self.actions.append(EjectionChanged(t.id, t.outage_at))
        self.index()

    def give_back(self, t: Endpoint) -> None:
        """An ejected target is used again, and is as cold as after any outage."""
        t.ejected, t.back_at = False, self.now
        self.actions.append(EjectionChanged(t.id, t.outage_at, t.back_at))
        self.index()

    def divide(self, size: float) -> None:
        """From now on this forwarder's part of what all share is one of so many; it was the settings' number."""
        if size != self.size:
            for place in self.places.values():
                place.share = min(1.0, place.share * self.size / size)
            self.size = size

    def noticed(self, t: Endpoint, outcome: Outcome) -> None:
        for part in self.parts:
            part.noticed(t.id, outcome)

    def arrived(self, event: MessageArrived) -> None:
        """Take a message. One of an unknown class is failed: its effect is not known."""
        cls = self.classes.get(event.class_name)
        if cls is None:
            self.actions.append(FailMessage(event.message))
        else:
            self.take(event, cls)

    def take(self, event: MessageArrived | MessageRecovered, cls: MessageClass) -> Message:
        """Hold a message, in its key's line if its class has one."""
        self.taken += 1
        key = event.key if cls.in_order else None
        m = Message(
            event.message,
            event.destination,
            cls,
            event.due_us,
            self.now,
            self.taken,
            key,
            self.over_share(event.tenant),
            gate_at=self.now,
        )
        self.messages[m.id] = m
        self.held.add(m)
        self.looks.add(m.destination)
        if key is not None:
            self.lines.setdefault(key, KeyQueue()).queue.append(m)
        return m

    def recalled(self, event: MessageRecovered) -> None:
        """Go on with a message of before a restart: what it may do depends on what it did till then."""
        m = self.take(event, event.cls)
        m.attempts, m.held_back = event.attempts, event.held_back
        m.ran_at, m.ran_on = event.ran_at_us, event.ran_on
        if m.key is not None and event.cut_off:
            self.rest_key(m.key)

    def over_share(self, name: str | None) -> bool:
        """Whether a tenant has spent our part of its share; what goes beyond is worth little."""
        tenant = self.tenants.get(name or "")
        if tenant is None or not tenant.allowance_per_s or self.s.over_share_worth >= 1:
            return False
        each = SECOND * self.size / tenant.allowance_per_s
        spent_until = self.purses.get(tenant.name, -NEVER)
        if spent_until <= self.now:
            self.purses[tenant.name] = self.spend(spent_until, each, max(PURSE_US, PURSE_LEAST * each))
        return spent_until > self.now

    def spend(self, spent_until: int, each: float, ahead: float) -> int:
        """When the next one may go, where each takes its time and what was saved counts some time back."""
        return int(max(spent_until, self.now - max(0.0, ahead - each)) + each)

    def over(self, m: Message) -> None:
        """A message has ended: nothing more goes out for it, and its key turns to the next."""
        self.books.turn(m, None, self.now)
        del self.messages[m.id]
        self.held.remove(m)
        if m.key is not None:
            self.lines[m.key].queue.remove(m)
            self.next_in(self.lines[m.key])

    def next_in(self, line: KeyQueue) -> None:
        """The key's turn may have come to its next message, perhaps for another destination."""
        if line.queue and not line.out:
            self.looks.add(line.queue[0].destination)
            self.timers.add(max(self.now, line.rest_until), line.queue[0].destination)

    def rest_key(self, key: str) -> None:
        """A call of this key may still run: the next message waits, over a restart too."""
        line, until = self.lines[key], self.now + self.s.key_rest_us
        if until > max(self.now, line.rest_until):
            line.rest_until = until
            self.actions.append(KeyBackoffStarted(key, until))

    def answer(self, m: Message) -> None:
        """The only place that gives final answers. Refuse where a new try does no harm, else fail."""
        safe = (
            m.cls.effect is Effect.REPEATABLE
            or (m.ran_at < 0 and not m.out)
            or (m.cls.effect is Effect.KEYED and m.cls.scope is Scope.ALL)
        )
        self.actions.append(RejectMessage(m.id, self.retry_after(m), m.gate) if safe else FailMessage(m.id))
        if m.key is not None and self.s.ends_confirmed:  # rule 6: not over for its key until it is heard
            self.lines[m.key].ending[m.id] = m.number
        self.over(m)

    def retry_after(self, m: Message) -> int:
        """How long the client should stay away: until the destination's wait or rest is over."""
        ends = [max(t.place.wait_until, t.place.rest_until) for t in self.usable(m)]
        wait = max(LEAST_AWAY_US, min(ends, default=self.now + SECOND) - self.now)
        return min(wait, self.s.max_retry_after_us) if self.s.retry_after else 0

    def drop(self) -> None:
        """The unsent drop: a held message whose time left is below its expected call is answered now."""
        if self.now - self.cleared_at >= SECOND:
            self.cleared_at = self.now
            self.lines = {k: n for k, n in self.lines.items() if n.used() or n.rest_until > self.now}
        for destination in sorted(self.looks):
            for m in list(self.held.piles.get(destination, {}).values()):
                if self.now >= self.drop_at(m) or not self.may_repeat(m) or self.barred(m):
                    self.answer(m)
        if len(self.messages) > BUFFER_MARK * self.s.max_open and self.held.piles:
            self.shed()

    def drop_at(self, m: Message) -> int:
        """When the message's time left falls below its shortest expected call."""
        return m.due - max(int(self.soonest(m)), LOOK_US)

    def barred(self, m: Message) -> bool:
        """Whether every target that the message may go to has told a wait that is not over in its time."""
        ends = [t.place.wait_until for t in self.usable(m)]
        return bool(ends) and min(ends) > self.drop_at(m)

    def shed(self) -> None:
        """One jammed destination must not fill the buffer: the largest pile gives up its last in order."""
        worst = max(self.held.piles, key=lambda d: (len(self.held.piles[d]), d))
        pile = list(self.held.piles[worst].values())
        pile.sort(key=lambda m: (m.ran_at < 0, m.over_share, m.due, m.number))
        if self.now - self.shed_at >= FORGET_US:
            self.shed_at = self.now
            self.actions.append(LogLine(f"buffer nearly full: destination {worst} gives up its last"))
        for m in pile[1:][-max(1, int(len(self.messages) - BUFFER_MARK * self.s.max_open)) :]:
            self.answer(m)

    def soonest(self, m: Message) -> float:
        """The shortest expected call among the message's targets, worked out once a round for all alike."""
        alike = (m.destination, m.cls.name, m.ran_on)
        if alike not in self.shortest:
            self.shortest[alike] = min((self.expected(t.place, m.cls) for t in self.usable(m)), default=0.0)
        return self.shortest[alike]

    def may_repeat(self, m: Message) -> bool:
        """Rule 2: whether a further attempt is allowed at all."""
        return m.attempts - m.held_back < self.s.max_attempts and self.now < self.leave_by(m)

    def leave_by(self, m: Message) -> int:
        """By when a further attempt has to leave: of one that may have run, within its window if it has one."""
        free = m.ran_at < 0 or m.cls.effect is Effect.REPEATABLE
        return NEVER if free else m.ran_at + m.cls.window_us if m.cls.effect is Effect.KEYED else 0

    def usable(self, m: Message) -> list[Endpoint]:
        """Serving targets of the message's destination within its key's scope."""
        targets = self.by_destination.get(m.destination, [])
        if m.ran_at < 0 or m.cls.effect is not Effect.KEYED or m.cls.scope is Scope.ALL:
            return targets
        first = self.targets.get(m.ran_on)  # of before a restart, it may be gone
        return [t for t in targets if t is first or (first and m.cls.scope is Scope.ZONE and t.zone == first.zone)]

    def ended(self, event: AttemptEnded) -> None:
        """Book an outcome: the slot, the message, its key, and once for each call its target and place."""
        attempt = self.attempts.pop((event.message, event.attempt), None)
        if attempt is None:
            return
        m, call, target = attempt.message, attempt.call, attempt.call.target
        call.messages -= 1
        if call.messages:
            self.looks.add(target.destination)
        else:
            target.idle_at = self.now
            self.call_ended(call)
        m.out -= 1
        if m.key is not None:
            line = self.lines[m.key]
            line.out -= 1
            if event.outcome in MAY_STILL_RUN:
                self.rest_key(m.key)
            self.next_in(line)
        if event.outcome not in NEVER_RAN and m.ran_at < 0:
            m.ran_at, m.ran_on = call.sent_at, target.id
        self.guard(partial(self.learn_outcome, m, call, event))
        if m.id in self.messages and event.closed:
            self.over(m)
        elif m.id in self.messages:
            m.avoid = target.id
            self.held.add(m)

    def learn_outcome(self, m: Message, call: Call, event: AttemptEnded) -> None:
        """What an outcome tells of its target, its destination and this machine."""
        target = call.target
        if event.report is not None:
            self.reported(target.place, event.report)
        if event.outcome is Outcome.HELD_BACK:
            m.held_back += 1
            self.machine_rests_until = self.now + HELD_BACK_US
        else:
            self.noticed(target, event.outcome)
        if not call.judged and event.outcome not in TELLS_NOTHING:
            call.judged = True
            self.judge(call, m, event)
        self.told_wait(target.place, event.wait_us)

    def call_ended(self, call: Call) -> None:
        """A call has come back, whatever it carried: its slot is free."""
        target = call.target
        self.calls_out -= 1
        target.out, target.place.out = target.out - 1, target.place.out - 1
        self.came_back.append(call)
        self.looks.add(target.destination)

    def told_wait(self, place: LimitScope, wait_us: int) -> None:
        place.wait_until = max(place.wait_until, self.now + wait_us)
        if wait_us and self.many:  # a wait ends for all at once, and where no limit is told only rests thin them out
            spread = max(wait_us, 0 if place.limit else place.rest)
            place.rest_until = place.wait_until + int(self.random.random() * spread)

    def reported(self, place: LimitScope, report: LoadReport) -> None:
        """Of many forwarders each follows what the limit has left: all use it up together, and each is told
        what is left to all. By time, so that many that call seldom move as fast as fewer that call often; up
        only while some are held, since a share that is not used up need not grow.
        """
        place.limit, place.left = report.limit_per_s, report.left
        passed = min(1.0, (self.now - place.told_at) / SECOND)
        place.told_at = self.now
        if not self.many:
            return
        if place.left < CROWD_LEFT or place.destination in self.held.piles:
            place.share *= math.exp(SHARE_RATE * passed * (place.left - CROWD_LEFT))
            place.share = max(SHARE_LEAST / self.size, min(1.0, place.share))
        place.pace_at = min(place.pace_at, self.now + int(self.interval(place)))

    def interval(self, place: LimitScope) -> float:
        """The time between our calls at our share of the limit; 0 where there is none. Of many forwarders
        most hold nothing for it at most times: while much is left, the few that do go faster at once.
        """
        spare = max(0.0, place.left - CROWD_LEFT) if self.many else 0.0
        rate = place.share * place.limit * math.exp(SPARE_RATE * spare)
        return SECOND / max(rate, 1e-9) if place.limit else 0.0

    def idle_lost(self, call: Call, outcome: Outcome) -> bool:
        """Whether a call failed on an idle connection: it tells of that and not of its target."""
        lost = IDLE_LEAST_US < call.idle <= self.idle_us and outcome in (Outcome.RESET, Outcome.TIMED_OUT)
        if lost:
            self.idle_us = call.idle // 2
        return lost

    def connections_kept(self, target: Endpoint) -> None:
        """After a success: how long to trust idle connections. Those of many forwarders fill what a target
        accepts, so where one that refused a connection once goes on all the same, it was short of them; one
        that refused several running was down.
        """
        if target.unreached == 1 and self.many:
            self.idle_us = max(min(IDLE_LEAST_US, self.idle_top), self.idle_us // 2)
        else:
            self.idle_us = min(self.idle_top, self.idle_us + self.idle_us // IDLE_GROW)

    def judge(self, call: Call, m: Message, event: AttemptEnded) -> None:
        """Learn from one call of messages: their expected call, and what any call tells of its target."""
        place, outcome = call.target.place, event.outcome
        if (outcome is Outcome.TIMED_OUT and event.took_us < m.cls.aim_us) or self.idle_lost(call, outcome):
            return  # neither late messages nor dead connections must make a sound target look hung
        place.mean, place.mean_at = self.expected(place, m.cls), self.now
        place.seed = m.cls.aim_us / AIM_PER_CALL
        if outcome in (Outcome.DELIVERED, Outcome.TIMED_OUT):
            place.mean += MEAN_STEP * (event.took_us - place.mean)
        self.learn(call, outcome, event.wait_us)

    def learn(self, call: Call, outcome: Outcome, wait_us: int) -> None:
        """Learn from any call: window, pace, and whether the target is in an outage."""
        target, place = call.target, call.target.place
        cut = call.sent_at > place.cut_at and outcome in TOO_MUCH
        news = min(NEWS_TOP, 1 - 0.5 ** (call.gap / EASE_US))
        if outcome is Outcome.DELIVERED:
            self.connections_kept(target)
            place.window, place.rest = min(place.window + 1, self.cap(place)), 0
            if not self.many and place.left > MUCH_LEFT:
                place.share = min(1.0, place.share + SHARE_GROW)
        if cut:
            place.window, place.cut_at = max(1.0, place.window / 2), self.now
        if cut and outcome is Outcome.FULL:
            place.share = max(SHARE_LEAST / self.size, place.share * SHARE_CUT)
            crowd = max(1, self.s.balancers // FEW)  # each retry meets all others'
            place.rest = min(crowd * REST_TOP_US, max(crowd * REST_US, REST_TIMES * place.rest))
        if outcome is Outcome.FULL and not wait_us:
            rest = int(place.rest * self.random.uniform(0.5, 1.5))
            place.rest_until = max(place.rest_until, self.now + rest)
        used_up = wait_us > 0 or (place.limit > 0 and place.left <= MUCH_LEFT)
        if outcome is Outcome.FULL and self.many and used_up:
            return  # and so it is not shut: of many some meet that five times
        target.unreached = target.unreached + 1 if outcome is Outcome.NO_CONNECTION else 0
        step = FULL_STEP if outcome is Outcome.FULL else max(FAIL_STEP, news)
        target.failing += step * ((outcome is not Outcome.DELIVERED) - target.failing)
        self.watch_outage(target, outcome)

    def watch_outage(self, target: Endpoint, outcome: Outcome) -> None:
        """Rule 4: from the signs of an outage until warm again, calls to the target take turns."""
        if outcome is Outcome.DELIVERED:
            if self.cold(target) and target.back_at < 0 and target.failing <= FAIL_MARK:
                target.back_at = self.now
                self.actions.append(EjectionChanged(target.id, target.outage_at, target.back_at))
                self.actions.append(LogLine(f"target {target.id} answers again: warming"))
        elif target.failing > FAIL_MARK:
            if not self.cold(target):
                self.actions.append(LogLine(f"target {target.id} in outage: {outcome.value}"))
                target.outage_at = self.now
            if target.back_at >= 0 or target.outage_at == self.now:
                self.actions.append(EjectionChanged(target.id, target.outage_at))
            target.back_at = -1

    def cold(self, t: Endpoint) -> bool:
        """Whether the target is in an outage, or back from one and not yet warm."""
        return t.outage_at >= 0 and (t.back_at < 0 or self.now - t.back_at < self.s.warm_us)

    def expected(self, place: LimitScope, cls: MessageClass) -> float:
        """The expected call: decayed mean, seeded from the class aim, easing back while nothing is out."""
        seed = cls.aim_us / AIM_PER_CALL
        if place.mean_at < 0:
            return seed
        if place.out:
            return place.mean
        return float(seed + (place.mean - seed) * 0.5 ** ((self.now - place.mean_at) / EASE_US))

    def cap(self, place: LimitScope) -> float:
        """The window's top: three quarters of the slots, half while failing or slow, never under one."""
        sick = place.mean > SLOW_TIMES * place.seed > 0 or any(
            self.cold(t) and t.place is place for t in self.by_destination.get(place.destination, [])
        )
        return max(1.0, (SICK_CAP if sick else HEALTHY_CAP) * self.s.slots)

    def order(self) -> Iterator[Message]:
        """The group rule: the least time left and all within Gr of it first; in a group the shortest call."""
        looks = sorted(self.held.piles if self.jammed else self.looks & self.held.piles.keys())
        held = sorted(
            (m.over_share, m.due, m.number, m.destination)
            for destination in looks
            for m in self.held.piles[destination].values()
        )
        first = 0
        while first < len(held) and (
            self.calls_out < self.s.slots or any(call.joined < call.target.batch for call in self.round_calls.values())
        ):
            over, due, *_ = held[first]
            range_us = GROUP_RANGE * max(0, due - self.now)  # one past its time is a group all the same
            end = bisect_right(held, (over, due + range_us, self.taken, 0), first)
            group = [self.held.piles[d][number] for _, _, number, d in held[first:end]]
            yield from sorted(group, key=lambda m: (self.soonest(m), m.due, m.number))
            first = end

    def release(self) -> None:
        """Release once: in the group rule's order, each to the best target whose gate is open."""
        if self.calls_out < self.s.slots:
            shut: set[int] = set()  # what has no room keeps none for the rest of a round
            for m in self.order():
                gates = [] if m.destination in shut else [t for t in self.usable(m) if self.gate(m, t) is None]
                if gates:
                    self.send(m, min(gates, key=lambda t: self.preference(m, t)))
                elif m.destination not in shut and self.opening(m.destination)[1] is not None:
                    shut.add(m.destination)
        self.jammed = self.calls_out >= self.s.slots
        for destination in sorted(self.looks & self.held.piles.keys()):
            opens, gate = self.opening(destination)
            self.book(destination, gate)
            first_drop = min(self.drop_at(m) for m in self.held.piles[destination].values())
            self.timers.add(max(self.now + LOOK_US, min(first_drop, opens)), destination)

    def preference(self, m: Message, t: Endpoint) -> tuple[float, ...]:
        """Which open target is best: a sound one, a call already forming, a cheap one, a quiet one."""
        fee = self.s.zone_fees.get(t.zone, 0.0) if t.apart else 0.0
        return (
            t.outage_at >= 0 and t.back_at < 0,
            t.id == m.avoid,
            t.id not in self.round_calls,
            fee,
            t.failing,
            t.out,
            self.random.random(),
        )

    def book(self, destination: int, shut: HoldReason | None) -> None:
        """Book what holds each message of a destination now. Of several gates the one that opens last."""
        for m in self.held.piles[destination].values():
            held = self.key_gate(m) or shut
            if held is None:  # its destination has room, but not for it
                held = next((g for t in self.usable(m) if (g := self.gate(m, t))), HoldReason.SLOTS)
            self.books.turn(m, held, self.now)

    def opening(self, destination: int) -> tuple[int, HoldReason | None]:
        """When a destination opens, by the target that opens first, and what shuts all of it until then; None if
        it is open.
        """
        at, gate = min(
            (self.room_at(t) for t in self.by_destination.get(destination, [])),
            key=lambda room: room[0],
            default=(NEVER, None),
        )
        return at, self.nowhere(destination) if gate is None and at == NEVER else gate

    def nowhere(self, destination: int) -> HoldReason:
        """Why a destination has no target that messages may go to."""
        known = [t for t in self.targets.values() if t.destination == destination]
        if any(t.serving for t in known):
            return HoldReason.BAN
        return HoldReason.DRAIN if known else HoldReason.UNLISTED if self.lists > 1 else HoldReason.START

    def gate(self, m: Message, t: Endpoint) -> HoldReason | None:
        """The one gate that every send passes; what holds the message, None to let it go. Each line keeps a
        rule or a bound.
        """
        held = self.key_gate(m)
        if held is not None or not self.may_repeat(m):
            return held or HoldReason.SURE
        if t.failing > SURE_MARK and m.cls.effect is Effect.ONCE and m.due - self.now >= m.cls.deadline_us / 2:
            return HoldReason.SURE
        return self.room_at(t)[1]

    def key_gate(self, m: Message) -> HoldReason | None:
        """Rule 6: one message of a key at a time, in their order."""
        if m.key is None:
            return None
        line = self.lines[m.key]
        if line.queue[0] is not m or line.out or any(n < m.number for n in line.ending.values()):
            return HoldReason.KEY
        return HoldReason.KEY_REST if self.now < line.rest_until and not m.attempts else None

    def room_at(self, t: Endpoint) -> tuple[int, HoldReason | None]:
        """The gate's part that is the same for every message: slots, window, pace, rest, turn. When it opens,
        and what shuts it until then; NEVER where only an event can open it.
        """
        unknown_until = max(self.asking_until, self.list_awaited_until)
        if self.now < unknown_until:  # what discovery, or others, know of targets is not known here yet
            return unknown_until, HoldReason.START
        if self.now < self.machine_rests_until:
            return self.machine_rests_until, HoldReason.MACHINE
        call = self.round_calls.get(t.id)
        joins = call is not None and call.joined < t.batch
        if joins and (not self.cold(t) or t.back_at >= 0):
            return self.now, None
        full = None if joins else self.full(t)
        return (NEVER, full) if full is not None else self.opens_at(t)

    def full(self, t: Endpoint) -> HoldReason | None:
        """What has no room for one more call, of slots and window. The window never shuts messages out for as
        long as streams fill it: one call of messages has room beside them.
        """
        here = sum(other.out for other in self.by_destination[t.destination])
        if self.calls_out >= self.s.slots or here >= max(1, int(HEALTHY_CAP * self.s.slots)):
            return HoldReason.SLOTS
        window, cap = max(t.place.window, t.place.streams + 1), self.cap(t.place)
        if t.place.out < int(min(window, cap)):
            return None
        return HoldReason.CAP if cap < window else HoldReason.WINDOW

    def opens_at(self, t: Endpoint) -> tuple[int, HoldReason | None]:
        """When waits, rests, our pace and our turn let a call go, and the last of them to do so."""
        place, gate = t.place, HoldReason.WAIT
        at = place.wait_until
        if place.rest_until > at:
            at, gate = place.rest_until, HoldReason.REST
        if place.pace_at > at:
            at, gate = place.pace_at, HoldReason.PACE
        if self.cold(t):
            turn = t.tried_at + int(t.spread * self.turn(t))
            if turn > at:
                at, gate = turn, HoldReason.OUTAGE if t.back_at < 0 else HoldReason.COLD
        return at, gate if at > self.now else None

    def turn(self, t: Endpoint) -> float:
        """Rule 4: the time between our calls to a cold target. Where it is long, few others hold a message
        for it, and a multiple of the outage's age suffices.
        """
        warm = (self.now - t.back_at) / max(1, self.s.warm_us) if t.back_at >= 0 else 0.0
        cold = self.s.cold_from + (1 - self.s.cold_from) * warm
        capacity = t.place.limit or (t.weight if self.s.weights_told else 0.0)
        size = t.crowd or self.size
        sharing = size * (1 if t.apart else len(self.by_destination[t.destination]))
        rate = BUDGET_PART * self.s.overload_factor * cold * capacity / sharing / SECOND
        grown = 1.0 if capacity else cold / max(self.s.cold_from, 0.01)  # where nothing is told of it
        least = SLACK_CALLS * grown / max(1, self.s.fall_us) / size
        age = (t.tried_at if t.back_at < 0 else t.back_at) - t.outage_at
        return min(1 / max(rate, least), max(self.s.fall_us, TURN_TIMES * age))

    def rest_of_turn(self) -> float:
        """What is left of a turn that began before the restart: of the turn that a random moment falls into (a
        long one more likely), a random part. So many that start at once call as in any other second.
        """
        return self.random.random() * math.sqrt(SPREAD[0] ** 2 + 2 * self.random.random())

    def send(self, m: Message, t: Endpoint) -> None:
        """Send, and book what it takes."""
        place, call = t.place, self.round_calls.get(t.id)
        if call is None or call.joined >= t.batch:
            if self.now - place.mean_at > FORGET_US:
                place.window = 1.0
            place.mean = self.expected(place, m.cls)
            call = self.round_calls[t.id] = self.begin(t, m.cls.deadline_us / 2 if self.many else m.cls.aim_us)
        t.tried_at = self.now
        call.joined, call.messages = call.joined + 1, call.messages + 1
        if m.key is not None:
            self.lines[m.key].out += 1
        self.attempts[(m.id, m.attempts)] = Attempt(m, call)
        m.attempts, m.out = m.attempts + 1, m.out + 1
        self.held.remove(m)
        self.books.turn(m, None, self.now)
        self.actions.append(SendAttempt(m.id, t.id, self.timeout(m, place), self.leave_by(m)))

    def begin(self, t: Endpoint, longest: float) -> Call:
        """Book a new call, whatever it carries; the next at our pace goes no later than the longest time."""
        place = t.place
        idle = 0 if t.out or t.idle_at < 0 else self.now - t.idle_at
        if idle > self.idle_us > 0:
            self.actions.append(CloseIdleConnections(t.id))
        call = Call(t, self.now, idle, self.now - t.tried_at)
        t.spread = self.random.uniform(*SPREAD)
        self.calls_out += 1
        t.out, place.out = t.out + 1, place.out + 1
        place.pace_at = self.spend(place.pace_at, min(longest, self.interval(place)), BURST_US)
        t.tried_at = self.now
        return call

    def timeout(self, m: Message, place: LimitScope) -> int:
        """How long an attempt may take. To give up one that must not run twice is to lose it: it has more."""
        patience = m.cls.aim_us * (ONCE_AIMS if m.cls.effect is Effect.ONCE else 1)
        usual = self.expected(place, m.cls)
        return min(m.due - self.now, int(max(min(patience, MOST_CALLS * usual), TIMEOUT_CALLS * usual)))
