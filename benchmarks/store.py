"""What the store costs: time and memory of a start, the longest stop of the loop, bytes on disk for each message.

    PYTHONPATH=CHECKOUT python benchmarks/store.py recovery|turnover [RUNS]

It asks nothing of the store but what all versions have, so that checkouts can be compared.
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
from pathlib import Path
from statistics import median

from forwarder.decisions.settings import MessageClass
from forwarder.storage.messages import AcceptedMessage
from forwarder.storage.store import MessageStore

SAFE = MessageClass("safe", 10**6, 10**7)
LIMIT = 200_000_000
BODY = b"x" * 400


def taken(n: int) -> AcceptedMessage:
    return AcceptedMessage(f"message-{n:08d}", SAFE, n % 20, 10**15, None, None, BODY)


def fill(folder: Path, size: int) -> int:
    """Messages, each with an attempt, until the files are that large; a fifth of them are over. Returns how many are
    held.
    """
    store, n = MessageStore(folder, LIMIT).take_ownership(), 0
    while store.recovery_bytes < size:
        store.accept(taken(n))
        store.record_attempt(store.messages[f"message-{n:08d}"], 0, 50, "s1")
        if n % 5 == 4:
            store.end_message(f"message-{n - 2:08d}")
        n += 1
        if n % 20 == 0:
            store.flush()
    store.close()
    return len(store.messages)


def one_recovery(folder: Path) -> dict[str, float]:
    """In a process of its own: how long reading takes, and what the process's peak grows by."""
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    began = time.perf_counter()
    store = MessageStore(folder, LIMIT)
    return {
        "ms": (time.perf_counter() - began) * 1000,
        "held": len(store.messages),
        "peak_mb": (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / 1024,
    }


def recovery(runs: int) -> None:
    """Starts on folders of growing size."""
    for size in (30_000, 300_000, 3_000_000, 30_000_000):
        with tempfile.TemporaryDirectory() as folder:
            fill(Path(folder), size)
            rows = [
                json.loads(
                    subprocess.run([sys.executable, __file__, "one", folder], check=True, capture_output=True).stdout
                )
                for _ in range(runs)
            ]
            print(
                f"{size / 1e6:6.2f} MB, {rows[0]['held']} held: "
                + ", ".join(
                    f"{key} {median(r[key] for r in rows):.1f} ({min(r[key] for r in rows):.1f} to "
                    f"{max(r[key] for r in rows):.1f})"
                    for key in ("ms", "peak_mb")
                ),
                flush=True,
            )


def turnover(runs: int) -> None:
    """So many are held while 20,000 come and go; what each round of the store takes."""
    for held in (50, 1000, 5000, 20000):
        longest, each, disk, cpu = [], [], [], []
        for _ in range(runs):
            with tempfile.TemporaryDirectory() as folder:
                store, times, most = MessageStore(Path(folder), LIMIT).take_ownership(), [], 0
                began_cpu = time.process_time()
                for n in range(held + 20_000):
                    began = time.perf_counter()
                    store.accept(taken(n))
                    store.record_attempt(store.messages[f"message-{n:08d}"], 0, 50, "s1")
                    if n >= held:
                        store.end_message(f"message-{n - held:08d}")
                    store.flush()
                    times.append(time.perf_counter() - began)
                    if n % 500 == 0:
                        most = max(most, sum(f.stat().st_size for f in os.scandir(folder)))
                longest.append(max(times) * 1000)
                each.append(median(times) * 1e6)
                cpu.append((time.process_time() - began_cpu) / (held + 20_000) * 1e6)
                disk.append(most / held)
                store.close()
        told = {"longest ms": longest, "median us": each, "cpu us a message": cpu, "disk bytes each": disk}
        print(
            f"{held} held: "
            + ", ".join(
                f"{what} {median(rows):.2f} ({min(rows):.2f} to {max(rows):.2f})" for what, rows in told.items()
            ),
            flush=True,
        )


if __name__ == "__main__":
    logging.disable(logging.CRITICAL)
    if sys.argv[1] == "one":
        print(json.dumps(one_recovery(Path(sys.argv[2]))))
    else:
        {"recovery": recovery, "turnover": turnover}[sys.argv[1]](int((sys.argv[2:] or ["5"])[0]))
