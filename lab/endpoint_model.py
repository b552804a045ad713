"""How a destination and its endpoints behave, by the published pages. Pure: times in, answers out, seeded chance."""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Generic, TypeVar

from lab.plan import Destination, Endpoint
from lab.scenario import Endpoints

BURST_S = 0.5
"""A rate limit lets through at once what it earns in this time."""
REPORT_MAX_AGE_S = 0.4
"""Reports of what a limit has left are so old at most (the brief: 230 to 960 ms)."""
FEW_CALLS = 30
"""The slack for chance is wider for fewer calls than these (BENCH)."""
INFORMED_SHARE = 2 / 3
"""The rule is broken if so many of the calls that overloaded an endpoint came from forwarders that had seen it fail."""
SLOTS_PER_LOAD = 2.0
"""Slots of an endpoint, over the calls that are under way at its capacity."""
MIN_SLOTS = 2
SERVICE_TIME_SIGMA = 0.28
"""Spread of the service time, which is distributed log-normally."""
MAX_SERVICE_TIMES = 10
"""The longest service time, over the usual one."""

Waiting = TypeVar("Waiting")
"""What waits for a slot."""


def cold_budget(allowed: float) -> float:
    """Return the most calls that a warming-up endpoint bears, where the settings allow so many (BENCH, "Rules")."""
    if allowed < FEW_CALLS:
        return allowed + 3 * math.sqrt(allowed) + 3
    return allowed + 2 * math.sqrt(allowed) + 2


@dataclass(slots=True)
class TokenBucket:
    """A rate limit in calls a second, shared by all forwarders."""

    rate: float
    tokens: float = -1.0
    updated_at_s: float = 0.0
    reported_share: float = 1.0
    """What the last report told of the tokens that are left, as a share of the burst."""
    reported_at_s: float = -1.0

    def __post_init__(self) -> None:
        self.tokens = self.burst if self.tokens < 0 else self.tokens

    @property
    def burst(self) -> float:
        """Calls that it lets through at once when it is full."""
        return max(1.0, self.rate * BURST_S)

    def available(self, now_s: float) -> float:
        """Return how many calls it would let through at once now."""
        earned = max(0.0, now_s - self.updated_at_s) * self.rate
        self.tokens = min(self.burst, self.tokens + earned)
        self.updated_at_s = now_s
        return self.tokens

    def take(self, now_s: float) -> bool:
        """Count one more call. Returns whether it is within the limit."""
        self.available(now_s)
        if now_s - self.reported_at_s >= REPORT_MAX_AGE_S:
            self.reported_share = self.tokens / self.burst
            self.reported_at_s = now_s
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class CallDecision:
    """What an endpoint makes of a call: a status, and for 200 how long the work takes."""

    status: HTTPStatus
    retry_after_s: float = 0.0
    service_s: float = 0.0


@dataclass(slots=True)
class DestinationModel:
    """A destination: its rate limit, and how long its refusals tell to wait."""

    spec: Destination
    rng: random.Random
    retry_after_range_s: tuple[float, float]
    bucket: TokenBucket | None = None
    """None: it has no limit but its capacity."""
    reports_limit: bool = True
    """Its answers report the limit."""

    def __post_init__(self) -> None:
        if self.spec.limit_per_s and self.bucket is None:
            self.bucket = TokenBucket(self.spec.limit_per_s)

    def scale_limit(self, factor: float) -> None:
        """Set the limit to so many times what the plan gives it."""
        if self.bucket is not None:
            self.bucket.rate = self.spec.limit_per_s * factor
            self.bucket.tokens = min(self.bucket.tokens, self.bucket.burst)

    def draw_retry_after_s(self) -> float:
        """Draw the Retry-After of a refusal, in seconds; 0 where it has none."""
        if self.rng.random() < self.spec.retry_after_share:
            return self.rng.uniform(*self.retry_after_range_s)
        return 0.0

    def load_report(self) -> str | None:
        """Return what an answer reports of the limit, as a header's value; None where it reports nothing."""
        if self.bucket is None or not self.reports_limit:
            return None
        return f"x0={self.bucket.reported_share:.3f},x1={self.bucket.rate:.3f}"


@dataclass(frozen=True, slots=True)
class RecentCall:
    """A call that counts against the budget of a warming-up endpoint."""

    at_s: float
    node: str


@dataclass(slots=True)
class EndpointModel(Generic[Waiting]):
    """One endpoint: its slots, its queue, and whether it is up, warming up or down."""

    spec: Endpoint
    destination: DestinationModel
    settings: Endpoints
    rng: random.Random
    is_down: bool = False
    is_overloaded: bool = False
    """It went down under too many calls while it was warming up, and does not come back."""
    recovered_at_s: float = -1.0
    """When it came back from an outage; -1 while it has been up for long."""
    busy_slots: int = 0
    queue: deque[Waiting] = field(default_factory=deque)
    """Calls that wait for a slot."""
    recent_calls: deque[RecentCall] = field(default_factory=deque)
    informed_nodes: set[str] = field(default_factory=set)
    """Forwarders that had a call fail or refused here during the outage."""
    worst_budget_ratio: float = 0.0
    """The most calls while it was warming up, over its budget in the same window."""

    @property
    def slots(self) -> int:
        """Calls that it works on at once."""
        return max(MIN_SLOTS, round(SLOTS_PER_LOAD * self.spec.capacity_per_s * self.spec.service_s))

    def has_free_slot(self) -> bool:
        """Whether a call would be worked on at once."""
        return self.busy_slots < self.slots

    def capacity_share(self, now_s: float) -> float:
        """Return the share of its capacity that it has now."""
        settings = self.settings
        if self.recovered_at_s < 0 or now_s - self.recovered_at_s >= settings.warm_s:
            return 1.0
        return settings.cold_from + (1 - settings.cold_from) * (now_s - self.recovered_at_s) / settings.warm_s

    def is_warming_up(self, now_s: float) -> bool:
        """Whether it has come back so lately that it bears less than its capacity."""
        return self.capacity_share(now_s) < 1.0

    def fail(self) -> None:
        """Begin an outage."""
        self.is_down = True
        self.recovered_at_s = -1.0
        self.informed_nodes.clear()
        self.recent_calls.clear()

    def recover(self, now_s: float) -> None:
        """End an outage: it is up, and warming up."""
        if not self.is_overloaded:
            self.is_down = False
            self.recovered_at_s = now_s

    def count_against_budget(self, now_s: float, node: str) -> float | None:
        """Count a call against the budget of a warming-up endpoint.

        Returns:
            Where the call overloads it: the share of the calls that came from forwarders that had seen it fail.
        """
        if not self.is_warming_up(now_s):
            return None
        settings = self.settings
        self.recent_calls.append(RecentCall(now_s, node))
        while self.recent_calls[0].at_s <= now_s - settings.fall_s:
            self.recent_calls.popleft()
        rate = settings.fall_times * self.capacity_share(now_s) * self.spec.capacity_per_s
        budget = cold_budget(rate * settings.fall_s)
        self.worst_budget_ratio = max(self.worst_budget_ratio, len(self.recent_calls) / budget)
        if len(self.recent_calls) <= budget:
            return None
        self.is_down = self.is_overloaded = True
        return sum(call.node in self.informed_nodes for call in self.recent_calls) / len(self.recent_calls)

    def decide(self, now_s: float) -> CallDecision:
        """Accept a call, or say why not. The caller has seen to connections, outages and the budget."""
        bucket = self.destination.bucket
        if bucket is not None and not bucket.take(now_s):
            retry_after_s = self.destination.draw_retry_after_s()
            status = HTTPStatus.TOO_MANY_REQUESTS if retry_after_s else HTTPStatus.SERVICE_UNAVAILABLE
            return CallDecision(status, retry_after_s=retry_after_s)
        if not self.has_free_slot() and len(self.queue) >= self.settings.queue:
            return CallDecision(HTTPStatus.SERVICE_UNAVAILABLE)
        usual_s = self.spec.service_s / self.capacity_share(now_s)
        drawn_s = self.rng.lognormvariate(0.0, SERVICE_TIME_SIGMA) * usual_s
        return CallDecision(HTTPStatus.OK, service_s=min(MAX_SERVICE_TIMES * usual_s, drawn_s))
