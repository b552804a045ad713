"""The journal's format, and what it means when a part of it is lost. Pure: bytes in, records and losses out.

A folder has generations. `snapshot-N` is the whole state, and `journal-N`, `journal-N+1`, ... are the records since it
was begun; the newest one is called `journal` until it is closed. A snapshot is written in steps while records go on, so
it may hold some of what the journal of its generation says too: each record says what is so from then on, and saying it
twice changes nothing (a fuzzy checkpoint, as in ARIES: Mohan and others 1992, section 5.4). It counts once its last
record says how many there are and the checksum of all bytes before it. The newest that counts and all journals since
make the state; the generation before is kept as well, while there is room for it.

A file begins with a header, twice: magic, version, generation (its low 16 bits), salt, checksum. Each record is a
marker, a check of its own head, its length, its number, a checksum over number and payload, and the payload: a line of
JSON and, for a taken message, its body. Checksums begin from the folder's salt, so no client's body can pass for a
record. Numbers grow by one, so reading goes on at the next sound record after a damaged one, and what is missing is
known by its number. A closed journal ends with a record that says so: without it, its end is lost.

- A torn tail (the process died in a write): what it held had not taken effect yet, and it is cut.
- What is appended at once counts as a whole or not at all: its first marker is written last, and stands as zeros until
  then. From a record without its marker on, nothing has taken effect, and it is cut like a torn tail.
- Records that are missing before sound ones, or a tail that is no clean beginning of a record: damage. Each message
  that was held at that point may have run and may be over, since a lost record may have said so. One that may be
  repeated goes on; any other is never sent again and ends by a notice. A message of which only later records are left
  ends by a notice.
- An `unban` that is lost leaves the ban in force.
- A snapshot that does not count: the one before it is taken, with all journals since; nothing is lost with it. If there
  is none, its sound records are taken, and all that it holds is in doubt.

Versions 1 (before the header: length, checksum, payload) and 2 (one file, `journal`) are read as they always were. A
newer version is refused.

Option not chosen: copy the state at once and write the copy in steps. It would take the memory of all messages twice.
"""

from __future__ import annotations

import json
import struct
import zlib
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from forwarder.decisions.settings import Effect, MessageClass

MAGIC = b"lemonj\r\n"
VERSION = 3
FILE_HEAD = struct.Struct("<8sHHI")  # magic, version, generation (version 2: 0), salt
CHECK = struct.Struct("<I")
HEADER = 2 * (FILE_HEAD.size + CHECK.size)
MARK = b"\xe7\x4a"
NO_MARK = bytes(len(MARK))
"""Stands in a marker's place until all that is appended with its record is written."""
HEAD = struct.Struct("<2sHIII")  # marker, check of the rest of the head, length, number, checksum
OLD_HEAD = struct.Struct("<II")
MOST_RECORD = 1 << 21
JOURNAL, SNAPSHOT = "journal", "snapshot-"
CLOSED, SEALED = "closed", "sealed"
"""The last record of a journal that is closed, and of a snapshot that counts."""


class NewerFormatError(Exception):
    """The file is of a version that this program does not know."""


def header(salt: int, generation: int) -> bytes:
    """The first bytes of a file."""
    return _header(VERSION, salt, generation)


def _header(version: int, salt: int, generation: int) -> bytes:
    head = FILE_HEAD.pack(MAGIC, version, generation & 0xFFFF, salt)
    return 2 * (head + CHECK.pack(zlib.crc32(head)))


def closed_name(generation: int) -> str:
    return f"{JOURNAL}-{generation}"


def snapshot_name(generation: int) -> str:
    return f"{SNAPSHOT}{generation}"


def record(salt: int, number: int, line: Any, body: bytes = b"") -> bytes:
    """One record, ready to be written."""
    payload = json.dumps(line, separators=(",", ":")).encode() + b"\n" + body
    check = zlib.crc32(payload, zlib.crc32(number.to_bytes(4, "little"), salt))
    head = struct.pack("<III", len(payload), number, check)
    return MARK + (zlib.crc32(head, salt) & 0xFFFF).to_bytes(2, "little") + head + payload


@dataclass(frozen=True, slots=True)
class Record:
    number: int
    line: list[Any]
    body: bytes
    after_loss: bool = False
    """Records just before this one are missing."""


@dataclass(slots=True)
class JournalScan:
    """What a file holds: its sound records in their order, and what is wrong with it."""

    version: int = VERSION
    salt: int | None = None
    generation: int = 0
    """By the header; its low 16 bits."""
    headed: bool = False
    """A header was there to tell it."""
    records: list[Record] = field(default_factory=list)
    number: int = 0
    """Of the last sound record, whatever its kind: the next one's is one more."""
    size: int = 0
    """Where the sound part ends, if nothing is damaged: a torn tail is cut there."""
    torn: int = 0
    regions: list[tuple[int, int]] = field(default_factory=list)
    """Damaged stretches, from byte to byte."""
    missing: int = 0
    """Records that are known to be missing by their numbers."""
    tail_lost: bool = False
    """Damage at the end: records may be missing there too."""

    @property
    def damaged(self) -> bool:
        return bool(self.regions or self.missing)


def head_of(data: bytes) -> tuple[int, int, int] | None:
    """Version, generation and salt, as one of the two headers tells them. Raises NewerFormat."""
    size = FILE_HEAD.size + CHECK.size
    for at in (0, size):
        head = data[at : at + FILE_HEAD.size]
        if len(data) >= at + size and CHECK.unpack_from(data, at + FILE_HEAD.size)[0] == zlib.crc32(head):
            magic, version, generation, salt = FILE_HEAD.unpack(head)
            if magic == MAGIC:
                if version > VERSION:
                    raise NewerFormatError(f"the journal is of version {version}; this program knows up to {VERSION}")
                return version, generation, salt
    return None


def scan(data: bytes, salt: int | None = None) -> JournalScan:
    """Read a whole file. `salt` is what is known of it elsewhere, should both headers be damaged."""
    told = head_of(data)
    if told is None and (not data or _old_record(data, 0) is not None):
        return _scan_old(data)
    found = JournalScan(salt=salt)
    if told is not None:
        found.version, found.generation, found.salt = told
        found.headed = True
    if told is None or data[:HEADER] != _header(found.version, told[2], found.generation):
        if len(data) < HEADER and MAGIC.startswith(data[:8]):
            found.torn = len(data)  # died while it wrote the very first bytes
            return found
        found.regions.append((0, min(HEADER, len(data))))
    if found.salt is None:
        found.regions = [(0, len(data))]
        found.tail_lost = True
        return found
    _scan_records(data, found.salt, found)
    return found


def _scan_records(data: bytes, salt: int, found: JournalScan) -> None:
    at = HEADER
    sound: dict[int, bytes] = {}
    while at < len(data):
        got = _record_at(data, at, salt)
        if got is None and _uncommitted(data, at, salt):
            found.torn = len(data) - at
            break
        if got is None:
            then = next(_sound_after(data, at, salt), None)
            if then is None:
                _scan_tail(data, at, salt, found)
                break
            found.regions.append((at, then))
            at = then
            continue
        number, payload, end = got
        if number in sound:
            found.regions.append((at, end))  # a stretch that stands twice
        sound.setdefault(number, payload)
        found.size = at = end
    else:
        found.size = len(data)
    found.size, found.number = max(found.size, HEADER), max(sound, default=0)
    last = 0
    for number in sorted(sound):
        line, _, body = sound[number].partition(b"\n")
        lost = number - last - 1
        found.missing += lost
        try:
            found.records.append(Record(number, json.loads(line), body, lost > 0))
        except ValueError:  # sound by its checksum, so this program's own fault: as if it were missing
            found.missing += 1
            continue
        last = number


def _scan_tail(data: bytes, at: int, salt: int, found: JournalScan) -> None:
    """No sound record follows: a clean beginning of one is torn, anything else is damaged."""
    rest = data[at : at + HEAD.size]
    whole_head = len(rest) == HEAD.size and _head_check(rest, salt)
    if (whole_head and at + HEAD.size + HEAD.unpack(rest)[2] > len(data)) or (
        len(rest) < HEAD.size and (rest[:2] == MARK[: len(rest)])
    ):
        found.torn = len(data) - at
    else:
        found.regions.append((at, len(data)))
        found.tail_lost = True


def _uncommitted(data: bytes, at: int, salt: int) -> bool:
    """Whether an append begins here whose marker was never written: the process died, or its write failed, before."""
    head = data[at : at + HEAD.size]
    mark = head[: len(MARK)]
    if mark == MARK or any(byte not in (0, whole) for byte, whole in zip(mark, MARK, strict=False)):
        return False
    return len(head) < HEAD.size or _head_check(MARK + head[len(MARK) :], salt)


def _head_check(head: bytes, salt: int) -> bool:
    return head[:2] == MARK and int.from_bytes(head[2:4], "little") == zlib.crc32(head[4:], salt) & 0xFFFF


def _record_at(data: bytes, at: int, salt: int) -> tuple[int, bytes, int] | None:
    head = data[at : at + HEAD.size]
    if len(head) < HEAD.size or not _head_check(head, salt):
        return None
    _, _, length, number, check = HEAD.unpack(head)
    payload = data[at + HEAD.size : at + HEAD.size + length]
    if length > MOST_RECORD or len(payload) < length:
        return None
    if zlib.crc32(payload, zlib.crc32(number.to_bytes(4, "little"), salt)) != check:
        return None
    return number, payload, at + HEAD.size + length


def _sound_after(data: bytes, at: int, salt: int) -> Iterator[int]:
    """Where sound records begin after a damaged place."""
    while (at := data.find(MARK, at + 1)) >= 0:
        if _record_at(data, at, salt) is not None:
            yield at


def _old_record(data: bytes, at: int) -> tuple[bytes, int] | None:
    if at + OLD_HEAD.size > len(data):
        return None
    length, check = OLD_HEAD.unpack_from(data, at)
    payload = data[at + OLD_HEAD.size : at + OLD_HEAD.size + length]
    if length > MOST_RECORD or len(payload) < length or zlib.crc32(payload) != check:
        return None
    return payload, at + OLD_HEAD.size + length


def _scan_old(data: bytes) -> JournalScan:
    """Version 1: up to the first record that is not whole; what follows cannot be told from a torn tail."""
    found, at = JournalScan(version=1), 0
    while (got := _old_record(data, at)) is not None:
        payload, at = got
        line, _, body = payload.partition(b"\n")
        try:
            found.records.append(Record(len(found.records) + 1, json.loads(line), body))
        except ValueError:
            continue
    found.size, found.torn, found.number = at, len(data) - at, len(found.records)
    return found


def may_resend(cls: MessageClass) -> bool:
    """Whether a message that may have run, and may be over, may be sent again all the same."""
    return cls.effect is Effect.REPEATABLE


@dataclass(slots=True)
class RecoveredJournal:
    """What a folder holds, over all the files that make its state."""

    scans: dict[str, JournalScan] = field(default_factory=dict)
    """The files that make the state, by name, in the order in which they are to be read."""
    bad: list[str] = field(default_factory=list)
    """Files that are damaged, or snapshots that do not count."""
    snapshot: int = 0
    """The generation of the snapshot that the state begins with; 0 for none."""
    generation: int = 1
    """Of the journal that is written to; or to be written to, if it is not there."""
    gaps: int = 0
    """Files that are missing."""
    tail_lost: bool = False
    """After all that is read, records may be missing."""

    @property
    def damaged(self) -> bool:
        return bool(self.bad or self.gaps)

    @property
    def last(self) -> JournalScan:
        """The journal that is written to."""
        return self.scans.get(JOURNAL, JournalScan())

    @property
    def version(self) -> int:
        return min((s.version for s in self.scans.values()), default=VERSION)

    @property
    def salt(self) -> int | None:
        return next((s.salt for s in self.scans.values() if s.salt is not None), None)

    @property
    def torn(self) -> int:
        return self.last.torn

    @property
    def regions(self) -> list[tuple[str, int, int]]:
        return [(name, *region) for name, s in self.scans.items() for region in s.regions]

    @property
    def missing(self) -> int:
        return sum(s.missing for s in self.scans.values())

    def records(self) -> Iterator[Record]:
        """All sound records in their order. They are let go as they are read: bodies take memory."""
        for s in self.scans.values():
            records, s.records = s.records, []
            yield from records


def recover_journal(names: Iterable[str], read: Callable[[str], bytes], salt: int | None = None) -> RecoveredJournal:
    """Choose the files that make the state, and read them. `salt` is what is known of it elsewhere. Raises NewerFormat,
    and OSError where a file that is needed cannot be read.
    """
    there, found = set(names), RecoveredJournal()
    base = _base(there, read, salt, found)
    salt = found.salt if salt is None else salt
    closed = [g for g in _generations(there, f"{JOURNAL}-") if g >= base]
    expected = base or 1
    for generation in closed:
        name = closed_name(generation)
        _add(found, name, scan(read(name), salt), gap=generation > expected)
        expected = generation + 1
    found.generation = expected
    last = scan(read(JOURNAL), salt) if JOURNAL in there else None
    if last is not None and last.headed:
        found.generation = _nearest(last.generation, expected)
    if last is not None and (found.generation >= expected or not (base or closed)):
        _add(found, JOURNAL, last, gap=found.generation > expected)
        return found
    found.generation = expected
    if (base or closed) and f"{JOURNAL}.new" not in there:  # while it is replaced nothing is in the new one yet
        found.gaps, found.tail_lost = found.gaps + 1, True
    return found


def _generations(names: Iterable[str], prefix: str) -> list[int]:
    return sorted(int(n) for name in names if (n := name.removeprefix(prefix)) != name and n.isdecimal())


def _nearest(low: int, newest: int) -> int:
    """The generation with these low bits that is nearest to the newest that is known."""
    return newest + (low - newest + 0x8000 & 0xFFFF) - 0x8000


def _base(there: set[str], read: Callable[[str], bytes], salt: int | None, found: RecoveredJournal) -> int:
    """Begin with the newest snapshot that counts; or else with what is sound of the newest. Returns its generation."""
    spoilt: dict[int, JournalScan] = {}
    error: OSError | None = None
    for generation in reversed(_generations(there, SNAPSHOT)):
        name = snapshot_name(generation)
        try:
            got = snapshot(read(name), salt)
        except OSError as unreadable:
            error = unreadable
            found.bad.append(name)
            continue
        if not got.damaged and not got.torn:
            found.scans[name], found.snapshot = got, generation
            return generation
        found.bad.append(name)
        spoilt[generation] = got
    if error is not None:
        raise error
    if spoilt:
        found.snapshot = max(spoilt)
        found.scans[snapshot_name(found.snapshot)] = spoilt[found.snapshot]
        found.tail_lost = True
    return found.snapshot


def snapshot(data: bytes, salt: int | None = None) -> JournalScan:
    """Read a snapshot. It is damaged if its seal is not there, or is not that of these bytes."""
    found = scan(data, salt)
    last = found.records[-1] if found.records else None
    if last is None or last.line[:1] != [SEALED] or last.line[1:] != [last.number, seal(data, last, found)]:
        found.regions.append((len(data), len(data)))
    else:
        found.records.pop()
    return found


def seal(data: bytes, last: Record, found: JournalScan) -> int:
    """The checksum of all bytes before the last record."""
    size = HEAD.size + len(json.dumps(last.line, separators=(",", ":"))) + 1 + len(last.body)
    return zlib.crc32(data[: found.size - size])


def _add(found: RecoveredJournal, name: str, got: JournalScan, gap: bool) -> None:
    """The next journal in their order. A closed one without its end, or a file that is missing, is a loss for what
    follows.
    """
    closed = bool(got.records) and got.records[-1].line == [CLOSED]
    if name != JOURNAL and not closed:
        got.tail_lost, got.torn = True, 0
        got.regions = got.regions or [(got.size, got.size)]
    got.records = [r for r in got.records if r.line != [CLOSED]]
    if got.records and (gap or found.tail_lost):
        got.records[0] = replace(got.records[0], after_loss=True)
        found.tail_lost = False
    found.gaps, found.tail_lost = found.gaps + gap, found.tail_lost or got.tail_lost
    if got.damaged:
        found.bad.append(name)
    found.scans[name] = got
