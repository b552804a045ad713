"""What one forwarder knows of all, and which of two news of a member goes before the other. Pure."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field, replace
from enum import Enum, IntEnum

INCARNATIONS_PER_START = 1 << 20
"""An incarnation is a member's life (how often it was started) times this, plus how often it has refuted in it."""
MAX_MEMBERS = 5000
FORGET_AFTER_US = 3_600_000_000
"""So long it is remembered that a member failed or left: old news of it must not bring it back."""


class MemberState(IntEnum):
    """What a member is. Of two news of one incarnation the greater goes first (SWIM, section 4.2)."""

    JOINING = 0
    ALIVE = 1
    SUSPECT = 2
    FAILED = 3
    LEFT = 4


class MemberPhase(IntEnum):
    """What a member tells of itself."""

    SERVING = 0
    LEAVING = 1
    RECOVERING = 2


class Source(Enum):
    """How news came."""

    ITSELF = "from itself"
    TOLD = "by gossip"
    MERGED = "by a full exchange"
    OWN = "found here"


SocketAddress = tuple[str, int]


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """One member's state, as it travels."""

    name: str
    address: SocketAddress
    incarnation: int
    state: MemberState
    process_id: str = ""
    """Drawn at each start of the process: tells two that claim one name."""
    phase: MemberPhase = MemberPhase.SERVING
    version: str = ""
    suspected_by: str = ""
    """Who suspects it."""

    def supersedes(self, old: MemberRecord) -> bool:
        """Whether this replaces what was known (SWIM, section 4.2): a later incarnation does, but what failed or
        left comes back only by one; of the same the stronger state does.
        """
        if self.incarnation != old.incarnation:
            later = self.incarnation > old.incarnation
            ends = self.state >= MemberState.FAILED and old.state < MemberState.FAILED
            return later or (
                ends
                and self.state is MemberState.LEFT
                and self.incarnation // INCARNATIONS_PER_START == old.incarnation // INCARNATIONS_PER_START
            )
        return self.state > old.state or (self.state == old.state <= MemberState.ALIVE and self.phase != old.phase)


@dataclass(slots=True)
class Member:
    record: MemberRecord
    since_us: int
    """When it took on this state here, in microseconds."""
    source: Source
    last_heard_us: int = 0
    """When a datagram of its own last came."""


@dataclass(slots=True)
class MembershipView:
    """All members, this one among them."""

    name: str
    members: dict[str, Member] = field(default_factory=dict)
    version: int = 0
    """Grows with each change."""
    changed_at_us: int = 0
    """When it last did."""
    _names_by_states: dict[tuple[MemberState, ...], list[str]] = field(default_factory=dict)
    _names_version: int = -1
    """The number of the view that the lists are of: each is made once a change, not once a datagram."""

    def apply(self, news: MemberRecord, known: Source, now: int) -> bool:
        """Take news on, if it goes before what is known. Whether it did."""
        old = self.members.get(news.name)
        if old is None:
            if len(self.members) >= MAX_MEMBERS:
                return False
            self.members[news.name] = Member(news, now, known)
        elif not news.supersedes(old.record):
            return False
        else:
            since = old.since_us if old.record.state == news.state else now
            self.members[news.name] = Member(news, since, known, old.last_heard_us)
        self.version, self.changed_at_us = self.version + 1, now
        return True

    def _names_in(self, *states: MemberState) -> list[str]:
        if self._names_version != self.version:
            self._names_by_states, self._names_version = {}, self.version
        if states not in self._names_by_states:
            self._names_by_states[states] = sorted(name for name, m in self.members.items() if m.record.state in states)
        return self._names_by_states[states]

    def present(self) -> list[str]:
        """Those that are not known to be gone, in the order of their names. Not to be changed."""
        return self._names_in(MemberState.JOINING, MemberState.ALIVE, MemberState.SUSPECT)

    def others_in(self, *states: MemberState) -> list[str]:
        return [name for name in self._names_in(*states) if name != self.name]

    def digest(self) -> str:
        """By this two forwarders tell whether they agree on who is there, whatever each calls a suspect."""
        text = "\n".join(
            f"{name} {self.members[name].record.incarnation // INCARNATIONS_PER_START}" for name in self.present()
        )
        return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()

    def forget_expired(self, now: int) -> None:
        """Drop those long gone."""
        old = [
            name
            for name, m in self.members.items()
            if m.record.state >= MemberState.FAILED and now - m.since_us > FORGET_AFTER_US and name != self.name
        ]
        for name in old:
            del self.members[name]
        if old:
            self.version, self.changed_at_us = self.version + 1, now

    def update_self(self, now: int, **changes: object) -> MemberRecord:
        """Change what this forwarder tells of itself."""
        old = self.members[self.name]
        news = replace(old.record, **changes)  # type: ignore[arg-type]
        self.members[self.name] = Member(news, now if news.state != old.record.state else old.since_us, Source.OWN)
        self.version, self.changed_at_us = self.version + 1, now
        return news
