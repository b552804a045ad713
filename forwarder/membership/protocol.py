"""Membership of one forwarder, after SWIM and Lifeguard. Pure: `receive` and `tick` take the time.

What is to be sent gathers in the outbox, what has become of members in the list of changes. The parts are modules of
their own: the failure detector, suspicions, dissemination, exchanges of the whole view, the own member, and queries for
gossip records.

Beyond the papers: a full exchange at the join and now and then, also with members that failed, so that the parts of a
split meet again; a stop of the own process is noticed by its clock, and no view of before it is acted on until another
member has answered.
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
"""A member that comes with a former incarnation is told so at most this often."""
MIN_STEP_US = 1000
"""Least time between two steps."""


class MembershipProtocol:
    """Membership of one forwarder: who is present, who has failed, and what to send.

    Args:
        name: the forwarder's name.
        address: where others reach it.
        start_number: how often it was started.
        process_id: drawn at each start; tells two processes of one name apart.
        timing: times and factors.
        seed: for all random choices.
        now_us: the time, by any clock that goes on evenly.
        seeds: addresses that are asked first; without any, this forwarder is alone and alive at once.
        version: of the program, for operators.
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
        """All members that are known."""
        return self.state.view

    def take_outbox(self) -> list[tuple[SocketAddress, Datagram]]:
        """Returns the datagrams to be sent, and forgets them."""
        outbox = self.state.outbox
        self.state.outbox = []
        return outbox

    def take_changes(self) -> list[MemberChanged]:
        """Returns what has become of members since the last call."""
        changes = self.state.changes
        self.state.changes = []
        return changes

    # Time

    def next_step_us(self) -> int:
        """When `tick` is wanted next."""
        times_us = [
            self.synchronization.next_sync_us,
            *self.failure_detector.step_times_us(),
            *(self.suspicions.ends_at_us(name) for name in self.suspicions.suspicions),
        ]
        if self.query.is_running:
            times_us.append(self.query.next_query_us)
        return max(min(times_us), self._last_step_us + MIN_STEP_US)

    def tick(self, now_us: int) -> None:
        """Does what is due."""
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
        """The clock goes on. After a stop nothing that was due meanwhile is held against others."""
        passed_us = now_us - self._last_step_us
        self.state.now_us = now_us
        self._last_step_us = now_us
        if passed_us <= self.state.timing.stall_us:
            return
        self.state.counts["stalls"] += 1
        self.state.is_stale = True
        self.failure_detector.reset_after_stall()
        self.suspicions.postpone(passed_us)
        self.synchronization.next_sync_us = now_us

    # Datagrams

    def receive(self, now_us: int, source: SocketAddress, datagram: Datagram) -> None:
        """Takes in one datagram that the codec has let through."""
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
        if handler is not None:  # kinds of later versions are passed over
            handler(source, datagram)

    def reject_former(self, now_us: int, source: SocketAddress, error: FormerIncarnationError) -> None:
        """A datagram of a former incarnation came: its forwarder may have lost its folder, and is told."""
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
        source = Source.TOLD
        if record.name == datagram.sender:
            source = Source.ITSELF
        elif datagram.kind == "full":
            source = Source.MERGED
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

    # What this forwarder tells

    def set_phase(self, now_us: int, phase: MemberPhase) -> None:
        """This forwarder's phase has changed: all hear of it."""
        self._advance(now_us)
        if self.state.own_record.phase is not phase:
            self.own_member.update(phase=phase)

    def leave(self, now_us: int) -> None:
        """This forwarder goes for good: some hear it at once, and pass it on."""
        self._advance(now_us)
        if self.state.own_record.state is MemberState.LEFT or self.own_member.has_yielded:
            return
        self.own_member.update(state=MemberState.LEFT)
        others = self.view.others_in(MemberState.ALIVE, MemberState.SUSPECT)
        count = min(len(others), 2 * self.state.timing.indirect_probes + 2)
        for name in self.state.random.sample(others, count):
            self.dissemination.send_with_gossip(self.state.address_of(name), "ping", self.state.next_request_number())

    def set_seeds(self, seeds: Sequence[SocketAddress]) -> None:
        """New seeds hold from now on."""
        self.synchronization.set_seeds(seeds)

    def start_query(self, now_us: int, duration_us: int) -> None:
        """Asks some what they have heard, until some have answered or so much time has passed."""
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
        """This forwarder has seen something; what is urgent leaves at once, and does not wait for the next probe."""
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
