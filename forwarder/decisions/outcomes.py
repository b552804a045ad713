"""The outcomes of an attempt to deliver a message, and what each outcome proves."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """How an attempt ended. Operators read the values."""

    DELIVERED = "delivered"
    FAILED = "failed"
    UNREADABLE = "unreadable"
    """An answer arrived that cannot be parsed: the message may have run, and the endpoint is up."""
    REJECTED = "full"
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    CANCELED = "canceled"
    NOT_SENT = "not sent"
    LOCAL_FAILURE = "held back"
    """This machine could not or must not send the attempt, which says nothing about the endpoint."""


NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.NO_CONNECTION, Outcome.NOT_SENT, Outcome.LOCAL_FAILURE})
"""Outcomes that prove that the attempt had no effect."""


MAY_STILL_RUN = frozenset({Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELED})
"""Outcomes after which the attempt may still run, so that the next message of its key has to wait."""


OVERLOAD_OUTCOMES = frozenset({Outcome.REJECTED, Outcome.TIMED_OUT, Outcome.NO_CONNECTION})
"""Outcomes that overload can cause."""


UNINFORMATIVE_OUTCOMES = frozenset({Outcome.NOT_SENT, Outcome.LOCAL_FAILURE, Outcome.CANCELED, Outcome.UNREADABLE})
"""Outcomes that say nothing about the endpoint's capacity and health."""
