"""Builds the state from the records of a recovered journal."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from forwarder.decisions.settings import MessageClass
from forwarder.storage.recovery import RecoveredJournal
from forwarder.storage.schema import (
    WITHDRAWN_ATTEMPT,
    AttemptEndedRecord,
    AttemptStartedRecord,
    StoredRecord,
    decode_record,
)
from forwarder.storage.state import StoredState

log = logging.getLogger("forwarder.store")


class Replay:
    """Replays the recovered records when the forwarder starts."""

    def __init__(
        self, recovered: RecoveredJournal, known_classes: Mapping[str, MessageClass], max_ended_id_bytes: int
    ) -> None:
        """Reads all records; records of an unknown form are skipped.

        Args:
            recovered: the recovered files of the folder.
            known_classes: message classes by name, for journals that store only the name of a class.
            max_ended_id_bytes: size of the ids of ended messages from which on the oldest are dropped.
        """
        self.recovered = recovered
        self.known_classes = known_classes
        self.state = StoredState(max_ended_id_bytes)
        self.records_read = 0
        self.orphaned_ids: set[str] = set()
        """Ids that occur in records although the message itself is lost."""
        self._read_records()
        self.state.measure_endpoint_list()
        self._log_damage()

    def describe_damage(self) -> str:
        """Returns a description of the damage that was found in the journal; empty if there is none."""
        doubtful = sum(message.is_doubtful for message in self.state.messages.values())
        return self.recovered.describe_damage(doubtful, len(self.orphaned_ids))

    def _read_records(self) -> None:
        for scanned in self.recovered.records():
            self.records_read += 1
            if scanned.is_after_loss:
                self.state.mark_all_doubtful()
            try:
                record = decode_record(scanned.line, scanned.body, self.known_classes)
                self._note_orphan(record)
                self.state.apply(record)
            except (ValueError, KeyError, TypeError) as error:
                log.error("journal: skipped a record of unknown form: %r", error)
        if self.recovered.is_tail_lost:
            self.state.mark_all_doubtful()
        # Later records may contain the message or its end.
        self.orphaned_ids -= self.state.ended_ids.keys()
        self.orphaned_ids -= self.state.messages.keys()
        self.orphaned_ids -= self.state.pending_notices.keys()

    def _note_orphan(self, record: StoredRecord) -> None:
        if not self.recovered.is_damaged or not isinstance(record, AttemptStartedRecord | AttemptEndedRecord):
            return
        if record.attempt != WITHDRAWN_ATTEMPT and not self.state.knows(record.message_id):
            self.orphaned_ids.add(record.message_id)

    def _log_damage(self) -> None:
        if self.recovered.is_damaged:
            log.error("journal: %s", self.describe_damage())
        elif self.recovered.torn_bytes:
            log.warning("journal: truncated %d bytes of a torn tail", self.recovered.torn_bytes)
