"""The testbed of one run: sets up the fake parties, starts the forwarders, and ends everything again."""

from __future__ import annotations

import asyncio
import compileall
import random
import resource
import signal
from collections.abc import Callable
from pathlib import Path

import msgspec

from lab.addresses import Role, free_port, host_for
from lab.clients import Clients
from lab.datagrams import DatagramExchange
from lab.discovery import DiscoveryServer
from lab.endpoint_model import DestinationModel, EndpointModel
from lab.endpoints import EndpointServer, WaitingCall
from lab.errors import SetupError
from lab.event_log import EventLog
from lab.forwarder_config import ForwarderConfig, ForwarderSettings, ResourceLimits, make_settings
from lab.forwarder_process import ForwarderProcess
from lab.front import Front
from lab.launcher import Launcher
from lab.memory_watch import MemoryWatch
from lab.network import Address, Link, Network
from lab.plan import Endpoint, Plan
from lab.shim import module_name

START_TIMEOUT_S = 90.0
START_POLL_S = 0.05
END_TIMEOUT_S = 10.0
END_POLL_S = 0.02
DESCRIPTORS_PER_ENDPOINT = 2
DESCRIPTORS_PER_FORWARDER = 8
DATAGRAM_PORT_OFFSET = 1
"""Added to the HTTP port, like `ADMIN_PORT_OFFSET`."""
ADMIN_PORT_OFFSET = 2
SEED_MEMBERS = 3
"""Maximum number of forwarders whose addresses replace `@seeds@` in an extensions file."""
SHIMMED_FAULTS = ("errors", "clock")
"""Kinds of faults that require the forwarders to run with replaced system calls."""


def ignore_progress(text: str) -> None:
    """Ignore a line about a run's progress."""


class Testbed:
    """The fake parties and the forwarders of one run."""

    __test__ = False
    """Keeps pytest from collecting the class as a test because of its name."""

    def __init__(
        self,
        plan: Plan,
        out: Path,
        program: Path,
        extensions: str | None = None,
        report_progress: Callable[[str], None] = ignore_progress,
    ) -> None:
        """Create the fake parties; `open` sets them up and starts the forwarders.

        Args:
            plan: The run's plan.
            out: The folder for logs and state folders.
            program: The checkout that the forwarders run from.
            extensions: The text of the extensions file of all forwarders.
            report_progress: Called with a line of text from time to time.
        """
        self.plan = plan
        self.out = out
        self.program = program
        self.extensions = extensions
        self.report_progress = report_progress
        self.loop = asyncio.get_running_loop()
        self.epoch_s = self.loop.time()
        """Start of the load, by the event loop's clock."""
        self.event_log = EventLog(lambda: self.loop.time() - self.epoch_s)
        self.network = Network(plan.scenario.seed)
        self.rng = random.Random(f"{plan.scenario.seed}/run")
        self.port = free_port()
        self.endpoint_addresses: dict[Link, Address] = {}
        self.discovery = self._make_discovery()
        self.front = Front(plan, self.network, self.event_log, self._addresses(Role.FORWARDER, 0))
        self.clients = Clients(plan, self.front, self.event_log, self._on_submitted)
        self.destinations = self._make_destinations()
        self.endpoints: dict[str, EndpointServer] = {}
        self.forwarders: dict[str, ForwarderProcess] = {}
        self.launcher = Launcher()
        self.memory = MemoryWatch()
        self.exchange: DatagramExchange | None = None
        """Relays datagrams between the forwarders, if their extensions file uses it."""

    def _make_discovery(self) -> DiscoveryServer:
        scenario = self.plan.scenario
        return DiscoveryServer(
            self.network,
            self.event_log,
            scenario.discovery,
            scenario.fleet.nodes,
            scenario.seed,
            self.endpoint_addresses,
        )

    def _make_destinations(self) -> dict[int, DestinationModel]:
        scenario = self.plan.scenario
        return {
            destination.number: DestinationModel(
                destination,
                random.Random(f"{scenario.seed}/shop{destination.number}"),
                scenario.endpoints.wait_s,
                reports_limit=scenario.endpoints.tells_limits,
            )
            for destination in self.plan.destinations
        }

    def _addresses(self, role: Role, port_offset: int) -> dict[str, Address]:
        return {name: (host_for(role, index), self.port + port_offset) for index, name in enumerate(self.plan.nodes)}

    def _on_submitted(self, node: str, destination: int) -> None:
        """Record that a forwarder has a message for a destination, and so learns which of its endpoints are down."""
        for endpoint in self.endpoints.values():
            if endpoint.model.is_down and endpoint.model.spec.destination == destination:
                endpoint.model.informed_nodes.add(node)

    # Setup

    async def open(self) -> None:
        """Set up all parties, start the forwarders, and wait until all are up.

        Raises:
            SetupError: One of these steps failed.
        """
        self._raise_descriptor_limit()
        # Forwarders that compile their modules at the same time take all cores, which delays them and the lab.
        await asyncio.to_thread(compileall.compile_dir, self.program / module_name(self.program), quiet=2)
        self.discovery.on_notice = self.clients.note_notice
        try:
            for endpoint in self.plan.endpoints:
                self.add_endpoint(endpoint)
            for name, address in self._addresses(Role.DISCOVERY, 0).items():
                self.discovery.make_listener(name, address).open()
        except OSError as error:
            raise SetupError(f"cannot listen on an address: {error}") from None
        self._add_forwarders()
        await self._open_exchange()
        self.front.open()
        await self.launcher.open()
        self.memory.start()
        for forwarder in self.forwarders.values():
            await forwarder.start()
        await self._wait_until_up()

    def _raise_descriptor_limit(self) -> None:
        _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
        per_forwarder = len(self.plan.endpoints) * DESCRIPTORS_PER_ENDPOINT + DESCRIPTORS_PER_FORWARDER
        needed = len(self.plan.nodes) * per_forwarder
        if needed > hard_limit:
            raise SetupError(f"the run needs {needed} file descriptors, but the limit is {hard_limit}")

    def add_endpoint(self, spec: Endpoint) -> None:
        """Add an endpoint, and add it to the endpoint list.

        Raises:
            OSError: One of its addresses is in use.
        """
        scenario = self.plan.scenario
        rng = random.Random(f"{scenario.seed}/{spec.name}")
        model = EndpointModel[WaitingCall](spec, self.destinations[spec.destination], scenario.endpoints, rng)
        server = EndpointServer(model, self.network, self.event_log, self.clients.is_submitted)
        server.on_started = self.clients.note_started
        server.on_delivered = self.clients.note_delivered
        self.endpoints[spec.name] = server
        for index, node in enumerate(self.plan.nodes):
            address = (host_for(Role.ENDPOINT, index, spec.number), self.port)
            self.endpoint_addresses[(node, spec.name)] = address
            server.make_listener(node, address).open()
        self.discovery.update_endpoint(spec)

    def _add_forwarders(self) -> None:
        settings = make_settings(self.plan)
        scenario = self.plan.scenario
        is_shimmed = scenario.fleet.skew_s > 0 or any(
            fault.kind in SHIMMED_FAULTS or fault.clock_s for fault in scenario.faults
        )
        for index, name in enumerate(self.plan.nodes):
            forwarder = ForwarderProcess(
                name=name,
                root=self.out / "nodes" / name,
                program=self.program,
                config=self._config(index, name, settings),
                event_log=self.event_log,
                launcher=self.launcher,
                admin_address=(host_for(Role.FORWARDER, index), self.port + ADMIN_PORT_OFFSET),
                on_started=self.memory.add,
                extensions=self.extensions_for(index),
                clock_skew_s=self.plan.clock_skews_s[index],
                is_shimmed=is_shimmed,
            )
            forwarder.write_files()
            self.forwarders[name] = forwarder

    def _config(self, index: int, name: str, settings: ForwarderSettings) -> ForwarderConfig:
        scenario = self.plan.scenario
        fleet = scenario.fleet
        host = host_for(Role.FORWARDER, index)
        return ForwarderConfig(
            name=name,
            listen=f"{host}:{self.port}",
            admin=f"{host}:{self.port + ADMIN_PORT_OFFSET}",
            discovery=f"{host_for(Role.DISCOVERY, index)}:{self.port}",
            seed=f"{scenario.seed}-{index}",
            limits=ResourceLimits(1.0, fleet.memory_mb, fleet.sockets, fleet.disk_mb),
            known=self.discovery.whole_list(name),
            settings=msgspec.structs.replace(settings, forwarders=self.plan.believed_fleet_sizes[index]),
        )

    def extensions_for(self, index: int) -> str | None:
        """Return one forwarder's extensions file, with its values in place of the `@name@` placeholders."""
        if self.extensions is None:
            return None
        port = self.port + DATAGRAM_PORT_OFFSET
        seed_members = [
            f'"{host_for(Role.DATAGRAM_PROXY, seed)}:{port}"' for seed in range(min(SEED_MEMBERS, len(self.plan.nodes)))
        ]
        return (
            self.extensions.replace("@listen@", f"{host_for(Role.FORWARDER, index)}:{port}")
            .replace("@post@", f"{host_for(Role.DATAGRAM_PROXY, index)}:{port}")
            .replace("@seeds@", f"[{', '.join(seed_members)}]")
            .replace("@out@", str(self.out))
        )

    async def _open_exchange(self) -> None:
        if self.extensions is None or "@post@" not in self.extensions:
            return
        self.exchange = DatagramExchange(
            self.network,
            real=self._addresses(Role.FORWARDER, DATAGRAM_PORT_OFFSET),
            advertised=self._addresses(Role.DATAGRAM_PROXY, DATAGRAM_PORT_OFFSET),
        )
        await self.exchange.open()

    async def _wait_until_up(self) -> None:
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not all(forwarder.was_up for forwarder in self.front.forwarders.values()):
                    await asyncio.sleep(START_POLL_S)
                    self._check_all_running()
        except TimeoutError:
            missing = [forwarder.name for forwarder in self.front.forwarders.values() if not forwarder.was_up]
            raise SetupError(f"{len(missing)} forwarders did not come up; {missing[0]} is the first of them") from None

    def _check_all_running(self) -> None:
        for forwarder in self.forwarders.values():
            if forwarder.process is None:
                lines = forwarder.read_log().splitlines() or ["its log is empty"]
                raise SetupError(f"{forwarder.name} did not start: {lines[-1]}")

    # Load

    def begin_load(self) -> None:
        """Set the start of the event log's clock to now, and shift the earlier events."""
        shift_s = self.event_log.clock()
        self.epoch_s += shift_s
        events = self.event_log.events
        self.event_log.events = [msgspec.structs.replace(event, at_s=event.at_s - shift_s) for event in events]
        self.discovery.capacity.updated_at_s = 0.0

    # Shutdown

    async def close(self) -> None:
        """End every process and every connection."""
        self.event_log.closed = True
        self.memory.stop()
        self.front.close()
        for forwarder in self.forwarders.values():
            forwarder.may_start = False
            forwarder.signal(signal.SIGKILL)
        deadline_s = self.loop.time() + END_TIMEOUT_S
        while any(each.process is not None for each in self.forwarders.values()) and self.loop.time() < deadline_s:
            await asyncio.sleep(END_POLL_S)
        await self.launcher.close()
        for listener in self.network.listeners.values():
            listener.close()
        for connections in self.network.connections.values():
            for connection in list(connections):
                connection.abort()
        if self.exchange is not None:
            self.exchange.close()
