"""The files of a folder's state: their generations, the journal that is written to, and snapshots written in steps.

What the files mean is in journal.py, what they hold in store.py. With `durable` everything is synced before
it takes another's place, and the folder after; nothing older is removed before that.
"""

from __future__ import annotations

import errno
import os
import zlib
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

from forwarder.storage import journal

BLOCK = 512
MOST_ASIDE = 2  # damaged files kept of earlier starts, beside those of this one
NEW_JOURNAL, NEW_SNAPSHOT = "journal.new", "snapshot.new"
Line = tuple[Any, ...]


class Writing:
    """A snapshot that is being written. `contents` are its lines and bodies, asked for as they are written."""

    def __init__(self, fd: int, generation: int, salt: int, contents: Iterator[tuple[Line, bytes]]) -> None:
        self.fd, self.generation, self.salt, self.contents = fd, generation, salt, contents
        self.size, self.check, self.number = 0, 0, 0
        self.head = journal.header(salt, generation)

    def more(self, most: int, durable: bool) -> bool:
        """Write about so many bytes more. Whether it is whole now. Raises OSError."""
        parts, size, done = [self.head], 0, False
        self.head = b""
        while size < most and not done:
            got = next(self.contents, None)
            if got is None:
                done = True
                break
            parts.append(self._record(*got))
            size += len(parts[-1])
        data = b"".join(parts)
        self.check = zlib.crc32(data, self.check)
        if done:
            data += self._record((journal.SEALED, self.number + 1, self.check))
        write(self.fd, data)
        self.size += len(data)
        if durable:
            os.fdatasync(self.fd)
        return done

    def _record(self, line: Line, body: bytes = b"") -> bytes:
        self.number += 1
        return journal.record(self.salt, self.number, line, body)


class JournalFiles:
    """One folder. Until `own` it is only read."""

    def __init__(self, folder: Path, most: int) -> None:
        self.folder, self.most = folder, most
        self.durable = False
        self.fd, self.size, self.generation = -1, 0, 1
        self.snapshot = 0
        """The generation of the newest snapshot; 0 for none."""
        self.sizes: dict[str, int] = {}
        """Bytes of snapshots and closed journals, by name."""
        self.writing: Writing | None = None
        self.put_aside = False
        """Whether what was found damaged is set aside."""
        self.aside = sum(self._blocks(path) for path in self._set_aside())

    def names(self) -> list[str]:
        return [path.name for path in self.folder.iterdir()] if self.folder.is_dir() else []

    def read(self, name: str) -> bytes:
        """Raises OSError, also where the name is a link: what it leads to is not this folder's."""
        fd = os.open(self.folder / name, os.O_RDONLY | os.O_CLOEXEC | os.O_NOFOLLOW)
        with open(fd, "rb") as file:
            return file.read()

    # Owning

    def own(self, found: journal.RecoveredJournal, salt: int) -> None:
        """From here on this process alone writes here. What is damaged is set aside; the journal is opened where it
        ended, or begun. Raises OSError; it may be called again then, until it has succeeded.
        """
        self.generation, self.snapshot = found.generation, found.snapshot
        self.folder.mkdir(parents=True, exist_ok=True)
        self._unlink(NEW_SNAPSHOT)
        for name in self.names():
            if name.startswith((journal.SNAPSHOT, f"{journal.JOURNAL}-")) and ".bad-" not in name:
                self.sizes[name] = self._path(name).stat().st_size
        if not self.put_aside:
            self._put_aside(found.bad)
            self.put_aside = True
        self.drop_older(keep=1)
        if self.fd >= 0:  # of an attempt before
            close(self.fd)
            self.fd = -1
        if journal.JOURNAL in found.scans:
            self.fd = os.open(self._path(journal.JOURNAL), os.O_RDWR | os.O_CLOEXEC | os.O_NOFOLLOW)
            # Of a damaged one nothing is cut: should it not be possible to write it anew, no more is lost than is.
            self.size = os.fstat(self.fd).st_size if journal.JOURNAL in found.bad else found.last.size
            os.ftruncate(self.fd, self.size)
            os.lseek(self.fd, self.size, os.SEEK_SET)
        if not self.size:  # a new one that is there already says so until it is in its place
            self._begin_journal(self.generation, salt)
            return
        self._unlink(NEW_JOURNAL)
        if self.durable:
            sync_folder(self.folder)

    def _path(self, name: str) -> Path:
        return self.folder / name

    def _unlink(self, name: str) -> None:
        with suppress(FileNotFoundError):
            os.unlink(self._path(name))

    def _fresh(self, name: str) -> int:
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC | os.O_NOFOLLOW
        return os.open(self._path(name), flags, 0o600)

    def _begin_journal(self, generation: int, salt: int, close_as: str = "") -> None:
        """A new journal in the old one's place; the old one is kept under that name, if one is given."""
        fd, head = self._fresh(NEW_JOURNAL), journal.header(salt, generation)
        try:
            write(fd, head)
            if self.durable:
                os.fdatasync(fd)
            if close_as:
                os.replace(self._path(journal.JOURNAL), self._path(close_as))
                self.sizes[close_as] = self.size
            os.replace(self._path(NEW_JOURNAL), self._path(journal.JOURNAL))
            if self.durable:
                sync_folder(self.folder)
        except OSError:
            close(fd)
            raise
        old, self.fd, self.size, self.generation = self.fd, fd, len(head), generation
        if old >= 0:
            close(old)

    # Damaged files

    def _set_aside(self) -> list[Path]:
        """Damaged files of earlier starts, the oldest first."""
        return sorted(self.folder.glob("*.bad-*"), key=lambda path: path.stat().st_mtime_ns)

    def _put_aside(self, bad: list[str]) -> None:
        """Keep damaged files for people; of earlier ones so many that their number stays bounded. Raises OSError."""
        old = self._set_aside()
        for path in old[: max(0, len(old) - max(0, MOST_ASIDE - len(bad)))] if bad else []:
            os.unlink(path)
        taken = {path.name for path in old}
        for name in bad:
            to = next(f"{name}.bad-{n}" for n in range(1, len(taken) + 2) if f"{name}.bad-{n}" not in taken)
            try:  # it keeps its own name until all is written anew
                os.link(self._path(name), self._path(to), follow_symlinks=False)
            except OSError:  # a folder in its place, or no links here
                os.replace(self._path(name), self._path(to))
        self.aside = sum(self._blocks(path) for path in self._set_aside())

    @staticmethod
    def _blocks(path: Path) -> int:
        """What a file takes of the disk: every file counts in whole blocks."""
        return -(-path.stat().st_size // BLOCK) * BLOCK

    # Writing

    def append(self, data: bytes) -> None:
        """To the journal: as a whole, or not at all. Raises OSError, and then nothing of it counts, whether or not what
        was written can be cut off again.
        """
        if self.fd < 0:
            raise OSError(errno.EBADF, "no journal could be opened yet")
        try:
            write(self.fd, journal.NO_MARK + data[len(journal.MARK) :])
            if os.pwrite(self.fd, journal.MARK, self.size) < len(journal.MARK):
                raise OSError(errno.EIO, "half a marker was written")
        except OSError:
            with suppress(OSError):  # a folder that has become read-only: the tail is torn, and told by its check
                os.ftruncate(self.fd, self.size)
                os.lseek(self.fd, self.size, os.SEEK_SET)
            raise
        self.size += len(data)

    def used(self) -> int:
        """Bytes of all files, those that are set aside too."""
        return self.size + sum(self.sizes.values()) + self.aside + (self.writing.size if self.writing else 0)

    def since(self) -> int:
        """Bytes that a start reads: the newest snapshot and all journals since."""
        return self.size + sum(size for name, size in self.sizes.items() if _generation(name) >= self.snapshot)

    def begin(self, last: bytes, salt: int, contents: Iterator[tuple[Line, bytes]]) -> None:
        """Close the journal with its last record, go on in the next, and begin a snapshot. Raises OSError."""
        self.append(last)
        if self.durable:
            os.fdatasync(self.fd)
        self._begin_journal(self.generation + 1, salt, journal.closed_name(self.generation))
        self.writing = Writing(self._fresh(NEW_SNAPSHOT), self.generation, salt, contents)

    def step(self, most: int) -> bool:
        """Write so many bytes more of the snapshot; once it is whole it counts, and what came before the last one is
        removed. Whether it does. Raises OSError.
        """
        assert self.writing is not None
        if not self.writing.more(most, self.durable):
            return False
        self._publish(self.writing)
        if self.durable:
            sync_folder(self.folder)
        self.drop_older(keep=1)
        return True

    def _publish(self, done: Writing) -> None:
        name = journal.snapshot_name(done.generation)
        os.replace(self._path(NEW_SNAPSHOT), self._path(name))
        self.sizes[name], self.snapshot, self.writing = done.size, done.generation, None
        close(done.fd)

    def renew(self, salt: int, contents: Iterator[tuple[Line, bytes]]) -> None:
        """All in one go: a snapshot and a journal that hold nothing of the files before, which are removed. Raises
        OSError; then the files before count as they did, but where `snapshot` has changed: the new one counts already,
        and only the journal to go on with is missing.
        """
        self.abandon()
        whole = self.writing = Writing(self._fresh(NEW_SNAPSHOT), self.generation + 1, salt, contents)
        while not whole.more(1 << 20, self.durable):
            pass
        close(self._fresh(NEW_JOURNAL))  # it tells a journal that is being replaced from one that was set back
        self._publish(whole)
        self._begin_journal(whole.generation, salt)
        self.drop_older(keep=0)

    def abandon(self) -> None:
        """Give up a snapshot that is not whole. What cannot be removed is written over by the next one."""
        if self.writing is not None:
            close(self.writing.fd)
            self.writing = None
            with suppress(OSError):
                self._unlink(NEW_SNAPSHOT)

    def drop_older(self, keep: int = 0) -> None:
        """Remove what came before the newest snapshot; or before so many snapshots more."""
        snapshots = sorted(_generation(name) for name in self.sizes if name.startswith(journal.SNAPSHOT))
        least = snapshots[-1 - keep] if keep < len(snapshots) else 0 if keep else self.snapshot
        for name in [name for name in self.sizes if _generation(name) < least]:
            self._unlink(name)
            del self.sizes[name]

    def close(self) -> None:
        self.abandon()
        if self.fd >= 0:
            close(self.fd)
            self.fd = -1


def _generation(name: str) -> int:
    return int(name.rpartition("-")[2])


def write(fd: int, data: bytes) -> None:
    """All of it. Raises OSError."""
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]


def close(fd: int) -> None:
    """Linux frees a descriptor whatever close says; what it says of earlier writes is heard at the next sync."""
    with suppress(OSError):
        os.close(fd)


def sync_folder(path: Path) -> None:
    """A name that was given outlasts a power cut only once its folder is synced. Raises OSError."""
    folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
