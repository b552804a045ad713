"""The lease file: the time until which no other forwarder can take over this one's quota share, kept across restarts.

The file `lease` stores the end of the lease on the machine's boot-time clock, together with the boot id. That clock
cannot be set and keeps running while the process is down. After a reboot, or on another machine, the stored end does
not apply. If the file is lost, damaged or restored from an older copy, there is no end or an earlier one; both are
safe.

The line always has the same length and is overwritten in place: if the file were truncated and written again every
second, the file system would flush it immediately and the event loop would wait for the disk.
"""

from __future__ import annotations

import logging
import os
import time
import zlib
from collections.abc import Callable
from pathlib import Path

from forwarder.storage.file_io import close_descriptor

LEASE_FILE = "lease"
RENEW_INTERVAL_US = 500_000
"""A later end is written once it exceeds the stored one by this much; an earlier end is written immediately."""
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
BOOT_ID_READ_ATTEMPTS = 5
BOOT_ID_READ_PAUSE_S = 0.02
log = logging.getLogger("forwarder.lease")


def time_since_boot_us() -> int:
    """Returns the time since the machine booted, including the time it was suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def read_boot_id() -> str:
    """Returns the id of the current boot; empty if it is not available.

    A failed read is repeated, because a different result would look like another boot.
    """
    for _ in range(BOOT_ID_READ_ATTEMPTS):
        try:
            return BOOT_ID_FILE.read_text().strip()
        except FileNotFoundError:
            break
        except OSError:
            time.sleep(BOOT_ID_READ_PAUSE_S)
    return ""


class Lease:
    """The lease of one folder. Its end is expressed in the time of the caller's clock, in microseconds."""

    def __init__(self, folder: Path, clock: Callable[[], int]) -> None:
        """Prepares the lease; the file is opened at the first write.

        Args:
            folder: the state folder.
            clock: returns the time in microseconds.
        """
        self.path = folder / LEASE_FILE
        self.clock = clock
        self.boot_id = read_boot_id()
        self.end_us = 0
        """The end that was written last."""
        self.write_failed = False
        self.fd = -1

    def read_end_us(self, max_remaining_us: int) -> int:
        """Returns the end of the previous process's lease.

        Args:
            max_remaining_us: a lease with more remaining time than this is invalid.

        Returns:
            The end; 0 if there is no valid lease.
        """
        try:
            checksum, boot_id, end = self.path.read_bytes().split()
            if int(checksum, 16) != zlib.crc32(boot_id + end) or not self.boot_id or boot_id.decode() != self.boot_id:
                return 0
            remaining_us = int(end) - time_since_boot_us()
        except (OSError, ValueError):
            return 0
        return self.clock() + remaining_us if 0 < remaining_us <= max_remaining_us else 0

    def renew(self, end_us: int) -> None:
        """Writes the end if it has changed enough. Logs the first failure; only the lease is lost after a restart."""
        if not self.boot_id or self.end_us <= end_us < self.end_us + RENEW_INTERVAL_US:
            return
        self.end_us = end_us
        boot_id = self.boot_id.encode()
        end = b"%020d" % max(0, end_us - self.clock() + time_since_boot_us())
        try:
            self._write(b"%08x %s %s\n" % (zlib.crc32(boot_id + end), boot_id, end))
        except OSError as error:
            if not self.write_failed:
                log.error("lease cannot be written: %s", error)
            self.write_failed = True

    def _write(self, line: bytes) -> None:
        if self.fd < 0:
            self.fd = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
            if os.fstat(self.fd).st_size > len(line):
                os.ftruncate(self.fd, 0)
        os.pwrite(self.fd, line, 0)

    def close(self) -> None:
        """Closes the file."""
        if self.fd >= 0:
            close_descriptor(self.fd)
            self.fd = -1
