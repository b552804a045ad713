"""Small stand-ins for the cases of the second review: clients, endpoints, discovery with the platform, and processes.

Only the standard library is used, and only loopback addresses. Everything runs in one event loop; the forwarders are
separate processes, started by the `run` command of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENT_TIMEOUT_S = 0.4
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
MAX_PRINTED = 8


class CannotRun(Exception):
    """The case could not be played as it is described."""


class Record:
    """Writes what was sent, answered and run to the case's `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self.started_s = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def now_s(self) -> float:
        return time.monotonic() - self.started_s

    def note(self, *words: object) -> None:
        self.file.write(f"{self.now_s():9.4f} {' '.join(map(str, words))}\n")
        self.file.flush()


@dataclass
class HttpMessage:
    """One request or answer: its first line, its headers by lower-case name, and its body."""

    first: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_http(reader: asyncio.StreamReader, has_body: bool = True) -> HttpMessage | None:
    """Reads one message with a Content-Length; returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    message = HttpMessage(first, headers)
    length = int(headers.get("content-length", "0")) if has_body else 0
    if length:
        try:
            message.body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return message


def answer_bytes(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    lines = [f"HTTP/1.1 {status} -", *(f"{name}: {value}" for name, value in (headers or {}).items())]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def free_port(host: str = "127.0.0.1") -> int:
    """Returns a port that is free now, below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(20000, 32000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((host, port))
            return port


Handle = Callable[["Endpoint", HttpMessage, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Endpoint:
    """A server of one destination. It answers each call with 200 after `work_s`, and never while it hangs."""

    def __init__(self, record: Record, name: str, block: int, work_s: float = 0.02) -> None:
        self.record = record
        self.name = name
        self.block = block
        self.work_s = work_s
        self.hangs = False
        self.is_full = False
        """Whether it turns every call away with 503."""
        self.calls: list[tuple[float, str]] = []
        """The time and the id of each message that has arrived."""
        self.delivered: set[str] = set()
        self.dial = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.dial = f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_http(reader)) is not None:
                ids = self._ids(request)
                for message_id in ids:
                    self.calls.append((self.record.now_s(), message_id))
                self.record.note("call", self.name, ",".join(ids), "hangs" if self.hangs else "")
                await asyncio.sleep(self.work_s)
                while self.hangs:
                    await asyncio.sleep(0.05)
                if self.is_full:
                    writer.write(answer_bytes(503))
                    await writer.drain()
                    continue
                body = b""
                if request.first.startswith("POST /hook/batch"):
                    body = json.dumps([{"id": each, "state": "accepted"} for each in ids]).encode()
                writer.write(answer_bytes(200, body))
                await writer.drain()
                self.delivered.update(ids)
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    def _ids(request: HttpMessage) -> list[str]:
        if request.first.startswith("POST /hook/batch"):
            return [entry["id"] for entry in json.loads(request.body)]
        return [request.headers.get("x-correlation-id", "?")]

    def entry(self, health: str = "up") -> dict[str, Any]:
        return list_entry(self.name, self.dial, self.block, health)


def list_entry(name: str, dial: str, block: int, health: str = "up") -> dict[str, Any]:
    """An endpoint in discovery's form (PROTOCOL, Discovery)."""
    return {
        "host": name,
        "dial": dial,
        "site": "a",
        "class": "m1",
        "block": block,
        "health": health,
        "share": 50.0,
        "born_ms": 0,
    }


class Discovery:
    """Discovery's agent and the platform, at one address: lists, watches and notices."""

    def __init__(self, record: Record, name: str = "discovery") -> None:
        self.record = record
        self.name = name
        self.seq = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, str]] = []
        self.notices: list[tuple[float, str, str]] = []
        """The time, the id and the state of each notice."""
        self.changed = asyncio.Event()
        self.address = ""
        self.requests = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def put(self, *entries: dict[str, Any]) -> None:
        """Adds or changes entries, as one change of the list."""
        self.seq += 1
        for entry in entries:
            self.entries[entry["host"]] = entry
            self.changes.append((self.seq, entry["host"]))
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        hosts = [entry for entry in self.entries.values() if entry["health"] != "removed"]
        return {"seq": self.seq, "whole": True, "hosts": hosts}

    def ended_ids(self) -> set[str]:
        return {message_id for _, message_id, _ in self.notices}

    async def retire(self, closes_after_s: float = 1.5) -> None:
        """Takes no new connection from now on, and closes the open ones after this time (TERMS, Reconfiguration)."""
        assert self.server is not None
        self.server.close()
        await asyncio.sleep(closes_after_s)
        for writer in list(self.writers):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_http(reader)) is not None:
                self.requests += 1
                _, target, _ = request.first.split(" ", 2)
                path, _, query = target.partition("?")
                if path == "/v1/notices":
                    self._take_notices(request.body)
                    writer.write(answer_bytes(204))
                else:
                    body = json.dumps(await self._list(query)).encode()
                    writer.write(answer_bytes(200, body, {"Content-Type": "application/json"}))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _take_notices(self, body: bytes) -> None:
        for line in body.splitlines():
            notice = json.loads(line)
            self.notices.append((self.record.now_s(), notice["id"], notice["state"]))
            self.record.note("notice", self.name, notice["id"], notice["state"], notice.get("after_ms", ""))

    async def _list(self, query: str) -> dict[str, Any]:
        fields = dict(part.partition("=")[::2] for part in query.split("&") if part)
        if "from" not in fields:
            return self.whole()
        known = int(fields["from"])
        if known >= self.seq:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), int(fields.get("hold_ms", "0")) / 1000)
        names = dict.fromkeys(name for seq, name in self.changes if seq > known)
        return {"seq": self.seq, "whole": False, "hosts": [self.entries[name] for name in names]}


SETTINGS: dict[str, Any] = {
    "allowed": {
        "conn_idle_us": 15000000,
        "cpu_us_per_request": 0.0,
        "cpu_us_per_s": 400000,
        "dial_timeout_us": 1000000,
        "max_attempts": 8,
        "max_open": 264,
        "max_retry_after_us": 3000000,
        "may_cancel": True,
        "may_tell": False,
        "parallel_tries": False,
        "probes": False,
        "retry_after": True,
        "streams_per_conn": 1,
    },
    "balancers": 2,
    "clients": {"marks_retry": False},
    "contract": {
        "ask_within_us": 10000000,
        "cold_from": 0.18,
        "drain_grace_us": 250000,
        "fall_us": 2000000,
        "grace_to_answer_us": 20000,
        "key_rest_us": 0,
        "overload_factor": 2.5,
        "warm_after_us": 13000000,
    },
    "discovery": "pushed",
    "domain_type": "deliver",
    "family_info": {
        "carriage": [0.0],
        "kind_batch": [1, 1, 1],
        "loses_worth": "line",
        "notes": "full: milliseconds to wait, 0 if none is told; moot: 1 no slot was free",
        "report_x0": "share of the allowance that is left",
        "report_x1": "calls a second that the limit allows; 0 where there is none",
        "routes_apart": [False, False, False],
        "slots": 14,
        "turned_away_price": 0.03,
    },
    "goal": {"whole": 0.55, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.25},
    "host_types": ["m1", "m2", "m3"],
    "me": 0,
    "orgs": [],
    "over_share_worth": 0.1,
    "prices": {
        "connection": 0.0,
        "cross_zone": 0.0,
        "discovery": 0.0,
        "handshake": 0.04,
        "late_fail": 0.02,
        "moves": 0.0,
        "origin": 0.0,
        "peer": 0.0,
        "probe": 0.0,
        "waste": 0.029,
    },
    "quantum_us": 5000,
    "services": [
        {
            "aim_us": 1000000,
            "deadline_us": 5000000,
            "effect": "repeatable",
            "gain": 1.0,
            "key_scope": "all",
            "late_worth": 0.0,
            "name": "statusvarsel",
            "stream": False,
            "window_us": 5000000,
        },
        {
            "aim_us": 2000000,
            "by_arrival": True,
            "deadline_us": 28000000,
            "effect": "once",
            "gain": 2.0,
            "key_scope": "all",
            "late_worth": 0.4,
            "name": "refusjon",
            "stream": False,
            "window_us": 5000000,
        },
    ],
    "stages": ["mottakere"],
    "telemetry": {"fields": ["x0", "x1"], "how": "piggyback"},
    "tier": 0,
    "weight_source": "rough",
    "worth_by": "request",
    "zone": "a",
    "zones": ["a"],
}
"""The example settings of WIRE, with plain calls."""


class Forwarder:
    """One forwarder: its addresses, its folder, its configuration and its processes."""

    def __init__(self, scene: Scene, name: str = "n1") -> None:
        self.scene = scene
        self.name = name
        self.folder = scene.temporary / name
        self.state = self.folder / "state"
        self.state.mkdir(parents=True)
        self.config_path = self.folder / "config.json"
        self.listen_port = free_port()
        self.control_port = free_port()
        self.disk_mb = 3.0
        self.sockets = 1024
        self.memory_mb = 192
        self.settings: dict[str, Any] = json.loads(json.dumps(SETTINGS))
        self.known: dict[str, Any] = {"seq": 0, "whole": True, "hosts": []}
        self.discovery = ""
        self.starts = 0

    def write_config(self) -> None:
        """Replaces the configuration file at once."""
        content = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.listen_port}",
            "discovery": self.discovery,
            "control": f"127.0.0.1:{self.control_port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets, "disk_mb": self.disk_mb},
            "known": self.known,
            "settings": self.settings,
        }
        new_path = self.config_path.with_suffix(".new")
        new_path.write_text(json.dumps(content), encoding="utf-8")
        os.replace(new_path, self.config_path)

    async def start(self) -> asyncio.subprocess.Process:
        """Starts `run` with the present configuration; all that it is told agrees with the file."""
        if self.scene.is_closing:
            raise CannotRun("the case is over")
        self.write_config()
        self.starts += 1
        temporary = self.folder / f"tmp-{self.starts}"
        temporary.mkdir()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(temporary),
            "TMPDIR": str(temporary),
            "LB_NAME": self.name,
            "LB_LISTEN": f"127.0.0.1:{self.listen_port}",
            "LB_DISCOVERY": self.discovery,
            "LB_CONTROL": f"127.0.0.1:{self.control_port}",
            "LB_STATE": str(self.state),
            "LB_CONFIG": str(self.config_path),
        }
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        log = (self.folder / f"log-{self.starts}").open("wb")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.scene.processes.append(process)
        self.scene.record.note("start", self.name, "pid", process.pid)
        return process

    async def wait_ready(self, limit_s: float = 30.0) -> None:
        """Waits until `GET /up` is answered with 200."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            if await http(self.listen_port, b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1.0) == 200:
                self.scene.record.note("ready", self.name)
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    async def call(self, line: str, port: int = 0) -> str:
        """Calls the operators' address; returns the answer, or an empty text without one."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port or self.control_port)
            writer.write(line.encode() + b"\n")
            answer = (await asyncio.wait_for(reader.readline(), 1.5)).decode().strip()
            writer.close()
        except (OSError, asyncio.TimeoutError):
            answer = ""
        self.scene.record.note("operator", line, "->", answer)
        return answer

    async def submit(
        self,
        message_id: str,
        dest: int,
        time_left_s: float,
        class_name: str = "statusvarsel",
        key: str = "",
        body: bytes = b"x" * 212,
    ) -> int:
        """Hands one message in on a connection of its own; returns the status, 0 without an answer in 400 ms."""
        head = [
            f"POST /{class_name} HTTP/1.1",
            "Host: origin.svc",
            f"X-Correlation-Id: {message_id}",
            f"X-Time-Left: {time_left_s:.3f}",
            f"Content-Length: {len(body)}",
            f"X-Addressing: dest={dest}",
        ]
        if key:
            head.append(f"X-Session-Key: {key}")
        status = await http(self.listen_port, "\r\n".join(head).encode() + b"\r\n\r\n" + body, CLIENT_TIMEOUT_S)
        self.scene.record.note("submit", message_id, f"dest={dest}", f"left={time_left_s}", "->", status or "none")
        return status


async def http(port: int, request: bytes, limit_s: float) -> int:
    """Makes a request on a new connection; returns the status, or 0 without an answer in time."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request)
            answer = await read_http(reader)
        return 0 if answer is None else int(answer.first.split(" ")[1])
    except (OSError, asyncio.TimeoutError, ValueError):
        return 0
    finally:
        if writer is not None:
            writer.close()


class Scene:
    """A case under way: its record, its temporary folder and the processes that it has started."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.temporary = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.processes: list[asyncio.subprocess.Process] = []
        self.is_closing = False

    def signal(self, process: asyncio.subprocess.Process, number: signal.Signals) -> None:
        self.record.note("signal", number.name, "to", process.pid)
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, number)

    async def close(self) -> None:
        """Ends every process that the case has started, and the tasks that could start another one."""
        self.is_closing = True
        others = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        if os.environ.get("KEEP"):
            print(self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def play(case_file: str, case: Callable[[Scene], Awaitable[list[str]]], limit_s: float = 110.0) -> int:
    """Plays a case, which returns what broke the rule; prints it, and returns the exit status."""
    folder = Path(case_file).resolve().parent

    async def _play() -> int:
        scene = Scene(folder)
        playing = asyncio.current_task()
        assert playing is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        try:
            async with asyncio.timeout(limit_s):
                findings = await case(scene)
        except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
            scene.record.note("cannot run:", repr(error))
            print(f"cannot run: {error!r}")
            return CANNOT_RUN
        finally:
            await scene.close()
        for finding in findings:
            scene.record.note("broken:", finding)
        for finding in findings[:MAX_PRINTED]:
            print(f"broken: {finding}")
        if len(findings) > MAX_PRINTED:
            print(f"broken: and {len(findings) - MAX_PRINTED} more, see record.txt")
        print("the rule was broken" if findings else "the rule held")
        return BROKEN if findings else HELD

    return asyncio.run(_play())
