"""Tests one client's connection: floods, withdrawals, and one answer for each request."""

from __future__ import annotations

import asyncio
import socket
from http import HTTPStatus

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from forwarder.clients.client_connection import MAX_REQUESTS_PER_TURN, ClientConnection
from forwarder.clients.listener import bind
from forwarder.clients.server import ClientServer
from forwarder.clients.submission import Submission
from forwarder.config.config import Address
from forwarder.protocol.settings_format import parse_settings
from forwarder.storage.clock import Clock
from tests.clients.peers import FLOOD, reject_all, start_flood
from tests.engine_scene import RecordingTransport, play_with_platform
from tests.nodes import SETTINGS, message
from tests.platforms import Platform
from tests.sockets import Skewed


def test_a_flood_is_read_no_faster_than_its_answers_are_read() -> None:
    """Guards against unbounded memory use: answers to a client that read none accumulated with each request.

    Also checks that no request is lost by the pause in reading.
    """

    async def scene(platform: Platform) -> None:
        server = ClientServer(parse_settings(SETTINGS), Skewed(), 10, reject_all)
        sock, connection, sending = await start_flood(server)
        assert not sending.done()
        assert not connection.is_closed()
        loop = asyncio.get_running_loop()
        received = b""
        answered = 0
        requests = FLOOD.count(b"POST")
        while answered < requests:
            *whole, received = (received + await loop.sock_recv(sock, 1 << 20)).split(b"HTTP/1.1 404")
            answered += len(whole)
        await sending
        sock.close()
        server.close()

    play_with_platform(scene)


@pytest.mark.parametrize("floods", [1, 5])
def test_a_flood_delays_other_clients_by_no_more_than_a_few_requests(floods: int) -> None:
    """Issue 61 (b): the event loop answered all requests of one read at once, while clients wait only 0.4 s."""

    async def scene(platform: Platform) -> None:
        server, handled = ClientServer(parse_settings(SETTINGS), Skewed(), 20, reject_all), list[str]()
        server.handle = lambda connection, request: (  # type: ignore[method-assign]
            handled.append(request.path),
            connection.answer(HTTPStatus.NOT_FOUND),
        )[1]
        loop = asyncio.get_running_loop()
        accepted: list[socket.socket] = []
        clients: list[socket.socket] = []
        with socket.create_server(("127.0.0.1", 0)) as listener:
            for n in range(floods + 1):
                clients.append(socket.create_connection(listener.getsockname()))
                clients[-1].setblocking(False)
                clients[-1].send(FLOOD[: 1 << 20] if n < floods else b"GET /up HTTP/1.1\r\n\r\n")
                accepted.append(listener.accept()[0])
                accepted[-1].setblocking(False)
        await asyncio.gather(
            *(loop.connect_accepted_socket(lambda: ClientConnection(server), sock) for sock in accepted)
        )
        while "/up" not in handled:
            await asyncio.sleep(0)
        assert handled.index("/up") <= 2 * floods * MAX_REQUESTS_PER_TURN
        for sock in clients:
            sock.close()
        server.close()

    play_with_platform(scene)


def test_a_client_that_disconnects_before_its_answer_withdraws_the_message() -> None:
    async def scene() -> None:
        submissions: asyncio.Queue[Submission] = asyncio.Queue()
        withdrawn = asyncio.Event()

        def on_submission(submitted: Submission, connection: ClientConnection) -> None:
            connection.on_withdrawn = withdrawn.set
            submissions.put_nowait(submitted)

        server = ClientServer(parse_settings(SETTINGS), Clock(), 10, on_submission)
        server.listen(await bind(Address("127.0.0.1", 0)))
        assert server.listener is not None
        port = server.listener.address().port
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(message("m"))
        assert (await submissions.get()).id == "m"
        assert not withdrawn.is_set()
        writer.close()
        async with asyncio.timeout(20):
            await withdrawn.wait()
        server.close()

    asyncio.run(scene())


def test_requests_behind_the_first_are_not_passed_on_once_their_client_has_left() -> None:
    """Issue 61 (c): a client left with requests unread; they were passed on, or its connection stayed for good."""

    async def scene() -> None:
        submitted: list[ClientConnection] = []
        server = ClientServer(
            parse_settings(SETTINGS), Clock(), 10, lambda submission, connection: submitted.append(connection)
        )
        sock = await bind(Address("127.0.0.1", 0))
        server.listen(sock)
        client = socket.create_connection(sock.getsockname())
        client.sendall(b"".join(message(f"m{number}") for number in range(100)))
        async with asyncio.timeout(20):
            while not submitted:
                await asyncio.sleep(0)
            client.close()
            await asyncio.sleep(0.05)
            submitted[0].answer(HTTPStatus.ACCEPTED)
            while server.connections:
                await asyncio.sleep(0.01)
        assert len(submitted) == 1
        assert not server.turns
        assert server.request_memory.used_bytes == 0
        server.close()

    asyncio.run(scene())


CLIENT_STEPS = ["message", "half", "rest", "junk", "answer", "let go", "half-close", "gone"]


class ClientModel:
    """A client's connection together with a simple model of the answers that it still needs."""

    def __init__(self) -> None:
        self.submitted: list[tuple[str, ClientConnection]] = []
        self.server = ClientServer(parse_settings(SETTINGS), Skewed(), 10, self.on_submission)
        self.transport = RecordingTransport()
        self.connection = ClientConnection(self.server)
        self.connection.connection_made(self.transport)
        self.requested = 0
        self.answered = 0
        self.is_partial = False
        """Whether half a request has been sent."""
        self.is_open = True
        self.is_readable = True
        """Whether all requests sent so far were well-formed."""

    def on_submission(self, submission: Submission, connection: ClientConnection) -> None:
        """Records a message for a later answer."""
        self.submitted.append((submission.id, connection))

    async def play(self, step: str) -> None:
        """Performs one step if it is possible in the current state."""
        request = message(f"m{self.requested}")
        if step in ("message", "rest") and self.is_partial == (step == "rest"):
            self.connection.data_received(request[20:] if self.is_partial else request)
            self.is_partial = False
            self.requested += 1
        elif step == "half" and not self.is_partial:
            self.connection.data_received(request[:20])
            self.is_partial = True
        elif step == "junk" and not self.is_partial:
            self.connection.data_received(b"what is this\r\n\r\n")
            self.is_readable = False
        elif step == "answer" and len(self.submitted) > self.answered:
            await self.answer()
        elif step == "let go":
            self.close_idle()
        elif step == "gone":
            self.connection.connection_lost(None)
            self.is_open = False
        elif step == "half-close":
            self.connection.eof_received()
            self.is_open = False

    async def answer(self) -> None:
        """Answers the oldest unanswered message."""
        self.submitted[self.answered][1].answer(HTTPStatus.ACCEPTED)
        self.answered += 1
        await asyncio.sleep(0)

    def close_idle(self) -> None:
        """Closes idle connections, which must include this one if it is idle and not new."""
        is_idle = len(self.submitted) == self.answered == self.requested and not self.is_partial
        self.server.close_idle_connections()
        assert self.transport.closed == (is_idle and self.connection.has_sent_request)

    async def end(self) -> None:
        """Answers remaining messages; checks that each whole request was passed on and answered once, in order."""
        assert len(self.submitted) <= self.answered + 1  # one at a time
        while self.is_open and not self.transport.closed and len(self.submitted) > self.answered:
            await self.answer()
        assert [name for name, _ in self.submitted] == [f"m{number}" for number in range(len(self.submitted))]
        if self.is_open:
            assert self.answered == self.requested == self.transport.written.count(b"HTTP/1.1 202")


@profile(derandomize=True, max_examples=150, deadline=None)
@given(steps=st.lists(st.sampled_from(CLIENT_STEPS), max_size=14))
def test_a_clients_connection_owes_each_whole_request_one_answer(steps: list[str]) -> None:
    """Checks that requests are answered once and in order while the connection is open.

    Requests after the close, after malformed data or after the end of the client's stream are not passed on.
    """

    async def run() -> None:
        model = ClientModel()
        for step in steps:
            if model.transport.closed or not model.is_open or not model.is_readable:
                break
            await model.play(step)
        await model.end()

    asyncio.run(run())
