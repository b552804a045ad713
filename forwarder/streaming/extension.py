"""Streaming as an extension: its own address, its state, and its events and actions with the dispatcher.

Clients are served in client_session.py, connections to endpoints are kept in endpoint_connections.py, and what may wait
or go wrong with one stream is in exchange.py.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from forwarder.admin.server import CommandTable, without_arguments
from forwarder.clients.listener import Listener, bind
from forwarder.config.config import Address, Config
from forwarder.config.extensions_file import ExtensionTable
from forwarder.decisions.actions import Action, CloseIdleConnections
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.stream_routing import (
    RejectStream,
    RouteStream,
    StreamAttemptEnded,
    StreamEnded,
    StreamRequested,
    StreamRouter,
)
from forwarder.protocol.http1 import Headers, parse_load_report, parse_retry_after_us
from forwarder.runtime.extension import ExtensionHost
from forwarder.runtime.retrying_socket import RetryingSocket
from forwarder.streaming.client_session import ClientSession
from forwarder.streaming.connection import BufferAccount, StreamConnection
from forwarder.streaming.endpoint_connections import EndpointConnections
from forwarder.streaming.settings import SPARE_SOCKETS, StreamSettings, parse_settings
from forwarder.units import SECOND_US

BACKLOG = 128
DECISION_TIMEOUT_S = 5.0
"""The dispatcher answers in the next round; only a fault keeps it from that."""
LOG_INTERVAL_S = 10.0
"""Between two lines of one kind."""
log = logging.getLogger("forwarder.streaming")


class StreamListener(Listener):
    """Accepts connections as bare sockets."""

    def __init__(self, sock: socket.socket, extension: StreamingExtension) -> None:
        self._extension = extension
        super().__init__(sock, BACKLOG, lambda _sock, _waited_us: asyncio.Protocol(), lambda: SPARE_SOCKETS // 2)

    async def attach(self, conn: RetryingSocket, queued_since_s: float) -> None:
        """Serves a connection that was accepted, to its end."""
        try:
            await self._extension.serve_client(conn)
        finally:
            del self.attaching[conn]


@dataclass(frozen=True, slots=True)
class StreamingExtensionFactory:
    """Makes the extension from its table."""

    settings: StreamSettings

    @property
    def descriptors(self) -> int:
        """File descriptors that it takes at most."""
        return self.settings.descriptors

    def __call__(self, host: ExtensionHost) -> StreamingExtension:
        """Makes the extension."""
        return StreamingExtension(host, self.settings)


def prepare(table: ExtensionTable, config: Config) -> StreamingExtensionFactory:
    """Reads the table `[streaming]`.

    Raises:
        ConfigError: it cannot hold; the text names the key.
    """
    return StreamingExtensionFactory(parse_settings(table, config))


class StreamingExtension:
    """Carries streams: the host of all exchanges."""

    name = "streaming"

    def __init__(self, host: ExtensionHost, settings: StreamSettings) -> None:
        self.host = host
        self.settings = settings
        host.dispatcher.extensions.append(StreamRouter(host.dispatcher, settings.slots_share))
        self.account = BufferAccount()
        self.sessions: set[ClientSession] = set()
        self.rejecting = 0
        """Connections that are only told that there is no capacity."""
        self.endpoint_connections = EndpointConnections(host, settings, self.account, self.sessions)
        self.is_draining = False
        self._decisions: dict[int, asyncio.Future[RouteStream | RejectStream]] = {}
        """By stream, what the dispatcher has yet to decide."""
        self._last_stream = 0
        self._counts: Counter[str] = Counter()
        self._logged_at_s: dict[str, float] = {}
        self._listener: StreamListener | None = None

    # As an extension

    @property
    def commands(self) -> CommandTable:
        """Commands for operators."""
        return {"STREAMS": without_arguments(self.describe_state)}

    async def open(self) -> None:
        """Listens for clients.

        Raises:
            OSError: the address is taken.
        """
        self._listener = StreamListener(await bind(self.settings.listen), self)
        log.info(
            "streams at %s:%d: %d at once, %d bytes each at most",
            self.settings.listen.host,
            self.settings.listen.port,
            self.settings.max_connections,
            self.settings.max_stream_bytes,
        )

    def apply_actions(self, actions: Iterable[Action]) -> None:
        """Tells exchanges what was decided, and closes connections that are not trusted any more."""
        for action in actions:
            match action:
                case RouteStream() | RejectStream():
                    decision = self._decisions.pop(action.stream, None)
                    if decision is not None and not decision.done():
                        decision.set_result(action)
                case CloseIdleConnections(endpoint):
                    self.endpoint_connections.close_idle(endpoint)

    def update_endpoints(self, addresses: dict[int, Address]) -> None:
        """The endpoints that may be called have changed: what is in progress goes on, but nothing is kept."""
        self.endpoint_connections.close_unlisted(addresses)

    def start_draining(self) -> None:
        """New streams are rejected from now on; those in progress go on."""
        self.is_draining = True
        for session in self.sessions:
            if not session.is_busy:
                session.task.cancel()

    def stop_draining(self) -> None:
        """New streams are taken again."""
        self.is_draining = False

    def is_busy(self) -> bool:
        """Returns whether a stream is in progress."""
        return any(session.is_busy for session in self.sessions)

    def abort(self) -> None:
        """Ends everything at once. Connections in the middle of a stream are reset: no cut response looks complete."""
        if self._listener is not None:
            self._listener.close()
        exchanges = {session: session.exchange for session in self.sessions if session.exchange is not None}
        if exchanges:
            log.info("%d streams were cut", len(exchanges))
        for session in list(self.sessions):
            session.task.cancel()
        for session, exchange in exchanges.items():
            session.connection.reset_on_end(True)
            if exchange.endpoint_connection is not None:
                exchange.endpoint_connection.reset_on_end(True)
        self.endpoint_connections.close_all()

    def reload(self) -> None:
        """Nothing: the parts file is read at the start only."""

    def describe_state(self) -> str:
        """Returns its state in a few words, for the log and for operators."""
        streams = sum(session.exchange is not None for session in self.sessions)
        counts = ", ".join(f"{count} {what}" for what, count in sorted(self._counts.items()))
        return (
            f"{streams} streams and {len(self.sessions)} of {self.settings.max_connections} clients; "
            f"{self.account.held_bytes} bytes held, {self.account.peak_bytes} at most; {counts or 'none yet'}"
        )

    # Clients

    async def serve_client(self, sock: socket.socket) -> None:
        """Serves a client's connection to its end."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = StreamConnection(sock, self.account, self.settings.min_bytes_per_s)
        task = asyncio.current_task()
        assert task is not None
        await ClientSession(self, connection, task).run()

    def has_capacity(self) -> bool:
        """Whether one more client may stay: the one that has been idle longest goes for it."""
        if len(self.sessions) < self.settings.max_connections:
            return True
        idle = [session for session in self.sessions if not session.is_busy]
        if not idle:
            return False
        longest_idle = min(idle, key=lambda session: session.idle_since_s)
        self.sessions.discard(longest_idle)
        longest_idle.task.cancel()
        return True

    def next_stream(self) -> int:
        """Returns the number of a new stream."""
        self._last_stream += 1
        return self._last_stream

    # What an exchange needs

    async def route(self, stream: int, destination: int, avoid_endpoint: int) -> RouteStream | RejectStream:
        """Lets the dispatcher decide where a stream goes."""
        decision: asyncio.Future[RouteStream | RejectStream] = asyncio.get_running_loop().create_future()
        self._decisions[stream] = decision
        self.host.post(StreamRequested(stream, destination, avoid_endpoint))
        try:
            async with asyncio.timeout(DECISION_TIMEOUT_S):
                return await decision
        except TimeoutError:
            return RejectStream(stream, SECOND_US)
        finally:
            self._decisions.pop(stream, None)

    async def connect(self, endpoint: int, reuse: bool) -> StreamConnection:
        """Returns a connection to an endpoint, a kept one if that may be reused.

        Raises:
            EndpointFailedError: none can be had.
        """
        return await self.endpoint_connections.connect(endpoint, reuse)

    def report_outcome(self, stream: int, endpoint: int, outcome: Outcome, headers: Headers) -> None:
        """Tells the dispatcher what it learns from calls as well."""
        retry_after_us = (parse_retry_after_us(headers) or 0) if outcome is Outcome.REJECTED else 0
        pool, table = self.host.pool, self.host.endpoint_table
        listed = table.endpoints.get(table.names.get(endpoint, ""))
        if retry_after_us and listed is not None:
            pool.retry_after.note(table.limit_scope(listed), retry_after_us)
        report = parse_load_report(headers, pool.report_fields)
        self.host.post(StreamAttemptEnded(stream, outcome, retry_after_us, report))

    def end_stream(self, stream: int) -> None:
        """Tells the dispatcher that a stream is over."""
        self.host.post(StreamEnded(stream))

    def keep_connection(self, endpoint: int, connection: StreamConnection) -> None:
        """Keeps a connection for the next stream, as long as its endpoint would."""
        if self.is_draining:
            connection.close()
        else:
            self.endpoint_connections.keep(endpoint, connection)

    def count(self, what: str, text: str = "") -> None:
        """Counts an event, and logs at most one line of its kind in a while."""
        self._counts[what] += 1
        now_s = time.monotonic()
        if text and now_s - self._logged_at_s.get(what, -LOG_INTERVAL_S) >= LOG_INTERVAL_S:
            self._logged_at_s[what] = now_s
            log.warning("%s (%d so far)", text, self._counts[what])
