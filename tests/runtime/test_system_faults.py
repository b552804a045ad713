"""Failing writes, stepped clocks and failing system calls, played on the real program (lab/shim.py)."""

from __future__ import annotations

import asyncio
import errno
import json
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from forwarder.__main__ import is_transient_read_error, retry_transient
from forwarder.clients.listener import BIND_TIMEOUT_S
from forwarder.config.config import Address, ConfigError, EndpointList, load_config
from forwarder.discovery.endpoint_list_watch import EndpointListWatch
from forwarder.discovery.notifier import RETRY_PAUSES_S, Notifier, render_notices
from forwarder.endpoints.connection import GIVE_UP_GRACE_S
from forwarder.protocol.http1 import MAX_BODY_BYTES
from forwarder.runtime.ownership import LOCK_OPEN_TIMEOUT_S
from forwarder.runtime.supervisor import Supervisor
from forwarder.storage.messages import PendingNotice
from lab.shim import FILE_CALLS, Failure
from tests.nodes import Node
from tests.platforms import Platform
from tests.scenes import end_with_scene, play, received_ids, start_endpoint
from tests.sockets import OK, PATIENCE, Answer, Peer, Request, always

FULL_DISK = (Failure("write", "ENOSPC"), Failure("open", "ENOSPC"))
MESSAGES = 40
LARGE_BODY = b"x" * 9000  # so many of these make a snapshot due


async def start_with_failures(folder: Path, platform: Platform, *failures: Failure, clock_s: float = 0.0) -> Node:
    """The program, with calls that may fail, from its start on."""
    node = Node(folder, platform)
    end_with_scene(node)
    await node.fail(*failures, clock_s=clock_s)
    return await node.start()


async def submit_all(node: Node, names: list[str], cls: str = "status", body: bytes = b"hello") -> dict[str, int]:
    """What each hand-in is answered: always something."""
    return {name: (await node.submit(name, cls, body=body))[0] for name in names}


async def until_taken(node: Node, cls: str = "status") -> str:
    """Hand messages in until one is taken on. Its name."""
    async with asyncio.timeout(PATIENCE):
        for n in range(10_000):
            if (await node.submit(f"again-{n}", cls))[0] == 202:
                return f"again-{n}"
            await asyncio.sleep(0.05)
    raise AssertionError("never taken on")


def test_what_cannot_be_written_is_refused_and_taken_on_again_once_it_can(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_with_failures(folder, platform)
        assert (await submit_all(node, ["before"])) == {"before": 202}
        await peer.wait_for_requests(1)
        await node.fail(*FULL_DISK)
        refused = await submit_all(node, ["a", "b", "c"])
        assert set(refused.values()) == {503}, refused
        await node.fail()
        taken = await until_taken(node)  # with nothing held, and no work that could be written before
        await peer.wait_for_requests(2)
        await node.restart()
        await asyncio.sleep(0.5)
        assert set(received_ids(peer)) == {"before", taken}

    play(scene, tmp_path)


@pytest.mark.parametrize(("cls", "leaves"), [("status", True), ("pay", False)])
def test_only_calls_that_may_be_repeated_leave_unrecorded(tmp_path: Path, cls: str, leaves: bool) -> None:
    """The others end in time by a notice, or go once their attempt can be written."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(Answer(429, {"X-RateLimit-Wait-Ms": "600"}), OK))
        node = await start_with_failures(folder, platform)
        assert (await node.submit("long", cls, left="50"))[0] == 202
        await peer.wait_for_requests(1)
        await node.fail(*FULL_DISK)
        await asyncio.sleep(1.5)
        assert len(peer.requests) == (2 if leaves else 1)
        await node.fail()
        await peer.wait_for_requests(2)
        assert received_ids(peer) == ["long", "long"]
        assert not platform.notices
        assert "violations: none" in await node.call(b"RULES\n")

    play(scene, tmp_path)


def test_what_is_held_is_ended_in_time_though_nothing_can_be_written(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(Answer(429, {"X-RateLimit-Wait-Ms": "60000"})))
        node = await start_with_failures(folder, platform)
        handed_s = time.monotonic()
        assert (await node.submit("held", "pay", left="2.5"))[0] == 202
        await peer.wait_for_requests(1)
        await node.fail(*FULL_DISK)
        await platform.wait_for_notice("held")
        assert time.monotonic() - handed_s > 0  # it came; the lab's judge bounds how late

    play(scene, tmp_path)


@pytest.mark.parametrize("moment", ["start", "service", "end"])
@pytest.mark.parametrize("call", FILE_CALLS)
def test_any_call_on_the_state_folder_may_fail(tmp_path: Path, call: str, moment: str) -> None:
    """At the start, in service with a snapshot under way, or at the end; then SIGKILL and a healthy start.

    Each client is answered, what was taken on is delivered, and what was refused is not.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        failure = Failure(call, "EIO")
        node = await start_with_failures(folder, platform, *((failure,) if moment == "start" else ()))
        if moment == "service":
            told = await submit_all(node, [f"m{n}" for n in range(MESSAGES // 2)], body=LARGE_BODY)
            await node.fail(failure)
            told |= await submit_all(node, [f"m{n}" for n in range(MESSAGES // 2, MESSAGES)], body=LARGE_BODY)
        else:
            told = await submit_all(node, [f"m{n}" for n in range(5)])
        if moment == "end":
            await node.fail(failure)
            await node.end(signal.SIGTERM)
        else:
            await node.end()
        await node.fail()
        await node.start()
        taken = {name for name, status in told.items() if status == 202}
        assert set(told.values()) <= {202, 503}
        assert taken or moment == "start"
        await peer.wait_until(lambda: taken <= set(received_ids(peer)))
        assert not platform.notices
        assert await until_taken(node)
        assert set(received_ids(peer)) <= taken | {name for name in received_ids(peer) if name.startswith("again")}

    play(scene, tmp_path)


@pytest.mark.parametrize("steps", [(0.0, 3600.0), (0.0, -3600.0), (3600.0, 0.0)], ids=["forward", "back", "set right"])
@pytest.mark.parametrize("running", [True, False], ids=["while it runs", "over a restart"])
def test_a_step_of_the_wall_clock_moves_no_time(tmp_path: Path, steps: tuple[float, float], running: bool) -> None:
    """A message that is held with time left is delivered once its destination's wait is over, no sooner."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(Answer(503), Answer(429, {"X-RateLimit-Wait-Ms": "1500"}), OK))
        node = await start_with_failures(folder, platform, clock_s=steps[0])
        assert (await node.submit("held", "status", left="12"))[0] == 202
        await peer.wait_for_requests(2)
        told_s = time.monotonic()
        if running:
            await node.fail(clock_s=steps[1])
        else:
            await node.end()
            await node.fail(clock_s=steps[1])
            await node.start()
        await peer.wait_for_requests(3)
        assert not running or time.monotonic() - told_s > 1.4
        await asyncio.sleep(0.2)
        assert received_ids(peer) == ["held"] * 3
        assert not platform.notices

    play(scene, tmp_path)


LOCAL = [("socket", "ENFILE"), ("socket", "ENOBUFS"), ("connect", "EADDRNOTAVAIL"), ("connect", "ENETUNREACH")]


@pytest.mark.parametrize(("call", "error"), LOCAL)
def test_a_failure_of_this_machine_costs_no_try_and_tells_nothing_of_an_endpoint(
    tmp_path: Path, call: str, error: str
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_with_failures(folder, platform)
        await platform.wait_for_requests(2)  # its watch is up
        await node.fail(Failure(call, error))
        assert (await node.submit("held", "pay"))[0] == 202
        await asyncio.sleep(1.0)  # six tries, the most there may be, would be over
        assert not peer.requests
        assert not platform.notices
        await node.fail()
        await peer.wait_for_requests(1)
        assert "in outage" not in "".join(node.log)

    play(scene, tmp_path)


@pytest.mark.parametrize(
    "failure",
    [
        Failure("accept", "ECONNABORTED", 0.5),
        Failure("accept", "ENFILE", 0.5),
        Failure("accept", "ENOBUFS", 0.5),
        Failure("short", share=0.7),
    ],
    ids=lambda failure: f"{failure.call}-{failure.errno}",
)
def test_clients_are_served_through_failing_accepts_and_short_reads(tmp_path: Path, failure: Failure) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_with_failures(folder, platform, failure)
        names = [f"m{n}" for n in range(20)]
        assert set((await submit_all(node, names, body=bytes(range(256)))).values()) == {202}
        await peer.wait_for_requests(20)
        assert sorted(received_ids(peer)) == sorted(names)
        assert {r.body for r in peer.requests} == {bytes(range(256))}

    play(scene, tmp_path)


@pytest.mark.parametrize(("error", "tries"), [(errno.EIO, 3), (errno.EMFILE, 3), (errno.ENOENT, 1)])
def test_a_configuration_that_cannot_be_read_for_a_moment_ends_no_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error: int, tries: int
) -> None:
    """A passing failure is tried again; one that names no file is told at once."""
    left, made = [OSError(error, "for the test")] * 2, []

    def read_bytes(path: Path) -> bytes:
        made.append(path)
        if left:
            raise left.pop()
        return b"{}"

    monkeypatch.setattr(Path, "read_bytes", read_bytes)
    monkeypatch.setenv("LB_CONFIG", str(tmp_path / "config.json"))
    with pytest.raises(ConfigError):
        retry_transient(load_config, is_transient_read_error)
    assert len(made) == tries


class Book:
    """One end that is owed."""

    def __init__(self) -> None:
        self.owed = {"m": PendingNotice("failed", 0, None)}

    def pending_notices(self) -> dict[str, PendingNotice]:
        return self.owed

    def acknowledge_notices(self, names: list[str]) -> None:
        for name in names:
            del self.owed[name]


def test_notices_go_on_after_an_error_that_nobody_foresaw() -> None:
    async def scene() -> None:
        platform = await Platform().start()
        supervisor = Supervisor()
        book = Book()
        notices = Notifier(Address("127.0.0.1", platform.port), book, supervisor)
        real: Callable[..., Awaitable[object]] = notices.client.request
        failing = [RuntimeError("unforeseen"), AssertionError()]

        async def ask(*args: object, **named: object) -> object:
            if failing:
                raise failing.pop()
            return await real(*args, **named)

        notices.client.request = ask  # type: ignore[assignment, method-assign]
        notices.wake()
        await platform.wait_for_notice("m")
        async with asyncio.timeout(PATIENCE):
            while book.owed:
                await asyncio.sleep(0.01)
        assert supervisor.failures == {"notices": 2}

    asyncio.run(scene())


def test_a_post_that_fails_is_made_again_within_what_an_end_may_be_late() -> None:
    """A message without its end is lost 0.3 s after its time, and a given-up call takes 0.1 s of that (PROTOCOL)."""
    assert GIVE_UP_GRACE_S + max(RETRY_PAUSES_S) <= 0.2


def test_a_post_of_notices_stays_within_what_a_body_may_hold() -> None:
    owed = [(f"{n:0128d}", PendingNotice("returned", 500, None)) for n in range(500)]
    left = owed
    while left:
        body, told = render_notices(left)
        assert len(body) <= MAX_BODY_BYTES
        assert len(body.splitlines()) == len(told) > 0
        left = left[len(told) :]


def test_nothing_is_handed_over_that_the_journal_lacks(tmp_path: Path) -> None:
    """Found by the soak: a process that took over while the old one could not write went by the list before a drain."""

    async def scene(platform: Platform, folder: Path) -> None:
        drained = await start_endpoint(platform, always(OK))
        node = await start_with_failures(folder, platform)
        await platform.wait_for_requests(2)
        await node.fail(*FULL_DISK)
        other = await start_endpoint(platform, always(OK), "s2")
        platform.changes[platform.version + 1] = [dict(platform.endpoints["s2"])]
        platform.endpoints["s1"]["health"] = "draining"
        platform.changes[platform.version + 1].append(dict(platform.endpoints["s1"]))
        platform.version += 1
        await platform.notify_all()
        await platform.wait_until(lambda: any("from=2" in r.path for r in platform.requests))  # it was told
        answered, answer_now = platform.handler, asyncio.Event()

        async def slow(request: Request) -> Answer | bytes | None:
            await answer_now.wait()
            return await answered(request)

        platform.handler = slow
        new = node.successor()
        new.shim = None
        end_with_scene(new)
        starting = asyncio.create_task(new.start())
        await asyncio.sleep(1.5)
        await node.fail()
        await starting
        assert (await new.submit("m", "status"))[0] == 202
        await asyncio.sleep(0.3)
        assert not drained.requests
        answer_now.set()
        await other.wait_for_requests(1)

    play(scene, tmp_path)


@pytest.mark.parametrize(
    ("call", "for_s"), [("close", 1.0), ("open", 1.0), ("open", LOCK_OPEN_TIMEOUT_S + BIND_TIMEOUT_S + 1.0)]
)
def test_an_upgrade_outlasts_a_failing_call_on_the_folder(tmp_path: Path, call: str, for_s: float) -> None:
    """Found by the soak.

    The process that had taken over ended as it closed its own lock, and all went with it; one that could not open the
    lock for longer took the address for free, and ended as it was not.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_with_failures(folder, platform)
        new = node.successor()
        end_with_scene(new)
        await node.fail(Failure(call, "EIO"))
        new.shim = node.shim
        starting = asyncio.create_task(new.start())
        await asyncio.sleep(for_s)
        await node.fail()
        await starting
        assert (await new.submit("m", "status"))[0] == 202
        await peer.wait_for_requests(1)

    play(scene, tmp_path)


def test_a_list_whose_connection_ends_unread_is_asked_for_again_at_once() -> None:
    """Found by the soak: what discovery had written counts as told, and the next question came 1.2 s later."""

    async def scene() -> None:
        listing = json.dumps(Platform().listing()).encode()
        peer = await Peer(always(None, None, None, Answer(200, body=listing), None)).start()
        told: list[EndpointList | None] = []
        watch = EndpointListWatch(Address("127.0.0.1", peer.port), -1, told.append)
        watch.subscribe()
        async with asyncio.timeout(PATIENCE):
            while not told:
                await asyncio.sleep(0.01)
        assert told[0] is not None
        assert told[0].is_complete
        watch.client.close()

    asyncio.run(scene())


def test_the_list_is_asked_for_again_after_an_error_in_taking_it_on() -> None:
    """An error beside the watch ended it untold, so that nobody asked again."""

    async def scene() -> None:
        platform = await Platform().start()
        told: list[EndpointList | None] = []

        def listed(news: EndpointList | None) -> None:
            told.append(news)
            if len(told) == 1:
                raise RuntimeError("unforeseen")

        supervisor = Supervisor()
        watch = EndpointListWatch(Address("127.0.0.1", platform.port), -1, listed, supervisor=supervisor)
        watch.subscribe()
        async with asyncio.timeout(PATIENCE):
            while len(told) < 2:
                await asyncio.sleep(0.01)
        assert told[1] is None
        assert supervisor.failures == {"list": 1}
        watch.subscribe()
        await platform.wait_until(lambda: len(platform.requests) > 1)
        watch.client.close()

    asyncio.run(scene())
