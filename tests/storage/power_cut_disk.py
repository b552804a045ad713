"""A replacement for `os` that simulates a power cut: data that was not synced may be lost, in any order."""

from __future__ import annotations

import errno
import os
import random
from pathlib import Path
from typing import Any

import pytest

from forwarder.storage import damaged_files, file_io, journal_file, journal_files


class PowerCutError(Exception):
    """The power was cut."""


class PowerCutDisk:
    """Replaces `os` in the storage modules.

    Tracks which content of each file and which directory entries are synced. The power is cut at a given call, counted
    from the start. Calls can also be made to fail.
    """

    def __init__(self, folder: Path, rng: random.Random) -> None:
        self.folder, self.rng = folder, rng
        self.call_count, self.power_cut_at_call = 0, -1
        self.failures_left: dict[str, int] = {}
        self.names: dict[int, Path] = {}
        self.synced_contents: dict[str, bytes] = {}
        """The synced content of each file, by inode."""
        self.synced_entries: dict[str, str] = {}
        """The synced directory entries: inodes by file name."""
        self.unsynced_entries: list[tuple[str, str]] = []
        """Directory entries changed since the last sync of the folder, in order; the inode is empty if removed."""

    def __getattr__(self, name: str) -> Any:
        real = getattr(os, name)
        simulated = {
            "open": self._open,
            "write": self._write,
            "replace": self._replace,
            "fdatasync": self._fdatasync,
            "fsync": self._fsync,
            "unlink": self._unlink,
            "ftruncate": os.ftruncate,
            "close": os.close,
        }.get(name)
        if simulated is None:
            return real

        def counted_call(*args: Any) -> Any:
            self.call_count += 1
            if self.call_count == self.power_cut_at_call:
                raise PowerCutError(name)
            if self.failures_left.get(name, 0) > 0:
                self.failures_left[name] -= 1
                raise OSError(errno.EIO, f"{name} failed")
            return simulated(*args)

        return counted_call

    @staticmethod
    def inode(fd: int) -> str:
        return str(os.fstat(fd).st_ino)

    def _open(self, path: Any, flags: int, mode: int = 0o777) -> int:
        is_new = not Path(path).exists()
        fd = os.open(path, flags, mode)
        if is_new:
            self.synced_contents[self.inode(fd)] = b""
            self.unsynced_entries.append((Path(path).name, self.inode(fd)))
        return fd

    def _write(self, fd: int, data: Any) -> int:
        return os.write(fd, bytes(data)[: self.rng.randrange(1, len(data) + 1)])  # may be a short write

    def _replace(self, old: Any, new: Any) -> None:
        self.unsynced_entries += [(Path(new).name, str(Path(old).stat().st_ino)), (Path(old).name, "")]
        os.replace(old, new)

    def _unlink(self, path: Any) -> None:
        os.unlink(path)
        self.unsynced_entries.append((Path(path).name, ""))

    def _fdatasync(self, fd: int) -> None:
        with open(f"/proc/self/fd/{fd}", "rb") as file:
            self.synced_contents[self.inode(fd)] = file.read()

    def _fsync(self, fd: int) -> None:
        """Syncs the directory entries; only the folder is passed to `fsync`."""
        self.synced_entries.update(self.unsynced_entries)
        self.unsynced_entries.clear()

    def write_state_after_power_cut(self, target: Path) -> None:
        """Writes a possible disk state: entries up to a random point, the synced content, and any part of the rest."""
        current_contents = {str(p.stat().st_ino): p.read_bytes() for p in self.folder.iterdir() if p.is_file()}
        surviving_entries = dict(self.synced_entries)
        surviving_entries.update(self.unsynced_entries[: self.rng.randrange(len(self.unsynced_entries) + 1)])
        target.mkdir()
        for name, inode in surviving_entries.items():
            if not inode:
                continue  # the file was renamed or removed
            synced = self.synced_contents.get(inode, b"")
            current = current_contents.get(inode, synced)
            if current[: len(synced)] != synced:
                current = synced
            data = bytearray(current[: self.rng.randrange(len(synced), len(current) + 1)])
            # Blocks reach the disk in any order, so some may still be missing.
            for offset in range(len(synced), len(data), 64):
                if self.rng.random() < 0.3:
                    data[offset : offset + 64] = bytes(len(data[offset : offset + 64]))
            (target / name).write_bytes(data)


def replace_os(monkeypatch: pytest.MonkeyPatch, disk: Any) -> None:
    """Makes the modules that write the journal use this object in place of `os`; pass `os` to undo it."""
    for module in (damaged_files, file_io, journal_file, journal_files):
        monkeypatch.setattr(module, "os", disk)
