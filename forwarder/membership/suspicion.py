"""Suspected members, and the time after which a suspected member has failed (SWIM 4.2, Lifeguard IV-B)."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from forwarder.membership.node_state import NodeState

MIN_LOG_SIZE = 2.0
"""Lower bound of log10 of the fleet's size: on bad links a refutation is slow in a small fleet too."""


@dataclass(slots=True)
class Suspicion:
    """A running suspicion of one member."""

    began_at_us: int
    suspected_by: set[str] = field(default_factory=set)
    """Names of the members that suspect it."""


class SuspicionTable:
    """The running suspicions by name of the suspected member."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self.suspicions: dict[str, Suspicion] = {}

    def __contains__(self, name: object) -> bool:
        return name in self.suspicions

    def begin(self, name: str, suspected_by: str) -> None:
        """Starts a suspicion now."""
        self.suspicions[name] = Suspicion(self._state.now_us, {suspected_by})

    def confirm(self, name: str, suspected_by: str) -> bool:
        """Adds a member that suspects too, which shortens the suspicion. Returns whether it was added."""
        suspicion = self.suspicions[name]
        if suspected_by in suspicion.suspected_by or len(suspicion.suspected_by) > self._state.timing.confirmations:
            return False
        suspicion.suspected_by.add(suspected_by)
        return True

    def clear(self, name: str) -> None:
        """Ends the suspicion of a member, if there is one."""
        self.suspicions.pop(name, None)

    def postpone(self, stalled_us: int) -> None:
        """Extends all suspicions by the time for which this process was stalled."""
        for suspicion in self.suspicions.values():
            suspicion.began_at_us += stalled_us

    def ends_at_us(self, name: str) -> int:
        """Returns the time at which the member has failed: the more members suspect it, the sooner (Lifeguard IV-B)."""
        suspicion, timing = self.suspicions[name], self._state.timing
        size = self._state.size()
        shortest_us = timing.suspicion_factor * max(MIN_LOG_SIZE, math.log10(size)) * timing.period_us
        confirmation_count = max(0, len(suspicion.suspected_by) - 1)
        max_confirmations = min(timing.confirmations, max(0, size - 2))
        shrink = math.log(confirmation_count + 1) / math.log(max_confirmations + 1) if max_confirmations else 1.0
        factor = timing.max_suspicion_factor
        duration_us = max(shortest_us, factor * shortest_us - (factor - 1) * shortest_us * shrink)
        return suspicion.began_at_us + int(duration_us)

    def expired(self) -> list[str]:
        """Returns the names of the members whose suspicion has expired."""
        return [name for name in self.suspicions if self.ends_at_us(name) <= self._state.now_us]
