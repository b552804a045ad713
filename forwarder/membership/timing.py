"""Times and factors of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass

from forwarder.units import SECOND_US


@dataclass(frozen=True, slots=True)
class Timing:
    """Times in microseconds, and factors.

    The defaults are for 200 members: the first member detects a crash within 2 s, and the last learns of it within 5 s
    (docs/measurements.md). Times that depend on the size of the fleet are computed from the view.
    """

    period_us: int = 300_000
    """One member is probed in each period."""
    probe_timeout_us: int = 150_000
    """Time without an answer to a direct probe after which other members are asked to probe the target too."""
    indirect_probes: int = 4
    """Number of members that are asked to probe the target."""
    suspicion_factor: float = 1.8
    """The minimum duration of a suspicion is this times log10 of the fleet's size (at least MIN_LOG_SIZE) times the
    period (Lifeguard: alpha)."""
    max_suspicion_factor: float = 6.0
    """The maximum duration of a suspicion is this times the minimum duration (Lifeguard: beta)."""
    confirmations: int = 3
    """Number of confirmations by other members that shorten a suspicion to its minimum duration (Lifeguard: K)."""
    retransmit_factor: float = 3.0
    """Each member sends a change this many times log2 of the fleet's size (SWIM: lambda)."""
    sync_interval_us: int = 10 * SECOND_US
    """Mean time between two exchanges of the whole view."""
    stall_us: int = 2 * SECOND_US
    """A process was stalled if its clock has advanced by more than this between two steps."""
