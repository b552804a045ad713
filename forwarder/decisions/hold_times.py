"""Accounting of how long messages are held, and for which reason."""

from __future__ import annotations

from dataclasses import dataclass, field

from forwarder.decisions.hold_reason import HoldReason
from forwarder.decisions.records import Message

MAX_HOLD_TIME_ROWS = 256
"""Maximum number of pairs of destination and class with their own row; further pairs share one row."""

OTHER_DESTINATIONS = -1
"""Replaces the destination in the row that further pairs share."""


@dataclass(slots=True)
class HoldTimes:
    """Hold times since the start, in microseconds, by destination and class and then by reason."""

    sums_us: dict[tuple[int, str], dict[HoldReason, int]] = field(default_factory=dict)

    def set_reason(self, message: Message, reason: HoldReason | None, now_us: int) -> None:
        """Sets the reason that holds a message from now on, and adds the elapsed time to the previous reason.

        Args:
            message: The message.
            reason: What holds it; None if it is not held.
            now_us: The time of the round.
        """
        if message.hold_reason is reason:
            return
        if message.hold_reason is not None and now_us > message.held_since_us:
            row = (message.destination, message.message_class.name)
            held_us = now_us - message.held_since_us
            if row not in self.sums_us and len(self.sums_us) >= MAX_HOLD_TIME_ROWS:
                row = (OTHER_DESTINATIONS, "")
            sums_us = self.sums_us.setdefault(row, {})
            sums_us[message.hold_reason] = sums_us.get(message.hold_reason, 0) + held_us
            message.hold_times_us[message.hold_reason] = message.hold_times_us.get(message.hold_reason, 0) + held_us
        message.hold_reason = reason
        message.held_since_us = now_us

    def totals(self, destination: int | None = None) -> list[tuple[HoldReason, int]]:
        """Returns the sums in microseconds for one destination or, with None, for all; the largest first."""
        totals_us: dict[HoldReason, int] = {}
        for (row_destination, _), sums_us in self.sums_us.items():
            if destination is None or row_destination == destination:
                for reason, held_us in sums_us.items():
                    totals_us[reason] = totals_us.get(reason, 0) + held_us
        return sorted(totals_us.items(), key=lambda total: -total[1])


def hold_times_of(message: Message, now_us: int) -> list[tuple[HoldReason, int]]:
    """Returns the hold times of one message in microseconds, the current reason first, then the longest."""
    times_us = dict(message.hold_times_us)
    if message.hold_reason is not None:
        times_us[message.hold_reason] = times_us.get(message.hold_reason, 0) + now_us - message.held_since_us
    return sorted(times_us.items(), key=lambda time: (time[0] is not message.hold_reason, -time[1]))
