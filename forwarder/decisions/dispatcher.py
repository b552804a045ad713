"""The dispatcher of one forwarder: takes events (forwarder/decisions/events.py) and returns actions.

A dispatcher is a pure state machine: it reads no clock and performs no I/O. In each round it applies all events, ends
the messages that can no longer be delivered, and releases held messages. Each step is implemented by a collaborator in
its own module; the dispatcher connects them.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial
from random import Random

from forwarder.decisions.actions import Action, RequestEndpointList, SetTimer
from forwarder.decisions.attempt_outcomes import AttemptOutcomes
from forwarder.decisions.availability import EndpointAvailability
from forwarder.decisions.backoff import Backoff
from forwarder.decisions.call_learning import CallLearning
from forwarder.decisions.call_tracker import CallTracker
from forwarder.decisions.concurrency_window import ConcurrencyLimits
from forwarder.decisions.context import RoundContext
from forwarder.decisions.endpoint_list_poll import EndpointListPoll
from forwarder.decisions.endpoint_table import EndpointTable
from forwarder.decisions.events import (
    AttemptEnded,
    EjectionRecovered,
    EndpointDisabled,
    EndpointEnabled,
    EndpointListAwaited,
    EndpointListKind,
    EndpointListReceived,
    Event,
    ExtensionEvent,
    HandoverReceived,
    KeyBackoffRecovered,
    MessageArrived,
    MessageRecovered,
    MessageWithdrawn,
    NoticeAcknowledged,
    PendingNoticeRecovered,
    SettingsChanged,
)
from forwarder.decisions.expected_call import CallEstimates
from forwarder.decisions.held_messages import HeldMessages
from forwarder.decisions.hold_reason import HoldReason
from forwarder.decisions.hold_times import hold_times_of
from forwarder.decisions.idle_connections import IdleConnections
from forwarder.decisions.key_queues import KeyQueues
from forwarder.decisions.learned_state import LearnedState
from forwarder.decisions.learned_state_transfer import LearnedStateTransfer
from forwarder.decisions.load_shedding import LoadShedder
from forwarder.decisions.message_table import MessageTable
from forwarder.decisions.quota_pacing import QuotaPacing
from forwarder.decisions.release import MessageRelease
from forwarder.decisions.retry_policy import RetryPolicy
from forwarder.decisions.settings import Settings
from forwarder.decisions.slow_start import SlowStart
from forwarder.decisions.tenant_quotas import TenantQuotas
from forwarder.decisions.timer_queue import MIN_RECHECK_US, TimerQueue

ROUND_TIMER = "look"
"""Token of the timer that starts the next round."""


class Dispatcher:
    """Decides which messages are sent, when, and to which endpoints.

    Pass every event to `handle`, and carry out the returned actions in order.
    """

    def __init__(self, settings: Settings, seed: int, now_us: int) -> None:
        self.context = context = RoundContext(settings, Random(seed), now_us)
        self.timer_at_us = -1

        self.timers = timers = TimerQueue()
        self.held = held = HeldMessages()
        self.endpoint_table = endpoint_table = EndpointTable(context, held)
        self.endpoint_list_poll = EndpointListPoll(context, timers)
        self.key_queues = key_queues = KeyQueues(context, timers)
        self.tenant_quotas = TenantQuotas(context)
        self.message_table = messages = MessageTable(context, held, key_queues, self.tenant_quotas)
        self.retry_policy = retry_policy = RetryPolicy(context, endpoint_table)
        self.estimates = estimates = CallEstimates(context, retry_policy)
        self.idle_connections = idle = IdleConnections(context)
        self.pacing = pacing = QuotaPacing(context, held)
        self.backoff = Backoff(context)
        self.slow_start = slow_start = SlowStart(context, endpoint_table)
        self.limits = limits = ConcurrencyLimits(context, endpoint_table, slow_start)
        self.calls = calls = CallTracker(context, limits, pacing, slow_start, idle)
        self.learning = CallLearning(context, limits, pacing, self.backoff, slow_start, idle)
        self.load_shedder = LoadShedder(context, messages, key_queues, retry_policy, estimates)
        self.availability = availability = EndpointAvailability(
            context, endpoint_table, limits, slow_start, calls, key_queues, retry_policy
        )
        self.outcomes = AttemptOutcomes(
            context, messages, key_queues, calls, availability, pacing, self.backoff, self.learning
        )
        self.release = MessageRelease(
            context, messages, key_queues, timers, retry_policy, estimates, limits, calls, availability
        )

        # The engine, the admin commands and the extensions read these attributes.
        self.endpoints = endpoint_table.endpoints
        self.endpoints_by_destination = endpoint_table.by_destination
        self.limit_scopes = endpoint_table.limit_scopes
        self.messages = messages.by_id
        self.hold_times = messages.hold_times
        self.extensions = self.outcomes.extensions
        self._apply_settings(settings)
        self.idle_connections.trust_longest()

    @property
    def now_us(self) -> int:
        """The time of the current round, in microseconds."""
        return self.context.now_us

    @property
    def settings(self) -> Settings:
        """The settings in use."""
        return self.context.settings

    @property
    def random(self) -> Random:
        """The seeded random generator of all decisions."""
        return self.context.random

    @property
    def actions(self) -> list[Action]:
        """The actions of the current round so far."""
        return self.context.actions

    @property
    def errors(self) -> list[Exception]:
        """The errors raised by steps of the current round so far, for the caller to report."""
        return self.context.errors

    @property
    def due_destinations(self) -> set[int]:
        """Destinations whose held messages are reconsidered in this round."""
        return self.context.due_destinations

    @property
    def fleet_size(self) -> float:
        """Number of forwarders among which limits and budgets are divided."""
        return self.context.fleet_size

    @property
    def calls_in_flight(self) -> int:
        """Calls, including streams, that use a slot."""
        return self.limits.calls_in_flight

    @property
    def peers_queried_until_us(self) -> int:
        """End of the wait for answers of other forwarders; nothing is sent before it."""
        return self.availability.peers_queried_until_us

    @peers_queried_until_us.setter
    def peers_queried_until_us(self, until_us: int) -> None:
        """Sets the end of the wait for answers of other forwarders."""
        self.availability.peers_queried_until_us = until_us

    def handle(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Applies the events of one round, then makes the decisions of the round.

        An error in a step is added to `errors` and affects only that step: the other events are still applied, and the
        destinations that were due become due again.

        Args:
            now_us: The time of the round; it never decreases.
            events: What has happened since the previous round, in order.

        Returns:
            The actions to carry out, in order.
        """
        self._begin_round(now_us)
        for event in events:
            self.context.run_step(partial(self._apply_event, event))
        for extension in self.extensions:
            self.context.run_step(extension.before_release)
        if self.endpoint_list_poll.is_due():
            self.actions.append(RequestEndpointList())
        self.context.run_step(self._end_messages_without_delivery)
        self.context.run_step(self.release.release_messages)
        for extension in self.extensions:
            self.context.run_step(extension.after_release)
        self.calls.close_idle_connections()
        if self.errors:
            for destination in self.due_destinations & self.held.by_destination.keys():
                self.timers.add(now_us + MIN_RECHECK_US, destination)
        self._set_timer()
        return self.actions

    def _begin_round(self, now_us: int) -> None:
        self.context.now_us = now_us
        self.context.actions = []
        self.context.due_destinations = self.timers.pop_due(now_us)
        self.context.errors = []
        self.calls.begin_round()
        self.estimates.begin_round()

    def _set_timer(self) -> None:
        """Requests a round at the earliest time in the queue, unless a pending timer fires by then."""
        now_us = self.now_us
        if self.timers.entries and not now_us < self.timer_at_us <= self.timers.entries[0][0]:
            self.timer_at_us = self.timers.entries[0][0]
            self.actions.append(SetTimer(max(1, self.timer_at_us - now_us), ROUND_TIMER))

    def _apply_event(self, event: Event) -> None:
        """Applies one event; the decisions follow once all events of the round are applied."""
        match event:
            case MessageArrived():
                self.message_table.accept(event)
            case AttemptEnded():
                self.outcomes.end_attempt(event)
            case MessageWithdrawn() if event.message_id in self.messages:
                self.message_table.remove(self.messages[event.message_id])
            case NoticeAcknowledged():
                self.key_queues.acknowledge_notice(event.key, event.message_id)
            case EndpointListReceived():
                self._apply_endpoint_list(event)
            case EndpointListAwaited():
                self.availability.list_awaited_until_us = event.until_us
            case EndpointDisabled():
                self.endpoint_table.disable(event.endpoint, event.since_us)
            case EndpointEnabled():
                self.slow_start.enable(event.endpoint)
            case SettingsChanged():
                self._apply_settings(event.settings)
                self.due_destinations.update(self.held.by_destination)
            case ExtensionEvent():
                for extension in self.extensions:
                    extension.apply_event(event)
            case _:
                self._apply_recovery_event(event)

    def _apply_recovery_event(self, event: Event) -> None:
        """Applies an event that restores state from before a restart or a hand-over."""
        match event:
            case MessageRecovered():
                self.message_table.recover(event)
            case EjectionRecovered():
                self.slow_start.restore(event.endpoint, event.ejected_at_us, event.recovering_since_us)
            case PendingNoticeRecovered():
                self.key_queues.restore_pending_notice(event.key, event.message_id)
            case KeyBackoffRecovered():
                self.key_queues.restore_backoff(event.key, event.until_us)
            case HandoverReceived():
                self._state_transfer().restore(event.learned_state)

    def _apply_settings(self, settings: Settings) -> None:
        """Applies the first or changed settings. Held messages keep the class with which they were accepted."""
        self.context.apply_settings(settings)
        self.message_table.apply_settings(settings)
        self.endpoint_table.apply_settings(settings)
        self.tenant_quotas.apply_settings(settings)
        self.idle_connections.apply_settings(settings)

    def _apply_endpoint_list(self, event: EndpointListReceived) -> None:
        if event.kind is EndpointListKind.FAILED:
            self.endpoint_list_poll.poll_failed()
            return
        self.endpoint_list_poll.poll_succeeded()
        if event.kind is not EndpointListKind.SAVED:
            self.availability.list_awaited_until_us = self.now_us
        self.endpoint_table.apply_list(event)

    def _end_messages_without_delivery(self) -> None:
        self.key_queues.discard_unused()
        self.load_shedder.end_undeliverable_messages()
        self.load_shedder.shed_load()

    def set_fleet_size(self, size: float) -> None:
        """Sets the number of forwarders among which limits and budgets are divided."""
        if size != self.fleet_size:
            for scope in self.limit_scopes.values():
                scope.quota_share = min(1.0, scope.quota_share * self.fleet_size / size)
            self.context.fleet_size = size

    def hold_times_of(self, message_id: str) -> list[tuple[HoldReason, int]]:
        """Returns how long each reason has held a message, in microseconds, the current reason first.

        Raises:
            KeyError: The message has ended, or was never accepted.
        """
        return hold_times_of(self.messages[message_id], self.now_us)

    def learned_state(self) -> LearnedState:
        """Returns the learned state and the calls in flight, for the process that takes over."""
        return self._state_transfer().capture()

    def _state_transfer(self) -> LearnedStateTransfer:
        return LearnedStateTransfer(
            self.context,
            self.endpoint_table,
            self.message_table,
            self.key_queues,
            self.tenant_quotas,
            self.idle_connections,
            self.calls,
        )
