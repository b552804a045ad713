"""Tells which clients have left, also where the end of the connection waits behind unread input."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Iterable
from typing import Protocol, TypeVar

from forwarder.clients.listener import descriptor
from forwarder.runtime.descriptor_watch import ready_now


class OpenConnection(Protocol):
    """The attributes of a client's connection that tell whether its client has left."""

    @property
    def transport(self) -> asyncio.Transport | None:
        """The transport; None before the connection is made."""

    def is_closed(self) -> bool:
        """Returns whether this side has closed the connection, or knows of its end."""


Connection = TypeVar("Connection", bound=OpenConnection)


def connections_left(connections: Iterable[Connection]) -> list[Connection]:
    """Returns the connections that are closed, or whose clients have closed them or their sending side.

    The end of the connection may wait unread in the kernel: after a stall of the event loop, or while reading is
    paused, the kernel may hold both requests and the end that followed them. One system call checks all connections. If
    it fails, a message is accepted that its client may have given up, which does no harm.
    """
    hangup_poll = select.poll()
    open_connections = {}
    left = []
    for connection in connections:
        if connection.is_closed():
            left.append(connection)
            continue
        number = descriptor(connection.transport)
        if number >= 0:
            open_connections[number] = connection
            hangup_poll.register(number, select.POLLRDHUP)
    ended = (ready_now(hangup_poll) or ()) if open_connections else ()
    return left + [open_connections[number] for number, _ in ended]
