"""Endpoints and clients for the streaming tests. A test controls every byte that they send."""

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

Handler = Callable[["ReceivedRequest"], Awaitable[None]]
CHUNKED_FIELD = "Transfer-Encoding: chunked\r\n"


async def read_chunk(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Reads one chunk. The last chunk is empty and is the only one with trailers."""
    size, trailers = int(await reader.readuntil(b"\r\n"), 16), b""
    data = await reader.readexactly(size)
    if size:
        await reader.readexactly(2)
    else:
        while (line := await reader.readuntil(b"\r\n")) != b"\r\n":
            trailers += line
    return data, trailers


class ReceivedRequest:
    """A request received by an endpoint. Its body is read on demand."""

    def __init__(self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.head, self.reader, self.writer = head, reader, writer
        self.request_line, *lines = head[:-4].decode("latin-1").split("\r\n")
        self.fields = [(k, v.strip()) for k, _, v in (line.partition(":") for line in lines)]
        self.headers = {k.lower(): v for k, v in self.fields}
        self.body = bytearray()
        self.complete = False
        self.truncated = False

    async def read_body(self, max_bytes: int = 1 << 30) -> bytearray:
        """Reads the body to its end, or until at least `max_bytes` were received. Returns what was received."""
        try:
            if "chunked" in self.headers.get("transfer-encoding", ""):
                while len(self.body) < max_bytes and not self.complete:
                    data, self.trailers = await read_chunk(self.reader)
                    self.body += data
                    self.complete = not data
            else:
                length = int(self.headers.get("content-length", 0))
                while len(self.body) < min(length, max_bytes):
                    data = await self.reader.read(min(length, max_bytes) - len(self.body))
                    if not data:
                        raise asyncio.IncompleteReadError(bytes(self.body), length)
                    self.body += data
                self.complete = len(self.body) == length
        except (asyncio.IncompleteReadError, ConnectionError):
            self.truncated = True
        return self.body

    async def send(self, data: str | bytes) -> None:
        self.writer.write(data.encode("latin-1") if isinstance(data, str) else data)
        await self.writer.drain()

    async def respond(self, body: bytes | bytearray = b"", status: str = "200 OK", headers: str = "") -> None:
        await self.send(f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    def reset(self) -> None:
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


def limit_receive_buffer(sock: socket.socket) -> socket.socket:
    """Limits the data that the kernel buffers for a slow reader, independent of the settings of the machine."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    return sock


class Endpoint(Watched):
    """An HTTP server. Its handler reads each request and writes the response, or fails to do so."""

    def __init__(self, handler: Handler) -> None:
        super().__init__()
        self.handler = handler
        self.requests: list[ReceivedRequest] = []
        self.finished_requests: list[ReceivedRequest] = []
        self.connection_count = 0
        self.open_connections = 0

    async def start(self) -> Endpoint:
        sock = limit_receive_buffer(socket.create_server(("127.0.0.1", 0)))
        self.server = await asyncio.start_server(self.serve, sock=sock)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self

    async def wait_for_requests(self, count: int) -> list[ReceivedRequest]:
        await self.wait_until(lambda: len(self.requests) >= count)
        return self.requests

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        self.open_connections += 1
        try:
            while not writer.is_closing():
                request = ReceivedRequest(await reader.readuntil(b"\r\n\r\n"), reader, writer)
                self.requests.append(request)
                await self.notify_all()
                try:
                    await self.handler(request)
                finally:
                    self.finished_requests.append(request)
                    await self.notify_all()
                if not request.complete and request.headers.get("content-length", "0") != "0":
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open_connections -= 1
            writer.close()
            await self.notify_all()


async def start_streaming_node(
    folder: Path,
    platform: Platform,
    settings: dict[str, Any] | None = None,
    other_tables: str = "",
    **node_options: Any,
) -> tuple[Node, int]:
    """Starts a node with streaming enabled. Returns the node and the port for streams."""
    node = Node(folder, platform, **node_options)
    port = free_port(node.host)
    rows = {"listen": f'"{node.host}:{port}"', "memory_bytes": 1_000_000, "buffer_bytes": 4096}
    rows |= settings or {}
    text = "[streaming]\n" + "".join(f"{k} = {v}\n" for k, v in rows.items())
    (folder / "parts.toml").write_text(text + other_tables)
    node.arguments = ["--parts", str(folder / "parts.toml")]
    await node.start()
    return node, port


class StreamClient:
    """A client that opens streams."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.head = ""

    @classmethod
    async def connect(cls, node: Node, port: int, **reader_options: Any) -> StreamClient:
        sock = limit_receive_buffer(socket.socket())
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (node.host, port))
        return cls(*await asyncio.open_connection(sock=sock, **reader_options))

    def send_request(
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

    async def read_status(self) -> int:
        """Reads the head of the next response. Returns its status."""
        async with asyncio.timeout(PATIENCE):
            self.head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        return int(self.head.split(" ", 2)[1])

    def header(self, name: str) -> str | None:
        for line in self.head.split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.lower() == name.lower():
                return value.strip()
        return None

    async def read_chunk(self) -> bytes:
        """Reads one chunk. The last one is empty, and its trailers are stored in `trailers`."""
        async with asyncio.timeout(PATIENCE):
            data, self.trailers = await read_chunk(self.reader)
            return data

    async def read_body(self) -> bytes:
        """Reads the body of the response according to its framing."""
        async with asyncio.timeout(PATIENCE):
            if self.header("Transfer-Encoding") == "chunked":
                return b"".join([data async for data in self.read_chunks()])
            length = self.header("Content-Length")
            return await (self.reader.read() if length is None else self.reader.readexactly(int(length)))

    async def read_chunks(self) -> Any:
        while data := await self.read_chunk():
            yield data

    async def read_response(self) -> tuple[int, bytes]:
        return await self.read_status(), await self.read_body()

    async def read_until_close(self) -> bytes:
        """Reads until the connection is closed. Raises ConnectionResetError if it is reset."""
        async with asyncio.timeout(PATIENCE):
            return await self.reader.read()

    def close(self) -> None:
        self.writer.close()
