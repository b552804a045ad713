"""Gossip between real processes: forwarders share their observations of endpoints while the lab injects faults.

Assertions bound counts and views, never durations.
"""

from __future__ import annotations

import asyncio
import re
from pathlib import Path

import pytest

from lab.event_log import EventKind
from lab.network import LinkFault
from lab.scenario import Load
from lab.testbed import Testbed
from tests.lab.fleets import EXTENSIONS, FleetView, run_fleet

GOSSIP_EXTENSIONS = EXTENSIONS + "news = true\n"
BUSY = Load(per_node_s=4.0, keys=40, of_limits=0.9)


async def gossip_answer(fleet: FleetView, name: str) -> str:
    return await fleet.testbed.forwarders[name].admin_call("NEWS")


async def observers_of(fleet: FleetView, name: str, subject: str, kind: str) -> set[str]:
    """Return the observers that report a kind of record about an endpoint, as far as one forwarder has heard."""
    return set(re.findall(rf"(n\d+): {subject} {kind}", await gossip_answer(fleet, name)))


async def until_settled(fleet: FleetView) -> None:
    await fleet.until_agreed(set(fleet.names))

    async def settled() -> bool:
        return all(
            [
                "agreed: divides by" in await fleet.quota_shares(name)
                and "held back" not in await fleet.quota_shares(name)
                for name in fleet.names
            ]
        )

    await fleet.until(settled)


async def until_all_hear(fleet: FleetView, names: set[str], subject: str, kind: str) -> None:
    async def heard() -> bool:
        return all([await observers_of(fleet, name, subject, kind) for name in names])

    await fleet.until(heard)


def test_disabled_endpoints_survive_a_lost_folder_and_the_first_call_waits_for_the_others(tmp_path: Path) -> None:
    async def steps(fleet: FleetView) -> None:
        await until_settled(fleet)
        node = fleet.testbed.forwarders["n3"]
        for line in ("OFFLINE s-1", "OFFLINE s-2", "ONLINE s-2"):
            assert (await node.admin_call(line)).startswith("ok")
        await until_all_hear(fleet, set(fleet.names), "s-1", "ban")
        await until_all_hear(fleet, set(fleet.names), "s-2", "used")
        await node.kill_and_wait()
        node.damage_folder("lost", 0.0, fleet.testbed.rng)
        fleet.testbed.clients.note_folder_lost("n3")
        await node.start()
        await until_settled(fleet)

        async def is_answered() -> bool:
            return "other members sent their gossip records; 1 disabled endpoints restored" in node.read_log()

        await fleet.until(is_answered)
        assert (await node.admin_call("OFFLINE s-1")) == "ok s-1 is left out"
        await asyncio.sleep(3.0)

    extensions = GOSSIP_EXTENSIONS + "ask_s = 6.0\n"  # long enough for a busy machine
    _, lab_run = run_fleet(tmp_path, steps, nodes=6, extensions=extensions, load=BUSY)
    log = (tmp_path / "nodes/n3/log").read_text()
    assert "s-1 is disabled again" in log
    assert "s-2 is disabled again" not in log
    started_s = max(
        e.at_s for e in lab_run.testbed.event_log.events if e.kind is EventKind.PROCESS_STARTED and e.node == "n3"
    )
    calls = [
        e
        for e in lab_run.testbed.event_log.events
        if e.kind is EventKind.CALL_RECEIVED and e.node == "n3" and e.at_s > started_s
    ]
    assert calls
    assert "s-1" not in {e.party for e in calls}


def test_a_fleet_whose_folders_are_all_new_does_not_wait_for_long(tmp_path: Path) -> None:
    async def steps(fleet: FleetView) -> None:
        async def all_have_continued() -> bool:
            return all("the state folder is new or was lost" in n.read_log() for n in fleet.testbed.forwarders.values())

        await fleet.until(all_have_continued)
        await asyncio.sleep(2.0)

    result, _ = run_fleet(tmp_path, steps, nodes=4, extensions=GOSSIP_EXTENSIONS)
    assert result.metrics["delivered"] > 0


def test_both_sides_of_a_partition_keep_to_the_budget_of_an_endpoint_that_recovers(tmp_path: Path) -> None:
    """The endpoint counts the calls of both sides together. Its rate limit falls during the partition."""

    async def steps(fleet: FleetView) -> None:
        await until_settled(fleet)
        minority = {"n0", "n1", "n2"}
        majority = set(fleet.names) - minority
        fleet.cut(minority, majority)
        await fleet.until_agreed(minority, majority)
        destination = fleet.testbed.endpoints["s-0"].model.destination
        destination.scale_limit(0.4)
        fleet.testbed.endpoints["s-0"].fail(silent=False)

        await until_all_hear(fleet, {"n0", "n3"}, "s-0", "out")
        assert not await observers_of(fleet, "n0", "s-0", "out") & majority
        assert not await observers_of(fleet, "n3", "s-0", "out") & minority
        fleet.testbed.endpoints["s-0"].recover()
        await asyncio.sleep(1.0)
        fleet.heal()  # during the warm-up of the endpoint
        await until_all_hear(fleet, set(fleet.names), "s-0", "back")
        await until_settled(fleet)
        destination.scale_limit(1.0)

    result, lab_run = run_fleet(tmp_path, steps, extensions=GOSSIP_EXTENSIONS, load=BUSY, endpoints=3)
    assert result.metrics["cold_ratio"] <= 1.0
    assert not [e for e in lab_run.testbed.event_log.events if e.kind is EventKind.ENDPOINT_OVERLOADED]


def test_forwarders_with_different_fleet_sizes_together_use_no_more_than_the_whole_limit(tmp_path: Path) -> None:
    """The configured sizes range from the real one to twice as much. An endpoint fails and recovers meanwhile."""

    async def steps(fleet: FleetView) -> None:
        await fleet.until_agreed(set(fleet.names))

        async def has_settled() -> bool:
            answers = [await fleet.quota_shares(name) for name in fleet.names]
            return sum("unsure" in line and "held back" not in line for line in answers) >= 3

        await fleet.until(has_settled)
        fleet.testbed.endpoints["s-0"].fail(silent=False)
        await until_all_hear(fleet, {"n0"}, "s-0", "(?:out|holds)")
        fleet.testbed.endpoints["s-0"].recover()
        for _ in range(15):
            sizes = [
                float(re.findall(r"divides by ([\d.]+)", await fleet.quota_shares(name))[0]) for name in fleet.names
            ]
            assert sum(1 / size for size in sizes) <= 1.0 + 1e-9
            assert len(set(sizes)) > 2
            await asyncio.sleep(0.2)

    result, lab_run = run_fleet(
        tmp_path, steps, nodes=6, endpoints=3, extensions=GOSSIP_EXTENSIONS, load=BUSY, believed=(1.0, 2.0)
    )
    assert lab_run.plan.believed_fleet_sizes != (6,) * 6
    assert result.metrics["cold_ratio"] <= 1.0
    assert not [e for e in lab_run.testbed.event_log.events if e.kind is EventKind.ENDPOINT_OVERLOADED]


@pytest.mark.parametrize("seed", [1, 2])
def test_a_forwarder_with_a_broken_network_takes_no_endpoint_from_the_others(tmp_path: Path, seed: int) -> None:
    async def steps(fleet: FleetView) -> None:
        await until_settled(fleet)
        for endpoint in fleet.testbed.endpoints:
            fleet.testbed.network.set_fault(("n1", endpoint), LinkFault(refuse=True))

        async def reports_outage() -> bool:
            return bool(re.search(r"n1: s-\d+ out", await gossip_answer(fleet, "n0")))

        await fleet.until(reports_outage)
        for _ in range(10):
            for name in set(fleet.names) - {"n1"}:
                for subject in re.findall(
                    r"s-\d+", (await gossip_answer(fleet, name)).partition("word: ")[2].partition(";")[0]
                ):
                    assert await observers_of(fleet, name, subject, "(?:out|back|well)") - {"n1"}, (
                        "reported by n1 alone"
                    )
            await asyncio.sleep(0.2)
        for endpoint in fleet.testbed.endpoints:
            fleet.testbed.network.heal(("n1", endpoint))

    run_fleet(tmp_path, steps, nodes=6, seed=seed, extensions=GOSSIP_EXTENSIONS, load=BUSY)


def test_forwarders_with_gossip_hear_each_other_when_half_of_the_fleet_has_none(tmp_path: Path) -> None:
    """The state during a rolling release.

    Forwarders without a gossip store neither receive nor relay records, and no forwarder's budget grows because of it.
    """

    def disable_on_odd_forwarders(testbed: Testbed) -> None:
        original = testbed.extensions_for

        def extensions_for(n: int) -> str | None:
            return (original(n) or "").replace("news = true\n", "") if n % 2 else original(n)

        testbed.extensions_for = extensions_for  # type: ignore[method-assign]

    async def steps(fleet: FleetView) -> None:
        await until_settled(fleet)
        fleet.testbed.endpoints["s-0"].fail(silent=False)
        await until_all_hear(fleet, {"n0", "n2", "n4"}, "s-0", "(?:out|holds)")
        assert "not turned on" in await gossip_answer(fleet, "n1")
        fleet.testbed.endpoints["s-0"].recover()
        await until_all_hear(fleet, {"n0", "n2", "n4"}, "s-0", "(?:back|well)")
        await asyncio.sleep(3.0)

    result, lab_run = run_fleet(
        tmp_path, steps, nodes=6, endpoints=3, extensions=GOSSIP_EXTENSIONS, load=BUSY, tweak=disable_on_odd_forwarders
    )
    assert result.metrics["cold_ratio"] <= 1.0
    assert not [e for e in lab_run.testbed.event_log.events if e.kind is EventKind.ENDPOINT_OVERLOADED]
