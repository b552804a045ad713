"""The endpoint of `benchmarks.streaming`: plain blocking sockets, with a thread for each connection."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from dataclasses import dataclass
from multiprocessing.queues import SimpleQueue

BLOCK = bytes(256 * 1024)
READ_BYTES = 65_536
HEAD_END = b"\r\n\r\n"
ENDLESS_BYTES = 1 << 40
"""The content length of a body that is never sent completely."""


@dataclass(frozen=True, slots=True)
class ReceivedMessage:
    """A message that the endpoint has received, and the time at which it came."""

    message_id: str
    at_s: float
    """Seconds by `time.perf_counter`, which all processes of a machine share."""


ReceivedMessages = SimpleQueue[ReceivedMessage]


@dataclass(frozen=True, slots=True)
class Head:
    """The parts of a request's head that the endpoint uses."""

    path: bytes
    content_length: int
    message_id: str


def parse_head(head: bytes) -> Head:
    """Parse a request's head."""
    first, *lines = head.split(b"\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(b":") for line in lines)}
    return Head(
        path=first.split(b" ")[1],
        content_length=int(headers.get(b"content-length", 0)),
        message_id=headers.get(b"x-correlation-id", b"").decode(),
    )


def discard(sock: socket.socket, size: int) -> bool:
    """Read and discard `size` bytes. Returns whether all of them came before the connection ended."""
    buffer = bytearray(len(BLOCK))
    while size > 0:
        received = sock.recv_into(buffer, min(size, len(buffer)))
        if not received:
            return False
        size -= received
    return True


def serve_endpoint(ready: SimpleQueue[int], received: ReceivedMessages) -> None:
    """Serve until the process ends.

    GET /N is answered with N bytes. A request for /slow is answered with endless bytes, and its body is not read. Any
    other request is read to its end and answered at once with an empty body; messages come at /hook.

    Args:
        ready: Receives the port on which the endpoint listens.
        received: Receives each message.
    """
    server = socket.create_server(("127.0.0.1", 0), backlog=256)
    ready.put(server.getsockname()[1])
    while True:
        sock, _ = server.accept()
        threading.Thread(target=serve_connection, args=(sock, received), daemon=True).start()


def serve_connection(sock: socket.socket, received: ReceivedMessages) -> None:
    """Answer the requests of one connection until it ends."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    data = b""
    with sock, contextlib.suppress(OSError):
        while True:
            while HEAD_END not in data:
                more = sock.recv(READ_BYTES)
                if not more:
                    return
                data += more
            head_bytes, _, body = data.partition(HEAD_END)
            data = b""
            head = parse_head(head_bytes)
            if head.path.startswith(b"/slow"):
                _send_endless_body(sock)
            if not discard(sock, head.content_length - len(body)):
                return
            if head.path == b"/hook":
                received.put(ReceivedMessage(head.message_id, time.perf_counter()))
            _answer(sock, head.path)


def _send_endless_body(sock: socket.socket) -> None:
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ENDLESS_BYTES)
    with contextlib.suppress(OSError):
        while True:
            sock.sendall(BLOCK)


def _answer(sock: socket.socket, path: bytes) -> None:
    size = int(path[1:]) if path[1:].isdigit() else 0
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
    while size > 0:
        sock.sendall(BLOCK[:size])
        size -= min(size, len(BLOCK))
