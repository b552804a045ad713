"""An engine in the test's own process, and transports that only record what is written."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from forwarder.admin.server import AdminServer
from forwarder.clients.client_connection import ClientConnection
from forwarder.clients.listener import bind
from forwarder.clients.submission import Submission
from forwarder.config.config import Address, load_config
from forwarder.runtime.engine import Engine
from forwarder.runtime.ownership import Ownership
from tests.nodes import SETTINGS
from tests.platforms import Platform
from tests.sockets import PATIENCE, Skewed

SECOND_US = 1_000_000


TIME_LEFT_US = 50 * SECOND_US


class EngineScene:
    """An engine in this process, with real sockets to a platform, an endpoint and its clients."""

    def __init__(self, folder: Path, platform: Platform, **settings: Any) -> None:
        (folder / "config.json").write_text(
            json.dumps(
                {
                    "name": "n",
                    "listen": "127.0.0.1:9",
                    "discovery": f"127.0.0.1:{platform.port}",
                    "settings": {**SETTINGS, **settings},
                    "known": platform.listing(),
                }
            )
        )
        self.folder, self.platform = folder, platform

    async def start(self) -> EngineScene:
        config = load_config({"LB_CONFIG": str(self.folder / "config.json"), "LB_STATE": str(self.folder)})
        self.engine = Engine(config, Ownership(self.folder), AdminServer(), await bind(Address("127.0.0.1", 0)))
        self.engine.store.take_ownership()
        self.engine.loop.run_round()
        self.engine.server.listen(self.engine.client_socket)
        return self

    @property
    def clock(self) -> Skewed:
        assert isinstance(self.engine.clock, Skewed)
        return self.engine.clock

    def submit(self, name: str, cls: str, key: str = "k", due_us: int | None = None) -> None:
        """Submits a message on a connection of its own, on which nobody reads the answer."""
        classes = {c.name: c for c in self.engine.config.settings.classes}
        deadline_us = self.clock() + TIME_LEFT_US if due_us is None else due_us
        self.engine.intake.submit(
            Submission(name, classes[cls], 7, deadline_us, key, "acme", False, b"x"), SilentClient(self.engine)
        )

    def end(self) -> None:
        self.engine.run_state.is_frozen = self.engine.run_state.is_closed = True
        self.engine.pool.close()
        self.engine.server.close()
        self.engine.notices.client.close()
        self.engine.watch.client.close()


class RecordingTransport(asyncio.Transport):
    """A transport without a peer: it records what is written and receives nothing.

    The protocol, if there is one, is told of a close in the next iteration of the event loop, as on sockets.
    """

    def __init__(self, sock: socket.socket | None = None, protocol: asyncio.Protocol | None = None) -> None:
        super().__init__({"socket": sock})
        self.protocol = protocol
        self.written = b""
        self.closed = False
        self.reading = True

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None: ...

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written += data

    def can_write_eof(self) -> bool:
        return False

    def is_reading(self) -> bool:
        return self.reading

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        if self.protocol is not None and not self.closed:
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)
        self.closed = True

    abort = close


class SilentClient(ClientConnection):
    """A client that stays connected and does nothing else."""

    def __init__(self, engine: Engine) -> None:
        super().__init__(engine.server)
        server_end, self.client = socket.socketpair()
        self.transport = RecordingTransport(server_end)


def play_with_platform(scene: Callable[[Platform], Awaitable[None]]) -> None:
    async def run() -> None:
        platform = Platform()
        await platform.start()
        async with asyncio.timeout(2 * PATIENCE):
            await scene(platform)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    asyncio.run(run())
