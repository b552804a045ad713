"""The clients' side: reads requests, checks their form, hands messages on, writes answers."""

from __future__ import annotations

import asyncio
import logging
import math
import select
import socket
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

from forwarder.clients.arrival_time import PatientSocket, waited_us
from forwarder.clients.listener import Listener, descriptor, fileno, unread
from forwarder.decisions.settings import MessageClass, Settings
from forwarder.protocol.http1 import MOST_BODY, parse_destination
from forwarder.runtime.descriptor_watch import ready_now
from forwarder.runtime.handover_format import ClientRecord
from forwarder.runtime.reason_counts import ReasonCounts, Subject
from forwarder.runtime.supervisor import Supervisor

MOST_HEAD = 16 * 1024
MOST_READ = 16 * 1024  # read at once from one client: what it has sent besides must not hold up the others
MOST_WAITING = 8  # requests read ahead on one connection before reading stops
CLIENT_PATIENCE_US = 400_000  # a client waits so long for an answer, and then closes its connection (PROTOCOL)
STALLED_US = 2_000_000  # no request for so long after connecting, or one half read: a peer is told within 3 s
OVERSHOOT = 16  # connections over the bound for a moment: a new one is accepted before it costs another
SHORT_CLOSES = 8  # connections closed at once where the process is short of descriptors
NEW_US = 500_000  # a connection without a request yet is new for so long
SWEEP_S = 0.25
LINGER_S = 1.0
FLUSH_S, FLUSH_STEP_S = 0.2, 0.01  # answers that have not left as the process ends have so long, looked at so often
BACKLOG = 512
ONLY_ONCE = frozenset({"x-correlation-id", "x-time-left", "x-addressing", "x-session-key", "idempotency-key"})
log = logging.getLogger("forwarder.server")


class BadRequestError(Exception):
    def __init__(self, status: HTTPStatus, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


@dataclass(slots=True)
class ClientRequest:
    came_us: int
    method: str = ""
    path: str = ""
    keep_alive: bool = True
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    bad: BadRequestError | None = None


@dataclass(slots=True)
class Submission:
    """A message as a client handed it in, well-formed but not yet taken on."""

    id: str
    cls: MessageClass
    destination: int
    due_us: int
    key: str | None
    tenant: str | None
    resent: bool
    body: bytes
    idempotency_key: str | None = None
    """By which endpoints know a repeat; passed on as it came."""


def readable(text: str, most: int) -> bool:
    """Whether a header's value can be kept and passed on as it came."""
    return len(text) <= most and text.isascii() and text.isprintable()


def parse_submission(request: ClientRequest, settings: Settings) -> Submission:
    """Read a message from a request, or say what is wrong with it."""
    name, bad = request.path.partition("?")[0].strip("/"), HTTPStatus.BAD_REQUEST
    cls = next((c for c in settings.classes if c.name == name.partition("/")[0]), None)
    if cls is None:
        raise BadRequestError(HTTPStatus.NOT_FOUND, "no such class of message")
    if request.method != "POST":
        raise BadRequestError(HTTPStatus.METHOD_NOT_ALLOWED, "messages are handed in by POST")
    h = request.headers
    ident = h.get("x-correlation-id", "")
    if not ident or not readable(ident, 128) or " " in ident:
        raise BadRequestError(bad, "X-Correlation-Id is missing or malformed")
    try:
        left = float(h["x-time-left"])
        if not math.isfinite(left) or abs(left) > 86400:
            raise ValueError
    except (KeyError, ValueError):
        raise BadRequestError(bad, "X-Time-Left is missing or malformed") from None
    dest = parse_destination(h.get("x-addressing", ""))
    if dest is None:
        raise BadRequestError(bad, "X-Addressing names no destination")
    key = h.get("x-session-key")
    if key is not None and not readable(key, 256):
        raise BadRequestError(bad, "X-Session-Key is malformed")
    once_key = h.get("idempotency-key")
    if once_key is not None and not readable(once_key, 256):
        raise BadRequestError(bad, "Idempotency-Key is malformed")
    tenant = h.get("x-account")
    if settings.tenants and tenant not in {t.name for t in settings.tenants}:
        raise BadRequestError(bad, "X-Account is missing or unknown")
    return Submission(
        ident,
        cls,
        dest,
        request.came_us + int(left * 1_000_000),
        key,
        tenant,
        h.get("x-repeat") == "1",
        bytes(request.body),
        once_key,
    )


class ClientConnection(asyncio.BufferedProtocol):
    """One client's connection. Requests are answered one at a time, in the order they came. One that another
    process handed over begins with what had been read of a request. `waited_us`: so long it may have waited to be
    accepted, and its first request with it.
    """

    def __init__(self, server: ClientServer, handed: ClientRecord | None = None, waited_us: int = 0) -> None:
        self.server = server
        self.handed = handed
        self.raw = bytearray()  # what has been read of the request that is being read
        self.shared = False  # what was read last held the end of a request too
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.reading: ClientRequest | None = None
        self.head = 0
        self.waiting: deque[ClientRequest] = deque()
        self.busy: ClientRequest | None = None
        self.left: Callable[[], None] | None = None
        self.made_us = self.used_us = self.arrived_us = server.clock()
        self.attached_us = self.made_us
        """Since when the loop watches it."""
        self.unread_since_us = self.attached_us - min(waited_us, CLIENT_PATIENCE_US)
        """Since when something may lie unread that the loop has not reported. No client waits longer than its patience,
        so what is left open now is no older than that."""
        self.asked = self.broken = self.ended = self.full = False  # full: it does not read what it is answered

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.joined(self)
        if self.handed is not None:
            self.resume(self.handed)

    def resume(self, handed: ClientRecord) -> None:
        """Goes on from where the process before has handed the connection over."""
        self.made_us = handed.connected_at_us
        self.asked = handed.has_sent_request
        if handed.received:
            self.data_received(handed.received)
        if self.reading is not None:
            self.reading.came_us = handed.request_began_us
        self.used_us = handed.last_used_us
        self.unread_since_us = self.attached_us if handed.handed_over_at_us is None else handed.handed_over_at_us

    def arrival(self) -> int:
        """When what is read now may have come, at the earliest."""
        at_us = self.used_us - waited_us()
        if at_us <= self.attached_us or self.unread_since_us > self.attached_us:
            at_us = min(at_us, self.unread_since_us)
        self.unread_since_us = self.attached_us
        return at_us

    def hand_over(self) -> ClientRecord | None:
        """Returns what another process needs to go on with this connection; None where it cannot."""
        assert self.transport is not None
        mixed = self.reading is not None and not self.raw
        if (
            self.busy is not None
            or self.waiting
            or self.broken
            or self.ended
            or mixed
            or self.transport.is_closing()
            or self.transport.get_write_buffer_size()
        ):
            return None
        return ClientRecord(
            connected_at_us=self.made_us,
            last_used_us=self.used_us,
            has_sent_request=self.asked,
            handed_over_at_us=self.server.clock(),
            request_began_us=0 if self.reading is None else self.reading.came_us,
            received=bytes(self.raw),
        )

    def connection_lost(self, error: Exception | None) -> None:
        self.server.doors.discard(self)
        self.server.closing.discard(self)
        self.waiting.clear()
        self.gone()
        del self.parser  # it holds this door: freed at once, and not when the collector comes by

    def eof_received(self) -> bool:
        """A client that ends its side no longer waits; what it may still read is a refusal."""
        self.ended = True
        if self.busy is None:
            return False
        self.gone()
        self.answer(HTTPStatus.SERVICE_UNAVAILABLE, "withdrawn")
        return False

    def gone(self) -> None:
        left, self.left = self.left, None
        if left is not None:
            left()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.server.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self.server.buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        self.used_us = self.server.clock()
        self.arrived_us = self.arrival()
        if self.broken:
            return
        fresh, self.shared = self.reading is None, False
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass
        except (httptools.HttpParserError, BadRequestError) as error:
            # After a request that cannot be read, nothing on this connection can be trusted to begin where
            # it seems to: it is answered, in its turn, and the connection closed.
            cause = error.__context__ if isinstance(error.__context__, BadRequestError) else error
            if not isinstance(cause, BadRequestError):
                cause = BadRequestError(HTTPStatus.BAD_REQUEST, "not a readable request")
            self.broken = True
            # Without its traceback, whose frames hold this door.
            self.waiting.append(ClientRequest(self.used_us, keep_alive=False, bad=cause.with_traceback(None)))
            self.reading = None
        if self.reading is None or self.shared:
            self.raw.clear()
        elif fresh or self.raw:
            self.raw += data
        self.next()

    # Called by the parser

    def on_message_begin(self) -> None:
        self.reading, self.head = ClientRequest(self.arrived_us), 0

    def on_url(self, url: bytes) -> None:
        self.grow(len(url))
        if self.reading is not None:
            self.reading.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        self.grow(len(name) + len(value))
        if self.reading is not None:
            known = self.reading.headers
            low = name.decode("latin-1").lower()
            if low in known and low in ONLY_ONCE:
                self.reading.bad = BadRequestError(HTTPStatus.BAD_REQUEST, f"{low} stands twice")
            known[low] = value.decode("latin-1").strip()

    def grow(self, more: int) -> None:
        self.head += more
        if self.head > MOST_HEAD:
            raise BadRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the header is too large")

    def on_headers_complete(self) -> None:
        if self.reading is not None and self.transport is not None:
            length = self.reading.headers.get("content-length", "0")
            if length.isdigit() and int(length) > MOST_BODY:
                raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
            if self.reading.headers.get("expect", "").lower() == "100-continue" and self.busy is None:
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        if self.reading is not None:
            if len(self.reading.body) + len(body) > MOST_BODY:
                raise BadRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
            self.reading.body += body

    def on_message_complete(self) -> None:
        if self.reading is not None:
            self.reading.method = self.parser.get_method().decode("latin-1")
            self.reading.keep_alive = self.parser.should_keep_alive()
            self.asked = self.shared = True
            self.waiting.append(self.reading)
            self.reading = None

    # Answering

    def pause_writing(self) -> None:
        """It does not read its answers: what it goes on to send stays unread, so that they do not pile up."""
        self.full = True

    def resume_writing(self) -> None:
        self.full = False
        self.used_us = self.server.clock()
        self.next()

    def next(self) -> None:
        while self.busy is None and self.waiting and self.transport is not None and not self.full:
            self.busy = self.waiting.popleft()
            self.server.handle(self, self.busy)
        if self.transport is not None and not self.transport.is_closing():
            if self.full or len(self.waiting) >= MOST_WAITING:
                if self.transport.is_reading():
                    self.unread_since_us = self.server.clock()
                self.transport.pause_reading()
            elif not self.transport.is_reading():
                self.transport.resume_reading()

    def answer(self, status: HTTPStatus, text: str = "", **headers: str) -> None:
        request, self.busy, self.left = self.busy, None, None
        if request is None or self.transport is None or self.transport.is_closing():
            return
        keep = request.keep_alive and not self.server.leaving and not self.ended
        body = (text + "\n").encode() if text else b""
        lines = [
            f"HTTP/1.1 {status.value} {status.phrase}",
            f"Content-Length: {len(body)}",
            *(f"{k.replace('_', '-')}: {v}" for k, v in headers.items()),
        ]
        if body:
            lines.append("Content-Type: text/plain; charset=utf-8")
        if not keep:
            lines.append("Connection: close")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n"
        self.transport.write(data if request.method == "HEAD" else data + body)
        self.used_us = self.server.clock()
        if self.broken and not self.waiting:
            # The client may still be sending: to close now would reset what it has not read yet.
            if self.transport.can_write_eof():
                self.transport.write_eof()
            asyncio.get_running_loop().call_later(LINGER_S, self.close, "an unreadable request was answered")
        elif not keep and not self.waiting:
            self.close("answered, and not kept alive")
        elif not self.ended:
            asyncio.get_running_loop().call_soon(self.next)

    def answer_waiting(self) -> None:
        """Go on with what was read already, without waiting for the loop's next turn."""
        while self.busy is None and self.waiting and not self.full:
            self.next()

    def idle(self) -> bool:
        return self.busy is None and self.reading is None and not self.waiting

    def close(self, reason: str = "on demand") -> None:
        if self.transport is not None and not self.transport.is_closing():
            if self.busy is not None and not self.server.ended:
                self.server.reasons.note(
                    Subject.VIOLATION,
                    f"closed with a request unanswered: {reason}",
                    self.busy.headers.get("x-correlation-id", ""),
                )
            self.noted(reason)
            self.transport.close()

    def abort(self, reason: str = "on demand") -> None:
        if self.transport is not None:
            self.noted(reason)
            self.transport.abort()

    def evict(self, reason: str) -> None:
        """Close it to make room. One that is half way into a request is told so."""
        if self.reading is not None:
            self.broken, self.reading = True, None
            self.busy = ClientRequest(self.used_us, keep_alive=False)
            self.answer(HTTPStatus.SERVICE_UNAVAILABLE, reason)
        self.close(reason)

    def noted(self, reason: str) -> None:
        assert self.transport is not None
        self.server.closing.add(self)
        self.server.reasons.note(Subject.CLIENT_CLOSED, reason, str(self.transport.get_extra_info("peername")))

    def unsent(self) -> bool:
        """Whether it has not taken all of its answers yet."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def closed(self) -> bool:
        return self.transport is None or self.transport.is_closing()


def disconnected(waiting: Mapping[str, ClientConnection]) -> list[str]:
    """Those of the messages that wait for an answer whose client has ended its side, or the whole connection. The end
    may lie in the kernel unread: after a loop that stood still, a request and its client's end are both there. One
    system call for all; where it fails, a message is taken on that its client may have given up, which does no harm.
    """
    ends, names = select.poll(), {}
    for name, door in waiting.items():
        if not door.closed():
            number = fileno(door.transport)
            names[number] = name
            ends.register(number, select.POLLRDHUP)
    unread = [names[number] for number, _ in ready_now(ends) or ()] if names else []
    return [name for name, door in waiting.items() if door.closed()] + unread


class ClientServer:
    """Listens for clients. `hand_in` gets each well-formed message together with its connection."""

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], int],
        most: int,
        hand_in: Callable[[Submission, ClientConnection], None],
        reasons: ReasonCounts | None = None,
        supervisor: Supervisor | None = None,
    ) -> None:
        self.reasons, self.supervisor = reasons or ReasonCounts(), supervisor or Supervisor()
        self.settings, self.clock, self.most, self.hand_in = settings, clock, most, hand_in
        self.doors: set[ClientConnection] = set()
        self.closing: set[ClientConnection] = (
            set()
        )  # those of them that are closed here, and whose descriptors are not free yet
        self.buffer = memoryview(bytearray(MOST_READ))  # for all doors: what is read is copied at once
        self.leaving = self.ended = False
        self.listener: Listener | None = None

    def listen(self, sock: socket.socket) -> None:
        self.listener = Listener(
            sock, BACKLOG, lambda waited_us: ClientConnection(self, waited_us=waited_us), self.room, self.short
        )
        self.supervisor.repeat("sweep of clients", SWEEP_S, self.sweep)

    async def adopt(self, sock: socket.socket, handed: ClientRecord | None) -> None:
        """Go on with a client's connection of the process before."""
        patient = PatientSocket.of(sock)
        patient.setblocking(False)
        await asyncio.get_running_loop().connect_accepted_socket(lambda: ClientConnection(self, handed), patient)

    def room(self) -> int:
        """How many connections may be accepted now. All that hold a descriptor count, those that are closing too: what
        is closed gives its descriptor back in the loop's next turn, and until then a burst would find none.
        """
        while self.crowded() and (door := self.spare()) is not None:  # one that could not be spared before, now can
            door.evict("too many clients")
        coming = 0 if self.listener is None else len(self.listener.coming)
        return self.most + OVERSHOOT - len(self.doors) - coming

    def crowded(self) -> bool:
        """Whether there are more than the bound, without those that are closing."""
        return len(self.doors) - len(self.closing) > self.most

    def joined(self, door: ClientConnection) -> None:
        """Keep the bound: each connection beyond it costs another one, or itself where none can be spared. One whose
        request waits unread stays: nothing more is accepted until others have gone.
        """
        self.doors.add(door)
        if not self.crowded():
            return
        victim = self.spare(door)
        if victim is None and not self.unread([door]):
            victim = door
        if victim is not None:
            victim.evict("too many clients")

    def spare(self, new: ClientConnection | None = None) -> ClientConnection | None:
        """The connection that is given up first: a silent or half-read one that is not quite new; then the one between
        requests that has been idle longest; then the oldest without a request. None that is owed an answer, and none
        with a request that lies unread in the kernel.
        """
        recent = self.clock() - NEW_US

        def rank(door: ClientConnection) -> tuple[int, int]:
            return (1 if door.asked else 0 if door.made_us < recent else 2), door.used_us

        free = sorted(
            (
                door
                for door in self.doors - self.closing
                if door is not new
                and door.transport is not None
                and (door.idle() or (door.busy is None and not door.asked))
                and not door.closed()
                and not door.unsent()
            ),
            key=rank,
        )
        return next((door for door in free if not self.unread([door])), None)

    def short(self, error: OSError) -> None:
        """Descriptors are not to be had: without some of the idle clients' nothing can be accepted, nor called."""
        self.reasons.note(Subject.REFUSAL, f"cannot accept: {error.strerror}")
        for _ in range(SHORT_CLOSES):
            door = self.spare()
            if door is None:
                return
            door.evict("short of descriptors")

    @staticmethod
    def unread(doors: Iterable[ClientConnection]) -> set[ClientConnection]:
        """Those with bytes, or an end, that wait in the kernel: closed now, a request might be lost."""
        by_number = {descriptor(door.transport): door for door in doors if not door.closed()}
        return {by_number[number] for number in unread(door.transport for door in by_number.values())}

    def sweep(self) -> None:
        """Peers that send nothing, or a part of a request, must not hold their sockets: clients need them."""
        old = self.clock() - STALLED_US
        unread = self.unread(door for door in self.doors if not door.asked and door.made_us < old)
        for door in [door for door in self.doors if door not in unread or door.full]:
            if (door.full or door.closed()) and door.used_us < old:
                door.abort("its answers stay unread")  # it reads nothing: a close in order would wait for it for ever
            elif door.busy is not None or door.broken:
                continue
            elif door.reading is not None and door.reading.came_us < old:
                door.broken, door.reading = True, None
                door.busy = ClientRequest(old, keep_alive=False)
                door.answer(HTTPStatus.REQUEST_TIMEOUT, "the request did not come to its end")
            elif door.idle() and not door.asked and door.made_us < old:
                door.close("no request came")

    def handle(self, door: ClientConnection, request: ClientRequest) -> None:
        if request.bad is not None:
            door.answer(request.bad.status, request.bad.text)
        elif request.path.partition("?")[0] == "/up":
            if request.method not in ("GET", "HEAD"):
                door.answer(HTTPStatus.METHOD_NOT_ALLOWED, "GET only", Allow="GET, HEAD")
            elif self.leaving:
                door.answer(HTTPStatus.SERVICE_UNAVAILABLE, "stopping")
            else:
                door.answer(HTTPStatus.OK, "up")
        else:
            try:
                handed = parse_submission(request, self.settings)
            except BadRequestError as bad:
                more = {"Allow": "POST"} if bad.status is HTTPStatus.METHOD_NOT_ALLOWED else {}
                door.answer(bad.status, bad.text, **more)
                return
            self.hand_in(handed, door)

    def let_go(self) -> None:
        """Close connections between requests only. One that is new may have its first request on the way."""
        new = self.clock() - NEW_US
        free = [door for door in self.doors if door.idle() and (door.asked or door.made_us < new)]
        unread = self.unread(free)
        for door in [door for door in free if door not in unread]:
            door.close("sent away between requests")

    async def finish(self) -> None:
        """Before the end: requests that were read are answered, and answers have a moment to leave."""
        for door in list(self.doors):
            door.answer_waiting()
        patience_s = asyncio.get_running_loop().time() + FLUSH_S
        while any(door.unsent() for door in self.doors) and asyncio.get_running_loop().time() < patience_s:
            await asyncio.sleep(FLUSH_STEP_S)

    def close(self) -> None:
        self.ended = True
        if self.listener is not None:
            self.listener.close()
        for door in list(self.doors):
            door.close("the process ends")
