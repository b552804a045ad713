"""What one forwarder knows of all, and which of two news of a member goes before the other. Pure."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field, replace
from enum import Enum, IntEnum

LIFE = 1 << 20
"""An incarnation is a member's life (how often it was started) times this, plus how often it has refuted in it."""
MOST_MEMBERS = 5000
FORGET_US = 3_600_000_000
"""So long it is remembered that a member failed or left: old news of it must not bring it back."""


class State(IntEnum):
    """What a member is. Of two news of one incarnation the greater goes first (SWIM, section 4.2)."""

    JOINING = 0
    ALIVE = 1
    SUSPECT = 2
    FAILED = 3
    LEFT = 4


class Phase(IntEnum):
    """What a member tells of itself."""

    SERVING = 0
    LEAVING = 1
    RECOVERING = 2


class Known(Enum):
    """How news came."""

    ITSELF = "from itself"
    TOLD = "by gossip"
    MERGED = "by a full exchange"
    OWN = "found here"


Where = tuple[str, int]


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """One member's state, as it travels."""

    name: str
    where: Where
    incarnation: int
    state: State
    id: str = ""
    """Drawn at each start of the process: tells two that claim one name."""
    phase: Phase = Phase.SERVING
    version: str = ""
    by: str = ""
    """Who suspects it."""

    def over(self, old: MemberRecord) -> bool:
        """Whether this replaces what was known (SWIM, section 4.2): a later incarnation does, but what failed or
        left comes back only by one; of the same the stronger state does.
        """
        if self.incarnation != old.incarnation:
            later = self.incarnation > old.incarnation
            ends = self.state >= State.FAILED and old.state < State.FAILED
            return later or (ends and self.state is State.LEFT and self.incarnation // LIFE == old.incarnation // LIFE)
        return self.state > old.state or (self.state == old.state <= State.ALIVE and self.phase != old.phase)


@dataclass(slots=True)
class Member:
    news: MemberRecord
    since: int
    """When it took on this state here, in microseconds."""
    known: Known
    heard: int = 0
    """When a datagram of its own last came."""


@dataclass(slots=True)
class MembershipView:
    """All members, this one among them."""

    me: str
    members: dict[str, Member] = field(default_factory=dict)
    number: int = 0
    """Grows with each change."""
    changed: int = 0
    """When it last did."""
    _lists: dict[tuple[State, ...], list[str]] = field(default_factory=dict)
    _listed: int = -1
    """The number of the view that the lists are of: each is made once a change, not once a datagram."""

    def take(self, news: MemberRecord, known: Known, now: int) -> bool:
        """Take news on, if it goes before what is known. Whether it did."""
        old = self.members.get(news.name)
        if old is None:
            if len(self.members) >= MOST_MEMBERS:
                return False
            self.members[news.name] = Member(news, now, known)
        elif not news.over(old.news):
            return False
        else:
            since = old.since if old.news.state == news.state else now
            self.members[news.name] = Member(news, since, known, old.heard)
        self.number, self.changed = self.number + 1, now
        return True

    def _of(self, *states: State) -> list[str]:
        if self._listed != self.number:
            self._lists, self._listed = {}, self.number
        if states not in self._lists:
            self._lists[states] = sorted(name for name, m in self.members.items() if m.news.state in states)
        return self._lists[states]

    def there(self) -> list[str]:
        """Those that are not known to be gone, in the order of their names. Not to be changed."""
        return self._of(State.JOINING, State.ALIVE, State.SUSPECT)

    def others(self, *states: State) -> list[str]:
        return [name for name in self._of(*states) if name != self.me]

    def digest(self) -> str:
        """By this two forwarders tell whether they agree on who is there, whatever each calls a suspect."""
        text = "\n".join(f"{name} {self.members[name].news.incarnation // LIFE}" for name in self.there())
        return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()

    def forget(self, now: int) -> None:
        """Drop those long gone."""
        old = [
            name
            for name, m in self.members.items()
            if m.news.state >= State.FAILED and now - m.since > FORGET_US and name != self.me
        ]
        for name in old:
            del self.members[name]
        if old:
            self.number, self.changed = self.number + 1, now

    def set_self(self, now: int, **changes: object) -> MemberRecord:
        """Change what this forwarder tells of itself."""
        old = self.members[self.me]
        news = replace(old.news, **changes)  # type: ignore[arg-type]
        self.members[self.me] = Member(news, now if news.state != old.news.state else old.since, Known.OWN)
        self.number, self.changed = self.number + 1, now
        return news
