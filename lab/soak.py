"""The fault soak: random schedules of faults that overlap, on a small fleet of real processes, judged by the rules.

Each seed draws a schedule of its own. Beside the judge's findings a play fails where a process crashed, where the
program counted a violation of its own rules, or where an error that nobody foresaw is in a log.
"""

from __future__ import annotations

import random
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Literal

from lab import run
from lab.scenario import Endpoints, Fault, Fleet, Front, Limits, Load, Scenario, Time

DRAIN_S = 30.0
HOUR_S = 3600.0
DELAY_S = (0.01, 0.08)
"""Of a link: the rules let through what arrives within 0.1 s of a told wait; what a network holds longer than that, the
judge would count against a forwarder that sent it before."""
FILE_ERRORS = ("ENOSPC", "EIO")
SOCKET_ERRORS = {
    "accept": ("ECONNABORTED", "ENFILE", "ENOBUFS"),
    "socket": ("ENFILE", "ENOBUFS"),
    "connect": ("EADDRNOTAVAIL", "ENETUNREACH", "ETIMEDOUT"),
    "recv": ("ETIMEDOUT", "EHOSTUNREACH"),
    "send": ("ETIMEDOUT", "EHOSTUNREACH"),
    "client-recv": ("ENOBUFS", "ENOMEM"),
    "client-send": ("ENOBUFS", "ENOMEM"),
    "epoll_ctl": ("ENOMEM", "ENOSPC"),
    "poll": ("ENOMEM",),
    "short": ("EIO",),
}
KEY_REST_S = 1.0
FROM_THE_START = 0.15
"""Share of the schedules in which writes fail from the beginning."""
TROUBLE = re.compile(r"violation: |Traceback|was left without an end|, \d+ times so far")
"""What a log may not have."""
MOST_LINES = 5
MOMENTS: tuple[Literal["handed", "call", "answered", "notice"] | None, ...] = (
    None,
    None,
    "handed",
    "call",
    "answered",
    "notice",
)
EFFECTS: tuple[Literal["silence", "refuse", "reset", "delay"], ...] = ("silence", "refuse", "reset", "delay")


def _kill(chance: random.Random, at_s: float) -> Fault:
    """Right away, or in the moment after an event that has to be on record by then."""
    on = chance.choice(MOMENTS)
    return Fault(
        at_s=at_s,
        kind="kill",
        share=chance.uniform(0.1, 0.6),
        back_s=chance.uniform(0.2, 1.5),
        on=on,
        clock_s=chance.choice((0.0, 0.0, HOUR_S, -HOUR_S)),
    )


def _term(chance: random.Random, at_s: float) -> Fault:
    return Fault(at_s=at_s, kind="term", share=chance.uniform(0.1, 0.4), back_s=chance.uniform(0.2, 1.0))


def _signals(chance: random.Random, at_s: float) -> Fault:
    """SIGHUP, SIGTERM, SIGHUP, twice, with new configurations; SIGKILL at the page's earliest."""
    return Fault(at_s=at_s, kind="signals", share=chance.uniform(0.1, 0.4), back_s=chance.uniform(0.2, 1.0))


def _reload(chance: random.Random, at_s: float) -> Fault:
    return Fault(at_s=at_s, kind="reload", share=chance.uniform(0.3, 1.0))


def _upgrade(chance: random.Random, at_s: float) -> Fault:
    return Fault(at_s=at_s, kind="upgrade", share=chance.uniform(0.1, 0.3))


def _stop(chance: random.Random, at_s: float) -> Fault:
    return Fault(at_s=at_s, kind="stop", share=chance.uniform(0.1, 0.3), for_s=chance.uniform(0.2, 2.0))


def _file_errors(chance: random.Random, at_s: float) -> Fault:
    call = chance.choice(("write", "write", "open", "ftruncate", "replace", "unlink", "close", "read"))
    return Fault(
        at_s=at_s,
        kind="errors",
        call=call,
        errno=chance.choice(FILE_ERRORS),
        share=chance.uniform(0.2, 1.0),
        rate=chance.choice((0.3, 1.0)),
        for_s=chance.uniform(0.5, 5.0),
    )


def _socket_errors(chance: random.Random, at_s: float) -> Fault:
    call = chance.choice(tuple(SOCKET_ERRORS))
    return Fault(
        at_s=at_s,
        kind="errors",
        call=call,
        errno=chance.choice(SOCKET_ERRORS[call]),
        share=chance.uniform(0.2, 1.0),
        rate=chance.uniform(0.05, 0.3),
        for_s=chance.uniform(0.5, 4.0),
    )


def _clock(chance: random.Random, at_s: float) -> Fault:
    step_s = chance.choice((-HOUR_S, -5.0, HOUR_S))
    return Fault(at_s=at_s, kind="clock", share=chance.uniform(0.3, 1.0), clock_s=step_s)


def _cut(chance: random.Random, at_s: float) -> Fault:
    effect = chance.choice(EFFECTS)
    return Fault(
        at_s=at_s,
        kind="cut",
        between="endpoints",
        of=chance.uniform(0.2, 1.0),
        effect=effect,
        share=chance.uniform(0.2, 0.8),
        for_s=chance.uniform(0.5, 4.0),
        delay_s=chance.uniform(*DELAY_S),
    )


def _crowd(chance: random.Random, at_s: float) -> Fault:
    return Fault(
        at_s=at_s,
        kind="crowd",
        share=chance.uniform(0.1, 0.5),
        connections=chance.randrange(200, 500),
        for_s=chance.uniform(1.0, 6.0),
    )


def _outage(chance: random.Random, at_s: float) -> Fault:
    return Fault(
        at_s=at_s,
        kind="outage",
        share=chance.uniform(0.1, 0.4),
        for_s=chance.uniform(1.0, 4.0),
        silent=chance.random() < 0.5,
    )


def _limit(chance: random.Random, at_s: float) -> Fault:
    return Fault(
        at_s=at_s,
        kind="limit",
        share=chance.uniform(0.2, 1.0),
        times=chance.uniform(0.3, 0.8),
        for_s=chance.uniform(2.0, 6.0),
    )


def _replace(chance: random.Random, at_s: float) -> Fault:
    return Fault(at_s=at_s, kind="replace", share=chance.uniform(0.1, 0.25))


def _discovery(chance: random.Random, at_s: float) -> Fault:
    """Down, or short of room."""
    return Fault(at_s=at_s, kind="discovery", for_s=chance.uniform(1.0, 5.0), times=chance.choice((None, 0.2)))


def _slow_discovery(chance: random.Random, at_s: float) -> Fault:
    return Fault(
        at_s=at_s,
        kind="cut",
        between="discovery",
        effect="delay",
        share=1.0,
        delay_s=chance.uniform(*DELAY_S),
        for_s=chance.uniform(1.0, 6.0),
    )


KINDS: tuple[Callable[[random.Random, float], Fault], ...] = (
    _kill,
    _kill,
    _term,
    _signals,
    _signals,
    _reload,
    _upgrade,
    _upgrade,
    _stop,
    _file_errors,
    _file_errors,
    _socket_errors,
    _socket_errors,
    _clock,
    _cut,
    _crowd,
    _outage,
    _limit,
    _replace,
    _discovery,
    _slow_discovery,
)


@dataclass(frozen=True, slots=True)
class Form:
    """How long a schedule is, and how many faults it has."""

    faults: tuple[int, int]
    first_s: float
    last_s: float
    load_s: float
    late_ms: float
    """The lab's own lateness, past which a result does not count; the judge allows for what it was."""


LONG = Form((8, 14), 2.0, 16.0, 20.0, 400.0)
SHORT = Form((5, 8), 1.0, 6.0, 8.0, 2000.0)
"""For every landing: its verdict is the same beside load."""


def scenario(seed: int, nodes: int, form: Form = LONG) -> Scenario:
    """The schedule of one seed."""
    chance = random.Random(f"soak/{seed}")
    count = chance.randint(*form.faults)
    faults = sorted(
        (chance.choice(KINDS)(chance, chance.uniform(form.first_s, form.last_s)) for _ in range(count)),
        key=lambda fault: fault.at_s,
    )
    if chance.random() < FROM_THE_START:
        faults.insert(0, _file_errors(chance, 0.0))
    return Scenario(
        f"soak-{seed}",
        seed=seed,
        fleet=Fleet(nodes=nodes, endpoints=12, destinations=6, slots=6),
        time=Time(warm_s=1.0, load_s=form.load_s, drain_s=DRAIN_S),
        faults=tuple(faults),
        load=Load(per_node_s=chance.uniform(2.0, 5.0), of_limits=chance.uniform(0.6, 1.2), keys=60),
        front=Front(stay=0.15),
        endpoints=Endpoints(told_share=0.8, key_rest_s=KEY_REST_S),
        limits=Limits(late_ms=form.late_ms),
    )


@dataclass(slots=True)
class Verdict:
    """What one seed came to."""

    seed: int
    result: run.Result
    trouble: list[str] = field(default_factory=list)
    """Lines of logs that may not be there."""

    @property
    def passed(self) -> bool:
        return not (self.result.findings or self.trouble or self.result.costs["crashes"])

    def lines(self) -> Iterable[str]:
        """What went wrong, for a person."""
        for finding in self.result.findings:
            yield f"{finding.rule} at {finding.at_s:.3f} s, {finding.node}, {finding.id}: {finding.text}"
        if self.result.costs["crashes"]:
            yield f"{self.result.costs['crashes']} crashes"
        yield from self.trouble[:MOST_LINES]


def trouble(out: Path) -> list[str]:
    """Lines of the forwarders' logs that tell of something nobody foresaw."""
    return [
        f"{path.parent.name}: {line}"
        for path in sorted(out.glob("nodes/*/log"))
        for line in path.read_text(errors="replace").splitlines()
        if TROUBLE.search(line)
    ]


def judge(seed: int, result: run.Result, out: Path) -> Verdict:
    return Verdict(seed, result, trouble(out))
