"""The active journal: an open file to which records are appended."""

from __future__ import annotations

import errno
import os
from contextlib import suppress
from pathlib import Path

from forwarder.storage.file_io import close_descriptor, sync_data, write_all
from forwarder.storage.record_format import BLANK_MARKER, MARKER


class JournalFile:
    """The journal that is open for appending; `replace` switches to another file."""

    def __init__(self) -> None:
        """Starts without an open file."""
        self.fd = -1
        """The descriptor of the journal; -1 while none is open."""
        self.size_bytes = 0
        """The length of the complete appends."""
        self.occupied_bytes = 0
        """The length of the file, which is longer while a failed append could not be removed."""

    def open(self, path: Path, valid_bytes: int | None) -> None:
        """Opens an existing journal for appending.

        Args:
            path: the file.
            valid_bytes: the length to which the file is truncated to remove a torn tail; None to keep all of it.

        Raises:
            OSError: the file cannot be opened for writing.
        """
        self.fd = os.open(path, os.O_RDWR | os.O_CLOEXEC | os.O_NOFOLLOW)
        self.size_bytes = os.fstat(self.fd).st_size if valid_bytes is None else valid_bytes
        self._truncate()

    def replace(self, fd: int, size_bytes: int) -> None:
        """Switches to another open file, whose offset is at its end, and closes the previous one."""
        self.close()
        self.fd = fd
        self.size_bytes = size_bytes
        self.occupied_bytes = size_bytes

    def append(self, data: bytes) -> None:
        """Appends records atomically: the marker of the first record is written last.

        Raises:
            OSError: none of the records takes effect, even if a partial write could not be truncated.
        """
        if self.fd < 0:
            raise OSError(errno.EBADF, "no journal is open")
        self.occupied_bytes = self.size_bytes + len(data)
        try:
            write_all(self.fd, BLANK_MARKER + data[len(MARKER) :])
            if os.pwrite(self.fd, MARKER, self.size_bytes) < len(MARKER):
                raise OSError(errno.EIO, "short write of a record marker")
        except OSError:
            # If truncating fails too, the blank marker identifies the torn tail.
            with suppress(OSError):
                self._truncate()
            raise
        self.size_bytes += len(data)

    def sync(self) -> None:
        """Waits until the appended records would survive a power cut.

        Raises:
            OSError: the records may be lost in a power cut.
        """
        sync_data(self.fd)

    def close(self) -> None:
        """Closes the file if one is open."""
        if self.fd >= 0:
            close_descriptor(self.fd)
            self.fd = -1

    def _truncate(self) -> None:
        """Removes everything after the last complete append."""
        os.ftruncate(self.fd, self.size_bytes)
        self.occupied_bytes = self.size_bytes
        os.lseek(self.fd, self.size_bytes, os.SEEK_SET)
