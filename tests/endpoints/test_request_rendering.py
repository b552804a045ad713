"""Tests the content of calls to an endpoint, with the whole program."""

from __future__ import annotations

import asyncio
import base64
import json
import signal
from pathlib import Path
from typing import Any

from tests.platforms import Platform
from tests.scenes import play, start_endpoint, start_node
from tests.sockets import OK, Answer, hang


def test_messages_of_one_round_share_a_call_and_each_has_its_own_end(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        release = asyncio.Event()

        async def handler(request: Any) -> Answer:
            if request.path == "/hook":
                await release.wait()
                return OK
            items = json.loads(request.body)
            states = {"b": "accepted", "c": "fault", "d": "expired", "e": "no_more"}
            return Answer(200, body=json.dumps([{"id": x["id"], "state": states[x["id"]]} for x in items]).encode())

        peer = await start_endpoint(platform, handler, kind="lots")
        node = await start_node(folder, platform)
        assert (await node.submit("a", "pay"))[0] == 202
        await peer.wait_for_requests(1)
        for name in "bcd":
            assert (await node.submit(name, "pay", body=b"\0\xff" + name.encode()))[0] == 202
        release.set()
        call = (await peer.wait_for_requests(2))[1]
        assert call.path == "/hook/batch"
        items = {x["id"]: x for x in json.loads(call.body)}
        assert set(items) == {"b", "c", "d"}
        assert base64.b64decode(items["c"]["body"]) == b"\0\xffc"
        assert items["c"]["key"] == "key-c"
        assert (await platform.wait_for_notice("c"))["state"] == "failed"
        assert await node.end(signal.SIGTERM) == 0
        assert sorted(n["id"] for n in platform.notices) == ["c", "d"]

    play(scene, tmp_path)


def test_an_idempotency_key_reaches_the_endpoint_unchanged_even_after_a_restart(tmp_path: Path) -> None:
    """A single call passes it as a header, a batch call as the entry's key; a keyed class needs no session key."""

    async def scene(platform: Platform, folder: Path) -> None:
        async def accept(request: Any) -> Answer:
            entries = json.loads(request.body) if request.path == "/hook/batch" else []
            received_keys.update({x["id"]: x["key"] for x in entries})
            if not entries:
                received_keys[request.headers["x-correlation-id"]] = request.headers["idempotency-key"]
            return Answer(200, body=json.dumps([{"id": x["id"], "state": "accepted"} for x in entries]).encode())

        sent_keys, received_keys = {"a": '"8e03-97 8e"', "b": "3b93d724", "c": "0f0f"}, {}
        peer = await start_endpoint(platform, hang, kind="lots")
        node = await start_node(folder, platform)
        assert (await node.submit("a", X_Session_Key=None, Idempotency_Key=sent_keys["a"]))[0] == 202
        call = (await peer.wait_for_requests(1))[0]
        assert call.headers["idempotency-key"] == sent_keys["a"]
        assert "x-session-key" not in call.headers
        for name in "bc":
            assert (await node.submit(name, Idempotency_Key=sent_keys[name]))[0] == 202
        assert (await node.submit("d"))[0] == 202
        peer.handler = accept
        await node.restart()
        await peer.wait_until(lambda: len(received_keys) == 4)
        assert received_keys == sent_keys | {"d": "key-d"}
        assert any(r.path == "/hook/batch" for r in peer.requests)

    play(scene, tmp_path)
