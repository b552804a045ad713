"""Descriptions of membership and quotas for operators."""

from __future__ import annotations

import json
from collections import Counter

from forwarder.decisions.fleet_quota import FleetQuota
from forwarder.membership.protocol import MembershipProtocol
from forwarder.membership.view import INCARNATIONS_PER_START, Member
from forwarder.units import SECOND_US

MemberStatus = dict[str, str | int | float]
"""One member in the answer to `MEMBERS json`."""


def members_as_json(protocol: MembershipProtocol, now_us: int) -> str:
    """Returns the answer to `MEMBERS json`: the view as one line of JSON."""
    return json.dumps(
        {**_view_status(protocol, now_us), "members": _member_statuses(protocol, now_us)}, separators=(",", ":")
    )


def members_as_text(protocol: MembershipProtocol, now_us: int) -> str:
    """Returns the answer to `MEMBERS`: the view as text."""
    status = _view_status(protocol, now_us)
    summary = f"view {status['view']}, {status['age_s']} s old, digest {status['digest']}, {status['there']} there"
    rows = [
        f"{row['name']} {row['state']} {row['phase']} at {row['where']} life {row['life']}.{row['refuted']} for "
        f"{row['for_s']} s, {row['known']}"
        for row in _member_statuses(protocol, now_us)
    ]
    return "; ".join([summary, *_notes(protocol), *rows])


def _notes(protocol: MembershipProtocol) -> list[str]:
    own_member, notes = protocol.own_member, []
    if protocol.state.is_stale:
        notes.append("nobody has answered yet")
    if own_member.has_yielded:
        notes.append("gave way to a rival")
    if own_member.rival_id:
        notes.append("another process claims this name")
    if own_member.former_start_number >= 0:
        notes.append(f"former life {own_member.former_start_number} heard of")
    return notes


def _view_status(protocol: MembershipProtocol, now_us: int) -> dict[str, str | int | float]:
    view, own_member = protocol.view, protocol.own_member
    return {
        "me": view.name,
        "view": view.version,
        "age_s": round((now_us - view.changed_at_us) / SECOND_US, 3),
        "digest": view.digest(),
        "there": len(view.present()),
        "stale": protocol.state.is_stale,
        "yielded": own_member.has_yielded,
        "rival": own_member.rival_id,
        "former_life": own_member.former_start_number,
        "awareness": protocol.failure_detector.health_multiplier,
    }


def _member_statuses(protocol: MembershipProtocol, now_us: int) -> list[MemberStatus]:
    return [member_status(member, now_us) for _, member in sorted(protocol.view.members.items())]


def member_status(member: Member, now_us: int) -> MemberStatus:
    """Returns one member's entry."""
    record = member.record
    host, port = record.address
    return {
        "name": record.name,
        "where": f"{host}:{port}",
        "state": record.state.name.lower(),
        "phase": record.phase.name.lower(),
        "life": record.start_number,
        "refuted": record.incarnation % INCARNATIONS_PER_START,
        "id": record.process_id,
        "version": record.version,
        "by": record.suspected_by,
        "for_s": round((now_us - member.since_us) / SECOND_US, 1),
        "known": member.source.value,
    }


def describe_view(protocol: MembershipProtocol, datagrams: Counter[str], drops: int) -> str:
    """Returns the part of the state line that describes membership."""
    states = Counter(member.record.state.name.lower() for member in protocol.view.members.values())
    counts = protocol.state.counts
    return (
        f"{', '.join(f'{count} {state}' for state, count in sorted(states.items()))}; view {protocol.view.version}, "
        f"digest {protocol.view.digest()}; {datagrams['sent']} datagrams sent, {datagrams['received']} received, "
        f"{drops} not heard; {counts['failed']} declared failed, "
        f"{counts['refuted']} refuted, awareness {protocol.failure_detector.health_multiplier}"
    )


def describe_quota(quota: FleetQuota, now_us: int) -> str:
    """Returns the answer to `SHARES`: the number by which this forwarder divides quotas, and the reason for it."""
    divisor = quota.divisor(now_us)
    pending = ""
    if quota.absent_since_us or now_us - quota.quorum_since_us < quota.settle_us:
        left_s = (quota.next_change_at_us(now_us) - now_us) / SECOND_US
        pending = f"; {len(quota.absent_since_us)} not there, shares may change in {left_s:.1f} s"
    held_back = ""
    if divisor > quota.forwarders:
        held_back = f"; {1 - quota.forwarders / divisor:.0%} of its share held back"
    if divisor == quota.max_members and not quota.is_proven_alive(now_us):
        # No other member can have taken its share yet.
        held_back += f"; its share is its own for {(quota.leased_until_us - now_us) / SECOND_US:.1f} s more"
    return (
        f"{quota.quorum_state(now_us).value}: divides by {divisor:.1f} where the settings say {quota.forwarders}, "
        f"confidence {quota.confidence(now_us):.2f}{held_back}{pending}"
    )
