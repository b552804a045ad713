"""The fault soak: random schedules of overlapping faults, on a small fleet of real processes, checked by the rules.

Each seed has its own schedule. A seed fails if the rules find a violation, if a process crashed or had more memory than
its settings allow, if the program counted a violation of its own invariants, or if a log contains an unexpected error.
"""

from __future__ import annotations

import random
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Literal

from lab.hostile_clients import FLOODS, SLOW_WRITERS, Behaviour
from lab.result import Result
from lab.scenario import Endpoints, Fault, Fleet, Front, Limits, Load, Scenario, Time

DRAIN_S = 30.0
HOUR_S = 3600.0
LINK_DELAY_S = (0.01, 0.08)
"""Range of the delay of a link.

The rules accept a call that arrives up to 0.1 s after a Retry-After. With a longer network delay, they would blame a
forwarder for a call that it sent in time.
"""
FILE_ERRORS = ("ENOSPC", "EIO")
SOCKET_ERRORS = {
    "accept": ("ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"),
    "socket": ("ENFILE", "ENOBUFS"),
    "connect": ("EADDRNOTAVAIL", "ENETUNREACH", "ETIMEDOUT"),
    "recv": ("ETIMEDOUT", "EHOSTUNREACH"),
    "send": ("ETIMEDOUT", "EHOSTUNREACH"),
    "endpoint-recv": ("ENOBUFS", "ENOMEM"),
    "endpoint-send": ("ENOBUFS", "ENOMEM"),
    "client-recv": ("ENOBUFS", "ENOMEM"),
    "client-send": ("ENOBUFS", "ENOMEM"),
    "epoll_ctl": ("ENOMEM", "ENOSPC"),
    "poll": ("ENOMEM",),
    "short": ("EIO",),
}
LASTING_ERRORS = {
    "accept": ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"),
    "socket": ("ENFILE", "ENOBUFS"),
    "endpoint-recv": ("ENOBUFS", "ENOMEM"),
    "endpoint-send": ("ENOBUFS", "ENOMEM"),
    "client-recv": ("ENOBUFS", "ENOMEM"),
    "client-send": ("ENOBUFS", "ENOMEM"),
    "poll": ("ENOMEM",),
}
"""System calls that fail every time for a while.

Calls that sending a notice needs are left out, because a notice is due at a fixed time.
"""
MEMORY_MB = (32, 32, 48, 80, 192)
"""Memory of a forwarder: from the least to the most that the platform gives (TERMS)."""
DESCRIPTORS = (256, 384, 512, 1024)
KEY_BACKOFF_S = 1.0
INITIAL_FAULT_SHARE = 0.15
"""Share of the schedules in which file operations fail from the start."""
LOG_VIOLATION = re.compile(r"violation: |Traceback|was left without an end|, \d+ times so far")
"""Matches the log lines that make a seed fail."""
MAX_LOG_LINES = 5
TRIGGER_EVENTS: tuple[Literal["handed", "call", "answered", "notice"] | None, ...] = (
    None,
    None,
    "handed",
    "call",
    "answered",
    "notice",
)
FRONT_FAULTS: tuple[Literal["silence", "reset", "delay"], ...] = ("silence", "reset", "delay")
LINK_FAULTS: tuple[Literal["silence", "refuse", "reset", "delay"], ...] = ("silence", "refuse", "reset", "delay")


def _kill(rng: random.Random, at_s: float) -> Fault:
    """Kill at once, or right after an event that must have been recorded by then."""
    on = rng.choice(TRIGGER_EVENTS)
    return Fault(
        at_s=at_s,
        kind="kill",
        share=rng.uniform(0.1, 0.6),
        back_s=rng.uniform(0.2, 1.5),
        on=on,
        clock_s=rng.choice((0.0, 0.0, HOUR_S, -HOUR_S)),
    )


def _term(rng: random.Random, at_s: float) -> Fault:
    return Fault(at_s=at_s, kind="term", share=rng.uniform(0.1, 0.4), back_s=rng.uniform(0.2, 1.0))


def _signals(rng: random.Random, at_s: float) -> Fault:
    """Send SIGHUP three times, each with a new configuration, and SIGTERM after the first and the second.

    If the process still runs then, SIGKILL follows at the earliest time that the platform permits.
    """
    return Fault(at_s=at_s, kind="signals", share=rng.uniform(0.1, 0.4), back_s=rng.uniform(0.2, 1.0))


def _reload(rng: random.Random, at_s: float) -> Fault:
    return Fault(at_s=at_s, kind="reload", share=rng.uniform(0.3, 1.0))


def _upgrade(rng: random.Random, at_s: float) -> Fault:
    return Fault(at_s=at_s, kind="upgrade", share=rng.uniform(0.1, 0.3))


def _stop(rng: random.Random, at_s: float) -> Fault:
    longest_s = rng.choice((2.0, 2.0, 8.0))
    return Fault(at_s=at_s, kind="stop", share=rng.uniform(0.1, 0.3), for_s=rng.uniform(0.2, longest_s))


def _slow(rng: random.Random, at_s: float) -> Fault:
    return Fault(
        at_s=at_s, kind="slow", share=rng.uniform(0.1, 0.4), times=rng.uniform(0.3, 0.8), for_s=rng.uniform(1.0, 4.0)
    )


def _full(rng: random.Random, at_s: float) -> Fault:
    return Fault(at_s=at_s, kind="full", share=rng.uniform(0.2, 0.6), for_s=rng.uniform(0.5, 4.0))


def _file_errors(rng: random.Random, at_s: float) -> Fault:
    call = rng.choice(("write", "write", "open", "ftruncate", "replace", "unlink", "close", "read"))
    return Fault(
        at_s=at_s,
        kind="errors",
        call=call,
        errno=rng.choice(FILE_ERRORS),
        share=rng.uniform(0.2, 1.0),
        rate=rng.choice((0.3, 1.0)),
        for_s=rng.uniform(0.5, 5.0),
    )


def _socket_errors(rng: random.Random, at_s: float) -> Fault:
    call = rng.choice(tuple(SOCKET_ERRORS))
    return Fault(
        at_s=at_s,
        kind="errors",
        call=call,
        errno=rng.choice(SOCKET_ERRORS[call]),
        share=rng.uniform(0.2, 1.0),
        rate=rng.uniform(0.05, 0.3),
        for_s=rng.uniform(0.5, 4.0),
    )


def _lasting_errors(rng: random.Random, at_s: float) -> Fault:
    call = rng.choice(tuple(LASTING_ERRORS))
    return Fault(
        at_s=at_s,
        kind="errors",
        call=call,
        errno=rng.choice(LASTING_ERRORS[call]),
        share=rng.uniform(0.2, 0.6),
        rate=1.0,
        for_s=rng.uniform(0.3, 3.0),
    )


def _failing_start(rng: random.Random, at_s: float) -> tuple[Fault, ...]:
    """Kill and restart forwarders while a system call that a start needs fails."""
    call, errors = rng.choice((("open", FILE_ERRORS), ("socket", SOCKET_ERRORS["socket"])))
    failing = Fault(
        at_s=at_s,
        kind="errors",
        call=call,
        errno=rng.choice(errors),
        share=1.0,
        rate=rng.choice((0.7, 1.0)),
        for_s=rng.uniform(2.0, 5.0),
    )
    restart = Fault(at_s=at_s + 0.3, kind="kill", share=rng.uniform(0.1, 0.3), back_s=rng.uniform(0.2, 1.0))
    return failing, restart


def _clock(rng: random.Random, at_s: float) -> Fault:
    step_s = rng.choice((-HOUR_S, -5.0, HOUR_S))
    return Fault(at_s=at_s, kind="clock", share=rng.uniform(0.3, 1.0), clock_s=step_s)


def _cut(rng: random.Random, at_s: float) -> Fault:
    effect = rng.choice(LINK_FAULTS)
    return Fault(
        at_s=at_s,
        kind="cut",
        between="endpoints",
        of=rng.uniform(0.2, 1.0),
        effect=effect,
        share=rng.uniform(0.2, 0.8),
        for_s=rng.uniform(0.5, 4.0),
        delay_s=rng.uniform(*LINK_DELAY_S),
    )


def _front_cut(rng: random.Random, at_s: float) -> Fault:
    """Cut links between clients and forwarders."""
    return Fault(
        at_s=at_s,
        kind="cut",
        between="front",
        effect=rng.choice(FRONT_FAULTS),
        share=rng.uniform(0.2, 0.8),
        for_s=rng.uniform(0.5, 4.0),
        delay_s=rng.uniform(*LINK_DELAY_S),
    )


def _crowd(rng: random.Random, at_s: float) -> Fault:
    return Fault(
        at_s=at_s,
        kind="crowd",
        share=rng.uniform(0.1, 0.5),
        connections=rng.randrange(200, 500),
        for_s=rng.uniform(1.0, 6.0),
    )


def _slow_clients(rng: random.Random, at_s: float) -> Fault:
    """Hundreds of clients that write slowly, stop in the middle of a request, or read no answers."""
    behaviour = rng.choice((*SLOW_WRITERS, Behaviour.UNREAD_ANSWERS))
    return _hostile(rng, at_s, behaviour, rng.randrange(100, 480))


def _flood(rng: random.Random, at_s: float) -> Fault:
    """One client, or some, that send small or malformed requests at full speed on one connection each."""
    return _hostile(rng, at_s, rng.choice(FLOODS), rng.choice((1, 1, 3)))


def _leavers(rng: random.Random, at_s: float) -> Fault:
    """Clients that send much, read nothing and leave."""
    return _hostile(rng, at_s, Behaviour.LEAVE, rng.randrange(1, 20))


def _hostile(rng: random.Random, at_s: float, behaviour: Behaviour, connections: int) -> Fault:
    return Fault(
        at_s=at_s,
        kind="hostile",
        behaviour=behaviour,
        share=rng.uniform(0.1, 0.3),
        connections=connections,
        for_s=rng.uniform(1.0, 4.0),
    )


def _outage(rng: random.Random, at_s: float) -> Fault:
    return Fault(
        at_s=at_s,
        kind="outage",
        share=rng.uniform(0.1, 0.4),
        for_s=rng.uniform(1.0, 4.0),
        silent=rng.random() < 0.5,
    )


def _limit(rng: random.Random, at_s: float) -> Fault:
    return Fault(
        at_s=at_s,
        kind="limit",
        share=rng.uniform(0.2, 1.0),
        times=rng.uniform(0.3, 0.8),
        for_s=rng.uniform(2.0, 6.0),
    )


def _replace(rng: random.Random, at_s: float) -> Fault:
    return Fault(at_s=at_s, kind="replace", share=rng.uniform(0.1, 0.25))


def _discovery(rng: random.Random, at_s: float) -> Fault:
    """Stop discovery, or reduce its capacity."""
    return Fault(at_s=at_s, kind="discovery", for_s=rng.uniform(1.0, 5.0), times=rng.choice((None, 0.2)))


def _slow_discovery(rng: random.Random, at_s: float) -> Fault:
    return Fault(
        at_s=at_s,
        kind="cut",
        between="discovery",
        effect="delay",
        share=1.0,
        delay_s=rng.uniform(*LINK_DELAY_S),
        for_s=rng.uniform(1.0, 6.0),
    )


FAULT_GENERATORS: tuple[Callable[[random.Random, float], Fault | tuple[Fault, ...]], ...] = (
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
    _lasting_errors,
    _lasting_errors,
    _failing_start,
    _slow,
    _full,
    _clock,
    _cut,
    _front_cut,
    _front_cut,
    _crowd,
    _slow_clients,
    _slow_clients,
    _flood,
    _flood,
    _leavers,
    _leavers,
    _outage,
    _limit,
    _replace,
    _discovery,
    _slow_discovery,
)


@dataclass(frozen=True, slots=True)
class ScheduleShape:
    """The duration of a schedule, and the number of its faults."""

    faults: tuple[int, int]
    """The minimum and the maximum number of faults."""
    first_s: float
    last_s: float
    load_s: float
    late_ms: float
    """Event loop lag of the lab, in milliseconds, above which a result does not count.

    The rules allow for the lag that was measured.
    """


LONG = ScheduleShape(faults=(8, 14), first_s=2.0, last_s=16.0, load_s=20.0, late_ms=400.0)
SHORT = ScheduleShape(faults=(5, 8), first_s=1.0, last_s=6.0, load_s=8.0, late_ms=2000.0)
"""For the check before every merge: the bound on the event loop lag is so high that other load on the machine does not
change the verdict."""


def draw_scenario(seed: int, nodes: int, shape: ScheduleShape = LONG) -> Scenario:
    """Draw the schedule of one seed."""
    rng = random.Random(f"soak/{seed}")
    count = rng.randint(*shape.faults)
    drawn = [fault for _ in range(count) for fault in _draw_faults(rng, shape)]
    faults = sorted(drawn, key=lambda fault: fault.at_s)
    if rng.random() < INITIAL_FAULT_SHARE:
        faults.insert(0, _file_errors(rng, 0.0))
    return Scenario(
        f"soak-{seed}",
        seed=seed,
        fleet=Fleet(
            nodes=nodes,
            endpoints=12,
            destinations=6,
            slots=6,
            memory_mb=rng.choice(MEMORY_MB),
            sockets=rng.choice(DESCRIPTORS),
        ),
        time=Time(warm_s=1.0, load_s=shape.load_s, drain_s=DRAIN_S),
        faults=tuple(faults),
        load=Load(per_node_s=rng.uniform(2.0, 5.0), of_limits=rng.uniform(0.6, 1.2), keys=60),
        front=Front(stay=0.15),
        endpoints=Endpoints(told_share=0.8, key_rest_s=KEY_BACKOFF_S),
        limits=Limits(late_ms=shape.late_ms),
    )


def _draw_faults(rng: random.Random, shape: ScheduleShape) -> tuple[Fault, ...]:
    generate = rng.choice(FAULT_GENERATORS)
    drawn = generate(rng, rng.uniform(shape.first_s, shape.last_s))
    return drawn if isinstance(drawn, tuple) else (drawn,)


@dataclass(frozen=True, slots=True)
class SeedVerdict:
    """The result of one seed."""

    result: Result
    log_violations: list[str]
    """Log lines that match `LOG_VIOLATION`."""
    memory_mb: float
    """The memory that each process may have."""

    @property
    def passed(self) -> bool:
        """Whether there are no findings, no log violations, no crashes and no process over its memory."""
        return not (self.result.findings or self.log_violations or self.result.costs["crashes"] or self.is_over_memory)

    @property
    def is_over_memory(self) -> bool:
        """Whether a process had more memory than it may have."""
        return self.result.costs["own_memory_mb_most"] > self.memory_mb

    def lines(self) -> Iterable[str]:
        """Yield a readable line for each failure."""
        for finding in self.result.findings:
            yield f"{finding.rule} at {finding.at_s:.3f} s, {finding.node}, {finding.id}: {finding.text}"
        if self.result.costs["crashes"]:
            yield f"{self.result.costs['crashes']} crashes"
        if self.is_over_memory:
            yield f"a process had {self.result.costs['own_memory_mb_most']:.1f} MB of {self.memory_mb:.0f}"
        yield from self.log_violations[:MAX_LOG_LINES]


def find_log_violations(out: Path) -> list[str]:
    """Return the lines of the forwarders' logs that match `LOG_VIOLATION`."""
    return [
        f"{path.parent.name}: {line}"
        for path in sorted(out.glob("nodes/*/log"))
        for line in path.read_text(errors="replace").splitlines()
        if LOG_VIOLATION.search(line)
    ]
