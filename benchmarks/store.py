"""Measures the store: time and memory of recovery, the longest time that it blocks, and bytes on disk per message.

    PYTHONPATH=CHECKOUT python benchmarks/store.py recovery|turnover [RUNS]

Checkouts can be compared if their stores have the methods used here.
"""

from __future__ import annotations

import json
import logging
import os
import resource
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import median

from forwarder.decisions.settings import MessageClass
from forwarder.storage.messages import AcceptedMessage
from forwarder.storage.store import MessageStore

DEFAULT_RUNS = 5
MESSAGE_CLASS = MessageClass("safe", 10**6, 10**7)
DISK_BYTES = 200_000_000
DEADLINE_US = 10**15
DESTINATIONS = 20
BODY = b"x" * 400
FLUSH_EVERY = 20
JOURNAL_BYTES = (30_000, 300_000, 3_000_000, 30_000_000)
HELD_MESSAGES = (50, 1000, 5000, 20_000)
TURNOVER = 20_000
DISK_SAMPLE_EVERY = 500
RECOVERY_PROCESS = "one"
"""The command line argument with which a child process runs one recovery."""


def message_id(number: int) -> str:
    """Return the id of the message with this number."""
    return f"message-{number:08d}"


def accept(store: MessageStore, number: int) -> None:
    """Accept a message, and record its first attempt."""
    message = AcceptedMessage(message_id(number), MESSAGE_CLASS, number % DESTINATIONS, DEADLINE_US, None, None, BODY)
    store.accept(message)
    store.record_attempt(store.messages[message.id], 0, 50, "s1")


def format_values(name: str, values: list[float], digits: int) -> str:
    """Return a name with the median, minimum and maximum of its values."""
    return f"{name} {median(values):.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f})"


# Recovery


@dataclass(frozen=True, slots=True)
class Recovery:
    """The cost of recovering a folder."""

    read_ms: float
    held: int
    """Number of messages that were recovered."""
    peak_mb: float
    """Growth of the process's peak memory, in MB."""


def fill(folder: Path, size: int) -> None:
    """Accept messages with one attempt each until the files reach `size` bytes, and end a fifth of the messages."""
    store = MessageStore(folder, DISK_BYTES).take_ownership()
    number = 0
    while store.recovery_bytes < size:
        accept(store, number)
        if number % 5 == 4:
            store.end_message(message_id(number - 2))
        number += 1
        if number % FLUSH_EVERY == 0:
            store.flush()
    store.close()


def recover(folder: Path) -> Recovery:
    """Recover a folder, and measure it. Runs in its own process, since it measures the growth of peak memory."""
    initial_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    start_s = time.perf_counter()
    store = MessageStore(folder, DISK_BYTES)
    read_ms = (time.perf_counter() - start_s) * 1000
    peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return Recovery(read_ms, len(store.messages), (peak_kb - initial_kb) / 1024)


def recover_in_process(folder: str) -> Recovery:
    """Recover a folder in a new process."""
    command = [sys.executable, __file__, RECOVERY_PROCESS, folder]
    return Recovery(**json.loads(subprocess.run(command, check=True, capture_output=True).stdout))


def recovery(runs: int) -> None:
    """Measure the recovery of folders of increasing size, and print the results."""
    for size in JOURNAL_BYTES:
        with tempfile.TemporaryDirectory() as folder:
            fill(Path(folder), size)
            results = [recover_in_process(folder) for _ in range(runs)]
        print(
            f"{size / 1e6:6.2f} MB, {results[0].held} held: "
            f"{format_values('ms', [result.read_ms for result in results], 1)}, "
            f"{format_values('peak_mb', [result.peak_mb for result in results], 1)}",
            flush=True,
        )


# Turnover


@dataclass(frozen=True, slots=True)
class Turnover:
    """The cost of accepting and ending messages while a constant number is held."""

    longest_ms: float
    median_us: float
    cpu_us: float
    """Processor time per message, in microseconds."""
    disk_bytes: float
    """Maximum number of bytes on disk per held message."""


def turn_over(folder: Path, held: int) -> Turnover:
    """Hold a number of messages while `TURNOVER` further messages are accepted and as many ended."""
    store = MessageStore(folder, DISK_BYTES).take_ownership()
    messages = held + TURNOVER
    durations_s = []
    max_bytes = 0
    start_cpu_s = time.process_time()
    for number in range(messages):
        start_s = time.perf_counter()
        accept(store, number)
        if number >= held:
            store.end_message(message_id(number - held))
        store.flush()
        durations_s.append(time.perf_counter() - start_s)
        if number % DISK_SAMPLE_EVERY == 0:
            max_bytes = max(max_bytes, sum(entry.stat().st_size for entry in os.scandir(folder)))
    cpu_s = time.process_time() - start_cpu_s
    store.close()
    return Turnover(max(durations_s) * 1000, median(durations_s) * 1e6, cpu_s / messages * 1e6, max_bytes / held)


def turnover(runs: int) -> None:
    """Measure the store's rounds while messages are held, for several numbers of them, and print the results."""
    for held in HELD_MESSAGES:
        results = []
        for _ in range(runs):
            with tempfile.TemporaryDirectory() as folder:
                results.append(turn_over(Path(folder), held))
        columns = {
            "longest ms": [result.longest_ms for result in results],
            "median us": [result.median_us for result in results],
            "cpu us per message": [result.cpu_us for result in results],
            "disk bytes per held message": [result.disk_bytes for result in results],
        }
        row = ", ".join(format_values(name, values, 2) for name, values in columns.items())
        print(f"{held} held: {row}", flush=True)


BENCHMARKS: dict[str, Callable[[int], None]] = {"recovery": recovery, "turnover": turnover}


def main() -> None:
    """Run the benchmark that the command line selects."""
    logging.disable(logging.CRITICAL)
    name = sys.argv[1]
    if name == RECOVERY_PROCESS:
        print(json.dumps(asdict(recover(Path(sys.argv[2])))))
    else:
        BENCHMARKS[name](int(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_RUNS)


if __name__ == "__main__":
    main()
