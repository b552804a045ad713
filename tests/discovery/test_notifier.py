"""Tests of posts of notices that get no answer."""

from __future__ import annotations

import asyncio

import pytest

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
