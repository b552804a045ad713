"""Outlier detection: ejects endpoints that fail more than the others of their destination. Pure; joins the dispatcher.

An endpoint's failures are compared with those of the other endpoints of its destination, by rates over samples that
lose weight with age. One that fails for sure, and surely more than the others, or several times running, is ejected:
the dispatcher leaves it out. It comes back on trial, in slow start; a failure on trial ejects it again, for longer.
Never more than a share of a destination's endpoints is ejected: where more look bad, the fault may be this forwarder's
own, and all stay in use.

The dispatcher alone passes over an endpoint that has just failed for as long as others have capacity, so there would
never be enough samples. Here an endpoint that is no more than suspect is called again after a while, and one that the
dispatcher has ejected after a failure or two goes on in slow start, where others are well.

Rejections are no evidence: a limit that is reached says nothing of health. Nor are timeouts that came to light after
the own event loop stood still. A quick failure counts as any other.
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

FAILURES = frozenset({Outcome.FAILED, Outcome.UNREADABLE, Outcome.TIMED_OUT, Outcome.NO_CONNECTION, Outcome.RESET})
"""Outcomes that count against an endpoint."""
CONFIDENCE_STANDARD_ERRORS = 2.0
"""Standard errors by which a failure rate must stand out."""
MAX_ROUND_INTERVAL_US = SECOND_US
"""A round comes at least this often."""
MIN_STALL_US = SECOND_US // 2
"""A round that is so late shows that the own process stood still."""
HEARTBEAT = -2
"""Stands for a destination in the timer queue: the next round at the latest."""
TRIAL_FAILED = -1
"""Stands for the trial calls that are left: the next success begins a new trial."""
EJECTION_JITTER = (1.0, 1.5)
MAX_DOUBLINGS = 20


class Verdict(Enum):
    """What an endpoint is; the values are read by operators."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    ON_TRIAL = "on trial"


@dataclass(frozen=True, slots=True)
class OutlierSettings:
    """The table `[health.passive]`, checked."""

    half_life_us: int
    """In this time a sample loses half of its weight."""
    min_samples: float
    """Weight of samples without which rates are not compared."""
    consecutive_failures: int
    """So many failures running are enough, whatever went before."""
    min_failure_rate: float
    """A lower rate ejects nobody."""
    max_ejected_share: float
    """Of a destination's endpoints, at most this share is ejected at once, and never the last."""
    ejection_us: int
    """The first ejection's length; each further one is twice as long, with jitter."""
    max_ejection_us: int
    retry_us: int
    """An endpoint that has failed, and is not ejected, is called again after this."""
    trial_calls: int
    """Calls that must succeed, one after the other, until a trial is over."""


@dataclass(slots=True)
class CallRecord:
    """What is known of one endpoint."""

    successes: float = 0.0
    """Weight of the samples that succeeded."""
    failures: float = 0.0
    consecutive_failures: int = 0
    """Failures running, up to the newest call."""
    weighed_at_us: int = 0
    ejected_until_us: int = -1
    """The end of its ejection; -1 where it is not ejected."""
    ejections: int = 0
    """Ejections, but for those that good conduct has wiped out."""
    trial_calls_left: int = 0
    """Calls still to succeed on trial; 0 where it is not on trial, TRIAL_FAILED after a failure."""
    verdict_at_us: int = 0
    """When the newest verdict was given."""
    reason: str = ""

    @property
    def samples(self) -> float:
        """Weight of all samples."""
        return self.successes + self.failures

    def decay(self, now_us: int, half_life_us: int) -> None:
        """Takes weight off the samples by the time that has passed."""
        factor = 0.5 ** ((now_us - self.weighed_at_us) / half_life_us)
        self.successes *= factor
        self.failures *= factor
        self.weighed_at_us = now_us

    def add(self, failed: bool, trial_calls: int) -> None:
        """Counts one outcome."""
        self.successes += not failed
        self.failures += failed
        self.consecutive_failures = self.consecutive_failures + 1 if failed else 0
        if not self.trial_calls_left:
            return
        if failed:
            self.trial_calls_left = TRIAL_FAILED
        elif self.trial_calls_left > 0:
            self.trial_calls_left -= 1
        else:
            self.trial_calls_left = trial_calls

    def describe(self) -> str:
        """Returns the samples in words."""
        return f"failed {self.failures:.1f} of {self.samples:.1f}"


def failure_rate_bounds(failures: float, samples: float) -> tuple[float, float]:
    """Returns the least and the greatest failure rate that the samples leave likely (Wilson's interval)."""
    if samples <= 0:
        return 0.0, 1.0
    rate = failures / samples
    squared = CONFIDENCE_STANDARD_ERRORS * CONFIDENCE_STANDARD_ERRORS
    middle = rate + squared / (2 * samples)
    variance = rate * (1 - rate) / samples + squared / (4 * samples * samples)
    spread = CONFIDENCE_STANDARD_ERRORS * math.sqrt(variance)
    return (middle - spread) / (1 + squared / samples), (middle + spread) / (1 + squared / samples)


@dataclass(slots=True)
class OutlierDetector:
    """Follows the outcomes of all calls, and ejects and readmits endpoints."""

    dispatcher: Dispatcher
    settings: OutlierSettings
    records: dict[int, CallRecord] = field(default_factory=dict)
    """By endpoint."""
    touched_destinations: set[int] = field(default_factory=set)
    """Destinations with new outcomes, for this round's decision."""
    doubted_since_us: dict[int, int] = field(default_factory=dict)
    """Destinations where too many look bad, since when."""
    next_round_us: int = -1
    """When the next round comes at the latest, unless the own process stands still."""
    ejection_count: int = 0

    def apply_event(self, event: ExtensionEvent) -> None:
        """Takes none: it follows outcomes alone."""

    def on_outcome(self, endpoint_id: int, outcome: Outcome) -> None:
        """Counts one outcome, if it tells something of the endpoint."""
        endpoint = self.dispatcher.endpoints.get(endpoint_id)
        if endpoint is None or (outcome is not Outcome.DELIVERED and outcome not in FAILURES):
            return
        stalled = 0 <= self.next_round_us < self.dispatcher.now_us - MIN_STALL_US
        if stalled and outcome is Outcome.TIMED_OUT:
            return
        self.weighed_record(endpoint_id).add(outcome in FAILURES, self.settings.trial_calls)
        self.touched_destinations.add(endpoint.destination)

    def weighed_record(self, endpoint_id: int) -> CallRecord:
        """Returns an endpoint's record, its samples weighed by their age."""
        record = self.records.setdefault(endpoint_id, CallRecord())
        record.decay(self.dispatcher.now_us, self.settings.half_life_us)
        return record

    def before_release(self) -> None:
        """Ends ejections whose time is over, and compares endpoints that have new outcomes."""
        dispatcher = self.dispatcher
        for endpoint_id, record in self.records.items():
            if 0 <= record.ejected_until_us <= dispatcher.now_us:
                self.readmit(endpoint_id, record)
        for destination in sorted(self.touched_destinations):
            self.compare_endpoints(destination)
        self.touched_destinations.clear()
        dispatcher.timers.add(dispatcher.now_us + MAX_ROUND_INTERVAL_US, HEARTBEAT)
        self.next_round_us = dispatcher.timers.earliest[HEARTBEAT]
        if len(self.records) > len(dispatcher.endpoints):  # some are of endpoints that the dispatcher has forgotten
            known = dispatcher.endpoints
            self.records = {number: record for number, record in self.records.items() if number in known}

    def after_release(self) -> None:
        """Nothing: all is decided before the release."""

    def compare_endpoints(self, destination: int) -> None:
        """Compares a destination's endpoints, and ejects the outliers among them as far as allowed."""
        endpoints = self._serving(destination)
        outliers = [endpoint for endpoint in endpoints if endpoint.excluded or self.is_outlier(endpoint, endpoints)]
        max_ejected = min(int(self.settings.max_ejected_share * len(endpoints)), len(endpoints) - 1)
        if len(outliers) > max_ejected:
            self._doubt(destination, endpoints, outliers)
            return
        self.doubted_since_us.pop(destination, None)
        for endpoint in endpoints:
            if endpoint in outliers and not endpoint.excluded:
                self.eject(endpoint)
            else:
                self._keep_sampling(endpoint, is_outlier=endpoint in outliers, is_alone=len(endpoints) <= 1)

    def _serving(self, destination: int) -> list[Endpoint]:
        endpoints = self.dispatcher.endpoints.values()
        return [endpoint for endpoint in endpoints if endpoint.destination == destination and endpoint.serving]

    def _keep_sampling(self, endpoint: Endpoint, *, is_outlier: bool, is_alone: bool) -> None:
        """Lets an endpoint be called again that the dispatcher passes over, so that there are samples to judge by."""
        dispatcher = self.dispatcher
        is_ejected = dispatcher.slow_start.is_active(endpoint) and endpoint.recovering_since_us < 0
        if not is_outlier and is_ejected and not is_alone:
            dispatcher.slow_start.readmit(endpoint)  # ejected by the dispatcher, after a failure or two
        elif not endpoint.excluded and dispatcher.now_us - endpoint.last_call_at_us > self.settings.retry_us:
            endpoint.error_rate = 0.0

    def _doubt(self, destination: int, endpoints: list[Endpoint], outliers: list[Endpoint]) -> None:
        """Too many look bad: none is ejected, and those that are come back."""
        dispatcher = self.dispatcher
        if destination not in self.doubted_since_us and len(endpoints) > 1:
            text = f"{len(outliers)} of {len(endpoints)} endpoints of destination {destination} look bad"
            dispatcher.actions.append(LogLine(f"health: {text}; all stay in use"))
        self.doubted_since_us.setdefault(destination, dispatcher.now_us)
        for endpoint in outliers:
            if endpoint.excluded:
                self.readmit(endpoint.id, self.records[endpoint.id])

    def is_outlier(self, endpoint: Endpoint, endpoints: list[Endpoint]) -> bool:
        """Whether an endpoint fails for sure, and surely more than the others of its destination do."""
        settings = self.settings
        record = self.weighed_record(endpoint.id)
        if record.trial_calls_left < 0 or record.consecutive_failures >= settings.consecutive_failures:
            return True
        if record.samples < settings.min_samples:
            return False
        lowest, _ = failure_rate_bounds(record.failures, record.samples)
        others = [self.weighed_record(other.id) for other in endpoints if other is not endpoint and not other.excluded]
        samples = sum(other.samples for other in others)
        _, highest_of_others = failure_rate_bounds(sum(other.failures for other in others), samples)
        if not any(other.samples for other in others):
            highest_of_others = settings.min_failure_rate  # nothing to compare with
        return lowest > max(settings.min_failure_rate, min(highest_of_others, 1 - settings.min_failure_rate))

    def eject(self, endpoint: Endpoint) -> None:
        """Leaves an endpoint out for a time that grows with each ejection."""
        dispatcher, settings = self.dispatcher, self.settings
        record = self.weighed_record(endpoint.id)
        now_us = dispatcher.now_us
        if now_us - record.verdict_at_us > settings.max_ejection_us:
            record.ejections = 0
        length_us = min(settings.max_ejection_us, settings.ejection_us * 2 ** min(record.ejections, MAX_DOUBLINGS))
        record.reason = record.describe() + (" on trial" if record.trial_calls_left < 0 else "")
        record.ejected_until_us = now_us + int(length_us * dispatcher.random.uniform(*EJECTION_JITTER))
        record.ejections += 1
        record.trial_calls_left = 0
        record.verdict_at_us = now_us
        self.ejection_count += 1
        dispatcher.slow_start.exclude(endpoint)
        dispatcher.timers.add(record.ejected_until_us, endpoint.destination)
        length_s = (record.ejected_until_us - now_us) / SECOND_US
        text = f"health: target {endpoint.id} ejected for {length_s:.1f} s: {record.reason}"
        dispatcher.actions.append(LogLine(text))

    def readmit(self, endpoint_id: int, record: CallRecord) -> None:
        """Puts an endpoint back in use, on trial: its ejection is over, or cannot be upheld."""
        dispatcher = self.dispatcher
        record.ejected_until_us = -1
        record.trial_calls_left = self.settings.trial_calls
        record.verdict_at_us = dispatcher.now_us
        record.successes = 0.0
        record.failures = 0.0
        record.consecutive_failures = 0
        endpoint = dispatcher.endpoints.get(endpoint_id)
        if endpoint is not None and endpoint.excluded:
            dispatcher.slow_start.readmit(endpoint)
            dispatcher.actions.append(LogLine(f"health: target {endpoint_id} is on trial"))

    def verdict(self, endpoint: Endpoint) -> tuple[Verdict, str]:
        """Returns what operators are told of an endpoint: the verdict and its reason."""
        record, dispatcher = self.weighed_record(endpoint.id), self.dispatcher
        samples = record.describe()
        if endpoint.excluded:
            left_s = max(0, record.ejected_until_us - dispatcher.now_us) / SECOND_US
            return Verdict.EJECTED, f"{record.reason}; for {left_s:.1f} s more"
        if record.trial_calls_left > 0:
            return Verdict.ON_TRIAL, f"{samples}; {record.trial_calls_left} calls to go"
        if dispatcher.slow_start.is_active(endpoint):
            verdict = Verdict.SUSPECT if endpoint.recovering_since_us < 0 else Verdict.ON_TRIAL
            return verdict, f"{samples}; cold after an outage"
        is_outlier = self.is_outlier(endpoint, self._serving(endpoint.destination))
        return (Verdict.SUSPECT if is_outlier else Verdict.HEALTHY), samples
