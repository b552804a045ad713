"""The forwarder's process, started with the command of the deploy file, and its configuration."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import tomllib
from pathlib import Path

from standins.http import read_http
from standins.record import Record

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 20.0
STARTED: list[asyncio.subprocess.Process] = []
"""Every process that was started, so that none outlives the script."""
ANSWER_TIMEOUT_S = 1.0


def free_addresses(count: int) -> list[str]:
    """Returns distinct loopback addresses with ports that are free now."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.create_server(("127.0.0.1", 0))) for _ in range(count)]
        return ["127.0.0.1:%d" % each.getsockname()[1] for each in sockets]


def settings(batch: int = 1, key_rest_us: int = 0) -> dict[str, object]:
    """Returns settings like those of a small deployment: two classes, one kind of endpoint, 14 slots."""
    return {
        "allowed": {
            "conn_idle_us": 15_000_000,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 400_000,
            "dial_timeout_us": 1_000_000,
            "max_attempts": 8,
            "max_open": 264,
            "max_retry_after_us": 3_000_000,
            "may_cancel": True,
            "may_tell": False,
            "parallel_tries": False,
            "probes": False,
            "retry_after": True,
            "streams_per_conn": 1,
        },
        "balancers": 1,
        "contract": {
            "ask_within_us": 10_000_000,
            "cold_from": 0.18,
            "drain_grace_us": 250_000,
            "fall_us": 2_000_000,
            "grace_to_answer_us": 20_000,
            "key_rest_us": key_rest_us,
            "overload_factor": 2.5,
            "warm_after_us": 13_000_000,
        },
        "discovery": "pushed",
        "family_info": {
            "carriage": [0.0],
            "kind_batch": [batch],
            "routes_apart": [False],
            "slots": 14,
            "turned_away_price": 0.03,
        },
        "host_types": ["plain"],
        "me": 0,
        "services": [
            {
                "name": "status",
                "aim_us": 1_000_000,
                "deadline_us": 5_000_000,
                "effect": "repeatable",
                "gain": 1.0,
                "key_scope": "all",
                "late_worth": 0.0,
                "window_us": 5_000_000,
            },
            {
                "name": "refund",
                "aim_us": 2_000_000,
                "deadline_us": 28_000_000,
                "effect": "once",
                "by_arrival": True,
                "gain": 2.0,
                "key_scope": "all",
                "late_worth": 0.4,
                "window_us": 5_000_000,
            },
        ],
        "telemetry": {"fields": ["x0", "x1"], "how": "piggyback"},
        "weight_source": "rough",
        "zones": ["zone-1"],
    }


async def end_all() -> None:
    """Ends every process that was started and still runs, and waits for it."""
    for process in STARTED:
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


class Forwarder:
    """One forwarder: its folder, its configuration file and its process."""

    def __init__(self, folder: Path, discovery: str, record: Record, known: dict[str, object], **limits: float) -> None:
        self.folder = folder
        self.record = record
        self.state = folder / "state"
        self.listen, control = free_addresses(2)
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3, **limits}
        self.config = {
            "name": "n0",
            "listen": self.listen,
            "control": control,
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": known,
            "settings": settings(),
        }
        self.process: asyncio.subprocess.Process | None = None
        self.state.mkdir(parents=True)

    @property
    def host_and_port(self) -> tuple[str, int]:
        """The address for clients."""
        host, _, port = self.listen.partition(":")
        return host, int(port)

    async def start(self) -> None:
        """Starts the process and waits until it answers `GET /up` with 200.

        Raises:
            TimeoutError: it is not ready in time.
        """
        await self.spawn()
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_up():
                await asyncio.sleep(0.05)
        assert self.process is not None
        self.record.note(f"forwarder is ready: process {self.process.pid}")

    async def spawn(self) -> None:
        """Starts the process."""
        path = self.write_config()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        env = {
            **os.environ,
            "LB_NAME": "n0",
            "LB_LISTEN": self.listen,
            "LB_CONTROL": str(self.config["control"]),
            "LB_DISCOVERY": str(self.config["discovery"]),
            "LB_STATE": str(self.state),
            "LB_CONFIG": str(path),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        STARTED.append(self.process)

    def write_config(self) -> Path:
        """Replaces the configuration file as a whole, and returns its path."""
        path = self.folder / "config.json"
        new_path = path.with_name("config.json.new")
        new_path.write_text(json.dumps(self.config))
        new_path.replace(path)
        return path

    def reload(self) -> None:
        """Replaces the configuration file and sends SIGHUP."""
        self.write_config()
        self.signal(signal.SIGHUP)

    async def is_up(self) -> bool:
        """Returns whether `GET /up` is answered with 200 at the clients' address."""
        try:
            reader, writer = await asyncio.open_connection(*self.host_and_port)
        except OSError:
            return False
        try:
            writer.write(b"GET /up HTTP/1.1\r\nHost: up\r\n\r\n")
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await read_http(reader)
            return answer is not None and answer.first_line.split(" ")[1] == "200"
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    def memory_bytes(self) -> int:
        """Returns the memory that is the process's own, without pages of files that it maps; 0 once it has ended."""
        assert self.process is not None
        try:
            fields = Path(f"/proc/{self.process.pid}/statm").read_text().split()
        except OSError:
            return 0
        return (int(fields[1]) - int(fields[2])) * os.sysconf("SC_PAGE_SIZE")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)
        self.record.note(f"{number.name} to process {self.process.pid}")

    async def end(self) -> None:
        """Ends the process with SIGKILL, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    def log_lines(self, *words: str) -> list[str]:
        """Returns the lines of its log that contain one of these words."""
        lines = (self.folder / "log").read_text(errors="replace").splitlines()
        return [line for line in lines if any(word in line for word in words)]
