"""Carries out what rounds decide: what precedes an effect is written first, and nothing leaves that is not on record.

| effect | its record | while that cannot be written |
| --- | --- | --- |
| 202 to a client | the message | 503; the message is not taken on |
| a call with a message that may be repeated, and keeps no order | the attempt | leaves |
| a call with any other message | the attempt | is held back, and tried again |
| a notice | the end | waits until it is written, or until the message's time is over |

A failure of one step costs that step. What became of it is told to the decisions, and the rest of the round goes on.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus

from forwarder.clients.server import ClientConnection, Submission
from forwarder.decisions.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    EjectionChanged,
    FailMessage,
    KeyBackoffStarted,
    RejectMessage,
    SendAttempt,
)
from forwarder.decisions.events import AttemptEnded, Event, MessageWithdrawn
from forwarder.decisions.outcomes import Outcome
from forwarder.endpoints.endpoint_table import EndpointTable
from forwarder.endpoints.pool import CallItem, CallResult, ConnectionPool, EndpointCall, fits
from forwarder.runtime.invariants import Denial, Invariants
from forwarder.runtime.reason_counts import ReasonCounts, Subject
from forwarder.runtime.supervisor import Supervisor
from forwarder.storage.messages import AcceptedMessage
from forwarder.storage.store import MessageStore

SECOND = 1_000_000
MOST_REFUSED_BY = 1000  # destinations, classes and gates of refusals that are counted apart
log = logging.getLogger("forwarder.effects")

Arriving = dict[str, tuple[Submission, ClientConnection]]
"""Messages that were handed in since the last round, by their id."""
Step = CloseIdleConnections | CancelAttempt | EndpointCall


@dataclass(slots=True)
class Departures:
    """What a round lets leave, once its records are written."""

    accepted: Arriving
    steps: list[Step] = field(default_factory=list)
    forming: dict[int, EndpointCall] = field(default_factory=dict)
    """The newest call to each target, which more messages may join."""


class Effects:
    """Of one process. `turn_away` and `refuse` answer a client that a message was refused; `post` tells the
    decisions what became of something.
    """

    def __init__(
        self,
        store: MessageStore,
        pool: ConnectionPool,
        targets: EndpointTable,
        rules: Invariants,
        reasons: ReasonCounts,
        supervisor: Supervisor,
        post: Callable[[Event], None],
        turn_away: Callable[[Submission, ClientConnection, RejectMessage | FailMessage], None],
        refuse: Callable[[Submission, ClientConnection, str], None],
    ) -> None:
        self.store, self.pool, self.targets, self.rules = store, pool, targets, rules
        self.reasons, self.supervisor, self.post = reasons, supervisor, post
        self.turn_away, self.refuse = turn_away, refuse
        self.refused_by: dict[tuple[int, str, str], int] = {}
        self.refused, self.refused_us = 0, -SECOND
        self.calls_made = 0

    # Deciding what leaves, and recording it

    def prepare(self, now: int, actions: Iterable[Action], arriving: Arriving) -> Departures:
        """Record what a round has decided. Nothing leaves yet, but refusals of what was never taken on."""
        actions = list(actions)
        for action in actions:
            if isinstance(action, RejectMessage | FailMessage) and action.message_id in arriving:
                self.supervisor.guard("refusal", partial(self.turn_away, *arriving.pop(action.message_id), action))
        for handed, _ in arriving.values():
            self.store.accept(
                AcceptedMessage(
                    handed.id,
                    handed.cls,
                    handed.destination,
                    handed.due_us,
                    handed.key,
                    handed.tenant,
                    handed.body,
                    idempotency_key=handed.idempotency_key,
                )
            )
        departures = Departures(arriving)
        for action in actions:
            if not self.supervisor.guard(type(action).__name__, partial(self._prepare, action, now, departures)):
                self._undo(action)
        return departures

    def _prepare(self, action: Action, now: int, departures: Departures) -> None:
        match action:
            case SendAttempt():
                self._prepare_send(action, now, departures)
            case RejectMessage() if action.message_id in self.store.messages:
                self._log_refused(action, now)
                self.store.add_pending_notice(action.message_id, "returned", -(-action.retry_after_us // 1000))
            case FailMessage() if action.message_id in self.store.messages:
                self.store.add_pending_notice(action.message_id, "failed", 0)
            case CloseIdleConnections() | CancelAttempt():
                departures.steps.append(action)
            case EjectionChanged() if action.endpoint in self.targets.names:
                self.store.record_ejection(
                    self.targets.names[action.endpoint], action.ejected_at_us, action.recovering_since_us
                )
            case KeyBackoffStarted():
                self.store.back_off_key(action.key, action.until_us, now)

    def _undo(self, action: Action) -> None:
        """A step has failed: a message whose call was not made is held again."""
        if isinstance(action, SendAttempt):
            m = self.store.messages.get(action.message_id)
            number = 0 if m is None else max(m.in_flight, default=m.attempts)
            self.post(AttemptEnded(action.message_id, number, action.endpoint, Outcome.LOCAL_FAILURE, 0))

    def _prepare_send(self, a: SendAttempt, now: int, departures: Departures) -> None:
        """Record an attempt and put it into a call: those of one round to one target travel together."""
        m = self.store.messages.get(a.message_id)
        if m is None:  # only after a fault: the slot must come free again
            self.post(AttemptEnded(a.message_id, 0, a.endpoint, Outcome.NOT_SENT, 0, is_final=True))
            return
        number, target = m.attempts, self.targets.host(a.endpoint)
        if target is None or target.destination != m.destination:
            # A message that reaches an endpoint of another destination cannot be called back.
            log.error("held back: %s is no target of destination %d", self.targets.names.get(a.endpoint), m.destination)
            m.attempts += 1
            self.post(AttemptEnded(m.id, number, a.endpoint, Outcome.NOT_SENT, 0))
            return
        self.store.record_attempt(m, number, now, target.name)
        item = CallItem(
            m.id,
            number,
            m.key,
            m.body,
            min(now + a.timeout_us, m.due_us),
            m.due_us,
            m.idempotency_key,
            a.send_before_us,
        )
        call = departures.forming.get(a.endpoint)
        if call is None or len(call.items) >= self.targets.kind(target).max_batch or not fits(call.items, item):
            call = departures.forming[a.endpoint] = EndpointCall(a.endpoint, self.targets.place(target), now, [])
            departures.steps.append(call)
        call.items.append(item)

    def _log_refused(self, a: RejectMessage, now: int) -> None:
        """A line with the reason, one a second at most; it tells how many had none."""
        self.refused += 1
        m = self.store.messages[a.message_id]
        key = (m.destination, m.message_class.name, a.hold_reason.value if a.hold_reason else "nothing")
        if key in self.refused_by or len(self.refused_by) < MOST_REFUSED_BY:
            self.refused_by[key] = self.refused_by.get(key, 0) + 1
        if now - self.refused_us >= SECOND:
            log.info(
                "refused: %s for destination %d, held by: %s; %d refused since the last such line",
                a.message_id,
                m.destination,
                key[2],
                self.refused,
            )
            self.refused_us, self.refused = now, 0

    # Letting it leave

    def release(self, departures: Departures, written: bool) -> None:
        """What the records precede leaves now, if they are written; what may not go without is held back."""
        if not written:
            self._hold_back(departures)
        for name, (handed, door) in departures.accepted.items():
            self.supervisor.guard("202", partial(self._accept, name, handed, door))
        for step in departures.steps:
            if not self.supervisor.guard("call", partial(self._release, step)) and isinstance(step, EndpointCall):
                self.supervisor.guard("call", partial(self.pool.finish, step, CallResult(Outcome.LOCAL_FAILURE)))

    def _accept(self, name: str, handed: Submission, door: ClientConnection) -> None:
        if self.rules.may_accept(name, written=True) is None:
            door.answer(HTTPStatus.ACCEPTED)

    def _release(self, step: Step) -> None:
        match step:
            case CloseIdleConnections():
                self.pool.close_idle(step.endpoint, "not trusted any more")
            case CancelAttempt():
                self.pool.cancel(step.message_id, step.attempt)
            case EndpointCall():
                self.calls_made += 1
                self.pool.start(step)

    def _hold_back(self, departures: Departures) -> None:
        """The journal cannot be written: new messages are refused, and of the calls only those leave that may."""
        for step in departures.steps:
            if isinstance(step, EndpointCall):
                step.items[:] = [item for item in step.items if self._may_go(step, item, departures.accepted)]
        departures.steps = [step for step in departures.steps if not isinstance(step, EndpointCall) or step.items]
        for name, (handed, door) in departures.accepted.items():
            self.rules.may_accept(name, written=False)
            self.store.undo_accept(name)
            self.post(MessageWithdrawn(name))
            self.refuse(handed, door, "cannot be recorded")
        departures.accepted = {}

    def _may_go(self, call: EndpointCall, item: CallItem, accepted: Arriving) -> bool:
        if item.id not in accepted and self.rules.may_go_unrecorded(item.id):
            return True
        self.reasons.note(Subject.HELD_BACK, f"call: {Denial.NOT_RECORDED.value}", item.id)
        self.post(AttemptEnded(item.id, item.attempt, call.target, Outcome.LOCAL_FAILURE, 0))
        return False
