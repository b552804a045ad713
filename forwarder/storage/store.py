"""The write-ahead journal in $LB_STATE: what was taken on, and how far it got, outlasts the process.

The format, and what a loss means, are in journal.py; the files in journal_files.py. A plain write is enough, since
they outlast the process without a sync. A file that is damaged is set aside, and what it still tells is written anew.
Once the journal has grown enough, a snapshot is written beside it, in steps that do not hold the loop.
Kinds of records, by the first item of the line:
  taken [id, class, destination, due, key, tenant, attempts, ran_at, ran_on, [[number, at, host]...]] + body,
        the class as a list of its fields; one more item, the idempotency key (or null), and one more, the attempts
        that were held, as [first, last] each, where there are any
  attempt [id, number, at, host], before the call's first byte; outcome [id, number, may have run]; held [id, number],
        of a call that this machine could not make: no try
  rest [key, until]: the key's next message waits, since a call may still run
  over [id]; ended [ids], those that were over when the snapshot was written
  owed [id, state, after_ms, key], an end that the platform has not acknowledged; told [id]
  list {seq, hosts}: the last list, since `known` may be older than what this forwarder was told of drains
  names [hosts]: all that were ever listed; ban [host, since]: left out by operators, -1: not any more
  outage [host, since, back]: a target seen in an outage; its cold budget must hold across a restart too.
Waits are not kept: a restart ends them. Windows and means are not either: they are soon learned anew.
"""

from __future__ import annotations

import logging
import secrets
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from forwarder.decisions.settings import Effect, MessageClass, Scope
from forwarder.storage import journal
from forwarder.storage.journal_files import BLOCK, JournalFiles, Line

SECOND = 1_000_000
ROOM = 128 * 1024  # kept free for the small records that follow a message that was taken on
FIRST_RETRY_S, MOST_RETRY_S = 0.05, 1.0  # pauses between attempts to write anew after a failure: doubled up to the top
LEAST_COMPACT = 256 * 1024  # below this size the files are left to grow
STEP = 64 * 1024  # bytes of a snapshot that are written at once: under a millisecond
MOST_FILES = 8  # what rounding them up to whole blocks may take
PART = 1000  # ids or names in one record of a snapshot
OUTAGE_KEPT_US = 3_600_000_000
MOST_NAMES = 2000  # hosts remembered that were once listed
MOST_RESTS = 256  # with more of them, those that are over are dropped
MOST_ENDED = 8192  # ids remembered after their end: more than a minute's at full load
PER_MESSAGE = 400  # what a held message's further records may add to a compacted file
log = logging.getLogger("forwarder.store")


@dataclass(slots=True)
class AcceptedMessage:
    """A message that was taken on, with all that is needed to go on with it."""

    id: str
    cls: MessageClass
    destination: int
    due_us: int
    key: str | None
    tenant: str | None
    body: bytes
    attempts: int = 0
    held: set[int] = field(default_factory=set)
    """The numbers of those that this machine could not make: no tries."""
    ran_at_us: int = -1
    ran_on: str = ""
    out: dict[int, tuple[int, str]] = field(default_factory=dict)
    idempotency_key: str | None = None
    doubtful: bool = False
    """Records were lost while it was held: it may have run, and it may be over."""

    @property
    def held_back(self) -> int:
        """How many attempts this machine could not make."""
        return len(self.held)

    @property
    def size(self) -> int:
        return len(self.body) + len(self.id) + len(self.idempotency_key or "") + PER_MESSAGE


class PendingNotice(NamedTuple):
    """An end that the platform has not acknowledged; until it has, the key's next message must wait."""

    state: str
    after_ms: int
    key: str | None


class MessageStore:
    """Appends are gathered; `flush` writes them, before anything that they precede leaves."""

    def __init__(
        self, folder: Path, most_bytes: int, classes: Mapping[str, MessageClass] | None = None, salt: int | None = None
    ) -> None:
        """Reads the journal, and writes nothing. `salt` is what the folder's identity tells of it. Raises OSError
        where it cannot be read, and NewerFormat.
        """
        self.classes = classes or {}  # for journals that tell a class by its name only
        self.files = JournalFiles(folder, most_bytes - MOST_FILES * BLOCK)
        self.messages: dict[str, AcceptedMessage] = {}
        self.ended: dict[str, None] = {}  # the oldest first
        self.owed: dict[str, PendingNotice] = {}
        self.outages: dict[str, tuple[int, int]] = {}
        self.hosts: dict[str, dict[str, Any]] = {}
        self.names: dict[str, None] = {}  # all that were ever listed, those named longest ago first
        self.bans: dict[str, int] = {}
        self.rests: dict[str, int] = {}  # until when keys rest; those that are over are dropped now and then
        self.seq = -1
        self.live, self.list_size, self.ended_size = 0, 0, 0
        self.failed, self.compactions = False, 0
        """Whether the files may lack what memory has: until all is written anew."""
        self.owned = False
        self.monotonic_s: Callable[[], float] = time.monotonic
        self.retry_at_s, self.retry_pause_s, self.write_failures = 0.0, FIRST_RETRY_S, 0
        self.unwritten_ends: dict[str, int] = {}
        """Ends that are owed and not on record, each with the time at which its message is over in any case."""
        self.unrecorded: set[str] = set()
        """Messages that were taken since all was last on record: their clients have no answer yet."""
        self.pending: list[bytes] = []
        self.touched: set[str] = set()  # ids that later records tell of, whose message itself is lost
        self.found = journal.recover_journal(self.files.names(), self.files.read, salt)
        known = salt if self.found.salt is None else self.found.salt
        self.salt: int = secrets.randbits(32) if known is None else known
        self.number = self.found.last.number
        self.records = 0
        self.replay(self.found)

    @property
    def fd(self) -> int:
        """The journal that is written to."""
        return self.files.fd

    @property
    def size(self) -> int:
        """Bytes that a start would read."""
        return self.files.since()

    @property
    def aside(self) -> int:
        """Bytes of damaged files that are kept for people."""
        return self.files.aside

    @property
    def durable(self) -> bool:
        """What replaces other files is synced before, and the folder after: set by a part."""
        return self.files.durable

    @durable.setter
    def durable(self, to: bool) -> None:
        self.files.durable = to

    def own(self) -> MessageStore:
        """From here on the journal is written, by this process alone. A folder that cannot be written just now costs
        what comes new, and is tried again. Raises OSError where it is of a version that cannot be gone on with.
        """
        try:
            self._own()
        except OSError as error:
            self._cannot(error)
        if self.found.version < journal.VERSION and self.failed:
            raise OSError(f"{self.files.folder} is of an older version, and cannot be written anew")
        return self

    def _own(self) -> None:
        """Raises OSError."""
        self.files.own(self.found, self.salt)
        self.owned = True
        if self.found.damaged or self.found.version < journal.VERSION:
            self.compact()

    # Reading

    def replay(self, found: journal.RecoveredJournal) -> None:
        """Take on all sound records. After a loss, what was held then is doubtful."""
        readers: dict[str, Callable[[list[Any], bytes], None]] = {
            "taken": self._taken,
            "attempt": self._attempt,
            "outcome": self._outcome,
            "held": self._held,
            "rest": self._rest,
            "over": self._over,
            "ended": self._ended,
            "owed": self._owed,
            "told": self._told,
            "list": self._list,
            "outage": self._outage,
            "names": self._names,
            "ban": self._ban,
        }
        for record in found.records():
            self.records += 1
            if record.after_loss:
                self._doubt()
            try:
                kind, *rest = record.line
                if found.damaged and kind in ("attempt", "outcome") and not self.knows(rest[0]):
                    self.touched.add(rest[0])
                readers[kind](rest, record.body)
            except (ValueError, KeyError, TypeError) as error:
                log.error("journal: a record of unknown form is passed over: %r", error)
        if found.tail_lost:
            self._doubt()
        self.touched -= self.ended.keys() | self.messages.keys() | self.owed.keys()
        if found.damaged:
            log.error("journal: %s", self.damage())
        elif found.torn:
            log.warning("journal: cut %d bytes of a torn tail", found.torn)

    def _doubt(self) -> None:
        for m in self.messages.values():
            m.doubtful = True

    def damage(self) -> str:
        """What is wrong with the journal as it was found, in words; empty where nothing is."""
        found = self.found
        if not found.damaged:
            return ""
        doubtful = sum(m.doubtful for m in self.messages.values())
        return (
            f"damaged in {len(found.regions)} places, {sum(b - a for _, a, b in found.regions)} bytes; "
            f"{found.missing} records are missing{f', {found.gaps} files' if found.gaps else ''}"
            f"{', and more at its end' if found.tail_lost else ''}; "
            f"{doubtful} messages are in doubt, {len(self.touched)} known by their id alone"
        )

    def _taken(self, rest: list[Any], body: bytes) -> None:
        name, cls, destination, due, key, tenant, attempts, ran_at, ran_on, out, *more = rest
        m = AcceptedMessage(
            name,
            self._class(cls),
            destination,
            due,
            key,
            tenant,
            body,
            max([attempts, *(number + 1 for number, _, _ in out)]),
            ran_at_us=ran_at,
            ran_on=ran_on,
            out={number: (at, host) for number, at, host in out},
            idempotency_key=more[0] if more else None,
            held={number for first, last in (more[1] if len(more) > 1 else ()) for number in range(first, last + 1)},
        )
        if m.id in self.messages:  # a snapshot may have it too
            self.live -= self.messages[m.id].size
        self.messages[m.id] = m
        self.live += m.size

    def _class(self, told: Any) -> MessageClass:
        """The class of a message that was taken on. One of which nothing is known may not be repeated."""
        if isinstance(told, str):
            return self.classes.get(told) or MessageClass(told, SECOND, SECOND, Effect.ONCE)
        name, aim, deadline, effect, scope, *others = told
        return MessageClass(name, aim, deadline, Effect(effect), Scope(scope), *others)

    def _attempt(self, rest: list[Any], body: bytes) -> None:
        name, number, at, host = rest
        if name in self.messages:
            m = self.messages[name]
            m.out[number] = (at, host)
            m.attempts = max(m.attempts, number + 1)

    def _outcome(self, rest: list[Any], body: bytes) -> None:
        name, number, ran = rest
        if name in self.messages:
            self._settle(self.messages[name], number, ran)

    def _held(self, rest: list[Any], body: bytes = b"") -> None:
        name, number = rest
        if name in self.messages:
            self.messages[name].out.pop(number, None)
            self.messages[name].held.add(number)

    def _rest(self, rest: list[Any], body: bytes = b"") -> None:
        key, until_us = rest
        self.rests[key] = max(until_us, self.rests.get(key, 0))

    @staticmethod
    def _settle(m: AcceptedMessage, number: int, ran: bool) -> None:
        sent = m.out.pop(number, None)
        if ran and sent is not None and (m.ran_at_us < 0 or sent[0] < m.ran_at_us):
            m.ran_at_us, m.ran_on = sent

    def _over(self, rest: list[Any], body: bytes = b"") -> None:
        m = self.messages.pop(rest[0], None)
        if m is not None:
            self.live -= m.size
        self._ended([[rest[0]]])  # a snapshot may have been written when it was over already

    def _ended(self, rest: list[Any], body: bytes = b"") -> None:
        """What is over must be known again: taken on a second time, it would be sent a second time."""
        for name in rest[0]:
            if name not in self.ended:
                self.ended[name] = None
                self.ended_size += len(name) + 3
        while len(self.ended) > MOST_ENDED:
            oldest = next(iter(self.ended))
            del self.ended[oldest]
            self.ended_size -= len(oldest) + 3

    def _owed(self, rest: list[Any], body: bytes = b"") -> None:
        self._over(rest)
        name, state, after_ms, key = rest
        self.owed[name] = PendingNotice(state, after_ms, key)

    def _told(self, rest: list[Any], body: bytes = b"") -> None:
        self.owed.pop(rest[0], None)

    def _list(self, rest: list[Any], body: bytes = b"") -> None:
        self.seq = rest[0]
        self.hosts = {h["host"]: h for h in rest[1]}
        self.list_size = 200 * len(self.hosts)
        self._names([[*self.hosts]])

    def _names(self, rest: list[Any], body: bytes = b"") -> None:
        for name in rest[0]:
            self.names.pop(name, None)
            self.names[name] = None
        while len(self.names) > MOST_NAMES:
            del self.names[next(iter(self.names))]

    def _ban(self, rest: list[Any], body: bytes = b"") -> None:
        host, since = rest
        if since < 0:
            self.bans.pop(host, None)
        else:
            self.bans[host] = since

    def _outage(self, rest: list[Any], body: bytes = b"") -> None:
        host, since, back = rest
        if since < 0:
            self.outages.pop(host, None)
        else:
            self.outages[host] = (since, back)

    # Writing

    def take(self, m: AcceptedMessage) -> None:
        self.unrecorded.add(m.id)
        self.messages[m.id] = m
        self.live += m.size
        self.pending.append(self._record(self._line(m), m.body))

    def attempt(self, m: AcceptedMessage, number: int, at_us: int, host: str) -> None:
        m.out[number] = (at_us, host)
        m.attempts = max(m.attempts, number + 1)
        self.append("attempt", m.id, number, at_us, host)

    def outcome(self, m: AcceptedMessage, number: int, ran: bool) -> None:
        self._settle(m, number, ran)
        self.append("outcome", m.id, number, ran)

    def held(self, m: AcceptedMessage, number: int) -> None:
        """An attempt that this machine could not make."""
        self._held([m.id, number])
        self.append("held", m.id, number)

    def rest(self, key: str, until_us: int, now_us: int) -> None:
        """The next message of a key waits until then, also after a restart."""
        if len(self.rests) >= MOST_RESTS:
            self.rests = {known: until for known, until in self.rests.items() if until > now_us}
        self._rest([key, until_us])
        self.append("rest", key, until_us)

    def over(self, name: str) -> None:
        """Delivered, withdrawn or told by a target to be over: nothing is owed for it any more."""
        if name in self.messages:
            self._over([name])
            self.append("over", name)

    def owe(self, name: str, state: str, after_ms: int) -> None:
        owed = [name, state, after_ms, self.messages[name].key]
        self.unwritten_ends[name] = self.messages[name].due_us
        self._owed(owed)
        self.append("owed", *owed)

    def owe_stranger(self, name: str) -> None:
        """A message whose record was lost, and of which later ones tell: it was taken on, and ends here."""
        owed = [name, "failed", 0, None]
        self._ended([[name]])
        self._owed(owed)
        self.append("ended", [name])
        self.append("owed", *owed)

    def told(self, name: str) -> None:
        if name in self.owed:
            self._told([name])
            self.append("told", name)

    def list(self, seq: int, hosts: dict[str, dict[str, Any]], now_us: int) -> None:
        """A target may leave the list in an outage and come back cold: its outage is kept for a time."""
        self.seq, self.hosts = seq, dict(hosts)
        self.outages = {h: o for h, o in self.outages.items() if max(o) > now_us - OUTAGE_KEPT_US}
        self.append("list", seq, [*hosts.values()])
        self.list_size = len(self.pending[-1])
        self._names([[*hosts]])

    def outage(self, host: str, since_us: int, back_us: int) -> None:
        self._outage([host, since_us, back_us])
        self.append("outage", host, since_us, back_us)

    def note_names(self, names: Iterable[str]) -> None:
        """Hosts that were listed elsewhere than in a list record."""
        fresh = [name for name in names if name not in self.names]
        if fresh:
            self._names([fresh])
            self.append("names", fresh)

    def ban(self, host: str, since_us: int) -> None:
        self._ban([host, since_us])
        self.append("ban", host, since_us)

    def append(self, *line: Any) -> None:
        self.pending.append(self._record(line))

    def _record(self, line: tuple[Any, ...], body: bytes = b"") -> bytes:
        self.number += 1
        return journal.record(self.salt, self.number, line, body)

    @staticmethod
    def _line(m: AcceptedMessage) -> Line:
        out = [[n, at, host] for n, (at, host) in m.out.items()]
        c = m.cls
        cls = [
            c.name,
            c.latency_objective_us,
            c.deadline_us,
            c.effect.value,
            c.key_scope.value,
            c.retry_window_us,
            c.in_order,
            c.priority_weight,
            c.late_weight,
        ]
        more: Line = () if m.idempotency_key is None else (m.idempotency_key,)
        if m.held:
            more = (m.idempotency_key, _ranges(m.held))
        return (
            "taken",
            m.id,
            cls,
            m.destination,
            m.due_us,
            m.key,
            m.tenant,
            m.attempts,
            m.ran_at_us,
            m.ran_on,
            out,
            *more,
        )

    def knows(self, name: str) -> bool:
        """Whether a message of that id was taken on, be it over or not."""
        return name in self.messages or name in self.ended

    def has_room(self, more: int) -> bool:
        """Whether one more message of that size leaves room for a compacted file beside the old one."""
        others = 200 * len(self.owed) + self.ended_size + self.list_size + 100 * len(self.outages)
        others += 60 * (len(self.names) + len(self.bans))
        return not self.failed and 2 * (self.live + more + PER_MESSAGE + others) + ROOM <= self.files.most - self.aside

    def flush(self) -> bool:
        """Write what was gathered, and a little more of a snapshot that is being written. Whether all that was ever
        gathered is written now: nothing may leave that an unwritten record precedes (see docs/state.md). A snapshot
        that fails afterwards takes nothing of that back.
        """
        written = self._write() if self.pending or self.failed else True
        if written:
            self._all_recorded()
        if not self.failed:
            self.step()
        return written

    def _write(self) -> bool:
        """Whether what was gathered is on record."""
        data, self.pending = b"".join(self.pending), []
        if self.failed:
            return self.retry()
        if self._crowded(len(data)):
            recorded = self._made_anew(len(data))
            if recorded or self.failed:
                return recorded
        try:
            self.files.append(data)
        except OSError as error:
            # A full disk must not end the process: what is held is delivered, new work is refused.
            self._cannot(error)
            return self.retry()  # the one moment may be over
        return True

    def _all_recorded(self) -> None:
        self.unwritten_ends.clear()
        self.unrecorded.clear()

    def retry(self) -> bool:
        """Write all anew, after a failure, if it is time to try that again. Whether the files have everything now."""
        if not self.failed:
            return True
        if self.monotonic_s() < self.retry_at_s:
            return False
        recorded = False
        try:
            if not self.owned:
                self._own()
            recorded = self.compact()
        except OSError as error:
            self._cannot(error)
        if self.failed:
            self.retry_at_s = self.monotonic_s() + self.retry_pause_s
            self.retry_pause_s = min(2 * self.retry_pause_s, MOST_RETRY_S)
        else:
            log.warning("journal: can be written again; all is written anew")
            self.retry_pause_s = FIRST_RETRY_S
        return recorded

    def forget(self, name: str) -> None:
        """A message that was never taken on after all, since that could not be written."""
        self.unrecorded.discard(name)
        m = self.messages.pop(name, None)
        if m is not None:
            self.live -= m.size

    def may_tell(self, name: str, now_us: int) -> bool:
        """Whether an end may be told to the platform: it is on record, or its message's time is over, so that a restart
        that finds the message again can only end it too.
        """
        return not self.failed or self.unwritten_ends.get(name, now_us) <= now_us

    def step(self) -> None:
        """Begin a snapshot where one is due, or write a little more of it."""
        if self.failed:
            return
        if self.files.writing is not None:
            try:
                self.compactions += self.files.step(STEP)
            except OSError as error:
                self._cannot(error)
        elif self.size > max(LEAST_COMPACT, 4 * self._kept()):
            self.begin_snapshot()

    def begin_snapshot(self) -> None:
        """Close the journal and begin the next generation, whose snapshot is written in steps from here on."""
        last, self.pending = b"".join([*self.pending, self._record((journal.CLOSED,))]), []
        try:
            self.files.begin(last, self.salt, self._contents(self._recorded()))
            self.number = 0
        except OSError as error:
            self._cannot(error)

    def _cannot(self, error: OSError) -> None:
        """Until all is written anew, the files may lack what memory has."""
        self.write_failures += 1
        if not self.failed:
            log.error("journal: cannot write: %s; new work is refused until it can be written anew", error)
        self.failed = True
        self.files.abandon()

    def _kept(self) -> int:
        """Bytes of a snapshot, or nearly."""
        return self.live + self.ended_size + self.list_size

    def _crowded(self, more: int) -> bool:
        """Whether so many bytes more, and a whole snapshot beside all files, would come near the limit."""
        left = self._kept() - (self.files.writing.size if self.files.writing is not None else 0)
        return self.files.used() + more + max(0, left) + ROOM // 2 > self.files.most

    def _made_anew(self, more: int) -> bool:
        """Make room: by what is older than the newest snapshot, by ending the one that is being written, by writing
        all anew at once. Whether the last was done, which holds what was to be written too.
        """
        if not self.failed:
            try:
                self.files.drop_older()
                while self._crowded(more) and self.files.writing is not None:
                    self.compactions += self.files.step(STEP)
                    self.files.drop_older()
            except OSError as error:
                self._cannot(error)
        return (self.failed or self._crowded(more)) and self.compact()

    def _recorded(self) -> Iterator[AcceptedMessage]:
        """The messages that a snapshot in steps holds: what is not on record yet may still be refused, and if it is
        not, the journal beside the snapshot has it.
        """
        return (m for m in [*self.messages.values()] if m.id not in self.unrecorded)

    def _contents(self, messages: Iterable[AcceptedMessage]) -> Iterator[tuple[Line, bytes]]:
        """All that a snapshot holds. It is asked for in steps, and what has ended meanwhile is left out."""
        yield ("list", self.seq, [*self.hosts.values()]), b""
        yield from ((("names", part), b"") for part in _parts(self.names))
        yield from ((("ban", h, since), b"") for h, since in [*self.bans.items()])
        yield from ((("outage", h, *o), b"") for h, o in [*self.outages.items()])
        yield from ((("rest", key, until), b"") for key, until in [*self.rests.items()])
        yield from ((("ended", part), b"") for part in _parts(self.ended))
        yield from ((self._line(m), m.body) for m in messages if m.id in self.messages)
        yield from ((("owed", name, *end), b"") for name, end in [*self.owed.items()] if name in self.owed)

    def compact(self) -> bool:
        """Write all that counts anew, in one go, in place of all files; what waits to be written is in it. Whether all
        is on record now: also where the snapshot counts, but the journal to go on with could not be begun.
        """
        before, self.number = self.number, 0
        snapshot = self.files.snapshot
        try:
            self.files.renew(self.salt, self._contents(self.messages.values()))
        except OSError as error:
            self._cannot(error)
            self.number = before
            if self.files.snapshot == snapshot:
                return False
        else:
            self.failed = False
            self.compactions += 1
        self.pending = []  # memory is ahead of the files, so the new ones hold these too
        self._all_recorded()
        return True

    def close(self) -> None:
        self.flush()
        self.files.close()


def _ranges(numbers: Iterable[int]) -> list[list[int]]:
    """Runs of numbers, each by its first and last."""
    runs: list[list[int]] = []
    for number in sorted(numbers):
        if runs and number == runs[-1][1] + 1:
            runs[-1][1] = number
        else:
            runs.append([number, number])
    return runs


def _parts(names: Iterable[str]) -> list[list[str]]:
    every = [*names]
    return [every[at : at + PART] for at in range(0, len(every), PART)]
