"""Parses one journal or snapshot: its records in order, and what is damaged or missing.

The functions take bytes and perform no I/O.

- A torn tail, left by a process that died during a write, was not committed yet; it is truncated.
- An append is atomic: its first marker is written last and is blank until then. From a record with a blank marker on,
  nothing is committed, so it is treated like a torn tail.
- After any other damage parsing continues at the next undamaged record. Gaps in the record numbers show how many
  records are missing.
- A snapshot that does not end with a seal matching its bytes is damaged.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from forwarder.storage.record_format import (
    FORMAT_VERSION,
    FRAME_HEAD,
    HEADER_BYTES,
    MAGIC,
    MARKER,
    FileHeader,
    decode_file_header,
    decode_record_frame,
    decode_version1_frame,
    encode_file_header,
    encode_line,
    is_frame_head,
)
from forwarder.storage.schema import JsonArray, SnapshotSealedRecord, is_snapshot_seal


class ScannedRecord(NamedTuple):
    """A record read from a file; its line is not decoded yet."""

    number: int
    line: JsonArray
    body: bytes
    is_after_loss: bool = False
    """Whether records immediately before this one are missing."""


@dataclass(slots=True)
class JournalScan:
    """The content of a file: its undamaged records in order, and its damage."""

    version: int = FORMAT_VERSION
    salt: int | None = None
    generation: int = 0
    """The low 16 bits of the generation, from the header."""
    has_header: bool = False
    """Whether at least one copy of the header is undamaged."""
    records: list[ScannedRecord] = field(default_factory=list)
    last_number: int = 0
    """The number of the last undamaged record, whatever its kind."""
    valid_bytes: int = 0
    """The length to which the file is truncated to remove a torn tail."""
    torn_bytes: int = 0
    """The length of the torn tail."""
    damaged_ranges: list[tuple[int, int]] = field(default_factory=list)
    """Damaged ranges, each with its start offset and end offset (exclusive)."""
    missing_records: int = 0
    """The number of missing records, counted from gaps in the record numbers."""
    is_tail_lost: bool = False
    """Whether records may be missing at the end of the file."""

    @property
    def is_damaged(self) -> bool:
        """Whether any committed data is damaged or missing."""
        return bool(self.damaged_ranges or self.missing_records)


def scan_journal(data: bytes, salt: int | None = None) -> JournalScan:
    """Parses a journal.

    Args:
        data: the content of the file.
        salt: the folder's salt from other files, needed if both copies of the header are damaged.

    Raises:
        NewerFormatError: the file has a format version that this program does not support.
    """
    header = decode_file_header(data)
    if header is None and (not data or decode_version1_frame(data, 0, 1) is not None):
        return _scan_version1(data)
    scan = JournalScan(salt=salt)
    if header is not None:
        scan.version = header.version
        scan.generation = header.generation
        scan.salt = header.salt
        scan.has_header = True
    if not _is_header_intact(data, header):
        if len(data) < HEADER_BYTES and MAGIC.startswith(data[: len(MAGIC)]):
            scan.torn_bytes = len(data)
            return scan
        scan.damaged_ranges.append((0, min(HEADER_BYTES, len(data))))
    if scan.salt is None:
        scan.damaged_ranges = [(0, len(data))]
        scan.is_tail_lost = True
        return scan
    payloads = _scan_frames(data, scan.salt, scan)
    _add_records(payloads, scan)
    return scan


def scan_snapshot(data: bytes, salt: int | None = None) -> JournalScan:
    """Parses a snapshot, which counts as damaged unless it ends with a seal matching its bytes.

    Raises:
        NewerFormatError: the file has a format version that this program does not support.
    """
    scan = scan_journal(data, salt)
    if scan.records and _is_sealed(data, scan):
        scan.records.pop()
    else:
        scan.damaged_ranges.append((len(data), len(data)))
    return scan


def _is_header_intact(data: bytes, header: FileHeader | None) -> bool:
    if header is None:
        return False
    return data[:HEADER_BYTES] == encode_file_header(header.salt, header.generation, header.version)


def _scan_frames(data: bytes, salt: int, scan: JournalScan) -> dict[int, bytes]:
    """Returns the payloads of all undamaged records by record number, and adds the damaged ranges to the scan."""
    offset = HEADER_BYTES
    payloads: dict[int, bytes] = {}
    scan.valid_bytes = HEADER_BYTES
    while offset < len(data):
        frame = decode_record_frame(data, offset, salt)
        if frame is not None:
            if frame.number in payloads:  # a part of the file occurs twice
                scan.damaged_ranges.append((offset, frame.end))
            payloads.setdefault(frame.number, frame.payload)
            scan.valid_bytes = offset = frame.end
            continue
        if _is_uncommitted(data, offset, salt):
            scan.torn_bytes = len(data) - offset
            break
        next_offset = next(_undamaged_offsets(data, offset, salt), None)
        if next_offset is None:
            _scan_tail(data, offset, salt, scan)
            break
        scan.damaged_ranges.append((offset, next_offset))
        offset = next_offset
    scan.last_number = max(payloads, default=0)
    return payloads


def _add_records(payloads: dict[int, bytes], scan: JournalScan) -> None:
    """Adds the records in the order of their numbers, and counts the missing ones."""
    last_number = 0
    for number in sorted(payloads):
        line, _, body = payloads[number].partition(b"\n")
        missing = number - last_number - 1
        scan.missing_records += missing
        try:
            scan.records.append(ScannedRecord(number, json.loads(line), body, missing > 0))
        except ValueError:  # the checksum is valid, so the record was written this way; count it as missing
            scan.missing_records += 1
            continue
        last_number = number


def _scan_tail(data: bytes, offset: int, salt: int, scan: JournalScan) -> None:
    """Decides whether a tail without undamaged records is a partly written record or damage."""
    if _is_record_cut_short(data, offset, salt):
        scan.torn_bytes = len(data) - offset
        return
    scan.damaged_ranges.append((offset, len(data)))
    scan.is_tail_lost = True


def _is_record_cut_short(data: bytes, offset: int, salt: int) -> bool:
    head = data[offset : offset + FRAME_HEAD.size]
    if len(head) < FRAME_HEAD.size:
        return head[: len(MARKER)] == MARKER[: len(head)]
    if not is_frame_head(head, salt):
        return False
    length: int = FRAME_HEAD.unpack(head)[2]
    return offset + FRAME_HEAD.size + length > len(data)


def _is_uncommitted(data: bytes, offset: int, salt: int) -> bool:
    """Returns whether an append without its marker starts here: the process died, or the write failed."""
    head = data[offset : offset + FRAME_HEAD.size]
    marker = head[: len(MARKER)]
    if marker == MARKER or any(byte not in (0, expected) for byte, expected in zip(marker, MARKER, strict=False)):
        return False
    return len(head) < FRAME_HEAD.size or is_frame_head(MARKER + head[len(MARKER) :], salt)


def _undamaged_offsets(data: bytes, offset: int, salt: int) -> Iterator[int]:
    """Yields the offsets of undamaged records after this offset."""
    while (offset := data.find(MARKER, offset + 1)) >= 0:
        if decode_record_frame(data, offset, salt) is not None:
            yield offset


def _scan_version1(data: bytes) -> JournalScan:
    """Parses up to the first incomplete record: anything after it cannot be distinguished from a torn tail."""
    scan = JournalScan(version=1)
    offset = 0
    while (frame := decode_version1_frame(data, offset, len(scan.records) + 1)) is not None:
        offset = frame.end
        line, _, body = frame.payload.partition(b"\n")
        try:
            scan.records.append(ScannedRecord(frame.number, json.loads(line), body))
        except ValueError:
            continue
    scan.valid_bytes = offset
    scan.torn_bytes = len(data) - offset
    scan.last_number = len(scan.records)
    return scan


def _is_sealed(data: bytes, scan: JournalScan) -> bool:
    """Returns whether the last record is a seal that matches all bytes before it."""
    last = scan.records[-1]
    record_bytes = FRAME_HEAD.size + len(encode_line(tuple(last.line))) + 1 + len(last.body)
    checksum = zlib.crc32(data[: scan.valid_bytes - record_bytes])
    return is_snapshot_seal(last.line, SnapshotSealedRecord(last.number, checksum))
