"""Members under suspicion, and when a suspicion turns into a failure (SWIM 4.2, Lifeguard IV-B)."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from forwarder.membership.node_state import NodeState

MIN_LOG_SIZE = 2.0
"""The least logarithm of the size that counts: with few members and bad links a refutation is slow too."""


@dataclass(slots=True)
class Suspicion:
    """Why a member is suspected."""

    began_at_us: int
    suspected_by: set[str] = field(default_factory=set)


class SuspicionTable:
    """The suspicions that run, by the member's name."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self.suspicions: dict[str, Suspicion] = {}

    def __contains__(self, name: object) -> bool:
        return name in self.suspicions

    def begin(self, name: str, suspected_by: str) -> None:
        """A suspicion begins now."""
        self.suspicions[name] = Suspicion(self._state.now_us, {suspected_by})

    def confirm(self, name: str, suspected_by: str) -> bool:
        """Another member has the suspicion too, which makes it run shorter. Returns whether that was new."""
        suspicion = self.suspicions[name]
        if suspected_by in suspicion.suspected_by or len(suspicion.suspected_by) > self._state.timing.confirmations:
            return False
        suspicion.suspected_by.add(suspected_by)
        return True

    def clear(self, name: str) -> None:
        """The member is not suspected any more."""
        self.suspicions.pop(name, None)

    def postpone(self, passed_us: int) -> None:
        """The process stood still for so long: no suspicion ran meanwhile."""
        for suspicion in self.suspicions.values():
            suspicion.began_at_us += passed_us

    def ends_at_us(self, name: str) -> int:
        """When the suspicion turns into a failure: the sooner the more members have it (Lifeguard IV-B)."""
        suspicion, timing = self.suspicions[name], self._state.timing
        size = self._state.size()
        shortest_us = timing.suspicion_factor * max(MIN_LOG_SIZE, math.log10(size)) * timing.period_us
        confirmed = max(0, len(suspicion.suspected_by) - 1)
        wanted = min(timing.confirmations, max(0, size - 2))
        shrink = math.log(confirmed + 1) / math.log(wanted + 1) if wanted else 1.0
        factor = timing.max_suspicion_factor
        length_us = max(shortest_us, factor * shortest_us - (factor - 1) * shortest_us * shrink)
        return suspicion.began_at_us + int(length_us)

    def expired(self) -> list[str]:
        """Names of the members whose suspicion has run out."""
        return [name for name in self.suspicions if self.ends_at_us(name) <= self._state.now_us]
