"""What the launcher starts ends with it."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

import pytest

from lab.launcher import Launcher, Process
from tests.sockets import PATIENCE

SLEEP_SOURCE = "import time; time.sleep(60)"


def test_what_the_launcher_started_ends_with_it_and_its_status_is_reported(tmp_path: Path) -> None:
    exit_statuses: list[int] = []

    async def scene() -> tuple[Process, Process, Process]:
        launcher = Launcher()
        await launcher.open()

        async def start(source: str) -> Process:
            return await launcher.start(
                [sys.executable, "-c", source], tmp_path, {}, tmp_path / "log", exit_statuses.append
            )

        ended = await start("raise SystemExit(3)")
        killed = await start(SLEEP_SOURCE)
        running = await start(SLEEP_SOURCE)
        async with asyncio.timeout(PATIENCE):
            while exit_statuses != [3]:
                await asyncio.sleep(0.01)
            killed.send(signal.SIGKILL)
            while exit_statuses != [3, -9]:
                await asyncio.sleep(0.01)
        killed.send(signal.SIGKILL)  # to one that has ended it is no harm
        with pytest.raises(OSError, match="No such file"):
            await launcher.start(["/no/such/program"], tmp_path, {}, tmp_path / "log", exit_statuses.append)
        await launcher.close()
        return ended, killed, running

    for process in asyncio.run(scene()):
        with pytest.raises(ProcessLookupError):
            os.kill(process.pid, 0)
