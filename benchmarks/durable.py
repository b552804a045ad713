"""What durability costs: time to the 202 and messages a second, one process at each level in turn.

    python -m benchmarks.durable [PAIRS]

The folder is under the working directory, so that its disk is a real one where that is.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
import time
from pathlib import Path

from tests.sockets import OK, Node, Peer, Platform, always

LEVELS = (None, "none", "interval", "data")
ONE_BY_ONE, AT_ONCE, CLIENTS = 150, 400, 16


async def played(level: str | None, folder: Path) -> tuple[float, float, float]:
    """Median and 99th percentile of the time to the 202, in ms, and messages a second from many clients."""
    platform = Platform()
    await platform.start()
    peer = await Peer(always(OK)).start()
    platform.host("s1", peer.port)
    node = Node(folder, platform)
    if level is not None:
        (folder / "parts.toml").write_text(f'[journal]\ndurability = "{level}"\n')
        node.arguments = ["--parts", str(folder / "parts.toml")]
    await node.start()
    times = []
    for n in range(ONE_BY_ONE):
        began = time.monotonic()
        assert (await node.hand_in(f"a{n}"))[0] == 202
        times.append((time.monotonic() - began) * 1000)

    async def client(k: int) -> None:
        for n in range(AT_ONCE // CLIENTS):
            await node.hand_in(f"b{k}-{n}")

    began = time.monotonic()
    await asyncio.gather(*(client(k) for k in range(CLIENTS)))
    rate = AT_ONCE / (time.monotonic() - began)
    await node.end()
    times.sort()
    return statistics.median(times), times[len(times) * 99 // 100], rate


def main() -> None:
    pairs = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    found: dict[str, list[tuple[float, float, float]]] = {}
    for _ in range(pairs):
        for level in LEVELS:
            with tempfile.TemporaryDirectory(dir=Path.cwd()) as folder:
                found.setdefault(str(level), []).append(asyncio.run(played(level, Path(folder))))
    for level, rows in found.items():
        columns = [sorted(column) for column in zip(*rows, strict=True)]
        print(level, *(f"{statistics.median(c):.2f} ({c[0]:.2f} to {c[-1]:.2f})" for c in columns), sep=" | ")


if __name__ == "__main__":
    main()
