"""A client connection: serves its requests one after another, and writes the responses that the forwarder generates."""

from __future__ import annotations

import asyncio
import time
from http import HTTPStatus
from typing import TYPE_CHECKING

from forwarder.decisions.stream_routing import RejectStream
from forwarder.protocol.http1 import parse_destination
from forwarder.streaming.connection import StalledError, StreamConnection
from forwarder.streaming.errors import ClientFailedError, EndpointFailedError
from forwarder.streaming.exchange import Exchange, retry_after_s
from forwarder.streaming.http_head import MalformedMessageError, Request, render_head
from forwarder.streaming.request_reader import read_request_head
from forwarder.streaming.reserved_paths import is_reserved_path
from forwarder.streaming.settings import SPARE_SOCKETS

if TYPE_CHECKING:
    from forwarder.streaming.extension import StreamingExtension

LINGER_S = 1.0
"""Time that a client which is still sending has to read its response: an immediate close would reset the connection."""
LINGER_BYTES = 1 << 20
MAX_CONCURRENT_REJECTIONS = SPARE_SOCKETS // 2
"""Clients to which a 503 is being written at one time; the connections of further clients are closed without one."""
RESERVED_PATHS = frozenset({b"hook", b"notice", b"up", b"discovery", b"v1"})
"""First path segments that messages, discovery and the platform use. The names of the message classes are added."""


class ClientSession:
    """Serves a client from its first request to the end of its connection.

    Attributes:
        connection: The client's connection.
        task: The task that serves the client.
        exchange: The stream in progress, if any.
        is_busy: Whether a request is in progress.
        idle_since_s: Time at which the last request ended, on the monotonic clock.
    """

    def __init__(self, extension: StreamingExtension, connection: StreamConnection, task: asyncio.Task[None]) -> None:
        self._extension = extension
        self.connection = connection
        self.task = task
        self.exchange: Exchange | None = None
        self.is_busy = True
        self.idle_since_s = 0.0

    async def run(self) -> None:
        """Serves requests until the connection ends."""
        extension = self._extension
        try:
            if not extension.ensure_capacity():
                await self._reject_client()
                return
            extension.sessions.add(self)
            while await self._serve_request():
                self.is_busy = False
                self.idle_since_s = time.monotonic()
        except (OSError, StalledError):
            pass
        except (EndpointFailedError, ClientFailedError) as error:
            self.connection.set_reset_on_close(True)
            extension.count("cut", f"an answer was cut: {error.text}")
        finally:
            extension.sessions.discard(self)
            self.connection.close()

    async def _reject_client(self) -> None:
        extension = self._extension
        extension.count("without room", "no room for more clients")
        if extension.rejections_in_progress >= MAX_CONCURRENT_REJECTIONS:
            return
        extension.rejections_in_progress += 1
        try:
            await self._respond(HTTPStatus.SERVICE_UNAVAILABLE, "no room", retry_s=1)
        finally:
            extension.rejections_in_progress -= 1

    # One request

    async def _serve_request(self) -> bool:
        """Serves one request. Returns whether the connection stays open."""
        method = b""
        try:
            request = await self._read_request()
            if request is None:
                return False
            method = request.method
            destination = self._parse_destination(request)
            if request.hops_left() == 0:
                return await self._respond(HTTPStatus.OK, "the last hop", method)
            stream = self._extension.next_stream()
            self.exchange = Exchange(self._extension, stream, self.connection, request, destination)
        except MalformedMessageError as error:
            self._extension.count("refused as malformed", f"refused with {error.status.value}: {error.text}")
            return await self._respond(error.status, error.text, method)
        del request  # the exchange holds it for as long as it is needed
        try:
            return await self._run_exchange(self.exchange)
        finally:
            self.exchange = None

    async def _read_request(self) -> Request | None:
        """Returns the head of the next request, or None if the client closed the connection."""
        settings = self._extension.settings
        if not self.connection.unread:
            timeout_s = settings.head_timeout_s if self.is_busy else settings.idle_timeout_s
            if not await self.connection.read_more(settings.buffer_bytes, timeout_s):
                return None
        self.is_busy = True
        return await read_request_head(self.connection, settings)

    def _parse_destination(self, request: Request) -> int:
        """Returns the destination that a request names.

        Raises:
            MalformedMessageError: The request does not name exactly one destination, or its path is reserved.
        """
        values = request.values(b"x-addressing")
        destination = parse_destination(values[0].decode("latin-1")) if len(values) == 1 else None
        if destination is None:
            raise MalformedMessageError("X-Addressing names no destination")
        classes = self._extension.host.dispatcher.settings.classes
        reserved = RESERVED_PATHS.union(message_class.name.encode().lower() for message_class in classes)
        if is_reserved_path(request.target, reserved):
            raise MalformedMessageError("this path is kept for messages", HTTPStatus.FORBIDDEN)
        return destination

    async def _run_exchange(self, exchange: Exchange) -> bool:
        """Runs an exchange, and responds if no endpoint has. Returns whether the client's connection stays open."""
        extension, method = self._extension, exchange.method
        if extension.is_draining or extension.host.run_state.is_frozen:
            exchange.release()
            extension.count("turned away")
            return await self._respond(HTTPStatus.SERVICE_UNAVAILABLE, "leaving", method, retry_s=1)
        extension.count("begun")
        failure = await exchange.run()
        match failure:
            case None:
                return await self._end_exchange(exchange)
            case RejectStream():
                extension.count("turned away")
                retry_s = retry_after_s(failure.retry_after_us)
                status, text = HTTPStatus.SERVICE_UNAVAILABLE, "no endpoint has room now"
                return await self._respond(status, text, method, retry_s, self._can_keep_alive(exchange))
            case EndpointFailedError():
                extension.count("failed", f"{failure.status.value} for an endpoint: {failure.text}")
                retry_s = 1 if failure.status is HTTPStatus.SERVICE_UNAVAILABLE else 0
                return await self._respond(
                    failure.status, failure.text, method, retry_s, self._can_keep_alive(exchange)
                )
            case ClientFailedError():
                extension.count("left", f"a client failed: {failure.text}")
                if failure.status is None:
                    return False
                return await self._respond(failure.status, failure.text, method)

    async def _end_exchange(self, exchange: Exchange) -> bool:
        """Handles the end of an endpoint's response. Returns whether the client's connection stays open."""
        self._extension.count("ended")
        if not exchange.request_complete or (exchange.closes_client and self.connection.unread):
            await self._linger()
        return not exchange.closes_client and not self._extension.is_draining

    def _can_keep_alive(self, exchange: Exchange) -> bool:
        return exchange.request_complete and not exchange.closes_client and not self._extension.is_draining

    # Responses that the forwarder generates

    async def _respond(
        self, status: HTTPStatus, text: str, method: bytes = b"", retry_s: int = 0, keep_alive: bool = False
    ) -> bool:
        """Writes a response generated by the forwarder. Returns whether the connection stays open."""
        body = text.encode() + b"\n"
        fields = [(b"Content-Type", b"text/plain; charset=utf-8"), (b"Content-Length", b"%d" % len(body))]
        if retry_s:
            fields.append((b"Retry-After", b"%d" % retry_s))
        if not keep_alive:
            fields.append((b"Connection", b"close"))
        head = render_head(f"HTTP/1.1 {status.value} {status.phrase}".encode(), fields)
        data = head if method == b"HEAD" else head + body
        await self.connection.write(data, self._extension.settings.head_timeout_s)
        if not keep_alive:
            await self._linger()
        return keep_alive

    async def _linger(self) -> None:
        """Discards what a client still sends: closing a socket with unread bytes would reset the connection."""
        deadline_s = time.monotonic() + LINGER_S
        bytes_left = LINGER_BYTES
        self.connection.shutdown_write()
        while bytes_left > 0 and (timeout_s := deadline_s - time.monotonic()) > 0:
            try:
                data = await self.connection.read(self._extension.settings.buffer_bytes, timeout_s)
            except StalledError:
                return
            if not data:
                return
            bytes_left -= len(data)
