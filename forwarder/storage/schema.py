"""The stored records: their fields in the code's names, and how each is written and read.

This module alone knows the stored words. They are those of the first release and stay as they are, so that state of
older releases is read and older releases read what this one writes.

A journal record is a line, a JSON array whose first item is the record's kind, and for an accepted message its body.
The other items are the record's fields in the order in which its class declares them; only an accepted message has a
form of its own. A record states what holds from then on, so reading it twice changes nothing. Times are microseconds
of the state folder's clock unless a name says otherwise.
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
"""A line as JSON gives it back."""
EndpointFields: TypeAlias = dict[str, object]
"""One endpoint of the list as discovery described it: a JSON object whose form is discovery's."""

NOT_SET_US = -1
"""Stands for a time that there is none of."""


class MessageAcceptedRecord(NamedTuple):
    """A message was accepted, or how it stands when a snapshot is written."""

    message: AcceptedMessage


class AttemptStartedRecord(NamedTuple):
    """An attempt is about to send its first byte."""

    message_id: str
    attempt: int
    started_us: int
    endpoint: str


class AttemptEndedRecord(NamedTuple):
    """An attempt has an outcome."""

    message_id: str
    attempt: int
    may_have_run: bool


class LocalFailureRecord(NamedTuple):
    """This machine could not make an attempt that it had started."""

    message_id: str
    attempt: int


class KeyBackoffRecord(NamedTuple):
    """The next message of a key waits, since a call may still run."""

    key: str
    until_us: int


class MessageEndedRecord(NamedTuple):
    """A message has ended and needs no notice."""

    message_id: str


class EndedMessagesRecord(NamedTuple):
    """Messages that had ended when a snapshot was written, or whose acceptance is lost."""

    message_ids: list[str]


class NoticePendingRecord(NamedTuple):
    """A message has ended, and the platform has not acknowledged the notice of it."""

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
    """Names of endpoints that were listed at some time."""

    endpoints: list[str]


class EndpointDisabledRecord(NamedTuple):
    """Operators disabled an endpoint, or enabled it again (`NOT_SET_US`)."""

    endpoint: str
    since_us: int


class EjectionRecord(NamedTuple):
    """An endpoint was ejected, recovers, or has recovered (`NOT_SET_US` as both times)."""

    endpoint: str
    ejected_at_us: int
    recovering_since_us: int


class JournalClosedRecord(NamedTuple):
    """The last record of a journal that was replaced by the next generation's."""


class SnapshotSealedRecord(NamedTuple):
    """The last record of a complete snapshot."""

    record_number: int
    checksum: int
    """Of all bytes before this record."""


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
"""What a journal or a snapshot says of the state."""
ClosingRecord: TypeAlias = JournalClosedRecord | SnapshotSealedRecord
"""What ends a file."""

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
"""The stored word of each kind of record."""


def encode_record(record: StoredRecord | ClosingRecord) -> StoredLine:
    """Returns the record's line; the body of an accepted message is stored beside it."""
    kind = KINDS[type(record)]
    if isinstance(record, MessageAcceptedRecord):
        return (kind, *_encode_message(record.message))
    return (kind, *record)


def body_of(record: StoredRecord | ClosingRecord) -> bytes:
    """Returns what is stored beside a record's line: the body of an accepted message."""
    return record.message.body if isinstance(record, MessageAcceptedRecord) else b""


def decode_record(line: JsonArray, body: bytes, known_classes: Mapping[str, MessageClass]) -> StoredRecord:
    """Returns the record of a line that is neither the end of a journal nor that of a snapshot.

    Args:
        line: the record's line.
        body: what follows the line.
        known_classes: message classes by name, for lines of format version 1 that have only the name of one.

    Raises:
        KeyError, ValueError, TypeError: the line has no form that this program knows.
    """
    kind, *fields = line
    return _DECODERS[kind](fields, body, known_classes)


def is_journal_closed(line: JsonArray) -> bool:
    """Returns whether the line is that of a `JournalClosedRecord`."""
    return line == [KINDS[JournalClosedRecord]]


def is_snapshot_seal(line: JsonArray, seal: SnapshotSealedRecord) -> bool:
    """Returns whether the line is exactly that of this seal."""
    return line == [*encode_record(seal)]


def endpoint_name(endpoint: EndpointFields) -> str:
    """Returns the name of a listed endpoint.

    Raises:
        KeyError, TypeError: it has none.
    """
    name = endpoint["host"]
    if not isinstance(name, str):
        raise TypeError(f"{name!r} is no endpoint's name")
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
        # Of a class that is not configured any more nothing is known, so its messages may not be repeated.
        return known_classes.get(stored) or MessageClass(stored, SECOND_US, SECOND_US, Effect.ONCE)
    name, latency_objective_us, deadline_us, effect, key_scope, *others = stored
    return MessageClass(name, latency_objective_us, deadline_us, Effect(effect), Scope(key_scope), *others)


def _encode_ranges(numbers: Iterable[int]) -> list[list[int]]:
    """Returns runs of consecutive numbers, each by its first and last."""
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
    """The owner of a state folder; the file `identity`."""

    forwarder_name: str
    folder_id: str
    """Drawn at the folder's first start."""
    start_count: int
    salt: int
    """What the journal's checksums begin from."""


@dataclass(frozen=True, slots=True)
class ClockAnchor:
    """What the clock said when a boot's monotonic clock said so, in nanoseconds; the file `clock`."""

    boot_id: str
    monotonic_ns: int
    clock_ns: int


def encode_identity(identity: Identity) -> dict[str, object]:
    """Returns what the file `identity` holds."""
    return {
        "name": identity.forwarder_name,
        "id": identity.folder_id,
        "starts": identity.start_count,
        "salt": identity.salt,
    }


def decode_identity(stored: object) -> Identity:
    """Reads what the file `identity` holds.

    Raises:
        CorruptFileError: it does not have the fields of an identity.
    """
    match stored:
        case {"name": str(name), "id": str(folder_id), "starts": int(starts), "salt": int(salt), **others} if (
            not others
        ):
            return Identity(name, folder_id, starts, salt)
    raise CorruptFileError("not the fields of an identity")


def encode_clock_anchor(anchor: ClockAnchor) -> dict[str, object]:
    """Returns what the file `clock` holds."""
    return {"boot": anchor.boot_id, "monotonic_ns": anchor.monotonic_ns, "clock_ns": anchor.clock_ns}


def decode_clock_anchor(stored: object) -> ClockAnchor:
    """Reads what the file `clock` holds.

    Raises:
        CorruptFileError: it does not have the fields of an anchor.
    """
    match stored:
        case {"boot": str(boot), "monotonic_ns": int(monotonic_ns), "clock_ns": int(clock_ns), **others} if not others:
            return ClockAnchor(boot, monotonic_ns, clock_ns)
    raise CorruptFileError("not the fields of a clock anchor")
