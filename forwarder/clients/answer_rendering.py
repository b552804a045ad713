"""Renders the answers to clients."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus

from forwarder.clients.submission import ClientRequest


def render_answer(
    request: ClientRequest, status: HTTPStatus, text: str, headers: Mapping[str, str], keep_alive: bool
) -> bytes:
    """Returns the bytes of an answer.

    Args:
        request: the answered request; the answer to HEAD has no body.
        status: the HTTP status.
        text: the body, one line; empty for none.
        headers: additional headers; an underscore in a name stands for a hyphen.
        keep_alive: whether the connection stays open after the answer.
    """
    body = f"{text}\n".encode() if text else b""
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        f"Content-Length: {len(body)}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
    ]
    if body:
        lines.append("Content-Type: text/plain; charset=utf-8")
    if not keep_alive:
        lines.append("Connection: close")
    head = "\r\n".join(lines).encode() + b"\r\n\r\n"
    return head if request.method == "HEAD" else head + body
