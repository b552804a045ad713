"""Logs changes of the membership view."""

from __future__ import annotations

import logging

from forwarder.membership.node_state import MemberChanged
from forwarder.membership.protocol import MembershipProtocol
from forwarder.membership.view import MemberState

log = logging.getLogger("forwarder.membership")


def log_change(protocol: MembershipProtocol, change: MemberChanged) -> None:
    """Logs a change of a member's state, or a conflict about this forwarder's own name."""
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
            f", reported by {record.suspected_by}" if suspected else "",
        )


def _log_own_change(protocol: MembershipProtocol, change: MemberChanged) -> None:
    record, own_member = change.member.record, protocol.own_member
    if own_member.has_yielded:
        log.error(
            "another process has the name %s and takes precedence; this process stops taking part in membership",
            record.name,
        )
    elif own_member.former_start_number >= record.start_number - 1 and change.previous_state is record.state:
        log.warning(
            "other members know start %d of %s: its state folder was lost or restored from an older copy",
            own_member.former_start_number,
            record.name,
        )
