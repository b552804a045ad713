"""Decides what a connect that failed says of its endpoint."""

from __future__ import annotations

from forwarder.decisions.outcomes import Outcome
from forwarder.endpoints.local_errors import LOCAL_ERRORS

STANDSTILL_US = 100_000
"""A time-out that comes so late says that this process stood still, and nothing of the endpoint."""


def outcome_of_connect_error(error: OSError, took_us: int, timeout_us: int) -> Outcome:
    """Returns the outcome of a call whose connection did not come up.

    Args:
        error: why it did not; a TimeoutError where its time was over.
        took_us: how long that has taken.
        timeout_us: how long it could have taken.
    """
    stood_still = isinstance(error, TimeoutError) and took_us > max(0, timeout_us) + STANDSTILL_US
    return Outcome.LOCAL_FAILURE if stood_still or error.errno in LOCAL_ERRORS else Outcome.NO_CONNECTION
