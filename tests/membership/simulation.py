"""Simulates a fleet of members from a seed.

Datagrams are lost, delayed, duplicated and reordered, links are cut, and members pause, crash and restart. Time is
virtual; the protocol and the codec are the real ones. Invariants are checked after each step.
"""

from __future__ import annotations

import heapq
import itertools
import random

from forwarder.membership.codec import Codec, Datagram, DatagramRejectedError, FormerIncarnationError
from forwarder.membership.dissemination import MAX_QUEUE
from forwarder.membership.protocol import MembershipProtocol
from forwarder.membership.timing import Timing
from forwarder.membership.view import INCARNATIONS_PER_START, MemberState, SocketAddress
from forwarder.units import SECOND_US as SECOND

KEY = b"k" * 32


class Fleet:
    """Members by number. Times are in microseconds; datagrams from a to b are lost while `cuts` contains (a, b)."""

    def __init__(
        self, size: int, seed: int, timing: Timing | None = None, sealed: bool = False, seeds: int = 2
    ) -> None:
        self.random, self.now, self.timing = random.Random(seed), SECOND, timing or Timing()
        self.sealed, self.sequence = sealed, itertools.count()
        self.events: list[tuple[int, int, str, int, object]] = []
        self.members: dict[int, MembershipProtocol] = {}
        self.codecs: dict[int, Codec] = {}
        self.start_numbers = dict.fromkeys(range(size), 0)
        self.paused: dict[int, list[tuple[SocketAddress, object]]] = {}
        self.cuts: set[tuple[int, int]] = set()
        self.loss, self.delay = 0.0, (200, 2000)
        self.duplication = 0.0
        self.sent: dict[int, int] = dict.fromkeys(range(size), 0)
        self.false_failures: list[tuple[int, int, int]] = []
        self.detection_times_us: dict[int, list[int]] = {}
        self.disturbed_until: dict[int, int] = {}
        self.left: dict[str, int] = {}
        self.seed_addresses = [self.address_of(number) for number in range(seeds)]
        for number in range(size):
            self.start(number)

    @staticmethod
    def address_of(number: int) -> SocketAddress:
        return (f"h{number}", 1)

    def start(self, number: int, start_number: int | None = None) -> None:
        self.start_numbers[number] = self.start_numbers[number] + 1 if start_number is None else start_number
        protocol = MembershipProtocol(
            f"n{number}",
            self.address_of(number),
            self.start_numbers[number],
            f"{self.random.getrandbits(32):08x}",
            self.timing,
            self.random.getrandbits(32),
            self.now,
            self.seed_addresses,
        )
        self.members[number], self.codecs[number] = protocol, Codec("c", [KEY])
        self.paused.pop(number, None)
        self.disturbed_until[number] = self.now
        self.schedule_tick(number)

    def add(self, number: int, protocol: MembershipProtocol) -> None:
        """Adds a member that the caller has created."""
        self.members[number], self.codecs[number], self.sent[number], self.start_numbers[number] = (
            protocol,
            Codec("c", [KEY]),
            0,
            protocol.state.start_number,
        )
        self.schedule_tick(number)

    def stop(self, number: int) -> None:
        """Crashes a member: it sends nothing more."""
        self.members.pop(number, None)
        self.disturbed_until[number] = self.now

    def pause(self, number: int, duration_us: int) -> None:
        self.paused[number] = []
        self.disturbed_until[number] = self.now + duration_us
        heapq.heappush(
            self.events, (self.now + duration_us, next(self.sequence), "resume", number, self.members[number])
        )

    def schedule_tick(self, number: int) -> None:
        protocol = self.members[number]
        heapq.heappush(self.events, (protocol.next_step_us(), next(self.sequence), "tick", number, protocol))

    def send_outbox(self, number: int) -> None:
        protocol = self.members[number]
        outbox = protocol.take_outbox()
        for address, datagram in outbox:
            self.sent[number] += 1
            recipient = int(address[0][1:])
            if (number, recipient) in self.cuts or self.random.random() < self.loss:
                continue
            data: object = self.codecs[number].seal(datagram) if self.sealed else datagram
            for _ in range(1 + (self.random.random() < self.duplication)):
                at = self.now + self.random.randrange(*self.delay)
                heapq.heappush(
                    self.events, (at, next(self.sequence), "datagram", recipient, (self.address_of(number), data))
                )
        self.record_changes(number)

    def record_changes(self, number: int) -> None:
        """Records failures that this member has detected. One of a member that is neither down nor paused is false."""
        protocol = self.members[number]
        for change in protocol.state.changes:
            other = int(change.member.record.name[1:])
            if change.member.record.state is MemberState.FAILED:
                start_number = change.member.record.incarnation // INCARNATIONS_PER_START
                if other in self.members and other not in self.paused and start_number == self.start_numbers.get(other):
                    self.false_failures.append((self.now, number, other))
                self.detection_times_us.setdefault(other, []).append(self.now)
        protocol.state.changes.clear()
        assert len(protocol.dissemination.queue) <= MAX_QUEUE
        assert len(protocol.failure_detector.probes) <= 64
        assert len(protocol.failure_detector.relayed_probes) <= 64

    def run(self, duration_us: int) -> None:
        end = self.now + duration_us
        while self.events and self.events[0][0] <= end:
            self.now, _, kind, number, content = heapq.heappop(self.events)
            if kind == "resume":
                if self.members.get(number) is content:
                    received = self.paused.pop(number, [])
                    for source, data in received[-400:]:  # the buffer of a real socket is bounded too
                        self.deliver(number, source, data)
                    self.schedule_tick(number)
                continue
            protocol = self.members.get(number)
            if protocol is None:
                continue
            if number in self.paused:
                if kind == "datagram":
                    self.paused[number].append(content)  # type: ignore[arg-type]
                continue
            if kind == "tick":
                if protocol is not content:
                    continue
                protocol.tick(self.now)
                self.send_outbox(number)
                self.schedule_tick(number)
            else:
                source, data = content  # type: ignore[misc]
                self.deliver(number, source, data)
        self.now = end

    def deliver(self, number: int, source: SocketAddress, data: object) -> None:
        protocol = self.members[number]
        if isinstance(data, bytes):
            try:
                protocol.receive(self.now, source, self.codecs[number].open(data))
            except FormerIncarnationError as former:
                protocol.reject_former(self.now, source, former)
            except DatagramRejectedError as rejected:
                protocol.state.counts[str(rejected)] = protocol.state.counts.get(str(rejected), 0) + 1
        else:
            assert isinstance(data, Datagram)
            protocol.receive(self.now, source, copy_datagram(data))
        self.send_outbox(number)

    # Network partitions and agreement

    def split(self, *groups: set[int]) -> None:
        group_of = {number: index for index, group in enumerate(groups) for number in group}
        self.cuts = {
            (a, b) for a in self.start_numbers for b in self.start_numbers if group_of.get(a) != group_of.get(b)
        }

    def heal(self) -> None:
        self.cuts = set()

    def agree(self) -> bool:
        """Returns whether each running member sees exactly the running members as present."""
        up = sorted(f"n{number}" for number in self.members if number not in self.paused)
        return all(
            protocol.view.present() == up for number, protocol in self.members.items() if number not in self.paused
        )

    def until_agreed(self, timeout_us: int, step_us: int = SECOND // 4) -> int:
        began = self.now
        while not self.agree():
            assert self.now - began < timeout_us, self.differences()
            self.run(step_us)
        return self.now - began

    def differences(self) -> list[str]:
        up = {f"n{number}" for number in self.members}
        return [
            f"{protocol.view.name} misses {sorted(up - set(protocol.view.present()))[:5]}, "
            f"has {sorted(set(protocol.view.present()) - up)[:5]}"
            for protocol in self.members.values()
            if set(protocol.view.present()) != up
        ][:5]


def copy_datagram(datagram: Datagram) -> Datagram:
    """Returns a copy for the receiver, which shares no list with the sender's datagram."""
    return Datagram(
        datagram.kind,
        datagram.sender,
        datagram.start_number,
        datagram.process_id,
        datagram.datagram_number,
        datagram.request_number,
        datagram.target,
        [*datagram.members],
        datagram.digest,
        [*datagram.records],
    )
