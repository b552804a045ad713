"""Plain records of what one dispatcher has observed. Nothing here chooses or tunes."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any

from forwarder.decisions.hold_reason import HoldReason
from forwarder.decisions.learned_state import LearnedFields
from forwarder.decisions.settings import MessageClass

LIMIT_SCOPE_LEARNED = (
    "concurrency_window",
    "expected_call_us",
    "initial_call_us",
    "learned_at_us",
    "retry_after_until_us",
    "backoff_until_us",
    "backoff_us",
    "window_cut_at_us",
    "limit_per_s",
    "limit_left",
    "quota_share",
    "reported_at_us",
    "next_call_at_us",
)
"""Fields of a limit scope that the process which takes over goes on with."""

ENDPOINT_LEARNED = (
    "error_rate",
    "last_call_at_us",
    "idle_since_us",
    "ejected_at_us",
    "recovering_since_us",
    "slow_start_jitter",
)
"""Fields of an endpoint that the process which takes over goes on with."""


def learned_fields(record: Any, names: tuple[str, ...]) -> LearnedFields:
    """The named fields of a record, for the process that takes over."""
    return {name: getattr(record, name) for name in names}


def restore_fields(record: Any, names: tuple[str, ...], row: LearnedFields) -> None:
    for name in names:
        if name in row:
            setattr(record, name, row[name])


@dataclass(slots=True)
class Message:
    id: str
    destination: int
    message_class: MessageClass
    due_us: int
    arrived_us: int
    sequence_number: int
    key: str | None
    over_quota: bool
    attempts: int = 0
    local_failures: int = 0
    """Attempts that this machine could not make: they do not count as tries."""
    in_flight: int = 0
    maybe_ran_at_us: int = -1
    """When the first attempt that may have run was sent; -1 while none may have."""
    maybe_ran_on: int = -1
    """Its target."""
    avoid_endpoint: int = -1
    """The target that last failed it."""
    hold_reason: HoldReason | None = None
    """What holds it now; None while it is out."""
    held_since_us: int = 0
    """Since when."""
    hold_times_us: dict[HoldReason, int] = field(default_factory=dict)
    """How long each gate has held it, in microseconds."""


@dataclass(slots=True)
class Endpoint:
    id: int
    destination: int
    zone: str
    weight: float
    limit_scope: LimitScope
    max_batch: int = 1
    """Messages in one call at most."""
    separate_route: bool = False
    """A route of its own."""
    serving: bool = True
    excluded: bool = False
    """Left out because it was found sick."""
    in_flight: int = 0
    error_rate: float = 0.0
    """Decayed share of its calls that failed."""
    last_call_at_us: int = -(1 << 40)
    idle_since_us: int = -1
    """When a call to it last ended and left a connection; -1 where none is kept."""
    ejected_at_us: int = -1
    """When the signs of an outage were seen; -1 while there are none."""
    recovering_since_us: int = -1
    """When the first call succeeded after the outage; -1 while it lasts."""
    connect_failures: int = 0
    """Calls running, up to the newest, that got no connection."""
    slow_start_jitter: float = 1.0
    """How many turns after the last call the next may go while it is cold."""
    slow_start_divisor: float = 0.0
    """By how many its cold budget is divided, where a part knows better; 0: by the size of the fleet."""


@dataclass(slots=True)
class LimitScope:
    """What shares a limit, a wait and a pace: a destination, or one route where routes are apart."""

    destination: int
    concurrency_window: float
    expected_call_us: float = 0.0
    """Expected call, in microseconds."""
    initial_call_us: float = 0.0
    learned_at_us: int = -1
    """When it was last learned; -1 before anything was seen."""
    in_flight: int = 0
    streams_in_flight: int = 0
    """Those of them that are streams."""
    retry_after_until_us: int = 0
    """End of the wait it told."""
    backoff_until_us: int = 0
    """End of the rest we chose."""
    backoff_us: int = 0
    window_cut_at_us: int = -1
    limit_per_s: float = 0.0
    limit_left: float = 1.0
    quota_share: float = 1.0
    """Our part of the limit, as far as we know what the others use."""
    reported_at_us: int = 0
    """When it last told what is left."""
    next_call_at_us: int = 0
    """When our share of its limit has room for the next call."""


@dataclass(slots=True)
class Call:
    """One call out: messages released in one round to one target."""

    endpoint: Endpoint
    sent_at_us: int
    connection_idle_us: int = 0
    """How long the connection that it may have taken had been without use."""
    since_previous_us: int = 0
    """How long after the call before to the same target."""
    open_messages: int = 0
    """Those whose outcome is still owed."""
    batch_size: int = 0
    counted: bool = False


@dataclass(slots=True)
class Attempt:
    message: Message
    call: Call


@dataclass(slots=True)
class KeyQueue:
    """The messages of one key, in the order they were taken, and what still blocks the key."""

    messages: deque[Message] = field(default_factory=deque)
    in_flight: int = 0
    backoff_until_us: int = 0
    unacknowledged_ends: dict[str, int] = field(default_factory=dict)
    """The numbers of those that were given an end that is not confirmed yet."""

    def is_in_use(self) -> bool:
        return bool(self.messages or self.in_flight or self.unacknowledged_ends)


@dataclass(slots=True)
class HeldMessages:
    """The messages held, by destination and the number under which they were taken."""

    by_destination: dict[int, dict[int, Message]] = field(default_factory=dict)

    def add(self, m: Message) -> None:
        self.by_destination.setdefault(m.destination, {})[m.sequence_number] = m

    def remove(self, m: Message) -> None:
        pile = self.by_destination.get(m.destination, {})
        pile.pop(m.sequence_number, None)
        if not pile:
            self.by_destination.pop(m.destination, None)


@dataclass(slots=True)
class TimerQueue:
    """When to look at which destination again, earliest first."""

    entries: list[tuple[int, int]] = field(default_factory=list)
    earliest: dict[int, int] = field(default_factory=dict)

    def add(self, at: int, destination: int) -> None:
        """Look at a destination at a given time, if not sooner."""
        if destination not in self.earliest or at < self.earliest[destination]:
            self.earliest[destination] = at
            heappush(self.entries, (at, destination))

    def pop_due(self, now: int) -> set[int]:
        """Take off and return the destinations whose time has come."""
        found: set[int] = set()
        while self.entries and self.entries[0][0] <= now:
            _, destination = heappop(self.entries)
            self.earliest.pop(destination, None)
            found.add(destination)
        return found


MAX_HOLD_TIME_ROWS = 256
"""Destinations and classes with a book of their own; what others were held for is booked under OTHERS."""
OTHER_DESTINATIONS = -1


@dataclass(slots=True)
class HoldTimes:
    """How long messages were held by which gate, by destination and class, in microseconds since the start."""

    sums_us: dict[tuple[int, str], dict[HoldReason, int]] = field(default_factory=dict)

    def set_reason(self, m: Message, gate: HoldReason | None, now: int) -> None:
        """From now on this gate holds the message (None: none does); the time until now is the one's before."""
        if m.hold_reason is gate:
            return
        if m.hold_reason is not None and now > m.held_since_us:
            whose, passed = (m.destination, m.message_class.name), now - m.held_since_us
            if whose not in self.sums_us and len(self.sums_us) >= MAX_HOLD_TIME_ROWS:
                whose = (OTHER_DESTINATIONS, "")
            book = self.sums_us.setdefault(whose, {})
            book[m.hold_reason] = book.get(m.hold_reason, 0) + passed
            m.hold_times_us[m.hold_reason] = m.hold_times_us.get(m.hold_reason, 0) + passed
        m.hold_reason, m.held_since_us = gate, now

    def totals(self, destination: int | None = None) -> list[tuple[HoldReason, int]]:
        """The sums of one destination or of all, the largest first."""
        found: dict[HoldReason, int] = {}
        for (whose, _), book in self.sums_us.items():
            for gate, us in book.items() if destination in (None, whose) else ():
                found[gate] = found.get(gate, 0) + us
        return sorted(found.items(), key=lambda row: -row[1])
