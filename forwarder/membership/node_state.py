"""What the parts of one forwarder's membership protocol share."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

from forwarder.membership.codec import Datagram
from forwarder.membership.gossip_store import GossipStore
from forwarder.membership.timing import Timing
from forwarder.membership.view import (
    INCARNATIONS_PER_START,
    Member,
    MemberPhase,
    MemberRecord,
    MembershipView,
    MemberState,
    SocketAddress,
    Source,
)


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member's state has changed, for whoever follows the view."""

    member: Member
    previous_state: MemberState | None
    """None for a member that was not known before."""


class NodeState:
    """One forwarder's view of the fleet, its clock and random numbers, and what it wants sent and told.

    Attributes:
        now_us: time of the current step, in microseconds.
        is_stale: nobody has answered since the start, or since the process stood still.
        outbox: datagrams to be sent, each with its address.
        changes: changes of the view that nobody has been told of yet.
        counts: events by name, for the state line and for operators.
        gossip_store: records that ride along with the datagrams, where an extension wants them to.
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
        version: str,
    ) -> None:
        self.process_id = process_id
        self.timing = timing
        self.random = random.Random(seed)
        self.now_us = now_us
        self.view = MembershipView(name)
        record = MemberRecord(
            name,
            address,
            start_number * INCARNATIONS_PER_START,
            MemberState.JOINING,
            process_id,
            MemberPhase.SERVING,
            version,
        )
        self.view.members[name] = Member(record, now_us, Source.OWN)
        self.is_stale = True
        self.outbox: list[tuple[SocketAddress, Datagram]] = []
        self.changes: list[MemberChanged] = []
        self.counts: Counter[str] = Counter()
        self.gossip_store: GossipStore | None = None
        self._request_number = self.random.randrange(1 << 32)

    @property
    def name(self) -> str:
        """This forwarder's name."""
        return self.view.name

    @property
    def own_record(self) -> MemberRecord:
        """What this forwarder tells of itself."""
        return self.view.members[self.view.name].record

    @property
    def start_number(self) -> int:
        """How often this forwarder was started; part of its incarnation."""
        return self.own_record.incarnation // INCARNATIONS_PER_START

    def size(self) -> int:
        """Number of members that are not known to be gone, this one included."""
        return max(1, len(self.view.present()))

    def next_request_number(self) -> int:
        """Returns a number by which an answer is matched to its request."""
        self._request_number += 1
        return self._request_number

    def address_of(self, name: str) -> SocketAddress:
        """Address of a member that is in the view."""
        return self.view.members[name].record.address
