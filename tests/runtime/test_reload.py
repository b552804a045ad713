"""SIGHUP: the new settings apply at once, or nothing in the file is applied."""

from __future__ import annotations

import asyncio
import copy
import functools
import json
import operator
import signal
from pathlib import Path
from typing import Any, cast

import pytest

from forwarder.runtime.context import Runtime
from forwarder.runtime.reload import ConfigReloader
from tests.engine_scene import EngineScene, play_with_platform
from tests.nodes import SETTINGS, Node
from tests.platforms import Platform
from tests.scenes import play, received_ids, start_endpoint, start_node
from tests.sockets import OK, PATIENCE, Answer, always, hang


async def reload(node: Node, text: str) -> None:
    """Sends SIGHUP, and waits for a log line with this text, which tells the outcome."""
    before = len(node.log)
    node.process.send_signal(signal.SIGHUP)
    async with asyncio.timeout(PATIENCE):
        while not any(text in line for line in node.log[before:]):
            await asyncio.sleep(0.01)


STRICT = {"name": "strict", "aim_us": 2_000_000, "deadline_us": 60_000_000, "effect": "once"}


def test_new_settings_apply_at_once_and_accepted_messages_keep_their_class(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer, other = await start_endpoint(platform, hang), await start_endpoint(platform, hang, "s2", block=8)
        node = await start_node(folder, platform)
        assert (await node.submit("old", "status"))[0] == 202
        await peer.wait_for_requests(1)
        node.configure(settings={**SETTINGS, "services": [STRICT, {**STRICT, "name": "order"}]})
        await reload(node, "classes strict, order,")
        assert (await node.submit("gone", "status"))[0] == 404
        assert (await node.submit("new", "strict", dest=8))[0] == 202
        await other.wait_for_requests(1)
        before = len(peer.requests)
        await node.restart()
        assert (await platform.wait_for_notice("new"))["state"] == "failed"
        await peer.wait_for_requests(before + 1)  # it may still be repeated
        assert set(received_ids(peer)) == {"old"}
        assert len(other.requests) == 1

    play(scene, tmp_path)


def without(document: Any, *path: Any) -> Any:
    """Returns a copy without the key at this path."""
    changed = copy.deepcopy(document)
    parent = functools.reduce(operator.getitem, path[:-1], changed)
    del parent[path[-1]]
    return changed


def changed(document: Any, value: Any, *path: Any) -> Any:
    """Returns a copy with another value at this path."""
    changed = copy.deepcopy(document)
    parent = functools.reduce(operator.getitem, path[:-1], changed)
    parent[path[-1]] = value
    return changed


def test_a_reload_of_a_broken_file_changes_nothing(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_node(folder, platform)
        path = folder / "config.json"
        good = json.loads(path.read_text())
        better = {
            **good,
            "discovery": "127.0.0.1:9",
            "settings": {**SETTINGS, "services": [STRICT, *SETTINGS["services"][1:]]},
        }
        broken = ["", "{", "[]", "null", "[" * 100_000, json.dumps(better)[:-40]]
        broken += [json.dumps(without(better, key)) for key in good]
        broken += [json.dumps(without(better, "settings", key)) for key in SETTINGS]
        broken += [json.dumps(without(better, "settings", "services", 0, key)) for key in STRICT]
        broken += [json.dumps(without(better, "settings", "allowed", "max_attempts"))]
        broken += [json.dumps(changed(better, [], "settings", "services"))]
        for value in (0, -1, None, "6", True, [], float("nan")):
            broken.append(json.dumps(changed(better, value, "settings", "allowed", "max_attempts")))
            broken.append(json.dumps(changed(better, value, "settings", "services", 0, "deadline_us")))
        for text in broken:
            path.write_text(text)
            await reload(node, "left as it was")
        assert (await node.submit("m", "strict"))[0] == 404
        assert (await node.submit("n", "order"))[0] == 202
        await peer.wait_for_requests(1)
        await platform.change("s1", "draining")
        await platform.wait_until(lambda: any(f"from={platform.version}" in r.path for r in platform.requests))
        path.write_text(json.dumps(better))
        await reload(node, "classes strict,")
        assert (await node.submit("m", "strict"))[0] == 202

    play(scene, tmp_path)


def test_notices_reach_a_platform_that_moved_while_a_class_without_an_optional_key_came_back(tmp_path: Path) -> None:
    """Guards against lost messages: the file was refused, so that notices went to the platform's old address."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(Answer(500)))
        node = await start_node(folder, platform)
        without_key, with_key = SETTINGS["services"][3], SETTINGS["services"][2]
        assert "by_arrival" in with_key
        assert "by_arrival" not in without_key
        for services in ([with_key], [without_key, with_key]):
            moved = await Platform().start()
            moved.version, moved.endpoints = platform.version, platform.endpoints
            node.configure(discovery=f"127.0.0.1:{moved.port}", settings={**SETTINGS, "services": services})
            await reload(node, "the configuration was read again")
        platform.server.close()
        await platform.end_connections()
        for name, class_name in (("a", "turn"), ("b", "pay")):
            assert (await node.submit(name, class_name))[0] == 202
            assert (await moved.wait_for_notice(name))["state"] == "failed"

    play(scene, tmp_path)


def test_signals_of_one_moment_cause_one_reload() -> None:
    """Guards against a series of signals that fills Python's signal pipe while each of them reads the file."""

    async def scene() -> None:
        reloader = ConfigReloader(cast("Runtime", None))
        reloads: list[str] = []
        reloader.reload = lambda: reloads.append("reload")  # type: ignore[method-assign]
        for _ in range(3):
            reloader.request()
        assert reloads == []
        await asyncio.sleep(0)
        assert reloads == ["reload"]
        reloader.request()
        await asyncio.sleep(0)
        assert len(reloads) == 2

    asyncio.run(scene())


def test_new_names_of_report_fields_apply_without_another_change(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a partial reload: load reports were read by the names of the file before."""
    monkeypatch.setenv("LB_CONFIG", str(tmp_path / "config.json"))
    monkeypatch.setenv("LB_STATE", str(tmp_path))

    async def scene(platform: Platform) -> None:
        engine = (await EngineScene(tmp_path, platform, telemetry={"fields": [], "how": "silent"}).start()).engine
        assert engine.pool.in_flight.report_fields == ()
        document = json.loads((tmp_path / "config.json").read_text())
        document["settings"]["telemetry"] = {"fields": ["x0", "x1"], "how": "piggyback"}
        (tmp_path / "config.json").write_text(json.dumps(document))
        engine.reloader.reload()
        assert engine.pool.in_flight.report_fields == ("x0", "x1")
        engine.server.close()
        engine.pool.close()

    play_with_platform(scene)


def test_no_message_is_accepted_while_a_refused_file_keeps_the_platform_out_of_reach(tmp_path: Path) -> None:
    """Guards against lost messages: their notices could not reach the old address, and the file was rightly refused."""

    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_node(folder, platform)
        moved = await Platform().start()
        moved.version, moved.endpoints = platform.version, platform.endpoints
        node.configure(discovery=f"127.0.0.1:{moved.port}", settings={})
        await reload(node, "left as it was")
        platform.server.close()
        await platform.end_connections()
        async with asyncio.timeout(PATIENCE):
            number = 0
            while (await node.submit(f"early-{number}", "pay"))[0] != 503:
                number += 1
                await asyncio.sleep(0.05)
        rules = await node.call(b"RULES\n")
        assert "platform: cannot be reached; configuration: left as it was: bad configuration" in rules
        peer.handler = always(Answer(500))
        node.configure(settings=SETTINGS)
        await reload(node, "the configuration was read again")
        assert (await node.submit("after", "pay"))[0] == 202
        assert (await moved.wait_for_notice("after"))["state"] == "failed"
        assert "platform: reached; configuration: the newest file holds" in await node.call(b"RULES\n")

    play(scene, tmp_path)
