"""By how many a forwarder divides what all share: limits, slow-start budgets, tenants' quotas. Pure.

The rule of safety: over any set of forwarders that could be up at once, whatever each believes, the sum of their shares
is at most the whole. N is the most that can be up, by the settings or the view, whichever is more. Each has a base of
1/N.

- More than half of N (a quorum) may take, beside their own bases, all the bases of those that have left by their own
  word (no longer ago than `believe_us`) and half the bases of those that failed: only once that has been so, and they
  have been a quorum, unbroken for `settle_us`.
- So a forwarder has its base as long as nobody can have taken it: for `settle_us` less `detect_us` (the longest that a
  cut goes unnoticed) from when it was last sure that all who could take it knew it to be alive; that is when it has had
  a quorum with it for `detect_us` and `notify_us`. This lease outlasts a restart. Without it: half of its base.
- Where all that are absent have left by their own word, those that are alive go on as if they were a quorum.

Only one side of a cut has a quorum: its m members take m/N, the n that failed n/2N once their leases are over, and half
of the bases of those n is what the m may take beside their own: together the whole. Who bridges a cut is heard through
(indirect probes), so two sides do not both count one member. Slack: who left and is back where it cannot be heard: its
base, and half the bases of those that believe so, for `believe_us` at most.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import ExtensionEvent
from forwarder.decisions.fleet_messages import FleetView, FleetViewChanged, QuorumState
from forwarder.decisions.outcomes import Outcome
from forwarder.units import SECOND_US

NO_QUORUM = -1
NO_LEASE_FACTOR = 2.0
"""A forwarder without a lease takes half of its base."""
FAR_FUTURE_US = 3600 * SECOND_US
"""Stands for the time of the next change where none is near."""


@dataclass(slots=True)
class FleetQuota:
    """Follows the view, and tells by how many to divide. That grows at once, and falls only when that is safe.

    Attributes:
        forwarders: number by the settings.
        settle_us: so long a change must have lasted before more than the base is taken.
        believe_us: so long another's word that it leaves is believed.
        detect_us: the longest that a cut, or a death, goes unnoticed.
        notify_us: by then all have heard of a change.
        leased_until: by then others may have taken this forwarder's base; at the start, that of its last run.
        view: the newest view.
        known: names of all that were ever alive.
        absent_since_us: since when those that are not alive failed or left, unbroken.
        quorum_since_us: since when a quorum has been alive, unbroken; NO_QUORUM while there is none.
    """

    forwarders: int
    settle_us: int
    believe_us: int
    detect_us: int
    notify_us: int
    leased_until: int = 0
    view: FleetView = field(default_factory=lambda: FleetView(frozenset(), stale=True))
    known: set[str] = field(default_factory=set)
    absent_since_us: dict[str, int] = field(default_factory=dict)
    quorum_since_us: int = NO_QUORUM

    @property
    def max_members(self) -> int:
        """N: how many can be up at once."""
        return max(self.forwarders, len(self.known))

    def update(self, now_us: int, view: FleetView) -> None:
        """Takes in a view. A change in who is absent, or a stop, begins all waiting anew for those it concerns."""
        self.view = view
        self.known |= view.alive | view.left
        self.absent_since_us = {name: self.absent_since_us.get(name, now_us) for name in self.known - view.alive}
        if self._is_cut_off(now_us):
            self.quorum_since_us = NO_QUORUM
        elif self.quorum_since_us < 0:
            self.quorum_since_us = now_us
        if self.is_proven(now_us):
            self.leased_until = now_us + self.settle_us - self.detect_us
        elif view.has_rival:
            self.leased_until = 0

    def _left(self, now_us: int) -> frozenset[str]:
        """Returns those that have left by a word that is not too old."""
        return frozenset(
            name for name in self.view.left if now_us - self.absent_since_us.get(name, now_us) <= self.believe_us
        )

    def _is_cut_off(self, now_us: int) -> bool:
        alive = len(self.view.alive)
        return self.view.stale or (2 * alive <= self.max_members > alive + len(self._left(now_us)))

    def mode(self, now_us: int) -> QuorumState:
        """Returns how sure this forwarder is of who is up."""
        if self.view.stale or len(self.view.alive) <= 1 < self.max_members - len(self._left(now_us)):
            return QuorumState.ALONE
        if self._is_cut_off(now_us):
            return QuorumState.CUT_OFF
        accounted = len(self.view.alive | self._left(now_us))
        return QuorumState.AGREED if accounted >= self.max_members else QuorumState.UNSURE

    def is_proven(self, now_us: int) -> bool:
        """Whether there has been a quorum for so long that all who could take this one's base know it is alive."""
        proven_us = now_us - self.detect_us - self.notify_us
        return not self._is_cut_off(now_us) and 0 <= self.quorum_since_us <= proven_us

    def divisor(self, now_us: int) -> float:
        """Returns what to divide by: 1 over this forwarder's share."""
        if self.max_members <= 1:
            return 1.0
        if now_us >= self.leased_until:
            return NO_LEASE_FACTOR * self.max_members
        if self._is_cut_off(now_us) or not 0 <= self.quorum_since_us <= now_us - self.settle_us:
            return float(self.max_members)
        settled = {name for name, since_us in self.absent_since_us.items() if now_us - since_us >= self.settle_us}
        left = len(settled & self._left(now_us))
        failed = len(settled - self.view.left)
        still_taking = self.absent_since_us.keys() - settled - self.view.left
        sharing = len(self.view.alive) + len(still_taking)
        return self.max_members / (1.0 + (left + failed / 2) / sharing)

    def confidence(self, now_us: int) -> float:
        """Returns the share of those that can be up of whom it is known what they do."""
        if self.view.stale:
            return 0.0
        return min(1.0, len(self.view.alive | self._left(now_us)) / self.max_members)

    def next_at(self, now_us: int) -> int:
        """Returns when the divisor may change though the view does not."""
        times_us = [
            self.leased_until,
            self.quorum_since_us + self.settle_us,
            self.quorum_since_us + self.detect_us + self.notify_us,
        ]
        for name, since_us in self.absent_since_us.items():
            times_us.append(since_us + self.settle_us)
            if name in self.view.left:
                times_us.append(since_us + self.believe_us + 1)
        return min((time_us for time_us in times_us if time_us > now_us), default=now_us + FAR_FUTURE_US)


class FleetQuotaExtension:
    """Lets the dispatcher divide by who is alive."""

    def __init__(self, dispatcher: Dispatcher, quota: FleetQuota) -> None:
        self.dispatcher = dispatcher
        self.quota = quota

    def apply_event(self, event: ExtensionEvent) -> None:
        """Takes in a view."""
        if isinstance(event, FleetViewChanged):
            self.quota.update(self.dispatcher.now_us, event.view)

    def on_outcome(self, endpoint_id: int, outcome: Outcome) -> None:
        """Quotas do not depend on outcomes."""

    def before_release(self) -> None:
        """Sets what the dispatcher divides by."""
        self.quota.forwarders = self.dispatcher.settings.forwarders
        self.dispatcher.set_fleet_size(self.quota.divisor(self.dispatcher.now_us))

    def after_release(self) -> None:
        """Nothing follows from a release."""
