"""What a forwarder does with what others say.

It is more careful, never taken in by one alone, and all together keep within the budget.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator

import pytest

from forwarder.decisions.actions import Action, EjectionChanged
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import EjectionRecovered, EndpointEntry, EndpointListKind, EndpointListReceived
from forwarder.decisions.fleet_messages import (
    AnnounceEjection,
    AnnounceHolding,
    AnnounceRetryAfter,
    FleetView,
    FleetViewChanged,
    GossipReceived,
    Observation,
    PeersQueried,
)
from forwarder.decisions.fleet_quota import FleetQuota
from forwarder.decisions.gossip_extension import MAX_SUSPECTED_SHARE, GossipExtension
from forwarder.decisions.hold_reason import HoldReason
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.slow_start import EJECTION_ERROR_RATE, UNSAFE_RETRY_ERROR_RATE
from forwarder.decisions.slow_start_slots import MAX_HOLDERS, SlowStartSlots
from forwarder.membership.gossip_store import rendezvous_order
from tests.scripts import MS, S, ask, end, sends, settings

TOLD = 2 * S


def order(me: str, target: int, names: frozenset[str]) -> list[str]:
    return rendezvous_order(f"s{target}", names | {me})


def turns(me: str, told_us: int = TOLD) -> SlowStartSlots:
    return SlowStartSlots(me, told_us, lambda target, names: order(me, target, names))


# Whose turn it is


class Many:
    """Forwarders that hold messages for one cold target, or do not; each hears of the others up to `told_us` late."""

    def __init__(self, size: int, seed: int, told_us: int = TOLD) -> None:
        self.random, self.now, self.size = random.Random(seed), 0, size
        self.names = [f"n{n}" for n in range(size)]
        self.turns = {name: turns(name, told_us) for name in self.names}
        self.holding: set[str] = set()
        self.said: dict[str, bool] = dict.fromkeys(self.names, False)
        self.heard: dict[tuple[str, str], tuple[int, bool]] = {}
        """What one believes of another, and by which of its words: an older one changes nothing."""
        self.due: list[tuple[int, str, str, tuple[int, bool]]] = []
        self.part = dict.fromkeys(self.names, 0)
        self.unsure: set[str] = set()

    def believed(self, name: str) -> GossipReceived:
        return GossipReceived(
            holders={
                1: frozenset(
                    other for other in self.names if other != name and self.heard.get((name, other), (0, False))[1]
                )
            }
        )

    def step(self, for_us: int = S // 4) -> float:
        """The sum of all parts of the budget, after some time has passed."""
        self.now += for_us
        for row in [row for row in self.due if row[0] <= self.now]:
            self.due.remove(row)
            _, name, other, says = row
            if self.part[name] == self.part[other]:
                self.heard[(name, other)] = max(says, self.heard.get((name, other), (0, False)))
        total = 0.0
        for name, t in self.turns.items():
            heard = self.believed(name)
            t.update(self.now, {1} if name in self.holding else set(), heard)
            if self.said[name] != (1 in t.holding_since_us):
                self.said[name] = 1 in t.holding_since_us
                self.due += [
                    (self.now + self.random.randrange(TOLD), other, name, (self.now, self.said[name]))
                    for other in self.names
                    if other != name
                ]
            if name in self.unsure:
                total += 1 / (2 * self.size)  # what `Shares` gives it
            else:
                total += t.share(self.now, 1, self.size, heard)
        return total


def played(size: int, seed: int, told_us: int = TOLD) -> Iterator[float]:
    many = Many(size, seed, told_us)
    for _ in range(120):
        for name in many.names:
            if many.random.random() < 0.08:
                many.holding ^= {name}
        yield many.step()


@pytest.mark.parametrize("size", [2, 3, 8, 20, 60])
def test_the_parts_of_a_cold_targets_budget_are_at_most_the_whole(size: int) -> None:
    for seed in range(12):
        assert max(played(size, seed)) <= 1 + 1e-9


def test_without_the_delay_the_parts_are_too_much() -> None:
    assert any(max(played(8, seed, 0)) > 1.2 for seed in range(5))


def test_small_fleets_searched_whole() -> None:
    """Every order in which up to four begin and end to hold messages, at every age of what was said."""
    for size in (2, 3, 4):
        for first, second in itertools.product(range(1 << size), repeat=2):
            for wait in range(0, 10, 3):
                many = Many(size, wait)
                for mask, steps in ((first, wait), (second, 12), (first, 4)):
                    many.holding = {name for n, name in enumerate(many.names) if mask >> n & 1}
                    for _ in range(steps):
                        assert many.step() <= 1 + 1e-9


def test_few_holders_use_all_of_their_half_and_many_leave_it_to_some() -> None:
    many = Many(40, 1)
    many.holding = set(many.names[:4])
    for _ in range(40):
        total = many.step()
    assert total == pytest.approx(1.0)
    used = sum(t.share(many.now, 1, 40, many.believed(name)) for name, t in many.turns.items() if name in many.holding)
    assert used == pytest.approx(0.55), "a fixed division leaves nine tenths of it to those that hold nothing"
    many.holding = set(many.names)
    for _ in range(40):
        many.step()
    assert sum(1 in t.holding_since_us for t in many.turns.values()) <= 2 * MAX_HOLDERS, "the rest say nothing of it"


def test_while_a_cut_is_not_noticed_the_slack_is_that_half_and_then_none() -> None:
    many = Many(8, 1)
    many.holding = set(many.names)
    for _ in range(40):
        many.step()
    many.part = {name: n % 2 for n, name in enumerate(many.names)}
    many.heard = {(a, b): v for (a, b), v in many.heard.items() if many.part[a] == many.part[b]}
    assert max(many.step() for _ in range(20)) <= 1.5 + 1e-9
    many.unsure = {name for name in many.names if many.part[name]}  # not more than half are with them
    assert max(many.step() for _ in range(20)) <= 1 + 1e-9


# What others say of targets


def fleet_of(size: int = 10) -> tuple[Dispatcher, GossipExtension]:
    entries = tuple(EndpointEntry(n, n // 2, "north", "plain", weight=10.0) for n in range(2, 10))
    d = Dispatcher(settings(forwarders=size, weights_reported=True), 7, 0)
    policy = GossipExtension(d, FleetQuota(size, 4 * S, 60 * S, 2 * S, S), turns("me"))
    d.extensions.append(policy)
    view = FleetViewChanged(FleetView(frozenset(f"n{n}" for n in range(size))))
    d.handle(0, [EndpointListReceived(EndpointListKind.SAVED, entries), view])
    d.handle(5 * S, [view])
    return d, policy


def said(*rows: tuple[int, str, int, int], **more: object) -> GossipReceived:
    words: dict[int, tuple[Observation, ...]] = {}
    for target, seer, since, back in rows:
        words[target] = (*words.get(target, ()), Observation(seer, since, back))
    return GossipReceived(words, **more)  # type: ignore[arg-type]


def test_two_that_saw_an_outage_put_the_target_in_turns_and_one_makes_it_doubtful() -> None:
    d, policy = fleet_of()
    actions = d.handle(6 * S, [said((2, "a", 5 * S, -1), (2, "b", 5 * S, -1), (4, "a", 5 * S, -1))])
    assert d.slow_start.is_active(d.endpoints[2])
    assert EjectionChanged(2, 5 * S, -1) in actions
    assert policy.ejected_by_gossip == {2}
    assert not d.slow_start.is_active(d.endpoints[4])
    assert d.endpoints[4].error_rate == EJECTION_ERROR_RATE
    assert 2 in {t.id for t in d.endpoints_by_destination[1]}, "it stays in use"
    assert not [a for a in actions if isinstance(a, AnnounceEjection)], "only who saw it says so"
    actions = d.handle(7 * S, [said((2, "a", 5 * S, -1), (2, "b", 5 * S, 6500 * MS))])
    assert d.endpoints[2].recovering_since_us == 6500 * MS
    assert EjectionChanged(2, 5 * S, 6500 * MS) in actions


def test_a_broken_forwarder_that_says_all_are_down_takes_none_and_doubts_few() -> None:
    d, policy = fleet_of()
    d.handle(6 * S, [said(*((n, "broken", 5 * S, -1) for n in range(2, 10)))])
    assert not any(d.slow_start.is_active(t) for t in d.endpoints.values())
    assert not policy.ejected_by_gossip
    doubted = {t.destination for t in d.endpoints.values() if t.error_rate}
    assert len(doubted) == max(1, int(MAX_SUSPECTED_SHARE * 4))


def test_what_was_seen_here_later_goes_before_what_others_say() -> None:
    d, _ = fleet_of()
    send = sends(d.handle(6 * S, [ask("m", 1, due=12 * S)]))[0]
    d.handle(6100 * MS, [end(send, Outcome.DELIVERED)])
    d.handle(7 * S, [said(*((n, seer, 6 * S, -1) for n in (2, 3) for seer in ("a", "b")))])
    assert not d.slow_start.is_active(d.endpoints[send.endpoint])
    assert d.slow_start.is_active(d.endpoints[5 - send.endpoint])
    d.handle(8 * S, [said((send.endpoint, "a", 7 * S, -1), (send.endpoint, "b", 7 * S, -1))])
    assert d.slow_start.is_active(d.endpoints[send.endpoint])


def test_a_target_out_here_is_back_by_the_word_of_one_and_only_if_that_is_newer() -> None:
    d, policy = fleet_of()
    t = d.endpoints[2]
    d.handle(6 * S, [EjectionRecovered(2, 5 * S)])
    d.handle(7 * S, [said((2, "a", 4 * S, 5500 * MS))])
    assert t.recovering_since_us < 0, "our own try was later"
    d.handle(8 * S, [said((2, "a", 4 * S, 7500 * MS))])
    assert t.recovering_since_us == 7500 * MS
    assert t.ejected_at_us == 5 * S
    assert t.error_rate <= EJECTION_ERROR_RATE
    assert policy.ejected_by_gossip == {2}
    d.endpoints[3].serving = False
    d.endpoint_table.rebuild_index()
    tried, now = 0, 8 * S
    while not tried:
        now += 100 * MS
        for n, send in enumerate(sends(d.handle(now, [ask(f"m{now}", 1, due=now + 6 * S)]))):
            tried += 1
            d.handle(now + MS + n, [end(send, Outcome.NO_CONNECTION)])
    assert t.recovering_since_us < 0, "seen here to be out after all"
    assert policy.ejected_by_gossip == set()


def test_who_is_served_by_what_others_take_to_be_out_tells_them() -> None:
    d, _ = fleet_of()
    d.handle(6 * S, [said((2, "a", 5 * S, -1), (3, "a", 5 * S, -1))])
    send = sends(d.handle(7 * S, [ask("m", 1, due=12 * S)]))[0]
    actions = d.handle(7100 * MS, [end(send, Outcome.DELIVERED)])
    assert [a for a in actions if isinstance(a, AnnounceEjection)] == [AnnounceEjection(send.endpoint, -1, 7100 * MS)]
    d.handle(8 * S, [said((5, "a", 7 * S, -1), (5, "b", -1, 7500 * MS)), EjectionRecovered(4, 7 * S)])
    assert not d.slow_start.is_active(d.endpoints[5]), "who was served by it did not see it fail"
    d.handle(9 * S, [said((4, "b", -1, 8500 * MS))])
    assert d.endpoints[4].recovering_since_us == 8500 * MS


def test_words_that_are_too_old_leave_nothing_behind_unless_it_was_seen_here() -> None:
    d, policy = fleet_of()
    d.handle(6 * S, [said((2, "a", 5 * S, -1), (2, "b", 5 * S, -1)), EjectionRecovered(4, 5 * S)])
    actions = d.handle(19 * S, [GossipReceived()])
    assert not d.slow_start.is_active(d.endpoints[2])
    assert EjectionChanged(2, -1, -1) in actions
    assert not policy.ejected_by_gossip
    assert d.slow_start.is_active(d.endpoints[4])
    assert d.endpoints[4].error_rate == UNSAFE_RETRY_ERROR_RATE


def test_a_told_wait_of_others_costs_one_interval_of_the_pace_at_most() -> None:
    d, _ = fleet_of()
    place = d.endpoints[2].limit_scope
    place.limit_per_s, place.limit_left = 20.0, 0.4
    interval = int(d.pacing.call_interval_us(place))
    d.handle(6 * S, [GossipReceived(retry_afters=(((1, -1), 9 * S), ((77, -1), 9 * S)))])
    assert place.next_call_at_us == 6 * S + interval < 9 * S
    assert place.retry_after_until_us == 0
    d.handle(6 * S + MS, [GossipReceived(retry_afters=(((1, -1), 6 * S + 2 * MS),))])
    assert place.next_call_at_us == 6 * S + interval, "no later than the wait itself"


def test_what_this_forwarder_sees_is_told_and_what_it_holds() -> None:
    d, _ = fleet_of()
    d.endpoints[3].serving = False
    d.endpoint_table.rebuild_index()
    told: list[Action] = []
    now = 6 * S
    for n in range(4):
        for send in sends(d.handle(now, [ask(f"m{n}", 1, due=now + 60 * S)])):
            told += d.handle(now + 50 * MS, [end(send, Outcome.NO_CONNECTION)])
        now += 2 * S
        told += d.handle(now, [])
    outages = [a for a in told if isinstance(a, AnnounceEjection)]
    assert outages
    assert {a.endpoint for a in outages} == {2}
    assert all(a.recovering_since_us < 0 for a in outages)
    assert AnnounceHolding(frozenset({2})) in told
    send = sends(told)[-1] if sends(told) else None
    while send is None:
        now += 200 * MS
        send = next(iter(sends(d.handle(now, []))), None)
    told = d.handle(
        now + 50 * MS, [end(send, Outcome.REJECTED, attempt=d.messages[send.message_id].attempts - 1, retry_after_us=S)]
    )
    assert [a for a in told if isinstance(a, AnnounceRetryAfter)] == [AnnounceRetryAfter((1, -1), now + 50 * MS + S)]


def test_no_call_before_the_others_were_asked_and_none_later_than_the_bound() -> None:
    for answered in (True, False):
        d, _ = fleet_of()
        d.peers_queried_until_us = 8 * S
        assert not sends(d.handle(6 * S, [ask("m", 1, due=12 * S)]))
        assert d.hold_times_of("m")[0][0] is HoldReason.STARTING
        assert bool(sends(d.handle(7 * S, [PeersQueried()] if answered else []))) is answered
        assert bool(sends(d.handle(8 * S, []))) is not answered


def test_cold_turns_are_shorter_for_the_few_that_hold_and_as_ever_without_the_part() -> None:
    plain = Dispatcher(settings(forwarders=10, weights_reported=True), 7, 0)
    plain.handle(
        0, [EndpointListReceived(EndpointListKind.SAVED, (EndpointEntry(2, 1, "north", "plain", weight=10.0),))]
    )
    assert plain.endpoints[2].slow_start_divisor == 0
    assert plain.peers_queried_until_us == 0
    d, _ = fleet_of()
    d.endpoints[3].serving = False
    d.endpoint_table.rebuild_index()
    lengths, wide = [], FleetViewChanged(FleetView(frozenset(f"n{n}" for n in range(10))))
    d.handle(6 * S, [EjectionRecovered(2, 5 * S, 5500 * MS), ask("m", 1, due=60 * S), wide])
    for now in (6 * S, 7 * S, 9 * S):
        d.handle(now, [wide, ask(f"m{now}", 1, due=60 * S)])
        lengths.append(d.endpoints[2].slow_start_divisor)
    assert lengths[0] == 20
    assert lengths[-1] == pytest.approx(1 / (0.05 + 0.5))
    d.handle(9 * S, [GossipReceived(holders={2: frozenset({"a", "b", "c"})})])
    assert d.endpoints[2].slow_start_divisor == pytest.approx(1 / (0.05 + 0.125))
    d.handle(9 * S, [FleetViewChanged(FleetView(frozenset({"n1", "n2"})))])
    assert d.endpoints[2].slow_start_divisor == 20, "cut off: nothing of the holders' half"
    assert d.fleet_size == 10
    d.handle(11 * S, [])
    assert d.endpoints[2].slow_start_divisor == d.fleet_size == 20, (
        "and its own is held back once others may have taken it"
    )
