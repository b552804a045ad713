"""Writes one snapshot in steps that are short enough not to block the event loop."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterator

from forwarder.storage.file_io import sync_data, write_all
from forwarder.storage.record_format import encode_file_header, encode_record_frame
from forwarder.storage.schema import (
    ClosingRecord,
    SnapshotSealedRecord,
    StoredRecord,
    body_of,
    encode_record,
)


class SnapshotWriter:
    """A snapshot that is being written.

    A copy of the state would double the memory used by messages, so each record is generated when it is written.
    """

    def __init__(
        self,
        fd: int,
        generation: int,
        salt: int,
        records: Iterator[StoredRecord],
        reserve: Callable[[int], None] = lambda size_bytes: None,
    ) -> None:
        """Prepares a snapshot in an empty file; `write_step` writes it.

        Args:
            fd: the file.
            generation: the snapshot's generation.
            salt: the initial value of the checksums.
            records: the records to write.
            reserve: called with the size that the file is about to have; raises OSError if that is not allowed.
        """
        self.fd = fd
        self.generation = generation
        self.salt = salt
        self.records = records
        self.reserve = reserve
        self.size_bytes = 0
        self.checksum = 0
        """The checksum of all bytes written so far."""
        self.record_number = 0
        self.unwritten_header = encode_file_header(salt, generation)

    def write_step(self, step_bytes: int, durable: bool) -> bool:
        """Writes the next records, and the seal after the last record.

        Args:
            step_bytes: the minimum number of bytes to write, unless fewer remain.
            durable: whether to sync the file.

        Returns:
            Whether the snapshot is complete.

        Raises:
            OSError: the snapshot cannot be written.
        """
        data, is_complete = self._next_records(step_bytes)
        self.checksum = zlib.crc32(data, self.checksum)
        if is_complete:
            data += self._frame(SnapshotSealedRecord(self.record_number + 1, self.checksum))
        self.reserve(self.size_bytes + len(data))
        write_all(self.fd, data)
        self.size_bytes += len(data)
        if durable:
            sync_data(self.fd)
        return is_complete

    def _next_records(self, step_bytes: int) -> tuple[bytes, bool]:
        """Returns the bytes of the next records, and whether they are the last ones."""
        parts = [self.unwritten_header]
        self.unwritten_header = b""
        size_bytes = 0
        while size_bytes < step_bytes:
            record = next(self.records, None)
            if record is None:
                return b"".join(parts), True
            parts.append(self._frame(record))
            size_bytes += len(parts[-1])
        return b"".join(parts), False

    def _frame(self, record: StoredRecord | ClosingRecord) -> bytes:
        self.record_number += 1
        return encode_record_frame(self.salt, self.record_number, encode_record(record), body_of(record))
