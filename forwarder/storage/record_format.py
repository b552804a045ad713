"""The binary form of journals and snapshots: the file header, and the frame around each record.

A file begins with a header, twice: magic bytes, format version, the low 16 bits of the file's generation, the folder's
salt, and a checksum. Then come records. The frame of each is a marker, a check of the frame's own head, the payload's
length, the record's number, and a checksum of number and payload. The payload is a line of JSON and, after a newline,
the record's body. Checksums begin from the salt, so no body that a client sends can pass for a record. Numbers grow by
one from record to record.

Format version 1 has no header, and only length and checksum before a payload; version 2 always has generation 0. Both
are read; a newer version is refused.
"""

from __future__ import annotations

import json
import struct
import zlib
from typing import NamedTuple

from forwarder.storage.errors import NewerFormatError
from forwarder.storage.schema import StoredLine

MAGIC = b"lemonj\r\n"
FORMAT_VERSION = 3
HEADER_COPY = struct.Struct("<8sHHI")
"""Magic bytes, version, generation, salt."""
HEADER_CHECK = struct.Struct("<I")
HEADER_COPY_BYTES = HEADER_COPY.size + HEADER_CHECK.size
HEADER_BYTES = 2 * HEADER_COPY_BYTES
GENERATION_MASK = 0xFFFF
MARKER = b"\xe7\x4a"
BLANK_MARKER = bytes(len(MARKER))
"""Stands in a marker's place until all that is appended with its record is written."""
FRAME_HEAD = struct.Struct("<2sHIII")
"""Marker, check of the other fields, payload length, record number, checksum."""
CHECKED_FRAME_FIELDS = struct.Struct("<III")
VERSION1_FRAME_HEAD = struct.Struct("<II")
"""Payload length, checksum."""
MAX_PAYLOAD_BYTES = 1 << 21
LINE_ENCODER = json.JSONEncoder(separators=(",", ":"))


class FileHeader(NamedTuple):
    """What a file says of itself."""

    version: int
    generation: int
    """The low 16 bits of it."""
    salt: int


class RecordFrame(NamedTuple):
    """A record whose checksums hold."""

    number: int
    payload: bytes
    end: int
    """The offset just behind it."""


def encode_file_header(salt: int, generation: int, version: int = FORMAT_VERSION) -> bytes:
    """Returns the first bytes of a file."""
    copy = HEADER_COPY.pack(MAGIC, version, generation & GENERATION_MASK, salt)
    return 2 * (copy + HEADER_CHECK.pack(zlib.crc32(copy)))


def decode_file_header(data: bytes) -> FileHeader | None:
    """Returns the file's header by whichever of its two copies is undamaged; None if neither is.

    Raises:
        NewerFormatError: the file is of a version that this program does not know.
    """
    for offset in (0, HEADER_COPY_BYTES):
        if len(data) < offset + HEADER_COPY_BYTES:
            continue
        copy = data[offset : offset + HEADER_COPY.size]
        if HEADER_CHECK.unpack_from(data, offset + HEADER_COPY.size)[0] != zlib.crc32(copy):
            continue
        magic, version, generation, salt = HEADER_COPY.unpack(copy)
        if magic != MAGIC:
            continue
        if version > FORMAT_VERSION:
            raise NewerFormatError(f"the journal is of version {version}; this program knows up to {FORMAT_VERSION}")
        return FileHeader(version, generation, salt)
    return None


def encode_line(line: StoredLine) -> bytes:
    """Returns a record's line as it is stored."""
    return LINE_ENCODER.encode(line).encode()


def encode_record_frame(salt: int, number: int, line: StoredLine, body: bytes = b"") -> bytes:
    """Returns the bytes of one record."""
    payload = encode_line(line) + b"\n" + body
    fields = CHECKED_FRAME_FIELDS.pack(len(payload), number, _payload_checksum(salt, number, payload))
    return MARKER + _frame_check(salt, fields).to_bytes(2, "little") + fields + payload


def decode_record_frame(data: bytes, offset: int, salt: int) -> RecordFrame | None:
    """Returns the record that begins at this offset; None if none does, or it is damaged or cut short."""
    head = data[offset : offset + FRAME_HEAD.size]
    if len(head) < FRAME_HEAD.size or not is_frame_head(head, salt):
        return None
    _, _, length, number, checksum = FRAME_HEAD.unpack(head)
    end = offset + FRAME_HEAD.size + length
    payload = data[offset + FRAME_HEAD.size : end]
    if length > MAX_PAYLOAD_BYTES or len(payload) < length:
        return None
    if _payload_checksum(salt, number, payload) != checksum:
        return None
    return RecordFrame(number, payload, end)


def is_frame_head(head: bytes, salt: int) -> bool:
    """Returns whether these are the first bytes of a record's frame, by marker and check."""
    check = int.from_bytes(head[2:4], "little")
    return head[: len(MARKER)] == MARKER and check == _frame_check(salt, head[4:])


def decode_version1_frame(data: bytes, offset: int, number: int) -> RecordFrame | None:
    """Returns the record of format version 1 that begins at this offset; None if none does that is complete.

    Such a record has no number of its own; `number` is its place in the file.
    """
    if offset + VERSION1_FRAME_HEAD.size > len(data):
        return None
    length, checksum = VERSION1_FRAME_HEAD.unpack_from(data, offset)
    end = offset + VERSION1_FRAME_HEAD.size + length
    payload = data[offset + VERSION1_FRAME_HEAD.size : end]
    if length > MAX_PAYLOAD_BYTES or len(payload) < length or zlib.crc32(payload) != checksum:
        return None
    return RecordFrame(number, payload, end)


def _payload_checksum(salt: int, number: int, payload: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(number.to_bytes(4, "little"), salt))


def _frame_check(salt: int, fields: bytes) -> int:
    return zlib.crc32(fields, salt) & 0xFFFF
