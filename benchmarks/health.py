"""Measures outlier detection: the time to detect a fault, the rate of false ejections, and the messages it saves.

    python -m benchmarks.health [detection|quiet|worth ...]

Only the decisions run, on a simulated clock: a call takes 100 ms, one that fails with an error response 1 ms.
"""

from __future__ import annotations

import heapq
import random
import sys
from collections import Counter, defaultdict
from collections.abc import Callable

from benchmarks.summary import print_values
from forwarder.decisions.actions import Action, FailMessage, RejectMessage, SendAttempt, SetTimer
from forwarder.decisions.dispatcher import Dispatcher
from forwarder.decisions.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    Event,
    TimerFired,
)
from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.outlier_detection import OutlierDetector
from tests.decisions.test_outlier_detection import OUTLIER_SETTINGS
from tests.scripts import MS, S, ask, settings

SEEDS = 9
DESTINATION = 10
FAULTY_ENDPOINT = 1
ENDPOINT_COUNTS = (2, 3, 8)
CALL_US = 100 * MS
FAILED_CALL_US = 1 * MS
MESSAGE_TIMEOUT_US = 8 * S
FAULT_INTERVAL_US = 2 * S
DETECTION_S = 120.0
NAME_WIDTH = 62

OutcomeOf = Callable[[int, int, random.Random], Outcome]
"""Returns the outcome of a call from its endpoint, the time in microseconds, and random draws."""


class Run:
    """One destination with messages that may be attempted only once: a call that fails loses its message."""

    def __init__(self, endpoints: int, detects: bool, seed: int, outcome_of: OutcomeOf, messages_per_s: float) -> None:
        """Make a run.

        Args:
            endpoints: The number of endpoints of the destination.
            detects: Whether outlier detection is on.
            seed: The seed of the random draws.
            outcome_of: Decides the outcome of each call.
            messages_per_s: The mean rate of submissions.
        """
        self.rng = random.Random(seed)
        self.outcome_of = outcome_of
        self.messages_per_s = messages_per_s
        self.dispatcher = Dispatcher(settings(slots=8, forwarders=1, slow_start_us=10 * S), seed, 0)
        self.detector = OutlierDetector(self.dispatcher, OUTLIER_SETTINGS)
        if detects:
            self.dispatcher.extensions.append(self.detector)
        entries = tuple(EndpointEntry(number, DESTINATION, "north", "plain") for number in range(1, endpoints + 1))
        self.dispatcher.handle(0, [EndpointListReceived(EndpointListKind.SAVED, entries)])
        self.now_us = 0
        self.submitted = 0
        self.lost_calls = 0
        self.undelivered = 0
        self.ejected_at_us: int | None = None
        self.attempts: Counter[str] = Counter()
        self.pending: list[tuple[int, int, Event]] = []
        """A heap of events, ordered by time in microseconds and then by number."""
        self.event_count = 0

    def schedule(self, at_us: int, event: Event) -> None:
        """Schedule an event."""
        self.event_count += 1
        heapq.heappush(self.pending, (at_us, self.event_count, event))

    def run(self, seconds: float, until_ejected: bool = False) -> Run:
        """Run for the given time, or until the first ejection, and return the run itself."""
        end_us = int(seconds * S)
        next_arrival_us = 0
        while self.now_us < end_us and not (until_ejected and self.ejected_at_us is not None):
            if next_arrival_us <= self.now_us:
                self._submit()
                next_arrival_us = self.now_us + int(self.rng.expovariate(self.messages_per_s) * S)
            next_event_us = self.pending[0][0] if self.pending else next_arrival_us
            self.now_us = max(self.now_us, min(next_arrival_us, next_event_us))
            for action in self.dispatcher.handle(self.now_us, self._due_events()):
                self._carry_out(action)
            if self.ejected_at_us is None and self.detector.ejection_count:
                self.ejected_at_us = self.now_us
        return self

    def _submit(self) -> None:
        self.submitted += 1
        self.schedule(self.now_us, ask(f"m{self.submitted}", cls="once", due=self.now_us + MESSAGE_TIMEOUT_US))

    def _due_events(self) -> list[Event]:
        events = []
        while self.pending and self.pending[0][0] <= self.now_us:
            events.append(heapq.heappop(self.pending)[2])
        return events

    def _carry_out(self, action: Action) -> None:
        match action:
            case SendAttempt(message, endpoint):
                self._call(message, endpoint)
            case SetTimer(delay_us, token):
                self.schedule(self.now_us + delay_us, TimerFired(token))
            case FailMessage() | RejectMessage():
                self.undelivered += 1

    def _call(self, message: str, endpoint: int) -> None:
        outcome = self.outcome_of(endpoint, self.now_us, self.rng)
        took_us = FAILED_CALL_US if outcome is Outcome.FAILED else CALL_US
        is_delivered = outcome is Outcome.DELIVERED
        ended = AttemptEnded(message, self.attempts[message], endpoint, outcome, took_us, is_delivered)
        self.schedule(self.now_us + took_us, ended)
        self.attempts[message] += 1
        self.lost_calls += not is_delivered


def always(outcome: Outcome) -> OutcomeOf:
    """Give all calls to the faulty endpoint the same outcome."""
    return lambda endpoint, now_us, rng: outcome if endpoint == FAULTY_ENDPOINT else Outcome.DELIVERED


def fail_half_of_calls(endpoint: int, now_us: int, rng: random.Random) -> Outcome:
    """Let each call to the faulty endpoint fail with a probability of one half."""
    return Outcome.FAILED if endpoint == FAULTY_ENDPOINT and rng.random() < 0.5 else Outcome.DELIVERED


def fail_every_other_interval(endpoint: int, now_us: int, rng: random.Random) -> Outcome:
    """Let the faulty endpoint fail in every other interval of 2 s."""
    is_failing = endpoint == FAULTY_ENDPOINT and now_us // FAULT_INTERVAL_US % 2 == 0
    return Outcome.FAILED if is_failing else Outcome.DELIVERED


def random_failures(share: float) -> OutcomeOf:
    """Let the given share of calls fail at random, at every endpoint."""
    return lambda endpoint, now_us, rng: Outcome.FAILED if rng.random() < share else Outcome.DELIVERED


FAULTS: dict[str, OutcomeOf] = {
    "500 in 1 ms": always(Outcome.FAILED),
    "garbled answers": always(Outcome.UNREADABLE),
    "time-outs": always(Outcome.TIMED_OUT),
    "half of the calls": fail_half_of_calls,
    "every other 2 s": fail_every_other_interval,
}


def detection() -> None:
    """Calls lost before the first ejection, and the time to it, with passive detection only."""
    for endpoints in ENDPOINT_COUNTS:
        for name, outcome_of in FAULTS.items():
            runs = [
                Run(endpoints, True, seed, outcome_of, 20).run(DETECTION_S, until_ejected=True) for seed in range(SEEDS)
            ]
            times_s = [run.ejected_at_us / S for run in runs if run.ejected_at_us is not None]
            lost_calls = [run.lost_calls for run in runs if run.ejected_at_us is not None]
            label = f"{name}, one of {endpoints}: "
            if len(times_s) < len(runs):
                print(f"{label}not ejected within 120 s in {len(runs) - len(times_s)} of {len(runs)}")
            if times_s:
                print_values(label + "calls lost", lost_calls, "calls", 0, NAME_WIDTH)
                print_values(label + "time", times_s, "s", 1, NAME_WIDTH)


def quiet() -> None:
    """False ejections of three healthy endpoints in an hour at 20 messages a second, by the share of failed calls."""
    for share in (0.01, 0.05, 0.1):
        count = sum(
            Run(3, True, seed, random_failures(share), 20).run(1200).detector.ejection_count for seed in range(3)
        )
        # The count follows a Poisson distribution: these bounds contain its mean with about 95% confidence.
        margin = 2 * (count + 1) ** 0.5
        lower = max(0.0, count + 1 - margin) if count else 0.0
        upper = count + 2 + margin
        print(f"failure share {share:4}: {count} false ejections, 95% interval {lower:.0f} to {upper:.0f}", flush=True)


def worth() -> None:
    """Share of messages lost with one endpoint that fails in 1 ms: outlier detection on and off, in pairs by seed."""
    for endpoints in ENDPOINT_COUNTS:
        for messages_per_s in (5, 20, 60):
            shares: defaultdict[str, list[float]] = defaultdict(list)
            for seed in range(SEEDS):
                for name, detects in (("off", False), ("on", True)):
                    run = Run(endpoints, detects, seed, FAULTS["500 in 1 ms"], messages_per_s).run(DETECTION_S)
                    shares[name].append(100 * run.undelivered / run.submitted)
            for name in ("on", "off"):
                label = f"one of {endpoints} fails, {messages_per_s} messages a second, {name}"
                print_values(label, shares[name], "% not delivered", 2, NAME_WIDTH)


BENCHMARKS: dict[str, Callable[[], None]] = {"detection": detection, "quiet": quiet, "worth": worth}


def main() -> None:
    """Run the benchmarks that the command line names, or all."""
    for name in sys.argv[1:] or list(BENCHMARKS):
        print(f"-- {name}: {BENCHMARKS[name].__doc__}")
        BENCHMARKS[name]()


if __name__ == "__main__":
    main()
