"""Membership: the protocol in a seeded simulation, small fleets searched whole, and datagrams that none should send."""

from __future__ import annotations

import contextlib
import copy
import os
import random
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from forwarder.membership.codec import (
    MAX_DATAGRAM_BYTES,
    Codec,
    Datagram,
    DatagramRejectedError,
    FormerIncarnationError,
    MemberRow,
)
from forwarder.membership.protocol import MembershipProtocol
from forwarder.membership.timing import Timing
from forwarder.membership.view import (
    FORGET_AFTER_US,
    INCARNATIONS_PER_START,
    MemberPhase,
    MemberRecord,
    MembershipView,
    MemberState,
    Source,
)
from forwarder.units import SECOND_US as SECOND
from tests.membership.simulation import KEY, Fleet

SCHEDULES = int(os.environ.get("MEMBERS_SCHEDULES", "60"))
"""How many random schedules are played; 10,000 by hand."""


# Which news goes before which


def news(state: MemberState, incarnation: int = INCARNATIONS_PER_START, **more: object) -> MemberRecord:
    return MemberRecord("a", ("h", 1), incarnation, state, **more)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("old", "new", "over"),
    [
        (news(MemberState.ALIVE), news(MemberState.SUSPECT), True),
        (news(MemberState.SUSPECT), news(MemberState.ALIVE), False),
        (news(MemberState.SUSPECT), news(MemberState.ALIVE, INCARNATIONS_PER_START + 1), True),
        (news(MemberState.FAILED), news(MemberState.ALIVE), False),
        (news(MemberState.FAILED), news(MemberState.ALIVE, INCARNATIONS_PER_START + 1), True),
        (news(MemberState.ALIVE, INCARNATIONS_PER_START + 1), news(MemberState.FAILED), False),
        (news(MemberState.LEFT), news(MemberState.ALIVE), False),
        (news(MemberState.LEFT), news(MemberState.FAILED), False),
        (news(MemberState.LEFT), news(MemberState.ALIVE, 2 * INCARNATIONS_PER_START), True),
        (news(MemberState.ALIVE, INCARNATIONS_PER_START + 3), news(MemberState.LEFT), True),
        (
            news(MemberState.ALIVE, 2 * INCARNATIONS_PER_START),
            news(MemberState.LEFT, INCARNATIONS_PER_START + 9),
            False,
        ),
        (news(MemberState.ALIVE), news(MemberState.ALIVE, phase=MemberPhase.LEAVING), True),
    ],
)
def test_of_two_news_one_goes_first(old: MemberRecord, new: MemberRecord, over: bool) -> None:
    view = MembershipView("me")
    view.apply(old, Source.GOSSIP, 5)
    number = view.version
    assert view.apply(new, Source.GOSSIP, 9) is over
    assert view.members["a"].record == (new if over else old)
    assert view.version == number + over


def test_what_is_long_gone_is_forgotten_and_until_then_old_news_does_not_bring_it_back() -> None:
    view = MembershipView("me")
    view.apply(news(MemberState.LEFT), Source.GOSSIP, 0)
    view.forget_expired(FORGET_AFTER_US)
    assert not view.apply(news(MemberState.ALIVE), Source.GOSSIP, FORGET_AFTER_US)
    view.forget_expired(FORGET_AFTER_US + 1)
    assert not view.members


# The simulation


def settled(size: int, seed: int = 1, **more: object) -> Fleet:
    fleet = Fleet(size, seed, **more)  # type: ignore[arg-type]
    fleet.until_agreed(60 * SECOND)
    return fleet


@pytest.mark.parametrize("size", [2, 3, 8, 40])
def test_a_death_is_known_to_all_and_a_return_too(size: int) -> None:
    fleet = settled(size)
    fleet.run(3 * SECOND)
    fleet.stop(size - 1)
    assert fleet.until_agreed(12 * SECOND) > 0
    assert not fleet.false_failures
    fleet.start(size - 1)
    assert fleet.until_agreed(8 * SECOND) > 0
    assert all(
        p.view.members[f"n{size - 1}"].record.incarnation // INCARNATIONS_PER_START == 2 for p in fleet.members.values()
    )


def test_most_die_at_once_and_all_seeds() -> None:
    size = 20
    fleet = settled(size)
    for n in range(14):
        fleet.stop(n)
    fleet.until_agreed(40 * SECOND)
    for n in range(14):
        fleet.start(n)
    fleet.until_agreed(30 * SECOND)
    assert not fleet.false_failures


def test_all_restart_at_once() -> None:
    fleet = settled(12)
    for n in range(12):
        fleet.start(n)
    fleet.until_agreed(10 * SECOND)


@pytest.mark.parametrize(
    ("loss", "delay", "nobody"),
    [
        (0.05, (200, 2000), True),
        (0.2, (200, 2000), True),
        (0.05, (200, 60_000), True),
        (0.0, (200, 140_000), True),
        (0.2, (200, 120_000), False),
        (0.5, (200, 120_000), False),
    ],
)
def test_bad_links_get_nobody_failed_for_good(loss: float, delay: tuple[int, int], nobody: bool) -> None:
    fleet = settled(12)
    fleet.false_failures.clear()
    fleet.loss, fleet.doubled, fleet.delay = loss, 0.2, delay
    fleet.run(30 * SECOND)
    assert not (nobody and fleet.false_failures)
    fleet.loss, fleet.delay = 0.0, (200, 2000)
    fleet.until_agreed(60 * SECOND)


@pytest.mark.parametrize("groups", [(6, 6), (1, 11), (4, 4, 4)])
@pytest.mark.parametrize("for_s", [1, 30, 600])
def test_the_parts_of_a_split_meet_again_without_a_restart(groups: tuple[int, ...], for_s: int) -> None:
    fleet = settled(12)
    numbers = iter(range(12))
    parts = [{next(numbers) for _ in range(size)} for size in groups]
    fleet.split(*parts)
    fleet.run(for_s * SECOND)
    if for_s > 1:
        for part in parts:
            for n in part:
                assert fleet.members[n].view.present() == sorted(f"n{m}" for m in part)
    fleet.heal()
    fleet.until_agreed(90 * SECOND)


def test_silence_one_way_is_found_and_healed() -> None:
    fleet = settled(8)
    fleet.cuts = {(0, n) for n in range(1, 8)}  # it hears all, and nobody hears it
    fleet.run(20 * SECOND)
    assert all("n0" not in fleet.members[n].view.present() for n in range(1, 8))
    fleet.heal()
    fleet.until_agreed(60 * SECOND)


def test_two_that_hear_each_other_only_through_a_third_stay() -> None:
    fleet = settled(3)
    fleet.cuts = {(0, 1), (1, 0)}
    fleet.run(60 * SECOND)
    assert not fleet.false_failures
    assert fleet.agree()


@pytest.mark.parametrize("for_s", [1, 5, 20])
def test_one_that_stood_still_gets_nobody_failed_and_believes_no_old_view(for_s: int) -> None:
    fleet = settled(12)
    fleet.run(5 * SECOND)
    fleet.pause(3, for_s * SECOND)
    fleet.run(for_s * SECOND - SECOND // 4)
    fleet.run(SECOND // 2)
    fleet.until_agreed(30 * SECOND)
    assert not fleet.false_failures
    if for_s > 2:
        assert fleet.members[3].state.counts["stalls"] >= 1


def test_a_slow_part_of_a_fleet_gets_no_healthy_one_failed() -> None:
    """A tenth stops for 1 to 5 s again and again."""
    fleet = settled(20)
    for _ in range(12):
        fleet.pause(0, fleet.random.randrange(1, 5) * SECOND)
        fleet.pause(1, fleet.random.randrange(1, 5) * SECOND)
        fleet.run(6 * SECOND)
    assert [m for _, _, m in fleet.false_failures if m > 1] == []


def test_a_name_comes_back_with_a_new_address() -> None:
    fleet = settled(6)
    fleet.stop(5)
    p = MembershipProtocol("n5", fleet.where(6), 2, "ffffffff", fleet.timing, 9, fleet.now, fleet.first)
    fleet.add(6, p)
    fleet.run(10 * SECOND)
    assert all(q.view.members["n5"].record.address == fleet.where(6) for q in fleet.members.values())
    assert p.view.present() == [f"n{n}" for n in range(6)]


@pytest.mark.parametrize("lives", [(1, 2), (2, 1), (1, 1), (1, 9)])
@pytest.mark.parametrize("stays", [0, 1])
def test_of_two_that_claim_one_name_the_greater_id_stays(lives: tuple[int, int], stays: int) -> None:
    fleet = settled(5)
    rivals = []
    for k, n in enumerate((5, 6)):
        rivals.append(
            MembershipProtocol(
                "n9", fleet.where(n), lives[k], f"{k == stays:x}" * 8, fleet.timing, n, fleet.now, fleet.first
            )
        )
        fleet.add(n, rivals[k])
        fleet.run(2 * SECOND)
    fleet.run(40 * SECOND)
    assert [p.own_member.has_yielded for p in rivals] == [stays == 1, stays == 0]
    assert rivals[1 - stays].own_member.rival_id, "the one that gives way knows why"
    assert rivals[1 - stays].own_member.has_yielded
    assert all(fleet.members[n].view.members["n9"].record.address == fleet.where(5 + stays) for n in range(5))


def test_a_lost_folder_hears_of_its_former_life() -> None:
    fleet = settled(5, sealed=True)
    for _ in range(3):
        fleet.start(2)
        fleet.run(3 * SECOND)
    fleet.start(2, life=1)  # its folder, and with it the count, is gone
    fleet.until_agreed(30 * SECOND)
    assert fleet.members[2].own_member.former_start_number == 4
    assert fleet.members[2].state.start_number == 5


def test_leaving_is_told_at_once_and_is_no_failure() -> None:
    fleet = settled(10)
    fleet.members[4].leave(fleet.now)
    fleet.post(4)
    fleet.stop(4)
    fleet.run(SECOND)
    assert all(p.view.members["n4"].record.state is MemberState.LEFT for p in fleet.members.values())
    fleet.run(20 * SECOND)
    assert 4 not in fleet.detection_times_us


def test_flapping_leaves_no_trace_on_the_others() -> None:
    fleet = settled(8)
    for _ in range(8):
        fleet.stop(7)
        fleet.run(2 * SECOND)
        fleet.start(7)
        fleet.run(2 * SECOND)
    fleet.until_agreed(30 * SECOND)
    assert not fleet.false_failures


def test_a_thousand_joins_in_a_second_are_bounded() -> None:
    p = MembershipProtocol("me", ("h", 1), 1, "x", Timing(), 1, 0, ())
    for n in range(1000):
        p.receive(
            n * 1000,
            (f"h{n}", 1),
            Datagram(
                "ping", f"n{n}", 1, "i", 0, n, members=[MemberRow(f"n{n}", f"h{n}", 1, INCARNATIONS_PER_START, 1)]
            ),
        )
        sizes = [sum(len(r.name) for r in body.members) for _, body in p.state.outbox]
        assert max(sizes) < MAX_DATAGRAM_BYTES
        p.state.outbox.clear()
    assert len(p.view.present()) == 1001
    assert len(p.dissemination.queue) <= 2000


def scheduled(seed: int) -> Fleet:
    """One random schedule of all that may befall a fleet, and quiet after it."""
    chance = random.Random(seed)
    size = chance.choice([2, 3, 4, 5, 7, 9])
    fleet = Fleet(size, seed, sealed=chance.random() < 0.3)
    for _ in range(chance.randrange(3, 9)):
        n = chance.randrange(size)
        what = chance.choice(["loss", "cut", "stop", "start", "pause", "heal", "way", "delay"])
        if what == "loss":
            fleet.loss = chance.choice([0.0, 0.1, 0.4])
        elif what == "delay":
            fleet.delay = chance.choice([(200, 2000), (200, 400_000)])
        elif what == "cut":
            fleet.split({m for m in range(size) if chance.random() < 0.5})
        elif what == "way":
            fleet.cuts = {(n, m) for m in range(size) if m != n}
        elif what == "heal":
            fleet.heal()
        elif what == "pause" and n in fleet.members and n not in fleet.stopped:
            fleet.pause(n, chance.randrange(20) * SECOND // 2 + 1)
        elif what == "stop" and len(fleet.members) > 1:
            fleet.stop(n)
        elif n not in fleet.stopped:
            fleet.start(n)
        fleet.run(chance.randrange(1, 16) * SECOND // 2)
    for n in range(size):
        if n not in fleet.members:
            fleet.start(n)
    fleet.heal()
    fleet.loss, fleet.delay = 0.0, (200, 2000)
    fleet.run(10 * SECOND)
    fleet.until_agreed(90 * SECOND)
    return fleet


@pytest.mark.parametrize("block", range(6))
def test_after_any_schedule_and_quiet_all_views_are_equal(block: int) -> None:
    for seed in range(block * SCHEDULES // 6, (block + 1) * SCHEDULES // 6):
        fleet = scheduled(seed)
        assert len({p.view.digest() for p in fleet.members.values()}) == 1


# Searched whole: every order of a few steps, in the smallest fleets


STEPS: dict[str, Callable[[Fleet, int], object]] = {
    "stop": lambda f, n: f.stop(n) if n in f.members and len(f.members) > 1 else None,
    "start": lambda f, n: f.start(n),
    "alone": lambda f, n: f.split({n}),
    "heal": lambda f, n: f.heal(),
    "deaf": lambda f, n: setattr(f, "cuts", {(m, n) for m in f.lives if m != n}),
}


def search(fleet: Fleet, depth: int, path: tuple[str, ...] = ()) -> int:
    """Every order of steps, each on every member, down to a depth; after each, quiet and equal views."""
    after = copy.deepcopy(fleet)
    after.heal()
    for n in after.lives:
        if n not in after.members:
            after.start(n)
    after.run(5 * SECOND)
    after.until_agreed(60 * SECOND)
    assert all(
        p.state.own_record.state is MemberState.ALIVE and not p.own_member.has_yielded for p in after.members.values()
    ), path
    if not depth:
        return 1
    count = 1
    for name, step in STEPS.items():
        for n in list(fleet.lives):
            then = copy.deepcopy(fleet)
            step(then, n)
            then.run(7 * SECOND // 2)
            count += search(then, depth - 1, (*path, f"{name} {n}"))
    return count


@pytest.mark.parametrize(("size", "depth", "count"), [(2, 2, 111), (3, 1, 16)])
def test_the_smallest_fleets_searched_whole(size: int, depth: int, count: int) -> None:
    assert search(settled(size, seeds=size), depth) == count


# Datagrams


def codec(key: bytes = KEY, cluster: str = "c", *more: bytes) -> Codec:
    return Codec(cluster, [key, *more])


def ping(life: int = 1, number: int = 0, ident: str = "i") -> Datagram:
    return Datagram(
        "ping",
        "n1",
        life,
        ident,
        number,
        7,
        members=[MemberRow("n1", "h1", 1, INCARNATIONS_PER_START, 1, "i", 0, "0.1", "")],
    )


@pytest.mark.parametrize(
    ("spoil", "reason"),
    [
        (lambda d: d[:1] + bytes(16) + d[17:], "forged"),
        (lambda d: d[:-1] + bytes([d[-1] ^ 1]), "forged"),
        (lambda d: b"\x09" + d[1:], "other version"),
        (lambda d: d[:10], "other version"),
        (lambda d: b"", "other version"),
        (lambda d: d + bytes(MAX_DATAGRAM_BYTES), "too long"),
        (lambda d: codec(b"x" * 32).seal(ping()), "forged"),
        (lambda d: codec(KEY, "other").seal(ping()), "forged"),
    ],
)
def test_what_is_forged_garbled_or_of_another_cluster_is_dropped(spoil: Callable[[bytes], bytes], reason: str) -> None:
    with pytest.raises(DatagramRejectedError, match=reason):
        codec().open(spoil(codec().seal(ping())))


def test_replayed_datagrams_are_dropped_and_late_ones_are_not() -> None:
    sender, receiver = codec(), codec()
    sealed = [sender.seal(ping()) for _ in range(300)]
    order = [*range(0, 300, 2), *range(299, 100, -2)]
    for n in order:
        assert receiver.open(sealed[n]).request_number == 7
    for n in order:
        with pytest.raises(DatagramRejectedError, match="replayed"):
            receiver.open(sealed[n])
    with pytest.raises(DatagramRejectedError, match="replayed"):
        receiver.open(sealed[1])  # too old to tell
    assert receiver.open(codec().seal(ping(life=2))).start_number == 2
    with pytest.raises(FormerIncarnationError):
        receiver.open(sender.seal(ping()))


def test_two_keys_are_heard_while_one_is_changed() -> None:
    new = b"n" * 32
    assert codec(KEY, "c", new).open(codec(new).seal(ping())).sender == "n1"
    assert codec(new, "c", KEY).open(codec(KEY).seal(ping())).sender == "n1"
    with pytest.raises(DatagramRejectedError):
        codec(new).open(codec(KEY).seal(ping()))


def test_fields_and_kinds_of_a_later_version_are_passed_over() -> None:
    import msgspec

    told = msgspec.msgpack.decode(msgspec.msgpack.encode(ping())) | {"new": [1, 2], "k": "later", "c": 5}
    told["g"][0]["zz"], told["g"][0]["f"] = 1, 9
    c = codec()
    data = msgspec.msgpack.encode(told)
    body = codec().open(bytes([1]) + c._tag(KEY, data) + data)
    assert body.members[0].record().phase is MemberPhase.SERVING
    p = MembershipProtocol("me", ("h", 1), 1, "x", Timing(), 1, 0, ())
    p.receive(10, ("h1", 1), body)
    assert "n1" in p.view.present()
    assert not p.state.outbox


@profile(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=400), st.binary(max_size=300))
def test_no_datagram_whatever_it_holds_ends_in_a_traceback(junk: bytes, inside: bytes) -> None:
    c = codec()
    p = MembershipProtocol("me", ("h", 1), 1, "x", Timing(), 1, 0, ())
    for data in (junk, bytes([1]) + c._tag(KEY, inside) + inside):
        with contextlib.suppress(DatagramRejectedError):
            p.receive(5, ("h9", 1), c.open(data))


@profile(derandomize=True, max_examples=300, deadline=None)
@given(
    st.lists(
        st.builds(
            Datagram,
            st.sampled_from(["ping", "ack", "nack", "probe", "join", "full", "former", "what"]),
            st.sampled_from(["me", "n1", "n2"]),
            st.integers(0, 5),
            st.sampled_from(["", "x", "y"]),
            st.integers(0, 9),
            st.integers(0, 9),
            st.none()
            | st.builds(
                MemberRow,
                st.sampled_from(["me", "n1"]),
                st.just("h"),
                st.just(1),
                st.integers(0, 5 * INCARNATIONS_PER_START),
                st.integers(0, 4),
            ),
            st.lists(
                st.builds(
                    MemberRow,
                    st.sampled_from(["me", "n1", "n2", "n3"]),
                    st.just("h"),
                    st.just(1),
                    st.integers(0, 5 * INCARNATIONS_PER_START),
                    st.integers(0, 4),
                    st.sampled_from(["", "x", "z"]),
                ),
                max_size=5,
            ),
        ),
        max_size=30,
    )
)
def test_odd_but_sealed_bodies_leave_a_sound_protocol(bodies: list[Datagram]) -> None:
    p = MembershipProtocol("me", ("h", 1), 1, "x", Timing(), 1, 0, ())
    for n, body in enumerate(bodies):
        p.receive(n * 100_000, ("h9", 1), body)
        p.tick(n * 100_000 + 50_000)
        assert p.next_step_us() > 0
        assert p.state.own_record.state in (MemberState.JOINING, MemberState.ALIVE)
        assert all(name in p.view.members for name in (*p.dissemination.queue, *p.suspicions.suspicions))
        c = codec()
        assert all(len(c.seal(out)) <= MAX_DATAGRAM_BYTES for _, out in p.state.outbox)
        p.state.outbox.clear()
