"""Runs the forwarder with system calls that fail, come short, or tell another time. Never imported by the program.

    python lab/shim.py CONTROL STATE [ARGUMENT ...]

runs `python -m forwarder ARGUMENT ...` from the current folder. CONTROL is a file of JSON that may change at any time:

    {"clock_s": 3600.0, "failures": [{"call": "write", "errno": "ENOSPC", "share": 1.0}]}

`clock_s` is added to the wall clock. Calls on files fail only where the file is in the folder STATE, `recv` and `send`
only on connections that the program made itself, `client-recv` and `client-send` only on those that it accepted: there
an error that is no passing shortage would be the client's loss. `epoll_ctl` fails where the loop begins to watch a
descriptor, or watches it for something else; `poll` where a descriptor is looked at. `short` is no error: reads, writes
and sends then carry a few bytes at a time. Needs no special rights: calls are replaced in the interpreter.
"""

from __future__ import annotations

import builtins
import errno
import io
import json
import os
import random
import runpy
import select
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

CONTROL_POLL_S = 0.005
"""The control file is looked at this often at most."""
FILE_CALLS = ("write", "pwrite", "open", "ftruncate", "replace", "unlink", "link", "fdatasync", "fsync", "close")
READ_CALL = "read"
"""Of a small file that is read as a whole: opening it counts."""
SOCKET_CALLS = ("socket", "accept", "connect", "recv", "send", "client-recv", "client-send")
WATCH_CALLS = ("epoll_ctl", "poll")
CALLS = (*FILE_CALLS, READ_CALL, *SOCKET_CALLS, *WATCH_CALLS, "short")
MAX_SHORT_BYTES = 24
"""Bytes that a read or write carries at most while it comes short."""


@dataclass(frozen=True, slots=True)
class Failure:
    """Calls of one kind fail with this share of all, by chance."""

    call: str
    errno: str = "EIO"
    share: float = 1.0
    file: str = ""
    """Of calls on files: only where the file has this name; any file's, if empty."""


@dataclass(slots=True)
class Control:
    """What a control file asks for."""

    clock_s: float = 0.0
    failures: list[Failure] = field(default_factory=list)

    def write(self, path: Path) -> None:
        """In the old one's place, so that no half of it is ever read."""
        spare = path.with_name(f"{path.name}.new")
        spare.write_text(json.dumps(asdict(self)))
        os.replace(spare, path)


class Shim:
    """The replaced calls of this process."""

    def __init__(self, control: Path, state: Path) -> None:
        self.path, self.state = control, str(state.resolve())
        self.chance = random.Random(os.getpid())
        self.told = Control()
        self.looked_s, self.stamp = -1.0, 0
        self.real_stat, self.real_open, self.real_monotonic = os.stat, io.open, time.monotonic

    def look(self) -> Control:
        """What is asked for now."""
        now = self.real_monotonic()
        if now - self.looked_s >= CONTROL_POLL_S:
            self.looked_s = now
            try:
                stamp = self.real_stat(self.path).st_mtime_ns
                if stamp != self.stamp:
                    with self.real_open(self.path) as file:
                        told = json.load(file)
                    self.told = Control(told["clock_s"], [Failure(**each) for each in told["failures"]])
                    self.stamp = stamp
            except OSError:
                pass  # it is not there yet
        return self.told

    def strike(self, call: str, file: str = "") -> None:
        """Fail, if this call is to fail now. Raises OSError."""
        for failure in self.look().failures:
            if failure.call != call or failure.file not in ("", file):
                continue
            if self.chance.random() < failure.share:
                number = getattr(errno, failure.errno)
                raise OSError(number, f"{os.strerror(number)} (lab)")

    def short(self, size: int) -> int:
        """How many of so many bytes go at once."""
        for failure in self.look().failures:
            if failure.call == "short" and size > 1 and self.chance.random() < failure.share:
                return self.chance.randrange(1, min(size, MAX_SHORT_BYTES) + 1)
        return size

    def concerned(self, where: Any) -> str | None:
        """The name of a path or descriptor in the state folder, or of the folder; None elsewhere."""
        try:
            path = os.readlink(f"/proc/self/fd/{where}") if isinstance(where, int) else os.path.abspath(where)
        except (OSError, TypeError):
            return None
        return os.path.basename(path) if path == self.state or path.startswith(self.state + "/") else None

    # Replacing

    def install(self) -> None:
        for call in FILE_CALLS:
            setattr(os, call, self.file_call(call, getattr(os, call)))
        real_open = io.open

        def open_file(file: Any, mode: str = "r", *rest: Any, **named: Any) -> Any:
            if (name := self.concerned(file)) is not None:
                self.strike("open" if any(letter in mode for letter in "wax+") else READ_CALL, name)
            return real_open(file, mode, *rest, **named)

        io.open = builtins.open = open_file
        socket.socket = self.socket_class()  # type: ignore[misc]
        select.epoll = self.epoll_class()  # type: ignore[misc, assignment]
        select.poll = self.poll_class()  # type: ignore[misc, assignment]
        real_time_ns = time.time_ns
        time.time_ns = lambda: real_time_ns() + int(self.look().clock_s * 1e9)
        time.time = lambda: time.time_ns() / 1e9

    def file_call(self, name: str, real: Callable[..., Any]) -> Callable[..., Any]:
        def replaced(where: Any, *rest: Any, **named: Any) -> Any:
            file = self.concerned(where)
            if file is None:
                return real(where, *rest, **named)
            if name == "close":
                real(where)  # Linux frees the descriptor in any case
                self.strike(name, file)
                return None
            self.strike(name, file)
            if name == "write":
                data = rest[0]
                return real(where, data[: self.short(len(data))])
            return real(where, *rest, **named)

        return replaced

    def epoll_class(self) -> type:
        shim, real = self, select.epoll

        class Epoll:
            """One that may fail to watch a descriptor. The real class cannot be derived from."""

            def __init__(self) -> None:
                self.real = real()
                self.poll, self.unregister, self.close = self.real.poll, self.real.unregister, self.real.close
                self.fileno = self.real.fileno

            def register(self, fd: int, events: int) -> None:
                shim.strike("epoll_ctl")
                self.real.register(fd, events)

            def modify(self, fd: int, events: int) -> None:
                shim.strike("epoll_ctl")
                self.real.modify(fd, events)

        return Epoll

    def poll_class(self) -> type:
        shim, real = self, select.poll

        class Poll:
            """One that may fail to look. The real class cannot be derived from."""

            def __init__(self) -> None:
                self.real = real()
                self.register, self.unregister = self.real.register, self.real.unregister

            def poll(self, timeout_ms: float | None = None) -> list[tuple[int, int]]:
                shim.strike("poll")
                return self.real.poll(timeout_ms)

        return Poll

    def socket_class(self) -> type[socket.socket]:
        shim = self

        class Socket(socket.socket):
            """One whose calls may fail."""

            dialled = False

            def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:
                if fileno is None and family in (-1, socket.AF_INET):
                    shim.strike("socket")
                super().__init__(family, type, proto, fileno)

            def accept(self) -> tuple[socket.socket, Any]:
                shim.strike("accept")
                return super().accept()

            def connect(self, address: Any) -> None:
                if self.family == socket.AF_INET:
                    shim.strike("connect")
                    self.dialled = True
                super().connect(address)

            def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
                shim.strike("recv" if self.dialled else "client-recv")
                return super().recv_into(buffer, shim.short(nbytes or len(buffer)), flags)

            def recv(self, bufsize: int, flags: int = 0) -> bytes:
                if self.dialled:
                    shim.strike("recv")
                return super().recv(shim.short(bufsize), flags)

            def send(self, data: Any, flags: int = 0) -> int:
                shim.strike("send" if self.dialled else "client-send")
                return super().send(data[: shim.short(len(data))], flags)

        return Socket


def module_name(program: Path) -> str:
    """The package that `python -m` runs in a checkout; until e0ee873 it had another name."""
    return "forwarder" if (program / "forwarder").is_dir() else "lemonshunt"


def main() -> None:
    control, state = Path(sys.argv[1]), Path(sys.argv[2])
    program = module_name(Path.cwd())
    sys.argv = [program, *sys.argv[3:]]
    sys.path[0] = os.getcwd()
    Shim(control, state).install()
    runpy.run_module(program, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
