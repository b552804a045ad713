"""One stream: relays a request to an endpoint and the response back to the client, both as they arrive.

Two tasks relay bytes, one in each direction; each reads again only after everything that it read before is written.
The dispatcher chooses the endpoint; `ExchangeHost` is the interface to the extension that owns the exchange.
"""

from __future__ import annotations

import asyncio
import math
from http import HTTPStatus
from typing import Protocol

from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.stream_routing import RejectStream, RouteStream
from forwarder.protocol.http1 import Headers
from forwarder.streaming.connection import StalledError, StreamConnection
from forwarder.streaming.errors import ClientFailedError, EndpointFailedError
from forwarder.streaming.http_body import Body, frame_pieces
from forwarder.streaming.http_head import (
    NO_BODY,
    UNTIL_CLOSE,
    Framing,
    MalformedMessageError,
    Request,
    Response,
)
from forwarder.streaming.response_reader import ResponseReader
from forwarder.streaming.settings import StreamSettings
from forwarder.units import SECOND_US

MAX_INTERIM_RESPONSES = 16
"""Limit on the 1xx responses before the final response."""
FAILURE_STATUSES = frozenset({500, 502, 504})
"""Status codes that count as a failure of the endpoint."""
NO_ENDPOINT = -1


ExchangeResult = RejectStream | EndpointFailedError | ClientFailedError | None
"""Why the client still needs a response from the forwarder; None if it received a complete one from an endpoint."""


class ExchangeHost(Protocol):
    """The interface through which an exchange uses the extension."""

    settings: StreamSettings

    async def route(self, stream: int, destination: int, avoid_endpoint: int) -> RouteStream | RejectStream:
        """Chooses an endpoint for a stream, or rejects the stream."""

    async def connect(self, endpoint: int, reuse: bool) -> StreamConnection:
        """Returns a connection to an endpoint. An idle one may be closed, so only idempotent requests may reuse one.

        Raises:
            EndpointFailedError: The endpoint is not available, or the connection attempt failed.
        """

    def report_outcome(self, stream: int, endpoint: int, outcome: Outcome, headers: Headers) -> None:
        """Reports the outcome of an attempt, known from the head of the response or from a failure."""

    def end_stream(self, stream: int) -> None:
        """Reports that a stream has ended."""

    def keep_connection(self, endpoint: int, connection: StreamConnection) -> None:
        """Accepts a connection that may serve another stream."""

    def count(self, event: str, log_text: str = "") -> None:
        """Counts an event, and logs the text at a limited rate."""


async def _wait_for_any(*tasks: asyncio.Task[None] | asyncio.Task[bool]) -> None:
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)


class Exchange:
    """One request of a client, and the response to it.

    Attributes:
        endpoint_connection: The connection to the endpoint of the current attempt.
        request_complete: Whether all of the request has been read from the client.
        closes_client: Whether the client's connection is closed after this response.
    """

    def __init__(
        self, host: ExchangeHost, stream: int, client: StreamConnection, request: Request, destination: int
    ) -> None:
        """Raises MalformedMessageError if the bytes received with the head are not a valid body."""
        self._host = host
        self._stream = stream
        self._client = client
        self._request = request
        self._destination = destination
        self.endpoint_connection: StreamConnection | None = None
        self.request_complete = request.framing == NO_BODY
        self.closes_client = request.closes_connection()
        self._endpoint = NO_ENDPOINT
        self._request_sent = False
        """Whether all of the request has been written to the endpoint."""
        self._reached_endpoint = False
        """Whether a byte of the request may have reached an endpoint."""
        self._response_started = False
        """Whether a byte of the final response may have reached the client."""
        self._request_body = None if self.request_complete else Body(request)
        request.raw = b""  # the parsed fields hold the same data
        self._initial_body = self._frame_request_body(client.take_unread()) if client.unread else b""
        client.account.add(len(self._initial_body) + request.size)

    @property
    def method(self) -> bytes:
        """The method of the request."""
        return self._request.method

    def _frame_request_body(self, data: bytes) -> bytes:
        """Returns the client's bytes framed for the endpoint. Bytes of the client's next request are put back."""
        body = self._request_body
        if body is None:
            self._client.put_back(data)
            return b""
        pieces, rest = body.feed(data)
        self.request_complete = body.complete
        if rest:
            self._client.put_back(rest)
        self.closes_client = self.closes_client or body.has_extra_bytes
        return frame_pieces(self._request.framing, pieces, self.request_complete, body.trailers)

    def _take_initial_body(self) -> bytes:
        data = self._initial_body
        self._initial_body = b""
        self._client.account.release(len(data))
        return data

    def release(self) -> None:
        """Removes the request from the buffer account; it is not needed any more."""
        self._take_initial_body()
        self._client.account.release(self._request.size)

    # Attempts

    async def run(self) -> ExchangeResult:
        """Runs the exchange, with retries on other endpoints.

        Returns:
            Why the client still needs a response; None if it received a complete one.

        Raises:
            EndpointFailedError, ClientFailedError: The response was truncated; the client's connection must be reset.
        """
        try:
            return await self._run_attempts()
        finally:
            self.release()
            self._host.end_stream(self._stream)

    async def _run_attempts(self) -> ExchangeResult:
        avoid_endpoint = NO_ENDPOINT
        failure: ExchangeResult = None
        for attempt in range(self._host.settings.max_attempts):
            if attempt:
                self._host.count("retried")
            route = await self._host.route(self._stream, self._destination, avoid_endpoint)
            if isinstance(route, RejectStream):
                return failure or route
            failure = await self._attempt(route.endpoint)
            if not isinstance(failure, EndpointFailedError):
                return failure
            if self._response_started:
                raise failure
            if self._reached_endpoint and not self._request.is_idempotent:
                return failure
            avoid_endpoint = route.endpoint
        return failure

    async def _attempt(self, endpoint: int) -> EndpointFailedError | ClientFailedError | None:
        """Sends the request to one endpoint and relays the response."""
        self._endpoint = endpoint
        try:
            connection = await self._host.connect(endpoint, reuse=self._request.is_idempotent)
            self.endpoint_connection = connection
            try:
                is_reusable = await self._relay(connection)
            except BaseException:
                connection.close(abort=True)  # a truncated request must not look complete to the endpoint
                raise
        except EndpointFailedError as error:
            self._host.report_outcome(self._stream, endpoint, error.outcome, {})
            return error
        except ClientFailedError as error:
            if self._response_started:
                raise
            return error
        if is_reusable:
            self._host.keep_connection(endpoint, connection)
        else:
            connection.close()
        return None

    async def _relay(self, endpoint: StreamConnection) -> bool:
        """Relays bytes in both directions at once, until the response has ended.

        Returns:
            Whether the endpoint's connection can be reused.
        """
        upload = asyncio.create_task(self._upload(endpoint))
        download = asyncio.create_task(self._download(endpoint))
        tasks: list[asyncio.Task[None] | asyncio.Task[bool]] = [upload, download]
        try:
            await _wait_for_any(upload, download)
            if download.done():
                if not upload.done() and download.exception() is None and download.result():
                    # The endpoint may still read the rest of the request, until it closes the connection.
                    tasks.append(asyncio.create_task(endpoint.wait_readable()))
                    await _wait_for_any(upload, tasks[-1])
            elif upload.exception() is None:
                tasks.append(asyncio.create_task(self._watch_client()))
                await _wait_for_any(download, tasks[-1])
                if not download.done() and tasks[-1].exception() is None:
                    await _wait_for_any(download)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        for task in tasks:
            if download.cancelled() and not task.cancelled():
                task.result()  # raises what ended the stream
        return download.result() and self._request_sent

    # The request

    async def _upload(self, endpoint: StreamConnection) -> None:
        """Writes the request to the endpoint, until all is written or the connection breaks."""
        data = self._request.render() + self._take_initial_body()
        self._reached_endpoint = True
        while True:
            try:
                await endpoint.write(data, self._host.settings.idle_timeout_s)
            except StalledError as error:
                text = f"of the request {error}"
                raise EndpointFailedError(Outcome.TIMED_OUT, text, HTTPStatus.GATEWAY_TIMEOUT) from None
            except OSError:
                return  # the endpoint may have responded and closed: the download finds out
            if self.request_complete:
                self._request_sent = True
                return
            data = b""  # frees the memory before waiting for the next bytes
            await asyncio.sleep(0)  # a client that always has more data must not monopolize the event loop
            data = await self._read_client()

    async def _read_client(self) -> bytes:
        settings = self._host.settings
        try:
            data = await self._client.read(settings.buffer_bytes, settings.idle_timeout_s)
            if not data:
                raise ClientFailedError("the body did not come to its end", HTTPStatus.BAD_REQUEST)
            return self._frame_request_body(data)
        except StalledError as error:
            raise ClientFailedError(f"of the body {error}", HTTPStatus.REQUEST_TIMEOUT) from None
        except MalformedMessageError as error:
            raise ClientFailedError(error.text, error.status) from None
        except OSError:
            raise ClientFailedError("gone") from None

    async def _watch_client(self) -> None:
        """Raises ClientFailedError if the client disconnects while the response is awaited."""
        if not self._request_sent:
            return  # the endpoint accepts no more data, and the client may still be sending
        try:
            if not await self._client.wait_readable():
                self.closes_client = True  # the client has shut down its side, and may still read
        except OSError:
            raise ClientFailedError("gone") from None

    # The response

    async def _download(self, endpoint: StreamConnection) -> bool:
        """Relays the response to the client. Returns whether the endpoint's connection stays open."""
        reader = ResponseReader(endpoint, self._host.settings)
        response = await self._read_response_head(reader)
        outcome, headers = response_outcome(response), response_headers(response)
        self._host.report_outcome(self._stream, self._endpoint, outcome, headers)
        framing = self._response_framing(response)
        closes_endpoint = response.closes_connection()
        method = self._request.method
        has_no_body = response.has_no_body(method)
        ends_with_connection = framing == UNTIL_CLOSE and not has_no_body
        self.closes_client = self.closes_client or not self.request_complete or ends_with_connection
        data = response.render(method, framing, self.closes_client)
        body = None if has_no_body else Body(response)
        del response, headers  # they may be large, and the body may take a long time
        self._response_started = True
        if body is None:
            await self._write_client(data)
            return not closes_endpoint and not endpoint.unread
        self._client.set_reset_on_close(ends_with_connection)
        data += reader.frame(body, framing, endpoint.take_unread())
        while True:
            await self._write_client(data)
            if body.complete:
                break
            data = b""  # frees the memory before waiting for the next bytes
            await asyncio.sleep(0)
            data = await reader.read_body_part(body, framing)
        self._client.set_reset_on_close(False)
        return not (closes_endpoint or endpoint.unread or body.has_extra_bytes or body.framing == UNTIL_CLOSE)

    async def _read_response_head(self, reader: ResponseReader) -> Response:
        """Returns the head of the final response, and relays interim responses at once."""
        for _ in range(MAX_INTERIM_RESPONSES):
            response = await reader.read_head()
            if response.is_final:
                return response
            if self._request.minor > 0:
                await self._write_client(response.render(self._request.method, UNTIL_CLOSE, False))
        raise EndpointFailedError(Outcome.UNREADABLE, "too many interim answers")

    def _response_framing(self, response: Response) -> Framing:
        """Returns the framing of the response's body towards the client.

        An HTTP/1.0 client does not support the chunked encoding. For other clients a body of unknown length is sent in
        chunks, so that its end can be distinguished from a broken connection.
        """
        if response.framing.length is not None:
            return response.framing
        return Framing(chunked=self._request.minor > 0)

    async def _write_client(self, data: bytes) -> None:
        if not data:
            return
        try:
            await self._client.write(data, self._host.settings.idle_timeout_s)
        except (StalledError, OSError) as error:
            raise ClientFailedError(f"of the answer {error}") from None


def response_outcome(response: Response) -> Outcome:
    """Maps a response to an outcome. A status without a rule counts as delivered: the endpoint has done its part."""
    if response.status == HTTPStatus.TOO_MANY_REQUESTS:
        return Outcome.REJECTED
    if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
        return Outcome.NOT_SENT if response.values(b"x-over-slots") else Outcome.REJECTED
    return Outcome.FAILED if response.status in FAILURE_STATUSES else Outcome.DELIVERED


def response_headers(response: Response) -> Headers:
    """Returns the fields of a response, with their names in lower case."""
    return {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in response.fields}


def retry_after_s(retry_after_us: int) -> int:
    """Converts a delay to whole seconds, at least one, as the Retry-After field requires."""
    return max(1, math.ceil(retry_after_us / SECOND_US))
