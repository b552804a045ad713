"""Divides what all forwarders share: rate limits, slow-start budgets and tenant quotas. Does no I/O.

Safety rule: for any set of forwarders that could be up at the same time, whatever each of them believes, the sum of
their shares is at most the whole. N is the maximum number of forwarders that can be up, by the settings or by the view,
whichever is greater. Each forwarder has a base share of 1/N.

- A quorum (more than half of N) may use, in addition to its own base shares, all base shares of forwarders that
  announced that they left (at most `believe_us` ago) and half the base shares of forwarders that failed. It may do so
  once both the absences and the quorum have lasted for `settle_us` without interruption.
- A forwarder therefore keeps its base share while nobody else can be using it: for `settle_us` minus `detect_us` (the
  longest time that a network partition goes undetected) after it was last certain that every forwarder that could use
  its share knew it to be alive. It is certain of this once it has been part of a quorum for `detect_us` plus
  `notify_us`. This lease survives a restart. Without a lease, a forwarder uses half of its base share.
- If all absent forwarders announced that they left, the remaining ones act as a quorum.

Only one side of a network partition has a quorum. Its m members use m/N plus half the base shares of the n failed
members, and those n members use n/2N once their leases have expired; together that is the whole. Indirect probes reach
a member that both sides can reach, so the sides do not both count it.

Tolerance: if a forwarder left and came back where others cannot reach it, the sum may exceed the whole by its base
share plus half the base shares of those that still believe that it left, for at most `believe_us`.
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
"""A forwarder without a lease uses half of its base share."""
FAR_FUTURE_US = 3600 * SECOND_US
"""Delay until the next change if no change is pending."""


@dataclass(slots=True)
class FleetQuota:
    """Follows the view and computes the divisor, which grows at once but falls only when that is safe.

    Attributes:
        forwarders: number of forwarders in the settings.
        settle_us: how long a change must last before more than the base share is used.
        believe_us: how long the announcement of a forwarder that it leaves is trusted.
        detect_us: longest time that a network partition or a failure goes undetected.
        notify_us: time in which all reachable forwarders learn of a change.
        leased_until_us: when others may start to use this forwarder's base share; initially the value of its last run.
        view: the latest view.
        known: names of all forwarders that were ever alive.
        absent_since_us: since when each absent forwarder has been failed or left without interruption.
        quorum_since_us: since when a quorum has been alive without interruption; NO_QUORUM while there is none.
    """

    forwarders: int
    settle_us: int
    believe_us: int
    detect_us: int
    notify_us: int
    leased_until_us: int = 0
    view: FleetView = field(default_factory=lambda: FleetView(frozenset(), stale=True))
    known: set[str] = field(default_factory=set)
    absent_since_us: dict[str, int] = field(default_factory=dict)
    quorum_since_us: int = NO_QUORUM

    @property
    def max_members(self) -> int:
        """N, the maximum number of forwarders that can be up at the same time."""
        return max(self.forwarders, len(self.known))

    def update(self, now_us: int, view: FleetView) -> None:
        """Applies a view.

        A change in who is absent, or a stall of this process, restarts the waiting times that it affects.
        """
        self.view = view
        self.known |= view.alive | view.left
        self.absent_since_us = {name: self.absent_since_us.get(name, now_us) for name in self.known - view.alive}
        if self._is_cut_off(now_us):
            self.quorum_since_us = NO_QUORUM
        elif self.quorum_since_us < 0:
            self.quorum_since_us = now_us
        if self.is_proven_alive(now_us):
            self.leased_until_us = now_us + self.settle_us - self.detect_us
        elif view.has_rival:
            self.leased_until_us = 0

    def _trusted_left(self, now_us: int) -> frozenset[str]:
        """Returns the forwarders whose announcement that they left is still trusted."""
        return frozenset(
            name for name in self.view.left if now_us - self.absent_since_us.get(name, now_us) <= self.believe_us
        )

    def _is_cut_off(self, now_us: int) -> bool:
        alive = len(self.view.alive)
        return self.view.stale or (2 * alive <= self.max_members > alive + len(self._trusted_left(now_us)))

    def quorum_state(self, now_us: int) -> QuorumState:
        """Returns how certain this forwarder is of which forwarders are up."""
        if self.view.stale or len(self.view.alive) <= 1 < self.max_members - len(self._trusted_left(now_us)):
            return QuorumState.ALONE
        if self._is_cut_off(now_us):
            return QuorumState.CUT_OFF
        known_state_count = len(self.view.alive | self._trusted_left(now_us))
        return QuorumState.AGREED if known_state_count >= self.max_members else QuorumState.UNSURE

    def is_proven_alive(self, now_us: int) -> bool:
        """Returns whether all forwarders that could use this one's base share know that it is alive."""
        latest_start_us = now_us - self.detect_us - self.notify_us
        return not self._is_cut_off(now_us) and 0 <= self.quorum_since_us <= latest_start_us

    def divisor(self, now_us: int) -> float:
        """Returns the number to divide by: the inverse of this forwarder's share."""
        if self.max_members <= 1:
            return 1.0
        if now_us >= self.leased_until_us:
            return NO_LEASE_FACTOR * self.max_members
        if self._is_cut_off(now_us) or not 0 <= self.quorum_since_us <= now_us - self.settle_us:
            return float(self.max_members)
        settled = {name for name, since_us in self.absent_since_us.items() if now_us - since_us >= self.settle_us}
        left = len(settled & self._trusted_left(now_us))
        failed = len(settled - self.view.left)
        unsettled_failed = self.absent_since_us.keys() - settled - self.view.left
        sharing_count = len(self.view.alive) + len(unsettled_failed)
        return self.max_members / (1.0 + (left + failed / 2) / sharing_count)

    def confidence(self, now_us: int) -> float:
        """Returns the fraction of the forwarders that can be up whose state is known."""
        if self.view.stale:
            return 0.0
        return min(1.0, len(self.view.alive | self._trusted_left(now_us)) / self.max_members)

    def next_change_at_us(self, now_us: int) -> int:
        """Returns when the divisor may next change without a new view."""
        times_us = [
            self.leased_until_us,
            self.quorum_since_us + self.settle_us,
            self.quorum_since_us + self.detect_us + self.notify_us,
        ]
        for name, since_us in self.absent_since_us.items():
            times_us.append(since_us + self.settle_us)
            if name in self.view.left:
                times_us.append(since_us + self.believe_us + 1)
        return min((time_us for time_us in times_us if time_us > now_us), default=now_us + FAR_FUTURE_US)


class FleetQuotaExtension:
    """Sets the fleet size of the dispatcher from the quota."""

    def __init__(self, dispatcher: Dispatcher, quota: FleetQuota) -> None:
        self.dispatcher = dispatcher
        self.quota = quota

    def apply_event(self, event: ExtensionEvent) -> None:
        """Applies a new view of the fleet."""
        if isinstance(event, FleetViewChanged):
            self.quota.update(self.dispatcher.now_us, event.view)

    def on_outcome(self, endpoint_id: int, outcome: Outcome) -> None:
        """Does nothing: quotas do not depend on outcomes."""

    def before_release(self) -> None:
        """Sets the fleet size that the dispatcher divides by."""
        self.quota.forwarders = self.dispatcher.settings.forwarders
        self.dispatcher.set_fleet_size(self.quota.divisor(self.dispatcher.now_us))

    def after_release(self) -> None:
        """Does nothing: quotas do not depend on the release."""
