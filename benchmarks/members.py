"""Measures membership: detection of crashes, false failures, traffic, agreement and cost, by the size of the fleet.

    python -m benchmarks.members [deaths|loss|traffic|split|cost|real] [--sizes 12 40 200] [--seeds 5]

All benchmarks but `real` run the real protocol in simulated time, with the default `Timing`; `loss` also runs it
without Lifeguard's additions. A datagram takes 0.2 to 2 ms. `cost` measures the processor time and the memory of one
forwarder in a fleet of each size. `real` starts a fleet of processes with the lab, kills one process after another with
SIGKILL, and reads from the logs of the others when they detected it.
"""

from __future__ import annotations

import argparse
import asyncio
import re
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import datetime
from pathlib import Path

from benchmarks.summary import format_range, percentile
from forwarder.membership import failure_detector
from forwarder.membership.codec import Codec, Datagram, member_row
from forwarder.membership.gossip_store import GossipStore, RecordKind
from forwarder.membership.protocol import MembershipProtocol
from forwarder.membership.timing import Timing
from forwarder.membership.view import INCARNATIONS_PER_START, MemberRecord, MemberState, Source
from forwarder.units import SECOND_US
from lab import plan, run
from lab.scenario import Fleet as FleetSize
from lab.scenario import Load, Scenario, Time
from tests.membership.simulation import KEY, Fleet
from tests.sockets import ROOT

MAX_JOINING = 300
"""In a larger fleet, all members know each other from the start: a thousand joins at once are not measured here."""
AGREEMENT_TIMEOUT_US = 120 * SECOND_US
SETTLE_US = 3 * SECOND_US
DIGITS = 2


def settled_fleet(size: int, seed: int, timing: Timing | None = None) -> Fleet:
    """Return a fleet whose members agree on which members are present."""
    fleet = Fleet(size, seed, timing)
    if size > MAX_JOINING:
        records = [member.view.members[member.view.name].record for member in fleet.members.values()]
        for member in fleet.members.values():
            for record in records:
                if record.name != member.view.name:
                    member.view.apply(record, Source.FULL_EXCHANGE, fleet.now)
    fleet.until_agreed(AGREEMENT_TIMEOUT_US, SECOND_US)
    fleet.run(SETTLE_US)
    return fleet


def _range(values: list[float]) -> str:
    return format_range(values, DIGITS)


# Deaths


@dataclass(slots=True)
class DetectionTimes:
    """Seconds from crashes until the other members detected them."""

    first_s: list[float] = field(default_factory=list)
    p99_s: list[float] = field(default_factory=list)
    last_s: list[float] = field(default_factory=list)
    missed: int = 0
    """Detections that are missing: one for each survivor that did not detect a crash."""

    def add(self, detected_after_s: list[float]) -> None:
        """Add one crash.

        Args:
            detected_after_s: When each member detected it, in seconds after the crash.
        """
        self.first_s.append(min(detected_after_s))
        self.p99_s.append(percentile(detected_after_s, 99))
        self.last_s.append(max(detected_after_s))


def deaths(sizes: list[int], seeds: int) -> None:
    """Time from a crash until the first member detects it, until 99% of the members have, and until the last has."""
    for size in sizes:
        detection = DetectionTimes()
        for seed in range(seeds):
            fleet = settled_fleet(size, seed)
            fleet.detection_times_us.clear()
            crashed_us = fleet.now
            fleet.stop(size - 1)
            fleet.until_agreed(AGREEMENT_TIMEOUT_US)
            detection.add([(at_us - crashed_us) / SECOND_US for at_us in fleet.detection_times_us[size - 1]])
        print(
            f"deaths, {size} members: first {_range(detection.first_s)} s, 99% {_range(detection.p99_s)}, "
            f"last {_range(detection.last_s)}",
            flush=True,
        )


# False failures

MAX_HEALTH_MULTIPLIER = failure_detector.MAX_HEALTH_MULTIPLIER
WITHOUT_LIFEGUARD = replace(Timing(), max_suspicion_factor=1.0, confirmations=0, stall_us=1 << 60)
PAUSE_ROUNDS = 10
PAUSE_ROUND_US = 6 * SECOND_US
MEMBERS_PER_PAUSED = 10
"""One of this many members is paused."""


@dataclass(frozen=True, slots=True)
class Disturbance:
    """The faults that a fleet runs under."""

    loss: float
    """Share of the datagrams that are lost."""
    pauses: bool
    """Whether a tenth of the members is paused repeatedly, for 1 to 5 s each time."""

    def __str__(self) -> str:
        return f"{self.loss:.0%} lost, {'a tenth paused' if self.pauses else 'none paused'}"


DISTURBANCES = (
    Disturbance(0.0, False),
    Disturbance(0.05, False),
    Disturbance(0.2, False),
    Disturbance(0.0, True),
)


@dataclass(slots=True)
class FalseFailures:
    """Members that were declared failed while they were running."""

    count: int = 0
    never_paused: int = 0
    """Those among them that were never paused."""
    hours: float = 0.0


def loss(sizes: list[int], seeds: int) -> None:
    """False failures an hour under datagram loss and under pauses, with and without Lifeguard's additions."""
    for size in sizes:
        for name, timing, multiplier in (("with", Timing(), MAX_HEALTH_MULTIPLIER), ("without", WITHOUT_LIFEGUARD, 0)):
            failure_detector.MAX_HEALTH_MULTIPLIER = multiplier
            for disturbance in DISTURBANCES:
                found = FalseFailures()
                for seed in range(seeds):
                    _count_false_failures(settled_fleet(size, seed, timing), size, disturbance, found)
                print(
                    f"false failures, {size} members, {name} Lifeguard, {disturbance}: "
                    f"{found.count / found.hours:.0f} an hour, "
                    f"{found.never_paused / found.hours:.0f} of members that were never paused",
                    flush=True,
                )
        failure_detector.MAX_HEALTH_MULTIPLIER = MAX_HEALTH_MULTIPLIER


def _count_false_failures(fleet: Fleet, size: int, disturbance: Disturbance, found: FalseFailures) -> None:
    fleet.false_failures.clear()
    began_us = fleet.now
    fleet.loss = disturbance.loss
    paused = size // MEMBERS_PER_PAUSED if disturbance.pauses else 0
    for _ in range(PAUSE_ROUNDS):
        for number in range(paused):
            fleet.pause(number, fleet.random.randrange(1, 6) * SECOND_US)
        fleet.run(PAUSE_ROUND_US)
    failures = {(at_us // SECOND_US, member) for at_us, _, member in fleet.false_failures}
    found.count += len(failures)
    found.never_paused += sum(member >= paused for _, member in failures)
    found.hours += (fleet.now - began_us) / SECOND_US / 3600


# Traffic and agreement

TRAFFIC_S = 10
SPLIT_US = 30 * SECOND_US


def traffic(sizes: list[int], seeds: int) -> None:
    """Datagrams that each member of a quiet fleet sends in a second."""
    for size in sizes:
        rates = []
        for seed in range(seeds):
            fleet = settled_fleet(size, seed)
            fleet.run(TRAFFIC_S * SECOND_US)
            before = sum(fleet.sent.values())
            fleet.run(TRAFFIC_S * SECOND_US)
            rates.append((sum(fleet.sent.values()) - before) / size / TRAFFIC_S)
        print(f"traffic, {size} members: {_range(rates)} datagrams a second from each", flush=True)


def split(sizes: list[int], seeds: int) -> None:
    """Time until all members agree, from a common start and from the end of a partition into two halves for 30 s."""
    for size in sizes:
        healed_s = []
        started_s = []
        for seed in range(seeds):
            fleet = Fleet(size, seed)
            started_s.append(fleet.until_agreed(AGREEMENT_TIMEOUT_US) / SECOND_US)
            fleet.split(set(range(size // 2)), set(range(size // 2, size)))
            fleet.run(SPLIT_US)
            fleet.heal()
            healed_s.append(fleet.until_agreed(AGREEMENT_TIMEOUT_US) / SECOND_US)
        print(
            f"split, {size} members: agree {_range(started_s)} s after a common start, "
            f"{_range(healed_s)} s after healing",
            flush=True,
        )


# Cost

COST_S = 60
GOSSIP_RECORDS = 50
PEER_ADDRESS = ("h1", 1)


def cost(sizes: list[int], seeds: int) -> None:
    """One forwarder in a quiet fleet for a minute: its share of a core, and the memory of its view and gossip store."""
    for size in sizes:
        core_percents = []
        memory_mb = []
        for seed in range(seeds):
            tracemalloc.start()
            member = LoneMember(size, seed)
            memory_mb.append(tracemalloc.get_traced_memory()[0] / 1e6)
            tracemalloc.stop()
            core_percents.append(100 * member.run(COST_S) / COST_S)
        print(
            f"cost, {size} members: {_range(core_percents)} % of a core, {_range(memory_mb)} MB",
            flush=True,
        )


class LoneMember:
    """One real member; this class answers for its peers."""

    def __init__(self, size: int, seed: int) -> None:
        self.size = size
        self.protocol = MembershipProtocol("n0", ("h0", 1), 1, "i" * 8, Timing(), seed, 0, [PEER_ADDRESS])
        self.codec = Codec("c", [KEY])
        self.peer_codecs: dict[str, Codec] = {}
        self.protocol.state.gossip_store = GossipStore("n0")
        for number in range(1, size):
            self.protocol.view.apply(_peer_record(number), Source.FULL_EXCHANGE, 0)
        for number in range(GOSSIP_RECORDS):
            self.protocol.state.gossip_store.add_own(0, RecordKind.EJECTED, f"endpoint-{number}")

    def run(self, seconds: int) -> float:
        """Run the member, and return the processor time that it uses, in seconds.

        Its probes are answered, and a random peer probes it once in each period. The time of the peers is not counted.
        """
        protocol = self.protocol
        period_us = protocol.state.timing.period_us
        cpu_s = 0.0
        now_us = 0
        next_probe_us = 0
        while now_us < seconds * SECOND_US:
            now_us = max(now_us + 1, min(protocol.next_step_us(), now_us + period_us))
            began_s = time.process_time()
            protocol.tick(now_us)
            sent = self._seal_outbox()
            cpu_s += time.process_time() - began_s
            inbound = self._acks(sent)
            if now_us >= next_probe_us:
                next_probe_us += period_us
                inbound.append(self._sealed_by_peer(f"n{protocol.state.random.randrange(1, self.size)}", "ping", 1))
            began_s = time.process_time()
            for data in inbound:
                protocol.receive(now_us, PEER_ADDRESS, self.codec.open(data))
            self._seal_outbox()
            cpu_s += time.process_time() - began_s
        return cpu_s

    def _seal_outbox(self) -> list[tuple[tuple[str, int], Datagram]]:
        """Seal the datagrams that are to be sent, as a forwarder does, and return them with their addresses."""
        outbox = self.protocol.state.outbox
        for _, datagram in outbox:
            self.codec.seal(datagram)
        self.protocol.state.outbox = []
        return list(outbox)

    def _acks(self, sent: list[tuple[tuple[str, int], Datagram]]) -> list[bytes]:
        names = {member.record.address: name for name, member in self.protocol.view.members.items()}
        return [
            self._sealed_by_peer(names[address], "ack", datagram.request_number)
            for address, datagram in sent
            if datagram.kind == "ping" and address in names
        ]

    def _sealed_by_peer(self, name: str, kind: str, request_number: int) -> bytes:
        record = self.protocol.view.members[name].record
        datagram = Datagram(kind, name, 1, f"{int(name[1:]):08x}", 0, request_number, members=[member_row(record)])
        return self.peer_codecs.setdefault(name, Codec("c", [KEY])).seal(datagram)


def _peer_record(number: int) -> MemberRecord:
    return MemberRecord(
        f"n{number}",
        (f"127.0.{number >> 8}.{number & 255}", 3200),
        INCARNATIONS_PER_START + 1,
        MemberState.ALIVE,
        f"{number:08x}",
        version="0.1.0",
    )


# Real processes

JOIN_S = 8.0
DETECTION_WAIT_S = 10.0
LOG_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


def real(sizes: list[int], seeds: int) -> None:
    """Time from SIGKILL until the first survivor logs the failure, and until the last has; kills `seeds` processes."""
    for size in sizes:
        detection = asyncio.run(_kill_members(size, seeds))
        print(
            f"real, {size} processes, {seeds} deaths: first {_range(detection.first_s)} s, "
            f"last {_range(detection.last_s)}, {detection.missed} not detected",
            flush=True,
        )


async def _kill_members(size: int, kills: int) -> DetectionTimes:
    scenario = Scenario(
        "real",
        fleet=FleetSize(nodes=size, endpoints=6, destinations=3),
        load=Load(per_node_s=0.5),
        time=Time(1.0, 600.0, 1.0),
    )
    extensions = (ROOT / "lab/parts/members.toml").read_text()
    detection = DetectionTimes()
    with tempfile.TemporaryDirectory() as folder:
        (Path(folder) / "nodes").mkdir()
        lab_run = run.Run(plan.make(scenario), Path(folder), ROOT, extensions)
        try:
            await lab_run.open()
            await asyncio.sleep(JOIN_S)
            forwarders = lab_run.testbed.forwarders
            survivors = [forwarders[f"n{number}"] for number in range(size - kills)]
            for kill in range(kills):
                victim = f"n{size - 1 - kill}"
                killed_at = datetime.now()
                await forwarders[victim].kill_and_wait()
                await asyncio.sleep(DETECTION_WAIT_S)
                times = [_time_of_failure(survivor.read_log(), victim) for survivor in survivors]
                detected_after_s = [(at - killed_at).total_seconds() for at in times if at is not None]
                detection.add(detected_after_s)
                detection.missed += len(survivors) - len(detected_after_s)
        finally:
            await lab_run.close()
    return detection


def _time_of_failure(log: str, name: str) -> datetime | None:
    """Return the time at which a forwarder logged that a member has failed; None if it did not."""
    found = re.search(rf"^(\S+ \S+) .*member {name} at \S+ is failed", log, re.M)
    return None if found is None else datetime.strptime(found[1], LOG_TIME_FORMAT)


BENCHMARKS: dict[str, Callable[[list[int], int], None]] = {
    "deaths": deaths,
    "loss": loss,
    "traffic": traffic,
    "split": split,
    "cost": cost,
    "real": real,
}


def main() -> None:
    """Run the benchmark that the command line names."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.members", description=__doc__.splitlines()[0])
    parser.add_argument("what", choices=BENCHMARKS)
    parser.add_argument("--sizes", type=int, nargs="+", default=[12, 40])
    parser.add_argument("--seeds", type=int, default=5)
    arguments = parser.parse_args()
    BENCHMARKS[arguments.what](arguments.sizes, arguments.seeds)


if __name__ == "__main__":
    main()
