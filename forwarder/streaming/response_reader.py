"""Reads the heads and the body of a response from an endpoint."""

from __future__ import annotations

from http import HTTPStatus

from forwarder.decisions.outcomes import Outcome
from forwarder.streaming.connection import StalledError, StreamConnection
from forwarder.streaming.errors import EndpointFailedError
from forwarder.streaming.http_body import Body, frame_pieces
from forwarder.streaming.http_head import Framing, MalformedMessageError, Response, parse_response, split_head
from forwarder.streaming.settings import StreamSettings


class ResponseReader:
    """Reads a response. Each method raises EndpointFailedError if the connection fails or the response is invalid."""

    def __init__(self, endpoint: StreamConnection, settings: StreamSettings) -> None:
        self._endpoint = endpoint
        self._settings = settings

    async def read_head(self) -> Response:
        """Returns the next head. Bytes after it are put back."""
        searched = 0
        try:
            while (parts := split_head(self._endpoint.unread, searched)) is None:
                searched = len(self._endpoint.unread)
                if not await self._read_more():
                    raise EndpointFailedError(Outcome.RESET, "the connection ended without an answer")
            head, rest = parts
            response = parse_response(head)
        except MalformedMessageError as error:
            raise EndpointFailedError(Outcome.UNREADABLE, error.text) from None
        self._endpoint.put_back(rest)
        return response

    async def read_body_part(self, body: Body, framing: Framing) -> bytes:
        """Returns the next part of a body, framed for the client."""
        data = self._endpoint.take_unread() if await self._read_more() else b""
        if not data and not body.end():
            raise EndpointFailedError(Outcome.RESET, "the answer was cut")
        return self.frame(body, framing, data)

    def frame(self, body: Body, framing: Framing, data: bytes) -> bytes:
        """Returns received bytes framed for the client. Bytes that do not belong to the response are put back."""
        try:
            pieces, rest = body.feed(data) if data else ([], b"")
        except MalformedMessageError as error:
            raise EndpointFailedError(Outcome.UNREADABLE, error.text) from None
        self._endpoint.put_back(rest)
        return frame_pieces(framing, pieces, body.complete, body.trailers)

    async def _read_more(self) -> bool:
        """Receives more bytes. Returns False if the endpoint has shut down its side."""
        try:
            return await self._endpoint.read_more(self._settings.buffer_bytes, self._settings.response_idle_timeout_s)
        except StalledError as error:
            text = f"of the answer {error}"
            raise EndpointFailedError(Outcome.TIMED_OUT, text, HTTPStatus.GATEWAY_TIMEOUT) from None
        except OSError:
            raise EndpointFailedError(Outcome.RESET, "the connection was reset") from None
