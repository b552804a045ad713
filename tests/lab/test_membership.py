"""Forwarders that know each other, as real processes: they meet, are killed, stopped, cut off and healed by the lab.

What each believes is asked at its admin interface. Bounds are on counts and on what is believed, not on clocks.
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
from tests.lab.fleets import EXTENSIONS, FleetView, play_scene
from tests.sockets import ROOT


def test_members_meet_notice_a_death_and_hear_of_a_leaving(tmp_path: Path) -> None:
    async def scene(fleet: FleetView) -> None:
        everybody = set(fleet.names)
        await fleet.until_agreed(everybody)
        await fleet.testbed.forwarders["n7"].kill_and_wait()
        await fleet.until_agreed(everybody - {"n7"})
        assert (await fleet.view("n0")).member("n7").state == "failed"
        await fleet.testbed.forwarders["n6"].terminate_and_wait()
        assert (await fleet.view("n0")).member("n6").state == "left", "told at once, and not found out"
        for name in ("n6", "n7"):
            await fleet.testbed.forwarders[name].start()
        await fleet.until_agreed(everybody)
        view = await fleet.view("n0")
        assert view.member("n7").starts == view.member("n6").starts == 2
        assert view.member("n0").starts == 1

    play_scene(tmp_path, scene)


def test_cut_in_two_each_side_knows_and_shrinks_and_all_meet_again(tmp_path: Path) -> None:
    async def scene(fleet: FleetView) -> None:
        everybody, few = set(fleet.names), {"n0", "n1", "n2"}

        async def settled() -> bool:
            return all(["agreed: divides by 8.0" in await fleet.quota_shares(name) for name in fleet.names])

        await fleet.until_agreed(everybody)
        await fleet.until(settled)
        fleet.cut(few, everybody - few)
        await fleet.until_agreed(few, everybody - few)

        async def grown() -> bool:
            assert not any(["divides by 8.0" in await fleet.quota_shares(name) for name in few]), (
                "while others take their part"
            )
            return all(["unsure: divides by 6.2" in await fleet.quota_shares(name) for name in everybody - few])

        async def shrunk() -> bool:
            return all(["cut off: divides by 16.0" in await fleet.quota_shares(name) for name in few])

        await fleet.until(shrunk)
        await fleet.until(grown)  # 8 / (1 + 3/2/5): half of the others' bases, divided by five
        fleet.heal()
        await fleet.until_agreed(everybody)
        await fleet.until(settled)

    play_scene(tmp_path, scene)


def test_a_restart_has_its_share_by_its_lease_and_without_its_folder_half_of_it(tmp_path: Path) -> None:
    async def scene(fleet: FleetView) -> None:
        async def settled() -> bool:
            return all(
                [
                    "agreed: divides by 8.0" in (said := await fleet.quota_shares(name)) and "its own for" not in said
                    for name in fleet.names
                ]
            )

        async def came_back(name: str) -> list[str]:
            said: list[str] = []

            async def proved() -> bool:
                try:
                    said.append(await fleet.quota_shares(name))
                except OSError:  # it does not listen yet
                    return False
                return "agreed: divides by 8.0" in said[-1] and "its own for" not in said[-1]

            await fleet.until(proved)
            return said

        await fleet.until(settled)
        for name in ("n6", "n7"):
            await fleet.testbed.forwarders[name].kill_and_wait()
        shutil.rmtree(fleet.testbed.forwarders["n7"].state.path)
        fleet.testbed.forwarders["n7"].state.path.mkdir()
        fleet.testbed.event_log.note(EventKind.STATE_FOLDER_CHANGED, node="n7", state="lost")
        for name in ("n6", "n7"):
            await fleet.testbed.forwarders[name].start()
        kept, lost = await asyncio.gather(came_back("n6"), came_back("n7"))
        assert not any("held back" in said for said in kept)
        assert any("its own for" in said for said in kept)
        assert "50% of its share held back" in lost[0]
        await fleet.until(settled)

    play_scene(tmp_path, scene, extensions=EXTENSIONS + "settle_s = 20.0\n")


def test_a_stopped_member_gets_nobody_failed_and_one_way_silence_is_found(tmp_path: Path) -> None:
    async def scene(fleet: FleetView) -> None:
        everybody = set(fleet.names)
        await fleet.until_agreed(everybody)
        fleet.testbed.forwarders["n1"].signal(signal.SIGSTOP)
        fleet.testbed.event_log.note(EventKind.PROCESS_PAUSED, node="n1")
        await asyncio.sleep(4.0)
        fleet.testbed.forwarders["n1"].signal(signal.SIGCONT)
        fleet.testbed.event_log.note(EventKind.PROCESS_RESUMED, node="n1")
        await fleet.until_agreed(everybody)
        log = fleet.testbed.forwarders["n1"].read_log()
        assert " is failed" not in log, "it blamed others for its own stop"
        for other in everybody - {"n2"}:  # it hears all, and nobody hears it
            fleet.testbed.network.set_fault(("n2", other), LinkFault(silent_out=True))

        async def alone() -> bool:
            return all(["n2" not in await fleet.live_members(name) for name in everybody - {"n2"}])

        await fleet.until(alone)
        fleet.heal()
        await fleet.until_agreed(everybody)

    play_scene(tmp_path, scene)


def test_one_with_a_lost_folder_hears_of_its_former_starts_and_logs_it(tmp_path: Path) -> None:
    async def scene(fleet: FleetView) -> None:
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

    play_scene(tmp_path, scene, nodes=4)


@pytest.mark.parametrize(
    "fault",
    [LinkFault(loss=0.2, doubled=0.2, swapped=0.2), LinkFault(delay_s=0.05, jitter_s=0.2)],
    ids=["loss", "delay"],
)
def test_bad_links_get_nobody_failed(tmp_path: Path, fault: LinkFault) -> None:
    async def scene(fleet: FleetView) -> None:
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
        assert sum(n for what, n in fleet.testbed.network.counts.items() if what.startswith("datagrams")) > 50

    play_scene(tmp_path, scene, nodes=6)


def later_version(folder: Path) -> Path:
    """A program of tomorrow: its datagrams have a field more, and it says things that today's does not know."""
    shutil.copytree(ROOT / "forwarder", folder / "forwarder", ignore=shutil.ignore_patterns("__pycache__"))
    for file, line, instead in (
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
        path.write_text(path.read_text().replace(line, instead))
    (folder / "lab/parts").mkdir(parents=True)
    shutil.copy(ROOT / "lab/parts/lab.key", folder / "lab/parts/lab.key")
    return folder


def test_a_rolling_release_gets_nobody_failed_and_two_versions_live_in_one_fleet(tmp_path: Path) -> None:
    later = later_version(tmp_path / "later")

    async def scene(fleet: FleetView) -> None:
        everybody, half = set(fleet.names), fleet.names[::2]

        async def handed_over() -> bool:
            return all(node.former is None for node in fleet.testbed.forwarders.values())

        await fleet.until_agreed(everybody)
        for name in half:  # one after the other, messages and calls under way
            await fleet.testbed.forwarders[name].upgrade(later)
        await fleet.until(handed_over)
        await fleet.until_agreed(everybody)

        async def versions_are_known() -> bool:
            views = [await fleet.view(name) for name in fleet.names]
            return all({member.version for member in view.members} == {"0.1.0", "0.2.0"} for view in views)

        await fleet.until(versions_are_known)
        await asyncio.sleep(3.0)
        for name in fleet.names:
            if name not in half:
                await fleet.testbed.forwarders[name].upgrade(later)
        await fleet.until(handed_over)
        await fleet.until_agreed(everybody)
        for name in fleet.names:
            log = fleet.testbed.forwarders[name].read_log()
            assert " is failed" not in log, name
            assert " is left" not in log, name
            assert "Traceback" not in log, name
            assert {member.starts for member in (await fleet.view(name)).members} == {2}
        assert sum(forwarder.crashes for forwarder in fleet.testbed.forwarders.values()) == 0

    play_scene(tmp_path, scene, extensions=EXTENSIONS + "news = true\n")


def test_short_of_descriptors_or_room_in_the_socket_they_stay_members(tmp_path: Path) -> None:
    """Many connections beside it, until the process may open no more."""

    async def scene(fleet: FleetView) -> None:
        everybody = set(fleet.names)
        await fleet.until_agreed(everybody)
        node = fleet.testbed.forwarders["n1"]
        host, _, port = node.config.listen.rpartition(":")
        resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (40, 40))  # type: ignore[union-attr]
        connections = [await asyncio.open_connection(host, int(port)) for _ in range(60)]
        await asyncio.sleep(3.0)
        for _, writer in connections:
            writer.close()
        await fleet.until_agreed(everybody)
        assert not [n for n in fleet.names if " is failed" in fleet.testbed.forwarders[n].read_log()]

    play_scene(tmp_path, scene, nodes=4)
