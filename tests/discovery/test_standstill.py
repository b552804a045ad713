"""Answers of discovery that come while the process stands still."""

from __future__ import annotations

import asyncio
import time

import pytest

from forwarder.discovery.client import DiscoveryClient
from tests.discovery.peers import QuestionedDiscovery, json_answer

TIMEOUT_S = 0.3


@pytest.mark.parametrize("cut", [None, 20])
def test_an_answer_that_came_while_the_process_stood_still_is_heard(cut: int | None) -> None:
    """Guards against drains that were told and not heard: the time-out was due as well, and went first."""

    async def scene() -> None:
        discovery = await QuestionedDiscovery().start()
        client = DiscoveryClient(discovery.where)
        asking = asyncio.create_task(client.request("GET", "/discovery/hosts", TIMEOUT_S))
        _, writer = await discovery.questions.get()
        answer = json_answer(seq=1)
        writer.write(answer[:cut])
        await writer.drain()
        time.sleep(2 * TIMEOUT_S)  # noqa: ASYNC251 - the process stands still
        if cut is None:
            assert (await asking).status == 200
        else:
            with pytest.raises(TimeoutError):
                await asking
            assert not client.channel.is_usable()
        client.close()
        discovery.server.close()

    asyncio.run(scene())
