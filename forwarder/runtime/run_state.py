"""How far the shutdown of this process has progressed, for the components that behave differently during it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class RunState:
    """Set by the shutdown and at the end of the process; read by all other components."""

    stopping_since_s: float | None = None
    """Time on the monotonic clock at which the shutdown began; None before that."""
    is_frozen: bool = False
    """Whether nothing new is accepted or sent any more. Calls in progress may still end."""
    is_closed: bool = False
    """Whether outcomes are no longer recorded: attempts that are open in the journal stay open."""

    @property
    def is_stopping(self) -> bool:
        """Whether the shutdown has begun."""
        return self.stopping_since_s is not None
