"""Merges records of other members into the view, and declares members failed when their suspicion expires."""

from __future__ import annotations

from dataclasses import replace

from forwarder.membership.dissemination import Dissemination
from forwarder.membership.node_state import MemberChanged, NodeState
from forwarder.membership.suspicion import SuspicionTable
from forwarder.membership.view import MemberRecord, MemberState, Source


class RecordUpdates:
    """Applies records to the view, and queues each change for followers of the view and for other members."""

    def __init__(self, state: NodeState, suspicions: SuspicionTable, dissemination: Dissemination) -> None:
        self._state = state
        self._suspicions = suspicions
        self._dissemination = dissemination

    def merge(self, record: MemberRecord, source: Source, sender: str) -> None:
        """Merges a record that another member has sent.

        A failed member in a full exchange is only suspected here, so that it can refute this if it is running.
        """
        known = self._state.view.members.get(record.name)
        is_present_here = known is not None and known.record.state < MemberState.FAILED
        if source is Source.FULL_EXCHANGE and record.state is MemberState.FAILED and is_present_here:
            record = replace(record, state=MemberState.SUSPECT, suspected_by=sender)
        if record.state is MemberState.SUSPECT:
            self.suspect(record, record.suspected_by or sender)
        else:
            self.apply(record, source)

    def apply(self, record: MemberRecord, source: Source) -> None:
        """Applies a record if it supersedes the known one."""
        view = self._state.view
        known = view.members.get(record.name)
        previous_state = None if known is None else known.record.state
        if not view.apply(record, source, self._state.now_us):
            return
        if record.state is not MemberState.SUSPECT:
            self._suspicions.clear(record.name)
        self._dissemination.enqueue(record.name)
        self._state.changes.append(MemberChanged(view.members[record.name], previous_state))

    def suspect(self, record: MemberRecord, suspected_by: str) -> None:
        """Starts a suspicion, or confirms a running one."""
        members = self._state.view.members
        known = members.get(record.name)
        is_running = record.name in self._suspicions
        if is_running and known is not None and record.incarnation == known.record.incarnation:
            if self._suspicions.confirm(record.name, suspected_by):
                known.record = replace(known.record, suspected_by=suspected_by)
                self._dissemination.enqueue(record.name)
            return
        self.apply(record, Source.LOCAL if suspected_by == self._state.name else Source.GOSSIP)
        member = members.get(record.name)
        if member is not None and member.record.state is MemberState.SUSPECT:
            self._suspicions.begin(record.name, suspected_by)

    def fail_suspects(self) -> None:
        """Declares members failed whose suspicion has expired."""
        state = self._state
        for name in self._suspicions.expired():
            if state.is_stale:  # no other member has answered: this forwarder may itself be cut off
                self._suspicions.suspicions[name].began_at_us = state.now_us
                continue
            self._suspicions.clear(name)
            state.counts["failed"] += 1
            record = state.view.members[name].record
            self.apply(replace(record, state=MemberState.FAILED, suspected_by=state.name), Source.LOCAL)
