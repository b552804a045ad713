"""Measures streaming on this machine: memory, time to the first byte, throughput, and the effect on messages.

    python -m benchmarks.streaming [memory|speed|messages ...]

`speed` and `messages` run in interleaved pairs: through the forwarder and directly to the endpoint, or with streams and
without. Medians and ranges are printed. The clients and the endpoint use plain blocking sockets; the endpoint runs in a
separate process (`benchmarks.streaming_endpoint`).
"""

from __future__ import annotations

import asyncio
import contextlib
import multiprocessing
import os
import socket
import sys
import tempfile
import threading
import time
from collections import defaultdict
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass
from multiprocessing.queues import SimpleQueue
from pathlib import Path

from benchmarks.streaming_endpoint import (
    BLOCK,
    ENDLESS_BYTES,
    HEAD_END,
    READ_BYTES,
    ReceivedMessages,
    discard,
    serve_endpoint,
)
from benchmarks.summary import percentile, print_values
from tests.nodes import SETTINGS, Node, message
from tests.platforms import Platform
from tests.sockets import own_host
from tests.streaming.peers import start_streaming_node

MIB = 1 << 20
PAIRS = 5
NAME_WIDTH = 58
STREAMING_SETTINGS = {"memory_bytes": 16_000_000, "buffer_bytes": 65_536}
FIRST_DESTINATION = 7
LAST_DESTINATION = 30
MESSAGE_DESTINATION = 20
BLOCKED_STREAMS = 12
BLOCKED_S = 4.0
MESSAGES_PER_PART = 60
"""Messages that are submitted in one half of a pair."""
STREAM_BYTES = 64 * MIB
THROUGHPUT_MIB = 512
START_PAUSE_S = 0.05
SETTLE_S = 0.3
MESSAGE_PAUSE_S = 0.01

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Scene:
    """A forwarder with streaming, and its endpoint."""

    node: Node
    streams: Address
    """The address at which the forwarder accepts streams."""
    endpoint: Address
    received: ReceivedMessages
    """The messages that the endpoint has received."""


@dataclass(frozen=True, slots=True)
class Transfer:
    """The time from the start of a request to the first and to the last byte of its response, in seconds."""

    first_byte_s: float
    last_byte_s: float


def request(sock: socket.socket, method: str, size: int) -> Transfer:
    """Send one request and read its response.

    Args:
        sock: The connection.
        method: GET for a download, POST for an upload.
        size: The size in bytes of the body that is uploaded or downloaded.
    """
    began_s = time.perf_counter()
    is_download = method == "GET"
    path, to_send = (f"/{size}", 0) if is_download else ("/0", size)
    sock.sendall(
        f"{method} {path} HTTP/1.1\r\nHost: x\r\nX-Addressing: dest={FIRST_DESTINATION}\r\n"
        f"Content-Length: {to_send}\r\n\r\n".encode()
    )
    while to_send > 0:
        sock.sendall(BLOCK[:to_send])
        to_send -= min(to_send, len(BLOCK))
    data = sock.recv(READ_BYTES)
    first_byte_s = time.perf_counter() - began_s
    while HEAD_END not in data:
        data += sock.recv(READ_BYTES)
    head, _, body = data.partition(HEAD_END)
    assert b" 200 " in head.split(b"\r\n")[0], head
    is_complete = discard(sock, (size if is_download else 0) - len(body))
    assert is_complete, "the connection ended before the end of the body"
    return Transfer(first_byte_s, time.perf_counter() - began_s)


def transfer(address: Address, method: str, size: int) -> Transfer:
    """Send one request on a new connection and read its response."""
    with socket.create_connection(address) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return request(sock, method, size)


@contextlib.asynccontextmanager
async def make_scene(slots: int = 32) -> AsyncIterator[Scene]:
    """Start a forwarder and an endpoint that serves every destination from 7 to 30."""
    ready: SimpleQueue[int] = multiprocessing.SimpleQueue()
    received: ReceivedMessages = multiprocessing.SimpleQueue()
    process = multiprocessing.Process(target=serve_endpoint, args=(ready, received), daemon=True)
    process.start()
    port = ready.get()
    SETTINGS["family_info"]["slots"] = slots
    platform = Platform()
    await platform.start()
    for destination in range(FIRST_DESTINATION, LAST_DESTINATION + 1):
        platform.add_endpoint(f"s{destination}", port, block=destination)
    with tempfile.TemporaryDirectory() as folder:
        node, stream_port = await start_streaming_node(Path(folder), platform, dict(STREAMING_SETTINGS))
        try:
            yield Scene(node, (node.host, stream_port), ("127.0.0.1", port), received)
        finally:
            await node.end()
            process.kill()


def peak_kb(node: Node) -> int:
    """Return the peak resident memory of a forwarder, in kB."""
    status = Path(f"/proc/{node.process.pid}/status").read_text()
    return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))


# Memory


async def memory() -> None:
    """Growth of the peak resident memory by the size of a transfer, each in a new process."""
    sizes = (1 * MIB, 100 * MIB, 1024 * MIB)
    growth_mb: defaultdict[tuple[str, int], list[float]] = defaultdict(list)
    for _ in range(PAIRS):
        for method in ("GET", "POST"):
            for size in sizes:
                growth_mb[(method, size)].append(await _transfer_growth_mb(method, size))
    for (method, size), values in growth_mb.items():
        print_values(f"growth of peak memory, {method} {size // MIB} MiB", values, "MB", 2, NAME_WIDTH)
    blocked_mb = [await _blocked_growth_mb() for _ in range(PAIRS)]
    print_values("growth of peak memory, 12 streams blocked both ways", blocked_mb, "MB", 2, NAME_WIDTH)


async def _transfer_growth_mb(method: str, size: int) -> float:
    async with make_scene() as scene:
        before_kb = peak_kb(scene.node)
        await asyncio.to_thread(transfer, scene.streams, method, size)
        return (peak_kb(scene.node) - before_kb) / 1000


async def _blocked_growth_mb() -> float:
    """Return the growth with streams whose two ends send as much as the forwarder accepts and read nothing."""
    async with make_scene() as scene:
        before_kb = peak_kb(scene.node)
        blocked = [_open_blocked_stream(scene, number) for number in range(BLOCKED_STREAMS)]
        until_s = time.monotonic() + BLOCKED_S
        while time.monotonic() < until_s:
            for sock in blocked:
                with contextlib.suppress(BlockingIOError):
                    sock.send(BLOCK)
            await asyncio.sleep(0.001)
        growth_mb = (peak_kb(scene.node) - before_kb) / 1000
        print("   ", (await scene.node.call(b"STREAMS\n")).strip(), flush=True)
        for sock in blocked:
            sock.close()
        return growth_mb


def _open_blocked_stream(scene: Scene, number: int) -> socket.socket:
    sock = socket.create_connection(scene.streams)
    sock.sendall(
        f"POST /slow HTTP/1.1\r\nHost: x\r\nX-Addressing: dest={FIRST_DESTINATION + number}\r\n"
        f"Content-Length: {ENDLESS_BYTES}\r\n\r\n".encode()
    )
    sock.setblocking(False)
    return sock


# Speed


async def speed() -> None:
    """Time to the first byte and throughput, alternately through the forwarder and directly to the endpoint."""
    async with make_scene() as scene:
        addresses = {"forwarded": scene.streams, "direct": scene.endpoint}
        first_byte_ms: defaultdict[str, list[float]] = defaultdict(list)
        for _ in range(50 * PAIRS):
            for name, address in addresses.items():
                took = await asyncio.to_thread(transfer, address, "GET", 1)
                first_byte_ms[name].append(took.first_byte_s * 1000)
        for name, values in first_byte_ms.items():
            print_values(f"time to the first byte, {name}", values, "ms", 2, NAME_WIDTH)
        for method in ("GET", "POST"):
            await _measure_throughput(addresses, method)


async def _measure_throughput(addresses: dict[str, Address], method: str) -> None:
    shares = []
    rates_mib_s = []
    for _ in range(PAIRS):
        took_s = {}
        for name, address in addresses.items():
            took = await asyncio.to_thread(transfer, address, method, THROUGHPUT_MIB * MIB)
            took_s[name] = took.last_byte_s
        shares.append(took_s["direct"] / took_s["forwarded"])
        rates_mib_s.append(THROUGHPUT_MIB / took_s["forwarded"])
    label = f"throughput of {method}, forwarded relative to direct"
    print_values(label, shares, "", 2, NAME_WIDTH)
    print_values(f"throughput of {method}", rates_mib_s, "MiB/s", 0, NAME_WIDTH)


# Messages


async def messages() -> None:
    """Time from a submission to its 202 and to the delivery, alternately with continuous downloads and without."""
    async with make_scene() as scene:
        for streams in (1, 4, 12):
            await _measure_messages(scene, streams)


class StreamLoad:
    """Threads that download continuously, each on its own connection."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.stop = threading.Event()
        self.threads: list[threading.Thread] = []

    async def start(self, streams: int) -> None:
        """Start this many threads, one after another, and wait a moment for a steady load."""
        self.stop.clear()
        self.threads = [threading.Thread(target=self._download) for _ in range(streams)]
        for thread in self.threads:
            thread.start()
            await asyncio.sleep(START_PAUSE_S)
        await asyncio.sleep(SETTLE_S)

    async def end(self) -> None:
        """Stop all threads and wait for their end."""
        self.stop.set()
        for thread in self.threads:
            await asyncio.to_thread(thread.join)

    def _download(self) -> None:
        with socket.create_connection(self.address) as sock:
            while not self.stop.is_set():
                try:
                    request(sock, "GET", STREAM_BYTES)
                except (AssertionError, OSError):
                    return


@dataclass(frozen=True, slots=True)
class SentMessage:
    """A submitted message: its group, `with` or `without` streams, and the time of its submission."""

    group: str
    at_s: float


async def _measure_messages(scene: Scene, streams: int) -> None:
    accepted_ms: dict[str, list[float]] = {"without": [], "with": []}
    delivered_ms: dict[str, list[float]] = {"without": [], "with": []}
    sent: dict[str, SentMessage] = {}
    load = StreamLoad(scene.streams)
    for part in range(2 * PAIRS):
        group = "with" if part % 2 else "without"
        await load.start(streams if part % 2 else 0)
        client = await scene.node.client()
        for number in range(MESSAGES_PER_PART):
            message_id = f"{streams}-{part}-{number}"
            began_s = time.perf_counter()
            sent[message_id] = SentMessage(group, began_s)
            client.writer.write(message(message_id, "status", dest=MESSAGE_DESTINATION))
            status, _ = await client.answer()
            assert status == 202, status
            accepted_ms[group].append((time.perf_counter() - began_s) * 1000)
            await asyncio.sleep(MESSAGE_PAUSE_S)
        client.writer.close()
        await load.end()
    while sent:
        received = await asyncio.to_thread(scene.received.get)
        submitted = sent.pop(received.message_id)
        delivered_ms[submitted.group].append((received.at_s - submitted.at_s) * 1000)
    for group, values in delivered_ms.items():
        print_values(f"time to delivery {group} {streams} streams", values, "ms", 2, NAME_WIDTH)
    for group, values in accepted_ms.items():
        print_values(f"time to 202 {group} {streams} streams", values, "ms", 2, NAME_WIDTH)
        print(f"{'':{NAME_WIDTH}} p99 {percentile(values, 99):.2f} ms", flush=True)


BENCHMARKS: dict[str, Callable[[], Coroutine[None, None, None]]] = {
    "memory": memory,
    "speed": speed,
    "messages": messages,
}


def main() -> None:
    """Run the benchmarks that the command line names, or all."""
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}, host {own_host().rpartition('.')[0]}.x")
    for name in sys.argv[1:] or list(BENCHMARKS):
        print(f"-- {name}: {BENCHMARKS[name].__doc__}")
        asyncio.run(BENCHMARKS[name]())


if __name__ == "__main__":
    main()
