"""Measures a state folder after every call that can change its files."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from forwarder.storage.file_io import block_bytes

CALLS = ("open", "write", "pwrite", "ftruncate", "replace", "link", "unlink")


class FolderMeter:
    """The largest disk space that the files of a folder took, each in whole blocks."""

    def __init__(self, folder: Path, patch: pytest.MonkeyPatch) -> None:
        self.folder = folder
        self.most_bytes = 0
        self.most_files: dict[str, int] = {}
        for name in CALLS:
            patch.setattr(os, name, self.measured(getattr(os, name)))

    def measured(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def call_and_measure(*arguments: Any, **named: Any) -> Any:
            try:
                return call(*arguments, **named)
            finally:
                self.measure()

        return call_and_measure

    def measure(self) -> int:
        sizes = {}
        if self.folder.is_dir():
            with os.scandir(self.folder) as entries:
                sizes = {each.name: each.stat(follow_symlinks=False).st_size for each in entries if each.is_file()}
        total_bytes = sum(block_bytes(size) for size in sizes.values())
        if total_bytes > self.most_bytes:
            self.most_bytes, self.most_files = total_bytes, sizes
        return total_bytes
