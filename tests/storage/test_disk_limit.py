"""Tests that no way of writing takes the folder over its limit: rounds, snapshots, restarts, damage, failing calls."""

from __future__ import annotations

import os
import random
from pathlib import Path

import pytest

from forwarder.storage import journal_writer
from forwarder.storage.capacity import margins
from forwarder.storage.journal_files import SMALL_FILES_BYTES
from forwarder.storage.messages import AcceptedMessage
from forwarder.storage.store import MessageStore
from tests.folder_meter import FolderMeter
from tests.storage.folders import ONCE, SAFE, accepted_message
from tests.storage.test_store_failures import CALLS, FaultInjector, ProcessKilled

SCHEDULES = 120
LIMITS_BYTES = (60_000, 200_000, 400_000, 1_000_000, 3_000_000)
BODY_BYTES = (20, 3_000, 65_536)
TENANTS = (None, "acme", '"\u00e6' * 500)
LONG_NAME = "n" * 60


class Traffic:
    """Rounds as the runtime makes them, with a random load, in a folder with a limit."""

    def __init__(self, folder: Path, limit_bytes: int, rng: random.Random) -> None:
        self.folder, self.limit_bytes, self.rng = folder, limit_bytes, rng
        self.count = 0
        self.accepted: set[str] = set()

    def open_store(self) -> MessageStore:
        store = MessageStore(self.folder, self.limit_bytes)
        store.writer.monotonic_s = lambda: float("inf")
        return store

    def run_round(self, store: MessageStore) -> None:
        rng = self.rng
        admitted: list[AcceptedMessage] = []
        admitted_bytes = 0
        for _ in range(rng.choice((0, 0, 1, 4, 30))):
            message = self.new_message()
            if store.has_capacity_for(admitted_bytes + message.stored_bytes):
                admitted.append(message)
                admitted_bytes += message.stored_bytes
        if not store.reserve(admitted_bytes):
            admitted = []
        for message in admitted:
            store.accept(message)
        for message in [*store.messages.values()]:
            self.progress(store, message)
        for name in [name for name in store.pending_notices if rng.random() < 0.3]:
            store.acknowledge_notice(name)
        self.change_endpoints(store)
        if store.flush():
            self.accepted |= {message.id for message in admitted}
        else:
            for message in admitted:
                store.undo_accept(message.id)
        if rng.random() < 0.3:
            store.retry()
            store.write_snapshot_step()

    def new_message(self) -> AcceptedMessage:
        self.count += 1
        name = f"m{self.count}" * self.rng.choice((1, 1, 20))
        body = bytes(self.rng.choice(BODY_BYTES))
        message_class = self.rng.choice((SAFE, ONCE))
        return AcceptedMessage(name, message_class, 1, 1, f"k-{name}", self.rng.choice(TENANTS), body)

    def progress(self, store: MessageStore, message: AcceptedMessage) -> None:
        draw = self.rng.random()
        if draw < 0.2 and not message.in_flight:
            store.record_attempt(message, message.attempts, 5, LONG_NAME)
        elif draw < 0.3 and message.in_flight:
            store.record_outcome(message, next(iter(message.in_flight)), True)
        elif draw < 0.4:
            store.end_message(message.id)
        elif draw < 0.5:
            store.add_pending_notice(message.id, "returned", 12_345)

    def change_endpoints(self, store: MessageStore) -> None:
        if self.rng.random() < 0.05:
            count = self.rng.choice((1, 30, 3_200))
            store.record_endpoint_list(
                self.count, {f"s{n}": {"host": f"s{n}", "dial": "1.2.3.4:5"} for n in range(count)}, 1
            )
        if self.rng.random() < 0.05:
            store.record_ejection(f"{LONG_NAME}{self.rng.randrange(20)}", 5, 6)
        if self.rng.random() < 0.05:
            store.back_off_key(f"{LONG_NAME}{self.rng.randrange(20)}", 1, 0)

    def damage(self) -> None:
        files = [path for path in self.folder.iterdir() if path.name.startswith(("journal", "snapshot"))]
        files = [path for path in files if path.stat().st_size]
        if files:
            path = self.rng.choice(files)
            data = bytearray(path.read_bytes())
            data[self.rng.randrange(len(data))] ^= 1
            path.write_bytes(data)


@pytest.mark.parametrize("first", range(0, SCHEDULES, 40))
def test_no_file_call_takes_the_folder_over_its_limit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, first: int
) -> None:
    """review/9 on every path: measured after each file call, also those that fail, are killed or repair damage."""
    monkeypatch.setattr(journal_writer, "MIN_COMPACTION_BYTES", 30_000)
    faults = FaultInjector(random.Random(first))
    for name in CALLS:
        monkeypatch.setattr(os, name, faults.wrap(name, getattr(os, name)))
    for seed in range(first, first + 40):
        rng = faults.rng = random.Random(seed)
        limit_bytes = rng.choice(LIMITS_BYTES)
        traffic = Traffic(tmp_path / str(seed), limit_bytes, rng)
        with pytest.MonkeyPatch.context() as patch:
            meter = FolderMeter(traffic.folder, patch)
            for _ in range(4):
                store = traffic.open_store()
                try:
                    faults.choose_faults()
                    faults.kill_rate = rng.choice((0.0, 0.003))
                    store.take_ownership()
                    for _ in range(rng.randrange(5, 60)):
                        traffic.run_round(store)
                except ProcessKilled:
                    pass
                faults.disable_faults()
                if rng.random() < 0.3:
                    traffic.damage()
            assert meter.most_bytes <= limit_bytes - SMALL_FILES_BYTES, (seed, meter.most_files)


@pytest.mark.parametrize("limit_bytes", LIMITS_BYTES)
def test_a_folder_that_was_full_accepts_again_once_its_messages_have_ended(tmp_path: Path, limit_bytes: int) -> None:
    """Guards against a folder that keeps what nothing needs, and answers 503 for good."""
    store = MessageStore(tmp_path, limit_bytes).take_ownership()
    body = bytes(limit_bytes // 60)
    for round_number in range(200):
        names = []
        while store.has_capacity_for(len(body) + 2_000):
            names.append(f"{round_number}-{len(names)}" * 10)
            message = accepted_message(names[-1], SAFE, body[: len(body) // 3])
            assert store.reserve(message.stored_bytes)
            store.accept(message)
        assert store.flush()
        assert len(names) >= 5
        for name in names:
            store.add_pending_notice(name, "returned", 500)
        assert store.flush()
        for name in names:
            store.acknowledge_notice(name)
        assert store.flush()
    assert not store.write_failures


def test_files_set_aside_give_way_to_messages(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A damaged journal of half the limit was linked beside itself, and its bytes refused messages for good."""
    limit_bytes = 1_000_000
    meter = FolderMeter(tmp_path, monkeypatch)
    store = MessageStore(tmp_path, limit_bytes).take_ownership()
    for n in range(5):
        store.accept(accepted_message(f"m{n}", SAFE, b"x" * 17_000))
        store.flush()
    for n in range(5):
        store.end_message(f"m{n}")
    store.close()
    data = bytearray((tmp_path / "journal").read_bytes())
    data[len(data) // 2] ^= 1
    (tmp_path / "journal").write_bytes(data)
    store = MessageStore(tmp_path, limit_bytes).take_ownership()
    assert store.set_aside_bytes > 200_000
    full_bytes = limit_bytes // 2 - margins(limit_bytes).admission
    body = b"x" * (full_bytes // 30)
    for n in range(9):
        message = accepted_message(f"n{n}", SAFE, body)
        assert store.has_capacity_for(message.stored_bytes), n
        assert store.reserve(message.stored_bytes)
        store.accept(message)
        assert store.flush()
    assert store.set_aside_bytes == 0
    assert meter.most_bytes <= limit_bytes


def test_a_list_without_room_is_not_stored_and_the_one_before_it_stays(tmp_path: Path) -> None:
    """Guards against a list of the largest fleet that fills a small folder, so that no message fits any more."""
    store = MessageStore(tmp_path, 400_000).take_ownership()
    store.record_endpoint_list(1, {"s1": {"host": "s1"}}, 1)
    store.record_endpoint_list(2, {f"s{n}": {"host": f"s{n}", "dial": "x" * 100} for n in range(3_200)}, 1)
    assert store.flush()
    store.record_endpoint_list(3, {"s2": {"host": "s2"}}, 1)
    assert store.endpoint_list_version == 3
    assert store.flush()
    reopened = MessageStore(tmp_path, 400_000)
    assert [*reopened.endpoints] == ["s2"]
    assert store.has_capacity_for(50_000)
    assert not store.write_failures


def test_a_folder_over_a_lowered_limit_is_rewritten_once_what_it_holds_fits(tmp_path: Path) -> None:
    """`disk_mb` is what the operator sets, and may be less than at the start before."""
    store = MessageStore(tmp_path, 3_000_000).take_ownership()
    for n in range(30):
        store.accept(accepted_message(f"m{n}", SAFE, b"x" * 12_000))
        assert store.flush()
    store.close()
    store = MessageStore(tmp_path, 1_000_000).take_ownership()
    assert not store.has_capacity_for(10)
    for n in range(29):
        store.end_message(f"m{n}")
        assert store.flush()
    assert store.files.usage.used_bytes < 1_000_000 - SMALL_FILES_BYTES
    assert [*MessageStore(tmp_path, 1_000_000).messages] == ["m29"]
    store.end_message("m29")
    assert store.flush()
    assert store.has_capacity_for(300_000)
    assert store.reserve(300_000)


def test_an_append_beside_an_incomplete_snapshot_of_a_large_list_does_not_fail(tmp_path: Path) -> None:
    """Guards against a write that counts as failed although only the snapshot in steps was in its way."""
    limit_bytes = 1_000_000
    store = MessageStore(tmp_path, limit_bytes).take_ownership()
    endpoints = {f"s{n}": {"host": f"s{n}", "dial": "x" * 100} for n in range(2_000)}
    for version in range(300):
        if version % 40 == 0:
            store.record_endpoint_list(version, endpoints, 1)
        message = accepted_message(f"m{version}", SAFE, b"x" * 1_000)
        if store.files.snapshot_writer is None:
            store.begin_snapshot()
        if store.has_capacity_for(message.stored_bytes) and store.reserve(message.stored_bytes):
            store.accept(message)
        assert store.flush()
        store.end_message(f"m{version}")
        assert store.flush()
    assert not store.write_failures
