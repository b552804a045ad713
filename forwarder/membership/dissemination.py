"""Dissemination: changes of the view ride on datagrams, the least often sent first (SWIM 4.1)."""

from __future__ import annotations

import math
from collections.abc import Container

from forwarder.membership.codec import MAX_DATAGRAM_BYTES, MAX_ROWS, TAG_BYTES, Datagram, MemberRow, member_row
from forwarder.membership.node_state import NodeState
from forwarder.membership.view import SocketAddress

GOSSIP_BYTES = MAX_DATAGRAM_BYTES - TAG_BYTES - 220
"""Bytes for members and records in a datagram, beside the rest of it."""
RECORD_BYTES = 300
"""Of those, bytes kept for gossip records while there are some: where many members start at once, their rows would
fill every datagram."""
MAX_QUEUE = 2000
"""Members whose change is waiting to be sent on."""
DIGEST_PREFIX = 8
"""Characters of the view's digest that travel with a full view."""


class Dissemination:
    """Queues changes and puts them into the datagrams that leave."""

    def __init__(self, state: NodeState, suspected: Container[str]) -> None:
        """`suspected` has the names of members under suspicion: such a member is told so before all else."""
        self._state = state
        self._suspected = suspected
        self.queue: dict[str, int] = {}
        """Members whose change is to be sent on, and how often it was sent."""

    def enqueue(self, name: str) -> None:
        """A member has changed: its record is sent on from now on. A full queue drops what was sent most often."""
        if len(self.queue) >= MAX_QUEUE and name not in self.queue:
            del self.queue[max(self.queue, key=lambda queued: self.queue[queued])]
        self.queue[name] = 0

    def send(
        self,
        address: SocketAddress,
        kind: str,
        request_number: int = 0,
        *,
        target: MemberRow | None = None,
        members: list[MemberRow] | None = None,
    ) -> Datagram:
        """Puts a datagram into the outbox and returns it."""
        state = self._state
        datagram = Datagram(
            kind,
            state.name,
            state.start_number,
            process_id=state.process_id,
            request_number=request_number,
            target=target,
            members=members or [],
            digest=state.view.digest()[:DIGEST_PREFIX] if kind == "full" else "",
        )
        state.outbox.append((address, datagram))
        return datagram

    def send_with_gossip(
        self,
        address: SocketAddress,
        kind: str,
        request_number: int = 0,
        *,
        target: MemberRow | None = None,
        recipient: str = "",
    ) -> None:
        """As `send`, with as many changes and gossip records as fit.

        Args:
            address: where it goes.
            kind: what it asks or answers.
            request_number: by which an answer is matched to its request.
            target: the member that it is about.
            recipient: name of the member it goes to, where that is known: one under suspicion hears so first
                (Lifeguard IV-C).
        """
        datagram = self.send(address, kind, request_number, target=target)
        datagram.members = self._pack(recipient)
        store = self._state.gossip_store
        if store is not None:
            free_bytes = GOSSIP_BYTES - sum(row_bytes(row) for row in datagram.members)
            if target is not None:
                free_bytes -= row_bytes(target)
            datagram.records = store.next_rows(self._state.now_us, free_bytes, self._state.size())

    def _pack(self, recipient: str) -> list[MemberRow]:
        members = self._state.view.members
        store = self._state.gossip_store
        free_bytes = GOSSIP_BYTES
        rows: list[MemberRow] = []
        if store is not None and store.queue:
            free_bytes -= RECORD_BYTES
        if recipient in self._suspected:
            rows.append(member_row(members[recipient].record))
            free_bytes -= row_bytes(rows[0])
        max_sends = math.ceil(self._state.timing.retransmit_factor * math.log2(self._state.size() + 1))
        for name in sorted(self.queue, key=lambda queued: self.queue[queued]):
            if name == recipient and rows:
                continue
            row = member_row(members[name].record)
            if row_bytes(row) > free_bytes or len(rows) >= MAX_ROWS:
                break
            free_bytes -= row_bytes(row)
            rows.append(row)
            self.queue[name] += 1
            if self.queue[name] >= max_sends:
                del self.queue[name]
        return rows


def row_bytes(row: MemberRow) -> int:
    """Bytes that a row takes in a datagram, rounded up."""
    texts = len(row.name.encode()) + len(row.host) + len(row.process_id) + len(row.version)
    return 36 + texts + len(row.suspected_by.encode())
