"""Bounds how many datagrams one address may send."""

from __future__ import annotations

from dataclasses import dataclass, field

RATE_PER_S = 300.0
"""Datagrams a second of one address; what is more is dropped unread."""
BURST = 600.0
"""Datagrams of one address at once."""
MAX_SOURCES = 4096


@dataclass(slots=True)
class DatagramRateLimiter:
    """A token bucket for each source address."""

    buckets: dict[str, tuple[float, float]] = field(default_factory=dict)
    """Tokens that are left, and when they were counted, in seconds."""

    def admits(self, host: str, now_s: float) -> bool:
        """Takes a token of this address. Returns whether there was one."""
        if host not in self.buckets and len(self.buckets) >= MAX_SOURCES:
            self._drop_full(now_s)
            if len(self.buckets) >= MAX_SOURCES:
                return False
        tokens, counted_at_s = self.buckets.get(host, (BURST, now_s))
        tokens = min(BURST, tokens + (now_s - counted_at_s) * RATE_PER_S)
        self.buckets[host] = (tokens - 1 if tokens >= 1 else tokens, now_s)
        return tokens >= 1

    def _drop_full(self, now_s: float) -> None:
        """Forgets addresses that have been silent for so long that their bucket is full."""
        self.buckets = {
            host: (tokens, counted_at_s)
            for host, (tokens, counted_at_s) in self.buckets.items()
            if now_s - counted_at_s < BURST / RATE_PER_S
        }
