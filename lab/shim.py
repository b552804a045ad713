"""Runs the forwarder with system calls that fail, come short, or see another time. Never imported by the program.

    python lab/shim.py CONTROL STATE [ARGUMENT ...]

runs `python -m forwarder ARGUMENT ...` from the current folder. CONTROL is a file of JSON that may change at any time:

    {"clock_s": 3600.0, "failures": [{"call": "write", "errno": "ENOSPC", "share": 1.0}]}

`clock_s` is added to the wall clock. Calls on files fail only where the file is in the folder STATE, `recv` and `send`
only on connections that the program made itself, `endpoint-recv` and `endpoint-send` on those of them that do not lead
to discovery, `client-recv` and `client-send` only on those that it accepted: there
an error that is no passing shortage would be the client's loss. `epoll_ctl` fails where the loop begins to watch a
descriptor, or watches it for something else; `poll` where a descriptor is looked at. `short` is no error: reads, writes
and sends then carry a few bytes at a time. Needs no special rights: calls are replaced in the interpreter.
"""

from __future__ import annotations

import builtins
import contextlib
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
from typing import TYPE_CHECKING, ClassVar, Concatenate, ParamSpec, TypeVar

if TYPE_CHECKING:
    from _typeshed import ReadableBuffer, WriteableBuffer

    Address = tuple[object, ...] | str | ReadableBuffer

Parameters = ParamSpec("Parameters")
Returned = TypeVar("Returned")
Target = int | str | os.PathLike[str]
"""A descriptor or a path."""
CONTROL_POLL_S = 0.005
"""The control file is read this often at most."""
FILE_CALLS = ("write", "pwrite", "open", "ftruncate", "replace", "unlink", "link", "fdatasync", "fsync", "close")
READ_CALL = "read"
"""Of a small file that is read as a whole: opening it counts as the call."""
SOCKET_CALLS = (
    "socket",
    "accept",
    "connect",
    "recv",
    "send",
    "endpoint-recv",
    "endpoint-send",
    "client-recv",
    "client-send",
)
WATCH_CALLS = ("epoll_ctl", "poll")
CALLS = (*FILE_CALLS, READ_CALL, *SOCKET_CALLS, *WATCH_CALLS, "short")
MAX_SHORT_BYTES = 24
"""Bytes that a read or write carries at most while it comes short."""
WRITING_MODES = frozenset("wax+")
"""Letters of a file's mode that mean writing."""
NS_PER_S = 1e9


@dataclass(frozen=True, slots=True)
class Failure:
    """Calls of one kind fail with this share of all, by chance."""

    call: str
    """One of `CALLS`."""
    errno: str = "EIO"
    """The error's name."""
    share: float = 1.0
    file: str = ""
    """Of calls on files: only where the file has this name; any file's, if empty."""


@dataclass(slots=True)
class Control:
    """What a control file asks for."""

    clock_s: float = 0.0
    failures: list[Failure] = field(default_factory=list)

    def write(self, path: Path) -> None:
        """Write the file in the old one's place, so that no half of it is ever read."""
        spare = path.with_name(f"{path.name}.new")
        spare.write_text(json.dumps(asdict(self)))
        os.replace(spare, path)


class Shim:
    """The replaced calls of this process."""

    def __init__(self, control_path: Path, state: Path) -> None:
        """Make a shim; `install` replaces the calls.

        Args:
            control_path: The control file.
            state: The folder whose files' calls fail.
        """
        self.control_path = control_path
        self.state = str(state.resolve())
        self.rng = random.Random(os.getpid())
        self.control = Control()
        self.polled_at_s = -1.0
        self.control_mtime_ns = 0
        self.real_stat = os.stat
        self.real_open = io.open
        self.real_monotonic = time.monotonic

    def current_control(self) -> Control:
        """Return what is asked for now."""
        now_s = self.real_monotonic()
        if now_s - self.polled_at_s >= CONTROL_POLL_S:
            self.polled_at_s = now_s
            with contextlib.suppress(OSError):  # the file is not there yet
                self._read_control()
        return self.control

    def _read_control(self) -> None:
        mtime_ns = self.real_stat(self.control_path).st_mtime_ns
        if mtime_ns == self.control_mtime_ns:
            return
        with self.real_open(self.control_path) as file:
            fields = json.load(file)
        self.control = Control(fields["clock_s"], [Failure(**each) for each in fields["failures"]])
        self.control_mtime_ns = mtime_ns

    def raise_if_failing(self, call: str, file: str = "") -> None:
        """Fail a call, if it is to fail now.

        Raises:
            OSError: With the error that the control file names.
        """
        for failure in self.current_control().failures:
            if failure.call != call or failure.file not in ("", file):
                continue
            if self.rng.random() < failure.share:
                number = getattr(errno, failure.errno)
                raise OSError(number, f"{os.strerror(number)} (lab)")

    def shorten(self, size: int) -> int:
        """Return how many of so many bytes go at once."""
        for failure in self.current_control().failures:
            if failure.call == "short" and size > 1 and self.rng.random() < failure.share:
                return self.rng.randrange(1, min(size, MAX_SHORT_BYTES) + 1)
        return size

    def name_in_state(self, target: Target) -> str | None:
        """Return the name of a path or descriptor in the state folder, or of the folder itself; None elsewhere."""
        try:
            path = os.readlink(f"/proc/self/fd/{target}") if isinstance(target, int) else os.path.abspath(target)
        except (OSError, TypeError):
            return None
        return os.path.basename(path) if path == self.state or path.startswith(self.state + "/") else None

    # Replacing

    def install(self) -> None:
        """Replace the calls of this process."""
        for call in FILE_CALLS:
            setattr(os, call, self._replacement(call, getattr(os, call)))
        io.open = builtins.open = self._failing_open(io.open)  # type: ignore[assignment]
        FailingSocket.shim = FailingEpoll.shim = FailingPoll.shim = self
        socket.socket = FailingSocket  # type: ignore[misc]
        select.epoll = FailingEpoll  # type: ignore[misc, assignment]
        select.poll = FailingPoll  # type: ignore[misc, assignment]
        real_time_ns = time.time_ns
        time.time_ns = lambda: real_time_ns() + int(self.current_control().clock_s * NS_PER_S)
        time.time = lambda: time.time_ns() / NS_PER_S

    def _replacement(self, call: str, real: Callable[..., object]) -> Callable[..., object]:
        if call == "close":
            return self._failing_close(real)
        if call == "write":
            return self._failing_write(real)
        return self._failing_call(call, real)

    def _failing_call(
        self, call: str, real: Callable[Concatenate[Target, Parameters], Returned]
    ) -> Callable[Concatenate[Target, Parameters], Returned]:
        def replaced(target: Target, /, *args: Parameters.args, **kwargs: Parameters.kwargs) -> Returned:
            """Fail before the real call."""
            file = self.name_in_state(target)
            if file is not None:
                self.raise_if_failing(call, file)
            return real(target, *args, **kwargs)

        return replaced

    def _failing_close(self, real: Callable[[int], object]) -> Callable[[int], None]:
        def close(descriptor: int) -> None:
            """Fail after the real call: Linux frees the descriptor in any case."""
            file = self.name_in_state(descriptor)
            real(descriptor)
            if file is not None:
                self.raise_if_failing("close", file)

        return close

    def _failing_write(self, real: Callable[[int, ReadableBuffer], Returned]) -> Callable[..., Returned]:
        def write(descriptor: int, data: ReadableBuffer) -> Returned:
            """Fail before the real call, or write a part."""
            file = self.name_in_state(descriptor)
            if file is None:
                return real(descriptor, data)
            self.raise_if_failing("write", file)
            view = memoryview(data)
            return real(descriptor, view[: self.shorten(len(view))])

        return write

    def _failing_open(self, real: Callable[..., object]) -> Callable[..., object]:
        def open_file(file: Target, mode: str = "r", *args: object, **kwargs: object) -> object:
            """Fail before the real call."""
            name = self.name_in_state(file)
            if name is not None:
                self.raise_if_failing("open" if WRITING_MODES.intersection(mode) else READ_CALL, name)
            return real(file, mode, *args, **kwargs)

        return open_file


class FailingSocket(socket.socket):
    """A socket whose calls may fail."""

    shim: ClassVar[Shim]
    is_client = False
    """The program made the connection itself."""
    is_endpoint = False
    """It made it, and not to discovery."""

    def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:
        if fileno is None and family in (-1, socket.AF_INET):
            self.shim.raise_if_failing("socket")
        super().__init__(family, type, proto, fileno)

    def accept(self) -> tuple[socket.socket, Address]:
        """Accept a connection."""
        self.shim.raise_if_failing("accept")
        return super().accept()

    def connect(self, address: Address) -> None:
        """Connect to another party."""
        if self.family == socket.AF_INET:
            self.shim.raise_if_failing("connect")
            self.is_client = True
            self.is_endpoint = address != discovery_address()
        super().connect(address)

    def recv_into(self, buffer: WriteableBuffer, nbytes: int = 0, flags: int = 0) -> int:
        """Read into a buffer, perhaps a part."""
        self._raise_if_recv_failing()
        return super().recv_into(buffer, self.shim.shorten(nbytes or len(memoryview(buffer))), flags)

    def recv(self, bufsize: int, flags: int = 0) -> bytes:
        """Read, perhaps a part."""
        if self.is_client:
            self._raise_if_recv_failing()
        return super().recv(self.shim.shorten(bufsize), flags)

    def _raise_if_recv_failing(self) -> None:
        if self.is_endpoint:
            self.shim.raise_if_failing("endpoint-recv")
        self.shim.raise_if_failing("recv" if self.is_client else "client-recv")

    def send(self, data: ReadableBuffer, flags: int = 0) -> int:
        """Write, perhaps a part."""
        if self.is_endpoint:
            self.shim.raise_if_failing("endpoint-send")
        self.shim.raise_if_failing("send" if self.is_client else "client-send")
        with memoryview(data) as view:
            size = self.shim.shorten(len(view))
            return super().send(data if size == len(view) else bytes(view[:size]), flags)


class FailingEpoll:
    """An epoll that may fail to watch a descriptor. The real class cannot be derived from."""

    shim: ClassVar[Shim]
    real_class: ClassVar[type[select.epoll]] = select.epoll

    def __init__(self) -> None:
        self.real = self.real_class()
        self.poll = self.real.poll
        self.unregister = self.real.unregister
        self.close = self.real.close
        self.fileno = self.real.fileno

    def register(self, descriptor: int, events: int) -> None:
        """Watch a descriptor."""
        self.shim.raise_if_failing("epoll_ctl")
        self.real.register(descriptor, events)

    def modify(self, descriptor: int, events: int) -> None:
        """Watch a descriptor for something else."""
        self.shim.raise_if_failing("epoll_ctl")
        self.real.modify(descriptor, events)


class FailingPoll:
    """A poll that may fail. The real class cannot be derived from."""

    shim: ClassVar[Shim]
    make_real = staticmethod(select.poll)

    def __init__(self) -> None:
        self.real = self.make_real()
        self.register = self.real.register
        self.unregister = self.real.unregister

    def poll(self, timeout_ms: float | None = None) -> list[tuple[int, int]]:
        """Look at the descriptors."""
        self.shim.raise_if_failing("poll")
        return self.real.poll(timeout_ms)


def discovery_address() -> tuple[str, int] | None:
    """Return where the configuration has discovery just now; None where it cannot be read."""
    try:
        host, _, port = str(json.loads(Path(os.environ["LB_CONFIG"]).read_bytes())["discovery"]).rpartition(":")
        return host, int(port)
    except (OSError, ValueError, KeyError):
        return None


def module_name(program: Path) -> str:
    """Return the package that `python -m` runs in a checkout; until e0ee873 it had another name."""
    return "forwarder" if (program / "forwarder").is_dir() else "lemonshunt"


def main() -> None:
    """Install the shim, and run the program as its own interpreter would."""
    control_path, state = Path(sys.argv[1]), Path(sys.argv[2])
    program = module_name(Path.cwd())
    sys.argv = [program, *sys.argv[3:]]
    sys.path[0] = os.getcwd()
    Shim(control_path, state).install()
    runpy.run_module(program, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
