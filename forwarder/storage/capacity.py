"""Estimates of the state's size on disk, which limit the accepted messages and trigger compactions."""

from __future__ import annotations

from forwarder.storage.messages import RECORD_OVERHEAD_BYTES, AcceptedMessage

RESERVED_BYTES = 128 * 1024
"""Reserved for the small records that follow an accepted message."""
LISTED_ENDPOINT_BYTES = 200
PENDING_NOTICE_BYTES = 200
EJECTION_BYTES = 100
ENDPOINT_NAME_BYTES = 60
ENDED_ID_OVERHEAD_BYTES = 3
"""Each id is stored with two quotes and a comma."""


class StateSizes:
    """Running totals of the bytes that the larger parts of the state take in a snapshot."""

    def __init__(self) -> None:
        """Starts with an empty state."""
        self.message_bytes = 0
        self.ended_id_bytes = 0
        self.endpoint_list_bytes = 0

    def add_message(self, message: AcceptedMessage) -> None:
        """Adds the size of a message."""
        self.message_bytes += message.stored_bytes

    def remove_message(self, message: AcceptedMessage) -> None:
        """Subtracts the size of a message."""
        self.message_bytes -= message.stored_bytes

    def add_ended_id(self, message_id: str) -> None:
        """Adds the size of the id of an ended message."""
        self.ended_id_bytes += len(message_id) + ENDED_ID_OVERHEAD_BYTES

    def remove_ended_id(self, message_id: str) -> None:
        """Subtracts the size of the id of an ended message."""
        self.ended_id_bytes -= len(message_id) + ENDED_ID_OVERHEAD_BYTES

    @property
    def snapshot_bytes(self) -> int:
        """The approximate size of a snapshot, without the small records."""
        return self.message_bytes + self.ended_id_bytes + self.endpoint_list_bytes

    def max_snapshot_bytes(self, pending_notices: int, ejections: int, endpoint_names: int) -> int:
        """Returns an upper bound on the size of a snapshot, including the given numbers of small records."""
        return (
            self.snapshot_bytes
            + PENDING_NOTICE_BYTES * pending_notices
            + EJECTION_BYTES * ejections
            + ENDPOINT_NAME_BYTES * endpoint_names
        )


def fits(snapshot_bytes: int, message_bytes: int, available_bytes: int) -> bool:
    """Returns whether two snapshots still fit on disk after one more message is accepted.

    The previous snapshot stays on disk while the next one is written.

    Args:
        snapshot_bytes: upper bound on the size of a snapshot without the message.
        message_bytes: size of the message.
        available_bytes: disk space that all files together may use.
    """
    return 2 * (snapshot_bytes + message_bytes + RECORD_OVERHEAD_BYTES) + RESERVED_BYTES <= available_bytes
