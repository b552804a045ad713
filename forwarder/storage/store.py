"""The durable store of messages and of what the forwarder has learned: a write-ahead journal in the state folder.

The state is kept in memory and changed here; each change is a record (see `schema`) that is gathered and written by
`flush`, before anything leaves that the record precedes. Plain writes are enough for the state to outlast the process.

Retry-After times are not stored: a restart ends them. Concurrency windows and call times are not either: they are soon
learned anew.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path

from forwarder.decisions.settings import MessageClass
from forwarder.storage.capacity import fits
from forwarder.storage.file_io import DISK_BLOCK_BYTES
from forwarder.storage.journal_files import JournalFiles
from forwarder.storage.journal_writer import JournalWriter
from forwarder.storage.messages import AcceptedMessage, Ejection, PendingNotice
from forwarder.storage.record_format import FORMAT_VERSION
from forwarder.storage.recovery import recover_journal
from forwarder.storage.replay import Replay
from forwarder.storage.schema import (
    NOT_SET_US,
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
)

MAX_FILES = 8
"""How many files there are at most, each of which may take a block more than its size."""


class MessageStore:
    """The state in memory, and its journal. Changes are gathered until `flush` writes them."""

    def __init__(
        self,
        folder: Path,
        max_bytes: int,
        classes: Mapping[str, MessageClass] | None = None,
        salt: int | None = None,
        acquire: Callable[[], None] = lambda: None,
    ) -> None:
        """Reads the journal, and writes nothing.

        Args:
            folder: the state folder.
            max_bytes: what its files together may take.
            classes: message classes by name, for journals that have only the name of one.
            salt: the folder's salt as its identity tells it.
            acquire: makes sure that no other process writes the folder; raises OSError where it cannot just now.

        Raises:
            OSError: the journal cannot be read.
            NewerFormatError: it is of a version that this program does not know.
        """
        self.files = JournalFiles(folder, max_bytes - MAX_FILES * DISK_BLOCK_BYTES)
        self.recovered = recover_journal(self.files.names(), self.files.read, salt)
        known_salt = salt if self.recovered.salt is None else self.recovered.salt
        self.salt: int = secrets.randbits(32) if known_salt is None else known_salt
        self.replay = Replay(self.recovered, classes or {})
        self.state = self.replay.state
        self.writer = JournalWriter(self.files, self.recovered, self.state, self.salt, acquire)

    def take_ownership(self) -> MessageStore:
        """Begins to write the journal, which this process alone does from here on.

        A folder that cannot be written just now costs new messages, and is tried again.

        Returns:
            The store itself.

        Raises:
            OSError: the folder is of an older version, and cannot be written anew.
        """
        try:
            self.writer.take_ownership()
        except OSError as error:
            self.writer.note_failure(error)
        if self.recovered.version < FORMAT_VERSION and self.write_failed:
            raise OSError(f"{self.files.folder} is of an older version, and cannot be written anew")
        return self

    # The state

    @property
    def messages(self) -> dict[str, AcceptedMessage]:
        """Messages that were accepted and have not ended, by id."""
        return self.state.messages

    @property
    def ended_ids(self) -> dict[str, None]:
        """Ids of messages that have ended, the oldest first."""
        return self.state.ended_ids

    @property
    def pending_notices(self) -> dict[str, PendingNotice]:
        """Ends that the platform has not acknowledged, by message id."""
        return self.state.pending_notices

    @property
    def ejections(self) -> dict[str, Ejection]:
        """Endpoints that were ejected, by name."""
        return self.state.ejections

    @property
    def endpoints(self) -> dict[str, EndpointFields]:
        """The newest endpoint list, by name."""
        return self.state.endpoints

    @property
    def endpoint_list_version(self) -> int:
        """The version of that list; -1 if there is none."""
        return self.state.endpoint_list_version

    @property
    def known_endpoints(self) -> dict[str, None]:
        """Names of all endpoints that were ever listed."""
        return self.state.known_endpoints

    @property
    def disabled_endpoints(self) -> dict[str, int]:
        """Since when operators have endpoints disabled, in microseconds, by name."""
        return self.state.disabled_endpoints

    @property
    def key_backoffs(self) -> dict[str, int]:
        """Until when the next message of a key waits, in microseconds, by key; some are over."""
        return self.state.key_backoffs

    @property
    def orphaned_ids(self) -> set[str]:
        """Ids that records tell of whose message itself is lost."""
        return self.replay.orphaned_ids

    def knows(self, message_id: str) -> bool:
        """Returns whether a message of that id was accepted, whether or not it has ended."""
        return self.state.knows(message_id)

    def describe_damage(self) -> str:
        """Returns what is wrong with the journal as it was found, in words; empty if nothing is."""
        return self.replay.describe_damage()

    # Changes of the state

    def accept(self, message: AcceptedMessage) -> None:
        """Adds a message. Its client may be answered once `flush` has written the record."""
        self.writer.unrecorded.accepted_ids.add(message.id)
        self._change(MessageAcceptedRecord(message))

    def undo_accept(self, message_id: str) -> None:
        """Removes a message whose acceptance could not be written: its client is answered that it is rejected."""
        self.writer.unrecorded.accepted_ids.discard(message_id)
        self.state.discard_message(message_id)

    def record_attempt(self, message: AcceptedMessage, number: int, started_us: int, endpoint: str) -> None:
        """Adds an attempt that is about to send its first byte."""
        message.start_attempt(number, started_us, endpoint)
        self.writer.append(AttemptStartedRecord(message.id, number, started_us, endpoint))

    def record_outcome(self, message: AcceptedMessage, number: int, may_have_run: bool) -> None:
        """Ends an attempt that did not end its message."""
        message.end_attempt(number, may_have_run)
        self.writer.append(AttemptEndedRecord(message.id, number, may_have_run))

    def record_local_failure(self, message: AcceptedMessage, number: int) -> None:
        """Ends an attempt that this machine could not make."""
        message.fail_attempt_locally(number)
        self.writer.append(LocalFailureRecord(message.id, number))

    def back_off_key(self, key: str, until_us: int, now_us: int) -> None:
        """Lets the next message of a key wait until then, also after a restart."""
        self.state.drop_ended_backoffs(now_us)
        self._change(KeyBackoffRecord(key, until_us))

    def end_message(self, message_id: str) -> None:
        """Ends a message that needs no notice, such as one that was delivered or withdrawn."""
        if message_id in self.messages:
            self._change(MessageEndedRecord(message_id))

    def add_pending_notice(self, message_id: str, state: str, retry_after_ms: int) -> None:
        """Ends a message by a notice, which is pending until the platform acknowledges it.

        Args:
            message_id: a message that has not ended.
            state: the end that the notice tells.
            retry_after_ms: after how long the client may submit it again; 0 for any time.
        """
        message = self.messages[message_id]
        self.writer.unrecorded.ended_due_us[message_id] = message.due_us
        self._change(NoticePendingRecord(message_id, state, retry_after_ms, message.key))

    def add_orphan_notice(self, message_id: str, state: str) -> None:
        """Ends a message whose acceptance was lost, and of which later records tell, by a notice."""
        self._change(EndedMessagesRecord([message_id]))
        self._change(NoticePendingRecord(message_id, state, 0, None))

    def acknowledge_notice(self, message_id: str) -> None:
        """Removes a pending notice that the platform has acknowledged."""
        if message_id in self.pending_notices:
            self._change(NoticeAcknowledgedRecord(message_id))

    def record_endpoint_list(self, version: int, endpoints: Mapping[str, EndpointFields], now_us: int) -> None:
        """Replaces the endpoint list, and forgets ejections that are over since long.

        Args:
            version: the list's version.
            endpoints: the listed endpoints by name.
            now_us: the time.
        """
        self.state.drop_old_ejections(now_us)
        self.state.sizes.endpoint_list_bytes = self._change(EndpointListRecord(version, [*endpoints.values()]))

    def record_known_endpoints(self, names: Iterable[str]) -> None:
        """Adds endpoints that were listed elsewhere than in a recorded list."""
        new_names = [name for name in names if name not in self.known_endpoints]
        if new_names:
            self._change(KnownEndpointsRecord(new_names))

    def record_ejection(self, endpoint: str, ejected_at_us: int, recovering_since_us: int) -> None:
        """Sets when an endpoint was ejected and since when it recovers; a negative first time removes the ejection."""
        self._change(EjectionRecord(endpoint, ejected_at_us, recovering_since_us))

    def disable_endpoint(self, endpoint: str, since_us: int) -> None:
        """Disables an endpoint for operators."""
        self._change(EndpointDisabledRecord(endpoint, since_us))

    def enable_endpoint(self, endpoint: str) -> None:
        """Ends `disable_endpoint`."""
        self._change(EndpointDisabledRecord(endpoint, NOT_SET_US))

    def _change(self, record: StoredRecord) -> int:
        """Changes the state by a record and gathers it; returns the size of the record in bytes."""
        self.state.apply(record)
        return self.writer.append(record)

    # What may be done by what is on record

    def has_capacity_for(self, message_bytes: int) -> bool:
        """Returns whether one more message of that size may be accepted: capacity remains for a compaction then."""
        available_bytes = self.files.max_bytes - self.set_aside_bytes
        return not self.write_failed and fits(self.state.max_snapshot_bytes(), message_bytes, available_bytes)

    def may_notify(self, message_id: str, now_us: int) -> bool:
        """Returns whether the platform may be notified of a message's end.

        It may once the end is on record, or the message's time is over: a restart that finds the message again can only
        end it too then.
        """
        return not self.write_failed or self.writer.unrecorded.ended_due_us.get(message_id, now_us) <= now_us

    # The journal

    @property
    def fd(self) -> int:
        """The descriptor of the journal that is written to."""
        return self.files.journal.fd

    @property
    def recovery_bytes(self) -> int:
        """How much a start would read."""
        return self.files.recovery_bytes()

    @property
    def message_bytes(self) -> int:
        """What the messages take in a snapshot."""
        return self.state.sizes.message_bytes

    @property
    def set_aside_bytes(self) -> int:
        """What damaged files take that are kept for people."""
        return self.files.damaged.size_bytes

    @property
    def durable(self) -> bool:
        """Whether what replaces other files is synced before, and the folder after."""
        return self.files.durable

    @durable.setter
    def durable(self, durable: bool) -> None:
        """Sets it."""
        self.files.durable = durable

    @property
    def has_unwritten_records(self) -> bool:
        """Whether records wait for the next flush."""
        return bool(self.writer.unwritten_records)

    @property
    def write_failed(self) -> bool:
        """Whether the files may lack what memory has, until all is written anew."""
        return self.writer.write_failed

    @property
    def write_failures(self) -> int:
        """How often a write has failed."""
        return self.writer.write_failures

    @property
    def compactions(self) -> int:
        """How often the state was written anew."""
        return self.writer.compactions

    def flush(self) -> bool:
        """Writes what was gathered, and a little more of a snapshot that is being written.

        Returns:
            Whether all that was ever gathered is written now: nothing may leave that an unwritten record precedes.
        """
        return self.writer.flush()

    def retry(self) -> bool:
        """Writes all anew after a failure, if it is time; returns whether the files have everything now."""
        return self.writer.retry()

    def write_snapshot_step(self) -> None:
        """Begins a snapshot where one is due, or writes a little more of the one that was begun."""
        self.writer.write_snapshot_step()

    def begin_snapshot(self) -> None:
        """Begins a snapshot, which is written in steps from here on."""
        self.writer.begin_snapshot()

    def compact(self) -> bool:
        """Writes the whole state anew, in place of all files; returns whether all is on record now."""
        return self.writer.compact()

    def close(self) -> None:
        """Writes what was gathered, and closes the files."""
        self.writer.close()
