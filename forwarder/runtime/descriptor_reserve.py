"""A descriptor in reserve, for the moment in which the process has none left (EMFILE).

It tells a process that really is short of descriptors from one that is told so for a moment: only the first cannot
fill the reserve again. Only there does closing something help, and one closed connection is enough.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import TypeVar

Made = TypeVar("Made")


class DescriptorReserve:
    """Holds one descriptor, and gives it to whoever needs one when there is no other.

    Args:
        free_one: closes something, so that the reserve can be filled again.
    """

    def __init__(self, free_one: Callable[[], object]) -> None:
        self.free_one = free_one
        self._spare: socket.socket | None = None
        self._fill()

    @property
    def is_held(self) -> bool:
        """Whether there is a descriptor in reserve."""
        return self._spare is not None

    def allocate(self, make: Callable[[], Made]) -> Made:
        """Calls what takes a descriptor, and once more with the reserve free where the process has no other.

        Raises:
            OSError: it fails, and a free descriptor does not help, or there is none in reserve.
        """
        if self._spare is None:
            self._fill()
        try:
            return make()
        except OSError as error:
            if error.errno != errno.EMFILE:
                raise
            if self._spare is None:
                self.free_one()
                raise
        return self._make_with_spare(make)

    def close(self) -> None:
        """Gives the descriptor back for good."""
        if self._spare is not None:
            self._spare.close()
            self._spare = None

    def _make_with_spare(self, make: Callable[[], Made]) -> Made:
        self.close()
        try:
            return make()
        finally:
            self._fill()
            if self._spare is None:
                self.free_one()

    def _fill(self) -> None:
        try:
            self._spare = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError:
            self._spare = None
