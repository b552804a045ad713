"""Datagrams between forwarders pass a proxy, which drops, duplicates, reorders or delays them by the links' faults."""

from __future__ import annotations

import asyncio
from collections import Counter
from functools import partial
from typing import cast

from lab.network import Address, Link, LinkFault, Network


class DatagramProxy(asyncio.DatagramProtocol):
    """The socket at which the other forwarders reach one forwarder."""

    def __init__(self, exchange: DatagramExchange, node: str) -> None:
        self.exchange = exchange
        self.node = node
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, sender: Address) -> None:
        """Forward a datagram that was sent to this forwarder."""
        self.exchange.forward(sender[0], self.node, data)

    def error_received(self, error: Exception) -> None:
        """Count a socket error."""
        self.exchange.network.counts["datagram errors"] += 1


class DatagramExchange:
    """The proxies of all forwarders. A datagram's source address identifies its sender."""

    def __init__(self, network: Network, real: dict[str, Address], advertised: dict[str, Address]) -> None:
        """Create the exchange; `open` binds its sockets.

        Args:
            network: The links and their faults.
            real: Each forwarder's own UDP address, by name.
            advertised: Each forwarder's proxy address, which the others send to, by name.
        """
        self.network = network
        self.real = real
        self.advertised = advertised
        self.names = {address[0]: name for name, address in real.items()}
        self.proxies: dict[str, DatagramProxy] = {}
        self.swapping: dict[Link, bytes] = {}
        """By link, a datagram that waits for the next one, to be sent after it."""
        self.sent_bytes: Counter[str] = Counter()
        self.sent_datagrams: Counter[str] = Counter()

    async def open(self) -> None:
        """Bind the address of every proxy.

        Raises:
            OSError: An address is in use.
        """
        loop = asyncio.get_running_loop()
        for name, address in self.advertised.items():
            make_proxy = partial(DatagramProxy, self, name)
            _, self.proxies[name] = await loop.create_datagram_endpoint(make_proxy, local_addr=address)

    def close(self) -> None:
        """Release all addresses."""
        for proxy in self.proxies.values():
            if proxy.transport is not None:
                proxy.transport.close()

    def forward(self, source: str, receiver: str, data: bytes) -> None:
        """Forward a datagram with the fault of its link applied."""
        sender = self.names.get(source)
        if sender is None:
            self.network.counts["datagrams of strangers"] += 1
            return
        self.sent_datagrams[sender] += 1
        self.sent_bytes[sender] += len(data)
        link = (sender, receiver)
        fault = self.network.fault_on(link)
        if fault.silent_out or fault.refuse or self.network.rng.random() < fault.loss:
            self.network.counts["datagrams lost"] += 1
            return
        for copy in self._copies(link, fault, data):
            delay_s = self.network.draw_delay_s(fault)
            if delay_s:
                self.network.counts["datagrams delayed"] += 1
                asyncio.get_running_loop().call_later(delay_s, self._deliver, link, copy)
            else:
                self._deliver(link, copy)

    def _copies(self, link: Link, fault: LinkFault, data: bytes) -> list[bytes]:
        """Return the datagrams to send now: none while this one waits to be swapped; several if it is duplicated."""
        copies = [data]
        if self.network.rng.random() < fault.doubled:
            self.network.counts["datagrams doubled"] += 1
            copies.append(data)
        if self.network.rng.random() < fault.swapped:
            self.network.counts["datagrams swapped"] += 1
            waiting = self.swapping.pop(link, None)
            if waiting is None:
                self.swapping[link] = data
                return []
            copies.append(waiting)
        return copies

    def _deliver(self, link: Link, data: bytes) -> None:
        sender, receiver = link
        proxy = self.proxies.get(sender)
        if proxy is not None and proxy.transport is not None and not proxy.transport.is_closing():
            proxy.transport.sendto(data, self.real[receiver])
