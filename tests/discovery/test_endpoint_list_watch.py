"""Polls of the endpoint list, and what their failures change."""

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
from tests.discovery.peers import QuestionedDiscovery, json_answer
from tests.engine_scene import SECOND_US, EngineScene, play_with_platform
from tests.platforms import Platform
from tests.scenes import play, start_endpoint, start_node
from tests.sockets import OK, PATIENCE, Answer, Request, Skewed, always

CHANGE_COUNTS_AFTER_S = 2.0
"""The protocol: what a call that may wait had to tell counts as told so long after its wait is over."""


def test_a_silent_watch_polls_again_before_what_it_missed_counts() -> None:
    """Up to 0.2 s too late, before: the grace for drains, which settings may make shorter, hid it."""
    assert watch_module.POLL_GRACE_S + 2 * MIN_POLL_BACKOFF_US / SECOND_US < CHANGE_COUNTS_AFTER_S - 0.1


class SilentDiscovery(Platform):
    """Discovery whose next watches fall silent, as they are asked or in the middle of their answer."""

    def __init__(self, silent: int, cut: bytes) -> None:
        super().__init__()
        self.silent, self.cut = silent, cut

    async def answer(self, request: Request) -> Answer | bytes | None:
        if "from=" in request.path and self.silent:
            self.silent -= 1
            request.writer.write(self.cut)
            await asyncio.sleep(3600)
        return await super().answer(request)


@pytest.mark.parametrize("cut", [b"", b"HTTP/1.1 200 OK\r\nContent-Le"])
@pytest.mark.parametrize("silent", [1, 2])
def test_what_a_silent_watch_missed_is_learned_by_the_next_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, silent: int, cut: bytes
) -> None:
    """From the first question of the process on, and though the watch that follows falls silent too."""
    monkeypatch.setattr(watch_module, "POLL_HOLD_MS", 100)
    monkeypatch.setattr(engine_module, "AnchoredClock", lambda folder, base: Skewed(base))

    async def scene(_: Platform) -> None:
        platform = SilentDiscovery(silent, cut)
        await platform.start()
        platform.add_endpoint("s1", 9)
        platform.add_endpoint("s2", 9)
        running = await EngineScene(tmp_path, platform).start()
        await platform.wait_for_requests(1)
        assert len(running.engine.pool.addresses) == 2
        await platform.change("s1", "draining")
        while len(running.engine.pool.addresses) == 2:
            await asyncio.sleep(0.005)
        assert len(platform.requests) >= silent + 1
        running.end()

    play_with_platform(scene)


WATCH_STEPS = ["news", "nothing", "whole", "junk", "cut", "refused", "reset", "silent", "moved", "moved and answered"]


FAILURES: dict[str, bytes] = {
    "junk": json_answer(seq="x", hosts=[3]),
    "cut": json_answer(seq=99, whole=True, hosts=[])[:-1],
    "refused": b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
    "reset": b"",
    "silent": b"",
}


class WatchModel:
    """A watch and the discovery that it polls, beside a plain model of what the watch has been answered."""

    def __init__(self) -> None:
        self.heard: list[EndpointList | None] = []
        self.version = -1
        self.endpoints: dict[str, dict[str, Any]] = {}
        self.heard_count = 0
        self.breaks = 0
        """How many connections have broken since the last answer."""

    async def start(self) -> WatchModel:
        """Begins to watch, on an event loop whose time the model puts forward."""
        loop = asyncio.get_running_loop()
        real_time = loop.time
        self.ahead_s = 0.0
        vars(loop)["time"] = lambda: real_time() + self.ahead_s
        self.discovery = await QuestionedDiscovery().start()
        self.places = [self.discovery]
        self.watch = EndpointListWatch(self.discovery.where, -1, self.heard.append)
        self.watch.subscribe()
        return self

    async def play(self, number: int, step: str) -> None:
        """Answers the next poll, which must ask for what the model says, by one step."""
        async with asyncio.timeout(PATIENCE):
            path, writer = await self.discovery.questions.get()
        if self.version >= 0:
            assert path.partition("?")[2].startswith(f"from={self.version}&")
        else:
            assert path == "/discovery/hosts"
        assert self.discovery.questions.empty()
        entry = {"host": f"s{number}", "dial": "127.0.0.1:9", "block": 7, "health": "up"}
        if step.startswith("moved"):
            await self.move(step, writer, entry)
            return
        if step in FAILURES:
            self.fail(step, writer)
        else:
            self.answer(number, step, writer, entry)
        self.breaks = self.breaks + 1 if step in ("cut", "reset") else 0
        if not 0 < self.breaks <= len(RECONNECT_PAUSES_S):
            await self.hear(step)

    def answer(self, number: int, step: str, writer: asyncio.StreamWriter, entry: dict[str, Any]) -> None:
        """Answers a poll by a change, by the complete list, or by nothing new."""
        if step == "nothing" and self.version >= 0:
            writer.write(json_answer(seq=self.version, whole=False, hosts=[]))
            return
        is_complete = step == "whole" or self.version < 0
        self.version += 1 + number
        self.endpoints[entry["host"]] = entry
        hosts = [*self.endpoints.values()] if is_complete else [entry]
        writer.write(json_answer(seq=self.version, whole=is_complete, hosts=hosts))

    async def move(self, step: str, writer: asyncio.StreamWriter, entry: dict[str, Any]) -> None:
        """Gives discovery a new address; an answer of the old one may lie in the kernel unread."""
        self.discovery = await QuestionedDiscovery().start()
        self.places.append(self.discovery)
        if step == "moved and answered":
            writer.write(json_answer(seq=self.version + 1, whole=self.version < 0, hosts=[entry]))
        self.watch.change_address(self.discovery.where)
        self.breaks = 0

    def fail(self, step: str, writer: asyncio.StreamWriter) -> None:
        """Answers a poll by a failure."""
        writer.write(FAILURES[step])
        if step == "reset":
            writer.transport.abort()
        elif step == "cut":
            writer.close()
        elif step == "silent":
            self.ahead_s += watch_module.POLL_HOLD_MS / 1000 + watch_module.POLL_GRACE_S + 0.1

    async def hear(self, step: str) -> None:
        """Waits until the watch has handed on what came of a step."""
        self.heard_count += 1
        self.breaks = 0
        while len(self.heard) < self.heard_count:
            await asyncio.sleep(0)
        assert (self.heard[-1] is None) == (step in FAILURES)
        if step in FAILURES:
            self.watch.subscribe()
            self.watch.subscribe()
        self.ahead_s += watch_module.MIN_POLL_INTERVAL_S

    def end(self) -> None:
        """Checks that the watch has handed on all that it was answered, once, and ends it."""
        known: dict[str, Any] = {}
        for answered in filter(None, self.heard):
            before = {} if answered.is_complete else known
            known = before | {endpoint.name: endpoint.raw for endpoint in answered.endpoints}
        assert len(self.heard) == self.heard_count
        assert known == self.endpoints
        self.watch.client.close()
        for place in self.places:
            place.server.close()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()


@profile(derandomize=True, max_examples=80, deadline=None)
@given(steps=st.lists(st.sampled_from(WATCH_STEPS), min_size=1, max_size=10))
def test_a_watch_knows_all_answers_in_any_order_of_steps(steps: list[str]) -> None:
    """One poll at a time, from the version that is known; what fails is reported once and changes nothing.

    A connection that breaks is replaced, for one poll as RECONNECT_PAUSES_S says. An answer of the old address that
    crosses a move is not heard, and asked for again at the new one.
    """

    async def run() -> None:
        model = await WatchModel().start()
        for number, step in enumerate(steps):
            await model.play(number, step)
        model.end()

    asyncio.run(run())


@pytest.mark.parametrize("discovery", ["on_request", "pushed"])
def test_the_list_is_watched_whatever_the_settings_say_of_discovery(tmp_path: Path, discovery: str) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(OK))
        await start_node(folder, platform, discovery=discovery)
        await platform.wait_for_requests(1)
        await platform.change("s1", "draining")
        await platform.wait_until(lambda: any("from=2" in r.path for r in platform.requests))

    play(scene, tmp_path)


def test_a_list_of_version_0_is_watched_like_any_other(tmp_path: Path) -> None:
    """Asked for in whole again and again, it took the loop's time and filled the journal."""

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


def test_a_drained_endpoint_gets_nothing_more_also_after_a_restart_with_an_old_list(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        one = await start_endpoint(platform, always(OK))
        two = await start_endpoint(platform, always(OK), "s2")
        node = await start_node(folder, platform, known=platform.listing())
        await platform.wait_for_requests(1)
        await platform.change("s1", "draining")
        await platform.wait_until(lambda: any("from=2" in r.path for r in platform.requests))  # it was told
        before = len(one.requests)
        for n in range(8):
            assert (await node.submit(f"m{n}", "status"))[0] == 202
        await two.wait_for_requests(8)
        platform.garbage = 10**6  # discovery is of no help: what the journal tells must do
        await node.restart()
        for n in range(8, 16):
            assert (await node.submit(f"m{n}", "status"))[0] == 202
        await two.wait_for_requests(16)
        assert len(one.requests) == before

    play(scene, tmp_path)


def test_garbage_and_silence_of_discovery_are_retried(tmp_path: Path) -> None:
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


def test_sighup_moves_to_the_discovery_that_the_file_names(tmp_path: Path) -> None:
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
        new = Platform()
        await new.start()
        new.endpoints, new.version = platform.endpoints, platform.version
        fresh = await start_endpoint(new, always(OK), "s2", block=9)
        new.version += 1
        new.changes[new.version] = [new.endpoints["s2"]]
        (folder / "config.json").write_text(json.dumps(config | {"discovery": f"127.0.0.1:{new.port}"}))
        node.process.send_signal(signal.SIGHUP)
        await new.wait_until(lambda: any(f"from={new.version}" in r.path for r in new.requests))
        assert (await node.submit("here", "pay", dest=9))[0] == 202
        await fresh.wait_for_requests(1)
        assert (await node.submit("m", "pay"))[0] == 202
        assert (await new.wait_for_notice("m"))["state"] == "failed"
        assert not platform.notices
        assert await node.end(signal.SIGTERM) == 0

    play(scene, tmp_path)
