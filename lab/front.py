"""The front chooses a forwarder for each message, polls the status of all, and detects a death with a delay."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field
from http import HTTPStatus

from lab.client_connection import PARTY, ClientConnection
from lab.event_log import EventKind, EventLog
from lab.network import Address, Network
from lab.plan import Plan

DRAIN_CONNECT_S = (0.2, 0.4)
"""How long new connections still come after the first poll answered with a status other than 200 (PROTOCOL)."""
POLL_TIMEOUT_S = 1.0
SILENT_CONNECT_S = 3600.0
"""Duration of a connection attempt to a silent forwarder: longer than any timeout of a caller."""
UP_REQUEST = b"GET /up HTTP/1.1\r\nHost: origin.svc\r\n\r\n"
SOURCE_ADDRESS = ("127.9.0.1", 0)


@dataclass(slots=True, eq=False)
class ForwarderStatus:
    """What the front knows about one forwarder."""

    name: str
    address: Address
    weight: float = 1.0
    is_up: bool = False
    is_draining: bool = False
    was_up: bool = False
    idle_connections: deque[ClientConnection] = field(default_factory=deque)


@dataclass(slots=True)
class PollHistory:
    """The results of the polls of one forwarder."""

    failed_since_s: float | None = None
    detection_delay_s: float = 0.0
    """Time from the first failed poll until the front considers the forwarder dead."""


class Front:
    """Chooses forwarders for messages and provides connections to them."""

    def __init__(self, plan: Plan, network: Network, event_log: EventLog, addresses: dict[str, Address]) -> None:
        """Create a front.

        Args:
            plan: The run's plan.
            network: The links to the forwarders.
            event_log: Receives the events that the front sees.
            addresses: The address of each forwarder's client listener.
        """
        seed = plan.scenario.seed
        self.network = network
        self.event_log = event_log
        self.settings = plan.scenario.front
        self.rng = random.Random(f"{seed}/front")
        weight_rng = random.Random(f"{seed}/uneven")
        self.forwarders = {
            name: ForwarderStatus(name, addresses[name], weight_rng.uniform(0.5, 1.5)) for name in plan.nodes
        }
        self._apply_first_share()
        self.by_key: dict[str, ForwarderStatus] = {}
        """The forwarder that each ordering key was assigned to."""
        self.routable: list[ForwarderStatus] = []
        self.weights: list[float] = []
        self.tasks: list[asyncio.Task[None]] = []

    def _apply_first_share(self) -> None:
        """Set the weight of the first forwarder so that it gets its share of all messages, if the scenario sets one."""
        first, *others = self.forwarders.values()
        share = self.settings.first_share
        if share is not None and others:
            first.weight = sum(other.weight for other in others) * share / (1 - share)

    def open(self) -> None:
        """Start polling the forwarders, with their first polls spread over the interval."""
        loop = asyncio.get_running_loop()
        for index, forwarder in enumerate(self.forwarders.values()):
            first_s = index * self.settings.poll_s / len(self.forwarders)
            self.tasks.append(loop.create_task(self._poll(forwarder, first_s)))

    def close(self) -> None:
        """Stop polling and abort all connections of the run."""
        for task in self.tasks:
            task.cancel()
        for connections in self.network.connections.values():
            for connection in list(connections):
                connection.abort()

    # Choosing

    def choose(self, key: str | None) -> ForwarderStatus | None:
        """Choose a forwarder for a message; None if none is up.

        A key stays with its forwarder while that forwarder is up. Some clients keep using the connections that they
        have, even to a draining forwarder.
        """
        if self.settings.stay and self.rng.random() < self.settings.stay:
            draining = self._draining_with_connections()
            if draining:
                return self.rng.choice(draining)
        if not self.routable:
            return None
        if key is not None and key in self.by_key and self.by_key[key].is_up:
            return self.by_key[key]
        chosen = self.rng.choices(self.routable, self.weights)[0]
        if key is not None:
            self.by_key[key] = chosen
        return chosen

    def _draining_with_connections(self) -> list[ForwarderStatus]:
        return [
            forwarder
            for forwarder in self.forwarders.values()
            if forwarder.is_draining and any(idle.is_usable() for idle in forwarder.idle_connections)
        ]

    def _update_routable(self) -> None:
        self.routable = [each for each in self.forwarders.values() if each.is_up and not each.is_draining]
        self.weights = [each.weight for each in self.routable]

    # Polling

    async def _poll(self, forwarder: ForwarderStatus, first_s: float) -> None:
        """Poll a forwarder's status until cancelled."""
        await asyncio.sleep(first_s)
        history = PollHistory()
        while True:
            status = await self._request_status(forwarder)
            if status == HTTPStatus.OK:
                self._on_ready(forwarder, history)
            elif status is not None:
                self._on_not_ready(forwarder)
            elif forwarder.is_up:
                self._on_no_answer(forwarder, history)
            await asyncio.sleep(self.settings.poll_s)

    async def _request_status(self, forwarder: ForwarderStatus) -> int | None:
        connection = None
        try:
            async with asyncio.timeout(POLL_TIMEOUT_S):
                connection = await self.connect(forwarder, fresh=True)
                return await connection.request(UP_REQUEST)
        except (OSError, TimeoutError):
            return None
        finally:
            if connection is not None:
                connection.abort()

    def _on_ready(self, forwarder: ForwarderStatus, history: PollHistory) -> None:
        had_failed = history.failed_since_s is not None
        history.failed_since_s = None
        if had_failed or not forwarder.is_up or forwarder.is_draining:
            self.event_log.note(EventKind.FORWARDER_READY, node=forwarder.name)
            forwarder.is_up = True
            forwarder.is_draining = False
            forwarder.was_up = True
            self._update_routable()

    def _on_not_ready(self, forwarder: ForwarderStatus) -> None:
        if forwarder.is_up and not forwarder.is_draining:
            delay_s = self.rng.uniform(*DRAIN_CONNECT_S)
            asyncio.get_running_loop().call_later(delay_s, self._drain, forwarder)

    def _on_no_answer(self, forwarder: ForwarderStatus, history: PollHistory) -> None:
        now_s = self.event_log.clock()
        if history.failed_since_s is None:
            history.failed_since_s = now_s
            history.detection_delay_s = self.rng.uniform(*self.settings.notice_s)
        elif now_s - history.failed_since_s >= history.detection_delay_s:
            forwarder.is_up = False
            self.event_log.note(EventKind.DEATH_NOTICED, node=forwarder.name)
            self._update_routable()

    def _drain(self, forwarder: ForwarderStatus) -> None:
        forwarder.is_draining = True
        self._update_routable()

    # Connections

    async def connect(self, forwarder: ForwarderStatus, fresh: bool = False) -> ClientConnection:
        """Return a connection to a forwarder: an idle one, or a new one.

        Args:
            forwarder: The forwarder to connect to.
            fresh: Whether to open a new connection even if an idle one exists.

        Raises:
            OSError: The connection failed.
        """
        while forwarder.idle_connections and not fresh:
            connection = forwarder.idle_connections.pop()
            if connection.is_usable():
                return connection
        if forwarder.is_draining and not fresh:
            raise ConnectionRefusedError  # a draining forwarder gets no new connections
        fault = self.network.fault_on((forwarder.name, PARTY))
        if fault.refuse:
            raise ConnectionRefusedError
        if fault.silent_in or fault.silent_out:
            await asyncio.sleep(SILENT_CONNECT_S)  # the caller's timeout expires first
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: ClientConnection(self.network, forwarder.name), *forwarder.address, local_addr=SOURCE_ADDRESS
        )
        return connection

    def release(self, forwarder: ForwarderStatus, connection: ClientConnection) -> None:
        """Keep a connection for the next message, or abort it."""
        has_room = len(forwarder.idle_connections) < self.settings.connections
        if connection.is_usable() and connection.keeps_alive and has_room:
            forwarder.idle_connections.append(connection)
        else:
            connection.abort()
