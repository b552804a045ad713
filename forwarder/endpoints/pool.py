"""Calls to targets: a pool of connections for each, one call at a time on a connection, no resend.

What parts 'could not connect' (it never ran) from 'reset' (it may have run) is whether the call's last byte
was handed to the socket; so every byte is written here and no library below keeps or resends one.
"""

from __future__ import annotations

import asyncio
import base64
import errno
import json
import logging
import select
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from forwarder.clients.listener import fileno, reset_on_close
from forwarder.config.config import Address
from forwarder.decisions.events import AttemptEnded, LoadReport
from forwarder.decisions.outcomes import Outcome
from forwarder.protocol.http1 import (
    MOST_BODY,
    BadResponseError,
    ResponseReader,
    parse_load_report,
    parse_retry_after_us,
    render_request,
)
from forwarder.runtime.descriptor_watch import ready_now
from forwarder.runtime.handover_format import (
    NO_CONNECTION,
    AttemptRecord,
    CallRecord,
    IdleConnectionRecord,
    PoolRecord,
)
from forwarder.runtime.invariants import AttemptFacts, Invariants, RouteFacts, route_denial
from forwarder.runtime.reason_counts import ReasonCounts, Subject
from forwarder.runtime.supervisor import Repeating, Supervisor
from forwarder.units import NEVER_US

IDLE_MARGIN_US = 700_000  # an idle connection is closed so long before its target would: a reset costs a try
SWEEP_S = 0.2
GIVEN_UP_S = 0.1  # an answer that crosses the giving up of its call is waited for so long; a call is given up at its
# message's time at the latest, and the end is owed 0.3 s after that
QUIET_S = 0.25  # an answer that has begun and then stands still for so long does not come to its end
EDGE_US = 40_000  # a delivery heard so shortly before its message's time, or later, may not count: see Pool.over
MOST_IDLE = 4  # idle connections kept to one target: some take only few, idle ones counted
MOST_WAITS = 1000
SECOND = 1_000_000
STATES = {
    "accepted": Outcome.DELIVERED,
    "fault": Outcome.FAILED,
    "deferred": Outcome.REJECTED,
    "expired": Outcome.NOT_SENT,
    "no_more": Outcome.NOT_SENT,
}
LOCAL_ERRORS = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.EADDRINUSE,
        errno.EAGAIN,
        errno.ENETUNREACH,
        errno.ENETDOWN,
        errno.EPERM,
        errno.EACCES,
        errno.EAFNOSUPPORT,
        errno.EINTR,
    }
)
"""Errors of socket and connect that tell of this machine, and not of an endpoint (socket(2), connect(2))."""
log = logging.getLogger("forwarder.client")


@dataclass(slots=True)
class CallItem:
    """One message of a call."""

    id: str
    attempt: int
    key: str | None
    body: bytes
    until_us: int
    """Its own time-out, when it is alone in its call."""
    due_us: int
    """Its time is up then, and its end is owed."""
    idempotency_key: str | None = None
    leave_by_us: int = NEVER_US
    """It may not leave at this time or later."""

    @property
    def batch_key(self) -> str | None:
        """Its key in a call of several: targets know a repeat by it, so the idempotency key goes first."""
        return self.idempotency_key or self.key


@dataclass(slots=True)
class EndpointCall:
    target: int
    place: tuple[int, int]
    """What shares a wait: its destination, or one route where routes are apart."""
    sent_us: int
    items: list[CallItem]
    until_us: int = 0
    connection: EndpointConnection | None = None
    timer: asyncio.TimerHandle | None = None
    quiet: asyncio.TimerHandle | None = None
    written: bool = False
    batched: bool = False
    open: dict[str, CallItem] = field(default_factory=dict)


@dataclass(slots=True)
class CallResult:
    outcome: Outcome
    closed: bool = False
    wait_us: int = 0


Sink = Callable[[AttemptEnded], None]


class EndpointConnection(asyncio.Protocol):
    """A connection to a target, with at most one call on it.

    While a call is out, the end of the connection is a reset: bytes that still wait in the send buffer, since the
    target or the network takes none, must not arrive once the call has ended here.
    """

    def __init__(self, pool: ConnectionPool, call: EndpointCall | None = None, seen: bytes = b"") -> None:
        self.pool, self.idle_us = pool, 0
        self.call = call
        self.answered = call is None
        """Whether nothing is out on it: its end says nothing of a call."""
        self.given_up: Outcome | None = None
        self.seen = bytearray(seen)  # of the answer that is being read
        self.transport: asyncio.Transport | None = None
        self.reader = ResponseReader()
        self.unread = select.poll()  # one for all calls on it: what has come and is not read yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(0)  # so that resume_writing tells that the last byte is out
        self.transport = transport
        self.reset_on_close(True)
        if transport.get_extra_info("socket") is not None:
            self.unread.register(fileno(transport), select.POLLIN)
        if self.call is not None:  # another process wrote it
            self.call.connection = self
            if self.seen:
                self.read(bytes(self.seen))

    def reset_on_close(self, on: bool) -> None:
        sock = None if self.transport is None else self.transport.get_extra_info("socket")
        if sock is not None:
            with suppress(OSError):  # it has gone already
                reset_on_close(sock, on)

    def resume_writing(self) -> None:
        if self.call is not None:
            self.call.written = True

    def closing(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def start(self, call: EndpointCall, data: bytes) -> bool:
        """Write a call. False where the connection was dead already, or something has come on it that nothing asked
        for: not a byte of the call has left then.
        """
        assert self.transport is not None
        if self.spoilt():
            self.close("bytes or an end that nothing asked for")
            return False
        self.reader.renew()
        self.seen.clear()
        self.answered = False
        self.transport.write(data)
        if self.transport.is_closing():
            return False
        self.call, call.connection = call, self
        call.written = self.transport.get_write_buffer_size() == 0
        return True

    def spoilt(self) -> bool:
        """Whether bytes or an end have come that are not read yet. Read after a call is written they would be taken
        for its answer, or for the end of a call that never arrived. True too where the kernel cannot tell.
        """
        return ready_now(self.unread) != []

    def close(self, reason: str = "on demand") -> None:
        if self.transport is not None:
            self.pool.reasons.note(Subject.ENDPOINT_CLOSED, reason, str(self.transport.get_extra_info("peername")))
            if self.answered:
                self.reset_on_close(False)
            self.transport.abort()

    def give_up(self, outcome: Outcome) -> None:
        """Wait no longer for the answer to a call: end the sending, which gives it up, and the connection a little
        later. Its end is told as the connection is gone, and not before: an answer that crosses the giving up was
        written, so the wait that it tells holds.
        """
        if self.given_up is not None:
            return
        self.given_up = outcome
        call, reason = self.call, f"call given up: {outcome.value}"
        if call is None or not call.written or self.transport is None or not self.transport.can_write_eof():
            self.close(reason)
            return
        self.transport.write_eof()
        call.timer = asyncio.get_running_loop().call_later(GIVEN_UP_S, self.close, reason)

    def data_received(self, data: bytes) -> None:
        self.seen += data
        self.read(data)

    def read(self, data: bytes) -> None:
        call = self.call
        if call is None:  # nothing was asked: not to be trusted any more
            self.close("bytes or an end that nothing asked for")
            return
        try:
            self.reader.feed(data)
        except BadResponseError as error:
            log.warning("target %d: bad answer: %s", call.target, error)
            self.call = None
            self.pool.ended(call, self.reader, broken=True)
            self.close("bad answer")
            return
        if self.reader.complete:
            self.finish(call)
        else:
            self.pool.hush(call)

    def eof_received(self) -> bool:
        if self.call is not None:
            self.reader.end()
            if self.reader.complete:
                self.finish(self.call)
        return False

    def finish(self, call: EndpointCall) -> None:
        """The answer is whole."""
        self.call, call.connection = None, None
        self.answered = True
        self.pool.ended(call, self.reader)
        if self.reader.keep_alive and self.given_up is None and not self.closing():
            self.pool.keep(self, call.target)
        else:
            self.close("not kept alive by the endpoint")

    def connection_lost(self, error: Exception | None) -> None:
        self.pool.lost(self)
        self.settle()
        self.reader.release()

    def settle(self) -> None:
        """It is as good as closed: what came before counts, read or not, and then its call has its end."""
        if self.call is not None and (rest := unread(self.transport)):
            self.read(rest)
        call, self.call = self.call, None
        if call is not None:
            call.connection = None
            self.pool.broke_off(call, self.reader, self.given_up)


class ConnectionPool:
    """All connections to all targets, and the calls that are out on them."""

    def __init__(
        self,
        clock: Callable[[], int],
        sink: Sink,
        fields: tuple[str, ...],
        idle_us: int,
        dial_us: int,
        most: int,
        reasons: ReasonCounts | None = None,
        rules: Invariants | None = None,
        supervisor: Supervisor | None = None,
    ) -> None:
        self.reasons, self.rules = reasons or ReasonCounts(), rules
        self.supervisor = supervisor or Supervisor()
        self.clock, self.sink, self.most = clock, sink, most
        self.tune(fields, idle_us, dial_us)
        self.idle: dict[int, list[EndpointConnection]] = {}
        self.all: set[EndpointConnection] = set()
        self.dials: set[asyncio.Task[None]] = set()
        self.where: dict[int, Address] = {}
        self.waits: dict[tuple[int, int], int] = {}
        self.sweeping: Repeating | None = None
        self.out = 0
        self.calls: dict[tuple[str, int], EndpointCall] = {}

    def tune(self, fields: tuple[str, ...], idle_us: int, dial_us: int) -> None:
        self.fields = fields
        self.idle_us = max(0, (idle_us or 60 * SECOND) - IDLE_MARGIN_US)
        self.dial_us = dial_us or SECOND

    def serving(self, where: dict[int, Address]) -> None:
        """The list changed: what is not in it any more gets no new call, and keeps no idle connection."""
        for target, old in self.where.items():
            if where.get(target) != old:
                self.close_idle(target, "not listed any more")
        self.where = where

    def close_idle(self, target: int, reason: str = "on demand") -> None:
        for connection in self.idle.pop(target, []):
            connection.close(reason)

    # Starting

    def start(self, call: EndpointCall) -> None:
        """Send a call, on a connection that is open or on a new one."""
        self.out += 1
        for item in call.items:
            call.open[item.id] = item
            self.calls[(item.id, item.attempt)] = call
        self.arm(call)
        if call.target not in self.where:
            self.finish(call, CallResult(Outcome.NO_CONNECTION))
            return
        self.drop_denied(call, self.where[call.target])
        if not call.open:
            return
        idle = self.idle.get(call.target, [])
        while idle:
            connection = idle.pop()
            if not connection.closing() and connection.start(call, self.render(call)):
                return
        if len(self.all) + len(self.dials) >= self.most and not self.make_room():
            self.reasons.note(Subject.HELD_BACK, "call: too many connections to endpoints", call.items[0].id)
            self.finish(call, CallResult(Outcome.LOCAL_FAILURE))
            return
        task = asyncio.get_running_loop().create_task(self.dial_guarded(call, self.where[call.target]))
        self.dials.add(task)
        task.add_done_callback(self.dials.discard)

    def make_room(self) -> bool:
        """Too many sockets: the connection that has been idle longest goes."""
        held = [(c.idle_us, n, t) for t, cs in self.idle.items() for n, c in enumerate(cs)]
        if not held:
            return False
        _, n, target = min(held)
        self.idle[target].pop(n).close("too many connections")
        return True

    async def dial_guarded(self, call: EndpointCall, where: Address) -> None:
        """Dial; whatever goes wrong, the call has its end, and its slot is free."""
        try:
            await self.dial(call, where)
        except Exception as error:
            self.supervisor.failed("dial", error)
            connection = call.connection
            self.finish(call, CallResult(Outcome.RESET if connection is not None else Outcome.LOCAL_FAILURE))

    async def dial(self, call: EndpointCall, where: Address) -> None:
        loop = asyncio.get_running_loop()
        left = min(self.dial_us, call.until_us - self.clock())
        try:
            async with asyncio.timeout(max(0.001, left / SECOND)):
                _, connection = await loop.create_connection(lambda: EndpointConnection(self), where.host, where.port)
        except (OSError, TimeoutError) as error:
            local = isinstance(error, OSError) and error.errno in LOCAL_ERRORS
            if local:
                self.reasons.note(Subject.HELD_BACK, f"call: {errno.errorcode[error.errno or 0]}", call.items[0].id)
            self.finish(call, CallResult(Outcome.LOCAL_FAILURE if local else Outcome.NO_CONNECTION))
            return
        self.all.add(connection)
        # What was decided before the connection came up may have been overtaken meanwhile.
        self.drop_denied(call, where)
        if connection.closing():
            self.finish(call, CallResult(Outcome.NO_CONNECTION))
        elif self.where.get(call.target) != where:
            connection.close("not listed any more")
        elif not call.open:
            self.keep(connection, call.target)
        elif not connection.start(call, self.render(call)):
            self.finish(call, CallResult(Outcome.NO_CONNECTION))

    def drop_denied(self, call: EndpointCall, where: Address) -> None:
        """Ask for each message of a call whether it may leave now; hold back those that may not."""
        now = self.clock()
        route = RouteFacts(self.where.get(call.target) == where, self.waits.get(call.place, 0))
        others_out = {name for (name, _), other in self.calls.items() if other is not call}
        for item in list(call.open.values()):
            attempt = AttemptFacts(item.id, item.attempt, item.leave_by_us, item.due_us)
            denial = (
                route_denial(attempt, route, now)
                if self.rules is None
                else self.rules.may_send(attempt, route, now, others_out)
            )
            if denial is not None:
                self.tell(call, item, CallResult(Outcome.NOT_SENT))
        if not call.open:
            self.disarm(call)

    def render(self, call: EndpointCall) -> bytes:
        """The bytes of a call for those of its messages that are still open."""
        where = self.where[call.target]
        host = f"{where.host}:{where.port}"
        items = list(call.open.values())
        call.batched = len(items) > 1
        left = f"{max(1, (call.until_us - self.clock()) // 1000) / 1000:.3f}"
        if len(items) == 1:
            item = items[0]
            headers = [("X-Correlation-Id", item.id), ("X-Time-Left", left)]
            if item.key is not None:
                headers.append(("X-Session-Key", item.key))
            if item.idempotency_key is not None:
                headers.append(("Idempotency-Key", item.idempotency_key))
            return render_request("POST", "/hook", host, headers, item.body)
        return render_request(
            "POST",
            "/hook/batch",
            host,
            [("Content-Type", "application/json"), ("X-Time-Left", left)],
            batch_body(items),
        )

    # Ending

    def hush(self, call: EndpointCall) -> None:
        """A piece of an answer has come: what it begins must go on."""
        if call.quiet is not None:
            call.quiet.cancel()
        call.quiet = asyncio.get_running_loop().call_later(QUIET_S, self.fell_quiet, call)

    def fell_quiet(self, call: EndpointCall) -> None:
        """The rest of an answer does not come: what is there counts as if the connection had broken here, so
        that its slot is free for others.
        """
        if call.connection is not None:
            call.connection.close("answer stands still")

    @staticmethod
    def disarm(call: EndpointCall) -> None:
        for timer in (call.timer, call.quiet):
            if timer is not None:
                timer.cancel()
        call.timer = call.quiet = None

    def arm(self, call: EndpointCall) -> None:
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None
        if call.open:
            # A call is given up by closing its connection, for all its messages or for none: while it carries
            # one that has ended here, that one may not go again, nor the next of its key. So all wait for the
            # last of them, but not past the time of any: its end is owed then.
            call.until_us = min(
                max(item.until_us for item in call.open.values()), *(item.due_us for item in call.open.values())
            )
            delay = max(0, call.until_us - self.clock()) / SECOND
            call.timer = asyncio.get_running_loop().call_later(delay + 0.001, self.timed_out, call)

    def timed_out(self, call: EndpointCall) -> None:
        self.give_up(call, list(call.open.values()), Outcome.TIMED_OUT)

    def cancel(self, message: str, attempt: int) -> None:
        call = self.calls.get((message, attempt))
        if call is not None and message in call.open:
            self.give_up(call, [call.open[message]], Outcome.CANCELED)

    def give_up(self, call: EndpointCall, items: list[CallItem], outcome: Outcome) -> None:
        """Stop waiting for some messages of a call. With none left its connection is closed: a late answer
        must not be taken for the next call's.
        """
        if call.connection is not None and len(items) == len(call.open):
            call.connection.give_up(outcome)
            return
        for item in items:
            self.tell(call, item, CallResult(outcome if call.written else Outcome.NO_CONNECTION))
        if call.open:
            self.arm(call)
        else:
            self.drop(call)

    def broke_off(self, call: EndpointCall, reader: ResponseReader, given_up: Outcome | None) -> None:
        """The connection of a call is gone before its answer was whole: by itself, or as the call was given up. One
        that waited in vain for the rest of a delivery is delivered.
        """
        delivered = given_up is Outcome.TIMED_OUT and reader.says_ok() and not call.batched
        if given_up is None or delivered:
            self.ended(call, reader, broken=True)
        else:
            self.finish(call, CallResult(given_up if call.written else Outcome.NO_CONNECTION))

    def drop(self, call: EndpointCall) -> None:
        self.disarm(call)
        if call.connection is not None:
            connection, call.connection = call.connection, None
            connection.call = None
            connection.close("call dropped")

    def finish(self, call: EndpointCall, result: CallResult, report: LoadReport | None = None) -> None:
        """The same end for all that is still open."""
        for item in list(call.open.values()):
            self.tell(call, item, result, report)
        self.drop(call)

    def tell(self, call: EndpointCall, item: CallItem, result: CallResult, report: LoadReport | None = None) -> None:
        del call.open[item.id]
        self.calls.pop((item.id, item.attempt), None)
        if result.wait_us:
            self.note_wait(call.place, result.wait_us)
        if not call.open:
            self.out -= 1
        self.sink(
            AttemptEnded(
                item.id,
                item.attempt,
                call.target,
                result.outcome,
                self.clock() - call.sent_us,
                self.over(item, result),
                result.wait_us,
                report,
            )
        )

    def over(self, item: CallItem, result: CallResult) -> bool:
        """Whether a message is surely over. Its time began when its client sent it, a little before it was read
        here: a delivery heard at the end of that time may have come too late to count, and its end is still owed.
        """
        if result.outcome is Outcome.DELIVERED:
            return self.clock() < item.due_us - EDGE_US
        return result.closed

    def note_wait(self, place: tuple[int, int], wait_us: int) -> None:
        """A wait was told: it binds what is on its way too."""
        now = self.clock()
        if len(self.waits) > MOST_WAITS:
            self.waits = {place: end for place, end in self.waits.items() if end > now}
        self.waits[place] = max(now + wait_us, self.waits.get(place, 0))

    def ended(self, call: EndpointCall, reader: ResponseReader, broken: bool = False) -> None:
        """An answer came, or the connection broke before it was whole."""
        self.disarm(call)
        many = call.batched
        report = parse_load_report(reader.headers, self.fields)
        # A first line with 200 is a delivery though the rest is cut; of several, only the whole answer tells.
        # Nothing else that is cut or garbled may be believed: not a refusal either, for it may have run.
        if broken:
            ok = reader.says_ok() and not many
            outcome = Outcome.DELIVERED if ok else self.broken(call, reader)
            self.finish(call, CallResult(outcome), report)
            return
        if reader.status == 200 and many:
            self.batch_ended(call, reader, report)
            return
        self.finish(call, single(reader), report)

    @staticmethod
    def broken(call: EndpointCall, reader: ResponseReader) -> Outcome:
        """What an answer that is cut, garbled or missing stands for."""
        if reader.begun:
            return Outcome.UNREADABLE
        return Outcome.RESET if call.written else Outcome.NO_CONNECTION

    def batch_ended(self, call: EndpointCall, reader: ResponseReader, report: LoadReport | None) -> None:
        wait = parse_retry_after_us(reader.headers) or 0
        try:
            ends = {e["id"]: e["state"] for e in json.loads(reader.body)}
        except (ValueError, TypeError, KeyError) as error:
            log.warning("target %d: bad batch answer: %r", call.target, error)
            ends = {}
        for item in list(call.open.values()):
            state = ends.get(item.id)
            outcome = STATES.get(state, Outcome.FAILED) if isinstance(state, str) else Outcome.FAILED
            self.tell(call, item, CallResult(outcome, state == "expired", wait), report)

    # Upgrades

    def settle(self) -> None:
        """End the calls that are given up or whose connections are closing now, and not in the loop's next turn, which
        may never come.
        """
        for connection in [c for c in self.all if c.closing() or c.given_up is not None]:
            connection.close("given up, and handed over")
            connection.settle()

    def hand_over(self) -> tuple[PoolRecord, list[EndpointConnection]]:
        """Returns what is out and what is idle, for the process that takes over, and the connections to go with it.

        A call whose last byte is not written yet is not among the connections: it will never run.
        """
        connections: list[EndpointConnection] = []
        calls: list[CallRecord] = []
        idle: list[IdleConnectionRecord] = []
        for call in {id(call): call for call in self.calls.values()}.values():
            index = NO_CONNECTION
            if call.connection is not None and call.written and not call.connection.closing():
                index = len(connections)
                connections.append(call.connection)
            calls.append(
                CallRecord(
                    connection=index,
                    endpoint=call.target,
                    limit_scope=call.place,
                    sent_us=call.sent_us,
                    batched=call.batched,
                    attempts=tuple(AttemptRecord(x.id, x.attempt, x.until_us) for x in call.open.values()),
                    received=bytes(call.connection.seen) if call.connection else b"",
                )
            )
        for target, held in self.idle.items():
            for connection in held:
                if not connection.closing():
                    idle.append(IdleConnectionRecord(len(connections), target, connection.idle_us))
                    connections.append(connection)
        return PoolRecord(tuple(calls), tuple(idle), tuple(self.waits.items())), connections

    async def adopt(self, call: EndpointCall, sock: socket.socket | None, seen: bytes) -> None:
        """Go on waiting for the answer to a call of the process before; without a connection it never ran."""
        self.out += 1
        for item in call.items:
            call.open[item.id] = item
            self.calls[(item.id, item.attempt)] = call
        if sock is None:
            self.finish(call, CallResult(Outcome.NOT_SENT))
            return
        call.written = True
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(lambda: EndpointConnection(self, call, seen), sock=sock)
        if not connection.closing():
            self.all.add(connection)
        self.arm(call)

    async def adopt_idle(self, target: int, sock: socket.socket, idle_us: int) -> None:
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(lambda: EndpointConnection(self), sock=sock)
        if not connection.closing():
            self.all.add(connection)
            self.keep(connection, target)
            connection.idle_us = idle_us

    # Idle connections

    def keep(self, connection: EndpointConnection, target: int) -> None:
        held = self.idle.setdefault(target, [])
        if target not in self.where or self.idle_us <= 0 or len(held) >= MOST_IDLE:
            connection.close("enough idle ones are kept")
            return
        connection.idle_us = self.clock()
        held.append(connection)
        if self.sweeping is None:
            self.sweeping = self.supervisor.repeat("sweep of idle connections", SWEEP_S, self.sweep)

    def sweep(self) -> None:
        old = self.clock() - self.idle_us
        for target, held in list(self.idle.items()):
            for connection in held:
                if connection.idle_us < old:
                    connection.close("idle too long")
            kept = [c for c in held if c.idle_us >= old and not c.closing()]
            if kept:
                self.idle[target] = kept
            else:
                del self.idle[target]
        if not self.idle and self.sweeping is not None:
            self.sweeping.cancel()
            self.sweeping = None

    def lost(self, connection: EndpointConnection) -> None:
        self.all.discard(connection)
        for held in self.idle.values():
            if connection in held:
                held.remove(connection)

    def close(self) -> None:
        for connection in list(self.all):
            connection.close("the process ends")


def unread(transport: asyncio.Transport | None) -> bytes:
    """What has come on a connection and is not read yet; nothing where it cannot be read any more."""
    sock = None if transport is None else transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return b""
    borrowed = socket.socket(sock.family, sock.type, sock.proto, fileno=sock.fileno())
    try:
        return borrowed.recv(2 * MOST_BODY)
    except OSError:
        return b""
    finally:
        borrowed.detach()


def batch_body(items: list[CallItem]) -> bytes:
    return json.dumps(
        [
            {
                "id": item.id,
                **({} if item.batch_key is None else {"key": item.batch_key}),
                "body": base64.b64encode(item.body).decode(),
            }
            for item in items
        ],
        separators=(",", ":"),
    ).encode()


def fits(items: list[CallItem], item: CallItem) -> bool:
    """Whether one more message leaves the body of a batch call within what targets take."""
    return sum(4 * len(x.body) // 3 + len(x.id) + len(x.batch_key or "") + 64 for x in [*items, item]) <= MOST_BODY


def single(reader: ResponseReader) -> CallResult:
    """The outcome that a status stands for."""
    status = reader.status
    if status == 200:
        return CallResult(Outcome.DELIVERED)
    if status == 429:
        wait = parse_retry_after_us(reader.headers)
        return CallResult(Outcome.UNREADABLE) if wait is None else CallResult(Outcome.REJECTED, wait_us=wait)
    if status == 503:
        return CallResult(Outcome.NOT_SENT if "x-over-slots" in reader.headers else Outcome.REJECTED)
    if status in (410, 504):
        return CallResult(Outcome.NOT_SENT, closed=status == 410)
    if status != 500:
        log.warning("a target answered %d", status)
    return CallResult(Outcome.FAILED)
