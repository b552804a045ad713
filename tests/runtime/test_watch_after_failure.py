"""The watch of the endpoint list after a failure of this machine, played on the real program."""

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
BACK_S = 1.0
"""Service is back so soon after the end of a failure."""


async def end_connections(peer: Peer) -> None:
    """Ends all connections that have a request without an answer."""
    for request in peer.requests:
        request.writer.transport.abort()


@pytest.mark.parametrize(("call", "error"), [("socket", "ENFILE"), ("connect", "EADDRNOTAVAIL")])
def test_the_list_is_followed_again_soon_after_a_socket_can_be_had(tmp_path: Path, call: str, error: str) -> None:
    """Guards against a backoff for discovery's sake that goes on for seconds after this machine's failure."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(OK))
        node = await start_shimmed(folder, platform)
        await platform.wait_for_requests(2)
        await node.fail(Failure(call, error))
        await end_connections(platform)
        await asyncio.sleep(FAILING_S)
        polls = len(platform.requests)
        await node.fail()
        healed_s = time.monotonic()
        await platform.wait_for_requests(polls + 1)
        assert time.monotonic() - healed_s < BACK_S

    play(scene, tmp_path)
