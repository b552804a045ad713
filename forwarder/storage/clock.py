"""The clock of the journal: microseconds that go on evenly over restarts, whatever is done to the wall clock.

Within a process it follows the monotonic clock, which nobody sets. Over a restart it goes on from the `anchor`, a small
file that says which monotonic time stood for which time of this clock, beside the id of the machine's boot. During one
boot the two clocks never part, so the anchor is written once a boot.

The first anchor is taken from the wall clock. After another boot only the wall clock knows how long the machine was
down, and it may have been stepped. Then this clock goes on by what it says, but never by less than the new boot is old,
and never back: a message has at most the time that it had, and at least what is left of it by the wall clock.
"""

from __future__ import annotations

import logging
import time
from dataclasses import asdict, dataclass
from pathlib import Path

from forwarder.storage import small_file
from forwarder.storage.lease import boot_id

FILE = "clock"
SECOND_NS = 1_000_000_000
log = logging.getLogger("forwarder.clock")


@dataclass(frozen=True, slots=True)
class Anchor:
    """What the clock said when the monotonic clock of that boot said so. All in nanoseconds."""

    boot: str
    monotonic_ns: int
    clock_ns: int

    @staticmethod
    def read(folder: Path) -> Anchor | None:
        """None where there is none, or not a sound one. Raises OSError where it cannot be read just now: to go by the
        wall clock then might end all messages at once, or none.
        """
        try:
            told = small_file.read(folder / FILE)
            return None if told is None else Anchor(**told)
        except (small_file.CorruptFileError, TypeError) as error:
            log.error("the clock's anchor is not sound: %s", error)
            return None

    def write(self, folder: Path) -> None:
        """In the old one's place. Raises OSError."""
        small_file.write(folder / FILE, asdict(self))


def same_boot(anchor: Anchor, boot: str, monotonic_ns: int) -> bool:
    """Whether the monotonic clock is still the one of the anchor. Where the machine does not tell its boots, or did not
    just now or then, it is as long as it has not gone back.
    """
    return (anchor.boot == boot or not boot or not anchor.boot) and anchor.monotonic_ns <= monotonic_ns


def base_ns(anchor: Anchor | None, boot: str, monotonic_ns: int, wall_ns: int) -> int:
    """What to add to the monotonic clock, so that the clock goes on from the anchor."""
    if anchor is None:
        return wall_ns - monotonic_ns
    if same_boot(anchor, boot, monotonic_ns):
        return anchor.clock_ns - anchor.monotonic_ns
    return max(wall_ns, anchor.clock_ns + monotonic_ns) - monotonic_ns


class Clock:
    """Microseconds, of Unix time as the wall clock told it once. It never goes back."""

    kept = True
    """Whether a restart goes on by it."""

    def __init__(self, base: int | None = None) -> None:
        self.base = time.time_ns() - time.monotonic_ns() if base is None else base

    def __call__(self) -> int:
        return (self.base + time.monotonic_ns()) // 1000


class AnchoredClock(Clock):
    """One that goes on over the restarts of one folder."""

    def __init__(self, folder: Path, base: int | None = None) -> None:
        """`base`: that of the process which this one takes over from. Raises OSError: the anchor cannot be read."""
        self.folder, self.boot, self.kept = folder, boot_id(), False
        anchor = Anchor.read(folder)
        now_ns = time.monotonic_ns()
        super().__init__(base_ns(anchor, self.boot, now_ns, time.time_ns()) if base is None else base)
        self.kept = (
            anchor is not None
            and same_boot(anchor, self.boot, now_ns)
            and anchor.clock_ns - anchor.monotonic_ns == self.base
        )

    def keep(self) -> None:
        """Write the anchor, if the folder has not got it. A folder that cannot be written is tried again later."""
        if self.kept:
            return
        now_ns = time.monotonic_ns()
        try:
            Anchor(self.boot, now_ns, self.base + now_ns).write(self.folder)
            self.kept = True
        except OSError as error:
            log.error("the clock's anchor cannot be written: %s", error)
