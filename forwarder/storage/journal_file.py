"""The journal that is written to: an open file that records are appended to."""

from __future__ import annotations

import errno
import os
from contextlib import suppress
from pathlib import Path

from forwarder.storage.file_io import close_descriptor, sync_data, write_all
from forwarder.storage.record_format import BLANK_MARKER, MARKER


class JournalFile:
    """One journal at a time; another may take its place."""

    def __init__(self) -> None:
        """Opens nothing yet."""
        self.fd = -1
        """The journal's descriptor; -1 while it is not open."""
        self.size_bytes = 0

    def open(self, path: Path, sound_bytes: int | None) -> None:
        """Opens a journal to append to it.

        Args:
            path: the file, which is there.
            sound_bytes: where its torn tail is cut off; None to cut nothing off.

        Raises:
            OSError: it cannot be opened for writing.
        """
        self.fd = os.open(path, os.O_RDWR | os.O_CLOEXEC | os.O_NOFOLLOW)
        self.size_bytes = os.fstat(self.fd).st_size if sound_bytes is None else sound_bytes
        self._cut_off()

    def replace(self, fd: int, size_bytes: int) -> None:
        """Goes on with another open file, whose offset is at its end, and closes the one before."""
        self.close()
        self.fd = fd
        self.size_bytes = size_bytes

    def append(self, data: bytes) -> None:
        """Appends records, as a whole or not at all: the first marker is written last.

        Raises:
            OSError: nothing of it counts, whether or not what was written could be cut off again.
        """
        if self.fd < 0:
            raise OSError(errno.EBADF, "no journal could be opened yet")
        try:
            write_all(self.fd, BLANK_MARKER + data[len(MARKER) :])
            if os.pwrite(self.fd, MARKER, self.size_bytes) < len(MARKER):
                raise OSError(errno.EIO, "half a marker was written")
        except OSError:
            # Where that is not possible either, the blank marker shows that the tail is torn.
            with suppress(OSError):
                self._cut_off()
            raise
        self.size_bytes += len(data)

    def sync(self) -> None:
        """Waits until what was appended outlasts a power cut.

        Raises:
            OSError: it may not outlast one.
        """
        sync_data(self.fd)

    def close(self) -> None:
        """Closes the file, if one is open."""
        if self.fd >= 0:
            close_descriptor(self.fd)
            self.fd = -1

    def _cut_off(self) -> None:
        """Cuts off what is behind the last complete append."""
        os.ftruncate(self.fd, self.size_bytes)
        os.lseek(self.fd, self.size_bytes, os.SEEK_SET)
