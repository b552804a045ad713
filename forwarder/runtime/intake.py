"""Submissions from clients: queues those that the next round decides on, and answers the others."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from http import HTTPStatus

from forwarder.clients.client_connection import ClientConnection
from forwarder.clients.departures import connections_left
from forwarder.clients.submission import Submission
from forwarder.decisions.actions import FailMessage, RejectMessage
from forwarder.decisions.events import Event, MessageArrived, MessageWithdrawn, NoticeAcknowledged
from forwarder.decisions.settings import Settings
from forwarder.endpoints.endpoint_table import EndpointTable
from forwarder.runtime.effects import PendingSubmissions
from forwarder.runtime.reason_counts import ReasonCounts, Subject
from forwarder.runtime.run_state import RunState
from forwarder.storage.clock import AnchoredClock
from forwarder.storage.messages import stored_message_bytes
from forwarder.storage.store import MessageStore
from forwarder.units import SECOND_US

RETRY_AFTER_S = (0.5, 1.5)
"""Range of the Retry-After of rejected submissions, so that clients do not all return at the same moment."""
FULL_LOG_INTERVAL_US = 10 * SECOND_US
log = logging.getLogger("forwarder.engine")


def retry_after_jittered() -> str:
    """Returns a Retry-After for a submission that is not accepted, in seconds."""
    return f"{random.uniform(*RETRY_AFTER_S):.3f}"


class SubmissionIntake:
    """Collects submissions until the next round decides on them."""

    def __init__(
        self,
        settings: Settings,
        clock: AnchoredClock,
        store: MessageStore,
        endpoint_table: EndpointTable,
        reasons: ReasonCounts,
        run_state: RunState,
        post: Callable[[Event], None],
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.store = store
        self.endpoint_table = endpoint_table
        self.reasons = reasons
        self.run_state = run_state
        self.post = post
        self.can_report_ends: Callable[[], bool] = lambda: True
        """Returns whether the platform can be told of a message that is not delivered."""
        self.pending: PendingSubmissions = {}
        """Submissions since the last round, by message id."""
        self._pending_bytes = 0
        """The size on disk of the pending submissions."""
        self._full_logged_us = -FULL_LOG_INTERVAL_US

    def submit(self, submission: Submission, client: ClientConnection) -> None:
        """Queues a submission for the next round, or answers it at once if the decisions need not see it."""
        if self.store.knows(submission.id):
            client.answer(HTTPStatus.ACCEPTED)  # it was accepted before, or has already ended
            return
        if self._is_pending(submission.id):
            self.reject_unavailable(submission, client, "handed in twice at once")
            return
        if not self._has_room(submission):
            self.reject_unavailable(submission, client, "full")
            return
        if not self.can_report_ends():
            self.reject_unavailable(submission, client, "the platform cannot be reached")
            return
        if submission.destination not in self.endpoint_table.destinations:
            self.reject_unavailable(submission, client, "no such destination")
            return
        self.pending[submission.id] = (submission, client)
        self._pending_bytes += stored_message_bytes(submission)
        client.on_withdrawn = lambda: self.withdraw(submission.id)
        self.post(
            MessageArrived(
                submission.id,
                submission.destination,
                submission.message_class.name,
                submission.due_us,
                submission.key,
                submission.tenant,
                submission.resent,
            )
        )

    def _is_pending(self, message_id: str) -> bool:
        """Returns whether a client waits for the answer to a message; one that has left makes room for its return."""
        if message_id not in self.pending:
            return False
        _, client = self.pending[message_id]
        if not connections_left([client]):
            return True
        client.client_left()
        self.withdraw(message_id)
        return False

    def _has_room(self, submission: Submission) -> bool:
        held_count = len(self.store.messages) + len(self.pending)
        size_bytes = stored_message_bytes(submission) + self._pending_bytes
        # Without the clock's anchor, a restart could not tell how much time the messages have left.
        can_record = self.store.has_capacity_for(size_bytes) and self.clock.is_anchored
        if not self.run_state.is_frozen and held_count < self.settings.max_open_messages and can_record:
            return True
        if self.clock() - self._full_logged_us > FULL_LOG_INTERVAL_US and not self.run_state.is_frozen:
            self._full_logged_us = self.clock()
            log.warning("full: new submissions are rejected: held=%d", held_count)
        return False

    def withdraw_disconnected(self) -> None:
        """Withdraws the submissions whose clients have disconnected: a 202 could not reach them."""
        ids = {client: message_id for message_id, (_, client) in self.pending.items()}
        for client in connections_left(ids):
            client.client_left()
            self.withdraw(ids[client])

    def reserve_space(self) -> None:
        """Makes room in the state folder for the submissions of the next round, and rejects them if there is none."""
        if not self.pending or self.store.reserve(self._pending_bytes):
            return
        for message_id, (submission, client) in [*self.pending.items()]:
            self.withdraw(message_id)
            self.reject_unavailable(submission, client, "full")

    def take_pending(self) -> PendingSubmissions:
        """Returns the submissions since the last round, and starts a new collection."""
        pending = self.pending
        self.pending = {}
        self._pending_bytes = 0
        return pending

    def withdraw(self, message_id: str) -> None:
        """Withdraws a submission whose client left before the answer: the client may submit the message elsewhere."""
        withdrawn = self.pending.pop(message_id, None)
        if withdrawn is not None:
            self._pending_bytes -= stored_message_bytes(withdrawn[0])
            self.post(MessageWithdrawn(message_id))

    def reject_unavailable(self, submission: Submission, client: ClientConnection, reason: str) -> None:
        """Answers 503: the message was not accepted and may be submitted again, here or elsewhere."""
        self.reasons.note(Subject.REFUSAL, reason, submission.id)
        client.answer(HTTPStatus.SERVICE_UNAVAILABLE, reason, Retry_After=retry_after_jittered())

    def reject_submission(
        self, submission: Submission, client: ClientConnection, action: RejectMessage | FailMessage
    ) -> None:
        """Answers a message that was given up in the round in which it arrived: it was never accepted."""
        reason = action.hold_reason.value if isinstance(action, RejectMessage) and action.hold_reason else "at once"
        self.reasons.note(Subject.REFUSAL, reason, submission.id)
        if isinstance(action, FailMessage):
            client.answer(HTTPStatus.INTERNAL_SERVER_ERROR, "cannot be delivered")
        elif action.retry_after_us > 0:
            retry_after = f"{action.retry_after_us / SECOND_US:.3f}"
            client.answer(HTTPStatus.TOO_MANY_REQUESTS, "refused", Retry_After=retry_after)
        else:
            client.answer(HTTPStatus.TOO_MANY_REQUESTS, "refused")
        if submission.key is not None:
            self.post(NoticeAcknowledged(submission.id, submission.key))
