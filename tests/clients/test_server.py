"""Tests which connections the server closes and what happens to the requests on them."""

from __future__ import annotations

import asyncio
import socket
from http import HTTPStatus

import pytest

from forwarder.clients.client_connection import ClientConnection
from forwarder.clients.listener import bind
from forwarder.clients.server import STALL_TIMEOUT_US, ClientServer
from forwarder.clients.submission import MAX_ID_LENGTH, Submission
from forwarder.config.config import Address
from forwarder.protocol.settings_format import parse_settings
from forwarder.runtime.handover_format import ClientRecord
from forwarder.storage.clock import Clock
from tests.clients.peers import reject_all, start_flood
from tests.engine_scene import RecordingTransport, play_with_platform
from tests.nodes import SETTINGS, message
from tests.platforms import Platform
from tests.sockets import Skewed


def test_the_connection_of_a_client_that_reads_no_answers_is_closed() -> None:
    """Guards against a socket held forever: an orderly close waits until the client has read all answers."""

    async def scene(platform: Platform) -> None:
        clock = Skewed()
        server = ClientServer(parse_settings(SETTINGS), clock, 10, reject_all)
        sock, _, sending = await start_flood(server)
        clock.set_time(clock() + STALL_TIMEOUT_US + 1)
        while server.connections:
            await asyncio.sleep(0.005)
        with pytest.raises(ConnectionError):
            await sending
        sock.close()
        server.close()

    play_with_platform(scene)


@pytest.mark.parametrize("sent", [b"", b"POST /order HTTP/1.1\r\nHost: x\r\n", message("m", body=b"abc")[:-1]])
def test_a_peer_that_sends_no_complete_request_is_closed_and_a_client_stays(sent: bytes) -> None:
    """Guards against such peers using up the connection limit, so that connections of clients were closed for them."""

    async def scene() -> None:
        clock = Skewed()
        server = ClientServer(parse_settings(SETTINGS), clock, 10, lambda submitted, connection: None)
        server.listen(await bind(Address("127.0.0.1", 0)))
        assert server.listener is not None
        port = server.listener.address().port
        client = await asyncio.open_connection("127.0.0.1", port)
        client[1].write(b"GET /up HTTP/1.1\r\n\r\n")
        await client[0].readuntil(b"up\n")
        peer = await asyncio.open_connection("127.0.0.1", port)
        peer[1].write(sent)
        while len(server.connections) < 2 or (sent and all(each.reader.partial is None for each in server.connections)):
            await asyncio.sleep(0.01)
        clock.skew = 2_100_000
        async with asyncio.timeout(20):
            answer = await peer[0].read()
        assert answer.startswith(b"HTTP/1.1 408") if sent else answer == b""
        client[1].write(b"GET /up HTTP/1.1\r\n\r\n")
        await client[0].readuntil(b"up\n")
        server.close()

    asyncio.run(scene())


def test_a_partial_request_is_refused_without_an_exception_if_its_client_has_left() -> None:
    """Found with issue 61 (a): one reset ended the sweep of all clients, and the accept of another."""

    async def scene() -> None:
        server = ClientServer(parse_settings(SETTINGS), Clock(), 10, lambda submitted, connection: None)
        server.listen(await bind(Address("127.0.0.1", 0)))
        assert server.listener is not None
        _, writer = await asyncio.open_connection("127.0.0.1", server.listener.address().port)
        writer.write(message("m")[:-1])
        while not server.connections or next(iter(server.connections)).reader.partial is None:
            await asyncio.sleep(0.01)
        (connection,) = server.connections
        assert connection.transport is not None
        connection.transport.pause_reading()  # type: ignore[attr-defined]
        writer.transport.abort()  # the answer then causes a reset, before the end of writing
        await asyncio.sleep(0.05)
        connection.evict("too many clients")
        assert connection.is_closed()
        server.close()

    asyncio.run(scene())


def test_a_connection_above_the_limit_closes_the_longest_idle_one() -> None:
    async def scene() -> None:
        server = ClientServer(parse_settings(SETTINGS), Clock(), 2, lambda submitted, connection: None)
        server.listen(await bind(Address("127.0.0.1", 0)))
        assert server.listener is not None
        port = server.listener.address().port
        first, *others = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3)]
        async with asyncio.timeout(20):
            assert await first[0].read() == b""
        others[1][1].write(b"GET /up HTTP/1.1\r\n\r\n")
        async with asyncio.timeout(20):
            assert (await others[1][0].readline()).startswith(b"HTTP/1.1 200")
        server.close()

    asyncio.run(scene())


def test_hundreds_of_partial_requests_are_refused_at_once_when_memory_is_short() -> None:
    """Found by reading after issue 61 (a): each refusal called the next, up to the limit on recursion."""

    async def scene() -> None:
        server = ClientServer(parse_settings(SETTINGS), Clock(), 600, lambda submitted, connection: None)
        transports = []
        for _ in range(500):
            transports.append(RecordingTransport())
            connection = ClientConnection(server)
            connection.connection_made(transports[-1])
            connection.data_received(message("m", body=b"x" * 5_000)[:-1])
        server.request_memory.set_limit(10_000, 600)
        server.note_held(connection)
        assert server.request_memory.used_bytes <= server.request_memory.limit_bytes
        refused = [b"HTTP/1.1 503" in transport.written for transport in transports]
        assert refused.count(True) == len(refused) - 1  # what the last one holds keeps the limit
        for connection in list(server.connections):
            connection.connection_lost(None)
        server.close()

    asyncio.run(scene())


def test_an_idle_connection_keeps_no_long_id_of_its_last_request() -> None:
    """Found by reading after issue 61 (a): each idle connection kept an id of up to 16 kB that nothing counted."""

    async def scene() -> None:
        server = ClientServer(parse_settings(SETTINGS), Clock(), 10, lambda submitted, connection: None)
        connection = ClientConnection(server)
        connection.connection_made(RecordingTransport())
        connection.data_received(message("i" * 5_000))
        assert connection.is_idle()
        assert len(connection._last_message_id) <= MAX_ID_LENGTH
        connection.connection_lost(None)
        server.close()

    asyncio.run(scene())


def test_a_connection_that_was_handed_over_keeps_no_record_of_it() -> None:
    """Found by reading after issue 61 (a): the bytes of a hand-over stayed with their connection until its end."""

    async def scene() -> None:
        server = ClientServer(parse_settings(SETTINGS), Clock(), 10, lambda submitted, connection: None)
        record = ClientRecord(0, 0, False, None, 1, message("m", body=b"x" * 5_000)[:-1])
        connection = ClientConnection(server, handed_over=record)
        connection.connection_made(RecordingTransport())
        assert connection.has_partial_request()
        assert connection._handed_over is None
        connection.connection_lost(None)
        server.close()

    asyncio.run(scene())


def test_a_refused_connection_makes_room_before_the_idle_one_of_a_sound_client() -> None:
    """Soak, seed 6310: hundreds of clients that came again after a refusal closed the connections of sound ones."""

    async def scene() -> None:
        server = ClientServer(parse_settings(SETTINGS), Clock(), 2, lambda submitted, connection: None)
        server.listen(await bind(Address("127.0.0.1", 0)))
        assert server.listener is not None
        port = server.listener.address().port
        sound = await asyncio.open_connection("127.0.0.1", port)
        sound[1].write(b"GET /up HTTP/1.1\r\n\r\n")
        await sound[0].readuntil(b"up\n")
        for _ in range(5):
            refused = await asyncio.open_connection("127.0.0.1", port)
            refused[1].write(b"no request\r\n\r\n")
            assert (await refused[0].readline()).startswith(b"HTTP/1.1 400")
        sound[1].write(b"GET /up HTTP/1.1\r\n\r\n")
        async with asyncio.timeout(20):
            assert (await sound[0].readline()).startswith(b"HTTP/1.1 200")
        assert len(server.connections) <= 2
        server.close()

    asyncio.run(scene())


@pytest.mark.parametrize("sent", ["before the close", "after the close"])
@pytest.mark.parametrize("ending", ["drain", "exit", "too many"])
def test_a_request_that_crosses_the_close_is_answered_or_never_accepted(ending: str, sent: str) -> None:
    """A request that waits unread in the kernel keeps its connection open unless the process exits.

    A later request is never accepted: its client sees the connection end without an answer and sends the request again
    to another forwarder.
    """

    async def scene(platform: Platform) -> None:
        submitted: list[str] = []

        def on_submission(submission: Submission, connection: ClientConnection) -> None:
            submitted.append(submission.id)
            connection.answer(HTTPStatus.ACCEPTED)

        server = ClientServer(parse_settings(SETTINGS), Skewed(), 1, on_submission)
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
        assert submitted == (["first", "crossing"] if answered else ["first"])
        server.close()

    play_with_platform(scene)
