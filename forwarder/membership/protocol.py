"""The protocol of one forwarder. Pure: `receive` and `tick` take the time; what is to be sent gathers in `out`.

One member is probed in each period, in a shuffled round over all (SWIM 4.3). No answer in the probe's time: some others
are asked to probe it (SWIM 3.1). None by the end of the period: it is suspected (SWIM 4.2), and failed when the
suspicion has run out. A suspicion runs shorter with each other member that has it too (Lifeguard IV-B); who is
suspected is told so first, with the next ping (IV-C); and who finds itself slow, since probes fail, helpers do not even
say no, or it is suspected wrongly, gives others more time (IV-A). News rides on probes and their answers, the least
told first (SWIM 4.1).

Beyond the papers: a full exchange at the join and now and then, also with members that failed, so that the parts of a
split meet again; in it failed members arrive as suspected ones, so that one that lives can say so; a stop of the own
process is noticed by its clock, and no view of before it is acted on until another member has answered.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from forwarder.membership.codec import (
    MAX_DATAGRAM_BYTES,
    MAX_ROWS,
    TAG_BYTES,
    Datagram,
    FormerIncarnationError,
    MemberRow,
    member_row,
)
from forwarder.membership.gossip_store import GossipStore, RecordKind
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

SECOND = 1_000_000
GOSSIP_BYTES = MAX_DATAGRAM_BYTES - TAG_BYTES - 220
"""Bytes for news in a datagram, beside the rest of it."""
MAX_QUEUE = 2000
MAX_PENDING_PROBES = 64
MAX_HEALTH_MULTIPLIER = 8
"""The Local Health Multiplier's most (Lifeguard IV-A)."""
MIN_LOG_SIZE = 2.0
JOIN_PERIODS = 10
"""Periods after the start in which all is asked for again and again: many that start at once learn of many."""
RECORD_BYTES = 300
"""Of those bytes, for facts as long as there are some: where many start at once, news of who is there fills all."""
MAX_QUERY_DATAGRAMS = 8
"""Datagrams in which one that asks is told all facts, at most."""
QUERY_RETRY_US = 250_000
"""Who asks what others have heard asks some more after this."""
FORMER_REPLY_INTERVAL_US = SECOND
"""A member that comes with a former life is told so at most this often."""


@dataclass(frozen=True, slots=True)
class Timing:
    """Times in microseconds. The defaults are for 200 members: a death is known to the first within 2 s and to the
    last within 5 (docs/measurements.md); what depends on the size follows from the view.
    """

    period_us: int = 300_000
    probe_timeout_us: int = 150_000
    """How long a direct probe may take."""
    indirect_probes: int = 4
    suspicion_factor: float = 1.8
    """Times log10 of the size (2 at least: with few members and bad links a refutation is slow too), times the period:
    the least time that a suspicion runs (Lifeguard: alpha)."""
    max_suspicion_factor: float = 6.0
    """Times the least: the most (Lifeguard: beta)."""
    confirmations: int = 3
    """So many other members that suspect it too make it the least (Lifeguard: K)."""
    retransmit_factor: float = 3.0
    """Times log2 of the size: how often one piece of news is sent on (SWIM: lambda)."""
    sync_interval_us: int = 10 * SECOND
    stall_us: int = 2 * SECOND
    """The process stood still if its clock went on by so much between two looks."""


@dataclass(slots=True)
class Probe:
    target: str
    sent_at_us: int
    expires_at_us: int
    """When it counts as failed."""
    indirect_at_us: int
    helpers: int = 0
    nacks: int = 0


@dataclass(slots=True)
class Suspicion:
    began_at_us: int
    suspected_by: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """What has become of a member, for whoever follows the view."""

    member: Member
    previous_state: MemberState | None


class Protocol:
    """Membership of one forwarder. `life` counts its starts; `id` is drawn at each."""

    def __init__(
        self,
        name: str,
        where: SocketAddress,
        life: int,
        ident: str,
        timing: Timing,
        seed: int,
        now: int,
        seeds: Sequence[SocketAddress] = (),
        version: str = "",
    ) -> None:
        self.timing, self.seeds, self.random = timing, list(seeds), random.Random(seed)
        self.process_id, self.now_us = ident, now
        self.view = MembershipView(name)
        self.view.members[name] = Member(
            MemberRecord(
                name, where, life * INCARNATIONS_PER_START, MemberState.JOINING, ident, MemberPhase.SERVING, version
            ),
            now,
            Source.OWN,
        )
        self.outbox: list[tuple[SocketAddress, Datagram]] = []
        self.changes: list[MemberChanged] = []
        self.broadcast_queue: dict[str, int] = {}
        """News to be sent on, and how often each was."""
        self.probe_round: list[str] = []
        self.probes: dict[int, Probe] = {}
        self.relayed_probes: dict[int, tuple[SocketAddress, int, int]] = {}
        """Probes for others: whom to answer, the number it knows it by, when to say no."""
        self.suspicions: dict[str, Suspicion] = {}
        self.health_multiplier = 0
        self.request_number = self.random.randrange(1 << 32)
        self.next_period_us = now + self.random.randrange(timing.period_us)
        self.next_sync_us = now
        self.last_step_us = now
        self.joining_until_us = now + JOIN_PERIODS * timing.period_us
        self.is_stale = True
        """Nobody has answered since the start, or since the process stood still."""
        self.former_start_number = -1
        """The life that others remembered, where this forwarder knew only of an earlier one."""
        self.rival_id = ""
        """Another process that has this name; this one has given way if `yielded`."""
        self.has_yielded = False
        self.former_reply_at_us: dict[str, int] = {}
        self.counts: dict[str, int] = {}
        self.gossip_store: GossipStore | None = None
        """Facts that ride along, where a part wants them to."""
        self.query_until_us = -1
        self.next_query_us = 0
        self.query_answers: set[str] = set()
        """Who has told what it has heard; one that asks itself does not."""
        if not seeds:
            self._become_alive()

    # The outside

    @property
    def own_record(self) -> MemberRecord:
        return self.view.members[self.view.name].record

    @property
    def start_number(self) -> int:
        return self.own_record.incarnation // INCARNATIONS_PER_START

    def size(self) -> int:
        return max(1, len(self.view.present()))

    def next_step_us(self) -> int:
        """When `tick` is wanted next."""
        times = [
            self.next_period_us,
            self.next_sync_us,
            *([self.next_query_us] if self.is_querying else []),
            *(p.expires_at_us for p in self.probes.values()),
            *(p.indirect_at_us for p in self.probes.values() if not p.helpers),
            *(until for _, _, until in self.relayed_probes.values()),
            *(self._suspicion_ends_us(name) for name in self.suspicions),
        ]
        return max(min(times), self.last_step_us + 1000)

    def tick(self, now: int) -> None:
        """Do what is due."""
        self._advance(now)
        if self.has_yielded:
            self.next_period_us = self.next_sync_us = now + self.timing.sync_interval_us
            return
        self._check_probes()
        self._check_relayed_probes()
        self._check_suspicions()
        if self.is_querying and now >= self.next_query_us:
            self._send_query()
        if now >= self.next_sync_us:
            self._sync()
        if now >= self.next_period_us:
            self.next_period_us = now + self.timing.period_us
            self._probe_next()

    def receive(self, now: int, source: SocketAddress, body: Datagram) -> None:
        """Take in one datagram that the codec has let through."""
        self._advance(now)
        if self.has_yielded:
            return
        if body.sender == self.view.name:
            if body.process_id != self.process_id:
                self._on_rival(body.start_number, body.process_id)
            return
        self.is_stale = False
        if self.own_record.state is MemberState.JOINING and body.kind in ("ack", "full", "ping"):
            self._become_alive()
        sender = self.view.members.get(body.sender)
        if sender is not None:
            sender.last_heard_us = now
        for told in body.members:
            self._apply_row(
                told,
                Source.ITSELF if told.name == body.sender else (Source.MERGED if body.kind == "full" else Source.TOLD),
                body.sender,
            )
        if self.gossip_store is not None and body.records:
            self.gossip_store.start_number = self.start_number
            self.gossip_store.merge(now, body.records)
        play = {
            "ping": self._on_ping,
            "ack": self._on_ack,
            "nack": self._on_nack,
            "probe": self._on_probe_request,
            "join": self._on_join,
            "full": self._on_full,
            "former": self._on_former,
            "ask": self._on_query,
            "facts": self._on_records,
        }.get(body.kind)
        if play is not None:  # kinds of later versions are passed over
            play(source, body)

    def reject_former(self, now: int, source: SocketAddress, why: FormerIncarnationError) -> None:
        """A datagram of a former life came: its forwarder may have lost its folder, and is told."""
        self._advance(now)
        known = self.view.members.get(why.sender)
        if (
            known is None
            or now - self.former_reply_at_us.get(why.sender, -FORMER_REPLY_INTERVAL_US) < FORMER_REPLY_INTERVAL_US
        ):
            return
        if len(self.former_reply_at_us) > MAX_QUEUE:
            self.former_reply_at_us.clear()
        self.former_reply_at_us[why.sender] = now
        self._send(source, "former", why.request_number, target=member_row(known.record))

    def set_phase(self, now: int, phase: MemberPhase) -> None:
        """This forwarder's phase has changed: all hear of it."""
        self._advance(now)
        if self.own_record.phase is not phase:
            self._update_self(phase=phase)

    def leave(self, now: int) -> None:
        """This forwarder goes for good: some hear it at once, and pass it on."""
        self._advance(now)
        if self.own_record.state is MemberState.LEFT or self.has_yielded:
            return
        self._update_self(state=MemberState.LEFT)
        there = self.view.others_in(MemberState.ALIVE, MemberState.SUSPECT)
        for name in self.random.sample(there, min(len(there), 2 * self.timing.indirect_probes + 2)):
            self._send(self.view.members[name].record.address, "ping", self._next_request_number(), gossip=True)

    def set_seeds(self, seeds: Sequence[SocketAddress]) -> None:
        self.seeds = list(seeds)
        self.next_sync_us = self.now_us

    # Time

    def _advance(self, now: int) -> None:
        """The clock goes on. After a stop nothing that was due meanwhile is held against others (Lifeguard's
        concern, by the process's own clock).
        """
        passed = now - self.last_step_us
        self.now_us, self.last_step_us = now, now
        if passed <= self.timing.stall_us:
            return
        self.counts["stalls"] = self.counts.get("stalls", 0) + 1
        self.health_multiplier = MAX_HEALTH_MULTIPLIER
        self.is_stale = True
        self.probes.clear()
        self.relayed_probes.clear()
        for suspicion in self.suspicions.values():
            suspicion.began_at_us += passed
        self.next_period_us, self.next_sync_us = now + self.timing.period_us, now

    def _scaled(self, base: int) -> int:
        return base * (1 + self.health_multiplier)

    def _adjust_health(self, change: int) -> None:
        self.health_multiplier = max(0, min(MAX_HEALTH_MULTIPLIER, self.health_multiplier + change))

    # Sending

    def _next_request_number(self) -> int:
        self.request_number += 1
        return self.request_number

    def _send(
        self,
        to: SocketAddress,
        kind: str,
        seq: int = 0,
        target: MemberRow | None = None,
        gossip: bool = False,
        first: str = "",
        rows: list[MemberRow] | None = None,
    ) -> None:
        body = Datagram(
            kind,
            self.view.name,
            self.start_number,
            self.process_id,
            0,
            seq,
            target,
            rows or [],
            self.view.digest()[:8] if kind == "full" else "",
        )
        if gossip:
            body.members = self._pack_members(first)
            if self.gossip_store is not None:
                room = (
                    GOSSIP_BYTES
                    - sum(_bytes(told) for told in body.members)
                    - (0 if target is None else _bytes(target))
                )
                body.records = self.gossip_store.next_rows(self.now_us, room, self.size())
        self.outbox.append((to, body))

    def _pack_members(self, first: str = "") -> list[MemberRow]:
        """What has been sent on least goes first; who is suspected hears that before all (Lifeguard IV-C)."""
        room, rows = GOSSIP_BYTES, []
        if self.gossip_store is not None and self.gossip_store.queue:
            room -= RECORD_BYTES
        if first in self.suspicions:
            rows.append(member_row(self.view.members[first].record))
            room -= _bytes(rows[0])
        most = math.ceil(self.timing.retransmit_factor * math.log2(self.size() + 1))
        for name in sorted(self.broadcast_queue, key=lambda n: self.broadcast_queue[n]):
            if name == first and rows:
                continue
            told = member_row(self.view.members[name].record)
            if _bytes(told) > room or len(rows) >= MAX_ROWS:
                break
            room -= _bytes(told)
            rows.append(told)
            self.broadcast_queue[name] += 1
            if self.broadcast_queue[name] >= most:
                del self.broadcast_queue[name]
        return rows

    def _broadcast(self, name: str) -> None:
        if len(self.broadcast_queue) >= MAX_QUEUE and name not in self.broadcast_queue:
            del self.broadcast_queue[max(self.broadcast_queue, key=lambda n: self.broadcast_queue[n])]
        self.broadcast_queue[name] = 0

    # News

    def _become_alive(self) -> None:
        self._update_self(state=MemberState.ALIVE)

    def _update_self(self, **changes: object) -> None:
        """News of this forwarder itself, which all must take: the next incarnation."""
        before = self.own_record.state
        self.view.update_self(self.now_us, incarnation=self.own_record.incarnation + 1, **changes)
        self.changes.append(MemberChanged(self.view.members[self.view.name], before))
        self._broadcast(self.view.name)

    def _apply_row(self, told: MemberRow, known: Source, sender: str) -> None:
        news = told.record()
        if news.name == self.view.name:
            self._on_own_record(news)
            return
        if known is Source.MERGED and news.state is MemberState.FAILED:
            old = self.view.members.get(news.name)
            if old is not None and old.record.state < MemberState.FAILED:
                news = replace(news, state=MemberState.SUSPECT, suspected_by=sender)  # one that lives can say so
        if news.state is MemberState.SUSPECT:
            self._suspect(news, news.suspected_by or sender)
            return
        self._apply_record(news, known)

    def _apply_record(self, news: MemberRecord, known: Source) -> None:
        old = self.view.members.get(news.name)
        before = None if old is None else old.record.state
        if not self.view.apply(news, known, self.now_us):
            return
        if news.state is not MemberState.SUSPECT:
            self.suspicions.pop(news.name, None)
        self._broadcast(news.name)
        self.changes.append(MemberChanged(self.view.members[news.name], before))

    def _on_own_record(self, news: MemberRecord) -> None:
        """What others say of this forwarder. That it is suspected or gone is refuted (SWIM 4.2)."""
        life = news.incarnation // INCARNATIONS_PER_START
        if life > self.start_number or (life == self.start_number and news.process_id not in ("", self.process_id)):
            if self.former_start_number >= 0 and life > self.former_start_number and news.process_id != self.process_id:
                self._on_rival(life, news.process_id)  # one that is dead could not have gone on
            else:
                self._on_later_incarnation(life)
        elif (
            news.state >= MemberState.SUSPECT
            and news.incarnation >= self.own_record.incarnation
            and (self.own_record.state is not MemberState.LEFT)
        ):
            self.view.update_self(self.now_us, incarnation=news.incarnation)
            self._update_self(state=MemberState.ALIVE)
            self._adjust_health(1)
            self.counts["refuted"] = self.counts.get("refuted", 0) + 1

    def _on_later_incarnation(self, life: int) -> None:
        """Others remember a life of this name that is later than this forwarder knows of, or another process of the
        same: its folder was lost, or set back. It goes on with a later one still.
        """
        self.former_start_number = life
        self.view.update_self(self.now_us, incarnation=(life + 1) * INCARNATIONS_PER_START)
        self._update_self()

    def _on_rival(self, life: int, ident: str) -> None:
        """Another living process has this name: it has answered to our later life with one of its own, or spoken to
        us. The one with the greater id stays, the other gives way for good.
        """
        self.counts["rivals"] = self.counts.get("rivals", 0) + 1
        self.rival_id = ident
        if ident > self.process_id:
            self.has_yielded = True
            self.probes.clear()
            self.suspicions.clear()
            self.broadcast_queue.clear()
        else:
            self.view.update_self(
                self.now_us, incarnation=max(self.own_record.incarnation, (life + 1) * INCARNATIONS_PER_START)
            )
            self._update_self()

    # Probes

    def _probe_next(self) -> None:
        """The next of a shuffled round over all (SWIM 4.3): each is probed within two rounds."""
        while self.probe_round and self.view.members.get(
            self.probe_round[-1], self.view.members[self.view.name]
        ).record.state >= (MemberState.FAILED):
            self.probe_round.pop()
        if not self.probe_round:
            self.probe_round = self.view.others_in(MemberState.JOINING, MemberState.ALIVE, MemberState.SUSPECT)
            self.random.shuffle(self.probe_round)
        if not self.probe_round or len(self.probes) >= MAX_PENDING_PROBES:
            return
        target, seq = self.probe_round.pop(), self._next_request_number()
        if target not in self.view.members:
            return  # forgotten meanwhile
        self.probes[seq] = Probe(
            target,
            self.now_us,
            self.now_us + self._scaled(self.timing.period_us),
            self.now_us + self._scaled(self.timing.probe_timeout_us),
        )
        self._send(self.view.members[target].record.address, "ping", seq, gossip=True, first=target)

    def _check_probes(self) -> None:
        for seq, probe in list(self.probes.items()):
            known = self.view.members.get(probe.target)
            if known is None or known.record.state >= MemberState.FAILED:
                del self.probes[seq]
            elif self.now_us >= probe.expires_at_us:
                del self.probes[seq]
                self._on_probe_failed(probe, known.record)
            elif self.now_us >= probe.indirect_at_us and not probe.helpers:
                self._probe_indirectly(seq, probe, known.record)

    def _probe_indirectly(self, seq: int, probe: Probe, news: MemberRecord) -> None:
        there = [name for name in self.view.others_in(MemberState.ALIVE) if name != probe.target]
        helpers = self.random.sample(there, min(len(there), self.timing.indirect_probes))
        probe.helpers = len(helpers) or -1
        for name in helpers:
            self._send(self.view.members[name].record.address, "probe", seq, target=member_row(news), gossip=True)

    def _on_probe_failed(self, probe: Probe, news: MemberRecord) -> None:
        """It has not answered. Helpers that have not even said no are a sign that we are slow (Lifeguard IV-A)."""
        silent = max(0, probe.helpers - probe.nacks)
        self._adjust_health(silent if probe.helpers > 0 else 1)
        if not self.is_stale:
            self._suspect(replace(news, state=MemberState.SUSPECT, suspected_by=self.view.name), self.view.name)

    def _suspect(self, news: MemberRecord, by: str) -> None:
        """Begin a suspicion, or confirm one that runs."""
        running = self.suspicions.get(news.name)
        known = self.view.members.get(news.name)
        if running is not None and known is not None and news.incarnation == known.record.incarnation:
            if by not in running.suspected_by and len(running.suspected_by) <= self.timing.confirmations:
                running.suspected_by.add(by)
                known.record = replace(known.record, suspected_by=by)
                self._broadcast(news.name)
            return
        self._apply_record(news, Source.OWN if by == self.view.name else Source.TOLD)
        taken = self.view.members.get(news.name)
        if taken is not None and taken.record.state is MemberState.SUSPECT:
            self.suspicions[news.name] = Suspicion(self.now_us, {by})

    def _suspicion_ends_us(self, name: str) -> int:
        """When a suspicion turns into a failure (Lifeguard IV-B)."""
        s, t = self.suspicions[name], self.timing
        least = t.suspicion_factor * max(MIN_LOG_SIZE, math.log10(self.size())) * t.period_us
        confirmed = max(0, len(s.suspected_by) - 1)
        wanted = min(t.confirmations, max(0, self.size() - 2))
        shrunk = math.log(confirmed + 1) / math.log(wanted + 1) if wanted else 1.0
        return s.began_at_us + int(
            max(least, t.max_suspicion_factor * least - (t.max_suspicion_factor - 1) * least * shrunk)
        )

    def _check_suspicions(self) -> None:
        for name in [name for name in self.suspicions if self._suspicion_ends_us(name) <= self.now_us]:
            news = self.view.members[name].record
            if self.is_stale:  # nobody has answered us either: it may well be us
                self.suspicions[name].began_at_us = self.now_us
                continue
            del self.suspicions[name]
            self.counts["failed"] = self.counts.get("failed", 0) + 1
            self._apply_record(replace(news, state=MemberState.FAILED, suspected_by=self.view.name), Source.OWN)

    # Answers

    def _on_ping(self, source: SocketAddress, body: Datagram) -> None:
        if body.sender not in self.view.members:
            self._send(source, "join", self._next_request_number(), rows=[member_row(self.own_record)])
        self._send(source, "ack", body.request_number, gossip=True, first=body.sender)

    def _on_ack(self, source: SocketAddress, body: Datagram) -> None:
        probe = self.probes.pop(body.request_number, None)
        if probe is not None and probe.target == body.sender:
            self._adjust_health(-1)
        elif probe is not None:
            self.probes[body.request_number] = probe
            if body.target is not None and body.target.name == probe.target:  # by a helper
                del self.probes[body.request_number]
        helped = self.relayed_probes.pop(body.request_number, None)
        if helped is not None:
            known = self.view.members.get(body.sender)
            self._send(helped[0], "ack", helped[1], target=None if known is None else member_row(known.record))

    def _on_nack(self, source: SocketAddress, body: Datagram) -> None:
        if body.request_number in self.probes:
            self.probes[body.request_number].nacks += 1

    def _on_probe_request(self, source: SocketAddress, body: Datagram) -> None:
        """Probe for another; it hears no before its period ends if nothing comes (Lifeguard IV-A)."""
        if body.target is None or len(self.relayed_probes) >= MAX_PENDING_PROBES:
            return
        seq = self._next_request_number()
        self.relayed_probes[seq] = (source, body.request_number, self.now_us + self.timing.probe_timeout_us)
        self._send((body.target.host, body.target.port), "ping", seq, gossip=True, first=body.target.name)

    def _check_relayed_probes(self) -> None:
        for seq, (whom, number, until) in list(self.relayed_probes.items()):
            if self.now_us >= until:
                del self.relayed_probes[seq]
                self._send(whom, "nack", number)

    # Meeting

    def _sync(self) -> None:
        """Now and then all is told to one other, at times to one that failed, or a seed: parts meet again."""
        self.view.forget_expired(self.now_us)
        there = self.view.others_in(MemberState.JOINING, MemberState.ALIVE, MemberState.SUSPECT)
        gone = self.view.others_in(MemberState.FAILED)
        self.next_sync_us = (
            self.now_us + self.timing.sync_interval_us // 2 + self.random.randrange(self.timing.sync_interval_us)
        )
        if self.is_stale or not there or self.now_us < self.joining_until_us:
            self.next_sync_us = self.now_us + self.timing.period_us + self.random.randrange(self.timing.period_us)
        whom = [
            self.view.members[name].record.address
            for name in (
                self.random.sample(there, min(len(there), 2 if self.is_stale else 1)),
                self.random.sample(gone, min(len(gone), 1)),
            )[0 if there and self.random.random() < 0.5 else 1]
            or there[:1]
        ]
        if self.is_stale or not there or self.random.random() < 0.2:
            whom += [seed for seed in self.seeds if seed != self.own_record.address][:8]
        for where in dict.fromkeys(whom):
            self._send(where, "join", self._next_request_number(), rows=[member_row(self.own_record)])

    def _on_join(self, source: SocketAddress, body: Datagram) -> None:
        """Somebody wants to know all; what it told of itself was taken already."""
        self._send_full_view(source, body.request_number)

    def _on_full(self, source: SocketAddress, body: Datagram) -> None:
        """A part of another's view; who agrees needs no answer, who does not gets ours."""
        if body.request_number == 0 or body.digest == self.view.digest()[:8]:
            return
        self._send_full_view(source, 0)

    def _send_full_view(self, to: SocketAddress, seq: int) -> None:
        """The whole view, in as many datagrams as it takes; the last asks for theirs if they differ."""
        rows: list[MemberRow] = []
        parts = [rows]
        room = GOSSIP_BYTES
        for name in sorted(self.view.members, key=lambda _: self.random.random()):
            told = member_row(self.view.members[name].record)
            if _bytes(told) > room or len(rows) >= MAX_ROWS:
                rows, room = [], GOSSIP_BYTES
                parts.append(rows)
            rows.append(told)
            room -= _bytes(told)
        for n, part in enumerate(parts):
            self._send(to, "full", seq if n == len(parts) - 1 else 0, rows=part)

    def _on_former(self, source: SocketAddress, body: Datagram) -> None:
        if body.target is not None and body.target.name == self.view.name:
            self._on_own_record(body.target.record())

    # Facts, where there is a board

    @property
    def is_querying(self) -> bool:
        """Whether this forwarder still waits for what others have heard."""
        return self.now_us < self.query_until_us and not self._has_enough_answers()

    def _has_enough_answers(self) -> bool:
        """Some have answered, or all that there are."""
        others = self.view.others_in(MemberState.JOINING, MemberState.ALIVE, MemberState.SUSPECT)
        return bool(self.query_answers) and len(self.query_answers) >= min(3, len(others)) and not self.is_stale

    def query(self, now: int, for_us: int) -> None:
        """Ask some what they have heard, again and again until some have answered or the time is up."""
        self._advance(now)
        self.query_until_us, self.next_query_us = now + for_us, now

    def announce(
        self, now: int, kind: RecordKind, subject: str, value: int = 0, lasted: int = 0, urgent: bool = False
    ) -> None:
        """This forwarder has seen it; what is urgent leaves at once, and does not wait for the next probe."""
        self._advance(now)
        if self.gossip_store is None or self.has_yielded:
            return
        self.gossip_store.start_number = self.start_number
        self.gossip_store.add_own(now, kind, subject, value, lasted)
        if urgent:
            there = self.view.others_in(MemberState.ALIVE)
            for name in self.random.sample(there, min(len(there), self.timing.indirect_probes)):
                self._send(self.view.members[name].record.address, "facts", 0, gossip=True)

    def _send_query(self) -> None:
        self.next_query_us = self.now_us + QUERY_RETRY_US
        there = [
            n
            for n in self.view.others_in(MemberState.JOINING, MemberState.ALIVE, MemberState.SUSPECT)
            if n not in self.query_answers
        ]
        for name in self.random.sample(there, min(len(there), 3)):
            self._send(self.view.members[name].record.address, "ask", self._next_request_number())

    def _on_query(self, source: SocketAddress, body: Datagram) -> None:
        if self.gossip_store is None or self.is_querying or self.is_stale:
            return  # it has heard nothing itself
        parts = self.gossip_store.all_rows(self.now_us, body.sender, GOSSIP_BYTES, MAX_QUERY_DATAGRAMS)
        for n, part in enumerate(parts):
            self._send(source, "facts", body.request_number if n == len(parts) - 1 else 0)
            self.outbox[-1][1].records = part

    def _on_records(self, source: SocketAddress, body: Datagram) -> None:
        if body.request_number:
            self.query_answers.add(body.sender)


def _bytes(told: MemberRow) -> int:
    """What a row takes in a datagram, rounded up."""
    return (
        36
        + len(told.name.encode())
        + len(told.host)
        + len(told.process_id)
        + len(told.version)
        + len(told.suspected_by.encode())
    )
