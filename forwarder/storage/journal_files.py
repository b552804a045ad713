"""The files of a state folder: the active journal, closed journals, and snapshots.

Every write is counted in `usage` before it is made, and one that would exceed the limit raises `DiskFullError`.

With `durable` set, a file is synced before it replaces another one, and the folder is synced afterwards. Older files
are removed only after that.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from contextlib import suppress
from functools import partial
from pathlib import Path

from forwarder.storage.damaged_files import DamagedFiles
from forwarder.storage.disk_usage import DiskUsage
from forwarder.storage.file_io import DISK_BLOCK_BYTES, close_descriptor, sync_data, sync_folder, write_all
from forwarder.storage.file_names import (
    CLOSED_JOURNAL_PREFIX,
    JOURNAL,
    NEW_JOURNAL,
    NEW_SNAPSHOT,
    SNAPSHOT_PREFIX,
    closed_journal_name,
    generation_of,
    has_generation,
    snapshot_name,
)
from forwarder.storage.journal_file import JournalFile
from forwarder.storage.record_format import encode_file_header
from forwarder.storage.recovery import RecoveredJournal
from forwarder.storage.schema import StoredRecord
from forwarder.storage.snapshot_writer import SnapshotWriter

REPLACE_STEP_BYTES = 1 << 20
SMALL_FILES = frozenset({"identity", "identity.new", "clock", "clock.new", "lease", "lock", "upgrade"})
"""Files of other modules, which together take at most `SMALL_FILES_BYTES`."""
SMALL_FILES_BYTES = 8 * DISK_BLOCK_BYTES


class JournalFiles:
    """The files of one folder; `take_ownership` must be called before anything is written."""

    def __init__(self, folder: Path, max_bytes: int) -> None:
        """Measures the files that are there; the folder need not exist yet.

        Args:
            folder: the state folder.
            max_bytes: disk space that all its files together may use.

        Raises:
            OSError: the folder cannot be read.
        """
        self.folder = folder
        self.usage = DiskUsage(max(0, max_bytes - SMALL_FILES_BYTES))
        """The disk space of all files but the small ones."""
        self.durable = False
        """Whether files are synced before they replace others."""
        self.journal = JournalFile()
        self.generation = 1
        """The generation of the active journal."""
        self.snapshot_generation = 0
        """The generation of the newest snapshot; 0 if there is none."""
        self.snapshot_writer: SnapshotWriter | None = None
        """The snapshot that is being written, if any."""
        self.damaged = DamagedFiles(folder, self.usage)
        self._measure()

    def names(self) -> list[str]:
        """Returns the names of all files in the folder.

        Raises:
            OSError: the folder cannot be read.
        """
        return [path.name for path in self.folder.iterdir()] if self.folder.is_dir() else []

    def read(self, name: str) -> bytes:
        """Returns the content of a file.

        Raises:
            OSError: the file cannot be read, or is a symbolic link, which could lead out of the folder.
        """
        fd = os.open(self.folder / name, os.O_RDONLY | os.O_CLOEXEC | os.O_NOFOLLOW)
        with open(fd, "rb") as file:
            return file.read()

    # Taking ownership

    def take_ownership(self, recovered: RecoveredJournal, salt: int) -> None:
        """Opens the journal at its valid end or starts one; from now on only this process may write to the folder.

        Damaged files are set aside. After an error the call can be repeated.

        Args:
            recovered: the recovered content of the folder.
            salt: the folder's salt.

        Raises:
            OSError: the folder cannot be written.
        """
        self.generation = recovered.journal_generation
        self.snapshot_generation = recovered.snapshot_generation
        self.folder.mkdir(parents=True, exist_ok=True)
        self._unlink(NEW_SNAPSHOT)
        self._measure()
        self.damaged.set_aside(recovered.damaged_files)
        self.remove_older_generations(keep=1)
        self.journal.close()  # left open by an earlier call that failed
        if JOURNAL in recovered.scans:
            # A damaged journal is not truncated: if it cannot be rewritten, no further records are lost.
            is_damaged = JOURNAL in recovered.damaged_files
            self.journal.open(self._path(JOURNAL), None if is_damaged else recovered.last_scan.valid_bytes)
            self.usage.note(JOURNAL, self.journal.occupied_bytes)
        if not self.journal.size_bytes:
            # An existing `journal.new` stays until the new journal replaces it: it shows a later start that the old
            # journal was being replaced.
            self._begin_journal(self.generation, salt)
            return
        self._unlink(NEW_JOURNAL)
        if self.durable:
            sync_folder(self.folder)

    def _measure(self) -> None:
        """Counts the files that are there."""
        self.usage.clear()
        for name in self.names():
            if name not in SMALL_FILES:
                with suppress(FileNotFoundError):  # the process that still owns the folder has removed it
                    self.usage.note(name, self._path(name).lstat().st_size)
        self.usage.was_lowered = self.usage.used_bytes > self.usage.limit_bytes

    def _older_file_bytes(self) -> dict[str, int]:
        """Returns the sizes of snapshots and closed journals, by name."""
        return {
            name: size
            for name, size in self.usage.sizes.items()
            if name.startswith((SNAPSHOT_PREFIX, CLOSED_JOURNAL_PREFIX)) and has_generation(name)
        }

    def _path(self, name: str) -> Path:
        return self.folder / name

    def _unlink(self, name: str) -> None:
        with suppress(FileNotFoundError):
            os.unlink(self._path(name))
        self.usage.remove(name)

    def _create(self, name: str) -> int:
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC | os.O_NOFOLLOW
        fd = os.open(self._path(name), flags, 0o600)
        self.usage.note(name, 0)
        return fd

    def _rename(self, name: str, new_name: str) -> None:
        os.replace(self._path(name), self._path(new_name))
        self.usage.rename(name, new_name)

    def _begin_journal(self, generation: int, salt: int, old_name: str = "") -> None:
        """Replaces the journal by a new one.

        Args:
            generation: the generation of the new journal.
            salt: the folder's salt.
            old_name: the new name of the old journal; if empty, the old journal is not kept.

        Raises:
            OSError: the old journal is still the active one, although it may have been renamed.
        """
        fd = self._create(NEW_JOURNAL)
        header = encode_file_header(salt, generation)
        try:
            self.usage.reserve(NEW_JOURNAL, len(header))
            write_all(fd, header)
            if self.durable:
                sync_data(fd)
            if old_name:
                self._rename(JOURNAL, old_name)
            self._rename(NEW_JOURNAL, JOURNAL)
            if self.durable:
                sync_folder(self.folder)
        except OSError:
            close_descriptor(fd)
            raise
        self.journal.replace(fd, len(header))
        self.generation = generation

    # Writing

    def append(self, data: bytes) -> None:
        """Appends records to the journal, all or none.

        Raises:
            OSError: none of the records takes effect.
        """
        self.usage.reserve(JOURNAL, self.journal.size_bytes + len(data))
        try:
            self.journal.append(data)
        finally:
            self.usage.note(JOURNAL, self.journal.occupied_bytes)

    def recovery_bytes(self) -> int:
        """Returns the number of bytes that a start reads: the newest snapshot and all journals since."""
        return self.journal.size_bytes + sum(
            size for name, size in self._older_file_bytes().items() if generation_of(name) >= self.snapshot_generation
        )

    def begin_snapshot(self, last_records: bytes, salt: int, records: Iterator[StoredRecord]) -> None:
        """Closes the journal, and starts the journal and the snapshot of the next generation.

        Args:
            last_records: the final bytes of the journal that is closed.
            salt: the folder's salt.
            records: the records of the snapshot.

        Raises:
            OSError: the last records may be missing from the files.
        """
        self.append(last_records)
        if self.durable:
            self.journal.sync()
        self._begin_journal(self.generation + 1, salt, closed_journal_name(self.generation))
        self.snapshot_writer = self._create_snapshot(self.generation, salt, records)

    def _create_snapshot(self, generation: int, salt: int, records: Iterator[StoredRecord]) -> SnapshotWriter:
        reserve = partial(self.usage.reserve, NEW_SNAPSHOT)
        return SnapshotWriter(self._create(NEW_SNAPSHOT), generation, salt, records, reserve)

    def write_snapshot_step(self, step_bytes: int) -> bool:
        """Writes about `step_bytes` more of the snapshot.

        Once the snapshot is complete, all generations older than the previous one are removed.

        Returns:
            Whether the snapshot is complete.

        Raises:
            OSError: the snapshot cannot be written.
        """
        assert self.snapshot_writer is not None
        if not self.snapshot_writer.write_step(step_bytes, self.durable):
            return False
        self._publish(self.snapshot_writer)
        if self.durable:
            sync_folder(self.folder)
        self.remove_older_generations(keep=1)
        return True

    def _publish(self, snapshot: SnapshotWriter) -> None:
        """Gives a complete snapshot its final name, which makes it valid for recovery."""
        name = snapshot_name(snapshot.generation)
        self._rename(NEW_SNAPSHOT, name)
        self.snapshot_generation = snapshot.generation
        self.snapshot_writer = None
        close_descriptor(snapshot.fd)

    def replace_all(self, salt: int, records: Iterator[StoredRecord]) -> None:
        """Writes a complete snapshot and starts an empty journal, which replace all existing files.

        Args:
            salt: the folder's salt.
            records: the records of the snapshot.

        Raises:
            OSError: the existing files remain valid. If `snapshot_generation` has changed, however, the new snapshot is
                already valid and only its journal is missing.
        """
        self.abandon_snapshot()
        snapshot = self._create_snapshot(self.generation + 1, salt, records)
        self.snapshot_writer = snapshot
        while not snapshot.write_step(REPLACE_STEP_BYTES, self.durable):
            pass
        # This file shows a start that the journal was being replaced, and not restored from an older copy.
        close_descriptor(self._create(NEW_JOURNAL))
        self._publish(snapshot)
        self._begin_journal(snapshot.generation, salt)
        self.remove_older_generations()

    def abandon_snapshot(self) -> None:
        """Discards an incomplete snapshot; if its file cannot be removed, the next snapshot overwrites it."""
        if self.snapshot_writer is None:
            return
        close_descriptor(self.snapshot_writer.fd)
        self.snapshot_writer = None
        with suppress(OSError):
            self._unlink(NEW_SNAPSHOT)

    def remove_older_generations(self, keep: int = 0) -> None:
        """Removes files that are older than the newest snapshot.

        Args:
            keep: number of previous generations to keep.

        Raises:
            OSError: a file cannot be removed.
        """
        oldest_kept = self._oldest_kept_generation(keep)
        for name in self._older_file_bytes():
            if generation_of(name) < oldest_kept:
                self._unlink(name)

    def _oldest_kept_generation(self, keep: int) -> int:
        snapshots = sorted(generation_of(name) for name in self._older_file_bytes() if name.startswith(SNAPSHOT_PREFIX))
        if keep < len(snapshots):
            return snapshots[-1 - keep]
        return 0 if keep else self.snapshot_generation

    def close(self) -> None:
        """Closes the journal and discards an incomplete snapshot."""
        self.abandon_snapshot()
        self.journal.close()
