"""A seeded simulation of many members.

Datagrams that are lost, late, doubled and out of order, cuts, stops, restarts. Virtual time, real protocol and codec.
Invariants are checked after each step.
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
    """Members by number. `cut(a, b)` tells whether datagrams from a to b are lost."""

    def __init__(
        self, size: int, seed: int, timing: Timing | None = None, sealed: bool = False, seeds: int = 2
    ) -> None:
        self.random, self.now, self.timing = random.Random(seed), SECOND, timing or Timing()
        self.sealed, self.order = sealed, itertools.count()
        self.events: list[tuple[int, int, str, int, object]] = []
        self.members: dict[int, MembershipProtocol] = {}
        self.codecs: dict[int, Codec] = {}
        self.lives = dict.fromkeys(range(size), 0)
        self.stopped: dict[int, list[tuple[SocketAddress, object]]] = {}
        self.cuts: set[tuple[int, int]] = set()
        self.loss, self.delay = 0.0, (200, 2000)
        self.doubled = 0.0
        self.sent: dict[int, int] = dict.fromkeys(range(size), 0)
        self.false_failures: list[tuple[int, int, int]] = []
        self.detection_times_us: dict[int, list[int]] = {}
        self.excused: dict[int, int] = {}
        self.left: dict[str, int] = {}
        self.first = [self.where(n) for n in range(seeds)]
        for n in range(size):
            self.start(n)

    @staticmethod
    def where(n: int) -> SocketAddress:
        return (f"h{n}", 1)

    def start(self, n: int, life: int | None = None) -> None:
        self.lives[n] = self.lives[n] + 1 if life is None else life
        p = MembershipProtocol(
            f"n{n}",
            self.where(n),
            self.lives[n],
            f"{self.random.getrandbits(32):08x}",
            self.timing,
            self.random.getrandbits(32),
            self.now,
            self.first,
        )
        self.members[n], self.codecs[n] = p, Codec("c", [KEY])
        self.stopped.pop(n, None)
        self.excused[n] = self.now
        self.arm(n)

    def add(self, n: int, p: MembershipProtocol) -> None:
        """One more, made elsewhere."""
        self.members[n], self.codecs[n], self.sent[n], self.lives[n] = p, Codec("c", [KEY]), 0, p.state.start_number
        self.arm(n)

    def stop(self, n: int) -> None:
        """Dead, without a word."""
        self.members.pop(n, None)
        self.excused[n] = self.now

    def pause(self, n: int, for_us: int) -> None:
        self.stopped[n] = []
        self.excused[n] = self.now + for_us
        heapq.heappush(self.events, (self.now + for_us, next(self.order), "wake", n, self.members[n]))

    def arm(self, n: int) -> None:
        p = self.members[n]
        heapq.heappush(self.events, (p.next_step_us(), next(self.order), "tick", n, p))

    def post(self, n: int) -> None:
        p = self.members[n]
        out = p.take_outbox()
        for to, body in out:
            self.sent[n] += 1
            m = int(to[0][1:])
            if (n, m) in self.cuts or self.random.random() < self.loss:
                continue
            data: object = self.codecs[n].seal(body) if self.sealed else body
            for _ in range(1 + (self.random.random() < self.doubled)):
                at = self.now + self.random.randrange(*self.delay)
                heapq.heappush(self.events, (at, next(self.order), "mail", m, (self.where(n), data)))
        self.follow(n)

    def follow(self, n: int) -> None:
        """What this member has come to know; a failure of one that is up and was not struck is false."""
        p = self.members[n]
        for told in p.state.changes:
            m = int(told.member.record.name[1:])
            if told.member.record.state is MemberState.FAILED:
                life = told.member.record.incarnation // INCARNATIONS_PER_START
                if m in self.members and m not in self.stopped and life == self.lives.get(m):
                    self.false_failures.append((self.now, n, m))
                self.detection_times_us.setdefault(m, []).append(self.now)
        p.state.changes.clear()
        assert len(p.dissemination.queue) <= MAX_QUEUE
        assert len(p.failure_detector.probes) <= 64
        assert len(p.failure_detector.relayed_probes) <= 64

    def run(self, for_us: int) -> None:
        end = self.now + for_us
        while self.events and self.events[0][0] <= end:
            self.now, _, kind, n, what = heapq.heappop(self.events)
            if kind == "wake":
                if self.members.get(n) is what:
                    waiting = self.stopped.pop(n, [])
                    for source, data in waiting[-400:]:  # a socket's buffer holds only so many
                        self.deliver(n, source, data)
                    self.arm(n)
                continue
            p = self.members.get(n)
            if p is None:
                continue
            if n in self.stopped:
                if kind == "mail":
                    self.stopped[n].append(what)  # type: ignore[arg-type]
                continue
            if kind == "tick":
                if p is not what:
                    continue
                p.tick(self.now)
                self.post(n)
                self.arm(n)
            else:
                source, data = what  # type: ignore[misc]
                self.deliver(n, source, data)
        self.now = end

    def deliver(self, n: int, source: SocketAddress, data: object) -> None:
        p = self.members[n]
        if isinstance(data, bytes):
            try:
                p.receive(self.now, source, self.codecs[n].open(data))
            except FormerIncarnationError as former:
                p.reject_former(self.now, source, former)
            except DatagramRejectedError as dropped:
                p.state.counts[str(dropped)] = p.state.counts.get(str(dropped), 0) + 1
        else:
            assert isinstance(data, Datagram)
            p.receive(self.now, source, replace_body(data))
        self.post(n)

    # Questions

    def split(self, *groups: set[int]) -> None:
        part = {n: k for k, group in enumerate(groups) for n in group}
        self.cuts = {(a, b) for a in self.lives for b in self.lives if part.get(a) != part.get(b)}

    def heal(self) -> None:
        self.cuts = set()

    def agree(self) -> bool:
        """All that are up see just those that are up, as alive or suspected."""
        up = sorted(f"n{n}" for n in self.members if n not in self.stopped)
        return all(p.view.present() == up for n, p in self.members.items() if n not in self.stopped)

    def until_agreed(self, most_us: int, step_us: int = SECOND // 4) -> int:
        began = self.now
        while not self.agree():
            assert self.now - began < most_us, self.differences()
            self.run(step_us)
        return self.now - began

    def differences(self) -> list[str]:
        up = {f"n{n}" for n in self.members}
        return [
            f"{p.view.name} misses {sorted(up - set(p.view.present()))[:5]}, "
            f"has {sorted(set(p.view.present()) - up)[:5]}"
            for p in self.members.values()
            if set(p.view.present()) != up
        ][:5]


def replace_body(body: Datagram) -> Datagram:
    """What comes is the receiver's own."""
    return Datagram(
        body.kind,
        body.sender,
        body.start_number,
        body.process_id,
        body.datagram_number,
        body.request_number,
        body.target,
        [*body.members],
        body.digest,
        [*body.records],
    )
