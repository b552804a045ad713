"""Tests the reading of requests one at a time, without a connection."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from forwarder.clients.request_parser import MAX_HEADER_BYTES, REQUEST_OBJECT_BYTES
from forwarder.clients.request_reader import MAX_BLANK_BYTES, RequestReader
from forwarder.clients.submission import ClientRequest
from forwarder.clients.turn_queue import MAX_TURNS_PER_ITERATION, TurnQueue
from tests.nodes import message

CHUNKED = message("c", body=b"5\r\nhel\r\n\r\n3\r\nabc\r\n0\r\n\r\n", Content_Length=None, Transfer_Encoding="chunked")
REQUESTS = {
    "short": b"GET /up HTTP/1.1\r\n\r\n",
    "blank lines before": b"\r\n\r\nGET /up HTTP/1.1\r\n\r\n",
    "with a body": message("m", body=b"a\r\n\r\nb"),
    "chunked": CHUNKED,
}


def make_reader() -> RequestReader:
    return RequestReader(lambda: None)


def drain(reader: RequestReader) -> list[ClientRequest]:
    """Returns all requests that are complete."""
    return list(iter(reader.next_request, None))


def test_small_requests_of_one_read_wait_as_bytes() -> None:
    """Issue 61 (a): hundreds of small requests of one read were parsed at once, at many times their length."""
    reader = make_reader()
    reader.receive(b"GET / HTTP/1.1\r\n\r\n" * 800, 0)

    first = reader.next_request()

    assert first is not None
    assert reader.has_input()
    assert reader.held_bytes <= 800 * 18 + REQUEST_OBJECT_BYTES
    assert len(drain(reader)) == 799
    assert not reader.has_input()
    assert reader.held_bytes == 0


@profile(derandomize=True, max_examples=200, deadline=None)
@given(names=st.lists(st.sampled_from(sorted(REQUESTS)), max_size=6), sizes=st.lists(st.integers(1, 400), min_size=1))
def test_requests_do_not_depend_on_how_their_bytes_are_split(names: list[str], sizes: list[int]) -> None:
    data = b"".join(REQUESTS[name] for name in names)
    reader, requests, start = make_reader(), list[ClientRequest](), 0
    for number in range(len(data)):
        size = sizes[number % len(sizes)]
        if start < len(data):
            reader.receive(data[start : start + size], number)
            start += size
        request = reader.next_request()
        requests += [request] if request is not None else []
    requests += drain(reader)

    whole = make_reader()
    whole.receive(data, 0)
    expected = [(request.method, request.path, bytes(request.body), request.error) for request in drain(whole)]
    assert [(request.method, request.path, bytes(request.body), request.error) for request in requests] == expected
    assert len(expected) == len(names)


def test_blank_lines_without_an_end_are_a_malformed_request() -> None:
    """Found with issue 61 (b): a client that sent nothing but line breaks was never answered nor closed."""
    reader = make_reader()
    reader.receive(b"\r\n" * MAX_BLANK_BYTES, 0)

    (request,) = drain(reader)

    assert request.error is not None
    assert reader.is_broken
    assert not reader.has_input()


@pytest.mark.parametrize("size", [1, 100, 16_384])
def test_what_is_held_for_a_client_is_bounded_and_freed(size: int) -> None:
    reader = make_reader()
    held = []
    for _ in range(MAX_HEADER_BYTES // size + 2):
        reader.receive(b"x" * size, 0)
        drain(reader)
        held.append(reader.held_bytes)
    assert reader.is_broken
    assert max(held) < 4 * MAX_HEADER_BYTES
    assert held[-1] == 0


class Taker:
    """Takes turns, and asks for more of them."""

    def __init__(self, queue: TurnQueue[Taker], turns: int) -> None:
        self.queue, self.turns = queue, turns

    def take_turn(self) -> None:
        """Takes one of its turns."""
        self.turns -= 1
        if self.turns:
            self.queue.add(self)


def test_an_iteration_of_the_event_loop_has_a_limited_number_of_turns() -> None:
    """Issue 61 (b): each of hundreds of floods had its share of each iteration, which took seconds together."""

    async def scene() -> None:
        queue = TurnQueue[Taker]()
        takers = [Taker(queue, 2) for _ in range(3 * MAX_TURNS_PER_ITERATION)]
        for taker in takers:
            queue.add(taker)
        for _ in range(3):
            await asyncio.sleep(0)
        assert [taker.turns for taker in takers] == [1] * len(takers)  # each has had its first turn before any second
        for _ in range(3):
            await asyncio.sleep(0)
        assert len(queue) == 0

    asyncio.run(scene())
