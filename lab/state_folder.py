"""A forwarder's state folder, which faults of the schedule damage, remove or set back."""

from __future__ import annotations

import random
import shutil
from dataclasses import dataclass, field
from pathlib import Path

MIN_DAMAGED_BYTES = 64
"""Only larger files are damaged."""
BLOCK_BYTES = 512


@dataclass(slots=True)
class StateFolder:
    """The folder that a forwarder keeps across its restarts."""

    path: Path
    copies: dict[float, Path] = field(default_factory=dict)
    """Copies of earlier states, by the time of the fault that restores them."""

    def copy(self, fault_at_s: float) -> None:
        """Copy the folder, so that the fault at `fault_at_s` can restore its current state."""
        copy_path = self.path.parent / f"copy-{fault_at_s:.3f}"
        shutil.copytree(
            self.path,
            copy_path,
            ignore=lambda _, names: [name for name in names if name.startswith("lock")],
            ignore_dangling_symlinks=True,
            copy_function=_copy_regular_file,
        )
        self.copies[fault_at_s] = copy_path

    def damage(self, kind: str, fault_at_s: float, rng: random.Random) -> None:
        """Lose, restore or damage the folder while no process uses it.

        Args:
            kind: A value of a fault's `folder` field; `kept` does nothing.
            fault_at_s: The time of the fault, which selects the copy for `old`.
            rng: Draws the offsets of the damage.
        """
        if kind == "kept":
            return
        if kind in ("lost", "old"):
            self._replace(self.copies.get(fault_at_s) if kind == "old" else None)
            return
        for file in [file for file in self.path.iterdir() if file.is_file()]:
            if file.stat().st_size > MIN_DAMAGED_BYTES:
                file.write_bytes(_damaged(file.read_bytes(), kind, rng))

    def _replace(self, copy: Path | None) -> None:
        shutil.rmtree(self.path)
        if copy is None:
            self.path.mkdir()
        else:
            shutil.copytree(copy, self.path)

    def largest_file_bytes(self) -> int:
        """Return the size of the largest file."""
        return max((file.stat().st_size for file in self.path.iterdir() if file.is_file()), default=0)

    def size_bytes(self) -> int:
        """Return the size of all files.

        Raises:
            OSError: The folder is being replaced.
        """
        return sum(file.stat().st_size for file in self.path.iterdir() if file.is_file())


def _damaged(data: bytes, kind: str, rng: random.Random) -> bytes:
    """Return file content truncated (`short`), with one bit flipped (`byte`) or with 512 bytes zeroed (`block`)."""
    content = bytearray(data)
    offset = rng.randrange(len(content))
    if kind == "short":
        return bytes(content[:offset])
    if kind == "byte":
        content[offset] ^= 1 << rng.randrange(8)
    else:
        content[offset : offset + BLOCK_BYTES] = bytes(len(content[offset : offset + BLOCK_BYTES]))
    return bytes(content)


def _copy_regular_file(source: str, copy_path: str) -> None:
    """Copy a regular file. Sockets and locks are not state and are skipped."""
    if Path(source).is_file():
        shutil.copyfile(source, copy_path)
