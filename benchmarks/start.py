"""Measures the steps from exec to the first 200 of /up, with an empty, a typical and a full journal.

    python -m benchmarks.start [RUNS]

The steps are measured separately: starting the interpreter, importing the program (less the time of the interpreter),
reading the journal, and the rest until /up answers. Times are in milliseconds.
"""

from __future__ import annotations

import asyncio
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from benchmarks.summary import format_range
from forwarder.decisions.settings import MessageClass
from forwarder.storage.messages import AcceptedMessage
from forwarder.storage.store import MessageStore
from tests.nodes import Node
from tests.platforms import Platform
from tests.sockets import ROOT

DEFAULT_RUNS = 5
HOUR_US = 3_600_000_000
MESSAGE_CLASS = MessageClass("status", 10**6, HOUR_US)
UNSERVED_DESTINATION = 7
HELD_MESSAGES = {"empty": 0, "usual": 60, "full": 3000}
DISK_MB = 3
DISK_BYTES = DISK_MB * 1_000_000
BODY = b"x" * 300
RECORD_BYTES = 400
POLL_S = 0.002


@dataclass(frozen=True, slots=True)
class StartTimes:
    """The times of one start, in milliseconds."""

    read_ms: float
    """Time to read the journal."""
    up_ms: float
    """Time from exec to the first 200 of /up."""


def fill(state: Path, held: int) -> None:
    """Store up to `held` messages for a destination without endpoints, and accept and end up to twice as many."""
    store = MessageStore(state, DISK_BYTES).take_ownership()
    due_us = time.time_ns() // 1000 + HOUR_US
    for number in range(3 * held):
        message_id = f"m{number}"
        if store.has_capacity_for(RECORD_BYTES):
            message = AcceptedMessage(message_id, MESSAGE_CLASS, UNSERVED_DESTINATION, due_us, None, None, BODY)
            store.accept(message)
            store.record_attempt(store.messages[message_id], 0, 50, "s9")
            store.record_outcome(store.messages[message_id], 0, False)
        if number % 3 and message_id in store.messages:
            store.end_message(message_id)
        store.flush()
    store.close()


def time_interpreter(source: str) -> float:
    """Return the time in milliseconds that a new interpreter takes to run a line of source."""
    start_s = time.perf_counter()
    subprocess.run([sys.executable, "-c", source], cwd=ROOT, check=True)
    return (time.perf_counter() - start_s) * 1000


async def time_until_up(node: Node) -> float:
    """Start a forwarder, and return the time in milliseconds until /up answers 200."""
    start_s = time.perf_counter()
    start_task = asyncio.create_task(node.start(ready=False))
    while not await _is_up(node):
        await asyncio.sleep(POLL_S)
    up_ms = (time.perf_counter() - start_s) * 1000
    await start_task
    return up_ms


async def _is_up(node: Node) -> bool:
    try:
        reader, writer = await asyncio.open_connection(node.host, node.port)
        writer.write(b"GET /up HTTP/1.1\r\nHost: n0\r\nConnection: close\r\n\r\n")
        answer = await reader.read()
        writer.close()
    except OSError:
        return False
    return answer.startswith(b"HTTP/1.1 200")


async def time_start(folder: Path, held: int) -> StartTimes:
    """Measure reading the journal in this process, and then a complete start."""
    platform = await Platform().start()
    node = Node(folder, platform, disk_mb=DISK_MB)
    state = folder / "state"
    if held:
        fill(state, held)
    start_s = time.perf_counter()
    MessageStore(state, DISK_BYTES)
    read_ms = (time.perf_counter() - start_s) * 1000
    up_ms = await time_until_up(node)
    await node.end()
    return StartTimes(read_ms, up_ms)


def main() -> None:
    """Run the benchmark, and print the time of each step."""
    runs = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_RUNS
    import_program = "import forwarder.__main__"
    time_interpreter(import_program)  # creates the bytecode files
    interpreter_ms = [time_interpreter("pass") for _ in range(runs)]
    median_interpreter_ms = statistics.median(interpreter_ms)
    imports_ms = [time_interpreter(import_program) - median_interpreter_ms for _ in range(runs)]
    print(f"interpreter {format_range(interpreter_ms)}; imports {format_range(imports_ms)}")
    for name, held in HELD_MESSAGES.items():
        starts = []
        for _ in range(runs):
            with tempfile.TemporaryDirectory() as folder:
                starts.append(asyncio.run(time_start(Path(folder), held)))
        known_ms = median_interpreter_ms + statistics.median(imports_ms)
        rest_ms = [start.up_ms - start.read_ms - known_ms for start in starts]
        print(
            f"{name}: time to /up {format_range([start.up_ms for start in starts])}; "
            f"reading the journal {format_range([start.read_ms for start in starts])}; "
            f"remaining time {format_range(rest_ms)}",
            flush=True,
        )


if __name__ == "__main__":
    main()
