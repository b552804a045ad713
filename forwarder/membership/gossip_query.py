"""A forwarder that has lost its folder asks the others for the gossip records that they have."""

from __future__ import annotations

from forwarder.membership.codec import Datagram
from forwarder.membership.dissemination import GOSSIP_BYTES, Dissemination
from forwarder.membership.node_state import NodeState
from forwarder.membership.view import PRESENT, SocketAddress

MAX_QUERY_DATAGRAMS = 8
"""Datagrams in which one that asks is told all records, at most."""
QUERY_RETRY_US = 250_000
"""Some more are asked after this, while too few have answered."""
ASKED_AT_ONCE = 3
ANSWERS_NEEDED = 3
"""Answers that are enough; of a smaller fleet, all."""


class GossipQuery:
    """Asks others for all their records, and answers those that ask."""

    def __init__(self, state: NodeState, dissemination: Dissemination) -> None:
        self._state = state
        self._dissemination = dissemination
        self._until_us = -1
        self.next_query_us = 0
        self.answered: set[str] = set()
        """Who has told its records; one that asks itself does not."""

    @property
    def is_running(self) -> bool:
        """Whether this forwarder still waits for what others know."""
        return self._state.now_us < self._until_us and not self._has_enough_answers()

    def _has_enough_answers(self) -> bool:
        others = self._state.view.others_in(*PRESENT)
        enough = len(self.answered) >= min(ANSWERS_NEEDED, len(others))
        return bool(self.answered) and enough and not self._state.is_stale

    def start(self, duration_us: int) -> None:
        """Begins to ask, until some have answered or so much time has passed."""
        self._until_us = self._state.now_us + duration_us
        self.next_query_us = self._state.now_us

    def send_if_due(self) -> None:
        """Asks some that have not answered yet."""
        state = self._state
        if not self.is_running or state.now_us < self.next_query_us:
            return
        self.next_query_us = state.now_us + QUERY_RETRY_US
        others = [name for name in state.view.others_in(*PRESENT) if name not in self.answered]
        for name in state.random.sample(others, min(len(others), ASKED_AT_ONCE)):
            self._dissemination.send(state.address_of(name), "ask", state.next_request_number())

    def on_query(self, source: SocketAddress, datagram: Datagram) -> None:
        """Another asks; who asks itself, or has heard nothing yet, does not answer."""
        store = self._state.gossip_store
        if store is None or self.is_running or self._state.is_stale:
            return
        parts = store.all_rows(self._state.now_us, datagram.sender, GOSSIP_BYTES, MAX_QUERY_DATAGRAMS)
        for number, part in enumerate(parts, 1):
            last = number == len(parts)
            answer = self._dissemination.send(source, "facts", datagram.request_number if last else 0)
            answer.records = part

    def on_records(self, source: SocketAddress, datagram: Datagram) -> None:
        """The last part of an answer carries the number of its request."""
        if datagram.request_number:
            self.answered.add(datagram.sender)
