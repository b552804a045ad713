"""The forwarders' processes: started as deployed, struck by signals, measured, and ended by their own ids."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import resource
import shutil
import signal
import sys
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from lab.launcher import Launcher, Process
from lab.net import Where
from lab.record import Record
from lab.shim import Control, Failure, module_name

KILL_AFTER_S = 3.7
"""SIGKILL follows SIGTERM no sooner (PROTOCOL)."""
SPARE_BYTES = 64
"""A full disk has room for so much more."""
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
SHIM = Path(__file__).resolve().parent / "shim.py"


@dataclass(slots=True)
class Sample:
    """One look at a process. Processor time in seconds, memory and disk in bytes."""

    at_s: float
    node: str
    cpu_s: float
    memory: int
    descriptors: int
    disk: int


@dataclass(slots=True, eq=False)
class Node:
    """One forwarder: its folder, its configuration, and the process that is up now, if any."""

    name: str
    root: Path
    program: Path
    config: dict[str, Any]
    record: Record
    launcher: Launcher
    parts: str | None = None
    skew_s: float = 0.0
    failures: list[Failure] = field(default_factory=list)
    """System calls that fail now."""
    shimmed: bool = False
    """It runs with the calls that the schedule makes fail."""
    process: Process | None = None
    former: Process | None = None
    """The one before, while another takes over from it."""
    control: Where = ("", 0)
    wanted: bool = True
    starts: int = 0
    crashes: int = 0
    moves: int = 0
    """How often discovery has moved for it."""
    started_s: float = 0.0
    termed_s: float | None = None
    """When it was told to end; None while it was not."""
    copies: dict[float, Path] = field(default_factory=dict)

    @property
    def state(self) -> Path:
        return self.root / "state"

    def prepare(self) -> None:
        self.state.mkdir(parents=True)
        (self.root / "config.json").write_text(json.dumps(self.config))
        if self.parts is not None:
            (self.root / "parts.toml").write_text(self.parts)
        self.tell_shim()

    def reconfigure(self) -> None:
        """Put the configuration in the old one's place."""
        spare = self.root / "config.json.new"
        spare.write_text(json.dumps(self.config))
        os.replace(spare, self.root / "config.json")

    def tell_shim(self) -> None:
        """Say which calls fail from now on, and how far the wall clock is off; while it runs too."""
        Control(self.skew_s, self.failures).write(self.root / "control.json")

    async def _spawn(self) -> Process:
        env = {
            **os.environ,
            "LB_NAME": self.name,
            "LB_LISTEN": self.config["listen"],
            "LB_CONTROL": self.config["control"],
            "LB_DISCOVERY": self.config["discovery"],
            "LB_STATE": str(self.state),
            "LB_CONFIG": str(self.root / "config.json"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        command = ["-m", module_name(self.program)]
        if self.shimmed:
            command = [str(SHIM), str(self.root / "control.json"), str(self.state)]
        if self.parts is not None:
            command += ["--parts", str(self.root / "parts.toml")]
        return await self.launcher.start(
            [sys.executable, *command], self.program, env, self.root / "log", partial(self._ended, self.starts)
        )

    async def start(self) -> None:
        """Start it, on what its folder holds. A seed of its own for each start."""
        if self.process is None and self.wanted:
            await self._start()

    async def upgrade(self, program: Path | None = None) -> None:
        """Start another process, perhaps of another program, on the folder of the one that is up: it takes over, and
        the first ends by itself.
        """
        if self.process is None:
            return
        self.program = program or self.program
        self.former = self.process
        self.record.note("upgraded", node=self.name)
        await self._start()

    async def _start(self) -> None:
        self.starts += 1
        self.config["seed"] = f"{self.config['seed'].partition('/')[0]}/{self.starts}"
        self.termed_s, self.started_s = None, asyncio.get_running_loop().time()
        self.reconfigure()
        self.process = await self._spawn()
        sockets = int(self.config["limits"]["sockets"])
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
        self.record.note("started", node=self.name)

    def _ended(self, start: int, code: int) -> None:
        if start < self.starts and self.former is not None:
            self.former.close()
            self.former = None
        elif self.process is not None:
            self.process.close()
            self.process, self.former = self.former, None  # one that could not take over leaves the one before
        crashed = code not in (0, -signal.SIGKILL, -signal.SIGTERM)
        self.crashes += crashed
        self.record.note("ended", node=self.name, status=code, state="crashed" if crashed else "")

    def signal(self, sign: int) -> None:
        """To this process alone, by its own id."""
        for process in (self.process, self.former):
            if process is not None:
                process.send(sign)

    def strike(self, hard: bool = True) -> None:
        """SIGKILL or SIGTERM, now."""
        self.signal(signal.SIGKILL if hard else signal.SIGTERM)
        if not hard and self.termed_s is None:
            self.termed_s = asyncio.get_running_loop().time()
        self.record.note("killed" if hard else "termed", node=self.name)

    async def end(self, hard: bool, struck: bool = False) -> None:
        """SIGKILL, or SIGTERM and SIGKILL when its time is over; returns when it has ended."""
        process = self.process
        if process is None:
            return
        if not struck:
            self.strike(hard)
        termed_s = asyncio.get_running_loop().time() if self.termed_s is None else self.termed_s
        patience = termed_s + KILL_AFTER_S
        while self.process is process:
            if not hard and asyncio.get_running_loop().time() > patience:
                hard = True
                self.strike()
            await asyncio.sleep(0.02)

    # The folder

    def copy_folder(self, mark: float) -> None:
        """Keep the folder as it is now, to be set back to."""
        to = self.root / f"copy-{mark:.3f}"
        shutil.copytree(
            self.state,
            to,
            ignore=lambda _, names: [n for n in names if n.startswith("lock")],
            ignore_dangling_symlinks=True,
            copy_function=_copy_plain,
        )
        self.copies[mark] = to

    def spoil(self, how: str, mark: float, chance: random.Random) -> None:
        """What befalls the folder while no process has it."""
        if how == "kept":
            return
        self.record.note("folder", node=self.name, state=how)
        if how in ("lost", "old"):
            shutil.rmtree(self.state)
            if how == "old" and mark in self.copies:
                shutil.copytree(self.copies[mark], self.state)
            else:
                self.state.mkdir()
            return
        for path in [p for p in self.state.iterdir() if p.is_file() and p.stat().st_size > 64]:
            data = bytearray(path.read_bytes())
            at = chance.randrange(len(data))
            if how == "short":
                data = data[:at]
            elif how == "byte":
                data[at] ^= 1 << chance.randrange(8)
            else:
                data[at : at + 512] = bytes(len(data[at : at + 512]))
            path.write_bytes(data)

    def fill_disk(self, full: bool) -> None:
        """A limit on the size of its files, from where they are now; or none again."""
        if self.process is None:
            return
        _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
        most = max((p.stat().st_size for p in self.state.iterdir() if p.is_file()), default=0) + SPARE_BYTES
        resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (most if full else hard, hard))

    # Looking

    def sample(self) -> Sample | None:
        """None while it is not up."""
        if self.process is None:
            return None
        try:
            with open(f"/proc/{self.process.pid}/stat") as file:
                fields = file.read().rpartition(")")[2].split()
            descriptors = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            disk = sum(p.stat().st_size for p in self.state.iterdir() if p.is_file())
        except OSError:
            return None
        return Sample(
            self.record.clock(),
            self.name,
            (int(fields[11]) + int(fields[12])) / TICKS,
            int(fields[21]) * PAGE,
            descriptors,
            disk,
        )

    async def call(self, line: str) -> str:
        """An operator's call. Raises OSError."""
        reader, writer = await asyncio.open_connection(*self.control)
        try:
            writer.write(line.encode() + b"\n")
            async with asyncio.timeout(5.0):
                return (await reader.read()).decode().strip()
        except TimeoutError:
            raise OSError("no answer") from None
        finally:
            writer.close()


def _copy_plain(source: str, to: str) -> None:
    """Sockets and locks are not copied: they are no state."""
    if Path(source).is_file():
        shutil.copyfile(source, to)
