"""Faults of forwarder processes: signals, upgrades, failing system calls, clock steps and new configurations."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from lab.addresses import Role, host_for
from lab.discovery import PARTY as DISCOVERY
from lab.event_log import EventKind
from lab.forwarder_config import MAX_RETRY_AFTER_US
from lab.forwarder_process import ForwarderProcess
from lab.plan import ScheduledFault
from lab.scenario import Fault
from lab.shim import Failure
from lab.testbed import Testbed

FaultHandler = Callable[[ScheduledFault], Awaitable[None]]
"""Injects one scheduled fault, and returns once it is healed."""
SLOWDOWN_SLICE_S = 0.04
"""A slowed process is stopped for a part of each such slice of time."""
OLD_DISCOVERY_CLOSE_DELAY_S = 1.5
"""The platform closes the connections to discovery's old address this long after SIGHUP announces a new address."""
MIN_UPTIME_BEFORE_RELOAD_S = 1.0
"""The platform sends SIGHUP only to a forwarder that is ready and was started at least this long ago."""
RETRY_AFTER_STEP_US = 1000
"""Each new configuration raises the longest accepted Retry-After by this."""
SIGNAL_SERIES = (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
SIGNAL_SPACING_S = (0.0, 0.3)


class ProcessFaults:
    """Injects faults into the forwarder processes of a testbed."""

    def __init__(self, testbed: Testbed) -> None:
        self.testbed = testbed
        self.event_log = testbed.event_log
        self.rng = testbed.rng
        self.handlers: dict[str, FaultHandler] = {
            "kill": self.restart,
            "term": self.restart,
            "upgrade": self.upgrade,
            "stop": self.stop,
            "slow": self.slow_down,
            "full": self.fill_disk,
            "errors": self.fail_calls,
            "clock": self.step_clock,
            "reload": self.reload,
            "signals": self.send_signals,
        }
        """By the `kind` of a scenario's fault."""

    def _targets(self, step: ScheduledFault) -> list[ForwarderProcess]:
        return [self.testbed.forwarders[name] for name in step.targets]

    # Restarts

    async def restart(self, step: ScheduledFault) -> None:
        """End forwarders with SIGKILL (`kill`) or SIGTERM (`term`), and start them again."""
        await asyncio.gather(*(self._restart(forwarder, step) for forwarder in self._targets(step)))

    async def _restart(self, forwarder: ForwarderProcess, step: ScheduledFault) -> None:
        fault = step.fault
        if fault.on is not None:
            await self._kill_at_event(forwarder, fault)
            await forwarder.wait_for_end()
        elif fault.kind == "kill":
            await forwarder.kill_and_wait()
        else:
            await forwarder.terminate_and_wait()
        forwarder.damage_folder(fault.folder, step.at_s, self.rng)
        if fault.folder == "lost":
            self.testbed.clients.note_folder_lost(forwarder.name)
        forwarder.clock_skew_s += fault.clock_s
        forwarder.write_shim_control()
        if fault.back_s is None:
            forwarder.may_start = False
            return
        await asyncio.sleep(fault.back_s)
        await forwarder.start()

    async def _kill_at_event(self, forwarder: ForwarderProcess, fault: Fault) -> None:
        """Wait for an event at the forwarder, then kill it before the event's observer continues, or soon after."""
        assert fault.on is not None
        killed = asyncio.Event()

        def kill() -> None:
            forwarder.kill()
            killed.set()

        def on_event() -> None:
            """Kill the forwarder at once, or after a random delay of at most `within_ms`."""
            if fault.within_ms:
                delay_s = self.rng.uniform(0.0, fault.within_ms / 1000)
                self.testbed.loop.call_later(delay_s, kill)
            else:
                kill()

        self.event_log.triggers[(EventKind(fault.on), forwarder.name)] = on_event
        await killed.wait()

    async def copy_folders(self, step: ScheduledFault) -> None:
        """Copy the state folders that a fault will restore, `old_s` seconds before the fault."""
        await asyncio.sleep(max(0.0, step.at_s - step.fault.old_s - self.event_log.clock()))
        for forwarder in self._targets(step):
            forwarder.state.copy(step.at_s)

    async def upgrade(self, step: ScheduledFault) -> None:
        """Start another process of the same program for each forwarder, which takes over from the running one."""
        await asyncio.gather(*(forwarder.upgrade() for forwarder in self._targets(step)))

    # Processor time, disk and system calls

    async def stop(self, step: ScheduledFault) -> None:
        """Stop processes with SIGSTOP, and continue them with SIGCONT."""
        for forwarder in self._targets(step):
            forwarder.signal(signal.SIGSTOP)
            self.event_log.note(EventKind.PROCESS_PAUSED, node=forwarder.name)
        await asyncio.sleep(step.fault.for_s or 0.0)
        for forwarder in self._targets(step):
            forwarder.signal(signal.SIGCONT)
            self.event_log.note(EventKind.PROCESS_RESUMED, node=forwarder.name)

    async def slow_down(self, step: ScheduledFault) -> None:
        """Reduce the processor time of forwarders: they run only for the share `times` of each slice."""
        running_share = step.fault.times or 1.0
        end_s = self.testbed.loop.time() + (step.fault.for_s or 0.0)
        try:
            while self.testbed.loop.time() < end_s:
                for signal_number, slice_share in (
                    (signal.SIGSTOP, 1 - running_share),
                    (signal.SIGCONT, running_share),
                ):
                    for forwarder in self._targets(step):
                        forwarder.signal(signal_number)
                    await asyncio.sleep(slice_share * SLOWDOWN_SLICE_S)
        finally:
            for forwarder in self._targets(step):
                forwarder.signal(signal.SIGCONT)
        self.event_log.note(EventKind.FAULT_HEALED)

    async def fill_disk(self, step: ScheduledFault) -> None:
        """Simulate full disks, for `for_s` seconds or until the process ends (`ForwarderProcess.set_disk_full`)."""
        for forwarder in self._targets(step):
            forwarder.set_disk_full(True)
        if step.fault.for_s is not None:
            await asyncio.sleep(step.fault.for_s)
            for forwarder in self._targets(step):
                forwarder.set_disk_full(False)

    async def fail_calls(self, step: ScheduledFault) -> None:
        """Let a system call fail in the forwarders until the fault ends."""
        fault = step.fault
        failure = Failure(fault.call or "", fault.errno, fault.rate)
        for forwarder in self._targets(step):
            forwarder.failures.append(failure)
            forwarder.write_shim_control()
        await asyncio.sleep(fault.for_s or 0.0)
        for forwarder in self._targets(step):
            forwarder.failures.remove(failure)
            forwarder.write_shim_control()
        self.event_log.note(EventKind.FAULT_HEALED)

    async def step_clock(self, step: ScheduledFault) -> None:
        """Step the forwarders' wall clocks while they run."""
        for forwarder in self._targets(step):
            forwarder.clock_skew_s += step.fault.clock_s
            forwarder.write_shim_control()

    # Configurations and signals

    async def reload(self, step: ScheduledFault) -> None:
        """Reload a configuration with SIGHUP: discovery's address and the longest accepted Retry-After change."""
        for forwarder in self._targets(step):
            self._reload(forwarder)
        await asyncio.sleep(OLD_DISCOVERY_CLOSE_DELAY_S)

    def _reload(self, forwarder: ForwarderProcess) -> None:
        uptime_s = self.testbed.loop.time() - forwarder.started_at_s
        is_ready = self.testbed.front.forwarders[forwarder.name].is_up and uptime_s >= MIN_UPTIME_BEFORE_RELOAD_S
        if forwarder.process is None or not is_ready:
            return  # the platform sends no SIGHUP in this state
        host, port = self._move_discovery(forwarder)
        allowed = forwarder.config.settings.allowed
        allowed.max_retry_after_us = MAX_RETRY_AFTER_US + RETRY_AFTER_STEP_US * forwarder.discovery_moves
        forwarder.config.discovery = f"{host}:{port}"
        forwarder.write_config()
        forwarder.signal(signal.SIGHUP)
        self.event_log.note(EventKind.PROCESS_RELOADED, node=forwarder.name)

    def _move_discovery(self, forwarder: ForwarderProcess) -> tuple[str, int]:
        """Move a forwarder's discovery to another address, and close the old connections after a delay."""
        network = self.testbed.network
        link = (forwarder.name, DISCOVERY)
        old_listener = network.listeners[link]
        old_connections = list(network.connections.get(link, ()))
        forwarder.discovery_moves += 1
        role = Role.MOVED_DISCOVERY if forwarder.discovery_moves % 2 else Role.DISCOVERY
        address = (host_for(role, self.testbed.plan.nodes.index(forwarder.name)), self.testbed.port)
        self.testbed.discovery.make_listener(forwarder.name, address).open()
        old_listener.close()
        for connection in old_connections:
            self.testbed.loop.call_later(OLD_DISCOVERY_CLOSE_DELAY_S, connection.abort)
        return address

    async def send_signals(self, step: ScheduledFault) -> None:
        """Send SIGHUP, each with a new configuration, and SIGTERM in turn, and start the forwarders again afterwards.

        SIGKILL ends a process that still runs `KILL_AFTER_S` after the first SIGTERM, the earliest time at which the
        platform may send it.
        """
        await asyncio.gather(*(self._send_signals(forwarder, step.fault) for forwarder in self._targets(step)))

    async def _send_signals(self, forwarder: ForwarderProcess, fault: Fault) -> None:
        is_terminated = False
        for signal_number in SIGNAL_SERIES:
            if signal_number == signal.SIGHUP:
                self._reload(forwarder)
            elif not is_terminated:
                forwarder.terminate()
                is_terminated = True
            else:
                forwarder.signal(signal_number)
            await asyncio.sleep(self.rng.uniform(*SIGNAL_SPACING_S))
        await forwarder.wait_for_end(kill_when_late=True)
        await asyncio.sleep(fault.back_s or 0.0)
        await forwarder.start()
