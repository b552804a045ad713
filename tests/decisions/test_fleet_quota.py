"""Tests that the shares of all forwarders add up to at most the whole, whatever each of them believes."""

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

SETTLE_US, BELIEVE_US, DETECT_US, NOTIFY_US = 30 * S, 90 * S, 9 * S, 9 * S


def make_quota(
    forwarders: int, leased_until_us: int = 0, settle_us: int = SETTLE_US, detect_us: int = DETECT_US
) -> FleetQuota:
    return FleetQuota(forwarders, settle_us, BELIEVE_US, detect_us, NOTIFY_US if detect_us else 0, leased_until_us)


class FleetModel:
    """A fleet in which each forwarder has its own view and notices changes after a random delay."""

    def __init__(self, forwarders: int, seed: int, settle_us: int = SETTLE_US, detect_us: int = DETECT_US) -> None:
        self.random, self.now_us, self.forwarders = random.Random(seed), 0, forwarders
        self.names = [f"n{n}" for n in range(forwarders)]
        self.settle_us, self.detect_us, self.max_delay_us = settle_us, detect_us, DETECT_US
        self.leases = dict.fromkeys(self.names, 0)
        self.quotas: dict[str, FleetQuota] = {}
        self.side_of = dict.fromkeys(self.names, 0)
        self.left: set[str] = set()
        self.believed_left: dict[str, set[str]] = {}
        self.noticed_at_us: dict[tuple[str, str], int] = {}
        self.started_at_us: dict[str, int] = {}
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        self.quotas[name] = make_quota(self.forwarders, self.leases[name], self.settle_us, self.detect_us)
        self.left.discard(name)
        self.believed_left[name] = set()
        self.started_at_us[name] = self.now_us
        self.delay_notice(name)

    def stop(self, name: str, announced: bool) -> None:
        if announced:
            self.left.add(name)
            for other in self.quotas:
                if self.side_of[other] == self.side_of[name]:
                    self.believed_left[other].add(name)
        self.leases[name] = self.quotas[name].leased_until_us
        del self.quotas[name]
        self.delay_notice(name)

    def split(self, side_of: dict[str, int]) -> None:
        old_side_of, self.side_of = self.side_of, side_of
        for a, b in itertools.permutations(self.names, 2):
            if (old_side_of[a] == old_side_of[b]) != (side_of[a] == side_of[b]):
                self.noticed_at_us[(a, b)] = self.now_us + self.random.randrange(self.max_delay_us)

    def delay_notice(self, name: str) -> None:
        for other in self.names:
            self.noticed_at_us[(other, name)] = self.now_us + self.random.randrange(self.max_delay_us)
            self.noticed_at_us[(name, other)] = self.now_us + self.random.randrange(self.max_delay_us)

    def view(self, name: str) -> FleetView:
        """Returns the view of one forwarder: the state of those it can reach, once it has noticed it."""
        alive = {name}
        for other in self.names:
            if other == name:
                continue
            is_reachable = other in self.quotas and self.side_of[other] == self.side_of[name]
            has_noticed = self.now_us >= self.noticed_at_us.get((name, other), 0)
            believes_alive = is_reachable if has_noticed else other in self.quotas[name].view.alive
            if is_reachable and has_noticed:
                self.believed_left[name].discard(other)
            if believes_alive and other not in self.believed_left[name]:
                alive.add(other)
        return FleetView(
            frozenset(alive), frozenset(self.believed_left[name] - alive), len(alive) == 1 < self.forwarders
        )

    def step(self, duration_us: int = S) -> float:
        self.now_us += duration_us
        for name, quota in self.quotas.items():
            quota.update(self.now_us, self.view(name))
        return sum(1 / quota.divisor(self.now_us) for quota in self.quotas.values())

    def tolerance(self) -> float:
        """Returns what the safety rule allows beyond the whole.

        This covers forwarders that announced that they left and came back where some cannot reach them.
        """
        returned = {
            other
            for name in self.quotas
            for other in self.believed_left[name]
            if other in self.quotas and self.now_us - self.started_at_us[other] <= BELIEVE_US + DETECT_US
        }
        misinformed = (
            {name for name in self.quotas if self.believed_left[name] & set(self.quotas)} if returned else set()
        )
        return (len(returned) + len(misinformed) / 2) / self.forwarders


def random_steps(
    forwarders: int, seed: int, settle_us: int = SETTLE_US, detect_us: int = DETECT_US
) -> Iterator[tuple[FleetModel, float]]:
    """Yields the sum of the shares at each step, through random partitions, failures, departures and starts."""
    model = FleetModel(forwarders, seed, settle_us, detect_us)
    for _ in range(12):
        change, name = (
            model.random.choice(["cut", "heal", "stop", "leave", "start", "quiet"]),
            model.random.choice(model.names),
        )
        if change == "cut":
            sides = model.random.choice([2, 2, 3])
            model.split({n: model.random.randrange(sides) for n in model.names})
        elif change == "heal":
            model.split(dict.fromkeys(model.names, 0))
        elif change in ("stop", "leave") and name in model.quotas and len(model.quotas) > 1:
            model.stop(name, change == "leave")
        elif change == "start" and name not in model.quotas:
            model.start(name)
        for _ in range(model.random.randrange(1, 40)):
            yield model, model.step()


@pytest.mark.parametrize("forwarders", [2, 3, 5, 8, 20])
def test_the_sum_of_all_shares_is_at_most_the_whole(forwarders: int) -> None:
    for seed in range(40):
        for model, total in random_steps(forwarders, seed):
            assert total <= 1 + model.tolerance() + 1e-9, (seed, model.now_us)


def test_without_the_detection_delay_the_sum_exceeds_the_whole() -> None:
    """Shows that the delays are needed.

    Without them, a lease lasts as long as the others wait, and the first view already proves that a forwarder is alive.
    """
    assert any(
        total > 1 + model.tolerance() + 1e-9
        for seed in range(40)
        for model, total in random_steps(5, seed, detect_us=0)
    )


def test_a_restart_reduces_the_share_only_if_the_lease_has_expired() -> None:
    for downtime_s, is_reduced in (5, False), (40, True):
        model = FleetModel(5, 1, settle_us=40 * S)
        model.max_delay_us = S
        for _ in range(70):
            model.step()
        model.stop("n1", announced=False)
        for _ in range(downtime_s):
            assert model.step() <= 1 + 1e-9
        model.start("n1")
        total = min(model.step() for _ in range(25))
        assert (total < 1 - 1e-9) is is_reduced, (
            "all have their base share again at once, or one has half of it for a time"
        )


def test_all_partitions_of_small_fleets_keep_the_sum_within_the_whole() -> None:
    """Covers each partition of up to five forwarders into at most three sides, and its end, step by step."""
    for forwarders in range(2, 6):
        for sides in itertools.product(range(min(3, forwarders)), repeat=forwarders):
            model = FleetModel(forwarders, 1)
            for _ in range(30):
                model.step()
            model.split(dict(zip(model.names, sides, strict=True)))
            for _ in range(75):
                assert model.step() <= 1 + 1e-9, (forwarders, sides, model.now_us)
            model.split(dict.fromkeys(model.names, 0))
            for _ in range(45):
                assert model.step() <= 1 + 1e-9, (forwarders, sides, model.now_us)
            assert model.step() == pytest.approx(1.0)


def make_view(alive: int, left: int = 0, stale: bool = False) -> FleetView:
    return FleetView(frozenset(f"n{n}" for n in range(alive)), frozenset(f"l{n}" for n in range(left)), stale)


@pytest.mark.parametrize(
    ("view", "duration_s", "divisor", "state"),
    [
        (make_view(10), 17, 20.0, QuorumState.AGREED),  # until it is proven to be alive, others may use its share
        (make_view(10), 18, 10.0, QuorumState.AGREED),
        (make_view(5), 60, 20.0, QuorumState.CUT_OFF),
        (make_view(1), 60, 20.0, QuorumState.ALONE),
        (make_view(9, stale=True), 60, 20.0, QuorumState.ALONE),
        (make_view(6), 60, 10.0, QuorumState.UNSURE),
        (make_view(4, 6), 29, 10.0, QuorumState.AGREED),
        (make_view(4, 6), 30, 4.0, QuorumState.AGREED),
        (make_view(4, 6), 120, 20.0, QuorumState.CUT_OFF),
        (make_view(12), 18, 12.0, QuorumState.AGREED),
    ],
)
def test_the_divisor_and_the_quorum_state_follow_from_the_view(
    view: FleetView, duration_s: int, divisor: float, state: QuorumState
) -> None:
    quota = make_quota(10)
    for second in range(duration_s + 1):
        quota.update(second * S, view)
    now_us = duration_s * S
    assert (quota.divisor(now_us), quota.quorum_state(now_us)) == (pytest.approx(divisor), state)
    assert state.value in describe_quota(quota, now_us)
    assert 0 <= quota.confidence(now_us) <= 1


def test_half_the_share_of_a_failed_forwarder_is_used_after_the_settling_time_and_returned_at_once() -> None:
    quota = make_quota(10)
    for second in range(70):
        quota.update(second * S, make_view(10 if second < 40 else 8))
    assert quota.divisor(69 * S) == 10.0
    assert quota.next_change_at_us(69 * S) == 70 * S
    quota.update(70 * S, make_view(8))
    assert quota.divisor(70 * S) == pytest.approx(10 / (1 + 1 / 8))
    quota.update(71 * S, make_view(10))
    assert quota.divisor(71 * S) == 10.0


def test_a_lease_expires_and_ends_at_once_if_a_rival_has_the_name() -> None:
    quota = make_quota(10)
    for second in range(41):
        quota.update(second * S, make_view(10))
    assert quota.leased_until_us == 61 * S
    quota.update(41 * S, make_view(3))
    assert (quota.divisor(60 * S), quota.divisor(61 * S)) == (10.0, 20.0)
    assert "its share is its own for 5.0 s more" in describe_quota(quota, 56 * S)
    assert "50% of its share held back" in describe_quota(quota, 61 * S)
    quota.update(42 * S, FleetView(frozenset({"n0"}), stale=True, has_rival=True))
    assert quota.divisor(42 * S) == 20.0


def test_the_dispatcher_divides_by_the_quota_and_without_the_extension_by_the_settings() -> None:
    dispatcher, plain_dispatcher = started(forwarders=10), started(forwarders=10)
    extension = FleetQuotaExtension(dispatcher, make_quota(10))
    dispatcher.extensions.append(extension)
    shares_before = {key: scope.quota_share for key, scope in plain_dispatcher.limit_scopes.items()}
    dispatcher.handle(0, [FleetViewChanged(make_view(5))])
    assert dispatcher.fleet_size == 20.0
    assert all(
        scope.quota_share == pytest.approx(shares_before[key] / 2) for key, scope in dispatcher.limit_scopes.items()
    )
    for second in range(20):
        dispatcher.handle(second * S, [FleetViewChanged(make_view(10))])
    assert dispatcher.fleet_size == 10.0
    assert all(scope.quota_share == pytest.approx(shares_before[key]) for key, scope in dispatcher.limit_scopes.items())
    plain_dispatcher.handle(20 * S, [])
    assert plain_dispatcher.fleet_size == 10.0
    assert {key: scope.quota_share for key, scope in plain_dispatcher.limit_scopes.items()} == shares_before


def test_slow_start_intervals_are_longer_for_a_forwarder_that_is_cut_off() -> None:
    intervals_us = []
    for fleet_size in (10.0, 20.0):
        dispatcher = Dispatcher(settings(forwarders=10, weights_reported=True), 1, 0)
        dispatcher.handle(
            0, [EndpointListReceived(EndpointListKind.SAVED, (EndpointEntry(1, 10, "north", "plain", weight=10.0),))]
        )
        dispatcher.set_fleet_size(fleet_size)
        endpoint = dispatcher.endpoints[1]
        endpoint.ejected_at_us, endpoint.last_call_at_us, endpoint.recovering_since_us, dispatcher.context.now_us = (
            S,
            100 * S,
            100 * S,
            101 * S,
        )
        intervals_us.append(dispatcher.slow_start.interval_us(endpoint))
    assert intervals_us[1] == pytest.approx(2 * intervals_us[0])
