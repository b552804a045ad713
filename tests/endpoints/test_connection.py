"""Tests the outcome of a call for the data that its connection reads and for the end of the connection."""

from __future__ import annotations

import asyncio
import json
import socket

import pytest

from forwarder.config.config import Address
from forwarder.decisions.events import (
    AttemptEnded,
)
from forwarder.decisions.outcomes import Outcome
from forwarder.endpoints.call import CallItem, EndpointCall, LimitScopeKey
from forwarder.endpoints.connection import EndpointConnection
from forwarder.storage.clock import Clock
from tests.endpoints.peers import OK_ANSWER, FullSocket, HalfWrittenTransport, SocketEndpoint, make_call, make_pool
from tests.engine_scene import play_with_platform
from tests.platforms import Platform
from tests.sockets import PATIENCE, Answer, Peer, Request, always


def test_a_call_whose_connection_breaks_before_its_last_byte_is_written_never_ran() -> None:
    async def scene() -> None:
        ends: list[AttemptEnded] = []
        pool = make_pool(ends)
        pool.update_addresses({1: Address("127.0.0.1", 9)})
        for drained in (False, True):
            connection = EndpointConnection(pool, FullSocket())
            connection.connection_made(HalfWrittenTransport())
            pool.keep_idle(connection, 1)
            pool.start(make_call(Clock(), "m"))
            if drained:
                connection.resume_writing()
            connection.connection_lost(None)
        assert [end.outcome for end in ends] == [Outcome.NO_CONNECTION, Outcome.RESET]
        pool.idle.by_endpoint.clear()

    asyncio.run(scene())


def test_an_idle_connection_keeps_nothing_of_the_last_answer() -> None:
    """Found with issue 61 (a): each idle connection kept up to 64 kB twice until its next call."""

    async def scene() -> None:
        ends: list[AttemptEnded] = []
        peer = await Peer(always(Answer(200, body=b"x" * 60_000))).start()
        pool = make_pool(ends)
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        pool.start(make_call(Clock(), "m"))
        async with asyncio.timeout(PATIENCE):
            while not ends:
                await asyncio.sleep(0.01)
        (connection,) = pool.connections
        assert not connection.is_closing()
        assert not connection.received
        assert not connection.reader.body
        pool.close()

    asyncio.run(scene())


def test_an_answer_without_a_length_ends_with_its_connection() -> None:
    """Guards against a wrong outcome: a fully delivered batch was taken for a broken call that may have run."""

    async def scene() -> None:
        ends: list[AttemptEnded] = []

        async def answer(request: Request) -> None:
            if request.path == "/hook":
                request.writer.write(b"HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 700\r\n\r\nno")
            else:
                states = [{"id": x["id"], "state": "accepted"} for x in json.loads(request.body)]
                request.writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + json.dumps(states).encode())

        peer = await Peer(answer).start()
        pool, now = make_pool(ends), Clock()()
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        pool.start(
            EndpointCall(
                1, LimitScopeKey(7, -1), now, [CallItem(name, 0, None, b"x", now + 10**7, now + 10**7) for name in "ab"]
            )
        )
        async with asyncio.timeout(PATIENCE):
            while len(ends) < 2:
                await asyncio.sleep(0.01)
            pool.start(make_call(Clock(), "c"))
            while len(ends) < 3:
                await asyncio.sleep(0.01)
        assert [(end.message_id, end.outcome) for end in ends] == [
            ("a", Outcome.DELIVERED),
            ("b", Outcome.DELIVERED),
            ("c", Outcome.REJECTED),
        ]
        assert ends[2].retry_after_us == 700_000
        assert not pool.idle.by_endpoint.get(1)
        pool.close()

    asyncio.run(scene())


def test_the_rest_of_an_answer_in_pieces_is_awaited() -> None:
    async def scene() -> None:
        ends: list[AttemptEnded] = []

        async def send_in_pieces(request: Request) -> None:
            for byte in b"HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 700\r\nContent-Length: 2\r\n\r\nab":
                request.writer.write(bytes([byte]))
                await asyncio.sleep(0.01)
            await asyncio.sleep(3600)

        peer = await Peer(send_in_pieces).start()
        pool = make_pool(ends)
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        pool.start(make_call(Clock(), "m", 60_000_000))
        async with asyncio.timeout(PATIENCE):
            while not ends:
                await asyncio.sleep(0.01)
        assert (ends[0].outcome, ends[0].retry_after_us) == (Outcome.REJECTED, 700_000)
        assert len(pool.idle.by_endpoint[1]) == 1
        pool.close()

    asyncio.run(scene())


@pytest.mark.parametrize("crossing", ["half a line", "a second answer", "an end", "a reset"])
def test_a_call_does_not_use_a_connection_with_pending_input(crossing: str) -> None:
    """Guards against two wrong outcomes from input that was pending before the call.

    Unrequested data was taken for the answer to the next call, and an end of stream for the loss of a call that may
    have run.
    """

    async def scene(platform: Platform) -> None:
        ends: list[AttemptEnded] = []
        endpoint = SocketEndpoint()
        pool = endpoint.pool(ends)
        first = await endpoint.start_call(pool, "a")
        first.send(OK_ANSWER)
        while not ends:
            await asyncio.sleep(0.005)
        if crossing == "half a line":
            first.send(b"HTTP/1.1 4")
        elif crossing == "a second answer":
            first.send(OK_ANSWER)
        elif crossing == "an end":
            first.shutdown(socket.SHUT_WR)
        else:
            endpoint.reset(first)
        second = await endpoint.start_call(pool, "b")
        assert len(ends) == 1
        second.send(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
        while len(ends) < 2:
            await asyncio.sleep(0.005)
        assert ends[1].outcome is Outcome.FAILED
        pool.close()

    play_with_platform(scene)


CUT_ANSWERS = [
    (b"", Outcome.RESET),
    (b"HTTP/1.1 2", Outcome.UNREADABLE),
    (b"HTTP/1.1 429 X\r\nX-RateLimit", Outcome.UNREADABLE),
    (b"HTTP/1.1 200 OK\r\nContent-Le", Outcome.DELIVERED),
    (OK_ANSWER, Outcome.DELIVERED),
    (b"what is this", Outcome.UNREADABLE),
]


@pytest.mark.parametrize("broken", ["reset", "end"])
@pytest.mark.parametrize(("answer", "outcome"), CUT_ANSWERS)
def test_the_status_line_alone_decides_the_outcome_of_a_truncated_answer(
    broken: str, answer: bytes, outcome: Outcome
) -> None:
    """Resets or ends the connection after the last byte of the call, within the answer and after its last byte.

    A reset may discard bytes that the forwarder has not read; the outcome then depends on the bytes that were read.
    """

    async def scene(platform: Platform) -> None:
        ends: list[AttemptEnded] = []
        endpoint = SocketEndpoint()
        pool = endpoint.pool(ends)
        sock = await endpoint.start_call(pool, "a")
        if answer:
            sock.send(answer)
            while not ends and not any(
                c.connection and c.connection.received == answer for c in pool.in_flight.by_attempt.values()
            ):
                await asyncio.sleep(0.002)
        if broken == "reset":
            endpoint.reset(sock)
        else:
            sock.close()
        while not ends:
            await asyncio.sleep(0.005)
        assert [end.outcome for end in ends] == [outcome]
        pool.close()

    play_with_platform(scene)
