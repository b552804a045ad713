"""Tests from when the remaining time of a request counts while the process is slow."""

from __future__ import annotations

import asyncio
import selectors
import socket
import time
from http import HTTPStatus

import pytest

from forwarder.clients.arrival_time import TimedSelector, event_loop
from forwarder.clients.client_connection import CLIENT_TIMEOUT_US, ClientConnection
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
PIPELINED_REQUESTS = 9
CONNECTIONS_AHEAD = 80
REQUESTS = 10
ITERATION_S = 0.02
TIME_LEFT_S = 12.0
TOLERANCE_US = 2_000
"""Largest allowed difference between the write of a request and the test's reading of the clock."""


class SlowLoop:
    """Makes every iteration of the event loop last at least ITERATION_S."""

    def __init__(self) -> None:
        self.is_slow = True
        asyncio.get_running_loop().call_soon(self._block)

    def _block(self) -> None:
        if self.is_slow:
            time.sleep(ITERATION_S)
            asyncio.get_running_loop().call_soon(self._block)


def connect(address: tuple[str, int]) -> socket.socket:
    sock = socket.create_connection(address)
    sock.setblocking(False)
    return sock


def test_the_time_of_a_request_counts_while_many_connections_are_ahead_of_it_in_the_queue() -> None:
    """Guards against `lost`: the time that a connection waited for its accept was added to the request's deadline."""

    async def scene() -> None:
        clock = Clock()
        submissions: list[tuple[Submission, int]] = []

        def on_submission(submission: Submission, connection: ClientConnection) -> None:
            submissions.append((submission, clock()))
            connection.answer(HTTPStatus.ACCEPTED)

        server = ClientServer(parse_settings(SETTINGS), clock, MAX_CONNECTIONS, on_submission)
        sock = await bind(Address("127.0.0.1", 0))
        server.listen(sock)
        address = sock.getsockname()
        connections_ahead = [connect(address) for _ in range(CONNECTIONS_AHEAD)]
        clients = []
        sent_us = {}
        for number in range(REQUESTS):
            clients.append(connect(address))
            clients[-1].send(message(f"m{number}", left=str(TIME_LEFT_S)))
            sent_us[f"m{number}"] = clock()
        slow_loop = SlowLoop()
        async with asyncio.timeout(PATIENCE):
            while len(submissions) < REQUESTS:
                await asyncio.sleep(0)
        slow_loop.is_slow = False
        assert (
            max(read_us - sent_us[submission.id] for submission, read_us in submissions) > 4 * ITERATION_S * SECOND_US
        )
        for submission, read_us in submissions:
            earliest_sent_us = max(sent_us[submission.id], read_us - CLIENT_TIMEOUT_US)
            assert submission.due_us <= earliest_sent_us + TIME_LEFT_S * SECOND_US + TOLERANCE_US
        for each in connections_ahead + clients:
            each.close()
        server.close()

    with asyncio.Runner(loop_factory=event_loop) as runner:
        runner.run(scene())


@pytest.mark.parametrize("was_accepted", [False, True], ids=["queued", "accepted"])
def test_the_time_of_a_request_counts_while_its_connection_is_handed_over(was_accepted: bool) -> None:
    """Guards against `lost`: a request on a handed-over connection that was not yet served counted as just arrived."""

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


def test_the_time_of_a_request_counts_between_the_accept_of_its_connection_and_the_first_read() -> None:
    """Guards against `lost`: the iterations of the event loop between accept and first read were not counted."""

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
        assert clock() - sent_us > 2 * ITERATION_S * SECOND_US
        assert submitted[0].due_us <= sent_us + TIME_LEFT_S * SECOND_US + TOLERANCE_US
        client.close()
        server.close()

    with asyncio.Runner(loop_factory=event_loop) as runner:
        runner.run(scene())


def test_a_request_long_after_a_pause_does_not_count_as_arrived_during_the_pause() -> None:
    """Guards against a wrong rejection as late: a request arrived long after reading from its connection resumed."""

    async def scene() -> None:
        clock = Clock()
        submitted: list[tuple[Submission, ClientConnection]] = []
        server = ClientServer(
            parse_settings(SETTINGS), clock, MAX_CONNECTIONS, lambda *submission: submitted.append(submission)
        )
        sock = await bind(Address("127.0.0.1", 0))
        server.listen(sock)
        client = connect(sock.getsockname())
        pipelined = PIPELINED_REQUESTS
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
def test_data_present_at_the_start_of_a_delayed_poll_does_not_count_as_arrived_later(timeout_s: float | None) -> None:
    """Guards against a deadline that is too late: a poll that lost the processor was taken for one that waited."""
    selector = TimedSelector()
    reader, writer = socket.socketpair()
    selector.register(reader, selectors.EVENT_READ)
    poll = selector._selector.poll

    def delayed_poll(*arguments: float) -> list[tuple[int, int]]:
        ready = poll(*arguments)
        time.sleep(0.005)
        return ready

    selector.select(0.0)
    selector._selector.poll = delayed_poll  # type: ignore[method-assign]
    writer.send(b"x")
    sent_ns = time.monotonic_ns()
    time.sleep(ITERATION_S)
    assert selector.select(timeout_s)
    assert selector.earliest_ns <= sent_ns
    selector.close()
    reader.close()
    writer.close()
