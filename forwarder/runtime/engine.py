"""The one loop that owns the Dispatcher: gathers events into rounds, carries out its actions in order.

It decides nothing. In each round what must be journaled is written before anything leaves that it precedes:
a message before its 202, an attempt before its call's first byte, an end before its notice.
"""

from __future__ import annotations

import asyncio
import logging
import os
import random
import resource
import socket
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import astuple, replace
from functools import partial
from http import HTTPStatus
from typing import Protocol

from forwarder.admin.commands import AdminCommands
from forwarder.admin.server import AdminServer, CommandRefusedError, CommandTable
from forwarder.clients.drain import LATE_S, ClientDrain
from forwarder.clients.listener import bind
from forwarder.clients.server import OVERSHOOT, ClientConnection, ClientServer, Submission, disconnected
from forwarder.config.config import (
    Address,
    Config,
    ConfigError,
    ConfigUnreadableError,
    EndpointList,
    load_config,
    parse_endpoint,
)
from forwarder.decisions.actions import Action, FailMessage, LogLine, RejectMessage, RequestEndpointList, SetTimer
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import (
    AttemptEnded,
    EjectionRecovered,
    EndpointDisabled,
    EndpointListAwaited,
    EndpointListKind,
    EndpointListReceived,
    Event,
    HandoverReceived,
    KeyBackoffRecovered,
    MessageArrived,
    MessageRecovered,
    MessageWithdrawn,
    NoticeAcknowledged,
    PendingNoticeRecovered,
    SettingsChanged,
    TimerFired,
)
from forwarder.decisions.outcomes import MAY_STILL_RUN, NEVER_RAN, Outcome
from forwarder.decisions.settings import Settings
from forwarder.discovery.watch import FIRST_LIST_US, EndpointListWatch, Notifier
from forwarder.endpoints.endpoint_table import EndpointTable
from forwarder.endpoints.pool import ConnectionPool
from forwarder.runtime import handover
from forwarder.runtime.effects import Departures, Effects
from forwarder.runtime.invariants import Invariants
from forwarder.runtime.learned_state_format import learned_state_from_stored
from forwarder.runtime.ownership import HandoverState, Ownership
from forwarder.runtime.reason_counts import ReasonCounts, Subject
from forwarder.runtime.startup_phase import StartupPhase, StartupProgress
from forwarder.runtime.supervisor import Supervisor
from forwarder.storage import identity
from forwarder.storage.clock import AnchoredClock
from forwarder.storage.messages import PendingNotice, may_resend_after_loss
from forwarder.storage.store import MessageStore

ROUND_US = 5_000  # least time between rounds: what goes to one target in one round travels together
FREEZE_S = 2.8  # so long after SIGTERM nothing new is sent, and what is out is waited for
EXIT_S = 3.3  # and this long after SIGTERM the process ends: SIGKILL may come at 3.7 s
AWAY_S = (0.5, 1.5)  # when to come again after a refusal at the door: not all at one moment
FULL_LOG_US = 10_000_000
LAG_S = 0.1  # the loop stood still for so long: worth a line
LAG_LOG_S = 10.0
TICK_S = 0.1
STOP_STEP_S = 0.05
RELOAD_AGAIN_S = 0.2  # a configuration that cannot be read is tried again after this
CONTROL_AGAIN_S = 1.0  # the operators' address is tried again after this
REASONS_LOG_S = 1.0  # between two reports of why connections were closed, calls retried, requests refused
STATE_LOG_S = 5.0  # between two lines that tell how the forwarder stands
MOST_PUT_OFF = 8  # turns of the loop that a round waits for a list that is being read
AFTER_FAULT_US = 50_000  # after a fault in a decision the next look comes so soon
OVERDUE_US = 120_000  # past its time by so much, a message without an end is ended by the engine itself
SECOND = 1_000_000
log = logging.getLogger("forwarder.engine")


def on_sockets(settings: Settings) -> Settings:
    """On sockets an end is known when its notice is answered, and the list always has to be asked for,
    whatever the settings say of the simulator's discovery.
    """
    return replace(settings, notices_acknowledged=True, poll_endpoint_list=True)


def open_descriptors() -> int:
    """How many descriptors this process holds; -1 where that cannot be read."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # without the one that looks
    except OSError:
        return -1


def retry_after_jittered() -> str:
    """A time to come back at, for the Retry-After of a refusal at the door."""
    return f"{random.uniform(*AWAY_S):.3f}"


class Extension(Protocol):
    """What the parts file turns on, on sockets."""

    name: str

    @property
    def calls(self) -> CommandTable:
        """Words for operators, beside the engine's own."""

    async def open(self) -> None:
        """Begin to serve. Raises OSError where its address is taken."""

    def act(self, actions: Iterable[Action]) -> None:
        """Carry out what a round has decided for it; actions of others are passed over."""

    def served(self, where: dict[int, Address]) -> None:
        """What may be called has changed."""

    def leave(self) -> None:
        """Clients are sent away: nothing new begins."""

    def join(self) -> None: ...

    def busy(self) -> bool:
        """Whether something is out that the end of the process should wait for."""

    def cut(self) -> None:
        """End all at once; also where not one callback more will run."""

    def reload(self) -> None:
        """SIGHUP: what it reads from files is read again."""

    def state(self) -> str:
        """How it stands, for the log."""


class Syncer(Protocol):
    """Makes what was written outlast a power cut."""

    def call_when_synced(self, done: Callable[[], None], wrote: bool) -> None:
        """Call it when all that is written now is synced; at once if nothing was written since and nothing waits."""

    def sync_now(self) -> bool:
        """Sync here and now, and let go all that waits. Whether that worked."""


class BaseExtension:
    """A part that heeds none of this; parts override what they need."""

    async def open(self) -> None:
        """Nothing to open."""

    def act(self, actions: Iterable[Action]) -> None: ...

    def served(self, where: dict[int, Address]) -> None: ...

    def leave(self) -> None: ...

    def join(self) -> None: ...

    def busy(self) -> bool:
        return False

    def cut(self) -> None: ...

    def reload(self) -> None: ...


class ExtensionFactory(Protocol):
    """Makes a part, from its table of the parts file."""

    @property
    def descriptors(self) -> int:
        """Those that it takes at most; clients of messages have so many fewer."""

    def __call__(self, engine: Engine) -> Extension: ...


class Engine:
    def __init__(
        self,
        config: Config,
        ownership: Ownership,
        control: AdminServer,
        clients: socket.socket,
        handed: HandoverState | None = None,
        parts: Sequence[ExtensionFactory] = (),
        clock: AnchoredClock | None = None,
    ) -> None:
        """Reads the journal and writes nothing: until it runs, another process may own all of it. Raises OSError,
        and NewerFormat or ForeignState where the folder is not for this program or this forwarder.
        """
        self.config, self.ownership, self.clients, self.handover = config, ownership, clients, handed
        told = handed.told if handed is not None else {}
        self.clock = clock or AnchoredClock(config.state, told.get("clock"))
        s = on_sockets(config.settings)
        self.identity, self.start = identity.claim_folder(config.state, config.name)
        self.store = MessageStore(
            config.state,
            config.disk_bytes,
            {c.name: c for c in s.classes},
            None if self.identity is None else self.identity.salt,
        )
        self.dispatcher = Dispatcher(s, config.seed, self.clock())
        # A share of the descriptors for each side; the rest is for files, discovery and the listener.
        descriptors = min(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        doors = descriptors // 2 - OVERSHOOT - sum(part.descriptors for part in parts)
        self.reasons, self.supervisor = ReasonCounts(), Supervisor()
        self.rules = Invariants(self.store, self.reasons)
        self.server = ClientServer(s, self.clock, max(8, doors), self.hand_in, self.reasons, self.supervisor)
        self.pool = ConnectionPool(
            self.clock,
            self.post,
            config.report_fields,
            s.idle_timeout_us,
            s.connect_timeout_us,
            max(8, descriptors // 3),
            self.reasons,
            self.rules,
            self.supervisor,
        )
        self.targets = EndpointTable(s.kinds, told.get("numbers", {}), told.get("destinations", ()))
        self.effects = Effects(
            self.store,
            self.pool,
            self.targets,
            self.rules,
            self.reasons,
            self.supervisor,
            self.post,
            self.turn_away,
            self.turn_off,
        )
        self.notices = Notifier(config.discovery, self, self.supervisor)
        self.drain = ClientDrain(self.server, self.supervisor)
        self.control = control
        self.operators = AdminCommands(self)
        self.arriving: dict[str, tuple[Submission, ClientConnection]] = {}
        self.events: list[Event] = []
        self.scheduled = False
        self.round_us = self.put_off = 0
        self.frozen = self.closed = False
        self.full_us = -FULL_LOG_US
        self.leaving_s, self.lag_s = 0.0, -LAG_LOG_S
        self.rounds, self.state_s = 0, time.monotonic()
        self.begun_s = self.reasons_s = time.monotonic()
        self.first_list_s: float | None = None  # when discovery first told a list, after the start
        self.reloading: asyncio.TimerHandle | None = None
        self.done = asyncio.Event()
        self.syncer: Syncer | None = None  # set by a part: what a record precedes waits until that is synced
        self.parts = [make(self) for make in parts]
        self.watch = EndpointListWatch(
            config.discovery, self.recover(), self.listed, handed is not None, self.supervisor
        )
        self.life = StartupProgress(self.clock(), self.store.messages)

    # Starting

    def recover(self) -> int:
        """Tell the module what the journal holds. Returns the newest version of the list, -1 for none."""
        known, kept = self.config.known, self.store
        told = self.handover.told if self.handover is not None else {"pool": {"calls": []}}
        out = {(name, number) for call in told["pool"]["calls"] for name, number, _ in call["items"]}
        if kept.endpoint_list_version >= known.seq:  # `known` may be older than what this forwarder was told of drains
            known = EndpointList(
                kept.endpoint_list_version, True, tuple(parse_endpoint(raw) for raw in kept.endpoints.values())
            )
        kept.record_known_endpoints(h.name for h in known.hosts)
        self.take_list(known)
        self.events += [EndpointDisabled(self.number(name), since) for name, since in kept.disabled_endpoints.items()]
        self.events.append(
            EndpointListReceived(
                EndpointListKind.SAVED, self.targets.entries(known.hosts, self.store.disabled_endpoints)
            )
        )
        if self.handover is None:
            self.events.append(EndpointListAwaited(self.clock() + FIRST_LIST_US))
        for name, (since, back) in kept.ejections.items():
            if name in self.targets.numbers:
                self.events.append(EjectionRecovered(self.targets.numbers[name], since, back))
        self.give_up_doubtful()
        for m in kept.messages.values():
            lost = [number for number in m.in_flight if (m.id, number) not in out]
            for number in lost:
                kept.record_outcome(m, number, True)  # its outcome is not known: it may have run
            self.events.append(
                MessageRecovered(
                    m.id,
                    m.destination,
                    m.message_class,
                    m.due_us,
                    m.key,
                    m.tenant,
                    m.attempts,
                    m.maybe_ran_at_us,
                    self.number(m.maybe_ran_on) if m.maybe_ran_on else -1,
                    bool(lost),
                    m.local_failure_count,
                )
            )
        self.events += [
            PendingNoticeRecovered(name, owed.key)
            for name, owed in kept.pending_notices.items()
            if owed.key is not None
        ]
        self.events += [
            KeyBackoffRecovered(key, until) for key, until in kept.key_backoffs.items() if until > self.clock()
        ]
        if kept.messages or kept.pending_notices:
            log.info("took up %d messages and %d owed ends again", len(kept.messages), len(kept.pending_notices))
        if "memory" in told:
            self.events.append(HandoverReceived(learned_state_from_stored(told["memory"])))
        return known.seq if known.hosts else -1

    def give_up_doubtful(self) -> None:
        """After damage: what may be over, and may not be sent again, ends by a notice; what is known by its id
        alone too.
        """
        kept = self.store
        for m in [m for m in kept.messages.values() if m.is_doubtful and not may_resend_after_loss(m.message_class)]:
            kept.add_pending_notice(m.id, "failed", 0)
        for name in kept.orphaned_ids:
            kept.add_orphan_notice(name, "failed")

    async def run(self) -> None:
        self.clock.store_anchor()
        self.store.take_ownership()
        self.identity = identity.record_start(
            self.identity, self.config.state, self.config.name, self.store.salt, self.store.durable
        )
        log.info("start %d of %s: %s", self.identity.start_count, self.identity.folder_id, self.start.value)
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        log.info(
            "descriptors: %d configured, %d allowed (hard limit %d), %d open; at most %d clients, "
            "%d connections to endpoints",
            self.config.sockets,
            soft,
            hard,
            open_descriptors(),
            self.server.most,
            self.pool.most,
        )
        if self.handover is not None:
            await handover.adopt_calls(self, self.handover)
        self.round()
        self.notices.kick()
        self.control.calls = self.operators.calls()  # those who are handed over have called a forwarder that serves
        if self.handover is not None:
            await handover.adopt_clients(self, self.handover)
        self.server.listen(self.clients)
        for part in self.parts:
            await part.open()
        controlled = self.supervisor.keep("control", self.serve_control)
        self.ownership.listen(self.hand_over)
        log.info("ready")
        self.life.ready(self.clock())
        self.next_tick_s = time.monotonic() + TICK_S
        ticking = self.supervisor.repeat("tick", TICK_S, self.tick)
        await self.done.wait()
        ticking.cancel()
        controlled.cancel()
        self.frozen = self.closed = True
        for part in self.parts:
            self.supervisor.guard(part.name, part.cut)
        await self.supervisor.guarded("answers at the end", self.server.finish())
        for name, close in (
            ("server", self.server.close),
            ("control", self.control.close),
            ("ownership", self.ownership.close),
            ("pool", self.pool.close),
            ("store", self.store.close),
        ):
            self.supervisor.guard(name, close)

    async def serve_control(self) -> None:
        """Operators are answered once their address is free; clients do not wait for it."""
        where = self.config.control
        if where is None or where in self.control.listeners:
            return
        while where not in self.control.listeners:
            try:
                self.control.listen(await bind(where))
            except OSError as error:
                log.warning("operators cannot call yet: %s", error)
                await asyncio.sleep(CONTROL_AGAIN_S)

    def reload(self) -> None:
        """SIGHUP: read the configuration again. What can change under a running forwarder is where discovery
        is, and the settings; a file that is not whole or cannot hold changes nothing.
        """
        before = self.config
        if self.reloading is not None:
            self.reloading.cancel()
            self.reloading = None
        try:
            told = load_config(before=before)
        except ConfigUnreadableError as error:  # discovery may have moved: without its new address no notice is heard
            log.error("the configuration is read again soon: %s", error)
            self.reloading = asyncio.get_running_loop().call_later(RELOAD_AGAIN_S, self.reload)
            return
        except ConfigError as error:
            log.error("the configuration is left as it was: %s", error)
            return
        self.config = replace(
            before, discovery=told.discovery, settings=told.settings, report_fields=told.report_fields, told=told.told
        )
        for part in self.parts:
            self.supervisor.guard(part.name, part.reload)
        log.info(
            "the configuration was read again: discovery at %s:%d, classes %s, %d attempts",
            *astuple(told.discovery),
            ", ".join(c.name for c in told.settings.classes),
            told.settings.max_attempts,
        )
        if told.discovery != before.discovery:
            self.watch.move(told.discovery)
            self.notices.move(told.discovery)
        if told.settings != before.settings and not self.frozen:
            self.round()  # what came under the old settings is taken on under them
            self.retune(on_sockets(told.settings))

    def retune(self, s: Settings) -> None:
        self.server.settings = s
        self.targets.tune(s.kinds)
        self.pool.tune(self.config.report_fields, s.idle_timeout_us, s.connect_timeout_us)
        entries = self.targets.entries(self.targets.hosts.values(), self.store.disabled_endpoints)
        self.events += [SettingsChanged(s), EndpointListReceived(EndpointListKind.WHOLE, entries)]
        self.round()

    def tick(self) -> None:
        """Watch the loop, and that no message is past its time without an end: that would break a promise."""
        now, due = time.monotonic(), self.next_tick_s
        self.next_tick_s = now + TICK_S
        late = now - due > LAG_S
        if late and now - self.lag_s > LAG_LOG_S:
            self.lag_s = now
            log.warning("the loop stood still for %d ms", (now - due) * 1000)
        if now - self.state_s > STATE_LOG_S:
            self.state_s = now
            self.log_state()
        self.store.retry()
        self.store.write_snapshot_step()
        self.clock.store_anchor()
        if self.store.pending_notices:
            self.notices.kick()
        if now - self.reasons_s > REASONS_LOG_S:
            self.reasons_s = now
            self.reasons.report()
        if self.life.phase is not StartupPhase.SERVING and self.life.step(self.clock(), self.store.messages):
            log.info("phase: %s", self.life.tell(self.clock()))
        if not late:  # after a standstill the decisions come first: their timers are due as well
            self.end_overdue()

    def end_overdue(self) -> None:
        """End what the decisions have left without an end, past its time."""
        old = self.clock() - OVERDUE_US
        for m in [m for m in self.store.messages.values() if m.due_us < old and not self.frozen]:
            log.error("message %s was left without an end", m.id)
            self.store.add_pending_notice(m.id, "failed", 0)
            if m.key is not None:  # the next of its key waits until the platform has heard of it
                self.post(PendingNoticeRecovered(m.id, m.key))
            self.post(MessageWithdrawn(m.id))

    def log_state(self) -> None:
        """What a bad stretch is compared by with a good one; counts are since the start."""
        lines, store = self.dispatcher.key_queues.values(), self.store
        log.info(
            "state: %d held, %d of them in turn by %d keys; %d calls out, %d ends owed, %d left out; "
            "%d clients, %d connections, %d descriptors; %d rounds, %.1f s of CPU; "
            "journal %d KB, %d KB live, %d compactions%s",
            len(store.messages),
            sum(len(line.messages) for line in lines),
            len(lines),
            self.pool.out,
            len(store.pending_notices),
            len(store.disabled_endpoints),
            len(self.server.doors),
            len(self.pool.all),
            open_descriptors(),
            self.rounds,
            time.process_time(),
            store.recovery_bytes // 1000,
            store.message_bytes // 1000,
            store.compactions,
            "" if not store.recovered.is_damaged else f"; as found: {store.describe_damage()}",
        )
        log.info(
            "state: closed for clients: %s; violations: %d (%s)",
            self.reasons.summary(Subject.CLIENT_CLOSED),
            self.reasons.total(Subject.VIOLATION),
            self.reasons.summary(Subject.VIOLATION),
        )
        held = [f"{gate.value} {us / SECOND:.1f} s" for gate, us in self.dispatcher.hold_times.totals()[:3]]
        log.info("state: %s; held by: %s", self.life.phase.value, "; ".join(held) or "nothing")
        for part in self.parts:
            log.info("state: %s: %s", part.name, part.state())

    # Events

    def post(self, event: Event) -> None:
        if self.closed:
            return  # calls that end as the process does are left open in the journal: they may have run
        if self.frozen and isinstance(event, AttemptEnded):
            if event.outcome not in MAY_STILL_RUN:  # left open in the journal, it may run still: its key rests
                self.book(event)
                self.store.flush()
            return
        self.events.append(event)
        self.schedule()

    def schedule(self) -> None:
        if self.scheduled or self.frozen:
            return
        self.scheduled = True
        loop = asyncio.get_running_loop()
        wait = self.round_us + ROUND_US - self.clock()
        if wait <= 0:
            loop.call_soon(self.scheduled_round)
        else:
            loop.call_later(wait / SECOND, self.scheduled_round)

    def hand_in(self, handed: Submission, door: ClientConnection) -> None:
        """A message came in. At the door only what the module never sees is turned away."""
        if self.store.knows(handed.id):
            door.answer(HTTPStatus.ACCEPTED)  # it is ours already, or has had its end
            return
        if handed.id in self.arriving:
            self.turn_off(handed, door, "handed in twice at once")
            return
        held = len(self.store.messages) + len(self.arriving)
        size = len(handed.body) + sum(len(h.body) for h, _ in self.arriving.values())
        room = (
            self.store.has_capacity_for(size) and self.clock.is_anchored
        )  # without its anchor a restart would not know their time
        if self.frozen or held >= self.config.settings.max_open_messages or not room:
            if self.clock() - self.full_us > FULL_LOG_US and not self.frozen:
                self.full_us = self.clock()
                log.warning("full: %d messages held; new ones are turned away", held)
            self.turn_off(handed, door, "full")
            return
        if handed.destination not in self.targets.destinations:
            self.turn_off(handed, door, "no such destination")
            return
        self.arriving[handed.id] = (handed, door)
        door.left = lambda: self.withdrawn(handed.id)
        self.post(
            MessageArrived(
                handed.id, handed.destination, handed.cls.name, handed.due_us, handed.key, handed.tenant, handed.resent
            )
        )

    def turn_off(self, handed: Submission, door: ClientConnection, reason: str) -> None:
        """Answer 503: it was not taken on, and may be handed in again, here or elsewhere."""
        self.reasons.note(Subject.REFUSAL, reason, handed.id)
        door.answer(HTTPStatus.SERVICE_UNAVAILABLE, reason, Retry_After=retry_after_jittered())

    def withdrawn(self, name: str) -> None:
        """The client has gone before its answer: it may hand the message in elsewhere, so it is not ours."""
        if self.arriving.pop(name, None) is not None:
            self.post(MessageWithdrawn(name))

    def listed(self, told: EndpointList | None) -> None:
        """News of the list reaches the module at once: a drained target must get nothing from now on."""
        if told is None:
            self.post(EndpointListReceived(EndpointListKind.FAILED))
            return
        self.life.told()
        if self.first_list_s is None:
            self.first_list_s = time.monotonic() - self.begun_s
            log.info(
                "list: version %d is the first that discovery told, %.3f s after the start; %d calls were made before",
                told.seq,
                self.first_list_s,
                self.effects.calls_made,
            )
        if told.hosts or told.whole:
            entries = self.targets.entries(told.hosts, self.store.disabled_endpoints)
            self.take_list(told)
            self.store.record_endpoint_list(
                told.seq, {h.name: h.raw for h in self.targets.hosts.values()}, self.clock()
            )
        else:
            entries = ()
        kind = EndpointListKind.WHOLE if told.whole else EndpointListKind.CHANGES
        self.events.append(EndpointListReceived(kind, entries))
        if not self.frozen:
            self.round()

    def take_list(self, told: EndpointList) -> None:
        self.targets.take(told)
        self.serving()

    def serving(self) -> None:
        """What the pool may call: the last check before the wire."""
        self.pool.serving(self.targets.serving(self.store.disabled_endpoints))
        for part in self.parts:
            part.served(self.pool.where)

    def number(self, name: str) -> int:
        return self.targets.number(name, self.store.disabled_endpoints)

    # Rounds

    def scheduled_round(self) -> None:
        """A round, but first what discovery has told already: after the process stood still, a drain may lie unread
        beside the events that would send to the drained endpoint.
        """
        if self.put_off < MOST_PUT_OFF and self.watch.behind():
            self.put_off += 1
            asyncio.get_running_loop().call_soon(self.scheduled_round)
            return
        self.put_off = 0
        self.round()

    def round(self) -> None:
        """Decide on all that has come since the last one. What a failure leaves undone is tried again."""
        self.scheduled = False
        if not self.frozen and not self.supervisor.guard("round", self._round):
            self.schedule()

    def _round(self) -> None:
        self.rounds += 1
        for name in disconnected({name: door for name, (_, door) in self.arriving.items()}):
            self.withdrawn(name)  # its client cannot hear that it is taken on
        now = self.round_us = self.clock()
        events, self.events = self.events, []
        for event in events:
            if isinstance(event, AttemptEnded):
                self.book(event)
        arriving, self.arriving = self.arriving, {}
        try:
            actions = self.dispatcher.handle(now, events)
        except Exception as error:
            self.dispatcher.errors.append(error)
            actions = self.dispatcher.actions
        if self.dispatcher.errors:
            # A fault in a decision must cost its message and not the process, which holds all the others. What was
            # decided besides is booked, so it is carried out.
            for fault in self.dispatcher.errors:
                self.supervisor.failed("decisions", fault)
            self.set_timer(now + AFTER_FAULT_US, "look")
            for name in [
                name
                for name in arriving
                if name not in self.dispatcher.messages
                and not any(isinstance(a, RejectMessage | FailMessage) and a.message_id == name for a in actions)
            ]:
                self.turn_off(*arriving.pop(name), "internal fault")
        departures = self.effects.prepare(now, actions, arriving)
        for a in actions:
            self.supervisor.guard(type(a).__name__, partial(self.heed, a, now))
        wrote = self.store.has_unwritten_records
        written = self.store.flush()
        if self.syncer is None:
            self.release(departures, written)
        else:
            self.syncer.call_when_synced(partial(self.release, departures, True), wrote)
        for part in self.parts:
            self.supervisor.guard(part.name, partial(part.act, actions))

    def heed(self, a: Action, now: int) -> None:
        """What a round asks of the engine itself."""
        match a:
            case SetTimer():
                self.set_timer(now + a.delay_us, a.token)
            case RequestEndpointList():
                self.watch.subscribe()
            case LogLine():
                log.info("%s", a.text)

    def release(self, departures: Departures, written: bool) -> None:
        """What a round's records precede leaves."""
        self.effects.release(departures, written)
        if self.store.pending_notices:
            self.notices.kick()

    def turn_away(self, handed: Submission, door: ClientConnection, a: RejectMessage | FailMessage) -> None:
        """Given up in the round in which it came: the client hears so, and it was never taken on."""
        why = a.hold_reason.value if isinstance(a, RejectMessage) and a.hold_reason else "at once"
        self.reasons.note(Subject.REFUSAL, why, handed.id)
        if isinstance(a, FailMessage):
            door.answer(HTTPStatus.INTERNAL_SERVER_ERROR, "cannot be delivered")
        elif a.retry_after_us > 0:
            door.answer(HTTPStatus.TOO_MANY_REQUESTS, "refused", Retry_After=f"{a.retry_after_us / SECOND:.3f}")
        else:
            door.answer(HTTPStatus.TOO_MANY_REQUESTS, "refused")
        if handed.key is not None:
            self.post(NoticeAcknowledged(handed.id, handed.key))

    def book(self, event: AttemptEnded) -> None:
        """Journal an outcome."""
        m = self.store.messages.get(event.message_id)
        if m is None:
            return
        if event.outcome is Outcome.DELIVERED and event.is_final:
            self.store.end_message(m.id)
        elif event.is_final:
            # A target says that it is over. Should that be wrong, it would be lost; a notice does no harm.
            self.store.add_pending_notice(m.id, "returned" if m.maybe_ran_at_us < 0 else "failed", 0)
        elif event.outcome is Outcome.LOCAL_FAILURE:
            self.store.record_local_failure(m, event.attempt)
        else:
            self.reasons.note(Subject.RETRY, event.outcome.value, m.id)
            self.store.record_outcome(m, event.attempt, event.outcome not in NEVER_RAN)

    def set_timer(self, at_us: int, token: str) -> None:
        asyncio.get_running_loop().call_later(max(0, at_us - self.clock()) / SECOND, self.timer, at_us, token)

    def timer(self, at_us: int, token: str) -> None:
        """A loop's timers may be a little early; the module's never are, or it would not ask for another."""
        if self.clock() < at_us:
            asyncio.get_running_loop().call_later(0.001, self.timer, at_us, token)
        else:
            self.post(TimerFired(token))

    # Notices

    def owed_ends(self) -> dict[str, PendingNotice]:
        """Those that may be told now."""
        now = self.clock()
        return {
            name: owed for name, owed in self.store.pending_notices.items() if self.rules.may_notify(name, now) is None
        }

    def acknowledged(self, names: list[str]) -> None:
        for name in names:
            end = self.store.pending_notices.get(name)
            if end is not None and end.key is not None:
                self.post(NoticeAcknowledged(name, end.key))
            self.store.acknowledge_notice(name)
        self.store.flush()

    # Operators' calls: what they decide is in operators.py

    def carry_out(self, event: Event) -> None:
        """What operators ask for is journaled and done before they hear of it."""
        self.store.flush()
        self.serving()
        self.events.append(event)
        self.round()
        if self.syncer is not None and not self.syncer.sync_now():
            raise CommandRefusedError("done, but the journal cannot be synced: a power cut would undo it")

    def send_away(self) -> None:
        self.drain.leave()
        for part in self.parts:
            part.leave()

    # Upgrades

    def hand_over(self, link: socket.socket) -> None:
        """Another process takes over. The loop stands still here, so all that arrives waits for its owner."""
        if self.leaving_s or self.closed:
            return
        self.settle()
        if self.syncer is not None and not self.syncer.sync_now():
            return  # calls and answers wait here: they cannot be handed over
        self.store.retry()
        if self.rules.may_hand_over() is not None:
            return  # who asks goes by the journal: it has to have all that is here, and asks again
        told, descriptors = handover.describe(self)
        if not self.ownership.give(link, told, descriptors):
            log.warning("the process that was to take over did not; going on")
            return
        for part in self.parts:
            part.cut()
        log.info("handed over: %d messages, %d calls out", len(self.store.messages), self.pool.out)
        os._exit(0)  # not one callback more: it would read what is meant for the other process

    def settle(self) -> None:
        """Decide on all that has come until now, so that nothing is under way between two rounds."""
        self.pool.settle()
        self.round()
        for door in self.server.doors:
            door.answer_waiting()
        if self.arriving or self.events:
            self.round()  # what the first one brought about

    # Stopping

    def stop(self) -> None:
        """SIGTERM: go on as before while clients still come, then only wait for what is out."""
        if self.leaving_s:
            return
        self.leaving_s = time.monotonic()
        log.info("stopping: %d messages held, %d calls out", len(self.store.messages), self.pool.out)
        self.send_away()
        self.supervisor.repeat("stop", STOP_STEP_S, self.stop_step).arm(LATE_S)

    def stop_step(self) -> None:
        """Look whether the process may end."""
        passed = time.monotonic() - self.leaving_s
        if passed >= FREEZE_S and not self.frozen:
            if self.arriving or self.events:
                self.round()
            if self.syncer is not None:
                self.syncer.sync_now()
            self.frozen = True
            for part in self.parts:
                self.supervisor.guard(part.name, part.cut)
        nothing = not (
            self.store.messages
            or self.store.pending_notices
            or self.arriving
            or any(part.busy() for part in self.parts)
        )
        if nothing or passed >= EXIT_S or (self.frozen and not self.pool.out and not self.store.pending_notices):
            log.info(
                "stopped: %d messages and %d owed ends stay in the journal",
                len(self.store.messages),
                len(self.store.pending_notices),
            )
            self.done.set()
