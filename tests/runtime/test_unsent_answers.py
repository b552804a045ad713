"""Runs the real program when a 202 cannot be sent: the client submits its message to another forwarder."""

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
"""Time that a client waits for its answer (PROTOCOL)."""
FAILING_S = 1.5
CLASSES = ("order", "status", "turn", "pay")
MAX_CPU_SHARE = 0.5
"""Maximum share of a core for a forwarder that is almost idle."""
WAIT_MS = 800


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("error", ["ENOMEM", "ENOBUFS"])
def test_a_message_whose_202_was_never_sent_is_dropped_when_its_client_disconnects(
    tmp_path: Path, error: str, reset: bool
) -> None:
    """Guards against delivering a message twice: the client has submitted it to another forwarder."""

    async def scene(platform: Platform, folder: Path) -> None:
        rejection = Answer(429, {"X-RateLimit-Wait-Ms": str(WAIT_MS)})

        async def reject_first(request: Request) -> Answer:
            return rejection if len(peer.requests) == 1 else OK

        peer = await start_endpoint(platform, reject_first)
        node = await start_shimmed(folder, platform)
        assert (await node.submit("held", "status"))[0] == 202
        await peer.wait_for_requests(1)  # no calls to its destination from here on
        await node.set_failures(Failure("client-send", error))
        clients = {message_class: await node.client() for message_class in CLASSES}
        for message_class, client in clients.items():
            client.writer.write(message(f"unheard-{message_class}", message_class, X_Session_Key="k"))
        start_cpu_s, start_s = processor_s(node.process.pid), time.monotonic()
        await asyncio.sleep(CLIENT_TIMEOUT_S)
        for client in clients.values():
            end = client.writer.transport.abort if reset else client.writer.close
            end()
        await asyncio.sleep(FAILING_S)
        assert (processor_s(node.process.pid) - start_cpu_s) / (time.monotonic() - start_s) < MAX_CPU_SHARE
        await node.set_failures()
        assert (await node.submit("next", "turn", X_Session_Key="k"))[0] == 202
        await peer.wait_until(lambda: "next" in received_ids(peer))
        await asyncio.sleep(1.0)
        assert sorted(received_ids(peer)) == ["held", "held", "next"]
        assert not platform.notices
        await node.restart()
        await asyncio.sleep(0.5)
        assert len(peer.requests) == 3

    play(scene, tmp_path)


def test_a_message_whose_202_was_not_sent_before_the_process_ended_is_not_forwarded_by_the_next(tmp_path: Path) -> None:
    """Guards against the same double delivery after a restart: the client saw its connection end unanswered."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(Answer(429, {"X-RateLimit-Wait-Ms": "10000"}), OK))
        node = await start_shimmed(folder, platform)
        assert (await node.submit("held", "status"))[0] == 202
        await peer.wait_for_requests(1)
        await node.set_failures(Failure("client-send", "ENOMEM"))
        client = await node.client()
        client.writer.write(message("unheard", "status"))
        await asyncio.sleep(CLIENT_TIMEOUT_S / 2)
        await node.end(signal.SIGTERM)
        await node.set_failures()
        await node.start()
        await peer.wait_for_requests(2)
        await asyncio.sleep(1.0)
        assert received_ids(peer) == ["held", "held"]

    play(scene, tmp_path)


def test_a_202_that_waits_for_its_socket_is_sent_once_it_can_be(tmp_path: Path) -> None:
    """The client stays connected: it receives the 202, and its message is forwarded."""

    async def scene(platform: Platform, folder: Path) -> None:
        async def answer(request: Request) -> Answer:
            return OK

        peer = await start_endpoint(platform, answer)
        node = await start_shimmed(folder, platform, Failure("client-send", "ENOMEM"))
        client = await node.client()
        client.writer.write(message("heard", "status"))
        await asyncio.sleep(CLIENT_TIMEOUT_S / 2)
        await node.set_failures()
        async with asyncio.timeout(CLIENT_TIMEOUT_S / 2):
            assert (await client.answer())[0] == 202
        await peer.wait_for_requests(1)

    play(scene, tmp_path)


def test_an_upgrade_waits_for_a_202_that_cannot_be_sent_yet(tmp_path: Path) -> None:
    """Guards against closing a connection unanswered: an answer in the write buffer cannot be handed over."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(OK))
        node = await start_shimmed(folder, platform)
        client = await node.client()
        await node.set_failures(Failure("client-send", "ENOMEM"))
        client.writer.write(message("heard", "status"))
        new = node.successor()
        new.shim = None
        end_with_scene(new)
        starting = asyncio.create_task(new.start())
        await asyncio.sleep(1.5)  # by then it has requested the hand-over several times
        await node.set_failures()
        assert (await client.answer())[0] == 202
        await starting
        assert await node.process.wait() == 0

    play(scene, tmp_path)


def test_the_answer_to_a_malformed_request_leaves_late_without_an_exception(tmp_path: Path) -> None:
    """Soak, seed 6506: the end of writing, which waited for the answer to leave, failed in the event loop."""

    async def scene(platform: Platform, folder: Path) -> None:
        node = await start_shimmed(folder, platform, Failure("client-send", "ENOBUFS"))
        client = await node.client()
        client.writer.write(b"no request\r\n\r\n")
        await asyncio.sleep(0.1)
        await node.set_failures(Failure("client-send", "ENOBUFS"), Failure("client-recv", "ENOBUFS"))
        client.writer.close()
        await node.set_failures(Failure("client-recv", "ENOBUFS"))  # the answer leaves, its client has left unnoticed
        await asyncio.sleep(0.3)
        await node.set_failures()
        await node.end()  # checks the log

    play(scene, tmp_path)
