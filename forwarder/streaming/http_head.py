"""Heads of HTTP messages: checked line by line, and rendered for the next hop.

The checks are stricter than those of a general-purpose parser; httptools then parses head and body. Ambiguous messages
are refused, because two parsers that interpret the same bytes differently allow request smuggling.
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
"""The name of this forwarder in `Via`. Peers see it, so it stays although the program has been renamed."""

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
"""Fields that a Connection field cannot remove, because the message would change its meaning without them."""
IDEMPOTENT_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS", b"PUT", b"DELETE"})

Fields = list[tuple[bytes, bytes]]
"""Names and values, in the order in which they were received."""


class MalformedMessageError(Exception):
    """A message cannot be forwarded. Carries the status of the response, if the message is a request."""

    def __init__(self, text: str, status: HTTPStatus = HTTPStatus.BAD_REQUEST) -> None:
        super().__init__(text)
        self.text = text
        self.status = status


@dataclass(frozen=True, slots=True)
class Framing:
    """How the end of a body is marked: by its length, by its last chunk, or (neither) by the end of the connection."""

    length: int | None = None
    chunked: bool = False

    def fields(self) -> Fields:
        """Returns the header fields that declare the framing."""
        if self.chunked:
            return [(b"Transfer-Encoding", b"chunked")]
        return [] if self.length is None else [(b"Content-Length", b"%d" % self.length)]


NO_BODY = Framing(length=0)
UNTIL_CLOSE = Framing()


@dataclass(slots=True)
class Head:
    """The common part of the head of a request and of a response."""

    raw: bytes
    """The head as received."""
    minor: int
    """Minor version of HTTP/1."""
    fields: Fields
    framing: Framing

    @property
    def size(self) -> int:
        """The size of the names and values of the fields, in bytes."""
        return sum(len(name) + len(value) for name, value in self.fields)

    def values(self, name: bytes) -> list[bytes]:
        """Returns the values of a field. The name is given in lower case."""
        return [value for field, value in self.fields if field.lower() == name]

    def tokens(self, name: bytes) -> set[bytes]:
        """Returns the items of a list field, in lower case."""
        return {item.strip().lower() for value in self.values(name) for item in value.split(b",")} - {b""}

    def closes_connection(self) -> bool:
        """Returns whether the sender closes the connection after this message."""
        return self.minor == 0 or b"close" in self.tokens(b"connection")

    def end_to_end_fields(self) -> Fields:
        """Returns the fields for the next hop, without those that frame the body."""
        removed = HOP_BY_HOP | (self.tokens(b"connection") - PROTECTED_FIELDS) | {b"content-length"}
        return [(name, value) for name, value in self.fields if name.lower() not in removed]

    def via(self) -> tuple[bytes, bytes]:
        """Returns the `Via` field that this forwarder adds."""
        return b"Via", b"1.%d %s" % (self.minor, PSEUDONYM)


@dataclass(slots=True)
class Request(Head):
    """The head of a request."""

    method: bytes
    target: bytes

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may be sent to another endpoint after it may have reached one."""
        return self.method in IDEMPOTENT_METHODS and self.framing == NO_BODY

    def hops_left(self) -> int | None:
        """Returns the Max-Forwards value of an OPTIONS request, or None if it has no valid one."""
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
            remaining = b"%d" % (hops - 1)
            fields = [(name, remaining if name.lower() == b"max-forwards" else value) for name, value in fields]
        return render_head(b"%s %s HTTP/1.1" % (self.method, self.target), [*fields, self.via(), *framing_fields])


@dataclass(slots=True)
class Response(Head):
    """The head of a response."""

    status: int
    reason: bytes

    @property
    def is_final(self) -> bool:
        """Whether this is the final response to the request, not an interim one (1xx)."""
        return self.status >= 200

    def has_no_body(self, method: bytes) -> bool:
        """Returns whether a response to this method has no body, whatever its fields say."""
        return not self.is_final or method == b"HEAD" or self.status in (204, 304)

    def render(self, method: bytes, framing: Framing, close: bool) -> bytes:
        """Returns the head for the client.

        Args:
            method: The method of the request.
            framing: The framing of the body towards the client.
            close: Whether the client's connection is closed after this response.
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
    """Returns a head as bytes, with the empty line that ends it."""
    return b"\r\n".join([first_line, *(b"%s: %s" % field for field in fields)]) + HEAD_END


def split_head(data: bytes, searched: int = 0) -> tuple[bytes, bytes] | None:
    """Splits received bytes into the head and the rest. Returns None while the head is incomplete.

    Args:
        data: The bytes received so far.
        searched: Number of leading bytes that an earlier call searched; they are not searched again.

    Raises:
        MalformedMessageError: A line ends with a lone CR or LF, or the head is too large.
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
    """Parses the field lines of a head.

    Raises:
        MalformedMessageError: A line is not a valid field.
    """
    fields: Fields = []
    for line in lines:
        match = FIELD.fullmatch(line)
        if match is None:
            raise MalformedMessageError("a header line cannot be read")
        fields.append((match[1], match[2].rstrip(b" \t")))
    return fields


def parse_framing(fields: Fields, minor: int) -> Framing | None:
    """Returns the framing that the fields declare, or None if they declare none.

    Raises:
        MalformedMessageError: The fields contradict each other or are invalid.
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
    coding_names = [name.strip().lower() for name in b",".join(codings).split(b",")]
    if coding_names != [b"chunked"]:
        ends_in_chunked = coding_names[-1] == b"chunked" and coding_names.count(b"chunked") == 1
        status = HTTPStatus.NOT_IMPLEMENTED if ends_in_chunked else HTTPStatus.BAD_REQUEST
        raise MalformedMessageError("unknown Transfer-Encoding", status)
    return Framing(chunked=True)


def parse_request(raw: bytes) -> Request:
    """Parses the head of a request.

    Raises:
        MalformedMessageError: The request is invalid or not supported.
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
    """Reduces an absolute target to its path. The host of the target replaces the value of the Host field."""
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
    """Parses the head of a response.

    Raises:
        MalformedMessageError: The response is invalid or not supported.
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
