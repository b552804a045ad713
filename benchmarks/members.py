"""Membership in simulated time: how soon a death is known, false failures, traffic against size; and in real processes.

    python -m benchmarks.members [deaths|loss|traffic|split|cost|real] [--sizes 12 40 200] [--seeds 5]

The protocol and the codec are the real ones; datagrams take 0.2 to 2 ms. Times are of the defaults of `Timing`.
`cost` is the processor time and memory of one forwarder among so many. `real` starts so many processes by the lab,
kills one after the other without a word, and reads from the others' logs when they knew.
"""

from __future__ import annotations

import argparse
import asyncio
import re
import statistics
import tempfile
import time
import tracemalloc
from dataclasses import replace
from datetime import datetime
from pathlib import Path

from forwarder.membership import failure_detector
from forwarder.membership.codec import Codec, Datagram, member_row
from forwarder.membership.gossip_store import GossipStore, RecordKind
from forwarder.membership.protocol import MembershipProtocol
from forwarder.membership.timing import Timing
from forwarder.membership.view import INCARNATIONS_PER_START, MemberRecord, MemberState, Source
from forwarder.units import SECOND_US as SECOND
from lab import plan, run
from lab import scenario as lab_scenario
from tests.membership.simulation import KEY, Fleet
from tests.sockets import ROOT

MOST_JOINING = 300
"""Larger fleets begin as if they had met already: that a thousand join at once is not what is measured."""


def settled(size: int, seed: int, timing: Timing | None = None) -> Fleet:
    fleet = Fleet(size, seed, timing)
    if size > MOST_JOINING:
        news = [p.view.members[p.view.name].record for p in fleet.members.values()]
        for p in fleet.members.values():
            for one in news:
                if one.name != p.view.name:
                    p.view.apply(one, Source.MERGED, fleet.now)
    fleet.until_agreed(120 * SECOND, SECOND)
    fleet.run(3 * SECOND)
    return fleet


def spread(values: list[float]) -> str:
    if not values:
        return "-"
    values = sorted(values)
    return f"{statistics.median(values):.2f} ({values[0]:.2f} to {values[-1]:.2f})"


def deaths(sizes: list[int], seeds: int) -> None:
    """From a silent death to the first that knows, the 99th percentile of all, and the last."""
    for size in sizes:
        first, most, last = [], [], []
        for seed in range(seeds):
            fleet = settled(size, seed)
            fleet.knew.clear()
            died = fleet.now
            fleet.stop(size - 1)
            fleet.until_agreed(120 * SECOND)
            knew = sorted((at - died) / SECOND for at in fleet.knew[size - 1])
            first.append(knew[0])
            most.append(knew[min(len(knew) - 1, len(knew) * 99 // 100)])
            last.append(knew[-1])
        print(f"deaths, {size} members: first {spread(first)} s, 99% {spread(most)}, last {spread(last)}", flush=True)


def loss(sizes: list[int], seeds: int) -> None:
    """False failures in an hour: with loss, and with a tenth stopped for 1 to 5 s again and again, with Lifeguard's
    additions and without.
    """
    plain = replace(Timing(), max_suspicion_factor=1.0, confirmations=0, stall_us=1 << 60)
    for size in sizes:
        for name, timing, aware in (("with", Timing(), 8), ("without", plain, 0)):
            failure_detector.MAX_HEALTH_MULTIPLIER = aware
            for lost, stops in ((0.0, False), (0.05, False), (0.2, False), (0.0, True)):
                count, hours, others = 0, 0.0, 0
                for seed in range(seeds):
                    fleet = settled(size, seed, timing)
                    fleet.false.clear()
                    began, fleet.loss = fleet.now, lost
                    for _ in range(10):
                        for n in range(size // 10 if stops else 0):
                            fleet.pause(n, fleet.random.randrange(1, 6) * SECOND)
                        fleet.run(6 * SECOND)
                    struck = size // 10 if stops else 0
                    count += len({(at // SECOND, m) for at, _, m in fleet.false})
                    others += len({(at // SECOND, m) for at, _, m in fleet.false if m >= struck})
                    hours += (fleet.now - began) / SECOND / 3600
                print(
                    f"false failures, {size} members, {name} Lifeguard, {lost:.0%} lost, "
                    f"{'a tenth stops' if stops else 'none stops'}: {count / hours:.0f} an hour, "
                    f"{others / hours:.0f} of such as were not stopped",
                    flush=True,
                )
        failure_detector.MAX_HEALTH_MULTIPLIER = 8


def traffic(sizes: list[int], seeds: int) -> None:
    """Datagrams that each sends in a second when nothing happens."""
    for size in sizes:
        rates = []
        for seed in range(seeds):
            fleet = settled(size, seed)
            fleet.run(10 * SECOND)
            before = sum(fleet.sent.values())
            fleet.run(10 * SECOND)
            rates.append((sum(fleet.sent.values()) - before) / size / 10)
        print(f"traffic, {size} members: {spread(rates)} datagrams a second each", flush=True)


def split(sizes: list[int], seeds: int) -> None:
    """From healing until all agree, after 30 s in halves; and from the start of all at once."""
    for size in sizes:
        heal, start = [], []
        for seed in range(seeds):
            fleet = Fleet(size, seed)
            start.append(fleet.until_agreed(120 * SECOND) / SECOND)
            fleet.split(set(range(size // 2)), set(range(size // 2, size)))
            fleet.run(30 * SECOND)
            fleet.heal()
            heal.append(fleet.until_agreed(120 * SECOND) / SECOND)
        print(
            f"split, {size} members: agree {spread(start)} s after a common start, {spread(heal)} s after healing",
            flush=True,
        )


def cost(sizes: list[int], seeds: int) -> None:
    """One forwarder in a quiet fleet for a minute: its own share of a core, and the memory of its view and board."""
    for size in sizes:
        shares, memory = [], []
        for seed in range(seeds):
            tracemalloc.start()
            p, codec = (
                MembershipProtocol("n0", ("h0", 1), 1, "i" * 8, Timing(), seed, 0, [("h1", 1)]),
                Codec("c", [KEY]),
            )
            p.state.gossip_store = GossipStore("n0")
            for n in range(1, size):
                p.view.apply(
                    MemberRecord(
                        f"n{n}",
                        (f"127.0.{n >> 8}.{n & 255}", 3200),
                        INCARNATIONS_PER_START + 1,
                        MemberState.ALIVE,
                        f"{n:08x}",
                        version="0.1.0",
                    ),
                    Source.MERGED,
                    0,
                )
            for n in range(50):
                p.state.gossip_store.add_own(0, RecordKind.EJECTED, f"endpoint-{n}")
            memory.append(tracemalloc.get_traced_memory()[0] / 1e6)
            tracemalloc.stop()
            shares.append(_minute(p, codec, size) / 60)
        print(f"cost, {size} members: {spread([100 * s for s in shares])} % of a core, {spread(memory)} MB", flush=True)


def _minute(p: MembershipProtocol, codec: Codec, size: int) -> float:
    """Processor time for its own part of a minute: probes that are answered, and as many probes of others."""
    others: dict[str, Codec] = {}
    spent, now, asked_at = 0.0, 0, 0

    def heard(name: str, kind: str, seq: int) -> bytes:
        body = Datagram(
            kind, name, 1, f"{int(name[1:]):08x}", 0, seq, members=[member_row(p.view.members[name].record)]
        )
        return others.setdefault(name, Codec("c", [KEY])).seal(body)

    while now < 60 * SECOND:
        now = max(now + 1, min(p.next_step_us(), now + p.state.timing.period_us))
        began = time.process_time()
        p.tick(now)
        sent = [(where, codec.seal(body), body) for where, body in p.state.outbox]
        spent += time.process_time() - began
        p.state.outbox = []
        names = {m.record.address: name for name, m in p.view.members.items()}
        coming = [
            heard(names[where], "ack", body.request_number)
            for where, _, body in sent
            if body.kind == "ping" and where in names
        ]
        if now >= asked_at:
            asked_at += p.state.timing.period_us
            coming.append(heard(f"n{p.state.random.randrange(1, size)}", "ping", 1))
        began = time.process_time()
        for data in coming:
            p.receive(now, ("h1", 1), codec.open(data))
        for _, body in p.state.outbox:
            codec.seal(body)
        spent += time.process_time() - began
        p.state.outbox = []
    return spent


def real(sizes: list[int], seeds: int) -> None:
    """From SIGKILL to the first process that says `failed` in its log, and to the last; `seeds` deaths."""
    for size in sizes:
        first, last, missing = asyncio.run(_struck(size, seeds))
        print(
            f"real, {size} processes, {seeds} deaths: first {spread(first)} s, last {spread(last)}, {missing} never",
            flush=True,
        )


async def _struck(size: int, deaths: int) -> tuple[list[float], list[float], int]:
    told = lab_scenario.Scenario(
        "real",
        fleet=lab_scenario.Fleet(nodes=size, endpoints=6, destinations=3),
        load=lab_scenario.Load(per_node_s=0.5),
        time=lab_scenario.Time(1.0, 600.0, 1.0),
    )
    first, last, missing = [], [], 0
    with tempfile.TemporaryDirectory() as folder:
        (Path(folder) / "nodes").mkdir()
        play = run.Run(plan.make(told), Path(folder), ROOT, (ROOT / "lab/parts/members.toml").read_text())
        try:
            await play.open()
            await asyncio.sleep(8.0)
            for n in range(deaths):
                died = datetime.now()
                await play.testbed.forwarders[f"n{size - 1 - n}"].kill_and_wait()
                await asyncio.sleep(10.0)
                knew = [
                    (at - died).total_seconds()
                    for k in range(size - deaths)
                    if (at := _said(play.testbed.forwarders[f"n{k}"].log_path, f"n{size - 1 - n}")) is not None
                ]
                first.append(min(knew))
                last.append(max(knew))
                missing += size - deaths - len(knew)
        finally:
            await play.close()
    return first, last, missing


def _said(log: Path, name: str) -> datetime | None:
    found = re.search(rf"^(\S+ \S+) .*member {name} at \S+ is failed", log.read_text(), re.M)
    return None if found is None else datetime.strptime(found[1], "%Y-%m-%d %H:%M:%S,%f")


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.members", description=__doc__.splitlines()[0])
    todo = {"deaths": deaths, "loss": loss, "traffic": traffic, "split": split, "cost": cost, "real": real}
    parser.add_argument("what", choices=todo)
    parser.add_argument("--sizes", type=int, nargs="+", default=[12, 40])
    parser.add_argument("--seeds", type=int, default=5)
    asked = parser.parse_args()
    todo[asked.what](asked.sizes, asked.seeds)


if __name__ == "__main__":
    main()
