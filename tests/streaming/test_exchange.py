"""Single exchanges in this process, over socket pairs: framing at every split, buffer accounting, and cleanup."""

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

SETTINGS = StreamSettings(
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
Handler = Callable[[peers.ReceivedRequest], Awaitable[None]]


def make_socket_pair() -> tuple[socket.socket, socket.socket]:
    ours, theirs = socket.socketpair()
    for sock in (ours, theirs):
        sock.setblocking(False)
    return ours, theirs


class FakeExchangeHost:
    """An ExchangeHost that always chooses the same endpoint. The handler acts as that endpoint."""

    def __init__(self, handler: Handler, settings: StreamSettings = SETTINGS) -> None:
        self.handler, self.settings = handler, settings
        self.account = BufferAccount()
        self.endpoint_tasks: list[asyncio.Task[peers.ReceivedRequest]] = []
        self.reported_outcomes: list[Outcome] = []
        self.endpoint_connections: list[StreamConnection] = []
        self.kept_connections: list[StreamConnection] = []
        self.ended_streams = 0

    async def route(self, stream: int, destination: int, avoid_endpoint: int) -> RouteStream | RejectStream:
        return RouteStream(stream, 1)

    async def connect(self, endpoint: int, reuse: bool) -> StreamConnection:
        ours, theirs = make_socket_pair()
        self.endpoint_connections.append(StreamConnection(ours, self.account, 0))
        self.endpoint_tasks.append(asyncio.create_task(self.serve(theirs)))
        return self.endpoint_connections[-1]

    async def serve(self, sock: socket.socket) -> peers.ReceivedRequest:
        reader, writer = await asyncio.open_connection(sock=sock)
        request = peers.ReceivedRequest(await reader.readuntil(b"\r\n\r\n"), reader, writer)
        await self.handler(request)
        writer.close()
        return request

    def report_outcome(self, stream: int, endpoint: int, outcome: Outcome, headers: Headers) -> None:
        self.reported_outcomes.append(outcome)

    def end_stream(self, stream: int) -> None:
        self.ended_streams += 1

    def keep_connection(self, endpoint: int, connection: StreamConnection) -> None:
        self.kept_connections.append(connection)

    def count(self, event: str, log_text: str = "") -> None:
        pass


Result = RejectStream | EndpointFailedError | ClientFailedError | None


async def run_exchange(
    host: FakeExchangeHost, send_request: Callable[[socket.socket], Awaitable[None]]
) -> tuple[Result, bytes]:
    """Runs one exchange. Returns its result, and all bytes that the client received."""
    ours, theirs = make_socket_pair()
    client = StreamConnection(ours, host.account, 0)
    loop = asyncio.get_running_loop()
    received = bytearray()

    async def receive() -> None:
        with contextlib.suppress(ConnectionResetError):
            while data := await loop.sock_recv(theirs, 1 << 16):
                received.extend(data)

    sender, receiver = asyncio.create_task(send_request(theirs)), asyncio.create_task(receive())
    await client.read_more(host.settings.buffer_bytes, 20.0)
    head = await read_request_head(client, host.settings)
    assert head is not None
    result = await Exchange(host, 1, client, head, 7).run()
    client.close()
    await receiver
    sender.cancel()
    await asyncio.gather(sender, return_exceptions=True)
    theirs.close()
    for connection in host.endpoint_connections:
        connection.close()
    return result, bytes(received)


def send_pieces(*pieces: bytes) -> Callable[[socket.socket], Awaitable[None]]:
    async def send(sock: socket.socket) -> None:
        for piece in pieces:
            await asyncio.get_running_loop().sock_sendall(sock, piece)
            for _ in range(6):
                await asyncio.sleep(0)

    return send


REQUESTS = {
    "none": b"GET /big?a=b HTTP/1.1\r\nHost: x\r\nX-Addressing: dest=7\r\n\r\n",
    "sized": b"POST /big HTTP/1.1\r\nHost: x\r\nX-Addressing: dest=7\r\nContent-Length: 11\r\n\r\nhello\r\n\r\nyo",
    "chunked": b"POST /big HTTP/1.1\r\nHost: x\r\nX-Addressing: dest=7\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5;ext=1\r\nhello\r\n006\r\n\r\n\r\nyo\r\n0\r\nX-Sum: 3\r\n\r\n",
}
BODIES = {"none": b"", "sized": b"hello\r\n\r\nyo", "chunked": b"hello\r\n\r\nyo"}
DATE = b"Date: Tue, 01 Dec 2026 12:00:00 GMT\r\n"  # without it the forwarder adds one, which changes with the time
RESPONSES = {
    "sized": b"HTTP/1.1 200 OK\r\n" + DATE + b"X-A: b\r\nContent-Length: 11\r\n\r\nhello\r\n\r\nyo",
    "chunked": b"HTTP/1.1 200 OK\r\n" + DATE + b"Transfer-Encoding: chunked\r\n\r\n"
    b"005\r\nhello\r\n6;x\r\n\r\n\r\nyo\r\n0\r\nX-Sum: 3\r\n\r\n",
    "to its end": b"HTTP/1.1 200 OK\r\n" + DATE + b"\r\nhello\r\n\r\nyo",
    "after hints": b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 200 OK\r\n" + DATE + b"Content-Length: 11\r\n\r\nhello\r\n\r\nyo",
    "none": b"HTTP/1.1 204 No Content\r\n" + DATE + b"X-A: b\r\n\r\n",
}


def all_splits(data: bytes) -> Iterator[tuple[bytes, ...]]:
    """Yields every split of the data in two, and the split into single bytes."""
    for at in range(1, len(data)):
        yield data[:at], data[at:]
    yield tuple(data[at : at + 1] for at in range(len(data)))


async def parse_responses(data: bytes) -> tuple[bytes, bytes, bytes]:
    """Parses what a client received. Returns all heads, the decoded body, and the trailers."""
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    heads = b""
    while True:
        head = await reader.readuntil(b"\r\n\r\n")
        heads += head
        if not head.startswith(b"HTTP/1.1 1"):
            break
    client = peers.StreamClient(reader, None)  # type: ignore[arg-type]
    client.head, client.trailers = head.decode("latin-1"), b""
    body = b"" if b" 204 " in head else await client.read_body()
    assert await reader.read() == b""
    return heads, body, client.trailers


@pytest.mark.parametrize("kind", REQUESTS)
def test_a_request_is_relayed_the_same_at_every_split_of_its_bytes(kind: str) -> None:
    async def scenario() -> None:
        seen = set()
        for pieces in all_splits(REQUESTS[kind]):

            async def respond(request: peers.ReceivedRequest) -> None:
                await request.read_body()
                await request.respond(b"ok")

            host = FakeExchangeHost(respond)
            result, response_data = await run_exchange(host, send_pieces(*pieces))
            assert result is None
            assert (await parse_responses(response_data))[1] == b"ok"
            request = await host.endpoint_tasks[0]
            assert request.complete or kind == "none"
            seen.add((request.head, bytes(request.body), getattr(request, "trailers", b"")))
            assert host.account.held_bytes == 0
            assert len(host.kept_connections) == 1
            assert host.ended_streams == 1
        assert len(seen) == 1
        ((_, body, trailers),) = seen
        assert body == BODIES[kind]
        assert trailers == (b"X-Sum: 3\r\n" if kind == "chunked" else b"")

    asyncio.run(scenario())


@pytest.mark.parametrize("kind", RESPONSES)
def test_a_response_is_relayed_the_same_at_every_split_of_its_bytes(kind: str) -> None:
    async def scenario() -> None:
        seen = set()
        for pieces in all_splits(RESPONSES[kind]):

            async def respond(request: peers.ReceivedRequest, pieces: tuple[bytes, ...] = pieces) -> None:
                for piece in pieces:
                    await request.send(piece)
                    for _ in range(6):
                        await asyncio.sleep(0)

            host = FakeExchangeHost(respond)
            result, response_data = await run_exchange(host, send_pieces(REQUESTS["none"]))
            assert result is None
            seen.add(await parse_responses(response_data))
            assert host.account.held_bytes == 0
            assert host.reported_outcomes == [Outcome.DELIVERED]
        ((heads, body, trailers),) = seen
        assert body == (b"" if kind == "none" else b"hello\r\n\r\nyo")
        assert trailers == (b"X-Sum: 3\r\n" if kind == "chunked" else b"")
        assert heads.count(b"HTTP/1.1 ") == (3 if kind == "after hints" else 1)

    asyncio.run(scenario())


def random_chunks(rng: random.Random, body: bytes) -> bytes:
    """Encodes a body in chunks of random sizes."""
    encoded, at = b"", 0
    while at < len(body):
        size = min(len(body) - at, rng.choice((1, 2, 15, 16, 17, 255, 4000, 4096, 9000)))
        encoded += b"%x\r\n%s\r\n" % (size, body[at : at + size])
        at += size
    return encoded + b"0\r\n\r\n"


@pytest.mark.parametrize("seed", range(12))
def test_generated_bodies_pass_unchanged_in_both_directions_within_the_memory_limit(seed: int) -> None:
    rng = random.Random(seed)
    up, down = rng.randbytes(rng.randrange(1, 120_000)), rng.randbytes(rng.randrange(1, 120_000))
    head = b"PUT /big HTTP/1.1\r\nHost: x\r\nX-Addressing: dest=7\r\n"
    if rng.random() < 0.5:
        request_bytes = head + b"Content-Length: %d\r\n\r\n" % len(up) + up
    else:
        request_bytes = head + b"Transfer-Encoding: chunked\r\n\r\n" + random_chunks(rng, up)
    response_bytes = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + random_chunks(rng, down)
        if rng.random() < 0.5
        else b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(down) + down
    )
    pieces, at = [], 0
    while at < len(request_bytes):
        size = rng.choice((1, 7, 100, 4096, 20_000))
        pieces.append(request_bytes[at : at + size])
        at += size

    async def respond(request: peers.ReceivedRequest) -> None:
        reading = asyncio.create_task(request.read_body())
        if rng.random() < 0.5:
            await reading
        await request.send(response_bytes)
        await reading

    async def scenario() -> None:
        host = FakeExchangeHost(respond)
        tasks_before = asyncio.all_tasks()
        result, response_data = await run_exchange(host, send_pieces(*pieces))
        request = await host.endpoint_tasks[0]
        assert (await parse_responses(response_data))[1] == down
        assert request.body[: len(request.body)] == up[: len(request.body)]
        assert not request.complete or request.body == up
        assert result is None
        assert host.account.held_bytes == 0
        assert 0 < host.account.peak_bytes <= SETTINGS.max_stream_bytes
        assert asyncio.all_tasks() == tasks_before  # no task is left
        assert all(connection.closed for connection in host.endpoint_connections)  # no socket is left

    asyncio.run(scenario())


def test_reads_are_limited_by_the_high_water_mark_and_wait_for_the_write() -> None:
    """While the endpoint reads nothing, no more than one read is held, however much the client has sent."""

    async def scenario() -> None:
        stop = asyncio.Event()

        async def pause_reading(request: peers.ReceivedRequest) -> None:
            request.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await stop.wait()
            request.reset()

        host = FakeExchangeHost(pause_reading)
        send_request = send_pieces(
            b"POST /big HTTP/1.1\r\nHost: x\r\nX-Addressing: dest=7\r\n"
            b"Content-Length: 9000000\r\n\r\n" + bytes(9_000_000)
        )
        running = asyncio.create_task(run_exchange(host, send_request))
        held = -1
        # Wait until the number of held bytes is stable.
        while not host.endpoint_connections or host.account.held_bytes != held or not held:
            held = host.account.held_bytes
            await asyncio.sleep(0.05)
        assert 0 < held <= SETTINGS.buffer_bytes + 64
        stop.set()
        result, _ = await running
        assert isinstance(result, EndpointFailedError)
        assert host.account.held_bytes == 0
        await asyncio.gather(*host.endpoint_tasks, return_exceptions=True)

    asyncio.run(scenario())


def test_a_slow_peer_counts_as_stalled_only_for_the_time_that_it_keeps_us_waiting() -> None:
    monitor = ThroughputMonitor(100)
    for _ in range(10):
        monitor.record(THROUGHPUT_WINDOW_S / 10, 60)  # 120 bytes per second of waiting

    def record_below_minimum() -> None:
        for _ in range(10):
            monitor.record(THROUGHPUT_WINDOW_S / 10, 40)

    with pytest.raises(StalledError):
        record_below_minimum()
    prompt_monitor = ThroughputMonitor(100)
    for _ in range(1000):
        prompt_monitor.record(0.0, 1)  # a peer that never keeps us waiting may send any amount


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
def test_reserved_paths_are_detected_in_every_spelling(path: str) -> None:
    assert is_reserved_path(path.encode(), frozenset({b"hook"}))


@pytest.mark.parametrize("path", ["/", "/hooks", "/a/hook", "/a/../b", "/?hook", "/a%2fhook", "/%E6%97%A5", "*"])
def test_other_paths_are_not_reserved(path: str) -> None:
    assert not is_reserved_path(path.encode(), frozenset({b"hook"}))


def test_an_absolute_target_is_split_into_path_and_host() -> None:
    async def scenario() -> None:
        host = FakeExchangeHost(respond_ok)
        result, _ = await run_exchange(
            host, send_pieces(b"GET http://other:80/big?x HTTP/1.1\r\nHost: x\r\nX-Addressing: dest=7\r\n\r\n")
        )
        request = await host.endpoint_tasks[0]
        assert result is None
        assert request.request_line == "GET /big?x HTTP/1.1"
        assert request.headers["host"] == "other:80"

    asyncio.run(scenario())


async def respond_ok(request: peers.ReceivedRequest) -> None:
    await request.respond(b"ok")


def test_the_size_of_trailers_is_limited() -> None:
    async def read_request(request: peers.ReceivedRequest) -> None:
        await request.read_body()

    async def scenario() -> None:
        host = FakeExchangeHost(read_request)
        result, _ = await run_exchange(
            host,
            send_pieces(
                REQUESTS["chunked"].partition(b"X-Sum")[0]
                + b"".join(b"X%d: %s\r\n" % (n, 900 * b"x") for n in range(40))
                + b"\r\n"
            ),
        )
        assert isinstance(result, ClientFailedError)
        assert result.status == 431
        await asyncio.gather(*host.endpoint_tasks, return_exceptions=True)

    asyncio.run(scenario())
