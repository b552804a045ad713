"""Small JSON files with a checksum, which are read and replaced as a whole."""

from __future__ import annotations

import json
import os
import zlib
from collections.abc import Mapping
from pathlib import Path

from forwarder.storage.errors import CorruptFileError
from forwarder.storage.file_io import sync_data, sync_folder


def read_small_file(path: Path) -> object:
    """Returns the decoded content of a file; None if the file does not exist.

    Raises:
        CorruptFileError: the content is not what was written.
        OSError: the file exists or may exist, but cannot be read at the moment.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    checksum, _, content = data.strip().partition(b" ")
    try:
        is_intact = int(checksum, 16) == zlib.crc32(content)
        decoded: object = json.loads(content) if is_intact else None
    except ValueError as error:
        raise CorruptFileError(str(error)) from None
    if not is_intact:
        raise CorruptFileError("checksum mismatch")
    return decoded


def write_small_file(path: Path, content: Mapping[str, object], durable: bool = False) -> None:
    """Replaces a file.

    Args:
        path: the file.
        content: the new content.
        durable: whether to sync the file and its folder, so that the content survives a power cut.

    Raises:
        OSError: the write failed; the old file may still be in place.
    """
    data = json.dumps(content, separators=(",", ":")).encode()
    new_path = path.with_name(f"{path.name}.new")
    with new_path.open("wb") as file:
        file.write(b"%08x %s\n" % (zlib.crc32(data), data))
        file.flush()
        if durable:
            sync_data(file.fileno())
    os.replace(new_path, path)
    if durable:
        sync_folder(path.parent)
