"""Starts and reaps the forwarders for the lab, in a process of its own.

While a process with many descriptors starts others, its own event loop stands still (60 ms for each, where six start at
once), and the lab would be late. This process has no descriptors but its pipes. It also ends whatever it has started
when the lab is gone, in whatever way.

A line of JSON asks for a start; further lines tell that it has started and, later, that it has ended.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec

MAX_LINE_BYTES = 1 << 20
ROOT = Path(__file__).resolve().parent.parent


class StartRequest(msgspec.Struct, frozen=True):
    """Asks for a process. `key` is the asker's, and comes back in the replies."""

    key: int
    argv: list[str]
    cwd: str
    env: dict[str, str]
    log: str
    """The file that its output is added to."""


class Reply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tells that a process has started (`pid`), could not be started (`error`), or has ended (`code`)."""

    key: int
    pid: int = 0
    code: int | None = None
    error: str = ""


@dataclass(frozen=True, slots=True)
class Process:
    """A started process. Signals go to its descriptor, so never to another process that got its number."""

    pid: int
    fd: int
    """-1: it had ended before it could be had."""

    def send(self, sign: int) -> None:
        """Send a signal, if the process has not ended."""
        if self.fd < 0:
            return
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self.fd, sign)

    def close(self) -> None:
        """Release the descriptor."""
        if self.fd >= 0:
            os.close(self.fd)


class Launcher:
    """The lab's side."""

    def __init__(self) -> None:
        self.process: asyncio.subprocess.Process | None = None
        self.reading: asyncio.Task[None] | None = None
        self.starting: dict[int, asyncio.Future[int]] = {}
        self.on_end: dict[int, Callable[[int], None]] = {}
        self.last_key = 0

    async def open(self) -> None:
        """Start the launcher's process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lab.launcher",
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            cwd=ROOT,
            limit=MAX_LINE_BYTES,
            start_new_session=True,
        )
        self.reading = asyncio.get_running_loop().create_task(self._read())

    async def start(
        self, argv: list[str], cwd: Path, env: dict[str, str], log: Path, on_end: Callable[[int], None]
    ) -> Process:
        """Start a process.

        Args:
            argv: The command.
            cwd: Its working directory.
            env: Its whole environment.
            log: The file that its output is added to.
            on_end: Called with its exit status.

        Raises:
            OSError: It could not be started.
        """
        assert self.process is not None
        assert self.process.stdin is not None
        self.last_key += 1
        key = self.last_key
        started: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.starting[key] = started
        self.on_end[key] = on_end
        request = StartRequest(key, argv, str(cwd), env, str(log))
        self.process.stdin.write(msgspec.json.encode(request) + b"\n")
        pid = await started
        try:
            return Process(pid, os.pidfd_open(pid))
        except ProcessLookupError:
            return Process(pid, -1)

    async def _read(self) -> None:
        assert self.process is not None
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            reply = msgspec.json.decode(line, type=Reply)
            if reply.code is not None:  # after whoever waits for its start has heard of that
                asyncio.get_running_loop().call_soon(self.on_end.pop(reply.key), reply.code)
            elif reply.error:
                self.starting.pop(reply.key).set_exception(OSError(reply.error))
            else:
                self.starting.pop(reply.key).set_result(reply.pid)

    async def close(self) -> None:
        """End the launcher's process, and with it all that it has started."""
        if self.process is not None and self.process.stdin is not None:
            self.process.stdin.close()
            await self.process.wait()
        if self.reading is not None:
            await self.reading


def _write(reply: Reply) -> None:
    sys.stdout.write(msgspec.json.encode(reply).decode() + "\n")
    sys.stdout.flush()


def _spawn(request: StartRequest) -> subprocess.Popen[bytes]:
    with open(request.log, "ab") as log:
        return subprocess.Popen(
            request.argv,
            cwd=request.cwd,
            env=request.env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            start_new_session=True,
        )


async def serve() -> None:
    """Run the launcher's side, until its input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    children: dict[int, subprocess.Popen[bytes]] = {}

    def reap(fd: int, key: int, child: subprocess.Popen[bytes]) -> None:
        """Take the exit status of a child that has ended."""
        loop.remove_reader(fd)
        os.close(fd)
        del children[key]
        _write(Reply(key, pid=child.pid, code=child.wait()))

    while line := await reader.readline():
        request = msgspec.json.decode(line, type=StartRequest)
        try:
            child = _spawn(request)
        except OSError as error:
            _write(Reply(request.key, error=str(error)))
            continue
        children[request.key] = child
        _write(Reply(request.key, pid=child.pid))
        fd = os.pidfd_open(child.pid)
        loop.add_reader(fd, reap, fd, request.key, child)
    for child in children.values():
        child.kill()
    for child in children.values():
        child.wait()


if __name__ == "__main__":
    asyncio.run(serve())
