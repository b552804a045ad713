"""A platform that a test controls: it serves discovery and accepts notices."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress

from forwarder.protocol.checked_fields import JsonObject
from tests.sockets import Answer, Peer, Request


class Platform(Peer):
    """A server of discovery and notices.

    Attributes:
        version: the current version of the endpoint list.
        endpoints: the entries of the list, by name.
        changes: the entries that changed, by the version that changed them.
        notices: the notices that were received.
        accepts: whether notices are answered with 204; otherwise with 503.
        garbage: how many of the next polls are answered with malformed JSON.
    """

    def __init__(self) -> None:
        super().__init__(self.answer)
        self.version = 1
        self.endpoints: dict[str, JsonObject] = {}
        self.changes: dict[int, list[JsonObject]] = {}
        self.notices: list[JsonObject] = []
        self.accepts = True
        self.garbage = 0

    def add_endpoint(self, name: str, port: int, block: int = 7, health: str = "up", kind: str = "plain") -> None:
        """Adds or replaces an endpoint in the list, without a new version and without an answer to waiting polls."""
        self.endpoints[name] = {
            "host": name,
            "dial": f"127.0.0.1:{port}",
            "site": "x",
            "class": kind,
            "block": block,
            "health": health,
            "share": 100.0,
            "born_ms": 0,
        }

    def listing(self) -> JsonObject:
        """Returns the complete list."""
        return {"seq": self.version, "whole": True, "hosts": list(self.endpoints.values())}

    async def change(self, name: str, health: str) -> None:
        """Changes the health of an endpoint in a new version of the list, and answers the waiting polls."""
        self.endpoints[name]["health"] = health
        self.version += 1
        self.changes[self.version] = [dict(self.endpoints[name])]
        await self.notify_all()

    async def answer(self, request: Request) -> Answer | bytes | None:
        """Answers a request that posts notices or polls the list."""
        if request.path == "/v1/notices":
            return await self._accept_notices(request)
        if self.garbage:
            self.garbage -= 1
            return Answer(200, body=b'{"seq": "x", "hosts": [3')
        since = int(request.path.partition("from=")[2].partition("&")[0] or -1)
        if since < 0:
            return Answer(200, body=json.dumps(self.listing()).encode())
        hold_s = int(request.path.partition("hold_ms=")[2] or 0) / 1000
        return await self._answer_waiting_poll(since, hold_s)

    async def _accept_notices(self, request: Request) -> Answer:
        if not self.accepts:
            return Answer(503)
        self.notices += [json.loads(line) for line in request.body.splitlines()]
        await self.notify_all()
        return Answer(204)

    async def _answer_waiting_poll(self, since: int, hold_s: float) -> Answer:
        async with self.changed:
            with suppress(TimeoutError):
                async with asyncio.timeout(hold_s):
                    await self.changed.wait_for(lambda: self.version > since)
        later = range(since + 1, self.version + 1)
        changed = [entry for version in later for entry in self.changes.get(version, [])]
        return Answer(200, body=json.dumps({"seq": self.version, "whole": False, "hosts": changed}).encode())

    async def wait_for_notice(self, message_id: str) -> JsonObject:
        """Waits for the notice of a message, and returns it."""
        await self.wait_until(lambda: any(notice["id"] == message_id for notice in self.notices))
        return next(notice for notice in self.notices if notice["id"] == message_id)
