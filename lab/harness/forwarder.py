"""The harness: one forwarder across its restarts and hand-overs, controlled by the test."""

from __future__ import annotations

from pathlib import Path

from forwarder.admin.server import AdminServer
from forwarder.clients.submission import Submission
from forwarder.config.config import parse_endpoint_list
from forwarder.decisions.events import EndpointListKind, EndpointListReceived
from forwarder.decisions.outcomes import Outcome
from forwarder.runtime.engine import Engine
from forwarder.runtime.handover_format import (
    NO_CONNECTION,
    AttemptRecord,
    CallRecord,
    HandoverDescription,
    PoolRecord,
    decode_description,
    encode_description,
)
from forwarder.runtime.ownership import HandoverState
from forwarder.units import SECOND_US
from lab.harness.config import DESTINATIONS, endpoint_entry, write_config
from lab.harness.fakes import FakeClientConnection, FakePool, FakeWatch, HeldOwnership, ManualClock, OpenTransport
from lab.harness.oracle import MessageState, Oracle

START_US = 1_000 * SECOND_US
UNUSED = object()
"""Placeholder for arguments that the engine does not use in the harness."""
OVERDUE_US = SECOND_US // 2
"""Longest time after its deadline until a message must have ended or have a pending notice."""


class ForwarderHarness:
    """One forwarder across its restarts and hand-overs."""

    def __init__(self, folder: Path) -> None:
        """Start a forwarder on a new state folder."""
        (folder / "state").mkdir()
        self.clock = ManualClock(START_US)
        self.transport = OpenTransport()
        self.config = write_config(folder)
        self.oracle = Oracle(self.clock)
        self.busy_keys: set[str] = set()
        """Keys whose last message has no answer yet. The key's next message is submitted only after that answer."""
        self.unanswered: dict[str, FakeClientConnection] = {}
        """The client connections of messages without an answer."""
        self.list_version = 1
        self.start()

    # Processes

    def start(self) -> None:
        """Start a process on the current state folder."""
        self._begin(self._make_engine())

    def hand_over(self) -> bool:
        """Hand over to a new process, together with the calls that are in flight.

        Returns:
            Whether the hand-over took place. If not, the old process continues.
        """
        old, old_pool = self.engine, self.pool
        old.handover_sender.settle()
        old.store.retry()
        if old.invariants.may_hand_over() is not None:
            return False
        attempts = tuple(AttemptRecord(message_id, number, 0) for message_id, number in old_pool.calls)
        description = HandoverDescription(
            endpoint_numbers=old.endpoint_table.numbers,
            destinations=[*old.endpoint_table.destinations],
            learned_state=old.dispatcher.learned_state(),
            pool=PoolRecord(calls=(CallRecord(NO_CONNECTION, 0, (0, -1), 0, False, attempts, b""),)),
        )
        self._release_journal()
        received_description = decode_description(encode_description(description))
        new = self._make_engine(HandoverState(UNUSED, received_description, []))  # type: ignore[arg-type]
        self.pool.calls_in_flight = old_pool.calls_in_flight
        self.pool.calls = old_pool.calls
        self.pool.retry_after = old_pool.retry_after
        self._begin(new)
        return True

    def _begin(self, engine: Engine) -> None:
        self.engine = engine
        engine.store.take_ownership()
        engine.loop.run_round()
        engine.loop.events.append(EndpointListReceived(EndpointListKind.CHANGES))

    def _make_engine(self, handed_over: HandoverState | None = None) -> Engine:
        engine = Engine(self.config, HeldOwnership(), AdminServer(), UNUSED, handed_over, clock=self.clock)  # type: ignore[arg-type]
        engine.store.writer.monotonic_s = lambda: self.clock.now_us / SECOND_US
        engine.loop.schedule = lambda: None  # type: ignore[method-assign]
        engine.loop.set_timer = lambda at_us, token: None  # type: ignore[method-assign]
        self.pool = FakePool(engine, self.oracle)
        engine.pool = engine.effects.pool = self.pool  # type: ignore[assignment]
        watch = FakeWatch()
        engine.watch = engine.loop.watch = watch  # type: ignore[assignment]
        engine.notices = engine.loop.notices = watch  # type: ignore[assignment]
        engine.publish_serving_endpoints()
        return engine

    def terminate(self) -> None:
        """Simulate SIGTERM: nothing more is sent, at most one attempt in flight succeeds, and the process exits."""
        self.engine.loop.run_round()
        self.engine.run_state.is_frozen = True
        for message_id, _ in list(self.pool.calls)[:1]:
            self.pool.end(message_id, Outcome.DELIVERED)
        self.engine.run_state.is_closed = True
        self.engine.store.close()
        self.kill()

    def kill(self) -> None:
        """Simulate SIGKILL."""
        self.oracle.note_killed()
        self.busy_keys.clear()
        self.unanswered.clear()
        self._release_journal()

    def close(self) -> None:
        """Close the sockets and the journal."""
        self.transport.close()
        self._release_journal()

    def _release_journal(self) -> None:
        """Close the journal's descriptor, as happens when a process ends."""
        self.engine.store.files.journal.close()

    # Clients

    def submit(self, message_id: str, message_class: str, key: str, time_left_us: int) -> None:
        """Submit a message as a client."""
        due_us = self.clock.now_us + time_left_us
        self.oracle.messages[message_id] = MessageState(key, message_class, due_us)
        self.busy_keys.add(key)

        def on_answer(status: int) -> None:
            """Record the answer to this message."""
            self.busy_keys.discard(key)
            self.unanswered.pop(message_id, None)
            self.oracle.note_answer(message_id, status)

        submitted_class = next(each for each in self.config.settings.classes if each.name == message_class)
        destination = 1 + len(message_id + key) % DESTINATIONS
        submission = Submission(message_id, submitted_class, destination, due_us, key, None, False, message_id.encode())
        connection = FakeClientConnection(on_answer, self.transport)
        self.unanswered[message_id] = connection
        self.engine.intake.submit(submission, connection)  # type: ignore[arg-type]

    def withdraw(self, message_id: str) -> None:
        """Close the connection of a client that has no answer yet."""
        connection = self.unanswered.pop(message_id)
        self.busy_keys.discard(self.oracle.messages[message_id].key)
        self.oracle.note_withdrawn(message_id)
        if connection.on_withdrawn is not None:
            connection.on_withdrawn()

    # Time, discovery and the platform

    def pass_time(self, duration_us: int) -> None:
        """Advance the clock, time out the calls that are due, and run a round of the engine."""
        self.clock.now_us += duration_us
        for message_id in self.pool.timed_out_messages():
            self.pool.end(message_id, Outcome.TIMED_OUT)
        self.engine.store.retry()
        self.engine.store.write_snapshot_step()
        self.engine.loop.run_round()
        self.engine.checks.end_overdue_messages()

    def change_endpoint(self, number: int, health: str) -> None:
        """Receive an endpoint's health from discovery: up, draining or removed."""
        self.list_version += 1
        changes = {"seq": self.list_version, "whole": False, "hosts": [endpoint_entry(number, health)]}
        self.engine.endpoint_lists.receive(parse_endpoint_list(changes))

    def send_notices(self, acknowledged: bool) -> None:
        """Deliver the pending notices to the platform.

        Args:
            acknowledged: Whether the forwarder receives the platform's answer.
        """
        notices = self.engine.pending_notices.pending_notices()
        for message_id, notice in notices.items():
            self.oracle.note_notice(message_id, notice.state)
        if acknowledged:
            self.engine.pending_notices.acknowledge_notices([*notices])

    def overdue_messages(self) -> list[str]:
        """Return accepted messages that have neither ended nor a pending notice `OVERDUE_US` after their deadline."""
        overdue_before_us = self.clock.now_us - OVERDUE_US
        pending = self.engine.store.pending_notices
        return [
            message_id
            for message_id in self.oracle.pending_messages()
            if self.oracle.messages[message_id].due_us < overdue_before_us and message_id not in pending
        ]
