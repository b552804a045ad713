"""Tests the parsing of requests that arrive in pieces, without a connection."""

from __future__ import annotations

from http import HTTPStatus

import pytest

from forwarder.clients.request_parser import MAX_HEADER_BYTES, MAX_HEADER_FIELDS, MAX_REQUEST_BYTES, RequestParser
from forwarder.protocol.http1 import MAX_BODY_BYTES
from tests.nodes import message


def make_parser(continue_requests: list[str] | None = None) -> RequestParser:
    """Returns a parser that appends to `continue_requests` if a client waits for `100 Continue`."""
    calls = [] if continue_requests is None else continue_requests
    return RequestParser(lambda: calls.append("continue"))


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_a_request_is_complete_with_its_last_byte(size: int) -> None:
    parser = make_parser()
    data = message("m", body=b"hello")
    pieces = [data[start : start + size] for start in range(0, len(data), size)]

    parsed = [parser.feed(piece, 1000 + number) for number, piece in enumerate(pieces)]

    assert [len(requests) for requests in parsed] == [0] * (len(pieces) - 1) + [1]
    (request,) = parsed[-1]
    assert (request.method, request.route, bytes(request.body)) == ("POST", "/order", b"hello")
    assert request.headers["x-correlation-id"] == "m"
    assert request.arrived_us == 1000
    assert request.keep_alive
    assert request.error is None


def test_requests_of_one_read_are_returned_in_order() -> None:
    requests = make_parser().feed(message("a") + message("b"), 0)

    assert [request.headers["x-correlation-id"] for request in requests] == ["a", "b"]


def test_the_bytes_of_a_partial_request_are_kept_for_a_hand_over() -> None:
    parser = make_parser()
    data = message("m")

    parser.feed(data[:30], 0)
    parser.feed(data[30:50], 0)

    assert parser.partial is not None
    assert parser.wire_bytes() == data[:50]
    assert len(parser.feed(data[50:], 0)) == 1
    assert parser.partial is None
    assert not parser.wire_bytes()


@pytest.mark.parametrize("size", [1, 7, 1000])
@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
def test_the_bytes_for_a_hand_over_are_those_that_came(is_chunked: bool, size: int) -> None:
    data = message("m", body=b"x" * 3000)
    if is_chunked:
        data = message("m", body=b"5\r\nhello\r\n" * 300, Content_Length=None, Transfer_Encoding="chunked")
    for end in (60, len(data) - 2990, len(data) - 5):
        parser = make_parser()
        for start in range(0, end, size):
            parser.feed(data[start : min(end, start + size)], 0)
        assert parser.wire_bytes() == data[:end]


def fields(count: int) -> bytes:
    return b"".join(b"%x:\r\n" % number for number in range(count))


def test_a_partial_request_keeps_only_the_fields_that_are_read() -> None:
    """Issue 61 (a): many short fields cost many times their length on the wire."""
    parser = make_parser()

    parser.feed(b"POST /order HTTP/1.1\r\nX-Account: acme\r\n" + fields(MAX_HEADER_FIELDS - 1), 0)

    assert parser.partial is not None
    assert parser.partial.headers == {"x-account": "acme"}
    assert parser.held_bytes < 3 * MAX_HEADER_BYTES


def test_a_request_of_too_many_fields_is_refused() -> None:
    """Issue 61 (a): the fields of hundreds of clients took the event loop for seconds."""
    (request,) = make_parser().feed(b"POST /order HTTP/1.1\r\n" + fields(MAX_HEADER_FIELDS + 1) + b"\r\n", 0)

    assert request.error is not None
    assert request.error.status is HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE


@pytest.mark.parametrize("size", [100, 10_000])
def test_a_header_line_without_an_end_is_refused_at_the_bound_of_a_header(size: int) -> None:
    """Issue 61 (a): a line without an end was kept up to the bound of a whole request."""
    parser = make_parser()
    requests = parser.feed(b"POST /order HTTP/1.1\r\nX-Of: ", 0)
    fed = 0
    while not requests:
        requests = parser.feed(b"x" * size, 0)
        fed += size
    assert requests[0].error is not None
    assert requests[0].error.status is HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    assert fed <= MAX_HEADER_BYTES + size


def test_a_partial_request_that_shared_a_read_has_no_bytes_for_a_hand_over() -> None:
    parser = make_parser()

    parser.feed(message("a") + message("b")[:30], 0)
    parser.feed(message("b")[30:40], 0)

    assert parser.partial is not None
    assert not parser.wire_bytes()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"no request\r\n\r\n", HTTPStatus.BAD_REQUEST),
        (b"GET / HTTP/1.1\r\nX: " + b"x" * MAX_HEADER_BYTES + b"\r\n\r\n", HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE),
        (
            b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1),
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        ),
    ],
)
def test_a_malformed_request_is_the_last_one(data: bytes, status: HTTPStatus) -> None:
    parser = make_parser()

    complete, malformed = parser.feed(message("a") + data, 0)

    assert complete.error is None
    assert malformed.error is not None
    assert malformed.error.status is status
    assert not malformed.method
    assert not malformed.keep_alive
    assert parser.is_broken
    assert parser.partial is None


def test_a_header_that_may_not_be_repeated_is_an_error_of_its_request_alone() -> None:
    parser = make_parser()
    repeated = b"POST /order HTTP/1.1\r\nX-Time-Left: 1\r\nX-Time-Left: 2\r\nContent-Length: 0\r\n\r\n"

    first, second = parser.feed(repeated + message("b"), 0)

    assert first.error is not None
    assert second.error is None
    assert not parser.is_broken


def test_continue_is_requested_before_the_body() -> None:
    continue_requests: list[str] = []
    parser = make_parser(continue_requests)
    data = message("m", Expect="100-continue")

    parser.feed(data[:-1], 0)

    assert continue_requests == ["continue"]


UNENDING = {
    "a path": b"POST /",
    "a header line": b"POST /order HTTP/1.1\r\nX-Of: ",
    "a chunk line": b"POST /order HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5;",
    "a trailer": b"POST /order HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Of: ",
}


@pytest.mark.parametrize("first", [b"", message("m")], ids=["alone", "behind a request"])
@pytest.mark.parametrize("start", UNENDING.values(), ids=UNENDING.keys())
def test_a_request_that_does_not_end_is_refused_before_it_fills_the_memory(start: bytes, first: bytes) -> None:
    """Guards against a kill for memory: a chunk line that never ended was kept without a bound."""
    parser = make_parser()
    parser.feed(first + start, 0)
    requests = []
    for _ in range(MAX_REQUEST_BYTES // 1000 + 1):
        requests += parser.feed(b"x" * 1000, 0) if not parser.is_broken else []
    (request,) = requests
    assert request.error is not None
    assert not parser.wire_bytes()
