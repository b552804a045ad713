"""Tests that each fault of a link between forwarders affects datagrams as specified, and is counted."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest

from lab.datagrams import DatagramExchange
from lab.network import Address, LinkFault, Network
from tests.sockets import PATIENCE, free_port, own_host


def bind_udp(host: str) -> socket.socket:
    sock = socket.socket(type=socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((host, 0))
    return sock


@pytest.mark.parametrize(
    ("fault", "counted", "is_expected"),
    [
        (LinkFault(), "", lambda n: n == 40),
        (LinkFault(silent_out=True), "datagrams lost", lambda n: n == 0),
        (LinkFault(loss=0.5), "datagrams lost", lambda n: 5 < n < 35),
        (LinkFault(doubled=0.5), "datagrams doubled", lambda n: 45 < n < 75),
        (LinkFault(swapped=0.5), "datagrams swapped", lambda n: 38 < n < 41),
        (LinkFault(delay_s=0.01, jitter_s=0.05), "datagrams delayed", lambda n: n == 40),
    ],
    ids=["healthy", "cut", "loss", "doubled", "swapped", "delayed"],
)
def test_link_faults_affect_datagrams_in_one_direction(
    fault: LinkFault, counted: str, is_expected: Callable[[int], bool]
) -> None:
    """Datagrams arrive from the sender's advertised address. The reverse direction is another link without a fault."""

    async def exercise(network: Network) -> None:
        hosts = [own_host(), own_host()]
        sockets = [bind_udp(host) for host in hosts]
        proxies = [(own_host(), free_port()) for _ in hosts]
        exchange = DatagramExchange(
            network,
            {f"n{n}": sock.getsockname() for n, sock in enumerate(sockets)},
            {f"n{n}": address for n, address in enumerate(proxies)},
        )
        await exchange.open()
        network.set_fault(("n0", "n1"), fault)
        received: list[tuple[bytes, Address]] = []
        for n in range(40):
            sockets[0].sendto(bytes([n]), proxies[1])
            sockets[1].sendto(bytes([n]), proxies[0])
            await asyncio.sleep(0)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(PATIENCE / 4):
            for _ in range(40):
                await loop.sock_recvfrom(sockets[0], 100)
            await asyncio.sleep(0.2)  # delayed datagrams arrive within 0.06 s
            while True:
                try:
                    received.append(sockets[1].recvfrom(100))
                except BlockingIOError:
                    break
        assert is_expected(len(received))
        assert {address for _, address in received} <= {proxies[0]}
        if fault.jitter_s or fault.swapped:
            assert [data for data, _ in received] != sorted(data for data, _ in received)
        if counted:
            assert network.counts[counted] > 0
        exchange.close()
        for sock in sockets:
            sock.close()

    asyncio.run(exercise(Network(1)))
