"""What a dispatcher has learned and has in flight, for the process that takes over."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

StoredFields = Mapping[str, float]
"""Fields of a record by name. A name that the reader does not know is passed over."""


@dataclass(frozen=True, slots=True)
class CallInFlight:
    """A call that is out, with the messages and attempts whose outcome is still owed."""

    target: int
    sent_us: int
    idle_us: int
    gap_us: int
    judged: bool
    attempts: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class LearnedState:
    """What a dispatcher has learned and has out, for the one in the process that takes over."""

    places: tuple[tuple[int, int, StoredFields], ...] = ()
    """Each by its destination and, where routes are apart, its target (else -1)."""
    targets: tuple[tuple[int, StoredFields], ...] = ()
    rests: Mapping[str, int] = field(default_factory=dict)
    """Until when keys rest."""
    purses: Mapping[str, int] = field(default_factory=dict)
    idle_us: int = 0
    calls: tuple[CallInFlight, ...] = ()
