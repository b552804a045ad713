"""Runs the real program through lasting local failures (lab/shim.py): no message is lost."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from lab.shim import Failure
from tests.nodes import Node
from tests.platforms import Platform
from tests.scenes import play, received_ids, start_endpoint, start_shimmed
from tests.sockets import OK, always

CLASSES = ("order", "status", "turn", "pay")
BEFORE_FAILURE_S = 0.3
FAILING_S = 0.9
INTERVAL_S = 0.05
MAX_OPEN_MESSAGES = 1000  # high enough that no message is refused because the forwarder is full
FAILURES = {"poll": "ENOMEM", "connect": "EADDRNOTAVAIL", "socket": "ENFILE", "epoll_ctl": "ENOMEM"}


class Clients:
    """Submits messages of all classes. A connection that the program cannot watch is answered once it can."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.submissions: dict[str, asyncio.Task[tuple[int, dict[str, str]]]] = {}

    async def submit_for(self, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while loop.time() < end_s:
            for message_class in CLASSES:
                name = f"{message_class}-{len(self.submissions)}"
                self.submissions[name] = loop.create_task(self.node.submit(name, message_class))
            await asyncio.sleep(INTERVAL_S)

    async def accepted(self) -> list[str]:
        answers = await asyncio.gather(*self.submissions.values())
        return [name for name, (status, _) in zip(self.submissions, answers, strict=True) if status == 202]


@pytest.mark.parametrize("kept", [False, True], ids=["new connections", "kept connections"])
@pytest.mark.parametrize("call", FAILURES)
def test_messages_that_are_accepted_while_a_system_call_fails_arrive_once(
    tmp_path: Path, call: str, kept: bool
) -> None:
    """Guards against returning messages unsent: a failed poll was taken for a connection that had ended."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_shimmed(folder, platform, max_open=MAX_OPEN_MESSAGES)
        clients = Clients(node)
        await clients.submit_for(BEFORE_FAILURE_S if kept else 0.0)
        accepted_before = len(await clients.accepted())
        await peer.wait_until(lambda: len(peer.requests) == accepted_before)
        closed = peer.closed
        await node.set_failures(Failure(call, FAILURES[call]))
        await clients.submit_for(FAILING_S)
        if call == "poll" and kept:
            assert peer.closed == closed, "a failed poll must not close an idle connection"
        await node.set_failures()
        accepted = await clients.accepted()
        assert len(accepted) > accepted_before
        await peer.wait_until(lambda: set(received_ids(peer)) >= set(accepted))
        await asyncio.sleep(0.3)
        assert sorted(received_ids(peer)) == sorted(accepted)
        assert not platform.notices
        assert "violations: none" in await node.call(b"RULES\n")

    play(scene, tmp_path)
