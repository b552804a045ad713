"""Endpoints on sockets: one listener for each forwarder, the destination's limit shared by all of them."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import httptools

from lab.model import INFORMED, Station
from lab.net import Guarded, Link, Listener, Net, Where
from lab.record import Record

PHRASES = {200: "OK", 400: "Bad Request", 413: "Too Large", 429: "Too Many", 500: "Fault", 503: "Unavailable"}


@dataclass(slots=True, eq=False)
class Call:
    """One call at an endpoint."""

    number: int
    door: Door
    ids: list[str]
    first_s: float
    batch: bool
    fresh: bool
    """The first on its connection, which pays for the handshake."""
    over: bool = False


@dataclass(slots=True, eq=False)
class Site:
    """One endpoint with all its connections."""

    station: Station
    net: Net
    record: Record
    known: Callable[[str, str, int], bool]
    """Whether a client handed a message in at that forwarder, for that destination."""
    on_ran: Callable[[str], None] = lambda ident: None
    on_delivered: Callable[[str], None] = lambda ident: None
    silent: bool = False
    doors: set[Door] = field(default_factory=set)
    numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    @property
    def name(self) -> str:
        return self.station.told.name

    def listen(self, node: str, where: Where) -> Listener:
        link = (node, self.name)
        return Listener(self.net, link, where, partial(Door, self, link), self.down)

    def down(self) -> str | None:
        if not self.station.down:
            return None
        return "silence" if self.silent else "refuse"

    # What the schedule does

    def fail(self, silent: bool) -> None:
        self.silent = silent
        self.station.fail()
        self.record.note("outage", party=self.name)
        self._changed()

    def come_back(self) -> None:
        self.station.come_back(self.record.clock())
        self.record.note("back", party=self.name, state="fallen" if self.station.fallen else "cold")
        self._changed()

    def _changed(self) -> None:
        for link, listener in self.net.listeners.items():
            if link[1] == self.name:
                listener.heed()
        if self.station.down:
            self.station.line.clear()
            self.station.busy = 0
            for door in list(self.doors):
                door.silence() if self.silent else door.abort()

    # Calls

    def take(self, call: Call, node: str) -> None:
        """A call is whole."""
        now = self.record.clock()
        for ident in call.ids:
            self.record.note(
                "call",
                id=ident,
                node=node,
                party=self.name,
                call=call.number,
                first_s=call.first_s,
                destination=self.station.told.destination,
            )
        if not call.ids or not all(self.known(ident, node, self.station.told.destination) for ident in call.ids):
            self.record.note("stranger", id=",".join(call.ids), node=node, party=self.name)
            self.answer(call, 400)
            return
        informed = self.station.heed(now, node)
        if informed is not None:
            self.record.note("fell", party=self.name, share=informed, state="pushed" if informed >= INFORMED else "")
            self._changed()
            return
        verdict = self.station.judge(now)
        if verdict.status != 200:
            self.answer(call, verdict.status, verdict.wait_s)
            return
        if self.station.busy < self.station.slots:
            self.begin(call, verdict.work_s)
        else:
            self.station.line.append((call, verdict.work_s))

    def begin(self, call: Call, work_s: float) -> None:
        self.station.busy += 1
        for ident in call.ids:
            self.record.note("ran", id=ident, node=call.door.link[0], party=self.name, call=call.number)
            self.on_ran(ident)
        extra = self.station.settings.handshake_s if call.fresh else 0.0
        asyncio.get_running_loop().call_later(work_s + extra, self.done, call)

    def done(self, call: Call) -> None:
        """The work is done, whether anybody still waits for it or not."""
        if self.station.down:
            return
        self.station.busy = max(0, self.station.busy - 1)
        while self.station.line and self.station.busy < self.station.slots:
            waiting, work_s = self.station.line.popleft()
            if not waiting.over:  # one whose connection has ended is not begun
                self.begin(waiting, work_s)
        self.answer(call, 200)

    def answer(self, call: Call, status: int, wait_s: float = 0.0) -> None:
        if not call.over:
            call.door.answer(call, status, wait_s)


class Door(Guarded):
    """One connection from a forwarder."""

    def __init__(self, site: Site, link: Link) -> None:
        super().__init__(site.net, link)
        self.site = site
        self.parser = httptools.HttpRequestParser(self)
        self.call: Call | None = None
        self.calls, self.first_s = 0, 0.0
        self.headers: dict[str, str] = {}
        self.path, self.body = "", bytearray()
        self.writing: list[tuple[Call, int, float]] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.site.record.note("dialled", node=self.link[0], party=self.site.name)
        if len(self.site.doors) >= self.site.station.settings.connections:
            self.abort()
            return
        self.site.doors.add(self)

    def silence(self) -> None:
        """The machine has vanished: nothing is said on what is open."""
        if self.transport is not None:
            self.transport.pause_reading()
        self.lost()

    def lost(self) -> None:
        """The connection is of no use any more: its call ends, and answers that the link held back never leave."""
        calls = [call for call, *_ in self.writing] + ([] if self.call is None else [self.call])
        self.call, self.writing, self.mute = None, [], True
        for call in calls:
            call.over = True
            for ident in call.ids:
                self.site.record.note("cut", id=ident, node=self.link[0], party=self.site.name, call=call.number)

    def gave_up(self) -> None:
        self.lost()

    def gone(self) -> None:
        self.site.doors.discard(self)
        self.lost()
        if self.site.station.down:
            self.site.station.seen_failing.add(self.link[0])

    def got(self, data: bytes) -> None:
        if self.site.station.down:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    # Called by the parser

    def on_message_begin(self) -> None:
        self.first_s = self.site.record.clock()
        self.headers, self.path, self.body = {}, "", bytearray()

    def on_url(self, url: bytes) -> None:
        self.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        batch = self.path == "/hook/batch"
        ids = [self.headers.get("x-correlation-id", "")]
        if batch:
            try:
                ids = [str(entry["id"]) for entry in json.loads(self.body)]
            except (ValueError, TypeError, KeyError):
                ids = []
        self.calls += 1
        self.call = Call(next(self.site.numbers), self, ids, self.first_s, batch, self.calls == 1)
        self.site.take(self.call, self.link[0])

    def answer(self, call: Call, status: int, wait_s: float) -> None:
        body = b""
        if status == 200 and call.batch:
            body = json.dumps([{"id": ident, "state": "accepted"} for ident in call.ids]).encode()
        lines = [f"HTTP/1.1 {status} {PHRASES[status]}", f"Content-Length: {len(body)}"]
        report = self.site.station.shop.report()
        if report is not None:
            lines.append(f"X-Backend-Load: {report}")
        if wait_s:
            lines.append(f"X-RateLimit-Wait-Ms: {wait_s * 1000:.0f}")
        if status in (429, 503) and self.site.station.cold(self.site.record.clock()):
            self.site.station.seen_failing.add(self.link[0])
        self.call = None
        self.writing.append((call, status, wait_s))
        self.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def sent(self, data: bytes) -> None:
        """An answer has left: only now it counts as given."""
        call, status, wait_s = self.writing.pop(0)
        call.over = True
        for ident in call.ids:
            self.site.record.note(
                "answered",
                id=ident,
                node=self.link[0],
                party=self.site.name,
                call=call.number,
                status=status,
                wait_s=wait_s,
                destination=self.site.station.told.destination,
            )
            if status == 200:
                self.site.on_delivered(ident)
