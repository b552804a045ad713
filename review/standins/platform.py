"""The platform of one forwarder: discovery's list and watch, and the notices (PROTOCOL)."""

from __future__ import annotations

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

from standins.http import answer_bytes, read_http
from standins.record import Record

OLD_ADDRESS_CLOSES_S = 1.5
"""After a move, open connections at the old address are closed after this time (TERMS, Reconfiguration)."""


class Platform:
    """Answers the list and its watch at once, and notices with 204."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.version = 1
        self.hosts: dict[str, dict[str, object]] = {}
        self.changed_in: dict[str, int] = {}
        self.notices: dict[str, tuple[float, str]] = {}
        """The first notice of each message: the seconds of the record, and the state."""
        self.address = ""
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        """The connections that are open."""

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    async def move(self) -> None:
        """Moves to another address (TERMS): the old one takes no new connection, and closes its open ones later."""
        assert self._server is not None
        self._server.close()
        old = list(self._open)
        await self.start()
        asyncio.get_running_loop().call_later(OLD_ADDRESS_CLOSES_S, lambda: [writer.close() for writer in old])
        self.record.note(f"discovery has moved to {self.address}")

    def list_endpoint(self, name: str, address: str, kind: str, destination: int, health: str = "up") -> None:
        """Adds an endpoint to the list, or changes its entry."""
        self.version += 1
        self.hosts[name] = {
            "host": name,
            "dial": address,
            "site": "zone-1",
            "class": kind,
            "block": destination,
            "health": health,
            "share": 50.0,
            "born_ms": 0,
        }
        self.changed_in[name] = self.version
        self._changed.set()
        self._changed = asyncio.Event()

    def whole_list(self) -> dict[str, object]:
        """Returns the whole list."""
        listed = [host for host in self.hosts.values() if host["health"] != "removed"]
        return {"seq": self.version, "whole": True, "hosts": listed}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            while (request := await read_http(reader)) is not None:
                method, target, _ = request.first_line.split(" ")
                if method == "POST" and target == "/v1/notices":
                    self._take_notices(request.body)
                    writer.write(answer_bytes(204, "No Content"))
                else:
                    body = json.dumps(await self._list(target)).encode()
                    writer.write(answer_bytes(200, "OK", body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    def _take_notices(self, body: bytes) -> None:
        for line in body.splitlines():
            notice = json.loads(line)
            if notice["id"] not in self.notices:
                self.notices[notice["id"]] = (self.record.now_s(), notice["state"])
                self.record.note(f"notice {notice['id']} {notice['state']}")

    async def _list(self, target: str) -> dict[str, object]:
        query = parse_qs(urlsplit(target).query)
        if "from" not in query:
            return self.whole_list()
        known = int(query["from"][0])
        if self.version <= known:
            try:
                await asyncio.wait_for(self._changed.wait(), int(query["hold_ms"][0]) / 1000)
            except TimeoutError:
                pass
        changed = [host for name, host in self.hosts.items() if self.changed_in[name] > known]
        return {"seq": self.version, "whole": False, "hosts": changed}
