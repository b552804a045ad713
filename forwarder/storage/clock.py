"""The clock of the state folder: microseconds that go on evenly over restarts, whatever is done to the wall clock.

Within a process it follows the monotonic clock, which nobody sets. Over a restart it goes on from the anchor, a small
file that says which monotonic time stood for which time of this clock, beside the id of the machine's boot. During one
boot the two clocks never part, so the anchor is written once a boot.

The first anchor is taken from the wall clock. After another boot only the wall clock knows how long the machine was
down, and it may have been stepped. Then this clock goes on by what the wall clock says, but never by less than the new
boot is old, and never back: a message has at most the time that it had, and at least what is left of it by the wall
clock.
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
    """Returns the folder's anchor; None if there is none or it is corrupt.

    Raises:
        OSError: it cannot be read just now: to go by the wall clock then might end all messages at once, or none.
    """
    try:
        stored = read_small_file(folder / ANCHOR_FILE)
        return None if stored is None else decode_clock_anchor(stored)
    except CorruptFileError as error:
        log.error("the clock's anchor is not sound: %s", error)
        return None


def write_anchor(folder: Path, anchor: ClockAnchor) -> None:
    """Puts an anchor in the old one's place.

    Raises:
        OSError: the old one is still there.
    """
    write_small_file(folder / ANCHOR_FILE, encode_clock_anchor(anchor))


def is_same_boot(anchor: ClockAnchor, boot_id: str, monotonic_ns: int) -> bool:
    """Returns whether the monotonic clock is still the one of the anchor.

    Where one of the boot ids is not known, it is unless it has gone back.

    Args:
        anchor: an anchor of this machine.
        boot_id: the id of the machine's boot now; empty if it is not known.
        monotonic_ns: the monotonic clock now.
    """
    may_be_same = anchor.boot_id == boot_id or not boot_id or not anchor.boot_id
    return may_be_same and anchor.monotonic_ns <= monotonic_ns


def clock_offset_ns(anchor: ClockAnchor | None, boot_id: str, monotonic_ns: int, wall_ns: int) -> int:
    """Returns what to add to the monotonic clock so that the clock goes on from the anchor.

    Args:
        anchor: the folder's anchor, if it has one.
        boot_id: the id of the machine's boot now; empty if it is not known.
        monotonic_ns: the monotonic clock now.
        wall_ns: the wall clock now, of Unix time.
    """
    if anchor is None:
        return wall_ns - monotonic_ns
    if is_same_boot(anchor, boot_id, monotonic_ns):
        return anchor.clock_ns - anchor.monotonic_ns
    return max(wall_ns, anchor.clock_ns + monotonic_ns) - monotonic_ns


class Clock:
    """Microseconds of Unix time as the wall clock showed it once. It never goes back."""

    is_anchored = True
    """Whether a restart goes on by it."""

    def __init__(self, offset_ns: int | None = None) -> None:
        """Begins at the wall clock's time, or goes on by the offset of another process's clock."""
        self.offset_ns = time.time_ns() - time.monotonic_ns() if offset_ns is None else offset_ns

    def __call__(self) -> int:
        """Returns the time in microseconds."""
        return (self.offset_ns + time.monotonic_ns()) // 1000


class AnchoredClock(Clock):
    """A clock that goes on over the restarts of one folder."""

    def __init__(self, folder: Path, offset_ns: int | None = None) -> None:
        """Goes on from the folder's anchor, and writes nothing.

        Args:
            folder: the state folder.
            offset_ns: that of the process which this one takes over from.

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
        """Writes the anchor, if the folder has not got it. A folder that cannot be written is tried again later."""
        if self.is_anchored:
            return
        now_ns = time.monotonic_ns()
        try:
            write_anchor(self.folder, ClockAnchor(self.boot_id, now_ns, self.offset_ns + now_ns))
            self.is_anchored = True
        except OSError as error:
            log.error("the clock's anchor cannot be written: %s", error)
