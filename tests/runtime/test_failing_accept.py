"""accept(2) fails for a while, played on the real program: its working clients stay, and others are served again."""

from __future__ import annotations

import asyncio
import os
import resource
from pathlib import Path

import pytest

from lab.shim import Failure
from tests.load import NEW, SteadyLoad
from tests.platforms import Platform
from tests.scenes import play, received_ids, start_endpoint, start_shimmed
from tests.sockets import OK, always

BEFORE_S = 0.5
FAILING_S = 2.5
BACK_S = 1.0
"""Service is back so soon after the end of a failure."""
CLIENT_TIMEOUT_S = 0.4
"""A client waits so long for its answer (PROTOCOL)."""
MAX_OPEN_MESSAGES = 1000
DESCRIPTORS = 64


@pytest.mark.parametrize("share", [1.0, 0.3])
@pytest.mark.parametrize("error", ["ENFILE", "ENOBUFS", "ENOMEM", "EMFILE"])
def test_clients_keep_their_connections_while_accept_fails(tmp_path: Path, error: str, share: float) -> None:
    """Guards against evictions for a shortage that closing connections does not end."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_shimmed(folder, platform, max_open=MAX_OPEN_MESSAGES)
        load = SteadyLoad(node)
        await load.start()
        await asyncio.sleep(BEFORE_S)
        await node.fail(Failure("accept", error, share))
        await asyncio.sleep(FAILING_S)
        await node.fail()
        healed_s = asyncio.get_running_loop().time()
        await asyncio.sleep(BACK_S)
        await load.finish()
        assert load.closed_kept == 0
        assert not load.unanswered()
        later = [each for each in load.submitted.values() if each.begun_s > healed_s]
        assert max(each.answered_s for each in load.submitted.values() if each.begun_s < healed_s) < healed_s + BACK_S
        assert max(each.answered_s - each.begun_s for each in later) < BACK_S
        if share < 1.0:
            failing = [each for each in load.submitted.values() if each.name.startswith(NEW)]
            late = [each.name for each in failing if each.answered_s - each.begun_s > CLIENT_TIMEOUT_S]
            assert not late, "a client has left by then"
        accepted = load.accepted()
        assert len(accepted) == len(load.submitted)
        await peer.wait_until(lambda: set(received_ids(peer)) >= set(accepted))
        assert sorted(received_ids(peer)) == sorted(accepted)

    play(scene, tmp_path)


def test_descriptors_that_are_short_cost_no_more_connections_than_are_needed(tmp_path: Path) -> None:
    """Guards against eight evictions for one missing descriptor, where the process holds few connections itself."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(OK))
        node = await start_shimmed(folder, platform, max_open=MAX_OPEN_MESSAGES)
        resting = [await node.client() for _ in range(20)]
        for number, client in enumerate(resting):
            assert (await client.submit(f"rest-{number}", "status"))[0] == 202
        await asyncio.sleep(0.3)
        held = len(os.listdir(f"/proc/{node.process.pid}/fd"))
        resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (held, DESCRIPTORS))
        for number in range(5):
            client = await node.client()
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                assert (await client.submit(f"new-{number}", "status"))[0] == 202
            resting.append(client)
        await asyncio.sleep(0.3)
        closed = [client for client in resting if client.reader.at_eof()]
        assert len(closed) <= 6, "one for each new connection, and one for what the process needs itself"

    play(scene, tmp_path)
