"""Renders the HTTP request of a call. The platform defines the headers, paths and JSON keys (PROTOCOL)."""

from __future__ import annotations

import base64
import json
from collections.abc import Sequence

from forwarder.config.config import Address
from forwarder.endpoints.call import CallItem, EndpointCall
from forwarder.protocol.http1 import MAX_BODY_BYTES, render_request

ITEM_OVERHEAD_BYTES = 64  # upper bound of the bytes that JSON adds to one message, without escapes in its id or key


def render_call(call: EndpointCall, address: Address, now_us: int) -> bytes:
    """Returns the bytes of a request that carries the open messages of a call."""
    host = f"{address.host}:{address.port}"
    items = list(call.open_items.values())
    time_left = f"{max(1, (call.timeout_at_us - now_us) // 1000) / 1000:.3f}"
    if len(items) == 1:
        headers = _single_headers(items[0], time_left)
        return render_request("POST", "/hook", host, headers, items[0].body)
    headers = [("Content-Type", "application/json"), ("X-Time-Left", time_left)]
    return render_request("POST", "/hook/batch", host, headers, _batch_body(items))


def fits_in_batch(items: Sequence[CallItem], added: CallItem) -> bool:
    """Returns whether the body of a batch call with one more message stays within the size that endpoints accept."""
    return sum(map(_batched_size, [*items, added])) <= MAX_BODY_BYTES


def _single_headers(item: CallItem, time_left: str) -> list[tuple[str, str]]:
    headers = [("X-Correlation-Id", item.id), ("X-Time-Left", time_left)]
    if item.key is not None:
        headers.append(("X-Session-Key", item.key))
    if item.idempotency_key is not None:
        headers.append(("Idempotency-Key", item.idempotency_key))
    return headers


def _batch_body(items: Sequence[CallItem]) -> bytes:
    return json.dumps([_batch_entry(item) for item in items], separators=(",", ":")).encode()


def _batch_entry(item: CallItem) -> dict[str, str]:
    entry = {"id": item.id}
    if item.batch_key is not None:
        entry["key"] = item.batch_key
    entry["body"] = base64.b64encode(item.body).decode()
    return entry


def _batched_size(item: CallItem) -> int:
    encoded_body_size = 4 * len(item.body) // 3
    return encoded_body_size + len(item.id) + len(item.batch_key or "") + ITEM_OVERHEAD_BYTES
