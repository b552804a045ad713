"""Time from a hand-in to its 202, of two checkouts in interleaved pairs.

    python -m benchmarks.accept OTHER [PAIRS] [MESSAGES]

A is the checkout in OTHER, B the one this runs in. Clients hand in one message after another on kept connections; an
endpoint answers at once. Prints median and 99th percentile of both, the messages taken on for each second of processor
time, and the ratios B/A pair by pair.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import tests.sockets as sockets
from tests.sockets import OK, Node, Peer, Platform, always

CLIENTS = 8
TICKS = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Figures:
    """Of one run: times in milliseconds."""

    median: float
    p99: float
    per_cpu_s: float


def processor_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


async def hand_in(node: Node, whose: int, count: int, took_ms: list[float]) -> None:
    client = await node.client()
    for number in range(count):
        began = time.perf_counter()
        status, _ = await client.hand_in(f"{whose}-{number}", "status")
        if status == 202:
            took_ms.append((time.perf_counter() - began) * 1000)
    client.writer.close()


async def run(program: Path, messages: int) -> Figures:
    """One process of that program."""
    sockets.ROOT = program
    with tempfile.TemporaryDirectory() as folder:
        platform, peer = await Platform().start(), await Peer(always(OK)).start()
        platform.host("s1", peer.port)
        node = await Node(Path(folder), platform, max_open=5000).start()
        await platform.got(1)
        took_ms: list[float] = []
        before_s = processor_s(node.process.pid)
        await asyncio.gather(*(hand_in(node, whose, messages // CLIENTS, took_ms) for whose in range(CLIENTS)))
        used_s = processor_s(node.process.pid) - before_s
        await node.end()
    took_ms.sort()
    return Figures(statistics.median(took_ms), took_ms[len(took_ms) * 99 // 100], len(took_ms) / max(used_s, 1e-9))


def main() -> None:
    other = Path(sys.argv[1]).resolve()
    pairs = int(sys.argv[2]) if len(sys.argv) > 2 else 5
    messages = int(sys.argv[3]) if len(sys.argv) > 3 else 4000
    rows = []
    for _ in range(pairs):
        rows.append((asyncio.run(run(other, messages)), asyncio.run(run(Path.cwd(), messages))))
        print(f"A {rows[-1][0]}  B {rows[-1][1]}")
    for name in ("median", "p99", "per_cpu_s"):
        ratios = [getattr(b, name) / getattr(a, name) for a, b in rows]
        print(f"{name} B/A: median {statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})")


if __name__ == "__main__":
    main()
