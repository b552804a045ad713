"""The state in memory that results from the stored records."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from forwarder.storage.capacity import (
    StateSizes,
    listed_name_bytes,
    named_record_bytes,
    named_records_bytes,
    notice_bytes,
)
from forwarder.storage.messages import AcceptedMessage, Ejection, PendingNotice
from forwarder.storage.record_format import FRAME_HEAD, encode_payload
from forwarder.storage.schema import (
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
    endpoint_name,
)
from forwarder.units import SECOND_US

EJECTION_KEPT_US = 3600 * SECOND_US
"""How long an ejection is kept: an endpoint may leave the list while it is ejected and be listed again."""
MAX_KNOWN_ENDPOINTS = 2000
MAX_KEY_BACKOFFS = 256
"""From this number on, expired key backoffs are dropped."""
MAX_ENDED_IDS = 8192
"""Holds more than a minute of ids at full load; a message whose id is forgotten would be accepted again."""
NAMES_PER_RECORD = 1000
"""Maximum number of ids or endpoint names in one record of a snapshot."""


class StoredState:
    """The state that the journal preserves. Changed by records, and by the store before it writes the records."""

    def __init__(self, max_ended_id_bytes: int) -> None:
        """Starts with an empty state.

        Args:
            max_ended_id_bytes: size of the ids of ended messages from which on the oldest are dropped.
        """
        self.max_ended_id_bytes = max_ended_id_bytes
        self.messages: dict[str, AcceptedMessage] = {}
        self.ended_ids: dict[str, None] = {}
        """Ids of messages that have ended, oldest first."""
        self.pending_notices: dict[str, PendingNotice] = {}
        self.ejections: dict[str, Ejection] = {}
        self.endpoints: dict[str, EndpointFields] = {}
        """The newest endpoint list, by name."""
        self.endpoint_list_version = -1
        """The version of that list; -1 if there is none."""
        self.known_endpoints: dict[str, None] = {}
        """Names of endpoints that were ever listed, least recently listed first."""
        self.disabled_endpoints: dict[str, int] = {}
        """The time when operators disabled an endpoint, by name."""
        self.key_backoffs: dict[str, int] = {}
        """The time until which the next message of a key waits, by key; may include expired ones."""
        self.withdrawn_ids: set[str] = set()
        """Ids of messages of which the next record says that they are over, and that are then forgotten."""
        self.sizes = StateSizes()

    def apply(self, record: StoredRecord) -> None:
        """Applies one record; records about the progress of a message that is no longer present have no effect."""
        match record:
            case MessageAcceptedRecord():
                self._apply_message_accepted(record)
            case AttemptStartedRecord():
                self._apply_attempt_started(record)
            case AttemptEndedRecord():
                self._apply_attempt_ended(record)
            case MessageEndedRecord():
                self._apply_message_ended(record)
            case NoticePendingRecord():
                self._apply_notice_pending(record)
            case NoticeAcknowledgedRecord():
                self._apply_notice_acknowledged(record)
            case LocalFailureRecord():
                self._apply_local_failure(record)
            case KeyBackoffRecord():
                self._apply_key_backoff(record)
            case EndedMessagesRecord():
                self._apply_ended_messages(record)
            case EndpointListRecord():
                self._apply_endpoint_list(record)
            case KnownEndpointsRecord():
                self._apply_known_endpoints(record)
            case EndpointDisabledRecord():
                self._apply_endpoint_disabled(record)
            case EjectionRecord():
                self._apply_ejection(record)

    def knows(self, message_id: str) -> bool:
        """Returns whether a message with this id was accepted, including one that has ended."""
        return message_id in self.messages or message_id in self.ended_ids

    def mark_all_doubtful(self) -> None:
        """Marks all messages as doubtful, because records were lost after they were accepted."""
        for message in self.messages.values():
            message.is_doubtful = True

    def measure_endpoint_list(self) -> None:
        """Counts the endpoint list as it is, after lists were applied whose records were not measured."""
        record = EndpointListRecord(self.endpoint_list_version, [*self.endpoints.values()])
        self.sizes.endpoint_list_bytes = FRAME_HEAD.size + len(encode_payload(encode_record(record)))

    def discard_message(self, message_id: str) -> None:
        """Removes a message as if it had never been accepted."""
        message = self.messages.pop(message_id, None)
        if message is not None:
            self.sizes.remove_message(message)

    def drop_old_ejections(self, now_us: int) -> None:
        """Drops the ejections that are too old to be kept."""
        oldest_us = now_us - EJECTION_KEPT_US
        self.ejections = {name: ejection for name, ejection in self.ejections.items() if max(ejection) > oldest_us}
        self.sizes.ejection_bytes = named_records_bytes(self.ejections)

    def drop_ended_backoffs(self, now_us: int) -> None:
        """Drops the expired key backoffs if there are many key backoffs."""
        if len(self.key_backoffs) >= MAX_KEY_BACKOFFS:
            self.key_backoffs = {key: until_us for key, until_us in self.key_backoffs.items() if until_us > now_us}
            self.sizes.key_backoff_bytes = named_records_bytes(self.key_backoffs)

    def snapshot_records(self, messages: Iterable[AcceptedMessage]) -> Iterator[StoredRecord]:
        """Yields the records of a snapshot.

        The state may change while the records are generated. Messages and notices that end in the meantime are left
        out; all other changes are in the journal of the snapshot's generation.

        Args:
            messages: the messages to include in the snapshot.
        """
        yield EndpointListRecord(self.endpoint_list_version, [*self.endpoints.values()])
        yield from (KnownEndpointsRecord(names) for names in _split(self.known_endpoints))
        yield from (EndpointDisabledRecord(*disabled) for disabled in [*self.disabled_endpoints.items()])
        yield from (EjectionRecord(name, *ejection) for name, ejection in [*self.ejections.items()])
        yield from (KeyBackoffRecord(*backoff) for backoff in [*self.key_backoffs.items()])
        yield from (EndedMessagesRecord(message_ids) for message_ids in _split(self.ended_ids))
        yield from (MessageAcceptedRecord(message) for message in messages if message.id in self.messages)
        for message_id, notice in [*self.pending_notices.items()]:
            if message_id in self.pending_notices:
                yield NoticePendingRecord(message_id, *notice)

    def _apply_message_accepted(self, record: MessageAcceptedRecord) -> None:
        message = record.message
        self.withdrawn_ids.discard(message.id)
        earlier = self.messages.get(message.id)  # a snapshot may contain it too
        if earlier is not None:
            self.sizes.remove_message(earlier)
        self.messages[message.id] = message
        self.sizes.add_message(message)

    def _apply_attempt_started(self, record: AttemptStartedRecord) -> None:
        self.withdrawn_ids.discard(record.message_id)
        message = self.messages.get(record.message_id)
        if message is not None:
            message.start_attempt(record.attempt, record.started_us, record.endpoint)

    def _apply_attempt_ended(self, record: AttemptEndedRecord) -> None:
        if record.attempt == WITHDRAWN_ATTEMPT:
            self.withdrawn_ids.add(record.message_id)
            return
        message = self.messages.get(record.message_id)
        if message is not None:
            message.end_attempt(record.attempt, record.may_have_run)

    def _apply_local_failure(self, record: LocalFailureRecord) -> None:
        message = self.messages.get(record.message_id)
        if message is not None:
            message.fail_attempt_locally(record.attempt)

    def _apply_key_backoff(self, record: KeyBackoffRecord) -> None:
        if record.key not in self.key_backoffs:
            self.sizes.key_backoff_bytes += named_record_bytes(record.key)
        self.key_backoffs[record.key] = max(record.until_us, self.key_backoffs.get(record.key, 0))

    def _apply_message_ended(self, record: MessageEndedRecord) -> None:
        if record.message_id in self.withdrawn_ids:
            self.withdrawn_ids.discard(record.message_id)
            self.discard_message(record.message_id)
        else:
            self._end_message(record.message_id)

    def _apply_ended_messages(self, record: EndedMessagesRecord) -> None:
        self._add_ended_ids(record.message_ids)

    def _apply_notice_pending(self, record: NoticePendingRecord) -> None:
        self._end_message(record.message_id)
        self._remove_notice(record.message_id)
        notice = PendingNotice(record.state, record.retry_after_ms, record.key)
        self.pending_notices[record.message_id] = notice
        self.sizes.notice_bytes += notice_bytes(record.message_id, notice)

    def _apply_notice_acknowledged(self, record: NoticeAcknowledgedRecord) -> None:
        self._remove_notice(record.message_id)

    def _remove_notice(self, message_id: str) -> None:
        notice = self.pending_notices.pop(message_id, None)
        if notice is not None:
            self.sizes.notice_bytes -= notice_bytes(message_id, notice)

    def _apply_endpoint_list(self, record: EndpointListRecord) -> None:
        self.endpoint_list_version = record.version
        self.endpoints = {endpoint_name(endpoint): endpoint for endpoint in record.endpoints}
        self._add_known_endpoints(self.endpoints)

    def _apply_known_endpoints(self, record: KnownEndpointsRecord) -> None:
        self._add_known_endpoints(record.endpoints)

    def _apply_endpoint_disabled(self, record: EndpointDisabledRecord) -> None:
        if record.since_us < 0:
            self.disabled_endpoints.pop(record.endpoint, None)
        else:
            self.disabled_endpoints[record.endpoint] = record.since_us
        self.sizes.disabled_endpoint_bytes = named_records_bytes(self.disabled_endpoints)

    def _apply_ejection(self, record: EjectionRecord) -> None:
        if record.ejected_at_us < 0:
            self.ejections.pop(record.endpoint, None)
        else:
            self.ejections[record.endpoint] = Ejection(record.ejected_at_us, record.recovering_since_us)
        self.sizes.ejection_bytes = named_records_bytes(self.ejections)

    def _end_message(self, message_id: str) -> None:
        self.discard_message(message_id)
        self._add_ended_ids([message_id])  # even without the message: a snapshot may have been written after its end

    def _add_ended_ids(self, message_ids: list[str]) -> None:
        """Adds ids of ended messages, so that the same messages are not accepted and sent again."""
        for message_id in message_ids:
            if message_id not in self.ended_ids:
                self.ended_ids[message_id] = None
                self.sizes.ended_id_bytes += listed_name_bytes(message_id)
        while len(self.ended_ids) > MAX_ENDED_IDS or self.sizes.ended_id_bytes > self.max_ended_id_bytes:
            oldest = next(iter(self.ended_ids))
            del self.ended_ids[oldest]
            self.sizes.ended_id_bytes -= listed_name_bytes(oldest)

    def _add_known_endpoints(self, names: Iterable[str]) -> None:
        for name in names:
            if name in self.known_endpoints:
                del self.known_endpoints[name]
            else:
                self.sizes.known_endpoint_bytes += listed_name_bytes(name)
            self.known_endpoints[name] = None
        while len(self.known_endpoints) > MAX_KNOWN_ENDPOINTS:
            oldest = next(iter(self.known_endpoints))
            del self.known_endpoints[oldest]
            self.sizes.known_endpoint_bytes -= listed_name_bytes(oldest)


def _split(names: Iterable[str]) -> list[list[str]]:
    """Splits the names into lists that are short enough for one record each."""
    all_names = [*names]
    return [all_names[first : first + NAMES_PER_RECORD] for first in range(0, len(all_names), NAMES_PER_RECORD)]
