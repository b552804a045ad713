"""State that the parts of one forwarder's membership protocol share."""

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
    """A change of a member's record."""

    member: Member
    previous_state: MemberState | None
    """None if the member was not known before."""


class NodeState:
    """One forwarder's view of the fleet, its clock and random numbers, and its pending datagrams and changes.

    Attributes:
        now_us: time of the current step, in microseconds.
        is_stale: no member has answered since the start, or since the process was last stalled.
        outbox: datagrams to be sent, each with its destination address.
        changes: changes of the view that `take_changes` has not returned yet.
        counts: events by name, for the state line and the admin interface.
        gossip_store: records that are piggybacked on the datagrams; None if gossip is off.
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
        self.view.members[name] = Member(record, now_us, Source.LOCAL)
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
        """This forwarder's own record."""
        return self.view.members[self.view.name].record

    @property
    def start_number(self) -> int:
        """Number of starts of this forwarder; part of its incarnation."""
        return self.own_record.incarnation // INCARNATIONS_PER_START

    def size(self) -> int:
        """Returns the number of present members, including this one."""
        return max(1, len(self.view.present()))

    def next_request_number(self) -> int:
        """Returns a new number that matches an answer to its request."""
        self._request_number += 1
        return self._request_number

    def address_of(self, name: str) -> SocketAddress:
        """Returns the address of a member in the view."""
        return self.view.members[name].record.address
