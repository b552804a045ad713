"""Tests which connection a call uses and which messages may still be sent once it is established."""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from forwarder.config.config import Address
from forwarder.decisions.events import (
    AttemptEnded,
)
from forwarder.decisions.outcomes import Outcome
from forwarder.endpoints.call import CallItem, EndpointCall, LimitScopeKey
from forwarder.endpoints.connection import EndpointConnection
from forwarder.endpoints.pool import ConnectionPool
from forwarder.storage.clock import Clock
from tests.endpoints.peers import OK_ANSWER, DeadTransport, FullSocket, SocketEndpoint, make_call, make_pool
from tests.engine_scene import SECOND_US, TIME_LEFT_US, play_with_platform
from tests.platforms import Platform
from tests.sockets import OK, Answer, Peer, Request, Skewed, always


def test_a_call_that_waits_for_its_connection_is_not_sent_to_an_endpoint_removed_meanwhile() -> None:
    async def scene() -> None:
        ends: list[AttemptEnded] = []
        peer = await Peer(always(OK)).start()
        pool = make_pool(ends)
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        pool.start(make_call(Clock(), "m"))
        pool.update_addresses({})
        await peer.wait_until(lambda: peer.closed == 1)
        assert not peer.requests
        assert [end.outcome for end in ends] == [Outcome.NOT_SENT]
        assert pool.calls_in_flight == 0

    asyncio.run(scene())


def test_a_call_that_waits_for_its_connection_respects_a_retry_after_received_meanwhile() -> None:
    async def scene() -> None:
        ends: list[AttemptEnded] = []
        peer = await Peer(always(Answer(429, {"X-RateLimit-Wait-Ms": "60000"}), OK)).start()
        pool = make_pool(ends)
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        pool.start(make_call(Clock(), "a"))
        while not ends:
            await asyncio.sleep(0.005)
        assert ends[0].retry_after_us == 60_000_000
        pool.close_idle(1)
        pool.start(make_call(Clock(), "b"))
        while len(ends) < 2:
            await asyncio.sleep(0.005)
        assert ends[1].outcome is Outcome.NOT_SENT
        assert len(peer.requests) == 1
        pool.close()

    asyncio.run(scene())


def test_a_message_that_may_no_longer_be_sent_is_not_sent_when_its_connection_is_established() -> None:
    """Guards against a repeat that was sent after the window in which endpoints drop repeats.

    A third of the connections may be established late. The other messages of the call are sent.
    """

    async def scene(platform: Platform) -> None:
        ends: list[AttemptEnded] = []
        clock = Skewed()
        now = clock()

        async def accept(request: Request) -> Answer:
            entries = json.loads(request.body) if request.path == "/hook/batch" else []
            return Answer(200, body=json.dumps([{"id": x["id"], "state": "accepted"} for x in entries]).encode())

        peer = await Peer(accept).start()
        pool = ConnectionPool(clock, ends.append, (), SECOND_US, SECOND_US, 10)
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        deadline_us = now + TIME_LEFT_US
        for alone in (True, False):
            late = CallItem(
                f"late-{alone}", 0, None, b"x", deadline_us, deadline_us, send_before_us=clock() + SECOND_US
            )
            others = [] if alone else [CallItem(name, 0, None, b"x", deadline_us, deadline_us) for name in "ab"]
            pool.close_idle(1)
            pool.start(EndpointCall(1, LimitScopeKey(7, -1), clock(), [late, *others]))
            clock.set_time(clock() + SECOND_US)  # the connect has not started yet
            while pool.calls_in_flight:
                await asyncio.sleep(0.005)
        assert [(end.message_id, end.outcome) for end in ends] == [
            ("late-True", Outcome.NOT_SENT),
            ("late-False", Outcome.NOT_SENT),
            ("a", Outcome.DELIVERED),
            ("b", Outcome.DELIVERED),
        ]
        assert [r.path for r in peer.requests] == ["/hook/batch"]
        pool.close()

    play_with_platform(scene)


def test_a_call_that_finds_its_connection_dead_uses_another() -> None:
    """Guards against a lost message that must not run twice: its call counted as written, but no byte was sent."""

    async def scene() -> None:
        ends: list[AttemptEnded] = []
        peer = await Peer(always(OK)).start()
        pool = make_pool(ends)
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        for _ in range(2):
            connection = EndpointConnection(pool, FullSocket())
            connection.connection_made(DeadTransport())
            pool.keep_idle(connection, 1)
        pool.start(make_call(Clock(), "m"))
        async with asyncio.timeout(20):
            while not ends:
                await asyncio.sleep(0.005)
        assert [end.outcome for end in ends] == [Outcome.DELIVERED]
        assert len(peer.requests) == 1
        pool.close()

    asyncio.run(scene())


def test_connections_are_reused_and_closed_on_demand() -> None:
    async def scene() -> None:
        ends: list[AttemptEnded] = []
        peer = await Peer(always(OK)).start()
        pool = make_pool(ends)
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        for n in range(3):
            pool.start(make_call(Clock(), f"m{n}"))
            while len(ends) <= n:
                await asyncio.sleep(0.005)
        assert len({r.writer for r in peer.requests}) == 1
        pool.close_idle(1)
        await peer.wait_until(lambda: peer.closed == 1)
        pool.close()

    asyncio.run(scene())


def test_an_idle_connection_is_closed_before_its_endpoint_would_close_it() -> None:
    """The decisions close some idle connections; the pool must close the others."""

    async def scene() -> None:
        ends: list[AttemptEnded] = []
        peer = await Peer(always(OK)).start()
        pool = make_pool(ends, 1_000_000)
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        pool.start(make_call(Clock(), "m"))
        await peer.wait_until(lambda: peer.closed == 1)
        assert [end.outcome for end in ends] == [Outcome.DELIVERED]
        assert not pool.idle.by_endpoint
        assert not pool.idle.sweep_timer

    asyncio.run(scene())


@pytest.mark.parametrize("answered", [False, True])
def test_a_call_that_is_given_up_is_not_handed_over(answered: bool) -> None:
    """Otherwise the new process would assume that the call never ran and send its message again."""

    async def scene(platform: Platform) -> None:
        ends: list[AttemptEnded] = []
        endpoint = SocketEndpoint()
        pool = endpoint.pool(ends)
        sock = await endpoint.start_call(pool, "a")
        pool.in_flight.timed_out(*pool.in_flight.by_attempt.values())
        if answered:
            sock.send(OK_ANSWER)
        pool.settle()
        record, connections = pool.hand_over()
        assert record.calls == ()
        assert connections == []
        assert [end.outcome for end in ends] == [Outcome.DELIVERED if answered else Outcome.TIMED_OUT]

    play_with_platform(scene)


def test_a_connect_that_timed_out_during_a_stall_of_the_process_does_not_count_against_its_endpoint() -> None:
    """Guards against an outage and a used attempt that were caused by a stall of this process."""

    async def scene() -> None:
        ends: list[AttemptEnded] = []
        peer = await Peer(always(OK)).start()
        pool = make_pool(ends)
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        pool.start(make_call(pool.clock, "m"))
        await asyncio.sleep(0)
        time.sleep(pool.connect_timeout_us / 1_000_000 + 0.3)  # noqa: ASYNC251 - stalls the process
        async with asyncio.timeout(20):
            while not ends:
                await asyncio.sleep(0.005)
        assert ends[0].outcome in (Outcome.LOCAL_FAILURE, Outcome.DELIVERED)
        pool.close()

    asyncio.run(scene())
