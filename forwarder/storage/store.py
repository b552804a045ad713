"""The durable store of messages and learned state: a write-ahead journal in the state folder.

The state is kept in memory. Each change is a record (see `schema`) that is buffered and then written by `flush`, before
any response, call or notice that depends on the record leaves. Plain writes are enough for the state to survive the end
of the process.

Retry-After times are not stored, so a restart ends them. Concurrency windows and call times are not stored either,
because they are soon learned again.
"""

from __future__ import annotations

import logging
import secrets
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path

from forwarder.decisions.settings import MessageClass
from forwarder.storage.capacity import fits, max_ended_id_bytes
from forwarder.storage.journal_files import JournalFiles
from forwarder.storage.journal_writer import JournalWriter
from forwarder.storage.messages import AcceptedMessage, Ejection, PendingNotice
from forwarder.storage.record_format import FORMAT_VERSION, encode_payload
from forwarder.storage.recovery import recover_journal
from forwarder.storage.replay import Replay
from forwarder.storage.schema import (
    NOT_SET_US,
    WITHDRAWN_ATTEMPT,
    AttemptEndedRecord,
    AttemptStartedRecord,
    EjectionRecord,
    EndedMessagesRecord,
    EndpointDisabledRecord,
    EndpointFields,
    EndpointListRecord,
    KeyBackoffRecord,
    KnownEndpointsRecord,
    LocalFailureRecord,
    MessageAcceptedRecord,
    MessageEndedRecord,
    NoticeAcknowledgedRecord,
    NoticePendingRecord,
    StoredRecord,
    encode_record,
)

log = logging.getLogger("forwarder.store")


class MessageStore:
    """The state in memory and its journal. Changes are buffered until `flush` writes them."""

    def __init__(
        self,
        folder: Path,
        max_bytes: int,
        classes: Mapping[str, MessageClass] | None = None,
        salt: int | None = None,
        acquire: Callable[[], None] = lambda: None,
    ) -> None:
        """Reads the journal without writing to the folder.

        Args:
            folder: the state folder.
            max_bytes: disk space that its files together may use.
            classes: message classes by name, for journals that store only the name of a class.
            salt: the folder's salt from its identity, if known.
            acquire: ensures that no other process writes to the folder; raises OSError if it cannot at the moment.

        Raises:
            OSError: the journal cannot be read.
            NewerFormatError: a file has a format version that this program does not support.
        """
        self.files = JournalFiles(folder, max_bytes)
        self.recovered = recover_journal(self.files.names(), self.files.read, salt)
        known_salt = salt if self.recovered.salt is None else self.recovered.salt
        self.salt: int = secrets.randbits(32) if known_salt is None else known_salt
        self.replay = Replay(self.recovered, classes or {}, max_ended_id_bytes(self.files.usage.limit_bytes))
        self.state = self.replay.state
        self.writer = JournalWriter(self.files, self.recovered, self.state, self.salt, acquire)

    def take_ownership(self) -> MessageStore:
        """Opens the journal for writing; from now on only this process may write it.

        If the folder cannot be written at the moment, new messages are rejected and the writes are retried later.

        Returns:
            The store itself.

        Raises:
            OSError: the folder has an older format version and cannot be rewritten.
        """
        try:
            self.writer.take_ownership()
        except OSError as error:
            self.writer.note_failure(error)
        if self.recovered.version < FORMAT_VERSION and self.write_failed:
            raise OSError(f"{self.files.folder} has an older format version and cannot be rewritten")
        return self

    # The state

    @property
    def messages(self) -> dict[str, AcceptedMessage]:
        """Accepted messages that have not ended, by id."""
        return self.state.messages

    @property
    def ended_ids(self) -> dict[str, None]:
        """Ids of messages that have ended, oldest first."""
        return self.state.ended_ids

    @property
    def pending_notices(self) -> dict[str, PendingNotice]:
        """Notices that the platform has not acknowledged, by message id."""
        return self.state.pending_notices

    @property
    def ejections(self) -> dict[str, Ejection]:
        """Ejections of endpoints, by endpoint name."""
        return self.state.ejections

    @property
    def endpoints(self) -> dict[str, EndpointFields]:
        """The endpoints of the newest endpoint list, by name."""
        return self.state.endpoints

    @property
    def endpoint_list_version(self) -> int:
        """The version of that list; -1 if there is none."""
        return self.state.endpoint_list_version

    @property
    def known_endpoints(self) -> dict[str, None]:
        """Names of endpoints that were ever listed."""
        return self.state.known_endpoints

    @property
    def disabled_endpoints(self) -> dict[str, int]:
        """The time in microseconds when operators disabled an endpoint, by name."""
        return self.state.disabled_endpoints

    @property
    def key_backoffs(self) -> dict[str, int]:
        """The time in microseconds until which the next message of a key waits, by key; may include expired ones."""
        return self.state.key_backoffs

    @property
    def orphaned_ids(self) -> set[str]:
        """Ids that occur in records although the message itself is lost."""
        return self.replay.orphaned_ids

    def knows(self, message_id: str) -> bool:
        """Returns whether a message with this id was accepted, including one that has ended."""
        return self.state.knows(message_id)

    def describe_damage(self) -> str:
        """Returns a description of the damage that was found in the journal; empty if there is none."""
        return self.replay.describe_damage()

    # Changes of the state

    def accept(self, message: AcceptedMessage) -> None:
        """Adds a message. Its client may be answered once `flush` has written the record."""
        self.writer.unrecorded.accepted_ids.add(message.id)
        self._change(MessageAcceptedRecord(message))

    def undo_accept(self, message_id: str) -> None:
        """Removes a message whose acceptance could not be written, so that its client can be told it was rejected."""
        self.writer.unrecorded.accepted_ids.discard(message_id)
        self.state.discard_message(message_id)

    def record_attempt(self, message: AcceptedMessage, number: int, started_us: int, endpoint: str) -> None:
        """Records an attempt that is about to send its first byte."""
        message.start_attempt(number, started_us, endpoint)
        self.writer.append(AttemptStartedRecord(message.id, number, started_us, endpoint))

    def record_outcome(self, message: AcceptedMessage, number: int, may_have_run: bool) -> None:
        """Records the outcome of an attempt that did not end its message."""
        message.end_attempt(number, may_have_run)
        self.writer.append(AttemptEndedRecord(message.id, number, may_have_run))

    def record_local_failure(self, message: AcceptedMessage, number: int) -> None:
        """Records that an attempt failed on this machine."""
        message.fail_attempt_locally(number)
        self.writer.append(LocalFailureRecord(message.id, number))

    def back_off_key(self, key: str, until_us: int, now_us: int) -> None:
        """Makes the next message of a key wait until this time, even after a restart."""
        self.state.drop_ended_backoffs(now_us)
        self._change(KeyBackoffRecord(key, until_us))

    def end_message(self, message_id: str) -> None:
        """Ends a message that needs no notice, since it was delivered."""
        if message_id in self.messages:
            self._change(MessageEndedRecord(message_id))

    def withdraw_message(self, message_id: str) -> None:
        """Forgets a message that has surely not run and whose client never heard that it was accepted.

        If its id comes again, it is a new message. Older versions read it as a message that ended.
        """
        if message_id in self.messages:
            self._change(AttemptEndedRecord(message_id, WITHDRAWN_ATTEMPT, False))
            self._change(MessageEndedRecord(message_id))

    def add_pending_notice(self, message_id: str, state: str, retry_after_ms: int) -> None:
        """Ends a message with a notice, which is pending until the platform acknowledges it.

        Args:
            message_id: a message that has not ended.
            state: the final state that the notice reports.
            retry_after_ms: delay after which the client may submit the message again; 0 for none.
        """
        message = self.messages[message_id]
        self.writer.unrecorded.ended_due_us[message_id] = message.due_us
        self._change(NoticePendingRecord(message_id, state, retry_after_ms, message.key))

    def add_orphan_notice(self, message_id: str, state: str) -> None:
        """Ends a message with a notice if its acceptance record was lost but later records mention it."""
        self._change(EndedMessagesRecord([message_id]))
        self._change(NoticePendingRecord(message_id, state, 0, None))

    def acknowledge_notice(self, message_id: str) -> None:
        """Removes a pending notice that the platform has acknowledged."""
        if message_id in self.pending_notices:
            self._change(NoticeAcknowledgedRecord(message_id))

    def record_endpoint_list(self, version: int, endpoints: Mapping[str, EndpointFields], now_us: int) -> None:
        """Replaces the endpoint list, and drops ejections that are too old to be kept.

        A list for which there is no room is not stored: after a restart the one before it counts, until discovery
        answers.

        Args:
            version: the list's version.
            endpoints: the listed endpoints by name.
            now_us: the current time.
        """
        self.state.drop_old_ejections(now_us)
        record = EndpointListRecord(version, [*endpoints.values()])
        payload = encode_payload(encode_record(record))
        if not self._has_room_for_list(len(payload)):
            log.warning("no room to store the endpoint list of version %d: %d bytes", version, len(payload))
            return
        self.state.apply(record)
        self.state.sizes.endpoint_list_bytes = self.writer.append_payload(payload)

    def _has_room_for_list(self, size_bytes: int) -> bool:
        added_bytes = max(0, size_bytes - self.state.sizes.endpoint_list_bytes)
        if self.write_failed:  # the list is part of the state that is written next
            return self._fits(added_bytes)
        return self.writer.reserve(size_bytes, added_bytes)

    def record_known_endpoints(self, names: Iterable[str]) -> None:
        """Adds the names of endpoints that were listed, but not in a recorded list."""
        new_names = [name for name in names if name not in self.known_endpoints]
        if new_names:
            self._change(KnownEndpointsRecord(new_names))

    def record_ejection(self, endpoint: str, ejected_at_us: int, recovering_since_us: int) -> None:
        """Records when an endpoint was ejected and began to recover; a negative first time removes the ejection."""
        self._change(EjectionRecord(endpoint, ejected_at_us, recovering_since_us))

    def disable_endpoint(self, endpoint: str, since_us: int) -> None:
        """Records that an operator disabled an endpoint."""
        self._change(EndpointDisabledRecord(endpoint, since_us))

    def enable_endpoint(self, endpoint: str) -> None:
        """Records that an operator enabled an endpoint again."""
        self._change(EndpointDisabledRecord(endpoint, NOT_SET_US))

    def _change(self, record: StoredRecord) -> int:
        """Applies a record to the state and buffers it; returns the size of the record in bytes."""
        self.state.apply(record)
        return self.writer.append(record)

    # Decisions that depend on the written records

    def has_capacity_for(self, message_bytes: int) -> bool:
        """Returns whether messages of this size on disk can be accepted while leaving enough space for a rewrite."""
        return not self.write_failed and self._fits(message_bytes)

    def _fits(self, added_bytes: int) -> bool:
        return fits(self.state.sizes.snapshot_bytes, added_bytes, self.files.usage.limit_bytes)

    def reserve(self, message_bytes: int) -> bool:
        """Makes room for messages of this size on disk, before they are accepted; returns whether there is room."""
        return self.writer.reserve(message_bytes, message_bytes)

    def may_notify(self, message_id: str, now_us: int) -> bool:
        """Returns whether the platform may be notified of the end of a message.

        It may be notified once the end is written or the message's deadline has passed: a restart that finds the
        message again could then only end it as well.
        """
        return not self.write_failed or self.writer.unrecorded.ended_due_us.get(message_id, now_us) <= now_us

    # The journal

    @property
    def fd(self) -> int:
        """The descriptor of the active journal."""
        return self.files.journal.fd

    @property
    def recovery_bytes(self) -> int:
        """The number of bytes that a start would read."""
        return self.files.recovery_bytes()

    @property
    def message_bytes(self) -> int:
        """The size of all messages in a snapshot."""
        return self.state.sizes.message_bytes

    @property
    def set_aside_bytes(self) -> int:
        """The disk space of the damaged files that are set aside for inspection."""
        return self.files.damaged.size_bytes

    @property
    def durable(self) -> bool:
        """Whether files are synced before they replace others, and the folder afterwards."""
        return self.files.durable

    @durable.setter
    def durable(self, durable: bool) -> None:
        """Sets whether files and the folder are synced."""
        self.files.durable = durable

    @property
    def has_unwritten_records(self) -> bool:
        """Whether buffered records wait for the next flush."""
        return bool(self.writer.unwritten_records)

    @property
    def write_failed(self) -> bool:
        """Whether changes may be missing from the files; reset when the whole state is rewritten."""
        return self.writer.write_failed

    @property
    def write_failures(self) -> int:
        """The number of failed writes."""
        return self.writer.write_failures

    @property
    def compactions(self) -> int:
        """The number of completed snapshots and rewrites of the whole state."""
        return self.writer.compactions

    def flush(self) -> bool:
        """Writes the buffered records, and one step of the current snapshot.

        Returns:
            Whether all records buffered so far are written. If not, nothing that depends on an unwritten record may
            leave.
        """
        return self.writer.flush()

    def retry(self) -> bool:
        """Rewrites the whole state after a failure, once the pause is over; returns whether the files are complete."""
        return self.writer.retry()

    def write_snapshot_step(self) -> None:
        """Writes one step of the current snapshot, or starts a snapshot if one is due."""
        self.writer.write_snapshot_step()

    def begin_snapshot(self) -> None:
        """Starts a snapshot, which is then written in steps."""
        self.writer.begin_snapshot()

    def compact(self) -> bool:
        """Rewrites the whole state to replace all files; returns whether all changes are now in the files."""
        return self.writer.compact()

    def close(self) -> None:
        """Writes the buffered records and closes the files."""
        self.writer.close()
