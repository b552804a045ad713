"""The one place that decides whether something may leave this process now: an answer, a call, a notice, a close.

What was decided in a round may have been overtaken before it leaves: by a drain, a wait that was told, a window that
closed, a record that could not be written. Everything asks here in the moment in which it would leave. What is denied
for such a reason is held back, and its decision is told so. What no race explains is a violation: the program itself is
wrong. It is held back all the same, counted, logged with the request's id, and shown to operators (`RULES`).
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from forwarder.decisions.settings import Effect
from forwarder.runtime.reason_counts import ReasonCounts, Subject
from forwarder.storage.messages import AcceptedMessage
from forwarder.storage.store import MessageStore


class Denial(enum.Enum):
    """Why something may not leave now. The values are what logs say."""

    NOT_RECORDED = "its record cannot be written"
    NOT_LISTED = "its endpoint may not be called any more"
    WAIT_TOLD = "its destination told a wait"
    WINDOW_PASSED = "its window for a repeat is over"
    TIME_OVER = "its time is over"
    ENDED = "its message has had its end"
    STILL_OUT = "an earlier call with it is still out"
    MAY_HAVE_RUN = "it may have run, and may run once only"
    NEVER_TAKEN_ON = "its message was never taken on"


VIOLATIONS = frozenset({Denial.ENDED, Denial.STILL_OUT, Denial.MAY_HAVE_RUN, Denial.NEVER_TAKEN_ON})
"""What no race explains."""


@dataclass(frozen=True, slots=True)
class AttemptFacts:
    """A message in a call that is about to be written."""

    message: str
    number: int
    leave_by_us: int
    due_us: int


@dataclass(frozen=True, slots=True)
class RouteFacts:
    """What is known, in the moment of writing, of where a call goes."""

    listed: bool
    """Whether its endpoint may be called, at the address that the call was made for."""
    wait_until_us: int
    """Until when its destination is to be left alone."""


def route_denial(attempt: AttemptFacts, route: RouteFacts, now_us: int) -> Denial | None:
    """What of the route, or of the message's times, forbids a call now."""
    if not route.listed:
        return Denial.NOT_LISTED
    if now_us < route.wait_until_us:
        return Denial.WAIT_TOLD
    if now_us >= attempt.leave_by_us:
        return Denial.WINDOW_PASSED
    return Denial.TIME_OVER if now_us >= attempt.due_us else None


class Invariants:
    """Decides by what is on record."""

    def __init__(self, store: MessageStore, reasons: ReasonCounts) -> None:
        self.store, self.reasons = store, reasons

    def may_send(
        self, attempt: AttemptFacts, route: RouteFacts, now_us: int, others_out: Iterable[str] = ()
    ) -> Denial | None:
        """Whether the first byte of a call with this message may be written. `others_out` are the messages of other
        calls that are on their way.
        """
        denial = route_denial(attempt, route, now_us)
        if denial is None:
            denial = self._message_denial(attempt, others_out)
        if denial is not None:
            self._denied("call", denial, attempt.message)
        return denial

    def _message_denial(self, attempt: AttemptFacts, others_out: Iterable[str]) -> Denial | None:
        message = self.store.messages.get(attempt.message)
        if message is None:
            return Denial.ENDED if self.store.knows(attempt.message) else Denial.NEVER_TAKEN_ON
        if attempt.message in others_out:
            return Denial.STILL_OUT
        if message.message_class.effect is Effect.ONCE and self._may_have_run(message, attempt.number):
            return Denial.MAY_HAVE_RUN
        return None

    @staticmethod
    def _may_have_run(message: AcceptedMessage, number: int) -> bool:
        """Whether an attempt other than this one has run, as far as anyone knows."""
        return message.maybe_ran_at_us >= 0 or any(other != number for other in message.in_flight)

    def may_go_unrecorded(self, message: str) -> bool:
        """Whether a call may leave though its attempt cannot be written: after a restart it may be made again. The next
        of its key would have to wait for it then, so one that keeps an order may not.
        """
        taken = self.store.messages.get(message)
        return (
            taken is not None and taken.message_class.effect is Effect.REPEATABLE and not taken.message_class.in_order
        )

    def may_accept(self, message: str, written: bool) -> Denial | None:
        """Whether a client may be told that its message is taken on."""
        denial = None
        if not self.store.knows(message):
            denial = Denial.NEVER_TAKEN_ON
        elif not written:
            denial = Denial.NOT_RECORDED
        if denial is not None:
            self._denied("202", denial, message)
        return denial

    def may_notify(self, message: str, now_us: int) -> Denial | None:
        """Whether the platform may be told the end of a message."""
        if message in self.store.messages:
            self._denied("notice", Denial.STILL_OUT, message)
            return Denial.STILL_OUT
        return None if self.store.may_notify(message, now_us) else Denial.NOT_RECORDED

    def may_hand_over(self) -> Denial | None:
        """Whether another process may go on from the journal: it would not know of what is not on record."""
        if not self.store.write_failed:
            return None
        self._denied("hand-over", Denial.NOT_RECORDED, "")
        return Denial.NOT_RECORDED

    def _denied(self, what: str, denial: Denial, message: str) -> None:
        subject = Subject.VIOLATION if denial in VIOLATIONS else Subject.HELD_BACK
        self.reasons.note(subject, f"{what}: {denial.value}", message)
