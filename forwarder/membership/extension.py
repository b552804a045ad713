"""The membership extension: runs the protocol's timer and connects it to the socket, decisions and admin interface."""

from __future__ import annotations

import asyncio
import logging
import secrets
import time
from collections.abc import Iterable
from dataclasses import dataclass

from forwarder import __version__
from forwarder.admin.server import CommandTable
from forwarder.config.config import Config, ConfigError
from forwarder.config.extensions_file import ExtensionTable
from forwarder.decisions.actions import Action
from forwarder.decisions.fleet_messages import FleetView, FleetViewChanged
from forwarder.decisions.fleet_quota import FleetQuota, FleetQuotaExtension
from forwarder.membership.change_log import log_change
from forwarder.membership.codec import Codec, Datagram, FormerIncarnationError
from forwarder.membership.commands import MembershipCommands
from forwarder.membership.datagram_socket import DatagramSocket
from forwarder.membership.gossip import GossipBridge
from forwarder.membership.protocol import MembershipProtocol
from forwarder.membership.settings import MembershipSettings, load_keys, load_seeds, parse_settings
from forwarder.membership.status import describe_quota, describe_view
from forwarder.membership.view import MemberPhase, MemberState, SocketAddress
from forwarder.runtime.extension import BaseExtension, ExtensionHost
from forwarder.runtime.startup_phase import StartupPhase
from forwarder.storage.lease import Lease
from forwarder.units import SECOND_US

VIEW_INTERVAL_S = 1.0
"""Maximum time between two views passed to the decisions: quotas change with the age of the view."""
MIN_STEP_S = 0.001
log = logging.getLogger("forwarder.membership")


@dataclass(frozen=True, slots=True)
class MembershipExtensionFactory:
    """Creates the extension from its settings."""

    settings: MembershipSettings
    descriptors: int = 2

    def __call__(self, host: ExtensionHost) -> MembershipExtension:
        """Creates the extension."""
        return MembershipExtension(host, self.settings)


def prepare(table: ExtensionTable, config: Config) -> MembershipExtensionFactory:
    """Reads the table `[members]`.

    Raises:
        ConfigError: a value is invalid; the text names the key.
    """
    return MembershipExtensionFactory(parse_settings(table, config))


class MembershipExtension(BaseExtension):
    """Runs the membership protocol of this forwarder with a timer and a socket."""

    name = "members"

    def __init__(self, host: ExtensionHost, settings: MembershipSettings) -> None:
        self.host = host
        self._settings = settings
        self.socket = DatagramSocket(Codec(settings.cluster, load_keys(settings.key_file)), self)
        self.protocol: MembershipProtocol | None = None
        self.timer: asyncio.TimerHandle | None = None
        self._last_view: FleetView | None = None
        self._next_view_s = 0.0
        self.quota: FleetQuota | None = None
        self._lease: Lease | None = None
        self.gossip: GossipBridge | None = None
        if settings.divide_quota:
            self._enable_quota_division()

    def _enable_quota_division(self) -> None:
        """Makes the decisions divide quotas by the members that are present."""
        host, settings = self.host, self._settings
        self._lease = Lease(host.config.state_folder, host.clock)
        self.quota = FleetQuota(
            host.config.settings.forwarders,
            settings.settle_us,
            settings.believe_us,
            settings.detect_us,
            settings.notify_us,
            leased_until_us=self._lease.read_end_us(settings.settle_us - settings.detect_us),
        )
        if settings.gossip_enabled:
            self.gossip = GossipBridge(host, self.quota, settings.notify_us, settings.query_us)
        else:
            host.dispatcher.extensions.append(FleetQuotaExtension(host.dispatcher, self.quota))

    @staticmethod
    def now_us() -> int:
        """Returns the protocol's time, in microseconds."""
        return time.monotonic_ns() // 1000

    # Start and stop

    async def open(self) -> None:
        """Binds the socket and starts the protocol.

        Raises:
            OSError: the address stays in use.
        """
        await self.socket.bind(self._settings.listen)
        identity, settings = self.host.identity, self._settings
        self.protocol = MembershipProtocol(
            self.host.config.name,
            (settings.advertise.host, settings.advertise.port),
            start_number=identity.start_count if identity is not None else 1,
            process_id=secrets.token_hex(4),
            timing=settings.timing,
            seed=secrets.randbits(32),
            now_us=self.now_us(),
            seeds=load_seeds(settings),
            version=__version__,
        )
        self.protocol.set_phase(self.now_us(), MemberPhase.RECOVERING)
        if self.gossip is not None:
            self.gossip.open(self.protocol, self.now_us())
        self._tick()

    def abort(self) -> None:
        """Stops at the end of the process.

        After SIGTERM, the other members are told that this one has left. After a hand-over they are not told, because
        the new process continues as the same member.
        """
        if self.protocol is not None and self.host.run_state.is_stopping and self.socket.is_bound:
            self.protocol.leave(self.now_us())
            self.flush()
        if self.timer is not None:
            self.timer.cancel()
        if self._lease is not None:
            self._lease.close()
        self.socket.close()

    def reload(self) -> None:
        """Reads seeds and keys again (SIGHUP). If that fails, the old ones stay in use."""
        try:
            keys = load_keys(self._settings.key_file)
            seeds = load_seeds(self._settings)
        except ConfigError as error:
            log.error("cannot reload the seeds and keys of [members], keeping the old ones: %s", error)
            return
        self.socket.codec.keys = keys
        if self.protocol is not None:
            self.protocol.set_seeds(seeds)
            self._arm()

    def start_draining(self) -> None:
        """Tells the other members that this forwarder drains its clients."""
        self._set_phase(MemberPhase.LEAVING)

    def stop_draining(self) -> None:
        """Tells the other members that the drain has ended."""
        self._set_phase(MemberPhase.SERVING)

    def _set_phase(self, phase: MemberPhase) -> None:
        if self.protocol is not None:
            self.protocol.set_phase(self.now_us(), phase)
            self.flush()

    # Datagrams

    @property
    def is_open(self) -> bool:
        """Whether the protocol is running."""
        return self.protocol is not None

    def receive(self, source: SocketAddress, datagram: Datagram) -> None:
        """Passes a datagram to the protocol."""
        if self.protocol is not None:
            self.protocol.receive(self.now_us(), source, datagram)

    def reject_former(self, source: SocketAddress, error: FormerIncarnationError) -> None:
        """Lets the protocol answer a datagram of a member's former incarnation."""
        if self.protocol is not None:
            self.protocol.reject_former(self.now_us(), source, error)

    def _tick(self) -> None:
        """Runs one step. If it raises, only this step is lost: the next one is scheduled."""
        if not self.host.supervisor.guard("members", self._step):
            self._arm()

    def _step(self) -> None:
        assert self.protocol is not None
        recovering = self.protocol.state.own_record.phase is MemberPhase.RECOVERING
        if recovering and self.host.startup_progress.phase is StartupPhase.SERVING:
            self.protocol.set_phase(self.now_us(), MemberPhase.SERVING)
        self.protocol.tick(self.now_us())
        self.flush()
        self.socket.log_drops()

    def _arm(self) -> None:
        """Sets the timer for the next step."""
        if self.protocol is None or not self.socket.is_bound:
            return
        if self.timer is not None:
            self.timer.cancel()
        delay_s = max(MIN_STEP_S, (self.protocol.next_step_us() - self.now_us()) / SECOND_US)
        self.timer = asyncio.get_running_loop().call_later(delay_s, self._tick)

    def flush(self) -> None:
        """Sends the protocol's outgoing datagrams, and reports its changes to the log and the decisions."""
        if self.protocol is None or not self.socket.is_bound:
            return
        if self.gossip is not None:
            self.gossip.step(self.now_us())
        for address, datagram in self.protocol.take_outbox():
            self.socket.send(address, datagram)
        for change in self.protocol.take_changes():
            log_change(self.protocol, change)
        if self.quota is not None:
            self._post_view(self.protocol)
        self._arm()

    # The decisions

    def apply_actions(self, actions: Iterable[Action]) -> None:
        """Renews the lease, and announces to the other members what this round has observed."""
        if self.quota is not None and self._lease is not None:
            self._lease.renew(self.quota.leased_until_us)
        if self.gossip is not None and self.protocol is not None:
            self.gossip.apply_actions(self.now_us(), actions)
            if self.protocol.state.outbox:
                self.flush()

    def _post_view(self, protocol: MembershipProtocol) -> None:
        """Passes the view to the decisions if it has changed or VIEW_INTERVAL_S has passed."""
        has_yielded = protocol.own_member.has_yielded
        view = FleetView(
            alive=frozenset(protocol.view.present()),
            left=frozenset(protocol.view.others_in(MemberState.LEFT)),
            stale=protocol.state.is_stale or has_yielded,
            has_rival=has_yielded,
        )
        if view != self._last_view or time.monotonic() >= self._next_view_s:
            self._last_view = view
            self._next_view_s = time.monotonic() + VIEW_INTERVAL_S
            self.host.post(FleetViewChanged(view))

    def describe_state(self) -> str:
        """Returns a short description of the state, for the log."""
        if self.protocol is None:
            return "not open"
        texts = [describe_view(self.protocol, self.socket.counts, self.socket.drops_logged)]
        if self.quota is not None:
            texts.append(describe_quota(self.quota, self.host.clock()))
        if self.gossip is not None:
            texts.append(self.gossip.describe_state())
        return "; ".join(texts)

    @property
    def commands(self) -> CommandTable:
        """Admin commands of the extension."""
        return MembershipCommands(self).table()
