"""Tests how a forwarder reacts to observations of other forwarders.

It becomes more careful with the endpoints concerned, is never misled by a single forwarder, and all forwarders together
stay within the slow-start budget of an endpoint.
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

NOTIFY_US = 2 * S


def order(me: str, endpoint: int, names: frozenset[str]) -> list[str]:
    return rendezvous_order(f"s{endpoint}", names | {me})


def make_slots(me: str, notify_us: int = NOTIFY_US) -> SlowStartSlots:
    return SlowStartSlots(me, notify_us, lambda endpoint, names: order(me, endpoint, names))


# Division of slow-start slots


class HolderSimulation:
    """Simulates forwarders of which some hold messages for one endpoint in slow start.

    An announcement takes up to NOTIFY_US to reach the others.
    """

    def __init__(self, size: int, seed: int, notify_us: int = NOTIFY_US) -> None:
        self.random, self.now, self.size = random.Random(seed), 0, size
        self.names = [f"n{n}" for n in range(size)]
        self.slots = {name: make_slots(name, notify_us) for name in self.names}
        self.holding: set[str] = set()
        self.announced: dict[str, bool] = dict.fromkeys(self.names, False)
        self.received: dict[tuple[str, str], tuple[int, bool]] = {}
        """Newest announcement received, by receiver and sender: its time and whether the sender holds messages."""
        self.in_transit: list[tuple[int, str, str, tuple[int, bool]]] = []
        self.partition = dict.fromkeys(self.names, 0)
        self.without_quorum: set[str] = set()

    def gossip_received_by(self, name: str) -> GossipReceived:
        return GossipReceived(
            holders={
                1: frozenset(
                    other for other in self.names if other != name and self.received.get((name, other), (0, False))[1]
                )
            }
        )

    def step(self, step_us: int = S // 4) -> float:
        """Advances the time and returns the sum of all shares of the budget."""
        self.now += step_us
        for row in [row for row in self.in_transit if row[0] <= self.now]:
            self.in_transit.remove(row)
            _, name, other, announcement = row
            if self.partition[name] == self.partition[other]:
                self.received[(name, other)] = max(announcement, self.received.get((name, other), (0, False)))
        total = 0.0
        for name, slots in self.slots.items():
            gossip = self.gossip_received_by(name)
            slots.update(self.now, {1} if name in self.holding else set(), gossip)
            if self.announced[name] != (1 in slots.holding_since_us):
                self.announced[name] = 1 in slots.holding_since_us
                self.in_transit += [
                    (self.now + self.random.randrange(NOTIFY_US), other, name, (self.now, self.announced[name]))
                    for other in self.names
                    if other != name
                ]
            if name in self.without_quorum:
                total += 1 / (2 * self.size)  # its share without a quorum, by the rules of FleetQuota
            else:
                total += slots.share(self.now, 1, self.size, gossip)
        return total


def budget_totals(size: int, seed: int, notify_us: int = NOTIFY_US) -> Iterator[float]:
    simulation = HolderSimulation(size, seed, notify_us)
    for _ in range(120):
        for name in simulation.names:
            if simulation.random.random() < 0.08:
                simulation.holding ^= {name}
        yield simulation.step()


@pytest.mark.parametrize("size", [2, 3, 8, 20, 60])
def test_the_shares_of_a_slow_start_budget_add_up_to_at_most_the_whole(size: int) -> None:
    for seed in range(12):
        assert max(budget_totals(size, seed)) <= 1 + 1e-9


def test_without_the_delay_the_shares_exceed_the_budget() -> None:
    assert any(max(budget_totals(8, seed, 0)) > 1.2 for seed in range(5))


def test_every_order_of_holding_in_small_fleets() -> None:
    """Covers each order in which up to four forwarders start and stop holding messages, at several times."""
    for size in (2, 3, 4):
        for first, second in itertools.product(range(1 << size), repeat=2):
            for wait in range(0, 10, 3):
                simulation = HolderSimulation(size, wait)
                for mask, steps in ((first, wait), (second, 12), (first, 4)):
                    simulation.holding = {name for n, name in enumerate(simulation.names) if mask >> n & 1}
                    for _ in range(steps):
                        assert simulation.step() <= 1 + 1e-9


def test_few_holders_share_the_holders_half_and_many_leave_it_to_some_of_them() -> None:
    simulation = HolderSimulation(40, 1)
    simulation.holding = set(simulation.names[:4])
    for _ in range(40):
        total = simulation.step()
    assert total == pytest.approx(1.0)
    used = sum(
        slots.share(simulation.now, 1, 40, simulation.gossip_received_by(name))
        for name, slots in simulation.slots.items()
        if name in simulation.holding
    )
    assert used == pytest.approx(0.55), (
        "with a fixed division, forwarders that hold nothing would keep nine tenths of the budget"
    )
    simulation.holding = set(simulation.names)
    for _ in range(40):
        simulation.step()
    assert sum(1 in slots.holding_since_us for slots in simulation.slots.values()) <= 2 * MAX_HOLDERS, (
        "the others must not announce that they hold messages"
    )


def test_a_partition_exceeds_the_budget_by_at_most_the_holders_half_until_it_is_noticed() -> None:
    simulation = HolderSimulation(8, 1)
    simulation.holding = set(simulation.names)
    for _ in range(40):
        simulation.step()
    simulation.partition = {name: n % 2 for n, name in enumerate(simulation.names)}
    simulation.received = {
        (a, b): announcement
        for (a, b), announcement in simulation.received.items()
        if simulation.partition[a] == simulation.partition[b]
    }
    assert max(simulation.step() for _ in range(20)) <= 1.5 + 1e-9
    # The members of this part are not more than half of the fleet.
    simulation.without_quorum = {name for name in simulation.names if simulation.partition[name]}
    assert max(simulation.step() for _ in range(20)) <= 1 + 1e-9


# Observations of other forwarders


def dispatcher_in_fleet(size: int = 10) -> tuple[Dispatcher, GossipExtension]:
    entries = tuple(EndpointEntry(n, n // 2, "north", "plain", weight=10.0) for n in range(2, 10))
    dispatcher = Dispatcher(settings(forwarders=size, weights_reported=True), 7, 0)
    extension = GossipExtension(dispatcher, FleetQuota(size, 4 * S, 60 * S, 2 * S, S), make_slots("me"))
    dispatcher.extensions.append(extension)
    view = FleetViewChanged(FleetView(frozenset(f"n{n}" for n in range(size))))
    dispatcher.handle(0, [EndpointListReceived(EndpointListKind.SAVED, entries), view])
    dispatcher.handle(5 * S, [view])
    return dispatcher, extension


def received_observations(*rows: tuple[int, str, int, int], **fields: object) -> GossipReceived:
    observations: dict[int, tuple[Observation, ...]] = {}
    for endpoint, observer, ejected_at, recovering_since in rows:
        observations[endpoint] = (
            *observations.get(endpoint, ()),
            Observation(observer, ejected_at, recovering_since),
        )
    return GossipReceived(observations, **fields)  # type: ignore[arg-type]


def test_an_ejection_seen_by_two_starts_slow_start_and_one_seen_by_one_only_raises_the_error_rate() -> None:
    dispatcher, extension = dispatcher_in_fleet()
    actions = dispatcher.handle(
        6 * S, [received_observations((2, "a", 5 * S, -1), (2, "b", 5 * S, -1), (4, "a", 5 * S, -1))]
    )
    assert dispatcher.slow_start.is_active(dispatcher.endpoints[2])
    assert EjectionChanged(2, 5 * S, -1) in actions
    assert extension.ejected_by_gossip == {2}
    assert not dispatcher.slow_start.is_active(dispatcher.endpoints[4])
    assert dispatcher.endpoints[4].error_rate == EJECTION_ERROR_RATE
    assert 2 in {endpoint.id for endpoint in dispatcher.endpoints_by_destination[1]}, "the endpoint must stay in use"
    assert not [a for a in actions if isinstance(a, AnnounceEjection)], "only the observers announce the ejection"
    actions = dispatcher.handle(7 * S, [received_observations((2, "a", 5 * S, -1), (2, "b", 5 * S, 6500 * MS))])
    assert dispatcher.endpoints[2].recovering_since_us == 6500 * MS
    assert EjectionChanged(2, 5 * S, 6500 * MS) in actions


def test_a_broken_forwarder_that_reports_all_endpoints_down_ejects_none_and_affects_few() -> None:
    dispatcher, extension = dispatcher_in_fleet()
    dispatcher.handle(6 * S, [received_observations(*((n, "broken", 5 * S, -1) for n in range(2, 10)))])
    assert not any(dispatcher.slow_start.is_active(endpoint) for endpoint in dispatcher.endpoints.values())
    assert not extension.ejected_by_gossip
    affected = {endpoint.destination for endpoint in dispatcher.endpoints.values() if endpoint.error_rate}
    assert len(affected) == max(1, int(MAX_SUSPECTED_SHARE * 4))


def test_a_later_own_observation_takes_precedence_over_those_of_others() -> None:
    dispatcher, _ = dispatcher_in_fleet()
    send = sends(dispatcher.handle(6 * S, [ask("m", 1, due=12 * S)]))[0]
    dispatcher.handle(6100 * MS, [end(send, Outcome.DELIVERED)])
    dispatcher.handle(
        7 * S, [received_observations(*((n, observer, 6 * S, -1) for n in (2, 3) for observer in ("a", "b")))]
    )
    assert not dispatcher.slow_start.is_active(dispatcher.endpoints[send.endpoint])
    assert dispatcher.slow_start.is_active(dispatcher.endpoints[5 - send.endpoint])
    dispatcher.handle(8 * S, [received_observations((send.endpoint, "a", 7 * S, -1), (send.endpoint, "b", 7 * S, -1))])
    assert dispatcher.slow_start.is_active(dispatcher.endpoints[send.endpoint])


def test_an_endpoint_ejected_here_recovers_by_one_newer_observation_of_another_forwarder() -> None:
    dispatcher, extension = dispatcher_in_fleet()
    endpoint = dispatcher.endpoints[2]
    dispatcher.handle(6 * S, [EjectionRecovered(2, 5 * S)])
    dispatcher.handle(7 * S, [received_observations((2, "a", 4 * S, 5500 * MS))])
    assert endpoint.recovering_since_us < 0, "the own observation is newer"
    dispatcher.handle(8 * S, [received_observations((2, "a", 4 * S, 7500 * MS))])
    assert endpoint.recovering_since_us == 7500 * MS
    assert endpoint.ejected_at_us == 5 * S
    assert endpoint.error_rate <= EJECTION_ERROR_RATE
    assert extension.ejected_by_gossip == {2}
    dispatcher.endpoints[3].serving = False
    dispatcher.endpoint_table.rebuild_index()
    attempts, now = 0, 8 * S
    while not attempts:
        now += 100 * MS
        for n, send in enumerate(sends(dispatcher.handle(now, [ask(f"m{now}", 1, due=now + 6 * S)]))):
            attempts += 1
            dispatcher.handle(now + MS + n, [end(send, Outcome.NO_CONNECTION)])
    assert endpoint.recovering_since_us < 0, "the failed call shows that the endpoint is still down"
    assert extension.ejected_by_gossip == set()


def test_a_forwarder_announces_that_an_endpoint_serves_it_which_others_report_as_ejected() -> None:
    dispatcher, _ = dispatcher_in_fleet()
    dispatcher.handle(6 * S, [received_observations((2, "a", 5 * S, -1), (3, "a", 5 * S, -1))])
    send = sends(dispatcher.handle(7 * S, [ask("m", 1, due=12 * S)]))[0]
    actions = dispatcher.handle(7100 * MS, [end(send, Outcome.DELIVERED)])
    assert [a for a in actions if isinstance(a, AnnounceEjection)] == [AnnounceEjection(send.endpoint, -1, 7100 * MS)]
    dispatcher.handle(
        8 * S, [received_observations((5, "a", 7 * S, -1), (5, "b", -1, 7500 * MS)), EjectionRecovered(4, 7 * S)]
    )
    assert not dispatcher.slow_start.is_active(dispatcher.endpoints[5]), (
        "an observer that is served by the endpoint does not count as having seen it fail"
    )
    dispatcher.handle(9 * S, [received_observations((4, "b", -1, 8500 * MS))])
    assert dispatcher.endpoints[4].recovering_since_us == 8500 * MS


def test_expired_observations_have_no_lasting_effect_unless_confirmed_here() -> None:
    dispatcher, extension = dispatcher_in_fleet()
    dispatcher.handle(
        6 * S, [received_observations((2, "a", 5 * S, -1), (2, "b", 5 * S, -1)), EjectionRecovered(4, 5 * S)]
    )
    actions = dispatcher.handle(19 * S, [GossipReceived()])
    assert not dispatcher.slow_start.is_active(dispatcher.endpoints[2])
    assert EjectionChanged(2, -1, -1) in actions
    assert not extension.ejected_by_gossip
    assert dispatcher.slow_start.is_active(dispatcher.endpoints[4])
    assert dispatcher.endpoints[4].error_rate == UNSAFE_RETRY_ERROR_RATE


def test_a_retry_after_of_another_forwarder_delays_calls_by_at_most_one_pacing_interval() -> None:
    dispatcher, _ = dispatcher_in_fleet()
    limit_scope = dispatcher.endpoints[2].limit_scope
    limit_scope.limit_per_s, limit_scope.limit_left = 20.0, 0.4
    interval = int(dispatcher.pacing.call_interval_us(limit_scope))
    dispatcher.handle(6 * S, [GossipReceived(retry_afters=(((1, -1), 9 * S), ((77, -1), 9 * S)))])
    assert limit_scope.next_call_at_us == 6 * S + interval < 9 * S
    assert limit_scope.retry_after_until_us == 0
    dispatcher.handle(6 * S + MS, [GossipReceived(retry_afters=(((1, -1), 6 * S + 2 * MS),))])
    assert limit_scope.next_call_at_us == 6 * S + interval, "the delay must not exceed the wait itself"


def test_own_observations_and_held_messages_are_announced() -> None:
    dispatcher, _ = dispatcher_in_fleet()
    dispatcher.endpoints[3].serving = False
    dispatcher.endpoint_table.rebuild_index()
    actions: list[Action] = []
    now = 6 * S
    for n in range(4):
        for send in sends(dispatcher.handle(now, [ask(f"m{n}", 1, due=now + 60 * S)])):
            actions += dispatcher.handle(now + 50 * MS, [end(send, Outcome.NO_CONNECTION)])
        now += 2 * S
        actions += dispatcher.handle(now, [])
    announced = [a for a in actions if isinstance(a, AnnounceEjection)]
    assert announced
    assert {a.endpoint for a in announced} == {2}
    assert all(a.recovering_since_us < 0 for a in announced)
    assert AnnounceHolding(frozenset({2})) in actions
    send = sends(actions)[-1] if sends(actions) else None
    while send is None:
        now += 200 * MS
        send = next(iter(sends(dispatcher.handle(now, []))), None)
    actions = dispatcher.handle(
        now + 50 * MS,
        [end(send, Outcome.REJECTED, attempt=dispatcher.messages[send.message_id].attempts - 1, retry_after_us=S)],
    )
    assert [a for a in actions if isinstance(a, AnnounceRetryAfter)] == [AnnounceRetryAfter((1, -1), now + 50 * MS + S)]


def test_calls_wait_for_the_query_of_the_other_forwarders_but_no_longer_than_its_time_limit() -> None:
    for answered in (True, False):
        dispatcher, _ = dispatcher_in_fleet()
        dispatcher.peers_queried_until_us = 8 * S
        assert not sends(dispatcher.handle(6 * S, [ask("m", 1, due=12 * S)]))
        assert dispatcher.hold_times_of("m")[0][0] is HoldReason.STARTING
        assert bool(sends(dispatcher.handle(7 * S, [PeersQueried()] if answered else []))) is answered
        assert bool(sends(dispatcher.handle(8 * S, []))) is not answered


def test_slow_start_slots_are_divided_by_holders_and_unchanged_without_the_extension() -> None:
    without_extension = Dispatcher(settings(forwarders=10, weights_reported=True), 7, 0)
    without_extension.handle(
        0, [EndpointListReceived(EndpointListKind.SAVED, (EndpointEntry(2, 1, "north", "plain", weight=10.0),))]
    )
    assert without_extension.endpoints[2].slow_start_divisor == 0
    assert without_extension.peers_queried_until_us == 0
    dispatcher, _ = dispatcher_in_fleet()
    dispatcher.endpoints[3].serving = False
    dispatcher.endpoint_table.rebuild_index()
    divisors, full_view = [], FleetViewChanged(FleetView(frozenset(f"n{n}" for n in range(10))))
    dispatcher.handle(6 * S, [EjectionRecovered(2, 5 * S, 5500 * MS), ask("m", 1, due=60 * S), full_view])
    for now in (6 * S, 7 * S, 9 * S):
        dispatcher.handle(now, [full_view, ask(f"m{now}", 1, due=60 * S)])
        divisors.append(dispatcher.endpoints[2].slow_start_divisor)
    assert divisors[0] == 20
    assert divisors[-1] == pytest.approx(1 / (0.05 + 0.5))
    dispatcher.handle(9 * S, [GossipReceived(holders={2: frozenset({"a", "b", "c"})})])
    assert dispatcher.endpoints[2].slow_start_divisor == pytest.approx(1 / (0.05 + 0.125))
    dispatcher.handle(9 * S, [FleetViewChanged(FleetView(frozenset({"n1", "n2"})))])
    assert dispatcher.endpoints[2].slow_start_divisor == 20, "without a quorum it gets nothing of the holders' half"
    assert dispatcher.fleet_size == 10
    dispatcher.handle(11 * S, [])
    assert dispatcher.endpoints[2].slow_start_divisor == dispatcher.fleet_size == 20, (
        "its own share is held back too once others may have taken it"
    )
