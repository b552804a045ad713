"""Decides whether the state folder has room: for a message, for an append, and for a rewrite of the whole state.

The rule behind all of it: whatever is in the files, the whole state can be written once more beside them. Where the
next change would break it, files are removed or the state is rewritten before the change is made; what does not fit
even then is rejected. The worst moment of each way of writing, with `used` for all files but an incomplete snapshot:

| way | disk space at its worst moment |
| --- | --- |
| append of a round | `used` + the round's records |
| rewrite of the whole state (no room, damage, failed write) | `used` + a snapshot |
| snapshot written in steps | `used` + the records appended meanwhile + a snapshot |
| the files once that snapshot is complete | the snapshot + the journal since, and a rewrite beside them |
| start, take-over by a new process | `used`, then as above |
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from forwarder.storage.messages import AcceptedMessage, PendingNotice, json_string_bytes

RESERVE_SHARE = 8
"""One part in so many of the disk space is reserved for the small records that follow an accepted message."""
MAX_RESERVE_BYTES = 128 * 1024
ENDED_IDS_SHARE = 6
"""One part in so many of the disk space is for the ids of ended messages."""
SNAPSHOT_FRAME_BYTES = 2048
"""Bound on the header, the seal and the frames of lists of names in a snapshot, and on a new journal."""
RECORD_FRAME_BYTES = 80
"""Bound on a small record's frame, kind, numbers and punctuation."""
SEPARATOR_BYTES = 1
"""Each name in a list is followed by a comma."""


class Margins(NamedTuple):
    """Free disk space in bytes beside a rewrite of the whole state, for the small changes between two checks."""

    admission: int
    """When a client's message is admitted."""
    round_start: int
    """Before a round adds the admitted messages to the state."""
    append: int
    """Before records are appended."""


def margins(limit_bytes: int) -> Margins:
    """Returns the margins for a folder that may use this much disk space."""
    reserve_bytes = min(MAX_RESERVE_BYTES, limit_bytes // RESERVE_SHARE)
    return Margins(reserve_bytes, reserve_bytes // 2, reserve_bytes // 8)


def max_ended_id_bytes(limit_bytes: int) -> int:
    """Returns the size in a snapshot up to which the ids of ended messages are kept."""
    return limit_bytes // ENDED_IDS_SHARE


class StateSizes:
    """Running totals of the bytes that the parts of the state take in a snapshot, as upper bounds."""

    def __init__(self) -> None:
        """Starts with an empty state."""
        self.message_bytes = 0
        self.ended_id_bytes = 0
        self.endpoint_list_bytes = 0
        self.notice_bytes = 0
        self.known_endpoint_bytes = 0
        self.disabled_endpoint_bytes = 0
        self.ejection_bytes = 0
        self.key_backoff_bytes = 0

    def add_message(self, message: AcceptedMessage) -> None:
        """Adds the size of a message."""
        self.message_bytes += message.stored_bytes

    def remove_message(self, message: AcceptedMessage) -> None:
        """Subtracts the size of a message."""
        self.message_bytes -= message.stored_bytes

    @property
    def snapshot_bytes(self) -> int:
        """The bound on the size of a snapshot."""
        return (
            SNAPSHOT_FRAME_BYTES
            + self.message_bytes
            + self.ended_id_bytes
            + self.endpoint_list_bytes
            + self.notice_bytes
            + self.known_endpoint_bytes
            + self.disabled_endpoint_bytes
            + self.ejection_bytes
            + self.key_backoff_bytes
        )


def listed_name_bytes(name: str) -> int:
    """Returns the size of a name or an id in a list of them."""
    return json_string_bytes(name) + SEPARATOR_BYTES


def named_record_bytes(name: str) -> int:
    """Returns a bound on the size of a small record about one key or endpoint."""
    return json_string_bytes(name) + RECORD_FRAME_BYTES


def named_records_bytes(names: Iterable[str]) -> int:
    """Returns a bound on the size of one small record for each name."""
    return sum(named_record_bytes(name) for name in names)


def notice_bytes(message_id: str, notice: PendingNotice) -> int:
    """Returns a bound on the size of a pending notice's record."""
    return json_string_bytes(message_id) + json_string_bytes(notice.key) + RECORD_FRAME_BYTES


def fits(snapshot_bytes: int, message_bytes: int, limit_bytes: int) -> bool:
    """Returns whether a message can be accepted: once it is, the state fits twice, written anew beside itself.

    Args:
        snapshot_bytes: bound on the size of a snapshot without the message.
        message_bytes: size of the message's record.
        limit_bytes: disk space that all files together may use.
    """
    return 2 * (snapshot_bytes + message_bytes) + margins(limit_bytes).admission <= limit_bytes


def can_rewrite(used_bytes: int, snapshot_bytes: int, limit_bytes: int, margin_bytes: int = 0) -> bool:
    """Returns whether the whole state can be written beside the files.

    Args:
        used_bytes: disk space of the files, without an incomplete snapshot.
        snapshot_bytes: bound on the size of a snapshot, or the size of a larger incomplete one.
        limit_bytes: disk space that all files together may use.
        margin_bytes: disk space that stays free.
    """
    return used_bytes + snapshot_bytes + margin_bytes <= limit_bytes
