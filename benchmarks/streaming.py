"""Measures streaming on this machine: memory, time to the first byte, throughput, what messages feel of it.

    python -m benchmarks.streaming [memory|speed|messages ...]

Each question is played in interleaved pairs, with and without what is asked about; medians and spreads are
printed. The endpoints and the clients are plain blocking sockets, the endpoints in a process of their own
(`benchmarks.streaming_endpoint`).
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
SETTINGS_TABLE = {"memory_bytes": 16_000_000, "buffer_bytes": 65_536}
FIRST_DESTINATION = 7
LAST_DESTINATION = 30
MESSAGE_DESTINATION = 20
BLOCKED_STREAMS = 12
BLOCKED_S = 4.0
MESSAGES = 60
"""Of one part of a pair."""
STREAM_BYTES = 64 * MIB
THROUGHPUT_MIB = 512
START_PAUSE_S = 0.05
SETTLE_S = 0.3
MESSAGE_PAUSE_S = 0.01

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Scene:
    """A forwarder with streaming, and the endpoint behind it."""

    node: Node
    streams: Address
    """Where the forwarder takes streams."""
    endpoint: Address
    received: ReceivedMessages


@dataclass(frozen=True, slots=True)
class Transfer:
    """The seconds that a transfer took to the answer's first byte and to its last."""

    first_byte_s: float
    last_byte_s: float


def request(sock: socket.socket, method: str, size: int) -> Transfer:
    """Send and read one request.

    Args:
        sock: The connection.
        method: GET for a download, POST for an upload.
        size: Bytes of the body that is sent or asked for.
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
    is_whole = discard(sock, (size if is_download else 0) - len(body))
    assert is_whole, "cut"
    return Transfer(first_byte_s, time.perf_counter() - began_s)


def transfer(address: Address, method: str, size: int) -> Transfer:
    """Send and read one request on a connection of its own."""
    with socket.create_connection(address) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return request(sock, method, size)


@contextlib.asynccontextmanager
async def make_scene(slots: int = 32) -> AsyncIterator[Scene]:
    """Start a forwarder and an endpoint, which stands for every destination from 7 to 30."""
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
        node, stream_port = await start_streaming_node(Path(folder), platform, dict(SETTINGS_TABLE))
        try:
            yield Scene(node, (node.host, stream_port), ("127.0.0.1", port), received)
        finally:
            await node.end()
            process.kill()


def peak_kb(node: Node) -> int:
    """Return the most resident memory that a forwarder has had."""
    status = Path(f"/proc/{node.process.pid}/status").read_text()
    return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))


# Memory


async def memory() -> None:
    """Peak resident memory against the size of what passes, each in a new process."""
    sizes = (1 * MIB, 100 * MIB, 1024 * MIB)
    growth_mb: defaultdict[tuple[str, int], list[float]] = defaultdict(list)
    for _ in range(PAIRS):
        for method in ("GET", "POST"):
            for size in sizes:
                growth_mb[(method, size)].append(await _transfer_growth_mb(method, size))
    for (method, size), values in growth_mb.items():
        print_values(f"peak memory over that before, {method} {size // MIB} MiB", values, "MB", 2, NAME_WIDTH)
    blocked_mb = [await _blocked_growth_mb() for _ in range(PAIRS)]
    print_values("peak memory over that before, 12 streams blocked both ways", blocked_mb, "MB", 2, NAME_WIDTH)


async def _transfer_growth_mb(method: str, size: int) -> float:
    async with make_scene() as scene:
        before_kb = peak_kb(scene.node)
        await asyncio.to_thread(transfer, scene.streams, method, size)
        return (peak_kb(scene.node) - before_kb) / 1000


async def _blocked_growth_mb() -> float:
    """Return the growth under streams whose both ends send as much as is taken, and read nothing."""
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
    """Time to the first byte and throughput, through the forwarder and straight to the endpoint, in turn."""
    async with make_scene() as scene:
        addresses = {"through": scene.streams, "straight": scene.endpoint}
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
        shares.append(took_s["straight"] / took_s["through"])
        rates_mib_s.append(THROUGHPUT_MIB / took_s["through"])
    label = f"throughput of {method} as a share of that straight to the endpoint"
    print_values(label, shares, "", 2, NAME_WIDTH)
    print_values(f"throughput of {method}", rates_mib_s, "MiB/s", 0, NAME_WIDTH)


# Messages


async def messages() -> None:
    """Time to 202 and to delivery of messages, with full streaming beside them and without, in turn."""
    async with make_scene() as scene:
        for streams in (1, 4, 12):
            await _measure_messages(scene, streams)


class StreamLoad:
    """Threads that download without end, each on a connection of its own."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.stop = threading.Event()
        self.threads: list[threading.Thread] = []

    async def start(self, streams: int) -> None:
        """Start so many, one after another."""
        self.stop.clear()
        self.threads = [threading.Thread(target=self._download) for _ in range(streams)]
        for thread in self.threads:
            thread.start()
            await asyncio.sleep(START_PAUSE_S)
        await asyncio.sleep(SETTLE_S)

    async def end(self) -> None:
        """End all of them."""
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
    """A message that was submitted: beside streams or not, and when."""

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
        for number in range(MESSAGES):
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
    """Play the benchmarks that the command line names, or all."""
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}, host {own_host().rpartition('.')[0]}.x")
    for name in sys.argv[1:] or list(BENCHMARKS):
        print(f"-- {name}: {BENCHMARKS[name].__doc__}")
        asyncio.run(BENCHMARKS[name]())


if __name__ == "__main__":
    main()
