"""This forwarder's own record, and its reaction to conflicting records that other members send."""

from __future__ import annotations

from forwarder.membership.dissemination import Dissemination
from forwarder.membership.node_state import MemberChanged, NodeState
from forwarder.membership.view import INCARNATIONS_PER_START, MemberPhase, MemberRecord, MemberState

NO_FORMER_START = -1


class OwnMember:
    """This forwarder as a member.

    Attributes:
        former_start_number: a start number of this name, not below its own, that other members knew: this forwarder's
            state folder was lost or restored from an older copy. NO_FORMER_START if there was none.
        rival_id: process id of another running process with this name; empty if there is none.
        has_yielded: this process has yielded the name to that one permanently.
    """

    def __init__(self, state: NodeState, dissemination: Dissemination) -> None:
        self._state = state
        self._dissemination = dissemination
        self.former_start_number = NO_FORMER_START
        self.rival_id = ""
        self.has_yielded = False

    def update(
        self, *, state: MemberState | None = None, phase: MemberPhase | None = None, incarnation: int | None = None
    ) -> None:
        """Changes this forwarder's record under the next incarnation, so that all other members accept it.

        Args:
            state: the new state; None keeps the old one.
            phase: the new phase; None keeps the old one.
            incarnation: the incarnation to continue from, if other members know a later one.
        """
        view, now_us = self._state.view, self._state.now_us
        if incarnation is not None:
            view.update_self(now_us, incarnation=incarnation)
        previous = self._state.own_record
        view.update_self(
            now_us,
            incarnation=previous.incarnation + 1,
            state=previous.state if state is None else state,
            phase=previous.phase if phase is None else phase,
        )
        self._state.changes.append(MemberChanged(view.members[view.name], previous.state))
        self._dissemination.enqueue(view.name)

    def become_alive(self) -> None:
        """Changes to ALIVE: another member has answered, or there are no seeds to answer."""
        self.update(state=MemberState.ALIVE)

    def on_record(self, record: MemberRecord) -> bool:
        """Handles a received record of this forwarder, and refutes that it is suspected or gone (SWIM 4.2).

        Returns:
            Whether the record was refuted, which is a sign that this forwarder was slow to answer.
        """
        own = self._state.own_record
        start_number = record.incarnation // INCARNATIONS_PER_START
        is_other_process = record.process_id not in ("", self._state.process_id)
        if start_number > self._state.start_number or (start_number == self._state.start_number and is_other_process):
            self._on_later_start(start_number, record.process_id)
            return False
        if record.state < MemberState.SUSPECT or record.incarnation < own.incarnation:
            return False
        if own.state is MemberState.LEFT:
            return False
        self.update(state=MemberState.ALIVE, incarnation=record.incarnation)
        self._state.counts["refuted"] += 1
        return True

    def _on_later_start(self, start_number: int, process_id: str) -> None:
        """Handles a record of a later start of this name, or of the same start in another process.

        The first time, the state folder was lost or restored from an older copy, and this forwarder continues with a
        start number above the known one. If a later start appears again, the other process is still running: a process
        that has ended could not have raised its start number.
        """
        had_later_start = self.former_start_number != NO_FORMER_START and start_number > self.former_start_number
        if had_later_start and process_id != self._state.process_id:
            self.on_rival(start_number, process_id)
            return
        self.former_start_number = start_number
        self.update(incarnation=(start_number + 1) * INCARNATIONS_PER_START)

    def on_rival(self, start_number: int, process_id: str) -> None:
        """Resolves a conflict with another running process of this name: the lower process id yields permanently."""
        self._state.counts["rivals"] += 1
        self.rival_id = process_id
        if process_id > self._state.process_id:
            self.has_yielded = True
            return
        next_incarnation = (start_number + 1) * INCARNATIONS_PER_START
        self.update(incarnation=max(self._state.own_record.incarnation, next_incarnation))
