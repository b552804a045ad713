"""What the launcher starts ends with it."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

import pytest

from lab.launcher import Launcher, Process
from tests.sockets import PATIENCE

SLEEP_SOURCE = "import time; time.sleep(60)"


def test_what_the_launcher_started_ends_with_it_and_its_status_is_reported(tmp_path: Path) -> None:
    codes: list[int] = []

    async def scene() -> tuple[Process, Process, Process]:
        launcher = Launcher()
        await launcher.open()

        async def start(text: str) -> Process:
            return await launcher.start([sys.executable, "-c", text], tmp_path, {}, tmp_path / "log", codes.append)

        short, struck, left = await start("raise SystemExit(3)"), await start(SLEEP_SOURCE), await start(SLEEP_SOURCE)
        async with asyncio.timeout(PATIENCE):
            while codes != [3]:
                await asyncio.sleep(0.01)
            struck.send(9)
            while codes != [3, -9]:
                await asyncio.sleep(0.01)
        struck.send(9)  # to one that has ended it is no harm
        with pytest.raises(OSError, match="No such file"):
            await launcher.start(["/no/such/program"], tmp_path, {}, tmp_path / "log", codes.append)
        await launcher.close()
        return short, struck, left

    for process in asyncio.run(scene()):
        with pytest.raises(ProcessLookupError):
            os.kill(process.pid, 0)
