"""By how many a forwarder divides what all share: limits, cold budgets, allowances. Pure: views in, a size out.

The rule of safety: over any set of forwarders that could be up at once, whatever each believes, the sum of their
shares is at most the whole. N is the most that can be up, by the settings or the view, whichever is more. Each has a
base of 1/N.

- More than half of N may take, beside their own bases, all the bases of those that have left by their own word (no
  longer ago than `believe_us`) and half the bases of those that are gone: only once that has been so, and they have
  been more than half, unbroken for `settle_us`.
- So a forwarder has its base as long as nobody can have taken it: for `settle_us` less `detect_us` (the longest that a
  cut goes unnoticed) from when it was last sure that all who could take it knew it to be there; that is when it has had
  more than half with it for `detect_us` and `told_us`. This lease outlasts a restart. Without it: half of its base.
- Where all that are not there have left by their own word, those that are there go on as if they were more than half.

Only one side of a cut has more than half: its m members take m/N, the n that are gone n/2N once their leases are over,
and half of the bases of those n is what the m may take beside their own: together the whole. Who bridges a cut is heard
through (indirect probes), so two sides do not both count one member. Slack: who left and is back where it cannot be
heard: its base, and half the bases of those that believe so, for `believe_us` at most.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from forwarder.decisions.actions import EjectionChanged
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import ExtensionEvent
from forwarder.decisions.fleet_messages import (
    AnnounceEjection,
    AnnounceHolding,
    AnnounceRetryAfter,
    FleetView,
    FleetViewChanged,
    GossipReceived,
    PeersQueried,
    QuorumState,
)
from forwarder.decisions.outcomes import TELLS_NOTHING, Outcome
from forwarder.decisions.records import Endpoint
from forwarder.decisions.slow_start import EJECTION_ERROR_RATE, UNSAFE_RETRY_ERROR_RATE

SECOND = 1_000_000
MIN_OBSERVERS = 2  # others whose word puts a target in an outage here; of one it is a doubt
MAX_SUSPECTED_SHARE = 0.25  # of the destinations, one forwarder's word alone makes doubtful at most
MAX_HOLDERS = 8  # that share what is kept for those that hold messages for a cold target
HOLDING_GRACE_US = 2 * SECOND  # one that held some so lately still counts as holding


@dataclass(slots=True)
class FleetQuota:
    """Follows the view. `size` is what to divide by; it grows at once, and falls only when that is sure."""

    forwarders: int
    settle_us: int
    believe_us: int
    detect_us: int
    notify_us: int
    leased_until: int = 0  # by then others may have taken this forwarder's base; at the start, of its life before
    view: FleetView = field(default_factory=lambda: FleetView(frozenset(), stale=True))
    known: set[str] = field(default_factory=set)  # all that were ever there
    absent_since_us: dict[str, int] = field(
        default_factory=dict
    )  # since when those not there are gone or left, unbroken
    quorum_since_us: int = -1  # since when more than half have been there, unbroken; -1 while they are not

    @property
    def max_members(self) -> int:
        """N: how many can be up at once."""
        return max(self.forwarders, len(self.known))

    def update(self, now: int, seen: FleetView) -> None:
        """Take in a view. A change in who is gone, or a stop, begins all waiting anew for those it concerns."""
        self.view = seen
        self.known |= seen.alive | seen.left
        self.absent_since_us = {name: self.absent_since_us.get(name, now) for name in self.known - seen.alive}
        if self._cut_off(now):
            self.quorum_since_us = -1
        elif self.quorum_since_us < 0:
            self.quorum_since_us = now
        if self.is_proven(now):
            self.leased_until = now + self.settle_us - self.detect_us
        elif seen.has_rival:
            self.leased_until = 0

    def _left(self, now: int) -> frozenset[str]:
        """Those that have left by a word that is not too old."""
        return frozenset(
            name for name in self.view.left if now - self.absent_since_us.get(name, now) <= self.believe_us
        )

    def _cut_off(self, now: int) -> bool:
        there = len(self.view.alive)
        return self.view.stale or (2 * there <= self.max_members > there + len(self._left(now)))

    def mode(self, now: int) -> QuorumState:
        if self.view.stale or len(self.view.alive) <= 1 < self.max_members - len(self._left(now)):
            return QuorumState.ALONE
        if self._cut_off(now):
            return QuorumState.CUT_OFF
        return QuorumState.AGREED if len(self.view.alive | self._left(now)) >= self.max_members else QuorumState.UNSURE

    def is_proven(self, now: int) -> bool:
        """Whether more than half have been there for so long that all who could take this one's base know of it."""
        return not self._cut_off(now) and 0 <= self.quorum_since_us <= now - self.detect_us - self.notify_us

    def divisor(self, now: int) -> float:
        """What to divide by: 1 over this forwarder's share."""
        if self.max_members <= 1:
            return 1.0
        if now >= self.leased_until:
            return 2.0 * self.max_members
        if self._cut_off(now) or not 0 <= self.quorum_since_us <= now - self.settle_us:
            return float(self.max_members)
        settled = {name for name, at in self.absent_since_us.items() if now - at >= self.settle_us}
        left = len(settled & self._left(now))
        gone = len(settled - self.view.left)
        by = len(self.view.alive) + len(
            self.absent_since_us.keys() - settled - self.view.left
        )  # these still take theirs
        return self.max_members / (1.0 + (left + gone / 2) / by)

    def confidence(self, now: int) -> float:
        """The share of those that can be up of whom it is known what they do."""
        return 0.0 if self.view.stale else min(1.0, len(self.view.alive | self._left(now)) / self.max_members)

    def next_at(self, now: int) -> int:
        """When the size may change without any news; never, if that is far off."""
        ends = [
            since + wait
            for name, since in self.absent_since_us.items()
            for wait in (self.settle_us, self.believe_us + 1 if name in self.view.left else 0)
        ]
        ends += [
            self.leased_until,
            self.quorum_since_us + self.settle_us,
            self.quorum_since_us + self.detect_us + self.notify_us,
        ]
        return min((end for end in ends if end > now), default=now + 3600 * SECOND)


class FleetQuotaExtension:
    """The Dispatcher's part that divides by who is there."""

    def __init__(self, dispatcher: Dispatcher, shares: FleetQuota) -> None:
        self.dispatcher, self.quota = dispatcher, shares

    def apply_event(self, event: ExtensionEvent) -> None:
        if isinstance(event, FleetViewChanged):
            self.quota.update(self.dispatcher.now_us, event.view)

    def on_outcome(self, endpoint_id: int, outcome: Outcome) -> None: ...

    def before_release(self) -> None:
        self.quota.forwarders = self.dispatcher.settings.forwarders
        self.dispatcher.set_fleet_size(self.quota.divisor(self.dispatcher.now_us))

    def after_release(self) -> None: ...


@dataclass(slots=True)
class SlowStartSlots:
    """Who calls a cold target how often. Half of its budget is divided by all that can be up, as ever; the other half
    among those that hold messages for it, or the first of them by rendezvous hashing where they are many, and that have
    said so for `told_us`, in which all that can hear it have heard it. So any two that use it know of each other, and
    its parts add up to that half. One that has not proved to be there has nothing of it. Slack: until a cut is noticed,
    each part of the fleet may use that half.
    """

    name: str
    notify_us: int
    order: Callable[[int, frozenset[str]], list[str]]  # rendezvous hashing: the same everywhere for one target
    holding_since_us: dict[int, int] = field(default_factory=dict)  # since when it says that it holds some for a target

    def update(self, now: int, holding: set[int], heard: GossipReceived) -> None:
        ranked = {t for t in holding if self.name in self.order(t, heard.holders.get(t, frozenset()))[:MAX_HOLDERS]}
        self.holding_since_us = {target: self.holding_since_us.get(target, now) for target in ranked}

    def share(self, now: int, target: int, size: float, heard: GossipReceived) -> float:
        """This forwarder's part of a cold target's budget, where the even part is one of so many."""
        if now - self.holding_since_us.get(target, now) < self.notify_us:
            return 0.5 / size
        return 0.5 / size + 0.5 / len(self.order(target, heard.holders.get(target, frozenset())))


class GossipExtension(FleetQuotaExtension):
    """Heeds what other forwarders have seen, too. That makes this one more careful; bolder only where a target is said
    to be back, and then within the same budget. Nobody's word alone takes a target out, and what this forwarder has
    seen itself, later than that, goes before it.
    """

    def __init__(self, dispatcher: Dispatcher, shares: FleetQuota, turns: SlowStartSlots) -> None:
        super().__init__(dispatcher, shares)
        self.slow_start_slots, self.gossip = turns, GossipReceived()
        self.ejected_by_gossip: set[int] = set()  # in an outage here, or back from it, by the word of others
        self.last_success_at_us: dict[int, int] = {}  # when a call to it last went well
        self.touched: set[int] = set()
        self.held_at_us: dict[int, int] = {}

    def apply_event(self, event: ExtensionEvent) -> None:
        super().apply_event(event)
        d = self.dispatcher
        if isinstance(event, PeersQueried):
            d.peers_queried_until_us = d.now_us
            d.due_destinations.update(d.held.by_destination)
        elif isinstance(event, GossipReceived):
            self.gossip = event
            for whose, until in event.retry_afters:  # costs one interval of our own pace at most
                if (place := d.limit_scopes.get(whose)) is not None:
                    place.next_call_at_us = max(
                        place.next_call_at_us, min(until, d.now_us + int(d.pacing.call_interval_us(place)))
                    )
            self.apply_gossip()

    def on_outcome(self, endpoint_id: int, outcome: Outcome) -> None:
        if outcome not in TELLS_NOTHING:
            self.touched.add(endpoint_id)
            self.ejected_by_gossip.discard(endpoint_id)
        if outcome is Outcome.DELIVERED:
            self.last_success_at_us[endpoint_id] = self.dispatcher.now_us

    def apply_gossip(self) -> None:
        d, doubted = self.dispatcher, dict[str, set[int]]()
        most = max(1, int(MAX_SUSPECTED_SHARE * len(d.endpoints_by_destination)))
        for t, words in [(d.endpoints[n], words) for n, words in self.gossip.observations.items() if n in d.endpoints]:
            seers = [w for w in words if w.ejected_at_us >= 0]  # the rest have only been served by it
            since, back = min((w.ejected_at_us for w in seers), default=-1), max(w.recovering_since_us for w in words)
            if d.slow_start.is_active(t):
                if t.recovering_since_us < 0 and back > t.last_call_at_us:
                    self.apply_observation(t, t.ejected_at_us, back)
            elif self.last_success_at_us.get(t.id, -1) < since and (
                back < 0 or d.now_us - back < d.settings.slow_start_us
            ):
                whose = doubted.setdefault(seers[0].observer, set())
                if len(seers) >= MIN_OBSERVERS:
                    self.apply_observation(t, since, back)
                elif t.destination in whose or len(whose) < most:
                    whose.add(t.destination)
                    t.error_rate = max(t.error_rate, EJECTION_ERROR_RATE)
        for t in [d.endpoints[n] for n in self.ejected_by_gossip - self.gossip.observations.keys() if n in d.endpoints]:
            self.ejected_by_gossip.discard(t.id)
            if t.recovering_since_us < 0:  # too old now, and nothing of it was seen here
                self.apply_observation(t, -1, -1)

    def apply_observation(self, t: Endpoint, since: int, back: int) -> None:
        """By the word of others a target is in an outage, or back from it; or (-1) it never was."""
        d = self.dispatcher
        t.error_rate = (
            max(t.error_rate, UNSAFE_RETRY_ERROR_RATE) if since >= 0 > back else min(t.error_rate, EJECTION_ERROR_RATE)
        )
        if since >= 0:
            self.ejected_by_gossip.add(t.id)
            t.last_call_at_us, t.slow_start_jitter = max(t.last_call_at_us, d.now_us), d.slow_start.residual_jitter()
        t.ejected_at_us, t.recovering_since_us = since, back
        d.actions.append(EjectionChanged(t.id, since, back))
        d.due_destinations.add(t.destination)

    def before_release(self) -> None:
        super().before_release()
        d, now, most = self.dispatcher, self.dispatcher.now_us, self.quota.max_members
        cold = [t for t in d.endpoints.values() if d.slow_start.is_active(t)]
        self.held_at_us.update({t.id: now for t in cold if t.in_flight or t.destination in d.held.by_destination})
        before = self.slow_start_slots.holding_since_us.keys()
        self.slow_start_slots.update(
            now,
            {t.id for t in cold if now - self.held_at_us.get(t.id, -HOLDING_GRACE_US) < HOLDING_GRACE_US},
            self.gossip,
        )
        if before != self.slow_start_slots.holding_since_us.keys():
            d.actions.append(AnnounceHolding(frozenset(self.slow_start_slots.holding_since_us)))
        for t in cold:
            t.slow_start_divisor = (
                1 / self.slow_start_slots.share(now, t.id, most, self.gossip)
                if self.quota.is_proven(now)
                else 2.0 * most
            )

    def after_release(self) -> None:
        """What this forwarder has seen itself is told."""
        d = self.dispatcher
        for t in [d.endpoints[number] for number in self.touched if number in d.endpoints]:
            if d.slow_start.is_active(t) and t.id not in self.ejected_by_gossip:
                d.actions.append(AnnounceEjection(t.id, t.ejected_at_us, t.recovering_since_us))
            elif self.last_success_at_us.get(t.id) == d.now_us and any(
                w.recovering_since_us < 0 for w in self.gossip.observations.get(t.id, ())
            ):
                d.actions.append(AnnounceEjection(t.id, -1, d.now_us))  # others think that it is out still
            if t.limit_scope.retry_after_until_us > d.now_us:
                d.actions.append(
                    AnnounceRetryAfter(
                        (t.limit_scope.destination, t.id if t.separate_route else -1),
                        t.limit_scope.retry_after_until_us,
                    )
                )
        self.touched.clear()
