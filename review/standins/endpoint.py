"""A sound endpoint (PROTOCOL): starts a call once its last byte has arrived, and answers each message of it."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

from standins.http import answer_bytes, read_http
from standins.record import Record

Answer = Callable[[list[str], bool, asyncio.StreamWriter], Awaitable[bool]]
"""Writes the answer to a call itself. Called with its ids, whether it is a batch, and the writer.

Returns whether it has answered; the endpoint answers otherwise.
"""


class Endpoint:
    """One endpoint; it counts the calls that have arrived and the messages that have run."""

    def __init__(self, name: str, record: Record, service_s: float = 0.05, answer: Answer | None = None) -> None:
        self.name = name
        self.record = record
        self.service_s = service_s
        self.answer = answer
        self.calls = 0
        self.ran: dict[str, int] = {}
        """How often each message has run."""
        self.arrived: list[tuple[float, str]] = []
        """The seconds of the record and the id of each message that has arrived."""
        self.delivered: dict[str, float] = {}
        """When each message was first answered with a delivery."""
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_http(reader)) is not None:
                is_batch = request.first_line.split(" ")[1] == "/hook/batch"
                if is_batch:
                    ids = [entry["id"] for entry in json.loads(request.body)]
                else:
                    ids = [request.headers["x-correlation-id"]]
                await self._run(ids, is_batch, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _run(self, ids: list[str], is_batch: bool, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        self.record.note(f"call at {self.name}: {' '.join(ids)}")
        self.arrived += [(self.record.now_s(), each) for each in ids]
        for each in ids:
            self.ran[each] = self.ran.get(each, 0) + 1
        await asyncio.sleep(self.service_s)
        if self.answer is not None and await self.answer(ids, is_batch, writer):
            return
        if writer.is_closing():
            self.record.note(f"{self.name}: the connection ended before the answer to {' '.join(ids)}")
            return
        body = json.dumps([{"id": each, "state": "accepted"} for each in ids]).encode() if is_batch else b""
        writer.write(answer_bytes(200, "OK", body))
        await writer.drain()
        self.record.note(f"answer of {self.name}: 200 {' '.join(ids)}")
        for each in ids:
            self.delivered.setdefault(each, self.record.now_s())
