"""The scenario file: sizes, load, fault schedule, and the limits that must hold. Times are in seconds."""

from __future__ import annotations

import errno
import math
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from lab.errors import ScenarioError
from lab.hostile_clients import Behaviour
from lab.shim import CALLS

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Range = tuple[float, float]
Positive = Annotated[float, Meta(gt=0.0)]
Duration = Annotated[float, Meta(ge=0.0, le=3600.0)]
Count = Annotated[int, Meta(ge=1, le=5000)]
MAX_MESSAGES = 500_000
"""A scenario with more messages is rejected."""
SLOW_SHARES = (0.05, 1.0)
"""Range of the share of processor time that a slowed forwarder keeps."""


class Fleet(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The number of forwarders, endpoints and destinations, and the resource limits of each forwarder."""

    nodes: Count = 12
    endpoints: Count = 16
    destinations: Count = 9
    memory_mb: Count = 192
    sockets: Annotated[int, Meta(ge=64, le=4096)] = 384
    disk_mb: Positive = 3.0
    slots: Count = 8
    max_open: Count = 120
    skew_s: Duration = 0.0
    """Largest offset of a forwarder's wall clock, in either direction."""
    believed: Range = (1.0, 1.0)
    """Range of the ratio between the number of forwarders in each forwarder's settings and the real one."""


class Time(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """When the phases of a run end, in seconds."""

    warm_s: Duration = 5.0
    """Nothing before this time counts."""
    load_s: Duration = 40.0
    """Clients submit messages until this time."""
    drain_s: Duration = 30.0
    """Longest wait for the last messages after the load."""


class Load(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The messages that clients submit."""

    per_node_s: Positive = 4.0
    """Messages per second, for each forwarder of the fleet."""
    of_limits: Positive = 0.7
    """Load of a destination as a share of its rate limit."""
    once_share: Share = 0.41
    """Share of the messages that may take effect only once."""
    keys: Count = 400
    retries: Annotated[int, Meta(ge=0, le=10)] = 3
    honour: Share = 0.6
    """Share of the clients that honour Retry-After."""
    backoff_s: Range = (0.72, 1.5)
    skew: Annotated[float, Meta(ge=0.0, le=3.0)] = 0.7
    """Exponent of the distribution of load over destinations: weights fall with this power of the rank."""


class Front(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How clients choose a forwarder, and how they detect that one has died."""

    poll_s: Positive = 0.25
    notice_s: Range = (0.8, 2.0)
    """Time from the first failed poll until a death is detected."""
    again_s: Range = (0.79, 2.0)
    """Time from the loss of a state folder until its messages are submitted to other forwarders."""
    connections: Count = 8
    """Connections kept open to each forwarder; more are opened when all are busy."""
    stay: Share = 0.0
    """Share of the messages that go to a forwarder that is shutting down, on connections that are still open."""
    first_share: Annotated[float, Meta(ge=0.0, le=0.9)] | None = None
    """Share of all messages that the first forwarder gets while all are up; a random share if absent."""


class Discovery(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The capacity and the delay of discovery."""

    per_node_s: Positive = 2.0
    """Calls per second that discovery accepts for each forwarder of the fleet; it answers 503 to more.

    A watch that is held open counts once.
    """
    late_s: Range = (0.3, 1.5)
    """Delay until a watch receives a change."""


class Endpoints(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How endpoints and destinations behave."""

    service_s: Range = (0.06, 0.2)
    handshake_s: Duration = 0.01
    connections: Count = 256
    queue: Count = 30
    warm_s: Positive = 13.0
    """Duration of an endpoint's warm-up after an outage."""
    cold_from: Share = 0.18
    """Share of its capacity that an endpoint has at the start of its warm-up."""
    fall_times: Positive = 2.5
    """An endpoint that is warming up goes down when its calls exceed this multiple of its present capacity..."""
    fall_s: Positive = 2.0
    """... within a sliding window of this length."""
    key_rest_s: Duration = 0.0
    """Key backoff: wait before the next message of a key after a call that may still be running."""
    told_share: Share = 0.8
    """Share of the refusals above the limit that have a Retry-After."""
    wait_s: Range = (0.7, 2.0)
    """Range of the Retry-After times."""
    batch: Count = 5
    unlimited_share: Share = 0.2
    """Share of the destinations that have no rate limit, only their capacity."""
    tells_limits: bool = True
    """Whether answers report the rate limit and its remainder, and the endpoint list the capacity of a destination.

    If false, forwarders get none of these values.
    """


class Fault(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One entry of the fault schedule. Keys that its kind does not use must be left out."""

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
        "hostile",
        "reload",
        "signals",
    ]
    share: Share | None = None
    """Share of the forwarders that the fault affects, or of the endpoints for outage, limit, drain and replace."""
    names: tuple[str, ...] = ()
    for_s: Duration | None = None
    back_s: Duration | None = None
    """Time until a killed forwarder is restarted; it is never restarted if absent."""
    on: Literal["handed", "call", "answered", "notice", "listed"] | None = None
    """A kill waits for the next such event of its forwarder, and happens before the party that saw the event continues:
    for example between the last byte of a call and its answer, or between a notice and its 204."""
    within_ms: Duration = 0.0
    """Upper bound of the random delay from the event to the kill."""
    folder: Literal["kept", "lost", "old", "short", "byte", "block"] = "kept"
    old_s: Duration = 10.0
    clock_s: Annotated[float, Meta(ge=-7200.0, le=7200.0)] = 0.0
    """Step of the forwarder's wall clock: at the restart, or for the kind `clock` while it runs."""
    waves: Count = 1
    every_s: Duration = 0.0
    between: Literal["endpoints", "discovery", "front", "nodes"] | None = None
    groups: Annotated[int, Meta(ge=1, le=8)] = 1
    """Number of groups that a cut between forwarders makes; 1 cuts the chosen forwarders off from all others."""
    effect: Literal["silence", "refuse", "reset", "delay"] = "silence"
    of: Share = 1.0
    """Share of the endpoints that a cut affects."""
    way: Literal["both", "out", "in"] = "both"
    """Direction that is cut, from the forwarder's point of view."""
    delay_s: Duration = 0.0
    jitter_s: Duration = 0.0
    loss: Share = 0.0
    doubled: Share = 0.0
    swapped: Share = 0.0
    call: str | None = None
    """The system call that fails (`CALLS` in lab/shim.py)."""
    connections: Count | None = None
    """Number of clients that connect to each forwarder at the same time.

    Those of a crowd stay connected, and request the status or nothing at all. Hostile ones do as `behaviour` says.
    """
    behaviour: Behaviour | None = None
    """What hostile clients do (`lab/hostile_clients.py`)."""
    errno: str = "EIO"
    rate: Share = 1.0
    """Share of those calls that fail."""
    times: Positive | None = None
    """Factor applied to a rate limit, to the capacity of discovery, or to a forwarder's processor time."""
    line: str | None = None
    silent: bool = False
    """Whether an endpoint in an outage is silent instead of refusing connections."""


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The limits that a run must keep in addition to the rules."""

    broken: Annotated[int, Meta(ge=0)] = 0
    full_s: Positive | None = None
    """Longest time to full service after the last fault that counts."""
    served: Share | None = None
    discovery_ratio: Positive | None = None
    dials_ratio: Positive | None = None
    cold_ratio: Positive | None = None
    late_ms: Positive = 250.0
    """Event loop lag of the lab, in milliseconds, above which the result does not count."""


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
    "hostile": ("for_s", "connections", "behaviour"),
}
"""Keys that each kind of fault requires."""


def load(path: Path, nodes: int | None = None, seed: int | None = None) -> Scenario:
    """Read a scenario file.

    Args:
        path: The file.
        nodes: Number of forwarders; replaces the file's.
        seed: Random seed; replaces the file's.

    Raises:
        ScenarioError: The file cannot be read or is invalid. The text names the key.
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
    """Check the values that the types do not check.

    Raises:
        ScenarioError: A value is invalid. The text names the key.
    """
    if scenario.fleet.destinations > scenario.fleet.endpoints:
        raise ScenarioError("fleet.destinations: must not exceed fleet.endpoints")
    messages = scenario.fleet.nodes * scenario.load.per_node_s * scenario.time.load_s
    if messages > MAX_MESSAGES:
        raise ScenarioError(f"load: {messages:.0f} messages exceed the maximum of {MAX_MESSAGES}")
    if scenario.time.warm_s >= scenario.time.load_s:
        raise ScenarioError("time.warm_s: must be less than time.load_s")
    _validate_ranges(scenario)
    for index, fault in enumerate(scenario.faults):
        _validate_fault(f"faults[{index}]", fault, scenario.time)


def _validate_ranges(scenario: Scenario) -> None:
    ranges = {
        "load.backoff_s": scenario.load.backoff_s,
        "front.notice_s": scenario.front.notice_s,
        "front.again_s": scenario.front.again_s,
        "discovery.late_s": scenario.discovery.late_s,
        "endpoints.service_s": scenario.endpoints.service_s,
        "endpoints.wait_s": scenario.endpoints.wait_s,
        "fleet.believed": scenario.fleet.believed,
    }
    for key, (low, high) in ranges.items():
        if not 0 <= low <= high < math.inf:
            raise ScenarioError(f"{key}: must be a range [low, high] with 0 <= low <= high")


def _validate_fault(where: str, fault: Fault, time: Time) -> None:
    for key in REQUIRED_KEYS.get(fault.kind, ()):
        if getattr(fault, key) is None:
            raise ScenarioError(f"{where}.{key}: required by the kind {fault.kind!r}")
    if fault.at_s > time.load_s:
        raise ScenarioError(f"{where}.at_s: must not be after the end of the load")
    if fault.on is not None and fault.kind != "kill":
        raise ScenarioError(f"{where}.on: only valid for kill")
    is_restart = fault.kind in ("kill", "term")
    if fault.folder != "kept" and not is_restart:
        raise ScenarioError(f"{where}.folder: only valid for kill and term")
    if fault.clock_s and not is_restart and fault.kind != "clock":
        raise ScenarioError(f"{where}.clock_s: only valid for kill, term and clock")
    if fault.call is not None and fault.call not in CALLS:
        raise ScenarioError(f"{where}.call: must be one of {', '.join(CALLS)}")
    if not hasattr(errno, fault.errno):
        raise ScenarioError(f"{where}.errno: no such error name")
    if fault.kind == "slow" and not SLOW_SHARES[0] <= (fault.times or 0.0) < SLOW_SHARES[1]:
        raise ScenarioError(f"{where}.times: must be at least 0.05 and less than 1 for slow")
