"""The plan that a scenario and a seed determine: parties, arrivals, fault schedule.

There is no I/O here, and the same seed gives the same plan.
"""

from __future__ import annotations

import random
from bisect import bisect
from dataclasses import dataclass
from itertools import accumulate

from lab.scenario import Fault, Scenario

STATUS_CLASS = "statusvarsel"
"""Messages that may be repeated."""
REFUND_CLASS = "refusjon"
"""Messages that may take effect only once, and are delivered in the order of their key."""
ENDPOINT_KINDS = ("banker", "butikker", "innlosere")
LATENCY_OBJECTIVE_S = {STATUS_CLASS: 1.0, REFUND_CLASS: 2.0}
DEADLINE_S = {STATUS_CLASS: 5.0, REFUND_CLASS: 28.0}
PRIORITY_WEIGHT = {STATUS_CLASS: 1.0, REFUND_CLASS: 2.0}
LATE_WEIGHT_SHARE = {STATUS_CLASS: 0.0, REFUND_CLASS: 0.4}
"""Share of the weight that is left at the deadline."""
MIN_RATE_LIMIT_PER_S = 2.0
"""Calls per second."""
CAPACITY_HEADROOM = 1.3
"""Ratio of the capacity of a destination's endpoints to its rate limit."""
ENDPOINT_FAULTS = ("outage", "limit", "drain", "replace")
"""Kinds of faults that affect endpoints; the others affect forwarders."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint of the plan."""

    name: str
    number: int
    destination: int
    kind: str
    capacity_per_s: float
    """Calls per second that it can serve after its warm-up."""
    service_s: float


@dataclass(frozen=True, slots=True)
class Destination:
    """An upstream service of the plan."""

    number: int
    weight: float
    """Its share of all messages."""
    limit_per_s: float
    """Calls per second from all forwarders together; 0 if only its capacity limits it."""
    retry_after_share: float
    """Share of the refusals above its rate limit that have a Retry-After."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """One message that a client submits."""

    at_s: float
    number: int
    message_class: str
    destination: int
    key: str | None
    honours_retry_after: bool


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One step of the schedule: a fault and its targets."""

    at_s: float
    fault: Fault
    targets: tuple[str, ...]
    """Names of forwarders or endpoints."""
    parties: tuple[str, ...] = ()
    """For a cut: the endpoints or services that the targets are cut off from; never forwarders."""


@dataclass(frozen=True, slots=True)
class Plan:
    """Everything that is decided before a run begins."""

    scenario: Scenario
    nodes: tuple[str, ...]
    """The forwarders' names."""
    endpoints: tuple[Endpoint, ...]
    destinations: tuple[Destination, ...]
    arrivals: tuple[Arrival, ...]
    schedule: tuple[ScheduledFault, ...]
    clock_skews_s: tuple[float, ...]
    """The offset of each forwarder's wall clock, in seconds."""
    believed_fleet_sizes: tuple[int, ...]
    """The number of forwarders in each forwarder's settings."""


def make(scenario: Scenario) -> Plan:
    """Draw all random parts of a plan, each kind from its own random number generator."""
    seed, fleet = scenario.seed, scenario.fleet
    nodes = tuple(f"n{number}" for number in range(fleet.nodes))
    destinations = _destinations(scenario, random.Random(f"{seed}/destinations"))
    endpoints = _endpoints(scenario, destinations, random.Random(f"{seed}/endpoints"))
    clock_rng = random.Random(f"{seed}/clocks")
    size_rng = random.Random(f"{seed}/sizes")
    return Plan(
        scenario=scenario,
        nodes=nodes,
        endpoints=endpoints,
        destinations=destinations,
        arrivals=_arrivals(scenario, destinations, random.Random(f"{seed}/arrivals")),
        schedule=_schedule(scenario, nodes, endpoints, random.Random(f"{seed}/faults")),
        clock_skews_s=tuple(clock_rng.uniform(-fleet.skew_s, fleet.skew_s) for _ in nodes),
        believed_fleet_sizes=tuple(round(len(nodes) * size_rng.uniform(*fleet.believed)) for _ in nodes),
    )


def _load_per_s(scenario: Scenario) -> float:
    """Return the messages per second of the whole fleet."""
    return scenario.fleet.nodes * scenario.load.per_node_s


def _destinations(scenario: Scenario, rng: random.Random) -> tuple[Destination, ...]:
    weights = [1.0 / (rank + 1) ** scenario.load.skew for rank in range(scenario.fleet.destinations)]
    load_per_s = _load_per_s(scenario)
    destinations = []
    for rank, weight in enumerate(weights):
        own_load_per_s = load_per_s * weight / sum(weights)
        limit_per_s = max(MIN_RATE_LIMIT_PER_S, own_load_per_s / scenario.load.of_limits)
        if rng.random() < scenario.endpoints.unlimited_share:
            limit_per_s = 0.0
        destinations.append(
            Destination(rank + 1, own_load_per_s / load_per_s, limit_per_s, scenario.endpoints.told_share)
        )
    return tuple(destinations)


def _endpoints(scenario: Scenario, destinations: tuple[Destination, ...], rng: random.Random) -> tuple[Endpoint, ...]:
    """Give each destination one endpoint, and the others to the destinations with the most load per endpoint."""
    owners = [destination.number for destination in destinations]
    while len(owners) < scenario.fleet.endpoints:
        owners.append(min(destinations, key=lambda each: owners.count(each.number) / each.weight).number)
    endpoints = []
    for number, owner in enumerate(sorted(owners)):
        destination = destinations[owner - 1]
        needed_per_s = destination.limit_per_s or (_load_per_s(scenario) * destination.weight / scenario.load.of_limits)
        capacity_per_s = max(MIN_RATE_LIMIT_PER_S, CAPACITY_HEADROOM * needed_per_s)
        endpoints.append(
            Endpoint(
                name=f"s-{number}",
                number=number,
                destination=owner,
                kind=ENDPOINT_KINDS[owner % len(ENDPOINT_KINDS)],
                capacity_per_s=capacity_per_s / owners.count(owner),
                service_s=rng.uniform(*scenario.endpoints.service_s),
            )
        )
    return tuple(endpoints)


def _arrivals(scenario: Scenario, destinations: tuple[Destination, ...], rng: random.Random) -> tuple[Arrival, ...]:
    load = scenario.load
    load_per_s = _load_per_s(scenario)
    bounds = list(accumulate(destination.weight for destination in destinations))
    arrivals: list[Arrival] = []
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(load_per_s)) < scenario.time.load_s:
        message_class = REFUND_CLASS if rng.random() < load.once_share else STATUS_CLASS
        index = min(bisect(bounds, rng.random() * bounds[-1]), len(destinations) - 1)
        key = None
        if message_class == REFUND_CLASS:  # a key belongs to one refund claim, and so to one destination
            key = f"k{index}-{rng.randrange(load.keys)}"
        honours_retry_after = rng.random() < load.honour
        arrivals.append(
            Arrival(at_s, len(arrivals), message_class, destinations[index].number, key, honours_retry_after)
        )
    return tuple(arrivals)


def _schedule(
    scenario: Scenario, nodes: tuple[str, ...], endpoints: tuple[Endpoint, ...], rng: random.Random
) -> tuple[ScheduledFault, ...]:
    schedule = []
    for fault in scenario.faults:
        targets = _targets(fault, nodes, endpoints, rng)
        wave_size = -(-len(targets) // fault.waves)
        for wave in range(fault.waves):
            wave_targets = targets[wave * wave_size : (wave + 1) * wave_size]
            if wave_targets or not targets:
                at_s = fault.at_s + wave * fault.every_s
                schedule.append(ScheduledFault(at_s, fault, wave_targets, _parties(fault, endpoints, rng)))
    return tuple(sorted(schedule, key=lambda step: step.at_s))


def _parties(fault: Fault, endpoints: tuple[Endpoint, ...], rng: random.Random) -> tuple[str, ...]:
    if fault.kind != "cut" or fault.between in (None, "nodes"):
        return ()
    if fault.between != "endpoints":
        return (fault.between,)
    return tuple(endpoint.name for endpoint in rng.sample(endpoints, round(fault.of * len(endpoints))))


def _targets(
    fault: Fault, nodes: tuple[str, ...], endpoints: tuple[Endpoint, ...], rng: random.Random
) -> tuple[str, ...]:
    """Return the targets of a fault, in a random order."""
    if fault.names:
        return fault.names
    if fault.kind == "discovery":
        return ()
    pool = [endpoint.name for endpoint in endpoints] if fault.kind in ENDPOINT_FAULTS else list(nodes)
    share = 1.0 if fault.share is None else fault.share
    return tuple(rng.sample(pool, round(share * len(pool))))
