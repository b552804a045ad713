"""File operations that the storage modules share."""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

DISK_BLOCK_BYTES = 512


def write_all(fd: int, data: bytes) -> None:
    """Writes all of the data, repeating short writes.

    Raises:
        OSError: a write failed; part of the data may have been written.
    """
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]


def close_descriptor(fd: int) -> None:
    """Closes a descriptor.

    Errors are ignored: Linux frees the descriptor in any case, and the next sync reports an error of earlier writes.
    """
    with suppress(OSError):
        os.close(fd)


def sync_data(fd: int) -> None:
    """Waits until the data written to the file would survive a power cut.

    Raises:
        OSError: the data may be lost in a power cut.
    """
    os.fdatasync(fd)


def sync_folder(path: Path) -> None:
    """Waits until the directory entries of a folder would survive a power cut.

    Raises:
        OSError: the entries may be lost in a power cut.
    """
    folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def block_bytes(size_bytes: int) -> int:
    """Returns the disk space of a file of this size, which is allocated in whole blocks."""
    return -(-size_bytes // DISK_BLOCK_BYTES) * DISK_BLOCK_BYTES
