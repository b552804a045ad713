"""Whose folder $LB_STATE is: the forwarder's name, an id drawn at its first start, and how often it was started.

A small file of its own, beside the journal, replaced as a whole. It tells a first start from a restart, refuses another
forwarder's folder, and keeps the journal's salt where the journal's own headers are damaged. A folder that was set back
to an older copy cannot be told from inside: only who remembers a higher count elsewhere can tell.
"""

from __future__ import annotations

import logging
import secrets
from dataclasses import asdict, dataclass, replace
from enum import Enum
from pathlib import Path

from forwarder.storage import small_file

FILE = "identity"
log = logging.getLogger("forwarder.identity")


class ForeignStateError(Exception):
    """The folder is another forwarder's; the text says whose."""


class StartKind(Enum):
    FIRST = "a first start, or the folder was lost"
    AGAIN = "a restart"
    UNKNOWN = "a restart, but whose folder it is was not readable"


@dataclass(frozen=True, slots=True)
class Identity:
    name: str
    id: str
    starts: int
    salt: int

    def write(self, folder: Path, durable: bool = False) -> None:
        """Put it in the old one's place, so that it outlasts a power cut if that is asked for. Raises OSError."""
        small_file.write(folder / FILE, asdict(self), durable)


def read(folder: Path) -> Identity | None:
    """What the folder says; None where it says nothing sound. Raises OSError where it cannot be read just now."""
    try:
        told = small_file.read(folder / FILE)
        return None if told is None else Identity(**told)
    except (small_file.CorruptFileError, TypeError) as error:
        log.error("identity: not sound: %s", error)
        return None


def claim(folder: Path, name: str) -> tuple[Identity | None, StartKind]:
    """What this start finds. Raises ForeignState, and OSError where the folder cannot be read just now."""
    found = read(folder)
    if found is not None:
        if found.name != name:
            raise ForeignStateError(f"{folder} is the folder of {found.name}, not of {name}")
        return found, StartKind.AGAIN
    used = (folder / FILE).exists() or any(folder.glob("journal*")) or any(folder.glob("snapshot*"))
    return None, StartKind.UNKNOWN if used else StartKind.FIRST


def begin(found: Identity | None, folder: Path, name: str, salt: int, durable: bool = False) -> Identity:
    """Count this start. A folder that cannot be written costs the count, and not the start."""
    made = (
        replace(found, starts=found.starts + 1, salt=salt)
        if found is not None
        else Identity(name, secrets.token_hex(8), 1, salt)
    )
    try:
        made.write(folder, durable)
    except OSError as error:
        log.error("identity: cannot be written: %s", error)
    return made
