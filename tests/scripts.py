"""Event scripts for the tests, and a checker of the rules that knows nothing of the module's insides."""

from __future__ import annotations

import random
from collections import defaultdict
from typing import Any

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
from forwarder.decisions.settings import DestinationKind, Effect, MessageClass, Scope, Settings, Tenant

MS = 1_000
S = 1_000_000
ROUND = 5 * MS


def settings(**changes: Any) -> Settings:
    base: dict[str, Any] = {
        "slots": 8,
        "classes": (
            MessageClass("safe", 2 * S, 6 * S),
            MessageClass("keyed", 2 * S, 10 * S, Effect.KEYED, Scope.ALL, 3 * S),
            MessageClass("zoned", 2 * S, 10 * S, Effect.KEYED, Scope.ZONE, 3 * S),
            MessageClass("once", 2 * S, 8 * S, Effect.ONCE),
            MessageClass("turns", 2 * S, 9 * S, Effect.KEYED, Scope.ALL, 4 * S, in_order=True),
        ),
        "kinds": (
            DestinationKind("plain"),
            DestinationKind("lots", max_batch=4),
            DestinationKind("ways", separate_routes=True),
        ),
        "tenants": (Tenant("big", 20.0), Tenant("small", 2.0)),
        "over_quota_weight": 0.1,
        "forwarders": 2,
        "max_attempts": 6,
        "retry_after_allowed": True,
        "max_retry_after_us": 3 * S,
        "answer_grace_us": 20 * MS,
        "drain_grace_us": 500 * MS,
        "overload_factor": 2.0,
        "overload_window_us": 1_500 * MS,
        "slow_start_from": 0.2,
        "slow_start_us": 10 * S,
        "key_backoff_us": 300 * MS,
    }
    return Settings(**(base | changes))


ENTRIES = (
    EndpointEntry(1, 10, "north", "plain"),
    EndpointEntry(2, 10, "south", "plain"),
    EndpointEntry(3, 11, "north", "lots"),
    EndpointEntry(4, 12, "north", "ways"),
    EndpointEntry(5, 12, "south", "ways"),
)


def started(entries: tuple[EndpointEntry, ...] = ENTRIES, **changes: Any) -> Dispatcher:
    d = Dispatcher(settings(**changes), 7, 0)
    d.handle(0, [EndpointListReceived(EndpointListKind.SAVED, entries)])
    return d


def sends(actions: list[Action]) -> list[SendAttempt]:
    return [a for a in actions if isinstance(a, SendAttempt)]


def finals(actions: list[Action]) -> list[RejectMessage | FailMessage]:
    return [a for a in actions if isinstance(a, RejectMessage | FailMessage)]


def ask(name: str, dest: int = 10, cls: str = "safe", due: int = 6 * S, **more: Any) -> MessageArrived:
    return MessageArrived(name, dest, cls, due, **more)


def end(send: SendAttempt, outcome: Outcome, attempt: int = 0, took: int = 100 * MS, **more: Any) -> AttemptEnded:
    closed = more.pop("closed", outcome is Outcome.DELIVERED)
    return AttemptEnded(send.message_id, attempt, send.endpoint, outcome, took, is_final=closed, **more)


class Script:
    """Drives a dispatcher with random legal events, and asserts the rules on every action."""

    def __init__(self, dispatcher: Dispatcher, known: Settings, seed: int) -> None:
        self.d, self.s, self.r = dispatcher, known, random.Random(seed)
        self.classes = {c.name: c for c in known.classes}
        self.kinds = {k.name: k for k in known.kinds}
        self.now = 0
        self.events: list[Event] = []
        self.asked: dict[str, MessageArrived] = {}
        self.open: dict[str, MessageArrived] = {}
        self.over: dict[str, int] = {}
        self.attempts: dict[str, list[dict[str, Any]]] = defaultdict(list)
        self.out: list[dict[str, Any]] = []
        self.timers: list[tuple[int, str]] = []
        self.entries = {e.endpoint: e for e in ENTRIES}
        self.left_at: dict[int, int] = {}
        self.waits: dict[tuple[int, int], int] = defaultdict(int)
        self.taken: dict[str, list[str]] = defaultdict(list)
        self.rests: dict[str, int] = defaultdict(int)
        self.log: list[Any] = []
        self.refused = self.failed = self.sent = self.delivered = 0
        self.step([EndpointListReceived(EndpointListKind.SAVED, ENTRIES)])

    def place(self, target: int) -> tuple[int, int]:
        e = self.entries[target]
        apart = e.kind in self.kinds and self.kinds[e.kind].separate_routes
        return (e.destination, target if apart else -1)

    def ask(self) -> MessageArrived:
        cls = self.r.choice(self.s.classes)
        name = f"m{len(self.asked)}"
        key = f"k{self.r.randrange(4)}" if cls.in_order else None
        life = self.r.choice([cls.deadline_us, self.r.randrange(-5 * MS, cls.deadline_us)])
        tenant = self.r.choice(["big", "small", "stranger", None])
        event = MessageArrived(name, self.r.choice([10, 11, 12, 99]), cls.name, self.now + life, key, tenant)
        self.asked[name] = self.open[name] = event
        if key:
            self.taken[key].append(name)
        return event

    def finish(self, a: dict[str, Any], outcome: Outcome) -> AttemptEnded:
        self.out.remove(a)
        a["outcome"] = outcome
        m = self.asked[a["message"]]
        wait = self.r.choice([0, 0, 200 * MS, 900 * MS]) if outcome is Outcome.REJECTED else 0
        if wait:
            place = self.place(a["target"])
            self.waits[place] = max(self.waits[place], self.now + wait)
        if m.key and outcome in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELED):
            self.rests[m.key] = max(self.rests[m.key], self.now + self.s.key_backoff_us)
        if outcome is Outcome.DELIVERED and m.message_id in self.open:
            self.close(m.message_id)
            self.delivered += 1
        limit = self.r.choice([0.0, 3.0, 20.0])
        told = LoadReport(self.r.random(), limit) if self.r.random() < 0.5 else None
        return AttemptEnded(
            m.message_id,
            a["attempt"],
            a["target"],
            outcome,
            self.now - a["at"],
            is_final=m.message_id in self.over,
            retry_after_us=wait,
            report=told,
        )

    def close(self, name: str) -> None:
        assert name in self.open, f"{name} ended twice"
        del self.open[name]
        self.over[name] = self.now

    def round(self, rate: float, mood: Outcome) -> None:
        self.now += ROUND
        events: list[Event] = []
        while self.r.random() < rate:
            events.append(self.ask())
        for a in list(self.out):
            if self.now >= a["until"]:
                events.append(self.finish(a, Outcome.TIMED_OUT))
            elif self.r.random() < 0.03:
                luck = self.r.random()
                outcome = Outcome.DELIVERED if luck < 0.5 else mood
                if luck > 0.9:
                    outcome = self.r.choice([o for o in Outcome if o is not Outcome.CANCELED])
                events.append(self.finish(a, outcome))
        if self.r.random() < 0.01:
            t = self.r.choice(list(self.entries))
            state = self.r.choice([EndpointState.SERVING, EndpointState.DRAINING, EndpointState.GONE])
            old = self.entries[t]
            events.append(
                EndpointListReceived(
                    EndpointListKind.CHANGES, (EndpointEntry(t, old.destination, old.zone, old.kind, state),)
                )
            )
            if state is EndpointState.SERVING:
                self.left_at.pop(t, None)
            else:
                self.left_at.setdefault(t, self.now)
        if self.r.random() < 0.002:
            events.append(EndpointListReceived(EndpointListKind.WHOLE, ()))
            for t in self.entries:
                self.left_at.setdefault(t, self.now)
        if self.open and self.r.random() < 0.005:
            name = self.r.choice(list(self.open))
            self.close(name)
            events.append(MessageWithdrawn(name))
            if self.r.random() < 0.3:
                events.append(MessageWithdrawn(name))
        due = [t for t in self.timers if t[0] <= self.now]
        self.timers = [t for t in self.timers if t[0] > self.now]
        events.extend(TimerFired(token) for _, token in due)
        if events:
            self.step(events)
        for name, m in self.open.items():
            assert self.now <= max(m.due_us, 0) + self.s.answer_grace_us, f"{name} not answered in time"

    def step(self, events: list[Event]) -> None:
        actions = self.d.handle(self.now, events)
        self.log.append((self.now, tuple(actions)))
        for a in actions:
            if isinstance(a, SendAttempt):
                self.check_send(a)
            elif isinstance(a, RejectMessage):
                self.check_refuse(a)
                self.close(a.message_id)
                self.refused += 1
            elif isinstance(a, FailMessage):
                self.close(a.message_id)
                self.failed += 1
            elif isinstance(a, SetTimer):
                assert a.delay_us > 0
                assert 1 <= len(a.token) <= 64
                self.timers.append((self.now + a.delay_us, a.token))

    def ran(self, name: str) -> list[dict[str, Any]]:
        return [a for a in self.attempts[name] if a["outcome"] not in NEVER_RAN]

    def check_refuse(self, a: RejectMessage) -> None:
        cls = self.classes[self.asked[a.message_id].class_name]
        if cls.effect is Effect.ONCE:
            assert not self.ran(a.message_id), "refused, though it may have run"
        if cls.effect is Effect.KEYED and cls.key_scope is not Scope.ALL:
            assert not self.ran(a.message_id), "refused, though a repeat elsewhere would take effect"

    def check_send(self, a: SendAttempt) -> None:
        assert a.message_id in self.open, "sent after its end"
        m = self.asked[a.message_id]
        cls, entry = self.classes[m.class_name], self.entries[a.endpoint]
        assert entry.destination == m.destination
        told = self.left_at.get(a.endpoint)
        assert told is None or self.now <= told + self.s.drain_grace_us, "sent to a drained target"
        assert self.now >= self.waits[self.place(a.endpoint)], "sent inside a wait"
        before = self.attempts[a.message_id]
        if not self.s.hedging_allowed:
            assert all(x["outcome"] is not None for x in before), "two attempts at once"
        ran = self.ran(a.message_id)
        if ran and cls.effect is Effect.ONCE:
            raise AssertionError("sent twice")
        if ran and cls.effect is Effect.KEYED:
            assert self.now <= ran[0]["at"] + cls.retry_window_us, "outside its window"
            if cls.key_scope is Scope.ZONE:
                assert entry.zone == self.entries[ran[0]["target"]].zone, "outside its scope"
        if m.key:
            mine = self.taken[m.key].index(m.message_id)
            for name in self.taken[m.key][:mine]:
                assert name in self.over, "out of order"
                assert all(x["outcome"] is not None for x in self.attempts[name]), "an earlier attempt is out"
            others = [n for n in self.taken[m.key][:mine] if self.attempts[n]]
            if others and not before:
                assert self.now >= self.rests[m.key], "the key still rests"
        assert a.timeout_us > 0
        assert self.now + a.timeout_us <= m.due_us
        x = {
            "message": a.message_id,
            "attempt": len(before),
            "target": a.endpoint,
            "at": self.now,
            "until": self.now + a.timeout_us,
            "outcome": None,
        }
        before.append(x)
        self.out.append(x)
        tries = [x for x in before if x["outcome"] is not Outcome.LOCAL_FAILURE]  # those never left this machine
        assert len(tries) <= self.s.max_attempts
        assert len({(y["target"], y["at"]) for y in self.out}) <= self.s.slots, "more calls than slots"
        self.sent += 1

    def run(self, rounds: int) -> None:
        for n in range(rounds):
            mood = (Outcome.DELIVERED, Outcome.REJECTED, Outcome.FAILED, Outcome.NO_CONNECTION, Outcome.RESET)[
                n // 200 % 5
            ]
            self.round((0.1, 0.5, 0.02)[n // 300 % 3], mood)
        while self.open or self.out:
            self.round(0.0, Outcome.FAILED)
            assert self.now < 10**9
