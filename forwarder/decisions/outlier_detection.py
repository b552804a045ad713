"""Which endpoints are well: verdicts from the outcomes of all calls. Pure; it joins the dispatcher.

An endpoint's failures are compared with those of the other endpoints of its destination, by shares of samples
that lose weight with age. One that fails for sure, and surely more than the others, or several times running,
is ejected: the Dispatcher leaves it out, and what it knows of outages says so too. It comes back on trial, as
cold as after an outage; a failure on trial ejects it again, for longer. Never more than a share of a
destination's endpoints is ejected: where more look bad, it is the sight of this forwarder that is doubted,
and all stay in use.

The Dispatcher alone passes over a target that has just failed for as long as others have room, so there would
never be enough to tell by. Here one that is no more than suspect is called again after a while, and what the
Dispatcher took for an outage by a failure or two goes on in a cold target's turns, where others are well.

Refusals are no evidence: a limit that is reached says nothing of health. Nor are time-outs that came to light
after our own loop stood still. A quick failure counts as any other.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from forwarder.decisions.actions import LogLine
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import ExtensionEvent
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.records import Endpoint
from forwarder.units import SECOND_US

BAD = frozenset({Outcome.FAILED, Outcome.UNREADABLE, Outcome.TIMED_OUT, Outcome.NO_CONNECTION, Outcome.RESET})
SURE = 2.0  # standard errors by which a share of failures must stand out
BEAT_US = SECOND_US  # a round comes at least so often
STALL_US = SECOND_US // 2  # and where it comes so late, our own process stood still
THE_BEAT = -2  # stands among the destinations' appointments for it


class Verdict(Enum):
    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    ON_TRIAL = "on trial"


@dataclass(frozen=True, slots=True)
class OutlierSettings:
    half_life_us: int
    """In this time a sample loses half of its weight."""
    least_samples: float
    run_calls: int
    """So many failures running are enough, whatever went before."""
    least_share: float
    """A share of failures under this is nobody's sickness."""
    most_ejected: float
    """Of a destination's endpoints, at most this share is ejected at once, and never the last."""
    eject_us: int
    """The first ejection's length; each further one is twice as long, with jitter."""
    eject_top_us: int
    again_us: int
    """A target that has failed is called again after this, as long as it is not ejected."""
    trial_calls: int
    """Calls that must go well, one after the other, until a trial is over."""


@dataclass(slots=True)
class CallRecord:
    """What is known of one target."""

    good: float = 0.0
    bad: float = 0.0
    run: int = 0
    """Failures running, up to the newest."""
    weighed_at: int = 0
    until: int = -1
    """The end of its ejection; -1 where it is not ejected."""
    times: int = 0
    """Ejections, but for those that good conduct has wiped out."""
    trial: int = 0
    """Calls still to go well on trial; 0 where it is not on trial."""
    since: int = 0
    """When the newest verdict was given."""
    why: str = ""


def share(bad: float, count: float) -> tuple[float, float]:
    """The least and the greatest share of failures that samples leave likely (Wilson's interval)."""
    if count <= 0:
        return 0.0, 1.0
    p, z2 = bad / count, SURE * SURE
    middle = p + z2 / (2 * count)
    spread = SURE * math.sqrt(p * (1 - p) / count + z2 / (4 * count * count))
    return (middle - spread) / (1 + z2 / count), (middle + spread) / (1 + z2 / count)


@dataclass(slots=True)
class OutlierDetector:
    """Joined to a Dispatcher by its `parts`."""

    dispatcher: Dispatcher
    limits: OutlierSettings
    records: dict[int, CallRecord] = field(default_factory=dict)
    touched: set[int] = field(default_factory=set)
    """Destinations with news, for this round's decision."""
    doubted: dict[int, int] = field(default_factory=dict)
    """Destinations where too many look bad, since when."""
    due: int = -1
    """When the next round comes at the latest, unless our process stands still."""
    ejections: int = 0

    def apply_event(self, event: ExtensionEvent) -> None:
        """It lives on what the Dispatcher notices."""

    def on_outcome(self, endpoint_id: int, outcome: Outcome) -> None:
        t = self.dispatcher.endpoints.get(endpoint_id)
        stalled = 0 <= self.due < self.dispatcher.now_us - STALL_US
        if (
            t is None
            or (outcome is not Outcome.DELIVERED and outcome not in BAD)
            or (stalled and outcome is Outcome.TIMED_OUT)
        ):
            return
        r = self.weighed(endpoint_id)
        failed = outcome in BAD
        r.good, r.bad, r.run = r.good + (not failed), r.bad + failed, r.run + 1 if failed else 0
        if r.trial:  # under nought it has failed on trial, and begins anew with its next success
            r.trial = -1 if failed else r.trial - 1 if r.trial > 0 else self.limits.trial_calls
        self.touched.add(t.destination)

    def weighed(self, number: int) -> CallRecord:
        """A record, its samples weighed by their age."""
        r, now = self.records.setdefault(number, CallRecord()), self.dispatcher.now_us
        left = 0.5 ** ((now - r.weighed_at) / self.limits.half_life_us)
        r.good, r.bad, r.weighed_at = r.good * left, r.bad * left, now
        return r

    def after_release(self) -> None:
        """All is decided before the messages."""

    def before_release(self) -> None:
        d = self.dispatcher
        for number, r in self.records.items():
            if 0 <= r.until <= d.now_us:
                self.give_back(number, r)
        for destination in sorted(self.touched):
            self.look(destination)
        self.touched.clear()
        d.timers.add(d.now_us + BEAT_US, THE_BEAT)
        self.due = d.timers.earliest[THE_BEAT]
        if len(self.records) > len(d.endpoints):  # those that the Dispatcher has forgotten
            self.records = {n: r for n, r in self.records.items() if n in d.endpoints}

    def look(self, destination: int) -> None:
        """Compare a destination's endpoints, and eject the worst that may be."""
        d = self.dispatcher
        here = [t for t in d.endpoints.values() if t.destination == destination and t.serving]
        bad = [t for t in here if t.excluded or self.stands_out(t, here)]
        room = min(int(self.limits.most_ejected * len(here)), len(here) - 1)
        if len(bad) > room:
            if destination not in self.doubted and len(here) > 1:
                d.actions.append(
                    LogLine(
                        f"health: {len(bad)} of {len(here)} endpoints of destination "
                        f"{destination} look bad; all stay in use"
                    )
                )
            self.doubted.setdefault(destination, d.now_us)
            for t in bad:
                if t.excluded:
                    self.give_back(t.id, self.records[t.id])
            return
        self.doubted.pop(destination, None)
        for t in here:
            if t in bad and not t.excluded:
                self.eject(t)
            elif t not in bad and d.slow_start.is_active(t) and t.recovering_since_us < 0 and len(here) > 1:
                d.slow_start.readmit(t)  # an outage by a failure or two: there is more to be seen first
            elif not t.excluded and d.now_us - t.last_call_at_us > self.limits.again_us:
                t.error_rate = 0.0

    def stands_out(self, t: Endpoint, here: list[Endpoint]) -> bool:
        """Whether a target fails for sure, and surely more than the others do."""
        r = self.weighed(t.id)
        if r.trial < 0 or r.run >= self.limits.run_calls:
            return True
        count = r.good + r.bad
        if count < self.limits.least_samples:
            return False
        least, _ = share(r.bad, count)
        others = [self.weighed(o.id) for o in here if o is not t and not o.excluded]
        _, most = share(sum(o.bad for o in others), sum(o.good + o.bad for o in others))
        if not any(o.good + o.bad for o in others):
            most = self.limits.least_share  # nothing to compare with
        return least > max(self.limits.least_share, min(most, 1 - self.limits.least_share))

    def eject(self, t: Endpoint) -> None:
        d, r = self.dispatcher, self.weighed(t.id)
        if d.now_us - r.since > self.limits.eject_top_us:
            r.times = 0
        length = min(self.limits.eject_top_us, self.limits.eject_us * 2 ** min(r.times, 20))
        r.why = f"failed {r.bad:.1f} of {r.good + r.bad:.1f}" + (" on trial" if r.trial < 0 else "")
        r.until = d.now_us + int(length * d.random.uniform(1.0, 1.5))
        r.times, r.trial, r.since = r.times + 1, 0, d.now_us
        self.ejections += 1
        d.slow_start.exclude(t)
        d.timers.add(r.until, t.destination)
        d.actions.append(
            LogLine(f"health: target {t.id} ejected for {(r.until - d.now_us) / SECOND_US:.1f} s: {r.why}")
        )

    def give_back(self, number: int, r: CallRecord) -> None:
        """An ejection is over, or cannot be upheld: back in use, on trial."""
        d = self.dispatcher
        r.until, r.trial, r.since = -1, self.limits.trial_calls, d.now_us
        r.good, r.bad, r.run = 0.0, 0.0, 0
        t = d.endpoints.get(number)
        if t is not None and t.excluded:
            d.slow_start.readmit(t)
            d.actions.append(LogLine(f"health: target {number} is on trial"))

    def verdict(self, t: Endpoint) -> tuple[Verdict, str]:
        """What operators are told of a target: the verdict and its reason."""
        r, d = self.weighed(t.id), self.dispatcher
        told = f"failed {r.bad:.1f} of {r.good + r.bad:.1f}"
        if t.excluded:
            return Verdict.EJECTED, f"{r.why}; for {max(0, r.until - d.now_us) / SECOND_US:.1f} s more"
        if r.trial > 0:
            return Verdict.ON_TRIAL, f"{told}; {r.trial} calls to go"
        if d.slow_start.is_active(t):
            return (Verdict.SUSPECT if t.recovering_since_us < 0 else Verdict.ON_TRIAL), f"{told}; cold after an outage"
        here = [o for o in d.endpoints.values() if o.destination == t.destination and o.serving]
        return (Verdict.SUSPECT if self.stands_out(t, here) else Verdict.HEALTHY), told
