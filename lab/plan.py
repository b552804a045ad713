"""What a scenario and a seed come to: parties, arrivals, the schedule of faults. Pure; the same seed, the same plan."""

from __future__ import annotations

import random
from bisect import bisect
from dataclasses import dataclass
from itertools import accumulate

from lab.scenario import Fault, Scenario

STATUS, ONCE = "statusvarsel", "refusjon"
KINDS = ("banker", "butikker", "innlosere")
AIM_S = {STATUS: 1.0, ONCE: 2.0}
DEADLINE_S = {STATUS: 5.0, ONCE: 28.0}
WORTH = {STATUS: 1.0, ONCE: 2.0}
LATE_WORTH = {STATUS: 0.0, ONCE: 0.4}
LEAST_LIMIT = 2.0


@dataclass(frozen=True, slots=True)
class Endpoint:
    name: str
    number: int
    destination: int
    kind: str
    rate: float
    """Calls a second that it can do when warm."""
    service_s: float


@dataclass(frozen=True, slots=True)
class Destination:
    number: int
    weight: float
    limit: float
    """Calls a second from all forwarders together; 0 where it has none but its capacity."""
    tells_wait: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """One message that a client wants delivered."""

    at_s: float
    number: int
    cls: str
    destination: int
    key: str | None
    honours: bool


@dataclass(frozen=True, slots=True)
class Act:
    """One step of the schedule: a fault, and whom it strikes."""

    at_s: float
    fault: Fault
    names: tuple[str, ...]
    parties: tuple[str, ...] = ()
    """For a cut: whom they are cut off from, but for other forwarders."""


@dataclass(frozen=True, slots=True)
class Plan:
    scenario: Scenario
    nodes: tuple[str, ...]
    endpoints: tuple[Endpoint, ...]
    destinations: tuple[Destination, ...]
    arrivals: tuple[Arrival, ...]
    acts: tuple[Act, ...]
    skews_s: tuple[float, ...]
    believed: tuple[int, ...]
    """How many forwarders each one's settings name."""


def make(s: Scenario) -> Plan:
    """Draw everything that chance decides before the run; each kind of thing from a stream of its own."""
    nodes = tuple(f"n{n}" for n in range(s.fleet.nodes))
    destinations = _destinations(s, random.Random(f"{s.seed}/destinations"))
    endpoints = _endpoints(s, destinations, random.Random(f"{s.seed}/endpoints"))
    skewed, sizes = random.Random(f"{s.seed}/clocks"), random.Random(f"{s.seed}/sizes")
    return Plan(
        s,
        nodes,
        endpoints,
        destinations,
        _arrivals(s, destinations, random.Random(f"{s.seed}/arrivals")),
        _acts(s, nodes, endpoints, random.Random(f"{s.seed}/faults")),
        tuple(skewed.uniform(-s.fleet.skew_s, s.fleet.skew_s) for _ in nodes),
        tuple(round(len(nodes) * sizes.uniform(*s.fleet.believed)) for _ in nodes),
    )


def _destinations(s: Scenario, chance: random.Random) -> tuple[Destination, ...]:
    weights = [1.0 / (n + 1) ** s.load.skew for n in range(s.fleet.destinations)]
    asked = s.fleet.nodes * s.load.per_node_s
    made = []
    for n, weight in enumerate(weights):
        part = asked * weight / sum(weights)
        limit = max(LEAST_LIMIT, part / s.load.of_limits)
        made.append(
            Destination(
                n + 1,
                part / asked,
                0.0 if chance.random() < s.endpoints.unlimited_share else limit,
                s.endpoints.told_share,
            )
        )
    return tuple(made)


def _endpoints(s: Scenario, destinations: tuple[Destination, ...], chance: random.Random) -> tuple[Endpoint, ...]:
    """Each destination has one; the rest go to the busiest."""
    owners = [d.number for d in destinations]
    while len(owners) < s.fleet.endpoints:
        owners.append(min(destinations, key=lambda d: owners.count(d.number) / d.weight).number)
    asked = s.fleet.nodes * s.load.per_node_s
    made = []
    for n, owner in enumerate(sorted(owners)):
        d = destinations[owner - 1]
        capacity = max(LEAST_LIMIT, 1.3 * (d.limit or asked * d.weight / s.load.of_limits))
        made.append(
            Endpoint(
                f"s-{n}",
                n,
                owner,
                KINDS[owner % len(KINDS)],
                capacity / owners.count(owner),
                chance.uniform(*s.endpoints.service_s),
            )
        )
    return tuple(made)


def _arrivals(s: Scenario, destinations: tuple[Destination, ...], chance: random.Random) -> tuple[Arrival, ...]:
    rate = s.fleet.nodes * s.load.per_node_s
    bounds = list(accumulate(d.weight for d in destinations))
    made: list[Arrival] = []
    at = 0.0
    while (at := at + chance.expovariate(rate)) < s.time.load_s:
        cls = ONCE if chance.random() < s.load.once_share else STATUS
        where = min(bisect(bounds, chance.random() * bounds[-1]), len(destinations) - 1)
        key = None
        if cls == ONCE:  # a key belongs to one refund claim, and so to one destination
            key = f"k{where}-{chance.randrange(s.load.keys)}"
        made.append(Arrival(at, len(made), cls, destinations[where].number, key, chance.random() < s.load.honour))
    return tuple(made)


def _acts(
    s: Scenario, nodes: tuple[str, ...], endpoints: tuple[Endpoint, ...], chance: random.Random
) -> tuple[Act, ...]:
    acts = []
    for fault in s.faults:
        struck = _struck(fault, nodes, endpoints, chance)
        size = -(-len(struck) // fault.waves)
        for wave in range(fault.waves):
            names = struck[wave * size : (wave + 1) * size]
            if names or not struck:
                acts.append(Act(fault.at_s + wave * fault.every_s, fault, names, _parties(fault, endpoints, chance)))
    return tuple(sorted(acts, key=lambda act: act.at_s))


def _parties(fault: Fault, endpoints: tuple[Endpoint, ...], chance: random.Random) -> tuple[str, ...]:
    if fault.kind != "cut" or fault.between in (None, "nodes"):
        return ()
    if fault.between != "endpoints":
        return (fault.between,)
    return tuple(e.name for e in chance.sample(endpoints, round(fault.of * len(endpoints))))


def _struck(
    fault: Fault, nodes: tuple[str, ...], endpoints: tuple[Endpoint, ...], chance: random.Random
) -> tuple[str, ...]:
    """Those that a fault strikes, in a random order."""
    if fault.names:
        return fault.names
    of_endpoints = fault.kind in ("outage", "limit", "drain", "replace")
    pool = [e.name for e in endpoints] if of_endpoints else list(nodes)
    if fault.kind == "discovery":
        return ()
    share = 1.0 if fault.share is None else fault.share
    return tuple(chance.sample(pool, round(share * len(pool))))
