"""How far the end of this process has come, for all that has to behave differently from then on."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class RunState:
    """Set by the shutdown and by the end of the process; read by everything else."""

    stopping_since_s: float | None = None
    """Since when, by the monotonic clock, a shutdown is under way."""
    is_frozen: bool = False
    """Whether nothing new is accepted or sent any more; calls in progress may still end."""
    is_closed: bool = False
    """Whether outcomes are recorded no more: what is open in the journal stays open."""

    @property
    def is_stopping(self) -> bool:
        """Whether SIGTERM has come."""
        return self.stopping_since_s is not None
