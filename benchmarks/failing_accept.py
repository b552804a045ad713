"""Time from a client's connect to its 202 while a share of the calls of accept fails, of two checkouts in turn.

    python -m benchmarks.failing_accept OTHER [REQUESTS]

A is the checkout in OTHER, B the one this runs in. Each request has a connection of its own; kept connections rest
beside them. Prints median and 99th percentile for each share, and how many kept connections were closed.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import tests.nodes as nodes
from benchmarks.summary import percentile
from lab.shim import Failure
from tests.nodes import Node
from tests.platforms import Platform
from tests.sockets import OK, Peer, always

SHARES = (0.0, 0.06, 0.3)
ERROR = "ENOBUFS"
DEFAULT_REQUESTS = 400
INTERVAL_S = 0.01
KEPT_CLIENTS = 6
MAX_OPEN_MESSAGES = 5000


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of one run. Times in milliseconds."""

    median: float
    p99: float
    closed_kept: int


async def submit_anew(node: Node, number: int, took_ms: list[float]) -> None:
    """Submit one message on a connection of its own, and add the time to its answer."""
    began_s = time.perf_counter()
    await node.submit(f"m-{number}", "status")
    took_ms.append((time.perf_counter() - began_s) * 1000)


async def run(program: Path, share: float, requests: int) -> Figures:
    """Measure one process of a checkout."""
    nodes.PROGRAM_ROOT = program
    with tempfile.TemporaryDirectory() as folder:
        platform = await Platform().start()
        peer = await Peer(always(OK)).start()
        platform.add_endpoint("s1", peer.port)
        node = Node(Path(folder), platform, max_open=MAX_OPEN_MESSAGES)
        await node.set_failures()
        await node.start()
        kept = [await node.client() for _ in range(KEPT_CLIENTS)]
        for number, client in enumerate(kept):
            await client.submit(f"kept-{number}", "status")
        await node.set_failures(Failure("accept", ERROR, share))
        took_ms: list[float] = []
        tasks = []
        for number in range(requests):
            tasks.append(asyncio.create_task(submit_anew(node, number, took_ms)))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)
        closed_kept = sum(client.reader.at_eof() for client in kept)
        await node.end()
    return Figures(statistics.median(took_ms), percentile(took_ms, 99), closed_kept)


def main() -> None:
    """Play both checkouts at each share, and print the figures."""
    other = Path(sys.argv[1]).resolve()
    requests = int(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_REQUESTS
    for share in SHARES:
        for name, program in (("A", other), ("B", Path.cwd())):
            print(f"share {share} {name} {asyncio.run(run(program, share, requests))}")


if __name__ == "__main__":
    main()
