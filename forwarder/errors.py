"""The base class of the forwarder's own errors."""

from __future__ import annotations


class ForwarderError(Exception):
    """An error raised by the forwarder itself; its text says what went wrong and where."""
