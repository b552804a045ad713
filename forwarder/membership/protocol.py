"""Membership protocol of one forwarder, after SWIM and Lifeguard. Pure: `receive` and `tick` take the time.

Outgoing datagrams collect in the outbox, and changes of members in a list of changes. The parts are in modules of their
own: the failure detector, suspicions, dissemination, exchanges of the whole view, the own member, and queries for
gossip records.

There are two additions to the papers. Whole views are exchanged at the join and from time to time, also with failed
members, so that the parts of a split fleet find each other again. And a stall of the own process is detected by its
clock; the view from before the stall counts as stale until another member has answered.
"""

from __future__ import annotations

from collections.abc import Sequence

from forwarder.membership.codec import Datagram, FormerIncarnationError, MemberRow, member_row
from forwarder.membership.dissemination import MAX_QUEUE, Dissemination
from forwarder.membership.failure_detector import FailureDetector
from forwarder.membership.gossip_query import GossipQuery
from forwarder.membership.gossip_store import RecordKind
from forwarder.membership.node_state import MemberChanged, NodeState
from forwarder.membership.own_member import OwnMember
from forwarder.membership.record_updates import RecordUpdates
from forwarder.membership.suspicion import SuspicionTable
from forwarder.membership.synchronization import ViewSynchronization
from forwarder.membership.timing import Timing
from forwarder.membership.view import MemberPhase, MemberRecord, MembershipView, MemberState, SocketAddress, Source
from forwarder.units import SECOND_US

FORMER_REPLY_INTERVAL_US = SECOND_US
"""Minimum time between two replies to a member that uses a former incarnation."""
MIN_STEP_US = 1000
"""Minimum time between two steps."""


class MembershipProtocol:
    """Membership protocol of one forwarder: which members are present, which have failed, and what to send.

    Args:
        name: the forwarder's name.
        address: address at which other members reach it.
        start_number: number of its starts.
        process_id: random, drawn at each start; distinguishes two processes with the same name.
        timing: times and factors.
        seed: seed of all random choices.
        now_us: the current time by any monotonic clock, in microseconds.
        seeds: addresses to contact first; without any, this forwarder is alone and becomes alive at once.
        version: version of the program, shown to operators.
    """

    def __init__(
        self,
        name: str,
        address: SocketAddress,
        start_number: int,
        process_id: str,
        timing: Timing,
        seed: int,
        now_us: int,
        seeds: Sequence[SocketAddress] = (),
        version: str = "",
    ) -> None:
        self.state = NodeState(name, address, start_number, process_id, timing, seed, now_us, version)
        self.suspicions = SuspicionTable(self.state)
        self.dissemination = Dissemination(self.state, self.suspicions)
        self.records = RecordUpdates(self.state, self.suspicions, self.dissemination)
        self.failure_detector = FailureDetector(self.state, self.dissemination, self.records.suspect)
        self.synchronization = ViewSynchronization(self.state, self.dissemination, seeds)
        self.own_member = OwnMember(self.state, self.dissemination)
        self.query = GossipQuery(self.state, self.dissemination)
        self._last_step_us = now_us
        self._former_reply_at_us: dict[str, int] = {}
        self._handlers = {
            "ping": self._on_ping,
            "ack": self.failure_detector.on_ack,
            "nack": self.failure_detector.on_nack,
            "probe": self.failure_detector.on_probe_request,
            "join": self.synchronization.on_join,
            "full": self.synchronization.on_full,
            "former": self._on_former,
            "ask": self.query.on_query,
            "facts": self.query.on_records,
        }
        if not seeds:
            self.own_member.become_alive()

    @property
    def view(self) -> MembershipView:
        """All known members."""
        return self.state.view

    def take_outbox(self) -> list[tuple[SocketAddress, Datagram]]:
        """Returns the datagrams to be sent, and clears the outbox."""
        outbox = self.state.outbox
        self.state.outbox = []
        return outbox

    def take_changes(self) -> list[MemberChanged]:
        """Returns the changes of members since the last call."""
        changes = self.state.changes
        self.state.changes = []
        return changes

    # Time

    def next_step_us(self) -> int:
        """Returns the time at which `tick` should be called next."""
        times_us = [
            self.synchronization.next_sync_us,
            *self.failure_detector.step_times_us(),
            *(self.suspicions.ends_at_us(name) for name in self.suspicions.suspicions),
        ]
        if self.query.is_running:
            times_us.append(self.query.next_query_us)
        return max(min(times_us), self._last_step_us + MIN_STEP_US)

    def tick(self, now_us: int) -> None:
        """Runs everything that is due."""
        self._advance(now_us)
        if self.own_member.has_yielded:
            next_us = now_us + self.state.timing.sync_interval_us
            self.failure_detector.next_period_us = next_us
            self.synchronization.next_sync_us = next_us
            return
        self.failure_detector.check_probes()
        self.failure_detector.check_relayed_probes()
        self.records.fail_suspects()
        self.query.send_if_due()
        if now_us >= self.synchronization.next_sync_us:
            self.synchronization.sync()
        self.failure_detector.probe_next_if_due()

    def _advance(self, now_us: int) -> None:
        """Advances the time. After a stall, timeouts that expired in the meantime do not count against others."""
        elapsed_us = now_us - self._last_step_us
        self.state.now_us = now_us
        self._last_step_us = now_us
        if elapsed_us <= self.state.timing.stall_us:
            return
        self.state.counts["stalls"] += 1
        self.state.is_stale = True
        self.failure_detector.reset_after_stall()
        self.suspicions.postpone(elapsed_us)
        self.synchronization.next_sync_us = now_us

    # Datagrams

    def receive(self, now_us: int, source: SocketAddress, datagram: Datagram) -> None:
        """Handles one datagram that the codec has accepted."""
        self._advance(now_us)
        if self.own_member.has_yielded:
            return
        if datagram.sender == self.view.name:
            if datagram.process_id != self.state.process_id:
                self._on_rival(datagram)
            return
        self.state.is_stale = False
        if self.state.own_record.state is MemberState.JOINING and datagram.kind in ("ack", "full", "ping"):
            self.own_member.become_alive()
        sender = self.view.members.get(datagram.sender)
        if sender is not None:
            sender.last_heard_us = now_us
        for row in datagram.members:
            self._apply_row(row, datagram)
        store = self.state.gossip_store
        if store is not None and datagram.records:
            store.start_number = self.state.start_number
            store.merge(now_us, datagram.records)
        handler = self._handlers.get(datagram.kind)
        if handler is not None:  # kinds of later versions are ignored
            handler(source, datagram)

    def reject_former(self, now_us: int, source: SocketAddress, error: FormerIncarnationError) -> None:
        """Informs the sender of a datagram with a former incarnation: it may have lost its state folder."""
        self._advance(now_us)
        member = self.view.members.get(error.sender)
        last_us = self._former_reply_at_us.get(error.sender, -FORMER_REPLY_INTERVAL_US)
        if member is None or now_us - last_us < FORMER_REPLY_INTERVAL_US:
            return
        if len(self._former_reply_at_us) > MAX_QUEUE:
            self._former_reply_at_us.clear()
        self._former_reply_at_us[error.sender] = now_us
        self.dissemination.send(source, "former", error.request_number, target=member_row(member.record))

    def _on_ping(self, source: SocketAddress, datagram: Datagram) -> None:
        if datagram.sender not in self.view.members:
            self.synchronization.request(source)
        self.dissemination.send_with_gossip(source, "ack", datagram.request_number, recipient=datagram.sender)

    def _on_former(self, source: SocketAddress, datagram: Datagram) -> None:
        if datagram.target is not None and datagram.target.name == self.view.name:
            self._apply_own_record(datagram.target.record())

    def _on_rival(self, datagram: Datagram) -> None:
        self.own_member.on_rival(datagram.start_number, datagram.process_id)
        self._stop_if_yielded()

    # Records of members

    def _apply_row(self, row: MemberRow, datagram: Datagram) -> None:
        record = row.record()
        if record.name == self.view.name:
            self._apply_own_record(record)
            return
        source = Source.GOSSIP
        if record.name == datagram.sender:
            source = Source.ITSELF
        elif datagram.kind == "full":
            source = Source.FULL_EXCHANGE
        self.records.merge(record, source, datagram.sender)

    def _apply_own_record(self, record: MemberRecord) -> None:
        if self.own_member.on_record(record):
            self.failure_detector.adjust_health(1)
        self._stop_if_yielded()

    def _stop_if_yielded(self) -> None:
        if self.own_member.has_yielded:
            self.failure_detector.probes.clear()
            self.suspicions.suspicions.clear()
            self.dissemination.queue.clear()

    # Changes of this forwarder

    def set_phase(self, now_us: int, phase: MemberPhase) -> None:
        """Changes this forwarder's phase, and announces the change."""
        self._advance(now_us)
        if self.state.own_record.phase is not phase:
            self.own_member.update(phase=phase)

    def leave(self, now_us: int) -> None:
        """Leaves the fleet: sends this to some members at once, which pass it on."""
        self._advance(now_us)
        if self.state.own_record.state is MemberState.LEFT or self.own_member.has_yielded:
            return
        self.own_member.update(state=MemberState.LEFT)
        others = self.view.others_in(MemberState.ALIVE, MemberState.SUSPECT)
        count = min(len(others), 2 * self.state.timing.indirect_probes + 2)
        for name in self.state.random.sample(others, count):
            self.dissemination.send_with_gossip(self.state.address_of(name), "ping", self.state.next_request_number())

    def set_seeds(self, seeds: Sequence[SocketAddress]) -> None:
        """Replaces the seeds."""
        self.synchronization.set_seeds(seeds)

    def start_query(self, now_us: int, duration_us: int) -> None:
        """Queries other members for their gossip records until enough have answered or the duration has passed."""
        self._advance(now_us)
        self.query.start(duration_us)

    def announce(
        self,
        now_us: int,
        kind: RecordKind,
        subject: str,
        value_us: int = 0,
        lasted_us: int = 0,
        *,
        urgent: bool = False,
    ) -> None:
        """Adds an observation of this forwarder to the gossip. If urgent, sends it at once, not with the next probe."""
        self._advance(now_us)
        store = self.state.gossip_store
        if store is None or self.own_member.has_yielded:
            return
        store.start_number = self.state.start_number
        store.add_own(now_us, kind, subject, value_us, lasted_us)
        if not urgent:
            return
        others = self.view.others_in(MemberState.ALIVE)
        for name in self.state.random.sample(others, min(len(others), self.state.timing.indirect_probes)):
            self.dissemination.send_with_gossip(self.state.address_of(name), "facts")
