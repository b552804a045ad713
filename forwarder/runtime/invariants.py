"""The one place that decides whether something may leave this process now: an answer, a call, a notice, a hand-over.

A round's decision may have been overtaken before its effect leaves: by a drain, a Retry-After, a resend window that
closed, a record that could not be written. Every effect is checked here at the moment at which it would leave. An
effect that is denied for such a reason is held back, and the decisions are told. A denial that no race explains is a
violation, that is, a fault of the program. The effect is held back as well, and the violation is counted, logged with
the request's id, and shown to operators (`RULES`).
"""

from __future__ import annotations

import enum
from collections.abc import Container
from dataclasses import dataclass

from forwarder.decisions.settings import Effect
from forwarder.runtime.reason_counts import ReasonCounts, Subject
from forwarder.storage.messages import AcceptedMessage
from forwarder.storage.store import MessageStore


class Denial(enum.Enum):
    """Why something may not leave now. The values are logged."""

    NOT_RECORDED = "its record cannot be written"
    NOT_LISTED = "its endpoint may not be called any more"
    RETRY_AFTER = "its destination told a wait"
    UNREAD_ANSWER = "an answer of its destination cannot be read just now"
    RESEND_WINDOW_OVER = "its window for a repeat is over"
    DEADLINE_OVER = "its time is over"
    ENDED = "its message has had its end"
    STILL_IN_PROGRESS = "an earlier call with it is still out"
    MAY_HAVE_RUN = "it may have run, and may run once only"
    NEVER_ACCEPTED = "its message was never taken on"


VIOLATIONS = frozenset({Denial.ENDED, Denial.STILL_IN_PROGRESS, Denial.MAY_HAVE_RUN, Denial.NEVER_ACCEPTED})
"""Denials that no race explains."""


@dataclass(frozen=True, slots=True)
class AttemptFacts:
    """An attempt whose call is about to be written."""

    message_id: str
    number: int
    send_before_us: int
    due_us: int


@dataclass(frozen=True, slots=True)
class RouteFacts:
    """What is known, at the moment of writing, about the route of a call."""

    is_listed: bool
    """Whether the endpoint may be called at the address that the call was made for."""
    retry_after_until_us: int
    """Time until which no call may be made in the limit scope."""
    has_unread_answer: bool = False
    """Whether an answer in the limit scope has arrived but cannot be read yet: it may carry a Retry-After."""


def route_denial(attempt: AttemptFacts, route: RouteFacts, now_us: int) -> Denial | None:
    """Returns why the route or the message's times forbid a call now; None where they allow it."""
    if not route.is_listed:
        return Denial.NOT_LISTED
    if now_us < route.retry_after_until_us:
        return Denial.RETRY_AFTER
    if route.has_unread_answer:
        return Denial.UNREAD_ANSWER
    if now_us >= attempt.send_before_us:
        return Denial.RESEND_WINDOW_OVER
    return Denial.DEADLINE_OVER if now_us >= attempt.due_us else None


class Invariants:
    """Decides by the recorded state. A method that returns a denial returns None if the effect may leave."""

    def __init__(self, store: MessageStore, reasons: ReasonCounts) -> None:
        self.store = store
        self.reasons = reasons

    def may_send(
        self, attempt: AttemptFacts, route: RouteFacts, now_us: int, others_in_progress: Container[str] = ()
    ) -> Denial | None:
        """Decides whether the first byte of a call with this attempt may be written.

        Args:
            attempt: the attempt.
            route: the route of the call.
            now_us: the current time.
            others_in_progress: the ids of the messages in other calls.
        """
        denial = route_denial(attempt, route, now_us)
        if denial is None:
            denial = self._message_denial(attempt, others_in_progress)
        if denial is not None:
            self._note_denial("call", denial, attempt.message_id)
        return denial

    def _message_denial(self, attempt: AttemptFacts, others_in_progress: Container[str]) -> Denial | None:
        message = self.store.messages.get(attempt.message_id)
        if message is None:
            return Denial.ENDED if self.store.knows(attempt.message_id) else Denial.NEVER_ACCEPTED
        if attempt.message_id in others_in_progress:
            return Denial.STILL_IN_PROGRESS
        if message.message_class.effect is Effect.ONCE and self._may_have_run(message, attempt.number):
            return Denial.MAY_HAVE_RUN
        return None

    @staticmethod
    def _may_have_run(message: AcceptedMessage, number: int) -> bool:
        """Returns whether an attempt other than this one may have run."""
        return message.maybe_ran_at_us >= 0 or any(other != number for other in message.in_flight)

    def may_send_unrecorded(self, message_id: str) -> bool:
        """Returns whether a call may leave although its attempt cannot be recorded, so that a restart may repeat it.

        A message that keeps an order may not: the next message of its key would have to wait for the repeated call.
        """
        message = self.store.messages.get(message_id)
        return (
            message is not None
            and message.message_class.effect is Effect.REPEATABLE
            and not message.message_class.in_order
        )

    def may_accept(self, message_id: str, is_recorded: bool) -> Denial | None:
        """Decides whether a client may be told that its message is accepted."""
        denial = None
        if not self.store.knows(message_id):
            denial = Denial.NEVER_ACCEPTED
        elif not is_recorded:
            denial = Denial.NOT_RECORDED
        if denial is not None:
            self._note_denial("202", denial, message_id)
        return denial

    def may_notify(self, message_id: str, now_us: int) -> Denial | None:
        """Decides whether the platform may be notified of a message's end."""
        if message_id in self.store.messages:
            self._note_denial("notice", Denial.STILL_IN_PROGRESS, message_id)
            return Denial.STILL_IN_PROGRESS
        return None if self.store.may_notify(message_id, now_us) else Denial.NOT_RECORDED

    def may_hand_over(self) -> Denial | None:
        """Decides whether another process may continue from the journal: it would not know of unrecorded changes."""
        if not self.store.write_failed:
            return None
        self._note_denial("hand-over", Denial.NOT_RECORDED, "")
        return Denial.NOT_RECORDED

    def _note_denial(self, effect_name: str, denial: Denial, message_id: str) -> None:
        subject = Subject.VIOLATION if denial in VIOLATIONS else Subject.HELD_BACK
        self.reasons.note(subject, f"{effect_name}: {denial.value}", message_id)
