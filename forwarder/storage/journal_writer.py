"""Writes records to the journal, compacts the files as they grow, and goes on after failures.

Memory is ahead of the files: a record is gathered when the state has changed, and written by the next flush. After a
failed write the files may lack what memory has, so nothing more is appended until the whole state is written anew.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterator

from forwarder.storage.capacity import RESERVED_BYTES
from forwarder.storage.journal_files import JournalFiles
from forwarder.storage.messages import AcceptedMessage
from forwarder.storage.record_format import FORMAT_VERSION, encode_record_frame
from forwarder.storage.recovery import RecoveredJournal
from forwarder.storage.schema import ClosingRecord, JournalClosedRecord, StoredRecord, body_of, encode_record
from forwarder.storage.state import StoredState

FIRST_RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 0.5
MIN_COMPACTION_BYTES = 256 * 1024
"""Smaller files are left to grow."""
GROWTH_BEFORE_COMPACTION = 4
"""A snapshot is begun once a start would read this many times the size of one."""
SNAPSHOT_STEP_BYTES = 64 * 1024
"""Written at once, so that the event loop is not held up."""
MIN_FREE_BYTES = RESERVED_BYTES // 2
"""With less than that left, files are removed or compacted before more is appended."""
log = logging.getLogger("forwarder.store")


class UnrecordedChanges:
    """What is not on record since all was last written."""

    def __init__(self) -> None:
        """Begins with nothing."""
        self.accepted_ids: set[str] = set()
        """Messages whose clients have no answer yet."""
        self.ended_due_us: dict[str, int] = {}
        """Ends with a pending notice, each with the time at which its message would end in any case."""

    def clear(self) -> None:
        """All is on record."""
        self.accepted_ids.clear()
        self.ended_due_us.clear()


class JournalWriter:
    """The writing side of one folder's journal."""

    def __init__(
        self,
        files: JournalFiles,
        recovered: RecoveredJournal,
        state: StoredState,
        salt: int,
        acquire: Callable[[], None],
    ) -> None:
        """Writes nothing yet.

        Args:
            files: the folder's files.
            recovered: what they held.
            state: the state in memory, which a snapshot is made of.
            salt: what the checksums begin from.
            acquire: makes sure that no other process writes the folder; raises OSError where it cannot just now.
        """
        self.files = files
        self.acquire = acquire
        self.recovered = recovered
        self.state = state
        self.salt = salt
        self.record_number = recovered.last_scan.last_number
        """Of the last record that was gathered."""
        self.unwritten_records: list[bytes] = []
        self.unrecorded = UnrecordedChanges()
        self.is_owned = False
        """Whether the files could be opened for writing."""
        self.write_failed = False
        """Whether the files may lack what memory has."""
        self.write_failures = 0
        self.compactions = 0
        self.monotonic_s: Callable[[], float] = time.monotonic
        self.retry_at_s = 0.0
        self.retry_pause_s = FIRST_RETRY_PAUSE_S

    def take_ownership(self) -> None:
        """Opens the journal for writing, and writes it anew if it is damaged or of an older version.

        Raises:
            OSError: the folder cannot be written just now.
        """
        self.acquire()
        self.files.take_ownership(self.recovered, self.salt)
        self.is_owned = True
        if self.recovered.is_damaged or self.recovered.version < FORMAT_VERSION:
            self.compact()

    def append(self, record: StoredRecord) -> int:
        """Gathers a record for the next flush, and returns its size in bytes."""
        data = self._frame(record)
        self.unwritten_records.append(data)
        return len(data)

    def flush(self) -> bool:
        """Writes what was gathered, and a little more of a snapshot that is being written.

        Returns:
            Whether all that was ever gathered is written now. A snapshot that fails afterwards takes nothing of that
            back.
        """
        is_written = self._write() if self.unwritten_records or self.write_failed else True
        if is_written:
            self.unrecorded.clear()
        if not self.write_failed:
            self.write_snapshot_step()
        return is_written

    def retry(self) -> bool:
        """Writes all anew after a failure, if the pause before the next attempt is over.

        Returns:
            Whether the files have everything now.
        """
        if not self.write_failed:
            return True
        if self.monotonic_s() < self.retry_at_s:
            return False
        is_written = False
        try:
            if not self.is_owned:
                self.take_ownership()
            is_written = self.compact()
        except OSError as error:
            self.note_failure(error)
        if self.write_failed:
            self.retry_at_s = self.monotonic_s() + self.retry_pause_s
            self.retry_pause_s = min(2 * self.retry_pause_s, MAX_RETRY_PAUSE_S)
        else:
            log.warning("journal: can be written again; all is written anew")
            self.retry_pause_s = FIRST_RETRY_PAUSE_S
        return is_written

    def write_snapshot_step(self) -> None:
        """Begins a snapshot where one is due, or writes a little more of the one that was begun."""
        if self.write_failed:
            return
        if self.files.snapshot_writer is not None:
            try:
                self.compactions += self.files.write_snapshot_step(SNAPSHOT_STEP_BYTES)
            except OSError as error:
                self.note_failure(error)
        elif self.files.recovery_bytes() > self._compaction_due_bytes():
            self.begin_snapshot()

    def begin_snapshot(self) -> None:
        """Closes the journal and begins the next generation, whose snapshot is written in steps from here on."""
        last_records = b"".join([*self.unwritten_records, self._frame(JournalClosedRecord())])
        self.unwritten_records = []
        try:
            self.files.begin_snapshot(last_records, self.salt, self.state.snapshot_records(self._recorded_messages()))
            self.record_number = 0
        except OSError as error:
            self.note_failure(error)

    def compact(self) -> bool:
        """Writes the whole state anew, in place of all files; what was gathered is in it.

        Returns:
            Whether all is on record now, which is so too where the snapshot counts but the journal to go on with could
            not be begun.
        """
        number_before = self.record_number
        self.record_number = 0
        snapshot_before = self.files.snapshot_generation
        try:
            self.files.replace_all(self.salt, self.state.snapshot_records(self.state.messages.values()))
        except OSError as error:
            self.note_failure(error)
            self.record_number = number_before
            if self.files.snapshot_generation == snapshot_before:
                return False
        else:
            self.write_failed = False
            self.compactions += 1
        self.unwritten_records = []
        self.unrecorded.clear()
        return True

    def note_failure(self, error: OSError) -> None:
        """Stops appending until all is written anew: the files may lack what memory has."""
        self.write_failures += 1
        if not self.write_failed:
            log.error("journal: cannot write: %s; new work is refused until it can be written anew", error)
        self.write_failed = True
        self.files.abandon_snapshot()

    def close(self) -> None:
        """Writes what was gathered, and closes the files."""
        self.flush()
        self.files.close()

    def _frame(self, record: StoredRecord | ClosingRecord) -> bytes:
        self.record_number += 1
        return encode_record_frame(self.salt, self.record_number, encode_record(record), body_of(record))

    def _write(self) -> bool:
        """Writes what was gathered, and returns whether it is on record."""
        data = b"".join(self.unwritten_records)
        self.unwritten_records = []
        if self.write_failed:
            return self.retry()
        if self._is_crowded(len(data)):
            is_compacted = self._free_capacity(len(data))
            if is_compacted or self.write_failed:
                return is_compacted
        try:
            self.files.journal.append(data)
        except OSError as error:
            # A full disk must not end the process: what was accepted is delivered, new work is rejected.
            self.note_failure(error)
            return self.retry()  # it may have been a failure of that moment
        return True

    def _free_capacity(self, more_bytes: int) -> bool:
        """Makes capacity for so many bytes more, by as little as is needed.

        First what is older than the newest snapshot is removed, then the snapshot that is being written is completed,
        then the whole state is written anew.

        Returns:
            Whether the last was done: then what was to be written is on record too.
        """
        try:
            self.files.remove_older_generations()
            while self._is_crowded(more_bytes) and self.files.snapshot_writer is not None:
                self.compactions += self.files.write_snapshot_step(SNAPSHOT_STEP_BYTES)
                self.files.remove_older_generations()
        except OSError as error:
            self.note_failure(error)
        return (self.write_failed or self._is_crowded(more_bytes)) and self.compact()

    def _is_crowded(self, more_bytes: int) -> bool:
        """Returns whether so many bytes more, and a snapshot beside all files, would come near the limit."""
        snapshot = self.files.snapshot_writer
        written_bytes = snapshot.size_bytes if snapshot is not None else 0
        unwritten_bytes = max(0, self.state.sizes.snapshot_bytes - written_bytes)
        return self.files.used_bytes() + more_bytes + unwritten_bytes + MIN_FREE_BYTES > self.files.max_bytes

    def _compaction_due_bytes(self) -> int:
        return max(MIN_COMPACTION_BYTES, GROWTH_BEFORE_COMPACTION * self.state.sizes.snapshot_bytes)

    def _recorded_messages(self) -> Iterator[AcceptedMessage]:
        """Yields the messages of a snapshot in steps.

        One that is not on record yet may still be refused; if it is not, the journal beside the snapshot has it.
        """
        messages = [*self.state.messages.values()]
        return (message for message in messages if message.id not in self.unrecorded.accepted_ids)
