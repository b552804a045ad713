"""Membership of real processes: forwarders find each other, and the lab kills, stops and cuts them off.

Each forwarder's view is read from its admin interface. Assertions bound counts and views, never durations.
"""

from __future__ import annotations

import asyncio
import resource
import shutil
import signal
from pathlib import Path

import pytest

from lab.event_log import EventKind
from lab.network import LinkFault
from tests.lab.fleets import EXTENSIONS, FleetView, run_fleet
from tests.sockets import ROOT


def test_members_find_each_other_and_detect_a_death_and_a_departure(tmp_path: Path) -> None:
    async def steps(fleet: FleetView) -> None:
        all_names = set(fleet.names)
        await fleet.until_agreed(all_names)
        await fleet.testbed.forwarders["n7"].kill_and_wait()
        await fleet.until_agreed(all_names - {"n7"})
        assert (await fleet.view("n0")).member("n7").state == "failed"
        await fleet.testbed.forwarders["n6"].terminate_and_wait()
        assert (await fleet.view("n0")).member("n6").state == "left", "announced by itself, not detected by others"
        for name in ("n6", "n7"):
            await fleet.testbed.forwarders[name].start()
        await fleet.until_agreed(all_names)
        view = await fleet.view("n0")
        assert view.member("n7").starts == view.member("n6").starts == 2
        assert view.member("n0").starts == 1

    run_fleet(tmp_path, steps)


def test_each_side_of_a_partition_adapts_its_quota_shares_and_both_rejoin(tmp_path: Path) -> None:
    async def steps(fleet: FleetView) -> None:
        all_names, minority = set(fleet.names), {"n0", "n1", "n2"}

        async def settled() -> bool:
            return all(["agreed: divides by 8.0" in await fleet.quota_shares(name) for name in fleet.names])

        await fleet.until_agreed(all_names)
        await fleet.until(settled)
        fleet.cut(minority, all_names - minority)
        await fleet.until_agreed(minority, all_names - minority)

        async def grown() -> bool:
            assert not any(["divides by 8.0" in await fleet.quota_shares(name) for name in minority]), (
                "while the others use their part of the quota"
            )
            return all(["unsure: divides by 6.2" in await fleet.quota_shares(name) for name in all_names - minority])

        async def shrunk() -> bool:
            return all(["cut off: divides by 16.0" in await fleet.quota_shares(name) for name in minority])

        await fleet.until(shrunk)
        await fleet.until(grown)  # 8 / (1 + 3/2/5): half of the base shares of the other three, divided among five
        fleet.heal()
        await fleet.until_agreed(all_names)
        await fleet.until(settled)

    run_fleet(tmp_path, steps)


def test_a_restart_keeps_its_quota_share_by_its_lease_and_half_of_it_without_its_folder(tmp_path: Path) -> None:
    async def steps(fleet: FleetView) -> None:
        async def settled() -> bool:
            return all(
                [
                    "agreed: divides by 8.0" in (answer := await fleet.quota_shares(name))
                    and "its own for" not in answer
                    for name in fleet.names
                ]
            )

        async def quota_answers_until_settled(name: str) -> list[str]:
            answers: list[str] = []

            async def has_settled() -> bool:
                try:
                    answers.append(await fleet.quota_shares(name))
                except OSError:  # the forwarder does not listen yet
                    return False
                return "agreed: divides by 8.0" in answers[-1] and "its own for" not in answers[-1]

            await fleet.until(has_settled)
            return answers

        await fleet.until(settled)
        for name in ("n6", "n7"):
            await fleet.testbed.forwarders[name].kill_and_wait()
        shutil.rmtree(fleet.testbed.forwarders["n7"].state.path)
        fleet.testbed.forwarders["n7"].state.path.mkdir()
        fleet.testbed.event_log.note(EventKind.STATE_FOLDER_CHANGED, node="n7", state="lost")
        for name in ("n6", "n7"):
            await fleet.testbed.forwarders[name].start()
        kept, lost = await asyncio.gather(quota_answers_until_settled("n6"), quota_answers_until_settled("n7"))
        assert not any("held back" in answer for answer in kept)
        assert any("its own for" in answer for answer in kept)
        assert "50% of its share held back" in lost[0]
        await fleet.until(settled)

    run_fleet(tmp_path, steps, extensions=EXTENSIONS + "settle_s = 20.0\n")


def test_a_stopped_member_marks_nobody_failed_and_one_way_silence_is_detected(tmp_path: Path) -> None:
    async def steps(fleet: FleetView) -> None:
        all_names = set(fleet.names)
        await fleet.until_agreed(all_names)
        fleet.testbed.forwarders["n1"].signal(signal.SIGSTOP)
        fleet.testbed.event_log.note(EventKind.PROCESS_PAUSED, node="n1")
        await asyncio.sleep(4.0)
        fleet.testbed.forwarders["n1"].signal(signal.SIGCONT)
        fleet.testbed.event_log.note(EventKind.PROCESS_RESUMED, node="n1")
        await fleet.until_agreed(all_names)
        log = fleet.testbed.forwarders["n1"].read_log()
        assert " is failed" not in log, "it marked others failed because of its own stop"
        for other in all_names - {"n2"}:  # it receives from all, and nobody receives from it
            fleet.testbed.network.set_fault(("n2", other), LinkFault(silent_out=True))

        async def is_removed() -> bool:
            return all(["n2" not in await fleet.live_members(name) for name in all_names - {"n2"}])

        await fleet.until(is_removed)
        fleet.heal()
        await fleet.until_agreed(all_names)

    run_fleet(tmp_path, steps)


def test_a_member_with_a_lost_folder_learns_its_former_starts_and_logs_them(tmp_path: Path) -> None:
    async def steps(fleet: FleetView) -> None:
        await fleet.until_agreed(set(fleet.names))
        node = fleet.testbed.forwarders["n3"]
        for folder in ("kept", "lost"):
            await node.kill_and_wait()
            node.damage_folder(folder, 0.0, fleet.testbed.rng)
            if folder == "lost":
                fleet.testbed.clients.note_folder_lost("n3")
            await node.start()
            await fleet.until_agreed(set(fleet.names))
        assert (await fleet.view("n3")).former_starts == 2
        assert "other members know start 2 of n3" in node.read_log()

    run_fleet(tmp_path, steps, nodes=4)


@pytest.mark.parametrize(
    "fault",
    [LinkFault(loss=0.2, doubled=0.2, swapped=0.2), LinkFault(delay_s=0.05, jitter_s=0.2)],
    ids=["loss", "delay"],
)
def test_bad_links_mark_nobody_failed(tmp_path: Path, fault: LinkFault) -> None:
    async def steps(fleet: FleetView) -> None:
        await fleet.until_agreed(set(fleet.names))
        for sender in fleet.names:
            for receiver in fleet.names:
                if sender != receiver:
                    fleet.testbed.network.set_fault((sender, receiver), fault)
        await asyncio.sleep(8.0)
        fleet.heal()
        await fleet.until_agreed(set(fleet.names))
        for name in fleet.names:
            assert " is failed" not in fleet.testbed.forwarders[name].read_log()
        assert sum(n for kind, n in fleet.testbed.network.counts.items() if kind.startswith("datagrams")) > 50

    run_fleet(tmp_path, steps, nodes=6)


def write_later_version(folder: Path) -> Path:
    """Write a later version of the program, with an additional datagram field and an unknown kind of datagram."""
    shutil.copytree(ROOT / "forwarder", folder / "forwarder", ignore=shutil.ignore_patterns("__pycache__"))
    for file, line, replacement in (
        ("__init__.py", '__version__ = "0.1.0"', '__version__ = "0.2.0"'),
        ("membership/codec.py", '    digest: Text = ""\n', '    digest: Text = ""\n    later: int = 7\n'),
        (
            "membership/protocol.py",
            "        self.query.send_if_due()\n",
            "        for name in self.view.others_in(MemberState.ALIVE)[:1]:\n"
            '            self.dissemination.send(self.state.address_of(name), "later", 1)\n'
            "        self.query.send_if_due()\n",
        ),
    ):
        path = folder / "forwarder" / file
        assert path.read_text().count(line) == 1
        path.write_text(path.read_text().replace(line, replacement))
    (folder / "lab/parts").mkdir(parents=True)
    shutil.copy(ROOT / "lab/parts/lab.key", folder / "lab/parts/lab.key")
    return folder


def test_a_rolling_release_marks_nobody_failed_and_two_versions_share_a_fleet(tmp_path: Path) -> None:
    later = write_later_version(tmp_path / "later")

    async def steps(fleet: FleetView) -> None:
        all_names, half = set(fleet.names), fleet.names[::2]

        async def handed_over() -> bool:
            return all(node.previous_process is None for node in fleet.testbed.forwarders.values())

        await fleet.until_agreed(all_names)
        for name in half:  # one after the other, with messages and calls in progress
            await fleet.testbed.forwarders[name].upgrade(later)
        await fleet.until(handed_over)
        await fleet.until_agreed(all_names)

        async def versions_are_known() -> bool:
            views = [await fleet.view(name) for name in fleet.names]
            return all({member.version for member in view.members} == {"0.1.0", "0.2.0"} for view in views)

        await fleet.until(versions_are_known)
        await asyncio.sleep(3.0)
        for name in fleet.names:
            if name not in half:
                await fleet.testbed.forwarders[name].upgrade(later)
        await fleet.until(handed_over)
        await fleet.until_agreed(all_names)
        for name in fleet.names:
            log = fleet.testbed.forwarders[name].read_log()
            assert " is failed" not in log, name
            assert " is left" not in log, name
            assert "Traceback" not in log, name
            assert {member.starts for member in (await fleet.view(name)).members} == {2}
        assert sum(forwarder.crashes for forwarder in fleet.testbed.forwarders.values()) == 0

    run_fleet(tmp_path, steps, extensions=EXTENSIONS + "news = true\n")


def test_a_member_without_free_descriptors_stays_a_member(tmp_path: Path) -> None:
    """Connections use up the file descriptors of the process."""

    async def steps(fleet: FleetView) -> None:
        all_names = set(fleet.names)
        await fleet.until_agreed(all_names)
        node = fleet.testbed.forwarders["n1"]
        host, _, port = node.config.listen.rpartition(":")
        resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (40, 40))  # type: ignore[union-attr]
        connections = [await asyncio.open_connection(host, int(port)) for _ in range(60)]
        await asyncio.sleep(3.0)
        for _, writer in connections:
            writer.close()
        await fleet.until_agreed(all_names)
        assert not [n for n in fleet.names if " is failed" in fleet.testbed.forwarders[n].read_log()]

    run_fleet(tmp_path, steps, nodes=4)
