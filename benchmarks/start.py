"""From exec to the first yes of /up, by step, on an empty, a usual and a full journal.

    python -m benchmarks.start [RUNS]

Steps, each by a process of its own so that they can be told apart: the interpreter alone, the program's imports (less
the interpreter), reading the journal, and the rest up to the answer of /up. Times in milliseconds.
"""

from __future__ import annotations

import asyncio
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from forwarder.decisions.settings import MessageClass
from forwarder.storage.messages import AcceptedMessage
from forwarder.storage.store import MessageStore
from tests.sockets import ROOT, Node, Platform

SAFE = MessageClass("status", 10**6, 3_600_000_000)
HELD = {"empty": 0, "usual": 60, "full": 3000}
DISK_MB = 3


def fill(state: Path, held: int) -> None:
    """So many messages are held for a destination that nobody serves, and twice as many are over."""
    store, due = MessageStore(state, DISK_MB * 1_000_000).take_ownership(), time.time_ns() // 1000 + 3_600_000_000
    for n in range(3 * held):
        name = f"m{n}"
        if store.has_capacity_for(400):
            store.accept(AcceptedMessage(name, SAFE, 7, due, None, None, b"x" * 300))
            store.record_attempt(store.messages[name], 0, 50, "s9")
            store.record_outcome(store.messages[name], 0, False)
        if n % 3 and name in store.messages:
            store.end_message(name)
        store.flush()
    store.close()


def timed(*arguments: str) -> float:
    began = time.perf_counter()
    subprocess.run([sys.executable, *arguments], cwd=ROOT, check=True)
    return (time.perf_counter() - began) * 1000


async def until_up(node: Node) -> float:
    """From just before the start until /up has said 200."""
    began = time.perf_counter()
    starting = asyncio.create_task(node.start(ready=False))
    while True:
        try:
            reader, writer = await asyncio.open_connection(node.host, node.port)
            writer.write(b"GET /up HTTP/1.1\r\nHost: n0\r\nConnection: close\r\n\r\n")
            said = await reader.read()
            writer.close()
            if said.startswith(b"HTTP/1.1 200"):
                break
        except OSError:
            pass
        await asyncio.sleep(0.002)
    took = (time.perf_counter() - began) * 1000
    await starting
    return took


async def started(folder: Path, held: int) -> tuple[float, float]:
    """Reading the journal in this process, and a whole start."""
    platform = await Platform().start()
    node = Node(folder, platform, disk_mb=DISK_MB)
    if held:
        fill(folder / "state", held)
    began = time.perf_counter()
    MessageStore(folder / "state", DISK_MB * 1_000_000)
    read = (time.perf_counter() - began) * 1000
    up = await until_up(node)
    await node.end()
    return read, up


def spread(values: list[float]) -> str:
    return f"{statistics.median(values):.1f} ({min(values):.1f} to {max(values):.1f})"


def main() -> None:
    runs = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    timed("-c", "import forwarder.__main__")  # compiled files are there from here on
    bare = [timed("-c", "pass") for _ in range(runs)]
    imports = [timed("-c", "import forwarder.__main__") - statistics.median(bare) for _ in range(runs)]
    print(f"the interpreter {spread(bare)}; imports {spread(imports)}")
    for name, held in HELD.items():
        rows = []
        for _ in range(runs):
            with tempfile.TemporaryDirectory() as folder:
                rows.append(asyncio.run(started(Path(folder), held)))
        reads, ups = [row[0] for row in rows], [row[1] for row in rows]
        rest = [up - read - statistics.median(bare) - statistics.median(imports) for read, up in rows]
        print(f"{name}: to /up {spread(ups)}; reading the journal {spread(reads)}; the rest {spread(rest)}", flush=True)


if __name__ == "__main__":
    main()
