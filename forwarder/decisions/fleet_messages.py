"""Events and actions exchanged with membership. Times are in microseconds of this forwarder's clock."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from forwarder.decisions.actions import ExtensionAction
from forwarder.decisions.events import ExtensionEvent


class QuorumState(Enum):
    """How certain a forwarder is of which forwarders are up. Operators read the values."""

    AGREED = "agreed"
    """All forwarders that can be up are alive or announced that they left."""
    UNSURE = "unsure"
    """More than half of the forwarders are alive, and the state of some is not known."""
    CUT_OFF = "cut off"
    """At most half of the forwarders are alive, and not all absent ones announced that they left."""
    ALONE = "alone"
    """No other forwarder answers."""


@dataclass(frozen=True, slots=True)
class FleetView:
    """The forwarders that are alive, including this one, and those that announced that they left."""

    alive: frozenset[str]
    left: frozenset[str] = frozenset()
    stale: bool = False
    """No forwarder has answered since the start, or since this process was last stalled."""
    has_rival: bool = False
    """Another process uses the name of this forwarder and keeps it."""


@dataclass(frozen=True, slots=True)
class FleetViewChanged(ExtensionEvent):
    """The view has changed, or another second has passed without a change."""

    view: FleetView


@dataclass(frozen=True, slots=True)
class Observation:
    """What another forwarder has observed about an endpoint."""

    observer: str
    ejected_at_us: int
    """When the observer ejected the endpoint; -1 if it did not and only reports a success."""
    recovering_since_us: int = -1
    """When the endpoint started to recover for the observer, or served it; -1 if it did neither."""


@dataclass(frozen=True, slots=True)
class GossipReceived(ExtensionEvent):
    """All gossip of other forwarders that has not expired, but only new Retry-After waits."""

    observations: Mapping[int, tuple[Observation, ...]] = field(default_factory=dict)
    """By endpoint, one observation of each forwarder that reports on it."""
    retry_afters: tuple[tuple[tuple[int, int], int], ...] = ()
    """Key of the limit scope (destination and endpoint; -1 for all endpoints), and the end of the wait."""
    holders: Mapping[int, frozenset[str]] = field(default_factory=dict)
    """Other forwarders that hold messages for an endpoint in slow start, by endpoint."""


@dataclass(frozen=True, slots=True)
class PeersQueried(ExtensionEvent):
    """The startup query to other forwarders is over: they have answered, or it has timed out.

    A forwarder that starts without its state folder sends this query.
    """


@dataclass(frozen=True, slots=True)
class AnnounceEjection(ExtensionAction):
    """Announces what this forwarder observed: an endpoint failed, recovered, or served though others ejected it."""

    endpoint: int
    ejected_at_us: int
    """-1 if the endpoint served a call and is not ejected here."""
    recovering_since_us: int
    """Start of the recovery, or the time of the success if the endpoint is not ejected; -1 if it does not recover."""


@dataclass(frozen=True, slots=True)
class AnnounceRetryAfter(ExtensionAction):
    """Announces a Retry-After that this forwarder received for a limit scope."""

    limit_scope: tuple[int, int]
    """Destination and endpoint; -1 for all endpoints."""
    until_us: int
    """End of the wait."""


@dataclass(frozen=True, slots=True)
class AnnounceHolding(ExtensionAction):
    """Announces all endpoints in slow start for which this forwarder holds messages; replaces earlier lists."""

    endpoints: frozenset[int]
