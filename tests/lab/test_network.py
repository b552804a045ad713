"""Tests over sockets that each fault of a link has its effect and is counted."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

import pytest

from forwarder.clients.listener import reset_on_close
from lab.listener import Listener
from lab.network import Link, LinkConnection, LinkFault, Network
from tests.sockets import PATIENCE, free_port, own_host

LINK = ("n0", "s-0")


class Echo(LinkConnection):
    """Sends received bytes back."""

    def receive(self, data: bytes) -> None:
        self.send(data)


class Recorder(LinkConnection):
    """Records received bytes."""

    def __init__(self, network: Network, link: Link, received: list[bytes]) -> None:
        super().__init__(network, link)
        self.received = received

    def receive(self, data: bytes) -> None:
        self.received.append(data)


async def open_listener(network: Network, link: Link = LINK) -> Listener:
    host = own_host()
    listener = Listener(network, link, (host, free_port(host)), lambda: Echo(network, link))
    listener.open()
    return listener


async def assert_received(reader: asyncio.StreamReader, expected: bytes) -> None:
    async with asyncio.timeout(PATIENCE):
        assert await reader.readexactly(len(expected)) == expected


async def read_until_end(reader: asyncio.StreamReader) -> None:
    """Wait for the end of a connection. Raises ConnectionError for a close as well as for a reset."""
    async with asyncio.timeout(PATIENCE):
        if not await reader.read():
            raise ConnectionResetError


def run_with_network(exercise: Callable[[Network], Coroutine[object, object, None]]) -> Network:
    network = Network(1)
    asyncio.run(exercise(network))
    return network


@pytest.mark.parametrize("fault", [LinkFault(silent_out=True), LinkFault(silent_in=True), LinkFault(True, True)])
def test_silent_link_holds_bytes_back_until_it_heals(fault: LinkFault) -> None:
    async def exercise(network: Network) -> None:
        listener = await open_listener(network)
        reader, writer = await asyncio.open_connection(*listener.address)
        writer.write(b"before")
        await assert_received(reader, b"before")
        network.set_fault(LINK, fault)
        writer.write(b"after")
        async with asyncio.timeout(PATIENCE):
            while not network.counts.get("held"):
                await asyncio.sleep(0.01)
        assert not reader._buffer  # type: ignore[attr-defined]  # nothing has arrived
        network.heal(LINK)
        await assert_received(reader, b"after")
        writer.close()
        listener.close()

    run_with_network(exercise)


@pytest.mark.parametrize("reset", [False, True])
def test_held_back_bytes_arrive_after_a_close_but_not_after_a_reset(reset: bool) -> None:
    async def exercise(network: Network) -> None:
        listener = await open_listener(network)
        received: list[bytes] = []
        listener.make_connection = lambda: Recorder(network, LINK, received)
        _, writer = await asyncio.open_connection(*listener.address)
        writer.write(b"before")
        async with asyncio.timeout(PATIENCE):
            while not received:
                await asyncio.sleep(0.01)
        network.set_fault(LINK, LinkFault(silent_out=True))
        writer.write(b"late")
        if reset:
            reset_on_close(writer.get_extra_info("socket"), True)
        writer.write_eof()
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(0.05)
        network.heal(LINK)
        assert received == ([b"before"] if reset else [b"before", b"late"])
        listener.close()

    assert run_with_network(exercise).counts.get("dropped by a reset", 0) == reset


def test_silent_link_accepts_no_connection_until_it_heals() -> None:
    async def exercise(network: Network) -> None:
        listener = await open_listener(network)
        network.set_fault(LINK, LinkFault(True, True))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await asyncio.open_connection(*listener.address)
        network.heal(LINK)
        reader, writer = await asyncio.open_connection(*listener.address)
        writer.write(b"x")
        await assert_received(reader, b"x")
        writer.close()
        listener.close()

    run_with_network(exercise)


def test_reset_and_refusal_end_connections_and_refusal_prevents_new_ones() -> None:
    async def exercise(network: Network) -> None:
        listener = await open_listener(network)
        for end in (lambda: network.reset_connections(LINK), lambda: network.set_fault(LINK, LinkFault(refuse=True))):
            reader, writer = await asyncio.open_connection(*listener.address)
            writer.write(b"x")
            await assert_received(reader, b"x")
            end()
            with pytest.raises(ConnectionError):
                await read_until_end(reader)
            writer.close()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*listener.address)
        listener.close()

    assert run_with_network(exercise).counts["reset"] == 1


def test_delayed_stream_keeps_its_order() -> None:
    async def exercise(network: Network) -> None:
        listener = await open_listener(network)
        network.set_fault(LINK, LinkFault(delay_s=0.02, jitter_s=0.05))
        reader, writer = await asyncio.open_connection(*listener.address)
        for n in range(30):
            writer.write(bytes([n]))
            await writer.drain()
            await asyncio.sleep(0.001)
        await assert_received(reader, bytes(range(30)))
        writer.close()
        listener.close()

    assert run_with_network(exercise).counts["delayed"] >= 2


def test_cut_link_does_not_affect_other_links() -> None:
    async def exercise(network: Network) -> None:
        cut, other = await open_listener(network), await open_listener(network, ("n1", "s-0"))
        network.set_fault(LINK, LinkFault(refuse=True))
        reader, writer = await asyncio.open_connection(*other.address)
        writer.write(b"x")
        await assert_received(reader, b"x")
        writer.close()
        cut.close()
        other.close()

    run_with_network(exercise)
