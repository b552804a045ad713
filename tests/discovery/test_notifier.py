"""Posts of notices that get no answer."""

from __future__ import annotations

import asyncio

import pytest

from forwarder.discovery.notifier import FIRST_REPOST_S, RETRY_PAUSES_S, Notifier
from forwarder.storage.messages import PendingNotice
from tests.discovery.peers import QuestionedDiscovery
from tests.engine_scene import play_with_platform
from tests.platforms import Platform

LOST_S = 0.3
"""The protocol: a message that has no end so long after its time is lost."""


def test_a_post_that_gets_no_answer_is_made_again_in_time() -> None:
    """It was waited for 2.5 s."""
    assert FIRST_REPOST_S + RETRY_PAUSES_S[0] < LOST_S


@pytest.mark.parametrize("silent", [1, 3])
@pytest.mark.parametrize("cut", [b"", b"HTTP/1.1 204 No Con"])
def test_a_notice_leaves_a_silent_connection_and_is_posted_again(silent: int, cut: bytes) -> None:
    """Each time on a new one; what the old ones still say is not heard."""

    async def scene(_: Platform) -> None:
        discovery = await QuestionedDiscovery().start()
        acknowledged: list[str] = []

        class Book:
            def pending_notices(self) -> dict[str, PendingNotice]:
                return {} if acknowledged else {"m": PendingNotice("failed", 0, None)}

            def acknowledge_notices(self, names: list[str]) -> None:
                acknowledged.extend(names)

        notices = Notifier(discovery.where, Book())
        notices.wake()
        writers: list[asyncio.StreamWriter] = []
        for _ in range(silent + 1):
            path, writer = await discovery.questions.get()
            assert path == "/v1/notices"
            assert not acknowledged
            assert writer not in writers
            writers.append(writer)
            writer.write(cut)
        writers[-1].write(b"HTTP/1.1 204 No Content\r\n\r\n"[len(cut) :])
        while not acknowledged:
            await asyncio.sleep(0.002)
        assert acknowledged == ["m"]
        assert discovery.questions.empty()
        notices.client.close()
        discovery.server.close()

    play_with_platform(scene)


def test_a_notice_does_not_wait_for_the_answer_to_an_earlier_one() -> None:
    """Guards against `lost`: what fell due while the platform was slow waited for the post before."""

    async def scene(_: Platform) -> None:
        discovery = await QuestionedDiscovery().start()
        pending = {"first": PendingNotice("failed", 0, None)}

        class Book:
            def pending_notices(self) -> dict[str, PendingNotice]:
                return dict(pending)

            def acknowledge_notices(self, names: list[str]) -> None:
                for name in names:
                    del pending[name]

        notices = Notifier(discovery.where, Book())
        notices.wake()
        _, slow = await discovery.questions.get()
        pending["second"] = PendingNotice("failed", 0, None)
        notices.wake()
        async with asyncio.timeout(LOST_S - FIRST_REPOST_S):
            _, other = await discovery.questions.get()
        other.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        while "second" in pending:
            await asyncio.sleep(0.002)
        assert "first" in pending
        slow.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        while pending:
            await asyncio.sleep(0.002)
        notices.client.close()
        discovery.server.close()

    play_with_platform(scene)
