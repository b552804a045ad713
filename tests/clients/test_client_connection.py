"""One client's connection: floods, withdrawals, and one answer for each request."""

from __future__ import annotations

import asyncio
import socket
from http import HTTPStatus

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from forwarder.clients.client_connection import ClientConnection
from forwarder.clients.listener import bind
from forwarder.clients.server import READ_BUFFER_BYTES, ClientServer
from forwarder.clients.submission import Submission
from forwarder.config.config import Address
from forwarder.protocol.settings_format import parse_settings
from forwarder.protocol.settings_format import parse_settings as settings_of
from forwarder.storage.clock import Clock
from tests.clients.peers import FLOOD, ONE_OF_FLOOD, flood_server, reject_all
from tests.engine_scene import RecordingTransport, play_with_platform
from tests.nodes import SETTINGS, message
from tests.platforms import Platform
from tests.sockets import Skewed


def test_a_flood_is_read_no_faster_than_its_answers_are() -> None:
    """Answers to a client that reads none piled up in memory, as much as it sent. Nothing is lost by the pause."""

    async def scene(platform: Platform) -> None:
        server = ClientServer(settings_of(SETTINGS), Skewed(), 10, reject_all)
        sock, door, sending = await flood_server(server)
        assert not sending.done()
        assert not door.is_closed()
        loop, got, answered = asyncio.get_running_loop(), b"", 0
        while answered < FLOOD.count(b"POST"):
            *whole, got = (got + await loop.sock_recv(sock, 1 << 20)).split(b"HTTP/1.1 404")
            answered += len(whole)
        await sending
        sock.close()
        server.close()

    play_with_platform(scene)


@pytest.mark.parametrize("floods", [1, 5])
def test_a_flood_holds_no_other_client_up_for_longer_than_a_piece_of_it_takes(floods: int) -> None:
    """All that they sent and its request lie in the kernel. One read took up to 256 KB of a flood, some thousand
    requests answered in one turn of the loop, and clients wait for 0.4 s.
    """

    async def scene(platform: Platform) -> None:
        server, handled = ClientServer(settings_of(SETTINGS), Skewed(), 20, reject_all), list[str]()
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

    play_with_platform(scene)


def test_a_client_that_disconnects_before_its_answer_withdraws_the_message() -> None:
    async def scene() -> None:
        came: asyncio.Queue[Submission] = asyncio.Queue()
        gone = asyncio.Event()

        def hand_in(handed: Submission, door: ClientConnection) -> None:
            door.on_withdrawn = gone.set
            came.put_nowait(handed)

        server = ClientServer(parse_settings(SETTINGS), Clock(), 10, hand_in)
        server.listen(await bind(Address("127.0.0.1", 0)))
        assert server.listener is not None
        port = server.listener.address().port
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(message("m"))
        assert (await came.get()).id == "m"
        assert not gone.is_set()
        writer.close()
        async with asyncio.timeout(20):
            await gone.wait()
        server.close()

    asyncio.run(scene())


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
        paper, door = RecordingTransport(), ClientConnection(server)
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
