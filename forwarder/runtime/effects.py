"""Carries out the decisions of rounds: the record of an effect is written before the effect leaves the process.

| effect | its record | while the record cannot be written |
| --- | --- | --- |
| 202 to a client | the message | 503; the message is not accepted |
| a call with a message that may be repeated, and keeps no order | the attempt | the call is sent |
| a call with any other message | the attempt | the call is held back, and tried again |
| a notice | the end | the notice waits until it is written, or until the message's time is over |

A failure affects only the step in which it occurs: it is reported to the decisions, and the rest of the round goes on.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus

from forwarder.clients.client_connection import ClientConnection
from forwarder.clients.submission import Submission
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
from forwarder.decisions.outcomes import NEVER_RAN, Outcome
from forwarder.endpoints.call import CallItem, CallResult, EndpointCall
from forwarder.endpoints.endpoint_table import EndpointTable
from forwarder.endpoints.pool import ConnectionPool
from forwarder.endpoints.request_rendering import fits_in_batch
from forwarder.runtime.invariants import Denial, Invariants
from forwarder.runtime.reason_counts import ReasonCounts, Subject
from forwarder.runtime.supervisor import Supervisor
from forwarder.storage.messages import AcceptedMessage
from forwarder.storage.store import MessageStore
from forwarder.units import SECOND_US

MAX_REJECTION_COUNTS = 1000
"""Maximum number of combinations of destination, class and hold reason that are counted separately."""
log = logging.getLogger("forwarder.effects")

PendingSubmissions = dict[str, tuple[Submission, ClientConnection]]
"""Messages submitted since the last round, with their clients, by message id."""
EndpointAction = CloseIdleConnections | CancelAttempt | EndpointCall
"""An effect on an endpoint or its connections."""


@dataclass(slots=True)
class RoundOutput:
    """The effects of a round, which leave once its records are written."""

    accepted: PendingSubmissions
    """Messages whose clients are answered with 202."""
    endpoint_actions: list[EndpointAction] = field(default_factory=list)
    unfilled_calls: dict[int, EndpointCall] = field(default_factory=dict)
    """The newest call to each endpoint, to which more messages may be added, by endpoint number."""


class Effects:
    """Records the decisions of rounds, and releases their effects."""

    def __init__(
        self,
        store: MessageStore,
        pool: ConnectionPool,
        endpoint_table: EndpointTable,
        invariants: Invariants,
        reasons: ReasonCounts,
        supervisor: Supervisor,
        post: Callable[[Event], None],
        reject_submission: Callable[[Submission, ClientConnection, RejectMessage | FailMessage], None],
        reject_unavailable: Callable[[Submission, ClientConnection, str], None],
    ) -> None:
        """Takes the callbacks that answer a rejected submission, and the one that posts an event to the decisions."""
        self.store = store
        self.pool = pool
        self.endpoint_table = endpoint_table
        self.invariants = invariants
        self.reasons = reasons
        self.supervisor = supervisor
        self.post = post
        self.reject_submission = reject_submission
        self.reject_unavailable = reject_unavailable
        self.rejected_by: dict[tuple[int, str, str], int] = {}
        """Number of messages rejected after they were accepted, by destination, class and hold reason."""
        self.calls_made = 0
        """Number of calls since the start."""
        self._unlogged_rejections = 0
        self._rejection_logged_us = -SECOND_US

    # Recording the decisions of a round

    def record_outcome(self, event: AttemptEnded) -> None:
        """Records the outcome of an attempt."""
        message = self.store.messages.get(event.message_id)
        if message is None:
            return
        if event.outcome is Outcome.DELIVERED and event.is_final:
            self.store.end_message(message.id)
        elif event.is_final:
            # The endpoint says that the message is over. If it is wrong, the message would be lost without a notice;
            # an unnecessary notice does no harm.
            self.store.add_pending_notice(message.id, "returned" if message.maybe_ran_at_us < 0 else "failed", 0)
        elif event.outcome is Outcome.LOCAL_FAILURE:
            self.store.record_local_failure(message, event.attempt)
        else:
            self.reasons.note(Subject.RETRY, event.outcome.value, message.id)
            self.store.record_outcome(message, event.attempt, event.outcome not in NEVER_RAN)

    def prepare(self, now: int, actions: Iterable[Action], pending: PendingSubmissions) -> RoundOutput:
        """Records the decisions of a round. Nothing leaves yet, except rejections of messages that were never accepted.

        Args:
            now: the time of the round, in microseconds.
            actions: the decisions of the round.
            pending: the messages submitted since the last round; rejected ones are removed.
        """
        actions = list(actions)
        for action in actions:
            if isinstance(action, RejectMessage | FailMessage) and action.message_id in pending:
                reject = partial(self.reject_submission, *pending.pop(action.message_id), action)
                self.supervisor.guard("refusal", reject)
        for submission, _ in pending.values():
            self.store.accept(
                AcceptedMessage(
                    submission.id,
                    submission.message_class,
                    submission.destination,
                    submission.due_us,
                    submission.key,
                    submission.tenant,
                    submission.body,
                    idempotency_key=submission.idempotency_key,
                )
            )
        output = RoundOutput(pending)
        for action in actions:
            if not self.supervisor.guard(type(action).__name__, partial(self._prepare, action, now, output)):
                self._undo(action)
        return output

    def _prepare(self, action: Action, now: int, output: RoundOutput) -> None:
        match action:
            case SendAttempt():
                self._prepare_send(action, now, output)
            case RejectMessage() if action.message_id in self.store.messages:
                self._log_rejection(action, now)
                self.store.add_pending_notice(action.message_id, "returned", -(-action.retry_after_us // 1000))
            case FailMessage() if action.message_id in self.store.messages:
                self.store.add_pending_notice(action.message_id, "failed", 0)
            case CloseIdleConnections() | CancelAttempt():
                output.endpoint_actions.append(action)
            case EjectionChanged() if action.endpoint in self.endpoint_table.names:
                self.store.record_ejection(
                    self.endpoint_table.names[action.endpoint], action.ejected_at_us, action.recovering_since_us
                )
            case KeyBackoffStarted():
                self.store.back_off_key(action.key, action.until_us, now)

    def _undo(self, action: Action) -> None:
        """Reports a failed step to the decisions: a message whose call was not made is held again."""
        if isinstance(action, SendAttempt):
            message = self.store.messages.get(action.message_id)
            number = 0 if message is None else max(message.in_flight, default=message.attempts)
            self.post(AttemptEnded(action.message_id, number, action.endpoint, Outcome.LOCAL_FAILURE, 0))

    def _prepare_send(self, action: SendAttempt, now: int, output: RoundOutput) -> None:
        """Records an attempt and adds it to a call; attempts of one round to one endpoint share a call."""
        message = self.store.messages.get(action.message_id)
        if message is None:  # only after a fault: the slot must still be released
            self.post(AttemptEnded(action.message_id, 0, action.endpoint, Outcome.NOT_SENT, 0, is_final=True))
            return
        number = message.attempts
        target = self.endpoint_table.endpoint(action.endpoint)
        if target is None or target.destination != message.destination:
            # A message that reaches an endpoint of another destination cannot be recalled.
            log.error(
                "held back: reason=endpoint of another destination id=%s endpoint=%s destination=%d",
                message.id,
                self.endpoint_table.names.get(action.endpoint),
                message.destination,
            )
            message.attempts += 1
            self.post(AttemptEnded(message.id, number, action.endpoint, Outcome.NOT_SENT, 0))
            return
        self.store.record_attempt(message, number, now, target.name)
        item = CallItem(
            message.id,
            number,
            message.key,
            message.body,
            min(now + action.timeout_us, message.due_us),
            message.due_us,
            message.idempotency_key,
            action.send_before_us,
        )
        call = output.unfilled_calls.get(action.endpoint)
        if (
            call is None
            or len(call.items) >= self.endpoint_table.kind(target).max_batch
            or not fits_in_batch(call.items, item)
        ):
            call = EndpointCall(action.endpoint, self.endpoint_table.limit_scope(target), now, [])
            output.unfilled_calls[action.endpoint] = call
            output.endpoint_actions.append(call)
        call.items.append(item)

    def _log_rejection(self, action: RejectMessage, now: int) -> None:
        """Logs a rejection with its reason, at most once a second, and the number of rejections since the last line."""
        self._unlogged_rejections += 1
        message = self.store.messages[action.message_id]
        reason = action.hold_reason.value if action.hold_reason else "nothing"
        key = (message.destination, message.message_class.name, reason)
        if key in self.rejected_by or len(self.rejected_by) < MAX_REJECTION_COUNTS:
            self.rejected_by[key] = self.rejected_by.get(key, 0) + 1
        if now - self._rejection_logged_us >= SECOND_US:
            log.info(
                "refused: %s for destination %d, held by: %s; %d refused since the last such line",
                action.message_id,
                message.destination,
                reason,
                self._unlogged_rejections,
            )
            self._rejection_logged_us = now
            self._unlogged_rejections = 0

    # Releasing the effects of a round

    def release(self, output: RoundOutput, is_recorded: bool) -> None:
        """Releases the effects of a round; holds back those that need a record if the records could not be written."""
        if not is_recorded:
            self._hold_back(output)
        for message_id, (_, client) in output.accepted.items():
            self.supervisor.guard("202", partial(self._answer_accepted, message_id, client))
        for action in output.endpoint_actions:
            if not self.supervisor.guard("call", partial(self._run_endpoint_action, action)) and isinstance(
                action, EndpointCall
            ):
                self.supervisor.guard("call", partial(self.pool.finish, action, CallResult(Outcome.LOCAL_FAILURE)))

    def _answer_accepted(self, message_id: str, client: ClientConnection) -> None:
        if self.invariants.may_accept(message_id, is_recorded=True) is None:
            client.answer(HTTPStatus.ACCEPTED, on_unsent=partial(self._withdraw_unanswered, message_id))

    def _withdraw_unanswered(self, message_id: str) -> None:
        """Withdraws a message whose client disconnected before its 202 was sent, unless it may have run.

        The client may have submitted it elsewhere, so its end here does not count (PROTOCOL).
        """
        message = self.store.messages.get(message_id)
        if message is None or not message.has_surely_not_run:
            return
        self.reasons.note(Subject.REFUSAL, "its client left before the 202 could", message_id)
        self.store.withdraw_message(message_id)
        self.post(MessageWithdrawn(message_id))

    def _run_endpoint_action(self, action: EndpointAction) -> None:
        match action:
            case CloseIdleConnections():
                self.pool.close_idle(action.endpoint, "not trusted any more")
            case CancelAttempt():
                self.pool.cancel(action.message_id, action.attempt)
            case EndpointCall():
                self.calls_made += 1
                self.pool.start(action)

    def _hold_back(self, output: RoundOutput) -> None:
        """Rejects new messages as the journal cannot be written, and drops the attempts that may not go unrecorded."""
        for action in output.endpoint_actions:
            if isinstance(action, EndpointCall):
                action.items[:] = [
                    item for item in action.items if self._may_send_unrecorded(action, item, output.accepted)
                ]
        output.endpoint_actions = [
            action for action in output.endpoint_actions if not isinstance(action, EndpointCall) or action.items
        ]
        for message_id, (submission, client) in output.accepted.items():
            self.invariants.may_accept(message_id, is_recorded=False)
            self.store.undo_accept(message_id)
            self.post(MessageWithdrawn(message_id))
            self.reject_unavailable(submission, client, "cannot be recorded")
        output.accepted = {}

    def _may_send_unrecorded(self, call: EndpointCall, item: CallItem, accepted: PendingSubmissions) -> bool:
        """Returns whether an attempt may be sent unrecorded; one that may not is reported to the decisions."""
        if item.id not in accepted and self.invariants.may_send_unrecorded(item.id):
            return True
        self.reasons.note(Subject.HELD_BACK, f"call: {Denial.NOT_RECORDED.value}", item.id)
        self.post(AttemptEnded(item.id, item.attempt, call.endpoint, Outcome.LOCAL_FAILURE, 0))
        return False
