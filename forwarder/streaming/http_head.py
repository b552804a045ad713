"""Heads of HTTP messages: checked line by line, and rendered for the next hop.

They are checked more strictly than a parser for all the world does; httptools then parses head and body. Two readers of
the same bytes must not see two different messages, so what can be read in more than one way is refused.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from email.utils import formatdate
from http import HTTPStatus

MAX_HEAD_BYTES = 16 * 1024
HEAD_END = b"\r\n\r\n"
PSEUDONYM = b"lemonshunt"
"""This forwarder's name in `Via`; others see it, so it outlasts a change of the program's name."""

LONE_LINE_END = re.compile(rb"(?<!\r)\n|\r(?=[^\n])")
TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
REQUEST_LINE = re.compile(rb"(" + TOKEN + rb") ([\x21-\x7e]+) HTTP/([0-9])\.([0-9])")
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?")
ABSOLUTE_TARGET = re.compile(rb"(?i:http)://([^/?#@]+)(/[^#]*|\?[^#]*)?")
FIELD = re.compile(rb"(" + TOKEN + rb"):[ \t]*([\t\x20-\x7e\x80-\xff]*)")
CONTENT_LENGTH = re.compile(rb"[0-9]{1,18}")

HOP_BY_HOP = frozenset({b"connection", b"keep-alive", b"proxy-connection", b"te", b"transfer-encoding", b"upgrade"})
PROTECTED_FIELDS = frozenset(
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
"""Fields that a Connection field cannot remove: without them the message would mean something else."""
IDEMPOTENT_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS", b"PUT", b"DELETE"})

Fields = list[tuple[bytes, bytes]]
"""Names and values, in their order."""


class MalformedMessageError(Exception):
    """What came is not a message that can be passed on; of a request, with the status that says so."""

    def __init__(self, text: str, status: HTTPStatus = HTTPStatus.BAD_REQUEST) -> None:
        super().__init__(text)
        self.text = text
        self.status = status


@dataclass(frozen=True, slots=True)
class Framing:
    """Where a body ends: after so many bytes, after its last chunk, or with its connection (neither)."""

    length: int | None = None
    chunked: bool = False

    def fields(self) -> Fields:
        """The header fields that announce it."""
        if self.chunked:
            return [(b"Transfer-Encoding", b"chunked")]
        return [] if self.length is None else [(b"Content-Length", b"%d" % self.length)]


NO_BODY = Framing(length=0)
UNTIL_CLOSE = Framing()


@dataclass(slots=True)
class Head:
    """What a request's head and a response's have in common."""

    raw: bytes
    """As it came."""
    minor: int
    """Minor version of HTTP/1."""
    fields: Fields
    framing: Framing

    @property
    def size(self) -> int:
        """Bytes that its fields hold."""
        return sum(len(name) + len(value) for name, value in self.fields)

    def values(self, name: bytes) -> list[bytes]:
        """Returns the values of a field, whose name is given in lower case."""
        return [value for known, value in self.fields if known.lower() == name]

    def tokens(self, name: bytes) -> set[bytes]:
        """Returns the items of a list field, in lower case."""
        return {word.strip().lower() for value in self.values(name) for word in value.split(b",")} - {b""}

    def closes_connection(self) -> bool:
        """Whether its sender ends the connection behind this message."""
        return self.minor == 0 or b"close" in self.tokens(b"connection")

    def end_to_end_fields(self) -> Fields:
        """Returns the fields for the next hop, less those that frame the body."""
        removed = HOP_BY_HOP | (self.tokens(b"connection") - PROTECTED_FIELDS) | {b"content-length"}
        return [(name, value) for name, value in self.fields if name.lower() not in removed]

    def via(self) -> tuple[bytes, bytes]:
        """Returns the `Via` field that this forwarder adds."""
        return b"Via", b"1.%d %s" % (self.minor, PSEUDONYM)


@dataclass(slots=True)
class Request(Head):
    """A request's head."""

    method: bytes
    target: bytes

    @property
    def is_idempotent(self) -> bool:
        """Whether it may be sent to another endpoint after it may have reached one."""
        return self.method in IDEMPOTENT_METHODS and self.framing == NO_BODY

    def hops_left(self) -> int | None:
        """Returns how many forwarders an OPTIONS may still meet, where it says so."""
        values = self.values(b"max-forwards")
        return int(values[0]) if self.method == b"OPTIONS" and values and values[0].isdigit() else None

    def render(self) -> bytes:
        """Returns the head for the next hop."""
        if self.framing == NO_BODY:
            framing_fields = [(b"Content-Length", value) for value in self.values(b"content-length")]
        else:
            framing_fields = self.framing.fields()
        fields = self.end_to_end_fields()
        hops = self.hops_left()
        if hops is not None:
            left = b"%d" % (hops - 1)
            fields = [(name, left if name.lower() == b"max-forwards" else value) for name, value in fields]
        return render_head(b"%s %s HTTP/1.1" % (self.method, self.target), [*fields, self.via(), *framing_fields])


@dataclass(slots=True)
class Response(Head):
    """A response's head."""

    status: int
    reason: bytes

    @property
    def is_final(self) -> bool:
        """Whether no other response to the same request follows."""
        return self.status >= 200

    def has_no_body(self, method: bytes) -> bool:
        """Whether no body follows, whatever its fields say, as the response to this method."""
        return not self.is_final or method == b"HEAD" or self.status in (204, 304)

    def render(self, method: bytes, framing: Framing, close: bool) -> bytes:
        """Returns the head for the client.

        Args:
            method: of the request.
            framing: in which the body goes on.
            close: whether the client's connection ends behind it.
        """
        fields = [*self.end_to_end_fields(), self.via()]
        if self.is_final and not self.values(b"date"):
            fields.append((b"Date", formatdate(usegmt=True).encode()))
        if not self.has_no_body(method):
            fields += framing.fields()
        elif method == b"HEAD" or self.status == 304:
            fields += [(b"Content-Length", value) for value in self.values(b"content-length")]
        if close and self.is_final:
            fields.append((b"Connection", b"close"))
        return render_head(b"HTTP/1.1 %d %s" % (self.status, self.reason), fields)


def render_head(first_line: bytes, fields: Fields) -> bytes:
    """Returns the bytes of a head."""
    return b"\r\n".join([first_line, *(b"%s: %s" % field for field in fields)]) + HEAD_END


def split_head(data: bytes, searched: int = 0) -> tuple[bytes, bytes] | None:
    """Returns the first head in what has come, and the rest; None while the head is not complete.

    Args:
        data: what has come.
        searched: bytes of it that were searched before, and are not searched again.

    Raises:
        MalformedMessageError: a line ends with a lone CR or LF, or the head is too large.
    """
    start = max(0, searched - len(HEAD_END) + 1)
    end = data.find(HEAD_END, start)
    is_complete = end >= 0
    if LONE_LINE_END.search(data, start, end + len(HEAD_END) if is_complete else len(data)):
        raise MalformedMessageError("a line ends with a lone CR or LF")
    if (end if is_complete else len(data)) > MAX_HEAD_BYTES:
        raise MalformedMessageError("the header is too large", HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
    if not is_complete:
        return None
    return data[: end + len(HEAD_END)], data[end + len(HEAD_END) :]


def parse_fields(lines: Iterable[bytes]) -> Fields:
    """Returns the fields of a head.

    Raises:
        MalformedMessageError: a line is none.
    """
    fields: Fields = []
    for line in lines:
        match = FIELD.fullmatch(line)
        if match is None:
            raise MalformedMessageError("a header line cannot be read")
        fields.append((match[1], match[2].rstrip(b" \t")))
    return fields


def parse_framing(fields: Fields, minor: int) -> Framing | None:
    """Returns what the fields say of the body's end; None where they say nothing.

    Raises:
        MalformedMessageError: they contradict each other, or cannot be read.
    """
    codings = [value for name, value in fields if name.lower() == b"transfer-encoding"]
    lengths = [value for name, value in fields if name.lower() == b"content-length"]
    if codings:
        return _parse_transfer_encoding(codings, lengths, minor)
    if not lengths:
        return None
    if len(lengths) > 1 or not CONTENT_LENGTH.fullmatch(lengths[0]):
        raise MalformedMessageError("Content-Length cannot be read")
    return Framing(int(lengths[0]))


def _parse_transfer_encoding(codings: list[bytes], lengths: list[bytes], minor: int) -> Framing:
    if lengths:
        raise MalformedMessageError("both Content-Length and Transfer-Encoding")
    if minor == 0:
        raise MalformedMessageError("Transfer-Encoding in HTTP/1.0")
    words = [word.strip().lower() for word in b",".join(codings).split(b",")]
    if words != [b"chunked"]:
        is_framed = words[-1] == b"chunked" and words.count(b"chunked") == 1
        status = HTTPStatus.NOT_IMPLEMENTED if is_framed else HTTPStatus.BAD_REQUEST
        raise MalformedMessageError("unknown Transfer-Encoding", status)
    return Framing(chunked=True)


def parse_request(raw: bytes) -> Request:
    """Returns a request's head.

    Raises:
        MalformedMessageError: it cannot be passed on.
    """
    first_line, *lines = raw[: -len(HEAD_END)].split(b"\r\n")
    match = REQUEST_LINE.fullmatch(first_line)
    if match is None:
        raise MalformedMessageError("the request line cannot be read")
    method, target = match[1], match[2]
    major, minor = int(match[3]), int(match[4])
    if major != 1 or minor > 1:
        raise MalformedMessageError("only HTTP/1.0 and HTTP/1.1", HTTPStatus.HTTP_VERSION_NOT_SUPPORTED)
    fields = parse_fields(lines)
    request = Request(raw, minor, fields, parse_framing(fields, minor) or NO_BODY, method, target)
    hosts = request.values(b"host")
    if len(hosts) != 1 and (minor == 1 or hosts):
        raise MalformedMessageError("not one Host header")
    if method in (b"CONNECT", b"TRACE") or request.values(b"upgrade"):
        raise MalformedMessageError("no tunnels, traces or upgrades", HTTPStatus.NOT_IMPLEMENTED)
    _use_absolute_target(request)
    _check_target(request)
    return request


def _use_absolute_target(request: Request) -> None:
    """Cuts an absolute target down to its path; its host goes before that of the field."""
    match = ABSOLUTE_TARGET.fullmatch(request.target)
    if match is None:
        return
    host, path = match[1], match[2] or b"/"
    request.target = path if path.startswith(b"/") else b"/" + path
    request.fields = [(name, host if name.lower() == b"host" else value) for name, value in request.fields]


def _check_target(request: Request) -> None:
    target = request.target
    is_path = target.startswith(b"/") or (target == b"*" and request.method == b"OPTIONS")
    if b"#" in target or not is_path:
        raise MalformedMessageError("the target of the request is no path")


def parse_response(raw: bytes) -> Response:
    """Returns a response's head.

    Raises:
        MalformedMessageError: it cannot be passed on.
    """
    first_line, *lines = raw[: -len(HEAD_END)].split(b"\r\n")
    match = STATUS_LINE.fullmatch(first_line)
    if match is None:
        raise MalformedMessageError("the status line cannot be read")
    fields = parse_fields(lines)
    minor, status = int(match[1]), int(match[2])
    if status == HTTPStatus.SWITCHING_PROTOCOLS:
        raise MalformedMessageError("an upgrade that nobody asked for")
    return Response(raw, minor, fields, parse_framing(fields, minor) or UNTIL_CLOSE, status, match[3] or b"")
