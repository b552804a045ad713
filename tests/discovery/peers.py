"""A discovery server whose answers a test writes by hand."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from forwarder.config.config import Address
from tests.sockets import read_message


class ManualDiscovery:
    """A discovery server that queues its requests until the test answers them."""

    def __init__(self) -> None:
        self.requests: asyncio.Queue[tuple[str, asyncio.StreamWriter]] = asyncio.Queue()

    async def start(self) -> ManualDiscovery:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = Address(*self.server.sockets[0].getsockname())
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request_line, _, _ = await read_message(reader)
                self.requests.put_nowait((request_line.split(" ")[1], writer))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()


def json_response(**fields: Any) -> bytes:
    body = json.dumps(fields).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
