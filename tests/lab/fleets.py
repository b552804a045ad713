"""Fleets of real processes that know each other, and what each of them believes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from lab import plan, run
from lab.network import LinkFault
from lab.result import Result
from lab.scenario import Fleet, Limits, Load, Scenario, Time
from lab.testbed import Testbed
from tests.sockets import ROOT

NODES = 8
TIMEOUT_S = 40.0
POLL_S = 0.2
QUIET_LOAD = Load(per_node_s=2.0)
CUT = LinkFault(silent_out=True)
HEALTHY = LinkFault()
EXTENSIONS = """
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


class Member(msgspec.Struct, frozen=True, rename={"starts": "life"}):
    """A member, as a forwarder believes it to be."""

    name: str
    state: str
    starts: int
    """How often it was started."""
    version: str


class MembershipView(msgspec.Struct, frozen=True, rename={"former_starts": "former_life"}):
    """A forwarder's answer to `MEMBERS json`."""

    digest: str
    members: list[Member]
    former_starts: int = 0
    """How often it was started before its folder was lost, as others remember."""

    def member(self, name: str) -> Member:
        """Return the member of that name."""
        return next(member for member in self.members if member.name == name)


class FleetView:
    """A fleet of the lab, and what its forwarders believe."""

    def __init__(self, testbed: Testbed) -> None:
        self.testbed = testbed
        self.names = list(testbed.forwarders)

    async def view(self, name: str) -> MembershipView:
        """Ask a forwarder; one that cannot be asked yet knows nobody."""
        try:
            answer = await self.testbed.forwarders[name].admin_call("MEMBERS json")
        except OSError:
            answer = ""
        if not answer.startswith("ok "):
            return MembershipView(name, [])
        return msgspec.json.decode(answer.removeprefix("ok "), type=MembershipView)

    async def live_members(self, name: str) -> set[str]:
        """Return the members that a forwarder takes for alive, or merely suspects."""
        return {member.name for member in (await self.view(name)).members if member.state in ("alive", "suspect")}

    async def quota_shares(self, name: str) -> str:
        """Return a forwarder's answer to `SHARES`."""
        return await self.testbed.forwarders[name].admin_call("SHARES")

    async def until(self, condition: Callable[[], Awaitable[bool]]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(TIMEOUT_S):
            while not await condition():
                await asyncio.sleep(POLL_S)

    async def until_agreed(self, *groups: set[str]) -> None:
        """Wait until each of a group sees just its group, and says so by one digest."""
        for group in groups:

            async def is_agreed(group: set[str] = group) -> bool:
                views = [await self.view(name) for name in sorted(group)]
                if len({view.digest for view in views}) != 1:
                    return False
                return all([await self.live_members(name) == group for name in group])

            await self.until(is_agreed)

    def cut(self, *groups: set[str], fault: LinkFault = CUT) -> None:
        """Cut the links between groups, and heal all others."""
        group_of = {name: index for index, group in enumerate(groups) for name in group}
        for sender in self.names:
            for receiver in self.names:
                is_cut = sender != receiver and group_of.get(sender) != group_of.get(receiver)
                self.testbed.network.set_fault((sender, receiver), fault if is_cut else HEALTHY)

    def heal(self) -> None:
        """Heal all links between forwarders."""
        self.cut(set(self.names))


def _keep(testbed: Testbed) -> None:
    """Change nothing of a testbed."""


def play_scene(
    tmp_path: Path,
    scene: Callable[[FleetView], Awaitable[None]],
    nodes: int = NODES,
    seed: int = 1,
    endpoints: int = 6,
    extensions: str = EXTENSIONS,
    load: Load = QUIET_LOAD,
    tweak: Callable[[Testbed], None] = _keep,
    believed: tuple[float, float] = (1.0, 1.0),
) -> tuple[Result, run.Run]:
    """Play a scene while messages pass. No rule may be broken meanwhile."""
    scenario = Scenario(
        "members",
        seed=seed,
        fleet=Fleet(nodes=nodes, endpoints=endpoints, destinations=3, believed=believed),
        load=load,
        time=Time(warm_s=1.0, load_s=60.0, drain_s=8.0),
        limits=Limits(late_ms=2000.0),
    )

    async def play() -> tuple[Result, run.Run]:
        (tmp_path / "nodes").mkdir()
        played = run.Run(plan.make(scenario), tmp_path, ROOT, extensions)
        tweak(played.testbed)
        try:
            await played.open()
            playing = asyncio.create_task(played.play())
            await scene(FleetView(played.testbed))
            playing.cancel()
            await asyncio.gather(playing, return_exceptions=True)
        finally:
            await played.close()
        return played.result(), played

    result, played = asyncio.run(play())
    assert result.findings == [], result.findings[:3]
    return result, played
