"""The state of a dispatcher that a hand-over passes on. Times are integers in microseconds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

LearnedFields = Mapping[str, float]
"""Fields of a record by name. Names that the reader does not know are ignored."""


@dataclass(frozen=True, slots=True)
class CallInFlight:
    """A call in flight, with the message ids and numbers of its attempts without an outcome."""

    endpoint: int
    sent_us: int
    connection_idle_us: int
    since_previous_us: int
    counted: bool
    attempts: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class LearnedState:
    """What a dispatcher has learned and has in flight, for the one in the process that takes over."""

    limit_scopes: tuple[tuple[int, int, LearnedFields], ...] = ()
    """Each by its destination and, for a separate route, its endpoint (else -1)."""
    endpoints: tuple[tuple[int, LearnedFields], ...] = ()
    key_backoffs: Mapping[str, int] = field(default_factory=dict)
    """Until when, by key, the next message waits."""
    tenant_buckets: Mapping[str, int] = field(default_factory=dict)
    """By tenant, when the messages accepted so far are within its quota."""
    trusted_idle_us: int = 0
    """For how long idle connections are trusted."""
    calls: tuple[CallInFlight, ...] = ()
