"""Runs the forwarder with failing system calls, partial reads and writes, and a skewed wall clock.

The forwarder never imports this module.

    python lab/shim.py CONTROL STATE [ARGUMENT ...]

runs `python -m forwarder ARGUMENT ...` in the current folder. CONTROL is a JSON file that may change at any time:

    {"clock_s": 3600.0, "failures": [{"call": "write", "errno": "ENOSPC", "share": 1.0}]}

- `clock_s`, in seconds, is added to the wall clock.
- `share` is the probability that a call fails. `file` limits a failure of file calls to the files with this name.
- File calls fail only for files in the folder STATE.
- `recv` and `send` fail only on connections that the program opened.
- `endpoint-recv` and `endpoint-send` fail only on connections that the program opened, except those to discovery.
- `client-recv` and `client-send` fail only on connections that the program accepted. They are separate calls, since an
  error there that is not a temporary shortage loses the client's request.
- `epoll_ctl` fails where the event loop registers a descriptor or changes its events, `poll` where it polls one.
- `short` is not an error: reads, writes and sends transfer only a few bytes at a time.

The shim needs no privileges, since it replaces the calls in the interpreter.
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
"""A file descriptor or a path."""
CONTROL_POLL_S = 0.005
"""Shortest time between two checks of the control file."""
FILE_CALLS = ("write", "pwrite", "open", "ftruncate", "replace", "unlink", "link", "fdatasync", "fsync", "close")
READ_CALL = "read"
"""Reading a whole small file; the failure is raised when the file is opened for reading."""
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
"""Maximum size of a partial read or write."""
WRITING_MODES = frozenset("wax+")
"""Characters of an open mode that allow writing."""
NS_PER_S = 1e9


@dataclass(frozen=True, slots=True)
class Failure:
    """A random share of the calls of one kind fails."""

    call: str
    """One of `CALLS`."""
    errno: str = "EIO"
    """The symbolic name of the error."""
    share: float = 1.0
    file: str = ""
    """For file calls: the name of the only file whose calls fail; empty for all files."""


@dataclass(slots=True)
class Control:
    """The content of a control file."""

    clock_s: float = 0.0
    failures: list[Failure] = field(default_factory=list)

    def write(self, path: Path) -> None:
        """Replace the file atomically, so that a reader never sees a partial one."""
        new_path = path.with_name(f"{path.name}.new")
        new_path.write_text(json.dumps(asdict(self)))
        os.replace(new_path, path)


class Shim:
    """Replaces system calls of this process with calls that may fail."""

    def __init__(self, control_path: Path, state: Path) -> None:
        """Create a shim; `install` replaces the calls.

        Args:
            control_path: The control file.
            state: The folder to whose files the failures of file calls apply.
        """
        self.control_path = control_path
        self.state = str(state.resolve())
        self.rng = random.Random(os.getpid())
        self.control = Control()
        self.last_poll_s = -1.0
        self.control_mtime_ns = 0
        self.real_stat = os.stat
        self.real_open = io.open
        self.real_monotonic = time.monotonic

    def current_control(self) -> Control:
        """Return the current content of the control file."""
        now_s = self.real_monotonic()
        if now_s - self.last_poll_s >= CONTROL_POLL_S:
            self.last_poll_s = now_s
            with contextlib.suppress(OSError):  # the file does not exist yet
                self._read_control()
        return self.control

    def _read_control(self) -> None:
        mtime_ns = self.real_stat(self.control_path).st_mtime_ns
        if mtime_ns == self.control_mtime_ns:
            return
        with self.real_open(self.control_path) as file:
            fields = json.load(file)
        self.control = Control(fields["clock_s"], [Failure(**entry) for entry in fields["failures"]])
        self.control_mtime_ns = mtime_ns

    def raise_if_failing(self, call: str, file: str = "") -> None:
        """Raise the error of a call if the control file lets it fail and the random draw selects it.

        Raises:
            OSError: The error that the control file names.
        """
        for failure in self.current_control().failures:
            if failure.call != call or failure.file not in ("", file):
                continue
            if self.rng.random() < failure.share:
                error_number = getattr(errno, failure.errno)
                raise OSError(error_number, f"{os.strerror(error_number)} (lab)")

    def limit_size(self, size: int) -> int:
        """Return how many of `size` bytes one read or write transfers."""
        for failure in self.current_control().failures:
            if failure.call == "short" and size > 1 and self.rng.random() < failure.share:
                return self.rng.randrange(1, min(size, MAX_SHORT_BYTES) + 1)
        return size

    def name_in_state(self, target: Target) -> str | None:
        """Return the file name of a target if it is the state folder or inside it, else None."""
        try:
            path = os.readlink(f"/proc/self/fd/{target}") if isinstance(target, int) else os.path.abspath(target)
        except (OSError, TypeError):
            return None
        return os.path.basename(path) if path == self.state or path.startswith(self.state + "/") else None

    # Replacement of calls

    def install(self) -> None:
        """Replace the calls in this process."""
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
        def failing_call(target: Target, /, *args: Parameters.args, **kwargs: Parameters.kwargs) -> Returned:
            """Run the real call, unless it fails first."""
            file = self.name_in_state(target)
            if file is not None:
                self.raise_if_failing(call, file)
            return real(target, *args, **kwargs)

        return failing_call

    def _failing_close(self, real: Callable[[int], object]) -> Callable[[int], None]:
        def close(descriptor: int) -> None:
            """Run the real call, then fail: Linux releases the descriptor even if close fails."""
            file = self.name_in_state(descriptor)
            real(descriptor)
            if file is not None:
                self.raise_if_failing("close", file)

        return close

    def _failing_write(self, real: Callable[[int, ReadableBuffer], Returned]) -> Callable[..., Returned]:
        def write(descriptor: int, data: ReadableBuffer) -> Returned:
            """Write all or a part of the data, unless the call fails first."""
            file = self.name_in_state(descriptor)
            if file is None:
                return real(descriptor, data)
            self.raise_if_failing("write", file)
            view = memoryview(data)
            return real(descriptor, view[: self.limit_size(len(view))])

        return write

    def _failing_open(self, real: Callable[..., object]) -> Callable[..., object]:
        def open_file(file: Target, mode: str = "r", *args: object, **kwargs: object) -> object:
            """Open the file, unless the call fails first."""
            name = self.name_in_state(file)
            if name is not None:
                self.raise_if_failing("open" if WRITING_MODES.intersection(mode) else READ_CALL, name)
            return real(file, mode, *args, **kwargs)

        return open_file


class FailingSocket(socket.socket):
    """A socket whose calls may fail."""

    shim: ClassVar[Shim]
    is_outgoing = False
    """Whether the program opened the connection."""
    is_to_endpoint = False
    """Whether the program opened the connection, and to an address other than discovery's."""

    def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:
        if fileno is None and family in (-1, socket.AF_INET):
            self.shim.raise_if_failing("socket")
        super().__init__(family, type, proto, fileno)

    def accept(self) -> tuple[socket.socket, Address]:
        """Accept a connection."""
        self.shim.raise_if_failing("accept")
        return super().accept()

    def connect(self, address: Address) -> None:
        """Connect to an address."""
        if self.family == socket.AF_INET:
            self.shim.raise_if_failing("connect")
            self.is_outgoing = True
            self.is_to_endpoint = address != discovery_address()
        super().connect(address)

    def recv_into(self, buffer: WriteableBuffer, nbytes: int = 0, flags: int = 0) -> int:
        """Read into a buffer; the read may be partial."""
        self._raise_if_recv_failing()
        return super().recv_into(buffer, self.shim.limit_size(nbytes or len(memoryview(buffer))), flags)

    def recv(self, bufsize: int, flags: int = 0) -> bytes:
        """Read bytes; the read may be partial."""
        if self.is_outgoing:
            self._raise_if_recv_failing()
        return super().recv(self.shim.limit_size(bufsize), flags)

    def _raise_if_recv_failing(self) -> None:
        if self.is_to_endpoint:
            self.shim.raise_if_failing("endpoint-recv")
        self.shim.raise_if_failing("recv" if self.is_outgoing else "client-recv")

    def send(self, data: ReadableBuffer, flags: int = 0) -> int:
        """Write data; the write may be partial."""
        if self.is_to_endpoint:
            self.shim.raise_if_failing("endpoint-send")
        self.shim.raise_if_failing("send" if self.is_outgoing else "client-send")
        with memoryview(data) as view:
            size = self.shim.limit_size(len(view))
            return super().send(data if size == len(view) else bytes(view[:size]), flags)


class FailingEpoll:
    """An epoll object whose registrations may fail. The real class cannot be subclassed."""

    shim: ClassVar[Shim]
    real_class: ClassVar[type[select.epoll]] = select.epoll

    def __init__(self) -> None:
        self.real = self.real_class()
        self.poll = self.real.poll
        self.unregister = self.real.unregister
        self.close = self.real.close
        self.fileno = self.real.fileno

    def register(self, descriptor: int, events: int) -> None:
        """Register a descriptor."""
        self.shim.raise_if_failing("epoll_ctl")
        self.real.register(descriptor, events)

    def modify(self, descriptor: int, events: int) -> None:
        """Change the events of a registered descriptor."""
        self.shim.raise_if_failing("epoll_ctl")
        self.real.modify(descriptor, events)


class FailingPoll:
    """A poll object whose polling may fail. The real class cannot be subclassed."""

    shim: ClassVar[Shim]
    make_real = staticmethod(select.poll)

    def __init__(self) -> None:
        self.real = self.make_real()
        self.register = self.real.register
        self.unregister = self.real.unregister

    def poll(self, timeout_ms: float | None = None) -> list[tuple[int, int]]:
        """Poll the registered descriptors."""
        self.shim.raise_if_failing("poll")
        return self.real.poll(timeout_ms)


def discovery_address() -> tuple[str, int] | None:
    """Return discovery's address from the current configuration file; None if it cannot be read."""
    try:
        host, _, port = str(json.loads(Path(os.environ["LB_CONFIG"]).read_bytes())["discovery"]).rpartition(":")
        return host, int(port)
    except (OSError, ValueError, KeyError):
        return None


def module_name(program: Path) -> str:
    """Return the package that `python -m` runs in a checkout. Up to commit e0ee873 it has another name."""
    return "forwarder" if (program / "forwarder").is_dir() else "lemonshunt"


def main() -> None:
    """Install the shim, and run the program as `python -m` would."""
    control_path, state = Path(sys.argv[1]), Path(sys.argv[2])
    program = module_name(Path.cwd())
    sys.argv = [program, *sys.argv[3:]]
    sys.path[0] = os.getcwd()
    Shim(control_path, state).install()
    runpy.run_module(program, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
