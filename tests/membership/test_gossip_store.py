"""Facts that forwarders pass on: they age, only who saw them says them again, and what one may say is bounded."""

from __future__ import annotations

import random
from collections.abc import Iterator

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from forwarder.membership.codec import MAX_DATAGRAM_BYTES, Codec, Datagram
from forwarder.membership.dissemination import GOSSIP_BYTES
from forwarder.membership.gossip_query import MAX_QUERY_DATAGRAMS
from forwarder.membership.gossip_store import (
    MAX_AGES_US,
    MAX_RECORDS,
    MAX_RECORDS_PER_OBSERVER,
    GossipRow,
    GossipStore,
    RecordKind,
    rendezvous_order,
)
from forwarder.units import SECOND_US as SECOND
from tests.membership.simulation import KEY, Fleet

MINUTE = 60 * SECOND


def passed_on(board: GossipStore, now: int) -> list[GossipRow]:
    return board.next_rows(now, GOSSIP_BYTES, 10)


def test_a_fact_never_grows_younger_on_its_way() -> None:
    a, b, c = GossipStore("a", 1), GossipStore("b", 1), GossipStore("c", 1)
    a.add_own(0, RecordKind.EJECTED, "s", 2 * SECOND)
    b.merge(5 * SECOND, passed_on(a, 3 * SECOND))  # it took 2 s, which nobody can tell
    c.merge(SECOND, passed_on(b, 9 * SECOND))  # by another clock; it is 7 s old at least
    fact = c.from_others(SECOND, RecordKind.EJECTED)[0]
    assert (fact.observer, fact.observed_at_us, fact.value_us) == ("a", SECOND - 7 * SECOND, 2 * SECOND)
    c.merge(2 * SECOND, passed_on(a, 3 * SECOND))  # an older copy of the same says that it is younger
    assert c.from_others(2 * SECOND, RecordKind.EJECTED)[0].observed_at_us == fact.observed_at_us
    c.merge(2 * SECOND, [GossipRow("out", "s", "a", 1, 1, 11_000)])
    assert c.from_others(2 * SECOND, RecordKind.EJECTED)[0].observed_at_us == 2 * SECOND - 11 * SECOND


@pytest.mark.parametrize("kind", list(RecordKind))
def test_each_greatest_age_holds_and_repetition_by_others_does_not_renew_it(kind: RecordKind) -> None:
    boards = [GossipStore(name, 1) for name in "abcd"]
    value = 60 * SECOND if kind is RecordKind.RETRY_AFTER else 0
    boards[0].add_own(0, kind, "s", value)
    for now in range(0, MAX_AGES_US[kind] + 1, max(1, MAX_AGES_US[kind] // 50)):
        for one in boards:
            for other in boards:
                other.merge(now, [item for row in one.all_rows(now, "", GOSSIP_BYTES, 9) for item in row])
        assert [f.observer for f in boards[3].from_others(now, kind)] == ["a"]
    late = MAX_AGES_US[kind] + SECOND
    for board in boards:
        assert not board.from_others(late, kind)
        assert not board.all_rows(late, "", GOSSIP_BYTES, 9)[0]
        assert not passed_on(board, late)
        board.drop_expired(late)
        assert not board.records
        assert not board.record_counts
        assert not board.queue


def test_a_wait_ends_with_itself_and_what_is_too_old_is_not_taken() -> None:
    a, b = GossipStore("a", 1), GossipStore("b", 1)
    a.add_own(0, RecordKind.RETRY_AFTER, "7", SECOND)
    items = passed_on(a, 0)
    b.merge(0, items)
    assert b.from_others(SECOND, RecordKind.RETRY_AFTER)
    assert not b.from_others(SECOND + 1, RecordKind.RETRY_AFTER)
    b.merge(
        0,
        [
            GossipRow("out", "s", "c", 1, 1, MAX_AGES_US[RecordKind.EJECTED] // 1000 + 1),
            GossipRow("later kind", "s", "c", 1, 2),
        ],
    )
    assert b.counts == {"too old": 1}
    assert len(b.records) == 1


@pytest.mark.parametrize(
    ("before", "after", "stands"),
    [
        ((1, 5, "out"), (1, 6, "back"), "back"),
        ((1, 6, "back"), (1, 5, "out"), "back"),
        ((1, 9, "out"), (2, 1, "back"), "back"),
        ((2, 1, "out"), (1, 9, "back"), "out"),
        ((1, 1, "ban"), (1, 2, "used"), "used"),
        ((1, 2, "holds"), (1, 3, "free"), "free"),
    ],
)
def test_who_saw_it_has_the_last_word(before: tuple[int, int, str], after: tuple[int, int, str], stands: str) -> None:
    board = GossipStore("me", 1)
    for life, number, kind in (before, after):
        board.merge(0, [GossipRow(kind, "s", "a", life, number)])
    assert [f.kind.value for f in board.records.values()] == [stands]


def test_one_that_says_too_much_is_bounded_and_takes_no_room_from_others() -> None:
    board = GossipStore("me", 1)
    board.merge(0, [GossipRow("out", f"s{n}", "loud", 1, n) for n in range(3 * MAX_RECORDS_PER_OBSERVER)])
    board.merge(0, [GossipRow("out", "s", f"n{n}", 1, 1) for n in range(50)])
    assert len(board.from_others(0, RecordKind.EJECTED)) == MAX_RECORDS_PER_OBSERVER + 50
    assert board.counts["no room"] == 2 * MAX_RECORDS_PER_OBSERVER
    board.merge(0, [GossipRow("out", f"s{k}", f"m{n}", 1, k) for n in range(MAX_RECORDS) for k in range(2)])
    assert len(board.records) == MAX_RECORDS


@pytest.mark.parametrize("life", [1, 2])
def test_others_remember_what_a_lost_folder_had_said(life: int) -> None:
    """Also where the new process counts its lives from the first again."""
    old, friend = GossipStore("me", life), GossipStore("f", 1)
    old.add_own(0, RecordKind.DISABLED, "s1", SECOND)
    old.add_own(0, RecordKind.DISABLED, "s2")
    old.add_own(0, RecordKind.ENABLED, "s2")
    friend.merge(0, passed_on(old, 0))
    new = GossipStore("me", 1)
    new.merge(MINUTE, [item for row in friend.all_rows(MINUTE, "me", GOSSIP_BYTES, 9) for item in row])
    assert [(f.subject, f.observed_at_us, f.value_us) for f in new.own_former(MINUTE, RecordKind.DISABLED)] == [
        ("s1", 0, SECOND)
    ]
    new.add_own(MINUTE, RecordKind.ENABLED, "s1")
    assert not new.own_former(MINUTE, RecordKind.DISABLED)
    assert not new.from_others(MINUTE, RecordKind.DISABLED)


def test_who_asks_hears_its_own_and_bans_first_and_no_more_than_is_allowed() -> None:
    board = GossipStore("me", 1)
    for n in range(MAX_RECORDS):
        board.merge(0, [GossipRow("out", f"s{n}", f"n{n}", 1, 1)])
    board.records.clear()
    board.merge(
        0,
        [GossipRow("out", f"endpoint-{n}", f"forwarder-{n % 70}", 1, n) for n in range(1500)]
        + [GossipRow("ban", "s1", "x", 1, 1), GossipRow("ban", "s2", "asker", 1, 1)],
    )
    parts = board.all_rows(0, "asker", GOSSIP_BYTES, MAX_QUERY_DATAGRAMS)
    assert [i.subject for i in parts[0][:2]] == ["s2", "s1"]
    assert len(parts) == MAX_QUERY_DATAGRAMS
    codec = Codec("c", [KEY])
    for part in parts:
        assert len(codec.seal(Datagram("facts", "me" * 20, 1, "i" * 8, records=part))) <= MAX_DATAGRAM_BYTES


def test_the_order_for_a_subject_is_the_same_everywhere_and_moves_little() -> None:
    names = [f"n{n}" for n in range(30)]
    firsts = {}
    for subject in [f"s{n}" for n in range(200)]:
        order = rendezvous_order(subject, names)
        assert order == rendezvous_order(subject, reversed(names))
        assert rendezvous_order(subject, set(names) - {"n7"}) == [name for name in order if name != "n7"]
        firsts[order[0]] = firsts.get(order[0], 0) + 1
    assert max(firsts.values()) < 20
    assert len(firsts) > 25


items = st.builds(
    GossipRow,
    st.sampled_from([k.value for k in RecordKind] + ["?"]),
    st.sampled_from(["s1", "s2"]),
    st.sampled_from(["a", "me", "b"]),
    st.integers(0, 3),
    st.integers(0, 9),
    st.integers(0, 1 << 41),
    st.integers(0, 1 << 41),
)


@profile(max_examples=150, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 30), st.lists(items, max_size=6)), max_size=12))
def test_whatever_comes_the_board_stays_sound(rows: list[tuple[int, list[GossipRow]]]) -> None:
    board, now = GossipStore("me", 1), MINUTE
    for passed, told in rows:
        now += passed * SECOND
        board.merge(now, told)
        for fact in board.from_others(now, *RecordKind):
            assert fact.observer != "me"
            assert 0 <= now - fact.observed_at_us <= MAX_AGES_US[fact.kind]
        board.drop_expired(now)
        assert set(board.queue) <= set(board.records)
        assert sum(board.record_counts.values()) == len(board.records) <= 6 * 4


# On the way between many


def with_boards(size: int, seed: int, loss: float = 0.0) -> Fleet:
    fleet = Fleet(size, seed)
    fleet.loss = loss
    for p in fleet.members.values():
        p.state.gossip_store = GossipStore(p.view.name)
    fleet.until_agreed(60 * SECOND)
    return fleet


def reached(fleet: Fleet, kind: RecordKind) -> Iterator[int]:
    """How many know it, each quarter of a second."""
    for _ in range(80):
        fleet.run(SECOND // 4)
        yield sum(
            bool(p.state.gossip_store and p.state.gossip_store.from_others(fleet.now, kind))
            for p in fleet.members.values()
        )


@pytest.mark.parametrize(("size", "loss"), [(2, 0.0), (8, 0.0), (8, 0.2), (60, 0.0)])
def test_what_one_sees_all_know_soon(size: int, loss: float) -> None:
    """Well within the time after which it is acted on (`told_s`: 2 log2 of the size, in periods)."""
    fleet = with_boards(size, 1, loss)
    fleet.members[0].announce(fleet.now, RecordKind.HOLDING, "s", urgent=True)
    fleet.post(0)
    assert size - 1 in list(reached(fleet, RecordKind.HOLDING))[: 8 if loss else 6]
    assert all(p.state.gossip_store and len(p.state.gossip_store.records) == 1 for p in fleet.members.values())


def test_one_that_starts_asks_and_hears_and_one_that_asks_itself_does_not_answer() -> None:
    fleet = with_boards(6, 1)
    fleet.members[0].announce(fleet.now, RecordKind.DISABLED, "s")
    fleet.run(5 * SECOND)
    fleet.stop(0)
    fleet.start(0, life=1)  # its folder is lost: it counts from the first again
    p = fleet.members[0]
    p.state.gossip_store = GossipStore("n0")
    p.start_query(fleet.now, 5 * SECOND)
    fleet.arm(0)
    assert p.query.is_running
    fleet.run(4 * SECOND)
    assert not p.query.is_running
    assert len(p.query.answered) >= 3
    assert [f.subject for f in p.state.gossip_store.own_former(fleet.now, RecordKind.DISABLED)] == ["s"]
    for other in fleet.members.values():
        other.start_query(fleet.now, 2 * SECOND)
        other.query.answered.clear()
    fleet.run(SECOND)
    assert all(not other.query.answered and other.query.is_running for other in fleet.members.values())
    fleet.run(2 * SECOND)
    assert not any(other.query.is_running for other in fleet.members.values()), "bounded, whatever the others do"


def test_a_cut_keeps_facts_on_their_side_and_they_are_bounded_in_any_schedule() -> None:
    chance = random.Random(3)
    fleet = with_boards(8, 3)
    fleet.split({0, 1, 2}, {3, 4, 5, 6, 7})
    fleet.members[0].announce(fleet.now, RecordKind.EJECTED, "s", urgent=True)
    fleet.post(0)
    fleet.run(3 * SECOND)
    known = {n for n, p in fleet.members.items() if p.state.gossip_store and p.state.gossip_store.records}
    assert known == {0, 1, 2}
    fleet.heal()
    for _ in range(60):
        p = fleet.members[chance.randrange(8)]
        p.announce(fleet.now, chance.choice(list(RecordKind)), f"s{chance.randrange(4)}", SECOND)
        fleet.run(chance.randrange(SECOND))
    for p in fleet.members.values():
        assert p.state.gossip_store is not None
        assert len(p.state.gossip_store.records) <= 8 * 4 * 4
        assert all(n <= MAX_RECORDS_PER_OBSERVER for n in p.state.gossip_store.record_counts.values())
