"""The order in which held messages are considered for an attempt."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator

from forwarder.decisions.call_tracker import CallTracker
from forwarder.decisions.concurrency_window import ConcurrencyLimits
from forwarder.decisions.context import RoundContext
from forwarder.decisions.expected_call import CallEstimates
from forwarder.decisions.message_table import MessageTable
from forwarder.decisions.records import Message

DEADLINE_GROUP_SHARE = 0.4
"""How far a group extends past its earliest deadline, as a share of the time left until that deadline."""


class ReleaseOrder:
    """Orders messages by groups of similar deadlines and, within a group, by the shortest expected call."""

    def __init__(
        self,
        context: RoundContext,
        messages: MessageTable,
        limits: ConcurrencyLimits,
        calls: CallTracker,
        estimates: CallEstimates,
    ) -> None:
        self.context = context
        self.messages = messages
        self.limits = limits
        self.calls = calls
        self.estimates = estimates

    def iterate(self, destinations: Iterable[int]) -> Iterator[Message]:
        """Yields the held messages of some destinations, group by group, until no further message can be sent.

        Messages over their tenant's quota come last. A message past its deadline still belongs to a group.
        """
        by_destination = self.messages.held.by_destination
        order = sorted(
            (message.over_quota, message.due_us, message.sequence_number, message.destination)
            for destination in sorted(destinations)
            for message in by_destination[destination].values()
        )
        start = 0
        while start < len(order) and (self.limits.has_free_slot() or self.calls.has_unfilled_call()):
            over_quota, due_us, _, _ = order[start]
            group_us = DEADLINE_GROUP_SHARE * max(0, due_us - self.context.now_us)
            last = (over_quota, due_us + group_us, self.messages.accepted_count, 0)
            end = bisect_right(order, last, start)
            group = [by_destination[destination][number] for _, _, number, destination in order[start:end]]
            yield from sorted(group, key=self._order_in_group)
            start = end

    def _order_in_group(self, message: Message) -> tuple[float, int, int]:
        return self.estimates.shortest_call_us(message), message.due_us, message.sequence_number
