"""Compares the time from a submission to its 202 between two checkouts, in interleaved pairs of runs.

    python -m benchmarks.accept OTHER [PAIRS] [MESSAGES]

A is the checkout in OTHER, B is the working directory. Clients submit one message after another on persistent
connections; an endpoint answers at once. Prints the median and 99th percentile of both, the messages accepted per
second of processor time, and the ratios B/A of the pairs.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import sys
import tempfile
import time
from dataclasses import dataclass, fields
from pathlib import Path

import tests.nodes as nodes
from benchmarks.summary import percentile
from tests.nodes import Node
from tests.platforms import Platform
from tests.sockets import OK, Peer, always

CLIENTS = 8
DEFAULT_PAIRS = 5
DEFAULT_MESSAGES = 4000
MAX_OPEN_MESSAGES = 5000
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
STAT_USER_TICKS = 11
"""Index among the fields of /proc/PID/stat that follow the command name, like the next one."""
STAT_SYSTEM_TICKS = 12


@dataclass(frozen=True, slots=True)
class Figures:
    """The results of one run. Times are in milliseconds."""

    median: float
    p99: float
    per_cpu_s: float
    """Messages accepted per second of the forwarder's processor time."""


@dataclass(frozen=True, slots=True)
class Pair:
    """The results of one run of each checkout."""

    a: Figures
    b: Figures

    def ratio(self, name: str) -> float:
        """Return the ratio of a figure of B to that of A."""
        value_a: float = getattr(self.a, name)
        value_b: float = getattr(self.b, name)
        return value_b / value_a


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    stat_fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(stat_fields[STAT_USER_TICKS]) + int(stat_fields[STAT_SYSTEM_TICKS])) / CLOCK_TICKS_PER_S


async def submit(node: Node, client_number: int, count: int, latencies_ms: list[float]) -> None:
    """Submit messages one after another, and append the time to each 202."""
    client = await node.client()
    for number in range(count):
        start_s = time.perf_counter()
        status, _ = await client.submit(f"{client_number}-{number}", "status")
        if status == 202:
            latencies_ms.append((time.perf_counter() - start_s) * 1000)
    client.writer.close()


async def run(program: Path, messages: int) -> Figures:
    """Measure one forwarder process of a checkout."""
    nodes.PROGRAM_ROOT = program
    with tempfile.TemporaryDirectory() as folder:
        platform = await Platform().start()
        peer = await Peer(always(OK)).start()
        platform.add_endpoint("s1", peer.port)
        node = await Node(Path(folder), platform, max_open=MAX_OPEN_MESSAGES).start()
        await platform.wait_for_requests(1)
        latencies_ms: list[float] = []
        start_cpu_s = processor_s(node.process.pid)
        await asyncio.gather(*(submit(node, number, messages // CLIENTS, latencies_ms) for number in range(CLIENTS)))
        cpu_s = processor_s(node.process.pid) - start_cpu_s
        await node.end()
    return Figures(statistics.median(latencies_ms), percentile(latencies_ms, 99), len(latencies_ms) / max(cpu_s, 1e-9))


def main() -> None:
    """Run the pairs, and print the ratios."""
    other = Path(sys.argv[1]).resolve()
    pair_count = int(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_PAIRS
    messages = int(sys.argv[3]) if len(sys.argv) > 3 else DEFAULT_MESSAGES
    pairs = []
    for _ in range(pair_count):
        pair = Pair(asyncio.run(run(other, messages)), asyncio.run(run(Path.cwd(), messages)))
        pairs.append(pair)
        print(f"A {pair.a}  B {pair.b}")
    for field in fields(Figures):
        ratios = [pair.ratio(field.name) for pair in pairs]
        print(f"{field.name} B/A: median {statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})")


if __name__ == "__main__":
    main()
