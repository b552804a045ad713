"""A 202 that cannot leave, played on the real program: its client goes elsewhere with its message."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

import pytest

from benchmarks.accept import processor_s
from lab.shim import Failure
from tests.nodes import message
from tests.platforms import Platform
from tests.scenes import end_with_scene, play, received_ids, start_endpoint, start_shimmed
from tests.sockets import OK, Answer, Request, always

CLIENT_TIMEOUT_S = 0.4
"""A client waits so long for its answer (PROTOCOL)."""
FAILING_S = 1.5
CLASSES = ("order", "status", "turn", "pay")
MAX_CPU_SHARE = 0.5
"""Of a core, for a forwarder that has next to nothing to do."""
WAIT_MS = 800


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("error", ["ENOMEM", "ENOBUFS"])
def test_a_message_whose_202_never_left_is_not_sent_once_its_client_has_gone(
    tmp_path: Path, error: str, reset: bool
) -> None:
    """Guards against a second effect: the client has handed the message in elsewhere."""

    async def scene(platform: Platform, folder: Path) -> None:
        told_wait = Answer(429, {"X-RateLimit-Wait-Ms": str(WAIT_MS)})

        async def first_waits(request: Request) -> Answer:
            return told_wait if len(peer.requests) == 1 else OK

        peer = await start_endpoint(platform, first_waits)
        node = await start_shimmed(folder, platform)
        assert (await node.submit("held", "status"))[0] == 202
        await peer.wait_for_requests(1)  # its destination is left alone from here on
        await node.fail(Failure("client-send", error))
        clients = {message_class: await node.client() for message_class in CLASSES}
        for message_class, client in clients.items():
            client.writer.write(message(f"unheard-{message_class}", message_class, X_Session_Key="k"))
        began_cpu_s, began_s = processor_s(node.process.pid), time.monotonic()
        await asyncio.sleep(CLIENT_TIMEOUT_S)
        for client in clients.values():
            end = client.writer.transport.abort if reset else client.writer.close
            end()
        await asyncio.sleep(FAILING_S)
        assert (processor_s(node.process.pid) - began_cpu_s) / (time.monotonic() - began_s) < MAX_CPU_SHARE
        await node.fail()
        assert (await node.submit("next", "turn", X_Session_Key="k"))[0] == 202
        await peer.wait_until(lambda: "next" in received_ids(peer))
        await asyncio.sleep(1.0)
        assert sorted(received_ids(peer)) == ["held", "held", "next"]
        assert not platform.notices
        await node.restart()
        await asyncio.sleep(0.5)
        assert len(peer.requests) == 3

    play(scene, tmp_path)


def test_a_message_whose_202_had_not_left_as_the_process_ended_is_not_sent_by_the_next(tmp_path: Path) -> None:
    """Guards against the same second effect over a restart: the client saw its connection end unanswered."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(Answer(429, {"X-RateLimit-Wait-Ms": "10000"}), OK))
        node = await start_shimmed(folder, platform)
        assert (await node.submit("held", "status"))[0] == 202
        await peer.wait_for_requests(1)
        await node.fail(Failure("client-send", "ENOMEM"))
        client = await node.client()
        client.writer.write(message("unheard", "status"))
        await asyncio.sleep(CLIENT_TIMEOUT_S / 2)
        await node.end(signal.SIGTERM)
        await node.fail()
        await node.start()
        await peer.wait_for_requests(2)
        await asyncio.sleep(1.0)
        assert received_ids(peer) == ["held", "held"]

    play(scene, tmp_path)


def test_a_202_that_waits_for_its_socket_leaves_once_it_can(tmp_path: Path) -> None:
    """The client stays: it hears that its message was accepted, and the message goes."""

    async def scene(platform: Platform, folder: Path) -> None:
        async def answer(request: Request) -> Answer:
            return OK

        peer = await start_endpoint(platform, answer)
        node = await start_shimmed(folder, platform, Failure("client-send", "ENOMEM"))
        client = await node.client()
        client.writer.write(message("heard", "status"))
        await asyncio.sleep(CLIENT_TIMEOUT_S / 2)
        await node.fail()
        async with asyncio.timeout(CLIENT_TIMEOUT_S / 2):
            assert (await client.answer())[0] == 202
        await peer.wait_for_requests(1)

    play(scene, tmp_path)


def test_an_upgrade_waits_for_a_202_that_cannot_leave_just_now(tmp_path: Path) -> None:
    """Guards against a connection that ended unanswered: what its process had written could not be handed over."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(OK))
        node = await start_shimmed(folder, platform)
        client = await node.client()
        await node.fail(Failure("client-send", "ENOMEM"))
        client.writer.write(message("heard", "status"))
        new = node.successor()
        new.shim = None
        end_with_scene(new)
        starting = asyncio.create_task(new.start())
        await asyncio.sleep(1.5)  # it has asked by then, again and again
        await node.fail()
        assert (await client.answer())[0] == 202
        await starting
        assert await node.process.wait() == 0

    play(scene, tmp_path)
