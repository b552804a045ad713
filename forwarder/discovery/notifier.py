"""Posts pending notices to the platform until it has acknowledged them."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Mapping, Sequence
from typing import Protocol

from forwarder.config.config import Address
from forwarder.discovery.client import DiscoveryClient
from forwarder.protocol.http1 import MAX_BODY_BYTES, BadResponseError
from forwarder.runtime.failure_span import FailureSpan
from forwarder.runtime.supervisor import Supervisor
from forwarder.storage.messages import PendingNotice

NOTICES_PATH = "/v1/notices"
POST_TIMEOUT_S = 0.2  # short: a message without its end 0.3 s after its deadline counts as lost (PROTOCOL)
RETRY_PAUSES_S = (0.05, 0.1)  # after failed posts, the last for all further ones
MAX_NOTICES_PER_POST = 500
MAX_POST_BYTES = MAX_BODY_BYTES
log = logging.getLogger("forwarder.discovery")


class PendingNoticeSource(Protocol):
    """Where notices are kept until they are acknowledged."""

    def pending_notices(self) -> Mapping[str, PendingNotice]:
        """Returns the notices that may be posted now, by message id."""

    def acknowledge_notices(self, message_ids: list[str]) -> None:
        """The platform has acknowledged the notices of these messages."""


class Notifier:
    """Posts notices, again and again until the platform has answered 204.

    Args:
        address: where the platform takes notices.
        source: the pending notices.
        supervisor: restarts the posting after an unexpected error.
    """

    def __init__(self, address: Address, source: PendingNoticeSource, supervisor: Supervisor | None = None) -> None:
        self.client = DiscoveryClient(address)
        self.source = source
        self.supervisor = supervisor or Supervisor()
        self.posting = FailureSpan(log, "post notices")
        self._wanted = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def wake(self) -> None:
        """Posts what is pending as soon as possible."""
        self._wanted.set()
        if self._task is None:
            self._task = self.supervisor.keep("notices", self._run)

    def change_address(self, address: Address) -> None:
        """Posts to a new address from now on; a post that is under way is cut off and made again."""
        self.client.close()
        self.client = DiscoveryClient(address)

    async def _run(self) -> None:
        self._wanted.set()  # an error may have ended the run before after it had cleared this
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            while pending := list(self.source.pending_notices().items())[:MAX_NOTICES_PER_POST]:
                body, message_ids = render_notices(pending)
                try:
                    await self._post(body)
                except (OSError, BadResponseError) as error:
                    pause_s = RETRY_PAUSES_S[min(self.posting.failures, len(RETRY_PAUSES_S) - 1)]
                    self.posting.failed(f"{error or type(error).__name__} pending={len(pending)} first={pending[0][0]}")
                    await asyncio.sleep(pause_s)
                    continue
                self.posting.worked()
                self.source.acknowledge_notices(message_ids)

    async def _post(self, body: bytes) -> None:
        answer = await self.client.request("POST", NOTICES_PATH, POST_TIMEOUT_S, body)
        if answer.status != 204:
            raise BadResponseError(f"status {answer.status}")


def render_notices(pending: Sequence[tuple[str, PendingNotice]]) -> tuple[bytes, list[str]]:
    """Renders as many notices as one post holds, one JSON object a line.

    Returns:
        The body of the post, and the ids of the messages whose notices it holds.
    """
    lines: list[bytes] = []
    size = 0
    for message_id, notice in pending:
        line = _render_notice(message_id, notice)
        size += len(line)
        if lines and size > MAX_POST_BYTES:
            break
        lines.append(line)
    return b"".join(lines), [message_id for message_id, _ in pending[: len(lines)]]


def _render_notice(message_id: str, notice: PendingNotice) -> bytes:
    fields: dict[str, str | int] = {"id": message_id, "state": notice.state}
    if notice.retry_after_ms > 0:
        fields["after_ms"] = notice.retry_after_ms
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"
