"""What a dispatcher has learned and has in flight, for the process that takes over."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

LearnedFields = Mapping[str, float]
"""Fields of a record by name. A name that the reader does not know is passed over."""


@dataclass(frozen=True, slots=True)
class CallInFlight:
    """A call that is out, with the messages and attempts whose outcome is still owed."""

    endpoint: int
    sent_us: int
    connection_idle_us: int
    since_previous_us: int
    counted: bool
    attempts: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class LearnedState:
    """What a dispatcher has learned and has out, for the one in the process that takes over."""

    limit_scopes: tuple[tuple[int, int, LearnedFields], ...] = ()
    """Each by its destination and, where routes are apart, its target (else -1)."""
    endpoints: tuple[tuple[int, LearnedFields], ...] = ()
    key_backoffs: Mapping[str, int] = field(default_factory=dict)
    """Until when keys rest."""
    tenant_buckets: Mapping[str, int] = field(default_factory=dict)
    trusted_idle_us: int = 0
    calls: tuple[CallInFlight, ...] = ()
