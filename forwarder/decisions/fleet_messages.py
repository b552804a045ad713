"""What membership and the Dispatcher's parts say to each other: events in, actions out.

Times are in microseconds of this forwarder's own clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from forwarder.decisions.actions import ExtensionAction
from forwarder.decisions.events import ExtensionEvent


class QuorumState(Enum):
    """How sure a forwarder is of who is up."""

    AGREED = "agreed"  # all that can be up are there, or have left by their own word
    UNSURE = "unsure"  # more than half are there
    CUT_OFF = "cut off"  # not more than half are
    ALONE = "alone"  # nobody is heard


@dataclass(frozen=True, slots=True)
class FleetView:
    """What membership tells: who is there, this forwarder among them, and who has left by its own word."""

    alive: frozenset[str]
    left: frozenset[str] = frozenset()
    stale: bool = False
    """Nobody has answered since the start, or since the process stood still."""
    has_rival: bool = False
    """Another process has this forwarder's name, and goes on under it."""


@dataclass(frozen=True, slots=True)
class FleetViewChanged(ExtensionEvent):
    """Membership's view has been looked at."""

    view: FleetView


@dataclass(frozen=True, slots=True)
class Observation:
    """What one other forwarder has seen of a target: in an outage since then (-1: never), and back since (-1: it is
    not), or served by it then.
    """

    observer: str
    ejected_at_us: int
    recovering_since_us: int = -1


@dataclass(frozen=True, slots=True)
class GossipReceived(ExtensionEvent):
    """All that others say and that is not too old; of told waits only those that are new."""

    observations: Mapping[int, tuple[Observation, ...]] = field(default_factory=dict)
    """By target, one of each that says something of it."""
    retry_afters: tuple[tuple[tuple[int, int], int], ...] = ()
    """Destination and which of its routes (-1: all), and until when."""
    holders: Mapping[int, frozenset[str]] = field(default_factory=dict)
    """Who else holds messages for which cold target."""


@dataclass(frozen=True, slots=True)
class PeersQueried(ExtensionEvent):
    """The others have answered what a forwarder without a folder asks first, or the time for it is up."""


@dataclass(frozen=True, slots=True)
class AnnounceEjection(ExtensionAction):
    """Seen by this forwarder itself: a target in an outage since then, or back from it (-1: not). Since -1: it was
    served by one that others take to be out.
    """

    endpoint: int
    ejected_at_us: int
    recovering_since_us: int


@dataclass(frozen=True, slots=True)
class AnnounceRetryAfter(ExtensionAction):
    """A destination (or one route of it) has told this forwarder to wait until then."""

    limit_scope: tuple[int, int]
    until_us: int


@dataclass(frozen=True, slots=True)
class AnnounceHolding(ExtensionAction):
    """The cold targets for which this forwarder holds messages: all of them, whatever was told before."""

    endpoints: frozenset[int]
