"""What forwarders tell each other beside who is there: outages, told waits, bans, who holds messages for what. Pure.

Each fact has one that saw it, a number in that one's life, and an age. The age travels, not a time: clocks differ.
Whoever passes it on adds how long it has kept it, so repetition never makes it younger; of two copies of a fact the one
that was born earlier is believed. Only the one that saw it can say it again, under a new number. A fact past its kind's
greatest age is dropped, and never passed on.

Facts ride on the datagrams of membership (SWIM 4.1), behind its own news, the least told first. What one forwarder may
have on a board, and all together, is bounded: more from one that says too much is dropped and counted.

Option not chosen: facts as members' fields. Each change would need an incarnation, and a member's whole state would
travel for one endpoint.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

SECOND = 1_000_000
MAX_RECORDS = 4000
MAX_RECORDS_PER_OBSERVER = 64
MAX_GOSSIP_ROWS = 40
RETRANSMIT_FACTOR = 2.0
"""Times log2 of the size: how often one fact is sent on by each."""


class RecordKind(Enum):
    """What is told, by the word that travels. Two of one topic replace each other."""

    OUTAGE = "out"
    BACK = "back"
    WELL = "well"
    WAIT = "wait"
    BAN = "ban"
    USED = "used"
    HOLDS = "holds"
    FREE = "free"


TOPICS = {
    RecordKind.OUTAGE: "outage",
    RecordKind.BACK: "outage",
    RecordKind.WELL: "outage",
    RecordKind.WAIT: "wait",
    RecordKind.BAN: "ban",
    RecordKind.USED: "ban",
    RecordKind.HOLDS: "holds",
    RecordKind.FREE: "holds",
}
MAX_AGES_US = {
    RecordKind.OUTAGE: 13 * SECOND,
    RecordKind.BACK: 13 * SECOND,
    RecordKind.WELL: 13 * SECOND,
    RecordKind.WAIT: 3 * SECOND,
    RecordKind.BAN: 3600 * SECOND,
    RecordKind.USED: 3600 * SECOND,
    RecordKind.HOLDS: 9 * SECOND,
    RecordKind.FREE: 9 * SECOND,
}
"""The greatest age of each kind, in microseconds, where nothing else is set. Outages: as long as a target stays cold
(`contract.warm_after_us`); waits: the longest that are told (`max_retry_after_us`); bans: as long as it is remembered
who was there."""


class GossipRow(
    msgspec.Struct,
    rename={
        "kind": "k",
        "subject": "s",
        "observer": "w",
        "start_number": "l",
        "number": "c",
        "age_ms": "a",
        "value_ms": "v",
        "lasted_ms": "m",
    },
    omit_defaults=True,
):
    """One fact in a datagram."""

    kind: Annotated[str, Meta(max_length=8)]
    subject: Annotated[str, Meta(min_length=1, max_length=64)]
    observer: Annotated[str, Meta(min_length=1, max_length=64)]
    start_number: Annotated[int, Meta(ge=0, lt=1 << 42)]
    number: Annotated[int, Meta(ge=0, lt=1 << 42)]
    age_ms: Annotated[int, Meta(ge=0, lt=1 << 42)] = 0
    value_ms: Annotated[int, Meta(ge=0, lt=1 << 42)] = 0
    lasted_ms: Annotated[int, Meta(ge=0, lt=1 << 42)] = 0


def rendezvous_order(subject: str, names: Iterable[str]) -> list[str]:
    """Names in the order of their weight for a subject: the same wherever it is asked, and for another subject another;
    who comes or goes moves nobody else (Thaler and Ravishankar, highest random weight).
    """
    return sorted(names, key=lambda name: hashlib.blake2b(f"{subject} {name}".encode(), digest_size=8).digest())


def row_bytes(item: GossipRow) -> int:
    """What it takes in a datagram, rounded up."""
    return 48 + len(item.subject.encode()) + len(item.observer.encode())


@dataclass(frozen=True, slots=True)
class GossipRecord:
    """One thing that one forwarder saw. `born` is when, by this forwarder's clock, in microseconds."""

    kind: RecordKind
    subject: str
    observer: str
    start_number: int
    number: int
    observed_at_us: int
    value_us: int = 0
    """In microseconds: before `born`, how long it had been so; for a wait, how much was left of it."""
    lasted_us: int = 0
    """For a target that is back: how long its outage lasted. One that served well was never out for its seer."""

    @property
    def key(self) -> tuple[str, str, str]:
        return self.observer, TOPICS[self.kind], self.subject

    def to_row(self, now: int) -> GossipRow:
        """Ages are rounded up: nothing grows younger on its way."""
        return GossipRow(
            self.kind.value,
            self.subject,
            self.observer,
            self.start_number,
            self.number,
            max(0, -(-(now - self.observed_at_us) // 1000)),
            max(0, self.value_us // 1000),
            max(0, self.lasted_us // 1000),
        )


@dataclass(slots=True)
class GossipStore:
    """All facts that this forwarder has seen or heard. `version` grows with each change."""

    name: str
    start_number: int = 0
    max_ages_us: Mapping[RecordKind, int] = field(default_factory=lambda: MAX_AGES_US)
    records: dict[tuple[str, str, str], GossipRecord] = field(default_factory=dict)
    queue: dict[tuple[str, str, str], int] = field(default_factory=dict)
    """What is to be sent on, and how often each was."""
    own_former_records: dict[tuple[str, str, str], GossipRecord] = field(default_factory=dict)
    """What others remember of this forwarder's lives before."""
    record_counts: dict[str, int] = field(default_factory=dict)
    number: int = 0
    version: int = 0
    counts: dict[str, int] = field(default_factory=dict)

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def add_own(self, now: int, kind: RecordKind, subject: str, value: int = 0, lasted: int = 0) -> None:
        """This forwarder has seen it, just now."""
        self.number += 1
        self._store(GossipRecord(kind, subject, self.name, self.start_number, self.number, now, value, lasted))

    def has_recent(self, now: int, kind: RecordKind, subject: str, within: int) -> bool:
        """Whether this forwarder has said just that not longer ago."""
        fact = self.records.get((self.name, TOPICS[kind], subject))
        return fact is not None and fact.kind is kind and now - fact.observed_at_us < within

    def merge(self, now: int, items: Iterable[GossipRow]) -> None:
        """Take in what another has sent. What it says of kinds that this version does not know is passed over."""
        for item in items:
            try:
                kind = RecordKind(item.kind)
            except ValueError:
                continue
            fact = GossipRecord(
                kind,
                item.subject,
                item.observer,
                item.start_number,
                item.number,
                now - item.age_ms * 1000,
                item.value_ms * 1000,
                item.lasted_ms * 1000,
            )
            if self._is_expired(fact, now):
                self._count("too old")
            elif fact.observer == self.name:
                self._remember_former(fact)
            else:
                self._store(fact)

    def _remember_former(self, fact: GossipRecord) -> None:
        """Others tell what this forwarder itself has said: it is of a life before, if this one has not said it."""
        if (
            (fact.start_number < self.start_number or fact.key not in self.records)
            and self._supersedes(fact, self.own_former_records.get(fact.key))
            and (len(self.own_former_records) < MAX_RECORDS_PER_OBSERVER or fact.key in self.own_former_records)
        ):
            self.own_former_records[fact.key] = fact

    @staticmethod
    def _supersedes(new: GossipRecord, old: GossipRecord | None) -> bool:
        return old is None or (new.start_number, new.number) > (old.start_number, old.number)

    def _is_expired(self, fact: GossipRecord, now: int) -> bool:
        age = now - fact.observed_at_us
        return age > self.max_ages_us[fact.kind] or (fact.kind is RecordKind.WAIT and age > fact.value_us)

    def _store(self, fact: GossipRecord) -> None:
        old = self.records.get(fact.key)
        if old is not None and (old.start_number, old.number) == (fact.start_number, fact.number):
            if (
                fact.observed_at_us < old.observed_at_us and fact.kind is old.kind
            ):  # the same, and older than it was thought to be
                self.records[fact.key] = fact
            return
        if not self._supersedes(fact, old):
            return
        if old is None:
            if len(self.records) >= MAX_RECORDS or self.record_counts.get(fact.observer, 0) >= MAX_RECORDS_PER_OBSERVER:
                self._count("no room")
                return
            self.record_counts[fact.observer] = self.record_counts.get(fact.observer, 0) + 1
        self.records[fact.key], self.queue[fact.key] = fact, 0
        self.version += 1

    def drop_expired(self, now: int) -> None:
        """Forget what is too old."""
        for key in [key for key, fact in self.records.items() if self._is_expired(fact, now)]:
            del self.records[key]
            self.queue.pop(key, None)
            self.record_counts[key[0]] -= 1
            if not self.record_counts[key[0]]:
                del self.record_counts[key[0]]
            self.version += 1

    def next_rows(self, now: int, room: int, size: int) -> list[GossipRow]:
        """What goes with the next datagram, the least told first, in so many bytes, for a fleet of that size."""
        found: list[GossipRow] = []
        most = math.ceil(RETRANSMIT_FACTOR * math.log2(size + 1))
        for key in sorted(self.queue, key=lambda k: self.queue[k]):
            fact = self.records[key]
            item = fact.to_row(now)
            if self._is_expired(fact, now):
                continue
            if row_bytes(item) > room or len(found) >= MAX_GOSSIP_ROWS:
                break
            room -= row_bytes(item)
            found.append(item)
            self.queue[key] += 1
            if self.queue[key] >= most:
                del self.queue[key]
        return found

    def all_rows(self, now: int, whom: str, room: int, most: int) -> list[list[GossipRow]]:
        """All facts, for one that asks, in at most so many datagrams of so many bytes: its own of before first, then
        bans, then the youngest.
        """
        facts = sorted(
            (fact for fact in self.records.values() if not self._is_expired(fact, now)),
            key=lambda f: (f.observer != whom, f.kind is not RecordKind.BAN, -f.observed_at_us),
        )
        parts: list[list[GossipRow]] = [[]]
        left = room
        for fact in facts:
            item = fact.to_row(now)
            if row_bytes(item) > left or len(parts[-1]) >= MAX_GOSSIP_ROWS:
                if len(parts) >= most:
                    break
                parts.append([])
                left = room
            parts[-1].append(item)
            left -= row_bytes(item)
        return parts

    def from_others(self, now: int, *kinds: RecordKind) -> list[GossipRecord]:
        """What others say of these kinds."""
        return [
            fact
            for fact in self.records.values()
            if fact.kind in kinds and fact.observer != self.name and not self._is_expired(fact, now)
        ]

    def own_former(self, now: int, kind: RecordKind) -> list[GossipRecord]:
        """What others remember that this forwarder had said in a life before, and that it has not said anew."""
        return [
            fact
            for key, fact in self.own_former_records.items()
            if fact.kind is kind and key not in self.records and not self._is_expired(fact, now)
        ]
