"""Events and actions between membership and the decisions. Times are in microseconds of this forwarder's clock."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from forwarder.decisions.actions import ExtensionAction
from forwarder.decisions.events import ExtensionEvent


class QuorumState(Enum):
    """How sure a forwarder is of who is up; the values are read by operators."""

    AGREED = "agreed"
    """All that can be up are alive, or have left by their own word."""
    UNSURE = "unsure"
    """More than half are alive."""
    CUT_OFF = "cut off"
    """Not more than half are."""
    ALONE = "alone"
    """Nobody is heard."""


@dataclass(frozen=True, slots=True)
class FleetView:
    """Who is alive, this forwarder among them, and who has left by its own word."""

    alive: frozenset[str]
    left: frozenset[str] = frozenset()
    stale: bool = False
    """Nobody has answered since the start, or since the process stood still."""
    has_rival: bool = False
    """Another process has this forwarder's name, and goes on under it."""


@dataclass(frozen=True, slots=True)
class FleetViewChanged(ExtensionEvent):
    """Membership has a new view, or the old one is a second older."""

    view: FleetView


@dataclass(frozen=True, slots=True)
class Observation:
    """What one other forwarder has observed of an endpoint."""

    observer: str
    ejected_at_us: int
    """Since when it failed there; -1 if it never did, and it was only served by it."""
    recovering_since_us: int = -1
    """Since when it is recovering there, or when it served; -1 if it is not."""


@dataclass(frozen=True, slots=True)
class GossipReceived(ExtensionEvent):
    """All that others tell and that is not too old; of Retry-After waits only those that are new."""

    observations: Mapping[int, tuple[Observation, ...]] = field(default_factory=dict)
    """By endpoint, one of each forwarder that tells something of it."""
    retry_afters: tuple[tuple[tuple[int, int], int], ...] = ()
    """Destination and which of its routes (-1: all), and until when."""
    holders: Mapping[int, frozenset[str]] = field(default_factory=dict)
    """Who else holds messages for which endpoint in slow start."""


@dataclass(frozen=True, slots=True)
class PeersQueried(ExtensionEvent):
    """The others have answered what a forwarder without its folder asks first, or the time for it is up."""


@dataclass(frozen=True, slots=True)
class AnnounceEjection(ExtensionAction):
    """This forwarder itself has seen an endpoint fail, or recover, or serve though others have ejected it."""

    endpoint: int
    ejected_at_us: int
    """-1: it has served."""
    recovering_since_us: int
    """-1: it is not."""


@dataclass(frozen=True, slots=True)
class AnnounceRetryAfter(ExtensionAction):
    """A destination, or one route of it, has told this forwarder to wait until then."""

    limit_scope: tuple[int, int]
    until_us: int


@dataclass(frozen=True, slots=True)
class AnnounceHolding(ExtensionAction):
    """The endpoints in slow start for which this forwarder holds messages: all, whatever was told before."""

    endpoints: frozenset[int]
