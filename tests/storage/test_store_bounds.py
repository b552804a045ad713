"""What the store gives back, and the bounds on its files."""

from __future__ import annotations

from pathlib import Path

from forwarder.protocol.settings_format import parse_settings
from forwarder.storage.store import MOST_ENDED, AcceptedMessage, MessageStore
from tests.sockets import SETTINGS

ORDER = parse_settings(SETTINGS).classes[0]


def taken(name: str, size: int = 100) -> AcceptedMessage:
    return AcceptedMessage(name, ORDER, 7, 10**15, f"k-{name}", "acme", b"\n\0" * (size // 2))


def test_store_gives_back_what_it_was_told_also_after_compacting(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, 3_000_000).own()
    for name in "abcd":
        store.take(taken(name))
    a, b = store.messages["a"], store.messages["b"]
    store.attempt(a, 0, 50, "s1")
    store.outcome(a, 0, True)
    store.attempt(a, 1, 60, "s2")
    store.attempt(b, 0, 70, "s1")
    store.outcome(b, 0, False)
    store.over("c")
    store.owe("d", "returned", 500)
    store.list(41, {"s1": {"host": "s1", "health": "draining"}}, 10)
    store.outage("s1", 5, -1)
    for _ in range(2):
        store.flush()
        back = MessageStore(tmp_path, 3_000_000).own()
        assert list(back.messages) == ["a", "b"]
        assert back.messages == store.messages
        assert (a.attempts, a.ran_at_us, a.ran_on, a.out) == (2, 50, "s1", {1: (60, "s2")})
        assert (back.messages["b"].attempts, back.messages["b"].ran_at_us) == (1, -1)
        assert back.owed == {"d": ("returned", 500, "k-d")}
        assert back.outages == {"s1": (5, -1)}
        assert list(back.ended) == ["c", "d"]
        assert back.knows("c")
        assert not back.knows("e")
        assert (back.seq, back.hosts) == (41, store.hosts)
        assert back.live == store.live
        assert store.compact()


def test_store_bounds_its_files_under_steady_traffic(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, 1_000_000).own()
    for n in range(4000):
        store.take(taken(f"m{n}", 2000))
        store.flush()
        store.over(f"m{n}")
        store.flush()
        assert store.size < 1_000_000
    assert MessageStore(tmp_path, 1_000_000).own().messages == {}


def test_store_forgets_the_oldest_ids_and_keeps_to_its_size(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, 1_000_000).own()
    for n in range(MOST_ENDED + 1000):
        store.take(taken(f"{n:016x}"))
        store.over(f"{n:016x}")
        store.flush()
        assert store.size < 1_000_000
    back = MessageStore(tmp_path, 1_000_000).own()
    assert len(back.ended) == MOST_ENDED
    assert back.knows(f"{MOST_ENDED + 999:016x}")
    assert not back.knows(f"{999:016x}")
    assert back.has_room(60_000)
