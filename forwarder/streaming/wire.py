"""The bytes of streams: heads checked and rendered, bodies cut out of what arrives and framed anew.

Heads are checked here line by line, more strictly than a parser for all the world does; httptools then parses
head and body. Two readers of the same bytes must not see two different messages, so what can be read in more
than one way is refused.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from email.utils import formatdate
from http import HTTPStatus
from typing import Protocol
from urllib.parse import unquote_to_bytes

import httptools

MOST_HEAD = 16 * 1024
MOST_DECODED = 4  # times that a path is decoded: what is still encoded after that is refused
CHUNK_ROOM = 64  # bytes that framing a read anew may add to it
PSEUDONYM = b"lemonshunt"

LONE_END = re.compile(rb"(?<!\r)\n|\r(?=[^\n])")
TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
REQUEST_LINE = re.compile(rb"(" + TOKEN + rb") ([\x21-\x7e]+) HTTP/([0-9])\.([0-9])")
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?")
CONTROL = re.compile(rb"[\x00-\x1f\x7f]")
ABSOLUTE = re.compile(rb"(?i:http)://([^/?#@]+)(/[^#]*|\?[^#]*)?")
FIELD = re.compile(rb"(" + TOKEN + rb"):[ \t]*([\t\x20-\x7e\x80-\xff]*)")

HOP_BY_HOP = frozenset({b"connection", b"keep-alive", b"proxy-connection", b"te", b"transfer-encoding", b"upgrade"})
KEPT = frozenset(
    {
        b"host",
        b"content-length",
        b"content-type",
        b"content-encoding",
        b"cache-control",
        b"via",
        b"authorization",
        b"expect",
        b"date",
    }
)
"""What a Connection header cannot name away: it would change what the message means."""
NO_TRAILER = HOP_BY_HOP | KEPT | {b"trailer", b"range", b"set-cookie", b"max-forwards", b"x-addressing"}
IDEMPOTENT = frozenset({b"GET", b"HEAD", b"OPTIONS", b"PUT", b"DELETE"})
Fields = list[tuple[bytes, bytes]]


class MalformedMessageError(Exception):
    """What came is not a message that can be passed on; of a request, with the status that says so."""

    def __init__(self, text: str, status: HTTPStatus = HTTPStatus.BAD_REQUEST) -> None:
        super().__init__(text)
        self.text, self.status = text, status


@dataclass(frozen=True, slots=True)
class Framing:
    """Where a body ends: after so many bytes, after its last chunk, or with its connection (neither)."""

    length: int | None = None
    chunked: bool = False


EMPTY = Framing(0)


@dataclass(slots=True)
class Head:
    raw: bytes
    minor: int
    fields: Fields
    framing: Framing

    @property
    def size(self) -> int:
        """The bytes that it holds."""
        return sum(len(name) + len(value) for name, value in self.fields)

    def values(self, name: bytes) -> list[bytes]:
        return [value for known, value in self.fields if known.lower() == name]

    def tokens(self, name: bytes) -> set[bytes]:
        """The words of a list header, in small letters."""
        return {word.strip().lower() for value in self.values(name) for word in value.split(b",")} - {b""}

    def closes(self) -> bool:
        return self.minor == 0 or b"close" in self.tokens(b"connection")

    def passed_on(self) -> Fields:
        """The end-to-end headers, less those that frame the body."""
        named = self.tokens(b"connection") - KEPT
        return [
            (name, value)
            for name, value in self.fields
            if (low := name.lower()) not in HOP_BY_HOP and low not in named and low != b"content-length"
        ]

    def via(self) -> tuple[bytes, bytes]:
        return b"Via", b"1.%d %s" % (self.minor, PSEUDONYM)


@dataclass(slots=True)
class Request(Head):
    method: bytes
    target: bytes

    @property
    def may_repeat(self) -> bool:
        return self.method in IDEMPOTENT and self.framing == EMPTY

    def hops_left(self) -> int | None:
        """How many forwarders an OPTIONS may still meet, where it says so."""
        told = self.values(b"max-forwards")
        return int(told[0]) if self.method == b"OPTIONS" and told and told[0].isdigit() else None

    def render(self) -> bytes:
        framing = (
            framing_fields(self.framing)
            if self.framing != EMPTY
            else [(b"Content-Length", value) for value in self.values(b"content-length")]
        )
        fields, hops = self.passed_on(), self.hops_left()
        if hops is not None:
            fields = [
                (name, b"%d" % (hops - 1) if name.lower() == b"max-forwards" else value) for name, value in fields
            ]
        return render(b"%s %s HTTP/1.1" % (self.method, self.target), [*fields, self.via(), *framing])


@dataclass(slots=True)
class Answer(Head):
    status: int
    reason: bytes

    @property
    def final(self) -> bool:
        return self.status >= 200

    def bodiless(self, method: bytes) -> bool:
        return not self.final or method == b"HEAD" or self.status in (204, 304)

    def render(self, method: bytes, framing: Framing, close: bool) -> bytes:
        fields = [*self.passed_on(), self.via()]
        if self.final and not self.values(b"date"):
            fields.append((b"Date", formatdate(usegmt=True).encode()))
        if not self.bodiless(method):
            fields += framing_fields(framing)
        elif method == b"HEAD" or self.status == 304:
            fields += [(b"Content-Length", value) for value in self.values(b"content-length")]
        if close and self.final:
            fields.append((b"Connection", b"close"))
        return render(b"HTTP/1.1 %d %s" % (self.status, self.reason), fields)


def framing_fields(framing: Framing) -> Fields:
    if framing.chunked:
        return [(b"Transfer-Encoding", b"chunked")]
    return [] if framing.length is None else [(b"Content-Length", b"%d" % framing.length)]


def render(first: bytes, fields: Fields) -> bytes:
    return b"\r\n".join([first, *(b"%s: %s" % field for field in fields)]) + b"\r\n\r\n"


def cut_head(data: bytes, seen: int = 0) -> tuple[bytes, bytes] | None:
    """The first head in what has come and the rest, or None while the head has no end. What was seen before
    is not looked through again.
    """
    since = max(0, seen - 3)
    end = data.find(b"\r\n\r\n", since)
    lone = LONE_END.search(data, since, len(data) if end < 0 else end + 4)
    if lone:
        raise MalformedMessageError("a line ends with a lone CR or LF")
    if (len(data) if end < 0 else end) > MOST_HEAD:
        raise MalformedMessageError("the header is too large", HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
    return None if end < 0 else (data[: end + 4], data[end + 4 :])


def read_fields(lines: Iterable[bytes]) -> Fields:
    fields: Fields = []
    for line in lines:
        found = FIELD.fullmatch(line)
        if found is None:
            raise MalformedMessageError("a header line cannot be read")
        fields.append((found[1], found[2].rstrip(b" \t")))
    return fields


def read_framing(fields: Fields, minor: int) -> Framing | None:
    """What the headers say of the body's end; None where they say nothing."""
    codings = [value for name, value in fields if name.lower() == b"transfer-encoding"]
    lengths = [value for name, value in fields if name.lower() == b"content-length"]
    if codings:
        if lengths:
            raise MalformedMessageError("both Content-Length and Transfer-Encoding")
        if minor == 0:
            raise MalformedMessageError("Transfer-Encoding in HTTP/1.0")
        words = [word.strip().lower() for word in b",".join(codings).split(b",")]
        if words != [b"chunked"]:
            known = words[-1] == b"chunked" and words.count(b"chunked") == 1
            raise MalformedMessageError(
                "unknown Transfer-Encoding", HTTPStatus.NOT_IMPLEMENTED if known else HTTPStatus.BAD_REQUEST
            )
        return Framing(chunked=True)
    if not lengths:
        return None
    if len(lengths) > 1 or not re.fullmatch(rb"[0-9]{1,18}", lengths[0]):
        raise MalformedMessageError("Content-Length cannot be read")
    return Framing(int(lengths[0]))


def read_request(raw: bytes) -> Request:
    """A request's head, checked, or what is wrong with it."""
    first, *lines = raw[:-4].split(b"\r\n")
    found = REQUEST_LINE.fullmatch(first)
    if found is None:
        raise MalformedMessageError("the request line cannot be read")
    method, target, major, minor = found[1], found[2], int(found[3]), int(found[4])
    if major != 1 or minor > 1:
        raise MalformedMessageError("only HTTP/1.0 and HTTP/1.1", HTTPStatus.HTTP_VERSION_NOT_SUPPORTED)
    fields = read_fields(lines)
    head = Request(raw, minor, fields, read_framing(fields, minor) or EMPTY, method, target)
    if len(head.values(b"host")) != 1 and (minor == 1 or head.values(b"host")):
        raise MalformedMessageError("not one Host header")
    if method in (b"CONNECT", b"TRACE") or head.values(b"upgrade"):
        raise MalformedMessageError("no tunnels, traces or upgrades", HTTPStatus.NOT_IMPLEMENTED)
    absolute = ABSOLUTE.fullmatch(target)
    if absolute:  # its host goes before the header's, which is dropped
        path = absolute[2] or b"/"
        head.target = target = path if path.startswith(b"/") else b"/" + path
        head.fields = [(name, absolute[1] if name.lower() == b"host" else value) for name, value in fields]
    if b"#" in target or not (target.startswith(b"/") or (target == b"*" and method == b"OPTIONS")):
        raise MalformedMessageError("the target of the request is no path")
    return head


def read_answer(raw: bytes) -> Answer:
    first, *lines = raw[:-4].split(b"\r\n")
    found = STATUS_LINE.fullmatch(first)
    if found is None:
        raise MalformedMessageError("the status line cannot be read")
    fields, minor, status = read_fields(lines), int(found[1]), int(found[2])
    if status == 101:
        raise MalformedMessageError("an upgrade that nobody asked for")
    return Answer(raw, minor, fields, read_framing(fields, minor) or Framing(), status, found[3] or b"")


def reserved(target: bytes, names: frozenset[bytes]) -> bool:
    """Whether an endpoint may take a path for one of those kept for messages, however it is written. What
    stays encoded after being decoded some times counts as kept, and what hides control characters.
    """
    path = target.partition(b"?")[0]
    for _ in range(MOST_DECODED):
        path, before = unquote_to_bytes(path), path
        if path == before:
            break
    else:
        return True
    if CONTROL.search(path):
        return True
    first: list[bytes] = []
    for step in re.split(rb"[/\\]+", path.partition(b"?")[0].partition(b"#")[0]):
        word = step.partition(b";")[0].strip().lower()
        if word == b"..":
            del first[-1:]
        elif word not in (b"", b"."):
            first.append(word)
            if word in names and len(first) == 1:
                return True
    return bool(first) and first[0] in names


class Parser(Protocol):
    def feed_data(self, data: bytes) -> None: ...


class Body:
    """One message's body, out of the bytes that follow its head. httptools finds its end."""

    def __init__(self, head: Request | Answer) -> None:
        self.framing = head.framing
        self.pieces: list[bytes] = []
        self.trailers: Fields = []
        self.headed = self.complete = self.extra = False
        self.left = head.framing.length
        self.parser: Parser = (
            httptools.HttpRequestParser(self) if isinstance(head, Request) else httptools.HttpResponseParser(self)
        )
        self.parse(head.raw)

    def parse(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                cause = error.__context__  # what a callback here has raised
                raise (
                    cause if isinstance(cause, MalformedMessageError) else MalformedMessageError(f"not HTTP: {error}")
                ) from None
            self.extra = True

    def feed(self, data: bytes) -> tuple[list[bytes], bytes]:
        """The pieces of the body in what has come, and what does not belong to it. After the last chunk the
        rest cannot be told apart: `extra` says that there was one.
        """
        if self.complete:
            return [], data
        mine, rest = (data, b"") if self.left is None else (data[: self.left], data[self.left :])
        if self.left is not None:
            self.left -= len(mine)
        self.parse(mine)
        pieces, self.pieces = self.pieces, []
        return pieces, rest

    def end(self) -> bool:
        """The connection has ended in order. Whether the body is whole by that."""
        if self.framing == Framing():
            self.complete = True
        return self.complete

    # Called by the parser

    def on_message_begin(self) -> None:
        self.extra = self.complete

    def on_headers_complete(self) -> None:
        self.headed = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.headed and not self.extra:
            self.trailers.append((name, value))
            if sum(len(n) + len(v) for n, v in self.trailers) > MOST_HEAD:
                raise MalformedMessageError("the trailers are too large", HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_body(self, data: bytes) -> None:
        if not self.extra:
            self.pieces.append(data)

    def on_message_complete(self) -> None:
        self.complete = True


def frame(framing: Framing, pieces: list[bytes], last: bool, trailers: Fields) -> bytes:
    """Pieces of a body in the framing that it goes on with; at its end with the last chunk."""
    if not framing.chunked:
        return b"".join(pieces)
    data = b"".join(pieces)
    parts = [b"%x\r\n" % len(data), data, b"\r\n"] if data else []
    if last:
        parts.append(b"0\r\n")
        parts += [
            b"%s: %s\r\n" % (name, value)
            for name, value in trailers
            if name.lower() not in NO_TRAILER and FIELD.fullmatch(b"%s: %s" % (name, value))
        ]
        parts.append(b"\r\n")
    return b"".join(parts)
