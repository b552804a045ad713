"""Tests of the store with failing file calls and kills: acknowledged messages survive, rejected ones do not."""

from __future__ import annotations

import errno
import itertools
import os
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from forwarder.decisions.settings import Effect, MessageClass
from forwarder.storage import journal_writer
from forwarder.storage.messages import AcceptedMessage
from forwarder.storage.store import MessageStore

CALLS = ("write", "pwrite", "open", "ftruncate", "replace", "unlink", "link", "close")
FAILING_CALLS = (
    None,
    None,
    ("write",),
    ("write", "open"),
    ("replace",),
    ("unlink",),
    ("pwrite",),
    ("write", "ftruncate"),
)
FAILURE_RATES = (0.0, 0.0, 0.3, 1.0)
KILL_RATES = (0.0, 0.003)
SCHEDULES = 150
CLASSES = (MessageClass("status", 1, 1, Effect.REPEATABLE), MessageClass("turn", 1, 1, Effect.ONCE, in_order=True))


class ProcessKilled(BaseException):
    """The process is killed during a call."""


class FaultInjector:
    """Makes file calls fail or write too little, or kills the process during a call."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.failure_rate, self.kill_rate, self.failing_calls = 0.0, 0.0, None

    def choose_faults(self) -> None:
        self.failure_rate, self.failing_calls = self.rng.choice(FAILURE_RATES), self.rng.choice(FAILING_CALLS)

    def disable_faults(self) -> None:
        self.failure_rate = self.kill_rate = 0.0

    def wrap(self, name: str, real: Callable[..., Any]) -> Callable[..., Any]:
        def faulty_call(*arguments: Any, **named: Any) -> Any:
            if self.rng.random() < self.kill_rate:
                self.execute_partly(name, real, arguments, named)
                raise ProcessKilled
            may_fail = self.failing_calls is None or name in self.failing_calls
            if may_fail and self.rng.random() < self.failure_rate:
                if name == "write" and self.rng.random() < 0.5 and len(arguments[1]) > 1:
                    return real(arguments[0], bytes(arguments[1])[: self.rng.randrange(1, len(arguments[1]))])
                if name == "close":
                    real(*arguments)
                raise OSError(errno.EIO, "simulated I/O error")
            return real(*arguments, **named)

        return faulty_call

    def execute_partly(self, name: str, real: Callable[..., Any], arguments: Any, named: Any) -> None:
        """Executes all, part or none of the call during which the process is killed."""
        if name == "write":
            real(arguments[0], bytes(arguments[1])[: self.rng.randrange(len(arguments[1]) + 1)])
        elif self.rng.random() < 0.5:
            real(*arguments, **named)


class Model:
    """The answers that clients received, across several processes that use one folder."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.folder, self.rng = folder, random.Random(seed)
        self.unused_ids = (f"m{n}" for n in itertools.count())
        self.accepted_ids: list[str] = []
        self.acknowledged_ids: set[str] = set()
        self.rejected_ids: set[str] = set()
        self.ended_ids: set[str] = set()

    def check(self, store: MessageStore) -> None:
        assert not store.recovered.is_damaged
        assert not self.rejected_ids & store.messages.keys()
        assert all(store.knows(name) for name in self.acknowledged_ids)
        active_ids = self.acknowledged_ids - self.ended_ids
        assert active_ids <= store.messages.keys()
        assert not any(m.is_doubtful for m in store.messages.values())
        assert [name for name in store.messages if name in active_ids] == [
            name for name in self.accepted_ids if name in active_ids
        ]

    def run_round(self, store: MessageStore) -> None:
        new_ids = [
            self.accept_message(store) for _ in range(self.rng.choice((0, 0, 1, 3))) if store.has_capacity_for(200)
        ]
        for m in [m for m in store.messages.values() if m.id not in new_ids]:
            self.update_message(store, m)
        for name in [name for name in store.pending_notices if store.may_notify(name, 0) and self.rng.random() < 0.3]:
            store.acknowledge_notice(name)
        if store.flush():
            self.acknowledged_ids.update(new_ids)
        else:
            self.rejected_ids.update(new_ids)
            for name in new_ids:
                store.undo_accept(name)
        if self.rng.random() < 0.3:
            store.retry()
            store.write_snapshot_step()

    def accept_message(self, store: MessageStore) -> str:
        name, body = next(self.unused_ids), b"x" * self.rng.randrange(5, 400)
        store.accept(AcceptedMessage(name, self.rng.choice(CLASSES), 1, 1, "key", None, body))
        self.accepted_ids.append(name)
        return name

    def update_message(self, store: MessageStore, m: AcceptedMessage) -> None:
        action = self.rng.random()
        if action < 0.2:
            store.record_attempt(m, m.attempts, 5, "host")
        elif action < 0.3 and m.in_flight:
            store.record_outcome(m, next(iter(m.in_flight)), self.rng.random() < 0.5)
        elif action < 0.38:
            store.end_message(m.id)
            self.ended_ids.add(m.id)
        elif action < 0.45:
            store.add_pending_notice(m.id, "failed", 0)
            self.ended_ids.add(m.id)


@pytest.mark.parametrize("first", range(0, SCHEDULES, 50))
def test_acknowledged_messages_are_recovered_and_rejected_ones_are_not(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, first: int
) -> None:
    monkeypatch.setattr(journal_writer, "MIN_COMPACTION_BYTES", 3000)
    monkeypatch.setattr(journal_writer, "SNAPSHOT_STEP_BYTES", 800)
    clock_s = itertools.count(0.0, 0.02)
    faults = FaultInjector(random.Random(first))
    for name in CALLS:
        monkeypatch.setattr(os, name, faults.wrap(name, getattr(os, name)))
    for seed in range(first, first + 50):
        model = Model(tmp_path / str(seed), seed)
        faults.rng = model.rng
        for _ in range(model.rng.randrange(2, 6)):
            store = MessageStore(model.folder, 3_000_000)
            store.writer.monotonic_s = lambda: next(clock_s)
            model.check(store)
            try:
                faults.choose_faults()
                faults.kill_rate = model.rng.choice(KILL_RATES)
                store.take_ownership()
                for _ in range(model.rng.randrange(5, 120)):
                    if model.rng.random() < 0.06:
                        faults.choose_faults()
                    model.run_round(store)
                if model.rng.random() < 0.5:
                    store.close()
            except ProcessKilled:
                pass
            faults.disable_faults()


def test_attempts_recorded_in_both_a_snapshot_and_a_journal_are_counted_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Local failures that a snapshot had left out of its count were counted as attempts once another one followed."""
    monkeypatch.setattr(journal_writer, "SNAPSHOT_STEP_BYTES", 300)
    store = MessageStore(tmp_path, 3_000_000).take_ownership()
    messages = [AcceptedMessage(f"m{n}", CLASSES[0], 1, 1, None, None, b"x" * 200) for n in range(20)]
    for m in messages:
        store.accept(m)

    def fail_locally() -> None:
        for m in messages:
            store.record_attempt(m, m.attempts, 5, "host")
            store.record_local_failure(m, m.attempts - 1)
        store.flush()

    fail_locally()
    store.begin_snapshot()
    while store.files.snapshot_writer is not None:
        fail_locally()
    for m in messages:
        store.record_attempt(m, m.attempts, 5, "host")
        store.record_outcome(m, m.attempts - 1, False)
    store.flush()
    recovered_messages = MessageStore(tmp_path, 3_000_000).messages
    assert store.compactions == 1
    assert (
        {m.attempts - m.local_failure_count for m in messages}
        == {m.attempts - m.local_failure_count for m in recovered_messages.values()}
        == {1}
    )
