"""One stream: a request taken to an endpoint, and its response brought back, both while they arrive.

Two tasks move bytes, one each way; each reads again only when what it read before is written. Where a stream goes is
decided elsewhere; `ExchangeHost` is what an exchange needs of the extension around it.
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
"""1xx responses that are brought back before the final one."""
FAILURE_STATUSES = frozenset({500, 502, 504})
"""Responses that say that the endpoint has failed."""
NO_ENDPOINT = -1


ExchangeResult = RejectStream | EndpointFailedError | ClientFailedError | None
"""What kept an exchange from a response, which the client is then owed; None where it had one to its end."""


class ExchangeHost(Protocol):
    """What an exchange needs of the extension."""

    settings: StreamSettings

    async def route(self, stream: int, destination: int, avoid_endpoint: int) -> RouteStream | RejectStream:
        """Decides where a stream goes."""

    async def connect(self, endpoint: int, reuse: bool) -> StreamConnection:
        """Returns a connection to an endpoint. A kept one may be dead: it serves only requests that may be repeated.

        Raises:
            EndpointFailedError: none can be had.
        """

    def report_outcome(self, stream: int, endpoint: int, outcome: Outcome, headers: Headers) -> None:
        """An endpoint has shown how it does, by the head of its response or by failing."""

    def end_stream(self, stream: int) -> None:
        """The stream is over."""

    def keep_connection(self, endpoint: int, connection: StreamConnection) -> None:
        """The connection may serve another stream."""

    def count(self, what: str, text: str = "") -> None:
        """Counts an event, and logs its text now and then."""


async def _wait_for_any(*tasks: asyncio.Task[None] | asyncio.Task[bool]) -> None:
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)


class Exchange:
    """One request of a client, and the response to it.

    Attributes:
        endpoint_connection: the connection that carries it.
        request_complete: all of the request was read from the client.
        closes_client: the client's connection ends with this response.
    """

    def __init__(
        self, host: ExchangeHost, stream: int, client: StreamConnection, request: Request, destination: int
    ) -> None:
        """Raises MalformedMessageError where what came with the head is no body."""
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
        """All of the request is written to the endpoint."""
        self._reached_endpoint = False
        """A byte of the request may have reached an endpoint."""
        self._response_started = False
        """A byte of the final response may have reached the client."""
        self._request_body = None if self.request_complete else Body(request)
        request.raw = b""  # its fields hold the same
        self._first_part = self._frame_request(client.take_unread()) if client.unread else b""
        client.account.add(len(self._first_part) + request.size)

    @property
    def method(self) -> bytes:
        """Method of the request."""
        return self._request.method

    def _frame_request(self, data: bytes) -> bytes:
        """Returns what of the client's bytes goes on to the endpoint; what belongs to its next request is kept."""
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

    def _take_first_part(self) -> bytes:
        data = self._first_part
        self._first_part = b""
        self._client.account.release(len(data))
        return data

    def release(self) -> None:
        """Nothing of the request is needed any more."""
        self._take_first_part()
        self._client.account.release(self._request.size)

    # Attempts

    async def run(self) -> ExchangeResult:
        """Carries the stream.

        Returns:
            What kept it from a response; None where it had one to its end.

        Raises:
            EndpointFailedError, ClientFailedError: its response was cut, and the client's connection must be reset.
        """
        try:
            return await self._run_attempts()
        finally:
            self.release()
            self._host.end_stream(self._stream)

    async def _run_attempts(self) -> ExchangeResult:
        avoid_endpoint = NO_ENDPOINT
        failed: ExchangeResult = None
        for attempt in range(self._host.settings.max_attempts):
            if attempt:
                self._host.count("retried")
            route = await self._host.route(self._stream, self._destination, avoid_endpoint)
            if isinstance(route, RejectStream):
                return failed or route
            failed = await self._attempt(route.endpoint)
            if not isinstance(failed, EndpointFailedError):
                return failed
            if self._response_started:
                raise failed
            if self._reached_endpoint and not self._request.is_idempotent:
                return failed
            avoid_endpoint = route.endpoint
        return failed

    async def _attempt(self, endpoint: int) -> EndpointFailedError | ClientFailedError | None:
        """Takes the request to one endpoint."""
        self._endpoint = endpoint
        try:
            connection = await self._host.connect(endpoint, reuse=self._request.is_idempotent)
            self.endpoint_connection = connection
            try:
                is_reusable = await self._relay(connection)
            except BaseException:
                connection.close(abort=True)  # what it has of the request must not look complete
                raise
        except EndpointFailedError as failed:
            self._host.report_outcome(self._stream, endpoint, failed.outcome, {})
            return failed
        except ClientFailedError as failed:
            if self._response_started:
                raise
            return failed
        if is_reusable:
            self._host.keep_connection(endpoint, connection)
        else:
            connection.close()
        return None

    async def _relay(self, endpoint: StreamConnection) -> bool:
        """Moves bytes both ways at once, until the response has ended.

        Returns:
            Whether the endpoint's connection may be kept.
        """
        upload = asyncio.create_task(self._upload(endpoint))
        download = asyncio.create_task(self._download(endpoint))
        tasks: list[asyncio.Task[None] | asyncio.Task[bool]] = [upload, download]
        try:
            await _wait_for_any(upload, download)
            if download.done():
                if not upload.done() and download.exception() is None and download.result():
                    # The endpoint may still take the rest of the request, until it closes.
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
        """Writes the request to the endpoint, as far as it takes it."""
        data = self._request.render() + self._take_first_part()
        self._reached_endpoint = True
        while True:
            try:
                await endpoint.write(data, self._host.settings.idle_s)
            except StalledError as error:
                text = f"of the request {error}"
                raise EndpointFailedError(Outcome.TIMED_OUT, text, HTTPStatus.GATEWAY_TIMEOUT) from None
            except OSError:
                return  # it may have answered and gone: the other way tells
            if self.request_complete:
                self._request_sent = True
                return
            data = b""  # it must not be held while the next is waited for
            await asyncio.sleep(0)  # a client that always has more must not keep the loop to itself
            data = await self._read_client()

    async def _read_client(self) -> bytes:
        settings = self._host.settings
        try:
            data = await self._client.read(settings.buffer_bytes, settings.idle_s)
            if not data:
                raise ClientFailedError("the body did not come to its end", HTTPStatus.BAD_REQUEST)
            return self._frame_request(data)
        except StalledError as error:
            raise ClientFailedError(f"of the body {error}", HTTPStatus.REQUEST_TIMEOUT) from None
        except MalformedMessageError as error:
            raise ClientFailedError(error.text, error.status) from None
        except OSError:
            raise ClientFailedError("gone") from None

    async def _watch_client(self) -> None:
        """Raises ClientFailedError where the client goes while its response is waited for."""
        if not self._request_sent:
            return  # the endpoint takes no more, and the client may not have sent all
        try:
            if not await self._client.wait_readable():
                self.closes_client = True  # it has ended its side, and may still read
        except OSError:
            raise ClientFailedError("gone") from None

    # The response

    async def _download(self, endpoint: StreamConnection) -> bool:
        """Brings the response to the client. Returns whether the endpoint keeps its connection."""
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
        del response, headers  # they may be large, and what follows may be long
        self._response_started = True
        if body is None:
            await self._write_client(data)
            return not closes_endpoint and not endpoint.unread
        self._client.reset_on_end(ends_with_connection)
        data += reader.frame(body, framing, endpoint.take_unread())
        while True:
            await self._write_client(data)
            if body.complete:
                break
            data = b""  # it must not be held while the next is waited for
            await asyncio.sleep(0)
            data = await reader.read_part(body, framing)
        self._client.reset_on_end(False)
        return not (closes_endpoint or endpoint.unread or body.has_extra_bytes or body.framing == UNTIL_CLOSE)

    async def _read_response_head(self, reader: ResponseReader) -> Response:
        """Returns the final response's head; those before it go to the client at once."""
        for _ in range(MAX_INTERIM_RESPONSES):
            response = await reader.read_head()
            if response.is_final:
                return response
            if self._request.minor > 0:
                await self._write_client(response.render(self._request.method, UNTIL_CLOSE, False))
        raise EndpointFailedError(Outcome.UNREADABLE, "too many interim answers")

    def _response_framing(self, response: Response) -> Framing:
        """Returns how the response's body goes on.

        A client of HTTP/1.0 knows no chunks; to others a body that ends with its connection goes in chunks, so that
        its end can be told from a cut.
        """
        if response.framing.length is not None:
            return response.framing
        return Framing(chunked=self._request.minor > 0)

    async def _write_client(self, data: bytes) -> None:
        if not data:
            return
        try:
            await self._client.write(data, self._host.settings.idle_s)
        except (StalledError, OSError) as error:
            raise ClientFailedError(f"of the answer {error}") from None


def response_outcome(response: Response) -> Outcome:
    """Returns what a response tells of its endpoint. Whatever else it says, the endpoint has done its part."""
    if response.status == HTTPStatus.TOO_MANY_REQUESTS:
        return Outcome.REJECTED
    if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
        return Outcome.NOT_SENT if response.values(b"x-over-slots") else Outcome.REJECTED
    return Outcome.FAILED if response.status in FAILURE_STATUSES else Outcome.DELIVERED


def response_headers(response: Response) -> Headers:
    """Returns a response's fields, their names in lower case."""
    return {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in response.fields}


def retry_after_s(retry_after_us: int) -> int:
    """Returns a Retry-After in whole seconds, as HTTP has them."""
    return max(1, math.ceil(retry_after_us / SECOND_US))
