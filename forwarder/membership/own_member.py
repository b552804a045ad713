"""What one forwarder tells of itself, and what it does when others tell something else of it."""

from __future__ import annotations

from forwarder.membership.dissemination import Dissemination
from forwarder.membership.node_state import MemberChanged, NodeState
from forwarder.membership.view import INCARNATIONS_PER_START, MemberPhase, MemberRecord, MemberState

NO_FORMER_START = -1


class OwnMember:
    """This forwarder as a member.

    Attributes:
        former_start_number: a later start of this name that others remembered: this forwarder's folder was lost or set
            back. NO_FORMER_START if there was none.
        rival_id: process id of another living process with this name; empty if there is none.
        has_yielded: this process has given way to that one for good.
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
        """Changes what this forwarder tells of itself, under the next incarnation, which all others take.

        Args:
            state: the new state; None leaves it.
            phase: the new phase; None leaves it.
            incarnation: the incarnation to go on from, where others know of a later one.
        """
        view, now_us = self._state.view, self._state.now_us
        if incarnation is not None:
            view.update_self(now_us, incarnation=incarnation)
        before = self._state.own_record
        view.update_self(
            now_us,
            incarnation=before.incarnation + 1,
            state=before.state if state is None else state,
            phase=before.phase if phase is None else phase,
        )
        self._state.changes.append(MemberChanged(view.members[view.name], before.state))
        self._dissemination.enqueue(view.name)

    def become_alive(self) -> None:
        """Another member has answered, or there is none to answer."""
        self.update(state=MemberState.ALIVE)

    def on_record(self, record: MemberRecord) -> bool:
        """Others tell something of this forwarder. That it is suspected or gone is refuted (SWIM 4.2).

        Returns:
            Whether it was refuted: others have had to wait for this forwarder.
        """
        own = self._state.own_record
        start_number = record.incarnation // INCARNATIONS_PER_START
        of_another_process = record.process_id not in ("", self._state.process_id)
        if start_number > self._state.start_number or (start_number == self._state.start_number and of_another_process):
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
        """Others remember a later start of this name, or another process of the same.

        The folder was lost or set back, and this forwarder goes on with a later start still. If it has done so before,
        the other process lives: one that is dead could not have gone on.
        """
        known_of_before = self.former_start_number != NO_FORMER_START and start_number > self.former_start_number
        if known_of_before and process_id != self._state.process_id:
            self.on_rival(start_number, process_id)
            return
        self.former_start_number = start_number
        self.update(incarnation=(start_number + 1) * INCARNATIONS_PER_START)

    def on_rival(self, start_number: int, process_id: str) -> None:
        """Another living process has this name. The one with the greater id stays, the other gives way for good."""
        self._state.counts["rivals"] += 1
        self.rival_id = process_id
        if process_id > self._state.process_id:
            self.has_yielded = True
            return
        later = (start_number + 1) * INCARNATIONS_PER_START
        self.update(incarnation=max(self._state.own_record.incarnation, later))
