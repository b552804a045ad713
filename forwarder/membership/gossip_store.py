"""Gossip records: what forwarders tell each other of endpoints, beside who is present. Pure.

They tell of ejections, Retry-After waits, disabled endpoints, and who holds messages for which endpoint. Each record
has the member that observed it, a number since that member's start, and an age. The age travels, not a time: clocks
differ. Whoever passes a record on adds how long it has kept it, so repetition never makes it younger; of two copies the
one that was observed earlier is believed. Only the observer can tell the same again, under a new number. A record past
its kind's greatest age is dropped, and never passed on.

Records ride on the datagrams of membership (SWIM 4.1), behind its own changes, the least often sent first. How many one
observer may have, and all together, is bounded: more is dropped and counted.

Option not chosen: fields of members' records. Each change would need an incarnation, and a member's whole record would
travel for one endpoint.
"""

from __future__ import annotations

import hashlib
import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

from forwarder.units import SECOND_US

MAX_RECORDS = 4000
MAX_RECORDS_PER_OBSERVER = 64
MAX_GOSSIP_ROWS = 40
"""Records in one datagram."""
RETRANSMIT_FACTOR = 2.0
"""Times log2 of the size of the fleet: how often one record is sent on by each member."""
MILLISECOND_US = 1000

RecordKey = tuple[str, str, str]
"""Observer, topic and subject: a new record replaces the one with the same key."""


class RecordKind(Enum):
    """What is told; the values travel. Two records of one topic replace each other."""

    EJECTED = "out"
    RECOVERING = "back"
    SERVING = "well"
    RETRY_AFTER = "wait"
    DISABLED = "ban"
    ENABLED = "used"
    HOLDING = "holds"
    NOT_HOLDING = "free"


TOPICS = {
    RecordKind.EJECTED: "ejection",
    RecordKind.RECOVERING: "ejection",
    RecordKind.SERVING: "ejection",
    RecordKind.RETRY_AFTER: "retry after",
    RecordKind.DISABLED: "disabled",
    RecordKind.ENABLED: "disabled",
    RecordKind.HOLDING: "holding",
    RecordKind.NOT_HOLDING: "holding",
}
MAX_AGES_US = {
    RecordKind.EJECTED: 13 * SECOND_US,
    RecordKind.RECOVERING: 13 * SECOND_US,
    RecordKind.SERVING: 13 * SECOND_US,
    RecordKind.RETRY_AFTER: 3 * SECOND_US,
    RecordKind.DISABLED: 3600 * SECOND_US,
    RecordKind.ENABLED: 3600 * SECOND_US,
    RecordKind.HOLDING: 9 * SECOND_US,
    RecordKind.NOT_HOLDING: 9 * SECOND_US,
}
"""The greatest age of each kind where nothing else is set. Ejections: as long as slow start lasts
(`contract.warm_after_us`); Retry-After: the longest that is told (`max_retry_after_us`); disabled endpoints: as long as
gone members are remembered."""


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
    """One record in a datagram."""

    kind: Annotated[str, Meta(max_length=8)]
    subject: Annotated[str, Meta(min_length=1, max_length=64)]
    observer: Annotated[str, Meta(min_length=1, max_length=64)]
    start_number: Annotated[int, Meta(ge=0, lt=1 << 42)]
    number: Annotated[int, Meta(ge=0, lt=1 << 42)]
    age_ms: Annotated[int, Meta(ge=0, lt=1 << 42)] = 0
    value_ms: Annotated[int, Meta(ge=0, lt=1 << 42)] = 0
    lasted_ms: Annotated[int, Meta(ge=0, lt=1 << 42)] = 0


def rendezvous_order(subject: str, names: Iterable[str]) -> list[str]:
    """Returns names in the order of their weight for a subject (Thaler and Ravishankar, highest random weight).

    The order is the same wherever it is asked for, and another for another subject; a name that comes or goes moves no
    other.
    """
    return sorted(names, key=lambda name: hashlib.blake2b(f"{subject} {name}".encode(), digest_size=8).digest())


def row_bytes(row: GossipRow) -> int:
    """Bytes that a row takes in a datagram, rounded up."""
    return 48 + len(row.subject.encode()) + len(row.observer.encode())


@dataclass(frozen=True, slots=True)
class GossipRecord:
    """One thing that one forwarder has observed."""

    kind: RecordKind
    subject: str
    observer: str
    start_number: int
    number: int
    observed_at_us: int
    """By this forwarder's clock."""
    value_us: int = 0
    """How long it had been so when it was observed; of a Retry-After, how much was left of it."""
    lasted_us: int = 0
    """Of a recovering endpoint: how long its ejection lasted."""

    @property
    def key(self) -> RecordKey:
        """What a newer record with the same key replaces."""
        return self.observer, TOPICS[self.kind], self.subject

    @property
    def order(self) -> tuple[int, int]:
        """Of two records with one key the one with the greater order is newer."""
        return self.start_number, self.number

    def to_row(self, now_us: int) -> GossipRow:
        """Returns the record as it travels. Ages are rounded up: nothing grows younger on its way."""
        return GossipRow(
            self.kind.value,
            self.subject,
            self.observer,
            self.start_number,
            self.number,
            age_ms=max(0, -((self.observed_at_us - now_us) // MILLISECOND_US)),
            value_ms=max(0, self.value_us // MILLISECOND_US),
            lasted_ms=max(0, self.lasted_us // MILLISECOND_US),
        )


@dataclass(slots=True)
class GossipStore:
    """All records that this forwarder has made or heard."""

    name: str
    """This forwarder's own name."""
    start_number: int = 0
    max_ages_us: Mapping[RecordKind, int] = field(default_factory=lambda: MAX_AGES_US)
    records: dict[RecordKey, GossipRecord] = field(default_factory=dict)
    queue: dict[RecordKey, int] = field(default_factory=dict)
    """What is to be sent on, and how often each was."""
    own_former_records: dict[RecordKey, GossipRecord] = field(default_factory=dict)
    """What others remember of this forwarder's starts before."""
    record_counts: Counter[str] = field(default_factory=Counter)
    """Records by observer."""
    number: int = 0
    """Of this forwarder's newest record."""
    version: int = 0
    """Grows with each change."""
    counts: Counter[str] = field(default_factory=Counter)
    """Records that were dropped, by reason."""

    def add_own(self, now_us: int, kind: RecordKind, subject: str, value_us: int = 0, lasted_us: int = 0) -> None:
        """This forwarder has observed something, just now."""
        self.number += 1
        self._store(GossipRecord(kind, subject, self.name, self.start_number, self.number, now_us, value_us, lasted_us))

    def has_recent(self, now_us: int, kind: RecordKind, subject: str, within_us: int) -> bool:
        """Whether this forwarder has told just that not longer ago."""
        record = self.records.get((self.name, TOPICS[kind], subject))
        return record is not None and record.kind is kind and now_us - record.observed_at_us < within_us

    def merge(self, now_us: int, rows: Iterable[GossipRow]) -> None:
        """Takes in what another has sent. Kinds that this version does not know are passed over."""
        for row in rows:
            try:
                kind = RecordKind(row.kind)
            except ValueError:
                continue
            record = GossipRecord(
                kind,
                row.subject,
                row.observer,
                row.start_number,
                row.number,
                observed_at_us=now_us - row.age_ms * MILLISECOND_US,
                value_us=row.value_ms * MILLISECOND_US,
                lasted_us=row.lasted_ms * MILLISECOND_US,
            )
            if self._is_expired(record, now_us):
                self.counts["too old"] += 1
            elif record.observer == self.name:
                self._remember_former(record)
            else:
                self._store(record)

    def _remember_former(self, record: GossipRecord) -> None:
        """Others tell a record of this forwarder: it is of a start before, if it has not made it since this one."""
        if record.start_number >= self.start_number and record.key in self.records:
            return
        known = self.own_former_records.get(record.key)
        if known is None and len(self.own_former_records) >= MAX_RECORDS_PER_OBSERVER:
            return
        if known is None or record.order > known.order:
            self.own_former_records[record.key] = record

    def _is_expired(self, record: GossipRecord, now_us: int) -> bool:
        age_us = now_us - record.observed_at_us
        if record.kind is RecordKind.RETRY_AFTER and age_us > record.value_us:
            return True
        return age_us > self.max_ages_us[record.kind]

    def _store(self, record: GossipRecord) -> None:
        known = self.records.get(record.key)
        if known is not None and known.order == record.order:
            older = record.observed_at_us < known.observed_at_us
            if older and record.kind is known.kind:  # the same record, older than it was thought to be
                self.records[record.key] = record
            return
        if known is not None and record.order < known.order:
            return
        if known is None:
            too_many = self.record_counts[record.observer] >= MAX_RECORDS_PER_OBSERVER
            if too_many or len(self.records) >= MAX_RECORDS:
                self.counts["no room"] += 1
                return
            self.record_counts[record.observer] += 1
        self.records[record.key] = record
        self.queue[record.key] = 0
        self.version += 1

    def drop_expired(self, now_us: int) -> None:
        """Forgets what is too old."""
        expired = [key for key, record in self.records.items() if self._is_expired(record, now_us)]
        for key in expired:
            del self.records[key]
            self.queue.pop(key, None)
            observer = key[0]
            self.record_counts[observer] -= 1
            if not self.record_counts[observer]:
                del self.record_counts[observer]
            self.version += 1

    def next_rows(self, now_us: int, max_bytes: int, size: int) -> list[GossipRow]:
        """Returns the records that go with the next datagram, the least often sent first.

        Args:
            now_us: the time.
            max_bytes: bytes that are free in the datagram.
            size: of the fleet.
        """
        rows: list[GossipRow] = []
        max_sends = math.ceil(RETRANSMIT_FACTOR * math.log2(size + 1))
        for key in sorted(self.queue, key=lambda queued: self.queue[queued]):
            record = self.records[key]
            if self._is_expired(record, now_us):
                continue
            row = record.to_row(now_us)
            if row_bytes(row) > max_bytes or len(rows) >= MAX_GOSSIP_ROWS:
                break
            max_bytes -= row_bytes(row)
            rows.append(row)
            self.queue[key] += 1
            if self.queue[key] >= max_sends:
                del self.queue[key]
        return rows

    def all_rows(self, now_us: int, requester: str, max_bytes: int, max_parts: int) -> list[list[GossipRow]]:
        """Returns all records for one that asks, in at most so many parts of so many bytes.

        The requester's own records of before come first, then disabled endpoints, then the youngest.
        """
        records = sorted(
            (record for record in self.records.values() if not self._is_expired(record, now_us)),
            key=lambda record: (
                record.observer != requester,
                record.kind is not RecordKind.DISABLED,
                -record.observed_at_us,
            ),
        )
        parts: list[list[GossipRow]] = [[]]
        free_bytes = max_bytes
        for record in records:
            row = record.to_row(now_us)
            if row_bytes(row) > free_bytes or len(parts[-1]) >= MAX_GOSSIP_ROWS:
                if len(parts) >= max_parts:
                    break
                parts.append([])
                free_bytes = max_bytes
            parts[-1].append(row)
            free_bytes -= row_bytes(row)
        return parts

    def from_others(self, now_us: int, *kinds: RecordKind) -> list[GossipRecord]:
        """Returns the records of these kinds that others have made."""
        return [
            record
            for record in self.records.values()
            if record.kind in kinds and record.observer != self.name and not self._is_expired(record, now_us)
        ]

    def own_former(self, now_us: int, kind: RecordKind) -> list[GossipRecord]:
        """Returns records of this forwarder's starts before that others remember, and that it has not made anew."""
        return [
            record
            for key, record in self.own_former_records.items()
            if record.kind is kind and key not in self.records and not self._is_expired(record, now_us)
        ]
