"""Gossip records: observations about endpoints that forwarders exchange, besides membership. Pure.

Records describe ejections, Retry-After waits, disabled endpoints, and which forwarder holds messages for which
endpoint. Each record has its observer, a number that counts from the observer's start, and an age. Datagrams carry the
age and not a time, because clocks differ. A forwarder that passes a record on adds the time for which it has kept it,
so forwarding never makes a record younger; of two copies, the greater age is kept. Only the observer can renew a
record, under a new number. A record past its kind's maximum age is dropped and not passed on.

Records are piggybacked on membership datagrams (SWIM 4.1), after the changes of members; records sent least often go
first. The number of records is bounded for each observer and in total; records beyond that are dropped and counted.

The alternative, fields in the members' records, was rejected: each change would need a new incarnation, and a member's
whole record would be sent for a change of one endpoint.
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
"""Maximum number of records in one datagram."""
RETRANSMIT_FACTOR = 2.0
"""Each member sends a record this many times log2 of the fleet's size."""
MILLISECOND_US = 1000

RecordKey = tuple[str, str, str]
"""Observer, topic and subject: a newer record replaces the one with the same key."""


class RecordKind(Enum):
    """Kind of a record. The values are sent in datagrams. Records of the same topic replace each other."""

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
"""Default maximum age of each kind. Ejections: the duration of slow start (`contract.warm_after_us`); Retry-After: the
longest wait that endpoints may request (`max_retry_after_us`); disabled endpoints: as long as failed members are
remembered."""


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
    """Returns names ordered by their weight for a subject (Thaler and Ravishankar, highest random weight).

    The order is the same on every forwarder and differs between subjects. Adding or removing a name does not change the
    order of the others.
    """
    return sorted(names, key=lambda name: hashlib.blake2b(f"{subject} {name}".encode(), digest_size=8).digest())


def row_bytes(row: GossipRow) -> int:
    """Returns an upper bound on the bytes that a row takes in a datagram."""
    return 48 + len(row.subject.encode()) + len(row.observer.encode())


@dataclass(frozen=True, slots=True)
class GossipRecord:
    """One observation of one forwarder."""

    kind: RecordKind
    subject: str
    observer: str
    start_number: int
    number: int
    observed_at_us: int
    """Time by the clock of the forwarder that keeps the record."""
    value_us: int = 0
    """How long the state had lasted when it was observed; for a Retry-After, the rest of the wait."""
    lasted_us: int = 0
    """For a recovering endpoint: the duration of its ejection."""

    @property
    def key(self) -> RecordKey:
        """Key under which a newer record replaces this one."""
        return self.observer, TOPICS[self.kind], self.subject

    @property
    def order(self) -> tuple[int, int]:
        """Sort key: of two records with the same key, the one with the greater order is newer."""
        return self.start_number, self.number

    def to_row(self, now_us: int) -> GossipRow:
        """Returns the row that carries the record. The age is rounded up: forwarding never makes a record younger."""
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
    """All records that this forwarder has made or received."""

    name: str
    """This forwarder's own name."""
    start_number: int = 0
    max_ages_us: Mapping[RecordKind, int] = field(default_factory=lambda: MAX_AGES_US)
    records: dict[RecordKey, GossipRecord] = field(default_factory=dict)
    queue: dict[RecordKey, int] = field(default_factory=dict)
    """Number of times each queued record was sent."""
    own_former_records: dict[RecordKey, GossipRecord] = field(default_factory=dict)
    """Records of this forwarder's earlier starts that other members have sent."""
    record_counts: Counter[str] = field(default_factory=Counter)
    """Number of records of each observer."""
    number: int = 0
    """Number of this forwarder's newest record."""
    version: int = 0
    """Incremented with each change."""
    counts: Counter[str] = field(default_factory=Counter)
    """Number of dropped records by reason."""

    def add_own(self, now_us: int, kind: RecordKind, subject: str, value_us: int = 0, lasted_us: int = 0) -> None:
        """Adds a record of something that this forwarder has just observed."""
        self.number += 1
        self._store(GossipRecord(kind, subject, self.name, self.start_number, self.number, now_us, value_us, lasted_us))

    def has_recent(self, now_us: int, kind: RecordKind, subject: str, within_us: int) -> bool:
        """Whether this forwarder's newest record on the subject is of this kind and younger than `within_us`."""
        record = self.records.get((self.name, TOPICS[kind], subject))
        return record is not None and record.kind is kind and now_us - record.observed_at_us < within_us

    def merge(self, now_us: int, rows: Iterable[GossipRow]) -> None:
        """Merges received rows into the store. Kinds that this version does not know are ignored."""
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
        """Keeps a received record of this forwarder from an earlier start.

        A record that this start has not made counts as one whatever its start number, because a forwarder that has lost
        its state folder counts its starts from 1 again.
        """
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
            if older and record.kind is known.kind:  # a copy of the same record with a greater age
                self.records[record.key] = record
            return
        if known is not None and record.order < known.order:
            return
        if known is None:
            observer_is_full = self.record_counts[record.observer] >= MAX_RECORDS_PER_OBSERVER
            if observer_is_full or len(self.records) >= MAX_RECORDS:
                self.counts["no room"] += 1
                return
            self.record_counts[record.observer] += 1
        self.records[record.key] = record
        self.queue[record.key] = 0
        self.version += 1

    def drop_expired(self, now_us: int) -> None:
        """Drops records that have expired."""
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
        """Returns the records for the next datagram, those sent least often first.

        Args:
            now_us: the current time, in microseconds.
            max_bytes: free bytes in the datagram.
            size: number of members in the fleet.
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
        """Returns the answer to a query: all records, in at most `max_parts` parts of at most `max_bytes` each.

        The requester's own former records come first, then disabled endpoints, then the youngest records.
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
        """Returns the unexpired records of these kinds from other observers."""
        return [
            record
            for record in self.records.values()
            if record.kind in kinds and record.observer != self.name and not self._is_expired(record, now_us)
        ]

    def own_former(self, now_us: int, kind: RecordKind) -> list[GossipRecord]:
        """Returns the unexpired records of this forwarder's earlier starts that it has not replaced since."""
        return [
            record
            for key, record in self.own_former_records.items()
            if record.kind is kind and key not in self.records and not self._is_expired(record, now_us)
        ]
