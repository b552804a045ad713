"""Discovery: the list of targets by a watch that is renewed at once, and notices until acknowledged."""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections.abc import Callable, Mapping
from functools import partial
from typing import Protocol

from forwarder.clients.listener import unread
from forwarder.config.config import Address, EndpointList, parse_endpoint_list
from forwarder.endpoints.local_errors import LOCAL_ERRORS
from forwarder.protocol.checked_fields import MalformedInputError
from forwarder.protocol.http1 import (
    MAX_BODY_BYTES,
    MAX_ENDPOINT_LIST_BYTES,
    BadResponseError,
    ResponseReader,
    render_request,
)
from forwarder.runtime.supervisor import Supervisor
from forwarder.storage.messages import PendingNotice

FIRST_HOLD_MS = 1  # a start's first question is answered with what discovery holds, be it news or not
FIRST_LIST_US = 2_000_000  # discovery answers a call that does not wait within 2 s (PROTOCOL, Figures), or not at all
HOLD_MS = 20_000  # how long a watch waits for something newer
LATE_S = 0.8  # a watch silent for so long after that is dead; what it had to tell counts as told 2 s after, and the
# module takes up to twice ASK_AGAIN_US of them before it asks anew
ANSWER_S = 2.5  # how long another answer may take; discovery gives up after 2 s itself
LEAST_WATCH_S = 0.1  # the next watch must come within 0.2 s of the last answer
POST_S = 0.2  # a post is answered at once, also while discovery is down, and a message without its end is lost 0.3 s
# after its time: one that gets no answer for so long is made again, on a new connection
AGAIN_S = (
    0.0,
    0.02,
    0.05,
)  # pauses before a request is made again whose connection ended without an answer: so long as
# the forwarder has not read what discovery wrote, it goes by an older list, and a drain's grace is short
NOTICE_PAUSES_S = (0.05, 0.1)  # a post that failed is made again after these: see above
MOST_NOTICES = 500  # lines in one post
MOST_POST = MAX_BODY_BYTES  # and its bytes
log = logging.getLogger("forwarder.discovery")


class DiscoveryChannel(asyncio.Protocol):
    """One connection for one request after another."""

    def __init__(self) -> None:
        self.reader = ResponseReader(MAX_ENDPOINT_LIST_BYTES)
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        try:
            self.reader.feed(data)
        except BadResponseError as error:
            self.end(error)
            self.close()
            return
        if self.reader.complete:
            self.end(None)

    def eof_received(self) -> bool:
        self.reader.end()
        if self.reader.complete:
            self.end(None)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.end(ConnectionResetError("the connection ended"))
        self.reader.release()

    def end(self, error: Exception | None) -> None:
        if self.answer is not None and not self.answer.done():
            if error is None:
                self.answer.set_result(None)
            else:
                self.answer.set_exception(error)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def behind(self) -> bool:
        """Whether an answer, or a part of one, has come that whoever asked has not seen yet."""
        if self.answer is None:
            return False
        return self.answer.done() or (self.usable() and bool(unread([self.transport])))

    def usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    async def ask(self, data: bytes) -> ResponseReader:
        if self.transport is None:
            raise ConnectionResetError("the connection ended")
        self.reader.renew()
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        try:
            await self.answer
        finally:
            self.answer = None
        if not self.reader.keep_alive:
            self.close()
        return self.reader


class DiscoveryClient:
    """Requests to discovery on one kept connection. One that ends without an answer is replaced at once, a few times:
    all that is asked of discovery may be asked again, and what it had written counts as told.
    """

    def __init__(self, where: Address) -> None:
        self.where, self.channel = where, DiscoveryChannel()

    def close(self) -> None:
        self.channel.close()

    async def ask(self, method: str, path: str, timeout_s: float, body: bytes = b"") -> ResponseReader:
        data = render_request(method, path, f"{self.where.host}:{self.where.port}", (), body)
        try:
            async with asyncio.timeout(timeout_s):
                for pause_s in AGAIN_S:
                    if self.channel.usable() or await self.connected():
                        try:
                            return await self.channel.ask(data)
                        except ConnectionError:
                            pass
                    await asyncio.sleep(pause_s)
                if not self.channel.usable():
                    await self.connect()
                return await self.channel.ask(data)
        except BaseException:
            self.channel.close()
            raise

    async def connect(self) -> None:
        """Raises OSError."""
        loop = asyncio.get_running_loop()
        _, self.channel = await loop.create_connection(DiscoveryChannel, self.where.host, self.where.port)

    async def connected(self) -> bool:
        """Connect; False where this machine could not, for a moment. Raises other OSErrors."""
        try:
            await self.connect()
        except OSError as error:
            if error.errno not in LOCAL_ERRORS:
                raise
            return False
        return True


class EndpointListWatch:
    """Follows the list from a version on (-1: has none and asks for the whole first). Tells its first failure
    and ends; the module asks again.
    """

    def __init__(
        self,
        where: Address,
        seq: int,
        listed: Callable[[EndpointList | None], None],
        current: bool = False,
        supervisor: Supervisor | None = None,
    ) -> None:
        """`current`: the list of that version is what discovery told last, not one that was saved."""
        self.client, self.seq, self.listed, self.current = DiscoveryClient(where), seq, listed, current
        self.supervisor = supervisor or Supervisor()
        self.task: asyncio.Task[None] | None = None

    def has_unread_list(self) -> bool:
        """Whether discovery has told something that is not heeded yet."""
        return self.client.channel.behind()

    def subscribe(self) -> None:
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self.follow())

    def change_address(self, where: Address) -> None:
        """Discovery has a new address: follow the list there at once, from the version that is known."""
        if self.task is not None:
            self.task.cancel()
            self.task = None
        self.client.close()
        self.client = DiscoveryClient(where)
        self.subscribe()

    async def follow(self) -> None:
        while True:
            path, wait = "/discovery/hosts", ANSWER_S
            if self.seq >= 0:  # a list that never changed may well be version 0
                hold_ms = HOLD_MS if self.current else FIRST_HOLD_MS
                path, wait = f"{path}?from={self.seq}&hold_ms={hold_ms}", max(ANSWER_S, LATE_S + hold_ms / 1000)
            asked = time.monotonic()
            try:
                answer = await self.client.ask("GET", path, wait)
                if answer.status != 200:
                    raise BadResponseError(f"status {answer.status}")
                told = parse_endpoint_list(json.loads(answer.body))
            except Exception as error:
                if not isinstance(error, OSError | TimeoutError | BadResponseError | MalformedInputError | ValueError):
                    self.supervisor.failed("watch", error)
                log.warning("the list cannot be had: %s", error or type(error).__name__)
                self.ended()
                return
            news, self.seq, self.current = told.version != self.seq, told.version, True
            if (news or not told.is_complete) and not self.supervisor.guard("list", partial(self.listed, told)):
                self.ended()
                return
            if not news and time.monotonic() - asked < LEAST_WATCH_S:
                await asyncio.sleep(LEAST_WATCH_S)  # a discovery that answers at once must not spin us

    def ended(self) -> None:
        """The list is not followed any more; whoever decides asks again."""
        self.task = None
        self.listed(None)


class PendingNoticeSource(Protocol):
    """Where owed ends are kept until they are acknowledged."""

    def pending_notices(self) -> Mapping[str, PendingNotice]: ...

    def acknowledge_notices(self, names: list[str]) -> None: ...


class Notifier:
    """Posts the ends that are owed, again and again until the platform has answered 204."""

    def __init__(self, where: Address, book: PendingNoticeSource, supervisor: Supervisor | None = None) -> None:
        self.client, self.book, self.supervisor = DiscoveryClient(where), book, supervisor or Supervisor()
        self.wanted = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def wake(self) -> None:
        self.wanted.set()
        if self.task is None:
            self.task = self.supervisor.keep("notices", self.run)

    def change_address(self, where: Address) -> None:
        """Post to a new address from now on; a post that is on its way is cut off and made again."""
        self.client.close()
        self.client = DiscoveryClient(where)

    async def run(self) -> None:
        failures = 0
        self.wanted.set()  # a failure may have cost the last one
        while True:
            await self.wanted.wait()
            self.wanted.clear()
            while owed := list(self.book.pending_notices().items())[:MOST_NOTICES]:
                body, owed = post_body(owed)
                try:
                    answer = await self.client.ask("POST", "/v1/notices", POST_S, body)
                    if answer.status != 204:
                        raise BadResponseError(f"status {answer.status}")
                except (OSError, TimeoutError, BadResponseError) as error:
                    if failures % 20 == 0:
                        log.warning("notices not accepted, trying again: %s", error or type(error).__name__)
                    await asyncio.sleep(NOTICE_PAUSES_S[min(failures, len(NOTICE_PAUSES_S) - 1)])
                    failures += 1
                    continue
                failures = 0
                self.book.acknowledge_notices([name for name, _ in owed])


def post_body(owed: list[tuple[str, PendingNotice]]) -> tuple[bytes, list[tuple[str, PendingNotice]]]:
    """As many lines as one body holds, and the ends that they tell."""
    lines: list[bytes] = []
    size = 0
    for end in owed:
        size += len(line(*end))
        if lines and size > MOST_POST:
            break
        lines.append(line(*end))
    return b"".join(lines), owed[: len(lines)]


def line(name: str, owed: PendingNotice) -> bytes:
    told: dict[str, str | int] = {"id": name, "state": owed.state}
    if owed.retry_after_ms > 0:
        told["after_ms"] = owed.retry_after_ms
    return json.dumps(told, separators=(",", ":")).encode() + b"\n"
