"""Dissemination: changes of the view are piggybacked on datagrams, those sent least often first (SWIM 4.1)."""

from __future__ import annotations

import math
from collections.abc import Container

from forwarder.membership.codec import MAX_DATAGRAM_BYTES, MAX_ROWS, TAG_BYTES, Datagram, MemberRow, member_row
from forwarder.membership.node_state import NodeState
from forwarder.membership.view import SocketAddress

GOSSIP_BYTES = MAX_DATAGRAM_BYTES - TAG_BYTES - 220
"""Bytes of a datagram that are available for member rows and gossip records."""
RESERVED_RECORD_BYTES = 300
"""Part of GOSSIP_BYTES that is reserved for gossip records while some are queued. Without it, the rows of many members
that start at once would fill every datagram."""
MAX_QUEUE = 2000
"""Maximum number of members whose change is waiting to be sent."""
DIGEST_PREFIX = 8
"""Characters of the view's digest that are sent with a full view."""


class Dissemination:
    """Queues changes of members and adds them to outgoing datagrams."""

    def __init__(self, state: NodeState, suspected: Container[str]) -> None:
        """`suspected` contains the names of suspected members; datagrams to such a member carry the suspicion first."""
        self._state = state
        self._suspected = suspected
        self.queue: dict[str, int] = {}
        """Number of times each queued change was sent, by member name."""

    def enqueue(self, name: str) -> None:
        """Queues the record of a member that has changed. A full queue drops the change that was sent most often."""
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
        """Appends a datagram to the outbox and returns it."""
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
        """Sends a datagram like `send`, with as many changes and gossip records as fit.

        Args:
            address: address of the recipient.
            kind: kind of the datagram.
            request_number: matches an answer to its request.
            target: the member that the datagram is about.
            recipient: name of the recipient, if known. If it is suspected, the suspicion is the first row, so that the
                recipient can refute it (Lifeguard IV-C).
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
            free_bytes -= RESERVED_RECORD_BYTES
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
    """Returns an upper bound on the bytes that a row takes in a datagram."""
    texts = len(row.name.encode()) + len(row.host) + len(row.process_id) + len(row.version)
    return 36 + texts + len(row.suspected_by.encode())
