"""Determines the outcome of a call from a failed connect."""

from __future__ import annotations

from forwarder.decisions.outcomes import Outcome
from forwarder.endpoints.local_errors import LOCAL_ERRORS

PROCESS_STALL_US = 100_000
"""A time-out that is late by more than this is due to a stall of this process and shows nothing about the endpoint."""


def outcome_of_connect_error(error: OSError, took_us: int, timeout_us: int) -> Outcome:
    """Returns the outcome of a call whose connection could not be established.

    Args:
        error: the error of the connect; a TimeoutError if it timed out.
        took_us: duration of the connect.
        timeout_us: time-out of the connect.
    """
    process_stalled = isinstance(error, TimeoutError) and took_us > max(0, timeout_us) + PROCESS_STALL_US
    return Outcome.LOCAL_FAILURE if process_stalled or error.errno in LOCAL_ERRORS else Outcome.NO_CONNECTION
