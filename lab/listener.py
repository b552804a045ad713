"""A listening socket of a party for one forwarder, which can refuse connections or leave them without an answer."""

from __future__ import annotations

import asyncio
import enum
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from lab.network import Address, Link, LinkConnection, Network

BACKLOG = 256
"""Connections that wait for the lab's loop."""
FILLERS = 2
"""Connections that fill a queue with a backlog of 0."""


class ListenerState(enum.Enum):
    """What becomes of a new connection."""

    CLOSED = enum.auto()
    """Not listening yet."""
    OPEN = enum.auto()
    REFUSING = enum.auto()
    SILENT = enum.auto()
    """It finds a full queue and never comes up."""


def _always_open() -> ListenerState:
    return ListenerState.OPEN


@dataclass(slots=True)
class Listener:
    """Where one forwarder dials one party."""

    network: Network
    link: Link
    address: Address
    make_connection: Callable[[], LinkConnection]
    party_state: Callable[[], ListenerState] = _always_open
    """Tells whether the party itself refuses connections or is silent, beside what its link does."""
    sock: socket.socket | None = None
    state: ListenerState = ListenerState.CLOSED
    fillers: list[socket.socket] = field(default_factory=list)
    accepting: set[asyncio.Task[object]] = field(default_factory=set)

    def open(self) -> None:
        """Begin to listen.

        Raises:
            OSError: The address is taken.
        """
        self.network.listeners[self.link] = self
        self.apply_link_state()

    def apply_link_state(self) -> None:
        """Accept, refuse or ignore new connections, as the link and the party have it now."""
        wanted = self._wanted_state()
        if wanted is self.state:
            return
        former, self.state = self.state, wanted
        if former is ListenerState.SILENT:
            self._reset_waiting()
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
        """Release the address."""
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
        """Fill the queue of waiting connections: the next to dial gets no answer at all."""
        asyncio.get_running_loop().remove_reader(sock)
        sock.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    def _reset_waiting(self) -> None:
        """Reset those that dialled while the listener was silent."""
        self._close_fillers()
        assert self.sock is not None
        while True:
            try:
                waiting, _ = self.sock.accept()
            except OSError:
                break
            waiting.close()
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
