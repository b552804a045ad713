"""A client that floods the server with requests, for the tests of client connections and of the server."""

from __future__ import annotations

import asyncio
import socket

from forwarder.clients.client_connection import ClientConnection
from forwarder.clients.listener import bind
from forwarder.clients.server import ClientServer
from forwarder.clients.submission import Submission
from forwarder.config.config import Address

FLOOD = b"POST /nowhere HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" * 200_000
"""About 10 MB, more than all buffers between client and server hold."""


MAX_UNREAD_ANSWER_BYTES = 1 << 20


async def start_flood(server: ClientServer) -> tuple[socket.socket, ClientConnection, asyncio.Task[None]]:
    """Returns a flooding client's socket, the server's connection, which has paused reading, and the sending task."""
    loop = asyncio.get_running_loop()
    server.listen(await bind(Address("127.0.0.1", 0)))
    assert server.listener is not None
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    await loop.sock_connect(sock, ("127.0.0.1", server.listener.address().port))
    sending = asyncio.create_task(loop.sock_sendall(sock, FLOOD))
    while not server.connections:
        await asyncio.sleep(0.005)
    (connection,) = server.connections
    assert connection.transport is not None
    while connection.transport.is_reading() and not sending.done():
        await asyncio.sleep(0.005)
        assert connection.transport.get_write_buffer_size() < MAX_UNREAD_ANSWER_BYTES
    return sock, connection, sending


def reject_all(submission: Submission, connection: ClientConnection) -> None:
    raise AssertionError("a request of the flood was taken for a submission")
