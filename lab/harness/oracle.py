"""What clients, endpoints and the platform know of each message, and which rules a forwarder breaks by that."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from forwarder.decisions.outcomes import MAY_STILL_RUN, NEVER_RAN, Outcome
from lab.harness.config import KEY_BACKOFF_US

ACCEPTED = (HTTPStatus.OK, HTTPStatus.ACCEPTED)
ONCE_CLASS = "once"


@dataclass(slots=True)
class MessageState:
    """What is known outside of one message."""

    key: str
    message_class: str
    due_us: int
    is_accepted: bool = False
    is_answered: bool = False
    is_in_flight: bool = False
    may_have_run: bool = False
    is_delivered: bool = False
    is_noticed: bool = False
    """The platform has its notice, whether or not the forwarder has heard the answer."""

    @property
    def is_over(self) -> bool:
        """Whether nothing may be sent of it any more."""
        return self.is_delivered or self.is_noticed or (self.is_answered and not self.is_accepted)

    @property
    def runs_once(self) -> bool:
        """Whether it may take effect once only."""
        return self.message_class == ONCE_CLASS


@dataclass(frozen=True, slots=True)
class KeyBackoff:
    """A key whose last call may still run: its next message waits."""

    until_us: int
    message_id: str


class Oracle:
    """Clients, endpoints and the platform, as far as the rules need them."""

    def __init__(self, clock_us: Callable[[], int]) -> None:
        self.clock_us = clock_us
        self.messages: dict[str, MessageState] = {}
        self.accepted_by_key: defaultdict[str, list[str]] = defaultdict(list)
        """The accepted messages of each key, in their order."""
        self.key_backoffs: dict[str, KeyBackoff] = {}
        self.violations: list[str] = []
        """What the forwarder has broken, in words."""

    def note_answer(self, message_id: str, status: int) -> None:
        """Note the answer that a message's client got."""
        message = self.messages[message_id]
        message.is_answered = True
        message.is_accepted = status in ACCEPTED
        if message.is_accepted:
            self.accepted_by_key[message.key].append(message_id)

    def note_sent(self, message_id: str) -> None:
        """Check a call whose first byte leaves."""
        message = self.messages[message_id]
        may_repeat = message.is_delivered and not message.runs_once
        if message.is_over and not may_repeat:  # what may be repeated is delivered once more
            self.violations.append(f"lost: {message_id} is forwarded after its end")
        if message.is_in_flight:
            self.violations.append(f"duplicate: {message_id} is out already")
        if message.runs_once and message.may_have_run:
            self.violations.append(f"duplicate: {message_id} may have run")
        self._check_order(message_id, message)
        self._check_key_backoff(message_id, message)
        message.is_in_flight = True

    def _check_order(self, message_id: str, message: MessageState) -> None:
        for earlier in self.accepted_by_key[message.key]:
            if earlier == message_id:
                break
            if not self.messages[earlier].is_over:
                self.violations.append(f"order: {message_id} before {earlier}")
        for other_id, other in self.messages.items():
            if other_id != message_id and other.key == message.key and other.is_in_flight:
                self.violations.append(f"order: {message_id} while {other_id} is out")

    def _check_key_backoff(self, message_id: str, message: MessageState) -> None:
        backoff = self.key_backoffs.get(message.key)
        if backoff is None or backoff.message_id == message_id:
            return
        if self.clock_us() < backoff.until_us:
            self.violations.append(f"order: {message_id} within the rest after {backoff.message_id}")

    def note_outcome(self, message_id: str, outcome: Outcome) -> None:
        """Note how a call has ended."""
        message = self.messages[message_id]
        message.is_in_flight = False
        message.may_have_run |= outcome not in NEVER_RAN
        message.is_delivered |= outcome is Outcome.DELIVERED
        if outcome in MAY_STILL_RUN:
            self.key_backoffs[message.key] = KeyBackoff(self.clock_us() + KEY_BACKOFF_US, message_id)

    def note_notice(self, message_id: str, state: str) -> None:
        """Check a notice that has come to the platform."""
        message = self.messages[message_id]
        if state == "returned" and message.runs_once and message.may_have_run and not message.is_delivered:
            self.violations.append(f"duplicate: {message_id} is returned, and may have run")
        message.is_noticed = True

    def note_withdrawn(self, message_id: str) -> None:
        """Note that a client has given up: its message counts for nothing, and is no part of its key's order."""
        message = self.messages[message_id]
        message.is_answered = True
        message.is_accepted = False

    def note_killed(self) -> None:
        """Note that the process has died: its calls may run on, and clients without an answer have none to come."""
        for message_id, message in self.messages.items():
            if message.is_in_flight:
                self.note_outcome(message_id, Outcome.RESET)
            message.is_answered = True

    def pending_messages(self) -> list[str]:
        """Return the messages that were accepted and have no end."""
        return [name for name, message in self.messages.items() if message.is_accepted and not message.is_over]
