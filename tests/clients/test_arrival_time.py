"""Since when the time of a request counts, while the process is slow."""

from __future__ import annotations

import asyncio
import selectors
import socket
import time
from http import HTTPStatus

import pytest

from forwarder.clients.arrival_time import TimedSelector, event_loop
from forwarder.clients.client_connection import CLIENT_TIMEOUT_US, MAX_PIPELINED_REQUESTS, ClientConnection
from forwarder.clients.listener import bind
from forwarder.clients.server import ClientServer
from forwarder.clients.submission import Submission
from forwarder.config.config import Address
from forwarder.protocol.settings_format import parse_settings
from forwarder.storage.clock import Clock
from forwarder.units import SECOND_US
from tests.nodes import SETTINGS, message
from tests.sockets import PATIENCE

MAX_CONNECTIONS = 8
CROWD = 80
REQUESTS = 10
TURN_S = 0.02
TIME_LEFT_S = 12.0
TOLERANCE_US = 2_000
"""Between the moment at which a request is written, and the test's reading of the clock."""


class SlowLoop:
    """Makes every turn of the event loop take some time."""

    def __init__(self) -> None:
        self.is_slow = True
        asyncio.get_running_loop().call_soon(self._hold_up)

    def _hold_up(self) -> None:
        if self.is_slow:
            time.sleep(TURN_S)
            asyncio.get_running_loop().call_soon(self._hold_up)


def connect(address: tuple[str, int]) -> socket.socket:
    sock = socket.create_connection(address)
    sock.setblocking(False)
    return sock


def test_the_time_of_a_request_goes_on_while_a_crowd_is_before_it_in_the_queue() -> None:
    """Guards against `lost`: a request that had waited for its accept was given that much time too much."""

    async def scene() -> None:
        clock = Clock()
        read: list[tuple[Submission, int]] = []

        def on_submission(submission: Submission, connection: ClientConnection) -> None:
            read.append((submission, clock()))
            connection.answer(HTTPStatus.ACCEPTED)

        server = ClientServer(parse_settings(SETTINGS), clock, MAX_CONNECTIONS, on_submission)
        sock = await bind(Address("127.0.0.1", 0))
        server.listen(sock)
        address = sock.getsockname()
        crowd = [connect(address) for _ in range(CROWD)]
        clients = []
        sent_us = {}
        for number in range(REQUESTS):
            clients.append(connect(address))
            clients[-1].send(message(f"m{number}", left=str(TIME_LEFT_S)))
            sent_us[f"m{number}"] = clock()
        slow_loop = SlowLoop()
        async with asyncio.timeout(PATIENCE):
            while len(read) < REQUESTS:
                await asyncio.sleep(0)
        slow_loop.is_slow = False
        assert max(read_us - sent_us[submission.id] for submission, read_us in read) > 4 * TURN_S * SECOND_US
        for submission, read_us in read:
            sent_at_the_earliest_us = max(sent_us[submission.id], read_us - CLIENT_TIMEOUT_US)
            assert submission.due_us <= sent_at_the_earliest_us + TIME_LEFT_S * SECOND_US + TOLERANCE_US
        for each in crowd + clients:
            each.close()
        server.close()

    with asyncio.Runner(loop_factory=event_loop) as runner:
        runner.run(scene())


@pytest.mark.parametrize("was_accepted", [False, True], ids=["queued", "accepted"])
def test_the_time_of_a_request_goes_on_while_its_connection_is_handed_over(was_accepted: bool) -> None:
    """Guards against `lost`: what another process had not served yet was taken for just come."""

    async def scene() -> None:
        clock = Clock()
        submitted: list[Submission] = []
        server = ClientServer(
            parse_settings(SETTINGS), clock, MAX_CONNECTIONS, lambda submission, _: submitted.append(submission)
        )
        sock = await bind(Address("127.0.0.1", 0))
        sock.listen()
        client = connect(sock.getsockname())
        client.send(message("m", left=str(TIME_LEFT_S)))
        sent_us = clock()
        await asyncio.sleep(0.2)
        if was_accepted:
            await server.adopt(sock.accept()[0], None)
        else:
            server.listen(sock, handed_over=True)
        async with asyncio.timeout(PATIENCE):
            while not submitted:
                await asyncio.sleep(0)
        assert submitted[0].due_us <= sent_us + TIME_LEFT_S * SECOND_US + TOLERANCE_US
        client.close()
        sock.close()
        server.close()

    with asyncio.Runner(loop_factory=event_loop) as runner:
        runner.run(scene())


def test_the_time_of_a_request_goes_on_between_the_accept_of_its_connection_and_its_first_turn() -> None:
    """Guards against `lost`: the turns of the event loop between accept and the first read were not counted."""

    async def scene() -> None:
        clock = Clock()
        submitted: list[Submission] = []
        server = ClientServer(
            parse_settings(SETTINGS), clock, MAX_CONNECTIONS, lambda submission, _: submitted.append(submission)
        )
        sock = await bind(Address("127.0.0.1", 0))
        server.listen(sock)
        client = connect(sock.getsockname())
        client.send(message("m", left=str(TIME_LEFT_S)))
        sent_us = clock()
        slow_loop = SlowLoop()
        async with asyncio.timeout(PATIENCE):
            while not submitted:
                await asyncio.sleep(0)
        slow_loop.is_slow = False
        assert clock() - sent_us > 2 * TURN_S * SECOND_US
        assert submitted[0].due_us <= sent_us + TIME_LEFT_S * SECOND_US + TOLERANCE_US
        client.close()
        server.close()

    with asyncio.Runner(loop_factory=event_loop) as runner:
        runner.run(scene())


def test_a_request_long_after_a_pause_is_not_taken_for_one_of_the_pause() -> None:
    """Guards against a request refused as late that came long after its connection was read again."""

    async def scene() -> None:
        clock = Clock()
        submitted: list[tuple[Submission, ClientConnection]] = []
        server = ClientServer(
            parse_settings(SETTINGS), clock, MAX_CONNECTIONS, lambda *submission: submitted.append(submission)
        )
        sock = await bind(Address("127.0.0.1", 0))
        server.listen(sock)
        client = connect(sock.getsockname())
        pipelined = MAX_PIPELINED_REQUESTS + 1
        client.send(b"".join(message(f"m{number}") for number in range(pipelined)))
        async with asyncio.timeout(PATIENCE):
            for number in range(pipelined):
                while len(submitted) <= number:
                    await asyncio.sleep(0)
                submitted[number][1].answer(HTTPStatus.ACCEPTED)
            await asyncio.sleep(0.3)
            sent_us = clock()
            client.send(message("later", left=str(TIME_LEFT_S)))
            while len(submitted) <= pipelined:
                await asyncio.sleep(0)
        assert submitted[-1][0].due_us >= sent_us + TIME_LEFT_S * SECOND_US - TOLERANCE_US
        client.close()
        server.close()

    with asyncio.Runner(loop_factory=event_loop) as runner:
        runner.run(scene())


@pytest.mark.parametrize("timeout_s", [0.0, 1.0, None])
def test_what_lay_there_as_a_poll_began_is_no_younger_though_the_poll_was_held_up(timeout_s: float | None) -> None:
    """Guards against a request given too much time: a poll that lost the processor was taken for one that waited."""
    selector = TimedSelector()
    ours, other = socket.socketpair()
    selector.register(ours, selectors.EVENT_READ)
    poll = selector._selector.poll

    def held_up(*arguments: float) -> list[tuple[int, int]]:
        ready = poll(*arguments)
        time.sleep(0.005)
        return ready

    selector.select(0.0)
    selector._selector.poll = held_up  # type: ignore[method-assign]
    other.send(b"x")
    sent_ns = time.monotonic_ns()
    time.sleep(TURN_S)
    assert selector.select(timeout_s)
    assert selector.earliest_ns <= sent_ns
    selector.close()
    ours.close()
    other.close()
