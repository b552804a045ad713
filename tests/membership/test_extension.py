"""Tests the UDP socket with a full buffer, with errors and under a flood: datagrams are dropped and counted."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from forwarder.config.config import Address
from forwarder.membership import rate_limiter
from forwarder.membership.codec import Codec, Datagram
from forwarder.membership.extension import MembershipExtension
from forwarder.membership.rate_limiter import BURST
from forwarder.membership.settings import MembershipSettings
from forwarder.membership.timing import Timing
from forwarder.runtime.startup_phase import StartupPhase
from forwarder.runtime.supervisor import Supervisor

KEY = b"\0" * 32


class Transport:
    """Records the datagrams that are sent."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def sendto(self, data: bytes, address: Any) -> None:
        self.sent.append(data)

    def close(self) -> None: ...


def run_scene(tmp_path: Path, scene: Callable[[MembershipExtension, Transport], Any]) -> MembershipExtension:
    (tmp_path / "key").write_text(KEY.hex())
    settings = MembershipSettings(
        Address("127.0.0.1", 1),
        Address("127.0.0.1", 1),
        "c",
        (Address("127.0.0.1", 2),),
        tmp_path / "key",
        Timing(period_us=10_000, probe_timeout_us=5_000),
        False,
        1,
        1,
        1,
        False,
        1,
        1,
    )
    engine: Any = SimpleNamespace(
        config=SimpleNamespace(name="me"),
        identity=None,
        startup_progress=SimpleNamespace(phase=StartupPhase.SERVING),
        supervisor=Supervisor(),
    )
    extension, transport = MembershipExtension(engine, settings), Transport()

    async def run() -> None:
        async def create_endpoint(factory: Callable[[], Any], **options: Any) -> None:
            extension.socket.connection_made(transport)  # type: ignore[arg-type]

        asyncio.get_running_loop().create_datagram_endpoint = create_endpoint  # type: ignore[assignment, method-assign]
        await extension.open()
        await scene(extension, transport)
        extension.timer.cancel()  # type: ignore[union-attr]

    asyncio.run(run())
    return extension


def test_datagrams_are_dropped_while_the_socket_buffer_is_full_and_sent_again_afterwards(tmp_path: Path) -> None:
    async def scene(extension: MembershipExtension, transport: Transport) -> None:
        extension.socket.pause_writing()
        before = len(transport.sent)
        await asyncio.sleep(0.1)
        assert len(transport.sent) == before
        assert extension.socket.counts["dropped: no room to send"] > 0
        assert extension.protocol is not None
        assert not extension.protocol.state.outbox, "the outbox must not grow while the buffer is full"
        extension.socket.resume_writing()
        async with asyncio.timeout(10.0):
            while len(transport.sent) == before:
                await asyncio.sleep(0.01)

    run_scene(tmp_path, scene)


@pytest.mark.parametrize("code", [errno.ECONNREFUSED, errno.ENOBUFS])
def test_socket_errors_are_counted_and_sending_continues(tmp_path: Path, code: int) -> None:
    async def scene(extension: MembershipExtension, transport: Transport) -> None:
        extension.socket.error_received(OSError(code, "no"))
        before = len(transport.sent)
        async with asyncio.timeout(10.0):
            while len(transport.sent) == before:
                await asyncio.sleep(0.01)

    extension = run_scene(tmp_path, scene)
    assert sum(count for name, count in extension.socket.counts.items() if name.startswith("socket: ")) == 1


def test_a_flood_from_one_address_is_dropped_unread_and_other_addresses_are_served(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(rate_limiter, "RATE_PER_S", 0.0)
    opened: list[bytes] = []

    async def scene(extension: MembershipExtension, transport: Transport) -> None:
        open_datagram = extension.socket.codec.open
        extension.socket.codec = SimpleNamespace(
            open=lambda data: (opened.append(data), open_datagram(data))[1],  # type: ignore[assignment]
            seal=extension.socket.codec.seal,
        )
        for n in range(int(BURST) + 50):
            extension.socket.datagram_received(b"junk %d" % n, ("127.9.9.9", 5))
        assert len(opened) == BURST
        assert extension.socket.counts["dropped: too much from one address"] == 50
        datagram = Datagram("ping", "friend", 1, "f" * 8, request_number=3)
        extension.socket.datagram_received(Codec("c", [KEY]).seal(datagram), ("127.9.9.8", 5))
        assert len(transport.sent)
        assert extension.socket.counts["dropped: other version"] + extension.socket.counts["dropped: forged"] == BURST

    run_scene(tmp_path, scene)
