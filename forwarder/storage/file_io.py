"""Operations on file descriptors that the stored files share."""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

DISK_BLOCK_BYTES = 512


def write_all(fd: int, data: bytes) -> None:
    """Writes all of the data.

    Raises:
        OSError: a write failed; part of the data may have been written.
    """
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]


def close_descriptor(fd: int) -> None:
    """Closes a descriptor.

    Errors are passed over: Linux frees the descriptor in any case, and an error of earlier writes shows at the next
    sync.
    """
    with suppress(OSError):
        os.close(fd)


def sync_data(fd: int) -> None:
    """Waits until what was written to the file outlasts a power cut.

    Raises:
        OSError: it may not outlast one.
    """
    os.fdatasync(fd)


def sync_folder(path: Path) -> None:
    """Waits until the names in a folder outlast a power cut.

    Raises:
        OSError: they may not outlast one.
    """
    folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def disk_bytes(path: Path) -> int:
    """Returns what a file takes of the disk, which is given out in whole blocks.

    Raises:
        OSError: the file is not there.
    """
    return -(-path.stat().st_size // DISK_BLOCK_BYTES) * DISK_BLOCK_BYTES
