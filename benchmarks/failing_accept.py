"""Compares the time from connecting to the 202 between two checkouts while a share of accept calls fails.

    python -m benchmarks.failing_accept OTHER [REQUESTS]

A is the checkout in OTHER, B is the working directory. Each request has its own connection; further connections stay
open and idle. Prints the median and 99th percentile for each share, and how many idle connections were closed.
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
IDLE_CLIENTS = 6
MAX_OPEN_MESSAGES = 5000


@dataclass(frozen=True, slots=True)
class Figures:
    """The results of one run. Times are in milliseconds."""

    median: float
    p99: float
    closed_kept: int


async def submit_on_new_connection(node: Node, number: int, latencies_ms: list[float]) -> None:
    """Submit one message on a new connection, and append the time to its answer."""
    start_s = time.perf_counter()
    await node.submit(f"m-{number}", "status")
    latencies_ms.append((time.perf_counter() - start_s) * 1000)


async def run(program: Path, share: float, requests: int) -> Figures:
    """Measure one forwarder process of a checkout."""
    nodes.PROGRAM_ROOT = program
    with tempfile.TemporaryDirectory() as folder:
        platform = await Platform().start()
        peer = await Peer(always(OK)).start()
        platform.add_endpoint("s1", peer.port)
        node = Node(Path(folder), platform, max_open=MAX_OPEN_MESSAGES)
        await node.set_failures()
        await node.start()
        idle_clients = [await node.client() for _ in range(IDLE_CLIENTS)]
        for number, client in enumerate(idle_clients):
            await client.submit(f"kept-{number}", "status")
        await node.set_failures(Failure("accept", ERROR, share))
        latencies_ms: list[float] = []
        tasks = []
        for number in range(requests):
            tasks.append(asyncio.create_task(submit_on_new_connection(node, number, latencies_ms)))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)
        closed_kept = sum(client.reader.at_eof() for client in idle_clients)
        await node.end()
    return Figures(statistics.median(latencies_ms), percentile(latencies_ms, 99), closed_kept)


def main() -> None:
    """Run both checkouts at each share, and print the results."""
    other = Path(sys.argv[1]).resolve()
    requests = int(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_REQUESTS
    for share in SHARES:
        for name, program in (("A", other), ("B", Path.cwd())):
            print(f"share {share} {name} {asyncio.run(run(program, share, requests))}")


if __name__ == "__main__":
    main()
