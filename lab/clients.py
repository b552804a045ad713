"""Clients and the front: messages are handed in by an open loop, and again after a refusal or a death."""

from __future__ import annotations

import asyncio
import random
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import httptools

from lab.net import Guarded, Net, Where
from lab.plan import AIM_S, DEADLINE_S, ONCE, Arrival, Plan
from lab.record import Record

PARTY = "front"
PATIENCE_S = 0.4
"""A client waits so long for its answer (PROTOCOL)."""
LEAST_LEFT_S = 0.2
"""With less of its time left a message is not handed in again."""
LEAVING_S = (0.2, 0.4)
"""New connections come for so long after the first no (PROTOCOL)."""
CROSSED_S = 0.05
"""Within this the reset has come that follows the end of a connection whose forwarder never read the request."""
UP = b"GET /up HTTP/1.1\r\nHost: origin.svc\r\n\r\n"
SOURCE = "127.9.0.1"


class Visit(Guarded):
    """One connection of the clients to a forwarder. Its `out` is what the forwarder sends."""

    def __init__(self, net: Net, node: str) -> None:
        super().__init__(net, (node, PARTY))
        self.parser = httptools.HttpResponseParser(self)
        self.answer: asyncio.Future[int] | None = None
        self.status, self.after_s, self.kept = 0, 0.0, True
        self.on_sent: Callable[[], None] | None = None
        self.used = 0
        self.reset = False

    def ask(self, data: bytes, on_sent: Callable[[], None] | None = None) -> asyncio.Future[int]:
        """Send a request; the answer's status, or ConnectionError."""
        self.answer = asyncio.get_running_loop().create_future()
        self.on_sent, self.used, self.after_s = on_sent, self.used + 1, 0.0
        self.send(data)
        return self.answer

    def sent(self, data: bytes) -> None:
        if self.on_sent is not None:
            self.on_sent()

    def got(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            self.after_s = float(value)

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()

    def on_message_complete(self) -> None:
        self.kept = self.parser.should_keep_alive()
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(self.status)

    def eof_received(self) -> bool:
        """The forwarder has ended its side. Where a request is unanswered, what follows tells whether it was read: if
        it was not, its bytes met a closed socket, and a reset comes.
        """
        if self.answer is None or self.answer.done():
            return False
        asyncio.get_running_loop().call_later(CROSSED_S, self._ended)
        return True

    def _ended(self) -> None:
        if self.transport is None:
            return
        sock = self.transport.get_extra_info("socket")
        self.reset = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
        self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.reset = self.reset or error is not None
        super().connection_lost(error)

    def gone(self) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(ConnectionResetError("the connection ended"))

    def usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()


@dataclass(slots=True, eq=False)
class Seen:
    """What the front knows of one forwarder."""

    name: str
    where: Where
    weight: float = 1.0
    up: bool = False
    leaving: bool = False
    ever: bool = False
    idle: deque[Visit] = field(default_factory=deque)
    held: dict[str, Trip] = field(default_factory=dict)
    """Messages that it has taken on and that have no end yet."""


@dataclass(slots=True, eq=False)
class Trip:
    """One handing-in of a message, under an id of its own."""

    id: str
    arrival: Arrival
    tries: int
    due_s: float
    again: bool
    node: Seen | None = None
    taken: bool = False
    ran: bool = False
    over: bool = False


class Front:
    """Chooses a forwarder for each message; asks `/up`; notices a death late."""

    def __init__(self, plan: Plan, net: Net, record: Record, where: dict[str, Where]) -> None:
        self.plan, self.net, self.record = plan, net, record
        self.settings = plan.scenario.front
        self.chance = random.Random(f"{plan.scenario.seed}/front")
        uneven = random.Random(f"{plan.scenario.seed}/uneven")
        self.seen = {name: Seen(name, where[name], uneven.uniform(0.5, 1.5)) for name in plan.nodes}
        first, *others = self.seen.values()
        if self.settings.first_share is not None and others:
            first.weight = sum(o.weight for o in others) * self.settings.first_share / (1 - self.settings.first_share)
        self.of_key: dict[str, Seen] = {}
        self.live: list[Seen] = []
        self.weights: list[float] = []
        self.tasks: list[asyncio.Task[None]] = []

    def open(self) -> None:
        for n, seen in enumerate(self.seen.values()):
            self.tasks.append(
                asyncio.get_running_loop().create_task(self.poll(seen, n * self.settings.poll_s / len(self.seen)))
            )

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for connections in self.net.open.values():
            for connection in list(connections):
                connection.abort()

    def staying(self) -> list[Seen]:
        """Forwarders that are ending, and to which connections are still open."""
        return [seen for seen in self.seen.values() if seen.leaving and any(visit.usable() for visit in seen.idle)]

    def choose(self, key: str | None) -> Seen | None:
        """A key stays with its forwarder while that one is up. Some clients go on with the connections that they have,
        whatever becomes of the forwarder.
        """
        if self.settings.stay and self.chance.random() < self.settings.stay and (staying := self.staying()):
            return self.chance.choice(staying)
        if not self.live:
            return None
        if key is not None and key in self.of_key and self.of_key[key].up:
            return self.of_key[key]
        chosen = self.chance.choices(self.live, self.weights)[0]
        if key is not None:
            self.of_key[key] = chosen
        return chosen

    def changed(self) -> None:
        self.live = [seen for seen in self.seen.values() if seen.up and not seen.leaving]
        self.weights = [seen.weight for seen in self.live]

    async def poll(self, seen: Seen, first_s: float) -> None:
        """Ask `/up` for ever. A death counts as noticed some time after the first failure."""
        await asyncio.sleep(first_s)
        failed_s: float | None = None
        patience = 0.0
        while True:
            status = await self.status(seen)
            now = self.record.clock()
            if status == 200:
                missed, failed_s = failed_s is not None, None
                if missed or not seen.up or seen.leaving:
                    self.record.note("up", node=seen.name)
                    seen.up, seen.leaving, seen.ever = True, False, True
                    self.changed()
            elif status is not None:
                if seen.up and not seen.leaving:
                    asyncio.get_running_loop().call_later(self.chance.uniform(*LEAVING_S), self.leave, seen)
            elif seen.up:
                if failed_s is None:
                    failed_s, patience = now, self.chance.uniform(*self.settings.notice_s)
                elif now - failed_s >= patience:
                    seen.up = False
                    self.record.note("noticed", node=seen.name)
                    self.changed()
            await asyncio.sleep(self.settings.poll_s)

    def leave(self, seen: Seen) -> None:
        seen.leaving = True
        self.changed()

    async def status(self, seen: Seen) -> int | None:
        visit = None
        try:
            async with asyncio.timeout(1.0):
                visit = await self.connect(seen, fresh=True)
                return await visit.ask(UP)
        except (OSError, TimeoutError):
            return None
        finally:
            if visit is not None:
                visit.abort()

    async def connect(self, seen: Seen, fresh: bool = False) -> Visit:
        """A connection to a forwarder, kept or new. Raises OSError."""
        while seen.idle and not fresh:
            visit = seen.idle.pop()
            if visit.usable():
                return visit
        if seen.leaving and not fresh:
            raise ConnectionRefusedError  # it gets no new connections any more
        effect = self.net.effect((seen.name, PARTY))
        if effect.refuse:
            raise ConnectionRefusedError
        if effect.silent_in or effect.silent_out:
            await asyncio.sleep(3600)  # the caller's patience ends first
        _, visit = await asyncio.get_running_loop().create_connection(
            lambda: Visit(self.net, seen.name), *seen.where, local_addr=(SOURCE, 0)
        )
        return visit

    def keep(self, seen: Seen, visit: Visit) -> None:
        if visit.usable() and visit.kept and len(seen.idle) < self.settings.connections:
            seen.idle.append(visit)
        else:
            visit.abort()


class Clients:
    """Hands messages in, and again where that is a client's habit. Knows what every message has come to."""

    def __init__(self, plan: Plan, front: Front, record: Record, on_handed: Callable[[str, int], None]) -> None:
        self.plan, self.front, self.record, self.on_handed = plan, front, record, on_handed
        self.chance = random.Random(f"{plan.scenario.seed}/clients")
        self.trips: dict[str, Trip] = {}
        self.lines: dict[str, deque[Trip]] = {}
        self.done: set[int] = set()
        self.running: set[asyncio.Task[None]] = set()
        self.waiting = 0
        self.count = 0

    async def drive(self) -> None:
        """Every arrival at its moment, however long others take."""
        for arrival in self.plan.arrivals:
            wait = arrival.at_s - self.record.clock()
            if wait > 0:
                await asyncio.sleep(wait)
            self.record.note(
                "asked",
                number=arrival.number,
                state=arrival.cls,
                destination=arrival.destination,
                key=arrival.key,
                due_s=arrival.at_s + DEADLINE_S[arrival.cls],
                share=AIM_S[arrival.cls],
            )
            self.begin(arrival, 0, arrival.at_s + DEADLINE_S[arrival.cls])

    def busy(self) -> bool:
        """Whether anything may still become of a message."""
        now = self.record.clock()
        return bool(self.running or self.waiting) or any(
            not trip.over and trip.due_s + 1.0 > now for trip in self.trips.values()
        )

    def known(self, ident: str, node: str, destination: int) -> bool:
        trip = self.trips.get(ident)
        return (
            trip is not None
            and trip.node is not None
            and trip.node.name == node
            and trip.arrival.destination == destination
        )

    # Handing in

    def begin(self, arrival: Arrival, tries: int, due_s: float, again: bool = False) -> None:
        self.count += 1
        trip = Trip(f"{arrival.number:06x}-{self.count:x}", arrival, tries, due_s, again)
        self.trips[trip.id] = trip
        if arrival.key is None:
            self._run(self.hand_in(trip))
            return
        line = self.lines.setdefault(arrival.key, deque())
        line.append(trip)
        if len(line) == 1:
            self._run(self.work_off(arrival.key, line))

    def _run(self, work: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)  # type: ignore[arg-type]
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    async def work_off(self, key: str, line: deque[Trip]) -> None:
        """One key's messages, each once the one before it has its answer."""
        while line:
            await self.hand_in(line[0])
            line.popleft()
        del self.lines[key]

    async def hand_in(self, trip: Trip) -> None:
        left = trip.due_s - self.record.clock()
        if left < LEAST_LEFT_S or trip.arrival.number in self.done:
            trip.over = True
            return
        seen = self.front.choose(trip.arrival.key)
        if seen is None:
            self.refused(trip, 0.0)
            return
        trip.node = seen
        data = request(trip, left)
        status, after_s = await self.exchange(seen, trip, data)
        if status in (200, 202):
            trip.taken = True
            if not trip.over:
                seen.held[trip.id] = trip
        elif status in (429, 503):
            self.refused(trip, after_s)
        elif status is None:
            self.unheard(trip)
        else:
            trip.over = True

    async def exchange(self, seen: Seen, trip: Trip, data: bytes) -> tuple[int | None, float]:
        """One request and its answer; once more on a new connection where the close of a kept one crossed it."""
        for fresh in (False, True):
            handed: list[bool] = []
            visit = None
            try:
                async with asyncio.timeout(PATIENCE_S):
                    visit = await self.front.connect(seen, fresh)
                    status = await visit.ask(data, partial(self.handed, trip, seen, handed))
                self.record.note(
                    "answer",
                    id=trip.id,
                    node=seen.name,
                    status=status,
                    wait_s=visit.after_s,
                    number=trip.arrival.number,
                )
                self.front.keep(seen, visit)
                return status, visit.after_s
            except TimeoutError:
                self.record.note("given_up", id=trip.id, node=seen.name, number=trip.arrival.number)
                if visit is not None:
                    visit.abort()
                return None, 0.0
            except OSError:
                if handed and visit is not None and visit.used > 1 and visit.reset and not fresh:
                    continue
                self.record.note(
                    "unanswered" if handed else "unreached", id=trip.id, node=seen.name, number=trip.arrival.number
                )
                return None, 0.0
        return None, 0.0

    def handed(self, trip: Trip, seen: Seen, handed: list[bool]) -> None:
        handed.append(True)
        a = trip.arrival
        self.record.note(
            "handed",
            id=trip.id,
            node=seen.name,
            number=a.number,
            key=a.key,
            destination=a.destination,
            due_s=trip.due_s,
            state=a.cls,
        )
        self.on_handed(seen.name, a.destination)

    # What becomes of them

    def refused(self, trip: Trip, after_s: float) -> None:
        """Again after a wait: the told one, if this client heeds it, or a backoff that doubles."""
        trip.over = True
        load = self.plan.scenario.load
        if trip.tries < load.retries:
            wait = self.chance.uniform(*load.backoff_s) * 2**trip.tries
            if after_s and trip.arrival.honours:
                wait = after_s
            self.later(wait, trip, trip.tries + 1)

    def unheard(self, trip: Trip) -> None:
        """No answer: it may be held there or not, and comes again unless it may have run and must not twice."""
        trip.over = True
        if not (trip.ran and trip.arrival.cls == ONCE):
            self.later(self.chance.uniform(*self.plan.scenario.load.backoff_s), trip, trip.tries + 1, again=True)

    def later(self, wait_s: float, trip: Trip, tries: int, again: bool = False) -> None:
        self.waiting += 1
        asyncio.get_running_loop().call_later(wait_s, self._again, trip, tries, again)

    def _again(self, trip: Trip, tries: int, again: bool) -> None:
        self.waiting -= 1
        unsafe = again and trip.ran and trip.arrival.cls == ONCE
        if trip.arrival.number not in self.done and not unsafe and tries <= self.plan.scenario.load.retries + 2:
            self.begin(trip.arrival, tries, trip.due_s, again)

    def ran(self, ident: str) -> None:
        if ident in self.trips:
            self.trips[ident].ran = True

    def delivered(self, ident: str) -> None:
        if ident in self.trips:
            self.done.add(self.trips[ident].arrival.number)
            self._over(self.trips[ident])

    def _over(self, trip: Trip) -> None:
        trip.over = True
        if trip.node is not None:
            trip.node.held.pop(trip.id, None)

    def ended(self, ident: str, state: str, after_s: float) -> None:
        """A notice: one that was returned comes again."""
        trip = self.trips.get(ident)
        if trip is None or trip.over:
            return
        self._over(trip)
        if state == "returned":
            self.refused(trip, after_s)

    def machine_lost(self, node: str) -> None:
        """What it held is given to others, but for what may have run and may not be repeated."""
        seen = self.front.seen[node]
        held, seen.held = list(seen.held.values()), {}
        for trip in held:
            trip.over = True
            self.later(self.chance.uniform(*self.plan.scenario.front.again_s), trip, trip.tries, again=True)


def request(trip: Trip, left_s: float) -> bytes:
    """A message as the protocol page has it handed in."""
    a, body = trip.arrival, f"refund {trip.arrival.number}".encode() * 8
    lines = [
        f"POST /{a.cls} HTTP/1.1",
        "Host: origin.svc",
        f"X-Correlation-Id: {trip.id}",
        f"X-Time-Left: {left_s:.3f}",
        f"Content-Length: {len(body)}",
        f"X-Addressing: dest={a.destination}",
    ]
    if a.key is not None:
        lines.append(f"X-Session-Key: {a.key}")
    if trip.again:
        lines.append("X-Repeat: again")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
