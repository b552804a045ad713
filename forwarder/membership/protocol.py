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

from forwarder.membership.codec import MOST_BYTES, MOST_ROWS, TAG, Body, FormerLife, Row, row
from forwarder.membership.gossip_store import GossipStore, RecordKind
from forwarder.membership.view import LIFE, Known, Member, MemberRecord, MembershipView, Phase, State, Where

SECOND = 1_000_000
ROOM = MOST_BYTES - TAG - 220
"""Bytes for news in a datagram, beside the rest of it."""
MOST_QUEUE = 2000
MOST_PENDING = 64
MOST_AWARE = 8
"""The Local Health Multiplier's most (Lifeguard IV-A)."""
LEAST_LOG = 2.0
MEETING = 10
"""Periods after the start in which all is asked for again and again: many that start at once learn of many."""
FACTS_ROOM = 300
"""Of those bytes, for facts as long as there are some: where many start at once, news of who is there fills all."""
MOST_ANSWERS = 8
"""Datagrams in which one that asks is told all facts, at most."""
ASK_US = 250_000
"""Who asks what others have heard asks some more after this."""
FORMER_US = SECOND
"""A member that comes with a former life is told so at most this often."""


@dataclass(frozen=True, slots=True)
class Timing:
    """Times in microseconds. The defaults are for 200 members: a death is known to the first within 2 s and to the
    last within 5 (docs/measurements.md); what depends on the size follows from the view.
    """

    period: int = 300_000
    probe: int = 150_000
    """How long a direct probe may take."""
    helpers: int = 4
    suspicion: float = 1.8
    """Times log10 of the size (2 at least: with few members and bad links a refutation is slow too), times the period:
    the least time that a suspicion runs (Lifeguard: alpha)."""
    suspicion_top: float = 6.0
    """Times the least: the most (Lifeguard: beta)."""
    confirmations: int = 3
    """So many other members that suspect it too make it the least (Lifeguard: K)."""
    retell: float = 3.0
    """Times log2 of the size: how often one piece of news is sent on (SWIM: lambda)."""
    exchange: int = 10 * SECOND
    stall: int = 2 * SECOND
    """The process stood still if its clock went on by so much between two looks."""


@dataclass(slots=True)
class Probe:
    target: str
    sent: int
    until: int
    """When it counts as failed."""
    helped_at: int
    helpers: int = 0
    nacks: int = 0


@dataclass(slots=True)
class Suspicion:
    began: int
    by: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """What has become of a member, for whoever follows the view."""

    member: Member
    before: State | None


class Protocol:
    """Membership of one forwarder. `life` counts its starts; `id` is drawn at each."""

    def __init__(
        self,
        name: str,
        where: Where,
        life: int,
        ident: str,
        timing: Timing,
        seed: int,
        now: int,
        seeds: Sequence[Where] = (),
        version: str = "",
    ) -> None:
        self.timing, self.seeds, self.random = timing, list(seeds), random.Random(seed)
        self.id, self.now = ident, now
        self.view = MembershipView(name)
        self.view.members[name] = Member(
            MemberRecord(name, where, life * LIFE, State.JOINING, ident, Phase.SERVING, version), now, Known.OWN
        )
        self.out: list[tuple[Where, Body]] = []
        self.told: list[MemberChanged] = []
        self.queue: dict[str, int] = {}
        """News to be sent on, and how often each was."""
        self.round: list[str] = []
        self.probes: dict[int, Probe] = {}
        self.helping: dict[int, tuple[Where, int, int]] = {}
        """Probes for others: whom to answer, the number it knows it by, when to say no."""
        self.suspicions: dict[str, Suspicion] = {}
        self.aware = 0
        self.seq = self.random.randrange(1 << 32)
        self.period_at = now + self.random.randrange(timing.period)
        self.exchange_at = now
        self.looked = now
        self.meeting_until = now + MEETING * timing.period
        self.stale = True
        """Nobody has answered since the start, or since the process stood still."""
        self.former = -1
        """The life that others remembered, where this forwarder knew only of an earlier one."""
        self.rival = ""
        """Another process that has this name; this one has given way if `yielded`."""
        self.yielded = False
        self.former_told: dict[str, int] = {}
        self.counts: dict[str, int] = {}
        self.board: GossipStore | None = None
        """Facts that ride along, where a part wants them to."""
        self.asking_until = -1
        self.ask_at = 0
        self.answers: set[str] = set()
        """Who has told what it has heard; one that asks itself does not."""
        if not seeds:
            self._alive()

    # The outside

    @property
    def me(self) -> MemberRecord:
        return self.view.members[self.view.me].news

    @property
    def life(self) -> int:
        return self.me.incarnation // LIFE

    def size(self) -> int:
        return max(1, len(self.view.there()))

    def next_at(self) -> int:
        """When `tick` is wanted next."""
        times = [
            self.period_at,
            self.exchange_at,
            *([self.ask_at] if self.asking else []),
            *(p.until for p in self.probes.values()),
            *(p.helped_at for p in self.probes.values() if not p.helpers),
            *(until for _, _, until in self.helping.values()),
            *(self._runs_out(name) for name in self.suspicions),
        ]
        return max(min(times), self.looked + 1000)

    def tick(self, now: int) -> None:
        """Do what is due."""
        self._look(now)
        if self.yielded:
            self.period_at = self.exchange_at = now + self.timing.exchange
            return
        self._check_probes()
        self._check_helping()
        self._check_suspicions()
        if self.asking and now >= self.ask_at:
            self._ask()
        if now >= self.exchange_at:
            self._exchange()
        if now >= self.period_at:
            self.period_at = now + self.timing.period
            self._probe_next()

    def receive(self, now: int, source: Where, body: Body) -> None:
        """Take in one datagram that the codec has let through."""
        self._look(now)
        if self.yielded:
            return
        if body.sender == self.view.me:
            if body.id != self.id:
                self._rival(body.life, body.id)
            return
        self.stale = False
        if self.me.state is State.JOINING and body.kind in ("ack", "full", "ping"):
            self._alive()
        sender = self.view.members.get(body.sender)
        if sender is not None:
            sender.heard = now
        for told in body.news:
            self._take(
                told,
                Known.ITSELF if told.name == body.sender else (Known.MERGED if body.kind == "full" else Known.TOLD),
                body.sender,
            )
        if self.board is not None and body.facts:
            self.board.life = self.life
            self.board.take(now, body.facts)
        play = {
            "ping": self._ping,
            "ack": self._ack,
            "nack": self._nack,
            "probe": self._help,
            "join": self._join,
            "full": self._full,
            "former": self._former,
            "ask": self._asked,
            "facts": self._answered,
        }.get(body.kind)
        if play is not None:  # kinds of later versions are passed over
            play(source, body)

    def dropped(self, now: int, source: Where, why: FormerLife) -> None:
        """A datagram of a former life came: its forwarder may have lost its folder, and is told."""
        self._look(now)
        known = self.view.members.get(why.sender)
        if known is None or now - self.former_told.get(why.sender, -FORMER_US) < FORMER_US:
            return
        if len(self.former_told) > MOST_QUEUE:
            self.former_told.clear()
        self.former_told[why.sender] = now
        self._send(source, "former", why.seq, target=row(known.news))

    def tell(self, now: int, phase: Phase) -> None:
        """This forwarder's phase has changed: all hear of it."""
        self._look(now)
        if self.me.phase is not phase:
            self._refresh(phase=phase)

    def leave(self, now: int) -> None:
        """This forwarder goes for good: some hear it at once, and pass it on."""
        self._look(now)
        if self.me.state is State.LEFT or self.yielded:
            return
        self._refresh(state=State.LEFT)
        there = self.view.others(State.ALIVE, State.SUSPECT)
        for name in self.random.sample(there, min(len(there), 2 * self.timing.helpers + 2)):
            self._send(self.view.members[name].news.where, "ping", self._number(), gossip=True)

    def reseed(self, seeds: Sequence[Where]) -> None:
        self.seeds = list(seeds)
        self.exchange_at = self.now

    # Time

    def _look(self, now: int) -> None:
        """The clock goes on. After a stop nothing that was due meanwhile is held against others (Lifeguard's
        concern, by the process's own clock).
        """
        passed = now - self.looked
        self.now, self.looked = now, now
        if passed <= self.timing.stall:
            return
        self.counts["stalls"] = self.counts.get("stalls", 0) + 1
        self.aware = MOST_AWARE
        self.stale = True
        self.probes.clear()
        self.helping.clear()
        for suspicion in self.suspicions.values():
            suspicion.began += passed
        self.period_at, self.exchange_at = now + self.timing.period, now

    def _patience(self, base: int) -> int:
        return base * (1 + self.aware)

    def _feel(self, change: int) -> None:
        self.aware = max(0, min(MOST_AWARE, self.aware + change))

    # Sending

    def _number(self) -> int:
        self.seq += 1
        return self.seq

    def _send(
        self,
        to: Where,
        kind: str,
        seq: int = 0,
        target: Row | None = None,
        gossip: bool = False,
        first: str = "",
        rows: list[Row] | None = None,
    ) -> None:
        body = Body(
            kind,
            self.view.me,
            self.life,
            self.id,
            0,
            seq,
            target,
            rows or [],
            self.view.digest()[:8] if kind == "full" else "",
        )
        if gossip:
            body.news = self._gossip(first)
            if self.board is not None:
                room = ROOM - sum(_bytes(told) for told in body.news) - (0 if target is None else _bytes(target))
                body.facts = self.board.gossip(self.now, room, self.size())
        self.out.append((to, body))

    def _gossip(self, first: str = "") -> list[Row]:
        """What has been sent on least goes first; who is suspected hears that before all (Lifeguard IV-C)."""
        room, rows = ROOM, []
        if self.board is not None and self.board.queue:
            room -= FACTS_ROOM
        if first in self.suspicions:
            rows.append(row(self.view.members[first].news))
            room -= _bytes(rows[0])
        most = math.ceil(self.timing.retell * math.log2(self.size() + 1))
        for name in sorted(self.queue, key=lambda n: self.queue[n]):
            if name == first and rows:
                continue
            told = row(self.view.members[name].news)
            if _bytes(told) > room or len(rows) >= MOST_ROWS:
                break
            room -= _bytes(told)
            rows.append(told)
            self.queue[name] += 1
            if self.queue[name] >= most:
                del self.queue[name]
        return rows

    def _spread(self, name: str) -> None:
        if len(self.queue) >= MOST_QUEUE and name not in self.queue:
            del self.queue[max(self.queue, key=lambda n: self.queue[n])]
        self.queue[name] = 0

    # News

    def _alive(self) -> None:
        self._refresh(state=State.ALIVE)

    def _refresh(self, **changes: object) -> None:
        """News of this forwarder itself, which all must take: the next incarnation."""
        before = self.me.state
        self.view.set_self(self.now, incarnation=self.me.incarnation + 1, **changes)
        self.told.append(MemberChanged(self.view.members[self.view.me], before))
        self._spread(self.view.me)

    def _take(self, told: Row, known: Known, sender: str) -> None:
        news = told.news()
        if news.name == self.view.me:
            self._of_me(news)
            return
        if known is Known.MERGED and news.state is State.FAILED:
            old = self.view.members.get(news.name)
            if old is not None and old.news.state < State.FAILED:
                news = replace(news, state=State.SUSPECT, by=sender)  # one that lives can say so
        if news.state is State.SUSPECT:
            self._suspect(news, news.by or sender)
            return
        self._settle(news, known)

    def _settle(self, news: MemberRecord, known: Known) -> None:
        old = self.view.members.get(news.name)
        before = None if old is None else old.news.state
        if not self.view.take(news, known, self.now):
            return
        if news.state is not State.SUSPECT:
            self.suspicions.pop(news.name, None)
        self._spread(news.name)
        self.told.append(MemberChanged(self.view.members[news.name], before))

    def _of_me(self, news: MemberRecord) -> None:
        """What others say of this forwarder. That it is suspected or gone is refuted (SWIM 4.2)."""
        life = news.incarnation // LIFE
        if life > self.life or (life == self.life and news.id not in ("", self.id)):
            if self.former >= 0 and life > self.former and news.id != self.id:
                self._rival(life, news.id)  # one that is dead could not have gone on
            else:
                self._later_life(life)
        elif (
            news.state >= State.SUSPECT
            and news.incarnation >= self.me.incarnation
            and (self.me.state is not State.LEFT)
        ):
            self.view.set_self(self.now, incarnation=news.incarnation)
            self._refresh(state=State.ALIVE)
            self._feel(1)
            self.counts["refuted"] = self.counts.get("refuted", 0) + 1

    def _later_life(self, life: int) -> None:
        """Others remember a life of this name that is later than this forwarder knows of, or another process of the
        same: its folder was lost, or set back. It goes on with a later one still.
        """
        self.former = life
        self.view.set_self(self.now, incarnation=(life + 1) * LIFE)
        self._refresh()

    def _rival(self, life: int, ident: str) -> None:
        """Another living process has this name: it has answered to our later life with one of its own, or spoken to
        us. The one with the greater id stays, the other gives way for good.
        """
        self.counts["rivals"] = self.counts.get("rivals", 0) + 1
        self.rival = ident
        if ident > self.id:
            self.yielded = True
            self.probes.clear()
            self.suspicions.clear()
            self.queue.clear()
        else:
            self.view.set_self(self.now, incarnation=max(self.me.incarnation, (life + 1) * LIFE))
            self._refresh()

    # Probes

    def _probe_next(self) -> None:
        """The next of a shuffled round over all (SWIM 4.3): each is probed within two rounds."""
        while self.round and self.view.members.get(self.round[-1], self.view.members[self.view.me]).news.state >= (
            State.FAILED
        ):
            self.round.pop()
        if not self.round:
            self.round = self.view.others(State.JOINING, State.ALIVE, State.SUSPECT)
            self.random.shuffle(self.round)
        if not self.round or len(self.probes) >= MOST_PENDING:
            return
        target, seq = self.round.pop(), self._number()
        if target not in self.view.members:
            return  # forgotten meanwhile
        self.probes[seq] = Probe(
            target,
            self.now,
            self.now + self._patience(self.timing.period),
            self.now + self._patience(self.timing.probe),
        )
        self._send(self.view.members[target].news.where, "ping", seq, gossip=True, first=target)

    def _check_probes(self) -> None:
        for seq, probe in list(self.probes.items()):
            known = self.view.members.get(probe.target)
            if known is None or known.news.state >= State.FAILED:
                del self.probes[seq]
            elif self.now >= probe.until:
                del self.probes[seq]
                self._missed(probe, known.news)
            elif self.now >= probe.helped_at and not probe.helpers:
                self._ask_help(seq, probe, known.news)

    def _ask_help(self, seq: int, probe: Probe, news: MemberRecord) -> None:
        there = [name for name in self.view.others(State.ALIVE) if name != probe.target]
        helpers = self.random.sample(there, min(len(there), self.timing.helpers))
        probe.helpers = len(helpers) or -1
        for name in helpers:
            self._send(self.view.members[name].news.where, "probe", seq, target=row(news), gossip=True)

    def _missed(self, probe: Probe, news: MemberRecord) -> None:
        """It has not answered. Helpers that have not even said no are a sign that we are slow (Lifeguard IV-A)."""
        silent = max(0, probe.helpers - probe.nacks)
        self._feel(silent if probe.helpers > 0 else 1)
        if not self.stale:
            self._suspect(replace(news, state=State.SUSPECT, by=self.view.me), self.view.me)

    def _suspect(self, news: MemberRecord, by: str) -> None:
        """Begin a suspicion, or confirm one that runs."""
        running = self.suspicions.get(news.name)
        known = self.view.members.get(news.name)
        if running is not None and known is not None and news.incarnation == known.news.incarnation:
            if by not in running.by and len(running.by) <= self.timing.confirmations:
                running.by.add(by)
                known.news = replace(known.news, by=by)
                self._spread(news.name)
            return
        self._settle(news, Known.OWN if by == self.view.me else Known.TOLD)
        taken = self.view.members.get(news.name)
        if taken is not None and taken.news.state is State.SUSPECT:
            self.suspicions[news.name] = Suspicion(self.now, {by})

    def _runs_out(self, name: str) -> int:
        """When a suspicion turns into a failure (Lifeguard IV-B)."""
        s, t = self.suspicions[name], self.timing
        least = t.suspicion * max(LEAST_LOG, math.log10(self.size())) * t.period
        confirmed = max(0, len(s.by) - 1)
        wanted = min(t.confirmations, max(0, self.size() - 2))
        shrunk = math.log(confirmed + 1) / math.log(wanted + 1) if wanted else 1.0
        return s.began + int(max(least, t.suspicion_top * least - (t.suspicion_top - 1) * least * shrunk))

    def _check_suspicions(self) -> None:
        for name in [name for name in self.suspicions if self._runs_out(name) <= self.now]:
            news = self.view.members[name].news
            if self.stale:  # nobody has answered us either: it may well be us
                self.suspicions[name].began = self.now
                continue
            del self.suspicions[name]
            self.counts["failed"] = self.counts.get("failed", 0) + 1
            self._settle(replace(news, state=State.FAILED, by=self.view.me), Known.OWN)

    # Answers

    def _ping(self, source: Where, body: Body) -> None:
        if body.sender not in self.view.members:
            self._send(source, "join", self._number(), rows=[row(self.me)])
        self._send(source, "ack", body.seq, gossip=True, first=body.sender)

    def _ack(self, source: Where, body: Body) -> None:
        probe = self.probes.pop(body.seq, None)
        if probe is not None and probe.target == body.sender:
            self._feel(-1)
        elif probe is not None:
            self.probes[body.seq] = probe
            if body.target is not None and body.target.name == probe.target:  # by a helper
                del self.probes[body.seq]
        helped = self.helping.pop(body.seq, None)
        if helped is not None:
            known = self.view.members.get(body.sender)
            self._send(helped[0], "ack", helped[1], target=None if known is None else row(known.news))

    def _nack(self, source: Where, body: Body) -> None:
        if body.seq in self.probes:
            self.probes[body.seq].nacks += 1

    def _help(self, source: Where, body: Body) -> None:
        """Probe for another; it hears no before its period ends if nothing comes (Lifeguard IV-A)."""
        if body.target is None or len(self.helping) >= MOST_PENDING:
            return
        seq = self._number()
        self.helping[seq] = (source, body.seq, self.now + self.timing.probe)
        self._send((body.target.host, body.target.port), "ping", seq, gossip=True, first=body.target.name)

    def _check_helping(self) -> None:
        for seq, (whom, number, until) in list(self.helping.items()):
            if self.now >= until:
                del self.helping[seq]
                self._send(whom, "nack", number)

    # Meeting

    def _exchange(self) -> None:
        """Now and then all is told to one other, at times to one that failed, or a seed: parts meet again."""
        self.view.forget(self.now)
        there = self.view.others(State.JOINING, State.ALIVE, State.SUSPECT)
        gone = self.view.others(State.FAILED)
        self.exchange_at = self.now + self.timing.exchange // 2 + self.random.randrange(self.timing.exchange)
        if self.stale or not there or self.now < self.meeting_until:
            self.exchange_at = self.now + self.timing.period + self.random.randrange(self.timing.period)
        whom = [
            self.view.members[name].news.where
            for name in (
                self.random.sample(there, min(len(there), 2 if self.stale else 1)),
                self.random.sample(gone, min(len(gone), 1)),
            )[0 if there and self.random.random() < 0.5 else 1]
            or there[:1]
        ]
        if self.stale or not there or self.random.random() < 0.2:
            whom += [seed for seed in self.seeds if seed != self.me.where][:8]
        for where in dict.fromkeys(whom):
            self._send(where, "join", self._number(), rows=[row(self.me)])

    def _join(self, source: Where, body: Body) -> None:
        """Somebody wants to know all; what it told of itself was taken already."""
        self._send_all(source, body.seq)

    def _full(self, source: Where, body: Body) -> None:
        """A part of another's view; who agrees needs no answer, who does not gets ours."""
        if body.seq == 0 or body.digest == self.view.digest()[:8]:
            return
        self._send_all(source, 0)

    def _send_all(self, to: Where, seq: int) -> None:
        """The whole view, in as many datagrams as it takes; the last asks for theirs if they differ."""
        rows: list[Row] = []
        parts = [rows]
        room = ROOM
        for name in sorted(self.view.members, key=lambda _: self.random.random()):
            told = row(self.view.members[name].news)
            if _bytes(told) > room or len(rows) >= MOST_ROWS:
                rows, room = [], ROOM
                parts.append(rows)
            rows.append(told)
            room -= _bytes(told)
        for n, part in enumerate(parts):
            self._send(to, "full", seq if n == len(parts) - 1 else 0, rows=part)

    def _former(self, source: Where, body: Body) -> None:
        if body.target is not None and body.target.name == self.view.me:
            self._of_me(body.target.news())

    # Facts, where there is a board

    @property
    def asking(self) -> bool:
        """Whether this forwarder still waits for what others have heard."""
        return self.now < self.asking_until and not self._enough()

    def _enough(self) -> bool:
        """Some have answered, or all that there are."""
        others = self.view.others(State.JOINING, State.ALIVE, State.SUSPECT)
        return bool(self.answers) and len(self.answers) >= min(3, len(others)) and not self.stale

    def ask(self, now: int, for_us: int) -> None:
        """Ask some what they have heard, again and again until some have answered or the time is up."""
        self._look(now)
        self.asking_until, self.ask_at = now + for_us, now

    def say(
        self, now: int, kind: RecordKind, subject: str, value: int = 0, lasted: int = 0, urgent: bool = False
    ) -> None:
        """This forwarder has seen it; what is urgent leaves at once, and does not wait for the next probe."""
        self._look(now)
        if self.board is None or self.yielded:
            return
        self.board.life = self.life
        self.board.say(now, kind, subject, value, lasted)
        if urgent:
            there = self.view.others(State.ALIVE)
            for name in self.random.sample(there, min(len(there), self.timing.helpers)):
                self._send(self.view.members[name].news.where, "facts", 0, gossip=True)

    def _ask(self) -> None:
        self.ask_at = self.now + ASK_US
        there = [n for n in self.view.others(State.JOINING, State.ALIVE, State.SUSPECT) if n not in self.answers]
        for name in self.random.sample(there, min(len(there), 3)):
            self._send(self.view.members[name].news.where, "ask", self._number())

    def _asked(self, source: Where, body: Body) -> None:
        if self.board is None or self.asking or self.stale:
            return  # it has heard nothing itself
        parts = self.board.all(self.now, body.sender, ROOM, MOST_ANSWERS)
        for n, part in enumerate(parts):
            self._send(source, "facts", body.seq if n == len(parts) - 1 else 0)
            self.out[-1][1].facts = part

    def _answered(self, source: Where, body: Body) -> None:
        if body.seq:
            self.answers.add(body.sender)


def _bytes(told: Row) -> int:
    """What a row takes in a datagram, rounded up."""
    return 36 + len(told.name.encode()) + len(told.host) + len(told.id) + len(told.version) + len(told.by.encode())
