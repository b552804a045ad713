"""What is still owed at the instant in which something ends, with the crossing forced: the peer's bytes are there
before the forwarder's act, a clock is moved by hand, a reset is made; no sleep stands for an order.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
import socket
import struct
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from pathlib import Path
from typing import Any

import pytest
from hypothesis import example, given
from hypothesis import settings as profile
from hypothesis import strategies as st

from forwarder.admin.server import AdminServer
from forwarder.clients.client_connection import ClientConnection
from forwarder.clients.listener import bind
from forwarder.clients.server import READ_BUFFER_BYTES, STALL_TIMEOUT_US, ClientServer
from forwarder.clients.submission import Submission
from forwarder.config.config import Address, EndpointList, load_config
from forwarder.decisions.actions import FailMessage, RequestEndpointList
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.endpoint_list_poll import MIN_POLL_BACKOFF_US
from forwarder.decisions.events import AttemptEnded, EndpointListKind, EndpointListReceived, MessageRecovered
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.timer_queue import MIN_RECHECK_US
from forwarder.discovery import watch as watch_module
from forwarder.endpoints.call import CallItem, EndpointCall, LimitScopeKey
from forwarder.endpoints.connection import EndpointConnection
from forwarder.endpoints.in_flight_calls import DELIVERY_MARGIN_US
from forwarder.endpoints.pool import ConnectionPool
from forwarder.protocol.settings_format import parse_settings as settings_of
from forwarder.runtime import engine as engine_module
from forwarder.runtime.engine import Engine
from forwarder.runtime.ownership import Ownership
from forwarder.storage.messages import PendingNotice
from forwarder.units import NEVER_US
from tests import scenes as real
from tests.scripts import ENTRIES, MS, S, ask, end, finals, sends, settings
from tests.sockets import (
    OK,
    PATIENCE,
    SETTINGS,
    Answer,
    Peer,
    Platform,
    Request,
    Skewed,
    always,
    hang,
    message,
    once,
    read_message,
)

SECOND = 1_000_000
DUE_US = 50 * SECOND


class Scene:
    """An engine in this process, with real sockets to a platform, a target and its clients."""

    def __init__(self, folder: Path, platform: Platform, **settings: Any) -> None:
        (folder / "config.json").write_text(
            json.dumps(
                {
                    "name": "n",
                    "listen": "127.0.0.1:9",
                    "discovery": f"127.0.0.1:{platform.port}",
                    "settings": {**SETTINGS, **settings},
                    "known": platform.listing(),
                }
            )
        )
        self.folder, self.platform = folder, platform

    async def start(self) -> Scene:
        config = load_config({"LB_CONFIG": str(self.folder / "config.json"), "LB_STATE": str(self.folder)})
        self.engine = Engine(config, Ownership(self.folder), AdminServer(), await bind(Address("127.0.0.1", 0)))
        self.engine.store.take_ownership()
        self.engine.loop.run_round()
        self.engine.server.listen(self.engine.client_socket)
        return self

    @property
    def clock(self) -> Skewed:
        assert isinstance(self.engine.clock, Skewed)
        return self.engine.clock

    def take(self, name: str, cls: str, key: str = "k", due_us: int | None = None) -> None:
        """Hand a message in, on a connection of its own that nobody reads."""
        classes = {c.name: c for c in self.engine.config.settings.classes}
        due = self.clock() + DUE_US if due_us is None else due_us
        self.engine.intake.submit(Submission(name, classes[cls], 7, due, key, "acme", False, b"x"), Silent(self.engine))

    def end(self) -> None:
        self.engine.run_state.is_frozen = self.engine.run_state.is_closed = True
        self.engine.pool.close()
        self.engine.server.close()
        self.engine.notices.client.close()
        self.engine.watch.client.close()


class Paper(asyncio.Transport):
    """A connection on paper: what is written is kept, and nothing comes by itself. The protocol, if there is one, hears
    of a close in the loop's next turn, as on sockets.
    """

    def __init__(self, sock: socket.socket | None = None, protocol: asyncio.Protocol | None = None) -> None:
        super().__init__({"socket": sock})
        self.protocol = protocol
        self.written, self.closed, self.reading = b"", False, True

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None: ...

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written += data

    def can_write_eof(self) -> bool:
        return False

    def is_reading(self) -> bool:
        return self.reading

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        if self.protocol is not None and not self.closed:
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)
        self.closed = True

    abort = close


class Silent(ClientConnection):
    """A client that is there and of whom no more is wanted."""

    def __init__(self, engine: Engine) -> None:
        super().__init__(engine.server)
        here, self.client = socket.socketpair()
        self.transport = Paper(here)


def play(scene: Callable[[Platform], Awaitable[None]]) -> None:
    async def run() -> None:
        platform = Platform()
        await platform.start()
        async with asyncio.timeout(2 * PATIENCE):
            await scene(platform)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    asyncio.run(run())


# A delivery heard at the end of its message's time


def test_the_module_gives_up_at_once_what_was_heard_too_late() -> None:
    """A delivery that may not count is heard within the time in which the unsent drop ends a message."""
    assert DELIVERY_MARGIN_US <= MIN_RECHECK_US


@pytest.mark.parametrize(
    ("before_us", "over"),
    [
        (2 * SECOND, True),
        (DELIVERY_MARGIN_US + 5_000, True),
        (DELIVERY_MARGIN_US - 5_000, False),
        (1_000, False),
        (-1_000, False),
    ],
)
def test_a_delivery_heard_at_the_end_of_its_time_is_not_surely_one(before_us: int, over: bool) -> None:
    """Its time began when the client sent it, which was before it was read: the platform may have counted it out."""

    async def scene(platform: Platform) -> None:
        ends: list[AttemptEnded] = []
        clock = Skewed()
        due = clock() + DUE_US

        async def answer(request: Request) -> Answer:
            clock.until(due - before_us)
            return OK

        peer = await Peer(answer).start()
        pool = ConnectionPool(clock, ends.append, (), SECOND, SECOND, 10)
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        pool.start(EndpointCall(1, LimitScopeKey(7, -1), clock(), [CallItem("m", 0, None, b"x", due, due)]))
        while not ends:
            await asyncio.sleep(0.005)
        assert [(e.outcome, e.is_final) for e in ends] == [(Outcome.DELIVERED, over)]
        pool.close()

    play(scene)


@pytest.mark.parametrize(("cls", "state"), [("turn", "failed"), ("status", "returned")])
def test_a_delivery_that_may_have_come_too_late_is_ended_by_a_notice_too(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, cls: str, state: str
) -> None:
    """Seen on split+brink: counted as lost, and the next of its key as sent out of order. A notice of what is over
    does no harm; until it is answered the key waits.
    """
    monkeypatch.setattr(engine_module, "AnchoredClock", lambda folder, base: Skewed(base))

    async def scene(platform: Platform) -> None:
        async def answer(request: Request) -> Answer:
            if request.headers["x-correlation-id"] == "late":
                at.clock.until(due - 1_000)
            return OK

        peer = await Peer(answer).start()
        platform.host("s1", peer.port)
        platform.accepts = False
        at = await Scene(tmp_path, platform).start()
        due = at.clock() + DUE_US
        at.take("late", cls, due_us=due)
        at.take("next", cls, due_us=due + DUE_US)
        await peer.got(1 if cls == "turn" else 2)
        while "late" not in at.engine.store.pending_notices:
            await asyncio.sleep(0.005)
        await platform.until(lambda: sum(r.path == "/v1/notices" for r in platform.requests) >= 2)
        sent = [r.headers["x-correlation-id"] for r in peer.requests]
        assert sent == (["late"] if cls == "turn" else sent)
        platform.accepts = True
        assert (await platform.notice("late"))["state"] == state
        await peer.until(lambda: any(r.headers["x-correlation-id"] == "next" for r in peer.requests))
        at.end()

    play(scene)


# A connection that comes up when its messages may not leave any more


@pytest.mark.parametrize(
    ("cls", "outcome", "window"),
    [
        ("keyed", Outcome.RESET, 3 * S),
        ("zoned", Outcome.TIMED_OUT, 3 * S),
        ("keyed", Outcome.REJECTED, None),
        ("safe", Outcome.RESET, None),
    ],
)
def test_a_repeat_tells_by_when_it_has_to_leave(cls: str, outcome: Outcome, window: int | None) -> None:
    d = Dispatcher(settings(), 1, 0)
    (first,) = sends(d.handle(0, [EndpointListReceived(EndpointListKind.SAVED, ENTRIES[:1]), ask("m", cls=cls)]))
    assert first.send_before_us == NEVER_US
    again, now = sends(d.handle(50 * MS, [end(first, outcome)])), 50 * MS
    while not again:
        now += 10 * MS
        again = sends(d.handle(now, []))
    assert again[0].send_before_us == (NEVER_US if window is None else window)
    assert now < 2 * S


def test_what_may_not_leave_any_more_stays_when_its_connection_comes_up() -> None:
    """A third of the connections may come up late: a repeat left after the window in which endpoints drop it. What
    else is in the call goes.
    """

    async def scene(platform: Platform) -> None:
        ends: list[AttemptEnded] = []
        clock = Skewed()
        now = clock()

        async def accept(request: Request) -> Answer:
            many = json.loads(request.body) if request.path == "/hook/batch" else []
            return Answer(200, body=json.dumps([{"id": x["id"], "state": "accepted"} for x in many]).encode())

        peer = await Peer(accept).start()
        pool = ConnectionPool(clock, ends.append, (), SECOND, SECOND, 10)
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        far = now + DUE_US
        for alone in (True, False):
            late = CallItem(f"late-{alone}", 0, None, b"x", far, far, send_before_us=clock() + SECOND)
            others = [] if alone else [CallItem(name, 0, None, b"x", far, far) for name in "ab"]
            pool.close_idle(1)
            pool.start(EndpointCall(1, LimitScopeKey(7, -1), clock(), [late, *others]))
            clock.until(clock() + SECOND)  # the dial has not begun yet
            while pool.calls_in_flight:
                await asyncio.sleep(0.005)
        assert [(e.message_id, e.outcome) for e in ends] == [
            ("late-True", Outcome.NOT_SENT),
            ("late-False", Outcome.NOT_SENT),
            ("a", Outcome.DELIVERED),
            ("b", Outcome.DELIVERED),
        ]
        assert [r.path for r in peer.requests] == ["/hook/batch"]
        pool.close()

    play(scene)


# A client that sends much and reads none of its answers

ONE_OF_FLOOD = 54
FLOOD = b"POST /nowhere HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" * 200_000
"""10 MB: more than all buffers on the way hold."""
MOST_UNREAD = 1 << 20


async def flooded(server: ClientServer) -> tuple[socket.socket, ClientConnection, asyncio.Task[None]]:
    """A client in the middle of sending a flood, and its door, which has stopped to read it."""
    loop = asyncio.get_running_loop()
    server.listen(await bind(Address("127.0.0.1", 0)))
    assert server.listener is not None
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    await loop.sock_connect(sock, ("127.0.0.1", server.listener.address().port))
    sending = asyncio.create_task(loop.sock_sendall(sock, FLOOD))
    while not server.connections:
        await asyncio.sleep(0.005)
    (door,) = server.connections
    assert door.transport is not None
    while door.transport.is_reading() and not sending.done():
        await asyncio.sleep(0.005)
        assert door.transport.get_write_buffer_size() < MOST_UNREAD
    return sock, door, sending


def refuse(handed: Submission, door: ClientConnection) -> None:
    raise AssertionError("nothing of a flood is a message")


def test_a_flood_is_read_no_faster_than_its_answers_are() -> None:
    """Answers to a client that reads none piled up in memory, as much as it sent. Nothing is lost by the pause."""

    async def scene(platform: Platform) -> None:
        server = ClientServer(settings_of(SETTINGS), Skewed(), 10, refuse)
        sock, door, sending = await flooded(server)
        assert not sending.done()
        assert not door.is_closed()
        loop, got, answered = asyncio.get_running_loop(), b"", 0
        while answered < FLOOD.count(b"POST"):
            *whole, got = (got + await loop.sock_recv(sock, 1 << 20)).split(b"HTTP/1.1 404")
            answered += len(whole)
        await sending
        sock.close()
        server.close()

    play(scene)


@pytest.mark.parametrize("floods", [1, 5])
def test_a_flood_holds_no_other_client_up_for_longer_than_a_piece_of_it_takes(floods: int) -> None:
    """All that they sent and its request lie in the kernel. One read took up to 256 KB of a flood, some thousand
    requests answered in one turn of the loop, and clients wait for 0.4 s.
    """

    async def scene(platform: Platform) -> None:
        server, handled = ClientServer(settings_of(SETTINGS), Skewed(), 20, refuse), list[str]()
        server.handle = lambda door, request: (  # type: ignore[method-assign]
            handled.append(request.path),
            door.answer(HTTPStatus.NOT_FOUND),
        )[1]
        loop, doors, clients = asyncio.get_running_loop(), [], []
        with socket.create_server(("127.0.0.1", 0)) as listener:
            for n in range(floods + 1):
                clients.append(socket.create_connection(listener.getsockname()))
                clients[-1].setblocking(False)
                clients[-1].send(FLOOD[: 1 << 20] if n < floods else b"GET /up HTTP/1.1\r\n\r\n")
                doors.append(listener.accept()[0])
                doors[-1].setblocking(False)
        await asyncio.gather(*(loop.connect_accepted_socket(lambda: ClientConnection(server), sock) for sock in doors))
        while "/up" not in handled:
            await asyncio.sleep(0)
        assert handled.index("/up") <= 2 * floods * (READ_BUFFER_BYTES // ONE_OF_FLOOD + 1)
        for sock in clients:
            sock.close()
        server.close()

    play(scene)


def test_a_client_that_reads_nothing_loses_its_connection() -> None:
    """It held its socket for ever: a close in order waits until all is read."""

    async def scene(platform: Platform) -> None:
        clock = Skewed()
        server = ClientServer(settings_of(SETTINGS), clock, 10, refuse)
        sock, _, sending = await flooded(server)
        clock.until(clock() + STALL_TIMEOUT_US + 1)
        while server.connections:
            await asyncio.sleep(0.005)
        with pytest.raises(ConnectionError):
            await sending
        sock.close()
        server.close()

    play(scene)


# A watch that falls silent

TOLD_AFTER_S = 2.0
"""The protocol: what a call that may wait had to tell counts as told so long after its wait is over."""


def test_a_silent_watch_is_asked_anew_before_what_it_missed_counts_as_told() -> None:
    """Up to 0.2 s too late, before: the grace for drains, which settings may make shorter, hid it."""
    assert watch_module.LATE_S + 2 * MIN_POLL_BACKOFF_US / SECOND < TOLD_AFTER_S - 0.1


TOLD_ANYWAY_S = 6.0
"""The standing page: whatever else is allowed, a change counts as told so long after discovery had it and could be
reached."""


@pytest.mark.parametrize("seed", range(20))
def test_after_any_failures_the_list_is_asked_for_before_its_news_counts_as_told(seed: int) -> None:
    """Discovery refuses at once, and is back just after a question. The pauses grew to 8 s."""
    d, now = Dispatcher(settings(poll_endpoint_list=True), seed, 0), 0
    assert any(isinstance(a, RequestEndpointList) for a in d.handle(now, []))
    for _ in range(12):
        failed = now
        actions = d.handle(now, [EndpointListReceived(EndpointListKind.FAILED)])
        while not any(isinstance(a, RequestEndpointList) for a in actions):
            now += 5 * MS
            actions = d.handle(now, [])
        assert 0.4 < (now - failed) / S < TOLD_ANYWAY_S - 1.5


class Quiet(Platform):
    """Discovery whose next watches fall silent, as they are asked or in the middle of their answer."""

    def __init__(self, silent: int, cut: bytes) -> None:
        super().__init__()
        self.silent, self.cut = silent, cut

    async def answer(self, request: Request) -> Answer | bytes | None:
        if "from=" in request.path and self.silent:
            self.silent -= 1
            request.writer.write(self.cut)
            await asyncio.sleep(3600)
        return await super().answer(request)


@pytest.mark.parametrize("cut", [b"", b"HTTP/1.1 200 OK\r\nContent-Le"])
@pytest.mark.parametrize("silent", [1, 2])
def test_what_a_silent_watch_missed_is_learned_by_the_next_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, silent: int, cut: bytes
) -> None:
    """From the first question of the process on, and though the watch that follows falls silent too."""
    monkeypatch.setattr(watch_module, "HOLD_MS", 100)
    monkeypatch.setattr(engine_module, "AnchoredClock", lambda folder, base: Skewed(base))

    async def scene(_: Platform) -> None:
        platform = Quiet(silent, cut)
        await platform.start()
        platform.host("s1", 9)
        platform.host("s2", 9)
        at = await Scene(tmp_path, platform).start()
        await platform.got(1)
        assert len(at.engine.pool.addresses) == 2
        await platform.change("s1", "draining")
        while len(at.engine.pool.addresses) == 2:
            await asyncio.sleep(0.005)
        assert len(platform.requests) >= silent + 1
        at.end()

    play(scene)


# A notice whose connection falls silent

LOST_S = 0.3
"""The protocol: a message that has no end so long after its time is lost."""


def test_a_post_that_gets_no_answer_is_made_again_in_time() -> None:
    """It was waited for 2.5 s."""
    assert watch_module.POST_S + watch_module.NOTICE_PAUSES_S[0] < LOST_S


@pytest.mark.parametrize("silent", [1, 3])
@pytest.mark.parametrize("cut", [b"", b"HTTP/1.1 204 No Con"])
def test_a_notice_leaves_the_connection_that_fell_silent_and_is_posted_again(silent: int, cut: bytes) -> None:
    """Each time on a new one; what the old ones still say is not heard."""

    async def scene(_: Platform) -> None:
        at = await Asked().start()
        told: list[str] = []

        class Book:
            def pending_notices(self) -> dict[str, PendingNotice]:
                return {} if told else {"m": PendingNotice("failed", 0, None)}

            def acknowledge_notices(self, names: list[str]) -> None:
                told.extend(names)

        notices = watch_module.Notifier(at.where, Book())
        notices.wake()
        writers: list[asyncio.StreamWriter] = []
        for _ in range(silent + 1):
            path, writer = await at.questions.get()
            assert path == "/v1/notices"
            assert not told
            assert writer not in writers
            writers.append(writer)
            writer.write(cut)
        writers[-1].write(b"HTTP/1.1 204 No Content\r\n\r\n"[len(cut) :])
        while not told:
            await asyncio.sleep(0.002)
        assert told == ["m"]
        assert at.questions.empty()
        notices.client.close()
        at.server.close()

    play(scene)


# What comes on a connection to a target in the moment in which the next call takes it


def whole(request: bytes) -> bool:
    head, _, body = request.partition(b"\r\n\r\n")
    return b"Content-Length: %d\r\n" % len(body) in head + b"\r\n"


class Wire:
    """A target of plain sockets: what it sends is in the forwarder's kernel when `send` returns."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)

    @property
    def address(self) -> Address:
        return Address(*self.listener.getsockname())

    def pool(self, ends: list[AttemptEnded]) -> ConnectionPool:
        """A pool whose target 1 this is."""
        pool = ConnectionPool(Skewed(), ends.append, (), 60 * SECOND, SECOND, 10)
        pool.update_addresses({1: self.address})
        return pool

    async def carry(self, pool: ConnectionPool, name: str) -> socket.socket:
        """Start a call, which must come on a new connection, and return that."""
        far = pool.clock() + DUE_US
        pool.start(EndpointCall(1, LimitScopeKey(7, -1), pool.clock(), [CallItem(name, 0, None, b"x", far, far)]))
        sock, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        sock.setblocking(False)
        assert b"X-Correlation-Id: " + name.encode() in await self.request(sock)
        return sock

    @staticmethod
    async def request(sock: socket.socket) -> bytes:
        got = b""
        while not whole(got):
            more = await asyncio.get_running_loop().sock_recv(sock, 1 << 16)
            assert more, got
            got += more
        return got

    @staticmethod
    def reset(sock: socket.socket) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()


WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("crossing", ["half a line", "a second answer", "an end", "a reset"])
def test_a_call_does_not_take_a_connection_on_which_something_has_come(crossing: str) -> None:
    """The answer to no call was taken for the next one's; an end, for a call that may have run."""

    async def scene(platform: Platform) -> None:
        ends: list[AttemptEnded] = []
        wire = Wire()
        pool = wire.pool(ends)
        first = await wire.carry(pool, "a")
        first.send(WHOLE)
        while not ends:
            await asyncio.sleep(0.005)
        if crossing == "half a line":
            first.send(b"HTTP/1.1 4")
        elif crossing == "a second answer":
            first.send(WHOLE)
        elif crossing == "an end":
            first.shutdown(socket.SHUT_WR)
        else:
            wire.reset(first)
        second = await wire.carry(pool, "b")
        assert len(ends) == 1
        second.send(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
        while len(ends) < 2:
            await asyncio.sleep(0.005)
        assert ends[1].outcome is Outcome.FAILED
        pool.close()

    play(scene)


CUT = [
    (b"", Outcome.RESET),
    (b"HTTP/1.1 2", Outcome.UNREADABLE),
    (b"HTTP/1.1 429 X\r\nX-RateLimit", Outcome.UNREADABLE),
    (b"HTTP/1.1 200 OK\r\nContent-Le", Outcome.DELIVERED),
    (WHOLE, Outcome.DELIVERED),
    (b"what is this", Outcome.UNREADABLE),
]


@pytest.mark.parametrize("broken", ["reset", "end"])
@pytest.mark.parametrize(("answer", "outcome"), CUT)
def test_an_answer_that_breaks_off_is_believed_by_its_first_line_only(
    broken: str, answer: bytes, outcome: Outcome
) -> None:
    """Reset or ended after the call's last byte, within its answer, and after the answer's last byte. A reset may take
    bytes along that the forwarder has not read; then as much is believed as came.
    """

    async def scene(platform: Platform) -> None:
        ends: list[AttemptEnded] = []
        wire = Wire()
        pool = wire.pool(ends)
        sock = await wire.carry(pool, "a")
        if answer:
            sock.send(answer)
            while not ends and not any(
                c.connection and c.connection.received == answer for c in pool.in_flight.by_attempt.values()
            ):
                await asyncio.sleep(0.002)
        if broken == "reset":
            wire.reset(sock)
        else:
            sock.close()
        while not ends:
            await asyncio.sleep(0.005)
        assert [e.outcome for e in ends] == [outcome]
        pool.close()

    play(scene)


# An answer that crosses the giving up of its call

WAIT_MS = 700
TURNED_AWAY = b"HTTP/1.1 429 X\r\nX-RateLimit-Wait-Ms: %d\r\nContent-Length: 0\r\n\r\n" % WAIT_MS
GIVE_UPS: dict[str, tuple[Callable[[ConnectionPool, EndpointCall], None], Outcome]] = {
    "time-out": (lambda pool, call: pool.in_flight.timed_out(call), Outcome.TIMED_OUT),
    "cancel": (lambda pool, call: pool.cancel("a", 0), Outcome.CANCELED),
    "quiet": (lambda pool, call: pool.in_flight.answer_stalled(call), Outcome.UNREADABLE),
    "exit": (lambda pool, call: pool.close(), Outcome.RESET),
}


@pytest.mark.parametrize("crossing", ["before", "between", "split", "never"])
@pytest.mark.parametrize("how", GIVE_UPS)
@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (TURNED_AWAY, Outcome.REJECTED),
        (WHOLE, Outcome.DELIVERED),
        (b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", Outcome.REJECTED),
    ],
)
def test_an_answer_that_crosses_the_giving_up_of_its_call_counts(
    answer: bytes, outcome: Outcome, how: str, crossing: str
) -> None:
    """It lies in the kernel as its call is given up, or comes before the connection is closed: the wait that it tells
    counts as told, and a delivery is one.
    """

    async def scene(platform: Platform) -> None:
        ends: list[AttemptEnded] = []
        wire = Wire()
        pool = wire.pool(ends)
        sock = await wire.carry(pool, "a")
        (call,) = pool.in_flight.by_attempt.values()
        give_up, alone = GIVE_UPS[how]
        if crossing == "split" or how == "quiet":
            sock.send(answer[:9])
            while call.connection is not None and not call.connection.received:
                await asyncio.sleep(0.002)
        rest = answer[9:] if crossing == "split" or how == "quiet" else answer
        if crossing in ("before", "split"):
            sock.send(rest)
        give_up(pool, call)
        if crossing == "between":
            sock.send(rest)
        while not ends:
            await asyncio.sleep(0.002)
        assert [e.outcome for e in ends] == [alone if crossing == "never" else outcome]
        told = crossing != "never" and answer == TURNED_AWAY
        assert ends[0].retry_after_us == (WAIT_MS * 1000 if told else 0)
        assert bool(pool.retry_after.entries()) == told
        assert pool.calls_in_flight == 0
        assert not pool.in_flight.by_attempt
        assert not pool.connections
        pool.close()

    play(scene)


@pytest.mark.parametrize("answered", [False, True])
def test_a_call_that_is_given_up_is_not_handed_over(answered: bool) -> None:
    """The process that takes over would take it for one that never ran, and send its message again."""

    async def scene(platform: Platform) -> None:
        ends: list[AttemptEnded] = []
        wire = Wire()
        pool = wire.pool(ends)
        sock = await wire.carry(pool, "a")
        pool.in_flight.timed_out(*pool.in_flight.by_attempt.values())
        if answered:
            sock.send(WHOLE)
        pool.settle()
        record, going = pool.hand_over()
        assert record.calls == ()
        assert going == []
        assert [e.outcome for e in ends] == [Outcome.DELIVERED if answered else Outcome.TIMED_OUT]

    play(scene)


# A request in the kernel when its connection is closed


@pytest.mark.parametrize("sent", ["before the close", "after the close"])
@pytest.mark.parametrize("ending", ["drain", "exit", "too many"])
def test_a_request_that_crosses_the_close_is_answered_or_never_taken_on(ending: str, sent: str) -> None:
    """One that lies unread in the kernel keeps its connection open, unless the process ends. One that comes later is
    never taken on: its client hears an end with no answer, and sends it once more elsewhere.
    """

    async def scene(platform: Platform) -> None:
        handed: list[str] = []

        def hand_in(got: Submission, door: ClientConnection) -> None:
            handed.append(got.id)
            door.answer(HTTPStatus.ACCEPTED)

        server = ClientServer(settings_of(SETTINGS), Skewed(), 1, hand_in)
        server.listen(await bind(Address("127.0.0.1", 0)))
        assert server.listener is not None
        address = ("127.0.0.1", server.listener.address().port)
        loop, sock = asyncio.get_running_loop(), socket.socket()
        sock.setblocking(False)
        await loop.sock_connect(sock, address)
        await loop.sock_sendall(sock, message("first"))
        assert (await loop.sock_recv(sock, 1 << 16)).startswith(b"HTTP/1.1 202")
        if sent == "before the close":
            sock.send(message("crossing"))
        if ending == "drain":
            server.close_idle_connections()
        elif ending == "exit":
            server.close()
        else:
            server.connection_opened(ClientConnection(server))
        if sent == "after the close":
            sock.send(message("crossing"))
        answered = sent == "before the close" and ending != "exit"
        try:
            assert (await loop.sock_recv(sock, 1 << 16))[:12] == (b"HTTP/1.1 202" if answered else b"")
        except ConnectionError:
            assert not answered
        assert handed == (["first", "crossing"] if answered else ["first"])
        server.close()

    play(scene)


# The process


def test_a_second_sigterm_changes_nothing_of_the_first(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        free = asyncio.Event()
        peer = await real.target(platform, once(free))
        node = await real.node_on(folder, platform)
        assert (await node.hand_in("out", "pay"))[0] == 202
        await peer.got(1)
        for _ in range(2):
            node.process.send_signal(signal.SIGTERM)
        free.set()
        assert await node.end(signal.SIGTERM) == 0
        assert sum("stopping: " in line for line in node.log) == 1
        await node.start()
        assert (await node.hand_in("out", "pay"))[0] == 202  # known: delivered, and not sent again
        assert (await node.hand_in("more", "pay"))[0] == 202
        await peer.got(2)
        assert [r.headers["x-correlation-id"] for r in peer.requests] == ["out", "more"]

    real.play(scene, tmp_path)


def test_sigterm_before_it_is_ready_loses_nothing(tmp_path: Path) -> None:
    """It waits for its address, which another socket has."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await real.target(platform, hang)
        node = await real.node_on(folder, platform)
        assert (await node.hand_in("held", "status"))[0] == 202
        await peer.got(1)
        await node.end()
        node.log.clear()
        with socket.create_server((node.host, node.port)):
            await node.start(ready=False)
            node.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(PATIENCE):
                await node.process.wait()
                await node.drain
        assert not any("engine: ready" in line for line in node.log)
        peer.handler = always(OK)
        await node.start()
        again = (await peer.got(2))[1]
        assert again.headers["x-correlation-id"] == "held"

    real.play(scene, tmp_path)


def test_a_limit_that_shrinks_below_what_is_held_gives_up_the_last_by_a_notice(tmp_path: Path) -> None:
    """As a buffer that fills does: the largest pile gives up its last in order, and the rest goes on."""

    async def scene(platform: Platform, folder: Path) -> None:
        free = asyncio.Event()
        peer = await real.target(platform, once(free))
        node = await real.node_on(folder, platform)
        for name in "abc":
            assert (await node.hand_in(name, "pay"))[0] == 202
        await peer.got(1)
        node.configure(settings={**SETTINGS, "allowed": {**SETTINGS["allowed"], "max_open": 2}})
        node.process.send_signal(signal.SIGHUP)
        while (status := (await node.hand_in(f"new-{len(node.log)}", "pay"))[0]) == 202:
            await asyncio.sleep(0.01)
        assert status == 503
        free.set()
        await peer.until(lambda: {"a", "b"} <= {r.headers["x-correlation-id"] for r in peer.requests})
        assert (await platform.notice("c"))["state"] == "returned"
        assert {n["id"] for n in platform.notices}.isdisjoint({"a", "b"})

    real.play(scene, tmp_path)


# What a restart finds taken on and untried


@pytest.mark.parametrize("aim_us", [2 * SECOND, 40 * SECOND, 60 * SECOND])
def test_what_a_restart_finds_untried_is_tried(tmp_path: Path, aim_us: int) -> None:
    """Also where the aim is near the deadline, so that the expected call is a large part of the time that is left."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await real.target(platform, hang)
        node = await real.node_on(folder, platform)
        services = [{**s, "aim_us": aim_us} for s in SETTINGS["services"]]
        node.configure(settings={**SETTINGS, "services": services})
        await node.restart()
        names = [f"m{n}" for n in range(12)]
        for name in names:
            assert (await node.hand_in(name, "turn", left="30", X_Session_Key=name))[0] == 202
        await peer.got(1)
        tried = {r.headers["x-correlation-id"] for r in peer.requests}
        peer.handler = always(OK)
        await node.restart()
        untried = set(names) - tried
        await peer.until(lambda: untried <= {r.headers["x-correlation-id"] for r in peer.requests})
        assert untried
        assert not untried & {n["id"] for n in platform.notices}

    real.play(scene, tmp_path)


# Any order of steps, against a plain model of what is owed


ANSWERS = {
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok": Outcome.DELIVERED,
    b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n": Outcome.FAILED,
    b"HTTP/1.1 429 X\r\nX-RateLimit-Wait-Ms: 700\r\nContent-Length: 0\r\n\r\n": Outcome.REJECTED,
    b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n": Outcome.REJECTED,
}
BREAKS = ["end", "reset", "quiet", "time-out", "cancel"]


def expected_end(answer: bytes, came: int, how: str) -> Outcome:
    """What one call's end is, by the pages: of an answer of which so many bytes came before it ended so."""
    if came == len(answer):
        return ANSWERS[answer]
    if how == "cancel":
        return Outcome.CANCELED
    if answer[:came].startswith(b"HTTP/1.1 200 OK\r\n"):
        return Outcome.DELIVERED
    if how == "time-out":
        return Outcome.TIMED_OUT
    return Outcome.UNREADABLE if came else Outcome.RESET


@profile(derandomize=True, max_examples=150, deadline=None)
@given(
    answer=st.sampled_from(sorted(ANSWERS)),
    cuts=st.lists(st.integers(0, 70), max_size=4),
    came=st.integers(0, 70),
    breaks=st.lists(st.sampled_from(BREAKS), min_size=1, max_size=3),
)
@example(answer=b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", cuts=[], came=1, breaks=["quiet", "time-out"])
def test_a_call_has_one_end_in_any_order_of_steps(answer: bytes, cuts: list[int], came: int, breaks: list[str]) -> None:
    came = min(came, len(answer))
    ends: list[AttemptEnded] = []

    async def run() -> None:
        pool = ConnectionPool(Skewed(), ends.append, (), SECOND, SECOND, 10)
        pool.update_addresses({1: Address("127.0.0.1", 9)})
        connection, far = EndpointConnection(pool), pool.clock() + DUE_US
        connection.connection_made(Paper(protocol=connection))
        call = EndpointCall(1, LimitScopeKey(7, -1), pool.clock(), [CallItem("m", 0, None, b"x", far, far)])
        pool.keep_idle(connection, 1)
        pool.start(call)
        marks = sorted({0, came, *(cut for cut in cuts if cut < came)})
        for first, last in itertools.pairwise(marks):
            connection.data_received(answer[first:last])
        for how in breaks:
            if how == "end":
                connection.eof_received()
                connection.connection_lost(None)
            elif how == "reset":
                connection.connection_lost(ConnectionResetError())
            elif how == "quiet":
                pool.in_flight.answer_stalled(call) if came else pool.in_flight.timed_out(call)
            elif how == "time-out":
                pool.in_flight.timed_out(call)
            else:
                pool.cancel("m", 0)
            if how in ("end", "reset"):
                break
        await asyncio.sleep(0)
        pool.idle.by_endpoint.clear()

    asyncio.run(run())
    how = breaks[0] if came or breaks[0] != "quiet" else "time-out"
    assert [e.outcome for e in ends] == [expected_end(answer, came, how)]


@profile(derandomize=True, max_examples=150, deadline=None)
@given(
    steps=st.lists(
        st.sampled_from(["message", "half", "rest", "junk", "answer", "let go", "half-close", "gone"]), max_size=14
    )
)
def test_a_clients_connection_owes_each_whole_request_one_answer(steps: list[str]) -> None:
    """In their order, as long as it may: nothing that comes after the close, after junk or after the client's end is
    handed on, and nobody is answered twice.
    """
    handed: list[tuple[str, ClientConnection]] = []

    async def run() -> None:
        server = ClientServer(settings_of(SETTINGS), Skewed(), 10, lambda got, door: handed.append((got.id, door)))
        paper, door = Paper(), ClientConnection(server)
        door.connection_made(paper)
        asked = answered = number = 0
        half, open_ = False, True
        for step in steps:
            whole_request = message(f"m{number}")
            if paper.closed or not open_:
                break
            if (step == "message" and not half) or (step == "rest" and half):
                door.data_received(whole_request[20:] if half else whole_request)
                half, number, asked = False, number + 1, asked + 1
            elif step == "half" and not half:
                door.data_received(whole_request[:20])
                half = True
            elif step == "junk" and not half:
                door.data_received(b"what is this\r\n\r\n")
                break
            elif step == "answer" and len(handed) > answered:
                handed[answered][1].answer(HTTPStatus.ACCEPTED)
                answered += 1
                await asyncio.sleep(0)
            elif step == "let go":
                idle = len(handed) == answered and asked == answered and not half
                server.close_idle_connections()
                assert paper.closed == (idle and door.has_sent_request)
            elif step in ("half-close", "gone"):
                if step == "gone":
                    door.connection_lost(None)
                else:
                    door.eof_received()
                open_ = False
        assert len(handed) <= answered + 1  # one at a time
        while open_ and not paper.closed and len(handed) > answered:
            handed[answered][1].answer(HTTPStatus.ACCEPTED)
            answered += 1
            await asyncio.sleep(0)
        assert [name for name, _ in handed] == [f"m{n}" for n in range(len(handed))]
        if open_:
            assert answered == asked == paper.written.count(b"HTTP/1.1 202")

    handed.clear()
    asyncio.run(run())


class Asked:
    """Discovery of one test: its questions wait until a step answers them."""

    def __init__(self) -> None:
        self.questions: asyncio.Queue[tuple[str, asyncio.StreamWriter]] = asyncio.Queue()

    async def start(self) -> Asked:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.where = Address(*self.server.sockets[0].getsockname())
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, _, _ = await read_message(reader)
                self.questions.put_nowait((first.split(" ")[1], writer))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()


def json_answer(**told: Any) -> bytes:
    body = json.dumps(told).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


WATCH_STEPS = ["news", "nothing", "whole", "junk", "cut", "refused", "reset", "silent", "moved", "moved and answered"]
FAILURES: dict[str, bytes] = {
    "junk": json_answer(seq="x", hosts=[3]),
    "cut": json_answer(seq=99, whole=True, hosts=[])[:-1],
    "refused": b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
    "reset": b"",
    "silent": b"",
}


@profile(derandomize=True, max_examples=80, deadline=None)
@given(steps=st.lists(st.sampled_from(WATCH_STEPS), min_size=1, max_size=10))
def test_a_watch_knows_all_that_was_told_in_any_order_of_steps(steps: list[str]) -> None:
    """One question is out at a time, from the version that is known; what fails is told once and changes nothing, and a
    connection that breaks is replaced, for one question as often as AGAIN_S says; an answer of the old place that
    crosses a move is not heard, and asked for again at the new one.
    """

    async def run() -> None:
        loop = asyncio.get_running_loop()
        real_time, ahead = loop.time, [0.0]
        setattr(loop, "time", lambda: real_time() + ahead[0])  # noqa: B010
        heard: list[EndpointList | None] = []
        at = await Asked().start()
        places = [at]
        watch = watch_module.EndpointListWatch(at.where, -1, heard.append)
        watch.subscribe()
        seq, hosts, count, breaks = -1, {}, 0, 0  # the model
        for n, step in enumerate(steps):
            async with asyncio.timeout(PATIENCE):
                path, writer = await at.questions.get()
            assert path.partition("?")[2].startswith(f"from={seq}&") if seq >= 0 else path == "/discovery/hosts"
            assert at.questions.empty()
            more = {"host": f"s{n}", "dial": "127.0.0.1:9", "block": 7, "health": "up"}
            if step in ("news", "whole") or (step == "nothing" and seq < 0):
                whole_list = step == "whole" or seq < 0
                seq, hosts[more["host"]] = seq + 1 + n, more
                writer.write(json_answer(seq=seq, whole=whole_list, hosts=[*hosts.values()] if whole_list else [more]))
            elif step == "nothing":
                writer.write(json_answer(seq=seq, whole=False, hosts=[]))
            elif step.startswith("moved"):
                at = await Asked().start()
                places.append(at)
                if step == "moved and answered":  # in the kernel, and not read
                    writer.write(json_answer(seq=seq + 1, whole=seq < 0, hosts=[more]))
                watch.change_address(at.where)
                breaks = 0
                continue
            else:
                writer.write(FAILURES[step])
                if step in ("cut", "reset"):
                    writer.transport.abort() if step == "reset" else writer.close()
                elif step == "silent":
                    ahead[0] += watch_module.HOLD_MS / 1000 + watch_module.LATE_S + 0.1
            breaks = breaks + 1 if step in ("cut", "reset") else 0
            if 0 < breaks <= len(watch_module.AGAIN_S):
                continue
            count, breaks = count + 1, 0
            while len(heard) < count:
                await asyncio.sleep(0)
            assert (heard[-1] is None) == (step in FAILURES)
            if step in FAILURES:
                watch.subscribe()
                watch.subscribe()
            ahead[0] += watch_module.LEAST_WATCH_S
        known: dict[str, Any] = {}
        for told in filter(None, heard):
            known = ({} if told.is_complete else known) | {h.name: h.raw for h in told.endpoints}
        assert len(heard) == count
        assert known == hosts
        watch.client.close()
        for place in places:
            place.server.close()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    asyncio.run(run())


def test_a_clock_that_was_set_back_lets_nothing_run_twice() -> None:
    """Its first attempt was sent at a time that is still to come: what must not run twice has no time to go again."""
    d = Dispatcher(settings(), 1, 0)
    actions = d.handle(
        0,
        [
            EndpointListReceived(EndpointListKind.SAVED, ENTRIES[:1]),
            MessageRecovered(
                "m", 10, d.message_table.classes["once"], 6 * S, None, None, 1, 3600 * S, ENTRIES[0].endpoint, False
            ),
        ],
    )
    assert not sends(actions)
    assert [type(a) for a in finals(actions)] == [FailMessage]


# Another customer's settings


OTHER: dict[str, Any] = {
    "allowed": {
        "conn_idle_us": 2_000_000,
        "dial_timeout_us": 700_000,
        "max_attempts": 3,
        "max_open": 8,
        "may_cancel": True,
    },
    "balancers": 3,
    "discovery": "pushed",
    "host_types": ["sea", "rail"],
    "zones": ["west", "east"],
    "zone": "east",
    "contract": {"grace_to_answer_us": 5_000, "drain_grace_us": 200_000, "ask_within_us": 10_000_000},
    "family_info": {"slots": 2, "kind_batch": [1, 2], "routes_apart": [True, False], "carriage": [0.1, 0.0]},
    "orgs": [{"name": "north", "allowance_per_s": 50.0, "fraction": 1.0}],
    "over_share_worth": 0.2,
    "services": [
        {
            "name": "waybill",
            "aim_us": 9_000_000,
            "deadline_us": 12_000_000,
            "effect": "by_key",
            "key_scope": "zone",
            "window_us": 6_000_000,
        },
        {"name": "pickup-call", "aim_us": 9_000_000, "deadline_us": 10_000_000, "effect": "once", "by_arrival": True},
    ],
    "telemetry": {"fields": [], "how": "silent"},
    "weight_source": "silent",
}


def test_other_names_effects_and_limits_hold_from_the_settings_alone(tmp_path: Path) -> None:
    """A keyed message that may have run goes again, twice, within its zone only, though the other zone's endpoint is
    free; its class keeps no order and its clients send no session key. Classes of this site's are unknown there.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        answers = [None, None, OK]

        async def answer(request: Request) -> Answer | None:
            return answers.pop(0) if len(answers) > 1 else OK

        peers = [await real.target(platform, answer, zone, kind="sea") for zone in ("west", "east")]
        for zone in ("west", "east"):
            platform.hosts[zone]["site"] = zone
        node = real.Node(folder, platform)
        node.configure(settings=OTHER)
        await node.start()
        real.folder_nodes[-1].append(node)
        own = {"X_Account": "north", "X_Session_Key": None, "left": "10"}
        assert (await node.hand_in("a", "waybill", Idempotency_Key="0f", **own))[0] == 202
        await asyncio.wait([asyncio.create_task(peer.got(3)) for peer in peers], return_when="FIRST_COMPLETED")
        assert sorted(len(peer.requests) for peer in peers) == [0, 3]
        assert {r.headers["idempotency-key"] for peer in peers for r in peer.requests} == {"0f"}
        assert (await node.hand_in("b", "pickup-call", **own | {"X_Session_Key": "k"}))[0] == 202
        assert [(await node.hand_in("c", "order"))[0], (await node.hand_in("d", "waybill"))[0]] == [404, 400]
        assert await node.end(signal.SIGTERM) == 0
        assert not platform.notices

    real.play(scene, tmp_path)
