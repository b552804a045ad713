"""Compares the store with a simple model, across crashes and snapshots."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from forwarder.storage import journal_writer
from forwarder.storage.record_format import encode_record_frame
from forwarder.storage.schema import WITHDRAWN_ATTEMPT, AttemptEndedRecord, MessageEndedRecord, encode_record
from forwarder.storage.store import MessageStore
from tests.storage.folders import MAX_BYTES, accepted_message

STEPS = (
    "accept",
    "start_attempt",
    "end_attempt",
    "end",
    "withdraw",
    "add_notice",
    "acknowledge_notice",
    "toggle_endpoint",
    "crash",
    "compact",
    "crash_in_a_write",
    "snapshot",
    "snapshot",  # twice as often
)
NAMES = ("m1", "m2", "m3", "m4")


class StoreAndModel:
    """A store and its expected content. A step does nothing where it is not applicable."""

    def __init__(self, folder: Path, torn_bytes: int) -> None:
        self.folder = folder
        self.torn_bytes = torn_bytes
        self.store = MessageStore(folder, MAX_BYTES).take_ownership()
        self.messages: dict[str, tuple[int, int]] = {}
        """Numbers of started attempts and of attempts in flight, by message id."""
        self.pending: set[str] = set()
        self.disabled: set[str] = set()
        self.ended: set[str] = set()

    def accept(self, name: str) -> None:
        if name in self.messages or name in self.ended:
            return
        self.store.accept(accepted_message(name))
        self.messages[name] = (0, 0)

    def start_attempt(self, name: str) -> None:
        if name not in self.messages or self.messages[name][1]:
            return
        attempts = self.messages[name][0]
        self.store.record_attempt(self.store.messages[name], attempts, 5, "s1")
        self.messages[name] = (attempts + 1, 1)

    def end_attempt(self, name: str) -> None:
        if name not in self.messages or not self.messages[name][1]:
            return
        attempts = self.messages[name][0]
        self.store.record_outcome(self.store.messages[name], attempts - 1, True)
        self.messages[name] = (attempts, 0)

    def end(self, name: str) -> None:
        if name not in self.messages:
            return
        self.store.end_message(name)
        self.ended.add(name)
        del self.messages[name]

    def withdraw(self, name: str) -> None:
        """Withdraws a message that has surely not run; its id may be accepted again."""
        if name not in self.messages or not self.store.messages[name].has_surely_not_run:
            return
        self.store.withdraw_message(name)
        del self.messages[name]

    def add_notice(self, name: str) -> None:
        if name not in self.messages:
            return
        self.store.add_pending_notice(name, "failed", 0)
        self.pending.add(name)
        self.ended.add(name)
        del self.messages[name]

    def acknowledge_notice(self, name: str) -> None:
        if name not in self.pending:
            return
        self.store.acknowledge_notice(name)
        self.pending.discard(name)

    def toggle_endpoint(self, name: str) -> None:
        if name in self.disabled:
            self.store.enable_endpoint(name)
        else:
            self.store.disable_endpoint(name, 9)
        self.disabled ^= {name}

    def crash(self, name: str) -> None:
        self.store.close()
        self.store = MessageStore(self.folder, MAX_BYTES).take_ownership()

    def crash_in_a_write(self, name: str) -> None:
        """Simulates a torn write: only the first `torn_bytes` of the last record are in the file."""
        self.store.close()
        line = encode_record(MessageEndedRecord(name))
        record = encode_record_frame(self.store.salt, self.store.writer.record_number + 1, line)
        with (self.folder / "journal").open("ab") as file:
            file.write(record[: self.torn_bytes])
        self.store = MessageStore(self.folder, MAX_BYTES).take_ownership()

    def compact(self, name: str) -> None:
        self.store.flush()
        assert self.store.compact()

    def snapshot(self, name: str) -> None:
        if self.store.files.snapshot_writer is None:
            self.store.begin_snapshot()

    def check(self) -> None:
        store = self.store
        assert {name: (m.attempts, len(m.in_flight)) for name, m in store.messages.items()} == self.messages
        assert set(store.pending_notices) == self.pending
        assert set(store.disabled_endpoints) == self.disabled
        assert self.ended <= set(store.ended_ids)
        assert not store.recovered.is_damaged
        assert not any(m.is_doubtful for m in store.messages.values())


@profile(derandomize=True, max_examples=120, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(STEPS), st.sampled_from(NAMES)), max_size=60), st.integers(1, 20))
def test_the_store_equals_a_plain_model_over_crashes(
    tmp_path_factory: pytest.TempPathFactory, steps: list[tuple[str, str]], torn_bytes: int
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(journal_writer, "SNAPSHOT_STEP_BYTES", 1)  # one snapshot record per round
        store_and_model = StoreAndModel(tmp_path_factory.mktemp("s"), torn_bytes)
        for step, name in steps:
            getattr(store_and_model, step)(name)
            store_and_model.store.flush()
            store_and_model.check()
        store_and_model.store.close()


@pytest.mark.parametrize("restart", [False, True])
def test_an_id_that_was_withdrawn_is_not_known_and_one_that_was_delivered_is(tmp_path: Path, restart: bool) -> None:
    """Issue 61 (c): a withdrawn id was told 202 when it came again, and was never sent."""
    store = MessageStore(tmp_path, MAX_BYTES).take_ownership()
    for name in ("withdrawn", "delivered", "accepted again"):
        store.accept(accepted_message(name))
    store.withdraw_message("withdrawn")
    store.withdraw_message("accepted again")
    store.accept(accepted_message("accepted again"))
    for name in ("delivered", "accepted again"):
        store.record_attempt(store.messages[name], 0, 5, "s1")
        store.end_message(name)
    assert store.flush()
    if restart:
        store = MessageStore(tmp_path, MAX_BYTES)
    assert not store.knows("withdrawn")
    assert store.knows("delivered")
    assert store.knows("accepted again")


def test_a_withdrawal_that_was_cut_off_does_not_let_a_delivered_message_run_again(tmp_path: Path) -> None:
    """Guards against a duplicate: only the first of a withdrawal's two records had been written."""
    store = MessageStore(tmp_path, MAX_BYTES).take_ownership()
    store.accept(accepted_message("m"))
    store.writer.append(AttemptEndedRecord("m", WITHDRAWN_ATTEMPT, False))
    store.close()
    store = MessageStore(tmp_path, MAX_BYTES).take_ownership()
    store.record_attempt(store.messages["m"], 0, 5, "s1")
    store.end_message("m")
    store.close()
    assert MessageStore(tmp_path, MAX_BYTES).knows("m")
