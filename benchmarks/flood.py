"""Memory and descriptors of one forwarder while many clients send without end and read nothing.

    python -m benchmarks.flood [CLIENTS] [SECONDS]

Beside them one client hands messages in as usual: each has to be taken on.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path

from tests.sockets import Node, Platform, message

PIECE = message("flood", "nowhere", body=b"x" * 200) * 500
PAUSE_S = 0.05


def used(pid: int) -> tuple[float, int]:
    """Resident memory in MB, and open descriptors."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6, len(os.listdir(f"/proc/{pid}/fd"))


async def flood(host: str, port: int, sent: list[int], end: float) -> None:
    """Send until the end; come again whenever the forwarder has let go."""
    while time.monotonic() < end:
        try:
            _, writer = await asyncio.open_connection(host, port)
            while time.monotonic() < end:
                writer.write(PIECE)
                async with asyncio.timeout(max(0.001, end - time.monotonic())):
                    await writer.drain()
                sent[0] += len(PIECE)
        except (OSError, TimeoutError):
            await asyncio.sleep(PAUSE_S)


async def floods(host: str, port: int, clients: int, seconds: float) -> None:
    """In a process of its own, so that the client beside them is not held up by their sending."""
    sent, end = [0], time.monotonic() + seconds
    await asyncio.gather(*(flood(host, port, sent, end) for _ in range(clients)))
    print(f"{clients} clients sent {sent[0] / 1e6:.0f} MB in {seconds:.0f} s")


async def steady(node: Node, took: list[float], refused: list[int]) -> None:
    for n in range(1_000_000):
        began = time.perf_counter()
        try:
            status, _ = await node.hand_in(f"m{n}", "status")
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        if status == 202:
            took.append((time.perf_counter() - began) * 1000)
        else:
            refused.append(status)
        await asyncio.sleep(PAUSE_S)


async def run(folder: Path, clients: int, seconds: float) -> None:
    platform = await Platform().start()
    platform.host("s1", 9)
    node = await Node(folder, platform, max_open=10_000).start()
    before = used(node.process.pid)
    took, refused = list[float](), list[int]()
    sending = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "benchmarks.flood", str(clients), str(seconds), node.host, str(node.port)
    )
    beside = asyncio.create_task(steady(node, took, refused))
    looks = [before]
    while sending.returncode is None:
        await asyncio.sleep(PAUSE_S)
        looks.append(used(node.process.pid))
    beside.cancel()
    await asyncio.gather(beside, return_exceptions=True)
    await node.end()
    print(
        f"memory {before[0]:.1f} MB before, {max(mb for mb, _ in looks):.1f} at most; "
        f"descriptors {before[1]} and {max(n for _, n in looks)} of 256"
    )
    print(
        f"beside them {len(took)} taken on, {len(refused)} not {sorted(set(refused))}; to the 202 "
        f"{statistics.median(took):.1f} ms, {max(took):.1f} at most"
    )


def main() -> None:
    clients = int(sys.argv[1]) if len(sys.argv) > 1 else 100
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 8.0
    if len(sys.argv) > 4:
        asyncio.run(floods(sys.argv[3], int(sys.argv[4]), clients, seconds))
        return
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(run(Path(folder), clients, seconds))


if __name__ == "__main__":
    main()
