"""What follows from the folder's lock, as soon as it is had: writing what each start writes, and handing over."""

from __future__ import annotations

import socket
from collections.abc import Callable

from forwarder.runtime.context import Runtime
from forwarder.storage import identity


class FolderOwnership:
    """Takes the steps that only the folder's owner may take, each once.

    Args:
        runtime: the forwarder.
        hand_over: hands all over to the process on a connection.
    """

    def __init__(self, runtime: Runtime, hand_over: Callable[[socket.socket], None]) -> None:
        self.runtime = runtime
        self.hand_over = hand_over
        self._has_recorded_start = False
        self._hands_over = False

    def begin_to_write(self) -> None:
        """Writes the clock's anchor, again until it is on record, and the identity of this start."""
        runtime = self.runtime
        if not runtime.ownership.has_lock:
            return
        runtime.clock.store_anchor()
        if not self._has_recorded_start and runtime.identity is not None:
            self._has_recorded_start = True
            identity.record_start(runtime.identity, runtime.config.state_folder, runtime.store.durable)

    def begin_to_hand_over(self) -> None:
        """Lets another process take over: there is a lock to be handed to it."""
        if self.runtime.ownership.has_lock and not self._hands_over:
            self._hands_over = True
            self.runtime.ownership.listen(self.hand_over)
