"""The schedule for polling the endpoint list."""

from __future__ import annotations

from forwarder.decisions.context import RoundContext
from forwarder.decisions.timer_queue import POLL_TIMER, TimerQueue

MIN_POLL_BACKOFF_US = 500_000
"""Initial backoff after a failed poll, before jitter."""

MAX_POLL_BACKOFF_US = 4 * MIN_POLL_BACKOFF_US
"""Maximum backoff, before jitter: a change of the list has to be applied within 6 s."""


class EndpointListPoll:
    """Schedules a poll at the start, and after each failed poll with an exponential backoff and jitter."""

    def __init__(self, context: RoundContext, timers: TimerQueue) -> None:
        self.context = context
        self.timers = timers
        self.backoff_us = MIN_POLL_BACKOFF_US
        if context.settings.poll_endpoint_list:
            timers.add(context.now_us, POLL_TIMER)

    def is_due(self) -> bool:
        """Returns whether the list has to be requested in this round."""
        return POLL_TIMER in self.context.due_destinations

    def poll_failed(self) -> None:
        """Schedules the next poll after the backoff."""
        delay_us = self.backoff_us + self.context.random.randrange(self.backoff_us)
        self.timers.add(self.context.now_us + delay_us, POLL_TIMER)
        self.backoff_us = min(2 * self.backoff_us, MAX_POLL_BACKOFF_US)

    def poll_succeeded(self) -> None:
        """Resets the backoff."""
        self.backoff_us = MIN_POLL_BACKOFF_US
