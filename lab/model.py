"""How a destination and its endpoints behave, by the published pages. Pure: times in, answers out, seeded chance."""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from lab.plan import Destination, Endpoint
from lab.scenario import Endpoints

BURST_S = 0.5
"""A limit lets through at once what it earns in this time."""
TELL_S = 0.4
"""Reports of what a limit has left are so old at most (the brief: 230 to 960 ms)."""
FEW_CALLS = 30
"""The slack for chance is wider for fewer calls than these (the standing page)."""
INFORMED = 2 / 3
"""The rule is broken if so much of what pushed it over came from forwarders that had seen it fail."""


def cold_budget(allowed: float) -> float:
    """The most calls that a cold endpoint bears in the time in which the settings allow so many (the standing page)."""
    if allowed < FEW_CALLS:
        return allowed + 3 * math.sqrt(allowed) + 3
    return allowed + 2 * math.sqrt(allowed) + 2


@dataclass(slots=True)
class Limit:
    """A plain rate, shared by all forwarders: a bucket of tokens."""

    rate: float
    tokens: float = -1.0
    at_s: float = 0.0
    told: float = 1.0
    told_s: float = -1.0

    def __post_init__(self) -> None:
        self.tokens = self.room if self.tokens < 0 else self.tokens

    @property
    def room(self) -> float:
        return max(1.0, self.rate * BURST_S)

    def left(self, now_s: float) -> float:
        """Calls that it would let through at once."""
        self.tokens = min(self.room, self.tokens + max(0.0, now_s - self.at_s) * self.rate)
        self.at_s = now_s
        return self.tokens

    def take(self, now_s: float) -> bool:
        """Whether one more call is within the limit."""
        self.left(now_s)
        if now_s - self.told_s >= TELL_S:
            self.told, self.told_s = self.tokens / self.room, now_s
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(slots=True)
class Verdict:
    """What an endpoint makes of a call: a status, and for 200 how long the work takes."""

    status: int
    wait_s: float = 0.0
    work_s: float = 0.0


@dataclass(slots=True)
class Shop:
    """A destination: its limit and the chance of its told waits."""

    told: Destination
    chance: random.Random
    wait_s: tuple[float, float]
    limit: Limit | None = None
    tells: bool = True
    """Its answers report the limit."""

    def __post_init__(self) -> None:
        if self.told.limit and self.limit is None:
            self.limit = Limit(self.told.limit)

    def lowered(self, times: float) -> None:
        if self.limit is not None:
            self.limit.rate = self.told.limit * times
            self.limit.tokens = min(self.limit.tokens, self.limit.room)

    def wait(self) -> float:
        """The wait that a refusal tells, 0 where it tells none."""
        return self.chance.uniform(*self.wait_s) if self.chance.random() < self.told.tells_wait else 0.0

    def report(self) -> str | None:
        return None if self.limit is None or not self.tells else f"x0={self.limit.told:.3f},x1={self.limit.rate:.3f}"


@dataclass(slots=True)
class Station:
    """One endpoint: its slots, its queue, and whether it is up, cold or fallen over."""

    told: Endpoint
    shop: Shop
    settings: Endpoints
    chance: random.Random
    down: bool = False
    fallen: bool = False
    back_s: float = -1.0
    """When it came back from an outage; -1 while it has been warm for long."""
    busy: int = 0
    line: deque[Any] = field(default_factory=deque)
    """What waits for a slot; the caller knows what it is."""
    recent: deque[tuple[float, str]] = field(default_factory=deque)
    seen_failing: set[str] = field(default_factory=set)
    """Forwarders that had a call fail or refused here during the outage."""
    worst: float = 0.0
    """The most calls while it was cold, as a share of its budget in the same window."""

    @property
    def slots(self) -> int:
        return max(2, round(2.0 * self.told.rate * self.told.service_s))

    def part(self, now_s: float) -> float:
        """The share of its capacity that it has now."""
        if self.back_s < 0 or now_s - self.back_s >= self.settings.warm_s:
            return 1.0
        return self.settings.cold_from + (1 - self.settings.cold_from) * (now_s - self.back_s) / self.settings.warm_s

    def cold(self, now_s: float) -> bool:
        return self.part(now_s) < 1.0

    def fail(self) -> None:
        self.down, self.back_s = True, -1.0
        self.seen_failing.clear()
        self.recent.clear()

    def come_back(self, now_s: float) -> None:
        if not self.fallen:
            self.down, self.back_s = False, now_s

    def heed(self, now_s: float, node: str) -> float | None:
        """Count a call against the cold budget. Returns the informed share if it falls over by it."""
        if not self.cold(now_s):
            return None
        self.recent.append((now_s, node))
        while self.recent[0][0] <= now_s - self.settings.fall_s:
            self.recent.popleft()
        budget = cold_budget(self.settings.fall_times * self.part(now_s) * self.told.rate * self.settings.fall_s)
        self.worst = max(self.worst, len(self.recent) / budget)
        if len(self.recent) <= budget:
            return None
        informed = sum(name in self.seen_failing for _, name in self.recent) / len(self.recent)
        self.down = self.fallen = True
        return informed

    def judge(self, now_s: float) -> Verdict:
        """Accept a call, or say why not. The caller has seen to connections, outages and the cold budget."""
        if self.shop.limit is not None and not self.shop.limit.take(now_s):
            wait = self.shop.wait()
            return Verdict(429 if wait else 503, wait_s=wait)
        if self.busy >= self.slots and len(self.line) >= self.settings.queue:
            return Verdict(503)
        usual = self.told.service_s / self.part(now_s)
        return Verdict(200, work_s=min(10 * usual, self.chance.lognormvariate(0.0, 0.28) * usual))
