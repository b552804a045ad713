"""Tests of posts of notices that get no answer."""

from __future__ import annotations

import asyncio
import socket

import pytest

from forwarder.config.config import Address
from forwarder.discovery import notifier as notifier_module
from forwarder.discovery.notifier import FIRST_REPOST_S, RETRY_PAUSES_S, Notifier
from forwarder.storage.messages import PendingNotice
from tests.discovery.peers import ManualDiscovery
from tests.engine_scene import play_with_platform
from tests.platforms import Platform

LOST_AFTER_S = 0.3
"""PROTOCOL: a message without a final state this long after its deadline counts as lost."""


def test_an_unanswered_post_is_repeated_in_time() -> None:
    """Guards against a wait of 2.5 s for the answer."""
    assert FIRST_REPOST_S + RETRY_PAUSES_S[0] < LOST_AFTER_S


@pytest.mark.parametrize("unanswered_count", [1, 3])
@pytest.mark.parametrize("partial_answer", [b"", b"HTTP/1.1 204 No Con"])
def test_an_unanswered_notice_is_posted_again_on_a_new_connection(unanswered_count: int, partial_answer: bytes) -> None:
    """Each repetition uses a new connection; the unfinished answers on the old ones have no effect."""

    async def scene(_: Platform) -> None:
        discovery = await ManualDiscovery().start()
        acknowledged: list[str] = []

        class Source:
            def pending_notices(self) -> dict[str, PendingNotice]:
                return {} if acknowledged else {"m": PendingNotice("failed", 0, None)}

            def acknowledge_notices(self, message_ids: list[str]) -> None:
                acknowledged.extend(message_ids)

        notifier = Notifier(discovery.address, Source())
        notifier.wake()
        writers: list[asyncio.StreamWriter] = []
        for _ in range(unanswered_count + 1):
            path, writer = await discovery.requests.get()
            assert path == "/v1/notices"
            assert not acknowledged
            assert writer not in writers
            writers.append(writer)
            writer.write(partial_answer)
        writers[-1].write(b"HTTP/1.1 204 No Content\r\n\r\n"[len(partial_answer) :])
        while not acknowledged:
            await asyncio.sleep(0.002)
        assert acknowledged == ["m"]
        assert discovery.requests.empty()
        notifier.client.close()
        discovery.server.close()

    play_with_platform(scene)


def test_a_notice_does_not_wait_for_the_answer_to_an_earlier_one() -> None:
    """Guards against `lost`: a notice due while the platform was slow waited for the answer to the previous post."""

    async def scene(_: Platform) -> None:
        discovery = await ManualDiscovery().start()
        pending = {"first": PendingNotice("failed", 0, None)}

        class Source:
            def pending_notices(self) -> dict[str, PendingNotice]:
                return dict(pending)

            def acknowledge_notices(self, message_ids: list[str]) -> None:
                for message_id in message_ids:
                    del pending[message_id]

        notifier = Notifier(discovery.address, Source())
        notifier.wake()
        _, slow_writer = await discovery.requests.get()
        pending["second"] = PendingNotice("failed", 0, None)
        notifier.wake()
        async with asyncio.timeout(LOST_AFTER_S - FIRST_REPOST_S):
            _, other_writer = await discovery.requests.get()
        other_writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        while "second" in pending:
            await asyncio.sleep(0.002)
        assert "first" in pending
        slow_writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        while pending:
            await asyncio.sleep(0.002)
        notifier.client.close()
        discovery.server.close()

    play_with_platform(scene)


def test_a_second_move_does_not_wait_for_the_connect_to_the_first_address(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against late notices: after two moves in a moment, the connection was kept for the first address only."""
    monkeypatch.setattr(notifier_module, "CONNECT_TIMEOUT_S", 3600.0)

    async def scene(_: Platform) -> None:
        silent = socket.create_server(("127.0.0.1", 0), backlog=0)
        waiting = [socket.socket() for _ in range(2)]  # they fill its queue, so that no other connection comes up
        for each in waiting:
            each.setblocking(False)
            each.connect_ex(silent.getsockname())
        before, after = await ManualDiscovery().start(), await ManualDiscovery().start()

        class Source:
            def pending_notices(self) -> dict[str, PendingNotice]:
                return {}

            def acknowledge_notices(self, message_ids: list[str]) -> None:
                raise AssertionError(message_ids)

        notifier = Notifier(before.address, Source())
        notifier.keep_connected()
        while not notifier.client.channel.is_usable():
            await asyncio.sleep(0.002)
        notifier.change_address(Address(*silent.getsockname()))
        await asyncio.sleep(0.05)
        notifier.change_address(after.address)
        while not notifier.client.channel.is_usable():
            await asyncio.sleep(0.002)
        notifier.client.close()
        for each in (*waiting, silent, before.server, after.server):
            each.close()

    play_with_platform(scene)
