"""Runs the real program while accept(2) fails: connected clients are kept, and new ones are served afterwards."""

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

BEFORE_FAILURE_S = 0.5
FAILING_S = 2.5
RECOVERY_S = 1.0
"""Maximum time from the end of the failure until clients are served again."""
CLIENT_TIMEOUT_S = 0.4
"""Time that a client waits for its answer (PROTOCOL)."""
MAX_OPEN_MESSAGES = 1000
DESCRIPTORS = 64


@pytest.mark.parametrize("share", [1.0, 0.3])
@pytest.mark.parametrize("error", ["ENFILE", "ENOBUFS", "ENOMEM", "EMFILE"])
def test_clients_keep_their_connections_while_accept_fails(tmp_path: Path, error: str, share: float) -> None:
    """Guards against evicting clients for a shortage that closing connections does not end."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_shimmed(folder, platform, max_open=MAX_OPEN_MESSAGES)
        load = SteadyLoad(node)
        await load.start()
        await asyncio.sleep(BEFORE_FAILURE_S)
        await node.set_failures(Failure("accept", error, share))
        await asyncio.sleep(FAILING_S)
        await node.set_failures()
        failure_ended_s = asyncio.get_running_loop().time()
        await asyncio.sleep(RECOVERY_S)
        await load.finish()
        assert load.closed_kept == 0
        assert not load.unanswered()
        later = [submission for submission in load.submitted.values() if submission.begun_s > failure_ended_s]
        assert (
            max(submission.answered_s for submission in load.submitted.values() if submission.begun_s < failure_ended_s)
            < failure_ended_s + RECOVERY_S
        )
        assert max(submission.answered_s - submission.begun_s for submission in later) < RECOVERY_S
        if share < 1.0:
            new_clients = [submission for submission in load.submitted.values() if submission.name.startswith(NEW)]
            late = [
                submission.name
                for submission in new_clients
                if submission.answered_s - submission.begun_s > CLIENT_TIMEOUT_S
            ]
            assert not late, "the client has given up by then"
        accepted = load.accepted()
        assert len(accepted) == len(load.submitted)
        await peer.wait_until(lambda: set(received_ids(peer)) >= set(accepted))
        assert sorted(received_ids(peer)) == sorted(accepted)

    play(scene, tmp_path)


def test_a_lack_of_descriptors_closes_no_more_connections_than_needed(tmp_path: Path) -> None:
    """Guards against eight evictions for one missing descriptor when the process has few connections of its own."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(OK))
        node = await start_shimmed(folder, platform, max_open=MAX_OPEN_MESSAGES)
        idle = [await node.client() for _ in range(20)]
        for number, client in enumerate(idle):
            assert (await client.submit(f"rest-{number}", "status"))[0] == 202
        await asyncio.sleep(0.3)
        held = len(os.listdir(f"/proc/{node.process.pid}/fd"))
        resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (held, DESCRIPTORS))
        for number in range(5):
            client = await node.client()
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                assert (await client.submit(f"new-{number}", "status"))[0] == 202
            idle.append(client)
        await asyncio.sleep(0.3)
        closed = [client for client in idle if client.reader.at_eof()]
        assert len(closed) <= 6, "one for each new connection, and one for the process itself"

    play(scene, tmp_path)
