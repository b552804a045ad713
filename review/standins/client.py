"""Sound clients (PROTOCOL): one request at a time on a connection, and 400 ms for the answer."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass

from standins.http import read_http
from standins.record import Record

ANSWER_TIMEOUT_S = 0.4


@dataclass(slots=True)
class Handed:
    """A message that was handed in."""

    id: str
    due_s: float
    """Its deadline, in the seconds of the record."""
    status: int = 0
    """The status of the answer; 0 for none in time."""


class Client:
    """Hands messages in, on one kept connection."""

    numbers = itertools.count(1)

    def __init__(self, address: tuple[str, int], record: Record) -> None:
        self.address = address
        self.record = record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def hand_in(
        self, class_name: str, destination: int, time_left_s: float, body: bytes = b"x", key: str | None = None
    ) -> Handed:
        """Hands in one message under a fresh id, and waits for the answer."""
        number = next(self.numbers)
        handed = Handed(f"{number:016x}", self.record.now_s() + time_left_s)
        lines = [
            f"POST /{class_name} HTTP/1.1",
            "Host: origin.svc",
            f"X-Correlation-Id: {handed.id}",
            f"X-Time-Left: {time_left_s:.3f}",
            f"X-Addressing: dest={destination}",
            f"Content-Length: {len(body)}",
        ]
        if key is not None:
            lines.append(f"X-Session-Key: {key}")
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(*self.address)
                reader, writer = self._streams
                handed.due_s = self.record.now_s() + time_left_s  # counts from when it is sent (PROTOCOL)
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                answer = await read_http(reader)
                if answer is not None:
                    handed.status = int(answer.first_line.split(" ")[1])
                if answer is None or answer.headers.get("connection") == "close":
                    self.close()
        except (OSError, asyncio.IncompleteReadError):
            self.close()
        self.record.note(f"handed in {handed.id} for {destination}: {handed.status or 'no answer'}")
        return handed

    def close(self) -> None:
        """Closes the connection; the next message opens a new one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
