"""The loop around the dispatcher: gathers events into rounds, and carries out the decisions of each round in order.

In each round, journal records are written before the effects that depend on them: a message before its 202, an attempt
before its call's first byte, an end before its notice.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable, Sequence
from functools import partial

from forwarder.decisions.actions import Action, FailMessage, LogLine, RejectMessage, RequestEndpointList, SetTimer
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import AttemptEnded, Event, TimerFired
from forwarder.decisions.outcomes import MAY_STILL_RUN
from forwarder.discovery.endpoint_list_watch import EndpointListWatch
from forwarder.discovery.notifier import Notifier
from forwarder.runtime.effects import Effects, PendingSubmissions, RoundOutput
from forwarder.runtime.extension import Extension, Syncer
from forwarder.runtime.intake import SubmissionIntake
from forwarder.runtime.run_state import RunState
from forwarder.runtime.supervisor import Supervisor, result_or_error
from forwarder.storage.clock import AnchoredClock
from forwarder.storage.store import MessageStore
from forwarder.units import SECOND_US

ROUND_INTERVAL_US = 5_000
"""Minimum time between rounds: messages sent to one endpoint in the same round share a call."""
MAX_ROUND_DEFERRALS = 8
"""Maximum number of event loop iterations by which a round is delayed while an endpoint list is being read."""
FAULT_RETRY_DELAY_US = 50_000
"""Delay before the next round after a decision raised an exception."""
EARLY_TIMER_RETRY_S = 0.001
log = logging.getLogger("forwarder.engine")


class DecisionLoop:
    """Runs the rounds of one process."""

    def __init__(
        self,
        clock: AnchoredClock,
        dispatcher: Dispatcher,
        store: MessageStore,
        effects: Effects,
        intake: SubmissionIntake,
        watch: EndpointListWatch,
        notices: Notifier,
        extensions: Sequence[Extension],
        run_state: RunState,
        supervisor: Supervisor,
    ) -> None:
        self.clock = clock
        self.dispatcher = dispatcher
        self.store = store
        self.effects = effects
        self.intake = intake
        self.watch = watch
        self.notices = notices
        self.extensions = extensions
        self.run_state = run_state
        self.supervisor = supervisor
        self.syncer: Syncer | None = None
        """Set by an extension: the effects of a round then wait until its records are synced."""
        self.events: list[Event] = []
        """Events for the next round."""
        self.rounds = 0
        """Number of rounds so far."""
        self._is_scheduled = False
        self._last_round_us = 0
        self._round_deferrals = 0

    def post(self, event: Event) -> None:
        """Adds an event to the next round.

        Once the process is frozen, no round follows, but outcomes are still recorded. The exception is an outcome after
        which the message may still run: it stays open in the journal, so that the backoff of its key holds after the
        restart.
        """
        if self.run_state.is_closed:
            return
        if self.run_state.is_frozen and isinstance(event, AttemptEnded):
            if event.outcome not in MAY_STILL_RUN:
                self.effects.record_outcome(event)
                self.store.flush()
            return
        self.events.append(event)
        self.schedule()

    def schedule(self) -> None:
        """Schedules a round as soon as the interval between rounds allows, unless one is scheduled already."""
        if self._is_scheduled or self.run_state.is_frozen:
            return
        self._is_scheduled = True
        loop = asyncio.get_running_loop()
        delay_us = self._last_round_us + ROUND_INTERVAL_US - self.clock()
        if delay_us <= 0:
            loop.call_soon(self._run_scheduled_round)
        else:
            loop.call_later(delay_us / SECOND_US, self._run_scheduled_round)

    def _run_scheduled_round(self) -> None:
        """Runs a round, after the event loop has read any endpoint list that has already arrived.

        After the process was stalled, an endpoint's drain may still be unread when events that would send to that
        endpoint are already known.
        """
        if self._round_deferrals < MAX_ROUND_DEFERRALS and self.watch.has_unread_list():
            self._round_deferrals += 1
            asyncio.get_running_loop().call_soon(self._run_scheduled_round)
            return
        self._round_deferrals = 0
        self.run_round()

    def run_round(self) -> None:
        """Decides on all events since the last round. After a failure, another round is scheduled for the rest."""
        self._is_scheduled = False
        if not self.run_state.is_frozen and not self.supervisor.guard("round", self._run_round):
            self.schedule()

    def has_work(self) -> bool:
        """Returns whether submissions or events have arrived since the last round."""
        return bool(self.intake.pending or self.events)

    def _run_round(self) -> None:
        self.rounds += 1
        self.intake.withdraw_disconnected()
        self.intake.reserve_space()
        now_us = self.clock()
        self._last_round_us = now_us
        events = self.events
        self.events = []
        for event in events:
            if isinstance(event, AttemptEnded):
                self.effects.record_outcome(event)
        pending = self.intake.take_pending()
        actions = self._decide(now_us, events, pending)
        output = self.effects.prepare(now_us, actions, pending)
        for action in actions:
            self.supervisor.guard(type(action).__name__, partial(self._apply_loop_action, action, now_us))
        has_written = self.store.has_unwritten_records
        is_recorded = self.store.flush()
        if self.syncer is None:
            self._release(output, is_recorded)
        else:
            self.syncer.call_when_synced(partial(self._release, output, True), has_written)
        for extension in self.extensions:
            self.supervisor.guard(extension.name, partial(extension.apply_actions, actions))

    def _decide(self, now_us: int, events: Iterable[Event], pending: PendingSubmissions) -> list[Action]:
        """Returns the actions of a round, including those decided before an exception was raised."""
        decided = result_or_error(partial(self.dispatcher.handle, now_us, events))
        if isinstance(decided, Exception):
            self.dispatcher.errors.append(decided)
            decided = self.dispatcher.actions
        if self.dispatcher.errors:
            self._handle_faults(now_us, decided, pending)
        return decided

    def _handle_faults(self, now_us: int, actions: Sequence[Action], pending: PendingSubmissions) -> None:
        """Rejects submissions lost in an exception. The process must not end, since it holds other messages."""
        for error in self.dispatcher.errors:
            self.supervisor.record_failure("decisions", error)
        self.set_timer(now_us + FAULT_RETRY_DELAY_US, "look")
        answered = {action.message_id for action in actions if isinstance(action, RejectMessage | FailMessage)}
        lost = [
            message_id
            for message_id in pending
            if message_id not in self.dispatcher.messages and message_id not in answered
        ]
        for message_id in lost:
            self.intake.reject_unavailable(*pending.pop(message_id), "internal fault")

    def _apply_loop_action(self, action: Action, now_us: int) -> None:
        """Applies an action that concerns the loop itself."""
        match action:
            case SetTimer():
                self.set_timer(now_us + action.delay_us, action.token)
            case RequestEndpointList():
                self.watch.subscribe()
            case LogLine():
                log.info("%s", action.text)

    def _release(self, output: RoundOutput, is_recorded: bool) -> None:
        """Releases the effects of a round after the write of its records has succeeded or failed."""
        self.effects.release(output, is_recorded)
        if self.store.pending_notices:
            self.notices.wake()

    def sync_barrier(self) -> bool:
        """Syncs the written records and releases the effects that wait for them. Returns False if the sync failed."""
        return self.syncer is None or self.syncer.sync_now()

    def set_timer(self, at_us: int, token: str) -> None:
        """Posts the timer's event at that time, or as soon as possible after it."""
        delay_s = max(0, at_us - self.clock()) / SECOND_US
        asyncio.get_running_loop().call_later(delay_s, self._fire_timer, at_us, token)

    def _fire_timer(self, at_us: int, token: str) -> None:
        """Posts the timer's event, or waits again if the event loop has fired early.

        The dispatcher would not set another timer after an early event.
        """
        if self.clock() < at_us:
            asyncio.get_running_loop().call_later(EARLY_TIMER_RETRY_S, self._fire_timer, at_us, token)
        else:
            self.post(TimerFired(token))
