"""Notices that fall due during failures of this machine or of the platform; tested on the real program."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from lab.shim import Failure
from tests.nodes import Node, message
from tests.platforms import Platform
from tests.scenes import end_with_scene, play, received_ids, start_endpoint, start_node, start_shimmed
from tests.sockets import Answer, Request, answer_after, hang

LOST_AFTER_S = 0.35
"""Time after its deadline at which a message without an end is lost (PROTOCOL: 300 ms, and 50 ms on sockets)."""
RESTART_GRACE_S = 1.5
"""Time after a restarted forwarder is ready before which no notice is overdue (PROTOCOL)."""
RECOVERY_S = 1.0
"""Maximum time from the end of a failure until service is restored."""
CLASSES = ("order", "status", "turn", "pay")
LEFT_S = (1.0, 1.4, 1.8, 2.2, 2.6)
FAILING_S = 3.0


class NoticeTimes:
    """Records when the first notice of each message arrived."""

    def __init__(self, platform: Platform) -> None:
        self.arrived_s: dict[str, float] = {}
        self._platform = platform
        platform.handler = self._record_times(platform.handler)

    def _record_times(
        self, handler: Callable[[Request], Awaitable[Answer | bytes | None]]
    ) -> Callable[[Request], Awaitable[Answer | bytes | None]]:
        async def handle_and_record(request: Request) -> Answer | bytes | None:
            answer = await handler(request)
            for notice in self._platform.notices:
                self.arrived_s.setdefault(notice["id"], time.monotonic())
            return answer

        return handle_and_record


async def submit_all(node: Node) -> dict[str, float]:
    """Submits messages that cannot be delivered. Returns the deadlines of the accepted ones, by message id."""
    due_s = {}
    for left_s in LEFT_S:
        for message_class in CLASSES:
            name = f"{message_class}-{left_s}"
            sent_s = time.monotonic()
            if (await node.submit(name, message_class, left=str(left_s)))[0] == 202:
                due_s[name] = sent_s + left_s
    assert len(due_s) > len(LEFT_S)
    return due_s


@pytest.mark.parametrize("restarts", [False, True], ids=["in service", "over a restart"])
@pytest.mark.parametrize("share", [1.0, 0.7])
def test_notices_arrive_in_time_although_no_socket_can_be_created(tmp_path: Path, share: float, restarts: bool) -> None:
    """Guards against notices that came seconds late because their connection had to be opened first."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, hang)
        times = NoticeTimes(platform)
        node = await start_shimmed(folder, platform)
        due_s = await submit_all(node)
        ready_s = 0.0
        if restarts:
            await node.end()
            await node.start()
            ready_s = time.monotonic()
        await asyncio.sleep(0.3)
        await node.set_failures(Failure("socket", "ENFILE", share))
        await asyncio.sleep(FAILING_S)
        await node.set_failures()
        await platform.wait_until(lambda: len(platform.notices) >= len(due_s))
        bound_s = {name: max(due + LOST_AFTER_S, ready_s + RESTART_GRACE_S) for name, due in due_s.items()}
        late = {name: times.arrived_s[name] - due_s[name] for name in due_s if times.arrived_s[name] > bound_s[name]}
        assert not late

    play(scene, tmp_path)


def test_notices_arrive_in_time_from_a_successor_that_can_create_no_socket(tmp_path: Path) -> None:
    """Found by the soak test (seed 1101): everything was handed over except the connection for notices."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, hang)
        times = NoticeTimes(platform)
        node = await start_shimmed(folder, platform)
        due_s = await submit_all(node)
        await node.set_failures(Failure("socket", "ENFILE"))
        new = node.successor()
        end_with_scene(new)
        await new.start()
        assert await node.process.wait() == 0
        await platform.wait_until(lambda: len(platform.notices) >= len(due_s))
        late = {
            name: times.arrived_s[name] - due
            for name, due in due_s.items()
            if times.arrived_s[name] > due + LOST_AFTER_S
        }
        assert not late

    play(scene, tmp_path)


@pytest.mark.parametrize("moves", [True, False], ids=["the platform moves", "its connection ends"])
def test_notices_arrive_in_time_on_a_reserve_socket(tmp_path: Path, moves: bool) -> None:
    """Found by the soak test (seed 2205): SIGHUP moved the platform while no socket could be created."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, hang)
        node = await start_shimmed(folder, platform)
        due_s = await submit_all(node)
        target = platform
        if moves:
            target = await Platform().start()
            node.configure(discovery=f"127.0.0.1:{target.port}")
        times = NoticeTimes(target)
        await node.set_failures(Failure("socket", "ENFILE"))
        if moves:
            node.process.send_signal(signal.SIGHUP)
        else:
            await platform.end_connections()
        await target.wait_until(lambda: len(target.notices) >= len(due_s))
        late_s = {name: times.arrived_s[name] - due for name, due in due_s.items()}
        assert max(late_s.values()) < LOST_AFTER_S

    play(scene, tmp_path)


@pytest.mark.parametrize("answers_after_s", [0.25, 0.6])
def test_slow_answers_of_the_platform_to_posts_are_received(tmp_path: Path, answers_after_s: float) -> None:
    """Guards against giving up every post before its answer for as long as the platform is slow."""

    async def scene(platform: Platform, folder: Path) -> None:
        answer = platform.handler

        async def slow(request: Request) -> Answer | bytes | None:
            if request.path == "/v1/notices":
                await asyncio.sleep(answers_after_s)
            return await answer(request)

        platform.handler = slow
        free = asyncio.Event()
        peer = await start_endpoint(platform, answer_after(free))
        node = await start_node(folder, platform)
        assert (await node.submit("first", "turn", left="1.0", X_Session_Key="k"))[0] == 202
        assert (await node.submit("second", "turn", left="9.0", X_Session_Key="k"))[0] == 202
        await platform.wait_for_notice("first")
        free.set()
        async with asyncio.timeout(answers_after_s + RECOVERY_S):
            await peer.wait_until(lambda: "second" in received_ids(peer))

    play(scene, tmp_path)


@pytest.mark.parametrize("error", ["ENOMEM", "ENOBUFS"])
def test_the_time_of_a_request_goes_on_while_it_cannot_be_read(tmp_path: Path, error: str) -> None:
    """Guards against `lost`: a request that stayed in the kernel for lack of buffers counted as newly arrived."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, hang)
        times = NoticeTimes(platform)
        node = await start_shimmed(folder, platform)
        client = await node.client()
        assert (await client.submit("before", "status"))[0] == 202
        await node.set_failures(Failure("client-recv", error))
        sent_s = time.monotonic()
        client.writer.write(message("late", "status", left="1.2"))
        await asyncio.sleep(0.8)
        await node.set_failures()
        status, _ = await client.answer()
        if status == 202:
            await platform.wait_for_notice("late")
            assert times.arrived_s["late"] - sent_s < 1.2 + LOST_AFTER_S
        assert status in (202, 429)

    play(scene, tmp_path)
