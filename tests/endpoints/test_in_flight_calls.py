"""Tests the time-outs of calls and that each attempt ends once."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import Callable

import pytest
from hypothesis import example, given
from hypothesis import settings as profile
from hypothesis import strategies as st

from forwarder.config.config import Address
from forwarder.decisions.events import AttemptEnded
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.timer_queue import MIN_RECHECK_US
from forwarder.endpoints.call import CallItem, EndpointCall, LimitScopeKey
from forwarder.endpoints.connection import EndpointConnection
from forwarder.endpoints.in_flight_calls import DELIVERY_MARGIN_US
from forwarder.endpoints.pool import ConnectionPool
from forwarder.storage.clock import Clock
from tests.endpoints.peers import OK_ANSWER, FullSocket, SocketEndpoint, make_call, make_pool
from tests.engine_scene import SECOND_US, TIME_LEFT_US, RecordingTransport, play_with_platform
from tests.platforms import Platform
from tests.sockets import OK, PATIENCE, Answer, Peer, Request, Skewed, hang


def test_a_message_delivered_within_the_margin_is_given_up_immediately() -> None:
    """Checks that a delivery that may not count leaves too little time before the deadline for another call."""
    assert DELIVERY_MARGIN_US <= MIN_RECHECK_US


@pytest.mark.parametrize(
    ("before_us", "is_final"),
    [
        (2 * SECOND_US, True),
        (DELIVERY_MARGIN_US + 5_000, True),
        (DELIVERY_MARGIN_US - 5_000, False),
        (1_000, False),
        (-1_000, False),
    ],
)
def test_a_delivery_reported_close_to_the_deadline_is_not_final(before_us: int, is_final: bool) -> None:
    """A message's time begins when its client sends it, before it is read; the platform may have counted it as late."""

    async def scene(platform: Platform) -> None:
        ends: list[AttemptEnded] = []
        clock = Skewed()
        due = clock() + TIME_LEFT_US

        async def answer(request: Request) -> Answer:
            clock.set_time(due - before_us)
            return OK

        peer = await Peer(answer).start()
        pool = ConnectionPool(clock, ends.append, (), SECOND_US, SECOND_US, 10)
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        pool.start(EndpointCall(1, LimitScopeKey(7, -1), clock(), [CallItem("m", 0, None, b"x", due, due)]))
        while not ends:
            await asyncio.sleep(0.005)
        assert [(end.outcome, end.is_final) for end in ends] == [(Outcome.DELIVERED, is_final)]
        pool.close()

    play_with_platform(scene)


def test_a_time_out_closes_the_connection_and_ends_the_call() -> None:
    async def scene() -> None:
        ends: list[AttemptEnded] = []
        peer = await Peer(hang).start()
        pool = make_pool(ends)
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        pool.start(make_call(Clock(), "m", 150_000))
        await peer.wait_for_requests(1)
        assert pool.calls_in_flight == 1
        assert not ends
        while not ends:
            await asyncio.sleep(0.01)
        assert ends[0].outcome is Outcome.TIMED_OUT
        assert not ends[0].is_final
        while pool.connections:
            await asyncio.sleep(0.01)
        assert pool.calls_in_flight == 0
        assert not pool.in_flight.by_attempt
        assert not pool.idle.by_endpoint
        pool.start(make_call(Clock(), "n"))
        await peer.wait_for_requests(2)
        pool.cancel("n", 0)
        while len(ends) < 2:  # reported when its connection has ended
            await asyncio.sleep(0.01)
        assert ends[1].outcome is Outcome.CANCELED
        assert pool.calls_in_flight == 0
        assert not pool.connections
        pool.close()

    asyncio.run(scene())


@pytest.mark.parametrize(
    ("begun", "outcome"),
    [
        (b"HTTP/1.1 200 OK\r\n", Outcome.DELIVERED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", Outcome.DELIVERED),
        (b"HTTP/1.1 200 O", Outcome.UNREADABLE),
        (b"HTTP/1.1 503 No\r\nContent-Length: 5\r\n\r\nab", Outcome.UNREADABLE),
    ],
)
def test_a_stalled_answer_occupies_no_slot(begun: bytes, outcome: Outcome) -> None:
    """The endpoint keeps the connection open, and the time-out of the call is one minute."""

    async def scene() -> None:
        ends: list[AttemptEnded] = []

        async def stall(request: Request) -> None:
            request.writer.write(begun)
            await asyncio.sleep(3600)

        peer = await Peer(stall).start()
        pool = make_pool(ends)
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        pool.start(make_call(Clock(), "m", 60_000_000))
        async with asyncio.timeout(PATIENCE):
            while not ends:
                await asyncio.sleep(0.01)
        assert [(end.outcome, end.is_final) for end in ends] == [(outcome, outcome is Outcome.DELIVERED)]
        assert pool.calls_in_flight == 0
        assert not pool.in_flight.by_attempt
        pool.close()

    asyncio.run(scene())


def test_no_message_of_a_call_times_out_while_the_call_still_carries_it() -> None:
    """Guards against a duplicate: the decisions sent a message again while the first call still carried it."""

    async def scene() -> None:
        ends: list[AttemptEnded] = []
        release = asyncio.Event()

        async def slow(request: Request) -> Answer:
            await release.wait()
            states = [{"id": x["id"], "state": "accepted"} for x in json.loads(request.body)]
            return Answer(200, body=json.dumps(states).encode())

        peer = await Peer(slow).start()
        pool, now = make_pool(ends), Clock()()
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        pool.start(
            EndpointCall(
                1,
                LimitScopeKey(7, -1),
                now,
                [
                    CallItem("short", 0, None, b"x", now + 100_000, now + 60 * 10**6),
                    CallItem("long", 0, None, b"x", now + 60 * 10**6, now + 60 * 10**6),
                ],
            )
        )
        await peer.wait_for_requests(1)
        await asyncio.sleep(0.2)
        assert not ends
        release.set()
        while pool.calls_in_flight:
            await asyncio.sleep(0.01)
        assert [(end.message_id, end.outcome) for end in ends] == [
            ("short", Outcome.DELIVERED),
            ("long", Outcome.DELIVERED),
        ]
        pool.close()

    asyncio.run(scene())


def test_no_call_carries_a_message_past_its_deadline() -> None:
    """Guards against a broken key order: the end of a message was reported while its call was still in flight.

    The next message of its key was then sent concurrently.
    """

    async def scene() -> None:
        ends: list[AttemptEnded] = []
        peer = await Peer(hang).start()
        pool, now = make_pool(ends), Clock()()
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        pool.start(
            EndpointCall(
                1,
                LimitScopeKey(7, -1),
                now,
                [
                    CallItem("due", 0, None, b"x", now + 100_000, now + 200_000),
                    CallItem("long", 0, None, b"x", now + 60 * 10**6, now + 60 * 10**6),
                ],
            )
        )
        while not ends:
            await asyncio.sleep(0.01)
        assert {(end.message_id, end.outcome) for end in ends} == {
            ("due", Outcome.TIMED_OUT),
            ("long", Outcome.TIMED_OUT),
        }
        while pool.connections:
            await asyncio.sleep(0.01)
        pool.close()

    asyncio.run(scene())


WAIT_MS = 700


REJECTION = b"HTTP/1.1 429 X\r\nX-RateLimit-Wait-Ms: %d\r\nContent-Length: 0\r\n\r\n" % WAIT_MS


GIVE_UPS: dict[str, tuple[Callable[[ConnectionPool, EndpointCall], None], Outcome]] = {
    "time-out": (lambda pool, call: pool.in_flight.timed_out(call), Outcome.TIMED_OUT),
    "cancel": (lambda pool, call: pool.cancel("a", 0), Outcome.CANCELED),
    "quiet": (lambda pool, call: pool.in_flight.answer_stalled(call), Outcome.UNREADABLE),
    "exit": (lambda pool, call: pool.close(), Outcome.RESET),
}


@pytest.mark.parametrize("crossing", ["before", "between", "split", "never"])
@pytest.mark.parametrize("how", GIVE_UPS)
@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (REJECTION, Outcome.REJECTED),
        (OK_ANSWER, Outcome.DELIVERED),
        (b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", Outcome.REJECTED),
    ],
)
def test_an_answer_in_transit_when_its_call_is_given_up_counts(
    answer: bytes, outcome: Outcome, how: str, crossing: str
) -> None:
    """Checks an answer that waits in the kernel when its call is given up, or arrives before the connection is closed.

    Its Retry-After applies, and a delivery counts as one.
    """

    async def scene(platform: Platform) -> None:
        ends: list[AttemptEnded] = []
        endpoint = SocketEndpoint()
        pool = endpoint.pool(ends)
        sock = await endpoint.start_call(pool, "a")
        (call,) = pool.in_flight.by_attempt.values()
        give_up, outcome_without_answer = GIVE_UPS[how]
        if crossing == "split" or how == "quiet":
            sock.send(answer[:9])
            while call.connection is not None and not call.connection.received:
                await asyncio.sleep(0.002)
        rest = answer[9:] if crossing == "split" or how == "quiet" else answer
        if crossing in ("before", "split"):
            sock.send(rest)
        give_up(pool, call)
        if crossing == "between":
            sock.send(rest)
        while not ends:
            await asyncio.sleep(0.002)
        assert [end.outcome for end in ends] == [outcome_without_answer if crossing == "never" else outcome]
        has_retry_after = crossing != "never" and answer == REJECTION
        assert ends[0].retry_after_us == (WAIT_MS * 1000 if has_retry_after else 0)
        assert bool(pool.retry_after.entries()) == has_retry_after
        assert pool.calls_in_flight == 0
        assert not pool.in_flight.by_attempt
        assert not pool.connections
        pool.close()

    play_with_platform(scene)


ANSWERS = {
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok": Outcome.DELIVERED,
    b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n": Outcome.FAILED,
    b"HTTP/1.1 429 X\r\nX-RateLimit-Wait-Ms: 700\r\nContent-Length: 0\r\n\r\n": Outcome.REJECTED,
    b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n": Outcome.REJECTED,
}


BREAKS = ["end", "reset", "quiet", "time-out", "cancel"]


def expected_end(answer: bytes, came: int, how: str) -> Outcome:
    """Returns the specified outcome of a call that is ended by `how` after `came` bytes of its answer have arrived."""
    if came == len(answer):
        return ANSWERS[answer]
    if how == "cancel":
        return Outcome.CANCELED
    if answer[:came].startswith(b"HTTP/1.1 200 OK\r\n"):
        return Outcome.DELIVERED
    if how == "time-out":
        return Outcome.TIMED_OUT
    return Outcome.UNREADABLE if came else Outcome.RESET


@profile(derandomize=True, max_examples=150, deadline=None)
@given(
    answer=st.sampled_from(sorted(ANSWERS)),
    cuts=st.lists(st.integers(0, 70), max_size=4),
    came=st.integers(0, 70),
    breaks=st.lists(st.sampled_from(BREAKS), min_size=1, max_size=3),
)
@example(answer=b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", cuts=[], came=1, breaks=["quiet", "time-out"])
def test_a_call_has_one_end_in_any_order_of_steps(answer: bytes, cuts: list[int], came: int, breaks: list[str]) -> None:
    came = min(came, len(answer))
    ends: list[AttemptEnded] = []

    async def run() -> None:
        pool = ConnectionPool(Skewed(), ends.append, (), SECOND_US, SECOND_US, 10)
        pool.update_addresses({1: Address("127.0.0.1", 9)})
        connection, far = EndpointConnection(pool, FullSocket()), pool.clock() + TIME_LEFT_US
        connection.connection_made(RecordingTransport(protocol=connection))
        call = EndpointCall(1, LimitScopeKey(7, -1), pool.clock(), [CallItem("m", 0, None, b"x", far, far)])
        pool.keep_idle(connection, 1)
        pool.start(call)
        marks = sorted({0, came, *(cut for cut in cuts if cut < came)})
        for first, last in itertools.pairwise(marks):
            connection.data_received(answer[first:last])
        for how in breaks:
            if how == "end":
                connection.eof_received()
                connection.connection_lost(None)
            elif how == "reset":
                connection.connection_lost(ConnectionResetError())
            elif how == "quiet":
                pool.in_flight.answer_stalled(call) if came else pool.in_flight.timed_out(call)
            elif how == "time-out":
                pool.in_flight.timed_out(call)
            else:
                pool.cancel("m", 0)
            if how in ("end", "reset"):
                break
        await asyncio.sleep(0)
        pool.idle.by_endpoint.clear()

    asyncio.run(run())
    how = breaks[0] if came or breaks[0] != "quiet" else "time-out"
    assert [end.outcome for end in ends] == [expected_end(answer, came, how)]


@pytest.mark.parametrize("ending", ["answer stalls", "endpoint ends"])
def test_giving_up_one_message_does_not_change_the_outcome_of_a_call_that_is_ending(ending: str) -> None:
    """Guards against a wrong outcome: a batch call was ending, and a cancellation came in the same loop iteration."""
    ends: list[AttemptEnded] = []

    async def run() -> None:
        pool = ConnectionPool(Skewed(), ends.append, (), SECOND_US, SECOND_US, 10)
        pool.update_addresses({1: Address("127.0.0.1", 9)})
        connection, far = EndpointConnection(pool, FullSocket()), pool.clock() + TIME_LEFT_US
        transport = RecordingTransport(protocol=connection)
        connection.connection_made(transport)
        items = [CallItem(name, 0, None, b"x", far, far) for name in "ab"]
        pool.keep_idle(connection, 1)
        pool.start(EndpointCall(1, LimitScopeKey(7, -1), pool.clock(), items))
        connection.data_received(b"HTTP/1.1 2")
        if ending == "answer stalls":
            pool.in_flight.answer_stalled(next(iter(pool.in_flight.calls())))
        else:
            connection.eof_received()
            transport.close()
        pool.cancel("a", 0)
        await asyncio.sleep(0)
        pool.idle.by_endpoint.clear()

    asyncio.run(run())
    assert [(end.message_id, end.outcome) for end in ends] == [("a", Outcome.UNREADABLE), ("b", Outcome.UNREADABLE)]
