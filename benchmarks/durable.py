"""What durability costs: time to the 202 and messages a second, one process at each level in turn.

    python -m benchmarks.durable [PAIRS]

The folder is under the working directory, so that its disk is a real one where that is.
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
"""Levels of durability; None runs without an extensions file."""
DEFAULT_PAIRS = 5
SEQUENTIAL_MESSAGES = 150
CONCURRENT_MESSAGES = 400
CLIENTS = 16


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of one run."""

    median_ms: float
    """To the 202, of messages one after another."""
    p99_ms: float
    messages_per_s: float
    """From many clients at once."""


async def measure(level: str | None, folder: Path) -> Figures:
    """Measure one process at a level of durability."""
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
    took_ms = await _submit_sequentially(node)
    messages_per_s = await _submit_concurrently(node)
    await node.end()
    return Figures(statistics.median(took_ms), percentile(took_ms, 99), messages_per_s)


async def _submit_sequentially(node: Node) -> list[float]:
    took_ms = []
    for number in range(SEQUENTIAL_MESSAGES):
        began_s = time.monotonic()
        status, _ = await node.submit(f"a{number}")
        assert status == 202
        took_ms.append((time.monotonic() - began_s) * 1000)
    return took_ms


async def _submit_concurrently(node: Node) -> float:
    """Return the messages a second that many clients get through."""

    async def submit(client: int) -> None:
        """Submit one client's messages."""
        for number in range(CONCURRENT_MESSAGES // CLIENTS):
            await node.submit(f"b{client}-{number}")

    began_s = time.monotonic()
    await asyncio.gather(*(submit(client) for client in range(CLIENTS)))
    return CONCURRENT_MESSAGES / (time.monotonic() - began_s)


def main() -> None:
    """Play each level in turn, and print its figures."""
    pairs = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_PAIRS
    found: defaultdict[str, list[Figures]] = defaultdict(list)
    for _ in range(pairs):
        for level in LEVELS:
            with tempfile.TemporaryDirectory(dir=Path.cwd()) as folder:
                found[str(level)].append(asyncio.run(measure(level, Path(folder))))
    for level_name, rows in found.items():
        columns = zip(*(astuple(row) for row in rows), strict=True)
        print(level_name, *(format_range(column, 2) for column in columns), sep=" | ")


if __name__ == "__main__":
    main()
