"""Tests the outcome of messages for each answer of an endpoint, mostly with the whole program."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from forwarder.config.config import Address
from forwarder.decisions.events import AttemptEnded
from forwarder.decisions.outcomes import Outcome
from forwarder.endpoints.call import CallItem, EndpointCall, LimitScopeKey
from forwarder.storage.clock import Clock
from tests.endpoints.peers import make_pool
from tests.platforms import Platform
from tests.scenes import play, received_ids, start_endpoint, start_node
from tests.sockets import OK, PATIENCE, Answer, Peer, Request, always, free_port


def test_a_retry_after_in_the_answer_to_a_batch_applies_whatever_the_results() -> None:
    async def scene() -> None:
        ends: list[AttemptEnded] = []

        async def accept(request: Request) -> Answer:
            states = [{"id": x["id"], "state": "accepted"} for x in json.loads(request.body)]
            return Answer(200, {"X-RateLimit-Wait-Ms": "700"}, json.dumps(states).encode())

        peer = await Peer(accept).start()
        pool, now = make_pool(ends), Clock()()
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        pool.start(
            EndpointCall(
                1, LimitScopeKey(7, -1), now, [CallItem(n, 0, None, b"x", now + 10**7, now + 10**7) for n in "ab"]
            )
        )
        while len(ends) < 2:
            await asyncio.sleep(0.005)
        assert [(e.outcome, e.retry_after_us) for e in ends] == [(Outcome.DELIVERED, 700_000)] * 2
        pool.close()

    asyncio.run(scene())


def test_a_call_on_a_refused_connection_never_ran_and_one_on_a_broken_connection_may_have(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        port = free_port()
        platform.add_endpoint("s1", port)
        breaks = await start_endpoint(platform, always(None), "s2", block=8)
        node = await start_node(folder, platform)
        assert (await node.submit("broke", "pay", dest=8))[0] == 202
        assert (await platform.wait_for_notice("broke"))["state"] == "failed"
        assert len(breaks.requests) == 1
        assert (await node.submit("refused", "pay", left="2"))[0] == 202
        assert (await platform.wait_for_notice("refused"))["state"] == "returned"

    play(scene, tmp_path)


@pytest.mark.parametrize(
    "cut",
    [
        b"HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\nab",
        b"HTTP/1.1 503 No\r\n",
        b"HTTP/1.1 429 No\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 410 Gone\r\nContent-Length: x\r\n\r\n",
        b"HTTP/1.1 200 O",
    ],
)
def test_a_rejection_that_cannot_be_read_may_have_run(tmp_path: Path, cut: bytes) -> None:
    """Guards against a second run of a message that must not run twice: a truncated rejection was trusted."""

    async def scene(platform: Platform, folder: Path) -> None:
        async def answer(request: Any) -> None:
            request.writer.write(cut)

        peer = await start_endpoint(platform, answer)
        node = await start_node(folder, platform)
        assert (await node.submit("m", "pay"))[0] == 202
        assert (await platform.wait_for_notice("m"))["state"] == "failed"
        assert len(peer.requests) == 1

    play(scene, tmp_path)


def test_a_malformed_rest_after_a_status_line_with_200_is_a_delivery(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        async def answer(request: Any) -> bytes:
            if received_ids(request.peer)[-1] == "m":
                return b"HTTP/1.1 200 OK\r\nContent-Length: zz\r\n\r\n"
            return b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"

        await start_endpoint(platform, answer)
        node = await start_node(folder, platform)
        assert (await node.submit("m", "pay"))[0] == 202
        assert (await node.submit("n", "pay"))[0] == 202
        await platform.wait_for_notice("n")
        assert [n["id"] for n in platform.notices] == ["n"]

    play(scene, tmp_path)


@pytest.mark.parametrize(
    "garbage",
    [b"\x16\x03\x01 not http\r\n\r\n", b"HTTP/1.1 2x0 ?\r\n\r\n", b"HTTP/1.1 500 No\r\nContent-Length: zz\r\n\r\n"],
)
def test_a_malformed_answer_of_an_endpoint_ends_the_call_with_an_outcome(tmp_path: Path, garbage: bytes) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(garbage, OK))
        node = await start_node(folder, platform)
        assert (await node.submit("m", "order"))[0] == 202
        await peer.wait_for_requests(2)
        assert (await node.submit("n", "order"))[0] == 202
        await peer.wait_for_requests(3)

    play(scene, tmp_path)


def test_a_status_line_with_200_is_a_delivery_though_the_rest_is_truncated(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        async def cut(request: Any) -> None:
            request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab")

        peer = await start_endpoint(platform, cut)
        node = await start_node(folder, platform)
        assert (await node.submit("m", "status"))[0] == 202
        await peer.wait_until(lambda: peer.closed == 1)
        peer.handler = always(OK)
        assert (await node.submit("n", "status"))[0] == 202
        await peer.wait_for_requests(2)
        assert [r.headers["x-correlation-id"] for r in peer.requests] == ["m", "n"]

    play(scene, tmp_path)


def test_the_statuses_410_504_and_503_over_slots_each_have_their_outcome(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(Answer(410), Answer(503, {"X-Over-Slots": "1"}), OK))
        node = await start_node(folder, platform)
        assert (await node.submit("expired", "pay"))[0] == 202
        await peer.wait_for_requests(1)
        assert (await node.submit("slots", "pay"))[0] == 202
        await peer.wait_for_requests(3)
        assert [r.headers["x-correlation-id"] for r in peer.requests] == ["expired", "slots", "slots"]
        peer.handler = always(Answer(504))
        assert (await node.submit("spent", "status", left="3"))[0] == 202
        assert (await platform.wait_for_notice("spent"))["state"] == "returned"
        assert [n["id"] for n in platform.notices] == ["expired", "spent"]

    play(scene, tmp_path)


def test_a_retry_after_applies_to_all_messages_of_the_destination(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        times: list[float] = []

        async def handler(request: Any) -> Answer:
            times.append(asyncio.get_running_loop().time())
            return Answer(429, {"X-RateLimit-Wait-Ms": "700"}) if len(times) == 1 else OK

        peer = await start_endpoint(platform, handler)
        node = await start_node(folder, platform)
        assert (await node.submit("a", "status"))[0] == 202
        await peer.wait_for_requests(1)
        assert (await node.submit("b", "status"))[0] == 202
        await peer.wait_for_requests(3)
        assert times[1] - times[0] >= 0.69

    play(scene, tmp_path)


def test_a_batch_answer_that_is_nested_too_deeply_ends_its_call() -> None:
    """Guards against slots that are lost for good: the attempts of such a call never ended."""

    async def scene() -> None:
        ends: list[AttemptEnded] = []
        peer = await Peer(always(Answer(200, body=b"[" * 50_000))).start()
        pool, now = make_pool(ends), Clock()()
        pool.update_addresses({1: Address("127.0.0.1", peer.port)})
        items = [CallItem(name, 0, None, b"x", now + 10**7, now + 10**7) for name in "ab"]
        pool.start(EndpointCall(1, LimitScopeKey(7, -1), now, items))
        async with asyncio.timeout(PATIENCE):
            while len(ends) < 2:
                await asyncio.sleep(0.005)
        assert [end.outcome for end in ends] == [Outcome.FAILED] * 2
        assert not pool.calls_in_flight
        pool.close()

    asyncio.run(scene())
