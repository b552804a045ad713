"""What the store costs: time and memory of a start, the longest stop of the loop, bytes on disk for each message.

    PYTHONPATH=CHECKOUT python benchmarks/store.py recovery|turnover [RUNS]

Checkouts can be compared as far as their stores have the same methods.
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
DUE_US = 10**15
DESTINATIONS = 20
BODY = b"x" * 400
FLUSH_EVERY = 20
JOURNAL_BYTES = (30_000, 300_000, 3_000_000, 30_000_000)
HELD_MESSAGES = (50, 1000, 5000, 20_000)
TURNOVER = 20_000
DISK_SAMPLE_EVERY = 500
RECOVERY_PROCESS = "one"
"""Names the benchmark that a process of its own plays."""


def message_id(number: int) -> str:
    """Return the id of a message."""
    return f"message-{number:08d}"


def accept(store: MessageStore, number: int) -> None:
    """Accept a message, and record its first attempt."""
    message = AcceptedMessage(message_id(number), MESSAGE_CLASS, number % DESTINATIONS, DUE_US, None, None, BODY)
    store.accept(message)
    store.record_attempt(store.messages[message.id], 0, 50, "s1")


def format_values(name: str, values: list[float], digits: int) -> str:
    """Return a name with median, least and most of its values."""
    return f"{name} {median(values):.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f})"


# Recovery


@dataclass(frozen=True, slots=True)
class Recovery:
    """What a start on a folder took."""

    read_ms: float
    held: int
    """Messages that were recovered."""
    peak_mb: float
    """What the process's peak memory grew by."""


def fill(folder: Path, size: int) -> None:
    """Accept messages, each with an attempt, until the files are that large; a fifth of them are over."""
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
    """Read a folder's journal; in a process of its own, whose peak memory it is."""
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    began_s = time.perf_counter()
    store = MessageStore(folder, DISK_BYTES)
    read_ms = (time.perf_counter() - began_s) * 1000
    peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return Recovery(read_ms, len(store.messages), (peak_kb - before_kb) / 1024)


def recover_in_process(folder: str) -> Recovery:
    """Read a folder's journal in a new process."""
    command = [sys.executable, __file__, RECOVERY_PROCESS, folder]
    return Recovery(**json.loads(subprocess.run(command, check=True, capture_output=True).stdout))


def recovery(runs: int) -> None:
    """Starts on folders of growing size."""
    for size in JOURNAL_BYTES:
        with tempfile.TemporaryDirectory() as folder:
            fill(Path(folder), size)
            found = [recover_in_process(folder) for _ in range(runs)]
        print(
            f"{size / 1e6:6.2f} MB, {found[0].held} held: "
            f"{format_values('ms', [each.read_ms for each in found], 1)}, "
            f"{format_values('peak_mb', [each.peak_mb for each in found], 1)}",
            flush=True,
        )


# Turnover


@dataclass(frozen=True, slots=True)
class Turnover:
    """What it took to accept and end messages while so many were held."""

    longest_ms: float
    median_us: float
    cpu_us: float
    """Processor time for each message."""
    disk_bytes: float
    """Most bytes on disk for each message that is held."""


def turn_over(folder: Path, held: int) -> Turnover:
    """Hold so many messages while 20,000 come and go."""
    store = MessageStore(folder, DISK_BYTES).take_ownership()
    messages = held + TURNOVER
    took_s = []
    most_bytes = 0
    began_cpu_s = time.process_time()
    for number in range(messages):
        began_s = time.perf_counter()
        accept(store, number)
        if number >= held:
            store.end_message(message_id(number - held))
        store.flush()
        took_s.append(time.perf_counter() - began_s)
        if number % DISK_SAMPLE_EVERY == 0:
            most_bytes = max(most_bytes, sum(entry.stat().st_size for entry in os.scandir(folder)))
    cpu_s = time.process_time() - began_cpu_s
    store.close()
    return Turnover(max(took_s) * 1000, median(took_s) * 1e6, cpu_s / messages * 1e6, most_bytes / held)


def turnover(runs: int) -> None:
    """So many are held while 20,000 come and go; what each round of the store takes."""
    for held in HELD_MESSAGES:
        found = []
        for _ in range(runs):
            with tempfile.TemporaryDirectory() as folder:
                found.append(turn_over(Path(folder), held))
        columns = {
            "longest ms": [each.longest_ms for each in found],
            "median us": [each.median_us for each in found],
            "cpu us a message": [each.cpu_us for each in found],
            "disk bytes each": [each.disk_bytes for each in found],
        }
        row = ", ".join(format_values(name, values, 2) for name, values in columns.items())
        print(f"{held} held: {row}", flush=True)


BENCHMARKS: dict[str, Callable[[int], None]] = {"recovery": recovery, "turnover": turnover}


def main() -> None:
    """Play the benchmark that the command line names."""
    logging.disable(logging.CRITICAL)
    name = sys.argv[1]
    if name == RECOVERY_PROCESS:
        print(json.dumps(asdict(recover(Path(sys.argv[2])))))
    else:
        BENCHMARKS[name](int(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_RUNS)


if __name__ == "__main__":
    main()
