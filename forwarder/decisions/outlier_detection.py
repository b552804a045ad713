"""Ejects endpoints that fail more often than the other endpoints of their destination (outlier detection).

This is an extension of the dispatcher, and does no I/O.

The failure rate of an endpoint is compared with that of the other endpoints of its destination, over samples that lose
weight with age. An endpoint is ejected if its failure rate is significant and significantly higher than that of the
others, or if it fails several times in a row; the dispatcher then sends it no calls. It comes back on trial, in slow
start. A failure on trial ejects it again, for longer. At most a share of the endpoints of a destination is ejected: if
more of them look bad, the cause may be this forwarder itself, and all of them stay in use.

Without this extension, the dispatcher avoids an endpoint that has just failed while others have capacity, so there
would never be enough samples. Here an endpoint that is only suspect is called again after a while. An endpoint that the
dispatcher has ejected after one or two failures continues in slow start if other endpoints are healthy.

Rejections do not count as failures, because a limit that is reached says nothing about health. Timeouts that are
noticed after the event loop of this process stalled do not count either. A failure counts the same however fast it is.
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
"""Width of the confidence interval of a failure rate, in standard errors to each side."""
MAX_ROUND_INTERVAL_US = SECOND_US
"""Longest time between two rounds."""
MIN_STALL_US = SECOND_US // 2
"""If a round is late by more than this, the process has stalled."""
NEXT_ROUND_TIMER = -2
"""Stands in for a destination in the timer that starts the next round at the latest."""
TRIAL_FAILED = -1
"""Value of `trial_calls_left` after a failure on trial: the next success starts a new trial."""
EJECTION_JITTER = (1.0, 1.5)
"""Range of the random factor applied to the length of an ejection."""
MAX_DOUBLINGS = 20
"""Maximum number of times that the length of an ejection is doubled."""


class Verdict(Enum):
    """Health verdict on an endpoint. Operators read the values."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    ON_TRIAL = "on trial"


@dataclass(frozen=True, slots=True)
class OutlierSettings:
    """Validated settings of the table `[health.passive]`."""

    half_life_us: int
    """Time in which a sample loses half of its weight."""
    min_samples: float
    """Total weight of the samples below which failure rates are not compared."""
    consecutive_failures: int
    """Failures in a row that eject an endpoint whatever its failure rate."""
    min_failure_rate: float
    """An endpoint with a lower failure rate is not ejected."""
    max_ejected_share: float
    """Largest share of a destination's endpoints that is ejected at the same time; one always stays in use."""
    ejection_us: int
    """Length of the first ejection, before jitter; each further one is twice as long."""
    max_ejection_us: int
    """Longest ejection, before jitter. After this time without a new verdict, the first length applies again."""
    retry_us: int
    """Time without calls after which an endpoint that failed, but is not ejected, is called again."""
    trial_calls: int
    """Calls in a row that must succeed to end a trial."""


@dataclass(slots=True)
class CallRecord:
    """Samples and ejections of one endpoint."""

    successes: float = 0.0
    """Weight of the successful samples."""
    failures: float = 0.0
    """Weight of the failed samples."""
    consecutive_failures: int = 0
    """Failures in a row, up to the latest call."""
    decayed_at_us: int = 0
    ejected_until_us: int = -1
    """End of the ejection; -1 if the endpoint is not ejected."""
    ejections: int = 0
    """Ejections since the count was last reset by a long time without a new verdict."""
    trial_calls_left: int = 0
    """Calls that must still succeed on trial; 0 if the endpoint is not on trial, TRIAL_FAILED after a failure."""
    verdict_at_us: int = 0
    """When the endpoint was last ejected or readmitted."""
    reason: str = ""

    @property
    def samples(self) -> float:
        """Weight of all samples."""
        return self.successes + self.failures

    def decay(self, now_us: int, half_life_us: int) -> None:
        """Reduces the weight of the samples by the time that has passed."""
        factor = 0.5 ** ((now_us - self.decayed_at_us) / half_life_us)
        self.successes *= factor
        self.failures *= factor
        self.decayed_at_us = now_us

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
        """Returns a description of the samples."""
        return f"failed {self.failures:.1f} of {self.samples:.1f}"


def failure_rate_bounds(failures: float, samples: float) -> tuple[float, float]:
    """Returns the bounds of the confidence interval of the failure rate (Wilson score interval)."""
    if samples <= 0:
        return 0.0, 1.0
    rate = failures / samples
    z_squared = CONFIDENCE_STANDARD_ERRORS * CONFIDENCE_STANDARD_ERRORS
    center = rate + z_squared / (2 * samples)
    variance = rate * (1 - rate) / samples + z_squared / (4 * samples * samples)
    margin = CONFIDENCE_STANDARD_ERRORS * math.sqrt(variance)
    return (center - margin) / (1 + z_squared / samples), (center + margin) / (1 + z_squared / samples)


@dataclass(slots=True)
class OutlierDetector:
    """Tracks the outcomes of all calls, and ejects and readmits endpoints."""

    dispatcher: Dispatcher
    settings: OutlierSettings
    records: dict[int, CallRecord] = field(default_factory=dict)
    """Call records by endpoint."""
    destinations_with_outcomes: set[int] = field(default_factory=set)
    """Destinations whose calls had an outcome in this round."""
    ejections_suspended_since_us: dict[int, int] = field(default_factory=dict)
    """Since when too many endpoints of a destination look bad to eject any, by destination."""
    next_round_us: int = -1
    """When the next round is due at the latest; -1 before the first round."""
    ejection_count: int = 0

    def apply_event(self, event: ExtensionEvent) -> None:
        """Does nothing: this extension uses outcomes only."""

    def on_outcome(self, endpoint_id: int, outcome: Outcome) -> None:
        """Counts an outcome if it reflects the health of the endpoint."""
        endpoint = self.dispatcher.endpoints.get(endpoint_id)
        if endpoint is None or (outcome is not Outcome.DELIVERED and outcome not in FAILURES):
            return
        stalled = 0 <= self.next_round_us < self.dispatcher.now_us - MIN_STALL_US
        if stalled and outcome is Outcome.TIMED_OUT:
            return
        self.decayed_record(endpoint_id).add(outcome in FAILURES, self.settings.trial_calls)
        self.destinations_with_outcomes.add(endpoint.destination)

    def decayed_record(self, endpoint_id: int) -> CallRecord:
        """Returns the record of an endpoint, after reducing the weight of its samples by their age."""
        record = self.records.setdefault(endpoint_id, CallRecord())
        record.decay(self.dispatcher.now_us, self.settings.half_life_us)
        return record

    def before_release(self) -> None:
        """Ends ejections that have expired, and compares the endpoints of destinations with new outcomes."""
        dispatcher = self.dispatcher
        for endpoint_id, record in self.records.items():
            if 0 <= record.ejected_until_us <= dispatcher.now_us:
                self.readmit(endpoint_id, record)
        for destination in sorted(self.destinations_with_outcomes):
            self.compare_endpoints(destination)
        self.destinations_with_outcomes.clear()
        dispatcher.timers.add(dispatcher.now_us + MAX_ROUND_INTERVAL_US, NEXT_ROUND_TIMER)
        self.next_round_us = dispatcher.timers.earliest[NEXT_ROUND_TIMER]
        if len(self.records) > len(dispatcher.endpoints):  # some belong to endpoints that the dispatcher has removed
            endpoints = dispatcher.endpoints
            self.records = {
                endpoint_id: record for endpoint_id, record in self.records.items() if endpoint_id in endpoints
            }

    def after_release(self) -> None:
        """Does nothing: ejections are decided before the release."""

    def compare_endpoints(self, destination: int) -> None:
        """Compares the endpoints of a destination, and ejects outliers unless there are too many."""
        endpoints = self._serving_endpoints(destination)
        outliers = [endpoint for endpoint in endpoints if endpoint.excluded or self.is_outlier(endpoint, endpoints)]
        max_ejected = min(int(self.settings.max_ejected_share * len(endpoints)), len(endpoints) - 1)
        if len(outliers) > max_ejected:
            self._suspend_ejections(destination, endpoints, outliers)
            return
        self.ejections_suspended_since_us.pop(destination, None)
        for endpoint in endpoints:
            if endpoint in outliers and not endpoint.excluded:
                self.eject(endpoint)
            else:
                self._keep_sampling(endpoint, is_outlier=endpoint in outliers, is_only_endpoint=len(endpoints) <= 1)

    def _serving_endpoints(self, destination: int) -> list[Endpoint]:
        endpoints = self.dispatcher.endpoints.values()
        return [endpoint for endpoint in endpoints if endpoint.destination == destination and endpoint.serving]

    def _keep_sampling(self, endpoint: Endpoint, *, is_outlier: bool, is_only_endpoint: bool) -> None:
        """Lets the dispatcher call an endpoint again that it avoids, so that there are enough samples to compare."""
        dispatcher = self.dispatcher
        is_ejected = dispatcher.slow_start.is_active(endpoint) and endpoint.recovering_since_us < 0
        if not is_outlier and is_ejected and not is_only_endpoint:
            dispatcher.slow_start.readmit(endpoint)  # the dispatcher ejected it after one or two failures
        elif not endpoint.excluded and dispatcher.now_us - endpoint.last_call_at_us > self.settings.retry_us:
            endpoint.error_rate = 0.0

    def _suspend_ejections(self, destination: int, endpoints: list[Endpoint], outliers: list[Endpoint]) -> None:
        """Readmits all ejected endpoints of a destination, because too many of its endpoints look bad."""
        dispatcher = self.dispatcher
        if destination not in self.ejections_suspended_since_us and len(endpoints) > 1:
            text = f"{len(outliers)} of {len(endpoints)} endpoints of destination {destination} look bad"
            dispatcher.actions.append(LogLine(f"health: {text}; all stay in use"))
        self.ejections_suspended_since_us.setdefault(destination, dispatcher.now_us)
        for endpoint in outliers:
            if endpoint.excluded:
                self.readmit(endpoint.id, self.records[endpoint.id])

    def is_outlier(self, endpoint: Endpoint, endpoints: list[Endpoint]) -> bool:
        """Returns whether an endpoint fails significantly, and significantly more than the others."""
        settings = self.settings
        record = self.decayed_record(endpoint.id)
        if record.trial_calls_left < 0 or record.consecutive_failures >= settings.consecutive_failures:
            return True
        if record.samples < settings.min_samples:
            return False
        lower_bound, _ = failure_rate_bounds(record.failures, record.samples)
        others = [self.decayed_record(other.id) for other in endpoints if other is not endpoint and not other.excluded]
        samples = sum(other.samples for other in others)
        _, upper_bound_of_others = failure_rate_bounds(sum(other.failures for other in others), samples)
        if not any(other.samples for other in others):
            upper_bound_of_others = settings.min_failure_rate  # there are no samples to compare with
        return lower_bound > max(settings.min_failure_rate, min(upper_bound_of_others, 1 - settings.min_failure_rate))

    def eject(self, endpoint: Endpoint) -> None:
        """Ejects an endpoint for a time that grows with each ejection."""
        dispatcher, settings = self.dispatcher, self.settings
        record = self.decayed_record(endpoint.id)
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
        """Puts an endpoint back in use, on trial."""
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
        """Returns the verdict on an endpoint and the reason for it, for operators."""
        record, dispatcher = self.decayed_record(endpoint.id), self.dispatcher
        samples = record.describe()
        if endpoint.excluded:
            left_s = max(0, record.ejected_until_us - dispatcher.now_us) / SECOND_US
            return Verdict.EJECTED, f"{record.reason}; for {left_s:.1f} s more"
        if record.trial_calls_left > 0:
            return Verdict.ON_TRIAL, f"{samples}; {record.trial_calls_left} calls to go"
        if dispatcher.slow_start.is_active(endpoint):
            verdict = Verdict.SUSPECT if endpoint.recovering_since_us < 0 else Verdict.ON_TRIAL
            return verdict, f"{samples}; cold after an outage"
        is_outlier = self.is_outlier(endpoint, self._serving_endpoints(endpoint.destination))
        return (Verdict.SUSPECT if is_outlier else Verdict.HEALTHY), samples
