"""Discovery with limited room, and the platform that takes notices; one listener for each forwarder."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from functools import partial
from typing import Any
from urllib.parse import parse_qs, urlsplit

import httptools

from lab.model import Limit
from lab.net import Guarded, Link, Listener, Net, Where
from lab.plan import Endpoint
from lab.record import Record
from lab.scenario import Discovery as Room

PARTY = "discovery"


class Discovery:
    """The list of endpoints and its changes. What each forwarder dials differs; the names do not."""

    def __init__(
        self, net: Net, record: Record, room: Room, nodes: int, seed: object, where: dict[tuple[str, str], Where]
    ) -> None:
        self.net, self.record, self.room, self.where = net, record, room, where
        self.chance = random.Random(f"{seed}/discovery")
        self.limit = Limit(room.per_node_s * nodes)
        self.down = False
        self.seq = 1
        self.hosts: dict[str, Endpoint] = {}
        self.health: dict[str, str] = {}
        self.changes: list[tuple[int, str]] = []
        self.waiting: set[Asker] = set()
        self.on_notice: Callable[[str, str, float], None] = lambda ident, state, after_s: None

    def listen(self, node: str, where: Where) -> Listener:
        link = (node, PARTY)
        return Listener(self.net, link, where, partial(Asker, self, link))

    def host(self, e: Endpoint, health: str = "up") -> None:
        """List an endpoint, or change its health; `removed` takes it off."""
        self.seq += 1
        self.hosts[e.name], self.health[e.name] = e, health
        self.changes.append((self.seq, e.name))
        for asker in list(self.waiting):
            asyncio.get_running_loop().call_later(self.chance.uniform(*self.room.late_s), asker.wake)

    def row(self, node: str, name: str) -> dict[str, Any]:
        host, port = self.where[(node, name)]
        e = self.hosts[name]
        return {
            "host": name,
            "dial": f"{host}:{port}",
            "site": "oslo-1",
            "class": e.kind,
            "block": e.destination,
            "health": self.health[name],
            "share": round(e.rate, 3),
            "born_ms": 0,
        }

    def listing(self, node: str) -> dict[str, Any]:
        return {
            "seq": self.seq,
            "whole": True,
            "hosts": [self.row(node, name) for name in self.hosts if self.health[name] != "removed"],
        }

    def since(self, node: str, seq: int) -> dict[str, Any]:
        names = dict.fromkeys(name for number, name in self.changes if number > seq)
        return {"seq": self.seq, "whole": False, "hosts": [self.row(node, name) for name in names]}


class Asker(Guarded):
    """One connection from a forwarder to discovery and the platform."""

    def __init__(self, discovery: Discovery, link: Link) -> None:
        super().__init__(discovery.net, link)
        self.discovery = discovery
        self.parser = httptools.HttpRequestParser(self)
        self.url, self.body = "", bytearray()
        self.watching = -1
        self.timer: asyncio.TimerHandle | None = None

    def gone(self) -> None:
        self.end_watch()

    def end_watch(self) -> None:
        self.discovery.waiting.discard(self)
        self.watching = -1
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def got(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_begin(self) -> None:
        self.url, self.body = "", bytearray()

    def on_url(self, url: bytes) -> None:
        self.url += url.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        parts = urlsplit(self.url)
        if parts.path == "/v1/notices":  # taken at once, even while discovery is down
            self.notices()
        elif parts.path != "/discovery/hosts":
            self.answer(404)
        else:
            query = parse_qs(parts.query)
            self.asked(int(query.get("from", ["-1"])[0]), float(query.get("hold_ms", ["0"])[0]) / 1000)

    def notices(self) -> None:
        d = self.discovery
        try:
            told = [
                (str(row["id"]), str(row["state"]), float(row.get("after_ms", 0)) / 1000)
                for row in map(json.loads, self.body.splitlines())
            ]
        except (ValueError, KeyError, TypeError):
            self.answer(400)
            return
        for ident, state, after_s in told:
            d.record.note("notice", id=ident, node=self.link[0], state=state, wait_s=after_s)
            d.on_notice(ident, state, after_s)
        self.answer(204)

    def asked(self, seq: int, hold_s: float) -> None:
        d = self.discovery
        if d.down:
            d.record.note("listed", node=self.link[0], status=0)
            return  # silent while it is down
        if not d.limit.take(d.record.clock()):
            d.record.note("listed", node=self.link[0], status=503)
            self.answer(503)
            return
        d.record.note("listed", node=self.link[0], status=200)
        if seq < 0 or seq > d.seq:
            self.tell(d.listing(self.link[0]))
        elif seq < d.seq:
            self.tell(d.since(self.link[0], seq))
        else:
            self.watching = seq
            d.waiting.add(self)
            self.timer = asyncio.get_running_loop().call_later(hold_s, self.wake, True)

    def wake(self, held_out: bool = False) -> None:
        if self.watching >= 0 and not self.discovery.down and (held_out or self.watching < self.discovery.seq):
            told = self.discovery.since(self.link[0], self.watching)
            self.end_watch()
            self.tell(told)

    def tell(self, told: dict[str, Any]) -> None:
        for row in told["hosts"]:
            self.discovery.record.note("told", node=self.link[0], party=row["host"], state=row["health"])
        self.answer(200, json.dumps(told).encode())

    def answer(self, status: int, body: bytes = b"") -> None:
        self.send(f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
