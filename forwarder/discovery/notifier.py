"""Posts pending notices to the platform until it has acknowledged them.

An unanswered post is not cancelled when the next one starts on another connection: a connection without answers
delays notices only briefly, and late answers of a slow platform still count.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from forwarder.config.config import Address
from forwarder.discovery.client import DiscoveryClient
from forwarder.endpoints.local_errors import LOCAL_ERRORS
from forwarder.protocol.http1 import MAX_BODY_BYTES, BadResponseError
from forwarder.runtime.failure_span import FailureSpan
from forwarder.runtime.retrying_socket import SpareSocket
from forwarder.runtime.supervisor import Supervisor
from forwarder.storage.messages import PendingNotice

NOTICES_PATH = "/v1/notices"
POST_TIMEOUT_S = 2.0
FIRST_REPOST_S = 0.2  # short: a message without a final state 0.3 s after its deadline counts as lost (PROTOCOL)
MAX_REPOST_S = 0.5  # bounds the delay once the platform can be reached again
NEW_NOTICE_DELAY_S = 0.05  # how long newer notices wait for the answer to an earlier post
MIN_WAIT_S = 0.005
MAX_CONCURRENT_POSTS = 6
RETRY_PAUSES_S = (0.05, 0.1)  # after failed posts; the last value repeats
CONNECT_TIMEOUT_S = 1.0
RECONNECT_PAUSES_S = (0.02, 0.1, 0.5)  # after failed attempts to connect; the last value repeats
UNREACHABLE_AFTER_S = 2.0
"""How long the platform may be out of reach before new messages are rejected, as their ends could not be reported."""
MIN_CONNECTION_LIFETIME_S = 1.0  # a connection that ended sooner is reopened after a pause
MAX_NOTICES_PER_POST = 500
MAX_POST_BYTES = MAX_BODY_BYTES
log = logging.getLogger("forwarder.discovery")


class PendingNoticeSource(Protocol):
    """Stores notices until they are acknowledged."""

    def pending_notices(self) -> Mapping[str, PendingNotice]:
        """Returns the notices that may be posted now, by message id."""

    def acknowledge_notices(self, message_ids: list[str]) -> None:
        """Removes the notices of these messages, which the platform has acknowledged."""


@dataclass(slots=True, eq=False)
class Post:
    """A post that is under way."""

    message_ids: frozenset[str]
    client: DiscoveryClient
    started_s: float
    task: asyncio.Task[None]


class Notifier:
    """Posts notices, and repeats them until the platform has answered 204.

    Args:
        address: the address at which the platform accepts notices.
        source: the pending notices.
        supervisor: restarts the posting after an unexpected error.

    Attributes:
        client: the preferred connection.
        posting: counts and logs consecutive failures of posts.
        spare: a reserve socket, for when the connection ends while no new socket can be created.
        connecting: counts and logs consecutive failures to open the persistent connection.
    """

    def __init__(self, address: Address, source: PendingNoticeSource, supervisor: Supervisor | None = None) -> None:
        self.address = address
        self.spare = SpareSocket()
        self.client = DiscoveryClient(address, self.spare)
        self.source = source
        self.supervisor = supervisor or Supervisor()
        self.posting = FailureSpan(log, "post notices")
        self.connecting = FailureSpan(log, "connect for notices")
        self._posts: list[Post] = []
        """The posts under way, oldest first."""
        self._repost_delay_s = FIRST_REPOST_S
        """Time after the newest post until its notices are posted again."""
        self._retry_at_s = 0.0
        self._unreachable_since_s: float | None = None
        """Time of the first failure to reach the platform since it was reached last; None without one."""
        self._wake_event = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._connection_task: asyncio.Task[None] | None = None

    def wake(self) -> None:
        """Posts the pending notices as soon as possible."""
        self._wake_event.set()
        if self._task is None:
            self._task = self.supervisor.keep_running("notices", self._run)

    def keep_connected(self) -> None:
        """Keeps a connection open from now on, so that a notice that falls due need not wait for one."""
        self._connection_task = self.supervisor.keep_running("connection for notices", self._keep_connected)

    def idle_connection(self) -> asyncio.Transport | None:
        """Returns the persistent connection if it is open and no post is under way on it."""
        is_busy = any(post.client is self.client for post in self._posts)
        return None if is_busy or not self.client.channel.is_usable() else self.client.channel.transport

    def is_reachable(self) -> bool:
        """Returns whether the platform was reached recently, or has not failed to be reached since.

        Errors of this machine do not count, nor does an answer other than 204.
        """
        if self._unreachable_since_s is None:
            return True
        return asyncio.get_running_loop().time() - self._unreachable_since_s < UNREACHABLE_AFTER_S

    def _note_unreachable(self, error: Exception) -> None:
        if self._unreachable_since_s is None and isinstance(error, OSError) and error.errno not in LOCAL_ERRORS:
            self._unreachable_since_s = asyncio.get_running_loop().time()

    async def _keep_connected(self) -> None:
        loop = asyncio.get_running_loop()
        failures = 0
        while True:
            client = self.client
            opened_s = loop.time()
            try:
                await client.connect(CONNECT_TIMEOUT_S)
            except OSError as error:
                self.connecting.failed(error or type(error).__name__)
                self._note_unreachable(error)
            else:
                self.connecting.worked()
                self._unreachable_since_s = None
                self.spare.fill()
                await client.channel.ended.wait()
            failures = 0 if loop.time() - opened_s > MIN_CONNECTION_LIFETIME_S else failures + 1
            if failures and client is self.client:
                await asyncio.sleep(RECONNECT_PAUSES_S[min(failures, len(RECONNECT_PAUSES_S)) - 1])

    def change_address(self, address: Address) -> None:
        """Posts to a new address from now on; posts under way are cancelled and repeated."""
        self._cancel_posts()
        self.client.close()
        self.address = address
        self.client = DiscoveryClient(address, self.spare)
        self._unreachable_since_s = None
        if self._connection_task is not None:  # it may be connecting to the old address still
            self._connection_task.cancel()
            self.keep_connected()
        self._wake_event.set()

    async def _run(self) -> None:
        self._wake_event.set()  # an error may have ended the previous run after it had cleared the event
        try:
            while True:
                await self._wake_event.wait()
                self._wake_event.clear()
                while pending := self.source.pending_notices():
                    self._start_post_if_due(pending)
                    await self._wait_for_posts(pending)
                    self._process_finished_posts()
                self._cancel_posts()
        finally:
            self._cancel_posts()

    def _next_post_s(self, pending: Mapping[str, PendingNotice]) -> float:
        """Returns when the next post is due, by the loop's clock."""
        if not self._posts:
            return self._retry_at_s
        interval_s = NEW_NOTICE_DELAY_S if self._unposted(pending) else self._repost_delay_s
        return max(self._retry_at_s, self._posts[-1].started_s + interval_s)

    def _unposted(self, pending: Mapping[str, PendingNotice]) -> list[tuple[str, PendingNotice]]:
        """Returns the pending notices that no post under way contains."""
        return [each for each in pending.items() if not any(each[0] in post.message_ids for post in self._posts)]

    def _start_post_if_due(self, pending: Mapping[str, PendingNotice]) -> None:
        loop = asyncio.get_running_loop()
        if len(self._posts) >= MAX_CONCURRENT_POSTS or loop.time() < self._next_post_s(pending):
            return
        unposted = self._unposted(pending)
        if self._posts and not unposted:
            self._repost_delay_s = min(2 * self._repost_delay_s, MAX_REPOST_S)
        body, message_ids = render_notices((unposted or list(pending.items()))[:MAX_NOTICES_PER_POST])
        client = self._free_client()
        task = loop.create_task(self._post(client, body, message_ids))
        task.add_done_callback(_retrieve_error)
        self._posts.append(Post(frozenset(message_ids), client, loop.time(), task))

    def _free_client(self) -> DiscoveryClient:
        """Returns a connection on which no post is under way."""
        is_busy = any(post.client is self.client for post in self._posts)
        return DiscoveryClient(self.address) if is_busy else self.client

    async def _post(self, client: DiscoveryClient, body: bytes, message_ids: list[str]) -> None:
        answer = await client.request("POST", NOTICES_PATH, POST_TIMEOUT_S, body)
        if answer.status != 204:
            raise BadResponseError(f"status {answer.status}")
        self.source.acknowledge_notices(message_ids)

    async def _wait_for_posts(self, pending: Mapping[str, PendingNotice]) -> None:
        """Waits until a post has ended or another may be due."""
        wait_s = self._next_post_s(pending) - asyncio.get_running_loop().time()
        if self._posts:
            tasks = [post.task for post in self._posts]
            timeout_s = min(max(wait_s, MIN_WAIT_S), NEW_NOTICE_DELAY_S)
            await asyncio.wait(tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        else:
            await asyncio.sleep(max(0.0, wait_s))

    def _process_finished_posts(self) -> None:
        """Handles the results of finished posts; an unexpected error is passed to the caller."""
        now_s = asyncio.get_running_loop().time()
        for post in [each for each in self._posts if each.task.done()]:
            self._posts.remove(post)
            try:
                post.task.result()
            except (OSError, BadResponseError) as error:
                self._retry_at_s = now_s + RETRY_PAUSES_S[min(self.posting.failures, len(RETRY_PAUSES_S) - 1)]
                self.posting.failed(f"{error or type(error).__name__} notices={len(post.message_ids)}")
                self._note_unreachable(error)
            else:
                self._post_succeeded(post, now_s - post.started_s)

    def _post_succeeded(self, post: Post, duration_s: float) -> None:
        """Keeps the working connection, and sets the repost delay to twice the duration of this post, within bounds."""
        self.posting.worked()
        self._unreachable_since_s = None
        self.spare.fill()
        self._repost_delay_s = min(max(FIRST_REPOST_S, 2 * duration_s), MAX_REPOST_S)
        if post.client is not self.client:
            if all(other.client is not self.client for other in self._posts):
                self.client.close()
            self.client = post.client

    def _cancel_posts(self) -> None:
        """Cancels the posts under way, which closes their connections: a late answer must not match another post."""
        for post in self._posts:
            post.task.cancel()
        self._posts.clear()


def _retrieve_error(task: asyncio.Task[None]) -> None:
    """Retrieves the error of a post that is no longer awaited; the event loop would log it otherwise."""
    if not task.cancelled():
        task.exception()


def render_notices(pending: Sequence[tuple[str, PendingNotice]]) -> tuple[bytes, list[str]]:
    """Renders as many notices as fit into one post, one JSON object per line.

    Returns:
        The body of the post and the ids of the messages whose notices it contains.
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
