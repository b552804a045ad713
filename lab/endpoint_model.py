"""Model of a destination and its endpoints, as the published pages describe them. No I/O; seeded random draws."""

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
"""The burst of a rate limit, as the time in which the limit earns it."""
REPORT_MAX_AGE_S = 0.4
"""Maximum age of a reported remaining limit; the platform's description gives 230 to 960 ms."""
FEW_CALLS = 30
"""Below this number of calls, the allowance for random variation is wider (BENCH)."""
INFORMED_SHARE = 2 / 3
"""The rule is broken if this share of the calls that overloaded an endpoint came from forwarders that saw it fail."""
SLOTS_PER_LOAD = 2.0
"""Slots of an endpoint, as a multiple of the concurrent calls at its capacity."""
MIN_SLOTS = 2
SERVICE_TIME_SIGMA = 0.28
"""Standard deviation of the logarithm of the service time, which is log-normally distributed."""
MAX_SERVICE_TIMES = 10
"""Maximum service time, as a multiple of the usual one."""

Waiting = TypeVar("Waiting")
"""A call that waits for a slot."""


def cold_budget(allowed: float) -> float:
    """Return how many calls a warming-up endpoint tolerates if the settings allow `allowed` calls (BENCH, "Rules")."""
    if allowed < FEW_CALLS:
        return allowed + 3 * math.sqrt(allowed) + 3
    return allowed + 2 * math.sqrt(allowed) + 2


@dataclass(slots=True)
class TokenBucket:
    """A rate limit in calls per second, shared by all forwarders."""

    rate: float
    tokens: float = -1.0
    updated_at_s: float = 0.0
    reported_share: float = 1.0
    """The remaining tokens in the last report, as a share of the burst."""
    reported_at_s: float = -1.0

    def __post_init__(self) -> None:
        self.tokens = self.burst if self.tokens < 0 else self.tokens

    @property
    def burst(self) -> float:
        """Number of calls that a full bucket admits at once."""
        return max(1.0, self.rate * BURST_S)

    def available(self, now_s: float) -> float:
        """Return how many calls the bucket would admit at once now."""
        earned = max(0.0, now_s - self.updated_at_s) * self.rate
        self.tokens = min(self.burst, self.tokens + earned)
        self.updated_at_s = now_s
        return self.tokens

    def take(self, now_s: float) -> bool:
        """Take a token for a call. Returns whether the call is within the limit."""
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
    """An endpoint's decision on a call: the status, and for 200 the service time."""

    status: HTTPStatus
    retry_after_s: float = 0.0
    service_s: float = 0.0


@dataclass(slots=True)
class DestinationModel:
    """A destination: its rate limit and the Retry-After of its refusals."""

    spec: Destination
    rng: random.Random
    retry_after_range_s: tuple[float, float]
    bucket: TokenBucket | None = None
    """None without a rate limit; only the capacity limits the calls then."""
    reports_limit: bool = True
    """Whether the answers report the limit."""

    def __post_init__(self) -> None:
        if self.spec.limit_per_s and self.bucket is None:
            self.bucket = TokenBucket(self.spec.limit_per_s)

    def scale_limit(self, factor: float) -> None:
        """Set the limit to a multiple of its value in the plan."""
        if self.bucket is not None:
            self.bucket.rate = self.spec.limit_per_s * factor
            self.bucket.tokens = min(self.bucket.tokens, self.bucket.burst)

    def draw_retry_after_s(self) -> float:
        """Draw the Retry-After of a refusal, in seconds; 0 for none."""
        if self.rng.random() < self.spec.retry_after_share:
            return self.rng.uniform(*self.retry_after_range_s)
        return 0.0

    def load_report(self) -> str | None:
        """Return the header value with which an answer reports the limit; None if the limit is not reported."""
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
    """Too many calls during warm-up took it down for the rest of the run."""
    recovered_at_s: float = -1.0
    """End of its last outage; -1 before the first outage and during one."""
    busy_slots: int = 0
    queue: deque[Waiting] = field(default_factory=deque)
    """Calls that wait for a slot."""
    recent_calls: deque[RecentCall] = field(default_factory=deque)
    informed_nodes: set[str] = field(default_factory=set)
    """Forwarders that know of the outage.

    During the outage, a connection of theirs broke or a client submitted a message for the destination to them; or a
    call of theirs was refused during the warm-up.
    """
    worst_budget_ratio: float = 0.0
    """Maximum ratio of the calls in a window of the warm-up to the budget of that window."""

    @property
    def slots(self) -> int:
        """Number of calls that it processes concurrently."""
        return max(MIN_SLOTS, round(SLOTS_PER_LOAD * self.spec.capacity_per_s * self.spec.service_s))

    def has_free_slot(self) -> bool:
        """Whether a call would start without queueing."""
        return self.busy_slots < self.slots

    def capacity_share(self, now_s: float) -> float:
        """Return the currently available share of its capacity."""
        settings = self.settings
        if self.recovered_at_s < 0 or now_s - self.recovered_at_s >= settings.warm_s:
            return 1.0
        return settings.cold_from + (1 - settings.cold_from) * (now_s - self.recovered_at_s) / settings.warm_s

    def is_warming_up(self, now_s: float) -> bool:
        """Whether it is below its full capacity after an outage."""
        return self.capacity_share(now_s) < 1.0

    def fail(self) -> None:
        """Start an outage."""
        self.is_down = True
        self.recovered_at_s = -1.0
        self.informed_nodes.clear()
        self.recent_calls.clear()

    def recover(self, now_s: float) -> None:
        """End an outage and start the warm-up, unless the endpoint was overloaded."""
        if not self.is_overloaded:
            self.is_down = False
            self.recovered_at_s = now_s

    def count_against_budget(self, now_s: float, node: str) -> float | None:
        """Count a call against the budget of a warming-up endpoint.

        Returns:
            If the call overloads the endpoint, the share of recent calls from forwarders that saw it fail; else None.
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
        """Accept or refuse a call. The caller has already checked connections, outages and the budget."""
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
