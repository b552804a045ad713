"""How the lab's client tells a request that was never read from one that was read and left unanswered."""

from __future__ import annotations

import asyncio
import socket

import pytest

from lab.client_connection import PARTY, ClientConnection
from lab.front import UP_REQUEST
from lab.network import Network


@pytest.mark.parametrize("read", [False, True])
def test_a_reset_behind_the_end_tells_that_a_request_was_never_read(read: bool) -> None:
    """The soak's seed 2: the end of a resting connection crossed a request, and was read before the reset behind it."""

    async def scene() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            _, connection = await loop.create_connection(
                lambda: ClientConnection(Network(1), "n0"), *listener.getsockname()[:2]
            )
            accepted, _ = listener.accept()
            answer = connection.request(UP_REQUEST)
            if read:
                assert accepted.recv(4096) == UP_REQUEST
                accepted.close()
            else:
                accepted.shutdown(socket.SHUT_WR)  # the end is on its way, the request was not looked at
                await asyncio.sleep(0.01)
                accepted.close()
            with pytest.raises(ConnectionResetError):
                async with asyncio.timeout(1.0):
                    await answer
        assert connection.was_reset is not read
        assert connection.link == ("n0", PARTY)

    asyncio.run(scene())
