"""Reads the memory of this process."""

from __future__ import annotations

import os
from pathlib import Path

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STATM_PATH = Path("/proc/self/statm")
USUAL_BASE_BYTES = 17_000_000
"""The memory of a process that has just started, for systems where it cannot be read."""


def own_memory_bytes() -> int | None:
    """Returns the resident memory that is the process's own, without pages of mapped files; None if unknown."""
    try:
        _, resident, shared, *_ = STATM_PATH.read_bytes().split()
    except (OSError, ValueError):
        return None
    return (int(resident) - int(shared)) * PAGE_BYTES
