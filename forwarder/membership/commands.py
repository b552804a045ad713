"""Admin commands `MEMBERS`, `SHARES` and `NEWS`."""

from __future__ import annotations

from typing import TYPE_CHECKING

from forwarder.admin.server import CommandRefusedError, CommandTable, without_arguments
from forwarder.membership.status import describe_quota, members_as_json, members_as_text

if TYPE_CHECKING:
    from forwarder.membership.extension import MembershipExtension


class MembershipCommands:
    """Answers admin commands about one membership extension."""

    def __init__(self, extension: MembershipExtension) -> None:
        self._extension = extension

    def table(self) -> CommandTable:
        """Returns the handlers by command name."""
        return {
            "MEMBERS": self.members,
            "SHARES": without_arguments(self.shares),
            "NEWS": without_arguments(self.news),
        }

    def members(self, argument: str) -> str:
        """Answers `MEMBERS` with the view as text, and `MEMBERS json` with the view as one line of JSON."""
        if argument not in ("", "json"):
            raise CommandRefusedError("MEMBERS stands alone, or with json")
        protocol, now_us = self._extension.protocol, self._extension.now_us()
        if protocol is None:
            raise CommandRefusedError("not open yet")
        return members_as_json(protocol, now_us) if argument == "json" else members_as_text(protocol, now_us)

    def shares(self) -> str:
        """Answers `SHARES`: the number by which this forwarder divides quotas, and the reason for it."""
        if self._extension.quota is None:
            raise CommandRefusedError("members.divide is not turned on")
        return describe_quota(self._extension.quota, self._extension.host.clock())

    def news(self) -> str:
        """Answers `NEWS`: the gossip records about endpoints, its own and received ones, with their ages."""
        if self._extension.gossip is None:
            raise CommandRefusedError("members.news is not turned on")
        return self._extension.gossip.describe_records(self._extension.now_us())
