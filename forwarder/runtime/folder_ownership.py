"""Steps that require the state folder's lock: recording this start in the folder, and allowing a hand-over."""

from __future__ import annotations

import socket
from collections.abc import Callable

from forwarder.runtime.context import Runtime
from forwarder.storage import identity


class FolderOwnership:
    """Takes each of the steps that only the folder's owner may take, as soon as this process holds the lock.

    Args:
        runtime: the forwarder.
        hand_over: hands the forwarder's state over to the process at the other end of a connection.
    """

    def __init__(self, runtime: Runtime, hand_over: Callable[[socket.socket], None]) -> None:
        self.runtime = runtime
        self.hand_over = hand_over
        self._has_recorded_start = False
        self._is_listening = False

    def begin_to_write(self) -> None:
        """Writes the clock's anchor and, once, the identity of this start. The next call repeats a failed write."""
        runtime = self.runtime
        if not runtime.ownership.has_lock:
            return
        runtime.clock.store_anchor()
        if not self._has_recorded_start and runtime.identity is not None:
            self._has_recorded_start = True
            identity.record_start(runtime.identity, runtime.config.state_folder, runtime.store.durable)

    def begin_to_hand_over(self) -> None:
        """Listens for a process that takes over, if this process holds a lock that it can hand over."""
        if self.runtime.ownership.has_lock and not self._is_listening:
            self._is_listening = True
            self.runtime.ownership.listen(self.hand_over)
