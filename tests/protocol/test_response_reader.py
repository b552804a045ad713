"""Tests where the reader of answers sees the end of an answer, and what it makes of the bytes behind it."""

from __future__ import annotations

import sys

import pytest

from forwarder.protocol.http1 import MAX_BODY_BYTES, MAX_FRAMING_FACTOR, BadResponseError, ResponseReader

ANSWERS = {
    "without a body": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Over-Slots: 1\r\n\r\n",
    "with a length": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Over-Slots: 1\r\n\r\nhello",
    "last on its connection": b"HTTP/1.1 503 No\r\nConnection: close\r\nX-Over-Slots: 1\r\nContent-Length: 2\r\n\r\nab",
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Over-Slots: 1\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "with a trailer": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Over-Slots: 1\r\n\r\n2;a\r\nok\r\n0\r\nA: b\r\n\r\n"
    ),
    "without a body by its status": b"HTTP/1.1 204 No Content\r\nX-Over-Slots: 1\r\n\r\n",
    "after an interim one": b"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 OK\r\nX-Over-Slots: 1\r\nContent-Length: 2\r\n\r\nok",
    "of an older version": b"HTTP/1.0 200 OK\r\nX-Over-Slots: 1\r\nContent-Length: 2\r\n\r\nok",
}
SURPLUS = {
    "a line break": b"\r\n",
    "a byte": b"x",
    "a zero byte": b"\0",
    "half a status line": b"HTTP/1.1 4",
    "a rejection": b"HTTP/1.1 429 X\r\nX-RateLimit-Wait-Ms: 900\r\nX-Over-Slots: 2\r\nContent-Length: 0\r\n\r\n",
    "the head of an answer": b"HTTP/1.1 503 X\r\nX-Over-Slots: 2\r\nContent-Length: 9\r\n\r\nno",
    "an interim answer": b"HTTP/1.1 100 Continue\r\nX-Over-Slots: 2\r\n\r\n",
    "an upgrade": b"HTTP/1.1 101 X\r\nX-Over-Slots: 2\r\nConnection: upgrade\r\nUpgrade: a\r\n\r\n",
    "line breaks and an answer": b"\r\n\r\nHTTP/1.1 200 OK\r\nX-Over-Slots: 2\r\nContent-Length: 0\r\n\r\n",
    "a chunk": b"0\r\n\r\n",
    "more than the limit": b"HTTP/1.1 200 OK\r\nX-Over-Slots: 2\r\nContent-Length: 90000\r\n\r\n" + b"y" * 90_000,
}


def read(*pieces: bytes) -> ResponseReader:
    reader = ResponseReader()
    for piece in pieces:
        reader.feed(piece)
    return reader


def content(reader: ResponseReader) -> tuple[int, str | None, bytes, bool]:
    return reader.status, reader.headers.get("x-over-slots"), reader.body, reader.complete


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS.keys())
def test_an_answer_ends_at_its_last_byte_however_it_is_cut(answer: bytes) -> None:
    whole = read(answer)
    assert whole.complete
    assert not whole.has_surplus
    for cut in range(1, len(answer)):
        assert not read(answer[:cut]).complete
        in_pieces = read(answer[:cut], answer[cut:])
        assert content(in_pieces) == content(whole)
        assert in_pieces.keep_alive == whole.keep_alive
        assert not in_pieces.has_surplus


@pytest.mark.parametrize("surplus", SURPLUS.values(), ids=SURPLUS.keys())
@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS.keys())
def test_what_follows_an_answer_does_not_change_it(answer: bytes, surplus: bytes) -> None:
    """Guards against a second send: the status of a stray second answer replaced that of the first (review/2)."""
    expected = content(read(answer))
    received = answer + surplus
    cuts = [*range(1, len(answer) + min(len(surplus), 60)), len(received)]
    for cut in cuts:
        reader = read(received[:cut], *([received[cut:]] if cut < len(received) else []))
        assert content(reader) == expected
        assert reader.has_surplus
        assert not reader.keep_alive


def test_the_reader_reads_the_next_answer_after_a_reset() -> None:
    reader = read(ANSWERS["with a length"] + SURPLUS["a rejection"])
    reader.reset()
    assert not reader.has_surplus
    reader.feed(ANSWERS["without a body"])
    assert content(reader) == content(read(ANSWERS["without a body"]))
    assert reader.keep_alive


def test_malformed_bytes_within_an_answer_are_still_an_error() -> None:
    with pytest.raises(BadResponseError):
        read(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n")


UNENDING = {
    "a first line": b"HTTP/1.1 200 OK",
    "a header line": b"HTTP/1.1 200 OK\r\nX-Over-Slots: ",
    "a chunk line": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
    "a trailer": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Over-Slots: ",
    "interim answers": b"HTTP/1.1 100 X\r\n\r\n" * 50,
}


@pytest.mark.parametrize("start", UNENDING.values(), ids=UNENDING.keys())
def test_an_answer_that_does_not_end_is_refused_before_it_fills_the_memory(start: bytes) -> None:
    """Guards against a kill for memory: a line that never ends was kept without a bound (review/3)."""
    piece = start if start.endswith(b"\r\n") else b"x" * 1000
    pieces = [piece] * (MAX_FRAMING_FACTOR * MAX_BODY_BYTES // len(piece) + 1)
    with pytest.raises(BadResponseError, match="too large"):
        read(start, *pieces)


def test_an_answer_of_many_short_fields_keeps_only_those_that_are_read() -> None:
    """Found with issue 61 (a): the fields of fourteen answers took a process over its memory."""
    fields = b"".join(b"%x:\r\n" % number for number in range(8_000))
    reader = read(b"HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 700\r\n" + fields + b"Content-Length: 0\r\n\r\n")

    assert reader.complete
    assert reader.headers == {"x-ratelimit-wait-ms": "700", "content-length": "0"}


def test_an_answer_of_small_chunks_takes_the_memory_of_its_body() -> None:
    """Found with issue 61 (a): each chunk of a body was kept as an object of its own."""
    reader = read(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"2\r\nab\r\n" * 9_000, b"0\r\n\r\n")

    assert reader.complete
    assert sys.getsizeof(reader._body) < 2 * len(reader.body)
    reader.forget_answer()
    assert sys.getsizeof(reader._body) < 100
