"""The scenario file: sizes, load, a schedule of faults, and the limits that must hold. Times in seconds."""

from __future__ import annotations

import errno
import math
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from lab.errors import ScenarioError
from lab.shim import CALLS

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Span = tuple[float, float]
Positive = Annotated[float, Meta(gt=0.0)]
Duration = Annotated[float, Meta(ge=0.0, le=3600.0)]
Count = Annotated[int, Meta(ge=1, le=5000)]
MAX_MESSAGES = 500_000
"""A scenario with more is refused."""
SLOW_SHARES = (0.05, 1.0)
"""What may be left of a slowed forwarder's processor time."""


class Fleet(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How many parties there are, and what each forwarder may use."""

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
    """When the phases of a run end, in seconds."""

    warm_s: Duration = 5.0
    """Before this nothing counts."""
    load_s: Duration = 40.0
    """Messages are handed in until then."""
    drain_s: Duration = 30.0
    """So long at most the last of them are waited for."""


class Load(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What clients ask for."""

    per_node_s: Positive = 4.0
    """Messages a second for each forwarder of the fleet."""
    of_limits: Positive = 0.7
    """What is asked for, as a share of what the limits allow."""
    once_share: Share = 0.41
    """Share of the messages that may take effect once only."""
    keys: Count = 400
    retries: Annotated[int, Meta(ge=0, le=10)] = 3
    honour: Share = 0.6
    """Share of the clients that honour Retry-After."""
    backoff_s: Span = (0.72, 1.5)
    skew: Annotated[float, Meta(ge=0.0, le=3.0)] = 0.7
    """How unequal the destinations are: weights fall by this power of their rank."""


class Front(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How clients find a forwarder, and how they notice that one has died."""

    poll_s: Positive = 0.25
    notice_s: Span = (0.8, 2.0)
    """So long after its first failure a death is noticed."""
    again_s: Span = (0.79, 2.0)
    """So long after a folder was lost its messages are submitted to others."""
    connections: Count = 8
    """Kept to one forwarder, more when all are busy."""
    stay: Share = 0.0
    """Share of the messages that go to a forwarder which is ending, on connections that are still open."""
    first_share: Annotated[float, Meta(ge=0.0, le=0.9)] | None = None
    """Of all messages, the first forwarder gets this share while all are up; its part by chance, if absent."""


class Discovery(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What discovery bears, and how fast it is."""

    per_node_s: Positive = 2.0
    """Calls a second that it bears, for each forwarder of the fleet; 503 beyond. A held watch counts once."""
    late_s: Span = (0.3, 1.5)
    """A change reaches a watch so late."""


class Endpoints(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How endpoints and destinations behave."""

    service_s: Span = (0.06, 0.2)
    handshake_s: Duration = 0.01
    connections: Count = 256
    queue: Count = 30
    warm_s: Positive = 13.0
    """So long after an outage an endpoint is warming up."""
    cold_from: Share = 0.18
    """The share of its capacity that it begins with."""
    fall_times: Positive = 2.5
    """A warming-up endpoint goes down under so many times its present capacity..."""
    fall_s: Positive = 2.0
    """... over this time."""
    key_rest_s: Duration = 0.0
    """Key backoff: so long the next of a key waits after a call that may still run."""
    told_share: Share = 0.8
    """Share of the refusals above the limit that have a Retry-After."""
    wait_s: Span = (0.7, 2.0)
    """Of these Retry-Afters."""
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
    """The kill comes so long after it at most, by chance."""
    folder: Literal["kept", "lost", "old", "short", "byte", "block"] = "kept"
    old_s: Duration = 10.0
    clock_s: Annotated[float, Meta(ge=-7200.0, le=7200.0)] = 0.0
    """The forwarder's wall clock has jumped by this when it is started again; for `clock`, while it runs."""
    waves: Count = 1
    every_s: Duration = 0.0
    between: Literal["endpoints", "discovery", "front", "nodes"] | None = None
    groups: Annotated[int, Meta(ge=1, le=8)] = 1
    """For a cut between forwarders: into so many groups (1: the chosen ones from all others)."""
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
    """A limit becomes so many times what it was; discovery's capacity and a forwarder's processor time likewise."""
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
    """A whole scenario file."""

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


REQUIRED_KEYS: dict[str, tuple[str, ...]] = {
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
"""What a kind of fault cannot do without."""


def load(path: Path, nodes: int | None = None, seed: int | None = None) -> Scenario:
    """Read a scenario file.

    Args:
        path: The file.
        nodes: Size of the fleet, in place of the file's.
        seed: In place of the file's.

    Raises:
        ScenarioError: The file cannot be read or played. The text names the key.
    """
    try:
        scenario = msgspec.toml.decode(path.read_bytes(), type=Scenario)
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    if nodes is not None:
        scenario = msgspec.structs.replace(scenario, fleet=msgspec.structs.replace(scenario.fleet, nodes=nodes))
    if seed is not None:
        scenario = msgspec.structs.replace(scenario, seed=seed)
    try:
        validate(scenario)
    except ScenarioError as error:
        raise ScenarioError(f"{path}: {error}") from None
    return scenario


def validate(scenario: Scenario) -> None:
    """Refuse what cannot be played.

    Raises:
        ScenarioError: The text names the key.
    """
    if scenario.fleet.destinations > scenario.fleet.endpoints:
        raise ScenarioError("fleet.destinations: more than fleet.endpoints")
    messages = scenario.fleet.nodes * scenario.load.per_node_s * scenario.time.load_s
    if messages > MAX_MESSAGES:
        raise ScenarioError(f"load: {messages:.0f} messages, {MAX_MESSAGES} at most")
    if scenario.time.warm_s >= scenario.time.load_s:
        raise ScenarioError("time.warm_s: not before time.load_s")
    _validate_spans(scenario)
    for index, fault in enumerate(scenario.faults):
        _validate_fault(f"faults[{index}]", fault, scenario.time)


def _validate_spans(scenario: Scenario) -> None:
    spans = {
        "load.backoff_s": scenario.load.backoff_s,
        "front.notice_s": scenario.front.notice_s,
        "front.again_s": scenario.front.again_s,
        "discovery.late_s": scenario.discovery.late_s,
        "endpoints.service_s": scenario.endpoints.service_s,
        "endpoints.wait_s": scenario.endpoints.wait_s,
        "fleet.believed": scenario.fleet.believed,
    }
    for key, (low, high) in spans.items():
        if not 0 <= low <= high < math.inf:
            raise ScenarioError(f"{key}: not a span from low to high")


def _validate_fault(where: str, fault: Fault, time: Time) -> None:
    for key in REQUIRED_KEYS.get(fault.kind, ()):
        if getattr(fault, key) is None:
            raise ScenarioError(f"{where}.{key}: needed by {fault.kind!r}")
    if fault.at_s > time.load_s:
        raise ScenarioError(f"{where}.at_s: after the load has ended")
    if fault.on is not None and fault.kind != "kill":
        raise ScenarioError(f"{where}.on: only for kill")
    is_restart = fault.kind in ("kill", "term")
    if fault.folder != "kept" and not is_restart:
        raise ScenarioError(f"{where}.folder: only for kill and term")
    if fault.clock_s and not is_restart and fault.kind != "clock":
        raise ScenarioError(f"{where}.clock_s: only for kill and term")
    if fault.call is not None and fault.call not in CALLS:
        raise ScenarioError(f"{where}.call: not one of {', '.join(CALLS)}")
    if not hasattr(errno, fault.errno):
        raise ScenarioError(f"{where}.errno: no error of that name")
    if fault.kind == "slow" and not SLOW_SHARES[0] <= (fault.times or 0.0) < SLOW_SHARES[1]:
        raise ScenarioError(f"{where}.times: for slow from 0.05 to under 1")
