"""Tests of the state that the store recovers, and of the bounds on its files."""

from __future__ import annotations

from pathlib import Path

from forwarder.protocol.settings_format import parse_settings
from forwarder.storage.messages import AcceptedMessage
from forwarder.storage.state import MAX_ENDED_IDS
from forwarder.storage.store import MessageStore
from tests.nodes import SETTINGS

ORDER = parse_settings(SETTINGS).classes[0]


def message_of_size(name: str, size: int = 100) -> AcceptedMessage:
    return AcceptedMessage(name, ORDER, 7, 10**15, f"k-{name}", "acme", b"\n\0" * (size // 2))


def test_store_recovers_its_state_before_and_after_compaction(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, 3_000_000).take_ownership()
    for name in "abcd":
        store.accept(message_of_size(name))
    a, b = store.messages["a"], store.messages["b"]
    store.record_attempt(a, 0, 50, "s1")
    store.record_outcome(a, 0, True)
    store.record_attempt(a, 1, 60, "s2")
    store.record_attempt(b, 0, 70, "s1")
    store.record_outcome(b, 0, False)
    store.end_message("c")
    store.add_pending_notice("d", "returned", 500)
    store.record_endpoint_list(41, {"s1": {"host": "s1", "health": "draining"}}, 10)
    store.record_ejection("s1", 5, -1)
    for _ in range(2):
        store.flush()
        reopened = MessageStore(tmp_path, 3_000_000).take_ownership()
        assert list(reopened.messages) == ["a", "b"]
        assert reopened.messages == store.messages
        assert (a.attempts, a.maybe_ran_at_us, a.maybe_ran_on, a.in_flight) == (2, 50, "s1", {1: (60, "s2")})
        assert (reopened.messages["b"].attempts, reopened.messages["b"].maybe_ran_at_us) == (1, -1)
        assert reopened.pending_notices == {"d": ("returned", 500, "k-d")}
        assert reopened.ejections == {"s1": (5, -1)}
        assert list(reopened.ended_ids) == ["c", "d"]
        assert reopened.knows("c")
        assert not reopened.knows("e")
        assert (reopened.endpoint_list_version, reopened.endpoints) == (41, store.endpoints)
        assert reopened.message_bytes == store.message_bytes
        assert store.compact()


def test_store_bounds_its_files_under_steady_traffic(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, 1_000_000).take_ownership()
    for n in range(4000):
        store.accept(message_of_size(f"m{n}", 2000))
        store.flush()
        store.end_message(f"m{n}")
        store.flush()
        assert store.recovery_bytes < 1_000_000
    assert MessageStore(tmp_path, 1_000_000).take_ownership().messages == {}


def test_store_drops_the_oldest_ids_and_bounds_its_files(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, 1_000_000).take_ownership()
    for n in range(MAX_ENDED_IDS + 1000):
        store.accept(message_of_size(f"{n:016x}"))
        store.end_message(f"{n:016x}")
        store.flush()
        assert store.recovery_bytes < 1_000_000
    reopened = MessageStore(tmp_path, 1_000_000).take_ownership()
    assert len(reopened.ended_ids) == MAX_ENDED_IDS
    assert reopened.knows(f"{MAX_ENDED_IDS + 999:016x}")
    assert not reopened.knows(f"{999:016x}")
    assert reopened.has_capacity_for(60_000)
