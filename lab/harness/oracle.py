"""Tracks what clients, endpoints and the platform know about each message, and finds violations of the rules."""

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
    """What clients, endpoints and the platform know about one message."""

    key: str
    message_class: str
    due_us: int
    is_accepted: bool = False
    is_answered: bool = False
    is_in_flight: bool = False
    may_have_run: bool = False
    is_delivered: bool = False
    is_noticed: bool = False
    """Whether the platform has received its notice, even if the forwarder has not received the answer."""

    @property
    def is_over(self) -> bool:
        """Whether the message may not be sent any more."""
        return self.is_delivered or self.is_noticed or (self.is_answered and not self.is_accepted)

    @property
    def runs_once(self) -> bool:
        """Whether the message may take effect only once."""
        return self.message_class == ONCE_CLASS


@dataclass(frozen=True, slots=True)
class KeyBackoff:
    """The backoff of a key whose last call may still run: its next message has to wait."""

    until_us: int
    message_id: str


class Oracle:
    """The view of clients, endpoints and the platform, as far as the rules need it."""

    def __init__(self, clock_us: Callable[[], int]) -> None:
        self.clock_us = clock_us
        self.messages: dict[str, MessageState] = {}
        self.accepted_by_key: defaultdict[str, list[str]] = defaultdict(list)
        """The ids of each key's accepted messages, in order of acceptance."""
        self.key_backoffs: dict[str, KeyBackoff] = {}
        self.violations: list[str] = []
        """Descriptions of the violations, each starting with the name of the rule."""

    def note_answer(self, message_id: str, status: int) -> None:
        """Record the answer that the client of a message got."""
        message = self.messages[message_id]
        message.is_answered = True
        message.is_accepted = status in ACCEPTED
        if message.is_accepted:
            self.accepted_by_key[message.key].append(message_id)

    def note_sent(self, message_id: str) -> None:
        """Record that a message is sent, and check that it may be."""
        message = self.messages[message_id]
        may_repeat = message.is_delivered and not message.runs_once
        if message.is_over and not may_repeat:  # a delivered message that may be repeated may be sent again
            self.violations.append(f"lost: {message_id} is sent after its end")
        if message.is_in_flight:
            self.violations.append(f"duplicate: {message_id} is already in flight")
        if message.runs_once and message.may_have_run:
            self.violations.append(f"duplicate: {message_id} is sent again though it may have run")
        self._check_order(message_id, message)
        self._check_key_backoff(message_id, message)
        message.is_in_flight = True

    def _check_order(self, message_id: str, message: MessageState) -> None:
        for earlier_id in self.accepted_by_key[message.key]:
            if earlier_id == message_id:
                break
            if not self.messages[earlier_id].is_over:
                self.violations.append(f"order: {message_id} is sent before {earlier_id}")
        for other_id, other in self.messages.items():
            if other_id != message_id and other.key == message.key and other.is_in_flight:
                self.violations.append(f"order: {message_id} is sent while {other_id} is in flight")

    def _check_key_backoff(self, message_id: str, message: MessageState) -> None:
        backoff = self.key_backoffs.get(message.key)
        if backoff is None or backoff.message_id == message_id:
            return
        if self.clock_us() < backoff.until_us:
            self.violations.append(f"order: {message_id} is sent during the key backoff after {backoff.message_id}")

    def note_outcome(self, message_id: str, outcome: Outcome) -> None:
        """Record the outcome of a message's attempt."""
        message = self.messages[message_id]
        message.is_in_flight = False
        message.may_have_run |= outcome not in NEVER_RAN
        message.is_delivered |= outcome is Outcome.DELIVERED
        if outcome in MAY_STILL_RUN:
            self.key_backoffs[message.key] = KeyBackoff(self.clock_us() + KEY_BACKOFF_US, message_id)

    def note_notice(self, message_id: str, state: str) -> None:
        """Record that the platform received a notice, and check it."""
        message = self.messages[message_id]
        if state == "returned" and message.runs_once and message.may_have_run and not message.is_delivered:
            self.violations.append(f"duplicate: {message_id} is returned though it may have run")
        message.is_noticed = True

    def note_withdrawn(self, message_id: str) -> None:
        """Record that a client has given up: its message is ignored, also in the order of its key."""
        message = self.messages[message_id]
        message.is_answered = True
        message.is_accepted = False

    def note_killed(self) -> None:
        """Record that the process was killed: its calls may still run, and no outstanding client gets an answer."""
        for message_id, message in self.messages.items():
            if message.is_in_flight:
                self.note_outcome(message_id, Outcome.RESET)
            message.is_answered = True

    def pending_messages(self) -> list[str]:
        """Return the ids of accepted messages that have not ended."""
        return [
            message_id for message_id, message in self.messages.items() if message.is_accepted and not message.is_over
        ]
