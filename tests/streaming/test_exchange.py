"""One stream in this process, over socket pairs: framing at every split, counted bytes, what is left over."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections.abc import Awaitable, Callable, Iterator

import pytest

from forwarder.config.config import Address
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.stream_routing import RejectStream, RouteStream
from forwarder.protocol.http1 import Headers
from forwarder.streaming.connection import (
    THROUGHPUT_WINDOW_S,
    BufferAccount,
    StalledError,
    StreamConnection,
    ThroughputMonitor,
)
from forwarder.streaming.errors import ClientFailedError, EndpointFailedError
from forwarder.streaming.exchange import Exchange
from forwarder.streaming.request_reader import read_request_head
from forwarder.streaming.reserved_paths import is_reserved_path
from forwarder.streaming.settings import StreamSettings
from tests.streaming import peers

LIMITS = StreamSettings(
    Address("127.0.0.1", 1),
    1 << 20,
    4096,
    0.5,
    head_timeout_s=20.0,
    idle_timeout_s=20.0,
    response_idle_timeout_s=20.0,
    min_bytes_per_s=0,
    max_attempts=1,
    max_connections=1,
)
Handler = Callable[[peers.Exchange], Awaitable[None]]


def pair() -> tuple[socket.socket, socket.socket]:
    ours, theirs = socket.socketpair()
    for sock in (ours, theirs):
        sock.setblocking(False)
    return ours, theirs


class Front:
    """What the part would do: always one endpoint, which this test plays."""

    def __init__(self, handler: Handler, settings: StreamSettings = LIMITS) -> None:
        self.handler, self.settings = handler, settings
        self.ledger = BufferAccount()
        self.endpoints: list[asyncio.Task[peers.Exchange]] = []
        self.told_outcomes: list[Outcome] = []
        self.links: list[StreamConnection] = []
        self.kept: list[StreamConnection] = []
        self.ended = 0

    async def route(self, stream: int, destination: int, avoid_endpoint: int) -> RouteStream | RejectStream:
        return RouteStream(stream, 1)

    async def connect(self, endpoint: int, reuse: bool) -> StreamConnection:
        ours, theirs = pair()
        self.links.append(StreamConnection(ours, self.ledger, 0))
        self.endpoints.append(asyncio.create_task(self.serve(theirs)))
        return self.links[-1]

    async def serve(self, sock: socket.socket) -> peers.Exchange:
        reader, writer = await asyncio.open_connection(sock=sock)
        exchange = peers.Exchange(await reader.readuntil(b"\r\n\r\n"), reader, writer)
        await self.handler(exchange)
        writer.close()
        return exchange

    def report_outcome(self, stream: int, endpoint: int, outcome: Outcome, headers: Headers) -> None:
        self.told_outcomes.append(outcome)

    def end_stream(self, stream: int) -> None:
        self.ended += 1

    def keep_connection(self, endpoint: int, connection: StreamConnection) -> None:
        self.kept.append(connection)

    def count(self, what: str, text: str = "") -> None:
        pass


Result = RejectStream | EndpointFailedError | ClientFailedError | None


async def exchanged(front: Front, say: Callable[[socket.socket], Awaitable[None]]) -> tuple[Result, bytes]:
    """Carry one stream out. Returns its result, and all bytes that the client read."""
    ours, theirs = pair()
    client = StreamConnection(ours, front.ledger, 0)
    loop = asyncio.get_running_loop()
    heard = bytearray()

    async def hear() -> None:
        with contextlib.suppress(ConnectionResetError):
            while data := await loop.sock_recv(theirs, 1 << 16):
                heard.extend(data)

    saying, hearing = asyncio.create_task(say(theirs)), asyncio.create_task(hear())
    await client.read_more(front.settings.buffer_bytes, 20.0)
    head = await read_request_head(client, front.settings)
    assert head is not None
    result = await Exchange(front, 1, client, head, 7).run()
    client.close()
    await hearing
    saying.cancel()
    await asyncio.gather(saying, return_exceptions=True)
    theirs.close()
    for link in front.links:
        link.close()
    return result, bytes(heard)


def in_pieces(*pieces: bytes) -> Callable[[socket.socket], Awaitable[None]]:
    async def say(sock: socket.socket) -> None:
        for piece in pieces:
            await asyncio.get_running_loop().sock_sendall(sock, piece)
            for _ in range(6):
                await asyncio.sleep(0)

    return say


REQUESTS = {
    "none": b"GET /big?a=b HTTP/1.1\r\nHost: x\r\nX-Addressing: dest=7\r\n\r\n",
    "sized": b"POST /big HTTP/1.1\r\nHost: x\r\nX-Addressing: dest=7\r\nContent-Length: 11\r\n\r\nhello\r\n\r\nyo",
    "chunked": b"POST /big HTTP/1.1\r\nHost: x\r\nX-Addressing: dest=7\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5;ext=1\r\nhello\r\n006\r\n\r\n\r\nyo\r\n0\r\nX-Sum: 3\r\n\r\n",
}
BODIES = {"none": b"", "sized": b"hello\r\n\r\nyo", "chunked": b"hello\r\n\r\nyo"}
DATE = b"Date: Tue, 01 Dec 2026 12:00:00 GMT\r\n"  # without it the forwarder adds one, of another second
ANSWERS = {
    "sized": b"HTTP/1.1 200 OK\r\n" + DATE + b"X-A: b\r\nContent-Length: 11\r\n\r\nhello\r\n\r\nyo",
    "chunked": b"HTTP/1.1 200 OK\r\n" + DATE + b"Transfer-Encoding: chunked\r\n\r\n"
    b"005\r\nhello\r\n6;x\r\n\r\n\r\nyo\r\n0\r\nX-Sum: 3\r\n\r\n",
    "to its end": b"HTTP/1.1 200 OK\r\n" + DATE + b"\r\nhello\r\n\r\nyo",
    "after hints": b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 200 OK\r\n" + DATE + b"Content-Length: 11\r\n\r\nhello\r\n\r\nyo",
    "none": b"HTTP/1.1 204 No Content\r\n" + DATE + b"X-A: b\r\n\r\n",
}


def splits(data: bytes) -> Iterator[tuple[bytes, ...]]:
    """Cut at every byte, and into single bytes."""
    for at in range(1, len(data)):
        yield data[:at], data[at:]
    yield tuple(data[at : at + 1] for at in range(len(data)))


async def read_through(data: bytes) -> tuple[bytes, bytes, bytes]:
    """What a client reads: all heads, the body without its chunks, and the trailers."""
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    heads = b""
    while True:
        head = await reader.readuntil(b"\r\n\r\n")
        heads += head
        if not head.startswith(b"HTTP/1.1 1"):
            break
    visitor = peers.Visitor(reader, None)  # type: ignore[arg-type]
    visitor.head, visitor.trailers = head.decode("latin-1"), b""
    body = b"" if b" 204 " in head else await visitor.body()
    assert await reader.read() == b""
    return heads, body, visitor.trailers


@pytest.mark.parametrize("kind", REQUESTS)
def test_a_request_reads_the_same_however_it_is_cut(kind: str) -> None:
    async def scene() -> None:
        seen = set()
        for pieces in splits(REQUESTS[kind]):

            async def answering(exchange: peers.Exchange) -> None:
                await exchange.read()
                await exchange.answer(b"ok")

            front = Front(answering)
            result, heard = await exchanged(front, in_pieces(*pieces))
            assert result is None
            assert (await read_through(heard))[1] == b"ok"
            got = await front.endpoints[0]
            assert got.whole or kind == "none"
            seen.add((got.head, bytes(got.body), getattr(got, "trailers", b"")))
            assert front.ledger.held_bytes == 0
            assert len(front.kept) == 1
            assert front.ended == 1
        assert len(seen) == 1
        ((_, body, trailers),) = seen
        assert body == BODIES[kind]
        assert trailers == (b"X-Sum: 3\r\n" if kind == "chunked" else b"")

    asyncio.run(scene())


@pytest.mark.parametrize("kind", ANSWERS)
def test_an_answer_reads_the_same_however_it_is_cut(kind: str) -> None:
    async def scene() -> None:
        seen = set()
        for pieces in splits(ANSWERS[kind]):

            async def answering(exchange: peers.Exchange, pieces: tuple[bytes, ...] = pieces) -> None:
                for piece in pieces:
                    await exchange.say(piece)
                    for _ in range(6):
                        await asyncio.sleep(0)

            front = Front(answering)
            result, heard = await exchanged(front, in_pieces(REQUESTS["none"]))
            assert result is None
            seen.add(await read_through(heard))
            assert front.ledger.held_bytes == 0
            assert front.told_outcomes == [Outcome.DELIVERED]
        ((heads, body, trailers),) = seen
        assert body == (b"" if kind == "none" else b"hello\r\n\r\nyo")
        assert trailers == (b"X-Sum: 3\r\n" if kind == "chunked" else b"")
        assert heads.count(b"HTTP/1.1 ") == (3 if kind == "after hints" else 1)

    asyncio.run(scene())


def chunks_of(r: random.Random, body: bytes) -> bytes:
    """A body in chunks of all sizes."""
    made, at = b"", 0
    while at < len(body):
        size = min(len(body) - at, r.choice((1, 2, 15, 16, 17, 255, 4000, 4096, 9000)))
        made += b"%x\r\n%s\r\n" % (size, body[at : at + size])
        at += size
    return made + b"0\r\n\r\n"


@pytest.mark.parametrize("seed", range(12))
def test_generated_bodies_pass_whole_both_ways_within_their_bytes(seed: int) -> None:
    r = random.Random(seed)
    up, down = r.randbytes(r.randrange(1, 120_000)), r.randbytes(r.randrange(1, 120_000))
    head = b"PUT /big HTTP/1.1\r\nHost: x\r\nX-Addressing: dest=7\r\n"
    if r.random() < 0.5:
        request = head + b"Content-Length: %d\r\n\r\n" % len(up) + up
    else:
        request = head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks_of(r, up)
    told = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks_of(r, down)
        if r.random() < 0.5
        else b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(down) + down
    )
    pieces, at = [], 0
    while at < len(request):
        size = r.choice((1, 7, 100, 4096, 20_000))
        pieces.append(request[at : at + size])
        at += size

    async def answering(exchange: peers.Exchange) -> None:
        reading = asyncio.create_task(exchange.read())
        if r.random() < 0.5:
            await reading
        await exchange.say(told)
        await reading

    async def scene() -> None:
        front = Front(answering)
        before = asyncio.all_tasks()
        result, heard = await exchanged(front, in_pieces(*pieces))
        got = await front.endpoints[0]
        assert (await read_through(heard))[1] == down
        assert got.body[: len(got.body)] == up[: len(got.body)]
        assert not got.whole or got.body == up
        assert result is None
        assert front.ledger.held_bytes == 0
        assert 0 < front.ledger.peak_bytes <= LIMITS.max_stream_bytes
        assert asyncio.all_tasks() == before  # no task is left over
        assert all(link.closed for link in front.links)  # and no socket

    asyncio.run(scene())


def test_a_read_is_no_larger_than_the_high_water_mark_and_waits_for_the_write() -> None:
    """The endpoint takes nothing: counted bytes stand at one read, whatever the client has sent."""

    async def scene() -> None:
        stop = asyncio.Event()

        async def still(exchange: peers.Exchange) -> None:
            exchange.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await stop.wait()
            exchange.reset()

        front = Front(still)
        say = in_pieces(
            b"POST /big HTTP/1.1\r\nHost: x\r\nX-Addressing: dest=7\r\n"
            b"Content-Length: 9000000\r\n\r\n" + bytes(9_000_000)
        )
        running = asyncio.create_task(exchanged(front, say))
        held = -1
        while not front.links or front.ledger.held_bytes != held or not held:  # until nothing moves any more
            held = front.ledger.held_bytes
            await asyncio.sleep(0.05)
        assert 0 < held <= LIMITS.buffer_bytes + 64
        stop.set()
        result, _ = await running
        assert isinstance(result, EndpointFailedError)
        assert front.ledger.held_bytes == 0
        await asyncio.gather(*front.endpoints, return_exceptions=True)

    asyncio.run(scene())


def test_a_peer_that_trickles_is_stalled_and_one_that_we_keep_waiting_is_not() -> None:
    pace = ThroughputMonitor(100)
    for _ in range(10):
        pace.record(THROUGHPUT_WINDOW_S / 10, 60)  # 120 bytes a second of waiting

    def too_slow() -> None:
        for _ in range(10):
            pace.record(THROUGHPUT_WINDOW_S / 10, 40)

    with pytest.raises(StalledError):
        too_slow()
    quick = ThroughputMonitor(100)
    for _ in range(1000):
        quick.record(0.0, 1)  # it never kept us waiting, however little it sent


@pytest.mark.parametrize(
    "path",
    [
        "/hook",
        "/hook/batch",
        "/HOOK",
        "//hook",
        "/./hook",
        "/x/../hook",
        "/%68ook",
        "/%2568ook",
        "/hook%2fbatch",
        "/hook;x=1",
        "/hook?x",
        "/hook/",
        "/\\hook",
        "/%5chook",
        "/%2e/hook",
        "/x/%2e%2e/hook",
        "/hook%20",
        "/hook%00",
        "/x/../../hook",
        "/%2525252568ook",
        "/;a/hook",
        "/hook%23x",
        "/hook%3fx",
        "/hook/../x",
        "/%0ahook",
    ],
)
def test_paths_of_messages_are_told_however_they_are_written(path: str) -> None:
    assert is_reserved_path(path.encode(), frozenset({b"hook"}))


@pytest.mark.parametrize("path", ["/", "/hooks", "/a/hook", "/a/../b", "/?hook", "/a%2fhook", "/%E6%97%A5", "*"])
def test_other_paths_are_free(path: str) -> None:
    assert not is_reserved_path(path.encode(), frozenset({b"hook"}))


def test_an_absolute_target_is_read_as_its_path_and_host() -> None:
    async def scene() -> None:
        front = Front(peers_answer)
        result, _ = await exchanged(
            front, in_pieces(b"GET http://other:80/big?x HTTP/1.1\r\nHost: x\r\nX-Addressing: dest=7\r\n\r\n")
        )
        got = await front.endpoints[0]
        assert result is None
        assert got.first == "GET /big?x HTTP/1.1"
        assert got.headers["host"] == "other:80"

    asyncio.run(scene())


async def peers_answer(exchange: peers.Exchange) -> None:
    await exchange.answer(b"ok")


def test_trailers_have_a_bound() -> None:
    async def reads(exchange: peers.Exchange) -> None:
        await exchange.read()

    async def scene() -> None:
        front = Front(reads)
        result, _ = await exchanged(
            front,
            in_pieces(
                REQUESTS["chunked"].partition(b"X-Sum")[0]
                + b"".join(b"X%d: %s\r\n" % (n, 900 * b"x") for n in range(40))
                + b"\r\n"
            ),
        )
        assert isinstance(result, ClientFailedError)
        assert result.status == 431
        await asyncio.gather(*front.endpoints, return_exceptions=True)

    asyncio.run(scene())
