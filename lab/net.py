"""Links between parties, and what can befall them: silence, refusal, reset, delay; for datagrams loss and more.

A forwarder dials each party at an address that only this forwarder is given, so a link is known by the address that was
dialled, without special rights. Silence holds bytes back as a network that retransmits does: they come when it heals,
also behind a close in order, since the sender's kernel goes on; after a reset nothing comes. A new connection finds a
full queue and never comes up.
"""

from __future__ import annotations

import asyncio
import random
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import cast

BACKLOG = 256
Link = tuple[str, str]
"""A forwarder and a party: an endpoint's name, `discovery`, `front`, or another forwarder."""
Where = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Effect:
    """What befalls a link. `out` is from the forwarder to the party."""

    silent_out: bool = False
    silent_in: bool = False
    refuse: bool = False
    delay_s: float = 0.0
    jitter_s: float = 0.0
    loss: float = 0.0
    doubled: float = 0.0
    swapped: float = 0.0


SOUND = Effect()


class Net:
    """All links. A change of one is heeded at once by its listener and its connections."""

    def __init__(self, seed: object) -> None:
        self.chance = random.Random(f"{seed}/net")
        self.effects: dict[Link, Effect] = {}
        self.listeners: dict[Link, Listener] = {}
        self.open: dict[Link, set[Guarded]] = {}
        self.counts: dict[str, int] = {}

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def effect(self, link: Link) -> Effect:
        return self.effects.get(link, SOUND)

    def strike(self, link: Link, **changes: float | bool) -> None:
        self.put(link, replace(self.effect(link), **changes))  # type: ignore[arg-type]

    def heal(self, link: Link) -> None:
        self.put(link, SOUND)

    def put(self, link: Link, effect: Effect) -> None:
        if effect == SOUND:
            self.effects.pop(link, None)
        else:
            self.effects[link] = effect
        if link in self.listeners:
            self.listeners[link].heed()
        for connection in list(self.open.get(link, ())):
            if effect.refuse:
                connection.abort()
            connection.flush()

    def reset(self, link: Link) -> None:
        """End every connection of a link."""
        for connection in list(self.open.get(link, ())):
            self.count("reset")
            connection.abort()

    def delay(self, effect: Effect) -> float:
        return effect.delay_s + effect.jitter_s * self.chance.random()


class Guarded(asyncio.Protocol):
    """A connection on a link. Subclasses use `got` and `send`, which the link may hold back or delay."""

    def __init__(self, net: Net, link: Link) -> None:
        self.net, self.link = net, link
        self.transport: asyncio.Transport | None = None
        self.came: list[bytes] = []
        self.going: list[bytes] = []
        self.later = {True: 0.0, False: 0.0}
        self.closing_after = False
        self.ended_behind = False
        """The forwarder has ended its side, behind bytes that the link holds back."""
        self.mute = False
        """Nothing leaves any more, also of what the link has held back or delayed."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.net.open.setdefault(self.link, set()).add(self)
        self.net.count("connections")

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.net.open.get(self.link, set()).discard(self)
        self.gone()

    def data_received(self, data: bytes) -> None:
        effect = self.net.effect(self.link)
        if effect.silent_out or self.came:
            self.net.count("held")
            self.came.append(data)
        elif effect.delay_s or effect.jitter_s or self.later[True] > asyncio.get_running_loop().time():
            self.net.count("delayed")
            self._later(True, effect, self.got, data)
        else:
            self.got(data)

    def eof_received(self) -> bool:
        """The forwarder ends its side; whether the connection stays for what the link holds back."""
        self.ended_behind = bool(self.came)
        if self.ended_behind:
            self.gave_up()
        return self.ended_behind

    def was_reset(self) -> bool:
        """Whether a reset has come behind the forwarder's end: the loop does not look for one any more."""
        sock = None if self.transport is None else self.transport.get_extra_info("socket")
        if sock is None or sock.fileno() < 0:
            return True
        waiting = select.poll()
        waiting.register(sock.fileno(), 0)
        return bool(waiting.poll(0))

    def send(self, data: bytes) -> None:
        effect = self.net.effect(self.link)
        if effect.silent_in or self.going:
            self.net.count("held")
            self.going.append(data)
        elif effect.delay_s or effect.jitter_s or self.later[False] > asyncio.get_running_loop().time():
            self.net.count("delayed")
            self._later(False, effect, self.write, data)
        else:
            self.write(data)

    def _later(self, inward: bool, effect: Effect, do: Callable[[bytes], None], data: bytes) -> None:
        """After the link's delay, and never before what was sent earlier: it is a stream."""
        loop = asyncio.get_running_loop()
        self.later[inward] = max(self.later[inward] + 1e-6, loop.time() + self.net.delay(effect))
        loop.call_at(self.later[inward], self._arrive, do, data)

    def _arrive(self, do: Callable[[bytes], None], data: bytes) -> None:
        """What was on its way as the connection ended is lost with it: nobody may take it for a call that is out."""
        if self.transport is not None:
            do(data)

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing() and not self.mute:
            self.transport.write(data)
            self.sent(data)
            if self.closing_after and not self.going:
                self.transport.close()

    def flush(self) -> None:
        """The link has changed: what it held back goes on, if it may."""
        effect = self.net.effect(self.link)
        if not effect.silent_out:
            came, self.came = self.came, []
            if self.ended_behind and self.was_reset():
                self.net.count("dropped by a reset")
                came = []
            for data in came:
                self.got(data)
            if self.ended_behind and self.transport is not None:
                self.transport.close()
        if not effect.silent_in:
            going, self.going = self.going, []
            for data in going:
                self.write(data)

    def close(self) -> None:
        """Close once what is to be sent has left."""
        self.closing_after = True
        if not self.going and self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def got(self, data: bytes) -> None:
        raise NotImplementedError

    def sent(self, data: bytes) -> None:
        """These bytes were handed to the socket."""

    def gave_up(self) -> None:
        """The forwarder has ended its side, and what it sent last is not here yet."""

    def gone(self) -> None:
        """The connection has ended."""


@dataclass(slots=True)
class Listener:
    """Where one forwarder dials one party."""

    net: Net
    link: Link
    where: Where
    make: Callable[[], Guarded]
    down: Callable[[], str | None] = lambda: None
    """How the party itself is down just now: `refuse`, `silence` or not."""
    sock: socket.socket | None = None
    state: str = ""
    fillers: list[socket.socket] = field(default_factory=list)
    tasks: set[asyncio.Task[object]] = field(default_factory=set)

    def open(self) -> None:
        """Raises OSError where the address is taken."""
        self.net.listeners[self.link] = self
        self.heed()

    def heed(self) -> None:
        """Take on the state that the link and the party have now."""
        effect, down = self.net.effect(self.link), self.down()
        want = (
            "refuse"
            if effect.refuse or down == "refuse"
            else ("silence" if effect.silent_out or effect.silent_in or down == "silence" else "open")
        )
        if want == self.state:
            return
        was, self.state = self.state, want
        if was == "silence":
            self._awake()
        if want == "refuse":
            self._end()
            return
        if self.sock is None:
            self._bind()
        assert self.sock is not None
        if want == "silence":
            self._fill()
        else:
            asyncio.get_running_loop().add_reader(self.sock, self._accept)

    def _bind(self) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        try:
            sock.bind(self.where)
            sock.listen(BACKLOG)
        except OSError:
            sock.close()
            raise
        self.sock = sock

    def _fill(self) -> None:
        """A queue of one that is full: the next to dial gets no answer at all."""
        assert self.sock is not None
        asyncio.get_running_loop().remove_reader(self.sock)
        self.sock.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.where)
            self.fillers.append(filler)

    def _awake(self) -> None:
        """Those that dialled meanwhile are reset."""
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        assert self.sock is not None
        while True:
            try:
                waiting, _ = self.sock.accept()
            except OSError:
                break
            waiting.close()
        self.sock.listen(BACKLOG)

    def _accept(self) -> None:
        assert self.sock is not None
        loop = asyncio.get_running_loop()
        while self.sock is not None:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            conn.setblocking(False)
            task: asyncio.Task[object] = loop.create_task(loop.connect_accepted_socket(self.make, conn))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def _end(self) -> None:
        if self.sock is not None:
            asyncio.get_running_loop().remove_reader(self.sock)
            self.sock.close()
            self.sock = None

    def close(self) -> None:
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self._end()


class Post(asyncio.DatagramProtocol):
    """Stands before one forwarder's UDP socket: others send to it, and it passes on what the links let through."""

    def __init__(self, exchange: Exchange, name: str) -> None:
        self.exchange, self.name = exchange, name
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, where: Where) -> None:
        self.exchange.carry(where[0], self.name, data)

    def error_received(self, error: Exception) -> None:
        self.exchange.net.count("datagram errors")


class Exchange:
    """All datagrams between forwarders pass here, told apart by the address that they come from."""

    def __init__(self, net: Net, real: dict[str, Where], advertised: dict[str, Where]) -> None:
        self.net, self.real, self.advertised = net, real, advertised
        self.names = {where[0]: name for name, where in real.items()}
        self.posts: dict[str, Post] = {}
        self.swapping: dict[Link, bytes] = {}
        self.bytes_from: dict[str, int] = {}
        self.sent_by: dict[str, int] = {}

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        for name, where in self.advertised.items():
            _, self.posts[name] = await loop.create_datagram_endpoint(partial(Post, self, name), local_addr=where)

    def carry(self, source: str, to: str, data: bytes) -> None:
        sender = self.names.get(source)
        if sender is None:
            self.net.count("datagrams of strangers")
            return
        self.sent_by[sender] = self.sent_by.get(sender, 0) + 1
        self.bytes_from[sender] = self.bytes_from.get(sender, 0) + len(data)
        effect = self.net.effect((sender, to))
        chance = self.net.chance
        if effect.silent_out or effect.refuse or chance.random() < effect.loss:
            self.net.count("datagrams lost")
            return
        copies = [data]
        if chance.random() < effect.doubled:
            self.net.count("datagrams doubled")
            copies.append(data)
        if chance.random() < effect.swapped:
            self.net.count("datagrams swapped")
            held = self.swapping.pop((sender, to), None)
            if held is None:
                self.swapping[(sender, to)] = data
                return
            copies.append(held)
        for copy in copies:
            delay = self.net.delay(effect)
            if delay:
                self.net.count("datagrams delayed")
                asyncio.get_running_loop().call_later(delay, self.deliver, sender, to, copy)
            else:
                self.deliver(sender, to, copy)

    def deliver(self, sender: str, to: str, data: bytes) -> None:
        post = self.posts.get(sender)
        if post is not None and post.transport is not None and not post.transport.is_closing():
            post.transport.sendto(data, self.real[to])

    def close(self) -> None:
        for post in self.posts.values():
            if post.transport is not None:
                post.transport.close()
