"""Failure detection: probes one member in each period, first directly and then through others (SWIM 3.1, 4.3).

A member that has not answered by the end of the period is suspected. Failed probes, helpers that send no nack, and
wrong suspicions of this forwarder are signs that this forwarder itself is slow; it then gives other members more time
to answer (Lifeguard IV-A).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from forwarder.membership.codec import Datagram, member_row
from forwarder.membership.dissemination import Dissemination
from forwarder.membership.node_state import NodeState
from forwarder.membership.view import PRESENT, MemberRecord, MemberState, SocketAddress

MAX_PENDING_PROBES = 64
"""Maximum number of own probes that wait for an answer, and likewise of probes relayed for others."""
MAX_HEALTH_MULTIPLIER = 8
"""Maximum of the Local Health Multiplier (Lifeguard IV-A)."""
NO_HELPERS = -1
"""Value of `Probe.helpers` if no member could be asked for help."""


@dataclass(slots=True)
class Probe:
    """A probe that waits for an answer."""

    target: str
    sent_at_us: int
    expires_at_us: int
    """Time at which the probe has failed."""
    indirect_at_us: int
    """Time at which other members are asked to probe the target too."""
    helpers: int = 0
    """Number of members that were asked to probe the target too; 0 until then."""
    nacks: int = 0
    """Number of helpers that have reported that they got no answer either."""


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe that is sent on behalf of another member."""

    requester: SocketAddress
    request_number: int
    """Number of the requester's own probe."""
    expires_at_us: int
    """Time at which the requester gets a nack, unless the target has answered."""


class FailureDetector:
    """Probes members, for this forwarder and on behalf of others, and reports those that have not answered."""

    def __init__(
        self, state: NodeState, dissemination: Dissemination, on_no_answer: Callable[[MemberRecord, str], None]
    ) -> None:
        """`on_no_answer` is called with the record of the suspected member and the name of the one that suspects it."""
        self._state = state
        self._dissemination = dissemination
        self._on_no_answer = on_no_answer
        self.next_period_us = state.now_us + state.random.randrange(state.timing.period_us)
        self.health_multiplier = 0
        """Local Health Multiplier: 0 if this forwarder has no sign of being slow."""
        self.probes: dict[int, Probe] = {}
        """By request number."""
        self.relayed_probes: dict[int, RelayedProbe] = {}
        """By request number."""
        self._round: list[str] = []
        """Members left to probe in this round; the last one is next."""

    def step_times_us(self) -> list[int]:
        """Returns the times at which a step is due."""
        return [
            self.next_period_us,
            *(probe.expires_at_us for probe in self.probes.values()),
            *(probe.indirect_at_us for probe in self.probes.values() if not probe.helpers),
            *(relayed.expires_at_us for relayed in self.relayed_probes.values()),
        ]

    def reset_after_stall(self) -> None:
        """Drops all probes after this process was stalled: their missing answers say nothing about the members."""
        self.health_multiplier = MAX_HEALTH_MULTIPLIER
        self.probes.clear()
        self.relayed_probes.clear()
        self.next_period_us = self._state.now_us + self._state.timing.period_us

    def adjust_health(self, change: int) -> None:
        """Adjusts the health multiplier: up for a sign that this forwarder is slow, down for a sign that it is not."""
        self.health_multiplier = max(0, min(MAX_HEALTH_MULTIPLIER, self.health_multiplier + change))

    def _scaled_us(self, base_us: int) -> int:
        return base_us * (1 + self.health_multiplier)

    # Own probes

    def probe_next_if_due(self) -> None:
        """Probes the next member, if a period has passed.

        Each round goes over all members in random order, so each member is probed within two rounds (SWIM 4.3).
        """
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
            return  # the view has dropped it since the round began
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
        """Starts indirect probes of members that are late to answer, and suspects those whose probe has expired."""
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
        """Suspects the target. Helpers that sent no nack are a sign that this forwarder is slow (Lifeguard IV-A)."""
        silent_helpers = max(0, probe.helpers - probe.nacks)
        self.adjust_health(silent_helpers if probe.helpers > 0 else 1)
        if not self._state.is_stale:
            own_name = self._state.name
            self._on_no_answer(replace(record, state=MemberState.SUSPECT, suspected_by=own_name), own_name)

    def on_ack(self, source: SocketAddress, datagram: Datagram) -> None:
        """Handles the answer to a probe of this forwarder or to one relayed for another member."""
        probe = self.probes.get(datagram.request_number)
        if probe is not None and probe.target == datagram.sender:
            del self.probes[datagram.request_number]
            self.adjust_health(-1)
        elif probe is not None and datagram.target is not None and datagram.target.name == probe.target:
            del self.probes[datagram.request_number]  # answered through a helper
        relayed = self.relayed_probes.pop(datagram.request_number, None)
        if relayed is not None:
            member = self._state.view.members.get(datagram.sender)
            target = None if member is None else member_row(member.record)
            self._dissemination.send(relayed.requester, "ack", relayed.request_number, target=target)

    def on_nack(self, source: SocketAddress, datagram: Datagram) -> None:
        """Handles a helper's report that it got no answer either."""
        if datagram.request_number in self.probes:
            self.probes[datagram.request_number].nacks += 1

    # Relayed probes

    def on_probe_request(self, source: SocketAddress, datagram: Datagram) -> None:
        """Probes a target on behalf of another member.

        If the target does not answer, the requester gets a nack before its period ends (Lifeguard IV-A).
        """
        target = datagram.target
        if target is None or len(self.relayed_probes) >= MAX_PENDING_PROBES:
            return
        state = self._state
        request_number = state.next_request_number()
        expires_at_us = state.now_us + state.timing.probe_timeout_us
        self.relayed_probes[request_number] = RelayedProbe(source, datagram.request_number, expires_at_us)
        self._dissemination.send_with_gossip((target.host, target.port), "ping", request_number, recipient=target.name)

    def check_relayed_probes(self) -> None:
        """Sends nacks for relayed probes that got no answer in time."""
        for request_number, relayed in list(self.relayed_probes.items()):
            if self._state.now_us >= relayed.expires_at_us:
                del self.relayed_probes[request_number]
                self._dissemination.send(relayed.requester, "nack", relayed.request_number)
