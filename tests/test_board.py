"""Facts that forwarders pass on: they age, only who saw them says them again, and what one may say is bounded."""

from __future__ import annotations

import random
from collections.abc import Iterator

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from forwarder.membership.codec import MOST_BYTES, Body, Codec
from forwarder.membership.gossip_store import AGES, MOST_FACTS, MOST_OF_ONE, GossipStore, Item, RecordKind, rendezvous
from forwarder.membership.protocol import MOST_ANSWERS, ROOM, SECOND
from tests.members_sim import KEY, Fleet

MINUTE = 60 * SECOND


def passed_on(board: GossipStore, now: int) -> list[Item]:
    return board.gossip(now, ROOM, 10)


def test_a_fact_never_grows_younger_on_its_way() -> None:
    a, b, c = GossipStore("a", 1), GossipStore("b", 1), GossipStore("c", 1)
    a.say(0, RecordKind.OUTAGE, "s", 2 * SECOND)
    b.take(5 * SECOND, passed_on(a, 3 * SECOND))  # it took 2 s, which nobody can tell
    c.take(SECOND, passed_on(b, 9 * SECOND))  # by another clock; it is 7 s old at least
    fact = c.told(SECOND, RecordKind.OUTAGE)[0]
    assert (fact.seer, fact.born, fact.value) == ("a", SECOND - 7 * SECOND, 2 * SECOND)
    c.take(2 * SECOND, passed_on(a, 3 * SECOND))  # an older copy of the same says that it is younger
    assert c.told(2 * SECOND, RecordKind.OUTAGE)[0].born == fact.born
    c.take(2 * SECOND, [Item("out", "s", "a", 1, 1, 11_000)])
    assert c.told(2 * SECOND, RecordKind.OUTAGE)[0].born == 2 * SECOND - 11 * SECOND


@pytest.mark.parametrize("kind", list(RecordKind))
def test_each_greatest_age_holds_and_repetition_by_others_does_not_renew_it(kind: RecordKind) -> None:
    boards = [GossipStore(name, 1) for name in "abcd"]
    value = 60 * SECOND if kind is RecordKind.WAIT else 0
    boards[0].say(0, kind, "s", value)
    for now in range(0, AGES[kind] + 1, max(1, AGES[kind] // 50)):
        for one in boards:
            for other in boards:
                other.take(now, [item for row in one.all(now, "", ROOM, 9) for item in row])
        assert [f.seer for f in boards[3].told(now, kind)] == ["a"]
    late = AGES[kind] + SECOND
    for board in boards:
        assert not board.told(late, kind)
        assert not board.all(late, "", ROOM, 9)[0]
        assert not passed_on(board, late)
        board.drop(late)
        assert not board.facts
        assert not board.of
        assert not board.queue


def test_a_wait_ends_with_itself_and_what_is_too_old_is_not_taken() -> None:
    a, b = GossipStore("a", 1), GossipStore("b", 1)
    a.say(0, RecordKind.WAIT, "7", SECOND)
    items = passed_on(a, 0)
    b.take(0, items)
    assert b.told(SECOND, RecordKind.WAIT)
    assert not b.told(SECOND + 1, RecordKind.WAIT)
    b.take(0, [Item("out", "s", "c", 1, 1, AGES[RecordKind.OUTAGE] // 1000 + 1), Item("later kind", "s", "c", 1, 2)])
    assert b.counts == {"too old": 1}
    assert len(b.facts) == 1


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
        board.take(0, [Item(kind, "s", "a", life, number)])
    assert [f.kind.value for f in board.facts.values()] == [stands]


def test_one_that_says_too_much_is_bounded_and_takes_no_room_from_others() -> None:
    board = GossipStore("me", 1)
    board.take(0, [Item("out", f"s{n}", "loud", 1, n) for n in range(3 * MOST_OF_ONE)])
    board.take(0, [Item("out", "s", f"n{n}", 1, 1) for n in range(50)])
    assert len(board.told(0, RecordKind.OUTAGE)) == MOST_OF_ONE + 50
    assert board.counts["no room"] == 2 * MOST_OF_ONE
    board.take(0, [Item("out", f"s{k}", f"m{n}", 1, k) for n in range(MOST_FACTS) for k in range(2)])
    assert len(board.facts) == MOST_FACTS


@pytest.mark.parametrize("life", [1, 2])
def test_others_remember_what_a_lost_folder_had_said(life: int) -> None:
    """Also where the new process counts its lives from the first again."""
    old, friend = GossipStore("me", life), GossipStore("f", 1)
    old.say(0, RecordKind.BAN, "s1", SECOND)
    old.say(0, RecordKind.BAN, "s2")
    old.say(0, RecordKind.USED, "s2")
    friend.take(0, passed_on(old, 0))
    new = GossipStore("me", 1)
    new.take(MINUTE, [item for row in friend.all(MINUTE, "me", ROOM, 9) for item in row])
    assert [(f.subject, f.born, f.value) for f in new.remembered(MINUTE, RecordKind.BAN)] == [("s1", 0, SECOND)]
    new.say(MINUTE, RecordKind.USED, "s1")
    assert not new.remembered(MINUTE, RecordKind.BAN)
    assert not new.told(MINUTE, RecordKind.BAN)


def test_who_asks_hears_its_own_and_bans_first_and_no_more_than_is_allowed() -> None:
    board = GossipStore("me", 1)
    for n in range(MOST_FACTS):
        board.take(0, [Item("out", f"s{n}", f"n{n}", 1, 1)])
    board.facts.clear()
    board.take(
        0,
        [Item("out", f"endpoint-{n}", f"forwarder-{n % 70}", 1, n) for n in range(1500)]
        + [Item("ban", "s1", "x", 1, 1), Item("ban", "s2", "asker", 1, 1)],
    )
    parts = board.all(0, "asker", ROOM, MOST_ANSWERS)
    assert [i.subject for i in parts[0][:2]] == ["s2", "s1"]
    assert len(parts) == MOST_ANSWERS
    codec = Codec("c", [KEY])
    for part in parts:
        assert len(codec.seal(Body("facts", "me" * 20, 1, "i" * 8, facts=part))) <= MOST_BYTES


def test_the_order_for_a_subject_is_the_same_everywhere_and_moves_little() -> None:
    names = [f"n{n}" for n in range(30)]
    firsts = {}
    for subject in [f"s{n}" for n in range(200)]:
        order = rendezvous(subject, names)
        assert order == rendezvous(subject, reversed(names))
        assert rendezvous(subject, set(names) - {"n7"}) == [name for name in order if name != "n7"]
        firsts[order[0]] = firsts.get(order[0], 0) + 1
    assert max(firsts.values()) < 20
    assert len(firsts) > 25


items = st.builds(
    Item,
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
def test_whatever_comes_the_board_stays_sound(rows: list[tuple[int, list[Item]]]) -> None:
    board, now = GossipStore("me", 1), MINUTE
    for passed, told in rows:
        now += passed * SECOND
        board.take(now, told)
        for fact in board.told(now, *RecordKind):
            assert fact.seer != "me"
            assert 0 <= now - fact.born <= AGES[fact.kind]
        board.drop(now)
        assert set(board.queue) <= set(board.facts)
        assert sum(board.of.values()) == len(board.facts) <= 6 * 4


# On the way between many


def with_boards(size: int, seed: int, loss: float = 0.0) -> Fleet:
    fleet = Fleet(size, seed)
    fleet.loss = loss
    for p in fleet.members.values():
        p.board = GossipStore(p.view.me)
    fleet.until_agreed(60 * SECOND)
    return fleet


def reached(fleet: Fleet, kind: RecordKind) -> Iterator[int]:
    """How many know it, each quarter of a second."""
    for _ in range(80):
        fleet.run(SECOND // 4)
        yield sum(bool(p.board and p.board.told(fleet.now, kind)) for p in fleet.members.values())


@pytest.mark.parametrize(("size", "loss"), [(2, 0.0), (8, 0.0), (8, 0.2), (60, 0.0)])
def test_what_one_sees_all_know_soon(size: int, loss: float) -> None:
    """Well within the time after which it is acted on (`told_s`: 2 log2 of the size, in periods)."""
    fleet = with_boards(size, 1, loss)
    fleet.members[0].say(fleet.now, RecordKind.HOLDS, "s", urgent=True)
    fleet.post(0)
    assert size - 1 in list(reached(fleet, RecordKind.HOLDS))[: 8 if loss else 6]
    assert all(p.board and len(p.board.facts) == 1 for p in fleet.members.values())


def test_one_that_starts_asks_and_hears_and_one_that_asks_itself_does_not_answer() -> None:
    fleet = with_boards(6, 1)
    fleet.members[0].say(fleet.now, RecordKind.BAN, "s")
    fleet.run(5 * SECOND)
    fleet.stop(0)
    fleet.start(0, life=1)  # its folder is lost: it counts from the first again
    p = fleet.members[0]
    p.board = GossipStore("n0")
    p.ask(fleet.now, 5 * SECOND)
    fleet.arm(0)
    assert p.asking
    fleet.run(4 * SECOND)
    assert not p.asking
    assert len(p.answers) >= 3
    assert [f.subject for f in p.board.remembered(fleet.now, RecordKind.BAN)] == ["s"]
    for other in fleet.members.values():
        other.ask(fleet.now, 2 * SECOND)
        other.answers.clear()
    fleet.run(SECOND)
    assert all(not other.answers and other.asking for other in fleet.members.values())
    fleet.run(2 * SECOND)
    assert not any(other.asking for other in fleet.members.values()), "bounded, whatever the others do"


def test_a_cut_keeps_facts_on_their_side_and_they_are_bounded_in_any_schedule() -> None:
    chance = random.Random(3)
    fleet = with_boards(8, 3)
    fleet.split({0, 1, 2}, {3, 4, 5, 6, 7})
    fleet.members[0].say(fleet.now, RecordKind.OUTAGE, "s", urgent=True)
    fleet.post(0)
    fleet.run(3 * SECOND)
    known = {n for n, p in fleet.members.items() if p.board and p.board.facts}
    assert known == {0, 1, 2}
    fleet.heal()
    for _ in range(60):
        p = fleet.members[chance.randrange(8)]
        p.say(fleet.now, chance.choice(list(RecordKind)), f"s{chance.randrange(4)}", SECOND)
        fleet.run(chance.randrange(SECOND))
    for p in fleet.members.values():
        assert p.board is not None
        assert len(p.board.facts) <= 8 * 4 * 4
        assert all(n <= MOST_OF_ONE for n in p.board.of.values())
