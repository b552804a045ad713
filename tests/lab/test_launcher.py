"""Tests that processes end with the launcher that started them, and that it reports their exit statuses."""

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


def test_the_launcher_reports_exit_statuses_and_ends_its_processes_when_it_closes(tmp_path: Path) -> None:
    exit_statuses: list[int] = []

    async def run_processes() -> tuple[Process, Process, Process]:
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
            killed.send_signal(signal.SIGKILL)
            while exit_statuses != [3, -9]:
                await asyncio.sleep(0.01)
        killed.send_signal(signal.SIGKILL)  # has no effect on a process that has ended
        with pytest.raises(OSError, match="No such file"):
            await launcher.start(["/no/such/program"], tmp_path, {}, tmp_path / "log", exit_statuses.append)
        await launcher.close()
        return ended, killed, running

    for process in asyncio.run(run_processes()):
        with pytest.raises(ProcessLookupError):
            os.kill(process.pid, 0)
