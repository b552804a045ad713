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
from forwarder.decisions.dispatcher import FAIL_MARK, SURE_MARK, Dispatcher
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

SECOND = 1_000_000
MIN_OBSERVERS = 2  # others whose word puts a target in an outage here; of one it is a doubt
MAX_SUSPECTED_SHARE = 0.25  # of the destinations, one forwarder's word alone makes doubtful at most
MAX_HOLDERS = 8  # that share what is kept for those that hold messages for a cold target
HOLDING_GRACE_US = 2 * SECOND  # one that held some so lately still counts as holding


@dataclass(slots=True)
class FleetQuota:
    """Follows the view. `size` is what to divide by; it grows at once, and falls only when that is sure."""

    balancers: int
    settle_us: int
    believe_us: int
    detect_us: int
    told_us: int
    leased_until: int = 0  # by then others may have taken this forwarder's base; at the start, of its life before
    seen: FleetView = field(default_factory=lambda: FleetView(frozenset(), stale=True))
    known: set[str] = field(default_factory=set)  # all that were ever there
    since: dict[str, int] = field(default_factory=dict)  # since when those not there are gone or left, unbroken
    quorum_at: int = -1  # since when more than half have been there, unbroken; -1 while they are not

    @property
    def most(self) -> int:
        """N: how many can be up at once."""
        return max(self.balancers, len(self.known))

    def see(self, now: int, seen: FleetView) -> None:
        """Take in a view. A change in who is gone, or a stop, begins all waiting anew for those it concerns."""
        self.seen = seen
        self.known |= seen.there | seen.left
        self.since = {name: self.since.get(name, now) for name in self.known - seen.there}
        if self._cut_off(now):
            self.quorum_at = -1
        elif self.quorum_at < 0:
            self.quorum_at = now
        if self.proved(now):
            self.leased_until = now + self.settle_us - self.detect_us
        elif seen.rival:
            self.leased_until = 0

    def _left(self, now: int) -> frozenset[str]:
        """Those that have left by a word that is not too old."""
        return frozenset(name for name in self.seen.left if now - self.since.get(name, now) <= self.believe_us)

    def _cut_off(self, now: int) -> bool:
        there = len(self.seen.there)
        return self.seen.stale or (2 * there <= self.most > there + len(self._left(now)))

    def mode(self, now: int) -> QuorumState:
        if self.seen.stale or len(self.seen.there) <= 1 < self.most - len(self._left(now)):
            return QuorumState.ALONE
        if self._cut_off(now):
            return QuorumState.CUT_OFF
        return QuorumState.AGREED if len(self.seen.there | self._left(now)) >= self.most else QuorumState.UNSURE

    def proved(self, now: int) -> bool:
        """Whether more than half have been there for so long that all who could take this one's base know of it."""
        return not self._cut_off(now) and 0 <= self.quorum_at <= now - self.detect_us - self.told_us

    def size(self, now: int) -> float:
        """What to divide by: 1 over this forwarder's share."""
        if self.most <= 1:
            return 1.0
        if now >= self.leased_until:
            return 2.0 * self.most
        if self._cut_off(now) or not 0 <= self.quorum_at <= now - self.settle_us:
            return float(self.most)
        settled = {name for name, at in self.since.items() if now - at >= self.settle_us}
        left = len(settled & self._left(now))
        gone = len(settled - self.seen.left)
        by = len(self.seen.there) + len(self.since.keys() - settled - self.seen.left)  # these still take theirs
        return self.most / (1.0 + (left + gone / 2) / by)

    def confidence(self, now: int) -> float:
        """The share of those that can be up of whom it is known what they do."""
        return 0.0 if self.seen.stale else min(1.0, len(self.seen.there | self._left(now)) / self.most)

    def next_at(self, now: int) -> int:
        """When the size may change without any news; never, if that is far off."""
        ends = [
            since + wait
            for name, since in self.since.items()
            for wait in (self.settle_us, self.believe_us + 1 if name in self.seen.left else 0)
        ]
        ends += [self.leased_until, self.quorum_at + self.settle_us, self.quorum_at + self.detect_us + self.told_us]
        return min((end for end in ends if end > now), default=now + 3600 * SECOND)


class FleetQuotaExtension:
    """The Dispatcher's part that divides by who is there."""

    def __init__(self, dispatcher: Dispatcher, shares: FleetQuota) -> None:
        self.dispatcher, self.shares = dispatcher, shares

    def absorb(self, event: ExtensionEvent) -> None:
        if isinstance(event, FleetViewChanged):
            self.shares.see(self.dispatcher.now, event.seen)

    def noticed(self, target: int, outcome: Outcome) -> None: ...

    def prepare(self) -> None:
        self.shares.balancers = self.dispatcher.s.balancers
        self.dispatcher.divide(self.shares.size(self.dispatcher.now))

    def decide(self) -> None: ...


@dataclass(slots=True)
class SlowStartSlots:
    """Who calls a cold target how often. Half of its budget is divided by all that can be up, as ever; the other half
    among those that hold messages for it, or the first of them by rendezvous hashing where they are many, and that have
    said so for `told_us`, in which all that can hear it have heard it. So any two that use it know of each other, and
    its parts add up to that half. One that has not proved to be there has nothing of it. Slack: until a cut is noticed,
    each part of the fleet may use that half.
    """

    me: str
    told_us: int
    order: Callable[[int, frozenset[str]], list[str]]  # rendezvous hashing: the same everywhere for one target
    since: dict[int, int] = field(default_factory=dict)  # since when it says that it holds some for a target

    def see(self, now: int, holding: set[int], heard: GossipReceived) -> None:
        ranked = {t for t in holding if self.me in self.order(t, heard.holders.get(t, frozenset()))[:MAX_HOLDERS]}
        self.since = {target: self.since.get(target, now) for target in ranked}

    def share(self, now: int, target: int, size: float, heard: GossipReceived) -> float:
        """This forwarder's part of a cold target's budget, where the even part is one of so many."""
        if now - self.since.get(target, now) < self.told_us:
            return 0.5 / size
        return 0.5 / size + 0.5 / len(self.order(target, heard.holders.get(target, frozenset())))


class GossipExtension(FleetQuotaExtension):
    """Heeds what other forwarders have seen, too. That makes this one more careful; bolder only where a target is said
    to be back, and then within the same budget. Nobody's word alone takes a target out, and what this forwarder has
    seen itself, later than that, goes before it.
    """

    def __init__(self, dispatcher: Dispatcher, shares: FleetQuota, turns: SlowStartSlots) -> None:
        super().__init__(dispatcher, shares)
        self.turns, self.heard = turns, GossipReceived()
        self.by_word: set[int] = set()  # in an outage here, or back from it, by the word of others
        self.well: dict[int, int] = {}  # when a call to it last went well
        self.touched: set[int] = set()
        self.held_at: dict[int, int] = {}

    def absorb(self, event: ExtensionEvent) -> None:
        super().absorb(event)
        d = self.dispatcher
        if isinstance(event, PeersQueried):
            d.asking_until = d.now
            d.looks.update(d.held.piles)
        elif isinstance(event, GossipReceived):
            self.heard = event
            for whose, until in event.waits:  # costs one interval of our own pace at most
                if (place := d.places.get(whose)) is not None:
                    place.pace_at = max(place.pace_at, min(until, d.now + int(d.interval(place))))
            self.heed()

    def noticed(self, target: int, outcome: Outcome) -> None:
        if outcome not in TELLS_NOTHING:
            self.touched.add(target)
            self.by_word.discard(target)
        if outcome is Outcome.DELIVERED:
            self.well[target] = self.dispatcher.now

    def heed(self) -> None:
        d, doubted = self.dispatcher, dict[str, set[int]]()
        most = max(1, int(MAX_SUSPECTED_SHARE * len(d.by_destination)))
        for t, words in [(d.targets[n], words) for n, words in self.heard.words.items() if n in d.targets]:
            seers = [w for w in words if w.since_us >= 0]  # the rest have only been served by it
            since, back = min((w.since_us for w in seers), default=-1), max(w.back_us for w in words)
            if d.cold(t):
                if t.back_at < 0 and back > t.tried_at:
                    self.believe(t, t.outage_at, back)
            elif self.well.get(t.id, -1) < since and (back < 0 or d.now - back < d.s.warm_us):
                whose = doubted.setdefault(seers[0].seer, set())
                if len(seers) >= MIN_OBSERVERS:
                    self.believe(t, since, back)
                elif t.destination in whose or len(whose) < most:
                    whose.add(t.destination)
                    t.failing = max(t.failing, FAIL_MARK)
        for t in [d.targets[n] for n in self.by_word - self.heard.words.keys() if n in d.targets]:
            self.by_word.discard(t.id)
            if t.back_at < 0:  # too old now, and nothing of it was seen here
                self.believe(t, -1, -1)

    def believe(self, t: Endpoint, since: int, back: int) -> None:
        """By the word of others a target is in an outage, or back from it; or (-1) it never was."""
        d = self.dispatcher
        t.failing = max(t.failing, SURE_MARK) if since >= 0 > back else min(t.failing, FAIL_MARK)
        if since >= 0:
            self.by_word.add(t.id)
            t.tried_at, t.spread = max(t.tried_at, d.now), d.rest_of_turn()
        t.outage_at, t.back_at = since, back
        d.actions.append(EjectionChanged(t.id, since, back))
        d.looks.add(t.destination)

    def prepare(self) -> None:
        super().prepare()
        d, now, most = self.dispatcher, self.dispatcher.now, self.shares.most
        cold = [t for t in d.targets.values() if d.cold(t)]
        self.held_at.update({t.id: now for t in cold if t.out or t.destination in d.held.piles})
        before = self.turns.since.keys()
        self.turns.see(
            now, {t.id for t in cold if now - self.held_at.get(t.id, -HOLDING_GRACE_US) < HOLDING_GRACE_US}, self.heard
        )
        if before != self.turns.since.keys():
            d.actions.append(AnnounceHolding(frozenset(self.turns.since)))
        for t in cold:
            t.crowd = 1 / self.turns.share(now, t.id, most, self.heard) if self.shares.proved(now) else 2.0 * most

    def decide(self) -> None:
        """What this forwarder has seen itself is told."""
        d = self.dispatcher
        for t in [d.targets[number] for number in self.touched if number in d.targets]:
            if d.cold(t) and t.id not in self.by_word:
                d.actions.append(AnnounceEjection(t.id, t.outage_at, t.back_at))
            elif self.well.get(t.id) == d.now and any(w.back_us < 0 for w in self.heard.words.get(t.id, ())):
                d.actions.append(AnnounceEjection(t.id, -1, d.now))  # others think that it is out still
            if t.place.wait_until > d.now:
                d.actions.append(AnnounceRetryAfter((t.place.destination, t.id if t.apart else -1), t.place.wait_until))
        self.touched.clear()
