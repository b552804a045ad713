"""Names of the journal and snapshot files in a state folder, and the generations in these names.

A generation consists of a snapshot of the whole state, `snapshot-N`, and the journal of the records since the snapshot
was started. The newest journal is named `journal`; when it is closed, it becomes `journal-N`. A file has a temporary
name until it is complete.
"""

from __future__ import annotations

from collections.abc import Iterable

JOURNAL = "journal"
NEW_JOURNAL = "journal.new"
NEW_SNAPSHOT = "snapshot.new"
CLOSED_JOURNAL_PREFIX = "journal-"
SNAPSHOT_PREFIX = "snapshot-"
DAMAGED_MARK = ".bad-"
"""Separates the original name and the number in the name of a damaged file that was set aside."""


def closed_journal_name(generation: int) -> str:
    """Returns the name of the closed journal of a generation."""
    return f"{CLOSED_JOURNAL_PREFIX}{generation}"


def snapshot_name(generation: int) -> str:
    """Returns the name of the snapshot of a generation."""
    return f"{SNAPSHOT_PREFIX}{generation}"


def generation_of(name: str) -> int:
    """Returns the generation in the name of a snapshot or a closed journal.

    Raises:
        ValueError: the name contains no generation.
    """
    return int(name.rpartition("-")[2])


def has_generation(name: str) -> bool:
    """Returns whether the name ends with a generation; that of a damaged file that was set aside does not."""
    return name.rpartition("-")[2].isdecimal() and DAMAGED_MARK not in name


def generations(names: Iterable[str], prefix: str) -> list[int]:
    """Returns the generations of the files with this prefix, in ascending order."""
    suffixes = (name.removeprefix(prefix) for name in names if name.startswith(prefix))
    return sorted(int(suffix) for suffix in suffixes if suffix.isdecimal())
