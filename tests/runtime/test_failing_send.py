"""Runs the real program while buffers for sends and reads of calls run out: each accepted message arrives once."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from lab.shim import Failure
from tests.load import SteadyLoad
from tests.platforms import Platform
from tests.scenes import play, received_ids, start_endpoint, start_shimmed
from tests.sockets import OK, PATIENCE, Answer, Request, always

BEFORE_FAILURE_S = 0.5
FAILING_S = 2.5
RECOVERY_S = 1.0
"""Maximum time from the end of the failure until endpoints are called again."""
MAX_OPEN_MESSAGES = 1000
PIECE_COUNT = 6
WAIT_S = 1.5
PIECE_INTERVAL_S = 0.1


async def answer_in_pieces(request: Request) -> bytes:
    """Answers in pieces, so slowly that the answer is partly read most of the time."""
    body = b"x" * 600
    request.writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body))
    for first in range(0, len(body), len(body) // PIECE_COUNT):
        await asyncio.sleep(PIECE_INTERVAL_S)
        request.writer.write(body[first : first + len(body) // PIECE_COUNT])
    return b""


HANDLERS: dict[str, Callable[[Request], Awaitable[Answer | bytes | None]]] = {
    "whole answers": always(OK),
    "answers in pieces": answer_in_pieces,
}


@pytest.mark.parametrize("handler", HANDLERS)
@pytest.mark.parametrize("share", [1.0, 0.3])
@pytest.mark.parametrize(
    ("call", "error"),
    [("send", "ENOBUFS"), ("send", "ENOMEM"), ("send", "EINTR"), ("recv", "ENOBUFS"), ("recv", "ENOMEM")],
)
def test_messages_arrive_once_though_calls_on_endpoint_connections_fail(
    tmp_path: Path, call: str, error: str, share: float, handler: str
) -> None:
    """Guards against messages that were returned unsent, or taken to have run, when this machine had no buffers."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, HANDLERS[handler])
        node = await start_shimmed(folder, platform, max_open=MAX_OPEN_MESSAGES)
        load = SteadyLoad(node)
        await load.start()
        await asyncio.sleep(BEFORE_FAILURE_S)
        await node.set_failures(Failure(call, error, share))
        await asyncio.sleep(FAILING_S)
        await node.set_failures()
        requests_before = len(peer.requests)
        await asyncio.sleep(RECOVERY_S)
        assert len(peer.requests) > requests_before, "endpoints have to be called again"
        await load.finish()
        accepted = load.accepted()
        assert len(accepted) == len(load.submitted)
        await peer.wait_until(lambda: set(received_ids(peer)) >= set(accepted))
        await asyncio.sleep(RECOVERY_S)
        assert sorted(received_ids(peer)) == sorted(accepted)
        assert not platform.notices

    play(scene, tmp_path)


def test_messages_arrive_once_though_requests_leave_in_pieces_between_failures(tmp_path: Path) -> None:
    """Guards against counting a call as the endpoint's failure when buffers ran out after half of it was sent."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_shimmed(folder, platform, max_open=MAX_OPEN_MESSAGES)
        load = SteadyLoad(node)
        await load.start()
        await asyncio.sleep(BEFORE_FAILURE_S)
        await node.set_failures(Failure("short", share=0.7), Failure("send", "ENOBUFS", 0.7))
        await asyncio.sleep(FAILING_S)
        await node.set_failures()
        await load.finish()
        accepted = load.accepted()
        await peer.wait_until(lambda: set(received_ids(peer)) >= set(accepted))
        await asyncio.sleep(RECOVERY_S)
        assert sorted(received_ids(peer)) == sorted(accepted)
        assert not platform.notices
        assert "in outage" not in "".join(node.log)

    play(scene, tmp_path)


@pytest.mark.parametrize("error", ["ENOMEM", "ENOBUFS"])
def test_a_retry_after_that_cannot_be_read_yet_is_respected(tmp_path: Path, error: str) -> None:
    """Guards against calls to a destination whose Retry-After was received but not yet read (soak seed 3011)."""

    async def scene(platform: Platform, folder: Path) -> None:
        loop = asyncio.get_running_loop()
        rejected_at_s: list[float] = []
        arrived_at_s: list[float] = []

        async def answer(request: Request) -> Answer:
            name = request.headers["x-correlation-id"]
            if name == "told" and not rejected_at_s:
                rejected_at_s.append(loop.time())
                return Answer(429, {"X-RateLimit-Wait-Ms": str(int(WAIT_S * 1000))})
            if name.startswith("later"):
                arrived_at_s.append(loop.time())
            return OK

        for name in ("s1", "s2"):
            await start_endpoint(platform, answer, name)
        node = await start_shimmed(folder, platform)
        for number in range(20):  # enlarges the concurrency window
            assert (await node.submit(f"before-{number}", "status"))[0] == 202
        await node.set_failures(Failure("endpoint-recv", error))
        for number in range(2):  # their answers stay unread too, and these calls time out before the next one
            assert (await node.submit(f"first-{number}", "status"))[0] == 202
        await asyncio.sleep(0.4)
        assert (await node.submit("told", "status"))[0] == 202
        async with asyncio.timeout(RECOVERY_S):
            while not rejected_at_s:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)  # calls that arrive within 0.1 s are permitted (PROTOCOL)
        for number in range(3):
            assert (await node.submit(f"later-{number}", "status"))[0] == 202
        await asyncio.sleep(WAIT_S / 2)
        await node.set_failures()
        async with asyncio.timeout(PATIENCE):
            while len(arrived_at_s) < 3:
                await asyncio.sleep(0.01)
        assert min(arrived_at_s) > rejected_at_s[0] + WAIT_S - 0.05

    play(scene, tmp_path)
