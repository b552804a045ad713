"""Runs the real program and checks its watch of the endpoint list after a local failure."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from lab.shim import Failure
from tests.platforms import Platform
from tests.scenes import play, start_endpoint, start_shimmed
from tests.sockets import OK, Peer, always

FAILING_S = 5.0
RECOVERY_S = 1.0
"""Maximum time from the end of the failure until the list is polled again."""


async def abort_connections(peer: Peer) -> None:
    """Aborts all connections with an unanswered request."""
    for request in peer.requests:
        request.writer.transport.abort()


@pytest.mark.parametrize(("call", "error"), [("socket", "ENFILE"), ("connect", "EADDRNOTAVAIL")])
def test_the_endpoint_list_is_polled_again_soon_after_a_socket_can_be_created(
    tmp_path: Path, call: str, error: str
) -> None:
    """Guards against a backoff meant to spare discovery that lasts for seconds after a local failure."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(OK))
        node = await start_shimmed(folder, platform)
        await platform.wait_for_requests(2)
        await node.set_failures(Failure(call, error))
        await abort_connections(platform)
        await asyncio.sleep(FAILING_S)
        polls = len(platform.requests)
        await node.set_failures()
        failure_ended_s = time.monotonic()
        await platform.wait_for_requests(polls + 1)
        assert time.monotonic() - failure_ended_s < RECOVERY_S

    play(scene, tmp_path)
