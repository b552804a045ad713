"""Tests answers of endpoints that bring more bytes than belong to them, on real sockets."""

from __future__ import annotations

import asyncio
import json
import os
import socket

import pytest

from forwarder.clients.listener import fileno
from forwarder.decisions.events import AttemptEnded
from forwarder.decisions.outcomes import Outcome
from forwarder.endpoints import idle_connections
from forwarder.endpoints.call import CallItem, EndpointCall, LimitScopeKey
from forwarder.endpoints.pool import ConnectionPool
from tests.endpoints.peers import OK_ANSWER, SocketEndpoint, make_call
from tests.engine_scene import TIME_LEFT_US, play_with_platform
from tests.platforms import Platform

REJECTION = b"HTTP/1.1 429 X\r\nX-RateLimit-Wait-Ms: 700\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
SHUT = b"HTTP/1.1 503 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
NOISE = b"\r\n\0 what is this"
BATCH_IDS = ["a", "b"]


def batch_answer(state: str) -> bytes:
    body = json.dumps([{"id": message_id, "state": state} for message_id in BATCH_IDS]).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


async def until_ended(ends: list[AttemptEnded], count: int) -> None:
    while len(ends) < count:
        await asyncio.sleep(0.002)


async def start_call(endpoint: SocketEndpoint, pool: ConnectionPool, *ids: str) -> socket.socket:
    """Starts a call with these messages, and returns the endpoint's socket of its new connection.

    Each call has a limit scope of its own, so that a Retry-After in one answer does not hold back the next call.
    """
    due_us = pool.clock() + TIME_LEFT_US
    items = [CallItem(message_id, 0, None, b"x", due_us, due_us) for message_id in ids]
    pool.start(EndpointCall(1, LimitScopeKey(ord(ids[0][0]), -1), pool.clock(), items))
    sock, _ = await asyncio.get_running_loop().sock_accept(endpoint.listener)
    sock.setblocking(False)
    await endpoint.request(sock)
    return sock


@pytest.fixture
def long_rest(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets connections rest so long that a busy machine does not start the next call after it."""
    monkeypatch.setattr(idle_connections, "REUSE_DELAY_US", 200_000)


ANSWERS = [
    (["a"], OK_ANSWER, Outcome.DELIVERED),
    (["a"], REJECTION, Outcome.REJECTED),
    (["a"], ERROR, Outcome.FAILED),
    (BATCH_IDS, batch_answer("accepted"), Outcome.DELIVERED),
    (BATCH_IDS, batch_answer("deferred"), Outcome.REJECTED),
]
ANSWER_NAMES = ["delivered", "rejected", "error", "batch delivered", "batch deferred"]


@pytest.mark.parametrize("behind", ["nothing", "an end", "a reset"])
@pytest.mark.parametrize("surplus", [OK_ANSWER, SHUT, NOISE], ids=["a second answer", "a rejection", "noise"])
@pytest.mark.parametrize(("ids", "answer", "outcome"), ANSWERS, ids=ANSWER_NAMES)
def test_bytes_behind_an_answer_change_no_outcome(
    ids: list[str], answer: bytes, outcome: Outcome, surplus: bytes, behind: str
) -> None:
    """Guards against a second send: a stray rejection in the same bytes replaced the delivery (review/2)."""

    async def scene(_: Platform) -> None:
        ends: list[AttemptEnded] = []
        endpoint = SocketEndpoint()
        pool = endpoint.pool(ends)
        first = await start_call(endpoint, pool, *ids)
        first.send(answer + surplus)
        if behind == "a reset":
            await until_ended(ends, len(ids))  # a reset discards what the forwarder has not read
            endpoint.reset(first)
        elif behind == "an end":
            first.shutdown(socket.SHUT_WR)
        await until_ended(ends, len(ids))
        second = await start_call(endpoint, pool, "next")
        second.send(ERROR)
        await until_ended(ends, len(ids) + 1)
        await asyncio.sleep(0.02)
        assert [(end.message_id, end.outcome) for end in ends] == [
            *((message_id, outcome) for message_id in ids),
            ("next", Outcome.FAILED),
        ]
        assert ends[0].retry_after_us == (700_000 if answer == REJECTION else 0)
        pool.close()

    play_with_platform(scene)


def start_next_when_ended(endpoint: SocketEndpoint, ends: list[AttemptEnded]) -> ConnectionPool:
    """Returns a pool that starts the call `next` in the moment in which the first attempt ends."""
    pool = endpoint.pool(ends)

    def end(event: AttemptEnded) -> None:
        ends.append(event)
        if len(ends) == 1:
            asyncio.get_running_loop().call_soon(pool.start, make_call(pool.clock, "next"))

    pool.in_flight.sink = end
    return pool


@pytest.mark.usefixtures("long_rest")
@pytest.mark.parametrize("moment", ["at once", "after the next call is chosen"])
@pytest.mark.parametrize("surplus", [OK_ANSWER, REJECTION, NOISE, b""], ids=["200", "429", "noise", "an end"])
def test_a_call_that_is_chosen_at_once_gets_no_bytes_of_the_call_before(surplus: bytes, moment: str) -> None:
    """Guards against shared bytes: what followed an answer in a later segment was read as that of the next call."""

    async def scene(_: Platform) -> None:
        ends: list[AttemptEnded] = []
        endpoint = SocketEndpoint()
        pool = start_next_when_ended(endpoint, ends)
        first = await start_call(endpoint, pool, "first")
        first.send(OK_ANSWER)
        if moment == "after the next call is chosen":
            await until_ended(ends, 1)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        if surplus:
            first.send(surplus)
        else:
            first.shutdown(socket.SHUT_WR)
        second, _ = await asyncio.get_running_loop().sock_accept(endpoint.listener)
        second.setblocking(False)
        assert b"X-Correlation-Id: next" in await endpoint.request(second)
        assert len(ends) == 1
        second.send(ERROR)
        await until_ended(ends, 2)
        assert [end.outcome for end in ends] == [Outcome.DELIVERED, Outcome.FAILED]
        pool.close()

    play_with_platform(scene)


@pytest.mark.usefixtures("long_rest")
def test_a_call_that_is_chosen_at_once_uses_the_connection_of_the_call_before() -> None:
    async def scene(_: Platform) -> None:
        ends: list[AttemptEnded] = []
        endpoint = SocketEndpoint()
        pool = start_next_when_ended(endpoint, ends)
        first = await start_call(endpoint, pool, "first")
        first.send(OK_ANSWER)
        assert b"X-Correlation-Id: next" in await endpoint.request(first)
        first.send(ERROR)
        await until_ended(ends, 2)
        assert [end.outcome for end in ends] == [Outcome.DELIVERED, Outcome.FAILED]
        assert ends[1].duration_us < idle_connections.REUSE_DELAY_US  # the rest is no part of the endpoint's latency
        assert len(pool.connections) == 1
        pool.close()

    play_with_platform(scene)


@pytest.mark.usefixtures("long_rest")
def test_calls_for_which_no_connection_rests_open_their_own_at_once() -> None:
    async def scene(_: Platform) -> None:
        ends: list[AttemptEnded] = []
        endpoint = SocketEndpoint()
        pool = endpoint.pool(ends)
        first = await start_call(endpoint, pool, "first")
        first.send(OK_ANSWER)
        await until_ended(ends, 1)
        for message_id in "ab":
            pool.start(make_call(pool.clock, message_id))
        second, _ = await asyncio.get_running_loop().sock_accept(endpoint.listener)
        second.setblocking(False)
        assert b"X-Correlation-Id: b" in await endpoint.request(second)
        assert b"X-Correlation-Id: a" in await endpoint.request(first)
        pool.close()

    play_with_platform(scene)


@pytest.mark.usefixtures("long_rest")
def test_a_call_that_waits_for_a_connection_can_be_given_up() -> None:
    async def scene(_: Platform) -> None:
        ends: list[AttemptEnded] = []
        endpoint = SocketEndpoint()
        pool = endpoint.pool(ends)
        first = await start_call(endpoint, pool, "first")
        first.send(OK_ANSWER)
        await until_ended(ends, 1)
        pool.start(make_call(pool.clock, "next"))
        pool.cancel("next", 0)
        await asyncio.sleep(0.3)
        assert [end.outcome for end in ends] == [Outcome.DELIVERED, Outcome.NO_CONNECTION]
        with pytest.raises(BlockingIOError):
            first.recv(1)
        assert not pool.calls_in_flight
        pool.close()

    play_with_platform(scene)


@pytest.mark.usefixtures("long_rest")
@pytest.mark.parametrize("arrival", ["read before", "waits in the kernel", "arrives after"])
def test_surplus_bytes_at_a_hand_over_reach_no_call(arrival: str) -> None:
    """An answer and what follows it, or an idle connection with such bytes, pass to another process."""

    async def scene(_: Platform) -> None:
        endpoint = SocketEndpoint()
        old_ends: list[AttemptEnded] = []
        old = endpoint.pool(old_ends)
        idle_sock = await start_call(endpoint, old, "idle")
        busy_sock = await start_call(endpoint, old, "busy")
        idle_sock.send(OK_ANSWER)
        await until_ended(old_ends, 1)
        if arrival == "read before":
            busy_sock.send(OK_ANSWER[:20])
            await asyncio.sleep(0.02)
        record, connections = old.hand_over()
        sockets = [socket.socket(fileno=os.dup(fileno(each.transport))) for each in connections]
        for each in connections:
            assert each.transport is not None
            each.transport.pause_reading()  # the process that hands over reads no more
        busy_sock.send((OK_ANSWER[20:] if arrival == "read before" else OK_ANSWER) + REJECTION)
        if arrival != "arrives after":
            idle_sock.send(REJECTION)

        ends: list[AttemptEnded] = []
        new = endpoint.pool(ends)
        call = record.calls[0]
        busy = make_call(new.clock, "busy")
        await new.adopt(busy, sockets[call.connection], call.received)
        await new.adopt_idle(1, sockets[record.idle[0].connection], new.clock())
        new.start(make_call(new.clock, "next"))
        if arrival == "arrives after":
            idle_sock.send(REJECTION)
        while True:
            next_sock, _ = await asyncio.get_running_loop().sock_accept(endpoint.listener)
            next_sock.setblocking(False)
            if b"X-Correlation-Id: next" in await endpoint.request(next_sock):
                break
        next_sock.send(ERROR)
        await until_ended(ends, 2)
        outcomes = {end.message_id: end.outcome for end in ends}
        assert outcomes == {"busy": Outcome.DELIVERED, "next": Outcome.FAILED}
        new.close()
        old.close()

    play_with_platform(scene)
