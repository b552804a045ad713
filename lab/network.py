"""Links between the forwarders and the other parties of a run, and the faults injected into them.

Each forwarder dials each party at an address that no other forwarder uses, so the dialled address identifies the link
without special privileges. A silent link holds bytes back like a network with retransmission: they arrive once the
fault is healed, even after an orderly close, since the sender's kernel keeps retransmitting. After a reset they are
lost.
"""

from __future__ import annotations

import asyncio
import enum
import random
import select
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

Link = tuple[str, str]
"""The name of a forwarder and of a party: an endpoint, `discovery`, `front`, or another forwarder."""
Address = tuple[str, int]
"""An IPv4 address and a port."""
MIN_SPACING_S = 1e-6
"""Minimum time between two chunks of a delayed stream, which keeps them in order."""


@dataclass(frozen=True, slots=True)
class LinkFault:
    """The faults of a link. `out` is the direction from the forwarder to the party."""

    silent_out: bool = False
    silent_in: bool = False
    refuse: bool = False
    delay_s: float = 0.0
    jitter_s: float = 0.0
    loss: float = 0.0
    """Share of the datagrams that are lost; `doubled` and `swapped` are shares too."""
    doubled: float = 0.0
    swapped: float = 0.0

    @property
    def delays(self) -> bool:
        """Whether the link delays bytes and datagrams."""
        return bool(self.delay_s or self.jitter_s)


HEALTHY = LinkFault()


class Direction(enum.Enum):
    """The direction of bytes on a link."""

    TO_PARTY = enum.auto()
    TO_FORWARDER = enum.auto()


class LinkListener(Protocol):
    """A listening socket of a party that adapts to the state of its link."""

    def apply_link_state(self) -> None:
        """Accept, refuse or ignore new connections according to the link's current state."""

    def close(self) -> None:
        """Close the listening socket."""


class Network:
    """All links of a run. A change of a link applies to its listeners and connections at once."""

    def __init__(self, seed: object) -> None:
        self.rng = random.Random(f"{seed}/net")
        self.faults: dict[Link, LinkFault] = {}
        self.listeners: dict[Link, LinkListener] = {}
        self.connections: dict[Link, set[LinkConnection]] = {}
        self.counts: Counter[str] = Counter()
        """How often each effect of the links occurred, by name; also the number of connections."""

    def fault_on(self, link: Link) -> LinkFault:
        """Return the current faults of a link."""
        return self.faults.get(link, HEALTHY)

    def set_fault(self, link: Link, fault: LinkFault) -> None:
        """Replace the fault of a link."""
        if fault == HEALTHY:
            self.faults.pop(link, None)
        else:
            self.faults[link] = fault
        if link in self.listeners:
            self.listeners[link].apply_link_state()
        for connection in list(self.connections.get(link, ())):
            if fault.refuse:
                connection.cut()
            connection.release_held()

    def heal(self, link: Link) -> None:
        """Remove the fault of a link."""
        self.set_fault(link, HEALTHY)

    def reset_connections(self, link: Link) -> None:
        """Reset every open connection of a link."""
        for connection in list(self.connections.get(link, ())):
            self.counts["reset"] += 1
            connection.cut()

    def draw_delay_s(self, fault: LinkFault) -> float:
        """Draw the delay of the next chunk or datagram, in seconds."""
        return fault.delay_s + fault.jitter_s * self.rng.random()


class LinkConnection(asyncio.Protocol):
    """A party's side of a connection with a forwarder, whose bytes the link may hold back or delay.

    Subclasses implement `receive`, send with `send`, and may override the `on_` methods.
    """

    def __init__(self, network: Network, link: Link) -> None:
        self.network = network
        self.link = link
        self.transport: asyncio.Transport | None = None
        self.held_inbound: list[bytes] = []
        self.held_outbound: list[bytes] = []
        self.last_arrival_s = {Direction.TO_PARTY: 0.0, Direction.TO_FORWARDER: 0.0}
        """Arrival time of the last delayed chunk, by the event loop's clock."""
        self.close_when_sent = False
        self.eof_after_held = False
        """The forwarder has ended its side while the link still held back bytes that it had sent."""
        self.was_cut = False
        """An injected fault ended the connection, not the forwarder."""
        self.muted = False
        """Nothing is written any more, including bytes that the link has held back or delayed."""

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with its link."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.network.connections.setdefault(self.link, set()).add(self)
        self.network.counts["connections"] += 1

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from its link."""
        self.transport = None
        self.network.connections.get(self.link, set()).discard(self)
        self.on_closed()

    def data_received(self, data: bytes) -> None:
        """Deliver bytes from the forwarder now, after the link's delay, or once the link is healed."""
        fault = self.network.fault_on(self.link)
        if fault.silent_out or self.held_inbound:
            self.network.counts["held"] += 1
            self.held_inbound.append(data)
        elif self._is_delayed(Direction.TO_PARTY, fault):
            self._delay(Direction.TO_PARTY, fault, self.receive, data)
        else:
            self.receive(data)

    def eof_received(self) -> bool:
        """Handle the forwarder's end of stream.

        Returns:
            Whether the connection stays open, since the link still holds bytes back.
        """
        self.eof_after_held = bool(self.held_inbound)
        if self.eof_after_held:
            self.on_peer_ended()
        return self.eof_after_held

    # Called by the party

    def send(self, data: bytes) -> None:
        """Send bytes to the forwarder, subject to the link's faults."""
        fault = self.network.fault_on(self.link)
        if fault.silent_in or self.held_outbound:
            self.network.counts["held"] += 1
            self.held_outbound.append(data)
        elif self._is_delayed(Direction.TO_FORWARDER, fault):
            self._delay(Direction.TO_FORWARDER, fault, self._write, data)
        else:
            self._write(data)

    def close(self) -> None:
        """Close the connection once all held-back bytes are written."""
        self.close_when_sent = True
        if not self.held_outbound and self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()

    def cut(self) -> None:
        """Reset the connection on behalf of the network."""
        self.was_cut = True
        self.abort()

    def is_usable(self) -> bool:
        """Whether a request may still be sent on the connection."""
        return self.transport is not None and not self.transport.is_closing()

    # Called by the network

    def release_held(self) -> None:
        """Deliver the held-back bytes that the link's current fault lets pass."""
        fault = self.network.fault_on(self.link)
        if not fault.silent_out:
            self._release_inbound()
        if not fault.silent_in:
            outbound, self.held_outbound = self.held_outbound, []
            for data in outbound:
                self._write(data)

    def _release_inbound(self) -> None:
        inbound, self.held_inbound = self.held_inbound, []
        if self.eof_after_held and self._was_reset():
            self.network.counts["dropped by a reset"] += 1
            inbound = []
        for data in inbound:
            self.receive(data)
        if self.eof_after_held and self.transport is not None:
            self.transport.close()

    def _was_reset(self) -> bool:
        """Whether a reset followed the forwarder's end of stream, which the event loop no longer reports."""
        sock = None if self.transport is None else self.transport.get_extra_info("socket")
        if sock is None or sock.fileno() < 0:
            return True
        poller = select.poll()
        poller.register(sock.fileno(), 0)
        return bool(poller.poll(0))

    def _is_delayed(self, direction: Direction, fault: LinkFault) -> bool:
        return fault.delays or self.last_arrival_s[direction] > asyncio.get_running_loop().time()

    def _delay(self, direction: Direction, fault: LinkFault, deliver: Callable[[bytes], None], data: bytes) -> None:
        """Deliver bytes after the link's delay, and in the order in which they were sent."""
        self.network.counts["delayed"] += 1
        loop = asyncio.get_running_loop()
        earliest_s = self.last_arrival_s[direction] + MIN_SPACING_S
        self.last_arrival_s[direction] = max(earliest_s, loop.time() + self.network.draw_delay_s(fault))
        loop.call_at(self.last_arrival_s[direction], self._arrive, deliver, data)

    def has_inbound_under_way(self) -> bool:
        """Whether the link still holds back or delays bytes that the forwarder has sent."""
        return bool(self.held_inbound) or self._is_late(Direction.TO_PARTY)

    def _is_late(self, direction: Direction) -> bool:
        return self.last_arrival_s[direction] >= asyncio.get_running_loop().time()

    def _arrive(self, deliver: Callable[[bytes], None], data: bytes) -> None:
        """Deliver delayed bytes, unless the connection has ended meanwhile."""
        if self.transport is not None:
            deliver(data)

    def _write(self, data: bytes) -> None:
        if self.transport is None or self.transport.is_closing() or self.muted:
            return
        self.transport.write(data)
        self.on_sent(data)
        if self.close_when_sent and not self.held_outbound:
            self.transport.close()

    # For subclasses

    def receive(self, data: bytes) -> None:
        """Handle bytes from the forwarder that the link has delivered."""
        raise NotImplementedError

    def on_sent(self, data: bytes) -> None:
        """Handle that bytes were written to the socket."""

    def on_peer_ended(self) -> None:
        """Handle that the forwarder has ended its side while its last bytes are still held back."""

    def on_closed(self) -> None:
        """Handle that the connection has ended."""
