"""Which connection a call takes, and what may still be sent when it has one."""

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


def test_send_that_waits_for_its_connection_never_reaches_an_endpoint_drained_meanwhile() -> None:
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


def test_send_that_waits_for_its_connection_heeds_a_retry_after_that_comes_meanwhile() -> None:
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


def test_what_may_not_be_sent_any_more_stays_when_its_connection_comes_up() -> None:
    """A third of the connections may come up late.

    A repeat left after the window in which endpoints drop it. What else is in the call goes.
    """

    async def scene(platform: Platform) -> None:
        ends: list[AttemptEnded] = []
        clock = Skewed()
        now = clock()

        async def accept(request: Request) -> Answer:
            many = json.loads(request.body) if request.path == "/hook/batch" else []
            return Answer(200, body=json.dumps([{"id": x["id"], "state": "accepted"} for x in many]).encode())

        peer = await Peer(accept).start()
        pool = ConnectionPool(clock, ends.append, (), SECOND_US, SECOND_US, 10)
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        far = now + TIME_LEFT_US
        for alone in (True, False):
            late = CallItem(f"late-{alone}", 0, None, b"x", far, far, send_before_us=clock() + SECOND_US)
            others = [] if alone else [CallItem(name, 0, None, b"x", far, far) for name in "ab"]
            pool.close_idle(1)
            pool.start(EndpointCall(1, LimitScopeKey(7, -1), clock(), [late, *others]))
            clock.set_time(clock() + SECOND_US)  # the dial has not begun yet
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


def test_a_call_that_finds_its_connection_dead_takes_another() -> None:
    """It counted as written, so that what must not run twice was lost though not a byte had left."""

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


def test_connections_are_used_again_and_closed_on_demand() -> None:
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


def test_idle_connection_is_closed_before_its_endpoint_would() -> None:
    """The module closes some by itself; the pool must close what it leaves."""

    async def scene() -> None:
        ends: list[AttemptEnded] = []
        peer = await Peer(always(OK)).start()
        pool = make_pool(ends, 1_000_000)
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        pool.start(make_call(Clock(), "m"))
        await peer.wait_until(lambda: peer.closed == 1)
        assert [end.outcome for end in ends] == [Outcome.DELIVERED]
        assert not pool.idle.by_endpoint
        assert not pool.idle.sweeping

    asyncio.run(scene())


@pytest.mark.parametrize("answered", [False, True])
def test_a_call_that_is_given_up_is_not_handed_over(answered: bool) -> None:
    """The process that takes over would take it for one that never ran, and send its message again."""

    async def scene(platform: Platform) -> None:
        ends: list[AttemptEnded] = []
        wire = SocketEndpoint()
        pool = wire.pool(ends)
        sock = await wire.carry(pool, "a")
        pool.in_flight.timed_out(*pool.in_flight.by_attempt.values())
        if answered:
            sock.send(OK_ANSWER)
        pool.settle()
        record, going = pool.hand_over()
        assert record.calls == ()
        assert going == []
        assert [end.outcome for end in ends] == [Outcome.DELIVERED if answered else Outcome.TIMED_OUT]

    play_with_platform(scene)


def test_a_connect_whose_time_passed_while_the_process_stood_still_says_nothing_of_its_endpoint() -> None:
    """Guards against an outage, and a used attempt, that a standstill of this process has made."""

    async def scene() -> None:
        ends: list[AttemptEnded] = []
        peer = await Peer(always(OK)).start()
        pool = make_pool(ends)
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        pool.start(make_call(pool.clock, "m"))
        await asyncio.sleep(0)
        time.sleep(pool.connect_timeout_us / 1_000_000 + 0.3)  # noqa: ASYNC251 - the process stands still
        async with asyncio.timeout(20):
            while not ends:
                await asyncio.sleep(0.005)
        assert ends[0].outcome in (Outcome.LOCAL_FAILURE, Outcome.DELIVERED)
        pool.close()

    asyncio.run(scene())
