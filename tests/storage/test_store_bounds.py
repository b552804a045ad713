"""What the store gives back, and the bounds on its files."""

from __future__ import annotations

from pathlib import Path

from forwarder.protocol.settings_format import parse_settings
from forwarder.storage.messages import AcceptedMessage
from forwarder.storage.state import MAX_ENDED_IDS
from forwarder.storage.store import MessageStore
from tests.nodes import SETTINGS

ORDER = parse_settings(SETTINGS).classes[0]


def taken(name: str, size: int = 100) -> AcceptedMessage:
    return AcceptedMessage(name, ORDER, 7, 10**15, f"k-{name}", "acme", b"\n\0" * (size // 2))


def test_store_gives_back_what_it_was_told_also_after_compacting(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, 3_000_000).take_ownership()
    for name in "abcd":
        store.accept(taken(name))
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
        back = MessageStore(tmp_path, 3_000_000).take_ownership()
        assert list(back.messages) == ["a", "b"]
        assert back.messages == store.messages
        assert (a.attempts, a.maybe_ran_at_us, a.maybe_ran_on, a.in_flight) == (2, 50, "s1", {1: (60, "s2")})
        assert (back.messages["b"].attempts, back.messages["b"].maybe_ran_at_us) == (1, -1)
        assert back.pending_notices == {"d": ("returned", 500, "k-d")}
        assert back.ejections == {"s1": (5, -1)}
        assert list(back.ended_ids) == ["c", "d"]
        assert back.knows("c")
        assert not back.knows("e")
        assert (back.endpoint_list_version, back.endpoints) == (41, store.endpoints)
        assert back.message_bytes == store.message_bytes
        assert store.compact()


def test_store_bounds_its_files_under_steady_traffic(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, 1_000_000).take_ownership()
    for n in range(4000):
        store.accept(taken(f"m{n}", 2000))
        store.flush()
        store.end_message(f"m{n}")
        store.flush()
        assert store.recovery_bytes < 1_000_000
    assert MessageStore(tmp_path, 1_000_000).take_ownership().messages == {}


def test_store_forgets_the_oldest_ids_and_keeps_to_its_size(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, 1_000_000).take_ownership()
    for n in range(MAX_ENDED_IDS + 1000):
        store.accept(taken(f"{n:016x}"))
        store.end_message(f"{n:016x}")
        store.flush()
        assert store.recovery_bytes < 1_000_000
    back = MessageStore(tmp_path, 1_000_000).take_ownership()
    assert len(back.ended_ids) == MAX_ENDED_IDS
    assert back.knows(f"{MAX_ENDED_IDS + 999:016x}")
    assert not back.knows(f"{999:016x}")
    assert back.has_capacity_for(60_000)
