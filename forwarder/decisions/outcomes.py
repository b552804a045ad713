"""How one attempt to deliver a message can end, and what each outcome proves."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """How one attempt ended."""

    DELIVERED = "delivered"
    FAILED = "failed"
    UNREADABLE = "unreadable"
    """An answer came, but not one that can be read: it may have run, and the target is there."""
    REJECTED = "full"
    TIMED_OUT = "timed out"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    CANCELED = "canceled"
    NOT_SENT = "not sent"
    LOCAL_FAILURE = "held back"
    """This machine could not send it, or may not now: a failure of its own, that says nothing of the target."""


NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.NO_CONNECTION, Outcome.NOT_SENT, Outcome.LOCAL_FAILURE})
"""Outcomes that prove the attempt had no effect."""


MAY_STILL_RUN = frozenset({Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELED})
"""Outcomes after which the attempt may still be running: the next message of its key waits."""


TOO_MUCH = frozenset({Outcome.REJECTED, Outcome.TIMED_OUT, Outcome.NO_CONNECTION})
"""Outcomes that a target gives which is sent more than it takes."""


TELLS_NOTHING = frozenset({Outcome.NOT_SENT, Outcome.LOCAL_FAILURE, Outcome.CANCELED, Outcome.UNREADABLE})
"""Outcomes that tell nothing of the target's pace and health."""
