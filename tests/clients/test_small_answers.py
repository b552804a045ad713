"""Tests answers to requests that arrived together on a connection that is closed after them."""

from __future__ import annotations

import asyncio
import re
import socket

import pytest

from forwarder.clients.listener import bind
from forwarder.clients.server import ClientServer
from forwarder.config.config import Address
from forwarder.protocol.settings_format import parse_settings
from forwarder.storage.clock import Clock
from tests.clients.peers import reject_all
from tests.nodes import SETTINGS
from tests.sockets import PATIENCE

REQUEST = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
LAST_REQUEST = b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
EXCHANGES = 40
"""Number of exchanges after which the client's kernel delays acknowledgements, since it expects to send data itself."""


def exchange(sock: socket.socket) -> None:
    sock.sendall(REQUEST)
    assert b"200 OK" in sock.recv(4096)


def read_to_end(sock: socket.socket) -> bytes:
    data = b""
    try:
        while piece := sock.recv(4096):
            data += piece
    except ConnectionResetError:
        pass
    return data


@pytest.mark.parametrize("together", [2, 4])
def test_answers_reach_a_client_whose_connection_is_reset_after_them(together: int) -> None:
    """Guards against `lost`: a reset at the close discarded small answers that the kernel had held back."""

    async def scene() -> None:
        server = ClientServer(parse_settings(SETTINGS), Clock(), 10, reject_all)
        sock = await bind(Address("127.0.0.1", 0))
        server.listen(sock)
        client = socket.create_connection(sock.getsockname())
        client.settimeout(PATIENCE)
        for _ in range(EXCHANGES):
            await asyncio.to_thread(exchange, client)
        (connection,) = server.connections
        assert connection.transport is not None
        connection.transport.pause_reading()
        client.sendall(REQUEST * (together - 1) + LAST_REQUEST)
        await asyncio.sleep(0.1)
        buffer = connection.get_buffer(-1)[: len(REQUEST) * (together - 1) + len(LAST_REQUEST)]
        received_bytes = connection.transport.get_extra_info("socket")._sock.recv_into(buffer)
        client.sendall(REQUEST)  # never read: the connection is closed after the last answer
        await asyncio.sleep(0.05)
        connection.buffer_updated(received_bytes)
        answers = await asyncio.to_thread(read_to_end, client)
        assert len(re.findall(rb"HTTP/1.1 200", answers)) == together
        client.close()
        server.close()

    asyncio.run(scene())
