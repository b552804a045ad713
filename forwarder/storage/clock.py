"""The clock of the state folder: it advances steadily across restarts, even when the wall clock is changed.

Within a process it follows the monotonic clock, which cannot be set. After a restart it continues from the anchor, a
small file that stores a monotonic time, the matching time of this clock and the boot id of the machine. The offset
between the two clocks is constant during one boot, so the anchor is written once per boot.

The first anchor is taken from the wall clock. After a reboot only the wall clock shows how long the machine was down,
and it may have been stepped. This clock then follows the wall clock, but it advances by at least the uptime of the new
boot and never goes back: a message gets no more time than it had left, and no less than it has left by the wall clock.
"""

from __future__ import annotations

import logging
import time
from pathlib import Path

from forwarder.storage.errors import CorruptFileError
from forwarder.storage.lease import read_boot_id
from forwarder.storage.schema import ClockAnchor, decode_clock_anchor, encode_clock_anchor
from forwarder.storage.small_file import read_small_file, write_small_file

ANCHOR_FILE = "clock"
log = logging.getLogger("forwarder.clock")


def read_anchor(folder: Path) -> ClockAnchor | None:
    """Returns the folder's anchor; None if it is missing or corrupt.

    Raises:
        OSError: the anchor cannot be read at the moment. Falling back to the wall clock could expire all messages at
            once, or none.
    """
    try:
        stored = read_small_file(folder / ANCHOR_FILE)
        return None if stored is None else decode_clock_anchor(stored)
    except CorruptFileError as error:
        log.error("clock anchor is corrupt: %s", error)
        return None


def write_anchor(folder: Path, anchor: ClockAnchor) -> None:
    """Replaces the stored anchor.

    Raises:
        OSError: the write failed; the old anchor is still in place.
    """
    write_small_file(folder / ANCHOR_FILE, encode_clock_anchor(anchor))


def is_same_boot(anchor: ClockAnchor, boot_id: str, monotonic_ns: int) -> bool:
    """Returns whether the anchor was written during the current boot, so that its monotonic time still applies.

    If either boot id is unknown, the boot counts as the same one unless the monotonic clock has gone back.

    Args:
        anchor: the stored anchor.
        boot_id: id of the current boot; empty if unknown.
        monotonic_ns: current monotonic time.
    """
    may_be_same = anchor.boot_id == boot_id or not boot_id or not anchor.boot_id
    return may_be_same and anchor.monotonic_ns <= monotonic_ns


def clock_offset_ns(anchor: ClockAnchor | None, boot_id: str, monotonic_ns: int, wall_ns: int) -> int:
    """Returns the offset from the monotonic clock that makes this clock continue from the anchor.

    Args:
        anchor: the folder's anchor, if it has one.
        boot_id: id of the current boot; empty if unknown.
        monotonic_ns: current monotonic time.
        wall_ns: current wall clock time, as Unix time.
    """
    if anchor is None:
        return wall_ns - monotonic_ns
    if is_same_boot(anchor, boot_id, monotonic_ns):
        return anchor.clock_ns - anchor.monotonic_ns
    return max(wall_ns, anchor.clock_ns + monotonic_ns) - monotonic_ns


class Clock:
    """A clock in microseconds of Unix time that is set from the wall clock once and never goes back."""

    is_anchored = True
    """Whether a restart can continue this clock from a stored anchor."""

    def __init__(self, offset_ns: int | None = None) -> None:
        """Starts at the wall clock time, or continues the clock of another process from its offset."""
        self.offset_ns = time.time_ns() - time.monotonic_ns() if offset_ns is None else offset_ns

    def __call__(self) -> int:
        """Returns the time in microseconds."""
        return (self.offset_ns + time.monotonic_ns()) // 1000


class AnchoredClock(Clock):
    """A clock that continues across the restarts of one folder."""

    def __init__(self, folder: Path, offset_ns: int | None = None) -> None:
        """Continues from the folder's anchor without writing to the folder.

        Args:
            folder: the state folder.
            offset_ns: the offset of the process that handed over to this one, if any.

        Raises:
            OSError: the anchor cannot be read.
        """
        self.folder = folder
        self.boot_id = read_boot_id()
        anchor = read_anchor(folder)
        now_ns = time.monotonic_ns()
        if offset_ns is None:
            offset_ns = clock_offset_ns(anchor, self.boot_id, now_ns, time.time_ns())
        super().__init__(offset_ns)
        self.is_anchored = (
            anchor is not None
            and is_same_boot(anchor, self.boot_id, now_ns)
            and anchor.clock_ns - anchor.monotonic_ns == self.offset_ns
        )

    def store_anchor(self) -> None:
        """Writes the anchor if the folder does not have it. After a failed write the next call tries again."""
        if self.is_anchored:
            return
        now_ns = time.monotonic_ns()
        try:
            write_anchor(self.folder, ClockAnchor(self.boot_id, now_ns, self.offset_ns + now_ns))
            self.is_anchored = True
        except OSError as error:
            log.error("clock anchor cannot be written: %s", error)
