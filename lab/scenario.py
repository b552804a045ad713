"""The scenario file: sizes, load, a schedule of faults, and the limits that must hold. Times in seconds."""

from __future__ import annotations

import errno
import math
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from lab.shim import CALLS

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Span = tuple[float, float]
Positive = Annotated[float, Meta(gt=0.0)]
Duration = Annotated[float, Meta(ge=0.0, le=3600.0)]
Count = Annotated[int, Meta(ge=1, le=5000)]
MOST_MESSAGES = 500_000
"""Load is bounded in count: a scenario that would ask for more is refused."""


class BadScenario(Exception):
    """The file cannot be played; the text names the key."""


class Fleet(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    nodes: Count = 12
    endpoints: Count = 16
    destinations: Count = 9
    memory_mb: Count = 192
    sockets: Annotated[int, Meta(ge=64, le=4096)] = 384
    disk_mb: Positive = 3.0
    slots: Count = 8
    max_open: Count = 120
    skew_s: Duration = 0.0
    """Wall clocks of the forwarders differ by up to this, either way."""
    believed: Span = (1.0, 1.0)
    """Each forwarder's settings name a number of forwarders of its own: so many times the true one."""


class Time(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    warm_s: Duration = 5.0
    """Before this nothing counts."""
    load_s: Duration = 40.0
    """Messages are handed in until then."""
    drain_s: Duration = 30.0
    """So long at most the last of them are waited for."""


class Load(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    per_node_s: Positive = 4.0
    """Messages a second for each forwarder of the fleet."""
    of_limits: Positive = 0.7
    """What is asked for, as a share of what the limits allow."""
    once_share: Share = 0.41
    keys: Count = 400
    retries: Annotated[int, Meta(ge=0, le=10)] = 3
    honour: Share = 0.6
    """Share of the clients that heed Retry-After."""
    backoff_s: Span = (0.72, 1.5)
    skew: Annotated[float, Meta(ge=0.0, le=3.0)] = 0.7
    """How unequal the destinations are: weights fall by this power of their rank."""


class Front(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    poll_s: Positive = 0.25
    notice_s: Span = (0.8, 2.0)
    again_s: Span = (0.79, 2.0)
    connections: Count = 8
    """Kept to one forwarder, more when all are busy."""
    stay: Share = 0.0
    """Share of the messages that go to a forwarder which is ending, on connections that are still open."""
    first_share: Annotated[float, Meta(ge=0.0, le=0.9)] | None = None
    """Of all messages, the first forwarder gets this share while all are up; its part by chance, if absent."""


class Discovery(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    per_node_s: Positive = 2.0
    """Calls a second, for each forwarder of the fleet, that it has room for; 503 beyond. A held watch costs one."""
    late_s: Span = (0.3, 1.5)
    """A change reaches a watch so late."""


class Endpoints(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    service_s: Span = (0.06, 0.2)
    handshake_s: Duration = 0.01
    connections: Count = 256
    queue: Count = 30
    warm_s: Positive = 13.0
    cold_from: Share = 0.18
    fall_times: Positive = 2.5
    fall_s: Positive = 2.0
    key_rest_s: Duration = 0.0
    """After a call that may still run the next of its key waits so long."""
    told_share: Share = 0.8
    """Share of the refusals above the limit that tell a wait."""
    wait_s: Span = (0.7, 2.0)
    batch: Count = 5
    unlimited_share: Share = 0.2
    """Share of the destinations that have no limit but their capacity."""
    tells_limits: bool = True
    """Answers report the limit and what is left of it, and the list what a destination takes; else nothing does."""


class Fault(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One line of the schedule. What a kind does not use has to be left out."""

    at_s: Duration
    kind: Literal[
        "kill",
        "term",
        "upgrade",
        "stop",
        "full",
        "cut",
        "outage",
        "limit",
        "drain",
        "replace",
        "discovery",
        "call",
        "datagrams",
        "slow",
        "errors",
        "clock",
        "crowd",
        "reload",
        "signals",
    ]
    share: Share | None = None
    """Of the forwarders (or the endpoints, for outage, limit, drain, replace)."""
    names: tuple[str, ...] = ()
    for_s: Duration | None = None
    back_s: Duration | None = None
    """A killed forwarder is started again after this; never, if absent."""
    on: Literal["handed", "call", "answered", "notice", "listed"] | None = None
    """A kill waits for the next such event of its forwarder, and strikes before whoever saw it goes on: between a
    call's last byte and its answer, a notice and its 204, ..."""
    within_ms: Duration = 0.0
    """And so long after it at most, by chance."""
    folder: Literal["kept", "lost", "old", "short", "byte", "block"] = "kept"
    old_s: Duration = 10.0
    clock_s: Annotated[float, Meta(ge=-7200.0, le=7200.0)] = 0.0
    """The forwarder's wall clock has jumped by this when it is started again; for `clock`, while it runs."""
    waves: Count = 1
    every_s: Duration = 0.0
    between: Literal["endpoints", "discovery", "front", "nodes"] | None = None
    groups: Annotated[int, Meta(ge=1, le=8)] = 1
    """For a cut between forwarders: into so many parts (1: the chosen ones from all others)."""
    effect: Literal["silence", "refuse", "reset", "delay"] = "silence"
    of: Share = 1.0
    """For a cut from endpoints: from this share of them."""
    way: Literal["both", "out", "in"] = "both"
    """As the forwarder sees it."""
    delay_s: Duration = 0.0
    jitter_s: Duration = 0.0
    loss: Share = 0.0
    doubled: Share = 0.0
    swapped: Share = 0.0
    call: str | None = None
    """Which system call fails (lab/shim.py, CALLS)."""
    connections: Count | None = None
    """Of a crowd: so many clients connect to each forwarder at once, ask whether it is up or nothing, and stay."""
    errno: str = "EIO"
    rate: Share = 1.0
    """Share of those calls that fail."""
    times: Positive | None = None
    """A limit becomes so many times what it was; discovery's room and a slowed forwarder's processor time likewise."""
    line: str | None = None
    silent: bool = False
    """An outage that says nothing, where others refuse connections."""


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What must hold, beside the rules."""

    broken: Annotated[int, Meta(ge=0)] = 0
    full_s: Positive | None = None
    """Time to full service after the last fault that counts."""
    served: Share | None = None
    discovery_ratio: Positive | None = None
    dials_ratio: Positive | None = None
    cold_ratio: Positive | None = None
    late_ms: Positive = 250.0
    """The lab's own lateness: past this the result does not count."""


class Scenario(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    name: str
    about: str = ""
    seed: int = 1
    fleet: Fleet = Fleet()
    time: Time = Time()
    load: Load = Load()
    front: Front = Front()
    discovery: Discovery = Discovery()
    endpoints: Endpoints = Endpoints()
    faults: tuple[Fault, ...] = ()
    limits: Limits = Limits()


NEEDS: dict[str, tuple[str, ...]] = {
    "stop": ("for_s",),
    "cut": ("between", "for_s"),
    "outage": ("for_s",),
    "limit": ("times",),
    "call": ("line",),
    "discovery": ("for_s",),
    "datagrams": ("for_s",),
    "slow": ("for_s", "times"),
    "errors": ("for_s", "call"),
    "clock": ("clock_s",),
    "crowd": ("for_s", "connections"),
}


def load(path: Path, nodes: int | None = None, seed: int | None = None) -> Scenario:
    """Read a scenario; `nodes` and `seed` go before those in the file. Raises BadScenario."""
    try:
        told = msgspec.toml.decode(path.read_bytes(), type=Scenario)
    except OSError as error:
        raise BadScenario(f"{path}: {error.strerror}") from None
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise BadScenario(f"{path}: {error}") from None
    if nodes is not None:
        told = msgspec.structs.replace(told, fleet=msgspec.structs.replace(told.fleet, nodes=nodes))
    if seed is not None:
        told = msgspec.structs.replace(told, seed=seed)
    try:
        return checked(told)
    except BadScenario as error:
        raise BadScenario(f"{path}: {error}") from None


def checked(s: Scenario) -> Scenario:
    """Refuse what cannot be played, naming the key."""
    if s.fleet.destinations > s.fleet.endpoints:
        raise BadScenario("fleet.destinations: more than fleet.endpoints")
    asked = s.fleet.nodes * s.load.per_node_s * s.time.load_s
    if asked > MOST_MESSAGES:
        raise BadScenario(f"load: {asked:.0f} messages, {MOST_MESSAGES} at most")
    if s.time.warm_s >= s.time.load_s:
        raise BadScenario("time.warm_s: not before time.load_s")
    for table, key in (
        (s.load, "backoff_s"),
        (s.front, "notice_s"),
        (s.front, "again_s"),
        (s.discovery, "late_s"),
        (s.endpoints, "service_s"),
        (s.endpoints, "wait_s"),
        (s.fleet, "believed"),
    ):
        low, high = getattr(table, key)
        if not 0 <= low <= high < math.inf:
            raise BadScenario(f"{type(table).__name__.lower()}.{key}: not a span from low to high")
    for n, fault in enumerate(s.faults):
        for key in NEEDS.get(fault.kind, ()):
            if getattr(fault, key) is None:
                raise BadScenario(f"faults[{n}].{key}: needed by {fault.kind!r}")
        if fault.at_s > s.time.load_s:
            raise BadScenario(f"faults[{n}].at_s: after the load has ended")
        if fault.on is not None and fault.kind != "kill":
            raise BadScenario(f"faults[{n}].on: only for kill")
        for key in ("folder", "clock_s"):
            if getattr(fault, key) not in ("kept", 0.0) and (
                fault.kind not in ("kill", "term") and (key, fault.kind) != ("clock_s", "clock")
            ):
                raise BadScenario(f"faults[{n}].{key}: only for kill and term")
        if fault.call is not None and fault.call not in CALLS:
            raise BadScenario(f"faults[{n}].call: not one of {', '.join(CALLS)}")
        if not hasattr(errno, fault.errno):
            raise BadScenario(f"faults[{n}].errno: no error of that name")
        if fault.kind == "slow" and not 0.05 <= (fault.times or 0.0) < 1.0:
            raise BadScenario(f"faults[{n}].times: for slow from 0.05 to under 1")
    return s
