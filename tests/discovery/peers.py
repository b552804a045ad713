"""Discovery that answers when a test says so."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from forwarder.config.config import Address
from tests.sockets import read_message


class QuestionedDiscovery:
    """Discovery of one test: its questions wait until a step answers them."""

    def __init__(self) -> None:
        self.questions: asyncio.Queue[tuple[str, asyncio.StreamWriter]] = asyncio.Queue()

    async def start(self) -> QuestionedDiscovery:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.where = Address(*self.server.sockets[0].getsockname())
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, _, _ = await read_message(reader)
                self.questions.put_nowait((first.split(" ")[1], writer))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()


def json_answer(**told: Any) -> bytes:
    body = json.dumps(told).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
