"""Divides the budget of an endpoint in slow start among the forwarders that hold messages for it. Does no I/O.

Half of the budget is divided evenly among all forwarders that can be up, as without gossip. The other half is divided
among the holders: forwarders that hold messages for the endpoint and have announced this for at least `notify_us`, by
when every reachable forwarder has received the announcement. If there are many holders, only the first of them by
rendezvous hashing take part. Any two forwarders that use this half thus know of each other, and their parts add up to
it. A forwarder that is not proven to be alive gets no part of this half.

Tolerance: until a network partition is detected, each side of it may use the whole second half.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from forwarder.decisions.fleet_messages import GossipReceived

MAX_HOLDERS = 8
"""Maximum number of forwarders that share the half for holders."""
HALF_BUDGET = 0.5
"""Fraction of the budget that all forwarders share; the holders share the same fraction."""

SlotOrder = Callable[[int, frozenset[str]], list[str]]
"""Ranks an endpoint's holders and this forwarder by rendezvous hashing; all forwarders get the same order."""


@dataclass(slots=True)
class SlowStartSlots:
    """Tracks this forwarder's part of the slow-start budgets.

    Attributes:
        name: the name of this forwarder.
        notify_us: time in which all reachable forwarders learn of a change.
        order: ranks the holders of an endpoint.
        holding_since_us: since when this forwarder has announced that it holds messages, by endpoint.
    """

    name: str
    notify_us: int
    order: SlotOrder
    holding_since_us: dict[int, int] = field(default_factory=dict)

    def update(self, now_us: int, holding: set[int], gossip: GossipReceived) -> None:
        """Updates the set of endpoints in slow start for which this forwarder holds messages."""
        selected = {endpoint for endpoint in holding if self.name in self._order(endpoint, gossip)[:MAX_HOLDERS]}
        self.holding_since_us = {endpoint: self.holding_since_us.get(endpoint, now_us) for endpoint in selected}

    def share(self, now_us: int, endpoint: int, fleet_size: float, gossip: GossipReceived) -> float:
        """Returns this forwarder's fraction of an endpoint's budget in a fleet of the given size."""
        if now_us - self.holding_since_us.get(endpoint, now_us) < self.notify_us:
            return HALF_BUDGET / fleet_size
        return HALF_BUDGET / fleet_size + HALF_BUDGET / len(self._order(endpoint, gossip))

    def _order(self, endpoint: int, gossip: GossipReceived) -> list[str]:
        return self.order(endpoint, gossip.holders.get(endpoint, frozenset()))
