"""The store under failing file calls and kills at any of them: what was promised is there, what was refused is not."""

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
FAILING = (None, None, ("write",), ("write", "open"), ("replace",), ("unlink",), ("pwrite",), ("write", "ftruncate"))
RATES = (0.0, 0.0, 0.3, 1.0)
KILLS = (0.0, 0.003)
SCHEDULES = 150
CLASSES = (MessageClass("status", 1, 1, Effect.REPEATABLE), MessageClass("turn", 1, 1, Effect.ONCE, in_order=True))


class Killed(BaseException):
    """The process dies in the middle of a call."""


class Disk:
    """Makes file calls fail, come short, or be the last one."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.rate, self.kill, self.failing = 0.0, 0.0, None

    def turn(self) -> None:
        self.rate, self.failing = self.chance.choice(RATES), self.chance.choice(FAILING)

    def sound(self) -> None:
        self.rate = self.kill = 0.0

    def call(self, name: str, real: Callable[..., Any]) -> Callable[..., Any]:
        def replaced(*arguments: Any, **named: Any) -> Any:
            if self.chance.random() < self.kill:
                self.half(name, real, arguments, named)
                raise Killed
            fails = self.failing is None or name in self.failing
            if fails and self.chance.random() < self.rate:
                if name == "write" and self.chance.random() < 0.5 and len(arguments[1]) > 1:
                    return real(arguments[0], bytes(arguments[1])[: self.chance.randrange(1, len(arguments[1]))])
                if name == "close":
                    real(*arguments)
                raise OSError(errno.EIO, "for the test")
            return real(*arguments, **named)

        return replaced

    def half(self, name: str, real: Callable[..., Any], arguments: Any, named: Any) -> None:
        """What has become of the call in which the process died."""
        if name == "write":
            real(arguments[0], bytes(arguments[1])[: self.chance.randrange(len(arguments[1]) + 1)])
        elif self.chance.random() < 0.5:
            real(*arguments, **named)


class Model:
    """What clients were told, over several lives of one folder."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.folder, self.chance = folder, random.Random(seed)
        self.names = (f"m{n}" for n in itertools.count())
        self.taken: list[str] = []
        self.promised: set[str] = set()
        self.refused: set[str] = set()
        self.over: set[str] = set()

    def check(self, store: MessageStore) -> None:
        assert not store.recovered.is_damaged
        assert not self.refused & store.messages.keys()
        assert all(store.knows(name) for name in self.promised)
        held = self.promised - self.over
        assert held <= store.messages.keys()
        assert not any(m.is_doubtful for m in store.messages.values())
        assert [name for name in store.messages if name in held] == [name for name in self.taken if name in held]

    def round(self, store: MessageStore) -> None:
        new = [self.take(store) for _ in range(self.chance.choice((0, 0, 1, 3))) if store.has_capacity_for(200)]
        for m in [m for m in store.messages.values() if m.id not in new]:
            self.go_on(store, m)
        for name in [
            name for name in store.pending_notices if store.may_notify(name, 0) and self.chance.random() < 0.3
        ]:
            store.acknowledge_notice(name)
        if store.flush():
            self.promised.update(new)
        else:
            self.refused.update(new)
            for name in new:
                store.undo_accept(name)
        if self.chance.random() < 0.3:
            store.retry()
            store.write_snapshot_step()

    def take(self, store: MessageStore) -> str:
        name, body = next(self.names), b"x" * self.chance.randrange(5, 400)
        store.accept(AcceptedMessage(name, self.chance.choice(CLASSES), 1, 1, "key", None, body))
        self.taken.append(name)
        return name

    def go_on(self, store: MessageStore, m: AcceptedMessage) -> None:
        what = self.chance.random()
        if what < 0.2:
            store.record_attempt(m, m.attempts, 5, "host")
        elif what < 0.3 and m.in_flight:
            store.record_outcome(m, next(iter(m.in_flight)), self.chance.random() < 0.5)
        elif what < 0.38:
            store.end_message(m.id)
            self.over.add(m.id)
        elif what < 0.45:
            store.add_pending_notice(m.id, "failed", 0)
            self.over.add(m.id)


@pytest.mark.parametrize("first", range(0, SCHEDULES, 50))
def test_what_was_promised_is_found_and_what_was_refused_is_not(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, first: int
) -> None:
    monkeypatch.setattr(journal_writer, "MIN_COMPACTION_BYTES", 3000)
    monkeypatch.setattr(journal_writer, "SNAPSHOT_STEP_BYTES", 800)
    clock_s = itertools.count(0.0, 0.02)
    disk = Disk(random.Random(first))
    for name in CALLS:
        monkeypatch.setattr(os, name, disk.call(name, getattr(os, name)))
    for seed in range(first, first + 50):
        model = Model(tmp_path / str(seed), seed)
        disk.chance = model.chance
        for _ in range(model.chance.randrange(2, 6)):
            store = MessageStore(model.folder, 3_000_000)
            store.writer.monotonic_s = lambda: next(clock_s)
            model.check(store)
            try:
                disk.turn()
                disk.kill = model.chance.choice(KILLS)
                store.take_ownership()
                for _ in range(model.chance.randrange(5, 120)):
                    if model.chance.random() < 0.06:
                        disk.turn()
                    model.round(store)
                if model.chance.random() < 0.5:
                    store.close()
            except Killed:
                pass
            disk.sound()


def test_a_restart_finds_the_same_tries_though_a_snapshot_and_a_journal_tell_of_them(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Attempts that this machine could not make, and that a snapshot had left out, counted as tries once more came."""
    monkeypatch.setattr(journal_writer, "SNAPSHOT_STEP_BYTES", 300)
    store = MessageStore(tmp_path, 3_000_000).take_ownership()
    held = [AcceptedMessage(f"m{n}", CLASSES[0], 1, 1, None, None, b"x" * 200) for n in range(20)]
    for m in held:
        store.accept(m)

    def not_made() -> None:
        for m in held:
            store.record_attempt(m, m.attempts, 5, "host")
            store.record_local_failure(m, m.attempts - 1)
        store.flush()

    not_made()
    store.begin_snapshot()
    while store.files.snapshot_writer is not None:
        not_made()
    for m in held:
        store.record_attempt(m, m.attempts, 5, "host")
        store.record_outcome(m, m.attempts - 1, False)
    store.flush()
    found = MessageStore(tmp_path, 3_000_000).messages
    assert store.compactions == 1
    assert (
        {m.attempts - m.local_failure_count for m in held}
        == {m.attempts - m.local_failure_count for m in found.values()}
        == {1}
    )
