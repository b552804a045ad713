"""Watches the memory of processes at a short interval, as the platform does."""

from __future__ import annotations

import os
import threading
from pathlib import Path
from types import TracebackType
from typing import Self

WATCH_INTERVAL_S = 0.01
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BYTES_PER_MB = 1_000_000
ENDED_BYTES = 0
"""Memory of a process that has ended."""


def own_memory_bytes(pid: int) -> int:
    """Returns the resident memory that is the process's own, without the pages of mapped files."""
    try:
        _, resident, shared, *_ = Path(f"/proc/{pid}/statm").read_text().split()
    except (OSError, ValueError):
        return ENDED_BYTES
    return (int(resident) - int(shared)) * PAGE_BYTES


class MemoryWatch:
    """Records the largest memory of each watched process, from a thread of its own.

    It watches from `start` to `stop`, or while its context is open.
    """

    def __init__(self, *pids: int) -> None:
        self.peak_bytes: dict[int, int] = dict.fromkeys(pids, 0)
        """The largest memory seen so far, by process id."""
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._watch, name="memory watch", daemon=True)

    def add(self, pid: int) -> None:
        """Watches another process from now on."""
        self.peak_bytes = {**self.peak_bytes, pid: 0}

    def peak_mb(self) -> float:
        """Returns the largest memory of any watched process."""
        return max(self.peak_bytes.values(), default=0) / BYTES_PER_MB

    def start(self) -> None:
        """Starts to watch."""
        self._thread.start()

    def stop(self) -> None:
        """Stops watching, if it was started."""
        self._is_over.set()
        if self._thread.is_alive():
            self._thread.join()

    def __enter__(self) -> Self:
        self.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        self.stop()

    def _watch(self) -> None:
        while not self._is_over.wait(WATCH_INTERVAL_S):
            for pid, peak_bytes in list(self.peak_bytes.items()):
                self.peak_bytes[pid] = max(peak_bytes, own_memory_bytes(pid))
