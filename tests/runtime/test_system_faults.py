"""Runs the real program with failing writes, clock steps and failing system calls (lab/shim.py)."""

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
LARGE_BODY = b"x" * 9000  # `MESSAGES` of these make a snapshot due


async def start_with_failures(folder: Path, platform: Platform, *failures: Failure, clock_s: float = 0.0) -> Node:
    """Starts the program with the given failures in effect from the start."""
    node = Node(folder, platform)
    end_with_scene(node)
    await node.set_failures(*failures, clock_s=clock_s)
    return await node.start()


async def submit_all(node: Node, names: list[str], cls: str = "status", body: bytes = b"hello") -> dict[str, int]:
    """Submits messages one after another. Returns the status of each; every submission is answered."""
    return {name: (await node.submit(name, cls, body=body))[0] for name in names}


async def submit_until_accepted(node: Node, cls: str = "status") -> str:
    """Submits messages until one is accepted. Returns its name."""
    async with asyncio.timeout(PATIENCE):
        for n in range(10_000):
            if (await node.submit(f"again-{n}", cls))[0] == 202:
                return f"again-{n}"
            await asyncio.sleep(0.05)
    raise AssertionError("no message was accepted")


def test_messages_are_refused_while_the_disk_is_full_and_accepted_afterwards(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_with_failures(folder, platform)
        assert (await submit_all(node, ["before"])) == {"before": 202}
        await peer.wait_for_requests(1)
        await node.set_failures(*FULL_DISK)
        refused = await submit_all(node, ["a", "b", "c"])
        assert set(refused.values()) == {503}, refused
        await node.set_failures()
        accepted = await submit_until_accepted(node)  # nothing is held, so no other work triggers a write
        await peer.wait_for_requests(2)
        await node.restart()
        await asyncio.sleep(0.5)
        assert set(received_ids(peer)) == {"before", accepted}

    play(scene, tmp_path)


@pytest.mark.parametrize(("cls", "is_sent"), [("status", True), ("pay", False)])
def test_only_repeatable_calls_are_sent_unrecorded(tmp_path: Path, cls: str, is_sent: bool) -> None:
    """Other messages end in time with a notice, or are sent once their attempt can be recorded."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(Answer(429, {"X-RateLimit-Wait-Ms": "600"}), OK))
        node = await start_with_failures(folder, platform)
        assert (await node.submit("long", cls, left="50"))[0] == 202
        await peer.wait_for_requests(1)
        await node.set_failures(*FULL_DISK)
        await asyncio.sleep(1.5)
        assert len(peer.requests) == (2 if is_sent else 1)
        await node.set_failures()
        await peer.wait_for_requests(2)
        assert received_ids(peer) == ["long", "long"]
        assert not platform.notices
        assert "violations: none" in await node.call(b"RULES\n")

    play(scene, tmp_path)


def test_held_messages_end_in_time_while_nothing_can_be_written(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(Answer(429, {"X-RateLimit-Wait-Ms": "60000"})))
        node = await start_with_failures(folder, platform)
        submitted_at_s = time.monotonic()
        assert (await node.submit("held", "pay", left="2.5"))[0] == 202
        await peer.wait_for_requests(1)
        await node.set_failures(*FULL_DISK)
        await platform.wait_for_notice("held")
        assert time.monotonic() - submitted_at_s > 0  # the notice arrived; the lab's rules limit its delay

    play(scene, tmp_path)


@pytest.mark.parametrize("moment", ["start", "service", "end"])
@pytest.mark.parametrize("call", FILE_CALLS)
def test_any_call_on_the_state_folder_may_fail(tmp_path: Path, call: str, moment: str) -> None:
    """A call fails at the start, in service during a snapshot, or at the end. After SIGKILL, no call fails any more.

    Each client is answered, accepted messages are delivered, and refused ones are not.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        failure = Failure(call, "EIO")
        node = await start_with_failures(folder, platform, *((failure,) if moment == "start" else ()))
        if moment == "service":
            statuses = await submit_all(node, [f"m{n}" for n in range(MESSAGES // 2)], body=LARGE_BODY)
            await node.set_failures(failure)
            statuses |= await submit_all(node, [f"m{n}" for n in range(MESSAGES // 2, MESSAGES)], body=LARGE_BODY)
        else:
            statuses = await submit_all(node, [f"m{n}" for n in range(5)])
        if moment == "end":
            await node.set_failures(failure)
            await node.end(signal.SIGTERM)
        else:
            await node.end()
        await node.set_failures()
        await node.start()
        accepted = {name for name, status in statuses.items() if status == 202}
        assert set(statuses.values()) <= {202, 503}
        assert accepted or moment == "start"
        await peer.wait_until(lambda: accepted <= set(received_ids(peer)))
        assert not platform.notices
        assert await submit_until_accepted(node)
        assert set(received_ids(peer)) <= accepted | {name for name in received_ids(peer) if name.startswith("again")}

    play(scene, tmp_path)


@pytest.mark.parametrize("steps", [(0.0, 3600.0), (0.0, -3600.0), (3600.0, 0.0)], ids=["forward", "back", "corrected"])
@pytest.mark.parametrize("running", [True, False], ids=["while it runs", "over a restart"])
def test_a_step_of_the_wall_clock_changes_no_deadline_or_wait(
    tmp_path: Path, steps: tuple[float, float], running: bool
) -> None:
    """A held message with time left is delivered once the Retry-After of its destination is over, and not before."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(Answer(503), Answer(429, {"X-RateLimit-Wait-Ms": "1500"}), OK))
        node = await start_with_failures(folder, platform, clock_s=steps[0])
        assert (await node.submit("held", "status", left="12"))[0] == 202
        await peer.wait_for_requests(2)
        rejected_at_s = time.monotonic()
        if running:
            await node.set_failures(clock_s=steps[1])
        else:
            await node.end()
            await node.set_failures(clock_s=steps[1])
            await node.start()
        await peer.wait_for_requests(3)
        assert not running or time.monotonic() - rejected_at_s > 1.4
        await asyncio.sleep(0.2)
        assert received_ids(peer) == ["held"] * 3
        assert not platform.notices

    play(scene, tmp_path)


LOCAL_FAILURES = [("socket", "ENFILE"), ("socket", "ENOBUFS"), ("connect", "EADDRNOTAVAIL"), ("connect", "ENETUNREACH")]


@pytest.mark.parametrize(("call", "error"), LOCAL_FAILURES)
def test_a_local_failure_uses_no_attempt_and_is_not_held_against_the_endpoint(
    tmp_path: Path, call: str, error: str
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_with_failures(folder, platform)
        await platform.wait_for_requests(2)  # the watch of the endpoint list is established
        await node.set_failures(Failure(call, error))
        assert (await node.submit("held", "pay"))[0] == 202
        await asyncio.sleep(1.0)  # long enough for six attempts, the maximum
        assert not peer.requests
        assert not platform.notices
        await node.set_failures()
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
def test_clients_are_served_despite_failing_accepts_and_short_reads(tmp_path: Path, failure: Failure) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_with_failures(folder, platform, failure)
        names = [f"m{n}" for n in range(20)]
        assert set((await submit_all(node, names, body=bytes(range(256)))).values()) == {202}
        await peer.wait_for_requests(20)
        assert sorted(received_ids(peer)) == sorted(names)
        assert {r.body for r in peer.requests} == {bytes(range(256))}

    play(scene, tmp_path)


@pytest.mark.parametrize(("error", "attempts"), [(errno.EIO, 3), (errno.EMFILE, 3), (errno.ENOENT, 1)])
def test_a_configuration_that_is_briefly_unreadable_does_not_end_the_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error: int, attempts: int
) -> None:
    """A transient error is retried; a missing file is reported at once."""
    errors, paths_read = [OSError(error, "for the test")] * 2, []

    def read_bytes(path: Path) -> bytes:
        paths_read.append(path)
        if errors:
            raise errors.pop()
        return b"{}"

    monkeypatch.setattr(Path, "read_bytes", read_bytes)
    monkeypatch.setenv("LB_CONFIG", str(tmp_path / "config.json"))
    with pytest.raises(ConfigError):
        retry_transient(load_config, is_transient_read_error)
    assert len(paths_read) == attempts


class FakeMessageStore:
    """A message store with one pending notice."""

    def __init__(self) -> None:
        self.pending = {"m": PendingNotice("failed", 0, None)}

    def pending_notices(self) -> dict[str, PendingNotice]:
        return self.pending

    def acknowledge_notices(self, names: list[str]) -> None:
        for name in names:
            del self.pending[name]


def test_notices_continue_after_an_unexpected_error() -> None:
    async def scene() -> None:
        platform = await Platform().start()
        supervisor = Supervisor()
        store = FakeMessageStore()
        notices = Notifier(Address("127.0.0.1", platform.port), store, supervisor)
        send_request: Callable[..., Awaitable[object]] = notices.client.request
        errors = [RuntimeError("unexpected"), AssertionError()]

        async def fail_first_requests(*args: object, **kwargs: object) -> object:
            if errors:
                raise errors.pop()
            return await send_request(*args, **kwargs)

        notices.client.request = fail_first_requests  # type: ignore[assignment, method-assign]
        notices.wake()
        await platform.wait_for_notice("m")
        async with asyncio.timeout(PATIENCE):
            while store.pending:
                await asyncio.sleep(0.01)
        assert supervisor.failures == {"notices": 2}

    asyncio.run(scene())


def test_a_failed_post_of_notices_is_retried_within_the_permitted_delay() -> None:
    """A message without an end is lost 0.3 s after its deadline; giving up a call takes 0.1 s of that (PROTOCOL)."""
    assert GIVE_UP_GRACE_S + max(RETRY_PAUSES_S) <= 0.2


def test_a_post_of_notices_stays_within_the_maximum_body_size() -> None:
    pending = [(f"{n:0128d}", PendingNotice("returned", 500, None)) for n in range(500)]
    remaining = pending
    while remaining:
        body, rendered = render_notices(remaining)
        assert len(body) <= MAX_BODY_BYTES
        assert len(body.splitlines()) == len(rendered) > 0
        remaining = remaining[len(rendered) :]


def test_a_process_whose_journal_is_incomplete_does_not_hand_over(tmp_path: Path) -> None:
    """Guards against calls to a draining endpoint after an upgrade.

    The soak found that the old process could not write the drain, and the new one used the list before it.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        drained = await start_endpoint(platform, always(OK))
        node = await start_with_failures(folder, platform)
        await platform.wait_for_requests(2)
        await node.set_failures(*FULL_DISK)
        other = await start_endpoint(platform, always(OK), "s2")
        platform.changes[platform.version + 1] = [dict(platform.endpoints["s2"])]
        platform.endpoints["s1"]["health"] = "draining"
        platform.changes[platform.version + 1].append(dict(platform.endpoints["s1"]))
        platform.version += 1
        await platform.notify_all()
        # A poll from version 2 shows that the process has received the change.
        await platform.wait_until(lambda: any("from=2" in r.path for r in platform.requests))
        handler, answer_now = platform.handler, asyncio.Event()

        async def answer_later(request: Request) -> Answer | bytes | None:
            await answer_now.wait()
            return await handler(request)

        platform.handler = answer_later
        new = node.successor()
        new.shim = None
        end_with_scene(new)
        starting = asyncio.create_task(new.start())
        await asyncio.sleep(1.5)
        await node.set_failures()
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
def test_an_upgrade_survives_a_failing_call_on_the_folder(tmp_path: Path, call: str, for_s: float) -> None:
    """Guards against two failures that the soak found.

    The new process ended on an error when it closed its own lock file after the hand-over, and the state was lost. A
    new process that could not open the lock for longer assumed that the address was free, and ended because it was not.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_with_failures(folder, platform)
        new = node.successor()
        end_with_scene(new)
        await node.set_failures(Failure(call, "EIO"))
        new.shim = node.shim
        starting = asyncio.create_task(new.start())
        await asyncio.sleep(for_s)
        await node.set_failures()
        await starting
        assert (await new.submit("m", "status"))[0] == 202
        await peer.wait_for_requests(1)

    play(scene, tmp_path)


def test_an_endpoint_list_whose_connection_ends_unread_is_requested_again_at_once() -> None:
    """Guards against a next poll only 1.2 s later (found by the soak): discovery counts a written list as received."""

    async def scene() -> None:
        body = json.dumps(Platform().listing()).encode()
        peer = await Peer(always(None, None, None, Answer(200, body=body), None)).start()
        received: list[EndpointList | None] = []
        watch = EndpointListWatch(Address("127.0.0.1", peer.port), -1, received.append)
        watch.subscribe()
        async with asyncio.timeout(PATIENCE):
            while not received:
                await asyncio.sleep(0.01)
        assert received[0] is not None
        assert received[0].is_complete
        watch.client.close()

    asyncio.run(scene())


def test_the_endpoint_list_is_requested_again_after_an_error_in_applying_it() -> None:
    """Guards against a watch that an error in its callback ended unreported, so that no further poll followed."""

    async def scene() -> None:
        platform = await Platform().start()
        received: list[EndpointList | None] = []

        def apply_list(endpoint_list: EndpointList | None) -> None:
            received.append(endpoint_list)
            if len(received) == 1:
                raise RuntimeError("unexpected")

        supervisor = Supervisor()
        watch = EndpointListWatch(Address("127.0.0.1", platform.port), -1, apply_list, supervisor=supervisor)
        watch.subscribe()
        async with asyncio.timeout(PATIENCE):
            while len(received) < 2:
                await asyncio.sleep(0.01)
        assert received[1] is None
        assert supervisor.failures == {"list": 1}
        watch.subscribe()
        await platform.wait_until(lambda: len(platform.requests) > 1)
        watch.client.close()

    asyncio.run(scene())
