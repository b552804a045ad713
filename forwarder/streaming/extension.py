"""The streaming extension: its listener, its state, and the events and actions that it exchanges with the dispatcher.

client_session.py serves the clients, endpoint_connections.py keeps the connections to endpoints, and exchange.py relays
a stream and handles its timeouts and failures.
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
"""The dispatcher normally decides in the next round; a longer wait means that it has failed."""
LOG_INTERVAL_S = 10.0
"""Minimum time between two log lines for the same event."""
log = logging.getLogger("forwarder.streaming")


class StreamListener(Listener):
    """Accepts connections as plain sockets, without a transport."""

    def __init__(self, sock: socket.socket, extension: StreamingExtension) -> None:
        self._extension = extension
        super().__init__(sock, BACKLOG, lambda _sock, _waited_us: asyncio.Protocol(), lambda: SPARE_SOCKETS // 2)

    async def attach(self, conn: RetryingSocket, queued_since_s: float) -> None:
        """Serves an accepted connection until it ends."""
        try:
            await self._extension.serve_client(conn)
        finally:
            del self.attaching[conn]


@dataclass(frozen=True, slots=True)
class StreamingExtensionFactory:
    """Creates the extension from its settings."""

    settings: StreamSettings

    @property
    def descriptors(self) -> int:
        """The maximum number of file descriptors that the extension uses."""
        return self.settings.descriptors

    def __call__(self, host: ExtensionHost) -> StreamingExtension:
        """Creates the extension."""
        return StreamingExtension(host, self.settings)


def prepare(table: ExtensionTable, config: Config) -> StreamingExtensionFactory:
    """Reads the table `[streaming]` of the extensions file.

    Raises:
        ConfigError: A setting is invalid; the text names its key.
    """
    return StreamingExtensionFactory(parse_settings(table, config))


class StreamingExtension:
    """Accepts clients and runs their streams; implements ExchangeHost for all exchanges."""

    name = "streaming"

    def __init__(self, host: ExtensionHost, settings: StreamSettings) -> None:
        self.host = host
        self.settings = settings
        host.dispatcher.extensions.append(StreamRouter(host.dispatcher, settings.slots_share))
        self.account = BufferAccount()
        self.sessions: set[ClientSession] = set()
        self.rejections_in_progress = 0
        """Number of connections to which a 503 for lack of capacity is being written."""
        self.endpoint_connections = EndpointConnections(host, settings, self.account, self.sessions)
        self.is_draining = False
        self._decisions: dict[int, asyncio.Future[RouteStream | RejectStream]] = {}
        """Routing decisions that the dispatcher has yet to make, by stream."""
        self._last_stream = 0
        self._counts: Counter[str] = Counter()
        self._logged_at_s: dict[str, float] = {}
        self._listener: StreamListener | None = None

    # Interface of an extension

    @property
    def commands(self) -> CommandTable:
        """The admin commands of the extension."""
        return {"STREAMS": without_arguments(self.describe_state)}

    async def open(self) -> None:
        """Listens for clients.

        Raises:
            OSError: The address is in use.
        """
        self._listener = StreamListener(await bind(self.settings.listen), self)
        log.info(
            "listening for streams on %s:%d: at most %d connections, at most %d bytes per stream",
            self.settings.listen.host,
            self.settings.listen.port,
            self.settings.max_connections,
            self.settings.max_stream_bytes,
        )

    def apply_actions(self, actions: Iterable[Action]) -> None:
        """Passes routing decisions to the exchanges, and closes idle connections that must not be reused."""
        for action in actions:
            match action:
                case RouteStream() | RejectStream():
                    decision = self._decisions.pop(action.stream, None)
                    if decision is not None and not decision.done():
                        decision.set_result(action)
                case CloseIdleConnections(endpoint):
                    self.endpoint_connections.close_idle(endpoint)

    def update_endpoints(self, addresses: dict[int, Address]) -> None:
        """Closes idle connections to endpoints that are not listed any more; streams in progress continue."""
        self.endpoint_connections.close_unlisted(addresses)

    def start_draining(self) -> None:
        """Starts to reject new streams and closes idle clients; streams in progress continue."""
        self.is_draining = True
        for session in self.sessions:
            if not session.is_busy:
                session.task.cancel()

    def stop_draining(self) -> None:
        """Accepts new streams again."""
        self.is_draining = False

    def is_busy(self) -> bool:
        """Returns whether a stream is in progress."""
        return any(session.is_busy for session in self.sessions)

    def abort(self) -> None:
        """Ends everything at once.

        Connections of streams in progress are reset, so that no truncated response looks complete.
        """
        if self._listener is not None:
            self._listener.close()
        exchanges = {session: session.exchange for session in self.sessions if session.exchange is not None}
        if exchanges:
            log.info("%d streams were cut", len(exchanges))
        for session in list(self.sessions):
            session.task.cancel()
        for session, exchange in exchanges.items():
            session.connection.set_reset_on_close(True)
            if exchange.endpoint_connection is not None:
                exchange.endpoint_connection.set_reset_on_close(True)
        self.endpoint_connections.close_all()

    def reload(self) -> None:
        """Does nothing: the extensions file is read only at startup."""

    def describe_state(self) -> str:
        """Returns a one-line summary of the state, for the log and for the admin command STREAMS."""
        streams = sum(session.exchange is not None for session in self.sessions)
        counts = ", ".join(f"{count} {event}" for event, count in sorted(self._counts.items()))
        return (
            f"{streams} streams and {len(self.sessions)} of {self.settings.max_connections} clients; "
            f"{self.account.held_bytes} bytes held, {self.account.peak_bytes} at most; {counts or 'none yet'}"
        )

    # Clients

    async def serve_client(self, sock: socket.socket) -> None:
        """Serves the connection of a client until it ends."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = StreamConnection(sock, self.account, self.settings.min_bytes_per_s)
        task = asyncio.current_task()
        assert task is not None
        await ClientSession(self, connection, task).run()

    def ensure_capacity(self) -> bool:
        """Makes room for one more client, if needed by closing the longest idle one. Returns whether there is room."""
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
        """Returns the number for a new stream."""
        self._last_stream += 1
        return self._last_stream

    # Interface for exchanges

    async def route(self, stream: int, destination: int, avoid_endpoint: int) -> RouteStream | RejectStream:
        """Asks the dispatcher for the endpoint of a stream."""
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
        """Returns a connection to an endpoint, an idle one if `reuse` is set and there is one.

        Raises:
            EndpointFailedError: The endpoint is not available, or the connection attempt failed.
        """
        return await self.endpoint_connections.connect(endpoint, reuse)

    def report_outcome(self, stream: int, endpoint: int, outcome: Outcome, headers: Headers) -> None:
        """Reports the outcome, a Retry-After and a load report to the dispatcher, as for the calls of messages."""
        retry_after_us = (parse_retry_after_us(headers) or 0) if outcome is Outcome.REJECTED else 0
        pool, table = self.host.pool, self.host.endpoint_table
        listed = table.endpoints.get(table.names.get(endpoint, ""))
        if retry_after_us and listed is not None:
            pool.retry_after.note(table.limit_scope(listed), retry_after_us)
        report = parse_load_report(headers, pool.report_fields)
        self.host.post(StreamAttemptEnded(stream, outcome, retry_after_us, report))

    def end_stream(self, stream: int) -> None:
        """Reports to the dispatcher that a stream has ended."""
        self.host.post(StreamEnded(stream))

    def keep_connection(self, endpoint: int, connection: StreamConnection) -> None:
        """Keeps a connection for the next stream, for no longer than its endpoint does; closes it during a drain."""
        if self.is_draining:
            connection.close()
        else:
            self.endpoint_connections.keep(endpoint, connection)

    def count(self, event: str, log_text: str = "") -> None:
        """Counts an event, and logs the text at most once per LOG_INTERVAL_S for each event."""
        self._counts[event] += 1
        now_s = time.monotonic()
        if log_text and now_s - self._logged_at_s.get(event, -LOG_INTERVAL_S) >= LOG_INTERVAL_S:
            self._logged_at_s[event] = now_s
            log.warning("%s (%d so far)", log_text, self._counts[event])
