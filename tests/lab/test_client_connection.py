"""How the lab's client tells a request that was never read from one that was read and left unanswered."""

from __future__ import annotations

import asyncio
import socket

import pytest

from forwarder.clients.listener import reset_on_close
from lab.client_connection import PARTY, ClientConnection
from lab.front import UP_REQUEST
from lab.network import LinkFault, Network


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


@pytest.mark.parametrize("ends_by_reset", [False, True])
def test_a_delayed_answer_is_heard_though_the_end_of_its_connection_is_not_delayed(ends_by_reset: bool) -> None:
    """Found by the wider soak's first seeds: links to clients delayed answers, and not the end behind them."""

    async def scene() -> None:
        loop = asyncio.get_running_loop()
        network = Network(1)
        network.set_fault(("n0", PARTY), LinkFault(delay_s=0.08))
        with socket.create_server(("127.0.0.1", 0)) as listener:
            _, connection = await loop.create_connection(
                lambda: ClientConnection(network, "n0"), *listener.getsockname()[:2]
            )
            accepted, _ = listener.accept()
            answer = connection.request(UP_REQUEST)
            await asyncio.sleep(0.15)
            assert accepted.recv(4096) == UP_REQUEST
            accepted.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await asyncio.sleep(0.02)
            if ends_by_reset:
                reset_on_close(accepted, True)
            accepted.close()
            async with asyncio.timeout(1.0):
                assert await answer == 200

    asyncio.run(scene())


def test_a_connection_that_the_schedule_resets_is_told_from_one_that_its_forwarder_ended() -> None:
    async def scene() -> None:
        loop = asyncio.get_running_loop()
        network = Network(1)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            _, connection = await loop.create_connection(
                lambda: ClientConnection(network, "n0"), *listener.getsockname()[:2]
            )
            accepted, _ = listener.accept()
            answer = connection.request(UP_REQUEST)
            network.reset_connections(("n0", PARTY))
            with pytest.raises(ConnectionResetError):
                async with asyncio.timeout(1.0):
                    await answer
            accepted.close()
        assert connection.ended_by_link

    asyncio.run(scene())
