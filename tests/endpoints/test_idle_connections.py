"""Tests which idle connections are kept and which are closed."""

from __future__ import annotations

import asyncio

from forwarder.endpoints.connection import EndpointConnection
from forwarder.endpoints.idle_connections import MAX_IDLE_PER_ENDPOINT, REUSE_DELAY_US, IdleConnections
from forwarder.runtime.supervisor import Supervisor
from tests.endpoints.peers import FullSocket, HalfWrittenTransport, make_pool


class ClosableTransport(HalfWrittenTransport):
    """A transport that records whether it was closed."""

    closed = False

    def abort(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed


def make_connection() -> EndpointConnection:
    connection = EndpointConnection(make_pool([]), FullSocket())
    connection.connection_made(ClosableTransport())
    return connection


def make_idle_connections(now_us: list[int]) -> IdleConnections:
    idle = IdleConnections(lambda: now_us[0], Supervisor())
    idle.timeout_us = 1_000_000
    return idle


def test_the_most_recently_used_connection_is_taken_first() -> None:
    async def scene() -> None:
        idle = make_idle_connections([0])
        first, second = make_connection(), make_connection()

        idle.add(first, 1)
        idle.add(second, 1)

        assert [idle.pop(1), idle.pop(1), idle.pop(1), idle.pop(2)] == [second, first, None, None]

    asyncio.run(scene())


def test_a_connection_rests_after_an_answer_and_not_before_its_first_call() -> None:
    async def scene() -> None:
        now_us = [0]
        idle = make_idle_connections(now_us)
        answered, new = make_connection(), make_connection()
        answered.has_carried_call = True
        idle.add(new, 1)
        idle.add(answered, 1)

        assert idle.has_resting(1)
        assert [idle.pop(1), idle.pop(1)] == [new, None]
        now_us[0] = REUSE_DELAY_US - 1
        assert idle.pop(1) is None
        now_us[0] = REUSE_DELAY_US
        assert not idle.has_resting(1)
        assert idle.pop(1) is answered

    asyncio.run(scene())


def test_no_more_calls_wait_than_connections_rest() -> None:
    async def scene() -> None:
        idle = make_idle_connections([0])
        connection = make_connection()
        connection.has_carried_call = True
        idle.add(connection, 1)

        waiting = asyncio.create_task(idle.rest(1))
        await asyncio.sleep(0)
        assert not idle.has_resting(1)
        await waiting
        assert idle.has_resting(1)

    asyncio.run(scene())


def test_a_limited_number_of_connections_is_kept_for_each_endpoint() -> None:
    async def scene() -> None:
        idle = make_idle_connections([0])
        connections = [make_connection() for _ in range(MAX_IDLE_PER_ENDPOINT + 1)]

        for connection in connections:
            idle.add(connection, 1)

        assert [connection.is_closing() for connection in connections] == [False] * MAX_IDLE_PER_ENDPOINT + [True]

    asyncio.run(scene())


def test_the_connection_with_the_longest_idle_time_is_closed_to_make_room() -> None:
    async def scene() -> None:
        now_us = [0]
        idle = make_idle_connections(now_us)
        oldest, newer = make_connection(), make_connection()
        idle.add(oldest, 2)
        now_us[0] = 10
        idle.add(newer, 1)

        assert idle.close_longest_idle()
        assert oldest.is_closing()
        assert not newer.is_closing()
        assert idle.close_longest_idle()
        assert not idle.close_longest_idle()

    asyncio.run(scene())
