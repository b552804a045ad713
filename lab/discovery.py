"""Fake discovery with limited capacity, and the platform that receives notices; one listener per forwarder."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

import httptools
import msgspec

from lab.endpoint_model import TokenBucket
from lab.event_log import EventKind, EventLog
from lab.listener import Listener
from lab.network import Address, Link, LinkConnection, Network
from lab.plan import Endpoint
from lab.scenario import Discovery as DiscoverySettings

PARTY = "discovery"
LIST_PATH = "/discovery/hosts"
NOTICES_PATH = "/v1/notices"
ZONE = "oslo-1"
REMOVED = "removed"
WHOLE_LIST = -1
"""The version in a request for the whole list."""


class ListEntry(msgspec.Struct, frozen=True, rename={"zone": "site", "kind": "class", "destination": "block"}):
    """An endpoint in the endpoint list, as the protocol page defines it ("Discovery")."""

    host: str
    dial: str
    zone: str
    kind: str
    destination: int
    health: str
    share: float
    born_ms: int = 0


class EndpointList(msgspec.Struct, frozen=True, rename={"version": "seq", "is_whole": "whole", "entries": "hosts"}):
    """The whole endpoint list or the changes to it, as the protocol page defines it ("Discovery")."""

    version: int
    is_whole: bool
    entries: list[ListEntry]


@dataclass(frozen=True, slots=True)
class Notice:
    """A forwarder's report to the platform that a message has ended."""

    message_id: str
    state: str
    retry_after_s: float


def _ignore(notice: Notice) -> None:
    """Ignore a notice."""


class DiscoveryServer:
    """Serves the endpoint list and its changes. Each forwarder gets its own addresses for the same endpoint names."""

    def __init__(
        self,
        network: Network,
        event_log: EventLog,
        settings: DiscoverySettings,
        nodes: int,
        seed: object,
        addresses: dict[Link, Address],
    ) -> None:
        """Create a discovery server without endpoints.

        Args:
            network: The links to the forwarders.
            event_log: Receives the events that the server sees.
            settings: The scenario's `discovery` table.
            nodes: Number of forwarders; the capacity is proportional to it.
            seed: Seed of the random draws.
            addresses: Where each forwarder dials each endpoint; entries may be added later.
        """
        self.network = network
        self.event_log = event_log
        self.settings = settings
        self.addresses = addresses
        self.rng = random.Random(f"{seed}/discovery")
        self.capacity = TokenBucket(settings.per_node_s * nodes)
        self.is_down = False
        self.version = 1
        self.endpoints: dict[str, Endpoint] = {}
        self.health: dict[str, str] = {}
        self.changes: list[tuple[int, str]] = []
        """Version and endpoint name of each change, in order."""
        self.watches: set[DiscoveryConnection] = set()
        self.on_notice: Callable[[Notice], None] = _ignore

    def make_listener(self, node: str, address: Address) -> Listener:
        """Create the listener for one forwarder."""
        link = (node, PARTY)
        return Listener(self.network, link, address, partial(DiscoveryConnection, self, link))

    def update_endpoint(self, endpoint: Endpoint, health: str = "up") -> None:
        """Add an endpoint to the list, or change its health; `removed` takes it off the list."""
        self.version += 1
        self.endpoints[endpoint.name] = endpoint
        self.health[endpoint.name] = health
        self.changes.append((self.version, endpoint.name))
        for watch in list(self.watches):
            asyncio.get_running_loop().call_later(self.rng.uniform(*self.settings.late_s), watch.wake)

    def whole_list(self, node: str) -> EndpointList:
        """Return the whole list as one forwarder gets it."""
        listed = [name for name in self.endpoints if self.health[name] != REMOVED]
        return EndpointList(self.version, True, self._entries(node, listed))

    def changes_since(self, node: str, version: int) -> EndpointList:
        """Return the changes after a version as one forwarder gets them."""
        names = dict.fromkeys(name for changed_in, name in self.changes if changed_in > version)
        return EndpointList(self.version, False, self._entries(node, names))

    def _entries(self, node: str, names: Iterable[str]) -> list[ListEntry]:
        return [self._entry(node, name) for name in names]

    def _entry(self, node: str, name: str) -> ListEntry:
        host, port = self.addresses[(node, name)]
        endpoint = self.endpoints[name]
        return ListEntry(
            host=name,
            dial=f"{host}:{port}",
            zone=ZONE,
            kind=endpoint.kind,
            destination=endpoint.destination,
            health=self.health[name],
            share=round(endpoint.capacity_per_s, 3),
        )


class DiscoveryConnection(LinkConnection):
    """One connection from a forwarder to discovery and the platform."""

    def __init__(self, server: DiscoveryServer, link: Link) -> None:
        super().__init__(server.network, link)
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.url = ""
        self.body = bytearray()
        self.watched_version: int | None = None
        """The version of the open watch; None without one."""
        self.watch_timer: asyncio.TimerHandle | None = None

    @property
    def node(self) -> str:
        """The forwarder's name."""
        return self.link[0]

    def on_closed(self) -> None:
        """End the watch."""
        self._end_watch()

    def receive(self, data: bytes) -> None:
        """Parse bytes from the forwarder."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    # Called by the parser

    def on_message_begin(self) -> None:
        """Reset the request's fields."""
        self.url = ""
        self.body = bytearray()

    def on_url(self, url: bytes) -> None:
        """Append to the request's URL."""
        self.url += url.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Append to the request's body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Answer the request, or start a watch."""
        parts = urlsplit(self.url)
        if parts.path == NOTICES_PATH:  # the platform answers at once, even while discovery is down
            self._handle_notices()
        elif parts.path != LIST_PATH:
            self._answer(HTTPStatus.NOT_FOUND)
        else:
            query = parse_qs(parts.query)
            version = int(query.get("from", [str(WHOLE_LIST)])[0])
            hold_s = float(query.get("hold_ms", ["0"])[0]) / 1000
            self._handle_list_request(version, hold_s)

    # Requests

    def _handle_notices(self) -> None:
        try:
            notices = [
                Notice(str(row["id"]), str(row["state"]), float(row.get("after_ms", 0)) / 1000)
                for row in map(json.loads, self.body.splitlines())
            ]
        except (ValueError, KeyError, TypeError):
            self._answer(HTTPStatus.BAD_REQUEST)
            return
        for notice in notices:
            self.server.event_log.note(
                EventKind.NOTICE,
                id=notice.message_id,
                node=self.node,
                state=notice.state,
                wait_s=notice.retry_after_s,
            )
            self.server.on_notice(notice)
        self._answer(HTTPStatus.NO_CONTENT)

    def _handle_list_request(self, version: int, hold_s: float) -> None:
        server = self.server
        if server.is_down:
            server.event_log.note(EventKind.LIST_REQUESTED, node=self.node, status=0)
            return  # discovery does not answer while it is down
        if not server.capacity.take(server.event_log.clock()):
            server.event_log.note(EventKind.LIST_REQUESTED, node=self.node, status=HTTPStatus.SERVICE_UNAVAILABLE)
            self._answer(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        server.event_log.note(EventKind.LIST_REQUESTED, node=self.node, status=HTTPStatus.OK)
        if version < 0 or version > server.version:
            self._send_list(server.whole_list(self.node))
        elif version < server.version:
            self._send_list(server.changes_since(self.node, version))
        else:
            self.watched_version = version
            server.watches.add(self)
            self.watch_timer = asyncio.get_running_loop().call_later(hold_s, self.wake, True)

    def wake(self, hold_expired: bool = False) -> None:
        """Answer the open watch, if the list has changed or the hold time is over."""
        version = self.watched_version
        if version is None or self.server.is_down:
            return
        if hold_expired or version < self.server.version:
            changes = self.server.changes_since(self.node, version)
            self._end_watch()
            self._send_list(changes)

    def _end_watch(self) -> None:
        self.server.watches.discard(self)
        self.watched_version = None
        if self.watch_timer is not None:
            self.watch_timer.cancel()
            self.watch_timer = None

    # Answers

    def _send_list(self, endpoint_list: EndpointList) -> None:
        for entry in endpoint_list.entries:
            self.server.event_log.note(EventKind.HEALTH_SENT, node=self.node, party=entry.host, state=entry.health)
        self._answer(HTTPStatus.OK, json.dumps(msgspec.to_builtins(endpoint_list)).encode())

    def _answer(self, status: HTTPStatus, body: bytes = b"") -> None:
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        self.send(head.encode() + body)
