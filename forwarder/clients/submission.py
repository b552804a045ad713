"""Submissions of clients: the path names the class, headers carry the metadata, and the body is the message."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from http import HTTPStatus

from forwarder.decisions.settings import MessageClass, Settings
from forwarder.errors import ForwarderError
from forwarder.protocol.http1 import parse_destination
from forwarder.units import SECOND_US

MAX_ID_LENGTH = 128
MAX_KEY_LENGTH = 256
MAX_TIME_LEFT_S = 86_400


class BadRequestError(ForwarderError):
    """A request is malformed or invalid.

    Attributes:
        status: the HTTP status of the answer.
        text: the error text in the answer.
    """

    def __init__(self, status: HTTPStatus, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.text = text


@dataclass(slots=True)
class ClientRequest:
    """An HTTP request of a client, as far as it has been parsed."""

    arrived_us: int
    """Earliest time at which its first byte may have arrived."""
    method: str = ""
    path: str = ""
    keep_alive: bool = True
    headers: dict[str, str] = field(default_factory=dict)
    """Header values by lower-case name."""
    body: bytearray = field(default_factory=bytearray)
    error: BadRequestError | None = None
    """Set if the request is malformed."""

    @property
    def route(self) -> str:
        """The path without the query."""
        return self.path.partition("?")[0]

    @property
    def message_id(self) -> str:
        """The id of the submitted message as given by the client; empty if it gave none."""
        return self.headers.get("x-correlation-id", "")


@dataclass(slots=True)
class Submission:
    """A valid message that a client has submitted and that is not yet accepted."""

    id: str
    message_class: MessageClass
    destination: int
    due_us: int
    """The deadline of the message."""
    key: str | None
    tenant: str | None
    resent: bool
    body: bytes
    idempotency_key: str | None = None
    """Key by which endpoints recognize a repeated message; passed on unchanged."""


def parse_submission(request: ClientRequest, settings: Settings) -> Submission:
    """Parses and validates the message that a request submits.

    Raises:
        BadRequestError: the request is not a valid submission.
    """
    message_class = _message_class(request, settings)
    if request.method != "POST":
        raise BadRequestError(HTTPStatus.METHOD_NOT_ALLOWED, "messages are handed in by POST")
    headers = request.headers
    message_id = _message_id(headers)
    time_left_s = _time_left_s(headers)
    destination = parse_destination(headers.get("x-addressing", ""))
    if destination is None:
        raise _bad_request("X-Addressing names no destination")
    key = _optional_key(headers, "X-Session-Key")
    idempotency_key = _optional_key(headers, "Idempotency-Key")
    tenant = headers.get("x-account")
    if settings.tenants and tenant not in {each.name for each in settings.tenants}:
        raise _bad_request("X-Account is missing or unknown")
    return Submission(
        message_id,
        message_class,
        destination,
        request.arrived_us + int(time_left_s * SECOND_US),
        key,
        tenant,
        headers.get("x-repeat") == "1",
        bytes(request.body),
        idempotency_key,
    )


def _message_class(request: ClientRequest, settings: Settings) -> MessageClass:
    name = request.route.strip("/").partition("/")[0]
    found = next((each for each in settings.classes if each.name == name), None)
    if found is None:
        raise BadRequestError(HTTPStatus.NOT_FOUND, "no such class of message")
    return found


def _message_id(headers: dict[str, str]) -> str:
    message_id = headers.get("x-correlation-id", "")
    if not message_id or not _is_printable(message_id, MAX_ID_LENGTH) or " " in message_id:
        raise _bad_request("X-Correlation-Id is missing or malformed")
    return message_id


def _time_left_s(headers: dict[str, str]) -> float:
    try:
        time_left_s = float(headers["x-time-left"])
    except (KeyError, ValueError):
        time_left_s = math.nan
    if not math.isfinite(time_left_s) or abs(time_left_s) > MAX_TIME_LEFT_S:
        raise _bad_request("X-Time-Left is missing or malformed")
    return time_left_s


def _optional_key(headers: dict[str, str], name: str) -> str | None:
    key = headers.get(name.lower())
    if key is not None and not _is_printable(key, MAX_KEY_LENGTH):
        raise _bad_request(f"{name} is malformed")
    return key


def _is_printable(text: str, max_length: int) -> bool:
    """Returns whether a header value can be stored and passed on unchanged."""
    return len(text) <= max_length and text.isascii() and text.isprintable()


def _bad_request(text: str) -> BadRequestError:
    return BadRequestError(HTTPStatus.BAD_REQUEST, text)
