"""Accounts for the files of a state folder: every byte is counted before it is written, so the limit always holds.

The limit counts each file in whole blocks, and a file that replaces another one counts beside it until it does
(DEPLOY, Limits). `capacity` says how much room the ways of writing need at their worst moment.
"""

from __future__ import annotations

import errno

from forwarder.storage.file_io import block_bytes


class DiskFullError(OSError):
    """A write would take the folder over its limit; nothing was written."""

    def __init__(self, name: str, used_bytes: int, limit_bytes: int) -> None:
        super().__init__(errno.ENOSPC, f"{name} would take the folder to {used_bytes} of {limit_bytes} bytes")


class DiskUsage:
    """The sizes of a folder's files, and the limit on their sum."""

    def __init__(self, limit_bytes: int) -> None:
        """Starts without files.

        Args:
            limit_bytes: disk space that all files together may use.
        """
        self.limit_bytes = limit_bytes
        self.sizes: dict[str, int] = {}
        """The size of each file in bytes, by name."""
        self.used_bytes = 0
        """The disk space of all files."""
        self.peak_bytes = 0
        """The largest value of `used_bytes` so far."""
        self.was_lowered = False
        """Whether the folder was over the limit when it was measured, since the limit was lowered.

        It is not held to the limit until it fits: only rewrites make it smaller.
        """

    def reserve(self, name: str, size_bytes: int) -> None:
        """Counts a file at the size that it is about to have.

        Raises:
            DiskFullError: the limit does not allow it.
        """
        used_bytes = self.used_bytes - block_bytes(self.sizes.get(name, 0)) + block_bytes(size_bytes)
        if used_bytes > self.limit_bytes and not self.was_lowered:
            raise DiskFullError(name, used_bytes, self.limit_bytes)
        self.note(name, size_bytes)

    def note(self, name: str, size_bytes: int) -> None:
        """Counts a file at its present size."""
        self.used_bytes += block_bytes(size_bytes) - block_bytes(self.sizes.get(name, 0))
        self.sizes[name] = size_bytes
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)

    def remove(self, name: str) -> None:
        """Stops counting a file."""
        self.used_bytes -= block_bytes(self.sizes.pop(name, 0))

    def rename(self, name: str, new_name: str) -> None:
        """Counts a file under another name; a file that has this name already is replaced."""
        size_bytes = self.sizes.get(name, 0)
        self.remove(name)
        self.note(new_name, size_bytes)

    def clear(self) -> None:
        """Stops counting all files."""
        self.sizes.clear()
        self.used_bytes = 0
