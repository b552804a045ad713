"""The binary form of journals and snapshots: the file header, and the frame around each record.

A file starts with two copies of a header: magic bytes, format version, the low 16 bits of the file's generation, the
folder's salt, and a checksum. Records follow. The frame of a record has a marker, a checksum of the other frame fields,
the payload length, the record number, and a checksum of number and payload. The payload is a line of JSON and, after a
newline, the record's body. The salt is the initial value of all record checksums, so a body sent by a client cannot be
mistaken for a record. Each record number is one higher than the previous one.

Format version 1 has no header, and only length and checksum before a payload; version 2 always has generation 0. Both
can be read; newer versions are rejected.
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
"""Placeholder for the first marker of an append until the rest of the append is written."""
FRAME_HEAD = struct.Struct("<2sHIII")
"""Marker, checksum of the other fields, payload length, record number, payload checksum."""
CHECKED_FRAME_FIELDS = struct.Struct("<III")
VERSION1_FRAME_HEAD = struct.Struct("<II")
"""Payload length, checksum."""
MAX_PAYLOAD_BYTES = 1 << 21
LINE_ENCODER = json.JSONEncoder(separators=(",", ":"))


class FileHeader(NamedTuple):
    """The decoded header of a file."""

    version: int
    generation: int
    """The low 16 bits of the generation."""
    salt: int


class RecordFrame(NamedTuple):
    """A record whose checksums are valid."""

    number: int
    payload: bytes
    end: int
    """The offset of the first byte after the record."""


def encode_file_header(salt: int, generation: int, version: int = FORMAT_VERSION) -> bytes:
    """Returns the header with which a file starts."""
    copy = HEADER_COPY.pack(MAGIC, version, generation & GENERATION_MASK, salt)
    return 2 * (copy + HEADER_CHECK.pack(zlib.crc32(copy)))


def decode_file_header(data: bytes) -> FileHeader | None:
    """Returns the file's header from the first undamaged copy; None if both copies are damaged.

    Raises:
        NewerFormatError: the file has a format version that this program does not support.
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
    """Returns the stored form of a record's line."""
    return LINE_ENCODER.encode(line).encode()


def encode_record_frame(salt: int, number: int, line: StoredLine, body: bytes = b"") -> bytes:
    """Returns the frame and payload of one record."""
    return encode_payload_frame(salt, number, encode_payload(line, body))


def encode_payload(line: StoredLine, body: bytes = b"") -> bytes:
    """Returns the payload of one record."""
    return encode_line(line) + b"\n" + body


def encode_payload_frame(salt: int, number: int, payload: bytes) -> bytes:
    """Returns a payload with the frame of its record."""
    fields = CHECKED_FRAME_FIELDS.pack(len(payload), number, _payload_checksum(salt, number, payload))
    return MARKER + _frame_check(salt, fields).to_bytes(2, "little") + fields + payload


def decode_record_frame(data: bytes, offset: int, salt: int) -> RecordFrame | None:
    """Returns the record that starts at this offset; None if there is none, or it is damaged or incomplete."""
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
    """Returns whether the bytes are the head of a record's frame, judging by marker and checksum."""
    check = int.from_bytes(head[2:4], "little")
    return head[: len(MARKER)] == MARKER and check == _frame_check(salt, head[4:])


def decode_version1_frame(data: bytes, offset: int, number: int) -> RecordFrame | None:
    """Returns the format version 1 record that starts at this offset; None if there is no complete one.

    Such a record contains no number; `number` is its position in the file.
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
