"""Sockets whose connection outlasts a passing shortage of this machine."""

from __future__ import annotations

import asyncio
import socket

from forwarder.config.config import Address
from forwarder.runtime.retrying_socket import connect


def test_small_writes_on_a_connection_that_was_made_are_not_held_back() -> None:
    """Guards against calls that wait for the acknowledgement of what was written before."""

    async def scene() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            sockets = []
            await connect(lambda sock: sockets.append(sock) or asyncio.Protocol(), Address(*listener.getsockname()))
            assert sockets[0].getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            sockets[0].close()

    asyncio.run(scene())
