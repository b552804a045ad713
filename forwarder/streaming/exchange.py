"""One stream: a request taken to an endpoint, and its answer brought back, both while they arrive.

Two tasks move bytes, one each way; each reads again only when what it read before is written. It decides
nothing of where a stream goes; `Front` is what it needs of the part around it.
"""

from __future__ import annotations

import asyncio
import math
import time
from http import HTTPStatus
from typing import Any, Protocol

from forwarder.decisions.outcomes import Outcome
from forwarder.decisions.stream_routing import RejectStream, RouteStream
from forwarder.protocol.http1 import Headers
from forwarder.streaming.link import Link, StalledError
from forwarder.streaming.settings import StreamSettings
from forwarder.streaming.wire import (
    EMPTY,
    Answer,
    Body,
    Framing,
    MalformedMessageError,
    Request,
    cut_head,
    frame,
    read_answer,
    read_request,
)

MOST_INTERIM = 16  # 1xx answers that are brought back before the final one
SICK = frozenset({500, 502, 504})  # answers that say that the endpoint has failed


async def request_head(link: Link, limits: StreamSettings) -> Request | None:
    """The head of the request whose first bytes have come; None where the client goes before it is whole."""
    until, seen = time.monotonic() + limits.head_s, 0
    while (found := cut_head(link.rest, seen)) is None:
        if link.rest.startswith(b"\r\n"):  # some clients end a body with one too many
            link.put_back(link.rest[2:])
        seen = len(link.rest)
        try:
            if not await link.more(limits.buffer_bytes, max(0.001, until - time.monotonic())):
                return None
        except StalledError:
            raise MalformedMessageError("the header did not come to its end", HTTPStatus.REQUEST_TIMEOUT) from None
    head = read_request(found[0].lstrip(b"\r\n"))
    link.put_back(found[1])
    return head


async def either(*tasks: asyncio.Task[Any]) -> None:
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)


class EndpointFailedError(Exception):
    """The endpoint did not do its part; with the status that the client gets, if it can still get one."""

    def __init__(self, outcome: Outcome, text: str, status: HTTPStatus = HTTPStatus.BAD_GATEWAY) -> None:
        super().__init__(text)
        self.outcome, self.text, self.status = outcome, text, status


class ClientFailedError(Exception):
    """The client did not do its part; with the status that it gets, or none where it has gone."""

    def __init__(self, text: str, status: HTTPStatus | None = None) -> None:
        super().__init__(text)
        self.text, self.status = text, status


class Front(Protocol):
    limits: StreamSettings

    async def ask(self, number: int, destination: int, avoid: int) -> RouteStream | RejectStream: ...
    async def connect(self, target: int, kept: bool) -> Link: ...
    def told(self, number: int, target: int, outcome: Outcome, headers: Headers) -> None: ...
    def over(self, number: int) -> None: ...
    def keep(self, target: int, link: Link) -> None: ...
    def count(self, what: str, text: str = "") -> None: ...


class Exchange:
    def __init__(self, front: Front, number: int, client: Link, head: Request, destination: int) -> None:
        """Raises Malformed where what came with the head is no body."""
        self.front, self.number, self.client, self.head = front, number, client, head
        self.destination = destination
        self.endpoint: Link | None = None
        self.uploaded = head.framing == EMPTY
        self.delivered = False  # all of the request is written to the endpoint
        self.target = -1
        self.sent = False  # a byte of the request may have reached an endpoint
        self.answered = False  # a byte of the final answer may have reached the client
        self.closing = head.closes()  # the client's connection ends with this answer
        self.body = None if self.uploaded else Body(head)
        head.raw = b""  # its fields hold the same
        self.first = self.cut(client.take_rest()) if client.rest else b""
        client.ledger.take(len(self.first) + head.size)

    def cut(self, data: bytes) -> bytes:
        """What of the client's bytes goes on to the endpoint; what belongs to its next request stays."""
        if self.body is None:
            self.client.put_back(data)
            return b""
        pieces, rest = self.body.feed(data)
        self.uploaded = self.body.complete
        if rest:
            self.client.put_back(rest)
        self.closing = self.closing or self.body.extra
        return frame(self.head.framing, pieces, self.uploaded, self.body.trailers)

    def take_first(self) -> bytes:
        data, self.first = self.first, b""
        self.client.ledger.give(len(data))
        return data

    def drop(self) -> None:
        """Nothing of the request is needed any more."""
        self.take_first()
        self.client.ledger.give(self.head.size)

    async def run(self) -> RejectStream | EndpointFailedError | ClientFailedError | None:
        """Carry it out. Returns what kept it from an answer, which the client is then owed; None where it had
        one to its end. Raises where its answer was cut: its connection must be reset.
        """
        avoid, failed = -1, None
        try:
            for tried in range(self.front.limits.tries):
                if tried:
                    self.front.count("retried")
                decided = await self.front.ask(self.number, self.destination, avoid)
                if isinstance(decided, RejectStream):
                    return failed or decided
                failed = await self.attempt(decided.endpoint)
                if not isinstance(failed, EndpointFailedError):
                    return failed
                if self.answered:
                    raise failed
                if self.sent and not self.head.may_repeat:
                    return failed
                avoid = decided.endpoint
            return failed
        finally:
            self.drop()
            self.front.over(self.number)

    async def attempt(self, target: int) -> EndpointFailedError | ClientFailedError | None:
        """Take the request to one endpoint."""
        self.target = target
        try:
            self.endpoint = await self.front.connect(target, kept=self.head.may_repeat)
            try:
                reusable = await self.relay(self.endpoint)
            except BaseException:
                self.endpoint.close(abort=True)  # what it has of the request must not look whole
                raise
            if reusable:
                self.front.keep(target, self.endpoint)
            else:
                self.endpoint.close()
            return None
        except EndpointFailedError as failed:
            self.front.told(self.number, target, failed.outcome, {})
            return failed
        except ClientFailedError as failed:
            if self.answered:
                raise
            return failed

    async def relay(self, link: Link) -> bool:
        """Both ways at once, until the answer has ended. Whether the endpoint's connection may be kept."""
        up = asyncio.create_task(self.upload(link))
        down = asyncio.create_task(self.download(link))
        tasks: list[asyncio.Task[Any]] = [up, down]
        try:
            await either(up, down)
            if down.done():
                if not up.done() and down.exception() is None and down.result():
                    tasks.append(asyncio.create_task(link.watch()))  # it may take the rest, until it goes
                    await either(up, tasks[-1])
            elif up.exception() is None:
                tasks.append(asyncio.create_task(self.stays()))
                await either(down, tasks[-1])
                if not down.done() and tasks[-1].exception() is None:
                    await either(down)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        for task in tasks:
            if down.cancelled() and not task.cancelled():
                task.result()  # raises what ended the stream
        return down.result() and self.delivered

    async def upload(self, link: Link) -> None:
        """The request to the endpoint, as far as it takes it."""
        limits, data = self.front.limits, self.head.render() + self.take_first()
        self.sent = True
        while True:
            try:
                await link.write(data, limits.idle_s)
            except StalledError as error:
                raise EndpointFailedError(
                    Outcome.TIMED_OUT, f"of the request {error}", HTTPStatus.GATEWAY_TIMEOUT
                ) from None
            except OSError:
                return  # it may have answered and gone: the other way tells
            if self.uploaded:
                self.delivered = True
                return
            data = b""  # it must not be held while the next is waited for
            await asyncio.sleep(0)  # one that is always ready must not keep the loop to itself
            data = await self.from_client()

    async def stays(self) -> None:
        """While the answer is waited for: raises where the client has gone."""
        if not self.delivered:
            return  # the endpoint takes no more, and the client may not have sent all
        try:
            if not await self.client.watch():
                self.closing = True  # it has ended its side, and may still read
        except OSError:
            raise ClientFailedError("gone") from None

    async def from_client(self) -> bytes:
        limits = self.front.limits
        try:
            data = await self.client.read(limits.buffer_bytes, limits.idle_s)
            if not data:
                raise ClientFailedError("the body did not come to its end", HTTPStatus.BAD_REQUEST)
            return self.cut(data)
        except StalledError as error:
            raise ClientFailedError(f"of the body {error}", HTTPStatus.REQUEST_TIMEOUT) from None
        except MalformedMessageError as bad:
            raise ClientFailedError(bad.text, bad.status) from None
        except OSError:
            raise ClientFailedError("gone") from None

    async def download(self, link: Link) -> bool:
        """The answer to the client. Whether the endpoint keeps its connection."""
        head = await self.answer_head(link)
        self.front.told(self.number, self.target, outcome(head), headers(head))
        framing, closes, bodiless = self.framing(head), head.closes(), head.bodiless(self.head.method)
        to_its_end = framing == Framing() and not bodiless
        self.closing = self.closing or not self.uploaded or to_its_end
        out, body = head.render(self.head.method, framing, self.closing), None if bodiless else Body(head)
        del head  # it may be large, and what follows may be long
        self.answered = True
        if body is None:
            await self.to_client(out)
            return not closes and not link.rest
        self.client.guard(to_its_end)
        out += self.reframed(body, framing, link, link.take_rest())
        while True:
            await self.to_client(out)
            if body.complete:
                break
            out = b""  # it must not be held while the next is waited for
            await asyncio.sleep(0)
            out = await self.body_part(link, body, framing)
        self.client.guard(False)
        return not (closes or link.rest or body.extra or body.framing == Framing())

    async def body_part(self, link: Link, body: Body, framing: Framing) -> bytes:
        data = link.take_rest() if await self.more(link) else b""
        if not data and not body.end():
            raise EndpointFailedError(Outcome.RESET, "the answer was cut")
        return self.reframed(body, framing, link, data)

    def reframed(self, body: Body, framing: Framing, link: Link, data: bytes) -> bytes:
        """What of an endpoint's bytes goes on to the client. Nothing else is left of them but what belongs to
        no answer.
        """
        try:
            pieces, rest = body.feed(data) if data else ([], b"")
        except MalformedMessageError as bad:
            raise EndpointFailedError(Outcome.UNREADABLE, bad.text) from None
        link.put_back(rest)
        return frame(framing, pieces, body.complete, body.trailers)

    def framing(self, head: Answer) -> Framing:
        """How the answer's body goes on. A client of HTTP/1.0 knows no chunks; to others a body that ends
        with its connection goes in chunks, so that its end can be told from a cut.
        """
        if head.framing.length is not None:
            return head.framing
        return Framing(chunked=self.head.minor > 0)

    async def answer_head(self, link: Link) -> Answer:
        """The final answer's head; those before it go to the client at once."""
        for _ in range(MOST_INTERIM):
            try:
                seen = 0
                while (found := cut_head(link.rest, seen)) is None:
                    seen = len(link.rest)
                    if not await self.more(link):
                        raise EndpointFailedError(Outcome.RESET, "the connection ended without an answer")
                head = read_answer(found[0])
            except MalformedMessageError as bad:
                raise EndpointFailedError(Outcome.UNREADABLE, bad.text) from None
            link.put_back(found[1])
            if head.final:
                return head
            if self.head.minor > 0:
                await self.to_client(head.render(self.head.method, Framing(), False))
        raise EndpointFailedError(Outcome.UNREADABLE, "too many interim answers")

    async def more(self, link: Link) -> bool:
        limits = self.front.limits
        try:
            return await link.more(limits.buffer_bytes, limits.silent_s)
        except StalledError as error:
            raise EndpointFailedError(Outcome.TIMED_OUT, f"of the answer {error}", HTTPStatus.GATEWAY_TIMEOUT) from None
        except OSError:
            raise EndpointFailedError(Outcome.RESET, "the connection was reset") from None

    async def to_client(self, data: bytes) -> None:
        if not data:
            return
        try:
            await self.client.write(data, self.front.limits.idle_s)
        except (StalledError, OSError) as error:
            raise ClientFailedError(f"of the answer {error}") from None


def outcome(head: Answer) -> Outcome:
    """What an answer tells of its endpoint. Whatever else it says, it has done its part."""
    if head.status == 429:
        return Outcome.REJECTED
    if head.status == 503:
        return Outcome.NOT_SENT if head.values(b"x-over-slots") else Outcome.REJECTED
    return Outcome.FAILED if head.status in SICK else Outcome.DELIVERED


def headers(head: Answer) -> Headers:
    return {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in head.fields}


def retry_after_s(wait_us: int) -> int:
    """Whole seconds, as every client reads them."""
    return max(1, math.ceil(wait_us / 1_000_000))
