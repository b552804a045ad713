"""The faults of the incident of 2026-12-02, played on the real program.

See docs/incidents/2026-12-02-pre-production-faults.md.
"""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import time
from pathlib import Path

import pytest

from lab.shim import Failure
from tests.nodes import Client, Node, message
from tests.platforms import Platform
from tests.scenes import folder_nodes, ids, node_on, play, target
from tests.sockets import OK, Answer, Request, always, once

DESCRIPTORS = 256  # as Node configures
RESTING_CLIENTS = 500  # under the listener's backlog
CLIENT_SHARE = DESCRIPTORS // 2  # the bound that the forwarder states for its clients


def limit_descriptors(node: Node) -> None:
    """The machine allows no more descriptors than the configuration names."""
    resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


def open_descriptors(node: Node) -> int:
    return len(os.listdir(f"/proc/{node.process.pid}/fd"))


async def resting_clients(node: Node, count: int, ask: bool) -> list[Client]:
    """Clients that arrive while the process stands still, so that it meets all of them at once, and then rest."""
    node.process.send_signal(signal.SIGSTOP)
    clients = [await node.client() for _ in range(count)]
    for client in clients if ask else []:
        client.writer.write(b"GET /up HTTP/1.1\r\n\r\n")
    node.process.send_signal(signal.SIGCONT)
    return clients


@pytest.mark.parametrize("ask", [True, False], ids=["that have asked", "that are silent"])
def test_bursts_of_resting_clients_leave_descriptors_for_all_else(tmp_path: Path, ask: bool) -> None:
    """incident-1: hundreds of idle clients took every descriptor, and nothing gave one back until they left."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await target(platform, always(OK))
        node = await node_on(folder, platform)
        limit_descriptors(node)
        clients = await resting_clients(node, RESTING_CLIENTS, ask)
        for name in ("first", "second"):  # new connections are taken, and endpoints and the platform can be called
            assert (await node.submit(name))[0] == 202
        await peer.wait_for_requests(2)
        assert open_descriptors(node) <= CLIENT_SHARE + 40
        moved = Platform()
        moved.endpoints, moved.version, moved.changes = platform.endpoints, platform.version, platform.changes
        await moved.start()
        node.configure(discovery=f"127.0.0.1:{moved.port}")
        node.process.send_signal(signal.SIGHUP)
        await moved.wait_until(lambda: any(r.path.startswith("/discovery") for r in moved.requests))
        assert "cannot accept" not in "".join(node.log)
        for client in clients:
            client.writer.close()

    play(scene, tmp_path)


def test_a_restart_sends_nothing_by_its_saved_list_while_discovery_is_about_to_answer(tmp_path: Path) -> None:
    """incident-2: an endpoint drained while the process was down got calls until discovery's first answer was read."""

    async def scene(platform: Platform, folder: Path) -> None:
        drained = await target(platform, always(Answer(503)))
        node = await node_on(folder, platform)
        assert (await node.submit("held", "status"))[0] == 202
        await drained.wait_for_requests(1)
        await node.end(signal.SIGKILL)
        calls_before = len(drained.requests)
        other = await target(platform, always(OK), "s2")
        platform.endpoints["s1"]["health"] = "draining"
        platform.version += 1
        platform.changes[platform.version] = [platform.endpoints["s1"], platform.endpoints["s2"]]
        answer_now = asyncio.Event()
        answered = platform.handler

        async def slow(request: Request) -> Answer | bytes | None:
            await answer_now.wait()
            return await answered(request)

        platform.handler = slow
        await node.start()
        await asyncio.sleep(0.8)  # well over the grace of a drain
        assert len(drained.requests) == calls_before
        answer_now.set()
        await other.wait_for_requests(1)
        assert ids(other) == ["held"]
        assert len(drained.requests) == calls_before

    play(scene, tmp_path)


def test_a_drain_that_lies_unread_after_a_standstill_is_heeded_before_anything_is_sent(tmp_path: Path) -> None:
    """Found by the soak: an answer and a drain were both in the kernel, and the answer's round sent to the drained."""

    async def scene(platform: Platform, folder: Path) -> None:
        free = asyncio.Event()
        drained = await target(platform, once(free))
        node = await node_on(folder, platform)
        await platform.wait_for_requests(2)  # its watch waits
        for name in ("out", "held"):
            assert (await node.submit(name, "status"))[0] == 202
        await drained.wait_for_requests(1)
        node.process.send_signal(signal.SIGSTOP)
        free.set()
        await asyncio.sleep(0.2)  # the answer is written
        other = await target(platform, always(OK), "s2")
        platform.changes[platform.version + 1] = []
        await platform.change("s1", "draining")
        platform.changes[platform.version].append(dict(platform.endpoints["s2"]))
        await asyncio.sleep(0.6)
        node.process.send_signal(signal.SIGCONT)
        await other.wait_for_requests(1)
        assert ids(drained) == ["out"]
        assert ids(other) == ["held"]

    play(scene, tmp_path)


def test_a_start_waits_for_a_socket_that_cannot_be_had_for_a_moment(tmp_path: Path) -> None:
    """Found by the soak: ENFILE as the listening socket was made ended the start."""

    async def scene(platform: Platform, folder: Path) -> None:
        node = Node(folder, platform)
        folder_nodes[-1].append(node)
        await node.fail(Failure("socket", "ENFILE"))
        await node.start(ready=False)
        await asyncio.sleep(1.5)
        await node.fail()
        await node.until_ready()

    play(scene, tmp_path)


def test_a_wait_that_is_told_as_its_call_is_given_up_is_heeded(tmp_path: Path) -> None:
    """Suspected behind a broken wait of the soak day: a refusal that was written just after the giving up."""

    async def scene(platform: Platform, folder: Path) -> None:
        came_s: list[float] = []

        async def late(request: Request) -> Answer:
            came_s.append(time.monotonic())
            if len(came_s) > 1:
                return OK
            await asyncio.sleep(float(request.headers["x-time-left"]) + 0.04)
            return Answer(429, {"X-RateLimit-Wait-Ms": "1500"})

        peer = await target(platform, late)
        node = await node_on(folder, platform)
        assert (await node.submit("held", "status"))[0] == 202
        left_s = float((await peer.wait_for_requests(1))[0].headers["x-time-left"])
        await peer.wait_for_requests(2)
        assert came_s[1] - came_s[0] > left_s + 1.4

    play(scene, tmp_path)


def test_half_a_request_that_is_given_up_for_want_of_room_is_told_so(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        node = await node_on(folder, platform)
        half = await node.client()
        half.writer.write(message("half")[:60])
        await asyncio.sleep(0.6)  # it is not new any more
        clients = await resting_clients(node, RESTING_CLIENTS, ask=False)
        assert (await half.answer())[0] == 503
        for client in clients:
            client.writer.close()

    play(scene, tmp_path)
