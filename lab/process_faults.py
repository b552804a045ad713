"""Faults that strike forwarders' processes: signals, upgrades, failing system calls, clocks, configurations."""

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
"""Carries one step of the schedule out, and returns when it is healed."""
SLOW_SLICE_S = 0.04
"""A slowed process is stopped for a part of every slice."""
MOVED_DISCOVERY_CLOSES_S = 1.5
"""Discovery's old address closes its connections so long after a forwarder was told the new one (TERMS)."""
NO_RELOAD_BEFORE_S = 1.0
"""No SIGHUP comes in a program's first second, nor before it is ready (TERMS)."""
RELOAD_STEP_US = 1000
"""Each new configuration raises the longest Retry-After by this."""
SIGNAL_SERIES = (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
SIGNAL_SPACING_S = (0.0, 0.3)


class ProcessFaults:
    """Strikes the forwarders of a testbed."""

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
        """By the kind of a scenario's fault."""

    def _struck(self, step: ScheduledFault) -> list[ForwarderProcess]:
        return [self.testbed.forwarders[name] for name in step.targets]

    # Restarts

    async def restart(self, step: ScheduledFault) -> None:
        """End forwarders by SIGKILL (`kill`) or SIGTERM (`term`), and start them again."""
        await asyncio.gather(*(self._restart(forwarder, step) for forwarder in self._struck(step)))

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
        """Wait for an event of this forwarder's, and kill it before whoever saw it goes on, or soon after."""
        assert fault.on is not None
        killed = asyncio.Event()

        def kill() -> None:
            """Kill it now."""
            forwarder.kill()
            killed.set()

        def on_event() -> None:
            """Kill it within the fault's bound."""
            if fault.within_ms:
                delay_s = self.rng.uniform(0.0, fault.within_ms / 1000)
                self.testbed.loop.call_later(delay_s, kill)
            else:
                kill()

        self.event_log.triggers[(EventKind(fault.on), forwarder.name)] = on_event
        await killed.wait()

    async def copy_folders(self, step: ScheduledFault) -> None:
        """Keep the state folders that a fault will set back to."""
        await asyncio.sleep(max(0.0, step.at_s - step.fault.old_s - self.event_log.clock()))
        for forwarder in self._struck(step):
            forwarder.state.copy(step.at_s)

    async def upgrade(self, step: ScheduledFault) -> None:
        """Let another process of the same program take over from each."""
        await asyncio.gather(*(forwarder.upgrade() for forwarder in self._struck(step)))

    # Processor time, disk and system calls

    async def stop(self, step: ScheduledFault) -> None:
        """Stop processes, and let them go on."""
        for forwarder in self._struck(step):
            forwarder.signal(signal.SIGSTOP)
            self.event_log.note(EventKind.PROCESS_PAUSED, node=forwarder.name)
        await asyncio.sleep(step.fault.for_s or 0.0)
        for forwarder in self._struck(step):
            forwarder.signal(signal.SIGCONT)
            self.event_log.note(EventKind.PROCESS_RESUMED, node=forwarder.name)

    async def slow_down(self, step: ScheduledFault) -> None:
        """Give processes less processor time: each is stopped for a part of every slice."""
        share = step.fault.times or 1.0
        end_s = self.testbed.loop.time() + (step.fault.for_s or 0.0)
        try:
            while self.testbed.loop.time() < end_s:
                for sign, part in ((signal.SIGSTOP, 1 - share), (signal.SIGCONT, share)):
                    for forwarder in self._struck(step):
                        forwarder.signal(sign)
                    await asyncio.sleep(part * SLOW_SLICE_S)
        finally:
            for forwarder in self._struck(step):
                forwarder.signal(signal.SIGCONT)
        self.event_log.note(EventKind.FAULT_HEALED)

    async def fill_disk(self, step: ScheduledFault) -> None:
        """Let no file of the state folders grow."""
        for forwarder in self._struck(step):
            forwarder.set_disk_full(True)
        if step.fault.for_s is not None:
            await asyncio.sleep(step.fault.for_s)
            for forwarder in self._struck(step):
                forwarder.set_disk_full(False)

    async def fail_calls(self, step: ScheduledFault) -> None:
        """Let chosen system calls fail for a while."""
        fault = step.fault
        failure = Failure(fault.call or "", fault.errno, fault.rate)
        for forwarder in self._struck(step):
            forwarder.failures.append(failure)
            forwarder.write_shim_control()
        await asyncio.sleep(fault.for_s or 0.0)
        for forwarder in self._struck(step):
            forwarder.failures.remove(failure)
            forwarder.write_shim_control()
        self.event_log.note(EventKind.FAULT_HEALED)

    async def step_clock(self, step: ScheduledFault) -> None:
        """Step the wall clocks while the forwarders run."""
        for forwarder in self._struck(step):
            forwarder.clock_skew_s += step.fault.clock_s
            forwarder.write_shim_control()

    # Configurations and signals

    async def reload(self, step: ScheduledFault) -> None:
        """Send SIGHUP with a new configuration: discovery moves, and the longest Retry-After changes."""
        for forwarder in self._struck(step):
            self._reload(forwarder)
        await asyncio.sleep(MOVED_DISCOVERY_CLOSES_S)

    def _reload(self, forwarder: ForwarderProcess) -> None:
        uptime_s = self.testbed.loop.time() - forwarder.started_at_s
        is_ready = self.testbed.front.forwarders[forwarder.name].is_up and uptime_s >= NO_RELOAD_BEFORE_S
        if forwarder.process is None or not is_ready:
            return  # the platform sends no SIGHUP then
        host, port = self._move_discovery(forwarder)
        allowed = forwarder.config.settings.allowed
        allowed.max_retry_after_us = MAX_RETRY_AFTER_US + RELOAD_STEP_US * forwarder.discovery_moves
        forwarder.config.discovery = f"{host}:{port}"
        forwarder.write_config()
        forwarder.signal(signal.SIGHUP)
        self.event_log.note(EventKind.PROCESS_RELOADED, node=forwarder.name)

    def _move_discovery(self, forwarder: ForwarderProcess) -> tuple[str, int]:
        """Open discovery at another address for a forwarder, and let its old connections end soon."""
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
            self.testbed.loop.call_later(MOVED_DISCOVERY_CLOSES_S, connection.abort)
        return address

    async def send_signals(self, step: ScheduledFault) -> None:
        """Send signals in series, new configurations among them; SIGKILL at the page's earliest, and another start."""
        await asyncio.gather(*(self._send_signals(forwarder, step.fault) for forwarder in self._struck(step)))

    async def _send_signals(self, forwarder: ForwarderProcess, fault: Fault) -> None:
        is_terminated = False
        for sign in SIGNAL_SERIES:
            if sign == signal.SIGHUP:
                self._reload(forwarder)
            elif not is_terminated:
                forwarder.terminate()
                is_terminated = True
            else:
                forwarder.signal(sign)
            await asyncio.sleep(self.rng.uniform(*SIGNAL_SPACING_S))
        await forwarder.wait_for_end(kill_when_late=True)
        await asyncio.sleep(fault.back_s or 0.0)
        await forwarder.start()
