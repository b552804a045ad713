"""Listening sockets of the parties, one per forwarder, which can refuse connections or leave them unanswered."""

from __future__ import annotations

import asyncio
import enum
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from lab.network import Address, Link, LinkConnection, Network

BACKLOG = 256
"""Connections that may wait to be accepted by the lab's event loop."""
FILLERS = 2
"""Number of connections that fill the accept queue of a socket with a backlog of 0."""


class ListenerState(enum.Enum):
    """How a listener treats new connections."""

    CLOSED = enum.auto()
    """Not listening yet."""
    OPEN = enum.auto()
    REFUSING = enum.auto()
    SILENT = enum.auto()
    """The accept queue is full, so that connections are never established."""


def _always_open() -> ListenerState:
    return ListenerState.OPEN


@dataclass(slots=True)
class Listener:
    """The socket at which one forwarder dials one party."""

    network: Network
    link: Link
    address: Address
    make_connection: Callable[[], LinkConnection]
    party_state: Callable[[], ListenerState] = _always_open
    """Returns whether the party itself refuses connections or is silent; the state of the link applies as well."""
    sock: socket.socket | None = None
    state: ListenerState = ListenerState.CLOSED
    fillers: list[socket.socket] = field(default_factory=list)
    accepting: set[asyncio.Task[object]] = field(default_factory=set)

    def open(self) -> None:
        """Start listening.

        Raises:
            OSError: The address is in use.
        """
        self.network.listeners[self.link] = self
        self.apply_link_state()

    def apply_link_state(self) -> None:
        """Accept, refuse or ignore new connections according to the current state of the link and the party."""
        wanted = self._wanted_state()
        if wanted is self.state:
            return
        previous, self.state = self.state, wanted
        if previous is ListenerState.SILENT:
            self._close_queued()
        if wanted is ListenerState.REFUSING:
            self._close_socket()
            return
        if self.sock is None:
            self.sock = self._bind()
        if wanted is ListenerState.SILENT:
            self._fill_queue(self.sock)
        else:
            asyncio.get_running_loop().add_reader(self.sock, self._accept)

    def close(self) -> None:
        """Close the listening socket."""
        self._close_fillers()
        self._close_socket()

    def _wanted_state(self) -> ListenerState:
        fault = self.network.fault_on(self.link)
        party = self.party_state()
        if fault.refuse or party is ListenerState.REFUSING:
            return ListenerState.REFUSING
        if fault.silent_out or fault.silent_in or party is ListenerState.SILENT:
            return ListenerState.SILENT
        return ListenerState.OPEN

    def _bind(self) -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        try:
            sock.bind(self.address)
            sock.listen(BACKLOG)
        except OSError:
            sock.close()
            raise
        return sock

    def _fill_queue(self, sock: socket.socket) -> None:
        """Fill the accept queue, so that further connection attempts get no answer."""
        asyncio.get_running_loop().remove_reader(sock)
        sock.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    def _close_queued(self) -> None:
        """Close the connections that were queued while the listener was silent."""
        self._close_fillers()
        assert self.sock is not None
        while True:
            try:
                queued, _ = self.sock.accept()
            except OSError:
                break
            queued.close()
        self.sock.listen(BACKLOG)

    def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while self.sock is not None:
            try:
                accepted, _ = self.sock.accept()
            except OSError:
                return
            accepted.setblocking(False)
            task: asyncio.Task[object] = loop.create_task(loop.connect_accepted_socket(self.make_connection, accepted))
            self.accepting.add(task)
            task.add_done_callback(self.accepting.discard)

    def _close_fillers(self) -> None:
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()

    def _close_socket(self) -> None:
        if self.sock is not None:
            asyncio.get_running_loop().remove_reader(self.sock)
            self.sock.close()
            self.sock = None
