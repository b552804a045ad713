"""Measures streaming on this machine: memory, time to the first byte, throughput, what messages feel of it.

    python -m benchmarks.streaming [memory|speed|messages ...]

Each question is played in interleaved pairs, with and without what is asked about; medians and spreads are
printed. The endpoints and the clients are plain blocking sockets, the endpoints in a process of their own.
"""

from __future__ import annotations

import asyncio
import contextlib
import multiprocessing
import os
import socket
import statistics
import sys
import tempfile
import threading
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path

from tests.sockets import SETTINGS, Node, Platform, message, own_host
from tests.streams import streaming

MIB = 1 << 20
PAIRS = 5
BLOCK = bytes(256 * 1024)
TABLE = {"memory_bytes": 16_000_000, "buffer_bytes": 65_536}


Heard = multiprocessing.SimpleQueue  # of the id of a message and when its call came
Scene = tuple[Node, tuple[str, int], int, "Heard[tuple[str, float]]"]


def endpoint(ready: multiprocessing.SimpleQueue[int], heard: Heard[tuple[str, float]]) -> None:
    """GET /N is answered with N bytes, /slow with bytes without end while nothing is read. What is sent
    otherwise is read, and messages are answered at once.
    """
    server = socket.create_server(("127.0.0.1", 0), backlog=256)
    ready.put(server.getsockname()[1])
    while True:
        conn, _ = server.accept()
        threading.Thread(target=serve, args=(conn, heard), daemon=True).start()


def serve(conn: socket.socket, heard: Heard[tuple[str, float]]) -> None:
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    data = b""
    with conn, contextlib.suppress(OSError):
        while True:
            while b"\r\n\r\n" not in data:
                more = conn.recv(65_536)
                if not more:
                    return
                data += more
            head, _, data = data.partition(b"\r\n\r\n")
            path = head.split(b" ")[1]
            if path.startswith(b"/slow"):
                conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (1 << 40))
                with contextlib.suppress(OSError):
                    while True:
                        conn.sendall(BLOCK)
            length = next(
                (
                    int(line.split(b":")[1])
                    for line in head.split(b"\r\n")
                    if line.lower().startswith(b"content-length")
                ),
                0,
            )
            left = length - len(data)
            data = b""
            buffer = bytearray(256 * 1024)
            while left > 0:
                got = conn.recv_into(buffer, min(left, len(buffer)))
                if not got:
                    return
                left -= got
            if path == b"/hook":
                name = next(line for line in head.split(b"\r\n") if line.startswith(b"X-Correlation-Id"))
                heard.put((name.split(b" ")[1].decode(), time.perf_counter()))
            size = int(path[1:]) if path[1:].isdigit() else 0
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            while size > 0:
                conn.sendall(BLOCK[:size])
                size -= min(size, len(BLOCK))


def request(conn: socket.socket, method: str, size: int) -> tuple[float, float]:
    """One transfer. Returns the seconds to the answer's first byte and to its last."""
    begun = time.perf_counter()
    path, length = (f"/{size}", 0) if method == "GET" else ("/0", size)
    conn.sendall(
        f"{method} {path} HTTP/1.1\r\nHost: x\r\nX-Addressing: dest=7\r\nContent-Length: {length}\r\n\r\n".encode()
    )
    while length > 0:
        conn.sendall(BLOCK[:length])
        length -= min(length, len(BLOCK))
    buffer = bytearray(256 * 1024)
    data = conn.recv(65_536)
    first = time.perf_counter() - begun
    while b"\r\n\r\n" not in data:
        data += conn.recv(65_536)
    head, _, rest = data.partition(b"\r\n\r\n")
    assert b" 200 " in head.split(b"\r\n")[0], head
    left = (size if method == "GET" else 0) - len(rest)
    while left > 0:
        got = conn.recv_into(buffer)
        assert got, "cut"
        left -= got
    return first, time.perf_counter() - begun


def transfer(where: tuple[str, int], method: str, size: int) -> tuple[float, float]:
    with socket.create_connection(where) as conn:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return request(conn, method, size)


@contextlib.asynccontextmanager
async def scene(slots: int = 32) -> AsyncIterator[Scene]:
    """A node with streaming, the address of its streams, the endpoint's port, and what it hears of messages.
    All destinations from 7 to 30 are the same endpoint.
    """
    ready: multiprocessing.SimpleQueue[int] = multiprocessing.SimpleQueue()
    heard: Heard[tuple[str, float]] = multiprocessing.SimpleQueue()
    process = multiprocessing.Process(target=endpoint, args=(ready, heard), daemon=True)
    process.start()
    port = ready.get()
    SETTINGS["family_info"]["slots"] = slots
    platform = Platform()
    await platform.start()
    for n in range(7, 31):
        platform.host(f"s{n}", port, block=n)
    with tempfile.TemporaryDirectory() as folder:
        node, door = await streaming(Path(folder), platform, dict(TABLE))
        try:
            yield node, (node.host, door), port, heard
        finally:
            await node.end()
            process.kill()


def peak_kb(node: Node) -> int:
    text = Path(f"/proc/{node.process.pid}/status").read_text()
    return next(int(line.split()[1]) for line in text.splitlines() if line.startswith("VmHWM"))


def shown(name: str, values: list[float], unit: str, digits: int = 2) -> None:
    print(
        f"{name:58} median {statistics.median(values):.{digits}f} {unit}, "
        f"{min(values):.{digits}f} to {max(values):.{digits}f} ({len(values)})",
        flush=True,
    )


async def memory() -> None:
    """Peak resident memory against the size of what passes, each in a new process."""
    sizes = (1 * MIB, 100 * MIB, 1024 * MIB)
    found: dict[tuple[str, int], list[float]] = {}
    for _ in range(PAIRS):
        for method in ("GET", "POST"):
            for size in sizes:
                async with scene() as (node, door, *_):
                    before = peak_kb(node)
                    await asyncio.to_thread(transfer, door, method, size)
                    found.setdefault((method, size), []).append((peak_kb(node) - before) / 1000)
    for (method, size), values in found.items():
        shown(f"peak memory over that before, {method} {size // MIB} MiB", values, "MB")
    blocked = []
    for _ in range(PAIRS):
        async with scene() as (node, door, *_):
            before = peak_kb(node)
            held = []
            for n in range(12):
                conn = socket.create_connection(door)
                conn.sendall(
                    f"POST /slow HTTP/1.1\r\nHost: x\r\nX-Addressing: dest={7 + n}\r\n"
                    f"Content-Length: {1 << 40}\r\n\r\n".encode()
                )
                conn.setblocking(False)
                held.append(conn)
            until = time.monotonic() + 4
            while time.monotonic() < until:  # all send as much as is taken, and read nothing
                for conn in held:
                    with contextlib.suppress(BlockingIOError):
                        conn.send(BLOCK)
                await asyncio.sleep(0.001)
            blocked.append((peak_kb(node) - before) / 1000)
            print("   ", (await node.call(b"STREAMS\n")).strip(), flush=True)
            for conn in held:
                conn.close()
    shown("peak memory over that before, 12 streams blocked both ways", blocked, "MB")


async def speed() -> None:
    """Time to the first byte and throughput, through the forwarder and straight to the endpoint, in turn."""
    async with scene() as (_, door, port, _):
        straight = ("127.0.0.1", port)
        first: dict[str, list[float]] = {"through": [], "straight": []}
        for _ in range(50 * PAIRS):
            for name, where in (("through", door), ("straight", straight)):
                first[name].append((await asyncio.to_thread(transfer, where, "GET", 1))[0] * 1000)
        for name, values in first.items():
            shown(f"time to the first byte, {name}", values, "ms")
        for method in ("GET", "POST"):
            shares, rates = [], []
            for _ in range(PAIRS):
                took = {
                    name: (await asyncio.to_thread(transfer, where, method, 512 * MIB))[1]
                    for name, where in (("through", door), ("straight", straight))
                }
                shares.append(took["straight"] / took["through"])
                rates.append(512 / took["through"])
            shown(f"throughput of {method} as a share of that straight to the endpoint", shares, "")
            shown(f"throughput of {method}", rates, "MiB/s", 0)


async def messages() -> None:
    """Time to 202 and to delivery of messages, with full streaming beside them and without, in turn."""
    async with scene() as (node, door, _, heard):
        stop = threading.Event()

        def stream(dest: int) -> None:
            with socket.create_connection(door) as conn:
                while not stop.is_set():
                    try:
                        request(conn, "GET", 64 * MIB)
                    except (AssertionError, OSError):
                        return

        for load in (1, 4, 12):
            took: dict[str, list[float]] = {"without": [], "with": []}
            sent: dict[str, tuple[str, float]] = {}
            for n in range(2 * PAIRS):
                name = "with" if n % 2 else "without"
                stop.clear()
                threads = [threading.Thread(target=stream, args=(7 + k,)) for k in range(load if n % 2 else 0)]
                for thread in threads:
                    thread.start()
                    time.sleep(0.05)
                await asyncio.sleep(0.3)
                client = await node.client()
                for k in range(60):
                    begun = time.perf_counter()
                    sent[f"{load}-{n}-{k}"] = (name, begun)
                    client.writer.write(message(f"{load}-{n}-{k}", "status", dest=20))
                    status, _ = await client.answer()
                    assert status == 202, status
                    took[name].append((time.perf_counter() - begun) * 1000)
                    await asyncio.sleep(0.01)
                client.writer.close()
                stop.set()
                for thread in threads:
                    await asyncio.to_thread(thread.join)
            delivered: dict[str, list[float]] = {"without": [], "with": []}
            while sent:
                ident, at = await asyncio.to_thread(heard.get)
                name, begun = sent.pop(ident)
                delivered[name].append((at - begun) * 1000)
            for name, values in delivered.items():
                shown(f"time to delivery {name} {load} streams", values, "ms")
            for name, values in took.items():
                values.sort()
                shown(f"time to 202 {name} {load} streams", values, "ms")
                print(f"{'':58} p99 {values[int(0.99 * len(values))]:.2f} ms", flush=True)


PARTS: dict[str, Callable[[], object]] = {"memory": memory, "speed": speed, "messages": messages}

if __name__ == "__main__":
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}, host {own_host().rpartition('.')[0]}.x")
    for part in sys.argv[1:] or list(PARTS):
        print(f"-- {part}: {PARTS[part].__doc__}")
        asyncio.run(PARTS[part]())  # type: ignore[arg-type]
