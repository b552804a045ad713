"""How the budget of an endpoint in slow start is divided among those that hold messages for it. Pure.

Half of its budget is divided by all that can be up, as without gossip. The other half goes to those that hold messages
for the endpoint, or to the first of them by rendezvous hashing where they are many, and that have said so for
`notify_us`, by when all that can hear it have heard it. So any two that use it know of each other, and its parts add up
to that half. A forwarder that has not proved to be alive has nothing of it. Slack: until a cut is noticed, each part of
the fleet may use that half.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from forwarder.decisions.fleet_messages import GossipReceived

MAX_HOLDERS = 8
"""Forwarders that share the half for holders, at most."""
EVEN_HALF = 0.5
"""Part of the budget that is divided by all, and as much is divided by the holders."""

SlotOrder = Callable[[int, frozenset[str]], list[str]]
"""Orders forwarders for an endpoint by rendezvous hashing: the same order everywhere, with this one among them."""


@dataclass(slots=True)
class SlowStartSlots:
    """This forwarder's part of the budgets.

    Attributes:
        name: this forwarder's own.
        notify_us: by then all have heard of a change.
        order: by which the holders are ranked.
        holding_since_us: since when this forwarder has said that it holds messages, by endpoint.
    """

    name: str
    notify_us: int
    order: SlotOrder
    holding_since_us: dict[int, int] = field(default_factory=dict)

    def update(self, now_us: int, holding: set[int], gossip: GossipReceived) -> None:
        """Takes in for which endpoints in slow start this forwarder holds messages."""
        ranked = {endpoint for endpoint in holding if self.name in self._order(endpoint, gossip)[:MAX_HOLDERS]}
        self.holding_since_us = {endpoint: self.holding_since_us.get(endpoint, now_us) for endpoint in ranked}

    def share(self, now_us: int, endpoint: int, size: float, gossip: GossipReceived) -> float:
        """Returns this forwarder's part of an endpoint's budget, in a fleet of that size."""
        if now_us - self.holding_since_us.get(endpoint, now_us) < self.notify_us:
            return EVEN_HALF / size
        return EVEN_HALF / size + EVEN_HALF / len(self._order(endpoint, gossip))

    def _order(self, endpoint: int, gossip: GossipReceived) -> list[str]:
        return self.order(endpoint, gossip.holders.get(endpoint, frozenset()))
