"""The names of the files of a state folder's journal, and the generations in them.

A generation is a snapshot of the whole state, `snapshot-N`, and the records since it was begun. The newest journal is
called `journal`, and `journal-N` once it is closed. What is being written has a name of its own until it is complete.
"""

from __future__ import annotations

from collections.abc import Iterable

JOURNAL = "journal"
NEW_JOURNAL = "journal.new"
NEW_SNAPSHOT = "snapshot.new"
CLOSED_JOURNAL_PREFIX = "journal-"
SNAPSHOT_PREFIX = "snapshot-"
DAMAGED_MARK = ".bad-"
"""Stands between a damaged file's own name and a number once the file is set aside."""


def closed_journal_name(generation: int) -> str:
    """Returns the name of a generation's closed journal."""
    return f"{CLOSED_JOURNAL_PREFIX}{generation}"


def snapshot_name(generation: int) -> str:
    """Returns the name of a generation's snapshot."""
    return f"{SNAPSHOT_PREFIX}{generation}"


def generation_of(name: str) -> int:
    """Returns the generation of a snapshot or a closed journal.

    Raises:
        ValueError: the name is that of another file.
    """
    return int(name.rpartition("-")[2])


def generations(names: Iterable[str], prefix: str) -> list[int]:
    """Returns the generations among the files with this prefix, the oldest first."""
    endings = (name.removeprefix(prefix) for name in names if name.startswith(prefix))
    return sorted(int(ending) for ending in endings if ending.isdecimal())
