"""Detects paths that are reserved for messages and discovery, in any encoding or spelling."""

from __future__ import annotations

import re
from urllib.parse import unquote_to_bytes

MAX_DECODINGS = 4
"""A path that is still percent-encoded after this number of decodings counts as reserved."""
CONTROL_CHARACTER = re.compile(rb"[\x00-\x1f\x7f]")
SEPARATORS = re.compile(rb"[/\\]+")


def is_reserved_path(target: bytes, names: frozenset[bytes]) -> bool:
    """Returns whether an endpoint may interpret a path as one that begins with a reserved name.

    A path that contains control characters, encoded or not, counts as reserved too.

    Args:
        target: The target of the request, with its query.
        names: The reserved first segments, in lower case.
    """
    path = _decode_fully(target.partition(b"?")[0])
    if path is None or CONTROL_CHARACTER.search(path):
        return True
    segments: list[bytes] = []
    for part in SEPARATORS.split(path.partition(b"?")[0].partition(b"#")[0]):
        segment = part.partition(b";")[0].strip().lower()
        if segment == b"..":
            del segments[-1:]
        elif segment not in (b"", b"."):
            segments.append(segment)
            if len(segments) == 1 and segment in names:
                return True
    return bool(segments) and segments[0] in names


def _decode_fully(path: bytes) -> bytes | None:
    """Decodes a path until it does not change any more. Returns None if that takes too many decodings."""
    for _ in range(MAX_DECODINGS):
        decoded = unquote_to_bytes(path)
        if decoded == path:
            return decoded
        path = decoded
    return None
