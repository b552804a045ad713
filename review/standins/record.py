"""The record of a case: what was sent, answered and run, one line each, with the seconds since its start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes `record.txt` in the folder of a case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self._started_s

    def note(self, text: str) -> None:
        """Adds a line."""
        self._file.write(f"{self.now_s():9.3f} {text}\n")
        self._file.flush()
