"""Tests the membership protocol: in a seeded simulation, exhaustively in small fleets, and with invalid datagrams."""

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
"""Number of random schedules to simulate; 10,000 in manual runs."""


# Which of two records replaces the other


def member_record(state: MemberState, incarnation: int = INCARNATIONS_PER_START, **fields: object) -> MemberRecord:
    return MemberRecord("a", ("h", 1), incarnation, state, **fields)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("old", "new", "replaces"),
    [
        (member_record(MemberState.ALIVE), member_record(MemberState.SUSPECT), True),
        (member_record(MemberState.SUSPECT), member_record(MemberState.ALIVE), False),
        (member_record(MemberState.SUSPECT), member_record(MemberState.ALIVE, INCARNATIONS_PER_START + 1), True),
        (member_record(MemberState.FAILED), member_record(MemberState.ALIVE), False),
        (member_record(MemberState.FAILED), member_record(MemberState.ALIVE, INCARNATIONS_PER_START + 1), True),
        (member_record(MemberState.ALIVE, INCARNATIONS_PER_START + 1), member_record(MemberState.FAILED), False),
        (member_record(MemberState.LEFT), member_record(MemberState.ALIVE), False),
        (member_record(MemberState.LEFT), member_record(MemberState.FAILED), False),
        (member_record(MemberState.LEFT), member_record(MemberState.ALIVE, 2 * INCARNATIONS_PER_START), True),
        (member_record(MemberState.ALIVE, INCARNATIONS_PER_START + 3), member_record(MemberState.LEFT), True),
        (
            member_record(MemberState.ALIVE, 2 * INCARNATIONS_PER_START),
            member_record(MemberState.LEFT, INCARNATIONS_PER_START + 9),
            False,
        ),
        (member_record(MemberState.ALIVE), member_record(MemberState.ALIVE, phase=MemberPhase.LEAVING), True),
    ],
)
def test_one_of_two_records_replaces_the_other(old: MemberRecord, new: MemberRecord, replaces: bool) -> None:
    view = MembershipView("me")
    view.apply(old, Source.GOSSIP, 5)
    version = view.version
    assert view.apply(new, Source.GOSSIP, 9) is replaces
    assert view.members["a"].record == (new if replaces else old)
    assert view.version == version + replaces


def test_a_gone_member_is_remembered_for_a_time_so_that_old_records_do_not_restore_it() -> None:
    view = MembershipView("me")
    view.apply(member_record(MemberState.LEFT), Source.GOSSIP, 0)
    view.forget_expired(FORGET_AFTER_US)
    assert not view.apply(member_record(MemberState.ALIVE), Source.GOSSIP, FORGET_AFTER_US)
    view.forget_expired(FORGET_AFTER_US + 1)
    assert not view.members


# The simulation


def settled_fleet(size: int, seed: int = 1, **options: object) -> Fleet:
    fleet = Fleet(size, seed, **options)  # type: ignore[arg-type]
    fleet.until_agreed(60 * SECOND)
    return fleet


@pytest.mark.parametrize("size", [2, 3, 8, 40])
def test_all_members_learn_of_a_crash_and_of_a_restart(size: int) -> None:
    fleet = settled_fleet(size)
    fleet.run(3 * SECOND)
    fleet.stop(size - 1)
    assert fleet.until_agreed(12 * SECOND) > 0
    assert not fleet.false_failures
    fleet.start(size - 1)
    assert fleet.until_agreed(8 * SECOND) > 0
    assert all(
        protocol.view.members[f"n{size - 1}"].record.incarnation // INCARNATIONS_PER_START == 2
        for protocol in fleet.members.values()
    )


def test_most_members_and_all_seeds_crash_at_once() -> None:
    size = 20
    fleet = settled_fleet(size)
    for n in range(14):
        fleet.stop(n)
    fleet.until_agreed(40 * SECOND)
    for n in range(14):
        fleet.start(n)
    fleet.until_agreed(30 * SECOND)
    assert not fleet.false_failures


def test_all_members_restart_at_once() -> None:
    fleet = settled_fleet(12)
    for n in range(12):
        fleet.start(n)
    fleet.until_agreed(10 * SECOND)


@pytest.mark.parametrize(
    ("loss", "delay", "without_failures"),
    [
        (0.05, (200, 2000), True),
        (0.2, (200, 2000), True),
        (0.05, (200, 60_000), True),
        (0.0, (200, 140_000), True),
        (0.2, (200, 120_000), False),
        (0.5, (200, 120_000), False),
    ],
)
def test_bad_links_cause_no_lasting_failure(loss: float, delay: tuple[int, int], without_failures: bool) -> None:
    fleet = settled_fleet(12)
    fleet.false_failures.clear()
    fleet.loss, fleet.duplication, fleet.delay = loss, 0.2, delay
    fleet.run(30 * SECOND)
    assert not (without_failures and fleet.false_failures)
    fleet.loss, fleet.delay = 0.0, (200, 2000)
    fleet.until_agreed(60 * SECOND)


@pytest.mark.parametrize("groups", [(6, 6), (1, 11), (4, 4, 4)])
@pytest.mark.parametrize("duration_s", [1, 30, 600])
def test_the_parts_of_a_split_rejoin_without_a_restart(groups: tuple[int, ...], duration_s: int) -> None:
    fleet = settled_fleet(12)
    numbers = iter(range(12))
    parts = [{next(numbers) for _ in range(size)} for size in groups]
    fleet.split(*parts)
    fleet.run(duration_s * SECOND)
    if duration_s > 1:
        for part in parts:
            for n in part:
                assert fleet.members[n].view.present() == sorted(f"n{m}" for m in part)
    fleet.heal()
    fleet.until_agreed(90 * SECOND)


def test_a_member_that_can_only_receive_fails_and_returns_after_healing() -> None:
    fleet = settled_fleet(8)
    fleet.cuts = {(0, n) for n in range(1, 8)}  # it receives from all members, and none receives from it
    fleet.run(20 * SECOND)
    assert all("n0" not in fleet.members[n].view.present() for n in range(1, 8))
    fleet.heal()
    fleet.until_agreed(60 * SECOND)


def test_two_members_that_reach_each_other_only_through_a_third_stay_present() -> None:
    fleet = settled_fleet(3)
    fleet.cuts = {(0, 1), (1, 0)}
    fleet.run(60 * SECOND)
    assert not fleet.false_failures
    assert fleet.agree()


@pytest.mark.parametrize("duration_s", [1, 5, 20])
def test_a_stalled_member_declares_nobody_failed_from_its_stale_view(duration_s: int) -> None:
    fleet = settled_fleet(12)
    fleet.run(5 * SECOND)
    fleet.pause(3, duration_s * SECOND)
    fleet.run(duration_s * SECOND - SECOND // 4)
    fleet.run(SECOND // 2)
    fleet.until_agreed(30 * SECOND)
    assert not fleet.false_failures
    if duration_s > 2:
        assert fleet.members[3].state.counts["stalls"] >= 1


def test_a_slow_part_of_a_fleet_causes_no_failure_of_a_healthy_member() -> None:
    """Guards against false failures while a tenth of the members repeatedly pauses for 1 to 4 s."""
    fleet = settled_fleet(20)
    for _ in range(12):
        fleet.pause(0, fleet.random.randrange(1, 5) * SECOND)
        fleet.pause(1, fleet.random.randrange(1, 5) * SECOND)
        fleet.run(6 * SECOND)
    assert [m for _, _, m in fleet.false_failures if m > 1] == []


def test_a_member_restarts_at_a_new_address() -> None:
    fleet = settled_fleet(6)
    fleet.stop(5)
    protocol = MembershipProtocol(
        "n5", fleet.address_of(6), 2, "ffffffff", fleet.timing, 9, fleet.now, fleet.seed_addresses
    )
    fleet.add(6, protocol)
    fleet.run(10 * SECOND)
    assert all(q.view.members["n5"].record.address == fleet.address_of(6) for q in fleet.members.values())
    assert protocol.view.present() == [f"n{n}" for n in range(6)]


@pytest.mark.parametrize("start_numbers", [(1, 2), (2, 1), (1, 1), (1, 9)])
@pytest.mark.parametrize("stays", [0, 1])
def test_of_two_processes_with_one_name_the_greater_id_stays(start_numbers: tuple[int, int], stays: int) -> None:
    fleet = settled_fleet(5)
    rivals = []
    for index, n in enumerate((5, 6)):
        rivals.append(
            MembershipProtocol(
                "n9",
                fleet.address_of(n),
                start_numbers[index],
                f"{index == stays:x}" * 8,
                fleet.timing,
                n,
                fleet.now,
                fleet.seed_addresses,
            )
        )
        fleet.add(n, rivals[index])
        fleet.run(2 * SECOND)
    fleet.run(40 * SECOND)
    assert [protocol.own_member.has_yielded for protocol in rivals] == [stays == 1, stays == 0]
    assert rivals[1 - stays].own_member.rival_id, "the process that yields records the id of its rival"
    assert rivals[1 - stays].own_member.has_yielded
    assert all(fleet.members[n].view.members["n9"].record.address == fleet.address_of(5 + stays) for n in range(5))


def test_a_member_that_lost_its_folder_learns_of_its_former_start() -> None:
    fleet = settled_fleet(5, sealed=True)
    for _ in range(3):
        fleet.start(2)
        fleet.run(3 * SECOND)
    fleet.start(2, start_number=1)  # its state folder is lost, and with it the count of starts
    fleet.until_agreed(30 * SECOND)
    assert fleet.members[2].own_member.former_start_number == 4
    assert fleet.members[2].state.start_number == 5


def test_leaving_is_announced_at_once_and_is_no_failure() -> None:
    fleet = settled_fleet(10)
    fleet.members[4].leave(fleet.now)
    fleet.send_outbox(4)
    fleet.stop(4)
    fleet.run(SECOND)
    assert all(protocol.view.members["n4"].record.state is MemberState.LEFT for protocol in fleet.members.values())
    fleet.run(20 * SECOND)
    assert 4 not in fleet.detection_times_us


def test_a_flapping_member_causes_no_failure_of_others() -> None:
    fleet = settled_fleet(8)
    for _ in range(8):
        fleet.stop(7)
        fleet.run(2 * SECOND)
        fleet.start(7)
        fleet.run(2 * SECOND)
    fleet.until_agreed(30 * SECOND)
    assert not fleet.false_failures


def test_queue_and_datagrams_stay_bounded_with_a_thousand_joins_in_a_second() -> None:
    protocol = MembershipProtocol("me", ("h", 1), 1, "x", Timing(), 1, 0, ())
    for n in range(1000):
        protocol.receive(
            n * 1000,
            (f"h{n}", 1),
            Datagram(
                "ping", f"n{n}", 1, "i", 0, n, members=[MemberRow(f"n{n}", f"h{n}", 1, INCARNATIONS_PER_START, 1)]
            ),
        )
        sizes = [sum(len(r.name) for r in datagram.members) for _, datagram in protocol.state.outbox]
        assert max(sizes) < MAX_DATAGRAM_BYTES
        protocol.state.outbox.clear()
    assert len(protocol.view.present()) == 1001
    assert len(protocol.dissemination.queue) <= 2000


def run_random_schedule(seed: int) -> Fleet:
    """Runs a random schedule of faults and then a quiet time, and returns the fleet."""
    rng = random.Random(seed)
    size = rng.choice([2, 3, 4, 5, 7, 9])
    fleet = Fleet(size, seed, sealed=rng.random() < 0.3)
    for _ in range(rng.randrange(3, 9)):
        n = rng.randrange(size)
        fault = rng.choice(["loss", "cut", "stop", "start", "pause", "heal", "mute", "delay"])
        if fault == "loss":
            fleet.loss = rng.choice([0.0, 0.1, 0.4])
        elif fault == "delay":
            fleet.delay = rng.choice([(200, 2000), (200, 400_000)])
        elif fault == "cut":
            fleet.split({m for m in range(size) if rng.random() < 0.5})
        elif fault == "mute":
            fleet.cuts = {(n, m) for m in range(size) if m != n}
        elif fault == "heal":
            fleet.heal()
        elif fault == "pause" and n in fleet.members and n not in fleet.paused:
            fleet.pause(n, rng.randrange(20) * SECOND // 2 + 1)
        elif fault == "stop" and len(fleet.members) > 1:
            fleet.stop(n)
        elif n not in fleet.paused:
            fleet.start(n)
        fleet.run(rng.randrange(1, 16) * SECOND // 2)
    for n in range(size):
        if n not in fleet.members:
            fleet.start(n)
    fleet.heal()
    fleet.loss, fleet.delay = 0.0, (200, 2000)
    fleet.run(10 * SECOND)
    fleet.until_agreed(90 * SECOND)
    return fleet


@pytest.mark.parametrize("block", range(6))
def test_all_views_are_equal_after_any_schedule_and_a_quiet_time(block: int) -> None:
    for seed in range(block * SCHEDULES // 6, (block + 1) * SCHEDULES // 6):
        fleet = run_random_schedule(seed)
        assert len({protocol.view.digest() for protocol in fleet.members.values()}) == 1


# Exhaustive search: every order of a few steps in the smallest fleets


STEPS: dict[str, Callable[[Fleet, int], object]] = {
    "stop": lambda fleet, n: fleet.stop(n) if n in fleet.members and len(fleet.members) > 1 else None,
    "start": lambda fleet, n: fleet.start(n),
    "isolate": lambda fleet, n: fleet.split({n}),
    "heal": lambda fleet, n: fleet.heal(),
    "deafen": lambda fleet, n: setattr(fleet, "cuts", {(m, n) for m in fleet.start_numbers if m != n}),
}


def search(fleet: Fleet, depth: int, path: tuple[str, ...] = ()) -> int:
    """Runs every sequence of steps up to a depth, each step on every member. Returns the number of sequences.

    After each sequence the fleet heals, and all views must become equal.
    """
    healed = copy.deepcopy(fleet)
    healed.heal()
    for n in healed.start_numbers:
        if n not in healed.members:
            healed.start(n)
    healed.run(5 * SECOND)
    healed.until_agreed(60 * SECOND)
    assert all(
        protocol.state.own_record.state is MemberState.ALIVE and not protocol.own_member.has_yielded
        for protocol in healed.members.values()
    ), path
    if not depth:
        return 1
    count = 1
    for name, step in STEPS.items():
        for n in list(fleet.start_numbers):
            next_fleet = copy.deepcopy(fleet)
            step(next_fleet, n)
            next_fleet.run(7 * SECOND // 2)
            count += search(next_fleet, depth - 1, (*path, f"{name} {n}"))
    return count


@pytest.mark.parametrize(("size", "depth", "count"), [(2, 2, 111), (3, 1, 16)])
def test_every_sequence_of_steps_in_the_smallest_fleets(size: int, depth: int, count: int) -> None:
    assert search(settled_fleet(size, seeds=size), depth) == count


# Datagrams


def codec(key: bytes = KEY, cluster: str = "c", *more: bytes) -> Codec:
    return Codec(cluster, [key, *more])


def ping(start_number: int = 1, number: int = 0, process_id: str = "i") -> Datagram:
    return Datagram(
        "ping",
        "n1",
        start_number,
        process_id,
        number,
        7,
        members=[MemberRow("n1", "h1", 1, INCARNATIONS_PER_START, 1, "i", 0, "0.1", "")],
    )


@pytest.mark.parametrize(
    ("alter", "reason"),
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
def test_a_datagram_that_is_forged_or_of_another_cluster_or_version_is_rejected(
    alter: Callable[[bytes], bytes], reason: str
) -> None:
    with pytest.raises(DatagramRejectedError, match=reason):
        codec().open(alter(codec().seal(ping())))


def test_replayed_datagrams_are_rejected_and_late_ones_are_not() -> None:
    sender, receiver = codec(), codec()
    sealed = [sender.seal(ping()) for _ in range(300)]
    order = [*range(0, 300, 2), *range(299, 100, -2)]
    for n in order:
        assert receiver.open(sealed[n]).request_number == 7
    for n in order:
        with pytest.raises(DatagramRejectedError, match="replayed"):
            receiver.open(sealed[n])
    with pytest.raises(DatagramRejectedError, match="replayed"):
        receiver.open(sealed[1])  # below the replay window
    assert receiver.open(codec().seal(ping(start_number=2))).start_number == 2
    with pytest.raises(FormerIncarnationError):
        receiver.open(sender.seal(ping()))


def test_both_keys_are_accepted_while_a_key_is_rotated() -> None:
    new = b"n" * 32
    assert codec(KEY, "c", new).open(codec(new).seal(ping())).sender == "n1"
    assert codec(new, "c", KEY).open(codec(KEY).seal(ping())).sender == "n1"
    with pytest.raises(DatagramRejectedError):
        codec(new).open(codec(KEY).seal(ping()))


def test_fields_and_kinds_of_a_later_version_are_ignored() -> None:
    import msgspec

    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(ping())) | {"new": [1, 2], "k": "later", "c": 5}
    fields["g"][0]["zz"], fields["g"][0]["f"] = 1, 9
    sealing_codec = codec()
    data = msgspec.msgpack.encode(fields)
    datagram = codec().open(bytes([1]) + sealing_codec._tag(KEY, data) + data)
    assert datagram.members[0].record().phase is MemberPhase.SERVING
    protocol = MembershipProtocol("me", ("h", 1), 1, "x", Timing(), 1, 0, ())
    protocol.receive(10, ("h1", 1), datagram)
    assert "n1" in protocol.view.present()
    assert not protocol.state.outbox


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
