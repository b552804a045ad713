"""Tests gossip records: they age and expire, only their observer renews them, and their number is bounded."""

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


def next_rows(store: GossipStore, now: int) -> list[GossipRow]:
    return store.next_rows(now, GOSSIP_BYTES, 10)


def test_a_record_never_grows_younger_when_it_is_passed_on() -> None:
    a, b, c = GossipStore("a", 1), GossipStore("b", 1), GossipStore("c", 1)
    a.add_own(0, RecordKind.EJECTED, "s", 2 * SECOND)
    b.merge(5 * SECOND, next_rows(a, 3 * SECOND))  # the datagram took 2 s, which the receiver cannot know
    c.merge(SECOND, next_rows(b, 9 * SECOND))  # by another clock; the record is at least 7 s old
    record = c.from_others(SECOND, RecordKind.EJECTED)[0]
    assert (record.observer, record.observed_at_us, record.value_us) == ("a", SECOND - 7 * SECOND, 2 * SECOND)
    c.merge(2 * SECOND, next_rows(a, 3 * SECOND))  # an earlier copy with a lower age
    assert c.from_others(2 * SECOND, RecordKind.EJECTED)[0].observed_at_us == record.observed_at_us
    c.merge(2 * SECOND, [GossipRow("out", "s", "a", 1, 1, 11_000)])
    assert c.from_others(2 * SECOND, RecordKind.EJECTED)[0].observed_at_us == 2 * SECOND - 11 * SECOND


@pytest.mark.parametrize("kind", list(RecordKind))
def test_the_maximum_age_of_each_kind_holds_and_repetition_by_others_does_not_renew_a_record(kind: RecordKind) -> None:
    stores = [GossipStore(name, 1) for name in "abcd"]
    value = 60 * SECOND if kind is RecordKind.RETRY_AFTER else 0
    stores[0].add_own(0, kind, "s", value)
    for now in range(0, MAX_AGES_US[kind] + 1, max(1, MAX_AGES_US[kind] // 50)):
        for sender in stores:
            for receiver in stores:
                receiver.merge(now, [row for part in sender.all_rows(now, "", GOSSIP_BYTES, 9) for row in part])
        assert [record.observer for record in stores[3].from_others(now, kind)] == ["a"]
    late = MAX_AGES_US[kind] + SECOND
    for store in stores:
        assert not store.from_others(late, kind)
        assert not store.all_rows(late, "", GOSSIP_BYTES, 9)[0]
        assert not next_rows(store, late)
        store.drop_expired(late)
        assert not store.records
        assert not store.record_counts
        assert not store.queue


def test_a_retry_after_expires_with_its_wait_and_records_that_are_too_old_are_rejected() -> None:
    a, b = GossipStore("a", 1), GossipStore("b", 1)
    a.add_own(0, RecordKind.RETRY_AFTER, "7", SECOND)
    rows = next_rows(a, 0)
    b.merge(0, rows)
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
    ("first", "second", "expected"),
    [
        ((1, 5, "out"), (1, 6, "back"), "back"),
        ((1, 6, "back"), (1, 5, "out"), "back"),
        ((1, 9, "out"), (2, 1, "back"), "back"),
        ((2, 1, "out"), (1, 9, "back"), "out"),
        ((1, 1, "ban"), (1, 2, "used"), "used"),
        ((1, 2, "holds"), (1, 3, "free"), "free"),
    ],
)
def test_the_newest_record_of_an_observer_wins(
    first: tuple[int, int, str], second: tuple[int, int, str], expected: str
) -> None:
    store = GossipStore("me", 1)
    for start_number, number, kind in (first, second):
        store.merge(0, [GossipRow(kind, "s", "a", start_number, number)])
    assert [record.kind.value for record in store.records.values()] == [expected]


def test_an_observer_with_too_many_records_is_bounded_and_leaves_room_for_others() -> None:
    store = GossipStore("me", 1)
    store.merge(0, [GossipRow("out", f"s{n}", "loud", 1, n) for n in range(3 * MAX_RECORDS_PER_OBSERVER)])
    store.merge(0, [GossipRow("out", "s", f"n{n}", 1, 1) for n in range(50)])
    assert len(store.from_others(0, RecordKind.EJECTED)) == MAX_RECORDS_PER_OBSERVER + 50
    assert store.counts["no room"] == 2 * MAX_RECORDS_PER_OBSERVER
    store.merge(0, [GossipRow("out", f"s{k}", f"m{n}", 1, k) for n in range(MAX_RECORDS) for k in range(2)])
    assert len(store.records) == MAX_RECORDS


@pytest.mark.parametrize("start_number", [1, 2])
def test_other_members_return_the_records_of_a_forwarder_that_lost_its_folder(start_number: int) -> None:
    """This must also work if the new process counts its starts from 1 again."""
    old, friend = GossipStore("me", start_number), GossipStore("f", 1)
    old.add_own(0, RecordKind.DISABLED, "s1", SECOND)
    old.add_own(0, RecordKind.DISABLED, "s2")
    old.add_own(0, RecordKind.ENABLED, "s2")
    friend.merge(0, next_rows(old, 0))
    new = GossipStore("me", 1)
    new.merge(MINUTE, [row for part in friend.all_rows(MINUTE, "me", GOSSIP_BYTES, 9) for row in part])
    assert [
        (record.subject, record.observed_at_us, record.value_us)
        for record in new.own_former(MINUTE, RecordKind.DISABLED)
    ] == [("s1", 0, SECOND)]
    new.add_own(MINUTE, RecordKind.ENABLED, "s1")
    assert not new.own_former(MINUTE, RecordKind.DISABLED)
    assert not new.from_others(MINUTE, RecordKind.DISABLED)


def test_the_answer_to_a_query_begins_with_own_records_and_disabled_endpoints_and_is_bounded() -> None:
    store = GossipStore("me", 1)
    for n in range(MAX_RECORDS):
        store.merge(0, [GossipRow("out", f"s{n}", f"n{n}", 1, 1)])
    store.records.clear()
    store.merge(
        0,
        [GossipRow("out", f"endpoint-{n}", f"forwarder-{n % 70}", 1, n) for n in range(1500)]
        + [GossipRow("ban", "s1", "x", 1, 1), GossipRow("ban", "s2", "asker", 1, 1)],
    )
    parts = store.all_rows(0, "asker", GOSSIP_BYTES, MAX_QUERY_DATAGRAMS)
    assert [row.subject for row in parts[0][:2]] == ["s2", "s1"]
    assert len(parts) == MAX_QUERY_DATAGRAMS
    codec = Codec("c", [KEY])
    for part in parts:
        assert len(codec.seal(Datagram("facts", "me" * 20, 1, "i" * 8, records=part))) <= MAX_DATAGRAM_BYTES


def test_the_rendezvous_order_of_a_subject_is_the_same_everywhere_and_stable() -> None:
    names = [f"n{n}" for n in range(30)]
    first_counts = {}
    for subject in [f"s{n}" for n in range(200)]:
        order = rendezvous_order(subject, names)
        assert order == rendezvous_order(subject, reversed(names))
        assert rendezvous_order(subject, set(names) - {"n7"}) == [name for name in order if name != "n7"]
        first_counts[order[0]] = first_counts.get(order[0], 0) + 1
    assert max(first_counts.values()) < 20
    assert len(first_counts) > 25


gossip_rows = st.builds(
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
@given(st.lists(st.tuples(st.integers(0, 30), st.lists(gossip_rows, max_size=6)), max_size=12))
def test_whatever_comes_the_board_stays_sound(steps: list[tuple[int, list[GossipRow]]]) -> None:
    store, now = GossipStore("me", 1), MINUTE
    for elapsed_s, received in steps:
        now += elapsed_s * SECOND
        store.merge(now, received)
        for record in store.from_others(now, *RecordKind):
            assert record.observer != "me"
            assert 0 <= now - record.observed_at_us <= MAX_AGES_US[record.kind]
        store.drop_expired(now)
        assert set(store.queue) <= set(store.records)
        assert sum(store.record_counts.values()) == len(store.records) <= 6 * 4


# Gossip in a simulated fleet


def fleet_with_stores(size: int, seed: int, loss: float = 0.0) -> Fleet:
    fleet = Fleet(size, seed)
    fleet.loss = loss
    for protocol in fleet.members.values():
        protocol.state.gossip_store = GossipStore(protocol.view.name)
    fleet.until_agreed(60 * SECOND)
    return fleet


def informed_counts(fleet: Fleet, kind: RecordKind) -> Iterator[int]:
    """Yields, every quarter of a second, the number of members that have a record of this kind from another member."""
    for _ in range(80):
        fleet.run(SECOND // 4)
        yield sum(
            bool(protocol.state.gossip_store and protocol.state.gossip_store.from_others(fleet.now, kind))
            for protocol in fleet.members.values()
        )


@pytest.mark.parametrize(("size", "loss"), [(2, 0.0), (8, 0.0), (8, 0.2), (60, 0.0)])
def test_all_members_soon_receive_a_record(size: int, loss: float) -> None:
    """Records arrive well within the time after which they take effect (`told_s`: 2 log2 of the size, in periods)."""
    fleet = fleet_with_stores(size, 1, loss)
    fleet.members[0].announce(fleet.now, RecordKind.HOLDING, "s", urgent=True)
    fleet.send_outbox(0)
    assert size - 1 in list(informed_counts(fleet, RecordKind.HOLDING))[: 8 if loss else 6]
    assert all(
        protocol.state.gossip_store and len(protocol.state.gossip_store.records) == 1
        for protocol in fleet.members.values()
    )


def test_a_starting_member_queries_the_others_and_a_querying_member_does_not_answer() -> None:
    fleet = fleet_with_stores(6, 1)
    fleet.members[0].announce(fleet.now, RecordKind.DISABLED, "s")
    fleet.run(5 * SECOND)
    fleet.stop(0)
    fleet.start(0, start_number=1)  # its state folder is lost: it counts its starts from 1 again
    protocol = fleet.members[0]
    protocol.state.gossip_store = GossipStore("n0")
    protocol.start_query(fleet.now, 5 * SECOND)
    fleet.schedule_tick(0)
    assert protocol.query.is_running
    fleet.run(4 * SECOND)
    assert not protocol.query.is_running
    assert len(protocol.query.answered) >= 3
    assert [record.subject for record in protocol.state.gossip_store.own_former(fleet.now, RecordKind.DISABLED)] == [
        "s"
    ]
    for other in fleet.members.values():
        other.start_query(fleet.now, 2 * SECOND)
        other.query.answered.clear()
    fleet.run(SECOND)
    assert all(not other.query.answered and other.query.is_running for other in fleet.members.values())
    fleet.run(2 * SECOND)
    assert not any(other.query.is_running for other in fleet.members.values()), (
        "a query must end even if no member answers"
    )


def test_a_partition_confines_records_and_their_number_is_bounded_in_any_schedule() -> None:
    rng = random.Random(3)
    fleet = fleet_with_stores(8, 3)
    fleet.split({0, 1, 2}, {3, 4, 5, 6, 7})
    fleet.members[0].announce(fleet.now, RecordKind.EJECTED, "s", urgent=True)
    fleet.send_outbox(0)
    fleet.run(3 * SECOND)
    known = {
        n
        for n, protocol in fleet.members.items()
        if protocol.state.gossip_store and protocol.state.gossip_store.records
    }
    assert known == {0, 1, 2}
    fleet.heal()
    for _ in range(60):
        protocol = fleet.members[rng.randrange(8)]
        protocol.announce(fleet.now, rng.choice(list(RecordKind)), f"s{rng.randrange(4)}", SECOND)
        fleet.run(rng.randrange(SECOND))
    for protocol in fleet.members.values():
        assert protocol.state.gossip_store is not None
        assert len(protocol.state.gossip_store.records) <= 8 * 4 * 4
        assert all(n <= MAX_RECORDS_PER_OBSERVER for n in protocol.state.gossip_store.record_counts.values())
