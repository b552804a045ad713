"""Measures verdicts on endpoints: how soon a fault is told, how many are false, what they are worth.

    python -m benchmarks.health [detection|quiet|worth ...]

The decisions are played by themselves, on a clock of their own: a call takes 100 ms, a quick failure 1 ms.
"""

from __future__ import annotations

import heapq
import random
import statistics
import sys
from collections import Counter
from collections.abc import Callable

from forwarder.decisions.actions import FailMessage, RejectMessage, SendAttempt, SetTimer
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
from tests.scripts import MS, S, ask, settings
from tests.test_health import LIMITS

PAIRS = 9
Fate = Callable[[int, int, random.Random], Outcome]


class Run:
    """One destination under messages that may not be repeated: what fails is lost."""

    def __init__(self, endpoints: int, on: bool, seed: int, fate: Fate, rate: float) -> None:
        self.random, self.fate, self.rate = random.Random(seed), fate, rate
        self.d = Dispatcher(settings(slots=8, forwarders=1, slow_start_us=10 * S), seed, 0)
        self.health = OutlierDetector(self.d, LIMITS)
        if on:
            self.d.extensions.append(self.health)
        entries = tuple(EndpointEntry(n, 10, "north", "plain") for n in range(1, endpoints + 1))
        self.d.handle(0, [EndpointListReceived(EndpointListKind.SAVED, entries)])
        self.now, self.sent, self.lost, self.ends = 0, 0, 0, Counter[str]()
        self.ejected_at = -1
        self.heap: list[tuple[int, int, Event]] = []
        self.count = 0

    def later(self, at: int, event: Event) -> None:
        self.count += 1
        heapq.heappush(self.heap, (at, self.count, event))

    def play(self, seconds: float, until_ejected: bool = False) -> Run:
        end, arrival = int(seconds * S), 0
        attempts: Counter[str] = Counter()
        while self.now < end and not (until_ejected and self.ejected_at >= 0):
            if arrival <= self.now:
                self.sent += 1
                self.later(self.now, ask(f"m{self.sent}", cls="once", due=self.now + 8 * S))
                arrival = self.now + int(self.random.expovariate(self.rate) * S)
            self.now = max(self.now, min(arrival, self.heap[0][0] if self.heap else arrival))
            events = []
            while self.heap and self.heap[0][0] <= self.now:
                events.append(heapq.heappop(self.heap)[2])
            for a in self.d.handle(self.now, events):
                match a:
                    case SendAttempt(message, target):
                        told = self.fate(target, self.now, self.random)
                        took = 1 * MS if told is Outcome.FAILED else 100 * MS
                        self.later(
                            self.now + took,
                            AttemptEnded(message, attempts[message], target, told, took, told is Outcome.DELIVERED),
                        )
                        attempts[message] += 1
                        self.lost += told is not Outcome.DELIVERED
                    case SetTimer(delay, token):
                        self.later(self.now + delay, TimerFired(token))
                    case FailMessage() | RejectMessage():
                        self.ends[type(a).__name__] += 1
            if self.ejected_at < 0 and self.health.ejections:
                self.ejected_at = self.now
        return self


def shown(name: str, values: list[float], unit: str, digits: int = 1) -> None:
    print(
        f"{name:62} median {statistics.median(values):.{digits}f} {unit}, "
        f"{min(values):.{digits}f} to {max(values):.{digits}f} ({len(values)})",
        flush=True,
    )


def always(outcome: Outcome) -> Fate:
    return lambda target, now, r: outcome if target == 1 else Outcome.DELIVERED


def half(target: int, now: int, r: random.Random) -> Outcome:
    return Outcome.FAILED if target == 1 and r.random() < 0.5 else Outcome.DELIVERED


def flapping(target: int, now: int, r: random.Random) -> Outcome:
    return Outcome.FAILED if target == 1 and now // (2 * S) % 2 == 0 else Outcome.DELIVERED


FAULTS: dict[str, Fate] = {
    "500 in 1 ms": always(Outcome.FAILED),
    "garbled answers": always(Outcome.UNREADABLE),
    "time-outs": always(Outcome.TIMED_OUT),
    "half of the calls": half,
    "every other 2 s": flapping,
}


def detection() -> None:
    """Calls lost until the first ejection, and the time to it, passive alone."""
    for endpoints in (2, 3, 8):
        for name, fate in FAULTS.items():
            runs = [Run(endpoints, True, seed, fate, 20).play(120, until_ejected=True) for seed in range(PAIRS)]
            found = [run for run in runs if run.ejected_at >= 0]
            what = f"{name}, one of {endpoints}: "
            if len(found) < len(runs):
                print(f"{what}not ejected within 120 s in {len(runs) - len(found)} of {len(runs)}")
            if found:
                shown(what + "calls lost", [run.lost for run in found], "calls", 0)
                shown(what + "time", [run.ejected_at / S for run in found], "s")


def quiet() -> None:
    """False ejections of three sound endpoints in an hour at 20 messages a second, by chance failures."""
    for noise in (0.01, 0.05, 0.1):

        def fate(target: int, now: int, r: random.Random, noise: float = noise) -> Outcome:
            return Outcome.FAILED if r.random() < noise else Outcome.DELIVERED

        count = sum(Run(3, True, seed, fate, 20).play(1200).health.ejections for seed in range(3))
        # The count is Poisson's; these bounds hold its mean with some 95%.
        least, most = max(0.0, (count + 1 - 2 * (count + 1) ** 0.5)), count + 2 + 2 * (count + 1) ** 0.5
        print(f"noise {noise:4}: {count} false ejections, so {least if count else 0:.0f} to {most:.0f}", flush=True)


def worth() -> None:
    """Share of messages lost with one endpoint that fails at once, on against off, in pairs by seed."""
    for endpoints in (2, 3, 8):
        for rate in (5, 20, 60):
            shares: dict[bool, list[float]] = {True: [], False: []}
            for seed in range(PAIRS):
                for on in (False, True):
                    run = Run(endpoints, on, seed, FAULTS["500 in 1 ms"], rate).play(120)
                    shares[on].append(100 * (run.ends["Fail"] + run.ends["Refuse"]) / run.sent)
            for on, values in shares.items():
                shown(
                    f"one of {endpoints} fails, {rate} messages a second, {'on' if on else 'off'}",
                    values,
                    "% not delivered",
                    2,
                )


PARTS: dict[str, Callable[[], None]] = {"detection": detection, "quiet": quiet, "worth": worth}

if __name__ == "__main__":
    for part in sys.argv[1:] or list(PARTS):
        print(f"-- {part}: {PARTS[part].__doc__}")
        PARTS[part]()
