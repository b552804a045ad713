"""The owner of a state folder: the forwarder's name, a random id from its first start, and its number of starts.

The identity is a small file next to the journal. It distinguishes a first start from a restart, prevents the use of
another forwarder's folder, and preserves the salt of the journal in case the journal headers are damaged. A folder that
was restored from an older copy cannot be recognized here: only another machine that has seen a higher start count can.
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
    """The kind of start, as determined from the folder; the values are shown to operators."""

    FIRST = "a first start, or the folder was lost"
    RESTART = "a restart"
    UNKNOWN = "a restart, but whose folder it is was not readable"


def read_identity(folder: Path) -> Identity | None:
    """Returns the folder's identity; None if it is missing or corrupt.

    Raises:
        OSError: the file cannot be read at the moment.
    """
    try:
        stored = read_small_file(folder / IDENTITY_FILE)
        return None if stored is None else decode_identity(stored)
    except CorruptFileError as error:
        log.error("identity: file is corrupt: %s", error)
        return None


def write_identity(folder: Path, identity: Identity, durable: bool = False) -> None:
    """Replaces the stored identity.

    Args:
        folder: the state folder.
        identity: the new identity.
        durable: whether to sync the file, so that it survives a power cut.

    Raises:
        OSError: the write failed; the old identity may still be in place.
    """
    write_small_file(folder / IDENTITY_FILE, encode_identity(identity), durable)


def claim_folder(folder: Path, forwarder_name: str) -> tuple[Identity | None, StartKind]:
    """Checks that the folder is unused or belongs to this forwarder; writes nothing.

    Raises:
        ForeignStateError: the folder belongs to another forwarder.
        OSError: the folder cannot be read at the moment.
    """
    identity = read_identity(folder)
    if identity is None:
        return None, StartKind.UNKNOWN if _is_used(folder) else StartKind.FIRST
    if identity.forwarder_name != forwarder_name:
        raise ForeignStateError(f"{folder} is the folder of {identity.forwarder_name}, not of {forwarder_name}")
    return identity, StartKind.RESTART


def count_start(identity: Identity | None, forwarder_name: str, salt: int) -> Identity:
    """Returns the identity with this start counted, or a new identity; writes nothing.

    Args:
        identity: the identity that `claim_folder` returned.
        forwarder_name: the name for a new identity.
        salt: the initial value of the journal checksums.
    """
    if identity is None:
        return Identity(forwarder_name, secrets.token_hex(FOLDER_ID_BYTES), 1, salt)
    return replace(identity, start_count=identity.start_count + 1, salt=salt)


def record_start(counted: Identity, folder: Path, durable: bool = False) -> None:
    """Writes the identity of this start. If the write fails, the start goes on without being counted.

    Args:
        counted: the identity that `count_start` returned.
        folder: the state folder.
        durable: whether to sync the file, so that the count survives a power cut.
    """
    try:
        write_identity(folder, counted, durable)
    except OSError as error:
        log.error("identity: cannot be written: %s", error)


def is_identity_corrupt(folder: Path, identity: Identity | None) -> bool:
    """Returns whether the identity file exists but is corrupt.

    Args:
        folder: the state folder.
        identity: the result of `read_identity`.
    """
    return identity is None and (folder / IDENTITY_FILE).exists()


def _is_used(folder: Path) -> bool:
    return (folder / IDENTITY_FILE).exists() or any(folder.glob("journal*")) or any(folder.glob("snapshot*"))
