"""Failure detection: one member is probed in each period, at first directly and then through others (SWIM 3.1, 4.3).

No answer by the end of the period: the member is suspected. A forwarder that finds itself slow, since probes fail,
helpers do not even say no, or it is suspected wrongly, gives others more time (Lifeguard IV-A).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from forwarder.membership.codec import Datagram, member_row
from forwarder.membership.dissemination import Dissemination
from forwarder.membership.node_state import NodeState
from forwarder.membership.view import PRESENT, MemberRecord, MemberState, SocketAddress

MAX_PENDING_PROBES = 64
"""Probes of this forwarder's own, and likewise those for others, that wait for an answer."""
MAX_HEALTH_MULTIPLIER = 8
"""Most of the Local Health Multiplier (Lifeguard IV-A)."""
NO_HELPERS = -1
"""Stands for the number of helpers where there was nobody to ask."""


@dataclass(slots=True)
class Probe:
    """A probe that waits for its answer."""

    target: str
    sent_at_us: int
    expires_at_us: int
    """When it counts as failed."""
    indirect_at_us: int
    """When others are asked to probe too."""
    helpers: int = 0
    """How many were asked; 0 before that."""
    nacks: int = 0
    """How many of them have said that they got no answer either."""


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe that is made for another member."""

    requester: SocketAddress
    request_number: int
    """The requester's own number for it."""
    expires_at_us: int
    """When the requester is told that no answer came."""


class FailureDetector:
    """Probes members, for itself and for others, and tells which have not answered."""

    def __init__(
        self, state: NodeState, dissemination: Dissemination, on_no_answer: Callable[[MemberRecord, str], None]
    ) -> None:
        """`on_no_answer` is called with a record that says suspected, and the name of who suspects."""
        self._state = state
        self._dissemination = dissemination
        self._on_no_answer = on_no_answer
        self.next_period_us = state.now_us + state.random.randrange(state.timing.period_us)
        self.health_multiplier = 0
        """How slow this forwarder finds itself."""
        self.probes: dict[int, Probe] = {}
        """By request number."""
        self.relayed_probes: dict[int, RelayedProbe] = {}
        """By request number."""
        self._round: list[str] = []
        """Members that are still to be probed in this round."""

    def step_times_us(self) -> list[int]:
        """When something becomes due."""
        return [
            self.next_period_us,
            *(probe.expires_at_us for probe in self.probes.values()),
            *(probe.indirect_at_us for probe in self.probes.values() if not probe.helpers),
            *(relayed.expires_at_us for relayed in self.relayed_probes.values()),
        ]

    def reset_after_stall(self) -> None:
        """The process stood still: what was due meanwhile is not held against others."""
        self.health_multiplier = MAX_HEALTH_MULTIPLIER
        self.probes.clear()
        self.relayed_probes.clear()
        self.next_period_us = self._state.now_us + self._state.timing.period_us

    def adjust_health(self, change: int) -> None:
        """Counts a sign that this forwarder is slow (more than 0), or that it is not."""
        self.health_multiplier = max(0, min(MAX_HEALTH_MULTIPLIER, self.health_multiplier + change))

    def _scaled_us(self, base_us: int) -> int:
        return base_us * (1 + self.health_multiplier)

    # Own probes

    def probe_next_if_due(self) -> None:
        """Probes the next member of a shuffled round over all (SWIM 4.3): each is probed within two rounds."""
        state = self._state
        if state.now_us < self.next_period_us:
            return
        self.next_period_us = state.now_us + state.timing.period_us
        target = self._next_target()
        if target is None or len(self.probes) >= MAX_PENDING_PROBES:
            return
        self._round.pop()
        request_number = state.next_request_number()
        if target not in state.view.members:
            return  # forgotten meanwhile
        self.probes[request_number] = Probe(
            target,
            sent_at_us=state.now_us,
            expires_at_us=state.now_us + self._scaled_us(state.timing.period_us),
            indirect_at_us=state.now_us + self._scaled_us(state.timing.probe_timeout_us),
        )
        self._dissemination.send_with_gossip(state.address_of(target), "ping", request_number, recipient=target)

    def _next_target(self) -> str | None:
        view = self._state.view
        own = view.members[view.name]
        while self._round and view.members.get(self._round[-1], own).record.state >= MemberState.FAILED:
            self._round.pop()
        if not self._round:
            self._round = view.others_in(*PRESENT)
            self._state.random.shuffle(self._round)
        return self._round[-1] if self._round else None

    def check_probes(self) -> None:
        """Asks others about members that have not answered in time, and suspects those that did not at all."""
        for request_number, probe in list(self.probes.items()):
            member = self._state.view.members.get(probe.target)
            if member is None or member.record.state >= MemberState.FAILED:
                del self.probes[request_number]
            elif self._state.now_us >= probe.expires_at_us:
                del self.probes[request_number]
                self._on_probe_failed(probe, member.record)
            elif self._state.now_us >= probe.indirect_at_us and not probe.helpers:
                self._probe_indirectly(request_number, probe, member.record)

    def _probe_indirectly(self, request_number: int, probe: Probe, record: MemberRecord) -> None:
        state = self._state
        candidates = [name for name in state.view.others_in(MemberState.ALIVE) if name != probe.target]
        helpers = state.random.sample(candidates, min(len(candidates), state.timing.indirect_probes))
        probe.helpers = len(helpers) or NO_HELPERS
        for name in helpers:
            self._dissemination.send_with_gossip(
                state.address_of(name), "probe", request_number, target=member_row(record)
            )

    def _on_probe_failed(self, probe: Probe, record: MemberRecord) -> None:
        """Helpers that have not even said no are a sign that this forwarder is slow (Lifeguard IV-A)."""
        silent_helpers = max(0, probe.helpers - probe.nacks)
        self.adjust_health(silent_helpers if probe.helpers > 0 else 1)
        if not self._state.is_stale:
            own_name = self._state.name
            self._on_no_answer(replace(record, state=MemberState.SUSPECT, suspected_by=own_name), own_name)

    def on_ack(self, source: SocketAddress, datagram: Datagram) -> None:
        """A member has answered, to this forwarder's own probe or to one that was made for another."""
        probe = self.probes.get(datagram.request_number)
        if probe is not None and probe.target == datagram.sender:
            del self.probes[datagram.request_number]
            self.adjust_health(-1)
        elif probe is not None and datagram.target is not None and datagram.target.name == probe.target:
            del self.probes[datagram.request_number]  # by way of a helper
        relayed = self.relayed_probes.pop(datagram.request_number, None)
        if relayed is not None:
            member = self._state.view.members.get(datagram.sender)
            target = None if member is None else member_row(member.record)
            self._dissemination.send(relayed.requester, "ack", relayed.request_number, target=target)

    def on_nack(self, source: SocketAddress, datagram: Datagram) -> None:
        """A helper has had no answer either."""
        if datagram.request_number in self.probes:
            self.probes[datagram.request_number].nacks += 1

    # Probes for others

    def on_probe_request(self, source: SocketAddress, datagram: Datagram) -> None:
        """Probes for another member, which hears no before its period ends if nothing comes (Lifeguard IV-A)."""
        target = datagram.target
        if target is None or len(self.relayed_probes) >= MAX_PENDING_PROBES:
            return
        state = self._state
        request_number = state.next_request_number()
        expires_at_us = state.now_us + state.timing.probe_timeout_us
        self.relayed_probes[request_number] = RelayedProbe(source, datagram.request_number, expires_at_us)
        self._dissemination.send_with_gossip((target.host, target.port), "ping", request_number, recipient=target.name)

    def check_relayed_probes(self) -> None:
        """Tells those who have asked that no answer came."""
        for request_number, relayed in list(self.relayed_probes.items()):
            if self._state.now_us >= relayed.expires_at_us:
                del self.relayed_probes[request_number]
                self._dissemination.send(relayed.requester, "nack", relayed.request_number)
