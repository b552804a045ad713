"""Writes changes of the view to the log."""

from __future__ import annotations

import logging

from forwarder.membership.node_state import MemberChanged
from forwarder.membership.protocol import MembershipProtocol
from forwarder.membership.view import MemberState

log = logging.getLogger("forwarder.membership")


def log_change(protocol: MembershipProtocol, change: MemberChanged) -> None:
    """Writes a line where a member's state has changed, or something is wrong with this forwarder's own name."""
    record = change.member.record
    if record.name == protocol.view.name:
        _log_own_change(protocol, change)
    elif change.previous_state is not record.state:
        host, port = record.address
        suspected = record.suspected_by and record.state >= MemberState.SUSPECT
        log.info(
            "member %s at %s:%d is %s%s",
            record.name,
            host,
            port,
            record.state.name.lower(),
            f", says {record.suspected_by}" if suspected else "",
        )


def _log_own_change(protocol: MembershipProtocol, change: MemberChanged) -> None:
    record, own_member = change.member.record, protocol.own_member
    if own_member.has_yielded:
        log.error("another process has the name %s and a later life: this one gives way", record.name)
    elif own_member.former_start_number >= record.start_number - 1 and change.previous_state is record.state:
        log.warning(
            "others remember life %d of %s: its folder was lost or set back",
            own_member.former_start_number,
            record.name,
        )
