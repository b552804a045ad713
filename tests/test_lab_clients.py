"""How the lab's client tells a request that was never read from one that was read and left unanswered."""

from __future__ import annotations

import asyncio
import socket

import pytest

from lab.clients import PARTY, UP, Visit
from lab.net import Net


@pytest.mark.parametrize("read", [False, True])
def test_a_reset_behind_the_end_tells_that_a_request_was_never_read(read: bool) -> None:
    """The soak's seed 2: the end of a resting connection crossed a request, and was read before the reset behind it."""

    async def scene() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            _, visit = await loop.create_connection(lambda: Visit(Net(1), "n0"), *listener.getsockname()[:2])
            accepted, _ = listener.accept()
            answer = visit.ask(UP)
            if read:
                assert accepted.recv(4096) == UP
                accepted.close()
            else:
                accepted.shutdown(socket.SHUT_WR)  # the end is on its way, the request was not looked at
                await asyncio.sleep(0.01)
                accepted.close()
            with pytest.raises(ConnectionResetError):
                async with asyncio.timeout(1.0):
                    await answer
        assert visit.reset is not read
        assert visit.link == ("n0", PARTY)

    asyncio.run(scene())
