"""Keeps damaged files under separate names for inspection, so that later starts do not read them again."""

from __future__ import annotations

import os
from pathlib import Path

from forwarder.storage.file_io import disk_bytes
from forwarder.storage.file_names import DAMAGED_MARK

MAX_EARLIER_FILES = 2
"""Limit on the files kept from earlier starts, minus the files of this start, which are all kept."""


class DamagedFiles:
    """The damaged files that were set aside in one folder."""

    def __init__(self, folder: Path) -> None:
        """Measures the files that are already set aside; the folder need not exist yet.

        Raises:
            OSError: the folder cannot be read.
        """
        self.folder = folder
        self.is_done = False
        """Whether the damaged files of this start are already set aside."""
        self.size_bytes = self._measure()

    def set_aside(self, names: list[str]) -> None:
        """Links damaged files under new names and removes the oldest ones of earlier starts, once per start.

        A file also keeps its original name until the whole state is rewritten.

        Raises:
            OSError: a file cannot be linked, renamed or removed.
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
        except OSError:  # it is a folder, or the file system has no hard links
            os.replace(self.folder / name, self.folder / new_name)

    def _paths(self) -> list[Path]:
        """Returns the files that are set aside, oldest first."""
        return sorted(self.folder.glob(f"*{DAMAGED_MARK}*"), key=lambda path: path.stat().st_mtime_ns)

    def _measure(self) -> int:
        return sum(disk_bytes(path) for path in self._paths())
