"""Measures memory and descriptors of a forwarder while many clients send continuously and never read.

    python -m benchmarks.flood [CLIENTS] [SECONDS]

At the same time one client submits messages normally: each of them has to be accepted.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from tests.nodes import Node, message
from tests.platforms import Platform

BLOCK = message("flood", "nowhere", body=b"x" * 200) * 500
INTERVAL_S = 0.05
DEFAULT_CLIENTS = 100
DEFAULT_SECONDS = 8.0
MAX_OPEN_MESSAGES = 10_000
MAX_DESCRIPTORS = 256
MAX_STEADY_MESSAGES = 1_000_000
UNUSED_PORT = 9


@dataclass(frozen=True, slots=True)
class Usage:
    """The resource usage of a process."""

    resident_mb: float
    descriptors: int


@dataclass(slots=True)
class SteadyClient:
    """The results of the client that submits messages normally during the flood."""

    accepted_ms: list[float] = field(default_factory=list)
    """Times to each 202, in milliseconds."""
    other_statuses: list[int] = field(default_factory=list)
    """Statuses other than 202; 0 if no answer arrived."""


def usage_of(pid: int) -> Usage:
    """Return the current resource usage of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage(pages * os.sysconf("SC_PAGE_SIZE") / 1e6, len(os.listdir(f"/proc/{pid}/fd")))


async def flood_from_client(host: str, port: int, end_s: float) -> int:
    """Send until the end time, and reconnect whenever the connection is closed. Returns the number of bytes sent."""
    sent_bytes = 0
    while time.monotonic() < end_s:
        try:
            _, writer = await asyncio.open_connection(host, port)
            while time.monotonic() < end_s:
                writer.write(BLOCK)
                async with asyncio.timeout(max(0.001, end_s - time.monotonic())):
                    await writer.drain()
                sent_bytes += len(BLOCK)
        except (OSError, TimeoutError):
            await asyncio.sleep(INTERVAL_S)
    return sent_bytes


async def flood(host: str, port: int, clients: int, seconds: float) -> None:
    """Send from many clients. This runs in a separate process, so that it does not delay the client that measures."""
    end_s = time.monotonic() + seconds
    sent_bytes = await asyncio.gather(*(flood_from_client(host, port, end_s) for _ in range(clients)))
    print(f"{clients} clients sent {sum(sent_bytes) / 1e6:.0f} MB in {seconds:.0f} s")


async def submit_steadily(node: Node, client: SteadyClient) -> None:
    """Submit one message after another until cancelled."""
    for number in range(MAX_STEADY_MESSAGES):
        start_s = time.perf_counter()
        try:
            status, _ = await node.submit(f"m{number}", "status")
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        if status == 202:
            client.accepted_ms.append((time.perf_counter() - start_s) * 1000)
        else:
            client.other_statuses.append(status)
        await asyncio.sleep(INTERVAL_S)


async def run(folder: Path, clients: int, seconds: float) -> None:
    """Measure one forwarder during a flood, and print the results."""
    platform = await Platform().start()
    platform.add_endpoint("s1", UNUSED_PORT)
    node = await Node(folder, platform, max_open=MAX_OPEN_MESSAGES).start()
    usages = [usage_of(node.process.pid)]
    client = SteadyClient()
    arguments = [str(clients), str(seconds), node.host, str(node.port)]
    flood_process = await asyncio.create_subprocess_exec(sys.executable, "-m", "benchmarks.flood", *arguments)
    submit_task = asyncio.create_task(submit_steadily(node, client))
    while flood_process.returncode is None:
        await asyncio.sleep(INTERVAL_S)
        usages.append(usage_of(node.process.pid))
    submit_task.cancel()
    await asyncio.gather(submit_task, return_exceptions=True)
    await node.end()
    _print_figures(usages, client)


def _print_figures(usages: list[Usage], client: SteadyClient) -> None:
    before = usages[0]
    print(
        f"memory {before.resident_mb:.1f} MB before, {max(usage.resident_mb for usage in usages):.1f} at most; "
        f"descriptors {before.descriptors} before, {max(usage.descriptors for usage in usages)} at most, "
        f"limit {MAX_DESCRIPTORS}"
    )
    accepted_ms, others = client.accepted_ms, client.other_statuses
    print(
        f"normal client: {len(accepted_ms)} accepted, {len(others)} not {sorted(set(others))}; time to the 202 "
        f"{statistics.median(accepted_ms):.1f} ms, {max(accepted_ms):.1f} at most"
    )


def main() -> None:
    """Run the benchmark; with a host and a port, run only the flood."""
    clients = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_CLIENTS
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_SECONDS
    if len(sys.argv) > 4:
        asyncio.run(flood(sys.argv[3], int(sys.argv[4]), clients, seconds))
        return
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(run(Path(folder), clients, seconds))


if __name__ == "__main__":
    main()
