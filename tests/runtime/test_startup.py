"""The phases of a startup, what operators are told, and the page that names every kind of record."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from forwarder.runtime.intake import retry_after_jittered
from forwarder.runtime.startup_phase import MAX_CATCHING_UP_US, MAX_RECOVERING_US, StartupPhase, StartupProgress
from forwarder.storage.schema import KINDS, JournalClosedRecord, SnapshotSealedRecord
from tests.nodes import Node
from tests.platforms import Platform
from tests.sockets import OK, ROOT, Peer, always, hang

SECOND_US = 1_000_000


@pytest.mark.parametrize(
    ("listed_s", "over_s", "recovering_s", "serving_s"),
    [(1, 3, 1, 3), (1, 0, 1, 1), (None, 0, 10, 10), (2, None, 2, 32), (None, None, 10, 40), (50, 0, 10, 10)],
)
def test_each_phase_ends_in_time_whatever_stays_unavailable(
    listed_s: int | None, over_s: int | None, recovering_s: int, serving_s: int
) -> None:
    progress = StartupProgress(0, ["a"])
    seen = {}
    progress.mark_ready(0)
    for tenth in range(600):
        now = tenth * SECOND_US // 10
        if listed_s is not None and now >= listed_s * SECOND_US:
            progress.mark_list_received()
        if progress.update(now, {"a"} if over_s is None or now < over_s * SECOND_US else {}):
            seen[progress.phase] = now
    assert seen.get(StartupPhase.CATCHING_UP, recovering_s * SECOND_US) == recovering_s * SECOND_US
    assert seen[StartupPhase.SERVING] == serving_s * SECOND_US
    assert progress.durations_us[StartupPhase.RECOVERING] <= MAX_RECOVERING_US
    assert progress.durations_us[StartupPhase.CATCHING_UP] <= MAX_CATCHING_UP_US


def test_a_restart_goes_through_its_phases_and_reports_them(tmp_path: Path) -> None:
    async def scene() -> None:
        platform, peer = await Platform().start(), await Peer(hang).start()
        platform.add_endpoint("s1", peer.port)
        node = await Node(tmp_path, platform).start()
        assert (await node.submit("m"))[0] == 202
        await peer.wait_for_requests(1)
        await node.restart()
        assert "recovering" in await node.call(b"PHASE\n")
        peer.handler = always(OK)
        await platform.change("s1", "up")  # discovery sends a change, which replaces the saved list
        await peer.wait_for_requests(2)
        async with asyncio.timeout(20):
            while "serving" not in (answer := await node.call(b"PHASE\n")):
                await asyncio.sleep(0.05)
        assert "recovering" in answer
        assert await node.call(b"PHASE x\n") == "fail this call stands alone\n"
        assert "first seconds after a start" in await node.call(b"WHY\n")  # until discovery had answered
        for line, expected in (
            (b"WHY dest=7\n", "ok"),
            (b"WHY dest=x\n", "fail a destination is a number"),
            (b"WHY id=none\n", "fail no message of that id"),
            (b"WHY me\n", "fail WHY stands alone"),
        ):
            assert (await node.call(line)).startswith(expected)
        await node.end()

    asyncio.run(scene())


def test_the_hold_reason_of_a_message_is_reported_by_its_id(tmp_path: Path) -> None:
    async def scene() -> None:
        platform, peer = await Platform().start(), await Peer(hang).start()
        platform.add_endpoint("s1", peer.port)
        node = await Node(tmp_path, platform).start()
        for name in ("a", "b"):
            assert (await node.submit(name))[0] == 202
        await peer.wait_for_requests(1)
        assert (await node.call(b"WHY id=b\n")).startswith("ok window ")
        assert await node.call(b"OFFLINE s1\n")
        assert (await node.call(b"WHY id=b\n")).startswith("ok ban or ejection ")
        assert "window" in await node.call(b"WHY\n")
        await node.end()

    asyncio.run(scene())


def test_rejected_submissions_get_different_retry_after_values() -> None:
    values_s = {float(retry_after_jittered()) for _ in range(50)}
    assert len(values_s) > 40
    assert min(values_s) >= 0.5
    assert max(values_s) <= 1.5


def test_the_page_of_surviving_state_names_every_kind_of_record() -> None:
    page = (ROOT / "docs/state.md").read_text()
    kinds = {word for record, word in KINDS.items() if record not in (JournalClosedRecord, SnapshotSealedRecord)}
    assert len(kinds) == 13
    assert all(f"`{kind}`" in page for kind in kinds)
    assert all(f"| {phase.value} |" in page for phase in StartupPhase)
