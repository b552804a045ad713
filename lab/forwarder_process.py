"""The forwarders' processes: started as deployed, signalled, sampled, and ended by their own ids."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import resource
import signal
import sys
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
"""SIGKILL follows SIGTERM no sooner (PROTOCOL)."""
FULL_DISK_SPARE_BYTES = 64
"""A full disk takes so much more."""
ADMIN_TIMEOUT_S = 5.0
END_POLL_S = 0.02
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SHIM_SCRIPT = Path(__file__).resolve().parent / "shim.py"
STAT_USER_TICKS = 11
"""A field of /proc/PID/stat behind the command's name, as the next two."""
STAT_SYSTEM_TICKS = 12
STAT_RESIDENT_PAGES = 21


class ProcessSample(msgspec.Struct, frozen=True, rename={"memory_bytes": "memory", "disk_bytes": "disk"}):
    """One look at a process. Processor time in seconds since its start."""

    at_s: float
    node: str
    cpu_s: float
    memory_bytes: int
    descriptors: int
    disk_bytes: int


@dataclass(slots=True, eq=False)
class ForwarderProcess:
    """One forwarder: its folder, its configuration, and the process that is up now, if any."""

    name: str
    root: Path
    """Holds its configuration, its log and its state folder."""
    program: Path
    """The checkout that it runs from."""
    config: ForwarderConfig
    event_log: EventLog
    launcher: Launcher
    admin_address: Address
    extensions: str | None = None
    """The text of its extensions file, if it has one."""
    clock_skew_s: float = 0.0
    failures: list[Failure] = field(default_factory=list)
    """System calls that fail now."""
    is_shimmed: bool = False
    """It runs with the calls that the schedule makes fail."""
    process: Process | None = None
    former: Process | None = None
    """The one before, while another takes over from it."""
    may_start: bool = True
    starts: int = 0
    crashes: int = 0
    discovery_moves: int = 0
    """How often discovery has moved for it."""
    started_at_s: float = 0.0
    """By the loop's clock; `terminated_at_s` likewise."""
    terminated_at_s: float | None = None
    """When SIGTERM was sent; None while it was not."""
    state: StateFolder = field(init=False)

    def __post_init__(self) -> None:
        self.state = StateFolder(self.root / "state")

    @property
    def log_path(self) -> Path:
        """The file that its output goes to."""
        return self.root / "log"

    @property
    def config_path(self) -> Path:
        """Its configuration file."""
        return self.root / "config.json"

    @property
    def extensions_path(self) -> Path:
        """Its extensions file."""
        return self.root / "parts.toml"

    @property
    def control_path(self) -> Path:
        """The file that tells the shim which calls fail."""
        return self.root / "control.json"

    def read_log(self) -> str:
        """Return what it has logged."""
        return self.log_path.read_text(errors="replace")

    # Files

    def write_files(self) -> None:
        """Write its configuration, and make its state folder."""
        self.state.path.mkdir(parents=True)
        self.config_path.write_text(self._encoded_config())
        if self.extensions is not None:
            self.extensions_path.write_text(self.extensions)
        self.write_shim_control()

    def write_config(self) -> None:
        """Put the configuration in the old one's place."""
        spare = self.root / "config.json.new"
        spare.write_text(self._encoded_config())
        os.replace(spare, self.config_path)

    def _encoded_config(self) -> str:
        return json.dumps(msgspec.to_builtins(self.config))

    def write_shim_control(self) -> None:
        """Say which calls fail from now on, and how far the wall clock is off; while it runs too."""
        Control(self.clock_skew_s, self.failures).write(self.control_path)

    # Starting

    async def start(self) -> None:
        """Start it on what its folder holds, unless it is up or may not start. Each start has a seed of its own."""
        if self.process is None and self.may_start:
            await self._start()

    async def upgrade(self, program: Path | None = None) -> None:
        """Start another process on the folder of the one that is up: it takes over, and the first ends by itself.

        Args:
            program: The checkout that the new process runs from, if it is another.
        """
        if self.process is None:
            return
        self.program = program or self.program
        self.former = self.process
        self.event_log.note(EventKind.PROCESS_UPGRADED, node=self.name)
        await self._start()

    async def _start(self) -> None:
        self.starts += 1
        self.config.seed = f"{self.config.seed.partition('/')[0]}/{self.starts}"
        self.terminated_at_s = None
        self.started_at_s = asyncio.get_running_loop().time()
        self.write_config()
        self.process = await self._spawn()
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
        if start < self.starts and self.former is not None:
            self.former.close()
            self.former = None
        elif self.process is not None:
            self.process.close()
            self.process = self.former  # one that could not take over leaves the one before
            self.former = None
        crashed = exit_status not in (0, -signal.SIGKILL, -signal.SIGTERM)
        self.crashes += crashed
        state = "crashed" if crashed else ""
        self.event_log.note(EventKind.PROCESS_ENDED, node=self.name, status=exit_status, state=state)

    def signal(self, sign: int) -> None:
        """Send a signal to this process alone, by its own id."""
        for process in (self.process, self.former):
            if process is not None:
                process.send(sign)

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
        """Send SIGKILL, and wait until it has ended."""
        if self.process is not None:
            self.kill()
            await self.wait_for_end()

    async def terminate_and_wait(self) -> None:
        """Send SIGTERM, and SIGKILL when its time is over; wait until it has ended."""
        if self.process is not None:
            self.terminate()
            await self.wait_for_end(kill_when_late=True)

    async def wait_for_end(self, kill_when_late: bool = False) -> None:
        """Wait until a process that was signalled has ended.

        Args:
            kill_when_late: Whether SIGKILL is sent when the time after SIGTERM is over.
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

    def damage_folder(self, kind: str, mark_s: float, rng: random.Random) -> None:
        """Lose or damage the state folder while no process has it (`StateFolder.damage`)."""
        if kind != "kept":
            self.event_log.note(EventKind.STATE_FOLDER_CHANGED, node=self.name, state=kind)
        self.state.damage(kind, mark_s, rng)

    def set_disk_full(self, is_full: bool) -> None:
        """Limit the size of its files to where they are now; or lift the limit."""
        if self.process is None:
            return
        _, hard_limit = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
        full_limit = self.state.largest_file_bytes() + FULL_DISK_SPARE_BYTES
        soft_limit = full_limit if is_full else hard_limit
        resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (soft_limit, hard_limit))

    # Looking

    def sample(self) -> ProcessSample | None:
        """Return what it uses now; None while it is not up."""
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
        """Send a line to its admin interface, and return the answer.

        Raises:
            OSError: It cannot be reached or does not answer.
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
