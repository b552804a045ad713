"""Tests of discovery's answers that arrive while the process is suspended."""

from __future__ import annotations

import asyncio
import time

import pytest

from forwarder.discovery.client import DiscoveryClient
from tests.discovery.peers import ManualDiscovery, json_response

TIMEOUT_S = 0.3


@pytest.mark.parametrize("sent_bytes", [None, 20])
def test_an_answer_that_arrives_while_the_process_is_suspended_counts(sent_bytes: int | None) -> None:
    """Guards against missed drains: the answer had arrived, but the time-out had expired too and was handled first."""

    async def scene() -> None:
        discovery = await ManualDiscovery().start()
        client = DiscoveryClient(discovery.address)
        request = asyncio.create_task(client.request("GET", "/discovery/hosts", TIMEOUT_S))
        _, writer = await discovery.requests.get()
        answer = json_response(seq=1)
        writer.write(answer[:sent_bytes])
        await writer.drain()
        time.sleep(2 * TIMEOUT_S)  # noqa: ASYNC251 - stands for a suspended process
        if sent_bytes is None:
            assert (await request).status == 200
        else:
            with pytest.raises(TimeoutError):
                await request
            assert not client.channel.is_usable()
        client.close()
        discovery.server.close()

    asyncio.run(scene())
