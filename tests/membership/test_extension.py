"""One forwarder's UDP socket without room, with errors, and flooded: dropped and counted, and never more than that."""

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
    """Takes datagrams, and keeps them."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def sendto(self, data: bytes, where: Any) -> None:
        self.sent.append(data)

    def close(self) -> None: ...


def played(tmp_path: Path, scene: Callable[[MembershipExtension, Transport], Any]) -> MembershipExtension:
    (tmp_path / "key").write_text(KEY.hex())
    told = MembershipSettings(
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
    part, transport = MembershipExtension(engine, told), Transport()

    async def run() -> None:
        async def bound(make: Callable[[], Any], **more: Any) -> None:
            part.socket.connection_made(transport)  # type: ignore[arg-type]

        asyncio.get_running_loop().create_datagram_endpoint = bound  # type: ignore[assignment, method-assign]
        await part.open()
        await scene(part, transport)
        part.timer.cancel()  # type: ignore[union-attr]

    asyncio.run(run())
    return part


def test_a_full_socket_buffer_drops_as_a_network_would_and_goes_on(tmp_path: Path) -> None:
    async def scene(part: MembershipExtension, transport: Transport) -> None:
        part.socket.pause_writing()
        before = len(transport.sent)
        await asyncio.sleep(0.1)
        assert len(transport.sent) == before
        assert part.socket.counts["dropped: no room to send"] > 0
        assert part.protocol is not None
        assert not part.protocol.state.outbox, "nothing piles up"
        part.socket.resume_writing()
        async with asyncio.timeout(10.0):
            while len(transport.sent) == before:
                await asyncio.sleep(0.01)

    played(tmp_path, scene)


@pytest.mark.parametrize("code", [errno.ECONNREFUSED, errno.ENOBUFS])
def test_errors_of_datagrams_are_counted_and_end_nothing(tmp_path: Path, code: int) -> None:
    async def scene(part: MembershipExtension, transport: Transport) -> None:
        part.socket.error_received(OSError(code, "no"))
        before = len(transport.sent)
        async with asyncio.timeout(10.0):
            while len(transport.sent) == before:
                await asyncio.sleep(0.01)

    part = played(tmp_path, scene)
    assert sum(n for what, n in part.socket.counts.items() if what.startswith("socket: ")) == 1


def test_a_flood_from_one_address_is_dropped_unread_and_others_are_heard(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(rate_limiter, "RATE_PER_S", 0.0)
    opened: list[bytes] = []

    async def scene(part: MembershipExtension, transport: Transport) -> None:
        taken = part.socket.codec.open
        part.socket.codec = SimpleNamespace(
            open=lambda data: (opened.append(data), taken(data))[1],  # type: ignore[assignment]
            seal=part.socket.codec.seal,
        )
        for n in range(int(BURST) + 50):
            part.socket.datagram_received(b"junk %d" % n, ("127.9.9.9", 5))
        assert len(opened) == BURST
        assert part.socket.counts["dropped: too much from one address"] == 50
        body = Datagram("ping", "friend", 1, "f" * 8, request_number=3)
        part.socket.datagram_received(Codec("c", [KEY]).seal(body), ("127.9.9.8", 5))
        assert len(transport.sent)
        assert part.socket.counts["dropped: other version"] + part.socket.counts["dropped: forged"] == BURST

    played(tmp_path, scene)
