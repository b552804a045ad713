"""Tests answers of the platform that bring more bytes than belong to them, on real sockets."""

from __future__ import annotations

import asyncio
import socket

import pytest

from forwarder.config.config import Address
from forwarder.discovery import client as client_module
from forwarder.discovery.client import DiscoveryClient
from forwarder.discovery.notifier import Notifier
from forwarder.protocol.http1 import ResponseReader
from forwarder.storage.messages import PendingNotice
from tests.discovery.peers import ManualDiscovery, json_response
from tests.engine_scene import play_with_platform
from tests.platforms import Platform

ACKNOWLEDGED = b"HTTP/1.1 204 No Content\r\n\r\n"
LIST = json_response(seq=1, whole=True, hosts=[])
STALE_LIST = json_response(seq=9, whole=True, hosts=[])
SURPLUS = [STALE_LIST, ACKNOWLEDGED, b"\r\n", b"HTTP/1.1 2", b""]
SURPLUS_NAMES = ["a second list", "a second 204", "a line break", "half a line", "an end"]
TIMEOUT_S = 10.0


@pytest.fixture
def long_rest(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets connections rest so long that a busy machine does not make the next request after it."""
    monkeypatch.setattr(client_module, "REUSE_DELAY_S", 0.2)


def send(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Sends bytes, or an end for none; they are in the forwarder's kernel when this returns."""
    sock = writer.get_extra_info("socket")
    if data:
        assert socket.socket.send(sock._sock, data) == len(data)
    else:
        sock.shutdown(socket.SHUT_WR)


def start_poll(client: DiscoveryClient) -> asyncio.Task[ResponseReader]:
    return asyncio.create_task(client.request("GET", "/discovery/hosts", TIMEOUT_S))


@pytest.mark.usefixtures("long_rest")
@pytest.mark.parametrize("moment", ["same bytes", "while idle", "after the next request was started"])
@pytest.mark.parametrize("surplus", SURPLUS, ids=SURPLUS_NAMES)
def test_a_request_gets_no_bytes_that_followed_the_answer_before(surplus: bytes, moment: str) -> None:
    """Guards against shared bytes: what followed one answer was read as the answer to the next request."""

    async def scene(_: Platform) -> None:
        discovery = await ManualDiscovery().start()
        client = DiscoveryClient(discovery.address)
        first = start_poll(client)
        _, first_writer = await discovery.requests.get()
        send(first_writer, LIST + surplus if moment == "same bytes" else LIST)
        assert (await first).body.endswith(b'"hosts": []}')
        if moment == "while idle":
            send(first_writer, surplus)
            await asyncio.sleep(0.02)
        second = start_poll(client)
        await asyncio.sleep(0)
        if moment == "after the next request was started":
            send(first_writer, surplus)
        _, second_writer = await discovery.requests.get()
        assert (second_writer is first_writer) == (moment == "same bytes" and not surplus)
        send(second_writer, json_response(seq=2, whole=True, hosts=[]))
        assert b'"seq": 2' in (await second).body
        client.close()
        discovery.server.close()

    play_with_platform(scene)


def test_an_answer_keeps_its_content_when_more_bytes_arrive_before_it_is_processed() -> None:
    async def scene(_: Platform) -> None:
        discovery = await ManualDiscovery().start()
        client = DiscoveryClient(discovery.address)
        request = start_poll(client)
        _, writer = await discovery.requests.get()
        client.channel.data_received(LIST)
        client.channel.data_received(STALE_LIST)
        assert b'"seq": 1' in (await request).body
        assert not client.channel.is_usable()
        writer.close()
        discovery.server.close()

    play_with_platform(scene)


@pytest.mark.usefixtures("long_rest")
def test_a_second_204_acknowledges_no_notice() -> None:
    """Guards against `lost`: a stray copy of one acknowledgement was taken for that of the next post."""

    async def scene(_: Platform) -> None:
        discovery = await ManualDiscovery().start()
        pending = {"first": PendingNotice("failed", 0, None)}
        acknowledged: list[str] = []

        class Source:
            def pending_notices(self) -> dict[str, PendingNotice]:
                return dict(pending)

            def acknowledge_notices(self, message_ids: list[str]) -> None:
                for message_id in message_ids:
                    acknowledged.append(message_id)
                    del pending[message_id]
                if message_ids == ["first"]:
                    pending["second"] = PendingNotice("failed", 0, None)

        notifier = Notifier(discovery.address, Source())
        notifier.wake()
        _, writer = await discovery.requests.get()
        send(writer, ACKNOWLEDGED)
        while not acknowledged:
            await asyncio.sleep(0)
        send(writer, ACKNOWLEDGED)
        _, writer = await discovery.requests.get()
        assert acknowledged == ["first"]
        send(writer, ACKNOWLEDGED)
        while pending:
            await asyncio.sleep(0.002)
        assert acknowledged == ["first", "second"]
        notifier.client.close()
        discovery.server.close()

    play_with_platform(scene)


@pytest.mark.usefixtures("long_rest")
def test_an_adopted_connection_with_bytes_that_nobody_asked_for_is_not_used() -> None:
    async def scene(_: Platform) -> None:
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        adopted = socket.create_connection(listener.getsockname())
        old_peer, _address = await loop.sock_accept(listener)
        client = DiscoveryClient(Address(*listener.getsockname()))
        await client.adopt(adopted)
        request = start_poll(client)
        await asyncio.sleep(0.02)
        old_peer.send(STALE_LIST)
        new_peer, _address = await loop.sock_accept(listener)
        new_peer.setblocking(False)
        assert (await loop.sock_recv(new_peer, 1 << 16)).startswith(b"GET /discovery/hosts")
        new_peer.send(LIST)
        assert b'"seq": 1' in (await request).body
        client.close()
        for each in (listener, old_peer, new_peer):
            each.close()

    play_with_platform(scene)
