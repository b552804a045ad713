"""The stored records: the classes that represent them in memory, and their encoding and decoding.

Only this module uses the stored names. They have not changed since the first release and must not change, so that this
release can read the state of older releases and older releases can read the state of this one.

A journal record is a line, which is a JSON array whose first item is the record's kind, and for an accepted message its
body. The other items are the record's fields in the order in which its class declares them; only an accepted message is
encoded differently. Records are idempotent: each states what is true from then on, so reading it twice changes nothing.
Times are microseconds of the state folder's clock unless a name says otherwise.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, TypeAlias

from forwarder.decisions.settings import Effect, MessageClass, Scope
from forwarder.storage.errors import CorruptFileError
from forwarder.storage.messages import AcceptedMessage, AttemptInFlight
from forwarder.units import SECOND_US

StoredLine: TypeAlias = tuple[object, ...]
"""A record's line, ready for JSON."""
JsonArray: TypeAlias = "list[Any]"
"""A line as decoded from JSON."""
EndpointFields: TypeAlias = dict[str, object]
"""One endpoint of the list, in the JSON object that discovery sent."""

NOT_SET_US = -1
"""The value of a time that is not set."""


class MessageAcceptedRecord(NamedTuple):
    """An accepted message, in its state at acceptance or at the time of a snapshot."""

    message: AcceptedMessage


class AttemptStartedRecord(NamedTuple):
    """An attempt is about to send its first byte."""

    message_id: str
    attempt: int
    started_us: int
    endpoint: str


WITHDRAWN_ATTEMPT = -1
"""The number in an `AttemptEndedRecord` that announces that the message is withdrawn; older versions ignore it."""


class AttemptEndedRecord(NamedTuple):
    """An attempt has an outcome."""

    message_id: str
    attempt: int
    may_have_run: bool


class LocalFailureRecord(NamedTuple):
    """An attempt that was started failed on this machine."""

    message_id: str
    attempt: int


class KeyBackoffRecord(NamedTuple):
    """The next message of a key has to wait, because a call may still be running."""

    key: str
    until_us: int


class MessageEndedRecord(NamedTuple):
    """A message has ended and needs no notice."""

    message_id: str


class EndedMessagesRecord(NamedTuple):
    """Messages that had ended when a snapshot was written, or whose acceptance record is lost."""

    message_ids: list[str]


class NoticePendingRecord(NamedTuple):
    """A message has ended, and the platform has not acknowledged the notice about it."""

    message_id: str
    state: str
    retry_after_ms: int
    key: str | None


class NoticeAcknowledgedRecord(NamedTuple):
    """The platform has acknowledged a notice."""

    message_id: str


class EndpointListRecord(NamedTuple):
    """The newest endpoint list."""

    version: int
    endpoints: list[EndpointFields]


class KnownEndpointsRecord(NamedTuple):
    """Names of endpoints that were listed at any time."""

    endpoints: list[str]


class EndpointDisabledRecord(NamedTuple):
    """An operator disabled an endpoint, or enabled it again (`NOT_SET_US`)."""

    endpoint: str
    since_us: int


class EjectionRecord(NamedTuple):
    """An endpoint was ejected, recovers, or has recovered (`NOT_SET_US` as both times)."""

    endpoint: str
    ejected_at_us: int
    recovering_since_us: int


class JournalClosedRecord(NamedTuple):
    """The last record of a journal that was followed by the journal of the next generation."""


class SnapshotSealedRecord(NamedTuple):
    """The last record of a complete snapshot."""

    record_number: int
    checksum: int
    """The checksum of all bytes before this record."""


StoredRecord: TypeAlias = (
    MessageAcceptedRecord
    | AttemptStartedRecord
    | AttemptEndedRecord
    | LocalFailureRecord
    | KeyBackoffRecord
    | MessageEndedRecord
    | EndedMessagesRecord
    | NoticePendingRecord
    | NoticeAcknowledgedRecord
    | EndpointListRecord
    | KnownEndpointsRecord
    | EndpointDisabledRecord
    | EjectionRecord
)
"""A record that changes the state, in a journal or a snapshot."""
ClosingRecord: TypeAlias = JournalClosedRecord | SnapshotSealedRecord
"""The last record of a file."""

KINDS: dict[type[StoredRecord | ClosingRecord], str] = {
    MessageAcceptedRecord: "taken",
    AttemptStartedRecord: "attempt",
    AttemptEndedRecord: "outcome",
    LocalFailureRecord: "held",
    KeyBackoffRecord: "rest",
    MessageEndedRecord: "over",
    EndedMessagesRecord: "ended",
    NoticePendingRecord: "owed",
    NoticeAcknowledgedRecord: "told",
    EndpointListRecord: "list",
    KnownEndpointsRecord: "names",
    EndpointDisabledRecord: "ban",
    EjectionRecord: "outage",
    JournalClosedRecord: "closed",
    SnapshotSealedRecord: "sealed",
}
"""The stored name of each kind of record."""


def encode_record(record: StoredRecord | ClosingRecord) -> StoredLine:
    """Returns the record's line; the body of an accepted message is stored after it."""
    kind = KINDS[type(record)]
    if isinstance(record, MessageAcceptedRecord):
        return (kind, *_encode_message(record.message))
    return (kind, *record)


def body_of(record: StoredRecord | ClosingRecord) -> bytes:
    """Returns the bytes stored after a record's line: the body of an accepted message, otherwise nothing."""
    return record.message.body if isinstance(record, MessageAcceptedRecord) else b""


def decode_record(line: JsonArray, body: bytes, known_classes: Mapping[str, MessageClass]) -> StoredRecord:
    """Decodes a record that is not the closing record of a journal or a snapshot.

    Args:
        line: the record's line.
        body: the bytes after the line.
        known_classes: message classes by name, for lines of format version 1, which store only the name of a class.

    Raises:
        KeyError, ValueError, TypeError: the line has an unknown form.
    """
    kind, *fields = line
    return _DECODERS[kind](fields, body, known_classes)


def is_journal_closed(line: JsonArray) -> bool:
    """Returns whether the line represents a `JournalClosedRecord`."""
    return line == [KINDS[JournalClosedRecord]]


def is_snapshot_seal(line: JsonArray, seal: SnapshotSealedRecord) -> bool:
    """Returns whether the line represents exactly this seal."""
    return line == [*encode_record(seal)]


def endpoint_name(endpoint: EndpointFields) -> str:
    """Returns the name of a listed endpoint.

    Raises:
        KeyError, TypeError: the endpoint has no valid name.
    """
    name = endpoint["host"]
    if not isinstance(name, str):
        raise TypeError(f"endpoint name is not a string: {name!r}")
    return name


def _encode_message(message: AcceptedMessage) -> StoredLine:
    in_flight = [[number, attempt.started_us, attempt.endpoint] for number, attempt in message.in_flight.items()]
    line: StoredLine = (
        message.id,
        _encode_message_class(message.message_class),
        message.destination,
        message.due_us,
        message.key,
        message.tenant,
        message.attempts,
        message.maybe_ran_at_us,
        message.maybe_ran_on,
        in_flight,
    )
    if message.local_failures:
        return (*line, message.idempotency_key, _encode_ranges(message.local_failures))
    if message.idempotency_key is not None:
        return (*line, message.idempotency_key)
    return line


def _decode_message(fields: JsonArray, body: bytes, known_classes: Mapping[str, MessageClass]) -> MessageAcceptedRecord:
    (
        message_id,
        message_class,
        destination,
        due_us,
        key,
        tenant,
        attempts,
        maybe_ran_at_us,
        maybe_ran_on,
        in_flight,
        *optional,
    ) = fields
    message = AcceptedMessage(
        message_id,
        _decode_message_class(message_class, known_classes),
        destination,
        due_us,
        key,
        tenant,
        body,
        max([attempts, *(number + 1 for number, _, _ in in_flight)]),
        local_failures=_decode_ranges(optional[1]) if len(optional) > 1 else set(),
        maybe_ran_at_us=maybe_ran_at_us,
        maybe_ran_on=maybe_ran_on,
        in_flight={number: AttemptInFlight(started_us, endpoint) for number, started_us, endpoint in in_flight},
        idempotency_key=optional[0] if optional else None,
    )
    return MessageAcceptedRecord(message)


def _encode_message_class(message_class: MessageClass) -> list[object]:
    return [
        message_class.name,
        message_class.latency_objective_us,
        message_class.deadline_us,
        message_class.effect.value,
        message_class.key_scope.value,
        message_class.retry_window_us,
        message_class.in_order,
        message_class.priority_weight,
        message_class.late_weight,
    ]


def _decode_message_class(stored: JsonArray | str, known_classes: Mapping[str, MessageClass]) -> MessageClass:
    if isinstance(stored, str):
        # Nothing is known about a class that is no longer configured, so its messages must not be repeated.
        return known_classes.get(stored) or MessageClass(stored, SECOND_US, SECOND_US, Effect.ONCE)
    name, latency_objective_us, deadline_us, effect, key_scope, *other_settings = stored
    return MessageClass(name, latency_objective_us, deadline_us, Effect(effect), Scope(key_scope), *other_settings)


def _encode_ranges(numbers: Iterable[int]) -> list[list[int]]:
    """Returns the runs of consecutive numbers, each as its first and last number."""
    runs: list[list[int]] = []
    for number in sorted(numbers):
        if runs and number == runs[-1][1] + 1:
            runs[-1][1] = number
        else:
            runs.append([number, number])
    return runs


def _decode_ranges(runs: list[list[int]]) -> set[int]:
    return {number for first, last in runs for number in range(first, last + 1)}


Decoder: TypeAlias = Callable[[JsonArray, bytes, Mapping[str, MessageClass]], StoredRecord]

_DECODERS: dict[str, Decoder] = {
    KINDS[MessageAcceptedRecord]: _decode_message,
    KINDS[AttemptStartedRecord]: lambda fields, body, classes: AttemptStartedRecord(*fields),
    KINDS[AttemptEndedRecord]: lambda fields, body, classes: AttemptEndedRecord(*fields),
    KINDS[LocalFailureRecord]: lambda fields, body, classes: LocalFailureRecord(*fields),
    KINDS[KeyBackoffRecord]: lambda fields, body, classes: KeyBackoffRecord(*fields),
    KINDS[MessageEndedRecord]: lambda fields, body, classes: MessageEndedRecord(fields[0]),
    KINDS[EndedMessagesRecord]: lambda fields, body, classes: EndedMessagesRecord(fields[0]),
    KINDS[NoticePendingRecord]: lambda fields, body, classes: NoticePendingRecord(*fields),
    KINDS[NoticeAcknowledgedRecord]: lambda fields, body, classes: NoticeAcknowledgedRecord(fields[0]),
    KINDS[EndpointListRecord]: lambda fields, body, classes: EndpointListRecord(fields[0], fields[1]),
    KINDS[KnownEndpointsRecord]: lambda fields, body, classes: KnownEndpointsRecord(fields[0]),
    KINDS[EndpointDisabledRecord]: lambda fields, body, classes: EndpointDisabledRecord(*fields),
    KINDS[EjectionRecord]: lambda fields, body, classes: EjectionRecord(*fields),
}


@dataclass(frozen=True, slots=True)
class Identity:
    """The owner of a state folder, as stored in the file `identity`."""

    forwarder_name: str
    folder_id: str
    """A random id, generated at the first start with this folder."""
    start_count: int
    salt: int
    """The initial value of the journal checksums."""


@dataclass(frozen=True, slots=True)
class ClockAnchor:
    """A monotonic time of one boot and the matching time of the folder's clock, as stored in the file `clock`."""

    boot_id: str
    monotonic_ns: int
    clock_ns: int


def encode_identity(identity: Identity) -> dict[str, object]:
    """Returns the content of the file `identity`."""
    return {
        "name": identity.forwarder_name,
        "id": identity.folder_id,
        "starts": identity.start_count,
        "salt": identity.salt,
    }


def decode_identity(stored: object) -> Identity:
    """Decodes the content of the file `identity`.

    Raises:
        CorruptFileError: the content does not have the fields of an identity.
    """
    match stored:
        case {"name": str(name), "id": str(folder_id), "starts": int(starts), "salt": int(salt), **extra} if not extra:
            return Identity(name, folder_id, starts, salt)
    raise CorruptFileError("invalid fields of an identity")


def encode_clock_anchor(anchor: ClockAnchor) -> dict[str, object]:
    """Returns the content of the file `clock`."""
    return {"boot": anchor.boot_id, "monotonic_ns": anchor.monotonic_ns, "clock_ns": anchor.clock_ns}


def decode_clock_anchor(stored: object) -> ClockAnchor:
    """Decodes the content of the file `clock`.

    Raises:
        CorruptFileError: the content does not have the fields of an anchor.
    """
    match stored:
        case {"boot": str(boot), "monotonic_ns": int(monotonic_ns), "clock_ns": int(clock_ns), **extra} if not extra:
            return ClockAnchor(boot, monotonic_ns, clock_ns)
    raise CorruptFileError("invalid fields of a clock anchor")
