"""Starts and reaps the forwarder processes of the lab, in a separate process.

A process with many descriptors blocks its event loop while it spawns another (60 ms for each, if six are spawned at
once), which would delay the lab. The launcher process has no descriptors but its pipes. It also kills every process
that it spawned when the lab ends, however the lab ends.

Each line of JSON on standard input requests a process. Each line on standard output reports that a process has
started, could not be started, or has ended.
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
    """Requests a process. `key` is chosen by the requester and repeated in the replies."""

    key: int
    argv: list[str]
    cwd: str
    env: dict[str, str]
    log: str
    """The file that the process's output is appended to."""


class Reply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Reports that a process has started (`pid`), could not be started (`error`), or has ended (`code`)."""

    key: int
    pid: int = 0
    code: int | None = None
    error: str = ""


@dataclass(frozen=True, slots=True)
class Process:
    """A running process. Signals go to its pidfd, so they never reach another process that reuses its pid."""

    pid: int
    fd: int
    """The pidfd; -1 if the process ended before its pidfd could be opened."""

    def send_signal(self, signal_number: int) -> None:
        """Send a signal, if the process has not ended."""
        if self.fd < 0:
            return
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self.fd, signal_number)

    def close(self) -> None:
        """Release the descriptor."""
        if self.fd >= 0:
            os.close(self.fd)


class Launcher:
    """The lab's side of the launcher."""

    def __init__(self) -> None:
        self.process: asyncio.subprocess.Process | None = None
        self.reply_reader: asyncio.Task[None] | None = None
        self.pending_starts: dict[int, asyncio.Future[int]] = {}
        self.end_callbacks: dict[int, Callable[[int], None]] = {}
        self.last_key = 0

    async def open(self) -> None:
        """Start the launcher process."""
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
        self.reply_reader = asyncio.get_running_loop().create_task(self._read_replies())

    async def start(
        self, argv: list[str], cwd: Path, env: dict[str, str], log: Path, on_end: Callable[[int], None]
    ) -> Process:
        """Start a process.

        Args:
            argv: The command.
            cwd: The process's working directory.
            env: The process's whole environment.
            log: The file that the process's output is appended to.
            on_end: Called with the process's exit status.

        Raises:
            OSError: The process could not be started.
        """
        assert self.process is not None
        assert self.process.stdin is not None
        self.last_key += 1
        key = self.last_key
        start_result: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.pending_starts[key] = start_result
        self.end_callbacks[key] = on_end
        request = StartRequest(key, argv, str(cwd), env, str(log))
        self.process.stdin.write(msgspec.json.encode(request) + b"\n")
        pid = await start_result
        try:
            return Process(pid, os.pidfd_open(pid))
        except ProcessLookupError:
            return Process(pid, -1)

    async def _read_replies(self) -> None:
        assert self.process is not None
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            reply = msgspec.json.decode(line, type=Reply)
            if reply.code is not None:  # deferred, so that the task that awaits the start runs first
                asyncio.get_running_loop().call_soon(self.end_callbacks.pop(reply.key), reply.code)
            elif reply.error:
                self.pending_starts.pop(reply.key).set_exception(OSError(reply.error))
            else:
                self.pending_starts.pop(reply.key).set_result(reply.pid)

    async def close(self) -> None:
        """End the launcher process, which kills every process that it spawned."""
        if self.process is not None and self.process.stdin is not None:
            self.process.stdin.close()
            await self.process.wait()
        if self.reply_reader is not None:
            await self.reply_reader


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
    """Run the launcher process until its input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    children: dict[int, subprocess.Popen[bytes]] = {}

    def reap(fd: int, key: int, child: subprocess.Popen[bytes]) -> None:
        """Reap a child that has ended, and report its exit status."""
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
