"""Every byte that the forwarder writes to endpoints, clients and discovery, compared with literals."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path

import pytest

from forwarder.admin.server import AdminServer
from forwarder.clients.client_connection import ClientConnection
from forwarder.clients.listener import bind
from forwarder.clients.server import ClientServer
from forwarder.clients.submission import Submission
from forwarder.config.config import Address, EndpointList, load_config
from forwarder.decisions.actions import FailMessage, RejectMessage
from forwarder.decisions.events import AttemptEnded
from forwarder.decisions.outcomes import Outcome
from forwarder.discovery.endpoint_list_watch import EndpointListWatch
from forwarder.discovery.notifier import Notifier
from forwarder.endpoints.call import CallItem, EndpointCall, LimitScopeKey
from forwarder.endpoints.pool import ConnectionPool
from forwarder.protocol.settings_format import parse_settings
from forwarder.runtime import intake as intake_module
from forwarder.runtime.engine import Engine
from forwarder.runtime.ownership import Ownership
from forwarder.storage.clock import Clock
from forwarder.storage.messages import PendingNotice
from tests.nodes import SETTINGS, message
from tests.sockets import PATIENCE

NOW_US = 1_000_000_000
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


@dataclass
class RecordingServer:
    """Answers requests with its answers in turn, repeats the last one, and records the bytes of each request."""

    answers: list[bytes]
    requests: list[bytes] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> RecordingServer:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = Address(*self.server.sockets[0].getsockname()[:2])
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                _, _, after = head.partition(b"Content-Length: ")
                length = int(after.partition(b"\r\n")[0] or 0)
                self.requests.append(head + await reader.readexactly(length))
                writer.write(self.answers.pop(0) if len(self.answers) > 1 else self.answers[0])
                self.changed.set()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def received(self, count: int) -> list[bytes]:
        async with asyncio.timeout(PATIENCE):
            while len(self.requests) < count:
                await self.changed.wait()
                self.changed.clear()
        return self.requests

    def host(self) -> bytes:
        return f"Host: 127.0.0.1:{self.address.port}\r\n".encode()


def run(scene: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(2 * PATIENCE):
            await scene()

    asyncio.run(bounded())


# Requests to endpoints


@pytest.mark.parametrize(
    ("item", "headers"),
    [
        (CallItem("m1", 0, None, b"body", NOW_US + 1_234_567, NOW_US + 5_000_000), b""),
        (
            CallItem("m1", 3, "key 7", b"body", NOW_US + 1_234_567, NOW_US + 5_000_000),
            b"X-Session-Key: key 7\r\n",
        ),
        (
            CallItem("m1", 0, "k", b"body", NOW_US + 1_234_567, NOW_US + 5_000_000, idempotency_key="once"),
            b"X-Session-Key: k\r\nIdempotency-Key: once\r\n",
        ),
    ],
)
def test_a_call_with_one_message_is_written_byte_for_byte(item: CallItem, headers: bytes) -> None:
    async def scene() -> None:
        endpoint = await RecordingServer([OK]).start()
        ends: list[AttemptEnded] = []
        pool = ConnectionPool(lambda: NOW_US, ends.append, (), 0, 0, 10)
        pool.update_addresses({1: endpoint.address})
        pool.start(EndpointCall(1, LimitScopeKey(7, -1), NOW_US, [item]))
        assert await endpoint.received(1) == [
            b"POST /hook HTTP/1.1\r\n"
            + endpoint.host()
            + b"X-Correlation-Id: m1\r\nX-Time-Left: 1.234\r\n"
            + headers
            + b"Content-Length: 4\r\n\r\nbody"
        ]
        while not ends:
            await asyncio.sleep(0.002)
        assert ends == [AttemptEnded("m1", item.attempt, 1, Outcome.DELIVERED, 0, True)]
        pool.close()

    run(scene)


def test_a_call_with_several_messages_is_written_byte_for_byte() -> None:
    async def scene() -> None:
        states = b'[{"id":"a","state":"accepted"},{"id":"b","state":"deferred"},{"id":"c","state":"expired"}]'
        answer = (b"HTTP/1.1 200 OK\r\nX-RateLimit-Wait-Ms: 70\r\nContent-Length: %d\r\n\r\n" % len(states)) + states
        endpoint = await RecordingServer([answer]).start()
        ends: list[AttemptEnded] = []
        pool = ConnectionPool(lambda: NOW_US, ends.append, (), 0, 0, 10)
        pool.update_addresses({1: endpoint.address})
        due = NOW_US + 9_000_000
        items = [
            CallItem("a", 0, None, b"\x00\xff", NOW_US + 2_000_000, due),
            CallItem("b", 0, "key", b"two", NOW_US + 3_000_000, due),
            CallItem("c", 2, "key2", b"", NOW_US + 1_000_000, due, idempotency_key="once"),
            CallItem("d", 0, None, b"four", NOW_US + 1_000_000, due),
        ]
        pool.start(EndpointCall(1, LimitScopeKey(7, -1), NOW_US, items))
        body = (
            b'[{"id":"a","body":"AP8="},{"id":"b","key":"key","body":"dHdv"},'
            b'{"id":"c","key":"once","body":""},{"id":"d","body":"Zm91cg=="}]'
        )
        assert await endpoint.received(1) == [
            b"POST /hook/batch HTTP/1.1\r\n"
            + endpoint.host()
            + b"Content-Type: application/json\r\nX-Time-Left: 3.000\r\nContent-Length: %d\r\n\r\n" % len(body)
            + body
        ]
        while len(ends) < 4:
            await asyncio.sleep(0.002)
        assert ends == [
            AttemptEnded("a", 0, 1, Outcome.DELIVERED, 0, True, 70_000),
            AttemptEnded("b", 0, 1, Outcome.REJECTED, 0, False, 70_000),
            AttemptEnded("c", 2, 1, Outcome.NOT_SENT, 0, True, 70_000),
            AttemptEnded("d", 0, 1, Outcome.FAILED, 0, False, 70_000),
        ]
        pool.close()

    run(scene)


# Answers to clients


def text_answer(status: bytes, text: bytes = b"", headers: bytes = b"", close: bool = False) -> bytes:
    """Returns an answer whose body is one line of text, or empty."""
    body = text + b"\n" if text else b""
    content_type = b"Content-Type: text/plain; charset=utf-8\r\n" if text else b""
    connection = b"Connection: close\r\n" if close else b""
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n%s%s%s\r\n%s" % (
        status,
        len(body),
        headers,
        content_type,
        connection,
        body,
    )


LARGE = b"x" * (16 * 1024)
BAD = b"400 Bad Request"
EXCHANGES: dict[str, tuple[bytes, bytes]] = {
    "accepted": (message("accepted"), text_answer(b"202 Accepted")),
    "rejected": (message("rejected"), text_answer(b"429 Too Many Requests", b"refused", b"Retry-After: 1.500\r\n")),
    "busy": (message("busy"), text_answer(b"503 Service Unavailable", b"full", b"Retry-After: 0.700\r\n")),
    "not kept alive": (message("accepted", Connection="close"), text_answer(b"202 Accepted", close=True)),
    "health": (b"GET /up HTTP/1.1\r\n\r\n", text_answer(b"200 OK", b"up")),
    "health head": (b"HEAD /up HTTP/1.1\r\n\r\n", text_answer(b"200 OK", b"up")[: -len(b"up\n")]),
    "health post": (
        b"POST /up HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        text_answer(b"405 Method Not Allowed", b"GET only", b"Allow: GET, HEAD\r\n"),
    ),
    "unknown class": (message("m", "nowhere"), text_answer(b"404 Not Found", b"no such class of message")),
    "method": (
        b"GET /order HTTP/1.1\r\n\r\n",
        text_answer(b"405 Method Not Allowed", b"messages are handed in by POST", b"Allow: POST\r\n"),
    ),
    "no id": (message("m", X_Correlation_Id=None), text_answer(BAD, b"X-Correlation-Id is missing or malformed")),
    "id with a blank": (message("a b"), text_answer(BAD, b"X-Correlation-Id is missing or malformed")),
    "no time": (message("m", X_Time_Left=None), text_answer(BAD, b"X-Time-Left is missing or malformed")),
    "endless time": (message("m", left="inf"), text_answer(BAD, b"X-Time-Left is missing or malformed")),
    "no destination": (message("m", dest="x"), text_answer(BAD, b"X-Addressing names no destination")),
    "key": (message("m", X_Session_Key="k" * 257), text_answer(BAD, b"X-Session-Key is malformed")),
    "idempotency key": (message("m", Idempotency_Key="k" * 257), text_answer(BAD, b"Idempotency-Key is malformed")),
    "tenant": (message("m", X_Account="nobody"), text_answer(BAD, b"X-Account is missing or unknown")),
    "twice": (
        b"POST /order HTTP/1.1\r\nX-Time-Left: 1\r\nX-Time-Left: 2\r\nContent-Length: 0\r\n\r\n",
        text_answer(BAD, b"x-time-left stands twice"),
    ),
    "unreadable": (b"no request\r\n\r\n", text_answer(BAD, b"not a readable request", close=True)),
    "large head": (
        b"POST /order HTTP/1.1\r\nX: " + LARGE + b"\r\n\r\n",
        text_answer(b"431 Request Header Fields Too Large", b"the header is too large", close=True),
    ),
    "large body": (
        b"POST /order HTTP/1.1\r\nContent-Length: 65537\r\n\r\n",
        text_answer(b"413 Request Entity Too Large", b"the body is too large", close=True),
    ),
    "continue": (
        message("accepted", Expect="100-continue"),
        b"HTTP/1.1 100 Continue\r\n\r\n" + text_answer(b"202 Accepted"),
    ),
}


def answer_by_id(submission: Submission, connection: ClientConnection) -> None:
    match submission.id:
        case "accepted":
            connection.answer(HTTPStatus.ACCEPTED)
        case "rejected":
            connection.answer(HTTPStatus.TOO_MANY_REQUESTS, "refused", Retry_After="1.500")
        case _:
            connection.answer(HTTPStatus.SERVICE_UNAVAILABLE, "full", Retry_After="0.700")


@pytest.mark.parametrize("exchange", EXCHANGES)
def test_a_client_is_answered_byte_for_byte(exchange: str) -> None:
    async def scene() -> None:
        request, expected = EXCHANGES[exchange]
        server = ClientServer(parse_settings(SETTINGS), Clock(), 10, answer_by_id)
        server.listen(await bind(Address("127.0.0.1", 0)))
        assert server.listener is not None
        reader, writer = await asyncio.open_connection("127.0.0.1", server.listener.address().port)
        writer.write(request)
        writer.write_eof() if b"Connection: close" in expected else None
        assert await reader.readexactly(len(expected)) == expected
        writer.close()
        server.close()

    run(scene)


def test_the_engine_answers_rejected_submissions_byte_for_byte(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(intake_module, "retry_after_jittered", lambda: "0.812")

    class Recording:
        def __init__(self) -> None:
            self.answers: list[tuple[HTTPStatus, str, dict[str, str]]] = []

        def answer(self, status: HTTPStatus, text: str = "", **headers: str) -> None:
            self.answers.append((status, text, headers))

    async def scene() -> None:
        (tmp_path / "config.json").write_text(
            json.dumps({"name": "n", "listen": "127.0.0.1:9", "discovery": "127.0.0.1:9", "settings": SETTINGS})
        )
        config = load_config({"LB_CONFIG": str(tmp_path / "config.json"), "LB_STATE": str(tmp_path)})
        engine = Engine(config, Ownership(tmp_path), AdminServer(), await bind(Address("127.0.0.1", 0)))
        submission = Submission("m", config.settings.classes[0], 7, NOW_US, None, "acme", False, b"")
        client = Recording()
        engine.intake.reject_submission(submission, client, RejectMessage("m", 1_234_567))  # type: ignore[arg-type]
        engine.intake.reject_submission(submission, client, RejectMessage("m", 0))  # type: ignore[arg-type]
        engine.intake.reject_submission(submission, client, FailMessage("m"))  # type: ignore[arg-type]
        engine.intake.reject_unavailable(submission, client, "full")  # type: ignore[arg-type]
        assert client.answers == [
            (HTTPStatus.TOO_MANY_REQUESTS, "refused", {"Retry_After": "1.235"}),
            (HTTPStatus.TOO_MANY_REQUESTS, "refused", {}),
            (HTTPStatus.INTERNAL_SERVER_ERROR, "cannot be delivered", {}),
            (HTTPStatus.SERVICE_UNAVAILABLE, "full", {"Retry_After": "0.812"}),
        ]
        engine.client_socket.close()

    run(scene)


def test_a_half_read_request_that_is_evicted_is_answered_byte_for_byte() -> None:
    async def scene() -> None:
        server = ClientServer(parse_settings(SETTINGS), Clock(), 10, answer_by_id)
        server.listen(await bind(Address("127.0.0.1", 0)))
        assert server.listener is not None
        reader, writer = await asyncio.open_connection("127.0.0.1", server.listener.address().port)
        writer.write(message("half")[:-3])
        while not server.connections or next(iter(server.connections)).reader.partial is None:
            await asyncio.sleep(0.002)
        next(iter(server.connections)).evict("too many clients")
        assert await reader.read() == text_answer(b"503 Service Unavailable", b"too many clients", close=True)
        writer.close()
        server.close()

    run(scene)


# Requests to discovery


class NoticeSource:
    """Holds pending notices until they are acknowledged."""

    def __init__(self, pending: dict[str, PendingNotice]) -> None:
        self.pending = pending
        self.done = asyncio.Event()

    def pending_notices(self) -> dict[str, PendingNotice]:
        return dict(self.pending)

    def acknowledge_notices(self, message_ids: list[str]) -> None:
        for message_id in message_ids:
            del self.pending[message_id]
        if not self.pending:
            self.done.set()


def test_notices_are_posted_byte_for_byte() -> None:
    async def scene() -> None:
        discovery = await RecordingServer([b"HTTP/1.1 204 No Content\r\n\r\n"]).start()
        source = NoticeSource({"a": PendingNotice("failed", 0, None), "b": PendingNotice("returned", 1500, "key")})
        notifier = Notifier(discovery.address, source)
        notifier.wake()
        body = b'{"id":"a","state":"failed"}\n{"id":"b","state":"returned","after_ms":1500}\n'
        assert await discovery.received(1) == [
            b"POST /v1/notices HTTP/1.1\r\n" + discovery.host() + b"Content-Length: %d\r\n\r\n" % len(body) + body
        ]
        await source.done.wait()
        notifier.client.close()

    run(scene)


def list_answer(version: int, whole: bool) -> bytes:
    hosts = [{"host": "s1", "dial": "127.0.0.1:9", "site": "x", "class": "plain", "block": 7, "health": "up"}]
    body = json.dumps({"seq": version, "whole": whole, "hosts": hosts}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


@pytest.mark.parametrize(
    ("version", "current", "queries"),
    [
        (-1, False, [b"", b"?from=41&hold_ms=20000", b"?from=42&hold_ms=20000"]),
        (40, False, [b"?from=40&hold_ms=1", b"?from=41&hold_ms=20000", b"?from=42&hold_ms=20000"]),
        (40, True, [b"?from=40&hold_ms=20000", b"?from=41&hold_ms=20000", b"?from=42&hold_ms=20000"]),
    ],
)
def test_the_endpoint_list_is_polled_byte_for_byte(version: int, current: bool, queries: list[bytes]) -> None:
    async def scene() -> None:
        discovery = await RecordingServer(
            [list_answer(41, True), list_answer(42, False), list_answer(43, False)]
        ).start()
        lists: list[EndpointList | None] = []
        watch = EndpointListWatch(discovery.address, version, lists.append, current)
        watch.subscribe()
        assert (await discovery.received(3))[:3] == [
            b"GET /discovery/hosts" + query + b" HTTP/1.1\r\n" + discovery.host() + b"\r\n" for query in queries
        ]
        watch.client.close()

    run(scene)
