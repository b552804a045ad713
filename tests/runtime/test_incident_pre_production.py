"""Regression tests for the faults of the incident of 2026-12-02, run on the real program.

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
from tests.scenes import end_with_scene, play, received_ids, start_endpoint, start_node
from tests.sockets import OK, Answer, Request, always, answer_after

DESCRIPTORS = 256  # as configured by Node
IDLE_CLIENTS = 500  # below the listener's backlog
MAX_CLIENT_CONNECTIONS = DESCRIPTORS // 2  # the forwarder's limit for client connections


def limit_descriptors(node: Node) -> None:
    """Limits the process to the number of descriptors in its configuration."""
    resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


def open_descriptors(node: Node) -> int:
    return len(os.listdir(f"/proc/{node.process.pid}/fd"))


async def idle_clients(node: Node, count: int, send_request: bool) -> list[Client]:
    """Connects clients while the process is stopped, so that it sees all of them at once; they then stay idle."""
    node.process.send_signal(signal.SIGSTOP)
    clients = [await node.client() for _ in range(count)]
    for client in clients if send_request else []:
        client.writer.write(b"GET /up HTTP/1.1\r\n\r\n")
    node.process.send_signal(signal.SIGCONT)
    return clients


@pytest.mark.parametrize("send_request", [True, False], ids=["after a request", "without a request"])
def test_bursts_of_idle_clients_leave_descriptors_for_everything_else(tmp_path: Path, send_request: bool) -> None:
    """incident-1: hundreds of idle clients used every descriptor, and none was freed until they left."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_node(folder, platform)
        limit_descriptors(node)
        clients = await idle_clients(node, IDLE_CLIENTS, send_request)
        for name in ("first", "second"):  # new connections are accepted, and endpoints and the platform can be called
            assert (await node.submit(name))[0] == 202
        await peer.wait_for_requests(2)
        assert open_descriptors(node) <= MAX_CLIENT_CONNECTIONS + 40
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
        drained = await start_endpoint(platform, always(Answer(503)))
        node = await start_node(folder, platform)
        assert (await node.submit("held", "status"))[0] == 202
        await drained.wait_for_requests(1)
        await node.end(signal.SIGKILL)
        calls_before = len(drained.requests)
        other = await start_endpoint(platform, always(OK), "s2")
        platform.endpoints["s1"]["health"] = "draining"
        platform.version += 1
        platform.changes[platform.version] = [platform.endpoints["s1"], platform.endpoints["s2"]]
        answer_now = asyncio.Event()
        answer = platform.handler

        async def slow(request: Request) -> Answer | bytes | None:
            await answer_now.wait()
            return await answer(request)

        platform.handler = slow
        await node.start()
        await asyncio.sleep(0.8)  # well beyond the grace period of a drain
        assert len(drained.requests) == calls_before
        answer_now.set()
        await other.wait_for_requests(1)
        assert received_ids(other) == ["held"]
        assert len(drained.requests) == calls_before

    play(scene, tmp_path)


def test_a_drain_that_is_unread_after_a_suspension_applies_before_anything_is_sent(tmp_path: Path) -> None:
    """Found by the soak test: with an answer and a drain unread, the answer's round sent to the drained endpoint."""

    async def scene(platform: Platform, folder: Path) -> None:
        free = asyncio.Event()
        drained = await start_endpoint(platform, answer_after(free))
        node = await start_node(folder, platform)
        await platform.wait_for_requests(2)  # its watch is waiting for a change
        for name in ("out", "held"):
            assert (await node.submit(name, "status"))[0] == 202
        await drained.wait_for_requests(1)
        node.process.send_signal(signal.SIGSTOP)
        free.set()
        await asyncio.sleep(0.2)  # the answer is written
        other = await start_endpoint(platform, always(OK), "s2")
        platform.changes[platform.version + 1] = []
        await platform.change("s1", "draining")
        platform.changes[platform.version].append(dict(platform.endpoints["s2"]))
        await asyncio.sleep(0.6)
        node.process.send_signal(signal.SIGCONT)
        await other.wait_for_requests(1)
        assert received_ids(drained) == ["out"]
        assert received_ids(other) == ["held"]

    play(scene, tmp_path)


def test_a_start_waits_for_a_socket_that_cannot_be_created_for_a_moment(tmp_path: Path) -> None:
    """Found by the soak test: ENFILE on creating the listening socket ended the start."""

    async def scene(platform: Platform, folder: Path) -> None:
        node = Node(folder, platform)
        end_with_scene(node)
        await node.set_failures(Failure("socket", "ENFILE"))
        await node.start(ready=False)
        await asyncio.sleep(1.5)
        await node.set_failures()
        await node.until_ready()

    play(scene, tmp_path)


def test_a_retry_after_that_is_sent_as_its_call_is_given_up_is_honoured(tmp_path: Path) -> None:
    """Suspected cause of a call within a Retry-After in a day of soak tests: a rejection just after the time-out."""

    async def scene(platform: Platform, folder: Path) -> None:
        arrived_s: list[float] = []

        async def late(request: Request) -> Answer:
            arrived_s.append(time.monotonic())
            if len(arrived_s) > 1:
                return OK
            await asyncio.sleep(float(request.headers["x-time-left"]) + 0.04)
            return Answer(429, {"X-RateLimit-Wait-Ms": "1500"})

        peer = await start_endpoint(platform, late)
        node = await start_node(folder, platform)
        assert (await node.submit("held", "status"))[0] == 202
        left_s = float((await peer.wait_for_requests(1))[0].headers["x-time-left"])
        await peer.wait_for_requests(2)
        assert arrived_s[1] - arrived_s[0] > left_s + 1.4

    play(scene, tmp_path)


def test_a_partial_request_that_is_dropped_for_lack_of_room_is_answered(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        node = await start_node(folder, platform)
        half = await node.client()
        half.writer.write(message("half")[:60])
        await asyncio.sleep(0.6)  # the connection does not count as new any more
        clients = await idle_clients(node, IDLE_CLIENTS, send_request=False)
        assert (await half.answer())[0] == 503
        for client in clients:
            client.writer.close()

    play(scene, tmp_path)
