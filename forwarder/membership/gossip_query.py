"""Queries by which a forwarder that has lost its state folder gets the gossip records of the other members."""

from __future__ import annotations

from forwarder.membership.codec import Datagram
from forwarder.membership.dissemination import GOSSIP_BYTES, Dissemination
from forwarder.membership.node_state import NodeState
from forwarder.membership.view import PRESENT, SocketAddress

MAX_QUERY_DATAGRAMS = 8
"""Maximum number of datagrams in the answer to one query."""
QUERY_RETRY_US = 250_000
"""Interval at which further members are asked while too few have answered."""
MEMBERS_PER_QUERY = 3
ANSWERS_NEEDED = 3
"""Number of answers that end the query; in a smaller fleet, all other members must answer."""


class GossipQuery:
    """Queries other members for all their records, and answers such queries."""

    def __init__(self, state: NodeState, dissemination: Dissemination) -> None:
        self._state = state
        self._dissemination = dissemination
        self._until_us = -1
        self.next_query_us = 0
        self.answered: set[str] = set()
        """Names of the members that have sent their records. A member that runs a query itself does not answer."""

    @property
    def is_running(self) -> bool:
        """Whether this forwarder still waits for answers."""
        return self._state.now_us < self._until_us and not self._has_enough_answers()

    def _has_enough_answers(self) -> bool:
        others = self._state.view.others_in(*PRESENT)
        enough = len(self.answered) >= min(ANSWERS_NEEDED, len(others))
        return bool(self.answered) and enough and not self._state.is_stale

    def start(self, duration_us: int) -> None:
        """Starts a query, which ends when enough members have answered or the duration has passed."""
        self._until_us = self._state.now_us + duration_us
        self.next_query_us = self._state.now_us

    def send_if_due(self) -> None:
        """Asks some members that have not answered yet, if the retry interval has passed."""
        state = self._state
        if not self.is_running or state.now_us < self.next_query_us:
            return
        self.next_query_us = state.now_us + QUERY_RETRY_US
        others = [name for name in state.view.others_in(*PRESENT) if name not in self.answered]
        for name in state.random.sample(others, min(len(others), MEMBERS_PER_QUERY)):
            self._dissemination.send(state.address_of(name), "ask", state.next_request_number())

    def on_query(self, source: SocketAddress, datagram: Datagram) -> None:
        """Answers a query, unless this forwarder runs a query itself or has not heard from any member yet."""
        store = self._state.gossip_store
        if store is None or self.is_running or self._state.is_stale:
            return
        parts = store.all_rows(self._state.now_us, datagram.sender, GOSSIP_BYTES, MAX_QUERY_DATAGRAMS)
        for number, part in enumerate(parts, 1):
            last = number == len(parts)
            answer = self._dissemination.send(source, "facts", datagram.request_number if last else 0)
            answer.records = part

    def on_records(self, source: SocketAddress, datagram: Datagram) -> None:
        """Handles a part of an answer. Only the last part carries the number of its request."""
        if datagram.request_number:
            self.answered.add(datagram.sender)
