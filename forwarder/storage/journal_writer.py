"""Writes records to the journal, compacts the files as they grow, and recovers from failed writes.

The state in memory is ahead of the files: a record is buffered when the state changes and written by the next flush.
After a failed write records may be missing from the files, so nothing is appended until the whole state is rewritten.

There is always room for that rewrite (see `capacity`): before a change that would take it, `reserve` makes room while
the state does not have the change yet.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterator

from forwarder.storage.disk_usage import DiskFullError
from forwarder.storage.file_names import JOURNAL, NEW_SNAPSHOT
from forwarder.storage.journal_files import JournalFiles
from forwarder.storage.messages import AcceptedMessage
from forwarder.storage.record_format import FORMAT_VERSION, encode_payload, encode_payload_frame, encode_record_frame
from forwarder.storage.recovery import RecoveredJournal
from forwarder.storage.rewrite_room import RewriteRoom
from forwarder.storage.schema import ClosingRecord, JournalClosedRecord, StoredRecord, body_of, encode_record
from forwarder.storage.state import StoredState

FIRST_RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 0.5
MIN_COMPACTION_BYTES = 256 * 1024
"""Smaller files are not compacted."""
GROWTH_BEFORE_COMPACTION = 4
"""A snapshot is started once a start would read this many times the size of a snapshot."""
SNAPSHOT_STEP_BYTES = 64 * 1024
"""Size of one step, small enough not to block the event loop for long."""
log = logging.getLogger("forwarder.store")


class UnrecordedChanges:
    """Changes of the state since the last time that all records were written."""

    def __init__(self) -> None:
        """Starts without changes."""
        self.accepted_ids: set[str] = set()
        """Ids of accepted messages whose clients have no answer yet."""
        self.ended_due_us: dict[str, int] = {}
        """The deadlines of messages that ended with a pending notice, by message id."""

    def clear(self) -> None:
        """Forgets the changes, because all of them are written."""
        self.accepted_ids.clear()
        self.ended_due_us.clear()


class JournalWriter:
    """Writes the journal of one folder."""

    def __init__(
        self,
        files: JournalFiles,
        recovered: RecoveredJournal,
        state: StoredState,
        salt: int,
        acquire: Callable[[], None],
    ) -> None:
        """Prepares to write; `take_ownership` opens the journal.

        Args:
            files: the folder's files.
            recovered: the recovered content of the files.
            state: the state in memory, from which snapshots are written.
            salt: the initial value of the checksums.
            acquire: ensures that no other process writes to the folder; raises OSError if it cannot at the moment.
        """
        self.files = files
        self.acquire = acquire
        self.recovered = recovered
        self.state = state
        self.salt = salt
        self.record_number = recovered.last_scan.last_number
        """The number of the last buffered record."""
        self.unwritten_records: list[bytes] = []
        self.unwritten_bytes = 0
        self.room = RewriteRoom(files.usage, state)
        self.unrecorded = UnrecordedChanges()
        self.is_owned = False
        """Whether the files are open for writing."""
        self.write_failed = False
        """Whether changes in memory may be missing from the files."""
        self.write_failures = 0
        self.compactions = 0
        self.monotonic_s: Callable[[], float] = time.monotonic
        self.retry_at_s = 0.0
        self.retry_pause_s = FIRST_RETRY_PAUSE_S

    def take_ownership(self) -> None:
        """Opens the journal for writing, and rewrites it if it is damaged or has an older format version.

        Raises:
            OSError: the folder cannot be written at the moment.
        """
        self.acquire()
        self.files.take_ownership(self.recovered, self.salt)
        self.is_owned = True
        if self.recovered.is_damaged or self.recovered.version < FORMAT_VERSION:
            self.compact()

    def append(self, record: StoredRecord) -> int:
        """Buffers a record for the next flush and returns its size in bytes."""
        return self.append_payload(encode_payload(encode_record(record), body_of(record)))

    def append_payload(self, payload: bytes) -> int:
        """Buffers an encoded record for the next flush and returns its size in bytes."""
        self.record_number += 1
        data = encode_payload_frame(self.salt, self.record_number, payload)
        self.unwritten_records.append(data)
        self.unwritten_bytes += len(data)
        return len(data)

    def reserve(self, record_bytes: int, added_bytes: int) -> bool:
        """Makes room for records that are about to change the state, by removing or rewriting files if need be.

        It has to precede the change: what is written here does not contain the new records.

        Args:
            record_bytes: bound on the size of the records.
            added_bytes: what they add to a snapshot of the state.

        Returns:
            Whether they can be written, and the whole state with them beside all files.
        """
        margin_bytes = self.room.margins.round_start
        if not self.write_failed and self._is_near_limit(record_bytes, added_bytes, margin_bytes):
            self._free_capacity(record_bytes, added_bytes, margin_bytes)
        return not self.write_failed and not self._is_near_limit(record_bytes, added_bytes, margin_bytes)

    def flush(self) -> bool:
        """Writes the buffered records, and one step of the current snapshot.

        Returns:
            Whether all records buffered so far are written. This remains true if the snapshot step fails afterwards.
        """
        is_written = self._write() if self.unwritten_records or self.write_failed else True
        if is_written:
            self.unrecorded.clear()
        if not self.write_failed:
            self.write_snapshot_step()
        return is_written

    def retry(self) -> bool:
        """Rewrites the whole state after a failure, once the pause before the next attempt is over.

        Returns:
            Whether all changes are now in the files.
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
            log.warning("journal: can be written again; the whole state was rewritten")
            self.retry_pause_s = FIRST_RETRY_PAUSE_S
        return is_written

    def write_snapshot_step(self) -> None:
        """Writes one step of the current snapshot, or starts a snapshot if one is due."""
        if self.write_failed:
            return
        if self.files.snapshot_writer is not None:
            self._continue_snapshot()
        elif self.files.recovery_bytes() > self._compaction_due_bytes() and self.room.can_rewrite_after_snapshot(0):
            self.begin_snapshot()

    def _continue_snapshot(self) -> None:
        """Writes one step, or abandons the snapshot if it would leave no room for a rewrite beside it."""
        if not self.room.can_rewrite_after_snapshot(self.files.journal.size_bytes):
            self.files.abandon_snapshot()
            return
        try:
            self.compactions += self.files.write_snapshot_step(SNAPSHOT_STEP_BYTES)
        except DiskFullError:  # all that was recorded is still in the files
            self.files.abandon_snapshot()
        except OSError as error:
            self.note_failure(error)

    def begin_snapshot(self) -> None:
        """Closes the journal and starts the next generation, whose snapshot is then written in steps."""
        last_records = b"".join([*self.unwritten_records, self._frame(JournalClosedRecord())])
        self._clear_buffer()
        try:
            self.files.begin_snapshot(last_records, self.salt, self.state.snapshot_records(self._recorded_messages()))
            self.record_number = 0
        except OSError as error:
            self.note_failure(error)

    def compact(self) -> bool:
        """Rewrites the whole state, including the buffered records, to replace all files.

        Returns:
            Whether all changes are now in the files. They are as soon as the snapshot is valid, even if the new journal
            could not be started.
        """
        number_before = self.record_number
        self.record_number = 0
        snapshot_before = self.files.snapshot_generation
        try:
            if not self._make_room_for_rewrite():
                raise DiskFullError(NEW_SNAPSHOT, self.room.rewrite_peak_bytes(), self.files.usage.limit_bytes)
            self.files.replace_all(self.salt, self.state.snapshot_records(self.state.messages.values()))
        except OSError as error:
            self.note_failure(error)
            self.record_number = number_before
            if self.files.snapshot_generation == snapshot_before:
                return False
        else:
            self.write_failed = False
            self.compactions += 1
            self.files.usage.was_lowered &= self._is_near_limit(0, 0, self.room.margins.append)
        self._clear_buffer()
        self.unrecorded.clear()
        return True

    def note_failure(self, error: OSError) -> None:
        """Stops appending until the whole state is rewritten: changes may be missing from the files."""
        self.write_failures += 1
        if not self.write_failed:
            log.error("journal: write failed: %s; new messages are rejected until the whole state is rewritten", error)
        self.write_failed = True
        self.files.abandon_snapshot()

    def close(self) -> None:
        """Writes the buffered records and closes the files."""
        self.flush()
        self.files.close()

    def _clear_buffer(self) -> None:
        self.unwritten_records = []
        self.unwritten_bytes = 0

    def _frame(self, record: StoredRecord | ClosingRecord) -> bytes:
        self.record_number += 1
        return encode_record_frame(self.salt, self.record_number, encode_record(record), body_of(record))

    def _write(self) -> bool:
        """Writes the buffered records and returns whether they are in the files."""
        if not self.write_failed and self._is_near_limit(0, 0, self.room.margins.append):
            is_compacted = self._free_capacity(0, 0, self.room.margins.append)
            if is_compacted or self.write_failed:
                self._clear_buffer()
                return is_compacted
        data = b"".join(self.unwritten_records)
        self._clear_buffer()
        if self.write_failed:
            return self.retry()
        try:
            if not (self.room.can_rewrite_without_messages(len(data)) or self.files.usage.was_lowered):
                raise DiskFullError(JOURNAL, self.files.usage.used_bytes + len(data), self.files.usage.limit_bytes)
            self.files.append(data)
        except OSError as error:
            # A full disk must not end the process: accepted messages are delivered, new ones are rejected.
            self.note_failure(error)
            return self.retry()  # the failure may have been transient
        return True

    def _free_capacity(self, record_bytes: int, added_bytes: int, margin_bytes: int) -> bool:
        """Makes room with the least work that suffices: removes older files, or else rewrites the whole state.

        Returns:
            Whether the whole state was rewritten, which includes all buffered records.
        """
        is_compacted = False
        try:
            self.files.remove_older_generations()
            if self._is_near_limit(record_bytes, added_bytes, margin_bytes) and self._make_room_for_rewrite():
                is_compacted = self.compact()
            if not self.write_failed and self._is_near_limit(record_bytes, added_bytes, margin_bytes):
                self.files.damaged.remove_all()
        except OSError as error:
            self.note_failure(error)
        return is_compacted

    def _make_room_for_rewrite(self) -> bool:
        """Removes what the state does not need, if there is no room for a rewrite beside it.

        Returns:
            Whether there is room. A folder whose limit was lowered is rewritten anyway: only that makes it smaller.

        Raises:
            OSError: a file cannot be removed.
        """
        self.files.abandon_snapshot()
        for remove in (self.files.remove_older_generations, self.files.damaged.remove_all):
            if self.room.can_rewrite_now():
                return True
            remove()
        return self.room.can_rewrite_now() or self.files.usage.was_lowered

    def _is_near_limit(self, record_bytes: int, added_bytes: int, margin_bytes: int) -> bool:
        """Returns whether too little space for a rewrite is free once the buffered and these records are written."""
        return self.room.is_short(self.unwritten_bytes + record_bytes, added_bytes, margin_bytes)

    def _compaction_due_bytes(self) -> int:
        return max(MIN_COMPACTION_BYTES, GROWTH_BEFORE_COMPACTION * self.state.sizes.snapshot_bytes)

    def _recorded_messages(self) -> Iterator[AcceptedMessage]:
        """Yields the messages for a snapshot that is written in steps.

        A message that is not written yet may still be rejected, so it is left out; if it is accepted, the journal of
        the snapshot's generation contains it.
        """
        messages = [*self.state.messages.values()]
        return (message for message in messages if message.id not in self.unrecorded.accepted_ids)
