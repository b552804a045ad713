"""Faults of links, endpoints and discovery, and the actions of operators and crowds of clients."""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import Iterable
from dataclasses import replace

from lab.event_log import EventKind
from lab.front import UP_REQUEST
from lab.hostile_clients import Behaviour, Target
from lab.hostile_clients import command as hostile_command
from lab.launcher import ROOT
from lab.network import Link, LinkFault
from lab.plan import STATUS_CLASS, ScheduledFault
from lab.process_faults import FaultHandler
from lab.scenario import Fault
from lab.testbed import Testbed

DRAIN_STEP_S = 3.0
"""Time from the start of a drain to the removal from the list, and from there to the endpoint's end."""
CROWD_STEP = 25
"""Number of connections of a crowd that are opened at once to each forwarder."""
CROWD_PAUSE_S = 0.01
MAX_STATE_CHARACTERS = 200
"""Maximum length of an admin command with its answer in the event log."""


class PartyFaults:
    """Injects faults into the parties around the forwarders of a testbed."""

    def __init__(self, testbed: Testbed) -> None:
        self.testbed = testbed
        self.event_log = testbed.event_log
        self.network = testbed.network
        self.handlers: dict[str, FaultHandler] = {
            "cut": self.cut,
            "datagrams": self.impair_datagrams,
            "outage": self.fail_endpoints,
            "limit": self.change_limits,
            "drain": self.drain,
            "replace": self.replace,
            "discovery": self.degrade_discovery,
            "call": self.call_admin,
            "crowd": self.crowd,
            "hostile": self.run_hostile_clients,
        }
        """By the scenario's kind of fault."""

    # Links

    async def cut(self, step: ScheduledFault) -> None:
        """Cut the links between forwarders and other parties, or delay the bytes on them."""
        fault = step.fault
        links = list(self._cut_links(step))
        if fault.effect == "reset":
            for link in links:
                self.network.reset_connections(link)
            return
        link_fault = {
            "silence": LinkFault(silent_out=fault.way in ("both", "out"), silent_in=fault.way in ("both", "in")),
            "refuse": LinkFault(refuse=True),
            "delay": LinkFault(delay_s=fault.delay_s, jitter_s=fault.jitter_s),
        }[fault.effect]
        await self._apply_link_fault(links, link_fault, fault.for_s or 0.0)

    async def impair_datagrams(self, step: ScheduledFault) -> None:
        """Drop, duplicate, reorder or delay the datagrams that forwarders send."""
        fault = step.fault
        links = [(sender, receiver) for sender in step.targets for receiver in self.testbed.plan.nodes]
        link_fault = LinkFault(
            loss=fault.loss,
            doubled=fault.doubled,
            swapped=fault.swapped,
            delay_s=fault.delay_s,
            jitter_s=fault.jitter_s,
        )
        await self._apply_link_fault([link for link in links if link[0] != link[1]], link_fault, fault.for_s or 0.0)

    async def _apply_link_fault(self, links: list[Link], link_fault: LinkFault, for_s: float) -> None:
        for link in links:
            self.network.set_fault(link, link_fault)
        await asyncio.sleep(for_s)
        for link in links:
            self.network.heal(link)
        self.event_log.note(EventKind.FAULT_HEALED)

    def _cut_links(self, step: ScheduledFault) -> Iterable[Link]:
        """Return the links that a cut affects. Between two forwarders, each direction is a link of its own."""
        fault = step.fault
        if fault.between != "nodes":
            yield from ((node, party) for node in step.targets for party in step.parties)
            return
        group_of = {node: index % fault.groups + 1 for index, node in enumerate(step.targets)}
        for sender in self.testbed.plan.nodes:
            for receiver in self.testbed.plan.nodes:
                sender_group, receiver_group = group_of.get(sender, 0), group_of.get(receiver, 0)
                if sender == receiver or sender_group == receiver_group:
                    continue
                is_outward = sender_group > receiver_group
                if fault.way == "both" or (fault.way == "out") == is_outward:
                    yield sender, receiver

    # Endpoints

    async def fail_endpoints(self, step: ScheduledFault) -> None:
        """Take endpoints down for a while; they warm up afterwards."""
        for name in step.targets:
            self.testbed.endpoints[name].fail(step.fault.silent)
        await asyncio.sleep(step.fault.for_s or 0.0)
        for name in step.targets:
            self.testbed.endpoints[name].recover()

    async def change_limits(self, step: ScheduledFault) -> None:
        """Scale the rate limits of the endpoints' destinations, for a while or for the rest of the run."""
        destinations = [self.testbed.endpoints[name].model.destination for name in step.targets]
        for destination in destinations:
            destination.scale_limit(step.fault.times or 1.0)
        if step.fault.for_s is not None:
            await asyncio.sleep(step.fault.for_s)
            for destination in destinations:
                destination.scale_limit(1.0)
            self.event_log.note(EventKind.FAULT_HEALED)

    async def drain(self, step: ScheduledFault) -> None:
        """Drain endpoints, remove them from the list, and take them down."""
        for health in ("draining", "removed"):
            for name in step.targets:
                self.testbed.discovery.update_endpoint(self.testbed.endpoints[name].model.spec, health)
            await asyncio.sleep(DRAIN_STEP_S)
        for name in step.targets:
            if not self.testbed.endpoints[name].model.is_down:
                self.testbed.endpoints[name].fail(silent=False)

    async def replace(self, step: ScheduledFault) -> None:
        """Add new endpoints, and drain the ones that they replace."""
        for name in step.targets:
            replaced = self.testbed.endpoints[name].model.spec
            number = max(server.model.spec.number for server in self.testbed.endpoints.values()) + 1
            self.testbed.add_endpoint(replace(replaced, name=f"s-{number}", number=number))
        await self.drain(step)

    # Discovery, operators and clients

    async def degrade_discovery(self, step: ScheduledFault) -> None:
        """Take discovery down, or scale its capacity, for a while."""
        discovery = self.testbed.discovery
        normal_rate = discovery.capacity.rate
        if step.fault.times is None:
            discovery.is_down = True
        else:
            discovery.capacity.rate = normal_rate * step.fault.times
        await asyncio.sleep(step.fault.for_s or 0.0)
        discovery.is_down = False
        discovery.capacity.rate = normal_rate

    async def call_admin(self, step: ScheduledFault) -> None:
        """Send a line to the admin interface of forwarders, as operators do."""
        line = step.fault.line or ""
        command, _, argument = line.partition(" ")
        for name in step.targets:
            try:
                answer = await self.testbed.forwarders[name].admin_call(line)
            except OSError as error:
                answer = f"fail {error}"
            state = f"{line}: {answer}"[:MAX_STATE_CHARACTERS]
            self.event_log.note(EventKind.ADMIN_CALLED, node=name, state=state)
            if answer.startswith("ok") and command in ("OFFLINE", "ONLINE"):
                kind = EventKind.ENDPOINT_DISABLED if command == "OFFLINE" else EventKind.ENDPOINT_ENABLED
                self.event_log.note(kind, node=name, party=argument)

    async def crowd(self, step: ScheduledFault) -> None:
        """Open many client connections and keep them open; half of them send a status request first."""
        connections = step.fault.connections or 0
        writers: list[asyncio.StreamWriter] = []
        for first in range(0, connections, CROWD_STEP):
            numbers = range(first, min(first + CROWD_STEP, connections))
            await asyncio.gather(
                *(self._join_crowd(writers, name, number % 2 == 0) for name in step.targets for number in numbers)
            )
            await asyncio.sleep(CROWD_PAUSE_S)  # otherwise the lab's own clients would be late
        await asyncio.sleep(step.fault.for_s or 0.0)
        for writer in writers:
            writer.close()
        self.event_log.note(EventKind.FAULT_HEALED)

    async def run_hostile_clients(self, step: ScheduledFault) -> None:
        """Run clients that misbehave, in a process of their own for each forwarder, until their time is over."""
        fault = step.fault
        assert fault.behaviour is not None
        await asyncio.gather(
            *(self._run_hostile_clients(name, step.at_s, fault, fault.behaviour) for name in step.targets)
        )
        self.event_log.note(EventKind.FAULT_HEALED)

    async def _run_hostile_clients(self, node: str, at_s: float, fault: Fault, behaviour: Behaviour) -> None:
        host, port = self.testbed.front.forwarders[node].address
        target = Target(
            host, port, STATUS_CLASS, self.testbed.plan.destinations[0].number, "", fault.for_s or 0.0, int(at_s * 1000)
        )
        ended = asyncio.Event()
        await self.testbed.launcher.start(
            hostile_command(target, behaviour, fault.connections or 1),
            ROOT,
            dict(os.environ),
            self.testbed.out / "nodes" / node / "hostile.log",
            lambda status: ended.set(),
        )
        await ended.wait()

    async def _join_crowd(self, writers: list[asyncio.StreamWriter], node: str, sends_request: bool) -> None:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(*self.testbed.front.forwarders[node].address)
            writers.append(writer)
            if sends_request:
                writer.write(UP_REQUEST)
