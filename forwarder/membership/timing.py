"""Times and factors of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass

from forwarder.units import SECOND_US


@dataclass(frozen=True, slots=True)
class Timing:
    """Times in microseconds, and factors.

    The defaults are for 200 members: a death is known to the first within 2 s and to the last within 5
    (docs/measurements.md). What depends on the size of the fleet follows from the view.
    """

    period_us: int = 300_000
    """One member is probed in each period."""
    probe_timeout_us: int = 150_000
    """How long a direct probe may take before others are asked to probe too."""
    indirect_probes: int = 4
    """How many others are asked."""
    suspicion_factor: float = 1.8
    """Times log10 of the size (MIN_LOG_SIZE at least), times the period: the least time that a suspicion runs
    (Lifeguard: alpha)."""
    max_suspicion_factor: float = 6.0
    """Times the least time: the longest that a suspicion runs (Lifeguard: beta)."""
    confirmations: int = 3
    """So many other members that suspect it too bring a suspicion down to its least time (Lifeguard: K)."""
    retransmit_factor: float = 3.0
    """Times log2 of the size: how often one change is sent on (SWIM: lambda)."""
    sync_interval_us: int = 10 * SECOND_US
    """Mean time between two exchanges of the whole view."""
    stall_us: int = 2 * SECOND_US
    """The process stood still if its clock went on by more than this between two steps."""
