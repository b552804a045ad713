"""Tells paths that are reserved for messages and discovery, however they are written."""

from __future__ import annotations

import re
from urllib.parse import unquote_to_bytes

MAX_DECODINGS = 4
"""A path that is still encoded after being decoded so often counts as reserved."""
CONTROL_CHARACTER = re.compile(rb"[\x00-\x1f\x7f]")
SEPARATORS = re.compile(rb"[/\\]+")


def is_reserved_path(target: bytes, names: frozenset[bytes]) -> bool:
    """Whether an endpoint may take a path for one that begins with a reserved name.

    What hides control characters counts as reserved too.

    Args:
        target: the request's target, with its query.
        names: reserved first segments, in lower case.
    """
    path = _decoded(target.partition(b"?")[0])
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


def _decoded(path: bytes) -> bytes | None:
    """Returns the path with nothing encoded left in it; None where there is no end to it."""
    for _ in range(MAX_DECODINGS):
        decoded = unquote_to_bytes(path)
        if decoded == path:
            return decoded
        path = decoded
    return None
