"""Dispatcher state that a hand-over transfers. Times are integers in microseconds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

LearnedFields = Mapping[str, float]
"""Fields of a record by name. The reader ignores names it does not know."""


@dataclass(frozen=True, slots=True)
class CallInFlight:
    """A call in flight, with the message ids and numbers of its attempts that have no outcome yet."""

    endpoint: int
    sent_us: int
    connection_idle_us: int
    since_previous_us: int
    counted: bool
    attempts: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class LearnedState:
    """Learned state and calls in flight of a dispatcher, for the process that takes over."""

    limit_scopes: tuple[tuple[int, int, LearnedFields], ...] = ()
    """Identified by destination and endpoint; the endpoint is -1 unless it has a separate route."""
    endpoints: tuple[tuple[int, LearnedFields], ...] = ()
    key_backoffs: Mapping[str, int] = field(default_factory=dict)
    """End of the backoff of each key."""
    tenant_buckets: Mapping[str, int] = field(default_factory=dict)
    """When the messages accepted so far are within the quota, by tenant."""
    trusted_idle_us: int = 0
    """Longest idle time at which a connection is reused."""
    calls: tuple[CallInFlight, ...] = ()
