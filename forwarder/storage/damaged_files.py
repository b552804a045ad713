"""Damaged files that are kept for people, under names of their own, so that a start does not read them again."""

from __future__ import annotations

import os
from pathlib import Path

from forwarder.storage.file_io import disk_bytes
from forwarder.storage.file_names import DAMAGED_MARK

MAX_EARLIER_FILES = 2
"""How many are kept of earlier starts, less those of this one, all of which are kept."""


class DamagedFiles:
    """The damaged files of one folder that are set aside."""

    def __init__(self, folder: Path) -> None:
        """Measures what is set aside in the folder, which need not be there yet.

        Raises:
            OSError: the folder cannot be read.
        """
        self.folder = folder
        self.is_done = False
        """Whether this start's damaged files are set aside."""
        self.size_bytes = self._measure()

    def set_aside(self, names: list[str]) -> None:
        """Gives damaged files other names, and removes the oldest of earlier ones; does so once.

        A file keeps its own name too until all is written anew.

        Raises:
            OSError: one cannot be renamed or removed.
        """
        if self.is_done:
            return
        earlier = self._paths()
        if names:
            kept = max(0, MAX_EARLIER_FILES - len(names))
            for path in earlier[: max(0, len(earlier) - kept)]:
                os.unlink(path)
        used_names = {path.name for path in earlier}
        for name in names:
            self._set_one_aside(name, used_names)
        self.size_bytes = self._measure()
        self.is_done = True

    def _set_one_aside(self, name: str, used_names: set[str]) -> None:
        candidates = (f"{name}{DAMAGED_MARK}{number}" for number in range(1, len(used_names) + 2))
        new_name = next(candidate for candidate in candidates if candidate not in used_names)
        try:
            os.link(self.folder / name, self.folder / new_name, follow_symlinks=False)
        except OSError:  # a folder in its place, or a file system without hard links
            os.replace(self.folder / name, self.folder / new_name)

    def _paths(self) -> list[Path]:
        """Returns the files that are set aside, the oldest first."""
        return sorted(self.folder.glob(f"*{DAMAGED_MARK}*"), key=lambda path: path.stat().st_mtime_ns)

    def _measure(self) -> int:
        return sum(disk_bytes(path) for path in self._paths())
