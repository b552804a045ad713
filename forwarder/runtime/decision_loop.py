"""The loop around the dispatcher: gathers events into rounds, and applies what each round decides, in order.

In each round, what must be in the journal is written before anything leaves that it precedes: a message before its 202,
an attempt before its call's first byte, an end before its notice.
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
from forwarder.runtime.effects import Departures, Effects, PendingSubmissions
from forwarder.runtime.extension import Extension, Syncer
from forwarder.runtime.intake import SubmissionIntake
from forwarder.runtime.run_state import RunState
from forwarder.runtime.supervisor import Supervisor, result_or_error
from forwarder.storage.clock import AnchoredClock
from forwarder.storage.store import MessageStore
from forwarder.units import SECOND_US

ROUND_INTERVAL_US = 5_000
"""Least time between rounds: what goes to one endpoint in one round travels together."""
MAX_DEFERRED_ROUNDS = 8
"""Turns of the event loop for which a round waits while an endpoint list is being read."""
AFTER_FAULT_US = 50_000
"""After a fault in a decision, the next round is due so soon."""
EARLY_TIMER_S = 0.001
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
        """What a record precedes waits until the record is synced, where an extension has set this."""
        self.events: list[Event] = []
        """What the next round decides on."""
        self.rounds = 0
        """How many rounds there were."""
        self._is_scheduled = False
        self._last_round_us = 0
        self._deferred_rounds = 0

    def post(self, event: Event) -> None:
        """Takes an event into the next round.

        Once the process is frozen, outcomes are recorded at most: one after which the message may still run stays open
        in the journal, so that the key's backoff holds after the restart.
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
        """Sees to it that a round follows, as soon as the interval between rounds allows."""
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
        """Runs a round, but first lets an endpoint list be read that has come already.

        After the process stood still, a drain may lie unread beside the events that would send to the drained endpoint.
        """
        if self._deferred_rounds < MAX_DEFERRED_ROUNDS and self.watch.has_unread_list():
            self._deferred_rounds += 1
            asyncio.get_running_loop().call_soon(self._run_scheduled_round)
            return
        self._deferred_rounds = 0
        self.run_round()

    def run_round(self) -> None:
        """Decides on all that has come since the last round. What a failure leaves undone is tried again."""
        self._is_scheduled = False
        if not self.run_state.is_frozen and not self.supervisor.guard("round", self._run_round):
            self.schedule()

    def has_work(self) -> bool:
        """Returns whether something has come since the last round."""
        return bool(self.intake.pending or self.events)

    def _run_round(self) -> None:
        self.rounds += 1
        self.intake.withdraw_disconnected()
        now_us = self.clock()
        self._last_round_us = now_us
        events = self.events
        self.events = []
        for event in events:
            if isinstance(event, AttemptEnded):
                self.effects.record_outcome(event)
        pending = self.intake.take_pending()
        actions = self._decide(now_us, events, pending)
        departures = self.effects.prepare(now_us, actions, pending)
        for action in actions:
            self.supervisor.guard(type(action).__name__, partial(self._apply_own_action, action, now_us))
        has_written = self.store.has_unwritten_records
        is_recorded = self.store.flush()
        if self.syncer is None:
            self._release(departures, is_recorded)
        else:
            self.syncer.call_when_synced(partial(self._release, departures, True), has_written)
        for extension in self.extensions:
            self.supervisor.guard(extension.name, partial(extension.apply_actions, actions))

    def _decide(self, now_us: int, events: Iterable[Event], pending: PendingSubmissions) -> list[Action]:
        """Returns the actions of a round; those that were decided before a fault are among them."""
        decided = result_or_error(partial(self.dispatcher.handle, now_us, events))
        if isinstance(decided, Exception):
            self.dispatcher.errors.append(decided)
            decided = self.dispatcher.actions
        if self.dispatcher.errors:
            self._answer_faults(now_us, decided, pending)
        return decided

    def _answer_faults(self, now_us: int, actions: Sequence[Action], pending: PendingSubmissions) -> None:
        """Rejects the submissions whose event was lost to a fault: it must not cost the process, which holds others."""
        for error in self.dispatcher.errors:
            self.supervisor.record_failure("decisions", error)
        self.set_timer(now_us + AFTER_FAULT_US, "look")
        answered = {action.message_id for action in actions if isinstance(action, RejectMessage | FailMessage)}
        lost = [name for name in pending if name not in self.dispatcher.messages and name not in answered]
        for message_id in lost:
            self.intake.reject_unavailable(*pending.pop(message_id), "internal fault")

    def _apply_own_action(self, action: Action, now_us: int) -> None:
        """Applies what a round asks of the loop itself."""
        match action:
            case SetTimer():
                self.set_timer(now_us + action.delay_us, action.token)
            case RequestEndpointList():
                self.watch.subscribe()
            case LogLine():
                log.info("%s", action.text)

    def _release(self, departures: Departures, is_recorded: bool) -> None:
        """Lets leave what the round's records precede."""
        self.effects.release(departures, is_recorded)
        if self.store.pending_notices:
            self.notices.wake()

    def sync_barrier(self) -> bool:
        """Syncs what is written, and releases what waits for it. Returns whether that worked, or is not asked for."""
        return self.syncer is None or self.syncer.sync_now()

    def set_timer(self, at_us: int, token: str) -> None:
        """Posts the timer's event at that time, or as soon as possible after it."""
        delay_s = max(0, at_us - self.clock()) / SECOND_US
        asyncio.get_running_loop().call_later(delay_s, self._fire_timer, at_us, token)

    def _fire_timer(self, at_us: int, token: str) -> None:
        """An event loop's timers may be a little early; the dispatcher's never are, or it would not set another."""
        if self.clock() < at_us:
            asyncio.get_running_loop().call_later(EARLY_TIMER_S, self._fire_timer, at_us, token)
        else:
            self.post(TimerFired(token))
