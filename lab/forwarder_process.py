"""The forwarder processes of the lab: starts them as deployed, and signals, samples and ends them by their pids."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import resource
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import msgspec

from lab.event_log import EventKind, EventLog
from lab.forwarder_config import ForwarderConfig
from lab.launcher import Launcher, Process
from lab.network import Address
from lab.shim import Control, Failure, module_name
from lab.state_folder import StateFolder

KILL_AFTER_S = 3.7
"""The platform sends SIGKILL to a process no earlier than this after SIGTERM; the lab sends it at this time."""
FULL_DISK_SPARE_BYTES = 64
"""Bytes that may still be appended to the largest file once the disk is full."""
ADMIN_TIMEOUT_S = 5.0
END_POLL_S = 0.02
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SHIM_SCRIPT = Path(__file__).resolve().parent / "shim.py"
STAT_USER_TICKS = 11
"""Index among the fields of /proc/PID/stat that follow the command name, like the next two."""
STAT_SYSTEM_TICKS = 12
STAT_RESIDENT_PAGES = 21


class ProcessSample(msgspec.Struct, frozen=True, rename={"memory_bytes": "memory", "disk_bytes": "disk"}):
    """The resource usage of a process at one time. The processor time is in seconds since the process started."""

    at_s: float
    node: str
    cpu_s: float
    memory_bytes: int
    descriptors: int
    disk_bytes: int


@dataclass(slots=True, eq=False)
class ForwarderProcess:
    """One forwarder: its folder, its configuration and its running process, if there is one."""

    name: str
    root: Path
    """Contains its configuration, its log and its state folder."""
    program: Path
    """The checkout that the process runs from."""
    config: ForwarderConfig
    event_log: EventLog
    launcher: Launcher
    admin_address: Address
    on_started: Callable[[int], None]
    """Called with the id of each process that was started."""
    extensions: str | None = None
    """The content of its extensions file; None without one."""
    clock_skew_s: float = 0.0
    failures: list[Failure] = field(default_factory=list)
    """The system calls that currently fail."""
    is_shimmed: bool = False
    """Whether the process runs under the shim, which lets system calls fail and skews the wall clock."""
    process: Process | None = None
    previous_process: Process | None = None
    """The process that `process` is taking over from, during an upgrade."""
    may_start: bool = True
    starts: int = 0
    crashes: int = 0
    discovery_moves: int = 0
    """Number of times that the address of its discovery has changed."""
    started_at_s: float = 0.0
    """In the event loop's time, as `terminated_at_s`."""
    terminated_at_s: float | None = None
    """When SIGTERM was sent to the current process; None before that."""
    state: StateFolder = field(init=False)

    def __post_init__(self) -> None:
        self.state = StateFolder(self.root / "state")

    @property
    def log_path(self) -> Path:
        """The file that the process's output is appended to."""
        return self.root / "log"

    @property
    def config_path(self) -> Path:
        """The configuration file."""
        return self.root / "config.json"

    @property
    def extensions_path(self) -> Path:
        """The extensions file."""
        return self.root / "parts.toml"

    @property
    def control_path(self) -> Path:
        """The control file of the shim."""
        return self.root / "control.json"

    def read_log(self) -> str:
        """Return the process's output so far."""
        return self.log_path.read_text(errors="replace")

    # Files

    def write_files(self) -> None:
        """Create the state folder, and write the configuration, extensions and control files."""
        self.state.path.mkdir(parents=True)
        self.config_path.write_text(self._encoded_config())
        if self.extensions is not None:
            self.extensions_path.write_text(self.extensions)
        self.write_shim_control()

    def write_config(self) -> None:
        """Replace the configuration file atomically."""
        new_path = self.root / "config.json.new"
        new_path.write_text(self._encoded_config())
        os.replace(new_path, self.config_path)

    def _encoded_config(self) -> str:
        return json.dumps(msgspec.to_builtins(self.config))

    def write_shim_control(self) -> None:
        """Write the failing calls and the clock skew for the shim, which also reads them while the process runs."""
        Control(self.clock_skew_s, self.failures).write(self.control_path)

    # Starting

    async def start(self) -> None:
        """Start a process on the current state folder, unless one is running or none may start.

        Each start gets its own seed.
        """
        if self.process is None and self.may_start:
            await self._start()

    async def upgrade(self, program: Path | None = None) -> None:
        """Start another process on the same state folder: it takes over from the running one, which then exits.

        Args:
            program: The checkout that the new process runs from; None for the same checkout.
        """
        if self.process is None:
            return
        self.program = program or self.program
        self.previous_process = self.process
        self.event_log.note(EventKind.PROCESS_UPGRADED, node=self.name)
        await self._start()

    async def _start(self) -> None:
        self.starts += 1
        self.config.seed = f"{self.config.seed.partition('/')[0]}/{self.starts}"
        self.terminated_at_s = None
        self.started_at_s = asyncio.get_running_loop().time()
        self.write_config()
        self.process = await self._spawn()
        self.on_started(self.process.pid)
        sockets = self.config.limits.sockets
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
        self.event_log.note(EventKind.PROCESS_STARTED, node=self.name)

    async def _spawn(self) -> Process:
        env = {
            **os.environ,
            "LB_NAME": self.name,
            "LB_LISTEN": self.config.listen,
            "LB_CONTROL": self.config.admin,
            "LB_DISCOVERY": self.config.discovery,
            "LB_STATE": str(self.state.path),
            "LB_CONFIG": str(self.config_path),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        command = ["-m", module_name(self.program)]
        if self.is_shimmed:
            command = [str(SHIM_SCRIPT), str(self.control_path), str(self.state.path)]
        if self.extensions is not None:
            command += ["--parts", str(self.extensions_path)]
        on_end = partial(self._on_end, self.starts)
        return await self.launcher.start([sys.executable, *command], self.program, env, self.log_path, on_end)

    # Ending

    def _on_end(self, start: int, exit_status: int) -> None:
        if start < self.starts and self.previous_process is not None:
            self.previous_process.close()
            self.previous_process = None
        elif self.process is not None:
            self.process.close()
            self.process = self.previous_process  # if the new process could not take over, the previous one goes on
            self.previous_process = None
        crashed = exit_status not in (0, -signal.SIGKILL, -signal.SIGTERM)
        self.crashes += crashed
        state = "crashed" if crashed else ""
        self.event_log.note(EventKind.PROCESS_ENDED, node=self.name, status=exit_status, state=state)

    def signal(self, signal_number: int) -> None:
        """Send a signal to the current process, and during an upgrade to the previous one as well."""
        for process in (self.process, self.previous_process):
            if process is not None:
                process.send_signal(signal_number)

    def kill(self) -> None:
        """Send SIGKILL."""
        self.signal(signal.SIGKILL)
        self.event_log.note(EventKind.PROCESS_KILLED, node=self.name)

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.signal(signal.SIGTERM)
        if self.terminated_at_s is None:
            self.terminated_at_s = asyncio.get_running_loop().time()
        self.event_log.note(EventKind.PROCESS_TERMINATED, node=self.name)

    async def kill_and_wait(self) -> None:
        """Send SIGKILL, and wait until the process has ended."""
        if self.process is not None:
            self.kill()
            await self.wait_for_end()

    async def terminate_and_wait(self) -> None:
        """Send SIGTERM, then SIGKILL after `KILL_AFTER_S`, and wait until the process has ended."""
        if self.process is not None:
            self.terminate()
            await self.wait_for_end(kill_when_late=True)

    async def wait_for_end(self, kill_when_late: bool = False) -> None:
        """Wait until the current process has ended.

        Args:
            kill_when_late: Whether to send SIGKILL `KILL_AFTER_S` after SIGTERM.
        """
        loop = asyncio.get_running_loop()
        process = self.process
        if process is None:
            return
        terminated_at_s = loop.time() if self.terminated_at_s is None else self.terminated_at_s
        while self.process is process:
            if kill_when_late and loop.time() > terminated_at_s + KILL_AFTER_S:
                kill_when_late = False
                self.kill()
            await asyncio.sleep(END_POLL_S)

    # The state folder

    def damage_folder(self, kind: str, fault_at_s: float, rng: random.Random) -> None:
        """Lose, restore or damage the state folder while no process uses it (`StateFolder.damage`)."""
        if kind != "kept":
            self.event_log.note(EventKind.STATE_FOLDER_CHANGED, node=self.name, state=kind)
        self.state.damage(kind, fault_at_s, rng)

    def set_disk_full(self, is_full: bool) -> None:
        """Limit the size of the files that the process writes, as a full disk does, or remove the limit.

        The limit is the current size of the largest file in the state folder plus `FULL_DISK_SPARE_BYTES`.
        """
        if self.process is None:
            return
        _, hard_limit = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
        full_limit = self.state.largest_file_bytes() + FULL_DISK_SPARE_BYTES
        soft_limit = full_limit if is_full else hard_limit
        resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (soft_limit, hard_limit))

    # Observation

    def sample(self) -> ProcessSample | None:
        """Return the current resource usage; None if no process is running."""
        if self.process is None:
            return None
        process_folder = Path(f"/proc/{self.process.pid}")
        try:
            fields = (process_folder / "stat").read_text().rpartition(")")[2].split()
            descriptors = len(os.listdir(process_folder / "fd"))
            disk_bytes = self.state.size_bytes()
        except OSError:
            return None
        return ProcessSample(
            at_s=self.event_log.clock(),
            node=self.name,
            cpu_s=(int(fields[STAT_USER_TICKS]) + int(fields[STAT_SYSTEM_TICKS])) / CLOCK_TICKS_PER_S,
            memory_bytes=int(fields[STAT_RESIDENT_PAGES]) * PAGE_BYTES,
            descriptors=descriptors,
            disk_bytes=disk_bytes,
        )

    async def admin_call(self, line: str) -> str:
        """Send a command line to the admin interface, and return the answer.

        Raises:
            OSError: The admin interface is unreachable or does not answer.
        """
        reader, writer = await asyncio.open_connection(*self.admin_address)
        try:
            writer.write(line.encode() + b"\n")
            async with asyncio.timeout(ADMIN_TIMEOUT_S):
                return (await reader.read()).decode().strip()
        except TimeoutError:
            raise OSError("no answer") from None
        finally:
            writer.close()
