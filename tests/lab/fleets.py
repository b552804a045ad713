"""Fleets of real processes that are members of one cluster, and the membership view of each."""

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
    """A member in a forwarder's membership view."""

    name: str
    state: str
    starts: int
    """Number of starts of the member."""
    version: str


class MembershipView(msgspec.Struct, frozen=True, rename={"former_starts": "former_life"}):
    """A forwarder's answer to `MEMBERS json`."""

    digest: str
    members: list[Member]
    former_starts: int = 0
    """Number of its starts before its state folder was lost, as other members remember it."""

    def member(self, name: str) -> Member:
        """Return the member of that name."""
        return next(member for member in self.members if member.name == name)


class FleetView:
    """A fleet of the lab, and the membership views of its forwarders."""

    def __init__(self, testbed: Testbed) -> None:
        self.testbed = testbed
        self.names = list(testbed.forwarders)

    async def view(self, name: str) -> MembershipView:
        """Return a forwarder's membership view; it is empty while the forwarder cannot answer."""
        try:
            answer = await self.testbed.forwarders[name].admin_call("MEMBERS json")
        except OSError:
            answer = ""
        if not answer.startswith("ok "):
            return MembershipView(name, [])
        return msgspec.json.decode(answer.removeprefix("ok "), type=MembershipView)

    async def live_members(self, name: str) -> set[str]:
        """Return the members that are alive or suspect in a forwarder's view."""
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
        """Wait until every member of each group sees exactly its group, with the same digest."""
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


def _change_nothing(testbed: Testbed) -> None:
    """Leave a testbed unchanged."""


def run_fleet(
    tmp_path: Path,
    steps: Callable[[FleetView], Awaitable[None]],
    nodes: int = NODES,
    seed: int = 1,
    endpoints: int = 6,
    extensions: str = EXTENSIONS,
    load: Load = QUIET_LOAD,
    tweak: Callable[[Testbed], None] = _change_nothing,
    believed: tuple[float, float] = (1.0, 1.0),
) -> tuple[Result, run.Run]:
    """Run the steps of a test on a fleet that forwards messages, and check that no rule is broken."""
    scenario = Scenario(
        "members",
        seed=seed,
        fleet=Fleet(nodes=nodes, endpoints=endpoints, destinations=3, believed=believed),
        load=load,
        time=Time(warm_s=1.0, load_s=60.0, drain_s=8.0),
        limits=Limits(late_ms=2000.0),
    )

    async def run_steps() -> tuple[Result, run.Run]:
        (tmp_path / "nodes").mkdir()
        lab_run = run.Run(plan.make(scenario), tmp_path, ROOT, extensions)
        tweak(lab_run.testbed)
        try:
            await lab_run.open()
            load_task = asyncio.create_task(lab_run.execute())
            await steps(FleetView(lab_run.testbed))
            load_task.cancel()
            await asyncio.gather(load_task, return_exceptions=True)
        finally:
            await lab_run.close()
        return lab_run.result(), lab_run

    result, lab_run = asyncio.run(run_steps())
    assert result.findings == [], result.findings[:3]
    return result, lab_run
