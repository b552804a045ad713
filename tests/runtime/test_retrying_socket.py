"""Sockets whose connections survive a transient lack of memory or buffers on this machine."""

from __future__ import annotations

import asyncio
import socket

from forwarder.config.config import Address
from forwarder.runtime.retrying_socket import connect


def test_small_writes_on_an_established_connection_are_not_delayed() -> None:
    """Guards against requests that wait for the acknowledgement of earlier data (Nagle's algorithm)."""

    async def scene() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            sockets = []
            await connect(lambda sock: sockets.append(sock) or asyncio.Protocol(), Address(*listener.getsockname()))
            assert sockets[0].getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            sockets[0].close()

    asyncio.run(scene())
