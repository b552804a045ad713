"""Units of time shared by the whole program."""

from __future__ import annotations

SECOND_US = 1_000_000
"""One second, in microseconds."""

NEVER_US = 1 << 62
"""A time in microseconds that is never reached."""
