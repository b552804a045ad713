"""Regression tests for the incident of lost requests and broken key order, run on the real program.

See docs/incidents/2026-12-02-lost-and-order.md.
"""

from __future__ import annotations

import asyncio
import json
import os
import select
import selectors
import signal
import socket
import time
from contextlib import suppress
from pathlib import Path

import pytest

from forwarder.clients.arrival_time import TimedSelector
from forwarder.decisions.outcomes import Outcome
from lab.shim import Failure
from tests.nodes import SETTINGS, Node, message
from tests.platforms import Platform
from tests.runtime.test_system_faults import LARGE_BODY, start_with_failures, submit_all
from tests.scenes import end_with_scene, play, received_ids, start_endpoint, start_node
from tests.scripts import S, ask, end, sends, started
from tests.sockets import OK, PATIENCE, Answer, Request, always

KEY_REST_S = 3.0


def test_a_rejected_submission_is_not_forwarded_by_the_next_process(tmp_path: Path) -> None:
    """`lost`: a submission was rejected, as no snapshot could be started, but recorded, so that a restart sent it."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_with_failures(folder, platform)
        statuses = await submit_all(node, [f"m{n}" for n in range(20)], body=LARGE_BODY)
        assert set(statuses.values()) == {202}
        await node.set_failures(Failure("open", "ENOSPC"))
        clients = [node.submit(f"n{n}", "status", body=LARGE_BODY) for n in range(20)]
        statuses |= {f"n{n}": status for n, (status, _) in enumerate(await asyncio.gather(*clients))}
        async with asyncio.timeout(PATIENCE):
            while 503 not in statuses.values():
                statuses |= await submit_all(node, [f"o{len(statuses)}"])
        rejected = {name for name, status in statuses.items() if status == 503}
        await node.end()
        await node.set_failures()
        await node.start()
        await peer.wait_until(lambda: statuses.keys() - rejected <= set(received_ids(peer)))
        await asyncio.sleep(0.5)
        assert not rejected & set(received_ids(peer))

    play(scene, tmp_path)


def test_the_backoff_of_a_key_after_a_call_that_may_still_run_survives_a_restart(tmp_path: Path) -> None:
    """`order`: a key's next message was sent within the backoff that a lost call had started before the restart."""

    async def scene(platform: Platform, folder: Path) -> None:
        arrived_s: dict[str, float] = {}

        async def close_on_first(request: Request) -> Answer | None:
            name = request.headers["x-correlation-id"]
            arrived_s[name] = asyncio.get_running_loop().time()
            return None if name == "first" else OK

        await start_endpoint(platform, close_on_first)
        node = Node(folder, platform)
        end_with_scene(node)
        settings = json.loads((folder / "config.json").read_text())["settings"]
        node.configure(settings=settings | {"contract": SETTINGS["contract"] | {"key_rest_us": int(KEY_REST_S * 1e6)}})
        await node.start()
        for name in ("first", "second"):
            assert (await node.submit(name, "turn", X_Session_Key="k"))[0] == 202
        await platform.wait_for_notice("first")
        await node.restart()
        async with asyncio.timeout(10):
            while "second" not in arrived_s:
                await asyncio.sleep(0.02)
        assert arrived_s["second"] - arrived_s["first"] >= KEY_REST_S

    play(scene, tmp_path)


MALFORMED_REPORTS = ("x0=nan,x1=nan", "x0=inf,x1=5", "x0=0.5,x1=-3", "x0=1e308,x1=1e308")


@pytest.mark.parametrize("report", MALFORMED_REPORTS)
def test_a_malformed_report_affects_nothing_else(tmp_path: Path, report: str) -> None:
    """One endpoint's report of nan made every later round fail, and then blocked the event loop for ever."""

    async def scene(platform: Platform, folder: Path) -> None:
        faulty = await start_endpoint(platform, always(Answer(200, {"X-Backend-Load": report})))
        other = await start_endpoint(platform, always(OK), "s2", block=8)
        node = await start_node(folder, platform)
        for name in ("a", "b", "c"):
            assert (await node.submit(name, "status"))[0] == 202
            assert (await node.submit(f"{name}-other", "status", dest=8))[0] == 202
        await asyncio.gather(faulty.wait_for_requests(3), other.wait_for_requests(3))
        assert "failures: none" in await node.call(b"RULES\n")

    play(scene, tmp_path)


def test_an_error_in_one_decision_affects_that_step_only() -> None:
    dispatcher = started()
    first, second = sends(dispatcher.handle(0, [ask("a"), ask("b", dest=11)]))
    broken = end(first, Outcome.REJECTED, retry_after_us="soon")
    again = sends(dispatcher.handle(S, [broken, end(second, Outcome.DELIVERED)]))
    assert len(dispatcher.errors) == 1
    assert [send.message_id for send in again] == [*dispatcher.messages] == ["a"]


def test_a_configuration_that_cannot_be_read_at_sighup_is_read_again(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        node = await start_node(folder, platform)
        moved = Platform()
        moved.endpoints, moved.version = platform.endpoints, platform.version
        await moved.start()
        node.configure(discovery=f"127.0.0.1:{moved.port}")
        config, config_backup = folder / "config.json", folder / "aside.json"
        config.rename(config_backup)
        config.mkdir()  # EISDIR
        node.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.5)
        assert not moved.requests
        config.rmdir()
        config_backup.rename(config)
        await moved.wait_until(lambda: bool(moved.requests))

    play(scene, tmp_path)


@pytest.mark.parametrize("call", ["client-recv", "client-send"])
@pytest.mark.parametrize("handed_over", [False, True])
def test_a_temporary_lack_of_buffers_on_a_client_connection_leaves_no_request_unanswered(
    tmp_path: Path, call: str, handed_over: bool
) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_with_failures(folder, platform)
        client = await node.client()
        assert (await client.submit("first", "status"))[0] == 202
        if handed_over:
            node = node.successor()
            end_with_scene(node)
            await node.start()
        await node.set_failures(Failure(call, "ENOBUFS", 0.5))
        names = [f"m{n}" for n in range(20)]
        assert {(await client.submit(name, "status"))[0] for name in names[:10]} == {202}
        assert set((await submit_all(node, names[10:])).values()) == {202}
        names.append("first")
        await peer.wait_until(lambda: sorted(received_ids(peer)) == sorted(names))

    play(scene, tmp_path)


def test_time_counts_from_before_a_request_was_read(tmp_path: Path) -> None:
    """The request waits in the kernel while the process is stopped, and its time goes on."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(Answer(429, {"X-RateLimit-Wait-Ms": "60000"})))
        node = await start_node(folder, platform)
        client = await node.client()
        assert (await client.submit("first", "status"))[0] == 202
        node.process.send_signal(signal.SIGSTOP)
        submitted_s = asyncio.get_running_loop().time()
        client.writer.write(message("late", "status", left="1.2"))
        await asyncio.sleep(0.6)
        node.process.send_signal(signal.SIGCONT)
        status, _ = await client.answer()
        if status == 202:
            await platform.wait_for_notice("late")
        assert status in (202, 429)
        assert asyncio.get_running_loop().time() - submitted_s < 1.2 + 0.3

    play(scene, tmp_path)


@pytest.mark.parametrize(
    ("was_ready", "returned_ms", "timeout", "earliest_ms"),
    [
        (True, 10, 0.1, 7),
        (False, 60, 0.1, 60),
        (False, 700, 0.1, 10),
        (False, 700, None, 700),
    ],
    ids=["ready at once", "within the time-out", "long after the time-out", "without a time-out"],
)
def test_the_events_of_a_poll_arrived_no_earlier_than_the_selector_says(
    monkeypatch: pytest.MonkeyPatch, was_ready: bool, returned_ms: int, timeout: float | None, earliest_ms: int
) -> None:
    """The previous poll ended at 7 ms, and this one begins at 10 ms."""
    now_ms = 7
    monkeypatch.setattr(time, "monotonic_ns", lambda: now_ms * 1_000_000)
    selector = TimedSelector()
    ours, other = socket.socketpair()
    selector.register(ours, selectors.EVENT_READ)

    def poll(timeout_s: float, max_events: int) -> list[tuple[int, int]]:
        nonlocal now_ms
        if timeout_s == 0 and not was_ready:
            return []
        now_ms = returned_ms
        return [(ours.fileno(), select.EPOLLIN)]

    monkeypatch.setattr(selector._selector, "poll", poll)
    now_ms = 10
    assert selector.select(timeout)
    assert selector.earliest_ns == earliest_ms * 1_000_000
    selector.close()
    ours.close()
    other.close()


@pytest.mark.parametrize("step_s", [3600.0, -3600.0])
def test_deadlines_hold_although_the_clock_anchor_cannot_be_read_at_once(tmp_path: Path, step_s: float) -> None:
    """`lost`: a start used the wall clock, which was an hour off, so that messages ended at once or never."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(Answer(429, {"X-RateLimit-Wait-Ms": "3000"})))
        node = await start_with_failures(folder, platform)
        submitted_s = asyncio.get_running_loop().time()
        assert (await node.submit("held", "status", left="6"))[0] == 202
        await peer.wait_for_requests(1)
        await node.end()
        await node.set_failures(Failure("read", "EIO", file="clock"), clock_s=step_s)
        starting = asyncio.create_task(node.start())
        await asyncio.sleep(1.0)
        await node.set_failures(clock_s=step_s)
        await starting
        await platform.wait_for_notice("held")
        assert 3.0 < asyncio.get_running_loop().time() - submitted_s < 8.0

    play(scene, tmp_path)


@pytest.mark.parametrize("first", [signal.SIGTERM, signal.SIGINT])
def test_a_series_of_signals_does_not_kill_the_process(tmp_path: Path, first: int) -> None:
    """Found by the soak test: SIGHUP killed a process that was ending and had already removed its handlers."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(OK))
        node = await start_node(folder, platform)
        assert (await node.submit("m", "status"))[0] == 202
        await asyncio.sleep(0.2)
        node.process.send_signal(first)
        async with asyncio.timeout(PATIENCE):
            while node.process.returncode is None:
                for again in (signal.SIGHUP, signal.SIGTERM):
                    with suppress(ProcessLookupError):
                        os.kill(node.process.pid, again)  # send_signal() would reap the process, and lose its status
                await asyncio.sleep(0.001)
        assert node.process.returncode == 0

    play(scene, tmp_path)


SMALL_WINDOW_BYTES = 4096
LARGER_THAN_THE_WINDOW = b"x" * 30_000


class SlowReader:
    """An endpoint that reads the first call only in part until `read_rest_of_first`, and answers all other calls."""

    def __init__(self) -> None:
        self.first: asyncio.StreamReader | None = None
        self.answered: list[bytes] = []

    async def start(self) -> SlowReader:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES)
        sock.bind(("127.0.0.1", 0))
        self.port = int(sock.getsockname()[1])
        self.server = await asyncio.start_server(self.serve, sock=sock, limit=SMALL_WINDOW_BYTES)
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.first is None:
            self.first = reader
            await asyncio.sleep(3600)
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                self.answered.append(await reader.readuntil(b"\r\n\r\n"))
                await reader.readexactly(len(LARGER_THAN_THE_WINDOW))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    async def read_rest_of_first(self) -> int:
        """Returns how many more bytes of the first call arrive, up to its end or the end of its connection."""
        assert self.first is not None
        size = 0
        with suppress(ConnectionError):
            async with asyncio.timeout(PATIENCE):
                while data := await self.first.read(SMALL_WINDOW_BYTES):
                    size += len(data)
        return size


@pytest.mark.parametrize("ends", ["given up", "SIGKILL", "SIGTERM"])
def test_a_call_that_has_ended_does_not_arrive_later(tmp_path: Path, ends: str) -> None:
    """`lost` and `order`: it stayed in the send buffer, and arrived after its message's end and the next of its key."""

    async def scene(platform: Platform, folder: Path) -> None:
        endpoint = await SlowReader().start()
        platform.add_endpoint("s1", endpoint.port)
        node = await start_node(folder, platform)
        client = await node.client()
        for name in ("first", "second"):
            left = "1.0" if name == "first" and ends == "given up" else "50"
            answer = await client.submit(name, "turn", left=left, body=LARGER_THAN_THE_WINDOW, X_Session_Key="k")
            assert answer[0] == 202
        async with asyncio.timeout(PATIENCE):
            while endpoint.first is None:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        if ends != "given up":
            await node.restart(signal.Signals[ends])
        assert (await platform.wait_for_notice("first"))["state"] == "failed"
        async with asyncio.timeout(PATIENCE):
            while not endpoint.answered:
                await asyncio.sleep(0.01)
        assert b"second" in endpoint.answered[0]
        assert await endpoint.read_rest_of_first() < len(LARGER_THAN_THE_WINDOW)

    play(scene, tmp_path)


@pytest.mark.parametrize("error", ["ENOMEM", "ENOSPC"])
def test_a_connection_that_cannot_be_watched_yet_is_still_served(tmp_path: Path, error: str) -> None:
    """After a failure of epoll_ctl(2), a request was never read, or the answer to its call was never received."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_with_failures(folder, platform)
        await node.set_failures(Failure("epoll_ctl", error, 0.5))
        names = [f"m{n}" for n in range(20)]
        responses = await asyncio.gather(*(node.submit(name, "pay") for name in names))
        assert [status for status, _ in responses] == [202] * len(names)
        await peer.wait_until(lambda: sorted(received_ids(peer)) == sorted(names))
        await asyncio.sleep(0.5)
        assert not platform.notices

    play(scene, tmp_path)


def test_a_failure_to_poll_a_descriptor_does_not_stop_the_rounds(tmp_path: Path) -> None:
    """A failure of poll(2) before a round left that round marked as scheduled for ever."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_with_failures(folder, platform)
        assert (await node.submit("before", "status"))[0] == 202
        await node.set_failures(Failure("poll", "ENOMEM"))
        during = asyncio.create_task(node.submit("during", "status"))
        await asyncio.sleep(0.3)
        await node.set_failures()
        assert (await during)[0] in (202, 503)
        assert (await node.submit("after", "status"))[0] == 202
        await peer.wait_until(lambda: {"before", "after"} <= set(received_ids(peer)))

    play(scene, tmp_path)
