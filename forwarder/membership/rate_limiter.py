"""Limits the rate of datagrams that are accepted from one address."""

from __future__ import annotations

from dataclasses import dataclass, field

RATE_PER_S = 300.0
"""Datagrams per second from one address; further ones are dropped unread."""
BURST = 600.0
"""Datagrams from one address that are accepted in a burst."""
MAX_SOURCES = 4096


@dataclass(slots=True)
class DatagramRateLimiter:
    """Keeps a token bucket for each source address."""

    buckets: dict[str, tuple[float, float]] = field(default_factory=dict)
    """Remaining tokens and the time in seconds at which they were counted, by source address."""

    def admits(self, host: str, now_s: float) -> bool:
        """Takes a token from the bucket of an address. Returns whether there was one."""
        if host not in self.buckets and len(self.buckets) >= MAX_SOURCES:
            self._drop_full_buckets(now_s)
            if len(self.buckets) >= MAX_SOURCES:
                return False
        tokens, counted_at_s = self.buckets.get(host, (BURST, now_s))
        tokens = min(BURST, tokens + (now_s - counted_at_s) * RATE_PER_S)
        self.buckets[host] = (tokens - 1 if tokens >= 1 else tokens, now_s)
        return tokens >= 1

    def _drop_full_buckets(self, now_s: float) -> None:
        """Drops addresses whose bucket has filled up again since their last datagram."""
        self.buckets = {
            host: (tokens, counted_at_s)
            for host, (tokens, counted_at_s) in self.buckets.items()
            if now_s - counted_at_s < BURST / RATE_PER_S
        }
