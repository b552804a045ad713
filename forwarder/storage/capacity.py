"""Estimates of what the state takes on disk, by which new messages are accepted and the files are compacted."""

from __future__ import annotations

from forwarder.storage.messages import RECORD_OVERHEAD_BYTES, AcceptedMessage

RESERVED_BYTES = 128 * 1024
"""Kept free for the small records that follow an accepted message."""
LISTED_ENDPOINT_BYTES = 200
PENDING_NOTICE_BYTES = 200
EJECTION_BYTES = 100
ENDPOINT_NAME_BYTES = 60
ENDED_ID_OVERHEAD_BYTES = 3
"""Quotes and a comma."""


class StateSizes:
    """What the larger parts of the state take in a snapshot, kept as they change."""

    def __init__(self) -> None:
        """Begins with nothing."""
        self.message_bytes = 0
        self.ended_id_bytes = 0
        self.endpoint_list_bytes = 0

    def add_message(self, message: AcceptedMessage) -> None:
        """Counts a message."""
        self.message_bytes += message.stored_bytes

    def remove_message(self, message: AcceptedMessage) -> None:
        """Counts a message no more."""
        self.message_bytes -= message.stored_bytes

    def add_ended_id(self, message_id: str) -> None:
        """Counts the id of a message that has ended."""
        self.ended_id_bytes += len(message_id) + ENDED_ID_OVERHEAD_BYTES

    def remove_ended_id(self, message_id: str) -> None:
        """Counts the id of a message that had ended no more."""
        self.ended_id_bytes -= len(message_id) + ENDED_ID_OVERHEAD_BYTES

    @property
    def snapshot_bytes(self) -> int:
        """Nearly the size of a snapshot."""
        return self.message_bytes + self.ended_id_bytes + self.endpoint_list_bytes

    def max_snapshot_bytes(self, pending_notices: int, ejections: int, endpoint_names: int) -> int:
        """Returns an upper estimate of a snapshot's size, by how many there are of the small records too."""
        return (
            self.snapshot_bytes
            + PENDING_NOTICE_BYTES * pending_notices
            + EJECTION_BYTES * ejections
            + ENDPOINT_NAME_BYTES * endpoint_names
        )


def fits(snapshot_bytes: int, message_bytes: int, available_bytes: int) -> bool:
    """Returns whether one more message leaves capacity for a snapshot beside the one before it.

    Args:
        snapshot_bytes: an upper estimate of a snapshot without the message.
        message_bytes: the message's own size.
        available_bytes: what all files together may take.
    """
    return 2 * (snapshot_bytes + message_bytes + RECORD_OVERHEAD_BYTES) + RESERVED_BYTES <= available_bytes
