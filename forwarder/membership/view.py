"""What one forwarder knows of all members, and which of two records of a member replaces the other. Pure."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field, replace
from enum import Enum, IntEnum

INCARNATIONS_PER_START = 1 << 20
"""An incarnation is how often a member was started times this, plus how often it has changed its record since."""
MAX_MEMBERS = 5000
FORGET_AFTER_US = 3_600_000_000
"""So long it is remembered that a member failed or left: old records of it must not bring it back."""


class MemberState(IntEnum):
    """What a member is. Of two records of one incarnation the greater state wins (SWIM, section 4.2)."""

    JOINING = 0
    ALIVE = 1
    SUSPECT = 2
    FAILED = 3
    LEFT = 4


PRESENT = (MemberState.JOINING, MemberState.ALIVE, MemberState.SUSPECT)
"""States of members that are not known to be gone."""


class MemberPhase(IntEnum):
    """What a member tells of itself."""

    SERVING = 0
    LEAVING = 1
    RECOVERING = 2


class Source(Enum):
    """How a record came; the values are read by operators."""

    ITSELF = "from itself"
    TOLD = "by gossip"
    MERGED = "by a full exchange"
    OWN = "found here"


SocketAddress = tuple[str, int]
"""Host and port, as the socket functions take them."""


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """One member's state, as it travels."""

    name: str
    address: SocketAddress
    incarnation: int
    state: MemberState
    process_id: str = ""
    """Drawn at each start of the process: tells two processes apart that claim one name."""
    phase: MemberPhase = MemberPhase.SERVING
    version: str = ""
    suspected_by: str = ""

    @property
    def start_number(self) -> int:
        """How often the member was started."""
        return self.incarnation // INCARNATIONS_PER_START

    def supersedes(self, known: MemberRecord) -> bool:
        """Whether this record replaces the one that is known (SWIM, section 4.2).

        A later incarnation does, but what failed or left comes back only by one; of the same incarnation the stronger
        state does.
        """
        if self.incarnation == known.incarnation:
            phase_changed = self.state == known.state <= MemberState.ALIVE and self.phase != known.phase
            return self.state > known.state or phase_changed
        if self.incarnation > known.incarnation:
            return True
        left_since_start = self.state is MemberState.LEFT and self.start_number == known.start_number
        return left_since_start and known.state < MemberState.FAILED


@dataclass(slots=True)
class Member:
    """A member, as this forwarder knows it."""

    record: MemberRecord
    since_us: int
    """When it took on this state here."""
    source: Source
    last_heard_us: int = 0
    """When a datagram of its own last came."""


@dataclass(slots=True)
class MembershipView:
    """All members, this one among them."""

    name: str
    """This forwarder's own name."""
    members: dict[str, Member] = field(default_factory=dict)
    version: int = 0
    """Grows with each change."""
    changed_at_us: int = 0
    """When it last did."""
    _names_by_states: dict[tuple[MemberState, ...], list[str]] = field(default_factory=dict)
    _names_version: int = -1
    """Version of the view that the lists are of: each is made once a change, not once a datagram."""

    def apply(self, record: MemberRecord, source: Source, now_us: int) -> bool:
        """Takes a record on, if it supersedes what is known. Returns whether it did."""
        known = self.members.get(record.name)
        if known is None:
            if len(self.members) >= MAX_MEMBERS:
                return False
            self.members[record.name] = Member(record, now_us, source)
        elif not record.supersedes(known.record):
            return False
        else:
            since_us = known.since_us if known.record.state == record.state else now_us
            self.members[record.name] = Member(record, since_us, source, known.last_heard_us)
        self._mark_changed(now_us)
        return True

    def _mark_changed(self, now_us: int) -> None:
        self.version += 1
        self.changed_at_us = now_us

    def _names_in(self, *states: MemberState) -> list[str]:
        if self._names_version != self.version:
            self._names_by_states = {}
            self._names_version = self.version
        if states not in self._names_by_states:
            names = [name for name, member in self.members.items() if member.record.state in states]
            self._names_by_states[states] = sorted(names)
        return self._names_by_states[states]

    def present(self) -> list[str]:
        """Names of those that are not known to be gone, sorted. The list must not be changed."""
        return self._names_in(*PRESENT)

    def others_in(self, *states: MemberState) -> list[str]:
        """Names of the other members in these states, sorted."""
        return [name for name in self._names_in(*states) if name != self.name]

    def digest(self) -> str:
        """Tells whether two forwarders agree on who is present, whichever of them each suspects."""
        text = "\n".join(f"{name} {self.members[name].record.start_number}" for name in self.present())
        return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()

    def forget_expired(self, now_us: int) -> None:
        """Drops members that are long gone."""
        expired = [
            name
            for name, member in self.members.items()
            if member.record.state >= MemberState.FAILED
            and now_us - member.since_us > FORGET_AFTER_US
            and name != self.name
        ]
        for name in expired:
            del self.members[name]
        if expired:
            self._mark_changed(now_us)

    def update_self(self, now_us: int, **changes: object) -> MemberRecord:
        """Changes fields of this forwarder's own record, and returns it."""
        known = self.members[self.name]
        record = replace(known.record, **changes)  # type: ignore[arg-type]
        since_us = now_us if record.state != known.record.state else known.since_us
        self.members[self.name] = Member(record, since_us, Source.OWN)
        self._mark_changed(now_us)
        return record
