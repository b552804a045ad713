"""Endpoints and clients for the tests of streams: they do just what a test tells them, byte by byte."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from tests.nodes import Node
from tests.platforms import Platform
from tests.sockets import PATIENCE, Watched, free_port

Handler = Callable[["Exchange"], Awaitable[None]]
CHUNKED = "Transfer-Encoding: chunked\r\n"


async def read_chunk(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """One chunk, empty where it is the last, and the trailers, which only the last has."""
    size, trailers = int(await reader.readuntil(b"\r\n"), 16), b""
    data = await reader.readexactly(size)
    if size:
        await reader.readexactly(2)
    else:
        while (line := await reader.readuntil(b"\r\n")) != b"\r\n":
            trailers += line
    return data, trailers


class Exchange:
    """One request at an endpoint, its body still to be read."""

    def __init__(self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.head, self.reader, self.writer = head, reader, writer
        self.first, *lines = head[:-4].decode("latin-1").split("\r\n")
        self.fields = [(k, v.strip()) for k, _, v in (line.partition(":") for line in lines)]
        self.headers = {k.lower(): v for k, v in self.fields}
        self.body = bytearray()
        self.whole = False
        self.cut = False

    async def read(self, most: int = 1 << 30) -> bytearray:
        """The body, to its end or until so much of it has come."""
        try:
            if "chunked" in self.headers.get("transfer-encoding", ""):
                while len(self.body) < most and not self.whole:
                    data, self.trailers = await read_chunk(self.reader)
                    self.body += data
                    self.whole = not data
            else:
                length = int(self.headers.get("content-length", 0))
                while len(self.body) < min(length, most):
                    more = await self.reader.read(min(length, most) - len(self.body))
                    if not more:
                        raise asyncio.IncompleteReadError(bytes(self.body), length)
                    self.body += more
                self.whole = len(self.body) == length
        except (asyncio.IncompleteReadError, ConnectionError):
            self.cut = True
        return self.body

    async def say(self, data: str | bytes) -> None:
        self.writer.write(data.encode("latin-1") if isinstance(data, str) else data)
        await self.writer.drain()

    async def answer(self, body: bytes | bytearray = b"", status: str = "200 OK", headers: str = "") -> None:
        await self.say(f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    def reset(self) -> None:
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


def small(sock: socket.socket) -> socket.socket:
    """Little room in the kernel for what is not read, whatever a machine is set to."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    return sock


class Endpoint(Watched):
    """An HTTP server whose handler reads and answers each request as it likes."""

    def __init__(self, handler: Handler) -> None:
        super().__init__()
        self.handler = handler
        self.exchanges: list[Exchange] = []
        self.ended: list[Exchange] = []
        self.connections = 0
        self.open = 0

    async def start(self) -> Endpoint:
        sock = small(socket.create_server(("127.0.0.1", 0)))
        self.server = await asyncio.start_server(self.serve, sock=sock)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self

    async def wait_for_exchanges(self, count: int) -> list[Exchange]:
        await self.wait_until(lambda: len(self.exchanges) >= count)
        return self.exchanges

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open += 1
        try:
            while not writer.is_closing():
                exchange = Exchange(await reader.readuntil(b"\r\n\r\n"), reader, writer)
                self.exchanges.append(exchange)
                await self.notify_all()
                try:
                    await self.handler(exchange)
                finally:
                    self.ended.append(exchange)
                    await self.notify_all()
                if not exchange.whole and exchange.headers.get("content-length", "0") != "0":
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open -= 1
            writer.close()
            await self.notify_all()


async def start_streaming_node(
    folder: Path, platform: Platform, table: dict[str, Any] | None = None, others: str = "", **more: Any
) -> tuple[Node, int]:
    """A node with streaming turned on, started, and the port of its streams."""
    node = Node(folder, platform, **more)
    port = free_port(node.host)
    rows = {"listen": f'"{node.host}:{port}"', "memory_bytes": 1_000_000, "buffer_bytes": 4096}
    rows |= table or {}
    text = "[streaming]\n" + "".join(f"{k} = {v}\n" for k, v in rows.items())
    (folder / "parts.toml").write_text(text + others)
    node.arguments = ["--parts", str(folder / "parts.toml")]
    await node.start()
    return node, port


class Visitor:
    """A client of streams."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.head = ""

    @classmethod
    async def come(cls, node: Node, port: int, **more: Any) -> Visitor:
        sock = small(socket.socket())
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (node.host, port))
        return cls(*await asyncio.open_connection(sock=sock, **more))

    def ask(
        self,
        method: str = "GET",
        path: str = "/big?x=1",
        headers: str = "",
        body: bytes = b"",
        dest: object = 7,
        version: str = "1.1",
    ) -> None:
        head = f"{method} {path} HTTP/{version}\r\nHost: origin.svc\r\nX-Addressing: dest={dest}\r\n{headers}\r\n"
        self.writer.write(head.encode("latin-1") + body)

    async def answered(self) -> int:
        """The head of the next answer."""
        async with asyncio.timeout(PATIENCE):
            self.head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        return int(self.head.split(" ", 2)[1])

    def header(self, name: str) -> str | None:
        for line in self.head.split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.lower() == name.lower():
                return value.strip()
        return None

    async def chunk(self) -> bytes:
        """One chunk; nothing at the last, whose trailers are left in `trailers`."""
        async with asyncio.timeout(PATIENCE):
            data, self.trailers = await read_chunk(self.reader)
            return data

    async def body(self) -> bytes:
        """The whole body of the answer, by its framing."""
        async with asyncio.timeout(PATIENCE):
            if self.header("Transfer-Encoding") == "chunked":
                return b"".join([data async for data in self.chunks()])
            length = self.header("Content-Length")
            return await (self.reader.read() if length is None else self.reader.readexactly(int(length)))

    async def chunks(self) -> Any:
        while data := await self.chunk():
            yield data

    async def whole(self) -> tuple[int, bytes]:
        return await self.answered(), await self.body()

    async def gone(self) -> bytes:
        """What still comes until the connection ends; raises ConnectionResetError where it is reset."""
        async with asyncio.timeout(PATIENCE):
            return await self.reader.read()

    def close(self) -> None:
        self.writer.close()
