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
MOST_FACTS = 4000
MOST_OF_ONE = 64
MOST_ITEMS = 40
RETELL = 2.0
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
AGES = {
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


class Item(
    msgspec.Struct,
    rename={
        "kind": "k",
        "subject": "s",
        "seer": "w",
        "life": "l",
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
    seer: Annotated[str, Meta(min_length=1, max_length=64)]
    life: Annotated[int, Meta(ge=0, lt=1 << 42)]
    number: Annotated[int, Meta(ge=0, lt=1 << 42)]
    age_ms: Annotated[int, Meta(ge=0, lt=1 << 42)] = 0
    value_ms: Annotated[int, Meta(ge=0, lt=1 << 42)] = 0
    lasted_ms: Annotated[int, Meta(ge=0, lt=1 << 42)] = 0


def rendezvous(subject: str, names: Iterable[str]) -> list[str]:
    """Names in the order of their weight for a subject: the same wherever it is asked, and for another subject another;
    who comes or goes moves nobody else (Thaler and Ravishankar, highest random weight).
    """
    return sorted(names, key=lambda name: hashlib.blake2b(f"{subject} {name}".encode(), digest_size=8).digest())


def size_of(item: Item) -> int:
    """What it takes in a datagram, rounded up."""
    return 48 + len(item.subject.encode()) + len(item.seer.encode())


@dataclass(frozen=True, slots=True)
class GossipRecord:
    """One thing that one forwarder saw. `born` is when, by this forwarder's clock, in microseconds."""

    kind: RecordKind
    subject: str
    seer: str
    life: int
    number: int
    born: int
    value: int = 0
    """In microseconds: before `born`, how long it had been so; for a wait, how much was left of it."""
    lasted: int = 0
    """For a target that is back: how long its outage lasted. One that served well was never out for its seer."""

    @property
    def key(self) -> tuple[str, str, str]:
        return self.seer, TOPICS[self.kind], self.subject

    def item(self, now: int) -> Item:
        """Ages are rounded up: nothing grows younger on its way."""
        return Item(
            self.kind.value,
            self.subject,
            self.seer,
            self.life,
            self.number,
            max(0, -(-(now - self.born) // 1000)),
            max(0, self.value // 1000),
            max(0, self.lasted // 1000),
        )


@dataclass(slots=True)
class GossipStore:
    """All facts that this forwarder has seen or heard. `version` grows with each change."""

    me: str
    life: int = 0
    ages: Mapping[RecordKind, int] = field(default_factory=lambda: AGES)
    facts: dict[tuple[str, str, str], GossipRecord] = field(default_factory=dict)
    queue: dict[tuple[str, str, str], int] = field(default_factory=dict)
    """What is to be sent on, and how often each was."""
    former: dict[tuple[str, str, str], GossipRecord] = field(default_factory=dict)
    """What others remember of this forwarder's lives before."""
    of: dict[str, int] = field(default_factory=dict)
    number: int = 0
    version: int = 0
    counts: dict[str, int] = field(default_factory=dict)

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def say(self, now: int, kind: RecordKind, subject: str, value: int = 0, lasted: int = 0) -> None:
        """This forwarder has seen it, just now."""
        self.number += 1
        self._put(GossipRecord(kind, subject, self.me, self.life, self.number, now, value, lasted))

    def lately(self, now: int, kind: RecordKind, subject: str, within: int) -> bool:
        """Whether this forwarder has said just that not longer ago."""
        fact = self.facts.get((self.me, TOPICS[kind], subject))
        return fact is not None and fact.kind is kind and now - fact.born < within

    def take(self, now: int, items: Iterable[Item]) -> None:
        """Take in what another has sent. What it says of kinds that this version does not know is passed over."""
        for item in items:
            try:
                kind = RecordKind(item.kind)
            except ValueError:
                continue
            fact = GossipRecord(
                kind,
                item.subject,
                item.seer,
                item.life,
                item.number,
                now - item.age_ms * 1000,
                item.value_ms * 1000,
                item.lasted_ms * 1000,
            )
            if self._too_old(fact, now):
                self._count("too old")
            elif fact.seer == self.me:
                self._of_before(fact)
            else:
                self._put(fact)

    def _of_before(self, fact: GossipRecord) -> None:
        """Others tell what this forwarder itself has said: it is of a life before, if this one has not said it."""
        if (
            (fact.life < self.life or fact.key not in self.facts)
            and self._over(fact, self.former.get(fact.key))
            and (len(self.former) < MOST_OF_ONE or fact.key in self.former)
        ):
            self.former[fact.key] = fact

    @staticmethod
    def _over(new: GossipRecord, old: GossipRecord | None) -> bool:
        return old is None or (new.life, new.number) > (old.life, old.number)

    def _too_old(self, fact: GossipRecord, now: int) -> bool:
        age = now - fact.born
        return age > self.ages[fact.kind] or (fact.kind is RecordKind.WAIT and age > fact.value)

    def _put(self, fact: GossipRecord) -> None:
        old = self.facts.get(fact.key)
        if old is not None and (old.life, old.number) == (fact.life, fact.number):
            if fact.born < old.born and fact.kind is old.kind:  # the same, and older than it was thought to be
                self.facts[fact.key] = fact
            return
        if not self._over(fact, old):
            return
        if old is None:
            if len(self.facts) >= MOST_FACTS or self.of.get(fact.seer, 0) >= MOST_OF_ONE:
                self._count("no room")
                return
            self.of[fact.seer] = self.of.get(fact.seer, 0) + 1
        self.facts[fact.key], self.queue[fact.key] = fact, 0
        self.version += 1

    def drop(self, now: int) -> None:
        """Forget what is too old."""
        for key in [key for key, fact in self.facts.items() if self._too_old(fact, now)]:
            del self.facts[key]
            self.queue.pop(key, None)
            self.of[key[0]] -= 1
            if not self.of[key[0]]:
                del self.of[key[0]]
            self.version += 1

    def gossip(self, now: int, room: int, size: int) -> list[Item]:
        """What goes with the next datagram, the least told first, in so many bytes, for a fleet of that size."""
        found: list[Item] = []
        most = math.ceil(RETELL * math.log2(size + 1))
        for key in sorted(self.queue, key=lambda k: self.queue[k]):
            fact = self.facts[key]
            item = fact.item(now)
            if self._too_old(fact, now):
                continue
            if size_of(item) > room or len(found) >= MOST_ITEMS:
                break
            room -= size_of(item)
            found.append(item)
            self.queue[key] += 1
            if self.queue[key] >= most:
                del self.queue[key]
        return found

    def all(self, now: int, whom: str, room: int, most: int) -> list[list[Item]]:
        """All facts, for one that asks, in at most so many datagrams of so many bytes: its own of before first, then
        bans, then the youngest.
        """
        facts = sorted(
            (fact for fact in self.facts.values() if not self._too_old(fact, now)),
            key=lambda f: (f.seer != whom, f.kind is not RecordKind.BAN, -f.born),
        )
        parts: list[list[Item]] = [[]]
        left = room
        for fact in facts:
            item = fact.item(now)
            if size_of(item) > left or len(parts[-1]) >= MOST_ITEMS:
                if len(parts) >= most:
                    break
                parts.append([])
                left = room
            parts[-1].append(item)
            left -= size_of(item)
        return parts

    def told(self, now: int, *kinds: RecordKind) -> list[GossipRecord]:
        """What others say of these kinds."""
        return [
            fact
            for fact in self.facts.values()
            if fact.kind in kinds and fact.seer != self.me and not self._too_old(fact, now)
        ]

    def remembered(self, now: int, kind: RecordKind) -> list[GossipRecord]:
        """What others remember that this forwarder had said in a life before, and that it has not said anew."""
        return [
            fact
            for key, fact in self.former.items()
            if fact.kind is kind and key not in self.facts and not self._too_old(fact, now)
        ]
