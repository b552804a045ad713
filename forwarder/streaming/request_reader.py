"""Reads the head of a request from a client."""

from __future__ import annotations

import time
from http import HTTPStatus

from forwarder.streaming.connection import StalledError, StreamConnection
from forwarder.streaming.http_head import MalformedMessageError, Request, parse_request, split_head
from forwarder.streaming.settings import StreamSettings

MIN_TIMEOUT_S = 0.001


async def read_request_head(client: StreamConnection, settings: StreamSettings) -> Request | None:
    """Reads the rest of a head whose first bytes were received. Returns None if the client closes the connection first.

    Raises:
        MalformedMessageError: The request is invalid or not supported, or its head was not complete in time.
        OSError: The connection is broken.
    """
    deadline_s = time.monotonic() + settings.head_timeout_s
    searched = 0
    while (parts := split_head(client.unread, searched)) is None:
        if client.unread.startswith(b"\r\n"):  # some clients send an extra CRLF after a body
            client.put_back(client.unread[2:])
        searched = len(client.unread)
        timeout_s = max(MIN_TIMEOUT_S, deadline_s - time.monotonic())
        try:
            if not await client.read_more(settings.buffer_bytes, timeout_s):
                return None
        except StalledError:
            raise MalformedMessageError("the header did not come to its end", HTTPStatus.REQUEST_TIMEOUT) from None
    head, rest = parts
    request = parse_request(head.lstrip(b"\r\n"))
    client.put_back(rest)
    return request
