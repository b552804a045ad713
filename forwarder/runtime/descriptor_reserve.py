"""A descriptor in reserve, for use when the process has reached its descriptor limit (EMFILE).

The reserve also shows whether the process is really at its limit or the error was transient: only in the first case
can the reserve not be refilled. Only then does closing a connection help, and closing one is enough.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import TypeVar

Made = TypeVar("Made")


class DescriptorReserve:
    """Holds one descriptor, and frees it for an allocation that would otherwise fail.

    Args:
        free_one: closes a descriptor in use, so that the reserve can be refilled.
    """

    def __init__(self, free_one: Callable[[], object]) -> None:
        self.free_one = free_one
        self._spare: socket.socket | None = None
        self._fill()

    @property
    def is_held(self) -> bool:
        """Whether a descriptor is in reserve."""
        return self._spare is not None

    def allocate(self, make: Callable[[], Made]) -> Made:
        """Calls `make`, which allocates a descriptor; if that fails with EMFILE, frees the reserve and calls it again.

        Raises:
            OSError: `make` failed with another error, failed again, or there is no descriptor in reserve.
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
        return self._make_with_reserve_freed(make)

    def close(self) -> None:
        """Closes the descriptor in reserve."""
        if self._spare is not None:
            self._spare.close()
            self._spare = None

    def _make_with_reserve_freed(self, make: Callable[[], Made]) -> Made:
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
