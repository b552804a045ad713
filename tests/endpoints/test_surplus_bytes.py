"""Tests answers of endpoints that bring more bytes than belong to them, on real sockets."""

from __future__ import annotations

import asyncio
import json
import socket

import pytest

from forwarder.decisions.events import AttemptEnded
from forwarder.decisions.outcomes import Outcome
from forwarder.endpoints.call import CallItem, EndpointCall, LimitScopeKey
from forwarder.endpoints.pool import ConnectionPool
from tests.endpoints.peers import OK_ANSWER, SocketEndpoint
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
