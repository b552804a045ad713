"""Fake endpoints on sockets: one listener per forwarder; all of them share the destination's rate limit."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus

import httptools

from lab.endpoint_model import INFORMED_SHARE, EndpointModel
from lab.event_log import EventKind, EventLog
from lab.listener import Listener, ListenerState
from lab.network import Address, Link, LinkConnection, Network

REASON_PHRASES = {
    HTTPStatus.OK: "OK",
    HTTPStatus.BAD_REQUEST: "Bad Request",
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: "Too Large",
    HTTPStatus.TOO_MANY_REQUESTS: "Too Many",
    HTTPStatus.INTERNAL_SERVER_ERROR: "Fault",
    HTTPStatus.SERVICE_UNAVAILABLE: "Unavailable",
}
BATCH_PATH = "/hook/batch"
REFUSALS = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


@dataclass(slots=True, eq=False)
class Call:
    """One call at an endpoint."""

    number: int
    connection: EndpointConnection
    message_ids: list[str]
    first_byte_s: float
    is_batch: bool
    pays_handshake: bool
    """Whether it is the first call on its connection."""
    is_over: bool = False


@dataclass(frozen=True, slots=True)
class WaitingCall:
    """A call in an endpoint's queue, with its service time."""

    call: Call
    service_s: float


@dataclass(frozen=True, slots=True)
class PendingAnswer:
    """An answer that was decided but is not written yet."""

    call: Call
    status: HTTPStatus
    retry_after_s: float


def _ignore(message_id: str) -> None:
    """Ignore a message."""


@dataclass(slots=True, eq=False)
class EndpointServer:
    """One endpoint with all its connections."""

    model: EndpointModel[WaitingCall]
    network: Network
    event_log: EventLog
    is_submitted: Callable[[str, str, int], bool]
    """Returns whether a client submitted a message (id) to a forwarder (name) for a destination."""
    on_started: Callable[[str], None] = _ignore
    on_delivered: Callable[[str], None] = _ignore
    is_silent: bool = False
    """Whether the endpoint leaves connections unanswered while it is down; otherwise it refuses them."""
    connections: set[EndpointConnection] = field(default_factory=set)
    call_numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    @property
    def name(self) -> str:
        """The endpoint's name."""
        return self.model.spec.name

    def make_listener(self, node: str, address: Address) -> Listener:
        """Create the listener for one forwarder."""
        link = (node, self.name)
        return Listener(self.network, link, address, partial(EndpointConnection, self, link), self.listener_state)

    def listener_state(self) -> ListenerState:
        """Return how the endpoint itself treats new connections."""
        if not self.model.is_down:
            return ListenerState.OPEN
        return ListenerState.SILENT if self.is_silent else ListenerState.REFUSING

    # Called by the fault injection

    def fail(self, silent: bool) -> None:
        """Start an outage that refuses connections or leaves them unanswered."""
        self.is_silent = silent
        self.model.fail()
        self.event_log.note(EventKind.OUTAGE_STARTED, party=self.name)
        self._apply_model_state()

    def recover(self) -> None:
        """End an outage."""
        self.model.recover(self.event_log.clock())
        state = "fallen" if self.model.is_overloaded else "cold"
        self.event_log.note(EventKind.OUTAGE_ENDED, party=self.name, state=state)
        self._apply_model_state()

    def _apply_model_state(self) -> None:
        for link, listener in self.network.listeners.items():
            if link[1] == self.name:
                listener.apply_link_state()
        if not self.model.is_down:
            return
        self.model.queue.clear()
        self.model.busy_slots = 0
        for connection in list(self.connections):
            if self.is_silent:
                connection.silence()
            else:
                connection.abort()

    # Calls

    def handle_call(self, call: Call, node: str) -> None:
        """Answer, queue or start a completely received call."""
        now_s = self.event_log.clock()
        destination = self.model.spec.destination
        for message_id in call.message_ids:
            self.event_log.note(
                EventKind.CALL_RECEIVED,
                id=message_id,
                node=node,
                party=self.name,
                call=call.number,
                first_s=call.first_byte_s,
                destination=destination,
            )
        known = [self.is_submitted(message_id, node, destination) for message_id in call.message_ids]
        if not known or not all(known):
            ids = ",".join(call.message_ids)
            self.event_log.note(EventKind.UNKNOWN_MESSAGE, id=ids, node=node, party=self.name)
            self._answer(call, HTTPStatus.BAD_REQUEST)
            return
        informed_share = self.model.count_against_budget(now_s, node)
        if informed_share is not None:
            self._overload(informed_share)
            return
        self._decide(call, now_s)

    def _overload(self, informed_share: float) -> None:
        state = "pushed" if informed_share >= INFORMED_SHARE else ""
        self.event_log.note(EventKind.ENDPOINT_OVERLOADED, party=self.name, share=informed_share, state=state)
        self._apply_model_state()

    def _decide(self, call: Call, now_s: float) -> None:
        decision = self.model.decide(now_s)
        if decision.status is not HTTPStatus.OK:
            self._answer(call, decision.status, decision.retry_after_s)
        elif self.model.has_free_slot():
            self._start(call, decision.service_s)
        else:
            self.model.queue.append(WaitingCall(call, decision.service_s))

    def _start(self, call: Call, service_s: float) -> None:
        self.model.busy_slots += 1
        node = call.connection.link[0]
        for message_id in call.message_ids:
            self.event_log.note(EventKind.CALL_STARTED, id=message_id, node=node, party=self.name, call=call.number)
            self.on_started(message_id)
        handshake_s = self.model.settings.handshake_s if call.pays_handshake else 0.0
        asyncio.get_running_loop().call_later(service_s + handshake_s, self._finish, call)

    def _finish(self, call: Call) -> None:
        """Finish a call, even if its connection has ended, and start queued calls."""
        model = self.model
        if model.is_down:
            return
        model.busy_slots = max(0, model.busy_slots - 1)
        while model.queue and model.has_free_slot():
            waiting = model.queue.popleft()
            if not waiting.call.is_over:  # calls whose connection has ended are not started
                self._start(waiting.call, waiting.service_s)
        self._answer(call, HTTPStatus.OK)

    def _answer(self, call: Call, status: HTTPStatus, retry_after_s: float = 0.0) -> None:
        if not call.is_over:
            call.connection.answer(call, status, retry_after_s)


class EndpointConnection(LinkConnection):
    """One connection from a forwarder to a fake endpoint."""

    def __init__(self, server: EndpointServer, link: Link) -> None:
        super().__init__(server.network, link)
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.call: Call | None = None
        self.call_count = 0
        self.first_byte_s = 0.0
        self.headers: dict[str, str] = {}
        self.path = ""
        self.body = bytearray()
        self.pending_answers: list[PendingAnswer] = []

    @property
    def node(self) -> str:
        """The forwarder's name."""
        return self.link[0]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or reset it if the endpoint has too many."""
        super().connection_made(transport)
        self.server.event_log.note(EventKind.CONNECTION_OPENED, node=self.node, party=self.server.name)
        if len(self.server.connections) >= self.server.model.settings.connections:
            self.abort()
            return
        self.server.connections.add(self)

    def silence(self) -> None:
        """Stop reading and answering, as if the endpoint's machine had vanished."""
        if self.transport is not None:
            self.transport.pause_reading()
        self._drop_calls()

    def on_peer_ended(self) -> None:
        """Abort the connection's calls."""
        self._drop_calls()

    def on_closed(self) -> None:
        """Abort the connection's calls; a forwarder whose connection breaks during an outage knows about the outage."""
        self.server.connections.discard(self)
        self._drop_calls()
        if self.server.model.is_down:
            self.server.model.informed_nodes.add(self.node)

    def _drop_calls(self) -> None:
        """Abort the calls of an unusable connection. Answers that the link held back are never sent."""
        calls = [pending.call for pending in self.pending_answers]
        if self.call is not None:
            calls.append(self.call)
        self.call = None
        self.pending_answers = []
        self.muted = True
        for call in calls:
            call.is_over = True
            for message_id in call.message_ids:
                self.server.event_log.note(
                    EventKind.CALL_ABORTED, id=message_id, node=self.node, party=self.server.name, call=call.number
                )

    def receive(self, data: bytes) -> None:
        """Parse bytes from the forwarder, unless the endpoint is down."""
        if self.server.model.is_down:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    # Called by the parser

    def on_message_begin(self) -> None:
        """Reset the request's fields."""
        self.first_byte_s = self.server.event_log.clock()
        self.headers = {}
        self.path = ""
        self.body = bytearray()

    def on_url(self, url: bytes) -> None:
        """Append to the request's path."""
        self.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header of the request."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Append to the request's body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Pass the call to the endpoint."""
        is_batch = self.path == BATCH_PATH
        self.call_count += 1
        self.call = Call(
            number=next(self.server.call_numbers),
            connection=self,
            message_ids=self._batch_ids() if is_batch else [self.headers.get("x-correlation-id", "")],
            first_byte_s=self.first_byte_s,
            is_batch=is_batch,
            pays_handshake=self.call_count == 1,
        )
        self.server.handle_call(self.call, self.node)

    def _batch_ids(self) -> list[str]:
        """Return the message ids of a batch; none if it cannot be parsed."""
        try:
            return [str(entry["id"]) for entry in json.loads(self.body)]
        except (ValueError, TypeError, KeyError):
            return []

    # Answers

    def answer(self, call: Call, status: HTTPStatus, retry_after_s: float) -> None:
        """Send an answer, subject to the link's faults."""
        model = self.server.model
        if status in REFUSALS and model.is_warming_up(self.server.event_log.clock()):
            model.informed_nodes.add(self.node)
        self.call = None
        self.pending_answers.append(PendingAnswer(call, status, retry_after_s))
        self.send(encode_answer(call, status, retry_after_s, model.destination.load_report()))

    def on_sent(self, data: bytes) -> None:
        """Record the answer that was written: a call counts as answered only now."""
        answer = self.pending_answers.pop(0)
        answer.call.is_over = True
        for message_id in answer.call.message_ids:
            self.server.event_log.note(
                EventKind.CALL_ANSWERED,
                id=message_id,
                node=self.node,
                party=self.server.name,
                call=answer.call.number,
                status=answer.status,
                wait_s=answer.retry_after_s,
                destination=self.server.model.spec.destination,
            )
            if answer.status is HTTPStatus.OK:
                self.server.on_delivered(message_id)


def encode_answer(call: Call, status: HTTPStatus, retry_after_s: float, load_report: str | None) -> bytes:
    """Encode an answer as the protocol page defines it ("Forwarders to endpoints")."""
    body = b""
    if status is HTTPStatus.OK and call.is_batch:
        body = json.dumps([{"id": message_id, "state": "accepted"} for message_id in call.message_ids]).encode()
    lines = [f"HTTP/1.1 {status} {REASON_PHRASES[status]}", f"Content-Length: {len(body)}"]
    if load_report is not None:
        lines.append(f"X-Backend-Load: {load_report}")
    if retry_after_s:
        lines.append(f"X-RateLimit-Wait-Ms: {retry_after_s * 1000:.0f}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
