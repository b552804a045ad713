"""A message from its acceptance to its end, with the whole program."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

import pytest

from forwarder.runtime import engine as engine_module
from tests.engine_scene import TIME_LEFT_US, EngineScene, play_with_platform
from tests.nodes import SETTINGS, Node
from tests.platforms import Platform
from tests.scenes import end_with_scene, play, received_ids, start_endpoint, start_node
from tests.sockets import OK, Answer, Peer, Request, Skewed, always, answer_after


def test_delivers_unchanged_and_leaves_no_notice(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        peer = await start_endpoint(platform, always(OK))
        node = await start_node(folder, platform)
        body = bytes(range(256)) * 8
        assert (await node.submit("a1", body=body))[0] == 202
        call = (await peer.wait_for_requests(1))[0]
        assert (call.method, call.path, call.body) == ("POST", "/hook", body)
        assert call.headers["x-correlation-id"] == "a1"
        assert call.headers["x-session-key"] == "key-a1"
        assert 0 < float(call.headers["x-time-left"]) <= 50
        assert (await node.submit("a2", "pay"))[0] == 202
        await peer.wait_for_requests(2)
        await asyncio.sleep(0)
        assert await node.end(signal.SIGTERM) == 0
        assert not platform.notices

    play(scene, tmp_path)


def test_a_message_that_is_given_up_ends_at_once_with_one_notice(tmp_path: Path) -> None:
    """The message has 50 s left: a notice within the test's time limit was not held back to its deadline."""

    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(Answer(500)))
        node = await start_node(folder, platform)
        assert (await node.submit("once", "pay"))[0] == 202
        assert (await platform.wait_for_notice("once"))["state"] == "failed"
        assert (await node.submit("spent", "status"))[0] == 202
        notice = await platform.wait_for_notice("spent")
        assert notice["state"] == "returned"
        assert notice["after_ms"] > 0
        assert [n["id"] for n in platform.notices] == ["once", "spent"]

    play(scene, tmp_path)


def test_the_end_of_a_message_blocks_its_key_until_its_notice_is_acknowledged(tmp_path: Path) -> None:
    async def scene(platform: Platform, folder: Path) -> None:
        await start_endpoint(platform, always(Answer(500)))
        two = await start_endpoint(platform, always(OK), "s2", block=8)
        platform.accepts = False
        node = await start_node(folder, platform)
        assert (await node.submit("a", "turn", X_Session_Key="claim"))[0] == 202
        await platform.wait_until(lambda: any(r.path == "/v1/notices" for r in platform.requests))
        assert (await node.submit("b", "turn", dest=8, X_Session_Key="claim"))[0] == 202
        assert (await node.submit("c", "turn", dest=8, X_Session_Key="another"))[0] == 202
        await two.wait_for_requests(1)
        await node.restart()
        assert (await node.submit("d", "turn", dest=8, X_Session_Key="third"))[0] == 202
        await two.wait_for_requests(2)
        assert received_ids(two) == ["c", "d"]
        platform.accepts = True
        await two.wait_for_requests(3)
        assert received_ids(two) == ["c", "d", "b"]
        assert platform.notices[0]["id"] == "a"

    play(scene, tmp_path)


@pytest.mark.parametrize(("cls", "state"), [("turn", "failed"), ("status", "returned")])
def test_a_delivery_that_may_have_been_too_late_also_ends_with_a_notice(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, cls: str, state: str
) -> None:
    """Guards against a late delivery that counted as lost, and its key's next message as sent out of order.

    Seen in the scenario split+brink. A notice for a message that has ended does no harm; the key waits until the notice
    is acknowledged.
    """
    monkeypatch.setattr(engine_module, "AnchoredClock", lambda folder, base: Skewed(base))

    async def scene(platform: Platform) -> None:
        async def answer(request: Request) -> Answer:
            if request.headers["x-correlation-id"] == "late":
                running.clock.set_time(due_us - 1_000)
            return OK

        peer = await Peer(answer).start()
        platform.add_endpoint("s1", peer.port)
        platform.accepts = False
        running = await EngineScene(tmp_path, platform).start()
        due_us = running.clock() + TIME_LEFT_US
        running.submit("late", cls, due_us=due_us)
        running.submit("next", cls, due_us=due_us + TIME_LEFT_US)
        await peer.wait_for_requests(1 if cls == "turn" else 2)
        while "late" not in running.engine.store.pending_notices:
            await asyncio.sleep(0.005)
        await platform.wait_until(lambda: sum(r.path == "/v1/notices" for r in platform.requests) >= 2)
        sent = [r.headers["x-correlation-id"] for r in peer.requests]
        assert sent == (["late"] if cls == "turn" else sent)
        platform.accepts = True
        assert (await platform.wait_for_notice("late"))["state"] == state
        await peer.wait_until(lambda: any(r.headers["x-correlation-id"] == "next" for r in peer.requests))
        running.end()

    play_with_platform(scene)


def test_a_limit_lowered_below_the_held_messages_gives_up_the_last_with_a_notice(tmp_path: Path) -> None:
    """As when the buffer fills up: the largest queue gives up its last message, and the others go on."""

    async def scene(platform: Platform, folder: Path) -> None:
        free = asyncio.Event()
        peer = await start_endpoint(platform, answer_after(free))
        node = await start_node(folder, platform)
        for name in "abc":
            assert (await node.submit(name, "pay"))[0] == 202
        await peer.wait_for_requests(1)
        node.configure(settings={**SETTINGS, "allowed": {**SETTINGS["allowed"], "max_open": 2}})
        node.process.send_signal(signal.SIGHUP)
        while (status := (await node.submit(f"new-{len(node.log)}", "pay"))[0]) == 202:
            await asyncio.sleep(0.01)
        assert status == 503
        free.set()
        await peer.wait_until(lambda: {"a", "b"} <= {r.headers["x-correlation-id"] for r in peer.requests})
        assert (await platform.wait_for_notice("c"))["state"] == "returned"
        assert {n["id"] for n in platform.notices}.isdisjoint({"a", "b"})

    play(scene, tmp_path)


OTHER_SETTINGS: dict[str, Any] = {
    "allowed": {
        "conn_idle_us": 2_000_000,
        "dial_timeout_us": 700_000,
        "max_attempts": 3,
        "max_open": 8,
        "may_cancel": True,
    },
    "balancers": 3,
    "discovery": "pushed",
    "host_types": ["sea", "rail"],
    "zones": ["west", "east"],
    "zone": "east",
    "contract": {"grace_to_answer_us": 5_000, "drain_grace_us": 200_000, "ask_within_us": 10_000_000},
    "family_info": {"slots": 2, "kind_batch": [1, 2], "routes_apart": [True, False], "carriage": [0.1, 0.0]},
    "orgs": [{"name": "north", "allowance_per_s": 50.0, "fraction": 1.0}],
    "over_share_worth": 0.2,
    "services": [
        {
            "name": "waybill",
            "aim_us": 9_000_000,
            "deadline_us": 12_000_000,
            "effect": "by_key",
            "key_scope": "zone",
            "window_us": 6_000_000,
        },
        {"name": "pickup-call", "aim_us": 9_000_000, "deadline_us": 10_000_000, "effect": "once", "by_arrival": True},
    ],
    "telemetry": {"fields": [], "how": "silent"},
    "weight_source": "silent",
}


def test_names_effects_and_limits_come_from_the_settings_alone(tmp_path: Path) -> None:
    """A keyed message that may have run is retried twice, within its zone only.

    The endpoint of the other zone is free. The class keeps no order, and its clients send no session key. The classes
    of the usual test settings are unknown here.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        answers = [None, None, OK]

        async def answer(request: Request) -> Answer | None:
            return answers.pop(0) if len(answers) > 1 else OK

        peers = [await start_endpoint(platform, answer, zone, kind="sea") for zone in ("west", "east")]
        for zone in ("west", "east"):
            platform.endpoints[zone]["site"] = zone
        node = Node(folder, platform)
        node.configure(settings=OTHER_SETTINGS)
        await node.start()
        end_with_scene(node)
        own = {"X_Account": "north", "X_Session_Key": None, "left": "10"}
        assert (await node.submit("a", "waybill", Idempotency_Key="0f", **own))[0] == 202
        await asyncio.wait(
            [asyncio.create_task(peer.wait_for_requests(3)) for peer in peers], return_when="FIRST_COMPLETED"
        )
        assert sorted(len(peer.requests) for peer in peers) == [0, 3]
        assert {r.headers["idempotency-key"] for peer in peers for r in peer.requests} == {"0f"}
        assert (await node.submit("b", "pickup-call", **own | {"X_Session_Key": "k"}))[0] == 202
        assert [(await node.submit("c", "order"))[0], (await node.submit("d", "waybill"))[0]] == [404, 400]
        assert await node.end(signal.SIGTERM) == 0
        assert not platform.notices

    play(scene, tmp_path)
