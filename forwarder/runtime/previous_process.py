"""The process that handed over to this one, watched until it has ended.

Until then a signal may still reach it, which it no longer acts on: this process owes what the signal asks for.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import struct
from collections.abc import Callable

from forwarder.storage.file_io import close_descriptor

PEER_CREDENTIALS = struct.Struct("iII")
"""Process, user and group of the other end of a Unix socket (`struct ucred`)."""
NOT_OPEN = -1
RETRY_S = 0.1
log = logging.getLogger("forwarder.upgrade")


class PreviousProcess:
    """Tells when the process at the other end of a connection has ended."""

    def __init__(self, link: socket.socket) -> None:
        """Opens a descriptor of the process. Where the platform has none, the end of the connection tells."""
        self.link = link
        self._process = _open_process(link)
        self._watched: int | None = None
        self._retry: asyncio.TimerHandle | None = None

    def call_at_end(self, on_end: Callable[[], None]) -> None:
        """Calls a function once the process has ended, and closes the connection to it."""
        self._retry = None
        descriptor = self.link.fileno() if self._process == NOT_OPEN else self._process
        loop = asyncio.get_running_loop()
        try:
            loop.add_reader(descriptor, self._end, on_end)
        except OSError as error:
            log.warning("cannot watch the previous process: %s", error)
            self._retry = loop.call_later(RETRY_S, self.call_at_end, on_end)
            return
        self._watched = descriptor

    def _end(self, on_end: Callable[[], None]) -> None:
        log.info("the previous process has ended")
        self.close()
        on_end()

    def close(self) -> None:
        """Stops watching and closes the descriptors."""
        if self._retry is not None:
            self._retry.cancel()
        if self._watched is not None:
            asyncio.get_running_loop().remove_reader(self._watched)
            self._watched = None
        if self._process != NOT_OPEN:
            close_descriptor(self._process)
            self._process = NOT_OPEN
        self.link.close()


def _open_process(link: socket.socket) -> int:
    """Returns a descriptor that is readable once the process at the other end has ended, or `NOT_OPEN`."""
    try:
        credentials = link.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
        process_id, _, _ = PEER_CREDENTIALS.unpack(credentials)
        return os.pidfd_open(process_id) if process_id > 0 else NOT_OPEN
    except OSError as error:
        log.info("the previous process is watched by its connection: %s", error)
        return NOT_OPEN
