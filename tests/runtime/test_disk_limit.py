"""Tests that the state folder of a running engine stays within `disk_mb`, whatever a round adds."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path

import pytest

from forwarder.clients.submission import Submission
from forwarder.decisions.events import MessageWithdrawn
from forwarder.storage.messages import stored_message_bytes
from tests.engine_scene import TIME_LEFT_US, EngineScene, SilentClient, play_with_platform
from tests.folder_meter import FolderMeter
from tests.nodes import SETTINGS
from tests.platforms import Platform
from tests.scenes import start_endpoint
from tests.sockets import hang

HELD_BODY = b"h" * 12_000
STEADY_BODY = b"s" * 8_000
CLUMP_BODY = b"c" * 30_000


class AnsweredClient(SilentClient):
    """A client that notes the status of its answer."""

    status: HTTPStatus | None = None

    def answer(
        self, status: HTTPStatus, text: str = "", on_unsent: Callable[[], None] | None = None, **headers: str
    ) -> None:
        self.status = status


class DiskScene(EngineScene):
    """An engine with a limited folder, whose messages end as the test says."""

    def __init__(self, folder: Path, platform: Platform, disk_mb: float) -> None:
        super().__init__(folder, platform, allowed={**SETTINGS["allowed"], "max_open": 264})
        path = folder / "config.json"
        path.write_text(json.dumps({**json.loads(path.read_text()), "limits": {"disk_mb": disk_mb}}))

    async def start(self) -> DiskScene:
        await start_endpoint(self.platform, hang)
        path = self.folder / "config.json"
        path.write_text(json.dumps({**json.loads(path.read_text()), "known": self.platform.listing()}))
        await super().start()
        self.engine.clock.store_anchor()
        self.engine.loop.run_round()
        return self

    def hand_in(self, name: str, body: bytes, tenant: str = "acme") -> AnsweredClient:
        message_class = self.engine.config.settings.classes[1]
        client = AnsweredClient(self.engine)
        due_us = self.engine.clock() + TIME_LEFT_US
        self.engine.intake.submit(Submission(name, message_class, 7, due_us, None, tenant, False, body), client)
        return client

    def end_messages(self, prefix: str) -> None:
        for name in [name for name in self.engine.store.messages if name.startswith(prefix)]:
            self.engine.store.end_message(name)
            self.engine.post(MessageWithdrawn(name))
        self.engine.loop.run_round()


@pytest.mark.parametrize("disk_mb", [0.4, 1, 3])
def test_a_clump_beside_held_messages_does_not_take_the_folder_over_its_limit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, disk_mb: float
) -> None:
    """review/9: a round's messages were in the state before the files were looked at, and the rewrite held them too."""

    async def scene(platform: Platform) -> None:
        engine_scene = DiskScene(tmp_path, platform, disk_mb)
        meter = FolderMeter(tmp_path, monkeypatch)
        engine = (await engine_scene.start()).engine
        held = [engine_scene.hand_in(f"held-{n}", HELD_BODY) for n in range(int(20 * disk_mb))]
        statuses = set()
        for cycle in range(40):
            for n in range(11 * cycle % int(50 * disk_mb)):
                engine_scene.hand_in(f"steady-{cycle}-{n}", STEADY_BODY)
                engine.loop.run_round()
                engine_scene.end_messages("steady")
            clients = [engine_scene.hand_in(f"clump-{cycle}-{n}", CLUMP_BODY) for n in range(int(5 * disk_mb))]
            engine.loop.run_round()
            statuses |= {client.status for client in clients}
            engine_scene.end_messages("clump")
            await asyncio.sleep(0)
        engine_scene.end()
        assert meter.most_bytes <= disk_mb * 1_000_000, meter.most_files
        assert {client.status for client in held} == {HTTPStatus.ACCEPTED}
        assert statuses == {HTTPStatus.ACCEPTED}
        assert engine.store.compactions > 3
        assert not engine.store.write_failures

    play_with_platform(scene)


def test_messages_without_room_are_answered_503_and_accepted_again_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The account that a message belongs to was not counted: 37.6 MB were in a folder of 3 MB (issue 58.6)."""

    async def scene(platform: Platform) -> None:
        engine_scene = DiskScene(tmp_path, platform, 1)
        meter = FolderMeter(tmp_path, monkeypatch)
        engine = (await engine_scene.start()).engine
        tenant = 'a"\u00e6' * 4_000
        clients = [engine_scene.hand_in(f"m{n}", b"x", tenant) for n in range(50)]
        engine.loop.run_round()
        statuses = [client.status for client in clients]
        assert set(statuses) == {HTTPStatus.ACCEPTED, HTTPStatus.SERVICE_UNAVAILABLE}
        assert statuses == sorted(statuses)
        assert len(engine.store.messages) == statuses.count(HTTPStatus.ACCEPTED)
        engine_scene.end_messages("m")
        again = engine_scene.hand_in("again", b"x", tenant)
        engine.loop.run_round()
        assert again.status == HTTPStatus.ACCEPTED
        engine_scene.end()
        assert meter.most_bytes <= 1_000_000, meter.most_files

    play_with_platform(scene)


def test_room_that_is_gone_by_the_round_is_answered_503(tmp_path: Path) -> None:
    """Guards against a 202 for messages that were admitted, but for which no room could be made before the round."""

    async def scene(platform: Platform) -> None:
        engine_scene = DiskScene(tmp_path, platform, 3)
        engine = (await engine_scene.start()).engine
        client = engine_scene.hand_in("late", CLUMP_BODY)
        engine.store.files.usage.limit_bytes = stored_message_bytes(engine.intake.pending["late"][0])
        engine.loop.run_round()
        engine.loop.run_round()
        assert client.status == HTTPStatus.SERVICE_UNAVAILABLE
        assert not engine.store.messages
        assert not engine.dispatcher.messages
        engine_scene.end()

    play_with_platform(scene)
