"""A forwarder's state folder, and what a schedule does to it."""

from __future__ import annotations

import random
import shutil
from dataclasses import dataclass, field
from pathlib import Path

MIN_DAMAGED_BYTES = 64
"""Files up to this size are not damaged."""
BLOCK_BYTES = 512


@dataclass(slots=True)
class StateFolder:
    """The folder that lasts over a forwarder's restarts."""

    path: Path
    copies: dict[float, Path] = field(default_factory=dict)
    """Former states of it, by the moment at which it is to be set back."""

    def copy(self, mark_s: float) -> None:
        """Keep the folder as it is now, to be set back to at `mark_s`."""
        target = self.path.parent / f"copy-{mark_s:.3f}"
        shutil.copytree(
            self.path,
            target,
            ignore=lambda _, names: [name for name in names if name.startswith("lock")],
            ignore_dangling_symlinks=True,
            copy_function=_copy_regular_file,
        )
        self.copies[mark_s] = target

    def damage(self, kind: str, mark_s: float, rng: random.Random) -> None:
        """Lose or damage the folder, while no process has it.

        Args:
            kind: As a scenario's `folder` has it; `kept` does nothing.
            mark_s: Which copy an `old` folder is set back to.
            rng: Draws where a file is damaged.
        """
        if kind == "kept":
            return
        if kind in ("lost", "old"):
            self._replace(self.copies.get(mark_s) if kind == "old" else None)
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
    """Return a file's content cut somewhere (`short`), or with a bit (`byte`) or 512 bytes (`block`) changed."""
    content = bytearray(data)
    at = rng.randrange(len(content))
    if kind == "short":
        return bytes(content[:at])
    if kind == "byte":
        content[at] ^= 1 << rng.randrange(8)
    else:
        content[at : at + BLOCK_BYTES] = bytes(len(content[at : at + BLOCK_BYTES]))
    return bytes(content)


def _copy_regular_file(source: str, target: str) -> None:
    """Copy a file. Sockets and locks are no state, and are passed over."""
    if Path(source).is_file():
        shutil.copyfile(source, target)
