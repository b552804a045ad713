"""Handles the outcomes of attempts."""

from __future__ import annotations

from functools import partial

from forwarder.decisions.availability import EndpointAvailability
from forwarder.decisions.backoff import Backoff
from forwarder.decisions.call_learning import CallLearning
from forwarder.decisions.call_tracker import CallTracker
from forwarder.decisions.context import RoundContext
from forwarder.decisions.events import AttemptEnded
from forwarder.decisions.extension import DecisionExtension
from forwarder.decisions.key_queues import KeyQueues
from forwarder.decisions.message_table import MessageTable
from forwarder.decisions.outcomes import MAY_STILL_RUN, NEVER_RAN, UNINFORMATIVE_OUTCOMES, Outcome
from forwarder.decisions.quota_pacing import QuotaPacing
from forwarder.decisions.records import Call, Endpoint, Message


class AttemptOutcomes:
    """Applies the outcome of an attempt to its call, its message, its key, its endpoint and this machine."""

    def __init__(
        self,
        context: RoundContext,
        messages: MessageTable,
        key_queues: KeyQueues,
        calls: CallTracker,
        availability: EndpointAvailability,
        pacing: QuotaPacing,
        backoff: Backoff,
        learning: CallLearning,
    ) -> None:
        self.context = context
        self.messages = messages
        self.key_queues = key_queues
        self.calls = calls
        self.availability = availability
        self.pacing = pacing
        self.backoff = backoff
        self.learning = learning
        self.extensions: list[DecisionExtension] = []

    def end_attempt(self, event: AttemptEnded) -> None:
        """Handles an outcome. The message ends if the outcome is final; otherwise it is held again."""
        attempt = self.calls.attempts.pop((event.message_id, event.attempt), None)
        if attempt is None:
            return
        message = attempt.message
        call = attempt.call
        self.calls.end_message(call)
        message.in_flight -= 1
        if message.key is not None:
            self.key_queues.end_attempt(message.key, may_still_run=event.outcome in MAY_STILL_RUN)
        if event.outcome not in NEVER_RAN and message.maybe_ran_at_us < 0:
            message.maybe_ran_at_us = call.sent_at_us
            message.maybe_ran_on = call.endpoint.id
        self.context.run_step(partial(self._learn, message, call, event))
        if message.id not in self.messages.by_id:
            return
        if event.is_final:
            self.messages.remove(message)
        else:
            message.avoid_endpoint = call.endpoint.id
            self.messages.held.add(message)

    def _learn(self, message: Message, call: Call, event: AttemptEnded) -> None:
        """Learns from an outcome; only the first informative outcome of a call is used."""
        scope = call.endpoint.limit_scope
        if event.report is not None:
            self.pacing.apply_load_report(scope, event.report)
        if event.outcome is Outcome.LOCAL_FAILURE:
            message.local_failures += 1
            self.availability.start_local_backoff()
        else:
            self.notify_extensions(call.endpoint, event.outcome)
        if not call.counted and event.outcome not in UNINFORMATIVE_OUTCOMES:
            call.counted = True
            self.learning.learn_from_message_call(call, message, event)
        self.backoff.apply_retry_after(scope, event.retry_after_us)

    def notify_extensions(self, endpoint: Endpoint, outcome: Outcome) -> None:
        """Passes the outcome of a message or a stream to the extensions."""
        for extension in self.extensions:
            extension.on_outcome(endpoint.id, outcome)
