"""The owner of a state folder: the forwarder's name, an id drawn at its first start, and how often it was started.

The identity is a small file beside the journal. It tells a first start from a restart, refuses another forwarder's
folder, and keeps the journal's salt where the journal's own headers are damaged. A folder that was set back to an older
copy does not show it: only another machine that remembers a higher count of starts can tell.
"""

from __future__ import annotations

import logging
import secrets
from dataclasses import replace
from enum import Enum
from pathlib import Path

from forwarder.storage.errors import CorruptFileError, ForeignStateError
from forwarder.storage.schema import Identity, decode_identity, encode_identity
from forwarder.storage.small_file import read_small_file, write_small_file

IDENTITY_FILE = "identity"
FOLDER_ID_BYTES = 8
log = logging.getLogger("forwarder.identity")


class StartKind(Enum):
    """What a start finds in its folder; the values are shown to operators."""

    FIRST = "a first start, or the folder was lost"
    AGAIN = "a restart"
    UNKNOWN = "a restart, but whose folder it is was not readable"


def read_identity(folder: Path) -> Identity | None:
    """Returns the folder's identity; None if there is none or it is corrupt.

    Raises:
        OSError: it cannot be read just now.
    """
    try:
        stored = read_small_file(folder / IDENTITY_FILE)
        return None if stored is None else decode_identity(stored)
    except CorruptFileError as error:
        log.error("identity: not sound: %s", error)
        return None


def write_identity(folder: Path, identity: Identity, durable: bool = False) -> None:
    """Puts an identity in the old one's place.

    Args:
        folder: the state folder.
        identity: what to write.
        durable: whether it is to outlast a power cut.

    Raises:
        OSError: the old one is still there.
    """
    write_small_file(folder / IDENTITY_FILE, encode_identity(identity), durable)


def claim_folder(folder: Path, forwarder_name: str) -> tuple[Identity | None, StartKind]:
    """Returns what a start of this forwarder finds in the folder; writes nothing.

    Raises:
        ForeignStateError: the folder belongs to another forwarder.
        OSError: the folder cannot be read just now.
    """
    identity = read_identity(folder)
    if identity is None:
        return None, StartKind.UNKNOWN if _is_used(folder) else StartKind.FIRST
    if identity.forwarder_name != forwarder_name:
        raise ForeignStateError(f"{folder} is the folder of {identity.forwarder_name}, not of {forwarder_name}")
    return identity, StartKind.AGAIN


def count_start(identity: Identity | None, forwarder_name: str, salt: int) -> Identity:
    """Returns the identity from this start on; writes nothing.

    Args:
        identity: what `claim_folder` found.
        forwarder_name: the name of a new identity.
        salt: what the journal's checksums begin from.
    """
    if identity is None:
        return Identity(forwarder_name, secrets.token_hex(FOLDER_ID_BYTES), 1, salt)
    return replace(identity, start_count=identity.start_count + 1, salt=salt)


def record_start(counted: Identity, folder: Path, durable: bool = False) -> None:
    """Writes the identity of this start. A folder that cannot be written costs the count, and not the start.

    Args:
        counted: what `count_start` returned.
        folder: the state folder.
        durable: whether the count is to outlast a power cut.
    """
    try:
        write_identity(folder, counted, durable)
    except OSError as error:
        log.error("identity: cannot be written: %s", error)


def is_identity_corrupt(folder: Path, identity: Identity | None) -> bool:
    """Returns whether there is an identity that could not be read as one.

    Args:
        folder: the state folder.
        identity: what `read_identity` returned.
    """
    return identity is None and (folder / IDENTITY_FILE).exists()


def _is_used(folder: Path) -> bool:
    return (folder / IDENTITY_FILE).exists() or any(folder.glob("journal*")) or any(folder.glob("snapshot*"))
