"""The state that a restart recovers, and what the new process does with it."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from tests.engine_scene import SECOND_US
from tests.nodes import SETTINGS
from tests.platforms import Platform
from tests.scenes import play, received_ids, start_endpoint, start_node
from tests.sockets import OK, Answer, always, hang


def append_to_journal(folder: Path, data: bytes) -> None:
    with (folder / "state/journal").open("ab") as journal:
        journal.write(data)


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGTERM])
def test_a_call_cut_off_by_a_restart_may_have_run(tmp_path: Path, signal_number: int) -> None:
    """A keyed message is sent again under its key; one that may not be repeated is never sent again."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, hang)
        node = await start_node(folder, platform)
        assert (await node.submit("first", "pay"))[0] == 202
        await peer.wait_for_requests(1)
        other = await start_endpoint(platform, hang, "s2", block=8)
        platform.version += 1
        platform.changes[platform.version] = [platform.endpoints["s2"]]
        await platform.notify_all()
        while (await node.submit("keyed", "order", dest=8))[0] != 202:
            await asyncio.sleep(0.02)
        await other.wait_for_requests(1)
        peer.handler = other.handler = always(OK)
        await node.restart(signal_number)
        assert (await platform.wait_for_notice("first"))["state"] == "failed"
        again = (await other.wait_for_requests(2))[1]
        assert again.headers["x-correlation-id"] == "keyed"
        assert again.headers["x-session-key"] == "key-keyed"
        assert again.body == b"hello"
        assert len(peer.requests) == 1

    play(scene, tmp_path)


def test_messages_of_one_key_go_one_at_a_time_also_after_a_restart(tmp_path: Path) -> None:
    """The second destination is available all the time: only the key holds its message back."""

    async def scene(platform: Platform, folder: Path) -> None:
        retry_later = Answer(429, {"X-RateLimit-Wait-Ms": "40000"})
        one = await start_endpoint(platform, always(OK, retry_later))
        two = await start_endpoint(platform, always(OK), "s2", block=8)
        node = await start_node(folder, platform)
        assert (await node.submit("a", "turn", X_Session_Key="claim"))[0] == 202
        await one.wait_for_requests(1)
        assert (await node.submit("b", "turn", dest=8, X_Session_Key="claim"))[0] == 202
        await two.wait_for_requests(1)
        assert (await node.submit("c", "turn", X_Session_Key="claim"))[0] == 202
        await one.wait_for_requests(2)
        assert (await node.submit("d", "turn", dest=8, X_Session_Key="claim"))[0] == 202
        assert (await node.submit("e", "turn", dest=8, X_Session_Key="another"))[0] == 202
        await two.wait_for_requests(2)
        await node.restart()
        await one.wait_for_requests(3)
        assert (await node.submit("f", "turn", dest=8, X_Session_Key="third"))[0] == 202
        await two.wait_for_requests(3)
        assert received_ids(one) == ["a", "c", "c"]
        assert received_ids(two) == ["b", "e", "f"]

    play(scene, tmp_path)


def test_the_id_of_an_ended_message_is_not_accepted_again_even_after_a_restart(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK, Answer(500), OK))
        node = await start_node(folder, platform)
        assert (await node.submit("done", "pay"))[0] == 202
        await peer.wait_for_requests(1)
        assert (await node.submit("lost", "pay"))[0] == 202
        await platform.wait_for_notice("lost")
        for n in range(2):
            for name in ("done", "lost"):
                assert (await node.submit(name, "pay"))[0] == 202
            assert (await node.submit(f"next{n}", "pay"))[0] == 202
            await peer.wait_for_requests(3 + n)
            assert await node.end(signal.SIGTERM) == 0  # its calls have ended by then
            await node.start()
        assert received_ids(peer) == ["done", "lost", "next0", "next1"]

    play(scene, tmp_path)


def test_attempts_made_before_a_restart_still_count(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, hang)
        node = await start_node(folder, platform, max_attempts=2)
        assert (await node.submit("m", "status"))[0] == 202
        await peer.wait_for_requests(1)
        await node.restart()
        await peer.wait_for_requests(2)
        await node.restart()
        assert (await platform.wait_for_notice("m"))["state"] == "returned"
        assert len(peer.requests) == 2

    play(scene, tmp_path)


def test_a_pending_notice_survives_a_restart_until_it_is_acknowledged(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(Answer(500)))
        platform.accepts = False
        node = await start_node(folder, platform)
        assert (await node.submit("m", "pay"))[0] == 202
        await platform.wait_until(lambda: sum(r.path == "/v1/notices" for r in platform.requests) >= 2)
        await node.end()
        platform.accepts = True
        await node.start()
        assert (await platform.wait_for_notice("m"))["state"] == "failed"
        assert (await node.submit("n", "pay"))[0] == 202
        await platform.wait_for_notice("n")
        await node.restart()
        assert (await node.submit("o", "pay"))[0] == 202
        await platform.wait_for_notice("o")
        assert [n["id"] for n in platform.notices].count("m") == 1

    play(scene, tmp_path)


def test_a_message_whose_time_passed_while_the_process_was_down_gets_its_notice(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, hang)
        node = await start_node(folder, platform)
        assert (await node.submit("m", "status", left="1"))[0] == 202
        await peer.wait_for_requests(1)
        await node.end()
        await asyncio.sleep(1.2)
        await node.start()
        assert (await platform.wait_for_notice("m"))["state"] == "returned"
        assert len(peer.requests) == 1

    play(scene, tmp_path)


def test_a_torn_tail_is_cut_off(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, hang)
        node = await start_node(folder, platform)
        assert (await node.submit("m", "status"))[0] == 202
        await peer.wait_for_requests(1)
        await node.end()
        append_to_journal(folder, b"\xe7\x4a\1\2half a")
        peer.handler = always(OK)
        await node.start()
        assert (await peer.wait_for_requests(2))[1].headers["x-correlation-id"] == "m"
        assert any("torn tail" in line for line in node.log)
        peer.handler = hang  # records written after the cut can be read at the next start
        assert (await node.submit("n", "status"))[0] == 202
        await peer.wait_for_requests(3)
        await node.restart()
        assert (await peer.wait_for_requests(4))[3].headers["x-correlation-id"] == "n"

    play(scene, tmp_path)


def test_the_state_folder_stays_within_its_limit(tmp_path: Path) -> None:
    """Large bodies fill the journal before the buffer: new submissions are rejected, the limit is not exceeded."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, hang)
        node = await start_node(folder, platform, disk_mb=1)
        seen = set()
        for n in range(40):
            status, _ = await node.submit(f"m{n}", "status", body=b"x" * 60_000)
            seen.add(status)
            assert sum(f.stat().st_size for f in (folder / "state").iterdir()) < 1_000_000
        assert seen == {202, 503}
        peer.handler = always(OK)
        await node.restart()
        await peer.wait_for_requests(3)

    play(scene, tmp_path)


@pytest.mark.parametrize("aim_us", [2 * SECOND_US, 40 * SECOND_US, 60 * SECOND_US])
def test_a_message_recovered_without_an_attempt_is_tried(tmp_path: Path, aim_us: int) -> None:
    """This also holds where the aim is near the deadline, so that the expected call takes much of the time left."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, hang)
        node = await start_node(folder, platform)
        services = [{**s, "aim_us": aim_us} for s in SETTINGS["services"]]
        node.configure(settings={**SETTINGS, "services": services})
        await node.restart()
        names = [f"m{n}" for n in range(12)]
        for name in names:
            assert (await node.submit(name, "turn", left="30", X_Session_Key=name))[0] == 202
        await peer.wait_for_requests(1)
        tried = {r.headers["x-correlation-id"] for r in peer.requests}
        peer.handler = always(OK)
        await node.restart()
        untried = set(names) - tried
        await peer.wait_until(lambda: untried <= {r.headers["x-correlation-id"] for r in peer.requests})
        assert untried
        assert not untried & {n["id"] for n in platform.notices}

    play(scene, tmp_path)
