"""Shares by who is there: the sum of them is at most the whole, whatever each forwarder believes."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator

import pytest

from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import EndpointEntry, EndpointListKind, EndpointListReceived
from forwarder.decisions.fleet_messages import FleetView, FleetViewChanged, QuorumState
from forwarder.decisions.fleet_quota import FleetQuota, FleetQuotaExtension
from forwarder.membership.status import describe_quota
from tests.scripts import S, settings, started

SETTLE, BELIEVE, DETECT, TOLD = 30 * S, 90 * S, 9 * S, 9 * S


def shares_of(size: int, leased_until_us: int = 0, settle: int = SETTLE, detect: int = DETECT) -> FleetQuota:
    return FleetQuota(size, settle, BELIEVE, detect, TOLD if detect else 0, leased_until_us)


class Model:
    """Many forwarders, each with its own idea of who is there, told so late as detection may be."""

    def __init__(self, size: int, seed: int, settle: int = SETTLE, detect: int = DETECT) -> None:
        self.random, self.now, self.size = random.Random(seed), 0, size
        self.names = [f"n{n}" for n in range(size)]
        self.settle, self.detect, self.lag = settle, detect, DETECT
        self.leases = dict.fromkeys(self.names, 0)
        self.shares: dict[str, FleetQuota] = {}
        self.part = dict.fromkeys(self.names, 0)
        self.left: set[str] = set()
        self.heard_left: dict[str, set[str]] = {}
        self.seen_at: dict[tuple[str, str], int] = {}
        self.back_at: dict[str, int] = {}
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        self.shares[name] = shares_of(self.size, self.leases[name], self.settle, self.detect)
        self.left.discard(name)
        self.heard_left[name] = set()
        self.back_at[name] = self.now
        self.change(name)

    def stop(self, name: str, by_word: bool) -> None:
        if by_word:
            self.left.add(name)
            for other in self.shares:
                if self.part[other] == self.part[name]:
                    self.heard_left[other].add(name)
        self.leases[name] = self.shares[name].leased_until_us
        del self.shares[name]
        self.change(name)

    def cut(self, part: dict[str, int]) -> None:
        old, self.part = self.part, part
        for a, b in itertools.permutations(self.names, 2):
            if (old[a] == old[b]) != (part[a] == part[b]):
                self.seen_at[(a, b)] = self.now + self.random.randrange(self.lag)

    def change(self, name: str) -> None:
        for other in self.names:
            self.seen_at[(other, name)] = self.now + self.random.randrange(self.lag)
            self.seen_at[(name, other)] = self.now + self.random.randrange(self.lag)

    def view(self, name: str) -> FleetView:
        """What this one believes: the truth of those it hears, each as late as it was noticed."""
        there = {name}
        for other in self.names:
            if other == name:
                continue
            true = other in self.shares and self.part[other] == self.part[name]
            known = self.now >= self.seen_at.get((name, other), 0)
            believed = true if known else other in self.shares[name].view.alive
            if true and known:
                self.heard_left[name].discard(other)
            if believed and other not in self.heard_left[name]:
                there.add(other)
        return FleetView(frozenset(there), frozenset(self.heard_left[name] - there), len(there) == 1 < self.size)

    def step(self, for_us: int = S) -> float:
        self.now += for_us
        for name, shares in self.shares.items():
            shares.update(self.now, self.view(name))
        return sum(1 / shares.divisor(self.now) for shares in self.shares.values())

    def slack(self) -> float:
        """What the rule allows beyond the whole: who left by its word and is back where some do not hear it."""
        lost = {
            other
            for name in self.shares
            for other in self.heard_left[name]
            if other in self.shares and self.now - self.back_at[other] <= BELIEVE + DETECT
        }
        deaf = {name for name in self.shares if self.heard_left[name] & set(self.shares)} if lost else set()
        return (len(lost) + len(deaf) / 2) / self.size


def played(size: int, seed: int, settle: int = SETTLE, detect: int = DETECT) -> Iterator[tuple[Model, float]]:
    """Random cuts, deaths, leavings and returns; the sum of the shares at each step."""
    model = Model(size, seed, settle, detect)
    for _ in range(12):
        what, name = (
            model.random.choice(["cut", "heal", "stop", "leave", "start", "quiet"]),
            model.random.choice(model.names),
        )
        if what == "cut":
            parts = model.random.choice([2, 2, 3])
            model.cut({n: model.random.randrange(parts) for n in model.names})
        elif what == "heal":
            model.cut(dict.fromkeys(model.names, 0))
        elif what in ("stop", "leave") and name in model.shares and len(model.shares) > 1:
            model.stop(name, what == "leave")
        elif what == "start" and name not in model.shares:
            model.start(name)
        for _ in range(model.random.randrange(1, 40)):
            yield model, model.step()


@pytest.mark.parametrize("size", [2, 3, 5, 8, 20])
def test_the_sum_of_all_shares_is_at_most_the_whole(size: int) -> None:
    for seed in range(40):
        for model, total in played(size, seed):
            assert total <= 1 + model.slack() + 1e-9, (seed, model.now)


def test_without_the_delay_the_sum_is_too_much() -> None:
    """The rule's delays taken out: a lease as long as others wait, proved by the first look at who is there."""
    assert any(total > 1 + model.slack() + 1e-9 for seed in range(40) for model, total in played(5, seed, detect=0))


def test_a_restart_within_its_lease_holds_nothing_back_and_one_after_it_does() -> None:
    for away, held in (5, False), (40, True):
        model = Model(5, 1, settle=40 * S)
        model.lag = S
        for _ in range(70):
            model.step()
        model.stop("n1", by_word=False)
        for _ in range(away):
            assert model.step() <= 1 + 1e-9
        model.start("n1")
        total = min(model.step() for _ in range(25))
        assert (total < 1 - 1e-9) is held, "all have their own part again at once, or one has half of it for a time"


def test_small_fleets_searched_whole() -> None:
    """Every cut of up to five in two parts or three, healed or not, at every age of the views."""
    for size in range(2, 6):
        for parts in itertools.product(range(min(3, size)), repeat=size):
            model = Model(size, 1)
            for _ in range(30):
                model.step()
            model.cut(dict(zip(model.names, parts, strict=True)))
            for _ in range(75):
                assert model.step() <= 1 + 1e-9, (size, parts, model.now)
            model.cut(dict.fromkeys(model.names, 0))
            for _ in range(45):
                assert model.step() <= 1 + 1e-9, (size, parts, model.now)
            assert model.step() == pytest.approx(1.0)


def seen(there: int, left: int = 0, stale: bool = False) -> FleetView:
    return FleetView(frozenset(f"n{n}" for n in range(there)), frozenset(f"l{n}" for n in range(left)), stale)


@pytest.mark.parametrize(
    ("view", "after_s", "size", "mode"),
    [
        (seen(10), 17, 20.0, QuorumState.AGREED),  # until it has proved to be there it may be that others hold its part
        (seen(10), 18, 10.0, QuorumState.AGREED),
        (seen(5), 60, 20.0, QuorumState.CUT_OFF),
        (seen(1), 60, 20.0, QuorumState.ALONE),
        (seen(9, stale=True), 60, 20.0, QuorumState.ALONE),
        (seen(6), 60, 10.0, QuorumState.UNSURE),
        (seen(4, 6), 29, 10.0, QuorumState.AGREED),
        (seen(4, 6), 30, 4.0, QuorumState.AGREED),
        (seen(4, 6), 120, 20.0, QuorumState.CUT_OFF),
        (seen(12), 18, 12.0, QuorumState.AGREED),
    ],
)
def test_the_size_that_a_view_comes_to(view: FleetView, after_s: int, size: float, mode: QuorumState) -> None:
    shares = shares_of(10)
    for second in range(after_s + 1):
        shares.update(second * S, view)
    now = after_s * S
    assert (shares.divisor(now), shares.quorum_state(now)) == (pytest.approx(size), mode)
    assert mode.value in describe_quota(shares, now)
    assert 0 <= shares.confidence(now) <= 1


def test_the_dead_ones_half_is_taken_when_it_is_sure_and_given_back_at_once() -> None:
    shares = shares_of(10)
    for second in range(70):
        shares.update(second * S, seen(10 if second < 40 else 8))
    assert shares.divisor(69 * S) == 10.0
    assert shares.next_change_at_us(69 * S) == 70 * S
    shares.update(70 * S, seen(8))
    assert shares.divisor(70 * S) == pytest.approx(10 / (1 + 1 / 8))
    shares.update(71 * S, seen(10))
    assert shares.divisor(71 * S) == 10.0


def test_a_lease_ends_in_time_and_at_once_where_another_has_the_name() -> None:
    shares = shares_of(10)
    for second in range(41):
        shares.update(second * S, seen(10))
    assert shares.leased_until_us == 61 * S
    shares.update(41 * S, seen(3))
    assert (shares.divisor(60 * S), shares.divisor(61 * S)) == (10.0, 20.0)
    assert "its share is its own for 5.0 s more" in describe_quota(shares, 56 * S)
    assert "50% of its share held back" in describe_quota(shares, 61 * S)
    shares.update(42 * S, FleetView(frozenset({"n0"}), stale=True, has_rival=True))
    assert shares.divisor(42 * S) == 20.0


def test_the_dispatcher_divides_by_the_size_and_as_ever_without_the_part() -> None:
    d, plain = started(forwarders=10), started(forwarders=10)
    policy = FleetQuotaExtension(d, shares_of(10))
    d.extensions.append(policy)
    before = {whose: place.quota_share for whose, place in plain.limit_scopes.items()}
    d.handle(0, [FleetViewChanged(seen(5))])
    assert d.fleet_size == 20.0
    assert all(place.quota_share == pytest.approx(before[w] / 2) for w, place in d.limit_scopes.items())
    for second in range(20):
        d.handle(second * S, [FleetViewChanged(seen(10))])
    assert d.fleet_size == 10.0
    assert all(place.quota_share == pytest.approx(before[w]) for w, place in d.limit_scopes.items())
    plain.handle(20 * S, [])
    assert plain.fleet_size == 10.0
    assert {w: place.quota_share for w, place in plain.limit_scopes.items()} == before


def test_a_cold_target_has_longer_turns_for_a_forwarder_that_is_cut_off() -> None:
    turns = []
    for size in (10.0, 20.0):
        d = Dispatcher(settings(forwarders=10, weights_reported=True), 1, 0)
        d.handle(
            0, [EndpointListReceived(EndpointListKind.SAVED, (EndpointEntry(1, 10, "north", "plain", weight=10.0),))]
        )
        d.set_fleet_size(size)
        t = d.endpoints[1]
        t.ejected_at_us, t.last_call_at_us, t.recovering_since_us, d.context.now_us = S, 100 * S, 100 * S, 101 * S
        turns.append(d.slow_start.interval_us(t))
    assert turns[1] == pytest.approx(2 * turns[0])
