"""Tells whether a folder has room to rewrite its whole state, now and after the next writes (rule of `capacity`)."""

from __future__ import annotations

from forwarder.storage.capacity import can_rewrite, margins
from forwarder.storage.disk_usage import DiskUsage
from forwarder.storage.file_io import block_bytes
from forwarder.storage.file_names import JOURNAL, NEW_SNAPSHOT
from forwarder.storage.state import StoredState


class RewriteRoom:
    """Compares the files of a folder with the bound on a snapshot of its state."""

    def __init__(self, usage: DiskUsage, state: StoredState) -> None:
        self.usage = usage
        self.state = state
        self.margins = margins(usage.limit_bytes)

    def is_short(self, record_bytes: int, added_bytes: int, margin_bytes: int) -> bool:
        """Returns whether too little space would be free for a rewrite after the next append.

        Args:
            record_bytes: the records that are appended.
            added_bytes: what the state grows by first.
            margin_bytes: disk space that has to stay free.
        """
        return not self._fits_beside_files(record_bytes, self._state_bytes() + added_bytes, margin_bytes)

    def can_rewrite_now(self) -> bool:
        """Returns whether the state can be rewritten beside the files. An incomplete snapshot must be removed first."""
        return can_rewrite(self.usage.used_bytes, self._state_bytes(), self.usage.limit_bytes)

    def can_rewrite_after_snapshot(self, journal_bytes: int) -> bool:
        """Returns whether the state can be rewritten beside a complete snapshot and the journal since its start."""
        snapshot_bytes = max(self._state_bytes(), self._incomplete_bytes())
        files_bytes = snapshot_bytes + journal_bytes
        return can_rewrite(files_bytes, snapshot_bytes, self.usage.limit_bytes, self.margins.append)

    def can_rewrite_without_messages(self, record_bytes: int) -> bool:
        """Returns whether the state can be rewritten after an append at least once its messages have ended.

        If it could not, the files would never become smaller again.
        """
        empty_bytes = self._state_bytes() - self.state.sizes.message_bytes
        return self._fits_beside_files(record_bytes, empty_bytes, self.margins.append)

    def rewrite_peak_bytes(self) -> int:
        """Returns the disk space of all files during a rewrite."""
        return self.usage.used_bytes + self._state_bytes()

    def _fits_beside_files(self, record_bytes: int, snapshot_bytes: int, margin_bytes: int) -> bool:
        """Returns whether a snapshot fits, or the incomplete one that it replaces, if that is larger."""
        incomplete_bytes = self._incomplete_bytes()
        journal_bytes = self.usage.sizes.get(JOURNAL, 0)
        grown_bytes = block_bytes(journal_bytes + record_bytes) - block_bytes(journal_bytes)
        files_bytes = self.usage.used_bytes - incomplete_bytes + grown_bytes
        largest_bytes = max(snapshot_bytes, incomplete_bytes)
        return can_rewrite(files_bytes, largest_bytes, self.usage.limit_bytes, margin_bytes)

    def _state_bytes(self) -> int:
        return self.state.sizes.snapshot_bytes

    def _incomplete_bytes(self) -> int:
        return block_bytes(self.usage.sizes.get(NEW_SNAPSHOT, 0))
