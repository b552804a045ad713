"""Tests of the endpoint list watch: its polls and the effects of their failures."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from forwarder.config.config import EndpointList
from forwarder.decisions.endpoint_list_poll import MIN_POLL_BACKOFF_US
from forwarder.discovery import endpoint_list_watch as watch_module
from forwarder.discovery.client import RECONNECT_PAUSES_S
from forwarder.discovery.endpoint_list_watch import FIRST_POLL_HOLD_MS, POLL_HOLD_MS, EndpointListWatch
from forwarder.runtime import engine as engine_module
from tests.discovery.peers import ManualDiscovery, json_response
from tests.engine_scene import SECOND_US, EngineScene, play_with_platform
from tests.platforms import Platform
from tests.scenes import play, start_endpoint, start_node
from tests.sockets import OK, PATIENCE, Answer, Request, Skewed, always

CHANGE_COUNTS_AFTER_S = 2.0
"""PROTOCOL: a change that a held poll had to report counts as known this long after the end of the hold."""


def test_an_unanswered_poll_is_repeated_before_missed_changes_count() -> None:
    """Guards against a poll repeated up to 0.2 s too late. The drain grace hid this; settings may make it shorter."""
    assert watch_module.POLL_GRACE_S + 2 * MIN_POLL_BACKOFF_US / SECOND_US < CHANGE_COUNTS_AFTER_S - 0.1


class SilentDiscovery(Platform):
    """A discovery server that leaves its next held polls without an answer, or with only the start of one."""

    def __init__(self, unanswered_polls: int, partial_answer: bytes) -> None:
        super().__init__()
        self.unanswered_polls, self.partial_answer = unanswered_polls, partial_answer

    async def answer(self, request: Request) -> Answer | bytes | None:
        if "from=" in request.path and self.unanswered_polls:
            self.unanswered_polls -= 1
            request.writer.write(self.partial_answer)
            await asyncio.sleep(3600)
        return await super().answer(request)


@pytest.mark.parametrize("partial_answer", [b"", b"HTTP/1.1 200 OK\r\nContent-Le"])
@pytest.mark.parametrize("unanswered_polls", [1, 2])
def test_a_change_missed_by_an_unanswered_poll_is_learned_from_the_next_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, unanswered_polls: int, partial_answer: bytes
) -> None:
    """This holds from the first poll of the process on, and if the poll that follows is unanswered too."""
    monkeypatch.setattr(watch_module, "POLL_HOLD_MS", 100)
    monkeypatch.setattr(engine_module, "AnchoredClock", lambda folder, base: Skewed(base))

    async def scene(_: Platform) -> None:
        platform = SilentDiscovery(unanswered_polls, partial_answer)
        await platform.start()
        platform.add_endpoint("s1", 9)
        platform.add_endpoint("s2", 9)
        running = await EngineScene(tmp_path, platform).start()
        await platform.wait_for_requests(1)
        assert len(running.engine.pool.addresses) == 2
        await platform.change("s1", "draining")
        while len(running.engine.pool.addresses) == 2:
            await asyncio.sleep(0.005)
        assert len(platform.requests) >= unanswered_polls + 1
        running.end()

    play_with_platform(scene)


WATCH_STEPS = [
    "change",
    "no change",
    "complete list",
    "malformed",
    "truncated",
    "unavailable",
    "reset",
    "unanswered",
    "new address",
    "new address after an answer",
]


FAILURES: dict[str, bytes] = {
    "malformed": json_response(seq="x", hosts=[3]),
    "truncated": json_response(seq=99, whole=True, hosts=[])[:-1],
    "unavailable": b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
    "reset": b"",
    "unanswered": b"",
}


class WatchModel:
    """A watch and the discovery server that it polls, with a model of the answers that the watch has received."""

    def __init__(self) -> None:
        self.results: list[EndpointList | None] = []
        self.version = -1
        self.endpoints: dict[str, dict[str, Any]] = {}
        self.result_count = 0
        self.broken_connections = 0
        """The number of connections broken since the last answer."""

    async def start(self) -> WatchModel:
        """Starts the watch on an event loop whose clock the model advances."""
        loop = asyncio.get_running_loop()
        real_time = loop.time
        self.time_offset_s = 0.0
        vars(loop)["time"] = lambda: real_time() + self.time_offset_s
        self.discovery = await ManualDiscovery().start()
        self.servers = [self.discovery]
        self.watch = EndpointListWatch(self.discovery.address, -1, self.results.append)
        self.watch.subscribe()
        return self

    async def play(self, number: int, step: str) -> None:
        """Checks that the next poll has the version of the model, and answers it by one step."""
        async with asyncio.timeout(PATIENCE):
            path, writer = await self.discovery.requests.get()
        if self.version >= 0:
            assert path.partition("?")[2].startswith(f"from={self.version}&")
        else:
            assert path == "/discovery/hosts"
        assert self.discovery.requests.empty()
        entry = {"host": f"s{number}", "dial": "127.0.0.1:9", "block": 7, "health": "up"}
        if step.startswith("new address"):
            await self.change_address(step, writer, entry)
            return
        if step in FAILURES:
            self.fail(step, writer)
        else:
            self.answer(number, step, writer, entry)
        self.broken_connections = self.broken_connections + 1 if step in ("truncated", "reset") else 0
        if not 0 < self.broken_connections <= len(RECONNECT_PAUSES_S):
            await self.wait_for_result(step)

    def answer(self, number: int, step: str, writer: asyncio.StreamWriter, entry: dict[str, Any]) -> None:
        """Answers a poll with a change, the complete list, or no change."""
        if step == "no change" and self.version >= 0:
            writer.write(json_response(seq=self.version, whole=False, hosts=[]))
            return
        is_complete = step == "complete list" or self.version < 0
        self.version += 1 + number
        self.endpoints[entry["host"]] = entry
        hosts = [*self.endpoints.values()] if is_complete else [entry]
        writer.write(json_response(seq=self.version, whole=is_complete, hosts=hosts))

    async def change_address(self, step: str, writer: asyncio.StreamWriter, entry: dict[str, Any]) -> None:
        """Changes the address of discovery; an answer from the old address may be unread in the kernel."""
        self.discovery = await ManualDiscovery().start()
        self.servers.append(self.discovery)
        if step == "new address after an answer":
            writer.write(json_response(seq=self.version + 1, whole=self.version < 0, hosts=[entry]))
        self.watch.change_address(self.discovery.address)
        self.broken_connections = 0

    def fail(self, step: str, writer: asyncio.StreamWriter) -> None:
        """Answers a poll with a failure."""
        writer.write(FAILURES[step])
        if step == "reset":
            writer.transport.abort()
        elif step == "truncated":
            writer.close()
        elif step == "unanswered":
            self.time_offset_s += watch_module.POLL_HOLD_MS / 1000 + watch_module.POLL_GRACE_S + 0.1

    async def wait_for_result(self, step: str) -> None:
        """Waits until the watch has passed on the result of a step."""
        self.result_count += 1
        self.broken_connections = 0
        while len(self.results) < self.result_count:
            await asyncio.sleep(0)
        assert (self.results[-1] is None) == (step in FAILURES)
        if step in FAILURES:
            self.watch.subscribe()
            self.watch.subscribe()
        self.time_offset_s += watch_module.MIN_POLL_INTERVAL_S

    def end(self) -> None:
        """Checks that the watch has passed on each answer exactly once, and stops it."""
        known: dict[str, Any] = {}
        for endpoint_list in filter(None, self.results):
            before = {} if endpoint_list.is_complete else known
            known = before | {endpoint.name: endpoint.raw for endpoint in endpoint_list.endpoints}
        assert len(self.results) == self.result_count
        assert known == self.endpoints
        self.watch.client.close()
        for discovery in self.servers:
            discovery.server.close()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()


@profile(derandomize=True, max_examples=80, deadline=None)
@given(steps=st.lists(st.sampled_from(WATCH_STEPS), min_size=1, max_size=10))
def test_a_watch_knows_all_answers_in_any_order_of_steps(steps: list[str]) -> None:
    """Checks that one poll is made at a time, from the known version; a failure is reported once and changes nothing.

    A broken connection is replaced, up to len(RECONNECT_PAUSES_S) times for one poll. An answer of the old address that
    is still unread when the address changes is ignored, and the watch polls for it again at the new address.
    """

    async def run() -> None:
        model = await WatchModel().start()
        for number, step in enumerate(steps):
            await model.play(number, step)
        model.end()

    asyncio.run(run())


@pytest.mark.parametrize("discovery", ["on_request", "pushed"])
def test_the_list_is_watched_for_any_discovery_setting(tmp_path: Path, discovery: str) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(OK))
        await start_node(folder, platform, discovery=discovery)
        await platform.wait_for_requests(1)
        await platform.change("s1", "draining")
        await platform.wait_until(lambda: any("from=2" in r.path for r in platform.requests))

    play(scene, tmp_path)


def test_a_list_of_version_0_is_watched_like_any_other(tmp_path: Path) -> None:
    """Guards against repeated polls for the complete list, which kept the event loop busy and filled the journal."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        platform.version = 0
        node = await start_node(folder, platform, discovery="pushed")
        await platform.wait_for_requests(2)
        for n in range(20):
            assert (await node.submit(f"m{n}"))[0] == 202
        await peer.wait_for_requests(20)
        assert [r.path for r in platform.requests] == [
            f"/discovery/hosts?from=0&hold_ms={hold_ms}" for hold_ms in (FIRST_POLL_HOLD_MS, POLL_HOLD_MS)
        ]
        await platform.change("s1", "draining")
        await platform.wait_until(lambda: any("from=1" in r.path for r in platform.requests))

    play(scene, tmp_path)


def test_a_drained_endpoint_gets_no_messages_even_after_a_restart_with_an_old_list(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        drained = await start_endpoint(platform, always(OK))
        serving = await start_endpoint(platform, always(OK), "s2")
        node = await start_node(folder, platform, known=platform.listing())
        await platform.wait_for_requests(1)
        await platform.change("s1", "draining")
        await platform.wait_until(lambda: any("from=2" in r.path for r in platform.requests))  # the change has arrived
        count_before = len(drained.requests)
        for n in range(8):
            assert (await node.submit(f"m{n}", "status"))[0] == 202
        await serving.wait_for_requests(8)
        platform.garbage = 10**6  # discovery answers garbage, so that only the journal has the list
        await node.restart()
        for n in range(8, 16):
            assert (await node.submit(f"m{n}", "status"))[0] == 202
        await serving.wait_for_requests(16)
        assert len(drained.requests) == count_before

    play(scene, tmp_path)


def test_a_poll_answered_with_garbage_is_retried(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        known = platform.listing()
        platform.garbage = 2
        node = await start_node(folder, platform, known={**known, "hosts": []} | {"seq": 0})
        while (await node.submit("m"))[0] != 202:
            await asyncio.sleep(0.05)
        await peer.wait_for_requests(1)
        assert sum("cannot poll the endpoint list" in line for line in node.log) == 2

    play(scene, tmp_path)


def test_sighup_switches_to_the_discovery_address_in_the_file(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(Answer(500)))
        node = await start_node(folder, platform)
        await platform.wait_for_requests(1)
        config = json.loads((folder / "config.json").read_text())
        (folder / "config.json").write_text("{")
        node.process.send_signal(signal.SIGHUP)
        async with asyncio.timeout(PATIENCE):
            while not any("left as it was" in line for line in node.log):
                await asyncio.sleep(0.01)
        new_platform = Platform()
        await new_platform.start()
        new_platform.endpoints, new_platform.version = platform.endpoints, platform.version
        new_endpoint = await start_endpoint(new_platform, always(OK), "s2", block=9)
        new_platform.version += 1
        new_platform.changes[new_platform.version] = [new_platform.endpoints["s2"]]
        (folder / "config.json").write_text(json.dumps(config | {"discovery": f"127.0.0.1:{new_platform.port}"}))
        node.process.send_signal(signal.SIGHUP)
        await new_platform.wait_until(
            lambda: any(f"from={new_platform.version}" in r.path for r in new_platform.requests)
        )
        assert (await node.submit("here", "pay", dest=9))[0] == 202
        await new_endpoint.wait_for_requests(1)
        assert (await node.submit("m", "pay"))[0] == 202
        assert (await new_platform.wait_for_notice("m"))["state"] == "failed"
        assert not platform.notices
        assert await node.end(signal.SIGTERM) == 0

    play(scene, tmp_path)
