"""Starts and reaps the forwarders for the lab, in a process of its own.

While a process with many descriptors starts others, its own loop stands still (60 ms for each, where six start at
once): the lab would be late at just the moment that it measures. This one has no descriptors but its pipes. It also
ends whatever it has started when the lab is gone, in whatever way.

A line of JSON asks for a start: {"key", "argv", "cwd", "env", "log"}; lines tell {"key", "pid"} and, later, {"key",
"pid", "code"}.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

LINE = 1 << 20


@dataclass(frozen=True, slots=True)
class Process:
    """One that was started. It is struck by its descriptor, so never another that got its number."""

    pid: int
    fd: int
    """-1: it had ended before it could be had."""

    def send(self, sign: int) -> None:
        if self.fd < 0:
            return
        try:
            signal.pidfd_send_signal(self.fd, sign)
        except ProcessLookupError:
            pass  # it has ended meanwhile

    def close(self) -> None:
        if self.fd >= 0:
            os.close(self.fd)


class Launcher:
    """The lab's side."""

    def __init__(self) -> None:
        self.process: asyncio.subprocess.Process | None = None
        self.reading: asyncio.Task[None] | None = None
        self.starting: dict[int, asyncio.Future[int]] = {}
        self.ended: dict[int, Callable[[int], None]] = {}
        self.key = 0

    async def open(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lab.launcher",
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            cwd=Path(__file__).resolve().parent.parent,
            limit=LINE,
            start_new_session=True,
        )
        self.reading = asyncio.get_running_loop().create_task(self._read())

    async def start(
        self, argv: list[str], cwd: Path, env: dict[str, str], log: Path, ended: Callable[[int], None]
    ) -> Process:
        """Start one; `ended` hears its exit status. Raises OSError."""
        assert self.process is not None
        assert self.process.stdin is not None
        self.key += 1
        key, answer = self.key, asyncio.get_running_loop().create_future()
        self.starting[key], self.ended[key] = answer, ended
        self.process.stdin.write(
            json.dumps({"key": key, "argv": argv, "cwd": str(cwd), "env": env, "log": str(log)}).encode() + b"\n"
        )
        pid = await answer
        try:
            return Process(pid, os.pidfd_open(pid))
        except ProcessLookupError:
            return Process(pid, -1)

    async def _read(self) -> None:
        assert self.process is not None
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            told: dict[str, Any] = json.loads(line)
            if "code" in told:  # after whoever waits for its start has heard of that
                asyncio.get_running_loop().call_soon(self.ended.pop(told["key"]), told["code"])
            elif "error" in told:
                self.starting.pop(told["key"]).set_exception(OSError(told["error"]))
            else:
                self.starting.pop(told["key"]).set_result(told["pid"])

    async def close(self) -> None:
        """All that it has started ends with it."""
        if self.process is not None and self.process.stdin is not None:
            self.process.stdin.close()
            await self.process.wait()
        if self.reading is not None:
            await self.reading


def tell(**told: Any) -> None:
    sys.stdout.write(json.dumps(told) + "\n")
    sys.stdout.flush()


async def serve() -> None:
    """The launcher's side, until its input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    children: dict[int, subprocess.Popen[bytes]] = {}

    def reap(fd: int, key: int, child: subprocess.Popen[bytes]) -> None:
        loop.remove_reader(fd)
        os.close(fd)
        del children[key]
        tell(key=key, pid=child.pid, code=child.wait())

    while line := await reader.readline():
        told = json.loads(line)
        try:
            with open(told["log"], "ab") as log:
                child = subprocess.Popen(
                    told["argv"],
                    cwd=told["cwd"],
                    env=told["env"],
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                    start_new_session=True,
                )
        except OSError as error:
            tell(key=told["key"], error=str(error))
            continue
        children[told["key"]] = child
        tell(key=told["key"], pid=child.pid)
        fd = os.pidfd_open(child.pid)
        loop.add_reader(fd, reap, fd, told["key"], child)
    for child in children.values():
        child.kill()
    for child in children.values():
        child.wait()


if __name__ == "__main__":
    asyncio.run(serve())
