"""Measures the cost of durability: time to the 202 and messages per second, with one process per level in turn.

    python -m benchmarks.durable [PAIRS]

The state folder is created in the working directory, so the results depend on the disk of that directory.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
import time
from collections import defaultdict
from dataclasses import astuple, dataclass
from pathlib import Path

from benchmarks.summary import format_range, percentile
from tests.nodes import Node
from tests.platforms import Platform
from tests.sockets import OK, Peer, always

LEVELS = (None, "none", "interval", "data")
"""Durability levels; None runs without an extensions file."""
DEFAULT_PAIRS = 5
SEQUENTIAL_MESSAGES = 150
CONCURRENT_MESSAGES = 400
CLIENTS = 16


@dataclass(frozen=True, slots=True)
class Figures:
    """The results of one run."""

    median_ms: float
    """Time to the 202 of messages submitted one after another, as `p99_ms`."""
    p99_ms: float
    messages_per_s: float
    """Messages per second that concurrent clients get accepted."""


async def measure(level: str | None, folder: Path) -> Figures:
    """Measure one forwarder process at a durability level."""
    platform = Platform()
    await platform.start()
    peer = await Peer(always(OK)).start()
    platform.add_endpoint("s1", peer.port)
    node = Node(folder, platform)
    if level is not None:
        extensions = folder / "parts.toml"
        extensions.write_text(f'[journal]\ndurability = "{level}"\n')
        node.arguments = ["--parts", str(extensions)]
    await node.start()
    latencies_ms = await _submit_sequentially(node)
    messages_per_s = await _submit_concurrently(node)
    await node.end()
    return Figures(statistics.median(latencies_ms), percentile(latencies_ms, 99), messages_per_s)


async def _submit_sequentially(node: Node) -> list[float]:
    latencies_ms = []
    for number in range(SEQUENTIAL_MESSAGES):
        start_s = time.monotonic()
        status, _ = await node.submit(f"a{number}")
        assert status == 202
        latencies_ms.append((time.monotonic() - start_s) * 1000)
    return latencies_ms


async def _submit_concurrently(node: Node) -> float:
    """Return the number of messages per second submitted by concurrent clients."""

    async def submit(client: int) -> None:
        """Submit the messages of one client."""
        for number in range(CONCURRENT_MESSAGES // CLIENTS):
            await node.submit(f"b{client}-{number}")

    start_s = time.monotonic()
    await asyncio.gather(*(submit(client) for client in range(CLIENTS)))
    return CONCURRENT_MESSAGES / (time.monotonic() - start_s)


def main() -> None:
    """Run all levels in turn, and print the results."""
    pairs = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_PAIRS
    results: defaultdict[str, list[Figures]] = defaultdict(list)
    for _ in range(pairs):
        for level in LEVELS:
            with tempfile.TemporaryDirectory(dir=Path.cwd()) as folder:
                results[str(level)].append(asyncio.run(measure(level, Path(folder))))
    for level_name, rows in results.items():
        columns = zip(*(astuple(row) for row in rows), strict=True)
        print(level_name, *(format_range(column, 2) for column in columns), sep=" | ")


if __name__ == "__main__":
    main()
