"""A system call that fails although its socket is ready is not retried at once; tested on the real program."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from benchmarks.accept import processor_s
from lab.shim import Failure
from tests.nodes import message
from tests.platforms import Platform
from tests.scenes import play, start_endpoint, start_shimmed
from tests.sockets import OK, always

FAILING_S = 1.5
MAX_CPU_SHARE = 0.5
"""Share of one core, for a forwarder that is almost idle."""
CLIENTS = 8


@pytest.mark.parametrize("call", ["client-send", "client-recv"])
@pytest.mark.parametrize("error", ["ENOMEM", "ENOBUFS"])
def test_a_failing_call_of_a_client_does_not_use_up_the_processor(tmp_path: Path, error: str, call: str) -> None:
    """Guards against an event loop that retried in each iteration, which delayed everything else."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(OK))
        node = await start_shimmed(folder, platform)
        clients = [await node.client() for _ in range(CLIENTS)]
        await node.set_failures(Failure(call, error))
        began_cpu_s, began_s = processor_s(node.process.pid), time.monotonic()
        for number, client in enumerate(clients):
            client.writer.write(message(f"m{number}", "status"))
        await asyncio.sleep(FAILING_S)
        assert (processor_s(node.process.pid) - began_cpu_s) / (time.monotonic() - began_s) < MAX_CPU_SHARE
        await node.set_failures()
        for client in clients:
            assert (await client.answer())[0] == 202

    play(scene, tmp_path)
