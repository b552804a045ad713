"""Tests how the lab's client connections end: whether a request was read, late answers, and injected resets."""

from __future__ import annotations

import asyncio
import socket

import pytest

from forwarder.clients.listener import reset_on_close
from lab.client_connection import PARTY, ClientConnection
from lab.front import UP_REQUEST
from lab.network import LinkFault, Network


@pytest.mark.parametrize("read", [False, True])
def test_reset_after_the_end_of_stream_shows_that_a_request_was_never_read(read: bool) -> None:
    """The end of an idle connection crossed a request, and was read before the reset that followed (soak, seed 2)."""

    async def exercise() -> None:
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
                accepted.shutdown(socket.SHUT_WR)  # sends the end of stream before the request is read
                await asyncio.sleep(0.01)
                accepted.close()
            with pytest.raises(ConnectionResetError):
                async with asyncio.timeout(1.0):
                    await answer
        assert connection.was_reset is not read
        assert connection.link == ("n0", PARTY)

    asyncio.run(exercise())


@pytest.mark.parametrize("ends_by_reset", [False, True])
def test_delayed_answer_arrives_though_the_end_of_its_connection_is_not_delayed(ends_by_reset: bool) -> None:
    """Links to clients delayed answers but not the end of stream, which overtook them (wider soak, first seeds)."""

    async def exercise() -> None:
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

    asyncio.run(exercise())


def test_reset_by_an_injected_fault_is_told_apart_from_an_end_by_the_forwarder() -> None:
    async def exercise() -> None:
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

    asyncio.run(exercise())
