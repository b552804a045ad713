"""Small files of JSON with a checksum, read and replaced as a whole."""

from __future__ import annotations

import json
import os
import zlib
from pathlib import Path
from typing import Any

from forwarder.storage.journal_files import sync_folder


class CorruptFileError(ValueError):
    """The file is not as it was written."""


def read(path: Path) -> Any:
    """What a file holds; None where there is none. Raises NotSound, and OSError where it cannot be read just now: that
    is not to be taken for a file that does not exist.
    """
    try:
        check, _, told = path.read_bytes().strip().partition(b" ")
    except FileNotFoundError:
        return None
    try:
        if int(check, 16) != zlib.crc32(told):
            raise CorruptFileError("its checksum does not hold")
        return json.loads(told)
    except CorruptFileError:
        raise
    except ValueError as error:
        raise CorruptFileError(str(error)) from None


def write(path: Path, content: Any, durable: bool = False) -> None:
    """Put a file in the old one's place. `durable`: it outlasts a power cut. Raises OSError."""
    told = json.dumps(content, separators=(",", ":")).encode()
    spare = path.with_name(f"{path.name}.new")
    with spare.open("wb") as file:
        file.write(b"%08x %s\n" % (zlib.crc32(told), told))
        file.flush()
        if durable:
            os.fdatasync(file.fileno())
    os.replace(spare, path)
    if durable:
        sync_folder(path.parent)
