"""Keeps damaged files under separate names for inspection, so that later starts do not read them again."""

from __future__ import annotations

import logging
import os
from contextlib import suppress
from pathlib import Path

from forwarder.storage.disk_usage import DiskFullError, DiskUsage
from forwarder.storage.file_io import block_bytes
from forwarder.storage.file_names import DAMAGED_MARK

MAX_EARLIER_FILES = 2
"""Limit on the files kept from earlier starts, minus the files of this start, which are all kept."""
log = logging.getLogger("forwarder.store")


class DamagedFiles:
    """The damaged files that were set aside in one folder. They are kept only while nothing else needs their space."""

    def __init__(self, folder: Path, usage: DiskUsage) -> None:
        """Takes the account of the folder's files, which counts those that are already set aside."""
        self.folder = folder
        self.usage = usage
        self.is_done = False
        """Whether the damaged files of this start are already set aside."""

    @property
    def size_bytes(self) -> int:
        """The disk space of the files that are set aside."""
        return sum(block_bytes(size) for name, size in self.usage.sizes.items() if DAMAGED_MARK in name)

    def set_aside(self, names: list[str]) -> None:
        """Links damaged files under new names and removes the oldest ones of earlier starts, once per start.

        A file also keeps its original name until the whole state is rewritten. One for which there is no space twice
        is not set aside.

        Raises:
            OSError: a file cannot be linked, renamed or removed.
        """
        if self.is_done:
            return
        earlier = self._paths()
        if names:
            kept = max(0, MAX_EARLIER_FILES - len(names))
            for path in earlier[: max(0, len(earlier) - kept)]:
                self._remove(path)
        used_names = {path.name for path in earlier}
        for name in names:
            self._set_one_aside(name, used_names)
        self.is_done = True

    def remove_all(self) -> None:
        """Removes the files that are set aside, to make room.

        Raises:
            OSError: a file cannot be removed.
        """
        for path in self._paths():
            log.warning("journal: %s is removed, since its space is needed", path.name)
            self._remove(path)

    def _remove(self, path: Path) -> None:
        with suppress(FileNotFoundError):
            os.unlink(path)
        self.usage.remove(path.name)

    def _set_one_aside(self, name: str, used_names: set[str]) -> None:
        candidates = (f"{name}{DAMAGED_MARK}{number}" for number in range(1, len(used_names) + 2))
        new_name = next(candidate for candidate in candidates if candidate not in used_names)
        try:
            self.usage.reserve(new_name, self.usage.sizes.get(name, 0))
        except DiskFullError as error:
            log.warning("journal: %s is damaged and not set aside: %s", name, error)
            return
        try:
            os.link(self.folder / name, self.folder / new_name, follow_symlinks=False)
        except OSError:  # it is a folder, or the file system has no hard links
            self.usage.remove(new_name)
            os.replace(self.folder / name, self.folder / new_name)
            self.usage.rename(name, new_name)

    def _paths(self) -> list[Path]:
        """Returns the files that are set aside, oldest first."""
        return sorted(self.folder.glob(f"*{DAMAGED_MARK}*"), key=lambda path: path.stat().st_mtime_ns)
