"""Exchange of whole views at the join and from time to time, so that the parts of a split fleet find each other again.

Failed members and the seeds, which are addresses from the settings, are asked as well.
"""

from __future__ import annotations

from collections.abc import Sequence

from forwarder.membership.codec import MAX_ROWS, Datagram, MemberRow, member_row
from forwarder.membership.dissemination import DIGEST_PREFIX, GOSSIP_BYTES, Dissemination, row_bytes
from forwarder.membership.node_state import NodeState
from forwarder.membership.view import PRESENT, MemberState, SocketAddress

JOIN_PERIODS = 10
"""Number of periods after the start that have an exchange each, so that members that start together find each other."""
MAX_SEEDS_ASKED = 8
PRESENT_MEMBER_PROBABILITY = 0.5
"""Probability that a present member is asked instead of a failed one."""
SEEDS_PROBABILITY = 0.2
"""Probability that the seeds are asked although other members are known."""


class ViewSynchronization:
    """Requests whole views from other members, and sends this forwarder's."""

    def __init__(self, state: NodeState, dissemination: Dissemination, seeds: Sequence[SocketAddress]) -> None:
        self._state = state
        self._dissemination = dissemination
        self._seeds = list(seeds)
        self._joining_until_us = state.now_us + JOIN_PERIODS * state.timing.period_us
        self.next_sync_us = state.now_us

    def set_seeds(self, seeds: Sequence[SocketAddress]) -> None:
        """Replaces the seeds; an exchange is due at once."""
        self._seeds = list(seeds)
        self.next_sync_us = self._state.now_us

    def sync(self) -> None:
        """Requests the view of another member, which may be a failed one, and of the seeds if needed."""
        state = self._state
        state.view.forget_expired(state.now_us)
        present = state.view.others_in(*PRESENT)
        failed = state.view.others_in(MemberState.FAILED)
        self.next_sync_us = self._draw_next_us(alone=not present)
        addresses = [state.address_of(name) for name in self._draw_partners(present, failed)]
        if state.is_stale or not present or state.random.random() < SEEDS_PROBABILITY:
            other_seeds = [seed for seed in self._seeds if seed != state.own_record.address]
            addresses += other_seeds[:MAX_SEEDS_ASKED]
        for address in dict.fromkeys(addresses):
            self.request(address)

    def _draw_next_us(self, *, alone: bool) -> int:
        state, timing = self._state, self._state.timing
        next_us = state.now_us + timing.sync_interval_us // 2 + state.random.randrange(timing.sync_interval_us)
        if state.is_stale or alone or state.now_us < self._joining_until_us:
            return state.now_us + timing.period_us + state.random.randrange(timing.period_us)
        return next_us

    def _draw_partners(self, present: list[str], failed: list[str]) -> list[str]:
        state = self._state
        among_present = state.random.sample(present, min(len(present), 2 if state.is_stale else 1))
        among_failed = state.random.sample(failed, min(len(failed), 1))
        if present and state.random.random() < PRESENT_MEMBER_PROBABILITY:
            return among_present
        return among_failed or present[:1]

    def request(self, address: SocketAddress) -> None:
        """Requests the whole view of the member at an address."""
        own_row = member_row(self._state.own_record)
        self._dissemination.send(address, "join", self._state.next_request_number(), members=[own_row])

    def on_join(self, source: SocketAddress, datagram: Datagram) -> None:
        """Answers a request for the whole view. The requester's own record was merged before."""
        self._send_view(source, datagram.request_number)

    def on_full(self, source: SocketAddress, datagram: Datagram) -> None:
        """Handles a part of another member's view. If the last part shows a difference, sends this forwarder's view."""
        if datagram.request_number and datagram.digest != self._state.view.digest()[:DIGEST_PREFIX]:
            self._send_view(source, 0)

    def _send_view(self, address: SocketAddress, request_number: int) -> None:
        """Sends the whole view in as many datagrams as needed; the last one requests the receiver's if it differs."""
        state = self._state
        rows: list[MemberRow] = []
        parts = [rows]
        free_bytes = GOSSIP_BYTES
        for name in sorted(state.view.members, key=lambda _: state.random.random()):
            row = member_row(state.view.members[name].record)
            if row_bytes(row) > free_bytes or len(rows) >= MAX_ROWS:
                rows = []
                free_bytes = GOSSIP_BYTES
                parts.append(rows)
            rows.append(row)
            free_bytes -= row_bytes(row)
        for part in parts[:-1]:
            self._dissemination.send(address, "full", 0, members=part)
        self._dissemination.send(address, "full", request_number, members=parts[-1])
