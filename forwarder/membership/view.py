"""One forwarder's view of all members, and the rule by which a member's records replace each other. Pure."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field, replace
from enum import Enum, IntEnum

INCARNATIONS_PER_START = 1 << 20
"""An incarnation is the member's start number times this, plus the number of changes of its record since that start."""
MAX_MEMBERS = 5000
FORGET_AFTER_US = 3_600_000_000
"""Failed and left members are remembered for this time, so that old records do not make them present again."""


class MemberState(IntEnum):
    """State of a member. Of two records with the same incarnation, the one with the greater state wins (SWIM 4.2)."""

    JOINING = 0
    ALIVE = 1
    SUSPECT = 2
    FAILED = 3
    LEFT = 4


PRESENT = (MemberState.JOINING, MemberState.ALIVE, MemberState.SUSPECT)
"""States of present members, which are those not known to have failed or left."""


class MemberPhase(IntEnum):
    """Phase of a member, which it reports about itself."""

    SERVING = 0
    LEAVING = 1
    RECOVERING = 2


class Source(Enum):
    """How a record was received; the values are shown to operators."""

    ITSELF = "from itself"
    GOSSIP = "by gossip"
    FULL_EXCHANGE = "by a full exchange"
    LOCAL = "found here"


SocketAddress = tuple[str, int]
"""Host and port, in the form that socket functions take."""


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """One member's state, as it is exchanged between members."""

    name: str
    address: SocketAddress
    incarnation: int
    state: MemberState
    process_id: str = ""
    """Random, drawn at each start of the process; distinguishes two processes that claim the same name."""
    phase: MemberPhase = MemberPhase.SERVING
    version: str = ""
    suspected_by: str = ""

    @property
    def start_number(self) -> int:
        """Number of starts of the member."""
        return self.incarnation // INCARNATIONS_PER_START

    def supersedes(self, known: MemberRecord) -> bool:
        """Whether this record replaces the known one (SWIM 4.2).

        A record with a later incarnation does, and a failed or left member becomes present again only by one. With the
        same incarnation, the greater state does, or a changed phase of a member that is joining or alive. A record
        that the member has left also replaces a later incarnation of the same start, unless it is known to be gone.
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
    """A member in this forwarder's view."""

    record: MemberRecord
    since_us: int
    """Time at which its state last changed in this view."""
    source: Source
    last_heard_us: int = 0
    """Time at which the last datagram from it was received."""


@dataclass(slots=True)
class MembershipView:
    """All known members, including this one."""

    name: str
    """This forwarder's own name."""
    members: dict[str, Member] = field(default_factory=dict)
    version: int = 0
    """Incremented with each change."""
    changed_at_us: int = 0
    """Time of the last change."""
    _names_by_states: dict[tuple[MemberState, ...], list[str]] = field(default_factory=dict)
    _names_version: int = -1
    """Version of the view for which the cached lists were built. The cache avoids building them for each datagram."""

    def apply(self, record: MemberRecord, source: Source, now_us: int) -> bool:
        """Applies a record if it supersedes the known one. Returns whether it did."""
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
        """Returns the sorted names of present members. The list must not be modified."""
        return self._names_in(*PRESENT)

    def others_in(self, *states: MemberState) -> list[str]:
        """Returns the sorted names of the other members in these states."""
        return [name for name in self._names_in(*states) if name != self.name]

    def digest(self) -> str:
        """Returns a digest of the present members, which is the same for views that differ only in suspicions."""
        text = "\n".join(f"{name} {self.members[name].record.start_number}" for name in self.present())
        return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()

    def forget_expired(self, now_us: int) -> None:
        """Drops members that failed or left longer ago than FORGET_AFTER_US."""
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
        self.members[self.name] = Member(record, since_us, Source.LOCAL)
        self._mark_changed(now_us)
        return record
