"""How long nobody can have taken this forwarder's part of what all share, kept over a restart in a file of its own.

The end stands on the machine's clock since its boot, which nobody sets and which goes on while no process is up, beside
the id of that boot: after another boot, or on another machine, it says nothing. A file that was lost, damaged or set
back to an older copy tells no end or an earlier one, which is on the safe side.

The line always has the same length and is written over in place. A file that is cut to nothing and written again each
second makes the file system write it out at once, and the loop waits for the disk, half a second and more.
"""

from __future__ import annotations

import logging
import os
import time
import zlib
from collections.abc import Callable
from pathlib import Path

from forwarder.storage.journal_files import close

FILE = "lease"
RENEW_US = 500_000
"""An end that is so much later than the one in the file is written; an earlier one at once."""
BOOT_ID_READS, BOOT_ID_PAUSE_S = 5, 0.02
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
log = logging.getLogger("forwarder.lease")


def since_boot() -> int:
    """In microseconds."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def boot_id() -> str:
    """Empty where the machine does not tell: then no lease outlasts a process. A read that fails for a moment is made
    again: another answer than the last would stand for another boot.
    """
    for _ in range(BOOT_ID_READS):
        try:
            return BOOT_ID.read_text().strip()
        except FileNotFoundError:
            break
        except OSError:
            time.sleep(BOOT_ID_PAUSE_S)
    return ""


class Lease:
    """One folder's. Ends are told and heard by `clock`, in microseconds."""

    def __init__(self, folder: Path, clock: Callable[[], int]) -> None:
        self.path, self.clock, self.boot = folder / FILE, clock, boot_id()
        self.until, self.failed, self.fd = 0, False, -1

    def read(self, longest_us: int) -> int:
        """When the lease of the life before ends; 0 where there is none. One longer than can have been is none."""
        try:
            check, boot, end = self.path.read_bytes().split()
            if int(check, 16) != zlib.crc32(boot + end) or not self.boot or boot.decode() != self.boot:
                return 0
            left = int(end) - since_boot()
        except (OSError, ValueError):
            return 0
        return self.clock() + left if 0 < left <= longest_us else 0

    def keep(self, until: int) -> None:
        """Write the end, if it has changed by enough. A file that cannot be written costs the lease, and no more."""
        if not self.boot or self.until <= until < self.until + RENEW_US:
            return
        self.until = until
        boot, end = self.boot.encode(), b"%020d" % max(0, until - self.clock() + since_boot())
        try:
            self._write(b"%08x %s %s\n" % (zlib.crc32(boot + end), boot, end))
        except OSError as error:
            if not self.failed:
                log.error("the lease cannot be written: %s", error)
            self.failed = True

    def _write(self, line: bytes) -> None:
        if self.fd < 0:
            self.fd = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
            if os.fstat(self.fd).st_size > len(line):
                os.ftruncate(self.fd, 0)
        os.pwrite(self.fd, line, 0)

    def close(self) -> None:
        if self.fd >= 0:
            close(self.fd)
            self.fd = -1
