"""Small files of JSON with a checksum, read and replaced as a whole."""

from __future__ import annotations

import json
import os
import zlib
from collections.abc import Mapping
from pathlib import Path

from forwarder.storage.errors import CorruptFileError
from forwarder.storage.file_io import sync_data, sync_folder


def read_small_file(path: Path) -> object:
    """Returns what a file holds; None if there is none.

    Raises:
        CorruptFileError: the file is not as it was written.
        OSError: it cannot be read just now, which does not mean that there is none.
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
        raise CorruptFileError("its checksum does not hold")
    return decoded


def write_small_file(path: Path, content: Mapping[str, object], durable: bool = False) -> None:
    """Puts a file in the old one's place.

    Args:
        path: the file.
        content: what it holds.
        durable: whether it is to outlast a power cut.

    Raises:
        OSError: the old one is still there.
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
