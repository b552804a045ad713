"""Membership as an extension: its socket, its timer, and what operators are told. It decides nothing."""

from __future__ import annotations

import asyncio
import logging
import secrets
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import cast

from forwarder import __version__
from forwarder.admin.server import CommandTable
from forwarder.config.config import Config, ConfigError
from forwarder.config.extensions_file import ExtensionTable
from forwarder.decisions.actions import Action
from forwarder.decisions.fleet_messages import FleetView, FleetViewChanged
from forwarder.decisions.fleet_quota import FleetQuota, FleetQuotaExtension
from forwarder.membership.change_log import log_change
from forwarder.membership.codec import Codec, Datagram, DatagramRejectedError, FormerIncarnationError
from forwarder.membership.commands import MembershipCommands
from forwarder.membership.gossip import GossipBridge
from forwarder.membership.protocol import MembershipProtocol
from forwarder.membership.rate_limiter import DatagramRateLimiter
from forwarder.membership.settings import MembershipSettings, load_keys, load_seeds, parse_settings
from forwarder.membership.status import describe_quota, describe_view
from forwarder.membership.view import MemberPhase, MemberState, SocketAddress
from forwarder.runtime.extension import BaseExtension, ExtensionHost
from forwarder.runtime.startup_phase import StartupPhase
from forwarder.storage.lease import Lease
from forwarder.units import SECOND_US

DROP_LOG_INTERVAL_S = 10.0
VIEW_INTERVAL_S = 1.0
"""The decisions get the view this often at least, since quotas change with its age."""
BIND_TIMEOUT_S = 3.0
BIND_RETRY_S = 0.05
MIN_STEP_S = 0.001
DROPPED = "dropped: "
"""Begins the name under which datagrams are counted that were not taken or not sent."""
log = logging.getLogger("forwarder.membership")


@dataclass(frozen=True, slots=True)
class MembershipExtensionFactory:
    """Makes the extension from its table."""

    settings: MembershipSettings
    descriptors: int = 2

    def __call__(self, host: ExtensionHost) -> MembershipExtension:
        """Makes the extension."""
        return MembershipExtension(host, self.settings)


def prepare(table: ExtensionTable, config: Config) -> MembershipExtensionFactory:
    """Reads the table `[members]`.

    Raises:
        ConfigError: it cannot hold; the text names the key.
    """
    return MembershipExtensionFactory(parse_settings(table, config))


class MembershipExtension(BaseExtension, asyncio.DatagramProtocol):
    """The socket of one forwarder, and the protocol behind it."""

    name = "members"

    def __init__(self, host: ExtensionHost, settings: MembershipSettings) -> None:
        self.host = host
        self._settings = settings
        self.codec = Codec(settings.cluster, load_keys(settings.key_file))
        self._rate_limiter = DatagramRateLimiter()
        self.protocol: MembershipProtocol | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self._is_paused = False
        self.counts: Counter[str] = Counter()
        self._drops_logged_at_s = time.monotonic()
        self._drops_logged = 0
        self._last_view: FleetView | None = None
        self._next_view_s = 0.0
        self.quota: FleetQuota | None = None
        self._lease: Lease | None = None
        self.gossip: GossipBridge | None = None
        if settings.divide_quota:
            self._follow_view()

    def _follow_view(self) -> None:
        """From now on the decisions divide quotas by who is present."""
        host, settings = self.host, self._settings
        self._lease = Lease(host.config.state_folder, host.clock)
        self.quota = FleetQuota(
            host.config.settings.forwarders,
            settings.settle_us,
            settings.believe_us,
            settings.detect_us,
            settings.notify_us,
            leased_until=self._lease.read_end_us(settings.settle_us - settings.detect_us),
        )
        if settings.gossip_enabled:
            self.gossip = GossipBridge(host, self.quota, settings.notify_us, settings.query_us)
        else:
            host.dispatcher.extensions.append(FleetQuotaExtension(host.dispatcher, self.quota))

    @staticmethod
    def now_us() -> int:
        """Time of the protocol, in microseconds."""
        return time.monotonic_ns() // 1000

    # Start and end

    async def open(self) -> None:
        """Binds the socket, and begins to look for the others.

        Raises:
            OSError: the address is taken for long.
        """
        await self._bind()
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

    async def _bind(self) -> None:
        """Another process may have the address until an upgrade is over."""
        loop = asyncio.get_running_loop()
        local_address = (self._settings.listen.host, self._settings.listen.port)
        deadline_s = time.monotonic() + BIND_TIMEOUT_S
        while True:
            try:
                await loop.create_datagram_endpoint(lambda: self, local_addr=local_address)
            except OSError:
                if time.monotonic() > deadline_s:
                    raise
            else:
                return
            await asyncio.sleep(BIND_RETRY_S)

    def abort(self) -> None:
        """The process ends. After SIGTERM the others hear that it has left; a process that takes over goes on."""
        if self.protocol is not None and self.host.run_state.is_stopping and self._transport is not None:
            self.protocol.leave(self.now_us())
            self._flush()
        if self.timer is not None:
            self.timer.cancel()
        if self._lease is not None:
            self._lease.close()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def reload(self) -> None:
        """Reads seeds and keys again (SIGHUP); what cannot be read leaves them as they were."""
        try:
            keys = load_keys(self._settings.key_file)
            seeds = load_seeds(self._settings)
        except ConfigError as error:
            log.error("members are left as they were: %s", error)
            return
        self.codec.keys = keys
        if self.protocol is not None:
            self.protocol.set_seeds(seeds)
            self._arm()

    def start_draining(self) -> None:
        """The others hear that clients are drained here."""
        self._set_phase(MemberPhase.LEAVING)

    def stop_draining(self) -> None:
        """The others hear that the drain is over."""
        self._set_phase(MemberPhase.SERVING)

    def _set_phase(self, phase: MemberPhase) -> None:
        if self.protocol is not None:
            self.protocol.set_phase(self.now_us(), phase)
            self._flush()

    # Datagrams

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is bound."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def pause_writing(self) -> None:
        """The socket's buffer is full: datagrams are dropped, as a network would."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """The socket takes datagrams again."""
        self._is_paused = False

    def datagram_received(self, data: bytes, source: SocketAddress) -> None:
        """Takes in one datagram, if its sender may send and it is sound."""
        if self.protocol is None:
            return
        self.counts["received"] += 1
        if not self._rate_limiter.admits(source[0], time.monotonic()):
            self.counts[f"{DROPPED}too much from one address"] += 1
            return
        try:
            datagram = self.codec.open(data)
        except FormerIncarnationError as former:
            self.counts[f"{DROPPED}{former}"] += 1
            self.protocol.reject_former(self.now_us(), source, former)
        except DatagramRejectedError as rejected:
            self.counts[f"{DROPPED}{rejected}"] += 1
        else:
            self.protocol.receive(self.now_us(), source, datagram)
        self._flush()

    def error_received(self, error: Exception) -> None:
        """Counts errors of the socket; a datagram that is lost is sent again by the protocol."""
        self.counts[f"socket: {type(error).__name__}"] += 1

    def _tick(self) -> None:
        """Takes one step. A failure costs this step, and not the membership."""
        if not self.host.supervisor.guard("members", self._step):
            self._arm()

    def _step(self) -> None:
        assert self.protocol is not None
        recovering = self.protocol.state.own_record.phase is MemberPhase.RECOVERING
        if recovering and self.host.startup_progress.phase is StartupPhase.SERVING:
            self.protocol.set_phase(self.now_us(), MemberPhase.SERVING)
        self.protocol.tick(self.now_us())
        self._flush()
        self._log_drops()

    def _arm(self) -> None:
        """Sets the timer for the next step."""
        if self.protocol is None or self._transport is None:
            return
        if self.timer is not None:
            self.timer.cancel()
        delay_s = max(MIN_STEP_S, (self.protocol.next_step_us() - self.now_us()) / SECOND_US)
        self.timer = asyncio.get_running_loop().call_later(delay_s, self._tick)

    def _flush(self) -> None:
        """Sends what the protocol wants sent, and tells what it has learned."""
        if self.protocol is None or self._transport is None:
            return
        if self.gossip is not None:
            self.gossip.step(self.now_us())
        for address, datagram in self.protocol.take_outbox():
            self._send(self._transport, address, datagram)
        for change in self.protocol.take_changes():
            log_change(self.protocol, change)
        if self.quota is not None:
            self._post_view(self.protocol)
        self._arm()

    def _send(self, transport: asyncio.DatagramTransport, address: SocketAddress, datagram: Datagram) -> None:
        if self._is_paused:
            self.counts[f"{DROPPED}no room to send"] += 1
            return
        data = self.codec.seal(datagram)
        self.counts["sent"] += 1
        self.counts["bytes sent"] += len(data)
        transport.sendto(data, address)

    # The decisions

    def apply_actions(self, actions: Iterable[Action]) -> None:
        """Keeps the lease, and tells the others what a round has observed."""
        if self.quota is not None and self._lease is not None:
            self._lease.renew(self.quota.leased_until)
        if self.gossip is not None and self.protocol is not None:
            self.gossip.apply_actions(self.now_us(), actions)
            if self.protocol.state.outbox:
                self._flush()

    def _post_view(self, protocol: MembershipProtocol) -> None:
        """Tells the decisions of a view that has changed, or grown older."""
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

    # The log

    def _log_drops(self) -> None:
        """Writes one line an interval at most, whatever comes."""
        drops = {what: count for what, count in sorted(self.counts.items()) if what.startswith(DROPPED)}
        total = sum(drops.values())
        if total == self._drops_logged or time.monotonic() - self._drops_logged_at_s <= DROP_LOG_INTERVAL_S:
            return
        reasons = ", ".join(f"{count} {what.removeprefix(DROPPED)}" for what, count in drops.items())
        log.warning("datagrams not heard: %s", reasons)
        self._drops_logged_at_s = time.monotonic()
        self._drops_logged = total

    def describe_state(self) -> str:
        """Returns its state in a few words, for the log."""
        if self.protocol is None:
            return "not open"
        texts = [describe_view(self.protocol, self.counts, self._drops_logged)]
        if self.quota is not None:
            texts.append(describe_quota(self.quota, self.host.clock()))
        if self.gossip is not None:
            texts.append(self.gossip.describe_state())
        return "; ".join(texts)

    @property
    def commands(self) -> CommandTable:
        """Commands for operators."""
        return MembershipCommands(self).table()
