"""Forwarders that know each other, as real processes: they meet, are killed, stopped, cut off and healed by the lab;
what each believes is asked at its control address. Bounds are on counts and on what is believed, not on clocks.
"""

from __future__ import annotations

import asyncio
import json
import resource
import shutil
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from lab import plan, run
from lab.event_log import EventKind
from lab.network import LinkFault
from lab.result import Result
from lab.scenario import Fleet, Limits, Load, Scenario, Time
from lab.testbed import Testbed
from tests.sockets import ROOT

NODES = 8
PATIENCE = 40.0
PARTS = """
[members]
listen = "@listen@"
advertise = "@post@"
cluster = "lab"
seeds = @seeds@
key_file = "lab/parts/lab.key"
period_s = 0.2
suspicion_top = 3.0
exchange_s = 2.0
divide = true
"""


class Watched:
    """A fleet of the lab, and what its forwarders believe."""

    def __init__(self, testbed: Testbed) -> None:
        self.testbed = testbed
        self.names = list(testbed.forwarders)

    async def view(self, name: str) -> dict[str, Any]:
        """Of one that cannot be asked yet, an empty one."""
        try:
            said = await self.testbed.forwarders[name].admin_call("MEMBERS json")
        except OSError:
            said = ""
        told: dict[str, Any] = json.loads(said[3:]) if said.startswith("ok ") else {"digest": name, "members": []}
        return told

    async def there(self, name: str) -> set[str]:
        return {m["name"] for m in (await self.view(name))["members"] if m["state"] in ("alive", "suspect")}

    async def until(self, test: Callable[[], Awaitable[bool]]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not await test():
                await asyncio.sleep(0.2)

    async def agree(self, *groups: set[str]) -> None:
        """Each of a group sees just its group, and says so by one digest."""
        for group in groups:

            async def same(group: set[str] = group) -> bool:
                views = [await self.view(name) for name in sorted(group)]
                return len({v["digest"] for v in views}) == 1 and all(
                    [await self.there(name) == group for name in group]
                )

            await self.until(same)

    async def shares(self, name: str) -> str:
        return await self.testbed.forwarders[name].admin_call("SHARES")

    def cut(self, *groups: set[str], effect: LinkFault = LinkFault(silent_out=True)) -> None:  # noqa: B008
        part = {name: n for n, group in enumerate(groups) for name in group}
        for a in self.names:
            for b in self.names:
                self.testbed.network.set_fault((a, b), effect if a != b and part.get(a) != part.get(b) else LinkFault())

    def heal(self) -> None:
        self.cut(set(self.names))


def fleet(
    tmp_path: Path,
    scene: Callable[[Watched], Awaitable[None]],
    nodes: int = NODES,
    seed: int = 1,
    endpoints: int = 6,
    parts: str = PARTS,
    load: Load = Load(per_node_s=2.0),  # noqa: B008
    tweak: Callable[[Testbed], None] = lambda testbed: None,
    believed: tuple[float, float] = (1.0, 1.0),
) -> tuple[Result, run.Run]:
    """Play a scene while messages pass. No rule may be broken meanwhile."""
    told = Scenario(
        "members",
        seed=seed,
        fleet=Fleet(nodes=nodes, endpoints=endpoints, destinations=3, believed=believed),
        load=load,
        time=Time(warm_s=1.0, load_s=60.0, drain_s=8.0),
        limits=Limits(late_ms=2000.0),
    )
    result: list[tuple[Result, run.Run]] = []

    async def played() -> None:
        (tmp_path / "nodes").mkdir()
        play = run.Run(plan.make(told), tmp_path, ROOT, parts)
        tweak(play.testbed)
        try:
            await play.open()
            playing = asyncio.create_task(play.play())
            await scene(Watched(play.testbed))
            playing.cancel()
            await asyncio.gather(playing, return_exceptions=True)
        finally:
            await play.close()
        result.append((play.result(), play))

    asyncio.run(played())
    assert result[0][0].findings == [], result[0][0].findings[:3]
    return result[0]


def test_they_meet_notice_a_death_and_hear_of_a_leaving(tmp_path: Path) -> None:
    async def scene(w: Watched) -> None:
        everybody = set(w.names)
        await w.agree(everybody)
        await w.testbed.forwarders["n7"].kill_and_wait()
        await w.agree(everybody - {"n7"})
        states = {m["name"]: m["state"] for m in (await w.view("n0"))["members"]}
        assert states["n7"] == "failed"
        await w.testbed.forwarders["n6"].terminate_and_wait()
        states = {m["name"]: m["state"] for m in (await w.view("n0"))["members"]}
        assert states["n6"] == "left", "told at once, and not found out"
        for name in ("n6", "n7"):
            await w.testbed.forwarders[name].start()
        await w.agree(everybody)
        lives = {m["name"]: m["life"] for m in (await w.view("n0"))["members"]}
        assert lives["n7"] == lives["n6"] == 2
        assert lives["n0"] == 1

    fleet(tmp_path, scene)


def test_cut_in_two_each_side_knows_and_shrinks_and_all_meet_again(tmp_path: Path) -> None:
    async def scene(w: Watched) -> None:
        everybody, few = set(w.names), {"n0", "n1", "n2"}

        async def settled() -> bool:
            return all(["agreed: divides by 8.0" in await w.shares(name) for name in w.names])

        await w.agree(everybody)
        await w.until(settled)
        w.cut(few, everybody - few)
        await w.agree(few, everybody - few)

        async def grown() -> bool:
            assert not any(["divides by 8.0" in await w.shares(name) for name in few]), "while others take their part"
            return all(["unsure: divides by 6.2" in await w.shares(name) for name in everybody - few])

        async def shrunk() -> bool:
            return all(["cut off: divides by 16.0" in await w.shares(name) for name in few])

        await w.until(shrunk)
        await w.until(grown)  # 8 / (1 + 3/2/5): half of the others' bases, divided by five
        w.heal()
        await w.agree(everybody)
        await w.until(settled)

    fleet(tmp_path, scene)


def test_a_restart_has_its_share_by_its_lease_and_without_its_folder_half_of_it(tmp_path: Path) -> None:
    async def scene(w: Watched) -> None:
        async def settled() -> bool:
            return all(
                [
                    "agreed: divides by 8.0" in (said := await w.shares(name)) and "its own for" not in said
                    for name in w.names
                ]
            )

        async def came_back(name: str) -> list[str]:
            said: list[str] = []

            async def proved() -> bool:
                try:
                    said.append(await w.shares(name))
                except OSError:  # it does not listen yet
                    return False
                return "agreed: divides by 8.0" in said[-1] and "its own for" not in said[-1]

            await w.until(proved)
            return said

        await w.until(settled)
        for name in ("n6", "n7"):
            await w.testbed.forwarders[name].kill_and_wait()
        shutil.rmtree(w.testbed.forwarders["n7"].state.path)
        w.testbed.forwarders["n7"].state.path.mkdir()
        w.testbed.event_log.note(EventKind.STATE_FOLDER_CHANGED, node="n7", state="lost")
        for name in ("n6", "n7"):
            await w.testbed.forwarders[name].start()
        kept, lost = await asyncio.gather(came_back("n6"), came_back("n7"))
        assert not any("held back" in said for said in kept)
        assert any("its own for" in said for said in kept)
        assert "50% of its share held back" in lost[0]
        await w.until(settled)

    fleet(tmp_path, scene, parts=PARTS + "settle_s = 20.0\n")


def test_one_that_stands_still_gets_nobody_failed_and_one_way_silence_is_found(tmp_path: Path) -> None:
    async def scene(w: Watched) -> None:
        everybody = set(w.names)
        await w.agree(everybody)
        w.testbed.forwarders["n1"].signal(19)
        w.testbed.event_log.note(EventKind.PROCESS_PAUSED, node="n1")
        await asyncio.sleep(4.0)
        w.testbed.forwarders["n1"].signal(18)
        w.testbed.event_log.note(EventKind.PROCESS_RESUMED, node="n1")
        await w.agree(everybody)
        log = w.testbed.forwarders["n1"].read_log()
        assert " is failed" not in log, "it blamed others for its own stop"
        for other in everybody - {"n2"}:  # it hears all, and nobody hears it
            w.testbed.network.set_fault(("n2", other), LinkFault(silent_out=True))

        async def alone() -> bool:
            return all(["n2" not in await w.there(name) for name in everybody - {"n2"}])

        await w.until(alone)
        w.heal()
        await w.agree(everybody)

    fleet(tmp_path, scene)


def test_a_lost_folder_hears_of_its_former_life_and_says_so(tmp_path: Path) -> None:
    async def scene(w: Watched) -> None:
        await w.agree(set(w.names))
        node = w.testbed.forwarders["n3"]
        for folder in ("kept", "lost"):
            await node.kill_and_wait()
            node.damage_folder(folder, 0.0, w.testbed.rng)
            if folder == "lost":
                w.testbed.clients.note_folder_lost("n3")
            await node.start()
            await w.agree(set(w.names))
        told = await w.view("n3")
        assert told["former_life"] == 2
        assert "others remember life 2 of n3" in node.read_log()

    fleet(tmp_path, scene, nodes=4)


@pytest.mark.parametrize(
    "effect",
    [LinkFault(loss=0.2, doubled=0.2, swapped=0.2), LinkFault(delay_s=0.05, jitter_s=0.2)],
    ids=["loss", "delay"],
)
def test_bad_links_get_nobody_failed(tmp_path: Path, effect: LinkFault) -> None:
    async def scene(w: Watched) -> None:
        await w.agree(set(w.names))
        for a in w.names:
            for b in w.names:
                if a != b:
                    w.testbed.network.set_fault((a, b), effect)
        await asyncio.sleep(8.0)
        w.heal()
        await w.agree(set(w.names))
        for name in w.names:
            assert " is failed" not in w.testbed.forwarders[name].read_log()
        assert sum(n for what, n in w.testbed.network.counts.items() if what.startswith("datagrams")) > 50

    fleet(tmp_path, scene, nodes=6)


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

    async def scene(w: Watched) -> None:
        everybody, half = set(w.names), w.names[::2]

        async def handed_over() -> bool:
            return all(node.former is None for node in w.testbed.forwarders.values())

        await w.agree(everybody)
        for name in half:  # one after the other, messages and calls under way
            await w.testbed.forwarders[name].upgrade(later)
        await w.until(handed_over)
        await w.agree(everybody)

        async def told() -> bool:
            views = [await w.view(name) for name in w.names]
            return all({m["version"] for m in v["members"]} == {"0.1.0", "0.2.0"} for v in views)

        await w.until(told)
        await asyncio.sleep(3.0)
        for name in w.names:
            if name not in half:
                await w.testbed.forwarders[name].upgrade(later)
        await w.until(handed_over)
        await w.agree(everybody)
        for name in w.names:
            log = w.testbed.forwarders[name].read_log()
            assert " is failed" not in log and " is left" not in log and "Traceback" not in log, name
            assert {m["life"] for m in (await w.view(name))["members"]} == {2}
        assert sum(forwarder.crashes for forwarder in w.testbed.forwarders.values()) == 0

    fleet(tmp_path, scene, parts=PARTS + "news = true\n")


def test_short_of_descriptors_or_room_in_the_socket_they_stay_members(tmp_path: Path) -> None:
    """Many connections beside it, until the process may open no more."""

    async def scene(w: Watched) -> None:
        everybody = set(w.names)
        await w.agree(everybody)
        node = w.testbed.forwarders["n1"]
        host, _, port = node.config.listen.rpartition(":")
        resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (40, 40))  # type: ignore[union-attr]
        open_ = [await asyncio.open_connection(host, int(port)) for _ in range(60)]
        await asyncio.sleep(3.0)
        for _, writer in open_:
            writer.close()
        await w.agree(everybody)
        assert not [n for n in w.names if " is failed" in w.testbed.forwarders[n].read_log()]

    fleet(tmp_path, scene, nodes=4)
