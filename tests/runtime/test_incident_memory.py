"""Regression tests for issue 61, run on the real program. See docs/incidents/2026-12-05-memory-of-peers.md."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import resource
import signal
from collections.abc import AsyncIterator, Coroutine
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from lab.hostile_clients import FLOODS, SLOW_WRITERS, Behaviour, Target, command
from lab.memory_watch import MemoryWatch
from lab.shim import Failure
from tests.nodes import SETTINGS, Client, Node, message
from tests.platforms import Platform
from tests.scenes import end_with_scene, play, received_ids, start_endpoint, start_shimmed
from tests.sockets import OK, PATIENCE, ROOT, Answer, Request, always

LEAST_MEMORY_MB = 32
"""The least memory of a forwarder (TERMS)."""
ANSWER_TIMEOUT_S = 0.4
"""Time that a client waits for its answer (PROTOCOL)."""
CROWD_S = 3.0
SETTLE_S = 0.5
CALM_S = 1.0
SOUND_INTERVAL_S = 0.02
SLOTS = 14
CORE_SHARE = 0.25
"""A forwarder has a part of one core (TERMS)."""
SLICE_S = 0.04
STALLED_S = 3.0
"""Time within which a bad client has to get an error or a close (TERMS)."""


async def start_with_limits(folder: Path, platform: Platform, sockets: int) -> Node:
    """Starts a node with the least memory and a number of descriptors, both in its settings."""
    node = Node(folder, platform)
    settings = {**SETTINGS, "family_info": {**SETTINGS["family_info"], "slots": SLOTS}}
    limits = {"cores": 1, "memory_mb": LEAST_MEMORY_MB, "sockets": sockets, "disk_mb": 3}
    node.configure(limits=limits, settings=settings)
    end_with_scene(node)
    await node.start()
    resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
    return node


def open_descriptors(node: Node) -> int:
    return len(os.listdir(f"/proc/{node.process.pid}/fd"))


async def run_hostile_clients(node: Node, behaviour: Behaviour, connections: int, seconds: float = CROWD_S) -> None:
    """Runs clients that misbehave, and waits for their end."""
    target = Target(node.host, node.port, "status", 7, "acme", seconds, seed=1)
    process = await asyncio.create_subprocess_exec(*command(target, behaviour, connections), cwd=ROOT)
    async with asyncio.timeout(PATIENCE):
        assert await process.wait() == 0


@dataclass
class SoundClients:
    """Clients that submit one message after the other, by turns on a kept and on a new connection."""

    node: Node
    answered: list[int] = field(default_factory=list)
    late: list[str] = field(default_factory=list)
    """The messages without an answer in time."""

    async def run(self) -> None:
        """Submits until it is cancelled."""
        kept = await self.node.client()
        try:
            for number in itertools.count():
                await self._submit_on_new_connection(f"new-{number}")
                if not await self._submit(f"kept-{number}", kept):
                    kept.writer.close()
                    await self._submit_on_new_connection(f"kept-{number}")
                    kept = await self.node.client()
                await asyncio.sleep(SOUND_INTERVAL_S)
        finally:
            kept.writer.close()

    async def _submit_on_new_connection(self, name: str) -> None:
        client = await self.node.client()
        if not await self._submit(name, client):
            self.late.append(f"{name}: closed without an answer")
        client.writer.close()

    async def _submit(self, name: str, client: Client) -> bool:
        """Submits one message; returns False if the forwarder has closed the connection, as it may between requests."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                status, _ = await client.submit(name, "status")
        except TimeoutError:
            self.late.append(f"{name}: no answer in time")
        except (OSError, asyncio.IncompleteReadError):
            return False
        else:
            self.answered.append(status)
        return True


@contextlib.asynccontextmanager
async def running(task: Coroutine[object, object, None]) -> AsyncIterator[None]:
    """Runs a coroutine while the context is open."""
    running_task = asyncio.create_task(task)
    try:
        yield
    finally:
        running_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await running_task


@contextlib.asynccontextmanager
async def sound_clients(node: Node) -> AsyncIterator[None]:
    """Runs sound clients; all of them must be answered in time and be told that their message is accepted."""
    clients = SoundClients(node)
    async with running(clients.run()):
        yield
    assert clients.late == []
    assert set(clients.answered) == {202}


async def run_on_part_of_a_core(node: Node) -> None:
    """Lets a node run for a part of each slice of time only."""
    try:
        while True:
            node.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(SLICE_S * (1 - CORE_SHARE))
            node.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(SLICE_S * CORE_SHARE)
    finally:
        node.process.send_signal(signal.SIGCONT)


@pytest.mark.parametrize(("sockets", "connections"), [(1024, 480), (256, 300)])
@pytest.mark.parametrize("behaviour", [*SLOW_WRITERS, Behaviour.UNREAD_ANSWERS])
def test_hundreds_of_slow_clients_leave_a_process_within_its_memory(
    tmp_path: Path, behaviour: Behaviour, sockets: int, connections: int
) -> None:
    """Issue 61 (a): what hundreds of clients had sent in part took a process over its memory."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(OK))
        node = await start_with_limits(folder, platform, sockets)
        with MemoryWatch(node.process.pid) as memory:
            async with sound_clients(node):
                await run_hostile_clients(node, behaviour, connections)
                await asyncio.sleep(SETTLE_S)
        assert memory.peak_mb() <= LEAST_MEMORY_MB

    play(scene, tmp_path)


@pytest.mark.parametrize("behaviour", FLOODS)
def test_a_flood_on_one_connection_delays_no_other_client(tmp_path: Path, behaviour: Behaviour) -> None:
    """Issue 61 (b): while one client sent small requests at full speed, others got their answers late."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(OK))
        node = await start_with_limits(folder, platform, 256)
        with MemoryWatch(node.process.pid) as memory:
            async with running(run_on_part_of_a_core(node)), sound_clients(node):
                await run_hostile_clients(node, behaviour, 1)
        assert memory.peak_mb() <= LEAST_MEMORY_MB

    play(scene, tmp_path)


def test_a_flood_of_empty_lines_gets_an_error_or_a_close(tmp_path: Path) -> None:
    """Found with issue 61 (b): a client that never stopped sending empty lines was never answered nor closed."""

    async def scene(platform: Platform, folder: Path) -> None:
        node = await start_with_limits(folder, platform, 256)
        client = await node.client()

        async def flood() -> None:
            with contextlib.suppress(OSError):
                while True:
                    client.writer.write(b"\r\n" * 4096)
                    await client.writer.drain()

        async with running(flood()), asyncio.timeout(STALLED_S):
            with contextlib.suppress(ConnectionError):
                await client.reader.read(1)
        client.writer.transport.abort()

    play(scene, tmp_path)


def test_clients_that_leave_with_much_unread_free_their_connections(tmp_path: Path) -> None:
    """Issue 61 (c): the connection of a client that left behind unread requests was never closed."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(OK))
        node = await start_with_limits(folder, platform, 256)
        before = open_descriptors(node)
        await run_hostile_clients(node, Behaviour.LEAVE, 20)
        await asyncio.sleep(STALLED_S)
        assert open_descriptors(node) <= before + SLOTS

    play(scene, tmp_path)


@pytest.mark.parametrize("upgraded", [False, True], ids=["same process", "after an upgrade"])
def test_an_id_that_comes_again_after_its_client_left_is_delivered_once(tmp_path: Path, upgraded: bool) -> None:
    """Issue 61 (c): an id whose client had left before its 202 was told 202 when it came again, and never ran."""

    async def scene(platform: Platform, folder: Path) -> None:
        rejection = Answer(429, {"X-RateLimit-Wait-Ms": "1500"})

        async def reject_first(request: Request) -> Answer:
            return rejection if len(peer.requests) == 1 else OK

        peer = await start_endpoint(platform, reject_first)
        node = await start_shimmed(folder, platform)
        assert (await node.submit("held", "status"))[0] == 202
        await peer.wait_for_requests(1)  # no calls to its destination from here on
        await node.set_failures(Failure("client-send", "ENOMEM"))
        client = await node.client()
        client.writer.write(message("again", "status"))
        await asyncio.sleep(ANSWER_TIMEOUT_S)
        client.writer.transport.abort()
        await asyncio.sleep(SETTLE_S)
        await node.set_failures()
        if upgraded:
            node = await node.successor().start()
            end_with_scene(node)
        assert (await node.submit("again", "status"))[0] == 202
        await peer.wait_until(lambda: "again" in received_ids(peer))
        await asyncio.sleep(CALM_S)
        assert received_ids(peer).count("again") == 1

    play(scene, tmp_path)


def test_requests_in_part_leave_both_processes_of_an_upgrade_within_their_memory(tmp_path: Path) -> None:
    """Found with issue 61 (a): the description of a hand-over held all requests in part several times over."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(OK))
        node = await start_with_limits(folder, platform, 1024)
        crowd = asyncio.create_task(run_hostile_clients(node, Behaviour.HALF_BODY, 480))
        await asyncio.sleep(CALM_S)
        successor = node.successor()
        with MemoryWatch(node.process.pid) as memory:
            end_with_scene(await successor.start(ready=False))
            memory.add(successor.process.pid)
            await successor.until_ready()
            assert await node.process.wait() == 0
            await crowd
        assert (await successor.submit("after", "status"))[0] == 202
        assert memory.peak_mb() <= LEAST_MEMORY_MB

    play(scene, tmp_path)


def test_endpoints_answers_of_many_short_fields_leave_a_process_within_its_memory(tmp_path: Path) -> None:
    """Found with issue 61 (a): the fields of endpoints' answers cost many times their length on the wire."""

    async def scene(platform: Platform, folder: Path) -> None:
        head = b"HTTP/1.1 200 OK\r\n" + b"".join(b"%x:\r\n" % number for number in range(16_000))

        async def answer_slowly(request: Request) -> None:
            for first in range(0, len(head), 4096):
                request.writer.write(head[first : first + 4096])
                await asyncio.sleep(0.02)

        await start_endpoint(platform, answer_slowly)
        node = await start_with_limits(folder, platform, 256)
        with MemoryWatch(node.process.pid) as memory:
            for number in range(40):
                await node.submit(f"m{number}", "status")
            await asyncio.sleep(CROWD_S)
        assert memory.peak_mb() <= LEAST_MEMORY_MB

    play(scene, tmp_path)
