"""Reading HTTP/1.1 requests and answers from asyncio streams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(slots=True)
class Received:
    """A request or an answer."""

    first_line: str
    headers: dict[str, str]
    """Header values by lower-case name."""
    body: bytes


async def read_http(reader: asyncio.StreamReader) -> Received | None:
    """Reads one request or answer with a Content-Length; None if the connection ends before it begins.

    Raises:
        asyncio.IncompleteReadError: the connection ends in the middle.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    first_line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Received(first_line, headers, body)


def answer_bytes(status: int, reason: str, body: bytes = b"", **headers: str) -> bytes:
    """Returns the bytes of an answer; an underscore in a header's name stands for a hyphen."""
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
