"""Runs the whole program in its own folder, and clients that submit messages to it."""

from __future__ import annotations

import asyncio
import copy
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

from lab.shim import CONTROL_POLL_S, Control, Failure, module_name
from tests.platforms import Platform
from tests.sockets import PATIENCE, ROOT, free_port, free_ports, own_host, read_message

PROGRAM_ROOT = ROOT
"""The checkout from which the program runs."""

SETTINGS: dict[str, Any] = {
    "allowed": {
        "conn_idle_us": 5_000_000,
        "dial_timeout_us": 1_000_000,
        "max_attempts": 6,
        "max_open": 50,
        "max_retry_after_us": 3_000_000,
        "retry_after": True,
        "may_cancel": True,
    },
    "balancers": 1,
    "discovery": "on_request",
    "host_types": ["plain", "lots"],
    "contract": {"grace_to_answer_us": 20_000, "drain_grace_us": 500_000, "ask_within_us": 10_000_000},
    "family_info": {"slots": 8, "kind_batch": [1, 5], "routes_apart": [False, False]},
    "orgs": [{"name": "acme", "allowance_per_s": 1000.0, "fraction": 1.0}],
    "over_share_worth": 0.1,
    "services": [
        {
            "name": "order",
            "aim_us": 2_000_000,
            "deadline_us": 60_000_000,
            "effect": "by_key",
            "key_scope": "all",
            "window_us": 30_000_000,
        },
        {"name": "status", "aim_us": 2_000_000, "deadline_us": 60_000_000, "effect": "repeatable"},
        {"name": "turn", "aim_us": 2_000_000, "deadline_us": 60_000_000, "effect": "once", "by_arrival": True},
        {"name": "pay", "aim_us": 2_000_000, "deadline_us": 60_000_000, "effect": "once"},
    ],
    "telemetry": {"fields": ["x0", "x1"], "how": "piggyback"},
    "weight_source": "nominal",
}


class Node:
    """A process of the program, with its folder.

    Attributes:
        folder: the folder of the configuration file and of the state folder.
        port: the port for clients.
        control: the port for operators.
        log: the lines that the process has logged.
        arguments: arguments of its command line.
        environment: variables that differ from what the configuration file tells.
    """

    def __init__(
        self,
        folder: Path,
        platform: Platform,
        known: dict[str, Any] | None = None,
        disk_mb: float = 3,
        discovery: str = "on_request",
        **allowed: Any,
    ) -> None:
        self.folder, self.host = folder, own_host()
        self.port, self.control = free_ports(2, self.host)
        self.log: list[str] = []
        self.arguments: list[str] = []
        self.environment: dict[str, str] = {}
        self.shim: Control | None = None  # if set, the program runs under lab/shim.py, which lets system calls fail
        (folder / "state").mkdir(exist_ok=True)
        settings = {**SETTINGS, "discovery": discovery, "allowed": {**SETTINGS["allowed"], **allowed}}
        config = {
            "name": "n0",
            "seed": "5",
            "listen": f"{self.host}:{self.port}",
            "control": f"{self.host}:{self.control}",
            "discovery": f"127.0.0.1:{platform.port}",
            "limits": {"cores": 1, "memory_mb": 192, "sockets": 256, "disk_mb": disk_mb},
            "known": known or platform.listing(),
            "settings": settings,
        }
        (folder / "config.json").write_text(json.dumps(config))

    def configure(self, **changes: Any) -> None:
        """Changes keys of the configuration file; the program reads it when it starts and on SIGHUP."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(json.loads(path.read_text()) | changes))

    def successor(self) -> Node:
        """Returns the process that will take over: in the same folder, with another admin port."""
        other = copy.copy(self)
        other.log = []
        other.control = free_port(self.host)
        return other

    async def set_failures(self, *failures: Failure, clock_s: float = 0.0) -> None:
        """Sets which system calls fail and the offset of the wall clock; both apply to all calls after its return."""
        self.shim = Control(clock_s, list(failures))
        self.shim.write(self.folder / "control.json")
        await asyncio.sleep(4 * CONTROL_POLL_S)

    async def start(self, ready: bool = True) -> Node:
        """Starts the program, and waits until it serves clients if `ready` is set."""
        env = {
            **os.environ,
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_STATE": str(self.folder / "state"),
            "LB_CONTROL": f"{self.host}:{self.control}",
            "LB_DISCOVERY": json.loads((self.folder / "config.json").read_text())["discovery"],
            **self.environment,
        }
        program = (
            ["-m", module_name(PROGRAM_ROOT)]
            if self.shim is None
            else [str(PROGRAM_ROOT / "lab/shim.py"), str(self.folder / "control.json"), str(self.folder / "state")]
        )
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, *program, *self.arguments, cwd=PROGRAM_ROOT, env=env, stderr=asyncio.subprocess.PIPE
        )
        self.log_reader = asyncio.create_task(self.read_log())
        self.ready = asyncio.Event()
        if ready:
            await self.until_ready()
        return self

    async def until_ready(self) -> None:
        """Waits until the program serves clients."""
        try:
            async with asyncio.timeout(PATIENCE):
                await self.ready.wait()
        except TimeoutError:
            raise TimeoutError("".join(self.log)) from None

    async def read_log(self) -> None:
        """Collects the lines of the log until the program ends."""
        assert self.process.stderr is not None
        async for raw in self.process.stderr:
            self.log.append(raw.decode())
            if "engine: ready" in self.log[-1]:
                self.ready.set()

    async def end(self, sign: int = signal.SIGKILL) -> int:
        """Ends the program by a signal, checks that it logged no traceback, and returns its exit code."""
        if self.process.returncode is None:
            self.process.send_signal(sign)
        async with asyncio.timeout(PATIENCE):
            code = await self.process.wait()
            await self.log_reader
        assert "Traceback" not in "".join(self.log), "".join(self.log)
        return code

    async def restart(self, sign: int = signal.SIGKILL) -> None:
        """Ends the program and starts it again in its folder."""
        await self.end(sign)
        await self.start()

    async def call(self, line: bytes) -> str:
        """Sends one line to the admin interface, and returns the whole answer."""
        reader, writer = await asyncio.open_connection(self.host, self.control)
        writer.write(line)
        try:
            async with asyncio.timeout(PATIENCE):
                return (await reader.read()).decode()
        finally:
            writer.close()

    async def client(self) -> Client:
        """Opens a connection of a new client."""
        return Client(*await asyncio.open_connection(self.host, self.port))

    async def submit(self, name: str, cls: str = "order", **more: Any) -> tuple[int, dict[str, str]]:
        """Submits a message on a new connection, and returns the status and headers of the answer."""
        client = await self.client()
        try:
            return await client.submit(name, cls, **more)
        finally:
            client.writer.close()


class Client:
    """A connection of a client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def answer(self) -> tuple[int, dict[str, str]]:
        """Reads the next answer, and returns its status and headers."""
        async with asyncio.timeout(PATIENCE):
            first, headers, _ = await read_message(self.reader)
        return int(first.split(" ")[1]), headers

    async def submit(
        self, name: str, cls: str = "order", left: str = "50", dest: object = 7, body: bytes = b"hello", **headers: str
    ) -> tuple[int, dict[str, str]]:
        """Submits a message, and returns the status and headers of the answer."""
        self.writer.write(message(name, cls, left, dest, body, **headers))
        return await self.answer()


def message(
    name: str, cls: str = "order", left: str = "50", dest: object = 7, body: bytes = b"hello", **changes: str | None
) -> bytes:
    """Returns the request that submits a message.

    Args:
        name: the id of the message.
        cls: its class.
        left: the time left for its delivery, in seconds.
        dest: its destination.
        body: its body.
        changes: headers to add or replace, with underscores for hyphens; None removes a header.
    """
    headers: dict[str, str | None] = {
        "Host": "origin.svc",
        "X-Correlation-Id": name,
        "X-Account": "acme",
        "X-Time-Left": left,
        "X-Session-Key": f"key-{name}",
        "Content-Length": str(len(body)),
        "X-Addressing": f"dest={dest}",
    }
    headers |= {name.replace("_", "-"): value for name, value in changes.items()}
    lines = [f"POST /{cls} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items() if value is not None)]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
