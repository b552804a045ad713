"""Ownership of a state folder: a new process takes it over completely, or not at all."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import json
import os
import signal
import socket
from collections.abc import Callable
from pathlib import Path

import pytest

from forwarder.runtime.ownership import HANDOVER_HEADER, TAKEOVER_READY, TAKEOVER_REQUEST, Ownership, receive
from tests.platforms import Platform
from tests.runtime.test_handover import hold_answers, upgrade
from tests.scenes import play, received_ids, start_endpoint, start_node
from tests.sockets import OK, PATIENCE, always, hang


def request_takeover(folder: Path) -> socket.socket:
    link = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    link.settimeout(PATIENCE)
    link.connect(f"/proc/self/fd/{os.open(folder / 'state', os.O_RDONLY)}/upgrade")
    link.sendall(TAKEOVER_REQUEST)
    return link


def close_at_once(link: socket.socket) -> None:
    link.close()


def close_after_state(link: socket.socket) -> None:
    size, count = HANDOVER_HEADER.unpack(receive(link, HANDOVER_HEADER.size))
    assert json.loads(receive(link, size))["memory"]
    assert count > 0
    link.close()


def send_invalid_reply(link: socket.socket) -> None:
    size, _ = HANDOVER_HEADER.unpack(receive(link, HANDOVER_HEADER.size))
    receive(link, size)
    link.sendall(b"broken")
    assert receive(link, 1) == b"f"


def send_nothing(link: socket.socket) -> None:
    """Sends nothing, until the old process reaches its timeout."""


@pytest.mark.parametrize("misbehave", [close_at_once, close_after_state, send_invalid_reply, send_nothing])
def test_a_new_process_that_fails_leaves_the_old_one_unchanged(
    tmp_path: Path, misbehave: Callable[[socket.socket], None]
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, hang)
        release = asyncio.Event()
        await hold_answers(release, peer)
        node = await start_node(folder, platform)
        client = await node.client()
        assert (await client.submit("a", "pay"))[0] == 202
        await peer.wait_for_requests(1)
        link = request_takeover(folder)
        await asyncio.to_thread(misbehave, link)
        assert (await client.submit("b", "pay"))[0] == 202
        release.set()
        await peer.wait_for_requests(2)
        link.close()
        new = await upgrade(node)
        assert (await client.submit("c", "pay"))[0] == 202
        await peer.wait_for_requests(3)
        assert await new.end(signal.SIGTERM) == 0
        assert received_ids(peer) == ["a", "b", "c"]
        assert not platform.notices

    play(scene, tmp_path)


def test_a_new_process_that_cannot_start_ends_and_the_old_one_keeps_serving(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_node(folder, platform)
        node.configure(settings={})
        broken = node.successor()
        await broken.start(ready=False)
        assert await broken.process.wait() == 2
        assert (await node.submit("a", "pay"))[0] == 202
        await peer.wait_for_requests(1)

    play(scene, tmp_path)


def own_folder(folder: Path) -> tuple[socket.socket, int]:
    """Takes the place of an owner that has ended. Returns the upgrade socket and the descriptor of the lock."""
    (folder / "state/upgrade").unlink()
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    listener.bind(f"/proc/self/fd/{os.open(folder / 'state', os.O_RDONLY)}/upgrade")
    listener.listen()
    lock = os.open(folder / "state/lock", os.O_RDWR)
    fcntl.flock(lock, fcntl.LOCK_EX)
    return listener, lock


def test_an_owner_that_dies_while_it_hands_over_leaves_the_journal(tmp_path: Path) -> None:
    """The new process waits while the lock is held, answers `fail` to operators, and then starts from the journal."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, hang)
        node = await start_node(folder, platform)
        assert (await node.submit("a", "status"))[0] == 202
        await peer.wait_for_requests(1)
        await node.end()
        listener, lock = own_folder(folder)
        await node.start(ready=False)
        link, _ = await asyncio.to_thread(listener.accept)
        link.sendall(HANDOVER_HEADER.pack(1000, 3) + b"{half of what it has")
        assert not node.ready.is_set()
        peer.handler = always(OK)
        link.close()
        listener.close()
        assert (await node.call(b"HEALTH\n")).startswith("fail")
        os.close(lock)
        await node.until_ready()
        assert (await peer.wait_for_requests(2))[1].headers["x-correlation-id"] == "a"

    play(scene, tmp_path)


def take_state(folder: Path) -> tuple[bytes, list[int]]:
    """Requests the state of the owner and gives the hand-over up. Returns the description and the descriptors."""
    with request_takeover(folder) as link:
        head = receive(link, HANDOVER_HEADER.size)
        size, count = HANDOVER_HEADER.unpack(head)
        data = receive(link, size)
        descriptors: list[int] = []
        while len(descriptors) < count:
            descriptors += socket.recv_fds(link, 1, count)[1]
    return head + data, descriptors


def test_a_new_process_serves_at_once_when_the_owner_dies_before_the_lock_has_come(tmp_path: Path) -> None:
    """review/7: it held the clients' address itself, waited 20 s for it, and ended."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, hang)
        node = await start_node(folder, platform)
        assert (await node.submit("a", "status"))[0] == 202
        await peer.wait_for_requests(1)
        state, descriptors = await asyncio.to_thread(take_state, folder)
        await node.end()
        listener, lock = own_folder(folder)
        await node.start(ready=False)
        link, _ = await asyncio.to_thread(listener.accept)
        listener.close()
        peer.handler = always(OK)
        assert await asyncio.to_thread(receive, link, len(TAKEOVER_REQUEST)) == TAKEOVER_REQUEST
        link.sendall(state)
        socket.send_fds(link, [b"f"], descriptors)
        for descriptor in descriptors:
            os.close(descriptor)
        assert await asyncio.to_thread(receive, link, len(TAKEOVER_READY)) == TAKEOVER_READY
        os.close(lock)
        link.close()
        await node.until_ready()
        assert not any("another process is serving" in line for line in node.log)
        assert (await peer.wait_for_requests(2))[1].headers["x-correlation-id"] == "a"
        assert (await node.submit("b", "status"))[0] == 202

    play(scene, tmp_path)


def test_files_left_behind_are_not_taken_for_an_owner(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        (folder / "state").mkdir(exist_ok=True)
        stale = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        stale.bind(f"/proc/self/fd/{os.open(folder / 'state', os.O_RDONLY)}/upgrade")
        stale.close()
        (folder / "state/lock").write_text("4711")
        node = await start_node(folder, platform)
        assert (await node.submit("a", "pay"))[0] == 202
        await peer.wait_for_requests(1)

    play(scene, tmp_path)


def test_a_refused_lock_and_a_refused_socket_are_each_logged_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """On a platform without Unix sockets and locks, the process owns its folder and serves."""

    def refused(*_: object) -> None:
        raise OSError(errno.ENOSYS, os.strerror(errno.ENOSYS))

    async def scene() -> None:
        ownership = Ownership(tmp_path)
        monkeypatch.setattr(fcntl, "flock", refused)
        monkeypatch.setattr(socket.socket, "bind", refused)

        async def make(handover: object) -> str:
            assert handover is None
            return "serving"

        assert await ownership.obtain(make) == "serving"
        ownership.listen(lambda link: None)
        assert ownership.listener is None
        ownership.close()

    asyncio.run(scene())
    messages = [r.getMessage() for r in caplog.records if r.name == "forwarder.upgrade"]
    assert len(messages) == 2
    assert all("not implemented" in text for text in messages)
